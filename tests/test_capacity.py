"""The capacity page: its tables are what the recorded rungs give."""

import json
import runpy
from pathlib import Path
from typing import Any

import pytest

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "capacity.py"


@pytest.fixture(scope="module")
def capacity() -> dict[str, Any]:
    return runpy.run_path(str(SCRIPT))


def test_the_pages_tables_are_those_of_the_rungs(capacity: dict[str, Any]) -> None:
    text = capacity["PAGE"].read_text()
    tables = capacity["page_tables"](capacity["Measurements"](capacity["load"]()))
    assert capacity["with_tables"](text, tables) == text


def test_a_changed_rung_changes_the_page(capacity: dict[str, Any]) -> None:
    """So that the check above can fail."""
    runs = capacity["load"]()
    runs["slopes"][0]["controller_mb"] += 10.0
    text = capacity["PAGE"].read_text()
    tables = capacity["page_tables"](capacity["Measurements"](runs))
    assert capacity["with_tables"](text, tables) != text


def test_gaps_come_smallest_first_and_no_rung_of_the_generator_counts(
    capacity: dict[str, Any],
) -> None:
    measured = capacity["Measurements"](capacity["load"]())
    reaches = [gap.reach for gap in capacity["gaps"](measured)]
    assert reaches == sorted(reaches)
    assert len(reaches) > 8
    limits = [limit for rows in measured.runs.values() for r in rows for limit in r["limited_by"]]
    assert not any("generator" in limit for limit in limits)


def test_slopes_are_least_squares(capacity: dict[str, Any]) -> None:
    rows = [{"workers": x, "y": y} for x, y in ((1, 3.0), (2, 5.0), (3, 7.0))]
    line = capacity["fit"](rows, "workers", lambda r: r["y"])
    assert (round(line.intercept, 9), round(line.slope, 9), line.max_measured) == (1.0, 2.0, 3.0)
    assert line.mark(3) == "measured"
    assert line.mark(12) == "extrapolated ×4.0"


def test_rows_are_recorded_under_their_run(
    capacity: dict[str, Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    report = tmp_path / "report.json"
    report.write_text(json.dumps({"rows": [{"name": "x"}]}))
    record = capacity["record"]
    monkeypatch.setitem(record.__globals__, "RUNGS", tmp_path / "rungs" / "rungs.json")
    record(report, "one")
    record(report, "one")
    found = json.loads((tmp_path / "rungs" / "rungs.json").read_text())
    assert found == {"one": [{"name": "x"}, {"name": "x"}]}

"""scripts/capacity.py: the capacity page's tables are those computed from the recorded rungs."""

import json
import runpy
from pathlib import Path
from typing import Any

import pytest

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "capacity.py"


@pytest.fixture(scope="module")
def capacity() -> dict[str, Any]:
    return runpy.run_path(str(SCRIPT))


def test_page_tables_equal_those_computed_from_the_recorded_rungs(capacity: dict[str, Any]) -> None:
    text = capacity["PAGE"].read_text()
    tables = capacity["page_tables"](capacity["Measurements"](capacity["load"]()))
    assert capacity["with_tables"](text, tables) == text


def test_page_tables_differ_after_a_rung_changes(capacity: dict[str, Any]) -> None:
    """The comparison of the test above fails when a recorded rung changes."""
    runs = capacity["load"]()
    runs["slopes"][0]["controller_mb"] += 10.0
    text = capacity["PAGE"].read_text()
    tables = capacity["page_tables"](capacity["Measurements"](runs))
    assert capacity["with_tables"](text, tables) != text


def test_gaps_are_sorted_by_reach_and_no_rung_is_limited_by_the_load_generator(
    capacity: dict[str, Any],
) -> None:
    measured = capacity["Measurements"](capacity["load"]())
    reaches = [gap.reach for gap in capacity["gaps"](measured)]
    assert reaches == sorted(reaches)
    assert len(reaches) > 8
    limits = [limit for rows in measured.runs.values() for r in rows for limit in r["limited_by"]]
    assert not any("generator" in limit for limit in limits)


def test_fit_of_collinear_rows_returns_their_line_and_marks_extrapolation(
    capacity: dict[str, Any],
) -> None:
    rows = [{"workers": x, "y": y} for x, y in ((1, 3.0), (2, 5.0), (3, 7.0))]
    line = capacity["fit"](rows, "workers", lambda r: r["y"])
    assert (round(line.intercept, 9), round(line.slope, 9), line.max_measured) == (1.0, 2.0, 3.0)
    assert line.mark(3) == "measured"
    assert line.mark(12) == "extrapolated ×4.0"


def test_record_appends_rows_under_the_run_name(
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

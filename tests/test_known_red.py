"""A malformed list of known failing tests must not pass over tests silently."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.known_red import KnownRedTest, parse_known_red

ROOT = Path(__file__).resolve().parents[1]
ENTRY = (
    "test: tests/test_a.py::test_b\ncommand: pytest tests/test_a.py\nseen: went_back\nissue: 7\n"
)


def test_entries_are_read() -> None:
    entry = KnownRedTest("tests/test_a.py::test_b", "pytest tests/test_a.py", "went_back", "7")
    assert parse_known_red(f"{ENTRY}\n{ENTRY}") == [entry, entry]
    assert parse_known_red("") == []


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("test: a\n", "missing"),
        (f"{ENTRY}reason: none\n", "expected one of"),
        ("\n".join([ENTRY] * 4), "at most 3"),
    ],
)
def test_malformed_lists_are_refused(text: str, error: str) -> None:
    with pytest.raises(ValueError, match=error):
        parse_known_red(text)


CONFTEST = """\
from pathlib import Path
import tests.support.known_red as known_red
known_red.KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"
from tests.conftest import *
"""


def run_suite(folder: Path, body: str) -> str:
    """Run a suite of one listed test with this body, and return pytest's output."""
    (folder / "conftest.py").write_text(CONFTEST)
    (folder / "KNOWN-RED.txt").write_text(
        ENTRY.replace("tests/test_a.py::test_b", "test_x.py::test_red")
    )
    (folder / "test_x.py").write_text(f"def test_red():\n    assert {body}\n")
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "no:cacheprovider",
        "--rootdir",
        str(folder),
    ]
    environment = os.environ | {"PYTHONPATH": str(ROOT), "PYTHONDONTWRITEBYTECODE": "1"}
    return subprocess.run(
        [*command, "test_x.py"],
        check=False,
        cwd=folder,
        env=environment,
        capture_output=True,
        text=True,
    ).stdout


def test_a_listed_test_is_passed_over_and_named_while_it_fails(tmp_path: Path) -> None:
    output = run_suite(tmp_path, "False")
    assert "1 xfailed" in output
    assert "KNOWN RED (issue 7): test_x.py::test_red" in output


def test_a_listed_test_that_passes_fails_the_suite(tmp_path: Path) -> None:
    assert "1 failed" in run_suite(tmp_path, "True")

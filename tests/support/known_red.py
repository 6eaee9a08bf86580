"""The list of tests that are known to fail: KNOWN-RED.txt at the root of the repository.

Each entry is a block of `field: value` lines; blocks are separated by empty lines. A listed test
is run, and the suite fails if it passes, so that an entry is removed together with its fault.
"""

from pathlib import Path

from msgspec import Struct

KNOWN_RED_PATH = Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELDS = ("test", "command", "seen", "issue")


class KnownRedTest(Struct, frozen=True):
    """A test that is known to fail: its id, how to run it, what was seen, and the open issue."""

    test: str
    command: str
    seen: str
    issue: str


def parse_known_red(text: str) -> list[KnownRedTest]:
    """Return the entries of a list. Raises ValueError for a malformed or too long list."""
    blocks = [block for block in text.split("\n\n") if block.strip()]
    entries = [_parse_entry(block) for block in blocks]
    if len(entries) > MAX_ENTRIES:
        raise ValueError(f"{len(entries)} known failing tests, at most {MAX_ENTRIES} expected")
    return entries


def _parse_entry(block: str) -> KnownRedTest:
    values: dict[str, str] = {}
    for line in block.strip().splitlines():
        name, separator, value = line.partition(": ")
        if not separator or name not in FIELDS or name in values:
            raise ValueError(f"line {line!r}: expected one of {', '.join(FIELDS)}, each once")
        values[name] = value
    if missing := [name for name in FIELDS if name not in values]:
        raise ValueError(f"entry {values.get('test', block)!r}: {', '.join(missing)} missing")
    return KnownRedTest(**values)


def load_known_red() -> list[KnownRedTest]:
    """Return the entries of the repository's list; none if it has no such file."""
    return parse_known_red(KNOWN_RED_PATH.read_text()) if KNOWN_RED_PATH.exists() else []

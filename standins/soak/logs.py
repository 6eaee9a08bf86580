"""Reads what controllers have logged of their own answers."""

from pathlib import Path

VIOLATION_MARKS = ("answer violation", "attempt started late")
ACQUISITION_MARK = "shard acquired"


class ControllerLogs:
    """Follows the logs of a run's controllers."""

    def __init__(self, paths: list[Path]) -> None:
        self.offsets = dict.fromkeys(paths, 0)
        self.violations: list[str] = []
        self.acquisitions = 0  # of shards

    def read_new_lines(self) -> None:
        """Look at the complete lines that were written since the last call."""
        for path, offset in self.offsets.items():
            if not path.exists():
                continue
            with path.open("rb") as log:
                log.seek(offset)
                data = log.read()
            complete = data.rfind(b"\n") + 1
            self.offsets[path] = offset + complete
            for line in data[:complete].decode(errors="replace").splitlines():
                self._look_at(line)

    def _look_at(self, line: str) -> None:
        if any(mark in line for mark in VIOLATION_MARKS):
            self.violations.append(line)
        self.acquisitions += ACQUISITION_MARK in line

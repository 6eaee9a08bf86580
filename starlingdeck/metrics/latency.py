"""How long answers and starts took, and where time goes: log lines show it now and then."""

from collections.abc import Callable
from typing import Any

from curio.kernel import Activation
from hdrh.histogram import HdrHistogram
from msgspec import Struct

MAX_MS = 600_000
DIGITS = 2
SHARES = (50.0, 90.0, 99.0)


class LatencyHistograms:
    """One histogram of milliseconds a name, from one log line to the next."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        found = self.histograms.get(name)
        if found is None:
            found = self.histograms[name] = HdrHistogram(1, MAX_MS, DIGITS)
        found.record_value(min(MAX_MS, max(1, int(seconds * 1000))))

    def lines(self) -> list[str]:
        """What was noted since the last call, and forget it."""
        out = []
        for name, found in sorted(self.histograms.items()):
            count = found.get_total_count()
            if count:
                marks = "/".join(str(found.get_value_at_percentile(s)) for s in SHARES)
                out.append(f"{name}: {count}, p50/p90/p99 {marks} ms, most {found.get_max_value()}")
                found.reset()
        return out


class TaskRuntime(Struct):
    runs: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


class TaskProfiler(Activation):  # type: ignore[misc]
    """For each kind of task: how often it ran, how long in all, and the longest run.

    A run is from one wait to the next; meanwhile everything else waits, so the longest
    runs say how late an answer or a renewal may be. Only used at log level `debug`.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.started_at = 0.0
        self.runtimes: dict[str, TaskRuntime] = {}

    def running(self, task: Any) -> None:
        self.started_at = self.now()

    def suspended(self, task: Any, trap: Any) -> None:
        spent = self.now() - self.started_at
        row = self.runtimes.setdefault(task.name, TaskRuntime())
        row.runs += 1
        row.total_s += spent
        row.longest_s = max(row.longest_s, spent)

    def lines(self) -> list[str]:
        """What was noted since the last call, costliest first, and forget it."""
        rows = sorted(self.runtimes.items(), key=lambda item: -item[1].total_s)
        self.runtimes = {}
        return [
            f"ran {name}: {row.runs} times, {row.total_s:.3f} s, longest {row.longest_s:.3f} s"
            for name, row in rows
        ]

"""Measures the latency of operations and the run time of the process's tasks, for the log."""

from collections.abc import Callable
from typing import Any

from curio.kernel import Activation
from hdrh.histogram import HdrHistogram
from msgspec import Struct

MIN_MS = 1
MAX_MS = 600_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99)


class LatencyHistograms:
    """A latency histogram per operation, in milliseconds, since the last call of `lines`."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def record(self, operation: str, seconds: float) -> None:
        """Record how long an operation took, limited to between MIN_MS and MAX_MS."""
        histogram = self.histograms.get(operation)
        if histogram is None:
            histogram = HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
            self.histograms[operation] = histogram
        histogram.record_value(min(MAX_MS, max(MIN_MS, int(seconds * 1000))))

    def lines(self) -> list[str]:
        """Return log lines of the operations since the last call, and reset the histograms."""
        lines = []
        for operation, histogram in sorted(self.histograms.items()):
            if histogram.get_total_count():
                lines.append(_format_line(operation, histogram))
                histogram.reset()
        return lines


def _format_line(operation: str, histogram: HdrHistogram) -> str:
    percentiles = " ".join(
        f"p{percentile}_ms={histogram.get_value_at_percentile(float(percentile))}"
        for percentile in PERCENTILES
    )
    return (
        f"latency: operation={operation.replace(' ', '_')} count={histogram.get_total_count()} "
        f"{percentiles} max_ms={histogram.get_max_value()}"
    )


class TaskRuntime(Struct):
    """The number and duration of the runs of all tasks with one name."""

    runs: int = 0
    total_s: float = 0.0
    max_s: float = 0.0


class TaskProfiler(Activation):  # type: ignore[misc]  # curio has no type information
    """Measures the run time of the process's tasks by name, at log level `debug` only.

    A run lasts from one wait of a task to its next. All other tasks are blocked meanwhile, so the
    longest run shows by how much a reply or a lease renewal may be delayed.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.started_at = 0.0
        self.runtimes: dict[str, TaskRuntime] = {}

    def running(self, task: Any) -> None:  # noqa: ARG002 -- an interface of curio
        """Record the start of a run. Called by the kernel."""
        self.started_at = self.now()

    def suspended(self, task: Any, trap: Any) -> None:  # noqa: ARG002 -- an interface of curio
        """Record the end of a run. Called by the kernel."""
        run_s = self.now() - self.started_at
        runtime = self.runtimes.setdefault(task.name, TaskRuntime())
        runtime.runs += 1
        runtime.total_s += run_s
        runtime.max_s = max(runtime.max_s, run_s)

    def lines(self) -> list[str]:
        """Return log lines of the runs since the last call, largest total first, and reset them."""
        runtimes = sorted(self.runtimes.items(), key=lambda item: -item[1].total_s)
        self.runtimes = {}
        return [
            f"task run time: task={name} runs={runtime.runs} total_s={runtime.total_s:.3f} "
            f"max_s={runtime.max_s:.3f}"
            for name, runtime in runtimes
        ]

"""Report how controllers spent their run time, minute by minute, from their logs at level debug.

    python3 scripts/costs.py LOG

LOG holds the controllers' lines as `SECONDS NODE LEVEL LOGGER: TEXT`, in order of time. Print a
table per minute: the machines known at its end; for each kind of coroutine task its runs, the
seconds of all controllers and the longest run between two waits; for each kind of request its
answers and their p99 latency at the slowest controller. Then print how long after each takeover
the shard's jobs were loaded.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LOG_LINE = re.compile(r"\s*([\d.]+) (\S+) [A-Z] \S+: (.*)")
TASK_RUN_TIME = re.compile(r"task run time: task=(\S+) runs=(\d+) total_s=([\d.]+) max_s=([\d.]+)")
ANSWER_LATENCY = re.compile(r"latency: operation=answer_(\w+) count=(\d+) .*p99_ms=([\d.]+)")
MACHINE_REGISTERED = re.compile(r"machine registered: machine=(\S+)")
SHARD_ACQUIRED = re.compile(r"shard acquired: shard=(\d+)\b")
JOBS_LOADED = re.compile(r"shard jobs loaded: shard=(\d+) unfinished_jobs=(\d+)")
MACHINES_RELEASED = "machines released: machines="
MAX_TASK_KINDS_PER_MINUTE = 10  # shown, those with the most run time


@dataclass
class TaskCost:
    """Run time of one kind of task in a minute; a run is from one wait to the next."""

    runs: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


@dataclass
class Answers:
    """Answers to one kind of request in a minute, and the largest p99 of any controller."""

    count: int = 0
    slowest_p99_ms: float = 0.0


@dataclass
class Minute:
    """The figures of one minute, of all controllers together."""

    tasks: defaultdict[str, TaskCost] = field(default_factory=lambda: defaultdict(TaskCost))
    answers: defaultdict[str, Answers] = field(default_factory=lambda: defaultdict(Answers))
    controllers: set[str] = field(default_factory=set)
    machines: int = 0

    def lines(self, number: int) -> Iterable[str]:
        """Yield the minute's lines of the report."""
        total_s = sum(cost.total_s for cost in self.tasks.values())
        cores = total_s / 60 / max(1, len(self.controllers))
        yield f"minute {number}: {self.machines} machines, {total_s:.1f} s, {cores:.3f} of a core"
        costliest = sorted(self.tasks.items(), key=lambda item: -item[1].total_s)
        for name, cost in costliest[:MAX_TASK_KINDS_PER_MINUTE]:
            yield (
                f"  {name:32} {cost.runs:8.0f} runs {cost.total_s:7.2f} s,"
                f" longest {cost.longest_s:.3f} s"
            )
        for name, answers in sorted(self.answers.items()):
            yield (
                f"  answers to {name:10} {answers.count:6.0f},"
                f" p99 {answers.slowest_p99_ms:.0f} ms at the slowest"
            )


class CostReport:
    """Collects the figures of a log, line by line."""

    def __init__(self) -> None:
        self.machines: set[str] = set()
        self.minutes: defaultdict[int, Minute] = defaultdict(Minute)
        self.takeovers: dict[tuple[str, str], float] = {}  # (controller, shard) -> seconds
        self.load_lines: list[str] = []

    def add(self, line: str) -> None:
        """Add the figures of one line of the log; lines without figures are ignored."""
        match = LOG_LINE.match(line)
        if match is None:
            return
        at, controller, text = float(match[1]), match[2], match[3]
        number = round(at / 60)  # controllers log a minute's figures shortly after its end
        if run_time := TASK_RUN_TIME.match(text):
            self._add_task(self.minutes[number], controller, run_time)
        elif latency := ANSWER_LATENCY.match(text):
            answers = self.minutes[number].answers[latency[1]]
            answers.count += int(latency[2])
            answers.slowest_p99_ms = max(answers.slowest_p99_ms, float(latency[3]))
        else:
            self._add_event(at, controller, text)

    def _add_task(self, minute: Minute, controller: str, run_time: re.Match[str]) -> None:
        cost = minute.tasks[run_time[1]]
        cost.runs += int(run_time[2])
        cost.total_s += float(run_time[3])
        cost.longest_s = max(cost.longest_s, float(run_time[4]))
        minute.machines = len(self.machines)
        minute.controllers.add(controller)

    def _add_event(self, at: float, controller: str, text: str) -> None:
        if registered := MACHINE_REGISTERED.match(text):
            self.machines.add(registered[1])
        elif text.startswith(MACHINES_RELEASED):
            self.machines.difference_update(text[len(MACHINES_RELEASED) :].split())
        elif acquired := SHARD_ACQUIRED.match(text):
            self.takeovers[(controller, acquired[1])] = at
        elif (loaded := JOBS_LOADED.match(text)) and (controller, loaded[1]) in self.takeovers:
            seconds = at - self.takeovers.pop((controller, loaded[1]))
            self.load_lines.append(
                f"at {at:.1f} s: {loaded[2]} unfinished jobs read {seconds:.3f} s after a takeover"
            )

    def lines(self) -> Iterable[str]:
        """Yield the lines of the report."""
        for number, minute in sorted(self.minutes.items()):
            if minute.tasks:
                yield from minute.lines(number)
        yield from self.load_lines


def report_lines(log_lines: Iterable[str]) -> Iterable[str]:
    """Yield the lines of the report on a log, with its seconds and milliseconds as logged."""
    report = CostReport()
    for line in log_lines:
        report.add(line)
    yield from report.lines()


if __name__ == "__main__":
    with open(sys.argv[1]) as log:
        for report_line in report_lines(log):
            print(report_line)

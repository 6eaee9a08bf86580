"""What the controllers' time went to, minute by minute, from their logs at level debug.

    python3 scripts/costs.py LOG

LOG holds the controllers' lines as `SECONDS NODE LEVEL LOGGER: TEXT`, in order of time. Prints a
table a minute: machines known at its end, and for each kind of task the seconds of all controllers
and the longest run between two waits; then how long shards took to be read after a takeover.
"""

import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

LINE = re.compile(r"\s*([\d.]+) (\S+) [A-Z] \S+: (.*)")
RAN = re.compile(r"task run time: task=(\S+) runs=(\d+) total_s=([\d.]+) max_s=([\d.]+)")
ANSWER = re.compile(r"latency: operation=answer_(\w+) count=(\d+) .*p99_ms=([\d.]+)")
FIRST = re.compile(r"machine registered: machine=(\S+)")
TAKEN = re.compile(r"shard acquired: shard=(\d+)\b")
READ = re.compile(r"shard jobs loaded: shard=(\d+) unfinished_jobs=(\d+)")
GONE = "machines released: machines="
MAX_TASKS_SHOWN = 10  # kinds of task a minute


@dataclass
class TaskCost:
    """Runs of one kind of task in a minute; times in seconds."""

    runs: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0


@dataclass
class Answers:
    """Answers of one kind in a minute."""

    count: int = 0
    slowest_p99_ms: float = 0.0


@dataclass
class Minute:
    """All controllers' figures of one minute."""

    tasks: defaultdict[str, TaskCost] = field(default_factory=lambda: defaultdict(TaskCost))
    answers: defaultdict[str, Answers] = field(default_factory=lambda: defaultdict(Answers))
    controllers: set[str] = field(default_factory=set)
    machines: int = 0

    def rows(self, number: int) -> Iterable[str]:
        """The minute's part of the report."""
        total = sum(cost.total_s for cost in self.tasks.values())
        share = total / 60 / max(1, len(self.controllers))
        yield f"minute {number}: {self.machines} machines, {total:.1f} s, {share:.3f} of a core"
        costliest = sorted(self.tasks.items(), key=lambda item: -item[1].total_s)
        for name, cost in costliest[:MAX_TASKS_SHOWN]:
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
        self.takeovers: dict[tuple[str, str], float] = {}  # controller, shard -> time
        self.shard_reads: list[str] = []

    def add(self, line: str) -> None:
        """Takes one line of the log; any other line is ignored."""
        found = LINE.match(line)
        if found is None:
            return
        at, controller, text = float(found[1]), found[2], found[3]
        number = round(at / 60)  # each controller writes its figures a little after the minute
        if ran := RAN.match(text):
            self._add_task(self.minutes[number], controller, ran)
        elif answer := ANSWER.match(text):
            answers = self.minutes[number].answers[answer[1]]
            answers.count += int(answer[2])
            answers.slowest_p99_ms = max(answers.slowest_p99_ms, float(answer[3]))
        else:
            self._add_event(at, controller, text)

    def _add_task(self, minute: Minute, controller: str, ran: re.Match[str]) -> None:
        cost = minute.tasks[ran[1]]
        cost.runs += int(ran[2])
        cost.total_s += float(ran[3])
        cost.longest_s = max(cost.longest_s, float(ran[4]))
        minute.machines = len(self.machines)
        minute.controllers.add(controller)

    def _add_event(self, at: float, controller: str, text: str) -> None:
        if first := FIRST.match(text):
            self.machines.add(first[1])
        elif text.startswith(GONE):
            self.machines.difference_update(text[len(GONE) :].split())
        elif shard := TAKEN.match(text):
            self.takeovers[(controller, shard[1])] = at
        elif (read := READ.match(text)) and (controller, read[1]) in self.takeovers:
            seconds = at - self.takeovers.pop((controller, read[1]))
            self.shard_reads.append(
                f"at {at:.1f} s: {read[2]} unfinished jobs read {seconds:.3f} s after a takeover"
            )

    def rows(self) -> Iterable[str]:
        """The report, line by line."""
        for number, minute in sorted(self.minutes.items()):
            if minute.tasks:
                yield from minute.rows(number)
        yield from self.shard_reads


def tables(lines: Iterable[str]) -> Iterable[str]:
    """The report of a log, line by line; seconds and milliseconds as logged."""
    report = CostReport()
    for line in lines:
        report.add(line)
    yield from report.rows()


if __name__ == "__main__":
    with open(sys.argv[1]) as log:
        for row in tables(log):
            print(row)

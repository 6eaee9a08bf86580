"""Counts of job and task events by team and class, for a log line per pair each minute.

Users make up the names of classes: beyond MAX_TEAM_CLASSES pairs they are counted together.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

MAX_TEAM_CLASSES = 100
OTHERS = ("others", "")  # the pair under which those beyond the limit are counted

OFFERED, ACCEPTED, STARTED, DONE, CANCELLED, PREEMPTED = range(6)
EVENT_NAMES = (
    "jobs_offered",
    "jobs_accepted",
    "tasks_started",
    "jobs_done",
    "jobs_cancelled",
    "tasks_preempted",
)


class WaitingTasks(NamedTuple):
    """Tasks of a job that wait for a machine; `age_s` is since the job's submission."""

    team: str
    cls: str
    tasks: int
    age_s: float


class WaitingTotal(Struct):
    """The waiting tasks of one team and class, and the age of the oldest of their jobs."""

    tasks: int = 0
    oldest_s: float = 0.0


class Counters:
    """Counts events between two calls of `lines`, and in all."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.totals = [0] * len(EVENT_NAMES)  # since the process started

    def increment(self, team: str, cls: str, event: int, count: int = 1) -> None:
        """Count an event, one of the constants of this module."""
        row = self.counts.get((team, cls))
        if row is None:
            key = (team, cls) if len(self.counts) < MAX_TEAM_CLASSES else OTHERS
            row = self.counts.setdefault(key, [0] * len(EVENT_NAMES))
        row[event] += count
        self.totals[event] += count

    def lines(self, waiting: Iterable[WaitingTasks]) -> list[str]:
        """Log lines of the counts since the last call and the tasks now waiting; resets counts."""
        totals = self._waiting_totals(waiting)
        counts, self.counts = self.counts, {}
        no_events = [0] * len(EVENT_NAMES)
        return [
            _line(pair, counts.get(pair, no_events), totals.get(pair, WaitingTotal()))
            for pair in sorted(counts.keys() | totals.keys())
        ]

    def _waiting_totals(
        self, waiting: Iterable[WaitingTasks]
    ) -> dict[tuple[str, str], WaitingTotal]:
        totals: dict[tuple[str, str], WaitingTotal] = {}
        for team, cls, tasks, age_s in waiting:
            key = (team, cls)
            if key not in self.counts and len(totals) >= MAX_TEAM_CLASSES:
                key = OTHERS
            total = totals.setdefault(key, WaitingTotal())
            total.tasks += tasks
            total.oldest_s = max(total.oldest_s, age_s)
        return totals


def _line(pair: tuple[str, str], row: list[int], waiting: WaitingTotal) -> str:
    team, cls = pair
    events = " ".join(f"{name}={count}" for name, count in zip(EVENT_NAMES, row, strict=True))
    return (
        f"events counted: team={team} class={cls} {events} "
        f"tasks_waiting={waiting.tasks} oldest_s={waiting.oldest_s:.1f}"
    )

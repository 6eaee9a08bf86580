"""Counts job and task events by team and class, for one log line per pair each minute.

Class names are chosen by users, so the number of pairs is limited to MAX_TEAM_CLASSES. Further
pairs are counted together.
"""

from collections.abc import Iterable
from typing import NamedTuple

from msgspec import Struct

MAX_TEAM_CLASSES = 100
OTHERS = ("others", "")  # the pair that counts all pairs beyond the limit

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
    """Tasks of a job that wait for a machine. `age_s` is the time since the job's submission."""

    team: str
    cls: str
    tasks: int
    age_s: float


class WaitingTotal(Struct):
    """The waiting tasks of one team and class, and the age of the oldest of their jobs."""

    tasks: int = 0
    oldest_s: float = 0.0


class Counters:
    """Counts events since the last call of `lines`, and since the process started."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.totals = [0] * len(EVENT_NAMES)  # since the process started

    def increment(self, team: str, cls: str, event: int, count: int = 1) -> None:
        """Add to the count of an event, which is one of this module's event constants."""
        row = self.counts.get((team, cls))
        if row is None:
            key = (team, cls) if len(self.counts) < MAX_TEAM_CLASSES else OTHERS
            row = self.counts.setdefault(key, [0] * len(EVENT_NAMES))
        row[event] += count
        self.totals[event] += count

    def lines(self, waiting: Iterable[WaitingTasks]) -> list[str]:
        """Return log lines of the tasks now waiting and the counts since the last call.

        Resets the counts.
        """
        totals = self._waiting_totals(waiting)
        counts, self.counts = self.counts, {}
        no_events = [0] * len(EVENT_NAMES)
        return [
            _format_line(pair, counts.get(pair, no_events), totals.get(pair, WaitingTotal()))
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


def _format_line(pair: tuple[str, str], row: list[int], waiting: WaitingTotal) -> str:
    team, cls = pair
    events = " ".join(f"{name}={count}" for name, count in zip(EVENT_NAMES, row, strict=True))
    return (
        f"events counted: team={team} class={cls} {events} "
        f"tasks_waiting={waiting.tasks} oldest_s={waiting.oldest_s:.1f}"
    )

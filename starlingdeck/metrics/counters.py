"""What was asked and what became of it, by team and class: a line a pair in the log each minute.

Classes are names that users make up: past `MOST_PAIRS` they are counted together.
"""

from collections.abc import Iterable

from msgspec import Struct

MAX_TEAM_CLASSES = 100

OFFERED, ACCEPTED, STARTED, DONE, CANCELLED, STOPPED = range(6)
EVENTS = (
    "jobs offered",
    "accepted",
    "tasks started",
    "jobs done",
    "cancelled",
    "stopped for others",
)


class Waiting(Struct):
    """What waits now: tasks, and how long the oldest of their jobs has been there."""

    tasks: int = 0
    oldest_s: float = 0.0


class Counters:
    """Counts from one set of lines to the next."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], list[int]] = {}
        self.totals = [0] * len(EVENTS)  # of every pair, never forgotten

    def increment(self, team: str, cls: str, event: int, many: int = 1) -> None:
        row = self.counts.get((team, cls))
        if row is None:
            key = (team, cls) if len(self.counts) < MAX_TEAM_CLASSES else ("others", "")
            row = self.counts.setdefault(key, [0] * len(EVENTS))
        row[event] += many
        self.totals[event] += many

    def lines(self, waiting: Iterable[tuple[str, str, int, float]]) -> list[str]:
        """What was noted since the last call, and forget it. `waiting` names tasks that wait for a
        machine: team, class, how many, and for how long their job has been known (s)."""
        found: dict[tuple[str, str], Waiting] = {}
        for team, cls, tasks, age_s in waiting:
            key = (team, cls)
            if key not in self.counts and len(found) >= MAX_TEAM_CLASSES:
                key = ("others", "")
            row = found.setdefault(key, Waiting())
            row.tasks += tasks
            row.oldest_s = max(row.oldest_s, age_s)
        counts, self.counts = self.counts, {}
        none = [0] * len(EVENTS)
        out = []
        for pair in sorted(counts.keys() | found.keys()):
            events = zip(EVENTS, counts.get(pair, none), strict=True)
            told = ", ".join(f"{name} {many}" for name, many in events)
            wait = found.get(pair, Waiting())
            out.append(
                f"{pair[0]}/{pair[1]}: {told}, waiting {wait.tasks}, oldest {wait.oldest_s:.1f} s"
            )
        return out

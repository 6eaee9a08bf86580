"""How a shard uses its part of the minimum shares: which work goes first, and which is protected
from preemption."""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from msgspec import Struct

from starlingdeck.fairness.demand_snapshot import TeamClass

LATE_SHARE = 0.25  # (start) of what a class may start goes to work that can't be in time any more
PROTECTION_SLACK = 1.5  # (start) times its share, up to which protected tasks stay protected
EPSILON = 1e-9  # shares up to this are rounding errors
TASK_ROUNDING = 1e-6  # a part of a task this small is not counted as a further task
MAX_TASKS = 1e9
UNLIMITED_TASKS = 1_000_000  # of tasks that take no share

ShareOf = Callable[[TeamClass], float]


class WorkItem(Struct, frozen=True):
    """One job at this shard. `share` is what one of its tasks takes of the whole capacity."""

    job: int
    team_class: TeamClass
    submitted_ms: int
    share: float
    running: int  # tasks with capacity, or about to get it
    waiting: int
    protected: int = 0  # running tasks that are protected from preemption now
    late: bool = False  # for each of its deadlines


class _ClassBelowShare(NamedTuple):
    """A class that runs less than its share, sorted by how far it is below."""

    ratio: float  # running / share
    team_class: TeamClass
    missing: float


def protected_work(items: Sequence[WorkItem], share_of: ShareOf) -> dict[int, int]:
    """How many running tasks of each job are protected from preemption.

    The oldest jobs of a class come first, up to the class's share. Shares change with the work
    that waits elsewhere: tasks protected already stay so up to `PROTECTION_SLACK` times the
    share, or they would be preempted soon after they were started for it.
    """
    spent: dict[TeamClass, float] = {}
    found: dict[int, int] = {}
    for item in sorted(items, key=lambda item: (item.submitted_ms, item.job)):
        share, used = share_of(item.team_class), spent.get(item.team_class, 0.0)
        tasks = 0
        for max_tasks, limit in (
            (item.running, share),
            (min(item.protected, item.running), share * PROTECTION_SLACK),
        ):
            remaining = limit - used - tasks * item.share
            if max_tasks > tasks and remaining > EPSILON:
                tasks += min(max_tasks - tasks, _tasks_for(remaining, item.share))
        if tasks:
            found[item.job] = tasks
            spent[item.team_class] = used + tasks * item.share
    return found


def below_share(items: Sequence[WorkItem], share_of: ShareOf) -> list[tuple[int, int]]:
    """The waiting jobs that go before all others, with how many tasks each.

    They are those of the classes that run less than their share, the one furthest below first.
    `items` come in the order of the scheduling cycle, which is kept within a class; but
    `LATE_SHARE` of what a class may start goes to its late work, the oldest first, so that it
    ends too.
    """
    running: dict[TeamClass, float] = {}
    waiting: dict[TeamClass, list[WorkItem]] = {}
    for item in items:
        running[item.team_class] = running.get(item.team_class, 0.0) + item.running * item.share
        if item.waiting:
            waiting.setdefault(item.team_class, []).append(item)
    below = []
    for team_class in waiting:
        share = share_of(team_class)
        if running[team_class] < share - EPSILON:
            ratio, missing = running[team_class] / share, share - running[team_class]
            below.append(_ClassBelowShare(ratio, team_class, missing))
    found: dict[int, int] = {}
    for entry in sorted(below):
        own = waiting[entry.team_class]
        late = sorted((w for w in own if w.late), key=lambda w: (w.submitted_ms, w.job))
        spent = _start_waiting(late, entry.missing * LATE_SHARE, found)
        _start_waiting(own, entry.missing - spent, found)
    return list(found.items())


def _start_waiting(items: Sequence[WorkItem], limit: float, found: dict[int, int]) -> float:
    """Add waiting tasks to `found` up to a share; returns the share that they take.

    The last task may exceed the limit: a share smaller than one task would else start none.
    """
    spent = 0.0
    for item in items:
        if limit - spent <= EPSILON:
            break
        before = found.get(item.job, 0)
        tasks = min(item.waiting - before, _tasks_for(limit - spent, item.share))
        if tasks > 0:
            found[item.job] = before + tasks
            spent += tasks * item.share
    return spent


def _tasks_for(limit: float, share: float) -> int:
    """How many tasks it takes to use up a share, the last one possibly in part."""
    if share <= 0:
        return UNLIMITED_TASKS
    return math.ceil(min(MAX_TASKS, limit / share) - TASK_ROUNDING)

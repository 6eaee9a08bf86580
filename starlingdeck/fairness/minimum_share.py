"""Applies a shard's part of the minimum shares to its work.

Decides which work goes first, and which is protected from preemption.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from msgspec import Struct

from starlingdeck.fairness.demand_snapshot import TeamClass

LATE_SHARE = 0.25  # of what a class may start goes to work that can't be on time any more
PROTECTION_SLACK = 1.5  # protected tasks stay protected up to this multiple of the share
EPSILON = 1e-9  # shares up to this are rounding errors
TASK_ROUNDING = 1e-6  # a fraction of a task up to this isn't counted as another task
MAX_TASKS = 1e9
UNLIMITED_TASKS = 1_000_000  # for tasks that take no share

ShareOf = Callable[[TeamClass], float]


class WorkItem(Struct, frozen=True):
    """One job at this shard. `share` is the share of all capacity that one of its tasks takes."""

    job: int
    team_class: TeamClass
    submitted_ms: int
    share: float
    running: int  # tasks that have capacity or are about to get it
    waiting: int
    protected: int = 0  # running tasks that are protected from preemption now
    late: bool = False  # for all of its due times


class _ClassBelowShare(NamedTuple):
    """A class that runs less than its share; the one furthest below sorts first."""

    ratio: float  # running / share
    team_class: TeamClass
    missing: float


def protected_work(items: Sequence[WorkItem], share_of: ShareOf) -> dict[int, int]:
    """Return how many running tasks of each job are protected from preemption, by job.

    The oldest jobs of a class come first, up to the class's share. Shares change with the work that
    waits elsewhere, so tasks that are protected stay protected up to `PROTECTION_SLACK` times the
    share. Otherwise tasks started to reach the share would be preempted soon after.
    """
    spent: dict[TeamClass, float] = {}
    tasks_by_job: dict[int, int] = {}
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
            tasks_by_job[item.job] = tasks
            spent[item.team_class] = used + tasks * item.share
    return tasks_by_job


def below_share(items: Sequence[WorkItem], share_of: ShareOf) -> list[tuple[int, int]]:
    """Return the waiting jobs that go before all others, with how many tasks each.

    These are the jobs of classes that run less than their share, the class furthest below first.
    Within a class the order of `items`, which is that of the scheduling cycle, is kept; but
    `LATE_SHARE` of what a class may start goes to its late work first, the oldest first, so that
    late work finishes too.
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
    tasks_by_job: dict[int, int] = {}
    for below_class in sorted(below):
        class_items = waiting[below_class.team_class]
        late = sorted((w for w in class_items if w.late), key=lambda w: (w.submitted_ms, w.job))
        spent = _add_waiting_tasks(late, below_class.missing * LATE_SHARE, tasks_by_job)
        _add_waiting_tasks(class_items, below_class.missing - spent, tasks_by_job)
    return list(tasks_by_job.items())


def _add_waiting_tasks(
    items: Sequence[WorkItem], limit: float, tasks_by_job: dict[int, int]
) -> float:
    """Add waiting tasks to `tasks_by_job` up to a share. Return the share that they take.

    The last task may exceed the limit, because otherwise a share smaller than one task would start
    none.
    """
    spent = 0.0
    for item in items:
        if limit - spent <= EPSILON:
            break
        before = tasks_by_job.get(item.job, 0)
        tasks = min(item.waiting - before, _tasks_for(limit - spent, item.share))
        if tasks > 0:
            tasks_by_job[item.job] = before + tasks
            spent += tasks * item.share
    return spent


def _tasks_for(limit: float, share: float) -> int:
    """Return how many tasks use up `limit`, the last one possibly only in part."""
    if share <= 0:
        return UNLIMITED_TASKS
    return math.ceil(min(MAX_TASKS, limit / share) - TASK_ROUNDING)

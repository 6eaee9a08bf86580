"""How a shard spends its part of the floors: what goes first, and what isn't stopped for others."""

import math
from collections.abc import Callable, Sequence

from msgspec import Struct

from starlingdeck.fairness.demand_snapshot import TeamClass

LATE_SHARE = 0.25  # (start) of a floor's room for work that can't be in time any more
SLACK = 1.5  # (start) of a part, until what is kept is given up again
NEXT_TO_NOTHING = 1e-9


class WorkItem(Struct, frozen=True):
    """One job at this shard. `share` is what one of its tasks takes of all capacity."""

    key: int
    pair: TeamClass
    at_ms: int
    share: float
    running: int  # tasks that have room, or are about to get it
    waiting: int
    kept: int = 0  # running tasks that nothing may stop for others now
    late: bool = False  # for every aim


def protected_work(works: Sequence[WorkItem], part: Callable[[TeamClass], float]) -> dict[int, int]:
    """How many running tasks of each job nothing may stop for others: a pair's oldest jobs
    first, as far as its part goes. Parts move with the waits elsewhere: what is kept stays so
    up to half as much again, or tasks would be stopped soon after they were started as due."""
    spent: dict[TeamClass, float] = {}
    found: dict[int, int] = {}
    for work in sorted(works, key=lambda w: (w.at_ms, w.key)):
        due, used = part(work.pair), spent.get(work.pair, 0.0)
        tasks = 0
        for most, limit in ((work.running, due), (min(work.kept, work.running), due * SLACK)):
            room = limit - used - tasks * work.share
            if most > tasks and room > NEXT_TO_NOTHING:
                tasks += min(most - tasks, _tasks(room, work.share))
        if tasks:
            found[work.key] = tasks
            spent[work.pair] = used + tasks * work.share
    return found


def below_share(
    works: Sequence[WorkItem], part: Callable[[TeamClass], float]
) -> list[tuple[int, int]]:
    """Which waiting jobs go before all others, and with how many tasks: those of pairs that
    run less than their part, the one furthest below it first. `works` come in the order of the
    plan, which holds within a pair; a quarter of the room is for late work, oldest first, so
    that it ends too."""
    running: dict[TeamClass, float] = {}
    waiting: dict[TeamClass, list[WorkItem]] = {}
    for work in works:
        running[work.pair] = running.get(work.pair, 0.0) + work.running * work.share
        if work.waiting:
            waiting.setdefault(work.pair, []).append(work)
    below = []
    for pair, own in waiting.items():
        due = part(pair)
        if running[pair] < due - NEXT_TO_NOTHING:
            below.append((running[pair] / due, pair, due - running[pair], own))
    found: dict[int, int] = {}
    for _, _, room, own in sorted(below, key=lambda b: b[:2]):
        late = sorted((w for w in own if w.late), key=lambda w: (w.at_ms, w.key))
        spent = _give(late, room * LATE_SHARE, found)
        _give(own, room - spent, found)
    return list(found.items())


def _give(works: Sequence[WorkItem], room: float, found: dict[int, int]) -> float:
    """Add tasks until the room is spent; what they take. The last may overshoot: a part that is
    smaller than one task would else never start any."""
    spent = 0.0
    for work in works:
        if room - spent <= NEXT_TO_NOTHING:
            break
        before = found.get(work.key, 0)
        tasks = min(work.waiting - before, _tasks(room - spent, work.share))
        if tasks > 0:
            found[work.key] = before + tasks
            spent += tasks * work.share
    return spent


def _tasks(room: float, share: float) -> int:
    """How many tasks it takes to spend the room."""
    return math.ceil(min(1e9, room / share) - 1e-6) if share > 0 else 1_000_000

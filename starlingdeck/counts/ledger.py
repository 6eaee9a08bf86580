"""The ledger of a count, and what may be taken from it. Pure: values in, values out.

A ledger's key is changed by compare-and-set only. A shard changes its own number alone, under
its token, and the records of a shard never hold more units than its number says.
"""

from collections.abc import Iterable

import msgspec
from msgspec import Struct

from starlingdeck.machines.machine import may_preempt
from starlingdeck.protocol.api import MAX_UNITS


class Ledger(Struct, omit_defaults=True, frozen=True):
    """A count as the state service keeps it: units held by each shard, and the ceiling."""

    ceiling: int
    held: tuple[int, ...]
    preempt: bool = False
    removed: bool = False
    stop: bool = False  # the last change stops what is over the ceiling
    rev: int = 1  # operators' changes so far

    @property
    def total(self) -> int:
        return sum(self.held)


class Change(Struct, omit_defaults=True):
    """An operator's change, as the history keeps it."""

    rev: int
    at_ms: int
    ceiling: int
    preempt: bool = False
    removed: bool = False
    stop: bool = False
    by: str = ""


def is_valid(ledger: Ledger, shards: int) -> bool:
    """Whether a ledger that was read can be reckoned with."""
    amounts = (ledger.ceiling, *ledger.held)
    return len(ledger.held) == shards and all(0 <= n <= MAX_UNITS for n in amounts)


def cap(ledger: Ledger, shard: int) -> int:
    """How many units a shard may hold, given what the others hold."""
    if ledger.removed:
        return 0
    return ledger.ceiling - (ledger.total - ledger.held[shard])


def hold(ledger: Ledger, shard: int, units: int) -> Ledger:
    held = list(ledger.held)
    held[shard] = units
    return msgspec.structs.replace(ledger, held=tuple(held))


def grant(ledger: Ledger, shard: int, after: int) -> Ledger | None:
    """The ledger with which a shard may have `after` units in use; None if it may not.

    The same ledger if it holds as many already. Where more is held than the ceiling, which
    was lowered, only what brings it under the ceiling is granted.
    """
    if after > cap(ledger, shard):
        return None
    if after <= ledger.held[shard] and ledger.total <= ledger.ceiling:
        return ledger
    return hold(ledger, shard, after)


class Waiter(Struct, frozen=True):
    """The best task of a shard that waits for units of a count."""

    shard: int
    job: str
    team: int
    guaranteed: bool
    rank: int
    at_ms: int
    units: int  # that it lacks
    claim: bool = False  # units that come free are to be kept for it


def outranks(one: Waiter, other: Waiter, turn_ms: float) -> bool:
    """Whether `one` goes before `other`, which waits at another shard.

    Guarantee, then rank; among equals whoever came clearly earlier. Strictly by arrival, units
    would travel between shards at every end. A claim goes by arrival alone.
    """
    first, second = (one.guaranteed, one.rank), (other.guaranteed, other.rank)
    if first != second:
        return first > second
    if one.claim or other.claim:
        return (one.at_ms, one.job) < (other.at_ms, other.job)
    return one.at_ms + turn_ms < other.at_ms


class UnitUse(Struct, frozen=True):
    """A task that holds units, for choosing which is to stop."""

    shard: int
    job: str
    task: int
    team: int
    guaranteed: bool
    rank: int
    began_ms: int
    units: int
    yields: bool = False


def victims(uses: Iterable[UnitUse], excess: int, new: Waiter | None = None) -> list[UnitUse]:
    """Which tasks are to stop so that `excess` units come free: lowest rank, youngest first.

    Those already told to count first. For a waiter only work that it may preempt, and nobody
    is stopped if that doesn't make enough room.
    """
    found = []
    for use in sorted(uses, key=lambda u: (not u.yields, u.rank, -u.began_ms, u.job, u.task)):
        if excess <= 0:
            break
        if use.yields or new is None or may_preempt(new, use, False):
            excess -= use.units
            found.append(use)
    return found if new is None or excess <= 0 else []

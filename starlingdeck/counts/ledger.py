"""The ledger of a counted resource, and how many units a shard may allocate from it.

The functions have no side effects. A ledger's key is changed by compare-and-set only. A shard
changes only its own allocation, under its fencing token, and the tasks in a shard's records never
use more units than are allocated to it.
"""

import msgspec
from msgspec import Struct, field

from starlingdeck.protocol.api import MAX_UNITS

# A shard and the interned name of a counted resource; a plain tuple, as headroom builds one per
# job.
ShardResource = tuple[int, int]


class Ledger(Struct, omit_defaults=True, frozen=True):
    """A counted resource as the state service keeps it."""

    ceiling: int
    allocated: tuple[int, ...] = field(name="held")  # units of each shard
    preempt: bool = False  # waiting tasks may preempt running ones of lower priority
    removed: bool = False
    preempt_excess: bool = field(
        default=False, name="stop"
    )  # tasks are preempted while more than the ceiling is allocated
    revision: int = field(default=1, name="rev")  # number of changes by operators

    @property
    def total(self) -> int:
        """Units allocated over all shards."""
        return sum(self.allocated)


class LedgerChange(Struct, omit_defaults=True):
    """A change of a ledger as stored in its history: its declaration, or an operator's."""

    revision: int = field(name="rev")
    at_ms: int
    ceiling: int
    preempt: bool = False
    removed: bool = False
    preempt_excess: bool = field(default=False, name="stop")
    author: str = field(default="", name="by")


def is_valid(ledger: Ledger, shards: int) -> bool:
    """Return whether a ledger that was read has an amount for each shard, all within bounds."""
    amounts = (ledger.ceiling, *ledger.allocated)
    return len(ledger.allocated) == shards and all(0 <= n <= MAX_UNITS for n in amounts)


def max_units(ledger: Ledger, shard: int) -> int:
    """Return how many units a shard may have allocated, given those of the other shards."""
    if ledger.removed:
        return 0
    return ledger.ceiling - (ledger.total - ledger.allocated[shard])


def with_units(ledger: Ledger, shard: int, units: int) -> Ledger:
    """Return the ledger with `units` units allocated to a shard."""
    allocated = list(ledger.allocated)
    allocated[shard] = units
    return msgspec.structs.replace(ledger, allocated=tuple(allocated))


def grant(ledger: Ledger, shard: int, units: int) -> Ledger | None:
    """Return the ledger under which a shard may use `units` units; None if it may not.

    This is the same ledger if that many are allocated to the shard already. While the total is
    over a lowered ceiling, the shard's allocation is reduced to `units` instead.
    """
    if units > max_units(ledger, shard):
        return None
    if units <= ledger.allocated[shard] and ledger.total <= ledger.ceiling:
        return ledger
    return with_units(ledger, shard, units)


def describe(ledger: Ledger) -> str:
    """Return a ledger as key=value pairs, for log lines."""
    return (
        f"ceiling={ledger.ceiling} allocated={ledger.total}"
        f" by_shard={list(ledger.allocated)} removed={ledger.removed}"
    )

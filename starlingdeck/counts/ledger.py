"""The ledger of a counted resource, and how many units a shard may allocate from it.

Pure functions: values in, values out. A ledger's key is changed by compare-and-set only. A shard
changes its own number alone, under its fencing token, and the tasks in the records of a shard
never use more units than its number says.
"""

import msgspec
from msgspec import Struct, field

from starlingdeck.protocol.api import MAX_UNITS

# A shard and the interned name of a counted resource. A plain tuple: headroom builds one per job.
ShardResource = tuple[int, int]


class Ledger(Struct, omit_defaults=True, frozen=True):
    """A counted resource as the state service keeps it."""

    ceiling: int
    allocated: tuple[int, ...] = field(name="held")  # units of each shard
    preempt: bool = False  # higher work that waits may preempt lower work
    removed: bool = False
    preempt_excess: bool = field(
        default=False, name="stop"
    )  # what is over the ceiling is preempted
    revision: int = field(default=1, name="rev")  # number of changes by operators

    @property
    def total(self) -> int:
        """Units allocated over all shards."""
        return sum(self.allocated)


class LedgerChange(Struct, omit_defaults=True):
    """An operator's change of a ledger, as the history keeps it."""

    revision: int = field(name="rev")
    at_ms: int
    ceiling: int
    preempt: bool = False
    removed: bool = False
    preempt_excess: bool = field(default=False, name="stop")
    author: str = field(default="", name="by")


def is_valid(ledger: Ledger, shards: int) -> bool:
    """Whether a ledger that was read has a number for each shard, all within bounds."""
    amounts = (ledger.ceiling, *ledger.allocated)
    return len(ledger.allocated) == shards and all(0 <= n <= MAX_UNITS for n in amounts)


def max_units(ledger: Ledger, shard: int) -> int:
    """How many units a shard may have allocated, given those of the others."""
    if ledger.removed:
        return 0
    return ledger.ceiling - (ledger.total - ledger.allocated[shard])


def with_units(ledger: Ledger, shard: int, units: int) -> Ledger:
    """The ledger with another number of units for a shard."""
    allocated = list(ledger.allocated)
    allocated[shard] = units
    return msgspec.structs.replace(ledger, allocated=tuple(allocated))


def grant(ledger: Ledger, shard: int, units: int) -> Ledger | None:
    """The ledger with which a shard may have `units` units in use; None if it may not.

    The same ledger if as many are allocated to it already. Where more are allocated than a
    lowered ceiling, the shard's number falls to what it uses.
    """
    if units > max_units(ledger, shard):
        return None
    if units <= ledger.allocated[shard] and ledger.total <= ledger.ceiling:
        return ledger
    return with_units(ledger, shard, units)


def describe(ledger: Ledger) -> str:
    """A ledger as key=value pairs, for log lines."""
    return (
        f"ceiling={ledger.ceiling} allocated={ledger.total}"
        f" by_shard={list(ledger.allocated)} removed={ledger.removed}"
    )

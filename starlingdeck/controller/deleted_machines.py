"""Machines that the cloud has deleted, which controllers announce to each other by gossip."""

from collections.abc import Iterable, Iterator, Mapping

from starlingdeck.context import ControllerContext
from starlingdeck.machines.machine_shard import MachineShard

ANNOUNCE_S = 60.0  # a controller announces a deleted machine for this long after learning of it


class DeletedMachines:
    """The names of deleted machines, with the times when this controller learned of them.

    A name is kept for longer than all controllers together announce it. Otherwise a controller
    that had dropped a name would take it as new from one that still announces it, and the name
    would circulate for ever.
    """

    def __init__(self, context: ControllerContext, machines: Mapping[int, MachineShard]) -> None:
        self.context = context
        self.machines = machines
        self.deleted_at: dict[str, float] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self.deleted_at)

    def __contains__(self, name: object) -> bool:
        return name in self.deleted_at

    def record(self, names: Iterable[str]) -> None:
        """Mark machines as deleted in all owned shards, and drop names that are old enough."""
        now = self.context.now()
        retention_s = ANNOUNCE_S * (self.context.shard_count + 1)
        for name in names:
            self.deleted_at[name] = now
            for machines in self.machines.values():
                machines.mark_deleted(name)
        for name in [n for n, at in self.deleted_at.items() if now - at > retention_s]:
            del self.deleted_at[name]

    def record_announced(self, names: Iterable[str]) -> None:
        """Record the machines that a peer announces and that are not known here yet."""
        fresh = [name for name in names if name not in self.deleted_at]
        if fresh:
            self.record(fresh)

    def announced(self) -> Iterator[str]:
        """Return the names to announce to peers now."""
        now = self.context.now()
        return (name for name, at in self.deleted_at.items() if now - at <= ANNOUNCE_S)

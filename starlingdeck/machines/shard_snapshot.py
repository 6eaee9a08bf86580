"""A follower's copy of a machine shard's state, updated from the owner's snapshots."""

from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.protocol import peer_pb2 as pb

TIMESTAMP_INTERVAL_S = 0.5  # resolution of the recorded arrival times
MAX_TIMESTAMPS = 60
NEVER_S = -1e9  # earlier than any time of a steady clock


class Timestamp(NamedTuple):
    """The times at which a snapshot was received and built."""

    received_at: float  # by our steady clock, in seconds
    built_ms: int  # by its owner's clock


class ShardSnapshot(Struct):
    """The state of one machine shard during the ownership that `epoch` identifies."""

    context: ControllerContext
    shard: int
    epoch: int
    seq: int = 0
    owner_valid: bool = False
    applied_seqs: dict[int, tuple[int, int]] = field(default_factory=dict)
    lost_machines: set[int] = field(default_factory=set)
    machines: dict[int, pb.MachineState] = field(default_factory=dict)
    received_at: float = 0.0  # when a snapshot last arrived
    timestamps: list[Timestamp] = field(default_factory=list)  # the newest last
    evaluated_at: float = NEVER_S  # when all attempts there were last evaluated
    # Machine -> its tasks by job, number and attempt; built on the first lookup.
    tasks: dict[int, dict[tuple[str, int, int], pb.ObservedTask]] = field(default_factory=dict)

    def apply(self, message: pb.Snapshot) -> set[int] | None:
        """Apply a snapshot and return the machines it changed.

        Return None when it doesn't follow the last one.
        """
        if not message.full and message.seq != self.seq + 1:
            return None
        changed = self._apply_machines(message)
        if message.valid != self.owner_valid:
            changed |= self.machines.keys()
        machine_names = self.context.machine_names
        self.seq, self.owner_valid = message.seq, message.valid
        self.applied_seqs = {a.shard: (a.token, a.seq) for a in message.acks}
        self.lost_machines = {machine_names.intern(name) for name in message.lost_machines}
        self.received_at = self.context.now()
        if message.timestamp_ms:
            self._record_timestamp(Timestamp(self.received_at, message.timestamp_ms))
        return changed

    def _apply_machines(self, message: pb.Snapshot) -> set[int]:
        machine_names = self.context.machine_names
        entries = {machine_names.intern(machine.id): machine for machine in message.machines}
        changed = set(entries)
        if message.full:
            changed |= self.machines.keys()
            self.machines = entries
        else:
            self.machines.update(entries)
            for name in message.removed_machines:
                index = machine_names.intern(name)
                changed.add(index)
                self.machines.pop(index, None)
        for index in changed:
            self.tasks.pop(index, None)
        return changed

    def _record_timestamp(self, timestamp: Timestamp) -> None:
        known = self.timestamps
        if len(known) > 1 and timestamp.received_at - known[-2].received_at < TIMESTAMP_INTERVAL_S:
            known[-1] = timestamp
        else:
            self.timestamps = [*known[-MAX_TIMESTAMPS:], timestamp]

    def watermark_ms(self, before: float) -> int:
        """Return the latest time of the owner's clock that had arrived by `before`, or 0."""
        return next((built for at, built in reversed(self.timestamps) if at <= before), 0)

    def task(self, machine: int, job: str, task: int, attempt: int) -> pb.ObservedTask | None:
        """Return a task's attempt as its machine last reported it, or None."""
        found = self.tasks.get(machine)
        if found is None:
            entry = self.machines.get(machine)
            items = entry.tasks if entry is not None else ()
            found = self.tasks[machine] = {(t.job, t.task, t.attempt): t for t in items}
        return found.get((job, task, attempt))


def apply_snapshot_message(
    context: ControllerContext, snapshots: dict[int, ShardSnapshot], message: pb.Snapshot
) -> set[int] | None:
    """Apply a snapshot to the copy of its shard; None when a full snapshot is needed.

    A snapshot older than the last one applied changes nothing.
    """
    snapshot = snapshots.get(message.shard)
    if snapshot is None or snapshot.epoch != message.epoch:
        if not message.full and message.seq != 1:
            return None
        snapshot = snapshots[message.shard] = ShardSnapshot(context, message.shard, message.epoch)
    elif message.seq < snapshot.seq or (message.seq == snapshot.seq and not message.full):
        return set()
    return snapshot.apply(message)

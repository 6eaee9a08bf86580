"""What this node sees of a machine shard, here or at a peer, kept up from its views."""

from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.protocol import peer_pb2 as pb

TIMESTAMP_INTERVAL_S = 0.5
MAX_TIMESTAMPS = 60


class ShardSnapshot(Struct):
    context: ControllerContext
    shard: int
    epoch: int
    seq: int = 0
    owner_valid: bool = False
    applied_seqs: dict[int, tuple[int, int]] = field(default_factory=dict)
    lost_machines: set[int] = field(default_factory=set)
    machines: dict[int, pb.MachineState] = field(default_factory=dict)
    received_at: float = 0.0  # when a view last came
    # When views came, and when they were made by their holder's clock; the newest last.
    timestamps: list[tuple[float, int]] = field(default_factory=list)
    evaluated_at: float = -1e9  # when every attempt there was last judged
    tasks: dict[int, dict[tuple[str, int, int], pb.ObservedTask]] = field(default_factory=dict)

    def apply(self, message: pb.Snapshot) -> set[int] | None:
        """The machines that a view changed; None when it doesn't follow what is known."""
        context = self.context
        if not message.full and message.seq != self.seq + 1:
            return None
        touched = {
            context.machine_names.intern(machine.id): machine for machine in message.machines
        }
        changed = set(touched)
        if message.full:
            changed |= self.machines.keys()
            self.machines = touched
        else:
            self.machines.update(touched)
            for name in message.removed_machines:
                index = context.machine_names.intern(name)
                changed.add(index)
                self.machines.pop(index, None)
        for index in changed:
            self.tasks.pop(index, None)
        if message.valid != self.owner_valid:
            changed |= self.machines.keys()
        self.seq, self.owner_valid = message.seq, message.valid
        self.applied_seqs = {a.shard: (a.token, a.seq) for a in message.acks}
        self.lost_machines = {context.machine_names.intern(name) for name in message.lost_machines}
        self.received_at = context.now()
        if message.timestamp_ms:
            if (
                len(self.timestamps) > 1
                and self.received_at - self.timestamps[-2][0] < TIMESTAMP_INTERVAL_S
            ):
                self.timestamps[-1] = (self.received_at, message.timestamp_ms)
            else:
                self.timestamps = [
                    *self.timestamps[-MAX_TIMESTAMPS:],
                    (self.received_at, message.timestamp_ms),
                ]
        return changed

    def watermark_ms(self, before: float) -> int:
        """The latest time by its holder's clock that had come here by then; 0 if none had."""
        return next((stamp for at, stamp in reversed(self.timestamps) if at <= before), 0)

    def task(self, machine: int, job: str, task: int, attempt: int) -> pb.ObservedTask | None:
        found = self.tasks.get(machine)
        if found is None:
            entry = self.machines.get(machine)
            items = entry.tasks if entry is not None else ()
            found = self.tasks[machine] = {(t.job, t.task, t.attempt): t for t in items}
        return found.get((job, task, attempt))


def apply_snapshot_message(
    context: ControllerContext, snapshots: dict[int, ShardSnapshot], message: pb.Snapshot
) -> set[int] | None:
    """Take a view into what is known of its shard; None when the whole is needed.

    A view older than the one last taken says nothing new, and changes nothing.
    """
    snapshot = snapshots.get(message.shard)
    if snapshot is None or snapshot.epoch != message.epoch:
        if not message.full and message.seq != 1:
            return None
        snapshot = snapshots[message.shard] = ShardSnapshot(context, message.shard, message.epoch)
    elif message.seq < snapshot.seq or (message.seq == snapshot.seq and not message.full):
        return set()
    return snapshot.apply(message)

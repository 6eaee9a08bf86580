"""What this node sees of a machine shard, here or at a peer, kept up from its views."""

from msgspec import Struct, field

from starlingdeck.context import World
from starlingdeck.protocol import peer_pb2 as pb

STAMP_EVERY_S = 0.5
STAMPS = 60


class Sight(Struct):
    world: World
    shard: int
    gen: int
    seq: int = 0
    valid: bool = False
    acks: dict[int, tuple[int, int]] = field(default_factory=dict)
    dead: set[int] = field(default_factory=set)
    machines: dict[int, pb.Machine] = field(default_factory=dict)
    at: float = 0.0  # when a view last came
    # When views came, and when they were made by their holder's clock; the newest last.
    stamps: list[tuple[float, int]] = field(default_factory=list)
    judged_at: float = -1e9  # when every attempt there was last judged
    tasks: dict[int, dict[tuple[str, int, int], pb.Seen]] = field(default_factory=dict)

    def take(self, view: pb.View) -> set[int] | None:
        """The machines that a view changed; None when it doesn't follow what is known."""
        world = self.world
        if not view.whole and view.seq != self.seq + 1:
            return None
        touched = {world.machines.put(m.id): m for m in view.machines}
        changed = set(touched)
        if view.whole:
            changed |= self.machines.keys()
            self.machines = touched
        else:
            self.machines.update(touched)
            for name in view.removed:
                index = world.machines.put(name)
                changed.add(index)
                self.machines.pop(index, None)
        for index in changed:
            self.tasks.pop(index, None)
        if view.valid != self.valid:
            changed |= self.machines.keys()
        self.seq, self.valid = view.seq, view.valid
        self.acks = {a.shard: (a.token, a.seq) for a in view.acks}
        self.dead = {world.machines.put(name) for name in view.dead}
        self.at = world.now()
        if view.stamp_ms:
            if len(self.stamps) > 1 and self.at - self.stamps[-2][0] < STAMP_EVERY_S:
                self.stamps[-1] = (self.at, view.stamp_ms)
            else:
                self.stamps = [*self.stamps[-STAMPS:], (self.at, view.stamp_ms)]
        return changed

    def echo_ms(self, before: float) -> int:
        """The latest time by its holder's clock that had come here by then; 0 if none had."""
        return next((stamp for at, stamp in reversed(self.stamps) if at <= before), 0)

    def task(self, machine: int, job: str, task: int, attempt: int) -> pb.Seen | None:
        found = self.tasks.get(machine)
        if found is None:
            entry = self.machines.get(machine)
            items = entry.tasks if entry is not None else ()
            found = self.tasks[machine] = {(t.job, t.task, t.attempt): t for t in items}
        return found.get((job, task, attempt))


def follow(world: World, sights: dict[int, Sight], view: pb.View) -> set[int] | None:
    """Take a view into what is known of its shard; None when the whole is needed.

    A view older than the one last taken says nothing new, and changes nothing.
    """
    sight = sights.get(view.shard)
    if sight is None or sight.gen != view.gen:
        if not view.whole and view.seq != 1:
            return None
        sight = sights[view.shard] = Sight(world, view.shard, view.gen)
    elif view.seq < sight.seq or (view.seq == sight.seq and not view.whole):
        return set()
    return sight.take(view)

"""Every machine known, with its room by the newest views and less what was just asked for."""

from collections.abc import Collection

from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import Size, World, total_of
from starlingdeck.machines.scoring import Room
from starlingdeck.machines.shard_snapshot import Sight
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

ASKED_S = 2.5  # how long room asked for counts as gone when no answer comes
GIVEN_S = 0.4  # and how long after it was given: by then a view shows it


class Taken(Struct):
    until: float
    size: Size
    room: Room  # as it was picked
    image: str
    given: bool = False


class Rooms:
    def __init__(self, world: World, membership: Membership, peers: Peers) -> None:
        self.world = world
        self.membership = membership
        self.peers = peers
        self.shards: dict[int, dict[int, Room]] = {}
        self.sights: dict[int, Sight] = {}
        self.drawn: dict[int, bool] = {}
        self.taken: dict[int, dict[tuple[int, int], Taken]] = {}
        self.news = True

    def show(self, sight: Sight, touched: Collection[int]) -> None:
        """Machines of a shard have changed."""
        if self.sights.get(sight.shard) is not sight:
            # A new holder: what only the former one saw may be gone, and nobody would say so.
            self.shards.pop(sight.shard, None)
            self.sights[sight.shard] = sight
        shard = self.shards.setdefault(sight.shard, {})
        for index in touched:
            entry = sight.machines.get(index)
            room = self._room(sight, index, entry) if entry is not None else None
            if room is not None:
                shard[index] = room
            else:
                shard.pop(index, None)
        if shard and touched:
            self.drawn.pop(sight.shard, None)
            self.news = True

    def forget(self, shard: int) -> None:
        self.shards.pop(shard, None)
        self.sights.pop(shard, None)
        self.drawn.pop(shard, None)

    def _room(self, sight: Sight, index: int, m: pb.Machine) -> Room | None:
        world = self.world
        kind = world.types.get(world.type_names.put(m.type))
        if kind is None:
            return None
        free = [m.free_cpus, m.free_gpus, m.free_memory_gb]
        for taken in self.taken.get(index, {}).values():
            free = [f - s for f, s in zip(free, taken.size, strict=True)]
        return Room(
            index,
            world.type_names.put(m.type),
            world.zones.put(m.zone),
            m.spot,
            sight.shard,
            total_of(kind),
            free,
            m.drawable,
            m.dead,
            m.draining,
            m.notice,
            any(t.state != api.EXITED for t in m.tasks),
            m.silent_s,
            m.idle_s,
            at=world.now(),
            open=m.drawable,
            pull=kind.fetch_gb_per_s,
            images=set(m.images),
            fetching=set(m.fetching),
            youngest_s=list(m.youngest_s),
            deaf_s=m.deaf_s,
            present={(j, t.task) for t in m.tasks if (j := world.jobs.get(t.job)) is not None},
        )

    def all(self) -> list[Room]:
        """Rooms that a silent owner can't reserve are not drawable."""
        now = self.world.now()
        self._expire(now)
        for shard, rooms in self.shards.items():
            sight = self.sights[shard]
            holder = self.membership.holders.get(shard)
            near = holder is not None and holder.gen == sight.gen and self.peers.up(holder.node)
            draws = near and sight.valid and now - sight.at < self.world.tuning.expiry_s
            if self.drawn.get(shard) is not draws:
                self.drawn[shard] = draws
                for room in rooms.values():
                    room.drawable = draws and room.open
        return [room for rooms in self.shards.values() for room in rooms.values()]

    # --- what was asked for, and is not yet shown

    def take(self, room: Room, key: tuple[int, int], size: Size, image: str) -> None:
        """The picker has lowered the room's free amounts already, and marked the task there."""
        until = self.world.now() + ASKED_S
        self.taken.setdefault(room.index, {})[key] = Taken(until, size, room, image)
        current = self._current(room.index)
        if current is not None and current is not room:
            # Shown anew while the picker gave way to others.
            current.free = [f - s for f, s in zip(current.free, size, strict=True)]

    def answered(self, room: Room, key: tuple[int, int], given: bool) -> None:
        taken = self.taken.get(room.index, {}).get(key)
        if taken is not None and given:
            taken.until, taken.given = self.world.now() + GIVEN_S, True
        elif taken is not None:
            self._return(room.index, key)

    def _current(self, index: int) -> Room | None:
        return next((rooms[index] for rooms in self.shards.values() if index in rooms), None)

    def _return(self, index: int, key: tuple[int, int]) -> None:
        taken = self.taken[index].pop(key)
        others = self.taken[index].values()
        room = self._current(index)
        if room is not None:
            room.free = [f + s for f, s in zip(room.free, taken.size, strict=True)]
        if room is taken.room and not taken.given:
            # Else the task would pass the machine over, and its image would count as on its
            # way there, until the machine is shown again.
            room.present.discard(key)
            if not any(other.image == taken.image for other in others):
                room.fetching.discard(taken.image)
        if not others:
            del self.taken[index]

    def _expire(self, now: float) -> None:
        late = [
            (index, key)
            for index, keys in self.taken.items()
            for key, taken in keys.items()
            if taken.until <= now
        ]
        for index, key in late:
            self._return(index, key)

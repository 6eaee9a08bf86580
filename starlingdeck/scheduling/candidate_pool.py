"""Every machine known, with its room by the newest views and less what was just asked for."""

from collections.abc import Collection

from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext, Resources, machine_capacity
from starlingdeck.machines.scoring import Candidate
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

UNANSWERED_RETENTION_S = 2.5  # how long room asked for counts as gone when no answer comes
GRANTED_RETENTION_S = 0.4  # and how long after it was given: by then a view shows it


class PendingAllocation(Struct):
    expires_at: float
    size: Resources
    candidate: Candidate  # as it was picked
    image: str
    granted: bool = False


class CandidatePool:
    def __init__(self, context: ControllerContext, membership: Membership, peers: Peers) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.shards: dict[int, dict[int, Candidate]] = {}
        self.snapshots: dict[int, ShardSnapshot] = {}
        self.owner_schedulable: dict[int, bool] = {}
        self.pending_allocations: dict[int, dict[tuple[int, int], PendingAllocation]] = {}
        self.changed = True

    def update(self, snapshot: ShardSnapshot, touched: Collection[int]) -> None:
        """Machines of a shard have changed."""
        if self.snapshots.get(snapshot.shard) is not snapshot:
            # A new holder: what only the former one saw may be gone, and nobody would say so.
            self.shards.pop(snapshot.shard, None)
            self.snapshots[snapshot.shard] = snapshot
        shard = self.shards.setdefault(snapshot.shard, {})
        for index in touched:
            entry = snapshot.machines.get(index)
            candidate = self._candidate(snapshot, index, entry) if entry is not None else None
            if candidate is not None:
                shard[index] = candidate
            else:
                shard.pop(index, None)
        if shard and touched:
            self.owner_schedulable.pop(snapshot.shard, None)
            self.changed = True

    def remove_shard(self, shard: int) -> None:
        self.shards.pop(shard, None)
        self.snapshots.pop(shard, None)
        self.owner_schedulable.pop(shard, None)

    def _candidate(
        self, snapshot: ShardSnapshot, index: int, machine: pb.MachineState
    ) -> Candidate | None:
        context = self.context
        kind = context.machine_types.get(context.type_names.intern(machine.type))
        if kind is None:
            return None
        free = [machine.available_cpus, machine.available_gpus, machine.available_memory_gb]
        for taken in self.pending_allocations.get(index, {}).values():
            free = [f - s for f, s in zip(free, taken.size, strict=True)]
        return Candidate(
            index,
            context.type_names.intern(machine.type),
            context.zone_names.intern(machine.zone),
            machine.spot,
            snapshot.shard,
            machine_capacity(kind),
            free,
            machine.schedulable,
            machine.lost,
            machine.draining,
            machine.termination_notice,
            any(t.state != api.EXITED for t in machine.tasks),
            machine.silent_s,
            machine.idle_s,
            observed_at=context.now(),
            owner_schedulable=machine.schedulable,
            fetch_gb_per_s=kind.fetch_gb_per_s,
            images=set(machine.images),
            fetching=set(machine.fetching),
            youngest_s=list(machine.youngest_s),
            unconfirmed_s=machine.unconfirmed_s,
            tasks={
                (j, t.task)
                for t in machine.tasks
                if (j := context.job_names.find(t.job)) is not None
            },
        )

    def candidates(self) -> list[Candidate]:
        """Rooms that a silent owner can't reserve are not drawable."""
        now = self.context.now()
        self._expire(now)
        for shard, candidates in self.shards.items():
            snapshot = self.snapshots[shard]
            owner = self.membership.owners.get(shard)
            near = (
                owner is not None
                and owner.epoch == snapshot.epoch
                and self.peers.is_reachable(owner.node)
            )
            draws = (
                near
                and snapshot.owner_valid
                and now - snapshot.received_at < self.context.tuning.expiry_s
            )
            if self.owner_schedulable.get(shard) is not draws:
                self.owner_schedulable[shard] = draws
                for candidate in candidates.values():
                    candidate.schedulable = draws and candidate.owner_schedulable
        return [room for rooms in self.shards.values() for room in rooms.values()]

    # --- what was asked for, and is not yet shown

    def allocate(
        self, candidate: Candidate, key: tuple[int, int], size: Resources, image: str
    ) -> None:
        """The picker has lowered the room's free amounts already, and marked the task there."""
        until = self.context.now() + UNANSWERED_RETENTION_S
        self.pending_allocations.setdefault(candidate.index, {})[key] = PendingAllocation(
            until, size, candidate, image
        )
        current = self._current(candidate.index)
        if current is not None and current is not candidate:
            # Shown anew while the picker gave way to others.
            current.available = [f - s for f, s in zip(current.available, size, strict=True)]

    def resolve(self, candidate: Candidate, key: tuple[int, int], given: bool) -> None:
        taken = self.pending_allocations.get(candidate.index, {}).get(key)
        if taken is not None and given:
            taken.expires_at, taken.granted = self.context.now() + GRANTED_RETENTION_S, True
        elif taken is not None:
            self._return(candidate.index, key)

    def _current(self, index: int) -> Candidate | None:
        return next(
            (candidates[index] for candidates in self.shards.values() if index in candidates), None
        )

    def _return(self, index: int, key: tuple[int, int]) -> None:
        taken = self.pending_allocations[index].pop(key)
        others = self.pending_allocations[index].values()
        candidate = self._current(index)
        if candidate is not None:
            candidate.available = [
                f + s for f, s in zip(candidate.available, taken.size, strict=True)
            ]
        if candidate is taken.candidate and not taken.granted:
            # Else the task would pass the machine over, and its image would count as on its
            # way there, until the machine is shown again.
            candidate.tasks.discard(key)
            if not any(other.image == taken.image for other in others):
                candidate.fetching.discard(taken.image)
        if not others:
            del self.pending_allocations[index]

    def _expire(self, now: float) -> None:
        late = [
            (index, key)
            for index, keys in self.pending_allocations.items()
            for key, taken in keys.items()
            if taken.expires_at <= now
        ]
        for index, key in late:
            self._return(index, key)

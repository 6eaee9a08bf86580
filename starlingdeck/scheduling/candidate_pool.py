"""Keeps every known machine as a placement candidate.

A candidate's free capacity is that of the newest snapshot, less the pending allocations:
reservations that this controller has requested and the snapshot doesn't show yet.
"""

from collections.abc import Collection, Iterator

from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext, Resources, machine_capacity
from starlingdeck.machines.scoring import Candidate
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

UNANSWERED_RETENTION_S = 2.5  # how long an unanswered request counts as allocated
# How long a granted request counts as allocated; after that a snapshot shows the reservation.
GRANTED_RETENTION_S = 0.4

TaskKey = tuple[int, int]  # job index, task number


class PendingAllocation(Struct):
    """A requested reservation that the machine's snapshot may not show yet."""

    expires_at: float
    size: Resources
    candidate: Candidate  # as it was chosen; a newer snapshot may have replaced it
    image: str
    granted: bool = False


class CandidatePool:
    """The candidates of all machine shards, kept up to date with their snapshots."""

    def __init__(self, context: ControllerContext, membership: Membership, peers: Peers) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.shards: dict[int, dict[int, Candidate]] = {}
        self.snapshots: dict[int, ShardSnapshot] = {}
        self.shard_schedulable: dict[int, bool] = {}
        self.pending_allocations: dict[int, dict[TaskKey, PendingAllocation]] = {}
        self.changed = True  # whether any machine has changed since the last scheduling cycle

    def update(self, snapshot: ShardSnapshot, changed_machines: Collection[int]) -> None:
        """Rebuild the candidates of a shard's machines that have changed."""
        if self.snapshots.get(snapshot.shard) is not snapshot:
            # The shard has a new owner. Machines that only the former owner knew may not exist any
            # more, and the new owner's updates would never remove them.
            self.shards.pop(snapshot.shard, None)
            self.snapshots[snapshot.shard] = snapshot
        shard = self.shards.setdefault(snapshot.shard, {})
        for index in changed_machines:
            machine = snapshot.machines.get(index)
            candidate = (
                self._build_candidate(snapshot, index, machine) if machine is not None else None
            )
            if candidate is not None:
                shard[index] = candidate
            else:
                shard.pop(index, None)
        if shard and changed_machines:
            self.shard_schedulable.pop(snapshot.shard, None)
            self.changed = True

    def remove_shard(self, shard: int) -> None:
        """Remove a machine shard and its candidates."""
        self.shards.pop(shard, None)
        self.snapshots.pop(shard, None)
        self.shard_schedulable.pop(shard, None)

    def _build_candidate(
        self, snapshot: ShardSnapshot, index: int, machine: pb.MachineState
    ) -> Candidate | None:
        """Return a machine's candidate, or None while its type isn't known."""
        context = self.context
        machine_type = context.machine_types.get(context.type_names.intern(machine.type))
        if machine_type is None:
            return None
        available = [machine.available_cpus, machine.available_gpus, machine.available_memory_gb]
        for pending in self.pending_allocations.get(index, {}).values():
            available = _subtract(available, pending.size)
        return Candidate(
            index,
            context.type_names.intern(machine.type),
            context.zone_names.intern(machine.zone),
            machine.spot,
            snapshot.shard,
            machine_capacity(machine_type),
            available,
            machine.schedulable,
            machine.lost,
            machine.draining,
            machine.termination_notice,
            any(task.state != api.TASK_EXITED for task in machine.tasks),
            machine.silent_s,
            machine.idle_s,
            observed_at=context.now(),
            owner_schedulable=machine.schedulable,
            fetch_gb_per_s=machine_type.fetch_gb_per_s,
            images=set(machine.images),
            fetching=set(machine.fetching),
            youngest_s=list(machine.youngest_s),
            unconfirmed_s=machine.unconfirmed_s,
            tasks={
                (job, task.task)
                for task in machine.tasks
                if (job := context.job_names.find(task.job)) is not None
            },
        )

    def candidates(self) -> list[Candidate]:
        """Return all candidates, after expiring pending allocations.

        Candidates whose shard's owner can't reserve capacity now are marked as unschedulable.
        """
        now = self.context.now()
        self._expire(now)
        for shard, candidates in self.shards.items():
            schedulable = self._owner_can_reserve(shard, now)
            if self.shard_schedulable.get(shard) is not schedulable:
                self.shard_schedulable[shard] = schedulable
                for candidate in candidates.values():
                    candidate.schedulable = schedulable and candidate.owner_schedulable
        return [
            candidate for candidates in self.shards.values() for candidate in candidates.values()
        ]

    def _owner_can_reserve(self, shard: int, now: float) -> bool:
        """Return whether a shard's snapshot is fresh, valid and of its current, reachable owner."""
        snapshot = self.snapshots[shard]
        owner = self.membership.owners.get(shard)
        return (
            owner is not None
            and owner.epoch == snapshot.epoch
            and self.peers.is_reachable(owner.node)
            and snapshot.owner_valid
            and now - snapshot.received_at < self.context.tuning.expiry_s
        )

    # --- pending allocations

    def allocate(self, candidate: Candidate, key: TaskKey, size: Resources, image: str) -> None:
        """Record a reservation requested for one task.

        The scheduler has already reduced the candidate's free capacity and added the task to it.
        """
        expires_at = self.context.now() + UNANSWERED_RETENTION_S
        self.pending_allocations.setdefault(candidate.index, {})[key] = PendingAllocation(
            expires_at, size, candidate, image
        )
        current = self._current_candidate(candidate.index)
        if current is not None and current is not candidate:
            # A snapshot that arrived while the scheduling cycle yielded replaced the candidate.
            current.available = _subtract(current.available, size)

    def resolve(self, candidate: Candidate, key: TaskKey, granted: bool) -> None:
        """Record the answer to a requested reservation; a refused one is released at once."""
        pending = self.pending_allocations.get(candidate.index, {}).get(key)
        if pending is None:
            return
        if granted:
            pending.expires_at = self.context.now() + GRANTED_RETENTION_S
            pending.granted = True
        else:
            self._release(candidate.index, key)

    def _current_candidate(self, index: int) -> Candidate | None:
        return next(
            (candidates[index] for candidates in self.shards.values() if index in candidates), None
        )

    def _release(self, index: int, key: TaskKey) -> None:
        """Return a pending allocation's size to the machine's free capacity."""
        pending = self.pending_allocations[index].pop(key)
        others = self.pending_allocations[index].values()
        candidate = self._current_candidate(index)
        if candidate is not None:
            candidate.available = [
                available + size
                for available, size in zip(candidate.available, pending.size, strict=True)
            ]
        if candidate is pending.candidate and not pending.granted:
            # Without this the task would avoid the machine, and its image would count as being
            # fetched there, until the machine's next snapshot.
            candidate.tasks.discard(key)
            if not any(other.image == pending.image for other in others):
                candidate.fetching.discard(pending.image)
        if not others:
            del self.pending_allocations[index]

    def _expire(self, now: float) -> None:
        for index, key in list(self._expired(now)):
            self._release(index, key)

    def _expired(self, now: float) -> Iterator[tuple[int, TaskKey]]:
        for index, pending_by_task in self.pending_allocations.items():
            for key, pending in pending_by_task.items():
                if pending.expires_at <= now:
                    yield index, key


def _subtract(available: list[float], size: Resources) -> list[float]:
    return [amount - taken for amount, taken in zip(available, size, strict=True)]

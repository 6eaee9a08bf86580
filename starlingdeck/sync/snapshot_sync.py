"""Snapshots of machine shards: publishing own ones to peers and applying those of peers.

A link carries messages in order. The first snapshot on a link is full, the others are differences
to the one before. A receiver that missed one asks for a full one.
"""

from collections.abc import Iterator
from enum import Enum

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.sync.owned_shards import OwnedShards
from starlingdeck.transport.frames import FrameLink

SNAPSHOT_INTERVAL_S = 0.08  # between snapshots of a shard that changes
RESEND_INTERVAL_S = 1.0  # between snapshots of a shard that doesn't
REEVALUATE_INTERVAL_S = 2.0  # between evaluations of all attempts on a shard, changed or not


class SnapshotResult(Enum):
    """What applying a snapshot led to."""

    UNCHANGED = "no recorded attempt changed"
    ATTEMPTS_CHANGED = "recorded attempts changed"
    RESYNC_NEEDED = "a full snapshot is needed"


class SnapshotSync:
    """Publishes the snapshots of owned machine shards, and keeps the latest of every shard."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        peers: Peers,
        owned: OwnedShards,
        candidates: CandidatePool,
    ) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.owned = owned
        self.candidates = candidates
        self.snapshots: dict[int, ShardSnapshot] = {}
        self.sent_at: dict[int, float] = {}
        self.links: dict[tuple[int, int], FrameLink] = {}  # (node, shard) -> used last

    async def publish(self, lease_valid: bool, now: float) -> bool:
        """Send the snapshots that are due to all peers; True if recorded attempts changed."""
        attempts_changed = False
        for shard, machines in list(self.owned.machines.items()):
            if not self._is_due(shard, machines, now):
                continue
            self.sent_at[shard] = now
            message = machines.snapshot_update(lease_valid)
            await self._send_to_peers(machines, message, lease_valid)
            result = self.apply(message)
            if result is SnapshotResult.RESYNC_NEEDED:
                result = self.apply(machines.full_snapshot(lease_valid))
            attempts_changed |= result is SnapshotResult.ATTEMPTS_CHANGED
        return attempts_changed

    def _is_due(self, shard: int, machines: MachineShard, now: float) -> bool:
        since_s = now - self.sent_at.get(shard, 0.0)
        return (machines.changed and since_s >= SNAPSHOT_INTERVAL_S) or since_s >= RESEND_INTERVAL_S

    async def _send_to_peers(
        self, machines: MachineShard, update: pb.Snapshot, lease_valid: bool
    ) -> None:
        """Send an update on links that had the one before it, a full snapshot on others."""
        update_envelope = pb.Envelope(snapshot=update)
        full_envelope: pb.Envelope | None = None
        for node, link in list(self.peers.links.items()):
            if self.links.get((node, machines.shard)) is link:
                await self.peers.enqueue(node, update_envelope)
                continue
            if full_envelope is None:
                full_envelope = pb.Envelope(snapshot=machines.full_snapshot(lease_valid))
            await self.peers.enqueue(node, full_envelope)
            self.links[(node, machines.shard)] = link

    def apply(self, message: pb.Snapshot) -> SnapshotResult:
        """Apply a snapshot message and evaluate the recorded attempts against it."""
        owner = self.membership.owners.get(message.shard)
        if message.shard >= self.context.shard_count or (
            owner is not None and owner.epoch != message.epoch
        ):
            return SnapshotResult.UNCHANGED
        changed_machines = apply_snapshot_message(self.context, self.snapshots, message)
        if changed_machines is None:
            return SnapshotResult.RESYNC_NEEDED
        snapshot = self.snapshots[message.shard]
        self.candidates.update(snapshot, changed_machines)
        if self._evaluate(snapshot, changed_machines):
            return SnapshotResult.ATTEMPTS_CHANGED
        return SnapshotResult.UNCHANGED

    def _evaluate(self, snapshot: ShardSnapshot, changed_machines: set[int]) -> bool:
        """Evaluate attempts on changed machines, at times on all; True if any changed."""
        now = self.context.now()
        machines: set[int] | None = changed_machines
        if now - snapshot.evaluated_at >= REEVALUATE_INTERVAL_S:
            snapshot.evaluated_at = now
            machines = None
        attempts_changed = False
        for writer in self.owned.writers.values():
            if writer.shard.loaded:
                attempts_changed |= writer.shard.apply_snapshot(snapshot, machines)
        return attempts_changed

    def reevaluate_all(self, jobs: JobShard) -> None:
        """Evaluate all attempts of a shard that was just loaded against the known snapshots."""
        for snapshot in self.snapshots.values():
            jobs.apply_snapshot(snapshot, None)

    def on_resync_request(self, node: int, shard: int) -> None:
        """Send the shard's next snapshot, at once, in full to a peer that missed one."""
        self.links.pop((node, shard), None)
        self.sent_at.pop(shard, None)

    def full_messages(self, node: int, lease_valid: bool) -> Iterator[pb.Envelope]:
        """Full snapshots of all owned shards to relay to a peer; its next direct one is full."""
        for shard, machines in self.owned.machines.items():
            yield pb.Envelope(snapshot=machines.full_snapshot(lease_valid))
            self.links.pop((node, shard), None)

    def drop_expired(self, now: float) -> None:
        """Forget the snapshots of shards from which none has come for a long time."""
        max_age_s = self.context.tuning.offline_drop_s
        expired = [
            shard
            for shard, snapshot in self.snapshots.items()
            if now - snapshot.received_at > max_age_s
        ]
        for shard in expired:
            del self.snapshots[shard]
            self.candidates.remove_shard(shard)

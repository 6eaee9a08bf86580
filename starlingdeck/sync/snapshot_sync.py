"""Snapshots of machine shards: publishing those of owned shards, and applying those of peers.

A link carries messages in order. The first snapshot on a link is full, and each later one contains
the changes since the one before it. A receiver that missed a snapshot requests a full one.
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

SNAPSHOT_INTERVAL_S = 0.08  # minimum time between snapshots of a shard that has changed
RESEND_INTERVAL_S = 1.0  # interval between snapshots of a shard that has not changed
# Interval between evaluations of all attempts on a shard's machines, including unchanged machines.
REEVALUATE_INTERVAL_S = 2.0


class SnapshotResult(Enum):
    """The outcome of applying a snapshot."""

    UNCHANGED = "no recorded attempt changed"
    ATTEMPTS_CHANGED = "recorded attempts changed"
    RESYNC_NEEDED = "a full snapshot is needed"


class SnapshotSync:
    """Publishes the snapshots of owned machine shards, and keeps the latest one of every shard."""

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
        # (node, shard) -> the link that the last snapshot was sent on
        self.links: dict[tuple[int, int], FrameLink] = {}

    async def publish(self, lease_valid: bool, now: float) -> bool:
        """Send the snapshots that are due to all peers, and apply them here.

        Return whether recorded attempts changed.
        """
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
        """Send an update on links that carried the one before it, and a full snapshot on others."""
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
        """Evaluate the attempts on changed machines; every REEVALUATE_INTERVAL_S on all machines.

        Return whether any attempt changed.
        """
        now = self.context.now()
        machines: set[int] | None = changed_machines
        if now - snapshot.evaluated_at >= REEVALUATE_INTERVAL_S:
            snapshot.evaluated_at = now
            machines = None
        attempts_changed = False
        for writer in self.owned.writers.values():
            if writer.shard.loaded:
                attempts_changed |= writer.shard.apply_snapshot(snapshot, machines)
                writer.shard.late_starts.check(snapshot, changed_machines)
        return attempts_changed

    def reevaluate_all(self, jobs: JobShard) -> None:
        """Evaluate all attempts of a job shard that was just loaded against the known snapshots."""
        for snapshot in self.snapshots.values():
            jobs.apply_snapshot(snapshot, None)

    def on_resync_request(self, node: int, shard: int) -> None:
        """Make the shard's next snapshot due at once, and full for a peer that missed one."""
        self.links.pop((node, shard), None)
        self.sent_at.pop(shard, None)

    def full_messages(self, node: int, lease_valid: bool) -> Iterator[pb.Envelope]:
        """Yield full snapshots of all owned shards, to be relayed to a peer.

        The next snapshots sent to it directly are full, too.
        """
        for shard, machines in self.owned.machines.items():
            yield pb.Envelope(snapshot=machines.full_snapshot(lease_valid))
            self.links.pop((node, shard), None)

    def drop_expired(self, now: float) -> None:
        """Drop the snapshots of shards that have sent none for `offline_drop_s` of the tuning."""
        max_age_s = self.context.tuning.offline_drop_s
        expired = [
            shard
            for shard, snapshot in self.snapshots.items()
            if now - snapshot.received_at > max_age_s
        ]
        for shard in expired:
            del self.snapshots[shard]
            self.candidates.remove_shard(shard)

"""State synchronisation between controllers: snapshots, desired state, and their relay."""

from collections.abc import Awaitable, Callable

import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.storage.state import StateClient
from starlingdeck.sync.desired_state_sync import DesiredStateSync
from starlingdeck.sync.owned_shards import OwnedShards
from starlingdeck.sync.relay import Relay, RelayText
from starlingdeck.sync.snapshot_sync import SnapshotResult, SnapshotSync

__all__ = ["OwnedShards", "SnapshotResult", "StateSync"]


class StateSync:
    """The controller's interface to snapshot sync, desired-state sync and the relay."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        owned: OwnedShards,
        candidates: CandidatePool,
    ) -> None:
        self.snapshot_sync = SnapshotSync(context, membership, peers, owned, candidates)
        self.snapshots = self.snapshot_sync.snapshots
        self.desired_state_sync = DesiredStateSync(
            context, membership, peers, owned, self.snapshots
        )
        self.relay = Relay(
            context, state, membership, peers, self.snapshot_sync, self.desired_state_sync
        )

    async def publish_snapshots(self, lease_valid: bool, now: float) -> bool:
        """Send the snapshots that are due to all peers, and apply them here.

        Returns whether recorded attempts changed.
        """
        return await self.snapshot_sync.publish(lease_valid, now)

    def apply_snapshot(self, message: pb.Snapshot) -> SnapshotResult:
        """Apply a snapshot message of a peer."""
        return self.snapshot_sync.apply(message)

    def on_resync_request(self, node: int, shard: int) -> None:
        """Make the shard's next snapshot due at once, and full for a peer that missed one."""
        self.snapshot_sync.on_resync_request(node, shard)

    def reevaluate_all(self, jobs: JobShard) -> None:
        """Evaluate all attempts of a job shard that was just loaded."""
        self.snapshot_sync.reevaluate_all(jobs)

    def drop_expired(self, now: float) -> None:
        """Drop the snapshots of shards that have sent none for `offline_drop_s` of the tuning."""
        self.snapshot_sync.drop_expired(now)

    async def send_desired_state(self, now: float) -> None:
        """Send the desired state that is due to the owners of machine shards."""
        await self.desired_state_sync.send(now)

    def apply_desired_state(self, message: pb.DesiredState) -> None:
        """Apply a desired-state message of a peer."""
        self.desired_state_sync.apply(message)

    def build_relay_texts(
        self, now: float, build_gossip: Callable[[], pb.Gossip]
    ) -> list[RelayText]:
        """Build the texts that are due to unreachable peers.

        The caller has to write each of them with `write_relay`.
        """
        return self.relay.build_due_texts(now, build_gossip)

    async def write_relay(self, node: int, text: str) -> None:
        """Write a text to a peer through the state service."""
        await self.relay.write(node, text)

    async def receive_relay(
        self, key: str, value: msgspec.Raw, on_message: Callable[[pb.Envelope], Awaitable[object]]
    ) -> bool:
        """Handle a change of a relay key.

        Returns whether it completed a text, whose messages were passed to `on_message`. Raises
        ValueError for a malformed key or text, and msgspec.DecodeError for a malformed value.
        """
        return await self.relay.receive(key, value, on_message)

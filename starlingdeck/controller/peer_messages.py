"""Dispatch of messages from other controllers to the components that handle them."""

from collections.abc import Mapping

import curio
from msgspec import Struct

from starlingdeck.api.heartbeat_api import HeartbeatApi
from starlingdeck.api.heartbeat_redirect import REPORT_METHOD
from starlingdeck.api.job_api import JobApi
from starlingdeck.cluster.membership import Membership
from starlingdeck.controller.gossip import GossipExchange
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.sync.state_sync import SnapshotResult, StateSync


class PeerMessageHandler(Struct, kw_only=True, eq=False, dict=True):
    """Handles messages of peers and builds their replies."""

    membership: Membership
    machines: Mapping[int, MachineShard]
    gossip: GossipExchange
    state_sync: StateSync
    job_api: JobApi
    heartbeat_api: HeartbeatApi
    wake: curio.Event
    flush: curio.Event

    async def handle(self, envelope: pb.Envelope) -> pb.Envelope | None:
        """Handle a message. Returns its reply, or None if it has none."""
        kind = envelope.WhichOneof("body")
        if kind == "gossip":
            await self.gossip.apply(envelope.sender, envelope.gossip)
        elif kind == "snapshot":
            return await self._apply_snapshot(envelope.snapshot)
        elif kind == "desired_state":
            self.state_sync.apply_desired_state(envelope.desired_state)
            await self.wake.set()
        elif kind == "reserve_request":
            return pb.Envelope(reserve_reply=self.reserve(envelope.reserve_request))
        elif kind == "forward_request":
            reply = await self._handle_forwarded(envelope.forward_request)
            await self.wake.set()
            return pb.Envelope(forward_reply=reply)
        return None

    async def _apply_snapshot(self, snapshot: pb.Snapshot) -> pb.Envelope | None:
        """Apply a snapshot; request a full one if the one before it was missed."""
        result = self.state_sync.apply_snapshot(snapshot)
        if result is SnapshotResult.RESYNC_NEEDED:
            return pb.Envelope(resync_request=pb.ResyncRequest(shard=snapshot.shard))
        if result is SnapshotResult.ATTEMPTS_CHANGED:
            await self.flush.set()
        await self.wake.set()
        return None

    async def _handle_forwarded(self, request: pb.ForwardRequest) -> pb.ForwardReply:
        if request.method != REPORT_METHOD:
            return await self.job_api.handle_forwarded(request)
        response = await self.heartbeat_api.handle(request.body, True)
        return pb.ForwardReply(status=response.status, body=response.body)

    def reserve(self, request: pb.ReserveRequest) -> pb.ReserveReply:
        """Reserve capacity on machines of an owned shard.

        The reply grants nothing if this controller doesn't own the shard or its lease is invalid.
        """
        machines = self.machines.get(request.to_shard)
        if machines is None or not self.membership.lease_is_valid():
            return pb.ReserveReply()
        return machines.reserve(request)

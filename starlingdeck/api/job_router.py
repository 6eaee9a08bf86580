"""Routing of job requests to the shard's owner, the state service, or a peer that can reach it."""

from starlingdeck.api.job_request import JobApiServices, JobRequest
from starlingdeck.api.owner_handler import OwnerJobHandler
from starlingdeck.api.responses import RETRY_AFTER_HEADERS, error_response
from starlingdeck.api.store_handler import StoreJobHandler
from starlingdeck.api.stored_status import StoredStatusReader
from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import OutcomeUnknownError, StateError
from starlingdeck.transport.server import Response

FORWARD_TIMEOUT_S = 1.0
NOT_OWNER_STATUS = 421
# With these a peer answers a forwarded request that it has not handled: it does not own the shard
# any more, or can't use the state service.
NOT_HANDLED_STATUSES = (NOT_OWNER_STATUS, 503)


class JobRouter:
    """Routes requests to where they can be handled, and handles those that peers forward here."""

    def __init__(self, services: JobApiServices, stored_status: StoredStatusReader) -> None:
        self.services = services
        self.owner_handler = OwnerJobHandler(services, stored_status)
        self.store_handler = StoreJobHandler(services, stored_status)

    async def route(self, request: JobRequest) -> Response:
        """Have the owner of the job's shard handle a request, or handle it without the owner.

        Without a response of the owner the request is handled through the state service, by this
        controller or, if this one can't use the state service, by a peer.
        Raises StateError if neither this controller nor a peer can use the state service.
        """
        shard = shard_of_job(request.name, self.services.context.shard_count)
        response = await self._route_to_owner(request, shard)
        if response is not None:
            return response
        try:
            return await self.store_handler.handle(request, shard)
        except StateError as error:
            # The state service may refuse only this controller; a peer may still reach it.
            response = await self._route_through_peer(request)
            if response is None:
                raise StateError(str(error)) from error
            return response

    async def _route_to_owner(self, request: JobRequest, shard: int) -> Response | None:
        """Return the response of the owner, this controller or a peer; None if there is none."""
        writer = self.services.writers.get(shard)
        if writer is None:
            return await self._forward_to_owner(request, shard)
        if not writer.shard.loaded or not self.services.membership.lease_is_valid():
            return None
        try:
            return await self.owner_handler.handle(writer, request)
        except OutcomeUnknownError:
            # The write may have been executed; only the owner can tell, by reading the job again.
            raise
        except StateError:
            return None

    async def _forward_to_owner(self, request: JobRequest, shard: int) -> Response | None:
        peers = self.services.peers
        owner = self.services.membership.owners.get(shard)
        if (
            owner is None
            or owner.node == self.services.context.node
            or not peers.is_reachable(owner.node)
        ):
            return None
        reply = await self._forward(owner.node, request, without_owner=False)
        if reply is None or reply.status in NOT_HANDLED_STATUSES:
            return None
        return Response(
            reply.status, reply.body, RETRY_AFTER_HEADERS if reply.status == 429 else ()
        )

    async def _route_through_peer(self, request: JobRequest) -> Response | None:
        """Have a peer handle the request through the state service; None if none could."""
        context, peers = self.services.context, self.services.peers
        for node in range(context.shard_count):
            if node == context.node or not peers.is_reachable(node):
                continue
            reply = await self._forward(node, request, without_owner=True)
            if reply is not None and reply.status not in (*NOT_HANDLED_STATUSES, 429):
                return Response(reply.status, reply.body)
        return None

    async def _forward(
        self, node: int, request: JobRequest, *, without_owner: bool
    ) -> pb.ForwardReply | None:
        forward = pb.ForwardRequest(
            method=request.operation,
            path=request.name,
            body=request.body,
            without_owner=without_owner,
        )
        envelope = pb.Envelope(forward_request=forward)
        try:
            reply = await self.services.peers.call(node, envelope, FORWARD_TIMEOUT_S)
        except PeerUnavailableError:
            return None
        return reply.forward_reply

    async def handle_forwarded(self, forwarded: pb.ForwardRequest) -> pb.ForwardReply:
        """Handle a forwarded request as the owner, or `without_owner` through the state service."""
        request = JobRequest(forwarded.method, forwarded.path, forwarded.body)
        shard = shard_of_job(request.name, self.services.context.shard_count)
        writer = self.services.writers.get(shard)
        if not self.services.membership.lease_is_valid():
            return pb.ForwardReply(status=NOT_OWNER_STATUS)
        try:
            if writer is None and forwarded.without_owner:
                response = await self.store_handler.handle(request, shard)
            elif writer is not None and writer.shard.loaded:
                response = await self.owner_handler.handle(writer, request)
            else:
                return pb.ForwardReply(status=NOT_OWNER_STATUS)
        except StateError as error:
            response = error_response(503, str(error))
        return pb.ForwardReply(status=response.status, body=response.body)

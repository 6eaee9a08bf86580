"""Routing of job requests to the shard's owner, the state service, or a peer that can reach it."""

import msgspec

from starlingdeck.api.answer_guard import AnswerGuard
from starlingdeck.api.answers import (
    ACCEPTED_STATUSES,
    DENIED_STATUSES,
    Evidence,
    JobAnswer,
    Source,
    ask_again,
)
from starlingdeck.api.job_request import JobApiServices, JobRequest
from starlingdeck.api.owner_handler import OwnerJobHandler
from starlingdeck.api.store_handler import StoreJobHandler
from starlingdeck.api.stored_status import StoredStatusReader
from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import OutcomeUnknownError, StateError

FORWARD_TIMEOUT_S = 1.0
NOT_OWNER_STATUS = 421
# Statuses of a peer's replies to forwarded requests that it has not handled, because it no longer
# owns the shard or can't use the state service.
NOT_HANDLED_STATUSES = (NOT_OWNER_STATUS, 503)


class JobRouter:
    """Routes requests to where they can be handled, and handles those that peers forward here."""

    def __init__(
        self, services: JobApiServices, stored_status: StoredStatusReader, guard: AnswerGuard
    ) -> None:
        self.services = services
        self.guard = guard
        self.owner_handler = OwnerJobHandler(services, stored_status)
        self.store_handler = StoreJobHandler(services, stored_status)

    async def route(self, request: JobRequest) -> JobAnswer:
        """Have the owner of the job's shard handle a request, or handle it without the owner.

        If the owner gives no response, the request is handled through the state service: by this
        controller or, if this controller can't use the state service, by a peer.
        Raises StateError if neither this controller nor a peer can use the state service.
        """
        shard = shard_of_job(request.name, self.services.context.shard_count)
        answer = await self._route_to_owner(request, shard)
        if answer is not None:
            return answer
        try:
            return await self.store_handler.handle(request, shard)
        except StateError as error:
            # The state service may refuse only this controller; a peer may still reach it.
            answer = await self._route_through_peer(request)
            if answer is None:
                raise StateError(str(error)) from error
            return answer

    async def _route_to_owner(self, request: JobRequest, shard: int) -> JobAnswer | None:
        """Return the answer of the owner, this controller or a peer; None if there is none."""
        writer = self.services.writers.get(shard)
        if writer is None:
            return await self._forward_to_owner(request, shard)
        if not writer.shard.loaded or not self.services.membership.lease_is_valid():
            return None
        try:
            answer = await self.owner_handler.handle(writer, request)
        except OutcomeUnknownError:
            # The write may have been executed; only the owner can tell, by reading the job again.
            raise
        except StateError:
            return None
        return answer if self.guard.is_current(answer.evidence) else None

    async def _forward_to_owner(self, request: JobRequest, shard: int) -> JobAnswer | None:
        peers = self.services.peers
        owner = self.services.membership.owners.get(shard)
        if (
            owner is None
            or owner.node == self.services.context.node
            or not peers.is_reachable(owner.node)
        ):
            return None
        answer = await self._forward(owner.node, request, without_owner=False)
        if answer is None or answer.status in NOT_HANDLED_STATUSES:
            return None
        return answer

    async def _route_through_peer(self, request: JobRequest) -> JobAnswer | None:
        """Have a peer handle the request through the state service; None if none could."""
        context, peers = self.services.context, self.services.peers
        for node in range(context.shard_count):
            if node == context.node or not peers.is_reachable(node):
                continue
            answer = await self._forward(node, request, without_owner=True)
            if answer is not None and answer.status not in (*NOT_HANDLED_STATUSES, 429):
                return answer
        return None

    async def _forward(
        self, node: int, request: JobRequest, *, without_owner: bool
    ) -> JobAnswer | None:
        """Have a peer handle a request; return its answer, or None if it gave none."""
        shard = shard_of_job(request.name, self.services.context.shard_count)
        evidence = Evidence(Source.PEER, shard, self.services.context.now())
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
        try:
            return _peer_answer(request.name, reply.forward_reply, evidence)
        except msgspec.DecodeError:
            return None

    async def handle_forwarded(self, forwarded: pb.ForwardRequest) -> JobAnswer:
        """Handle a request that a peer has forwarded.

        It is handled as the shard's owner or, if it is marked `without_owner` and this controller
        is not the owner, through the state service.
        """
        request = JobRequest(forwarded.method, forwarded.path, forwarded.body)
        shard = shard_of_job(request.name, self.services.context.shard_count)
        writer = self.services.writers.get(shard)
        if not self.services.membership.lease_is_valid():
            return _not_owner(request.name)
        try:
            if writer is None and forwarded.without_owner:
                return await self.store_handler.handle(request, shard)
            if writer is None or not writer.shard.loaded:
                return _not_owner(request.name)
            answer = await self.owner_handler.handle(writer, request)
        except StateError as error:
            return ask_again(request.name, str(error))
        return answer if self.guard.is_current(answer.evidence) else _not_owner(request.name)


def _not_owner(name: str) -> JobAnswer:
    return JobAnswer(name, NOT_OWNER_STATUS, api.ErrorBody("not the shard's owner"))


def _peer_answer(name: str, reply: pb.ForwardReply, evidence: Evidence) -> JobAnswer:
    """Return a peer's answer. Raises msgspec.DecodeError if it can't be read."""
    if reply.status in ACCEPTED_STATUSES:
        status = msgspec.json.decode(reply.body, type=api.JobStatus)
        return JobAnswer(name, reply.status, status, evidence)
    if reply.status in DENIED_STATUSES:
        body = msgspec.json.decode(reply.body, type=api.ErrorBody)
        return JobAnswer(name, reply.status, body, evidence)
    return JobAnswer(name, reply.status, api.ErrorBody(f"a controller answered {reply.status}"))

"""The users' HTTP API: submit a job, query its status, cancel it."""

from collections.abc import Awaitable, Callable

import msgspec

from starlingdeck.api.answer_guard import AnswerGuard
from starlingdeck.api.answers import Evidence, JobAnswer, Source, ask_again
from starlingdeck.api.job_request import JobApiServices, JobRequest, Operation
from starlingdeck.api.job_router import JobRouter
from starlingdeck.api.responses import error_response
from starlingdeck.api.stored_status import StoredStatusReader
from starlingdeck.api.submission import infeasibility_reason, oversize_reason
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import StateError
from starlingdeck.transport.server import Request, Response

MAX_REQUESTS_IN_FLIGHT = 200

Handler = Callable[[JobRequest], Awaitable[JobAnswer]]


class JobApi:
    """Parses users' requests, validates submissions and bounds the requests in flight."""

    def __init__(self, services: JobApiServices) -> None:
        self.services = services
        self.stored_status = StoredStatusReader(services)
        self.guard = AnswerGuard(services.context, services.membership, services.writers)
        self.router = JobRouter(services, self.stored_status, self.guard)
        self.in_flight = 0

    async def handle(self, request: Request) -> Response:
        """Serve a user's request; the paths are in protocol.api."""
        path = request.path
        if path == api.JOBS:
            if request.method != "POST":
                return error_response(405, "use POST")
            submission = JobRequest(Operation.SUBMIT, "", request.body)
            return await self._handle_bounded(self._submit, submission)
        if not path.startswith(api.JOBS + "/"):
            return error_response(404, "no such path")
        name, _, action = path[len(api.JOBS) + 1 :].partition("/")
        if not api.JOB_ID_PATTERN.fullmatch(name):
            return error_response(404, "no such job")
        if action not in ("", api.CANCEL):
            return error_response(404, "no such path")
        method = "POST" if action == api.CANCEL else "GET"
        if request.method != method:
            return error_response(405, f"use {method}")
        operation = Operation.CANCEL if action == api.CANCEL else Operation.STATUS
        return await self._handle_bounded(self.router.route, JobRequest(operation, name))

    async def handle_forwarded(self, forwarded: pb.ForwardRequest) -> pb.ForwardReply:
        """Handle a request that a peer has forwarded here."""
        answer = self.guard.admit(await self.router.handle_forwarded(forwarded))
        return pb.ForwardReply(status=answer.status, body=answer.response().body)

    async def _handle_bounded(self, handler: Handler, request: JobRequest) -> Response:
        if self.in_flight >= MAX_REQUESTS_IN_FLIGHT:
            return error_response(429, "too many requests at once")
        self.in_flight += 1
        try:
            return self.guard.admit(await handler(request)).response()
        except StateError as error:
            return error_response(503, f"the state service can't be used now: {error}")
        except msgspec.DecodeError as error:
            record = request.name or "of a submission"
            self.services.context.quarantine_after_failure("record", record, error)
            return error_response(503, "the job's record can't be read")
        finally:
            self.in_flight -= 1

    async def _submit(self, request: JobRequest) -> JobAnswer:
        """Validate and route a submission.

        A job that was accepted before is reported even if its submission is no longer valid.
        """
        context = self.services.context
        try:
            spec = api.decode_job(request.body)
        except api.ValidationError as error:
            # An earlier version may have accepted a job that this one refuses.
            name = api.job_id_of(request.body)
            return await self._stored_status_or_error(name, 400, str(error))
        if reason := oversize_reason(context, spec):
            return await self._stored_status_or_error(spec.id, 400, reason)
        if not context.machine_types:
            return ask_again(spec.id, "machine types not known yet")
        reason = infeasibility_reason(context, spec)
        reason = reason or await self.services.admission.rejection_reason(spec)
        if reason:
            # The job may have been accepted before, with other machine types.
            return await self._stored_status_or_error(spec.id, 422, reason)
        context.counters.increment(spec.team, spec.cls, counters.OFFERED)
        return await self.router.route(JobRequest(Operation.SUBMIT, spec.id, request.body))

    async def _stored_status_or_error(self, name: str, status: int, reason: str) -> JobAnswer:
        error = api.ErrorBody(reason)
        if not name:
            return JobAnswer(name, status, error)
        context = self.services.context
        shard = shard_of_job(name, context.shard_count)
        evidence = Evidence(Source.STORE, shard, context.now())
        stored = await self.stored_status.status(name)
        return stored or JobAnswer(name, status, error, evidence)

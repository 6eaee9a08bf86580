"""The users' API: submit, look, cancel. Every answer is given at once."""

import logging
from collections.abc import Callable

import curio
import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers, PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.context import ControllerContext, fits, machine_capacity, requested_resources
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.job import Job, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.log_reader import LogReader
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import LoggedChange, completed_by_chunk, replay
from starlingdeck.storage.records import FinalRecord, JobRecord, ShardValue
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)
from starlingdeck.transport.server import Request, Response

log = logging.getLogger(__name__)

RETRY_LATER = (("retry-after", "1"),)
ACKNOWLEDGEMENT_TIMEOUT_S = (
    0.8  # how long a cancellation made for a holder waits until that has taken it
)
ACKNOWLEDGEMENT_POLL_S = 0.1
CANCELLATION_UNACKNOWLEDGED = "the job's holder has not heard of its cancellation yet"


def json_response(status: int, body: object) -> Response:
    return Response(status, msgspec.json.encode(body), RETRY_LATER if status in (429, 503) else ())


def error_response(status: int, text: str) -> Response:
    return json_response(status, api.ErrorBody(text))


def infeasibility_reason(context: ControllerContext, spec: JobSpec) -> str:
    """Why a job can never run, or nothing."""
    team = next((t for t in context.settings.settings.teams if t.name == spec.team), None)
    if team is None:
        return f"unknown team {spec.team!r}"
    count = spec.tasks if spec.service else 1
    if 0 < team.cpus_max < spec.cpus * count or 0 < team.gpus_max < spec.gpus * count:
        return f"more than the limit of team {spec.team!r}"
    size = requested_resources(spec)
    for kind in context.machine_types.values():
        if spec.types is not None and kind.name not in spec.types:
            continue
        if spec.zone is not None and spec.zone not in kind.zones:
            continue
        if fits(size, machine_capacity(kind)):
            return ""
    return "a task fits no allowed machine type"


def oversize_reason(context: ControllerContext, spec: JobSpec) -> str:
    """Why a job's record could not be kept, or nothing. What its tasks need comes on top."""
    limit = int(context.settings.settings.state.value_kb * 1000 / 4)
    size = len(msgspec.json.encode(spec))
    return f"the description takes {size} bytes of {limit} allowed" if size > limit else ""


class JobApi:
    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        writers: dict[int, RecordWriter],
        admission: AdmissionController,
        kick: Callable[[], None],
    ) -> None:
        self.context = context
        self.state = state
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.admission = admission
        self.wake_scheduler = kick
        self.log_reader = LogReader()
        self.in_flight = 0

    async def handle(self, request: Request) -> Response:
        """Routes a user's request; the paths are in protocol.api."""
        path = request.path
        if path == api.JOBS:
            if request.method != "POST":
                return error_response(405, "use POST")
            return await self._guarded(self._submit, request.body, "")
        if not path.startswith(api.JOBS + "/"):
            return error_response(404, "no such path")
        name, _, verb = path[len(api.JOBS) + 1 :].partition("/")
        if not api.JOB_ID.fullmatch(name):
            return error_response(404, "no such job")
        if verb == api.CANCEL:
            if request.method != "POST":
                return error_response(405, "use POST")
            return await self._guarded(self._route, b"", name, "POST")
        if verb:
            return error_response(404, "no such path")
        if request.method != "GET":
            return error_response(405, "use GET")
        return await self._guarded(self._route, b"", name, "GET")

    async def _guarded(self, do, body: bytes, name: str, method: str = "POST") -> Response:  # type: ignore[no-untyped-def]
        if self.in_flight >= 200:
            return error_response(429, "too many requests at once")
        self.in_flight += 1
        try:
            reply: Response = await do(body, name, method)
            return reply
        except StateError as error:
            return error_response(503, f"the state service can't be used now: {error}")
        except msgspec.DecodeError as error:
            self.context.quarantine_failed("record", name or "of a submission", error)
            return error_response(503, "the job's record can't be read")
        finally:
            self.in_flight -= 1

    async def _submit(self, body: bytes, _name: str, _method: str) -> Response:
        try:
            spec = api.decode_job(body)
        except api.ValidationError as error:
            # An earlier version may have taken what this one refuses: accepted, it stays known.
            name = api.job_id_of(body)
            known = await self._status_from_store(name) if name else None
            return known or error_response(400, str(error))
        reason = oversize_reason(self.context, spec)
        if reason:
            return await self._status_from_store(spec.id) or error_response(400, reason)
        if not self.context.machine_types:
            return error_response(503, "machine types not known yet")
        reason = infeasibility_reason(self.context, spec) or await self.admission.rejection_reason(
            spec
        )
        if reason:
            # A job that was accepted before is known, whatever the types are now.
            known = await self._status_from_store(spec.id)
            return known or error_response(422, reason)
        self.context.counters.increment(spec.team, spec.cls, counters.OFFERED)
        return await self._route(body, spec.id, "SUBMIT")

    async def _route(self, body: bytes, name: str, method: str) -> Response:
        """To the holder of the job's shard, if it can be reached; else do it ourselves."""
        shard = shard_of_job(name, self.context.shard_count)
        writer = self.writers.get(shard)
        if writer is not None:
            if writer.shard.loaded and self.membership.lease_is_valid():
                try:
                    return await self.handle_as_owner(writer, method, name, body)
                except OutcomeUnknownError:
                    # It may have been executed: only we can tell by looking again.
                    raise
                except StateError:
                    pass
        else:
            owner = self.membership.owners.get(shard)
            if (
                owner is not None
                and owner.node != self.context.node
                and self.peers.is_reachable(owner.node)
            ):
                ask = pb.Envelope(
                    forward_request=pb.ForwardRequest(method=method, path=name, body=body)
                )
                try:
                    reply = await self.peers.call(owner.node, ask, 1.0)
                    status = reply.forward_reply.status
                    # Not the holder any more, or one that can't reach the state service: we may.
                    if status not in (421, 503):
                        again = RETRY_LATER if status == 429 else ()
                        return Response(status, reply.forward_reply.body, again)
                except PeerUnavailableError:
                    pass
        try:
            return await self._handle_without_owner(body, name, method, shard)
        except StateError as error:
            # The state service may refuse only us: a peer may still reach it.
            through = await self._through_peer(body, name, method)
            if through is None:
                raise StateError(str(error)) from error
            return through

    async def _through_peer(self, body: bytes, name: str, method: str) -> Response | None:
        for node in range(self.context.shard_count):
            if node == self.context.node or not self.peers.is_reachable(node):
                continue
            forward = pb.ForwardRequest(method=method, path=name, body=body, without_owner=True)
            try:
                reply = await self.peers.call(node, pb.Envelope(forward_request=forward), 1.0)
            except PeerUnavailableError:
                continue
            if reply.forward_reply.status not in (421, 429, 503):
                return Response(reply.forward_reply.status, reply.forward_reply.body)
        return None

    async def handle_forwarded(self, ask: pb.ForwardRequest) -> pb.ForwardReply:
        shard = shard_of_job(ask.path, self.context.shard_count)
        if ask.without_owner and not self.membership.lease_is_valid():
            return pb.ForwardReply(status=421)
        writer = self.writers.get(shard)
        if ask.without_owner and writer is None:
            try:
                reply = await self._handle_without_owner(ask.body, ask.path, ask.method, shard)
            except StateError as error:
                reply = error_response(503, str(error))
            return pb.ForwardReply(status=reply.status, body=reply.body)
        if writer is None or not writer.shard.loaded or not self.membership.lease_is_valid():
            return pb.ForwardReply(status=421)
        try:
            reply = await self.handle_as_owner(writer, ask.method, ask.path, ask.body)
        except StateError as error:
            reply = error_response(503, str(error))
        return pb.ForwardReply(status=reply.status, body=reply.body)

    # --- at the job's holder

    async def handle_as_owner(
        self, writer: RecordWriter, method: str, name: str, body: bytes
    ) -> Response:
        shard = writer.shard
        index = self.context.job_names.find(name)
        job = shard.jobs.get(index) if index is not None else None
        if job is None and name not in shard.terminal_states:
            if method == "SUBMIT":
                return await self._create(writer, api.decode_job(body))
            await self._reload(writer, name)
            index = self.context.job_names.find(name)
            job = shard.jobs.get(index) if index is not None else None
        if job is not None and method == "POST" and not job.cancelled:
            await writer.cancel(job)
            self.wake_scheduler()
            job = shard.jobs.get(job.index)
        if job is not None and method == "POST":
            return json_response(200, api.JobStatus(name, api.CANCELLED))
        if job is not None and (job.outcome_unknown or job.stale or job.uncertain_chunks):
            # Another node may have read and told more than we know of it.
            return await self._status_from_store(name, job) or error_response(
                503, "the job is changing"
            )
        if job is not None:
            status = shard.status(job)
            if error := self.context.quarantine.reason("job", name):
                status.fault = f"set aside: {error}"
            if job.resource_needs and job.pending(1):
                status.waits = [w.reason for w in self.admission.wait_reasons(job)] or None
            return json_response(200, status)
        if name in shard.terminal_states:
            state = shard.terminal_states[name]
            return json_response(200, final_status(name, state, shard.terminal_completed[name]))
        return error_response(404, "no such job")

    async def _reload(self, writer: RecordWriter, name: str) -> None:
        """Neither running nor remembered here: the state service knows."""
        async with writer.lock:
            await writer.reload(name)

    async def _create(self, writer: RecordWriter, spec: JobSpec) -> Response:
        shard = writer.shard
        at_ms = self.context.wall_clock_ms()
        job = new_job(self.context, spec, shard.shard, at_ms)
        main = records.job_key(shard.shard, spec.id)
        conditions = {
            main: 0,
            records.final_key(shard.shard, spec.id): 0,
            records.shard_key(shard.shard): shard.token,
        }
        try:
            revision = await self.state.transact(
                conditions, [put_change(main, JobRecord(spec, at_ms))], True
            )
        except TransactionConflictError:
            await self._reload(writer, spec.id)
            return await self._known_status(shard, spec.id)
        if spec.id in shard.terminal_states:
            # Read, cancelled and ended while the answer was under way: put back now, it was told
            # as waiting after its user had heard that it is cancelled.
            return await self._known_status(shard, spec.id)
        job.key_versions[0] = revision
        shard.jobs.setdefault(job.index, job)
        shard.replicas_waiting |= spec.service
        self.context.counters.increment(spec.team, spec.cls, counters.ACCEPTED)
        log.info("job %s: accepted, %d tasks, %s %s", spec.id, spec.tasks, spec.priority, spec.kind)
        self.wake_scheduler()
        return json_response(201, api.JobStatus(spec.id, api.QUEUED))

    async def _known_status(self, shard: JobShard, name: str) -> Response:
        index = self.context.job_names.find(name)
        job = shard.jobs.get(index) if index is not None else None
        if job is not None:
            return json_response(200, shard.status(job))
        if name in shard.terminal_states:
            return json_response(
                200, final_status(name, shard.terminal_states[name], shard.terminal_completed[name])
            )
        return error_response(503, "the shard is changing hands")

    # --- without the holder

    async def _status_from_store(self, name: str, held: Job | None = None) -> Response | None:
        """From the state service. The unfinished key first: a job moves from there only.

        `held`: the job as its holder knows it. That tells no cancellation that isn't in its lists:
        it would go on giving machines' owners its word for the job.
        """
        shard = shard_of_job(name, self.context.shard_count)
        # Before the record: what a checkpoint takes out of the log meanwhile is in the record then.
        changes = await self._log_changes(shard, name)
        entry = await self.state.get(records.job_key(shard, name), True)
        if entry is not None:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            if record.cancelled:
                known = held.cancelled if held else await self._owner_acknowledged(shard, name)
                if not known:
                    return error_response(503, CANCELLATION_UNACKNOWLEDGED)
            done = await self._completed_tasks(shard, record, changes, held)
            running = len(replay({0: record.chunk}, changes)[0].placements)
            state = api.CANCELLED if record.cancelled else api.RUNNING if running else api.QUEUED
            return json_response(200, api.JobStatus(name, state, done, running))
        entry = await self.state.get(records.final_key(shard, name), True)
        if entry is not None:
            final = msgspec.json.decode(entry.value, type=FinalRecord)
            return json_response(200, final_status(name, final.state, final.completed))
        return None

    async def _log_changes(self, shard: int, name: str) -> list[LoggedChange]:
        """What the shard's commit log says of a job beyond its record, if the shard has one."""
        if not self.membership.writes_log(shard):
            return []
        return (await self.log_reader.read(self.state, shard)).changes_of(name)

    async def _completed_tasks(
        self, shard: int, record: JobRecord, changes: list[LoggedChange], held: Job | None
    ) -> int:
        """How many tasks of a job have completed by its record and the log, all parts counted: by
        the first part alone an array's count fell whenever its holder couldn't be asked. Its
        holder reads only the parts of which the record may say more than it knows."""
        name, parts = record.spec.id, {0: record.chunk.completed_bits}
        if record.spec.tasks > records.TASKS_PER_CHUNK and held is None:
            prefix = records.chunk_key(shard, name, None)
            for entry in (await self.state.read(prefix))[0]:
                parts[_number(entry)] = _done_bits(entry)
        elif held is not None:
            for number in held.uncertain_chunks - {0}:
                key = records.chunk_key(shard, name, number)
                if (part := await self.state.get(key, True)) is not None:
                    parts[number] = _done_bits(part)
        bits = completed_by_chunk(parts, changes)
        if held is None:
            return sum(one.bit_count() for one in bits.values())
        # Both at once, after all reading: a commit in between was counted as undone in a part
        # and not among all that had finished.
        return held.completed + sum(held.unknown_done(number, one) for number, one in bits.items())

    async def _handle_without_owner(
        self, body: bytes, name: str, method: str, shard: int
    ) -> Response:
        if method == "SUBMIT":
            spec = api.decode_job(body)
            main = records.job_key(shard, name)
            note = put_change(records.mailbox_key(shard, name), 1)
            record = put_change(main, JobRecord(spec, self.context.wall_clock_ms()))
            conditions = {main: 0, records.final_key(shard, name): 0}
            try:
                await self.state.transact(conditions, [record, note], True)
                self.context.counters.increment(spec.team, spec.cls, counters.ACCEPTED)
                log.info("job %s: accepted for shard %d", name, shard)
                return json_response(201, api.JobStatus(name, api.QUEUED))
            except TransactionConflictError:
                return await self._status_from_store(name) or error_response(
                    503, "the job is changing"
                )
        if method == "GET":
            return await self._status_from_store(name) or error_response(404, "no such job")
        return await self._cancel_without_owner(name, shard)

    async def _cancel_without_owner(self, name: str, shard: int) -> Response:
        main = records.job_key(shard, name)
        entry = await self.state.get(main, True)
        if entry is None:
            return await self._status_from_store(name) or error_response(404, "no such job")
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if not record.cancelled:
            record.cancelled = True
            note = put_change(records.mailbox_key(shard, name), 1)
            try:
                await self.state.transact(
                    {main: entry.version}, [put_change(main, record), note], True
                )
            except TransactionConflictError:
                return error_response(503, "the job is changing")
            log.info("job %s: cancelled for shard %d", name, shard)
        # From here on the job stays cancelled, but nobody may be told before its holder knows.
        if not await self._owner_acknowledged(shard, name):
            return error_response(503, CANCELLATION_UNACKNOWLEDGED)
        return json_response(200, api.JobStatus(name, api.CANCELLED))

    async def _owner_acknowledged(self, shard: int, name: str) -> bool:
        """Whether no holder can answer any more from before what we wrote for it: it took our
        note, or holds the shard no longer; a later holder reads the record first.

        A holder that had just come through an outage answered that a job was running which
        another node had told its user was cancelled.
        """
        until, first = self.context.now() + ACKNOWLEDGEMENT_TIMEOUT_S, None
        while True:
            if await self.state.get(records.mailbox_key(shard, name), True) is None:
                return True
            entry = await self.state.get(records.shard_key(shard), True)
            epoch = msgspec.json.decode(entry.value, type=ShardValue).epoch if entry else None
            if epoch is None or (first is not None and epoch != first):
                return True
            if self.context.now() >= until:
                return False
            first = epoch
            await curio.sleep(ACKNOWLEDGEMENT_POLL_S)


def _number(part: api.Entry) -> int:
    """Which chunk of its job's record a part is."""
    return int(part.key.rsplit("/", 1)[1])


def _done_bits(part: api.Entry) -> str:
    return msgspec.json.decode(part.value, type=records.CompletedBits).completed_bits


def final_status(name: str, state: str, done: int) -> api.JobStatus:
    return api.JobStatus(name, state, done, 0)

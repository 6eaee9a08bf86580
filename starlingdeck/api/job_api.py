"""The users' API: submit, look, cancel. Every answer is given at once."""

import logging
from collections.abc import Callable

import curio
import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import PeerDown, Peers
from starlingdeck.cluster.sharding import job_shard
from starlingdeck.context import World, fits, size_of, total_of
from starlingdeck.jobs.admission import Admission
from starlingdeck.jobs.job import Job, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.log_reader import LogReader
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.metrics import counters as tally
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import Logged, done_bits, replay
from starlingdeck.storage.records import FinalRecord, JobRecord, ShardValue
from starlingdeck.storage.state import Conflict, StateClient, StateError, StateUnknown, put
from starlingdeck.transport.server import Request, Response

log = logging.getLogger(__name__)

LATER = (("retry-after", "1"),)
HEARD_S = 0.8  # how long a cancellation made for a holder waits until that has taken it
HEARD_LOOK_S = 0.1
UNHEARD = "the job's holder has not heard of its cancellation yet"


def answer(status: int, body: object) -> Response:
    return Response(status, msgspec.json.encode(body), LATER if status in (429, 503) else ())


def fault(status: int, text: str) -> Response:
    return answer(status, api.ErrorBody(text))


def never(world: World, spec: JobSpec) -> str:
    """Why a job can never run, or nothing."""
    team = next((t for t in world.settings.settings.teams if t.name == spec.team), None)
    if team is None:
        return f"unknown team {spec.team!r}"
    count = spec.tasks if spec.service else 1
    if 0 < team.cpus_max < spec.cpus * count or 0 < team.gpus_max < spec.gpus * count:
        return f"more than the limit of team {spec.team!r}"
    size = size_of(spec)
    for kind in world.types.values():
        if spec.types is not None and kind.name not in spec.types:
            continue
        if spec.zone is not None and spec.zone not in kind.zones:
            continue
        if fits(size, total_of(kind)):
            return ""
    return "a task fits no allowed machine type"


def too_large(world: World, spec: JobSpec) -> str:
    """Why a job's record could not be kept, or nothing. What its tasks need comes on top."""
    most = int(world.settings.settings.state.value_kb * 1000 / 4)
    size = len(msgspec.json.encode(spec))
    return f"the description takes {size} bytes of {most} allowed" if size > most else ""


class Users:
    def __init__(
        self,
        world: World,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        writers: dict[int, Writer],
        admission: Admission,
        kick: Callable[[], None],
    ) -> None:
        self.world = world
        self.state = state
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.admission = admission
        self.kick = kick
        self.logs = LogReader()
        self.busy = 0

    async def handle(self, request: Request) -> Response:
        """Routes a user's request; the paths are in protocol.api."""
        path = request.path
        if path == api.JOBS:
            if request.method != "POST":
                return fault(405, "use POST")
            return await self._guard(self._submit_door, request.body, "")
        if not path.startswith(api.JOBS + "/"):
            return fault(404, "no such path")
        name, _, verb = path[len(api.JOBS) + 1 :].partition("/")
        if not api.JOB_ID.fullmatch(name):
            return fault(404, "no such job")
        if verb == api.CANCEL:
            if request.method != "POST":
                return fault(405, "use POST")
            return await self._guard(self._pass_on, b"", name, "POST")
        if verb:
            return fault(404, "no such path")
        if request.method != "GET":
            return fault(405, "use GET")
        return await self._guard(self._pass_on, b"", name, "GET")

    async def _guard(self, do, body: bytes, name: str, method: str = "POST") -> Response:  # type: ignore[no-untyped-def]
        if self.busy >= 200:
            return fault(429, "too many requests at once")
        self.busy += 1
        try:
            reply: Response = await do(body, name, method)
            return reply
        except StateError as why:
            return fault(503, f"the state service can't be used now: {why}")
        except msgspec.DecodeError as why:
            self.world.set_aside("record", name or "of a submission", why)
            return fault(503, "the job's record can't be read")
        finally:
            self.busy -= 1

    async def _submit_door(self, body: bytes, _name: str, _method: str) -> Response:
        try:
            spec = api.decode_job(body)
        except api.FieldFault as why:
            # An earlier version may have taken what this one refuses: accepted, it stays known.
            name = api.job_named(body)
            known = await self._look(name) if name else None
            return known or fault(400, str(why))
        reason = too_large(self.world, spec)
        if reason:
            return await self._look(spec.id) or fault(400, reason)
        if not self.world.types:
            return fault(503, "machine types not known yet")
        reason = never(self.world, spec) or await self.admission.refuse(spec)
        if reason:
            # A job that was accepted before is known, whatever the types are now.
            known = await self._look(spec.id)
            return known or fault(422, reason)
        self.world.tally.note(spec.team, spec.cls, tally.OFFERED)
        return await self._pass_on(body, spec.id, "SUBMIT")

    async def _pass_on(self, body: bytes, name: str, method: str) -> Response:
        """To the holder of the job's shard, if it can be reached; else do it ourselves."""
        shard = job_shard(name, self.world.shards)
        writer = self.writers.get(shard)
        if writer is not None:
            if writer.shard.loaded and self.membership.valid():
                try:
                    return await self.at_holder(writer, method, name, body)
                except StateUnknown:
                    # It may have been executed: only we can tell by looking again.
                    raise
                except StateError:
                    pass
        else:
            holder = self.membership.holders.get(shard)
            if holder is not None and holder.node != self.world.node and self.peers.up(holder.node):
                ask = pb.Envelope(forward=pb.Forward(method=method, path=name, body=body))
                try:
                    reply = await self.peers.call(holder.node, ask, 1.0)
                    status = reply.forwarded.status
                    # Not the holder any more, or one that can't reach the state service: we may.
                    if status not in (421, 503):
                        again = LATER if status == 429 else ()
                        return Response(status, reply.forwarded.body, again)
                except PeerDown:
                    pass
        try:
            return await self._alone(body, name, method, shard)
        except StateError as why:
            # The state service may refuse only us: a peer may still reach it.
            through = await self._through_peer(body, name, method)
            if through is None:
                raise StateError(str(why)) from why
            return through

    async def _through_peer(self, body: bytes, name: str, method: str) -> Response | None:
        for node in range(self.world.shards):
            if node == self.world.node or not self.peers.up(node):
                continue
            forward = pb.Forward(method=method, path=name, body=body, alone=True)
            try:
                reply = await self.peers.call(node, pb.Envelope(forward=forward), 1.0)
            except PeerDown:
                continue
            if reply.forwarded.status not in (421, 429, 503):
                return Response(reply.forwarded.status, reply.forwarded.body)
        return None

    async def forwarded(self, ask: pb.Forward) -> pb.Forwarded:
        shard = job_shard(ask.path, self.world.shards)
        if ask.alone and not self.membership.valid():
            return pb.Forwarded(status=421)
        writer = self.writers.get(shard)
        if ask.alone and writer is None:
            try:
                reply = await self._alone(ask.body, ask.path, ask.method, shard)
            except StateError as why:
                reply = fault(503, str(why))
            return pb.Forwarded(status=reply.status, body=reply.body)
        if writer is None or not writer.shard.loaded or not self.membership.valid():
            return pb.Forwarded(status=421)
        try:
            reply = await self.at_holder(writer, ask.method, ask.path, ask.body)
        except StateError as why:
            reply = fault(503, str(why))
        return pb.Forwarded(status=reply.status, body=reply.body)

    # --- at the job's holder

    async def at_holder(self, writer: Writer, method: str, name: str, body: bytes) -> Response:
        shard = writer.shard
        index = self.world.jobs.get(name)
        job = shard.jobs.get(index) if index is not None else None
        if job is None and name not in shard.finals:
            if method == "SUBMIT":
                return await self._create(writer, api.decode_job(body))
            await self._find(writer, name)
            index = self.world.jobs.get(name)
            job = shard.jobs.get(index) if index is not None else None
        if job is not None and method == "POST" and not job.cancelled:
            await writer.cancel(job)
            self.kick()
            job = shard.jobs.get(job.index)
        if job is not None and method == "POST":
            return answer(200, api.JobStatus(name, api.CANCELLED))
        if job is not None and (job.unsure or job.stale or job.in_doubt):
            # Another node may have read and told more than we know of it.
            return await self._look(name, job) or fault(503, "the job is changing")
        if job is not None:
            status = shard.status(job)
            if why := self.world.quarantine.why("job", name):
                status.fault = f"set aside: {why}"
            if job.needs and job.pending(1):
                status.waits = [w.because for w in self.admission.waits(job)] or None
            return answer(200, status)
        if name in shard.finals:
            state = shard.finals[name]
            return answer(200, final_status(name, state, shard.final_done[name]))
        return fault(404, "no such job")

    async def _find(self, writer: Writer, name: str) -> None:
        """Neither running nor remembered here: the state service knows."""
        async with writer.lock:
            await writer.reload(name)

    async def _create(self, writer: Writer, spec: JobSpec) -> Response:
        shard = writer.shard
        at_ms = self.world.wall_ms()
        job = new_job(self.world, spec, shard.shard, at_ms)
        main = records.job_key(shard.shard, spec.id)
        conditions = {
            main: 0,
            records.final_key(shard.shard, spec.id): 0,
            records.shard_key(shard.shard): shard.token,
        }
        try:
            revision = await self.state.txn(conditions, [put(main, JobRecord(spec, at_ms))], True)
        except Conflict:
            await self._find(writer, spec.id)
            return await self._known(shard, spec.id)
        if spec.id in shard.finals:
            # Read, cancelled and ended while the answer was under way: put back now, it was told
            # as waiting after its user had heard that it is cancelled.
            return await self._known(shard, spec.id)
        job.versions[0] = revision
        shard.jobs.setdefault(job.index, job)
        shard.replicas |= spec.service
        self.world.tally.note(spec.team, spec.cls, tally.ACCEPTED)
        log.info("job %s: accepted, %d tasks, %s %s", spec.id, spec.tasks, spec.priority, spec.kind)
        self.kick()
        return answer(201, api.JobStatus(spec.id, api.QUEUED))

    async def _known(self, shard: JobShard, name: str) -> Response:
        index = self.world.jobs.get(name)
        job = shard.jobs.get(index) if index is not None else None
        if job is not None:
            return answer(200, shard.status(job))
        if name in shard.finals:
            return answer(200, final_status(name, shard.finals[name], shard.final_done[name]))
        return fault(503, "the shard is changing hands")

    # --- without the holder

    async def _look(self, name: str, held: Job | None = None) -> Response | None:
        """From the state service. The unfinished key first: a job moves from there only.

        `held`: the job as its holder knows it. That tells no cancellation that isn't in its lists:
        it would go on giving machines' owners its word for the job.
        """
        shard = job_shard(name, self.world.shards)
        # Before the record: what a checkpoint takes out of the log meanwhile is in the record then.
        changes = await self._logged(shard, name)
        entry = await self.state.get(records.job_key(shard, name), True)
        if entry is not None:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            if record.cancelled:
                known = held.cancelled if held else await self._taken(shard, name)
                if not known:
                    return fault(503, UNHEARD)
            done = await self._count_done(shard, record, changes, held)
            running = len(replay({0: record.chunk}, changes)[0].on)
            state = api.CANCELLED if record.cancelled else api.RUNNING if running else api.QUEUED
            return answer(200, api.JobStatus(name, state, done, running))
        entry = await self.state.get(records.final_key(shard, name), True)
        if entry is not None:
            final = msgspec.json.decode(entry.value, type=FinalRecord)
            return answer(200, final_status(name, final.state, final.completed))
        return None

    async def _logged(self, shard: int, name: str) -> list[Logged]:
        """What the shard's commit log says of a job beyond its record, if the shard has one."""
        if not self.membership.writes_log(shard):
            return []
        return (await self.logs.read(self.state, shard)).of(name)

    async def _count_done(
        self, shard: int, record: JobRecord, changes: list[Logged], held: Job | None
    ) -> int:
        """How many tasks of a job have completed by its record and the log, all parts counted: by
        the first part alone an array's count fell whenever its holder couldn't be asked. Its
        holder reads only the parts of which the record may say more than it knows."""
        name, parts = record.spec.id, {0: record.chunk.done}
        if record.spec.tasks > records.CHUNK and held is None:
            prefix = records.chunk_key(shard, name, None)
            for entry in (await self.state.read(prefix))[0]:
                parts[_number(entry)] = _done_part(entry)
        elif held is not None:
            for number in held.in_doubt - {0}:
                key = records.chunk_key(shard, name, number)
                if (part := await self.state.get(key, True)) is not None:
                    parts[number] = _done_part(part)
        bits = done_bits(parts, changes)
        if held is None:
            return sum(one.bit_count() for one in bits.values())
        # Both at once, after all reading: a commit in between was counted as undone in a part
        # and not among all that had finished.
        return held.finished + sum(held.unknown_done(number, one) for number, one in bits.items())

    async def _alone(self, body: bytes, name: str, method: str, shard: int) -> Response:
        if method == "SUBMIT":
            spec = api.decode_job(body)
            main = records.job_key(shard, name)
            note = put(records.inbox_key(shard, name), 1)
            record = put(main, JobRecord(spec, self.world.wall_ms()))
            conditions = {main: 0, records.final_key(shard, name): 0}
            try:
                await self.state.txn(conditions, [record, note], True)
                self.world.tally.note(spec.team, spec.cls, tally.ACCEPTED)
                log.info("job %s: accepted for shard %d", name, shard)
                return answer(201, api.JobStatus(name, api.QUEUED))
            except Conflict:
                return await self._look(name) or fault(503, "the job is changing")
        if method == "GET":
            return await self._look(name) or fault(404, "no such job")
        return await self._cancel_alone(name, shard)

    async def _cancel_alone(self, name: str, shard: int) -> Response:
        main = records.job_key(shard, name)
        entry = await self.state.get(main, True)
        if entry is None:
            return await self._look(name) or fault(404, "no such job")
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if not record.cancelled:
            record.cancelled = True
            note = put(records.inbox_key(shard, name), 1)
            try:
                await self.state.txn({main: entry.version}, [put(main, record), note], True)
            except Conflict:
                return fault(503, "the job is changing")
            log.info("job %s: cancelled for shard %d", name, shard)
        # From here on the job stays cancelled, but nobody may be told before its holder knows.
        if not await self._taken(shard, name):
            return fault(503, UNHEARD)
        return answer(200, api.JobStatus(name, api.CANCELLED))

    async def _taken(self, shard: int, name: str) -> bool:
        """Whether no holder can answer any more from before what we wrote for it: it took our
        note, or holds the shard no longer; a later holder reads the record first.

        A holder that had just come through an outage answered that a job was running which
        another node had told its user was cancelled.
        """
        until, first = self.world.now() + HEARD_S, None
        while True:
            if await self.state.get(records.inbox_key(shard, name), True) is None:
                return True
            entry = await self.state.get(records.shard_key(shard), True)
            gen = msgspec.json.decode(entry.value, type=ShardValue).gen if entry else None
            if gen is None or (first is not None and gen != first):
                return True
            if self.world.now() >= until:
                return False
            first = gen
            await curio.sleep(HEARD_LOOK_S)


def _number(part: api.Entry) -> int:
    """Which chunk of its job's record a part is."""
    return int(part.key.rsplit("/", 1)[1])


def _done_part(part: api.Entry) -> str:
    return msgspec.json.decode(part.value, type=records.DonePart).done


def final_status(name: str, state: str, done: int) -> api.JobStatus:
    return api.JobStatus(name, state, done, 0)

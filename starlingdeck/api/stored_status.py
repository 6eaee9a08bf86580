"""A job's status as the state service has it: records, commit log, terminal states."""

import curio
import msgspec

from starlingdeck.api.job_request import JobApiServices
from starlingdeck.api.responses import error_response, json_response
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.log_reader import LogReader
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import LoggedChange, completed_by_chunk, replay
from starlingdeck.storage.records import FinalRecord, JobRecord, ShardValue
from starlingdeck.transport.server import Response

ACKNOWLEDGEMENT_TIMEOUT_S = 0.8  # until a cancellation's mailbox entry must be taken by the owner
ACKNOWLEDGEMENT_POLL_S = 0.1
CANCELLATION_UNACKNOWLEDGED = "the job's holder has not heard of its cancellation yet"


class StoredStatusReader:
    """Answers status queries from the state service."""

    def __init__(self, services: JobApiServices) -> None:
        self.services = services
        self.log_reader = LogReader()

    async def status(self, name: str, owned: Job | None = None) -> Response | None:
        """The status of a job; None if the state service doesn't know the job.

        The key of the unfinished job is read first: a job moves from there only. `owned` is the
        job as its owner knows it. The owner reports no cancellation that isn't in its own desired
        state: it would go on confirming the job to the owners of machines.
        """
        state = self.services.state
        shard = shard_of_job(name, self.services.context.shard_count)
        # Before the record: what a checkpoint takes out of the log meanwhile is in the record then.
        changes = await self._log_changes(shard, name)
        entry = await state.get(records.job_key(shard, name), True)
        if entry is not None:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            return await self._unfinished_status(name, record, changes, owned)
        entry = await state.get(records.final_key(shard, name), True)
        if entry is not None:
            final = msgspec.json.decode(entry.value, type=FinalRecord)
            return json_response(200, terminal_status(name, final.state, final.completed))
        return None

    async def _unfinished_status(
        self, name: str, record: JobRecord, changes: list[LoggedChange], owned: Job | None
    ) -> Response:
        shard = shard_of_job(name, self.services.context.shard_count)
        if record.cancelled:
            acknowledged = owned.cancelled if owned else await self.owner_acknowledged(shard, name)
            if not acknowledged:
                return error_response(503, CANCELLATION_UNACKNOWLEDGED)
        done = await self._completed_tasks(shard, record, changes, owned)
        running = len(replay({0: record.chunk}, changes)[0].placements)
        state = api.CANCELLED if record.cancelled else api.RUNNING if running else api.QUEUED
        return json_response(200, api.JobStatus(name, state, done, running))

    async def _log_changes(self, shard: int, name: str) -> list[LoggedChange]:
        """What the shard's commit log says of a job beyond its record, if the shard has one."""
        if not self.services.membership.writes_log(shard):
            return []
        return (await self.log_reader.read(self.services.state, shard)).changes_of(name)

    async def _completed_tasks(
        self, shard: int, record: JobRecord, changes: list[LoggedChange], owned: Job | None
    ) -> int:
        """How many tasks of a job have completed, by all chunks of its record and by the log.

        By the first chunk alone an array's count fell whenever its owner couldn't be reached. The
        owner reads only the chunks of which the record may say more than it knows.
        """
        chunks = await self._done_chunks(shard, record, owned)
        completed = completed_by_chunk(chunks, changes)
        if owned is None:
            return sum(bits.bit_count() for bits in completed.values())
        # Both at once, after all reading: a commit in between was counted as undone in a chunk
        # and not among all that had completed.
        return owned.completed + sum(
            owned.unknown_done(number, bits) for number, bits in completed.items()
        )

    async def _done_chunks(
        self, shard: int, record: JobRecord, owned: Job | None
    ) -> dict[int, str]:
        """The encoded completion bits of a job's chunks, by chunk number."""
        state, name = self.services.state, record.spec.id
        chunks = {0: record.chunk.completed_bits}
        if record.spec.tasks > records.TASKS_PER_CHUNK and owned is None:
            prefix = records.chunk_key(shard, name, None)
            for entry in (await state.read(prefix))[0]:
                chunks[_chunk_number(entry)] = _done_field(entry)
        elif owned is not None:
            for number in owned.uncertain_chunks - {0}:
                key = records.chunk_key(shard, name, number)
                if (chunk := await state.get(key, True)) is not None:
                    chunks[number] = _done_field(chunk)
        return chunks

    async def owner_acknowledged(self, shard: int, name: str) -> bool:
        """Whether no owner can answer any more from before a change that was written for it.

        The owner has taken the mailbox entry, or owns the shard no longer; a later owner reads
        the record first. Without this, an owner that had just come through an outage answered
        that a job was running whose cancellation another controller had confirmed to its user.
        """
        context, state = self.services.context, self.services.state
        deadline, first_epoch = context.now() + ACKNOWLEDGEMENT_TIMEOUT_S, None
        while True:
            if await state.get(records.mailbox_key(shard, name), True) is None:
                return True
            entry = await state.get(records.shard_key(shard), True)
            epoch = msgspec.json.decode(entry.value, type=ShardValue).epoch if entry else None
            if epoch is None or (first_epoch is not None and epoch != first_epoch):
                return True
            if context.now() >= deadline:
                return False
            first_epoch = epoch
            await curio.sleep(ACKNOWLEDGEMENT_POLL_S)


def terminal_status(name: str, state: str, done: int) -> api.JobStatus:
    """The status of a job that has ended: nothing of it runs."""
    return api.JobStatus(name, state, done, 0)


def _chunk_number(chunk: api.Entry) -> int:
    """Which chunk of its job's record an entry is."""
    return int(chunk.key.rsplit("/", 1)[1])


def _done_field(chunk: api.Entry) -> str:
    return msgspec.json.decode(chunk.value, type=records.CompletedBits).completed_bits

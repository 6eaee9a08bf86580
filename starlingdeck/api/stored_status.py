"""Reads a job's status from the state service: its record, the commit log, its terminal state."""

import logging
from enum import StrEnum

import curio
import msgspec
from msgspec.structs import replace

from starlingdeck.api.answers import Evidence, JobAnswer, Source, ask_again
from starlingdeck.api.job_request import JobApiServices
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.log_reader import LogReader
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import LoggedChange, completed_by_chunk, replay
from starlingdeck.storage.records import FinalRecord, JobRecord, ShardValue

log = logging.getLogger(__name__)

ACKNOWLEDGEMENT_TIMEOUT_S = 0.8  # wait for the owner to take a cancellation's mailbox entry
ACKNOWLEDGEMENT_POLL_S = 0.1
CANCELLATION_UNACKNOWLEDGED = "the job's holder has not heard of its cancellation yet"


class Acknowledgement(StrEnum):
    """Why no owner of a shard can still report a job's state from before a change."""

    MAILBOX_EMPTY = "mailbox_empty"  # the owner has handled the change's entry
    SHARD_UNOWNED = "shard_unowned"  # the next owner reads the record first
    OWNER_CHANGED = "owner_changed"  # the owner of the time of the change is not one any more


class StoredStatusReader:
    """Answers status queries from the state service."""

    def __init__(self, services: JobApiServices) -> None:
        self.services = services
        self.log_reader = LogReader()

    async def status(self, name: str, owned: Job | None = None) -> JobAnswer | None:
        """Return the status of a job; None if the state service doesn't know the job.

        The key of the unfinished job is read before that of its terminal state, because a job
        moves only from the first to the second. `owned` is the job as its owner knows it, if this
        controller is the owner. The owner does not report a cancellation that is missing from its
        own desired state, because it would go on confirming the job to the owners of machines.
        """
        state = self.services.state
        shard = shard_of_job(name, self.services.context.shard_count)
        evidence = Evidence(Source.STORE, shard, self.services.context.now())
        # Read before the record: what a checkpoint removes from the log in between is then in the
        # record.
        changes = await self._log_changes(shard, name)
        entry = await state.get(records.job_key(shard, name), True)
        if entry is not None:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            evidence = replace(
                evidence, revision=entry.version, cancellation_recorded=record.cancelled
            )
            return await self._unfinished_status(evidence, record, changes, owned)
        entry = await state.get(records.final_key(shard, name), True)
        if entry is not None:
            final = msgspec.json.decode(entry.value, type=FinalRecord)
            evidence = replace(
                evidence,
                revision=entry.version,
                cancellation_recorded=final.state == api.CANCELLED,
            )
            status = terminal_status(name, final.state, final.completed)
            return JobAnswer(name, 200, status, evidence)
        return None

    async def _unfinished_status(
        self,
        evidence: Evidence,
        record: JobRecord,
        changes: list[LoggedChange],
        owned: Job | None,
    ) -> JobAnswer:
        shard, name = evidence.shard, record.spec.id
        if record.cancelled:
            acknowledged = owned.cancelled if owned else await self.owner_acknowledged(shard, name)
            log.debug("cancellation read: job=%s acknowledged=%s", name, acknowledged)
            if not acknowledged:
                return ask_again(name, CANCELLATION_UNACKNOWLEDGED)
        completed = await self._completed_tasks(shard, record, changes, owned)
        running = len(replay({0: record.chunk}, changes)[0].placements)
        state = api.CANCELLED if record.cancelled else api.RUNNING if running else api.QUEUED
        return JobAnswer(name, 200, api.JobStatus(name, state, completed, running), evidence)

    async def _log_changes(self, shard: int, name: str) -> list[LoggedChange]:
        """Return a job's changes in the commit log; empty if the shard's records are complete."""
        if not self.services.membership.may_have_commit_log(shard):
            return []
        return (await self.log_reader.read(self.services.state, shard)).changes_of(name)

    async def _completed_tasks(
        self, shard: int, record: JobRecord, changes: list[LoggedChange], owned: Job | None
    ) -> int:
        """Return how many tasks of a job have completed, from its record and the commit log.

        All chunks of the record are counted: when only the first one was, an array's count fell
        whenever its owner couldn't be reached. The owner reads only the chunks that may have more
        completed tasks in the record than it knows of.
        """
        chunks = await self._encoded_completed_bits(shard, record, owned)
        completed = completed_by_chunk(chunks, changes)
        if owned is None:
            return sum(bits.bit_count() for bits in completed.values())
        # Both terms are computed together, after all reads: when a commit came between them, its
        # tasks were counted in neither.
        return owned.completed + sum(
            owned.unknown_done(number, bits) for number, bits in completed.items()
        )

    async def _encoded_completed_bits(
        self, shard: int, record: JobRecord, owned: Job | None
    ) -> dict[int, str]:
        """Return the encoded bits of completed tasks by chunk.

        With `owned`, only those of the first chunk and of the uncertain chunks.
        """
        state, name = self.services.state, record.spec.id
        chunks = {0: record.chunk.completed_bits}
        if record.spec.tasks > records.TASKS_PER_CHUNK and owned is None:
            prefix = records.chunk_key(shard, name, None)
            for entry in (await state.read(prefix))[0]:
                chunks[_chunk_number(entry)] = _completed_bits(entry)
        elif owned is not None:
            for number in owned.uncertain_chunks - {0}:
                key = records.chunk_key(shard, name, number)
                if (chunk := await state.get(key, True)) is not None:
                    chunks[number] = _completed_bits(chunk)
        return chunks

    async def owner_acknowledged(self, shard: int, name: str) -> Acknowledgement | None:
        """Return why no owner can still report a job's state from before a change.

        Return None if one may. It is certain that none can once the owner has taken the change's
        mailbox entry, or no longer owns the shard: a later owner reads the record first. Wait up
        to ACKNOWLEDGEMENT_TIMEOUT_S.
        Without this, an owner that had just come through an outage answered that a job was
        running, although another controller had confirmed its cancellation to its user.
        """
        context, state = self.services.context, self.services.state
        deadline, first_epoch = context.now() + ACKNOWLEDGEMENT_TIMEOUT_S, None
        while True:
            if await state.get(records.mailbox_key(shard, name), True) is None:
                return Acknowledgement.MAILBOX_EMPTY
            entry = await state.get(records.shard_key(shard), True)
            epoch = msgspec.json.decode(entry.value, type=ShardValue).epoch if entry else None
            if epoch is None:
                return Acknowledgement.SHARD_UNOWNED
            if first_epoch is not None and epoch != first_epoch:
                return Acknowledgement.OWNER_CHANGED
            if context.now() >= deadline:
                return None
            first_epoch = epoch
            await curio.sleep(ACKNOWLEDGEMENT_POLL_S)


def terminal_status(name: str, state: str, completed: int) -> api.JobStatus:
    """Return the status of a job that has ended, with no running tasks."""
    return api.JobStatus(name, state, completed, 0)


def _chunk_number(chunk: api.Entry) -> int:
    """Return the number of the chunk that an entry holds."""
    return int(chunk.key.rsplit("/", 1)[1])


def _completed_bits(chunk: api.Entry) -> str:
    return msgspec.json.decode(chunk.value, type=records.CompletedBits).completed_bits

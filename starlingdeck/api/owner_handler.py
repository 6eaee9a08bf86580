"""Handling of job requests at the owner of the job's shard."""

import logging

from starlingdeck.api.answers import (
    TERMINAL_STATES,
    Evidence,
    JobAnswer,
    Source,
    ask_again,
    not_found,
)
from starlingdeck.api.job_request import JobApiServices, JobRequest, Operation
from starlingdeck.api.stored_status import StoredStatusReader, terminal_status
from starlingdeck.jobs.job import Job, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.records import JobRecord
from starlingdeck.storage.state import TransactionConflictError, put_change

log = logging.getLogger(__name__)


class OwnerJobHandler:
    """Submits, cancels and reads jobs of shards that this controller owns."""

    def __init__(self, services: JobApiServices, stored_status: StoredStatusReader) -> None:
        self.services = services
        self.stored_status = stored_status

    async def handle(self, writer: RecordWriter, request: JobRequest) -> JobAnswer:
        """Handle a request. Raises StateError if the state service can't be used."""
        shard, name = writer.shard, request.name
        began_at = self.services.context.now()
        job = self._find_job(shard, name)
        if job is None and name not in shard.terminal_states:
            if request.operation == Operation.SUBMIT:
                return await self._create(writer, api.decode_job(request.body))
            await self._reload(writer, name)
            job = self._find_job(shard, name)
        if job is not None and request.operation == Operation.CANCEL:
            if not job.cancelled:
                await writer.cancel(job)
                self.services.request_wake()
                job = shard.jobs.get(job.index)
            if job is not None:
                return self._owner_answer(writer, 200, api.JobStatus(name, api.CANCELLED), job)
        return await self._known_status(writer, name, began_at)

    async def _known_status(self, writer: RecordWriter, name: str, began_at: float) -> JobAnswer:
        """Return the status of a job as it is known now; `began_at` is from before it was read."""
        shard = writer.shard
        if (answer := self._certain_status(writer, name)) is not None:
            return answer
        job = self._find_job(shard, name)
        if job is None:
            return not_found(name, Evidence(Source.STORE, shard.shard, began_at))
        # Another controller may have read and reported a later status than the one known here.
        stored = await self.stored_status.status(name, job)
        if stored is None:
            return ask_again(name, "the job is changing")
        if shard.jobs.get(job.index) is job or stored.state in TERMINAL_STATES:
            return stored
        # The job was read again meanwhile, so the counts of completed tasks are of two readings.
        return self._certain_status(writer, name) or ask_again(name, "the job is changing")

    def _certain_status(self, writer: RecordWriter, name: str) -> JobAnswer | None:
        """Return a job's status from memory; None if it isn't there or may be behind the record."""
        job = self._find_job(writer.shard, name)
        if job is None:
            return self._terminal_answer(writer, name)
        if job.outcome_unknown or job.stale or job.uncertain_chunks:
            return None
        return self._owner_answer(writer, 200, self._live_status(writer.shard, job), job)

    def _owner_answer(
        self, writer: RecordWriter, status: int, body: api.JobStatus, job: Job
    ) -> JobAnswer:
        """Return an answer that rests on the job in memory as it is now."""
        evidence = self._owner_evidence(writer, job.key_versions.get(0, 0), job.cancelled)
        return JobAnswer(job.id, status, body, evidence)

    def _owner_evidence(self, writer: RecordWriter, revision: int, cancelled: bool) -> Evidence:
        shard = writer.shard
        return Evidence(
            Source.OWNER,
            shard.shard,
            self.services.context.now(),
            shard.epoch,
            shard.token,
            revision,
            cancelled,
        )

    def _find_job(self, shard: JobShard, name: str) -> Job | None:
        index = self.services.context.job_names.find(name)
        return shard.jobs.get(index) if index is not None else None

    def _live_status(self, shard: JobShard, job: Job) -> api.JobStatus:
        status = shard.status(job)
        if error := self.services.context.quarantine.reason("job", job.spec.id):
            status.fault = f"set aside: {error}"
        if job.resource_needs and job.pending(1):
            reasons = self.services.admission.wait_reasons(job)
            status.waits = [waiting.reason for waiting in reasons] or None
        return status

    def _terminal_answer(self, writer: RecordWriter, name: str) -> JobAnswer | None:
        shard = writer.shard
        if name not in shard.terminal_states:
            return None
        state, completed = shard.terminal_states[name], shard.terminal_completed[name]
        evidence = self._owner_evidence(writer, 0, state == api.CANCELLED)
        return JobAnswer(name, 200, terminal_status(name, state, completed), evidence)

    async def _reload(self, writer: RecordWriter, name: str) -> None:
        """Read from the state service a job that is not known here, unfinished or finished."""
        async with writer.lock:
            await writer.reload(name)

    async def _create(self, writer: RecordWriter, spec: JobSpec) -> JobAnswer:
        context, shard = self.services.context, writer.shard
        submitted_ms, began_at = context.wall_clock_ms(), context.now()
        job = new_job(context, spec, shard.shard, submitted_ms)
        job_key = records.job_key(shard.shard, spec.id)
        conditions = {job_key: 0, records.final_key(shard.shard, spec.id): 0}
        record = put_change(job_key, JobRecord(spec, submitted_ms))
        try:
            revision = await self._transact_owned(shard, conditions, record)
        except TransactionConflictError:
            await self._reload(writer, spec.id)
            return await self._existing_status(writer, spec.id, began_at)
        context.counters.increment(spec.team, spec.cls, counters.ACCEPTED)
        log.info(
            "job accepted: job=%s tasks=%d priority=%s kind=%s",
            spec.id,
            spec.tasks,
            spec.priority,
            spec.kind,
        )
        shard.replicas_waiting |= spec.service
        self.services.request_wake()
        if spec.id in shard.terminal_states or job.index in shard.jobs:
            # Before the response to the write arrived, other requests had the job read. It may be
            # cancelled or over by now.
            return await self._existing_status(writer, spec.id, began_at)
        job.key_versions[0] = revision
        shard.jobs[job.index] = job
        return self._owner_answer(writer, 201, api.JobStatus(spec.id, api.QUEUED), job)

    async def _transact_owned(
        self, shard: JobShard, conditions: dict[str, int], change: api.Change
    ) -> int:
        """Execute a transaction that requires the ownership of a shard; return its revision.

        It is sent again if it was refused only because the shard's token rose meanwhile. Raises the
        errors of StateClient.transact.
        """
        shard_key = records.shard_key(shard.shard)
        while True:
            token = shard.token
            try:
                return await self.services.state.transact(
                    conditions | {shard_key: token}, [change], True
                )
            except TransactionConflictError as error:
                if error.failed != [shard_key] or token == shard.token:
                    raise

    async def _existing_status(self, writer: RecordWriter, name: str, began_at: float) -> JobAnswer:
        """Return the status of a job that turned out to exist when it was to be created."""
        answer = await self._known_status(writer, name, began_at)
        return ask_again(name, "the shard is changing hands") if answer.status == 404 else answer

"""Handling of job requests at the owner of the job's shard."""

import logging

from starlingdeck.api.job_request import JobApiServices, JobRequest, Operation
from starlingdeck.api.responses import error_response, json_response
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
from starlingdeck.transport.server import Response

log = logging.getLogger(__name__)


class OwnerJobHandler:
    """Submits, cancels and reads jobs of shards that this controller owns."""

    def __init__(self, services: JobApiServices, stored_status: StoredStatusReader) -> None:
        self.services = services
        self.stored_status = stored_status

    async def handle(self, writer: RecordWriter, request: JobRequest) -> Response:
        """Handle a request; raises StateError if the state service can't be used."""
        shard, name = writer.shard, request.name
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
                return json_response(200, api.JobStatus(name, api.CANCELLED))
        if job is None:
            return self._terminal_status(shard, name) or error_response(404, "no such job")
        if job.outcome_unknown or job.stale or job.uncertain_chunks:
            # Another controller may have read and reported a later status than the one known here.
            stored = await self.stored_status.status(name, job)
            return stored or error_response(503, "the job is changing")
        return json_response(200, self._live_status(shard, job))

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

    def _terminal_status(self, shard: JobShard, name: str) -> Response | None:
        if name not in shard.terminal_states:
            return None
        state, completed = shard.terminal_states[name], shard.terminal_completed[name]
        return json_response(200, terminal_status(name, state, completed))

    async def _reload(self, writer: RecordWriter, name: str) -> None:
        """Read a job from the state service that is not known here, unfinished or finished."""
        async with writer.lock:
            await writer.reload(name)

    async def _create(self, writer: RecordWriter, spec: JobSpec) -> Response:
        context, shard = self.services.context, writer.shard
        submitted_ms = context.wall_clock_ms()
        job = new_job(context, spec, shard.shard, submitted_ms)
        job_key = records.job_key(shard.shard, spec.id)
        conditions = {
            job_key: 0,
            records.final_key(shard.shard, spec.id): 0,
            records.shard_key(shard.shard): shard.token,
        }
        record = put_change(job_key, JobRecord(spec, submitted_ms))
        try:
            revision = await self.services.state.transact(conditions, [record], True)
        except TransactionConflictError:
            await self._reload(writer, spec.id)
            return self._existing_status(shard, spec.id)
        if spec.id in shard.terminal_states:
            # Another request had the job read, cancelled and ended before the response to the write
            # arrived. If the job were added now, it would be reported as queued after its user had
            # been told that it is cancelled.
            return self._existing_status(shard, spec.id)
        job.key_versions[0] = revision
        shard.jobs.setdefault(job.index, job)
        shard.replicas_waiting |= spec.service
        context.counters.increment(spec.team, spec.cls, counters.ACCEPTED)
        log.info(
            "job accepted: job=%s tasks=%d priority=%s kind=%s",
            spec.id,
            spec.tasks,
            spec.priority,
            spec.kind,
        )
        self.services.request_wake()
        return json_response(201, api.JobStatus(spec.id, api.QUEUED))

    def _existing_status(self, shard: JobShard, name: str) -> Response:
        """Return the status of a job that turned out to exist when it was to be created."""
        job = self._find_job(shard, name)
        if job is not None:
            return json_response(200, shard.status(job))
        terminal = self._terminal_status(shard, name)
        return terminal or error_response(503, "the shard is changing hands")

"""Handling of job requests through the state service, without the shard's owner.

The owner learns of a submission or cancellation from an entry in its shard's mailbox.
"""

import logging

import msgspec
from msgspec.structs import replace

from starlingdeck.api.answers import Evidence, JobAnswer, Source, ask_again, not_found
from starlingdeck.api.job_request import JobApiServices, JobRequest, Operation
from starlingdeck.api.stored_status import CANCELLATION_UNACKNOWLEDGED, StoredStatusReader
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.records import JobRecord
from starlingdeck.storage.state import TransactionConflictError, put_change

log = logging.getLogger(__name__)


class StoreJobHandler:
    """Submits, cancels and reads jobs of shards that this controller does not own."""

    def __init__(self, services: JobApiServices, stored_status: StoredStatusReader) -> None:
        self.services = services
        self.stored_status = stored_status

    async def handle(self, request: JobRequest, shard: int) -> JobAnswer:
        """Handle a request. Raises StateError if the state service can't be used."""
        if request.operation == Operation.SUBMIT:
            return await self._submit(request, shard)
        if request.operation == Operation.STATUS:
            return await self._status_or_not_found(request.name, shard)
        return await self._cancel(request.name, shard)

    def _evidence(self, shard: int) -> Evidence:
        """Return the evidence of what is read or written from now on."""
        return Evidence(Source.STORE, shard, self.services.context.now())

    async def _status_or_not_found(self, name: str, shard: int) -> JobAnswer:
        evidence = self._evidence(shard)
        return await self.stored_status.status(name) or not_found(name, evidence)

    async def _submit(self, request: JobRequest, shard: int) -> JobAnswer:
        context, name = self.services.context, request.name
        spec = api.decode_job(request.body)
        job_key = records.job_key(shard, name)
        notification = put_change(records.mailbox_key(shard, name), 1)
        record = put_change(job_key, JobRecord(spec, context.wall_clock_ms()))
        conditions = {job_key: 0, records.final_key(shard, name): 0}
        evidence = self._evidence(shard)
        try:
            await self.services.state.transact(conditions, [record, notification], True)
        except TransactionConflictError:
            stored = await self.stored_status.status(name)
            return stored or ask_again(name, "the job is changing")
        context.counters.increment(spec.team, spec.cls, counters.ACCEPTED)
        log.info("job accepted without owner: job=%s shard=%d", name, shard)
        return JobAnswer(name, 201, api.JobStatus(name, api.QUEUED), evidence)

    async def _cancel(self, name: str, shard: int) -> JobAnswer:
        state, evidence = self.services.state, self._evidence(shard)
        job_key = records.job_key(shard, name)
        entry = await state.get(job_key, True)
        if entry is None:
            return await self._status_or_not_found(name, shard)
        record = msgspec.json.decode(entry.value, type=JobRecord)
        if not record.cancelled:
            record.cancelled = True
            notification = put_change(records.mailbox_key(shard, name), 1)
            changes = [put_change(job_key, record), notification]
            try:
                await state.transact({job_key: entry.version}, changes, True)
            except TransactionConflictError:
                return ask_again(name, "the job is changing")
            log.info("job cancelled without owner: job=%s shard=%d", name, shard)
        # The cancellation is durable, but is not reported to any user before the owner knows of it.
        reason = await self.stored_status.owner_acknowledged(shard, name)
        if reason is None:
            return ask_again(name, CANCELLATION_UNACKNOWLEDGED)
        log.info(
            "cancellation confirmed without owner: job=%s shard=%d reason=%s", name, shard, reason
        )
        evidence = replace(evidence, cancellation_recorded=True)
        return JobAnswer(name, 200, api.JobStatus(name, api.CANCELLED), evidence)

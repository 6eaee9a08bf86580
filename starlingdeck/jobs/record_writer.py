"""Makes a job shard's changes durable, grouped into transactions."""

import logging

import curio
import msgspec

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import DurablePlugin, TransactionReservation
from starlingdeck.jobs.group_commit import GroupCommit
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.jobs.loader import Loader
from starlingdeck.jobs.write_batch import MAX_TRANSACTION_BYTES, BatchSelector
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)

IDLE_WAIT_S = 0.25  # wait before the next flush when no change waits for a commit
MIN_WAIT_S = 0.005  # wait before the next flush when a due commit exceeds the write budget
POLL_INTERVAL_S = 0.05  # interval of checks for urgent changes while the write budget is used up


class RecordWriter:
    """Writes the records of one job shard; `lock` serializes its transactions."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        shard: JobShard,
        durable_plugin: DurablePlugin | None = None,
    ) -> None:
        self.context = context
        self.durable_plugin = durable_plugin
        self.state = state
        self.shard = shard
        self.lock = curio.Lock()
        self.ownership_lost = False
        # How long the flusher may wait for an event before it flushes again.
        self.idle_wait_s = IDLE_WAIT_S
        self.group_commit = GroupCommit(context, state, shard, context.tuning.group_commit)
        self.batches = BatchSelector(context, state, shard, self.group_commit)
        self.loader = Loader(context, state, shard, self.group_commit.settle)

    async def load(self) -> None:
        """Read the shard's unfinished jobs after taking it over."""
        await self.loader.load()

    async def reload(self, name: str) -> Job | None:
        """Reread a job whose record may have changed."""
        return await self.loader.reload(name)

    async def flush(self) -> bool:
        """Write one transaction of changes; return True when there may be more to write.

        The changes are selected only when the write budget has room for them. When they were
        selected before the wait, each start of a job was a write of its own, urgent starts waited
        behind changes selected earlier, and a cancellation waited for the lock all that time.
        """
        async with self.lock:
            if self.ownership_lost or not self.shard.loaded:
                return False
            await self.group_commit.settle()
            await self.loader.reload_stale()
            for index in self.shard.unresolved_cancellations():
                # Other controllers may already read and report the job as cancelled. Until the
                # outcome is known, the shard's watermark stays at the time of sending.
                cancellation = self.shard.draft_cancellation(self.shard.jobs[index])
                await self._write([cancellation], True)
                return True
            if fences := self._draft_fences():
                await self._write(fences, True)
                return True
            await self._settle_plugin()
            due_s = self.group_commit.due_s()
            if due_s == 0.0 and self.state.available_writes(True)[0]:
                return await self._commit_group()
            reservation = (
                self.durable_plugin.begin_transaction(self.shard)
                if self.durable_plugin is not None
                else None
            )
            batch = self.batches.select(reservation)
            if batch.updates:
                return await self._write(batch.updates, batch.urgent, reservation)
            if await self._write_maintenance():
                return True
        self.idle_wait_s = max(due_s, MIN_WAIT_S) if due_s is not None else IDLE_WAIT_S
        if batch.wait_s > 0:
            await curio.sleep(min(batch.wait_s, POLL_INTERVAL_S))
        return batch.wait_s > 0

    async def cancel(self, job: Job) -> None:
        """Cancel a job durably. Raises StateError when the cancellation may not be durable."""
        async with self.lock:
            await self.group_commit.settle()
            if job.stale:
                await self.loader.reload_stale()
            current = self.shard.jobs.get(job.index)
            if current is None or current.cancelled or current.terminal_state:
                return
            cancellation = self.shard.draft_cancellation(current)
            if self.ownership_lost or not await self._write([cancellation], True):
                raise StateError("the job's record changed; ask again")

    async def _settle_plugin(self) -> None:
        if self.durable_plugin is None:
            return
        settled = True
        try:
            await self.durable_plugin.settle(self.shard)
        except (StateError, TransactionConflictError) as error:
            # The flush goes on: only starts that need units wait for the outcome.
            log.info("ledger outcome unknown: shard=%d error=%r", self.shard.shard, error)
            settled = False
        await self.loader.reload_stale()
        for job in self.shard.jobs_with_uncertain_starts():
            if settled and job.resource_needs:
                job.uncertain_starts.clear()

    async def _commit_group(self) -> bool:
        batch = self.group_commit.collect()
        if not batch.updates:
            return False
        if not await self.group_commit.commit(batch):
            self.ownership_lost = True
            return False
        await self.loader.reload_stale()
        return True

    def _draft_fences(self) -> list[JobUpdate]:
        """Draft rewrites of records that rule out their jobs' uncertain starts.

        A transaction requires the version of the record that it was drafted from. Without a
        rewrite, uncertain starts of a job that has nothing else to be written could be recorded at
        any later time, and would count as used until then. Starts that need units of counted
        resources are ruled out by a rewrite of the ledgers.
        """
        limit = min(
            self.state.available_writes(True)[0], self.context.settings.settings.state.txn_ops
        )
        uncertain = self.shard.jobs_with_uncertain_starts()
        jobs = [job for job in uncertain if not job.resource_needs][:limit]
        return self._within_bytes(self.shard.drafter.draft_fences(jobs))

    # --- checkpoints and deletions

    async def _write_maintenance(self) -> bool:
        """Write one transaction of checkpoints or deletions, if the write budget has room for it.

        Records are rewritten so that segments of the log can be reused or deleted; obsolete
        segments and other obsolete keys are deleted. Return whether anything was to be written.
        """
        limit = min(
            self.state.available_writes(False)[0], self.context.settings.settings.state.txn_ops
        )
        if limit < 1:
            return False
        if self.group_commit.checkpoint_due():
            updates = self._within_bytes(self.shard.drafter.draft_checkpoints(limit))
            if updates:
                return await self._write(updates, False)
        if keys := self.group_commit.obsolete_segments(limit):
            await self.group_commit.delete_segments(keys)
            return True
        now = self.context.now()
        obsolete = [key for key, due in self.shard.obsolete_keys.items() if due <= now][:limit]
        if obsolete:
            await self._delete_obsolete(obsolete)
        return bool(obsolete)

    @staticmethod
    def _within_bytes(updates: list[JobUpdate]) -> list[JobUpdate]:
        """Return the first of the updates, as many as fit into a transaction; at least one."""
        taken: list[JobUpdate] = []
        size = 0
        for update in updates:
            size += sum(len(msgspec.json.encode(change)) for change in update.changes)
            if taken and size > MAX_TRANSACTION_BYTES:
                break
            taken.append(update)
        return taken

    async def _delete_obsolete(self, keys: list[str]) -> None:
        """Delete chunks of finished arrays.

        If the transaction is executed late, that does no harm: nothing uses these keys any more.
        """
        shard_key = records.shard_key(self.shard.shard)
        changes = [api.Change(delete=key) for key in keys]
        try:
            await self.state.transact({shard_key: self.shard.token}, changes)
        except TransactionConflictError as error:
            log.info("obsolete keys not deleted: shard=%d error=%s", self.shard.shard, error)
            return
        for key in keys:
            del self.shard.obsolete_keys[key]

    # --- one transaction

    async def _write(
        self,
        updates: list[JobUpdate],
        urgent: bool,
        reservation: TransactionReservation | None = None,
    ) -> bool:
        """Write and apply updates; return False if they are refused and flushing has to stop."""
        conditions, changes = self._prepare(updates)
        if reservation is not None:
            more_conditions, more_changes = reservation.conditions_and_changes()
            conditions.update(more_conditions)
            changes += more_changes
        token = conditions[records.shard_key(self.shard.shard)]
        try:
            revision = await self.state.transact(conditions, changes, urgent)
        except TransactionConflictError as error:
            return await self._on_conflict(error, token, updates, reservation)
        except OutcomeUnknownError:
            # The transaction may have been executed, or may be executed later. The records are read
            # again, and the next write requires the versions that were read: if the transaction is
            # executed before that write, the write is refused; after it, the transaction is.
            for update in updates:
                update.job.stale = True
                if update.pending_starts:
                    update.job.uncertain_starts |= update.pending_starts
                    self.shard.uncertain_jobs.add(update.job.index)
            if reservation is not None:
                reservation.on_unknown_outcome()
            raise
        if reservation is not None:
            reservation.on_committed(revision)
        for update in updates:
            self.batches.on_written(update)
            self.shard.apply_update(update, revision)
        return True

    def _prepare(self, updates: list[JobUpdate]) -> tuple[dict[str, int], list[api.Change]]:
        """Return the conditions and changes of updates, and mark their outcomes as uncertain."""
        conditions: dict[str, int] = {}
        changes: list[api.Change] = []
        for update in updates:
            conditions.update(update.conditions)
            changes += update.changes
            self._mark_uncertain(update)
        return conditions, changes

    def _mark_uncertain(self, update: JobUpdate) -> None:
        """Mark the outcome of an update that is about to be sent as uncertain.

        Other controllers may read the new record and report its state before this one knows it.
        """
        job = update.job
        job.outcome_unknown |= bool(update.terminal_state or update.cancel)
        job.uncertain_chunks.update(
            task // records.TASKS_PER_CHUNK
            for task, cause in update.pending_ends.items()
            if cause == api.CAUSE_DONE
        )
        if update.cancel:
            self.shard.pending_cancellations.setdefault(job.index, self.context.now())

    async def _on_conflict(
        self,
        error: TransactionConflictError,
        token: int,
        updates: list[JobUpdate],
        reservation: TransactionReservation | None,
    ) -> bool:
        """Handle a refused transaction: nothing was written.

        Return True if the conflict was on the reservation's keys and flushing may be retried.
        """
        if records.shard_key(self.shard.shard) in error.failed:
            # Another controller owns the shard, or the token rose while the transaction was sent.
            if token == self.shard.token:
                self.ownership_lost = True
            return False
        for update in updates:
            if any(key in error.failed for key in update.conditions):
                update.job.stale = True
        retry = reservation is not None and await reservation.on_conflict(error.failed)
        await self.loader.reload_stale()
        return retry

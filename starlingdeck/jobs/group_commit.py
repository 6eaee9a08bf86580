"""Group commit: the starts and ends of all of a shard's jobs, written together to its commit log.

A commit writes one key, whatever the number of jobs in it. It is conditional on the version of the
shard's key, on the versions of its jobs' records, and on the version that its own key had after the
previous commit to it.
"""

import logging
from typing import NamedTuple

import curio
import msgspec
from msgspec import Struct

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.commit_log import PreparedCommit
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate, LogUpdate
from starlingdeck.protocol import api
from starlingdeck.protocol.config import GroupCommitSettings
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import JobChange, read_segments, segment_key
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)

log = logging.getLogger(__name__)

MAX_TASKS_PER_CHANGE = 150  # tasks of one job in a commit: they have to fit into one value
MIN_COMMIT_BYTES = 1024  # with less free space, a job's change may not fit
CONDITIONS_PER_CHANGE = 4  # a transaction's condition limit, as a multiple of its change limit
MAX_APPLY_S = 0.005  # how long a commit is applied without yielding to other coroutines


class UncertainChunks(NamedTuple):
    """Chunks of a job in which a commit that was sent completes tasks."""

    job: Job
    chunks: set[int]


class Batch(Struct):
    """What goes into the next commit."""

    updates: list[JobUpdate] = []
    changes: list[JobChange] = []
    encoded: list[bytes] = []
    conditions: dict[str, int] = {}
    has_more: bool = False  # some waiting changes did not fit

    def add(self, drafted: LogUpdate, encoded: bytes) -> None:
        """Add a job's part; `encoded` is its change as the log stores it."""
        self.updates.append(drafted.update)
        self.changes.append(drafted.change)
        self.encoded.append(encoded)
        self.conditions |= drafted.update.conditions


class GroupCommit:
    """Writes the commits of one job shard. Callers hold the lock that orders the shard's writes.

    Without `settings` no commit is written; the commits that the log still holds are processed.
    """

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        shard: JobShard,
        settings: GroupCommitSettings | None,
    ) -> None:
        self.context = context
        self.state = state
        self.shard = shard
        self.settings = settings
        self.waiting_since: dict[int, float] = {}  # job -> since when it has waited for a commit
        self.has_more = False  # the last commit had no room for some waiting changes

    # --- what is written to the log, and when

    def uses_commit_log(self, job: Job) -> bool:
        """Return whether a job's next write goes to the log; else its record is rewritten."""
        if (
            self.settings is None
            or job.resource_needs
            or not (job.pending_ends or job.pending_starts)
        ):
            return False
        if self.shard.drafter.terminal_state_of(job):
            return False
        # When the log is full, ends are written to the records, and starts wait.
        return not job.pending_ends or self.shard.commit_log.free_bytes() >= MIN_COMMIT_BYTES

    def may_start(self) -> bool:
        """Return whether starts may be recorded: not while the log is full."""
        free = self.shard.commit_log.free_bytes
        return self.settings is None or free(for_starts=True) >= MIN_COMMIT_BYTES

    def due_s(self) -> float | None:
        """Return the seconds until the next commit is due; None when nothing waits for one."""
        if self.settings is None:
            return None
        now = self.context.now()
        waiting = self._waiting()
        self.waiting_since = {job.index: self.waiting_since.get(job.index, now) for job in waiting}
        if self.has_more and waiting:
            return 0.0
        due = [self.waiting_since[job.index] + _max_wait_s(job, self.settings) for job in waiting]
        return max(0.0, min(due) - now) if due else None

    def _waiting(self) -> list[Job]:
        """Return the jobs that have changes to be committed to the log."""
        jobs = (self.shard.jobs.get(index) for index in self.shard.dirty_jobs)
        starting = self.may_start()
        return [
            job
            for job in jobs
            if job is not None
            and not job.stale
            and (job.pending_ends or (job.pending_starts and starting and not job.cancelled))
            and self.uses_commit_log(job)
            and not self.context.is_quarantined("job", job.id)
        ]

    # --- the commit

    def collect(self) -> Batch:
        """Collect as many waiting changes as one commit has room for, urgent starts first."""
        batch = Batch()
        starting = self.may_start()
        free_bytes = self.shard.commit_log.free_bytes(starting)
        txn_ops = self.context.settings.settings.state.txn_ops
        # Two conditions are on the shard's key and on the commit's own key.
        max_conditions = CONDITIONS_PER_CHANGE * txn_ops - 2
        waiting = self._waiting()
        waiting.sort(
            key=lambda job: (not _has_urgent_start(job), self.waiting_since.get(job.index, 0.0))
        )
        for job in waiting:
            free_conditions = max_conditions - len(batch.conditions)
            if free_conditions < 1 or free_bytes < MIN_COMMIT_BYTES:
                batch.has_more = True
                break
            drafted = self._draft(job, starting, free_conditions)
            if drafted is None:
                continue
            encoded = msgspec.json.encode(drafted.change)
            size = len(encoded) + 1  # including a separator
            if size > free_bytes or len(drafted.update.conditions) > free_conditions:
                batch.has_more = True
                continue
            free_bytes -= size
            batch.add(drafted, encoded)
        return batch

    def _draft(self, job: Job, starting: bool, free_conditions: int) -> LogUpdate | None:
        """Return a job's part of the next commit, or None when it has nothing to be written."""
        max_chunks = max(1, free_conditions - 1)  # one condition is on the record's own key
        try:
            drafted = self.shard.drafter.draft_log_change(
                job, starting, max_chunks, MAX_TASKS_PER_CHANGE
            )
        except Exception as error:  # one job's fault must not hold up the others' changes
            self.context.quarantine_after_failure("job", job.id, error)
            return None
        if drafted is None:
            self.shard.dirty_jobs.discard(job.index)
        return drafted

    async def commit(self, batch: Batch) -> bool:
        """Write a batch and apply it; return False if this controller lost the shard."""
        shard_key = records.shard_key(self.shard.shard)
        token = self.shard.token
        jobs = [update.job.index for update in batch.updates]
        commit = self.shard.commit_log.prepare(batch.changes, batch.encoded, jobs)
        conditions = {shard_key: token, commit.key: commit.version, **batch.conditions}
        uncertain = self._mark_uncertain(batch)
        try:
            change = put_change(commit.key, commit.value)
            revision = await self.state.transact(conditions, [change], True)
        except TransactionConflictError as error:
            _clear_uncertain(uncertain)
            return self._on_conflict(error, batch, commit, token)
        except OutcomeUnknownError:
            # No other change of the shard is written until the commit's outcome is known.
            self.shard.commit_log.unresolved = commit
            for update in batch.updates:
                update.job.stale = True
            raise
        except StateError:
            _clear_uncertain(uncertain)
            raise
        self.shard.commit_log.on_written(commit, revision)
        self.has_more = batch.has_more
        await self._apply(batch, uncertain, revision)
        return True

    async def _apply(self, batch: Batch, uncertain: list[UncertainChunks], revision: int) -> None:
        """Apply a durable commit job by job, yielding to other coroutines in between.

        Applying hundreds of tasks at once delayed submissions. Until a job's part is applied, its
        status is answered from the log as well.
        """
        began = self.context.now()
        for update, chunks in zip(batch.updates, uncertain, strict=True):
            self.waiting_since.pop(update.job.index, None)
            self.shard.apply_update(update, revision)
            _clear_uncertain([chunks])
            if self.context.now() - began > MAX_APPLY_S:
                await curio.sleep(0)
                began = self.context.now()

    def _mark_uncertain(self, batch: Batch) -> list[UncertainChunks]:
        """Mark the chunks in which a commit about to be sent completes tasks; return the new marks.

        Status queries for marked chunks are answered from the log as well: other controllers may
        read the commit there and report a completion before this controller knows of it.
        """
        marked = []
        for update, change in zip(batch.updates, batch.changes, strict=True):
            ended = {task // records.TASKS_PER_CHUNK for task in change.completed}
            ended -= update.job.uncertain_chunks
            update.job.uncertain_chunks |= ended
            marked.append(UncertainChunks(update.job, ended))
        return marked

    def _on_conflict(
        self, error: TransactionConflictError, batch: Batch, commit: PreparedCommit, token: int
    ) -> bool:
        """Handle a refused commit; return False if this controller lost the shard.

        Nothing was written: another controller changed a record, the shard's key has another
        version, or the commit's key does.
        """
        if records.shard_key(self.shard.shard) in error.failed:
            return token != self.shard.token  # still owned if only the token rose meanwhile
        if commit.key in error.failed:
            # The key has another version than expected: read its content before the next write.
            self.shard.commit_log.unresolved = commit
        for update in batch.updates:
            if any(key in error.failed for key in update.conditions):
                update.job.stale = True
        return True

    # --- a commit of unknown outcome

    async def settle(self) -> None:
        """Find out whether the last commit was executed. Raises StateError while that is unknown.

        A commit that was not executed yet may still be executed at any time, also after newer
        writes. So its key is first rewritten without it: then its condition on the key's version
        can't hold any more.
        """
        commit = self.shard.commit_log.unresolved
        if commit is None:
            return
        entry = await self.state.get(commit.key, True)
        version = entry.version if entry is not None else 0
        if version == commit.version:
            await self._fence(commit)
        elif entry is not None:
            self._read_outcome(commit, entry)
        else:
            raise StateError(f"{commit.key} is gone")
        self.shard.commit_log.unresolved = None
        for index in commit.jobs:
            job = self.shard.jobs.get(index)
            if job is not None:
                job.stale = True  # to be read again, together with its changes in the log
                job.uncertain_chunks.clear()

    async def _fence(self, commit: PreparedCommit) -> None:
        """Write the commit's key without the commit."""
        commit_log = self.shard.commit_log
        shard_key = records.shard_key(self.shard.shard)
        conditions = {shard_key: self.shard.token, commit.key: commit.version}
        change = put_change(commit.key, commit_log.fence_value(commit))
        try:
            version = await self.state.transact(conditions, [change], True)
        except TransactionConflictError as error:
            raise StateError(f"a commit's fate is still open: {error}") from error
        commit_log.on_fenced(commit, version)
        log.info("unanswered commit resolved: shard=%d outcome=fenced", self.shard.shard)

    def _read_outcome(self, commit: PreparedCommit, entry: api.Entry) -> None:
        """Record whether the commit was executed, according to its key's present content."""
        if commit.position in read_segments([entry]).newest_positions.values():
            self.shard.commit_log.on_written(commit, entry.version)
            log.info("unanswered commit resolved: shard=%d outcome=executed", self.shard.shard)
        else:
            self.shard.commit_log.on_fenced(commit, entry.version)

    # --- checkpoints, and deletion of obsolete segments

    def checkpoint_due(self) -> bool:
        """Return whether records have to be rewritten so that segments can be reused or deleted.

        Once the log is not written any more, that holds until no record lacks any of its changes.
        """
        commit_log = self.shard.commit_log
        return commit_log.checkpoint_due() if self.settings is not None else not commit_log.is_clean

    def obsolete_segments(self, limit: int) -> dict[str, int]:
        """Return up to `limit` segments to delete, as key -> version.

        There are none as long as the log is written, or any record lacks some of its changes.
        """
        commit_log = self.shard.commit_log
        if self.settings is not None or commit_log.is_empty or not commit_log.is_clean:
            return {}
        slots = list(commit_log.slots.items())[:limit]
        return {segment_key(self.shard.shard, number): slot.version for number, slot in slots}

    async def delete_segments(self, keys: dict[str, int]) -> None:
        """Delete the segments that `obsolete_segments` returned."""
        conditions = {records.shard_key(self.shard.shard): self.shard.token, **keys}
        try:
            await self.state.transact(conditions, [api.Change(delete=key) for key in keys])
        except TransactionConflictError as error:
            log.info("log segments not deleted: shard=%d error=%s", self.shard.shard, error)
            return
        self.shard.commit_log.on_segments_deleted(keys)
        if self.shard.commit_log.is_empty:
            log.info("commit log empty: shard=%d", self.shard.shard)


def _clear_uncertain(marked: list[UncertainChunks]) -> None:
    for job, chunks in marked:
        job.uncertain_chunks -= chunks


def _has_urgent_start(job: Job) -> bool:
    return bool(job.pending_starts) and job.spec.rank >= MIN_URGENT_RANK


def _max_wait_s(job: Job, settings: GroupCommitSettings) -> float:
    """Return how long a job's change may wait for others to be committed with it, in seconds."""
    return settings.urgent_s if _has_urgent_start(job) else settings.interval_s

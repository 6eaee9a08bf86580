"""Makes the starts and ends of all of a shard's jobs durable together, by its commit log.

One key is written a commit, whatever the number of jobs. Each commit stands on the shard's key, on
the versions of the records of its jobs, and on its own key as the commit before left it.
"""

import logging

import curio
import msgspec
from msgspec import Struct

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.commit_log import Prepared
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job, JobUpdate
from starlingdeck.jobs.job_shard import JobShard
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

MOST_TASKS = 150  # of one job in a commit: they have to fit into one value
LEAST_BYTES = 1024  # of a commit: with less room a job's part may not fit
CONDITIONS = 4  # times the changes that a transaction may hold

STRETCH_S = 0.005  # (start) of applying a commit before others get their turn

Doubts = tuple[Job, set[int]]  # chunks of a job in which a commit under way ends tasks


class Batch(Struct):
    """What goes into the next commit. `more`: not all that waits did."""

    drafts: list[JobUpdate] = []
    changes: list[JobChange] = []
    encoded: list[bytes] = []
    conditions: dict[str, int] = {}
    more: bool = False


class GroupCommit:
    """One per job shard. Its callers hold the lock that keeps the shard's writes in order.

    Without settings nothing is written to the log; what is there is still followed.
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
        self.since: dict[int, float] = {}  # job -> since when it has had something to be written
        self.at_once = False  # the last commit could not take all that waited

    # --- what goes by the log, and when

    def by_log(self, job: Job) -> bool:
        """Whether a job's next write is a commit of the log; else its record is rewritten."""
        if (
            self.settings is None
            or job.resource_needs
            or not (job.pending_ends or job.pending_starts)
        ):
            return False
        if self.shard.terminal_state_of(job):
            return False
        # Without any room the ends go on by records, and the starts wait.
        return not job.pending_ends or self.shard.commit_log.bytes_free() >= LEAST_BYTES

    def may_start(self) -> bool:
        """Whether starts may be recorded at all: a full log holds them back."""
        return self.settings is None or self.shard.commit_log.bytes_free(True) >= LEAST_BYTES

    def due_s(self) -> float | None:
        """How long until the next commit; None when nothing waits for one."""
        if self.settings is None:
            return None
        now = self.context.now()
        waiting = self._waiting()
        self.since = {job.index: self.since.get(job.index, now) for job in waiting}
        if self.at_once and waiting:
            return 0.0
        due = [self.since[job.index] + self._patience_s(job, self.settings) for job in waiting]
        return max(0.0, min(due) - now) if due else None

    def _waiting(self) -> list[Job]:
        jobs = (self.shard.jobs.get(index) for index in self.shard.dirty_jobs)
        starting = self.may_start()
        return [
            job
            for job in jobs
            if job is not None
            and not job.stale
            and (job.pending_ends or (job.pending_starts and starting and not job.cancelled))
            and self.by_log(job)
            and not self.context.is_quarantined("job", job.id)
        ]

    @staticmethod
    def _patience_s(job: Job, settings: GroupCommitSettings) -> float:
        return settings.urgent_s if _urgent(job) else settings.interval_s

    # --- the commit

    def collect(self) -> Batch:
        """As much of what waits as one commit takes, urgent starts first."""
        batch = Batch()
        starting = self.may_start()
        room = self.shard.commit_log.bytes_free(starting)
        txn_ops = self.context.settings.settings.state.txn_ops
        allowed = CONDITIONS * txn_ops - 2  # the shard's key and the commit's own
        waiting = self._waiting()
        waiting.sort(key=lambda j: (not _urgent(j), self.since.get(j.index, 0.0)))
        for job in waiting:
            left = allowed - len(batch.conditions)
            if left < 1 or room < LEAST_BYTES:
                batch.more = True
                break
            try:
                # The record's own key is a condition as well.
                part = self.shard.draft_log_change(job, starting, max(1, left - 1), MOST_TASKS)
            except Exception as error:
                self.context.quarantine_failed("job", job.id, error)
                continue
            if part is None:
                self.shard.dirty_jobs.discard(job.index)
                continue
            update, change = part
            encoded = msgspec.json.encode(change)
            if len(encoded) + 1 > room or len(update.conditions) > left:
                batch.more = True
                continue
            room -= len(encoded) + 1
            batch.drafts.append(update)
            batch.changes.append(change)
            batch.encoded.append(encoded)
            batch.conditions |= update.conditions
        return batch

    async def commit(self, batch: Batch) -> bool:
        """Writes it; whether the shard is still ours by what the state service says."""
        shard_key = records.shard_key(self.shard.shard)
        token = self.shard.token
        jobs = [draft.job.index for draft in batch.drafts]
        commit = self.shard.commit_log.prepare(batch.changes, batch.encoded, jobs)
        conditions = {shard_key: token, commit.key: commit.version, **batch.conditions}
        added = self._doubt(batch)
        try:
            change = put_change(commit.key, commit.value)
            revision = await self.state.transact(conditions, [change], True)
        except TransactionConflictError as error:
            self._undoubt(added)
            return await self._refused(error, batch, commit, token)
        except OutcomeUnknownError:
            # Until it is known whether it was carried out, nothing else of the shard is written.
            self.shard.commit_log.unknown = commit
            for update in batch.drafts:
                update.job.stale = True
            raise
        except StateError:
            self._undoubt(added)
            raise
        self.shard.commit_log.written(commit, revision)
        self.at_once = batch.more
        await self._apply(batch, added, revision)
        return True

    async def _apply(self, batch: Batch, added: list[Doubts], revision: int) -> None:
        """Make a durable commit true here, job by job: hundreds of tasks at a stretch let
        submissions wait. Until its turn a job's answers come from the log."""
        began = self.context.now()
        for update, doubts in zip(batch.drafts, added, strict=True):
            self.since.pop(update.job.index, None)
            self.shard.apply_update(update, revision)
            self._undoubt([doubts])
            if self.context.now() - began > STRETCH_S:
                await curio.sleep(0)
                began = self.context.now()

    def _doubt(self, batch: Batch) -> list[Doubts]:
        """Others that read the log may tell its users of an end before we know: until then the
        job's answers come from there as well."""
        added = []
        for update, change in zip(batch.drafts, batch.changes, strict=True):
            ended = {
                task // records.TASKS_PER_CHUNK for task in change.completed
            } - update.job.uncertain_chunks
            update.job.uncertain_chunks |= ended
            added.append((update.job, ended))
        return added

    @staticmethod
    def _undoubt(added: list[Doubts]) -> None:
        for job, ended in added:
            job.uncertain_chunks -= ended

    async def _refused(
        self, error: TransactionConflictError, batch: Batch, commit: Prepared, token: int
    ) -> bool:
        """Nothing was written: another controller changed a record, or the shard isn't ours."""
        if records.shard_key(self.shard.shard) in error.failed:
            return token != self.shard.token  # our token rose meanwhile
        if commit.key in error.failed:
            # Its version is not the one that we know: look what it holds before writing on.
            self.shard.commit_log.unknown = commit
        for update in batch.drafts:
            if any(key in error.failed for key in update.conditions):
                update.job.stale = True
        return True

    # --- a commit of unknown fate

    async def settle(self) -> None:
        """Finds out whether the last commit was carried out; StateError while it can't be known.

        A commit that was not yet carried out may be at any time, after newer writes: its key is
        written again without it first, and so its condition can't hold any more.
        """
        commit = self.shard.commit_log.unknown
        if commit is None:
            return
        entry = await self.state.get(commit.key, True)
        version = entry.version if entry is not None else 0
        if version == commit.version:
            await self._fence(commit)
        elif entry is not None:
            self._read_fate(commit, entry)
        else:
            raise StateError(f"{commit.key} is gone")
        self.shard.commit_log.unknown = None
        for index in commit.jobs:
            job = self.shard.jobs.get(index)
            if job is not None:
                job.stale = True  # read again, with what is now known of the log
                job.uncertain_chunks.clear()

    async def _fence(self, commit: Prepared) -> None:
        key, ring = records.shard_key(self.shard.shard), self.shard.commit_log
        conditions = {key: self.shard.token, commit.key: commit.version}
        try:
            version = await self.state.transact(
                conditions, [put_change(commit.key, ring.fence(commit))], True
            )
        except TransactionConflictError as error:
            raise StateError(f"a commit's fate is still open: {error}") from error
        ring.fenced(commit, version)
        log.info("shard %d: a commit without an answer was fenced off", self.shard.shard)

    def _read_fate(self, commit: Prepared, entry: api.Entry) -> None:
        if commit.position in read_segments([entry]).newest_positions.values():
            self.shard.commit_log.written(commit, entry.version)
            log.info("shard %d: a commit without an answer was carried out", self.shard.shard)
        else:
            self.shard.commit_log.fenced(commit, entry.version)

    # --- segments that nobody needs any more

    def checkpoint_due(self) -> bool:
        """Whether records are to be rewritten so that segments come free; all of them, once the
        log is not written any more."""
        ring = self.shard.commit_log
        return ring.checkpoint_due() if self.settings is not None else not ring.clean

    def leftover(self, limit: int) -> dict[str, int]:
        """Keys of a log that is not written any more and that all records are past, by version."""
        ring = self.shard.commit_log
        if self.settings is not None or ring.empty or not ring.clean:
            return {}
        slots = list(ring.slots.items())[:limit]
        return {segment_key(self.shard.shard, n): slot.version for n, slot in slots}

    async def delete(self, keys: dict[str, int]) -> None:
        conditions = {records.shard_key(self.shard.shard): self.shard.token, **keys}
        try:
            await self.state.transact(conditions, [api.Change(delete=key) for key in keys])
        except TransactionConflictError as error:
            log.info("shard %d: segments not deleted: %s", self.shard.shard, error)
            return
        self.shard.commit_log.dropped(keys)
        if self.shard.commit_log.empty:
            log.info("shard %d: the commit log is empty", self.shard.shard)


def _urgent(job: Job) -> bool:
    return bool(job.pending_starts) and job.spec.rank >= MIN_URGENT_RANK

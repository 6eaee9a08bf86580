"""Makes a job shard's changes durable, grouped into transactions."""

import logging

import curio
import msgspec

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import DurablePlugin, TransactionReservation
from starlingdeck.jobs.group_commit import GroupCommit
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.jobs.loader import Loader
from starlingdeck.jobs.update_drafter import RESERVED_VALUE_BYTES
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
)

log = logging.getLogger(__name__)

MAX_TRANSACTION_BYTES = 56 * 1024
OVERDUE_S = 1.0  # (start) a record passed over for so long is as urgent as a start,
OVERDUE_TURN = 3  # (start) in every third batch
HALVED_BATCH_S = 5.0  # (start) how soon half of what a team has written is forgotten
BATCHING_WAIT_S = 0.05  # (start) how long a job's first start waits for those still being asked for
IDLE_WAIT_S = 0.25  # how long it is at the most until the next flush
MIN_WAIT_S = 0.005  # before a commit is looked at again that the budget had no room for
POLL_INTERVAL_S = (
    0.05  # while the budget has no room: how soon it is looked whether something urgent came
)


class RecordWriter:
    """One per job shard; `lock` keeps its transactions one after the other."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        shard: JobShard,
        gate: DurablePlugin | None = None,
    ) -> None:
        self.context = context
        self.durable_plugin = gate
        self.state = state
        self.shard = shard
        self.lock = curio.Lock()
        self.ownership_lost = False
        self.since: dict[int, float] = {}  # job -> since when it has had something to be written
        self.spent: dict[int, float] = {}  # team -> changes lately
        self.halved_at = 0.0
        self.turn = 0
        self.idle_wait_s = IDLE_WAIT_S  # how long until something is due that nothing will announce
        self.group_commit = GroupCommit(context, state, shard, context.tuning.group_commit)
        self.loader = Loader(context, state, shard, self.group_commit.settle)

    async def load(self) -> None:
        """Read the shard's unfinished jobs after taking it over."""
        await self.loader.load()

    async def reload(self, name: str) -> Job | None:
        """Look again at a job whose record may have changed under us."""
        return await self.loader.reload(name)

    async def flush(self) -> bool:
        """One transaction's worth of changes; True when there may be more.

        What is written is chosen when the budget has room for it. Chosen before the wait, each
        of a job's starts was a write of its own, and urgent ones waited behind what had been
        chosen first; a cancel waited for the lock as long.
        """
        async with self.lock:
            if self.ownership_lost or not self.shard.loaded:
                return False
            await self.group_commit.settle()
            await self.loader.reload_stale()
            for index in self.shard.unresolved_cancellations():
                # Its user asked for it and may be told by whoever reads the record: until its
                # fate is known, this shard's word ends where it was sent.
                await self._write([self.shard.draft_cancellation(self.shard.jobs[index])], True)
                return True
            await self._settle()
            due_s = self.group_commit.due_s()
            if due_s == 0.0 and self.state.writable(True)[0]:
                return await self._commit_group()
            grant = (
                self.durable_plugin.begin_transaction(self.shard)
                if self.durable_plugin is not None
                else None
            )
            batch, wait_s, urgent = self._batch(grant)
            if batch:
                return await self._write(batch, urgent, grant)
            if await self._tidy():
                return True
        self.idle_wait_s = max(due_s, MIN_WAIT_S) if due_s is not None else IDLE_WAIT_S
        if wait_s > 0:
            await curio.sleep(min(wait_s, POLL_INTERVAL_S))
        return wait_s > 0

    async def _commit_group(self) -> bool:
        batch = self.group_commit.collect()
        if not batch.drafts:
            return False
        if not await self.group_commit.commit(batch):
            self.ownership_lost = True
            return False
        await self.loader.reload_stale()
        return True

    async def _tidy(self) -> bool:
        """One write of what nobody waits for, if the budget has room for it: records rewritten so
        that segments of the log come free, and keys deleted that nobody needs any more."""
        room = min(self.state.writable(False)[0], self.context.settings.settings.state.txn_ops)
        if room < 1:
            return False
        if self.group_commit.checkpoint_due():
            updates = self._within_bytes(self.shard.drafter.draft_checkpoints(room))
            if updates:
                return await self._write(updates, False)
        if keys := self.group_commit.leftover(room):
            await self.group_commit.delete(keys)
            return True
        now = self.context.now()
        parts = [key for key, due in self.shard.obsolete_keys.items() if due <= now][:room]
        if parts:
            await self._delete_parts(parts)
        return bool(parts)

    @staticmethod
    def _within_bytes(updates: list[JobUpdate]) -> list[JobUpdate]:
        """As many as a transaction holds; at least one."""
        taken: list[JobUpdate] = []
        size = 0
        for update in updates:
            size += sum(len(msgspec.json.encode(change)) for change in update.changes)
            if taken and size > MAX_TRANSACTION_BYTES:
                break
            taken.append(update)
        return taken

    async def _delete_parts(self, keys: list[str]) -> None:
        """Parts of the records of ended arrays. Carried out late, it deletes what nobody has."""
        holder = records.shard_key(self.shard.shard)
        changes = [api.Change(delete=key) for key in keys]
        try:
            await self.state.transact({holder: self.shard.token}, changes)
        except TransactionConflictError as error:
            log.info("shard %d: old parts not deleted: %s", self.shard.shard, error)
            return
        for key in keys:
            del self.shard.obsolete_keys[key]

    async def cancel(self, job: Job) -> None:
        """Durable before it returns; raises StateError when it may not be."""
        async with self.lock:
            await self.group_commit.settle()
            if job.stale:
                await self.loader.reload_stale()
            current = self.shard.jobs.get(job.index)
            if current is None or current.cancelled or current.terminal_state:
                return
            if self.ownership_lost or not await self._write(
                [self.shard.draft_cancellation(current)], True
            ):
                raise StateError("the job's record changed; ask again")

    async def _settle(self) -> None:
        if self.durable_plugin is None:
            return
        try:
            await self.durable_plugin.settle(self.shard)
        except (StateError, TransactionConflictError) as error:
            # Starts that need units wait for it; nothing else does.
            log.info("shard %d: ledgers still in doubt: %r", self.shard.shard, error)
        await self.loader.reload_stale()

    def _overdue(self, ready: list[Job], now: float) -> set[int]:
        """Of the jobs to be written, those to be taken before the urgent ones this time.

        In a flood of urgent starts a batch that begins with one takes nothing else, and the
        ends of all other work waited, which free its limit and finish its jobs.
        """
        self.since = {job.index: self.since.get(job.index, now) for job in ready}
        if now - self.halved_at > HALVED_BATCH_S:
            self.halved_at = now
            self.spent = {team: changes / 2 for team, changes in self.spent.items()}
        late = {index for index, at in self.since.items() if now - at > OVERDUE_S}
        self.turn = (self.turn + 1) % OVERDUE_TURN if late else 0
        return late if self.turn == 1 else set()

    def _batch(
        self, grant: TransactionReservation | None = None
    ) -> tuple[list[JobUpdate], float, bool]:
        """What to write now, or nothing and how long until the budget has room for it; and
        whether it may use the calls kept for what is urgent."""
        limit = self.context.settings.settings.state.txn_ops
        batch: list[JobUpdate] = []
        changes, size = 0, 0
        allowed = 4 * limit  # conditions, by PROTOCOL
        ready = sorted(
            (
                self.shard.jobs[i]
                for i in self.shard.dirty_jobs
                if i in self.shard.jobs and not self.group_commit.by_log(self.shard.jobs[i])
            ),
            key=lambda j: (
                not (
                    j.resource_needs and j.pending_ends
                ),  # they give units back that others wait for
                not (j.pending_starts and j.spec.rank >= MIN_URGENT_RANK),
                -j.spec.rank,
                j.submitted_ms,
            ),
        )
        now = self.context.now()
        overdue, urgent = self._overdue(ready, now), False
        if overdue:
            ready.sort(
                key=lambda j: (
                    j.index not in overdue,
                    self.spent.get(j.team, 0.0),
                    self.since[j.index],
                )
            )
        for job in ready:
            if job.reserving and not job.pending_ends and now - first_start(job) < BATCHING_WAIT_S:
                # Its other machines' owners answer within milliseconds: one write for all.
                continue
            if self.context.is_quarantined("job", job.id):
                continue
            try:
                if grant is not None:
                    grant.admit(job)
                elif job.resource_needs:
                    # Accepted by a controller that keeps counts: moved here, it would start.
                    job.withheld = frozenset(job.pending_starts)
                update, length = self._fitting(job)
            except Exception as error:
                self.context.quarantine_failed("job", job.id, error)
                continue
            if update is None:
                if not job.withheld:
                    self.shard.dirty_jobs.discard(job.index)
                continue
            if not batch:
                urgent = has_urgent_change(update) or job.index in overdue
                room, wait_s = self.state.writable(urgent)
                if not room:
                    return [], wait_s, False
                limit = min(limit, room)
            elif urgent and not (has_urgent_change(update) or job.index in overdue):
                # Nothing else may use the calls kept for what is urgent.
                break
            if batch and (
                changes + len(update.changes) > limit or size + length > MAX_TRANSACTION_BYTES
            ):
                break
            if grant is not None:
                if not grant.add(update):
                    continue
                ours = grant.key_count()
                looks = ours + sum(len(d.conditions) for d in (*batch, update))
                if batch and (changes + len(update.changes) + ours > limit or looks > allowed):
                    grant.remove_last()
                    break
            batch.append(update)
            changes += len(update.changes)
            size += length
        return batch, 0.0, urgent

    def _fitting(self, job: Job) -> tuple[JobUpdate | None, int]:
        """A job's next write, with as much of what is to be written as values may hold, and its
        size in bytes.

        A value over the limit is answered 400 and fails the whole batch, again and again: one
        job with a long description held up all writing of its shard.
        """
        limit = self.context.settings.settings.state.value_kb * 1000
        # The ledgers of its counts need room in the same transaction.
        starting = self.group_commit.may_start()
        update, size = self.shard.draft_update(job, 1 if job.resource_needs else 3, starting), 0
        while update is not None:
            sizes = [len(msgspec.json.encode(c)) for c in update.changes]
            size = sum(sizes)
            if size > MAX_TRANSACTION_BYTES and len(update.chunks) > 1:
                update = self.shard.draft_update(job, len(update.chunks) - 1, starting)
            elif update.pending_starts and max(sizes) > limit - RESERVED_VALUE_BYTES:
                # What an end or a cancellation adds must still fit later.
                for task in list(update.pending_starts)[len(update.pending_starts) // 2 :]:
                    del job.pending_starts[task]
                    job.retry_at[task] = self.context.now() + 1.0
                update = self.shard.draft_update(job, len(update.chunks), starting)
            elif max(sizes) > limit + RESERVED_VALUE_BYTES:
                raise ValueError(f"a record of {max(sizes)} bytes, of {limit:.0f} allowed")
            else:
                break
        return update, size

    async def _write(
        self, batch: list[JobUpdate], urgent: bool, grant: TransactionReservation | None = None
    ) -> bool:
        conditions: dict[str, int] = {}
        changes: list[api.Change] = []
        for update in batch:
            conditions.update(update.conditions)
            changes += update.changes
            # Another node that reads the record may tell its user before we know.
            update.job.outcome_unknown |= bool(update.terminal_state or update.cancel)
            if api.W_DONE in update.pending_ends.values():
                ended = (
                    t // records.TASKS_PER_CHUNK
                    for t, why in update.pending_ends.items()
                    if why == api.W_DONE
                )
                update.job.uncertain_chunks.update(ended)
            if update.cancel:
                self.shard.pending_cancellations.setdefault(update.job.index, self.context.now())
        if grant is not None:
            ours, more = grant.conditions_and_changes()
            conditions.update(ours)
            changes += more
        try:
            revision = await self.state.transact(conditions, changes, urgent)
        except TransactionConflictError as error:
            if records.shard_key(self.shard.shard) in error.failed:
                # Another node holds the shard, or our token rose: nothing was written.
                if conditions[records.shard_key(self.shard.shard)] == self.shard.token:
                    self.ownership_lost = True
                return False
            for update in batch:
                if any(key in error.failed for key in update.conditions):
                    update.job.stale = True
            again = grant is not None and await grant.on_conflict(error.failed)
            await self.loader.reload_stale()
            return again
        except OutcomeUnknownError:
            # It may have been executed, or may yet be: the next write's condition decides.
            for update in batch:
                update.job.stale = True
            if grant is not None:
                grant.on_unknown_outcome()
            raise
        if grant is not None:
            grant.on_committed(revision)
        for update in batch:
            self.since.pop(update.job.index, None)
            team = update.job.team
            self.spent[team] = self.spent.get(team, 0.0) + len(update.changes)
            self.shard.apply_update(update, revision)
        return True


def first_start(job: Job) -> float:
    """When the first of the starts to be recorded was given; long ago when there are none."""
    return min((placement.state_since for placement in job.pending_starts.values()), default=-1e9)


def has_urgent_change(update: JobUpdate) -> bool:
    """Whether somebody waits for this to start.

    When many jobs come at once, submissions used up the changes, and replicas waited for
    the record of their start 1 to 3 s of the 2 s that they have.
    """
    return bool(update.pending_starts) and update.job.spec.rank >= MIN_URGENT_RANK

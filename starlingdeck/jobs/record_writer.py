"""Makes a job shard's changes durable, grouped into transactions."""

import logging

import curio
import msgspec

from starlingdeck.context import World
from starlingdeck.jobs.admission import Durable, Grant
from starlingdeck.jobs.group_commit import GroupCommit
from starlingdeck.jobs.job import URGENT, Draft, Job
from starlingdeck.jobs.job_shard import SPARE_BYTES, JobShard
from starlingdeck.jobs.loader import Loader
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import Conflict, StateClient, StateError, StateUnknown

log = logging.getLogger(__name__)

TXN_BYTES = 56 * 1024
OVERDUE_S = 1.0  # (start) a record passed over for so long is as urgent as a start,
OVERDUE_TURN = 3  # (start) in every third batch
HALVED_S = 5.0  # (start) how soon half of what a team has written is forgotten
TOGETHER_S = 0.05  # (start) how long a job's first start waits for those still being asked for
IDLE_S = 0.25  # how long it is at the most until the next flush
LEAST_WAIT_S = 0.005  # before a commit is looked at again that the budget had no room for
LOOK_S = 0.05  # while the budget has no room: how soon it is looked whether something urgent came


class Writer:
    """One per job shard; `lock` keeps its transactions one after the other."""

    def __init__(
        self, world: World, state: StateClient, shard: JobShard, gate: Durable | None = None
    ) -> None:
        self.world = world
        self.gate = gate
        self.state = state
        self.shard = shard
        self.lock = curio.Lock()
        self.lost = False
        self.since: dict[int, float] = {}  # job -> since when it has had something to be written
        self.spent: dict[int, float] = {}  # team -> changes lately
        self.halved_at = 0.0
        self.turn = 0
        self.idle_s = IDLE_S  # how long until something is due that nothing will announce
        self.group = GroupCommit(world, state, shard, world.tuning.group_commit)
        self.loader = Loader(world, state, shard, self.group.settle)

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
            if self.lost or not self.shard.loaded:
                return False
            await self.group.settle()
            await self.loader.reload_stale()
            for index in self.shard.unknown_cancels():
                # Its user asked for it and may be told by whoever reads the record: until its
                # fate is known, this shard's word ends where it was sent.
                await self._write([self.shard.draft_cancel(self.shard.jobs[index])], True)
                return True
            await self._settle()
            due_s = self.group.due_s()
            if due_s == 0.0 and self.state.writable(True)[0]:
                return await self._commit_group()
            grant = self.gate.open(self.shard) if self.gate is not None else None
            batch, wait_s, urgent = self._batch(grant)
            if batch:
                return await self._write(batch, urgent, grant)
            if await self._tidy():
                return True
        self.idle_s = max(due_s, LEAST_WAIT_S) if due_s is not None else IDLE_S
        if wait_s > 0:
            await curio.sleep(min(wait_s, LOOK_S))
        return wait_s > 0

    async def _commit_group(self) -> bool:
        batch = self.group.collect()
        if not batch.drafts:
            return False
        if not await self.group.commit(batch):
            self.lost = True
            return False
        await self.loader.reload_stale()
        return True

    async def _tidy(self) -> bool:
        """One write of what nobody waits for, if the budget has room for it: records rewritten so
        that segments of the log come free, and keys deleted that nobody needs any more."""
        room = min(self.state.writable(False)[0], self.world.settings.settings.state.txn_ops)
        if room < 1:
            return False
        if self.group.checkpoint_due():
            drafts = self._within_bytes(self.shard.draft_checkpoints(room))
            if drafts:
                return await self._write(drafts, False)
        if keys := self.group.leftover(room):
            await self.group.delete(keys)
            return True
        now = self.world.now()
        parts = [key for key, due in self.shard.old_parts.items() if due <= now][:room]
        if parts:
            await self._delete_parts(parts)
        return bool(parts)

    @staticmethod
    def _within_bytes(drafts: list[Draft]) -> list[Draft]:
        """As many as a transaction holds; at least one."""
        taken: list[Draft] = []
        size = 0
        for draft in drafts:
            size += sum(len(msgspec.json.encode(change)) for change in draft.changes)
            if taken and size > TXN_BYTES:
                break
            taken.append(draft)
        return taken

    async def _delete_parts(self, keys: list[str]) -> None:
        """Parts of the records of ended arrays. Carried out late, it deletes what nobody has."""
        holder = records.shard_key(self.shard.shard)
        changes = [api.Change(delete=key) for key in keys]
        try:
            await self.state.txn({holder: self.shard.token}, changes)
        except Conflict as fault:
            log.info("shard %d: old parts not deleted: %s", self.shard.shard, fault)
            return
        for key in keys:
            del self.shard.old_parts[key]

    async def cancel(self, job: Job) -> None:
        """Durable before it returns; raises StateError when it may not be."""
        async with self.lock:
            await self.group.settle()
            if job.stale:
                await self.loader.reload_stale()
            current = self.shard.jobs.get(job.index)
            if current is None or current.cancelled or current.final:
                return
            if self.lost or not await self._write([self.shard.draft_cancel(current)], True):
                raise StateError("the job's record changed; ask again")

    async def _settle(self) -> None:
        if self.gate is None:
            return
        try:
            await self.gate.settle(self.shard)
        except (StateError, Conflict) as why:
            # Starts that need units wait for it; nothing else does.
            log.info("shard %d: ledgers still in doubt: %r", self.shard.shard, why)
        await self.loader.reload_stale()

    def _overdue(self, ready: list[Job], now: float) -> set[int]:
        """Of the jobs to be written, those to be taken before the urgent ones this time.

        In a flood of urgent starts a batch that begins with one takes nothing else, and the
        ends of all other work waited, which free its limit and finish its jobs.
        """
        self.since = {job.index: self.since.get(job.index, now) for job in ready}
        if now - self.halved_at > HALVED_S:
            self.halved_at = now
            self.spent = {team: changes / 2 for team, changes in self.spent.items()}
        late = {index for index, at in self.since.items() if now - at > OVERDUE_S}
        self.turn = (self.turn + 1) % OVERDUE_TURN if late else 0
        return late if self.turn == 1 else set()

    def _batch(self, grant: Grant | None = None) -> tuple[list[Draft], float, bool]:
        """What to write now, or nothing and how long until the budget has room for it; and
        whether it may use the calls kept for what is urgent."""
        most = self.world.settings.settings.state.txn_ops
        batch: list[Draft] = []
        changes, size = 0, 0
        allowed = 4 * most  # conditions, by PROTOCOL
        ready = sorted(
            (
                self.shard.jobs[i]
                for i in self.shard.dirty
                if i in self.shard.jobs and not self.group.by_log(self.shard.jobs[i])
            ),
            key=lambda j: (
                not (j.needs and j.ends),  # they give units back that others wait for
                not (j.starts and j.spec.rank >= URGENT),
                -j.spec.rank,
                j.at_ms,
            ),
        )
        now = self.world.now()
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
            if job.asking and not job.ends and now - first_start(job) < TOGETHER_S:
                # Its other machines' owners answer within milliseconds: one write for all.
                continue
            if self.world.rests("job", job.id):
                continue
            try:
                if grant is not None:
                    grant.admit(job)
                elif job.needs:
                    # Accepted by a controller that keeps counts: moved here, it would start.
                    job.withheld = frozenset(job.starts)
                draft, length = self._fitting(job)
            except Exception as why:
                self.world.set_aside("job", job.id, why)
                continue
            if draft is None:
                if not job.withheld:
                    self.shard.dirty.discard(job.index)
                continue
            if not batch:
                urgent = pressing(draft) or job.index in overdue
                room, wait_s = self.state.writable(urgent)
                if not room:
                    return [], wait_s, False
                most = min(most, room)
            elif urgent and not (pressing(draft) or job.index in overdue):
                # Nothing else may use the calls kept for what is urgent.
                break
            if batch and (changes + len(draft.changes) > most or size + length > TXN_BYTES):
                break
            if grant is not None:
                if not grant.add(draft):
                    continue
                ours = grant.size()
                looks = ours + sum(len(d.conditions) for d in (*batch, draft))
                if batch and (changes + len(draft.changes) + ours > most or looks > allowed):
                    grant.drop()
                    break
            batch.append(draft)
            changes += len(draft.changes)
            size += length
        return batch, 0.0, urgent

    def _fitting(self, job: Job) -> tuple[Draft | None, int]:
        """A job's next write, with as much of what is to be written as values may hold, and its
        size in bytes.

        A value over the limit is answered 400 and fails the whole batch, again and again: one
        job with a long description held up all writing of its shard.
        """
        limit = self.world.settings.settings.state.value_kb * 1000
        # The ledgers of its counts need room in the same transaction.
        starting = self.group.may_start()
        draft, size = self.shard.draft(job, 1 if job.needs else 3, starting), 0
        while draft is not None:
            sizes = [len(msgspec.json.encode(c)) for c in draft.changes]
            size = sum(sizes)
            if size > TXN_BYTES and len(draft.chunks) > 1:
                draft = self.shard.draft(job, len(draft.chunks) - 1, starting)
            elif draft.starts and max(sizes) > limit - SPARE_BYTES:
                # What an end or a cancellation adds must still fit later.
                for task in list(draft.starts)[len(draft.starts) // 2 :]:
                    del job.starts[task]
                    job.retry_at[task] = self.world.now() + 1.0
                draft = self.shard.draft(job, len(draft.chunks), starting)
            elif max(sizes) > limit + SPARE_BYTES:
                raise ValueError(f"a record of {max(sizes)} bytes, of {limit:.0f} allowed")
            else:
                break
        return draft, size

    async def _write(self, batch: list[Draft], urgent: bool, grant: Grant | None = None) -> bool:
        conditions: dict[str, int] = {}
        changes: list[api.Change] = []
        for draft in batch:
            conditions.update(draft.conditions)
            changes += draft.changes
            # Another node that reads the record may tell its user before we know.
            draft.job.unsure |= bool(draft.final or draft.cancel)
            if api.W_DONE in draft.ends.values():
                ended = (t // records.CHUNK for t, why in draft.ends.items() if why == api.W_DONE)
                draft.job.in_doubt.update(ended)
            if draft.cancel:
                self.shard.cancelling.setdefault(draft.job.index, self.world.now())
        if grant is not None:
            ours, more = grant.parts()
            conditions.update(ours)
            changes += more
        try:
            revision = await self.state.txn(conditions, changes, urgent)
        except Conflict as fault:
            if records.shard_key(self.shard.shard) in fault.failed:
                # Another node holds the shard, or our token rose: nothing was written.
                if conditions[records.shard_key(self.shard.shard)] == self.shard.token:
                    self.lost = True
                return False
            for draft in batch:
                if any(key in fault.failed for key in draft.conditions):
                    draft.job.stale = True
            again = grant is not None and await grant.refused(fault.failed)
            await self.loader.reload_stale()
            return again
        except StateUnknown:
            # It may have been executed, or may yet be: the next write's condition decides.
            for draft in batch:
                draft.job.stale = True
            if grant is not None:
                grant.unknown()
            raise
        if grant is not None:
            grant.done(revision)
        for draft in batch:
            self.since.pop(draft.job.index, None)
            team = draft.job.team
            self.spent[team] = self.spent.get(team, 0.0) + len(draft.changes)
            self.shard.commit(draft, revision)
        return True


def first_start(job: Job) -> float:
    """When the first of the starts to be recorded was given; long ago when there are none."""
    return min((place.since for place in job.starts.values()), default=-1e9)


def pressing(draft: Draft) -> bool:
    """Whether somebody waits for this to start.

    When many jobs come at once, submissions used up the changes, and replicas waited for
    the record of their start 1 to 3 s of the 2 s that they have.
    """
    return bool(draft.starts) and draft.job.spec.rank >= URGENT

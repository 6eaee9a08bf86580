"""Makes a job shard's changes durable, grouped into transactions."""

import logging

import curio
import msgspec

from starlingdeck.coordination.admission import Durable, Grant
from starlingdeck.coordination.job import Draft, Job, load_job
from starlingdeck.coordination.jobs import JobShard
from starlingdeck.coordination.world import World
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.records import Chunk, FinalRecord, JobRecord
from starlingdeck.storage.state import Conflict, StateClient, StateError, StateUnknown

log = logging.getLogger(__name__)

TXN_BYTES = 56 * 1024
SPARE_BYTES = 200  # of a value, left free by starts
URGENT = 2  # ranks from here on start as urgently as a submission is taken
OVERDUE_S = 1.0  # (start) a record passed over for so long is as urgent as a start,
OVERDUE_TURN = 3  # (start) in every third batch
HALVED_S = 5.0  # (start) how soon half of what a team has written is forgotten
TOGETHER_S = 0.05  # (start) how long a job's first start waits for those still being asked for
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

    async def load(self) -> None:
        """Read the shard's unfinished jobs after taking it over."""
        shard = self.shard.shard
        mains, _ = await self.state.read(f"j/{shard}/")
        parts, _ = await self.state.read(f"t/{shard}/")
        chunks: dict[str, dict[int, tuple[int, Chunk]]] = {}
        broken: set[str] = set()  # of those nothing may run: what runs already isn't known
        for entry in parts:
            _, _, job, number = entry.key.split("/")
            try:
                value = msgspec.json.decode(entry.value, type=Chunk)
                chunks.setdefault(job, {})[int(number)] = (entry.version, value)
            except Exception as why:
                self.world.set_aside("record", entry.key, why)
                broken.add(job)
        for entry in mains:
            name = entry.key.rsplit("/", 1)[1]
            if name in broken:
                continue
            try:
                self._adopt(entry, chunks.get(name, {}))
            except Exception as why:
                self.world.set_aside("record", entry.key, why)
        self.shard.loaded = True
        log.info("shard %d: %d unfinished jobs read", shard, len(mains))

    def _adopt(self, entry: api.Entry, parts: dict[int, tuple[int, Chunk]]) -> Job:
        main = msgspec.json.decode(entry.value, type=JobRecord)
        job = load_job(
            self.world, self.shard.shard, main, {n: chunk for n, (_, chunk) in parts.items()}
        )
        job.versions = {0: entry.version, **{n: v for n, (v, _) in parts.items()}}
        old = self.shard.jobs.get(job.index)
        if old is not None:
            # Keep what was seen of attempts that are still recorded.
            for task, place in job.places.items():
                before = old.places.get(task)
                if before is not None and before.attempt == place.attempt:
                    job.places[task] = before
                    if task in old.ends:
                        job.ends[task] = old.ends[task]
            job.failed_on, job.errors = old.failed_on, old.errors
            job.hold_until, job.avoid = old.hold_until, old.avoid
            job.guaranteed = old.guaranteed
            job.unsure = old.unsure and old.versions.get(0) == entry.version
            if old.versions.get(0) == entry.version:
                same = [n for n in old.in_doubt if old.versions.get(n) == job.versions.get(n)]
                job.in_doubt = set(same)
        self.shard.adopt(job)
        return job

    async def reload(self, name: str) -> Job | None:
        """Look again at a job whose record may have changed under us."""
        shard = self.shard.shard
        index = self.world.jobs.get(name)
        before = self.shard.jobs.get(index) if index is not None else None
        entry = await self.state.get(records.job_key(shard, name), True)
        if entry is None:
            final = await self.state.get(records.final_key(shard, name), True)
            # Not one that was created while we looked.
            if before is not None and self.shard.jobs.get(before.index) is before:
                self.shard.forget(before.index)
            if final is not None:
                value = msgspec.json.decode(final.value, type=FinalRecord)
                self.shard.keep_final(name, value.state, value.completed)
            return None
        try:
            tasks = msgspec.json.decode(entry.value, type=JobRecord).spec.tasks
            found: list[api.Entry] = []
            if tasks > records.CHUNK:
                found, _ = await self.state.read(records.chunk_key(shard, name, None))
            parts = {
                int(e.key.rsplit("/", 1)[1]): (e.version, msgspec.json.decode(e.value, type=Chunk))
                for e in found
            }
            return self._adopt(entry, parts)
        except (ValueError, LookupError, msgspec.DecodeError) as why:
            self.world.set_aside("record", entry.key, why)
            raise StateError("the job's record can't be read") from why

    async def flush(self) -> bool:
        """One transaction's worth of changes; True when there may be more.

        What is written is chosen when the budget has room for it. Chosen before the wait, each
        of a job's starts was a write of its own, and urgent ones waited behind what had been
        chosen first; a cancel waited for the lock as long.
        """
        async with self.lock:
            if self.lost or not self.shard.loaded:
                return False
            await self._reload_stale()
            for index in self.shard.unknown_cancels():
                # Its user asked for it and may be told by whoever reads the record: until its
                # fate is known, this shard's word ends where it was sent.
                await self._write([self.shard.draft_cancel(self.shard.jobs[index])], True)
                return True
            await self._settle()
            grant = self.gate.open(self.shard) if self.gate is not None else None
            batch, wait_s, urgent = self._batch(grant)
            if batch:
                return await self._write(batch, urgent, grant)
        if wait_s > 0:
            await curio.sleep(min(wait_s, LOOK_S))
        return wait_s > 0

    async def cancel(self, job: Job) -> None:
        """Durable before it returns; raises StateError when it may not be."""
        async with self.lock:
            if job.stale:
                await self._reload_stale()
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
        await self._reload_stale()

    async def _reload_stale(self) -> None:
        for job in [j for j in self.shard.jobs.values() if j.stale]:
            await self.reload(job.id)

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
            (self.shard.jobs[i] for i in self.shard.dirty if i in self.shard.jobs),
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
        draft, size = self.shard.draft(job, 1 if job.needs else 3), 0
        while draft is not None:
            sizes = [len(msgspec.json.encode(c)) for c in draft.changes]
            size = sum(sizes)
            if size > TXN_BYTES and len(draft.chunks) > 1:
                draft = self.shard.draft(job, len(draft.chunks) - 1)
            elif draft.starts and max(sizes) > limit - SPARE_BYTES:
                # What an end or a cancellation adds must still fit later.
                for task in list(draft.starts)[len(draft.starts) // 2 :]:
                    del job.starts[task]
                    job.retry_at[task] = self.world.now() + 1.0
                draft = self.shard.draft(job, len(draft.chunks))
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
            await self._reload_stale()
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

"""What one transaction of a job shard takes of the counts, and gives back."""

import logging
from collections.abc import Callable

from starlingdeck.counts import ledger
from starlingdeck.counts.ledger import Ledger
from starlingdeck.counts.ledger_store import Books
from starlingdeck.jobs.job import Draft, Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.storage.records import CHUNK
from starlingdeck.storage.state import put

log = logging.getLogger(__name__)

WITHHELD_S = 1.0  # a start waits this long for its unit, then its room is let go
MOST_FREED = 200  # ends remembered for the meters


class Taking:
    """What one transaction of a shard takes and gives back."""

    def __init__(self, counts: Books, shard: JobShard, wanted: Callable[[int, int], bool]) -> None:
        self.counts = counts
        self.shard = shard
        self.wanted = wanted  # whether tasks of a shard wait for units of a count
        self.use: dict[int, int] = {}  # with what has been added
        self.new: dict[int, Ledger] = {}
        self.drafts: list[Draft] = []
        self.stamps: dict[int, int] = {}
        self.changed: dict[int, Ledger] = {}
        self.before: tuple[dict[int, int], dict[int, Ledger]] = ({}, {})

    def _use(self, count: int) -> int:
        return self.use.get(count, self.shard.use.get(count, 0))

    def _ledger(self, count: int) -> Ledger | None:
        return self.new.get(count, self.counts.ledgers.get(count))

    def admit(self, job: Job) -> None:
        job.withheld = frozenset()
        if not (job.needs and job.starts) or job.cancelled:
            return
        # Only the first chunk is written: what ends in another frees nothing yet.
        chunk = min(t // CHUNK for t in (*job.ends, *job.starts))
        ends = sum(t in job.places and t // CHUNK == chunk for t in job.ends)
        room = min(self._room(count, units, ends) for count, units in job.needs)
        now = self.counts.world.now()
        over = list(job.starts)[max(0, room) :]
        for task in over:
            if now - job.starts[task].since > WITHHELD_S:
                del job.starts[task]
                job.retry_at[task] = now + 0.1
        job.withheld = frozenset(over) & job.starts.keys()

    def _room(self, count: int, units: int, ends: int) -> int:
        """How many tasks of so many units may start, beside as many that end."""
        found = self._ledger(count)
        if found is None or self.counts.in_doubt(self.shard.shard, count):
            return 0
        left = ledger.cap(found, self.shard.shard) - self._use(count) + ends * units
        return left // units

    def add(self, draft: Draft) -> bool:
        job = draft.job
        self.before = (dict(self.use), dict(self.new))
        for count, units in job.needs:
            after = self._use(count) + units * (len(draft.starts) - len(draft.ends))
            found, key = self._ledger(count), (self.shard.shard, count)
            if draft.starts:
                granted = ledger.grant(found, self.shard.shard, after) if found else None
                if granted is None:
                    self.drop_part()
                    return False
                self.new[count] = granted
            elif (
                found is not None
                and found.held[self.shard.shard] > after
                and not self.counts.in_doubt(*key)
                and (found.removed or found.total > found.ceiling or not self._in_want(count))
            ):
                # It goes back with the record of the end.
                self.new[count] = ledger.hold(found, self.shard.shard, after)
            self.use[count] = after
        self.drafts.append(draft)
        return True

    def _in_want(self, count: int) -> bool:
        """Whether tasks of this shard wait for units of a count, or are about to start."""
        if self.wanted(self.shard.shard, count):
            return True
        jobs = self.shard.jobs
        dirty = (jobs[i] for i in self.shard.dirty if i in jobs)
        return any(job.starts and count in dict(job.needs) for job in dirty if job.needs)

    def drop_part(self) -> None:
        self.use, self.new = self.before

    def drop(self) -> None:
        self.drafts.pop()
        self.drop_part()

    def size(self) -> int:
        return len(self.new)

    def parts(self) -> tuple[dict[str, int], list[api.Change]]:
        counts = self.counts
        self.stamps = {c: counts.stamps[c] for c in self.new}
        self.changed = {c: new for c, new in self.new.items() if new != counts.ledgers[c]}
        conditions = {counts.key(c): stamp for c, stamp in self.stamps.items()}
        return conditions, [put(counts.key(c), new) for c, new in self.changed.items()]

    def done(self, revision: int) -> None:
        counts, names, meters = self.counts, self.counts.world.counts, self.counts.world.meters
        for count, new in self.changed.items():
            if new.total < counts.ledgers[count].total:
                counts.freed_at.pop(count, None)
            counts.keep(count, new, revision)
        now = counts.world.now()
        for draft in self.drafts:
            for count, units in draft.job.needs:
                freed = counts.freed_at.setdefault(count, [])
                for task in draft.ends:
                    proof, ended = (draft.job.proofs or {}).get(task, ("", now))
                    name = api.task_name(draft.job.id, task)
                    log.info("task %s: gives back %d %s (%s)", name, units, names[count], proof)
                    freed.append(ended)
                for task in draft.starts:
                    name = api.task_name(draft.job.id, task)
                    log.info("task %s: takes %d %s", name, units, names[count])
                    if freed:
                        meters.note("unit idle", now - freed.pop(0))
                del freed[:-MOST_FREED]
            if draft.job.proofs:
                left = draft.job.proofs.items()
                draft.job.proofs = {t: p for t, p in left if t not in draft.ends}

    async def refused(self, failed: list[str]) -> bool:
        return await self.counts.reread_failed(failed)

    def unknown(self) -> None:
        if self.stamps:
            jobs = [d.job for d in self.drafts if d.job.needs]
            self.counts.doubt(self.shard, self.stamps, jobs)

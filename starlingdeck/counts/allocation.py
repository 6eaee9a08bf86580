"""What one transaction of a job shard takes of the counts, and gives back."""

import logging
from collections.abc import Callable

from starlingdeck.counts import ledger
from starlingdeck.counts.ledger import Ledger
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.protocol import api
from starlingdeck.storage.records import TASKS_PER_CHUNK
from starlingdeck.storage.state import put_change

log = logging.getLogger(__name__)

WITHHELD_S = 1.0  # a start waits this long for its unit, then its room is let go
MOST_FREED = 200  # ends remembered for the meters


class LedgerTransaction:
    """What one transaction of a shard takes and gives back."""

    def __init__(
        self, counts: LedgerStore, shard: JobShard, wanted: Callable[[int, int], bool]
    ) -> None:
        self.counts = counts
        self.shard = shard
        self.wanted = wanted  # whether tasks of a shard wait for units of a count
        self.use: dict[int, int] = {}  # with what has been added
        self.new: dict[int, Ledger] = {}
        self.drafts: list[JobUpdate] = []
        self.stamps: dict[int, int] = {}
        self.changed: dict[int, Ledger] = {}
        self.before: tuple[dict[int, int], dict[int, Ledger]] = ({}, {})

    def _use(self, count: int) -> int:
        return self.use.get(count, self.shard.resource_use.get(count, 0))

    def _ledger(self, count: int) -> Ledger | None:
        return self.new.get(count, self.counts.ledgers.get(count))

    def admit(self, job: Job) -> None:
        job.withheld = frozenset()
        if not (job.resource_needs and job.pending_starts) or job.cancelled:
            return
        # Only the first chunk is written: what ends in another frees nothing yet.
        chunk = min(t // TASKS_PER_CHUNK for t in (*job.pending_ends, *job.pending_starts))
        ends = sum(t in job.placements and t // TASKS_PER_CHUNK == chunk for t in job.pending_ends)
        room = min(self._room(count, units, ends) for count, units in job.resource_needs)
        now = self.counts.context.now()
        over = list(job.pending_starts)[max(0, room) :]
        for task in over:
            if now - job.pending_starts[task].state_since > WITHHELD_S:
                del job.pending_starts[task]
                job.retry_at[task] = now + 0.1
        job.withheld = frozenset(over) & job.pending_starts.keys()

    def _room(self, count: int, units: int, ends: int) -> int:
        """How many tasks of so many units may start, beside as many that end."""
        found = self._ledger(count)
        if found is None or self.counts.is_uncertain(self.shard.shard, count):
            return 0
        left = ledger.cap(found, self.shard.shard) - self._use(count) + ends * units
        return left // units

    def add(self, update: JobUpdate) -> bool:
        job = update.job
        self.before = (dict(self.use), dict(self.new))
        for count, units in job.resource_needs:
            after = self._use(count) + units * (
                len(update.pending_starts) - len(update.pending_ends)
            )
            found, key = self._ledger(count), (self.shard.shard, count)
            if update.pending_starts:
                granted = ledger.grant(found, self.shard.shard, after) if found else None
                if granted is None:
                    self.drop_part()
                    return False
                self.new[count] = granted
            elif (
                found is not None
                and found.held[self.shard.shard] > after
                and not self.counts.is_uncertain(*key)
                and (found.removed or found.total > found.ceiling or not self._in_want(count))
            ):
                # It goes back with the record of the end.
                self.new[count] = ledger.hold(found, self.shard.shard, after)
            self.use[count] = after
        self.drafts.append(update)
        return True

    def _in_want(self, count: int) -> bool:
        """Whether tasks of this shard wait for units of a count, or are about to start."""
        if self.wanted(self.shard.shard, count):
            return True
        jobs = self.shard.jobs
        dirty = (jobs[i] for i in self.shard.dirty_jobs if i in jobs)
        return any(
            job.pending_starts and count in dict(job.resource_needs)
            for job in dirty
            if job.resource_needs
        )

    def drop_part(self) -> None:
        self.use, self.new = self.before

    def remove_last(self) -> None:
        self.drafts.pop()
        self.drop_part()

    def key_count(self) -> int:
        return len(self.new)

    def conditions_and_changes(self) -> tuple[dict[str, int], list[api.Change]]:
        counts = self.counts
        self.stamps = {c: counts.stamps[c] for c in self.new}
        self.changed = {c: new for c, new in self.new.items() if new != counts.ledgers[c]}
        conditions = {counts.key(c): stamp for c, stamp in self.stamps.items()}
        return conditions, [put_change(counts.key(c), new) for c, new in self.changed.items()]

    def on_committed(self, revision: int) -> None:
        counts, names, meters = (
            self.counts,
            self.counts.context.resource_names,
            self.counts.context.latencies,
        )
        for count, new in self.changed.items():
            if new.total < counts.ledgers[count].total:
                counts.freed_at.pop(count, None)
            counts.store(count, new, revision)
        now = counts.context.now()
        for update in self.drafts:
            for count, units in update.job.resource_needs:
                freed = counts.freed_at.setdefault(count, [])
                for task in update.pending_ends:
                    proof, ended = (update.job.end_proofs or {}).get(task, ("", now))
                    name = api.task_name(update.job.id, task)
                    log.info("task %s: gives back %d %s (%s)", name, units, names[count], proof)
                    freed.append(ended)
                for task in update.pending_starts:
                    name = api.task_name(update.job.id, task)
                    log.info("task %s: takes %d %s", name, units, names[count])
                    if freed:
                        meters.record("unit idle", now - freed.pop(0))
                del freed[:-MOST_FREED]
            if update.job.end_proofs:
                left = update.job.end_proofs.items()
                update.job.end_proofs = {t: p for t, p in left if t not in update.pending_ends}

    async def on_conflict(self, failed: list[str]) -> bool:
        return await self.counts.reread_failed(failed)

    def on_unknown_outcome(self) -> None:
        if self.stamps:
            jobs = [d.job for d in self.drafts if d.job.resource_needs]
            self.counts.mark_uncertain(self.shard, self.stamps, jobs)

"""Allocates units to starts and frees those of ends, in the transactions of a job shard."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from starlingdeck.counts.ledger import Ledger, grant, max_units, with_units
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.protocol import api
from starlingdeck.storage.records import TASKS_PER_CHUNK
from starlingdeck.storage.state import put_change

log = logging.getLogger(__name__)

MAX_WITHHELD_S = 1.0  # how long a start waits for its units before its reservation is given up
WITHHELD_RETRY_S = 0.1  # before the task of such a start is placed again
MAX_RELEASE_TIMES_PER_RESOURCE = 200  # ends remembered for the latency "unit idle"


class _Savepoint(NamedTuple):
    """The transaction's state before its last update was added."""

    use: dict[int, int]
    ledgers: dict[int, Ledger]


class LedgerTransaction:
    """A `TransactionReservation` that keeps the units in use within those allocated to the shard.

    The version of every ledger that a start depends on is a condition of the transaction. The
    ledger is changed in the same transaction if the shard's allocation must grow or can shrink.
    """

    def __init__(
        self, store: LedgerStore, shard: JobShard, is_wanted: Callable[[int, int], bool]
    ) -> None:
        self.store = store
        self.shard = shard
        self.is_wanted = is_wanted  # (shard, resource): see `UnitHeadroom.is_wanted`
        self.updates: list[JobUpdate] = []
        self._use: dict[int, int] = {}  # resource -> units in use after all updates
        self._ledgers: dict[int, Ledger] = {}  # resource -> ledger after all updates
        self._savepoint = _Savepoint({}, {})
        self._versions: dict[int, int] = {}  # resource -> version of its ledger that is a condition
        self._changed: dict[int, Ledger] = {}

    def _used(self, resource: int) -> int:
        return self._use.get(resource, self.shard.resource_use.get(resource, 0))

    def _ledger(self, resource: int) -> Ledger | None:
        return self._ledgers.get(resource, self.store.ledgers.get(resource))

    def admit(self, job: Job) -> None:
        """Withhold those starts of a job for which no units are available now.

        A start withheld for longer than `MAX_WITHHELD_S` is dropped, and its task placed again.
        """
        job.withheld = frozenset()
        if not (job.resource_needs and job.pending_starts) or job.cancelled:
            return
        # Only the lowest chunk is sure to be written: ends in others may free nothing yet.
        chunk = min(t // TASKS_PER_CHUNK for t in (*job.pending_ends, *job.pending_starts))
        ends = sum(t in job.placements and t // TASKS_PER_CHUNK == chunk for t in job.pending_ends)
        startable = min(
            self._startable(resource, units, ends) for resource, units in job.resource_needs
        )
        now = self.store.context.now()
        withheld = list(job.pending_starts)[max(0, startable) :]
        for task in withheld:
            if now - job.pending_starts[task].state_since > MAX_WITHHELD_S:
                del job.pending_starts[task]
                job.retry_at[task] = now + WITHHELD_RETRY_S
        job.withheld = frozenset(withheld) & job.pending_starts.keys()

    def _startable(self, resource: int, units: int, ends: int) -> int:
        """Return how many tasks of `units` units each may start while `ends` such tasks end."""
        ledger = self._ledger(resource)
        if ledger is None or self.store.is_uncertain(self.shard.shard, resource):
            return 0
        free = max_units(ledger, self.shard.shard) - self._used(resource) + ends * units
        return free // units

    def add(self, update: JobUpdate) -> bool:
        """Add a job's update. Return False and add nothing if its starts don't get their units."""
        self._savepoint = _Savepoint(dict(self._use), dict(self._ledgers))
        added_tasks = len(update.pending_starts) - len(update.pending_ends)
        for resource, units in update.job.resource_needs:
            used = self._used(resource) + units * added_tasks
            ledger = self._ledger(resource)
            if update.pending_starts:
                granted = grant(ledger, self.shard.shard, used) if ledger else None
                if granted is None:
                    self._restore()
                    return False
                self._ledgers[resource] = granted
            elif ledger is not None and self._is_released(resource, ledger, used):
                self._ledgers[resource] = with_units(ledger, self.shard.shard, used)
            self._use[resource] = used
        self.updates.append(update)
        return True

    def _is_released(self, resource: int, ledger: Ledger, used: int) -> bool:
        """Return whether units that the shard no longer uses are released in this transaction."""
        shard = self.shard.shard
        if ledger.allocated[shard] <= used or self.store.is_uncertain(shard, resource):
            return False
        over_ceiling = ledger.total > ledger.ceiling
        return ledger.removed or over_ceiling or not self._is_needed_here(resource)

    def _is_needed_here(self, resource: int) -> bool:
        """Return whether tasks of this shard wait for units of a resource or are about to start."""
        if self.is_wanted(self.shard.shard, resource):
            return True
        jobs = self.shard.jobs
        dirty = (jobs[index] for index in self.shard.dirty_jobs if index in jobs)
        return any(
            job.pending_starts and resource in dict(job.resource_needs)
            for job in dirty
            if job.resource_needs
        )

    def _restore(self) -> None:
        self._use, self._ledgers = self._savepoint

    def remove_last(self) -> None:
        """Remove the update added last, for which the transaction has no room."""
        self.updates.pop()
        self._restore()

    def key_count(self) -> int:
        """Return the number of ledgers that the transaction depends on so far."""
        return len(self._ledgers)

    def conditions_and_changes(self) -> tuple[dict[str, int], list[api.Change]]:
        """Return the versions that the ledgers must have, and their changes.

        No update may be added after this call.
        """
        store = self.store
        self._versions = {resource: store.versions[resource] for resource in self._ledgers}
        self._changed = {
            resource: new
            for resource, new in self._ledgers.items()
            if new != store.ledgers[resource]
        }
        conditions = {store.key(resource): version for resource, version in self._versions.items()}
        return conditions, [put_change(store.key(r), new) for r, new in self._changed.items()]

    def on_committed(self, revision: int) -> None:
        """Record the ledgers of the executed transaction, and log the units of each task.

        `revision` is the new version of the ledgers that the transaction changed.
        """
        store = self.store
        for resource, new in self._changed.items():
            if new.total < store.ledgers[resource].total:
                store.released_at.pop(resource, None)
            store.update(resource, new, revision)
        now = store.context.now()
        for update in self.updates:
            for resource, units in update.job.resource_needs:
                released_at = store.released_at.setdefault(resource, [])
                self._log_ends(update, resource, units, released_at, now)
                self._log_starts(update, resource, units, released_at, now)
                del released_at[:-MAX_RELEASE_TIMES_PER_RESOURCE]
            if update.job.end_proofs:
                proofs = update.job.end_proofs.items()
                update.job.end_proofs = {t: p for t, p in proofs if t not in update.pending_ends}

    def _log_ends(
        self, update: JobUpdate, resource: int, units: int, released_at: list[float], now: float
    ) -> None:
        name = self.store.context.resource_names[resource]
        for index in update.pending_ends:
            proof, ended_at = (update.job.end_proofs or {}).get(index, ("", now))
            task = api.task_name(update.job.id, index)
            log.info("units freed: task=%s resource=%s units=%d proof=%s", task, name, units, proof)
            released_at.append(ended_at)

    def _log_starts(
        self, update: JobUpdate, resource: int, units: int, released_at: list[float], now: float
    ) -> None:
        name = self.store.context.resource_names[resource]
        for index in update.pending_starts:
            task = api.task_name(update.job.id, index)
            log.info("units allocated: task=%s resource=%s units=%d", task, name, units)
            if released_at:
                self.store.context.latencies.record("unit idle", now - released_at.pop(0))

    async def on_conflict(self, failed: list[str]) -> bool:
        """Read the ledgers among the failed conditions again; return True if there were any."""
        return await self.store.reread_failed(failed)

    def on_unknown_outcome(self) -> None:
        """Mark the ledgers as uncertain: the transaction may still be executed."""
        if self._versions:
            jobs = [update.job for update in self.updates if update.job.resource_needs]
            self.store.mark_uncertain(self.shard, self._versions, jobs)

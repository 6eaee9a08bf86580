"""Limits how many tasks of each job may start in a scheduling cycle to the available units."""

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from starlingdeck.context import UNBOUNDED, ControllerContext
from starlingdeck.counts.ledger import Ledger, ShardResource
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.counts.waiting_queue import Waiter, WaitingQueue, waiter_of
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol.config import CountSettings


class AllocationCycle(Struct):
    """The units still available in a scheduling cycle, and the shards that found too few."""

    unused: dict[ShardResource, int] = field(default_factory=dict)  # allocated and not in use
    # resource -> units allocated to no shard; negative: excess over the ceiling
    unallocated: dict[int, int] = field(default_factory=dict)
    reserved: dict[int, int] = field(default_factory=dict)  # units, for tasks that need several
    planned: dict[ShardResource, int] = field(default_factory=dict)  # see `planned_units`
    waiters: dict[ShardResource, Waiter] = field(default_factory=dict)  # first to find too few
    deferred: set[int] = field(default_factory=set)  # resources left to waiters of other shards
    requested: set[ShardResource] = field(default_factory=set)  # for tasks placed in this cycle


class UnitHeadroom:
    """Divides the free units among the waiting jobs, in scheduling order."""

    def __init__(self, store: LedgerStore, queue: WaitingQueue, settings: CountSettings) -> None:
        self.context: ControllerContext = store.context
        self.writers: Mapping[int, RecordWriter] = store.writers
        self.store = store
        self.queue = queue
        self.settings = settings
        self.cycle = AllocationCycle()
        self._short_since: dict[int, float] = {}  # job -> since when it finds too few units
        self._deferred_since: dict[int, float] = {}  # resource -> since when others go first

    def is_due(self) -> bool:
        """Return whether units became free since the last cycle."""
        return self.store.has_new_units or any(
            writer.shard.units_released for writer in self.writers.values()
        )

    def _clear_due(self) -> None:
        self.store.has_new_units = False
        for writer in self.writers.values():
            writer.shard.units_released = False

    def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Begin a scheduling cycle, in which `jobs` have tasks to place."""
        self._clear_due()
        waiting = {job.index for job in jobs}
        self._short_since = {j: at for j, at in self._short_since.items() if j in waiting}
        self._deferred_since = {
            resource: at
            for resource, at in self._deferred_since.items()
            if resource in self.cycle.deferred
        }
        self.queue.own = self.cycle.waiters
        self.cycle = AllocationCycle(planned=self.planned_units())

    def on_idle(self) -> None:
        """Clear the cycle and the queue of this controller: no task waits."""
        self._clear_due()
        self.queue.own, self.cycle = {}, AllocationCycle()

    def planned_units(self) -> dict[ShardResource, int]:
        """Return the units of unrecorded starts, less those of unrecorded ends."""
        planned: dict[ShardResource, int] = {}
        for writer in self.writers.values():
            shard = writer.shard
            for job in shard.jobs.values():
                if not job.resource_needs:
                    continue
                if not (job.pending_starts or job.reserving or job.pending_ends):
                    continue
                tasks = _planned_tasks(job)
                for resource, units in job.resource_needs:
                    key = (shard.shard, resource)
                    planned[key] = planned.get(key, 0) + tasks * units
        return planned

    def headroom(self, job: Job) -> int:
        """Return for how many more of the job's tasks units are available."""
        if not job.resource_needs:
            return UNBOUNDED
        tasks = min(self._units(job, resource) // units for resource, units in job.resource_needs)
        if tasks <= 0:
            self._record_shortage(job)
        return max(0, tasks)

    def _units(self, job: Job, resource: int) -> int:
        """Return how many units of a resource the job may use."""
        ledger = self.store.ledgers.get(resource)
        if ledger is None or ledger.removed or job.shard not in self.writers:
            return 0
        self._init_available(job.shard, resource, ledger)
        cycle = self.cycle
        units = cycle.unused[(job.shard, resource)] + cycle.unallocated[resource]
        units -= cycle.reserved.get(resource, 0)
        if units > 0 and (ahead := self.queue.ahead_of(waiter_of(job, 0), resource)):
            now = self.context.now()
            since = self._deferred_since.setdefault(resource, now)
            if now - since < self._deferral_s(ahead):
                cycle.deferred.add(resource)
                units -= sum(waiter.units for waiter in ahead)
        return units

    def _init_available(self, shard: int, resource: int, ledger: Ledger) -> None:
        """Compute, once per cycle, the units that a shard may use of a resource."""
        cycle, key = self.cycle, (shard, resource)
        unallocated = cycle.unallocated.setdefault(resource, ledger.ceiling - ledger.total)
        if key not in cycle.unused:
            used = self.store.used(shard, resource) + cycle.planned.get(key, 0)
            unused = ledger.allocated[shard] - used
            cycle.unused[key] = max(0, unused)
            cycle.unallocated[resource] = unallocated + min(0, unused)

    def _deferral_s(self, ahead: Sequence[Waiter]) -> float:
        """Return for how many seconds units are left to these waiters of other shards."""
        reserve_s, patience_s = self.settings.reserve_s, self.settings.patience_s
        return max(reserve_s if waiter.reserving else patience_s for waiter in ahead)

    def _record_shortage(self, job: Job) -> None:
        """Record that a job found too few units.

        For a task that needs several, units that become free are reserved in every other period
        of `reserve_s`. In the periods between, tasks that need fewer may use them.
        """
        now, reserve_s, cycle = self.context.now(), self.settings.reserve_s, self.cycle
        since = self._short_since.setdefault(job.index, now)
        several = sum(units for _, units in job.resource_needs) > 1
        reserving = several and (now - since) % (2 * reserve_s) < reserve_s
        for resource, units in job.resource_needs:
            key = (job.shard, resource)
            missing = units if reserving else units - self._units(job, resource)
            if missing > 0 and key not in cycle.waiters:
                cycle.waiters[key] = waiter_of(job, missing, reserving)
            if reserving:
                cycle.reserved[resource] = cycle.reserved.get(resource, 0) + units

    def on_requested(self, job: Job, tasks: int) -> None:
        """Count the units of that many more of the job's tasks as used."""
        cycle = self.cycle
        if not (job.resource_needs and tasks):
            return
        self._short_since.pop(job.index, None)
        for resource, units in job.resource_needs:
            key, needed = (job.shard, resource), units * tasks
            if key not in cycle.unused:
                continue
            from_unused = min(needed, cycle.unused[key])
            cycle.unused[key] -= from_unused
            cycle.requested.add(key)
            cycle.unallocated[resource] -= needed - from_unused
            self._deferred_since.pop(resource, None)

    def is_wanted(self, shard: int, resource: int) -> bool:
        """Return whether tasks of a shard wait for a resource, or were placed in this cycle."""
        key = (shard, resource)
        cycle = self.cycle
        return key in self.queue.own or key in cycle.waiters or key in cycle.requested


def _planned_tasks(job: Job) -> int:
    """Return the number of the job's unrecorded starts less that of its unrecorded ends."""
    starts = len(job.pending_starts) + sum(task not in job.placements for task in job.reserving)
    return starts - sum(task in job.placements for task in job.pending_ends)

"""Caches the ledgers, and tracks the writes on them whose outcome is unknown."""

import logging
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

import curio
import msgspec
from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.counts.ledger import Ledger, describe, is_valid
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import StateClient, put_change

log = logging.getLogger(__name__)

CONFLICT_WAIT_RANGE_S = (0.005, 0.020)  # before a ledger that another shard changed is reread


class UncertainWrite(Struct):
    """Writes of a shard that may still be executed while these ledgers have these versions."""

    shard: JobShard
    versions: dict[int, int] = field(default_factory=dict)  # resource -> version not replaced yet
    resources: set[int] = field(default_factory=set)
    jobs: set[int] = field(default_factory=set)


class TaskUnits(NamedTuple):
    """A recorded task and how many units of a resource it has."""

    job: Job
    task: int
    placement: TaskPlacement
    units: int


class LedgerStore:
    """Caches the ledgers from the watch on their keys.

    An outdated ledger causes a transaction conflict, but never a unit over the ceiling.
    """

    def __init__(
        self, context: ControllerContext, state: StateClient, writers: Mapping[int, RecordWriter]
    ) -> None:
        self.context = context
        self.state = state
        self.writers = writers
        self.ledgers: dict[int, Ledger] = {}  # by resource
        self.versions: dict[int, int] = {}  # resource -> version of its ledger's key
        self.uncertain_writes: dict[int, UncertainWrite] = {}  # by shard
        # resource -> when tasks with units were proven to have ended, for the latency "unit idle"
        self.released_at: dict[int, list[float]] = {}
        self.has_new_units = False  # units became unallocated since the last cycle

    def on_key_changed(self, key: str, value: bytes, version: int) -> None:
        """Update a ledger from the value of its key. Raises ValueError if it is not valid."""
        name = key[len(records.COUNT_PREFIX) :]
        if not api.RESOURCE_NAME_PATTERN.fullmatch(name):
            raise ValueError(f"key {key!r}: expected the name of a counted resource")
        new = msgspec.json.decode(value, type=Ledger)
        shards = self.context.shard_count
        if not is_valid(new, shards):
            raise ValueError(
                f"ledger {name}: expected {shards} numbers from 0 to {api.MAX_UNITS}, found {new}"
            )
        self.update(self.context.resource_names.intern(name), new, version)

    def update(self, resource: int, new: Ledger, version: int) -> None:
        """Record a ledger as it is in the state service, if its version is newer."""
        if version <= self.versions.get(resource, 0):
            return
        old = self.ledgers.get(resource)
        self.ledgers[resource], self.versions[resource] = new, version
        self.has_new_units |= old is not None and new.ceiling - new.total > old.ceiling - old.total
        if old is None or old.revision != new.revision:
            name = self.context.resource_names[resource]
            log.info("counted resource changed: resource=%s %s", name, describe(new))

    def find(self, name: str) -> Ledger | None:
        """Return the ledger of a resource by name; None if there is none.

        Users may send any name; names without a ledger are not interned.
        """
        resource = self.context.resource_names.find(name)
        return self.ledgers.get(resource) if resource is not None else None

    def key(self, resource: int) -> str:
        """Return the key of a resource's ledger."""
        return records.count_key(self.context.resource_names[resource])

    async def reread(self, name: str) -> None:
        """Read a resource's ledger from the state service. Raises StateError if that fails."""
        entry = await self.state.get(records.count_key(name), True)
        if entry is not None:
            self.on_key_changed(entry.key, bytes(entry.value), entry.version)

    async def reread_failed(self, failed: Sequence[str]) -> bool:
        """Read the ledgers among the failed conditions again; return True if there were any."""
        keys = [key for key in failed if key.startswith(records.COUNT_PREFIX)]
        if keys:
            await curio.sleep(self.context.rng.uniform(*CONFLICT_WAIT_RANGE_S))
        for key in keys:
            await self.reread(key[len(records.COUNT_PREFIX) :])
        return bool(keys)

    # --- writes whose outcome is unknown

    def is_uncertain(self, shard: int, resource: int) -> bool:
        """Return whether a write of a shard that depends on this ledger may still be executed."""
        write = self.uncertain_writes.get(shard)
        return write is not None and resource in write.resources

    def mark_uncertain(
        self, shard: JobShard, versions: Mapping[int, int], jobs: Sequence[Job]
    ) -> None:
        """Record that a write which depends on these ledgers may still be executed."""
        write = self.uncertain_writes.get(shard.shard)
        if write is None or write.shard is not shard:
            write = self.uncertain_writes[shard.shard] = UncertainWrite(shard)
        write.versions |= versions
        write.resources |= versions.keys()
        write.jobs |= {job.index for job in jobs}

    async def settle(self, shard: JobShard) -> None:
        """Invalidate the uncertain writes of a shard, then mark their jobs as stale.

        Every ledger that such a write depends on gets a new version. Otherwise a start or a
        release within the shard's allocation, which does not change the ledger, could be executed
        minutes late with all its conditions true, after another task got the unit.
        """
        write = self.uncertain_writes.get(shard.shard)
        if write is None:
            return
        if write.shard is shard:
            for resource, version in list(write.versions.items()):
                await self.reread(self.context.resource_names[resource])
                if self.versions[resource] <= version:
                    await self._rewrite(shard, resource, version)
                del write.versions[resource]
            for index in write.jobs & shard.jobs.keys():
                shard.jobs[index].stale = True
        del self.uncertain_writes[shard.shard]

    async def _rewrite(self, shard: JobShard, resource: int, version: int) -> None:
        """Write a ledger unchanged, to give it a new version."""
        conditions = {self.key(resource): version, records.shard_key(shard.shard): shard.token}
        same = self.ledgers[resource]
        changes = [put_change(self.key(resource), same)]
        self.update(resource, same, await self.state.transact(conditions, changes, True))

    # --- the tasks with units

    def used(self, shard: int, resource: int) -> int:
        """Return the units in use by a shard's recorded tasks; 0 for another controller's shard."""
        writer = self.writers.get(shard)
        return writer.shard.resource_use.get(resource, 0) if writer is not None else 0

    def tasks_with_units(self, resource: int) -> Iterator[TaskUnits]:
        """Yield the recorded tasks of this controller's shards that have units of a resource."""
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                units = dict(job.resource_needs).get(resource, 0) if job.resource_needs else 0
                if units:
                    for task, placement in job.placements.items():
                        yield TaskUnits(job, task, placement, units)

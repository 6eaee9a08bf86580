"""The ledgers as this controller knows them, and the writes on them whose fate is open."""

import logging
from collections.abc import Iterator, Mapping, Sequence

import curio
import msgspec
from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.counts import ledger
from starlingdeck.counts.ledger import Ledger
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import StateClient, put_change

log = logging.getLogger(__name__)

CONFLICT_S = (0.005, 0.020)  # a ledger that another shard changed is read again after this


class UncertainWrite(Struct):
    """Writes of a shard that may be executed yet, while these ledgers have these stamps."""

    shard: JobShard
    stamps: dict[int, int] = field(default_factory=dict)
    counts: set[int] = field(default_factory=set)
    jobs: set[int] = field(default_factory=set)


class LedgerStore:
    """Ledgers are cached from the watch on their keys, one a declared count; a stale one costs a
    conflict, never a unit too many."""

    prefix = records.COUNTS

    def __init__(
        self, context: ControllerContext, state: StateClient, writers: Mapping[int, RecordWriter]
    ) -> None:
        self.context = context
        self.state = state
        self.writers = writers
        self.ledgers: dict[int, Ledger] = {}
        self.stamps: dict[int, int] = {}
        self.uncertain_writes: dict[int, UncertainWrite] = {}
        self.freed_at: dict[int, list[float]] = {}  # count -> when ends were proven, for the meters
        self.fresh = False  # since the last plan: units of a ledger came free

    def on_key_changed(self, key: str, value: bytes, version: int) -> None:
        name = key[len(self.prefix) :]
        if not api.COUNT.fullmatch(name):
            raise ValueError("no name of a count")
        new = msgspec.json.decode(value, type=Ledger)
        if not ledger.is_valid(new, self.context.shard_count):
            raise ValueError(f"a ledger that can't be: {new}")
        self.store(self.context.resource_names.intern(name), new, version)

    def store(self, count: int, new: Ledger, version: int) -> None:
        """What a ledger says; an older reading changes nothing."""
        if version <= self.stamps.get(count, 0):
            return
        old = self.ledgers.get(count)
        self.ledgers[count], self.stamps[count] = new, version
        self.fresh |= old is not None and new.ceiling - new.total > old.ceiling - old.total
        if old is None or old.rev != new.rev:
            log.info("count %s: %s", self.context.resource_names[count], announce(new))

    def key(self, count: int) -> str:
        return records.count_key(self.context.resource_names[count])

    async def reread(self, name: str) -> None:
        entry = await self.state.get(records.count_key(name), True)
        if entry is not None:
            self.on_key_changed(entry.key, bytes(entry.value), entry.version)

    # --- doubt

    def is_uncertain(self, shard: int, count: int) -> bool:
        doubt = self.uncertain_writes.get(shard)
        return doubt is not None and count in doubt.counts

    async def settle(self, shard: JobShard) -> None:
        """After an unanswered write: change the ledgers it depends on, then read its jobs again.

        Starts within what a shard holds leave the ledger as it is. A start or a release that is
        applied minutes late would find its conditions true, and the unit gone to another task.
        """
        doubt = self.uncertain_writes.get(shard.shard)
        if doubt is None:
            return
        if doubt.shard is shard:
            for count, stamp in list(doubt.stamps.items()):
                await self.reread(self.context.resource_names[count])
                if self.stamps[count] <= stamp:
                    conditions = {
                        self.key(count): stamp,
                        records.shard_key(shard.shard): shard.token,
                    }
                    same = self.ledgers[count]
                    version = await self.state.transact(
                        conditions, [put_change(self.key(count), same)], True
                    )
                    self.store(count, same, version)
                del doubt.stamps[count]
            for index in doubt.jobs & shard.jobs.keys():
                shard.jobs[index].stale = True
        del self.uncertain_writes[shard.shard]

    def mark_uncertain(self, shard: JobShard, stamps: dict[int, int], jobs: Sequence[Job]) -> None:
        """A write that depends on these ledgers may be executed yet."""
        found = self.uncertain_writes.get(shard.shard)
        if found is None or found.shard is not shard:
            found = self.uncertain_writes[shard.shard] = UncertainWrite(shard)
        found.stamps |= stamps
        found.counts |= stamps.keys()
        found.jobs |= {job.index for job in jobs}

    async def reread_failed(self, failed: Sequence[str]) -> bool:
        """Read ledgers again that another shard has changed; True if there were any."""
        ours = [key for key in failed if key.startswith(self.prefix)]
        if ours:
            await curio.sleep(self.context.rng.uniform(*CONFLICT_S))
        for key in ours:
            await self.reread(key[len(self.prefix) :])
        return bool(ours)

    def holders(self, count: int) -> Iterator[tuple[Job, int, TaskPlacement, int]]:
        """The recorded tasks here that hold units of a count, and how many."""
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                units = dict(job.resource_needs).get(count, 0) if job.resource_needs else 0
                if units:
                    for task, placement in job.placements.items():
                        yield job, task, placement, units


def announce(found: Ledger) -> str:
    if found.removed:
        return f"{found.total} held, removed"
    return f"{found.total} of {found.ceiling} held {list(found.held)}"

"""Returns units that a shard does not use to their ledgers."""

import logging

from starlingdeck.counts.headroom import UnitHeadroom
from starlingdeck.counts.ledger import Ledger, ShardResource, describe, with_units
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.counts.waiting_queue import WaitingQueue
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    TransactionConflictError,
    put_change,
)

log = logging.getLogger(__name__)


class UnitReleaser:
    """Finds allocated units that are idle, and writes the ledgers without them.

    Units that are not needed elsewhere stay allocated to a shard for `idle_s` after they became
    free: a start within that time needs no change of the ledger.
    """

    def __init__(
        self, store: LedgerStore, queue: WaitingQueue, headroom: UnitHeadroom, idle_s: float
    ) -> None:
        self.context = store.context
        self.store = store
        self.queue = queue
        self.headroom = headroom
        self.idle_s = idle_s
        self._idle_since: dict[ShardResource, float] = {}

    async def release(self, writer: RecordWriter) -> None:
        """Release the idle units of a writer's shard. Raises StateError if the write fails."""
        shard = writer.shard
        if not any(
            ledger.allocated[shard.shard] > shard.resource_use.get(resource, 0)
            for resource, ledger in self.store.ledgers.items()
        ):
            return
        now = self.context.now()
        async with writer.lock:
            changed = self._without_idle_units(shard, now)
            limit = max(1, self.context.settings.settings.state.txn_ops // 2)
            for resource in list(changed)[limit:]:
                del changed[resource]
            if changed and not writer.ownership_lost:
                await self._write(shard, changed)

    def _without_idle_units(self, shard: JobShard, now: float) -> dict[int, Ledger]:
        """Return the ledgers to change, without the idle units, by resource."""
        planned = self.headroom.planned_units()
        changed: dict[int, Ledger] = {}
        for resource, ledger in self.store.ledgers.items():
            key, used = (shard.shard, resource), shard.resource_use.get(resource, 0)
            allocated = ledger.allocated[shard.shard]
            if allocated <= used or self.store.is_uncertain(*key):
                self._idle_since.pop(key, None)
                continue
            needed = used + max(0, planned.get(key, 0))
            since = self._idle_since.setdefault(key, now)
            if needed >= allocated:
                self._idle_since[key] = now
            elif now - since > self.idle_s or self._is_released_at_once(key, ledger):
                changed[resource] = with_units(ledger, shard.shard, needed)
        return changed

    def _is_released_at_once(self, key: ShardResource, ledger: Ledger) -> bool:
        """Return whether idle units are released without waiting for `idle_s`."""
        over_ceiling = ledger.total > ledger.ceiling
        return ledger.removed or over_ceiling or self.queue.is_wanted_elsewhere(key)

    async def _write(self, shard: JobShard, changed: dict[int, Ledger]) -> None:
        store = self.store
        versions = {resource: store.versions[resource] for resource in changed}
        conditions = {store.key(resource): version for resource, version in versions.items()}
        conditions[records.shard_key(shard.shard)] = shard.token
        changes = [put_change(store.key(resource), new) for resource, new in changed.items()]
        try:
            version = await store.state.transact(conditions, changes, True)
        except TransactionConflictError as error:
            await store.reread_failed(error.failed)
            return
        except OutcomeUnknownError:
            store.mark_uncertain(shard, versions, [])
            raise
        for resource, new in changed.items():
            store.update(resource, new, version)
            self._idle_since.pop((shard.shard, resource), None)
            store.released_at.pop(resource, None)
            name = self.context.resource_names[resource]
            log.info(
                "idle units released: resource=%s shard=%d %s", name, shard.shard, describe(new)
            )

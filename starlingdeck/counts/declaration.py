"""Creates the ledgers of the counted resources that the tuning file declares."""

import logging

from starlingdeck.counts.ledger import Ledger, LedgerChange, describe
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.protocol.config import CountSettings, DeclaredCount
from starlingdeck.storage import records
from starlingdeck.storage.state import TransactionConflictError, put_change

log = logging.getLogger(__name__)

FIRST_REVISION = 1
AUTHOR = "declared"  # of the first change in a declared resource's history


class LedgerDeclaration:
    """Creates a ledger for each declared resource without one; never changes an existing ledger."""

    def __init__(self, store: LedgerStore, settings: CountSettings) -> None:
        self.store = store
        self.settings = settings
        self._done: set[str] = set()  # names of resources that have a ledger

    async def declare(self) -> None:
        """Create missing ledgers; log once which existing ones differ from their declaration.

        Raises StateError if the state service can't be used; a later call then does the rest.
        """
        for name, declared in self.settings.declare.items():
            if name in self._done:
                continue
            resource = self.store.context.resource_names.intern(name)
            if resource not in self.store.ledgers:
                await self._create(name, resource, declared)
            ledger = self.store.ledgers[resource]
            if (ledger.ceiling, ledger.preempt, ledger.removed) != (
                declared.ceiling,
                declared.preempt,
                False,
            ):
                log.info(
                    "declared count differs, ledger kept: resource=%s declared_ceiling=%d %s",
                    name,
                    declared.ceiling,
                    describe(ledger),
                )
            self._done.add(name)

    async def _create(self, name: str, resource: int, declared: DeclaredCount) -> None:
        store = self.store
        ledger = Ledger(declared.ceiling, (0,) * store.context.shard_count, declared.preempt)
        change = LedgerChange(
            revision=FIRST_REVISION,
            at_ms=store.context.wall_clock_ms(),
            ceiling=ledger.ceiling,
            preempt=ledger.preempt,
            author=AUTHOR,
        )
        changes = [
            put_change(store.key(resource), ledger),
            put_change(records.count_change_key(name, FIRST_REVISION), change),
        ]
        try:
            version = await store.state.transact({store.key(resource): 0}, changes)
            store.update(resource, ledger, version)
        except TransactionConflictError:
            await store.reread(name)

"""Storage of the machine types in the state service, for starts while the cloud is unreachable."""

import logging
from collections.abc import Container

import msgspec

from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)

log = logging.getLogger(__name__)

STORING_SHARD = 0  # only the owner of this shard stores the types


class MachineTypeStore:
    """Reads and writes the key of the machine types; only the owner of STORING_SHARD writes it."""

    def __init__(
        self, context: ControllerContext, state: StateClient, owned_shards: Container[int]
    ) -> None:
        self.context = context
        self.state = state
        self.owned_shards = owned_shards
        self.stored: list[api.MachineType] = []

    async def load(self) -> list[api.MachineType]:
        """Return the stored machine types; an empty list if there are none or reading fails."""
        try:
            entry = await self.state.get(records.MACHINE_TYPES_KEY, True)
            if entry is not None:
                return msgspec.json.decode(entry.value, type=list[api.MachineType])
        except (StateError, msgspec.DecodeError) as error:
            log.info("stored machine types not read: error=%s", error)
        return []

    async def store(self, types: list[api.MachineType]) -> None:
        """Store the types if anything but their prices has changed since they were last stored.

        Errors are logged; the next call tries again.
        """
        unpriced = [msgspec.structs.replace(t, price=0.0, spot_price=0.0) for t in types]
        if STORING_SHARD not in self.owned_shards or unpriced == self.stored:
            return
        size = len(msgspec.json.encode(types))
        limit = self.context.settings.settings.state.value_kb * 1000
        if size > limit:
            log.error("machine types not stored, too large: bytes=%d limit=%.0f", size, limit)
            return
        try:
            await self.state.transact({}, [put_change(records.MACHINE_TYPES_KEY, types)])
            self.stored = unpriced
        except (StateError, TransactionConflictError) as error:
            log.info("machine types not stored: error=%s", error)

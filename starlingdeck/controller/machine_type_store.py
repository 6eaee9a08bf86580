"""Machine types stored in the state service, for a start while the cloud can't be reached."""

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

STORING_SHARD = 0  # its owner stores the types


class MachineTypeStore:
    """Reads and writes the machine types' key; only the owner of shard 0 writes it."""

    def __init__(
        self, context: ControllerContext, state: StateClient, owned_shards: Container[int]
    ) -> None:
        self.context = context
        self.state = state
        self.owned_shards = owned_shards
        self.stored: list[api.MachineType] = []

    async def load(self) -> list[api.MachineType]:
        """The machine types that a controller last read from the cloud; none if unreadable."""
        try:
            entry = await self.state.get(records.MACHINE_TYPES_KEY, True)
            if entry is not None:
                return msgspec.json.decode(entry.value, type=list[api.MachineType])
        except (StateError, msgspec.DecodeError) as error:
            log.info("stored machine types not read: error=%s", error)
        return []

    async def store(self, types: list[api.MachineType]) -> None:
        """Store the types if anything but their prices has changed."""
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

"""Loading of a job shard's records after the shard was acquired."""

import logging
from collections.abc import Mapping

import curio
import msgspec
from msgspec import Struct

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.mailbox import Mailbox
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.storage import records
from starlingdeck.storage.state import StateError
from starlingdeck.sync.state_sync import StateSync

log = logging.getLogger(__name__)


class ShardLoader(Struct, kw_only=True, eq=False, dict=True):
    """Reads quotas, and the mailbox and records of a shard that was acquired."""

    context: ControllerContext
    writers: Mapping[int, RecordWriter]
    quota_transfer: QuotaTransfer
    state_sync: StateSync
    mailbox: Mailbox
    wake: curio.Event

    async def load(self, writer: RecordWriter) -> None:
        """Load a writer's shard; retry until it is loaded or no longer owned here."""
        shard = writer.shard.shard
        while self.writers.get(shard) is writer and not writer.shard.loaded:
            try:
                await self._load_once(writer)
            except (StateError, msgspec.DecodeError) as error:
                log.info("shard not loaded: shard=%d error=%s", shard, error)
                await curio.sleep(0.2 + 0.2 * self.context.rng.random())
        await self.wake.set()

    async def _load_once(self, writer: RecordWriter) -> None:
        # The former owner may have transferred quota by a change that the watch has not delivered
        # yet.
        for entry in (await writer.state.read(records.QUOTA_PREFIX))[0]:
            self.quota_transfer.on_key_changed(entry.key, entry.value, entry.version)
        prefix = records.mailbox_key(writer.shard.shard, "")
        entries = (await writer.state.read(prefix))[0]
        await writer.load()
        self.state_sync.reevaluate_all(writer.shard)
        await self.mailbox.drop_entries(writer, entries)

"""Dispatch of changes of cluster keys that membership doesn't handle itself."""

from collections.abc import Mapping

import curio
from msgspec import Struct

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.cluster.peers import MessageHandler
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.mailbox import Mailbox
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.storage import records
from starlingdeck.sync.state_sync import StateSync


class ClusterKeyHandler(Struct, kw_only=True, eq=False, dict=True):
    """Passes each event of the cluster watch to the component that the key belongs to."""

    writers: Mapping[int, RecordWriter]
    mailbox: Mailbox
    quota_transfer: QuotaTransfer
    admission: AdmissionController
    candidates: CandidatePool
    state_sync: StateSync
    on_message: MessageHandler  # handles the messages of a relayed text
    wake: curio.Event
    flush: curio.Event

    async def handle(self, event: api.Event) -> None:
        """Handle one event. Deletions are ignored.

        Raises ValueError or msgspec.DecodeError for a malformed key or value.
        """
        key = event.put or ""
        durable = self.admission.durable
        if key.startswith(records.MAILBOX_PREFIX):
            await self._handle_mailbox_entry(key, event.version)
        elif key.startswith(records.QUOTA_PREFIX):
            self.quota_transfer.on_key_changed(key, event.value, event.version)
        elif durable is not None and key.startswith(durable.prefix):
            durable.on_key_changed(key, bytes(event.value), event.version)
            self.candidates.changed = True
            await self.wake.set()
            await self.flush.set()
        elif (
            key.startswith(records.RELAY_PREFIX)
            and event.put
            and await self.state_sync.receive_relay(key, event.value, self.on_message)
        ):
            await self.wake.set()

    async def _handle_mailbox_entry(self, key: str, version: int) -> None:
        shard, _, name = key[len(records.MAILBOX_PREFIX) :].partition("/")
        writer = self.writers.get(int(shard))
        if writer is not None and writer.shard.loaded:
            await curio.spawn(self.mailbox.handle_entry, writer, name, key, version, daemon=True)

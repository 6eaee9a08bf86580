"""The loop that writes changed job records to the state service."""

import logging
from collections.abc import Mapping

import curio
import msgspec
from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.record_writer import IDLE_WAIT_S, RecordWriter
from starlingdeck.storage.state import LeaseLostError, StateError

log = logging.getLogger(__name__)

OWNERSHIP_CHECK_DELAY_S = 0.1  # gives the membership time to read the shard's key again


class RecordFlusher(Struct, kw_only=True, eq=False, dict=True):
    """Flushes the record writers of all owned shards."""

    context: ControllerContext
    membership: Membership
    writers: Mapping[int, RecordWriter]
    wake: curio.Event
    flush: curio.Event

    async def run(self) -> None:
        """Flush when woken by `flush`, and when the shortest idle wait of a writer is over."""
        while True:
            idle_s = min((w.idle_wait_s for w in self.writers.values()), default=IDLE_WAIT_S)
            async with curio.ignore_after(idle_s):
                await self.flush.wait()
            self.flush.clear()
            for writer in list(self.writers.values()):
                await self._flush_writer(writer)

    async def _flush_writer(self, writer: RecordWriter) -> None:
        try:
            while self.membership.lease_is_valid() and await writer.flush():
                await self.wake.set()
        except (StateError, LeaseLostError, msgspec.DecodeError) as error:
            log.info("records not written: shard=%d error=%r", writer.shard.shard, error)
            await curio.sleep(0.1 + 0.2 * self.context.rng.random())
        if writer.ownership_lost:
            self.membership.synced = False
            await curio.sleep(OWNERSHIP_CHECK_DELAY_S)

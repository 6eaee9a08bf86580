"""Notes that other controllers leave a shard's holder: they created or cancelled a job of it."""

import logging

import curio
import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import StateError, TransactionConflictError
from starlingdeck.storage.state import delete_change as drop_key

log = logging.getLogger(__name__)


class Mailbox:
    """Acts on the notes of all shards that this controller holds, and drops them."""

    def __init__(
        self, context: ControllerContext, membership: Membership, wake: curio.Event
    ) -> None:
        self.context = context
        self.membership = membership
        self.wake = wake
        self.entries: dict[str, int] = {}  # being acted on -> the newest version heard of

    async def drop_entries(self, writer: RecordWriter, before: list[api.Entry]) -> None:
        """Drop the notes that were there before the shard was read; act on newer ones, which our
        watch passed over while it wasn't."""
        shard = writer.shard.shard
        known = {e.key: e.version for e in before}
        limit = self.context.settings.settings.state.txn_ops
        try:
            prefix = records.mailbox_key(shard, "")
            found = {e.key: e.version for e in (await writer.state.read(prefix))[0]}
            old = [key for key, version in found.items() if known.get(key) == version]
            for key in found.keys() - set(old):
                await self.handle_entry(writer, key[len(prefix) :], key, found[key])
            for first in range(0, len(old), limit):
                part = {key: found[key] for key in old[first : first + limit]}
                if not await self._drop(writer, part, False):
                    break
        except (StateError, TransactionConflictError) as error:
            log.info("shard %d: notes not cleared: %s", shard, error)
            self.membership.synced = False

    async def _drop(self, writer: RecordWriter, notes: dict[str, int], urgent: bool) -> bool:
        """Drop notes that were acted on, as the holder; False when the shard isn't ours any more.

        Who cancelled tells its user when its note is gone. A former holder that hung while its
        shard was taken over, and then acted on the note first, would have spoken for the new one.
        """
        shard = records.shard_key(writer.shard.shard)
        while True:
            token = writer.shard.token
            try:
                conditions = {**notes, shard: token}
                await writer.state.transact(conditions, [drop_key(key) for key in notes], urgent)
            except TransactionConflictError as error:
                if shard not in error.failed:
                    return True  # written anew, or dropped before
                if token == writer.shard.token:
                    return False
                continue
            return True

    async def handle_entry(self, writer: RecordWriter, name: str, key: str, version: int) -> None:
        """Read a job again that another controller created or cancelled, and drop its note.

        One task a note: after a failure all notes are read again, and each reading brought
        another task for every note that an earlier one was still busy with.
        """
        busy = key in self.entries
        self.entries[key] = version
        if busy:
            return
        try:
            dropped = 0
            while dropped != self.entries[key]:
                async with writer.lock:
                    dropped = self.entries[key]
                    job = await writer.reload(name)
                # Who cancelled waits for this. A note written anew meanwhile is another one.
                urgent = job is None or job.cancelled
                if not await self._drop(writer, {key: dropped}, urgent):
                    break
        except (StateError, msgspec.DecodeError) as error:
            log.info("job %s: not read again: %s", name, error)
            self.membership.synced = False
        finally:
            del self.entries[key]
        await self.wake.set()

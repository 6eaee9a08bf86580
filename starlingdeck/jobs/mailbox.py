"""Entries that other controllers leave for a shard's owner when they create or cancel its jobs."""

import logging

import curio
import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import StateError, TransactionConflictError, delete_change

log = logging.getLogger(__name__)


class Mailbox:
    """Handles the entries of all shards that this controller owns, and drops them."""

    def __init__(
        self, context: ControllerContext, membership: Membership, wake: curio.Event
    ) -> None:
        """`wake` is set when a job may have something new to be scheduled or written."""
        self.context = context
        self.membership = membership
        self.wake = wake
        self.entries: dict[str, int] = {}  # key being handled -> newest version known

    async def drop_entries(self, writer: RecordWriter, before: list[api.Entry]) -> None:
        """Drop the entries that were there before the shard was loaded, and handle newer ones.

        Our watch passed over those while the shard wasn't loaded.
        """
        shard = writer.shard.shard
        known = {entry.key: entry.version for entry in before}
        limit = self.context.settings.settings.state.txn_ops
        try:
            prefix = records.mailbox_key(shard, "")
            entries, _ = await writer.state.read(prefix)
            found = {entry.key: entry.version for entry in entries}
            old = [key for key, version in found.items() if known.get(key) == version]
            for key in found.keys() - set(old):
                await self.handle_entry(writer, key[len(prefix) :], key, found[key])
            for first in range(0, len(old), limit):
                versions = {key: found[key] for key in old[first : first + limit]}
                if not await self._drop(writer, versions, False):
                    break
        except (StateError, TransactionConflictError) as error:
            log.info("mailbox entries not dropped: shard=%d error=%s", shard, error)
            self.membership.synced = False

    async def _drop(self, writer: RecordWriter, versions: dict[str, int], urgent: bool) -> bool:
        """Drop entries that were handled, as the owner; False if the shard isn't ours any more.

        The controller that cancelled answers its user once its entry is gone. A former owner that
        hung while its shard was taken over, and then handled the entry first, would have answered
        for the new one.
        """
        shard_key = records.shard_key(writer.shard.shard)
        deletions = [delete_change(key) for key in versions]
        while True:
            token = writer.shard.token
            try:
                conditions = {**versions, shard_key: token}
                await writer.state.transact(conditions, deletions, urgent)
            except TransactionConflictError as error:
                if shard_key not in error.failed:
                    return True  # written again, or dropped before
                if token == writer.shard.token:
                    return False
                continue
            return True

    async def handle_entry(self, writer: RecordWriter, name: str, key: str, version: int) -> None:
        """Read a job again that another controller created or cancelled, and drop its entry.

        One task an entry: after a failure all entries are read again, and each reading started
        another task for every entry that an earlier one was still handling.
        """
        in_progress = key in self.entries
        self.entries[key] = version
        if in_progress:
            return
        try:
            handled = 0
            while handled != self.entries[key]:
                async with writer.lock:
                    handled = self.entries[key]
                    job = await writer.reload(name)
                # A canceller waits for this. An entry written again meanwhile is another one.
                urgent = job is None or job.cancelled
                if not await self._drop(writer, {key: handled}, urgent):
                    break
        except (StateError, msgspec.DecodeError) as error:
            log.info("job not reloaded: job=%s error=%s", name, error)
            self.membership.synced = False
        finally:
            del self.entries[key]
        await self.wake.set()

"""Handles the notices that other controllers write for a shard's owner about its jobs.

A controller writes such a mailbox entry when it creates or cancels a job of a shard it doesn't own.
"""

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
    """Handles and deletes the mailbox entries of all shards that this controller owns."""

    def __init__(
        self, context: ControllerContext, membership: Membership, wake: curio.Event
    ) -> None:
        """Create a mailbox; `wake` is set when a job may have changes to schedule or write."""
        self.context = context
        self.membership = membership
        self.wake = wake
        self.entries: dict[str, int] = {}  # key being handled -> its newest known version

    async def drop_entries(self, writer: RecordWriter, before: list[api.Entry]) -> None:
        """Delete the entries read before the shard was loaded, and handle newer ones.

        The watch for changes ignored the newer ones while the shard wasn't loaded.
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
        """Delete handled entries; return False if this controller doesn't own the shard any more.

        The deletion is conditional on the ownership, because the controller that cancelled a job
        answers its user once the entry is gone. Otherwise a former owner that hung during a
        takeover could delete the entry before the new owner had handled it.
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
                    return True  # an entry was written again, or was deleted before
                if token == writer.shard.token:
                    return False
                continue
            return True

    async def handle_entry(self, writer: RecordWriter, name: str, key: str, version: int) -> None:
        """Read a job again that another controller created or cancelled, and delete its entry.

        If the entry is being handled already, only its newest version is noted. After a failure
        all entries are read again, and without this each such read started another coroutine for
        every entry still being handled.
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
                # The controller that cancelled the job waits for this deletion. An entry that was
                # written again meanwhile has another version and isn't deleted.
                urgent = job is None or job.cancelled
                if not await self._drop(writer, {key: handled}, urgent):
                    break
        except (StateError, msgspec.DecodeError) as error:
            log.info("job not reloaded: job=%s error=%s", name, error)
            self.membership.synced = False
        finally:
            del self.entries[key]
        await self.wake.set()

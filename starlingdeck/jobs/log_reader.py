"""Reads the commit logs of shards that this controller need not own, to answer status queries."""

import curio
import msgspec
from msgspec import Struct, field

from starlingdeck.storage.commit_log import LogContents, log_prefix, read_segments
from starlingdeck.storage.state import StateClient, StateError


class PendingRead(Struct):
    """One read of a log, and its result for all who wait for it."""

    finished: curio.Event = field(default_factory=curio.Event)
    view: LogContents | None = None
    error: str = ""


class LogReader:
    """Reads a shard's log once for all who ask while the previous read is under way.

    Nobody gets the result of a read that began before they asked: their user may have been told
    of a commit that is not in it.
    """

    def __init__(self) -> None:
        self.next_reads: dict[int, PendingRead] = {}  # shard -> a read that has not begun
        self.locks: dict[int, curio.Lock] = {}  # shard -> held while its log is read

    async def read(self, state: StateClient, shard: int) -> LogContents:
        """A shard's log as of now; StateError when it can't be read."""
        pending = self.next_reads.get(shard)
        if pending is None:
            pending = self.next_reads[shard] = PendingRead()
            await curio.spawn(self._read, state, shard, pending, daemon=True)
        await pending.finished.wait()
        if pending.view is None:
            raise StateError(pending.error)
        return pending.view

    async def _read(self, state: StateClient, shard: int, pending: PendingRead) -> None:
        async with self.locks.setdefault(shard, curio.Lock()):
            del self.next_reads[shard]
            try:
                entries, _ = await state.read(log_prefix(shard))
                pending.view = read_segments(entries)
            except (StateError, msgspec.DecodeError) as error:
                pending.error = str(error)
            finally:
                await pending.finished.set()

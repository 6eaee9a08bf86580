"""Reads shards' commit logs to answer status queries, whether or not they are owned here."""

import curio
import msgspec
from msgspec import Struct, field

from starlingdeck.storage.commit_log import LogContents, log_prefix, read_segments
from starlingdeck.storage.state import StateClient, StateError


class PendingRead(Struct):
    """One read of a log, and its result for all callers that wait for it."""

    finished: curio.Event = field(default_factory=curio.Event)
    contents: LogContents | None = None
    error: str = ""


class LogReader:
    """Reads a shard's log once for all callers that ask while the previous read is in progress.

    No caller gets the result of a read that began before its call: such a result may lack a commit
    that the user has already been told of.
    """

    def __init__(self) -> None:
        self.next_reads: dict[int, PendingRead] = {}  # shard -> a read that has not begun
        self.locks: dict[int, curio.Lock] = {}  # shard -> lock held while its log is read

    async def read(self, state: StateClient, shard: int) -> LogContents:
        """Read a shard's log, starting after this call. Raises StateError when it can't be read."""
        pending = self.next_reads.get(shard)
        if pending is None:
            pending = self.next_reads[shard] = PendingRead()
            await curio.spawn(self._read, state, shard, pending, daemon=True)
        await pending.finished.wait()
        if pending.contents is None:
            raise StateError(pending.error)
        return pending.contents

    async def _read(self, state: StateClient, shard: int, pending: PendingRead) -> None:
        async with self.locks.setdefault(shard, curio.Lock()):
            del self.next_reads[shard]
            try:
                entries, _ = await state.read(log_prefix(shard))
                pending.contents = read_segments(entries)
            except (StateError, msgspec.DecodeError) as error:
                pending.error = str(error)
            finally:
                await pending.finished.set()

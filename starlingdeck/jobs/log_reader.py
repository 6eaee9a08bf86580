"""Reads the commit logs of shards that this controller need not hold, for its users' questions."""

import curio
import msgspec
from msgspec import Struct, field

from starlingdeck.storage.commit_log import LogContents, log_prefix, read_segments
from starlingdeck.storage.state import StateClient, StateError


class Reading(Struct):
    """One reading, and all who wait for it."""

    ended: curio.Event = field(default_factory=curio.Event)
    view: LogContents | None = None
    fault: str = ""


class LogReader:
    """Reads a shard's log once for all who ask while the reading before is under way.

    Nobody gets a reading that began before it asked: its user may have been told of a commit
    that is not in there.
    """

    def __init__(self) -> None:
        self.next: dict[int, Reading] = {}  # shard -> a reading that has not begun
        self.busy: dict[int, curio.Lock] = {}

    async def read(self, state: StateClient, shard: int) -> LogContents:
        """Raises StateError when it can't be read."""
        reading = self.next.get(shard)
        if reading is None:
            reading = self.next[shard] = Reading()
            await curio.spawn(self._read, state, shard, reading, daemon=True)
        await reading.ended.wait()
        if reading.view is None:
            raise StateError(reading.fault)
        return reading.view

    async def _read(self, state: StateClient, shard: int, reading: Reading) -> None:
        async with self.busy.setdefault(shard, curio.Lock()):
            del self.next[shard]
            try:
                entries, _ = await state.read(log_prefix(shard))
                reading.view = read_segments(entries)
            except (StateError, msgspec.DecodeError) as error:
                reading.fault = str(error)
            finally:
                await reading.ended.set()

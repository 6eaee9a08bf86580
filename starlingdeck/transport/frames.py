"""Length-prefixed frames between controllers; the payload is opaque here."""

import struct
from collections.abc import Awaitable, Callable

import curio
import curio.io

from starlingdeck.transport.client import connect
from starlingdeck.transport.server import listen

# The largest message is a whole view of one shard that holds every machine. A machine with 32
# tasks and 20 images takes 920 to 1,030 bytes in it; the rest is for longer names.
MAX_MACHINES = 6_000
MACHINE_SNAPSHOT_BYTES = 1_400
MAX_FRAME = MAX_MACHINES * MACHINE_SNAPSHOT_BYTES  # 8.4 MB
# Behind a whole view a link may have to queue the whole list of what is to run on its machines
# (24 bytes a task, 4.6 MB for 32 tasks each) and the differences that follow while both are sent.
MAX_BACKLOG = 2 * MAX_FRAME
WRITE_BYTES = 64 * 1024  # sent under one time-out
CLOSE_POLL_INTERVAL_S = 0.02
LENGTH_PREFIX = struct.Struct("!I")


class LinkBusyError(ConnectionError):
    """A frame could not be begun in time because another is being sent; the link goes on."""


class FrameLink:
    """One connection carrying frames both ways. Writes are serialised."""

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.lock = curio.Lock()
        self.closed = False
        self.active_senders = 0
        self.backlog = bytearray()
        self.has_backlog = curio.Event()

    async def enqueue(self, payload: bytes) -> None:
        """Queue a frame for `drain`. A peer that takes nothing loses its link, not our memory."""
        if len(self.backlog) + LENGTH_PREFIX.size + len(payload) > MAX_BACKLOG:
            self.closed = True
            return
        self.backlog += LENGTH_PREFIX.pack(len(payload)) + payload
        await self.has_backlog.set()

    async def drain(self, timeout_s: float) -> None:
        """Send what is queued, in order, until the link ends or takes nothing for `timeout_s`."""
        try:
            while not self.closed:
                await self.has_backlog.wait()
                self.has_backlog.clear()
                batch, self.backlog = bytes(self.backlog), bytearray()
                async with self.lock:
                    await self._write(batch, timeout_s)
        except (OSError, curio.TaskTimeout):
            self.closed = True

    async def send(self, payload: bytes, timeout_s: float) -> None:
        """Send one frame. Raises LinkBusy when `timeout_s` passed before its turn came, and
        TaskTimeout when the link took nothing for as long."""
        self.active_senders += 1
        try:
            await self._acquire_write_lock(timeout_s)
            try:
                await self._write(LENGTH_PREFIX.pack(len(payload)) + payload, timeout_s)
            finally:
                await self.lock.release()
        finally:
            self.active_senders -= 1

    async def _acquire_write_lock(self, timeout_s: float) -> None:
        try:
            async with curio.timeout_after(timeout_s):
                await self.lock.acquire()
        except curio.TaskTimeout as error:
            raise LinkBusyError("another frame is being sent") from error

    async def _write(self, data: bytes, timeout_s: float) -> None:
        """Send all of it. The time-out is for each piece: a large frame may take long."""
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            if self.closed:
                raise ConnectionError("the link is closed")
            async with curio.timeout_after(timeout_s):
                await self.sock.sendall(view[start : start + WRITE_BYTES])

    async def receive(self) -> bytes:
        """The next frame. Raises ConnectionError when the link ends or a frame is too long."""
        (size,) = LENGTH_PREFIX.unpack(await self._receive_exactly(LENGTH_PREFIX.size))
        if size > MAX_FRAME:
            raise ConnectionError("frame too long")
        return await self._receive_exactly(size)

    async def _receive_exactly(self, size: int) -> bytes:
        parts = bytearray()
        while len(parts) < size:
            piece = await self.sock.recv(min(65536, size - len(parts)))
            if not piece:
                raise ConnectionError("the other side closed")
            parts += piece
        return bytes(parts)

    async def close(self) -> None:
        """Who reads must have ended before. A socket closed under a task that waits for it stays
        registered for that, and the next one with its number ends the whole process."""
        self.closed = True
        while self.active_senders:  # each for its time-out at the most
            await curio.sleep(CLOSE_POLL_INTERVAL_S)
        await self.sock.close()


async def dial(address: str, timeout_s: float) -> FrameLink:
    """A new link to a peer that listens at the address."""
    async with curio.timeout_after(timeout_s):
        return FrameLink(await connect(address))


class FrameServer:
    """Accepts links on one listening address, `most` at a time."""

    def __init__(
        self, address: tuple[str, int], serve: Callable[[FrameLink], Awaitable[None]], limit: int
    ) -> None:
        self.address = address
        self.serve = serve
        self.max_links = limit
        self.open = 0

    async def run(self) -> None:
        """Accept links until cancelled."""
        sock = listen(self.address)
        async with sock:
            while True:
                client, _ = await sock.accept()
                if self.open >= self.max_links:
                    await client.close()
                    continue
                self.open += 1
                await curio.spawn(self._one, client, daemon=True)

    async def _one(self, client: curio.io.Socket) -> None:
        link = FrameLink(client)
        try:
            await self.serve(link)
        finally:
            self.open -= 1
            await link.close()

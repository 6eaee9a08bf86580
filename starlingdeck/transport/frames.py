"""Length-prefixed frames between controllers; the payload is opaque here."""

import struct
from collections.abc import Awaitable, Callable

import curio
import curio.io

from starlingdeck.transport.client import connect
from starlingdeck.transport.listener import accept_connections

# The largest message is the full snapshot of a shard with every machine. A machine with 32 tasks
# and 20 images takes 920 to 1,030 bytes in it; MACHINE_SNAPSHOT_BYTES leaves room for longer names.
MAX_SNAPSHOT_MACHINES = 6_000
MACHINE_SNAPSHOT_BYTES = 1_400
MAX_FRAME_BYTES = MAX_SNAPSHOT_MACHINES * MACHINE_SNAPSHOT_BYTES  # 8.4 MB
# After a full snapshot a link may have to queue the full desired state of its machines (24 bytes
# a task, 4.6 MB for 32 tasks each) and the updates that follow while both are being sent.
MAX_BACKLOG_BYTES = 2 * MAX_FRAME_BYTES
READ_BYTES = 64 * 1024
WRITE_BYTES = 64 * 1024  # sent under one time-out
CLOSE_POLL_INTERVAL_S = 0.02
LENGTH_PREFIX = struct.Struct("!I")


class LinkBusyError(ConnectionError):
    """Other frames were being sent until the time-out expired; the link stays usable."""


class FrameLink:
    """A connection that carries frames in both directions. A lock serialises the writes."""

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.lock = curio.Lock()
        self.closed = False
        self.active_senders = 0
        self.backlog = bytearray()
        self.has_backlog = curio.Event()

    async def enqueue(self, payload: bytes) -> None:
        """Queue a frame for `drain`.

        Marks the link as closed when more than MAX_BACKLOG_BYTES would be queued.
        """
        if len(self.backlog) + LENGTH_PREFIX.size + len(payload) > MAX_BACKLOG_BYTES:
            self.closed = True
            return
        self.backlog += LENGTH_PREFIX.pack(len(payload)) + payload
        await self.has_backlog.set()

    async def drain(self, timeout_s: float) -> None:
        """Send queued frames in order until the link ends or accepts no data for `timeout_s`."""
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
        """Send one frame.

        Raises LinkBusyError when other frames were being sent for `timeout_s`, and TaskTimeout
        when the link accepted no data for as long.
        """
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
        """Send all data. The time-out is per WRITE_BYTES, because a large frame may take longer."""
        view = memoryview(data)
        for start in range(0, len(data), WRITE_BYTES):
            if self.closed:
                raise ConnectionError("the link is closed")
            async with curio.timeout_after(timeout_s):
                await self.sock.sendall(view[start : start + WRITE_BYTES])

    async def receive(self) -> bytes:
        """Receive a frame. Raises ConnectionError when the link ends or the frame is too large."""
        (size,) = LENGTH_PREFIX.unpack(await self._receive_exactly(LENGTH_PREFIX.size))
        if size > MAX_FRAME_BYTES:
            raise ConnectionError(f"frame of {size} bytes, at most {MAX_FRAME_BYTES} expected")
        return await self._receive_exactly(size)

    async def _receive_exactly(self, size: int) -> bytes:
        received = bytearray()
        while len(received) < size:
            data = await self.sock.recv(min(READ_BYTES, size - len(received)))
            if not data:
                raise ConnectionError("the other side closed")
            received += data
        return bytes(received)

    async def close(self) -> None:
        """Close the socket after all senders have ended. The reading task must have ended before.

        curio keeps a socket registered when it is closed while a task waits for it, and the next
        socket with the same file descriptor then crashes the whole process.
        """
        self.closed = True
        while self.active_senders:  # each ends within its time-out
            await curio.sleep(CLOSE_POLL_INTERVAL_S)
        await self.sock.close()


async def dial(address: str, timeout_s: float) -> FrameLink:
    """Connect to a peer and return the link. Raises OSError or TaskTimeout."""
    async with curio.timeout_after(timeout_s):
        return FrameLink(await connect(address))


class FrameServer:
    """Accepts links on one listening address; refuses new ones while `max_links` are open."""

    def __init__(
        self,
        address: tuple[str, int],
        serve: Callable[[FrameLink], Awaitable[None]],
        max_links: int,
    ) -> None:
        self.address = address
        self.serve = serve
        self.max_links = max_links
        self.open = 0

    async def run(self) -> None:
        """Accept links until cancelled."""
        await accept_connections(self.address, self._admit)

    async def _admit(self, client: curio.io.Socket) -> None:
        if self.open >= self.max_links:
            await client.close()
            return
        self.open += 1
        await curio.spawn(self._serve_link, client, daemon=True)

    async def _serve_link(self, client: curio.io.Socket) -> None:
        link = FrameLink(client)
        try:
            await self.serve(link)
        finally:
            self.open -= 1
            await link.close()

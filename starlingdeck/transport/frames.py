"""Length-prefixed frames between controllers; the payload is opaque here."""

import struct
from collections.abc import Awaitable, Callable

import curio
import curio.io

from starlingdeck.transport.client import connect
from starlingdeck.transport.server import listen

MAX_FRAME = 4 * 1024 * 1024
MAX_BACKLOG = 2 * 1024 * 1024
CLOSING_S = 0.02
LENGTH = struct.Struct("!I")


class FrameLink:
    """One connection carrying frames both ways. Writes are serialised."""

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.lock = curio.Lock()
        self.closed = False
        self.senders = 0
        self.backlog = bytearray()
        self.waiting = curio.Event()

    async def post(self, payload: bytes) -> None:
        """Queue a frame for `drain`. A peer that takes nothing loses its link, not our memory."""
        if len(self.backlog) + len(payload) > MAX_BACKLOG:
            self.closed = True
            return
        self.backlog += LENGTH.pack(len(payload)) + payload
        await self.waiting.set()

    async def drain(self, timeout_s: float) -> None:
        """Send what is queued, in order, until the link ends."""
        try:
            while not self.closed:
                await self.waiting.wait()
                self.waiting.clear()
                batch, self.backlog = bytes(self.backlog), bytearray()
                async with curio.timeout_after(timeout_s), self.lock:
                    await self.sock.sendall(batch)
        except (OSError, curio.TaskTimeout):
            self.closed = True

    async def send(self, payload: bytes, timeout_s: float) -> None:
        self.senders += 1
        try:
            async with curio.timeout_after(timeout_s), self.lock:
                if self.closed:
                    raise ConnectionError("the link is closed")
                await self.sock.sendall(LENGTH.pack(len(payload)) + payload)
        finally:
            self.senders -= 1

    async def receive(self) -> bytes:
        (size,) = LENGTH.unpack(await self._exactly(LENGTH.size))
        if size > MAX_FRAME:
            raise ConnectionError("frame too long")
        return await self._exactly(size)

    async def _exactly(self, size: int) -> bytes:
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
        while self.senders:  # each for its time-out at the most
            await curio.sleep(CLOSING_S)
        await self.sock.close()


async def dial(address: str, timeout_s: float) -> FrameLink:
    async with curio.timeout_after(timeout_s):
        return FrameLink(await connect(address))


class FrameServer:
    def __init__(
        self, address: tuple[str, int], serve: Callable[[FrameLink], Awaitable[None]], most: int
    ) -> None:
        self.address = address
        self.serve = serve
        self.most = most
        self.open = 0

    async def run(self) -> None:
        sock = listen(self.address)
        async with sock:
            while True:
                client, _ = await sock.accept()
                if self.open >= self.most:
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

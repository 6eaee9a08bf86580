"""HTTP over asyncio for the stand-ins: a small server, a client call and a TCP proxy."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any

PORTS = range(11_000, 31_000)
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}
# A handler returns (status, body); None closes the connection without an answer.
Answer = tuple[int, Any] | None
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer]]


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on.

    It is below the range that the system takes the ports of outgoing connections from.
    """
    for port in random.sample(PORTS, len(PORTS)):
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise OSError("no free port")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """Return the first line and the body of a message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return lines[0], await reader.readexactly(length)


class Server:
    """Serves one loopback port."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self.handler = handler
        self.port = port or free_port()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=2**20)

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ")
                path, _, query = target.partition("?")
                parameters = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await self.handler(method, path, parameters, message[1])
                if answer is None:
                    return
                body = json.dumps(answer[1], separators=(",", ":")).encode()
                reason = REASONS.get(answer[0], "Other")
                head = (
                    f"HTTP/1.1 {answer[0]} {reason}\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send one request on a connection of its own; status 0 if no answer came."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None


async def _call(address: str, method: str, path: str, body: Any) -> tuple[int, Any]:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
    try:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n"
        head += f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        message = await read_message(reader)
        if message is None:
            return 0, None
        return int(message[0].split(" ")[1]), json.loads(message[1] or b"null")
    finally:
        writer.close()


class Proxy:
    """Forwards one port to an address. Modes: open, silent (lost), hold (late), reset."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = free_port()
        self.mode = "open"
        self.opened = asyncio.Event()
        self.opened.set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Begin to listen."""
        await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def set_mode(self, mode: str) -> None:
        """Change how traffic is treated."""
        self.mode = mode
        if mode == "open":
            self.opened.set()
        else:
            self.opened.clear()
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        if self.mode != "open":
            # An attempt to connect that meets the cut does not complete later.
            await self.opened.wait()
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.mode == "silent":
                    lost = True
                await self.opened.wait()
                if lost:
                    break
                writer.write(data)
                await writer.drain()
        await self.opened.wait()
        with contextlib.suppress(OSError):
            writer.close()

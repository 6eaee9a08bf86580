"""TCP proxies between the processes of a soak run, one process for all links.

python -m standins.soak.proxy CONFIG.json. Each link listens on a port and forwards to a target.
POST /mode with a `LinkCommand` changes how a link treats its traffic.
"""

import contextlib
import sys
import time
from collections import deque
from pathlib import Path

import curio
import curio.io
import msgspec
from curio import socket

from standins.serve import error_response, json_response
from standins.soak.plan import LinkMode
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.listener import accept_connections
from starlingdeck.transport.server import HttpServer, Request, Response

READ_BYTES = 64 * 1024
POLL_S = 0.02
MAX_HELD_BYTES = 8_000_000  # of one direction of a connection; more is lost


class LinkConfig(msgspec.Struct, frozen=True):
    """A link: the address it listens on, and the address that it forwards to.

    An empty host in `target` stands for the address that the client connected to: one listener on
    all loopback addresses serves a link to many machines.
    """

    name: str
    listen: str
    target: str


class ProxyConfig(msgspec.Struct, frozen=True):
    """The links of a proxy process, and the address that takes commands."""

    control: str
    links: list[LinkConfig]


class LinkCommand(msgspec.Struct, frozen=True):
    """Changes the mode of the links whose names are given."""

    names: list[str]
    mode: LinkMode
    delay_s: float = 0.0


class Link:
    """The present mode of a link, and its open connections."""

    def __init__(self, config: LinkConfig) -> None:
        self.config = config
        self.mode = LinkMode.OPEN
        self.delay_s = 0.0
        self.connections: set[Connection] = set()
        self.mode_changed = curio.Event()

    @property
    def is_blocked(self) -> bool:
        """Whether nothing passes at present."""
        return self.mode in (LinkMode.SILENT, LinkMode.HOLD)

    async def set_mode(self, mode: LinkMode, delay_s: float) -> None:
        """Change the mode for new and open connections."""
        self.mode, self.delay_s = mode, delay_s
        event, self.mode_changed = self.mode_changed, curio.Event()
        await event.set()
        for connection in list(self.connections):
            if mode is LinkMode.RESET:
                connection.reset()
            await connection.wake()

    async def admit(self, client: curio.io.Socket) -> None:
        """Serve an accepted connection in a task of its own."""
        await curio.spawn(self._serve, client, daemon=True)

    def _target(self, client: curio.io.Socket) -> tuple[str, int]:
        host, port = self.config.target.rsplit(":", 1)
        return host or client._socket.getsockname()[0], int(port)

    async def _serve(self, client: curio.io.Socket) -> None:
        async with client:
            if self.is_blocked:
                # A connection attempt that meets a cut link does not complete later.
                await self.mode_changed.wait()
                return
            if self.mode is LinkMode.RESET:
                return
            server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            async with server:
                with contextlib.suppress(OSError):
                    await server.connect(self._target(client))
                    await self._forward(Connection(self, client, server))

    async def _forward(self, connection: "Connection") -> None:
        self.connections.add(connection)
        try:
            await connection.run()
        finally:
            self.connections.discard(connection)


class Connection:
    """A client's connection and the one to the target."""

    def __init__(self, link: Link, client: curio.io.Socket, server: curio.io.Socket) -> None:
        self.sockets = (client, server)
        self.requests = Direction(link, client, server)
        self.answers = Direction(link, server, client)
        for sock in self.sockets:
            sock._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def run(self) -> None:
        """Forward until one side has ended and what the client sent is delivered."""
        requests = await curio.spawn(self.requests.run)
        answers = await curio.spawn(self.answers.run)
        try:
            async with curio.TaskGroup([requests, answers], wait=any) as group:
                pass
            if group.completed is answers:
                await self.requests.delivered()
        finally:
            await requests.cancel()
            await answers.cancel()

    def reset(self) -> None:
        """End both connections."""
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock._socket.shutdown(socket.SHUT_RDWR)

    async def wake(self) -> None:
        """Have both directions look at the link's mode."""
        await self.requests.changed.set()
        await self.answers.changed.set()


class Direction:
    """One direction of a connection."""

    def __init__(self, link: Link, source: curio.io.Socket, sink: curio.io.Socket) -> None:
        self.link, self.source, self.sink = link, source, sink
        self.held: deque[tuple[float, bytes]] = deque()  # due time, data
        self.held_bytes = 0
        self.source_ended = False
        self.is_broken = False  # data was lost: nothing after it may be delivered
        self.changed = curio.Event()

    async def run(self) -> None:
        """Forward until the source has ended and everything held is delivered."""
        reader = await curio.spawn(self._read, daemon=True)
        try:
            with contextlib.suppress(OSError):
                while await self._write_next():
                    pass
        finally:
            self.is_broken = True  # whatever is still held can't be delivered
            await reader.cancel()

    async def delivered(self) -> None:
        """Wait until nothing is held."""
        while self.held and not self.is_broken:
            await curio.sleep(POLL_S)

    async def _read(self) -> None:
        with contextlib.suppress(OSError):
            while data := await self.source.recv(READ_BYTES):
                self._take(data)
                await self.changed.set()
        self.source_ended = True
        await self.changed.set()

    def _take(self, data: bytes) -> None:
        if self.link.mode is LinkMode.SILENT or self.held_bytes + len(data) > MAX_HELD_BYTES:
            self.is_broken = True
        if not self.is_broken:
            self.held.append((time.monotonic() + self.link.delay_s, data))
            self.held_bytes += len(data)

    async def _write_next(self) -> bool:
        """Deliver what is due, or wait for a change; return False at the end."""
        self.changed.clear()
        if self.link.is_blocked:
            await self.changed.wait()
            return True
        if self.is_broken:
            return False  # TCP gives up a connection whose data is never acknowledged
        if not self.held:
            if not self.source_ended:
                await self.changed.wait()
            return not self.source_ended or bool(self.held)
        due_in_s = self.held[0][0] - time.monotonic()
        if due_in_s > 0:
            await curio.sleep(due_in_s)
            return True
        _, data = self.held.popleft()
        self.held_bytes -= len(data)
        await self.sink.sendall(data)
        return True


class Proxy:
    """All links of a soak run."""

    def __init__(self, config: ProxyConfig) -> None:
        self.config = config
        self.links = {link.name: Link(link) for link in config.links}

    async def handle(self, request: Request) -> Response:
        """Handle a command."""
        if request.path == "/stats":
            return json_response(len(self.links))
        if request.path != "/mode":
            return error_response(400, "no such path")
        command = msgspec.json.decode(request.body, type=LinkCommand)
        for name in command.names:
            await self.links[name].set_mode(command.mode, command.delay_s)
        return json_response()

    async def run(self) -> None:
        """Serve all links and the control address."""
        async with curio.TaskGroup() as group:
            server = HttpServer(split_address(self.config.control), self.handle, 50, 60.0)
            await group.spawn(server.run)
            for link in self.links.values():
                address = split_address(link.config.listen)
                await group.spawn(accept_connections, address, link.admit)


def main() -> None:
    """Run the proxy process."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProxyConfig)
    curio.run(Proxy(config).run)


if __name__ == "__main__":
    main()

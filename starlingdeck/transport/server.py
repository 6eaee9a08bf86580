"""A small HTTP/1.1 server on curio and h11, bounded in every direction."""

import functools
import logging
from collections.abc import Awaitable, Callable

import curio
import curio.io
import h11
from curio import socket

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
READ_BYTES = 16 * 1024
HEADS_KEPT = 512
END = h11.EndOfMessage()


class Request:
    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.body = body


class Response:
    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, body: bytes = b"{}", headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers


Handler = Callable[[Request], Awaitable[Response]]


class HttpServer:
    """Serves one listening address. A fault on a connection ends that connection only."""

    def __init__(
        self, address: tuple[str, int], handler: Handler, max_connections: int, stall_s: float
    ) -> None:
        self.address = address
        self.handler = handler
        self.max_connections = max_connections
        self.stall_s = stall_s
        self.open = 0

    async def run(self) -> None:
        sock = listen(self.address)
        async with sock:
            while True:
                client, _ = await sock.accept()
                if self.open >= self.max_connections:
                    # Refuse at once rather than let sockets run out for workers and peers.
                    await client.close()
                    continue
                self.open += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: curio.io.Socket) -> None:
        try:
            async with client:
                await self._talk(client)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            log.debug("connection ended: %r", error)
        except Exception:
            log.exception("a request broke its handler")
        finally:
            self.open -= 1

    async def _talk(self, client: curio.io.Socket) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                request = await self._read(conn, client)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    note = b'{"error":"malformed request"}'
                    await self._send(conn, client, Response(error.error_status_hint, note), True)
                return
            if request is None:
                return
            if isinstance(request, Response):
                await self._send(conn, client, request, True)
                return
            response = await self.handler(request)
            await self._send(conn, client, response, False)
            if conn.our_state is h11.MUST_CLOSE or conn.their_state is h11.MUST_CLOSE:
                return
            conn.start_next_cycle()

    async def _read(
        self, conn: h11.Connection, client: curio.io.Socket
    ) -> Request | Response | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if head is None and not conn.trailing_data[0]:
                    conn.receive_data(await client.recv(READ_BYTES))
                else:
                    # A half-sent request may not hold a socket for ever.
                    async with curio.timeout_after(self.stall_s):
                        if conn.they_are_waiting_for_100_continue:
                            go_on = h11.InformationalResponse(status_code=100, headers=[])
                            await client.sendall(conn.send(go_on) or b"")
                        conn.receive_data(await client.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                length = dict(event.headers).get(b"content-length", b"0")
                if int(length) > MAX_BODY:
                    return Response(413, b'{"error":"body over 64 KiB"}')
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    return Response(413, b'{"error":"body over 64 KiB"}')
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                target = head.target.decode("ascii", "replace")
                return Request(head.method.decode("ascii"), target, bytes(body))
            else:
                return None

    async def _send(
        self, conn: h11.Connection, client: curio.io.Socket, response: Response, close: bool
    ) -> None:
        head = _head(response.status, len(response.body), response.headers, close)
        out = conn.send(head) or b""
        out += conn.send(h11.Data(data=response.body)) or b""
        out += conn.send(END) or b""
        async with curio.timeout_after(self.stall_s):
            await client.sendall(out)


@functools.lru_cache(HEADS_KEPT)
def _head(status: int, length: int, more: tuple[tuple[str, str], ...], close: bool) -> h11.Response:
    """Most answers have one of few heads; checking its fields anew was a sixth of a report."""
    headers = [("content-type", "application/json"), ("content-length", str(length)), *more]
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


def listen(address: tuple[str, int]) -> curio.io.Socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(256)
    return sock

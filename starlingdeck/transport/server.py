"""A small HTTP/1.1 server on curio and h11 with limits on bodies, connections and time."""

import contextlib
import functools
import logging
from collections.abc import Awaitable, Callable

import curio
import curio.io
import h11
from curio import socket

from starlingdeck.transport.connections import Connection, ConnectionTable
from starlingdeck.transport.listener import accept_connections

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
READ_BYTES = 16 * 1024
MAX_CACHED_HEADS = 512
END_OF_MESSAGE = h11.EndOfMessage()


class Request:
    """A request that was read whole."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, target: str, body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.body = body


class Response:
    """A response with a JSON body."""

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, body: bytes = b"{}", headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers


Handler = Callable[[Request], Awaitable[Response]]


RequestPredicate = Callable[[Request], bool]


def _is_never_from_worker(_: Request) -> bool:
    return False


class HttpServer:
    """Serves one listening address. A fault on a connection ends that connection only.

    At the limit of open connections the idle connection that was idle longest is evicted for a
    new one; the new one is refused when every connection is within a request. Workers'
    connections are evicted first while they hold more than their share, and are closed with the
    response above a high-water mark, so that they don't evict each other between reports.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        max_connections: int,
        stall_s: float,
        is_from_worker: RequestPredicate = _is_never_from_worker,
    ) -> None:
        self.address = address
        self.handler = handler
        self.stall_s = stall_s
        self.is_from_worker = is_from_worker
        self.connections = ConnectionTable(max_connections)
        self.refused = 0
        self.evicted = 0
        self.closed_after_response = 0

    async def run(self) -> None:
        """Accept connections until cancelled."""
        await accept_connections(self.address, self._admit)

    async def _admit(self, client: curio.io.Socket) -> None:
        if self.connections.is_full() and not await self._evict_idle():
            # Refuse at once rather than let sockets run out for workers and peers.
            self.refused += 1
            await client.close()
            return
        connection = Connection(client)
        self.connections.add(connection)
        connection.task = await curio.spawn(self._serve_connection, connection, daemon=True)

    async def _evict_idle(self) -> bool:
        """Close the idle connection that is to go first; False when there is none."""
        victim = self.connections.pop_victim()
        if victim is None or victim.task is None:
            return False
        self.evicted += 1
        # The task is woken, not cancelled: it closes its socket itself, as one closed under a
        # task that waits for it stays registered in curio.
        victim.evicted = True
        with contextlib.suppress(OSError):  # the client may have closed it already
            await victim.socket.shutdown(socket.SHUT_RDWR)
        await victim.task.wait()
        return True

    async def _serve_connection(self, connection: Connection) -> None:
        try:
            async with connection.socket:
                await self._serve_requests(connection)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            log.debug("connection ended: error=%r", error)
        except Exception:  # the task's outermost edge: it ends this connection only
            log.exception("request handler failed")
        finally:
            self.connections.remove(connection)

    async def _serve_requests(self, connection: Connection) -> None:
        conn, client = h11.Connection(h11.SERVER), connection.socket
        while True:
            try:
                request = await self._read_request(conn, connection)
            except h11.RemoteProtocolError as error:
                if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    note = b'{"error":"malformed request"}'
                    await self._send(conn, client, Response(error.error_status_hint, note), True)
                return
            if request is None:
                return
            if isinstance(request, Response):  # the request is refused without its handler
                await self._send(conn, client, request, True)
                return
            self.connections.classify(connection, self.is_from_worker(request))
            response = await self.handler(request)
            await self._send(conn, client, response, self._closes_after_response(connection))
            if conn.our_state is h11.MUST_CLOSE or conn.their_state is h11.MUST_CLOSE:
                return
            conn.start_next_cycle()

    def _closes_after_response(self, connection: Connection) -> bool:
        """Whether the response ends its connection to leave capacity for others.

        A worker evicted between its reports takes that for a failure and reports to another
        controller; one whose response says `Connection: close` connects to this one again.
        """
        if not (connection.from_worker and self.connections.is_above_high_water()):
            return False
        self.closed_after_response += 1
        return True

    async def _read_request(
        self, conn: h11.Connection, connection: Connection
    ) -> Request | Response | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if head is None and not conn.trailing_data[0]:
                    conn.receive_data(await self._receive_first(connection))
                else:
                    conn.receive_data(await self._receive_more(conn, connection.socket))
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

    async def _receive_first(self, connection: Connection) -> bytes:
        """The first bytes of the next request; none when the connection ended or was evicted."""
        self.connections.mark_idle(connection)
        data: bytes = await connection.socket.recv(READ_BYTES)
        self.connections.mark_busy(connection)
        return b"" if connection.evicted else data

    async def _receive_more(self, conn: h11.Connection, client: curio.io.Socket) -> bytes:
        """More of a request that has begun. A half-sent one may not keep a socket for ever."""
        async with curio.timeout_after(self.stall_s):
            if conn.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await client.sendall(conn.send(go_on) or b"")
            data: bytes = await client.recv(READ_BYTES)
        return data

    async def _send(
        self, conn: h11.Connection, client: curio.io.Socket, response: Response, close: bool
    ) -> None:
        head = _response_head(response.status, len(response.body), response.headers, close)
        out = conn.send(head) or b""
        out += conn.send(h11.Data(data=response.body)) or b""
        out += conn.send(END_OF_MESSAGE) or b""
        async with curio.timeout_after(self.stall_s):
            await client.sendall(out)


@functools.lru_cache(MAX_CACHED_HEADS)
def _response_head(
    status: int, length: int, more: tuple[tuple[str, str], ...], close: bool
) -> h11.Response:
    """The head of a response, cached: most have one of few, and h11's checks of a new one took a
    sixth of the processor time of a report."""
    headers = [("content-type", "application/json"), ("content-length", str(length)), *more]
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)

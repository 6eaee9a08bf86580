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

MAX_BODY_BYTES = 64 * 1024
READ_BYTES = 16 * 1024
MAX_CACHED_HEADS = 512
END_OF_MESSAGE = h11.EndOfMessage()


class Request:
    """A request, received completely."""

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
    """Serves one listening address. An error on a connection ends that connection only.

    At the limit of open connections, the connection that has been idle longest is evicted for a
    new one; the new one is refused when every connection is in the middle of a request. Workers'
    connections are evicted first while they hold more than their share. Above a high-water mark
    they are closed after each response, so that workers don't evict each other between reports.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        max_connections: int,
        stall_timeout_s: float,
        is_from_worker: RequestPredicate = _is_never_from_worker,
    ) -> None:
        self.address = address
        self.handler = handler
        self.stall_timeout_s = stall_timeout_s
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
            # Refuse at once, so that sockets remain for connections to workers and peers.
            self.refused += 1
            await client.close()
            return
        connection = Connection(client)
        self.connections.add(connection)
        connection.task = await curio.spawn(self._serve_connection, connection, daemon=True)

    async def _evict_idle(self) -> bool:
        """Evict an idle connection and wait until it is closed; False when none is idle."""
        victim = self.connections.pop_victim()
        if victim is None or victim.task is None:
            return False
        self.evicted += 1
        # Wake the task with a shutdown, without cancelling it: it then closes its socket itself. A
        # socket that is closed while a task waits for it stays registered in curio.
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
        except Exception:  # an unexpected error ends this connection only
            log.exception("request handler failed")
        finally:
            self.connections.remove(connection)

    async def _serve_requests(self, connection: Connection) -> None:
        protocol, client = h11.Connection(h11.SERVER), connection.socket
        while True:
            try:
                request = await self._read_request(protocol, connection)
            except h11.RemoteProtocolError as error:
                if protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    body = b'{"error":"malformed request"}'
                    await self._send(
                        protocol, client, Response(error.error_status_hint, body), True
                    )
                return
            if request is None:
                return
            if isinstance(request, Response):  # refused before its handler is called
                await self._send(protocol, client, request, True)
                return
            self.connections.classify(connection, self.is_from_worker(request))
            response = await self.handler(request)
            await self._send(protocol, client, response, self._closes_after_response(connection))
            if protocol.our_state is h11.MUST_CLOSE or protocol.their_state is h11.MUST_CLOSE:
                return
            protocol.start_next_cycle()

    def _closes_after_response(self, connection: Connection) -> bool:
        """Whether to close a connection after its response to leave capacity for others.

        A worker that is evicted between its reports treats that as a failure and reports to another
        controller; one that receives `Connection: close` connects to this controller again.
        """
        if not (connection.from_worker and self.connections.is_above_high_water()):
            return False
        self.closed_after_response += 1
        return True

    async def _read_request(
        self, protocol: h11.Connection, connection: Connection
    ) -> Request | Response | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                if head is None and not protocol.trailing_data[0]:
                    protocol.receive_data(await self._receive_first(connection))
                else:
                    protocol.receive_data(await self._receive_more(protocol, connection.socket))
            elif isinstance(event, h11.Request):
                head = event
                length = dict(event.headers).get(b"content-length", b"0")
                if int(length) > MAX_BODY_BYTES:
                    return Response(413, b'{"error":"body over 64 KiB"}')
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    return Response(413, b'{"error":"body over 64 KiB"}')
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                target = head.target.decode("ascii", "replace")
                return Request(head.method.decode("ascii"), target, bytes(body))
            else:
                return None

    async def _receive_first(self, connection: Connection) -> bytes:
        """Receive the first bytes of the next request; none at the connection's end or eviction."""
        self.connections.mark_idle(connection)
        data: bytes = await connection.socket.recv(READ_BYTES)
        self.connections.mark_busy(connection)
        return b"" if connection.evicted else data

    async def _receive_more(self, protocol: h11.Connection, client: curio.io.Socket) -> bytes:
        """Receive more of a request that has begun.

        The time-out prevents an incomplete request from holding a socket for ever.
        """
        async with curio.timeout_after(self.stall_timeout_s):
            if protocol.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(status_code=100, headers=[])
                await client.sendall(protocol.send(continue_response) or b"")
            data: bytes = await client.recv(READ_BYTES)
        return data

    async def _send(
        self, protocol: h11.Connection, client: curio.io.Socket, response: Response, close: bool
    ) -> None:
        head = _response_head(response.status, len(response.body), response.headers, close)
        out = protocol.send(head) or b""
        out += protocol.send(h11.Data(data=response.body)) or b""
        out += protocol.send(END_OF_MESSAGE) or b""
        async with curio.timeout_after(self.stall_timeout_s):
            await client.sendall(out)


@functools.lru_cache(MAX_CACHED_HEADS)
def _response_head(
    status: int, length: int, extra_headers: tuple[tuple[str, str], ...], close: bool
) -> h11.Response:
    """Return the head of a response.

    Cached because there are few different heads, and h11's validation of a new one took a sixth
    of the processor time of a report.
    """
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(length)),
        *extra_headers,
    ]
    if close:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)

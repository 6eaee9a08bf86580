"""A pooled HTTP/1.1 client on curio and h11."""

from collections.abc import Iterable

import curio
import curio.io
import h11
from curio import socket

READ_BYTES = 64 * 1024


class NoResponseError(Exception):
    """No response came: the request may have been executed, or may be executed later."""


class ConnectionFailedError(NoResponseError):
    """The connection was never made, so nothing was executed."""


class Reply:
    """A response. `retry_after` is its Retry-After header in seconds, or None."""

    __slots__ = ("body", "retry_after", "status")

    def __init__(self, status: int, body: bytes, retry_after: float | None) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after


class HttpClient:
    """Keeps up to `max_idle` idle connections per address; never more than `max_open` in all."""

    def __init__(self, max_idle: int = 4, max_open: int = 200) -> None:
        self.max_idle = max_idle
        self.max_open = max_open
        self.open = 0
        self.idle: dict[str, list[_Connection]] = {}

    async def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Reply:
        """Send one request and return the response.

        Raises ConnectionFailedError when no connection was made, and NoResponseError when no
        response came within `timeout_s` or the connection failed.
        """
        connection: _Connection | None = None
        completed = False
        try:
            async with curio.timeout_after(timeout_s):
                connection = self._pop_idle(address) or await self._open(address)
                reply = await connection.exchange(address, method, path, body)
            completed = True
        except (OSError, curio.TaskTimeout, h11.ProtocolError, ValueError) as error:
            failure = ConnectionFailedError if connection is None else NoResponseError
            raise failure(repr(error)) from error
        finally:
            if connection is not None and not completed:
                self._discard(connection)
        await self._release(address, connection)
        return reply

    def _pop_idle(self, address: str) -> "_Connection | None":
        pool = self.idle.get(address)
        return pool.pop() if pool else None

    async def _open(self, address: str) -> "_Connection":
        if self.open >= self.max_open and not self._discard_idle():
            raise ConnectionFailedError("too many open connections")
        self.open += 1
        try:
            return _Connection(await connect(address))
        except BaseException:  # a time-out or cancellation too
            self.open -= 1
            raise

    async def _release(self, address: str, connection: "_Connection") -> None:
        """Keep a connection whose response was received for the next request, or close it."""
        if connection.start_next_cycle():
            pool = self.idle.setdefault(address, [])
            if len(pool) < self.max_idle:
                pool.append(connection)
                return
        self.open -= 1
        await connection.sock.close()

    def _discard(self, connection: "_Connection") -> None:
        self.open -= 1
        connection.sock._socket.close()

    def _discard_idle(self) -> bool:
        """Close an idle connection of the address known longest; False when none is idle.

        Without this, idle connections to machines that no longer exist would fill the limit, and
        then not even the state service could be called.
        """
        for pool in self.idle.values():
            if pool:
                self._discard(pool.pop(0))
                return True
        return False


class _Connection:
    """An open connection and its HTTP/1.1 state."""

    __slots__ = ("protocol", "sock")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.protocol = h11.Connection(h11.CLIENT)

    async def exchange(self, host: str, method: str, path: str, body: bytes | None) -> Reply:
        """Send a request and receive its response."""
        await self.sock.sendall(self._encode_request(host, method, path, body))
        return await self._receive_reply()

    def start_next_cycle(self) -> bool:
        """Prepare for another request; False when the connection can't be reused."""
        if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
            return False
        self.protocol.start_next_cycle()
        return True

    def _encode_request(self, host: str, method: str, path: str, body: bytes | None) -> bytes:
        headers = [("host", host)]
        if body is not None:
            headers += [("content-type", "application/json"), ("content-length", str(len(body)))]
        request = h11.Request(method=method, target=path, headers=headers)
        encoded = self.protocol.send(request) or b""
        if body is not None:
            encoded += self.protocol.send(h11.Data(data=body)) or b""
        return encoded + (self.protocol.send(h11.EndOfMessage()) or b"")

    async def _receive_reply(self) -> Reply:
        status, retry_after, body = 0, None, bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.sock.recv(READ_BYTES))
            elif isinstance(event, h11.Response):
                status, retry_after = event.status_code, _retry_after(event.headers)
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Reply(status, bytes(body), retry_after)
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("the other side closed")


def _retry_after(headers: Iterable[tuple[bytes, bytes]]) -> float | None:
    """Return the value of the last Retry-After header in seconds; dates are ignored."""
    retry_after = None
    for name, value in headers:
        if name == b"retry-after" and value.replace(b".", b"", 1).isdigit():
            retry_after = float(value)
    return retry_after


async def connect(address: str) -> curio.io.Socket:
    """Connect to HOST:PORT. Raises OSError, or ValueError for an invalid port."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect((host, int(port)))
    except BaseException:  # a time-out or cancellation too
        sock._socket.close()
        raise
    return sock

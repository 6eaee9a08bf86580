"""A pooled HTTP/1.1 client on curio and h11."""

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
    __slots__ = ("body", "retry_after", "status")

    def __init__(self, status: int, body: bytes, retry_after: float | None) -> None:
        self.status = status
        self.body = body
        self.retry_after = retry_after


class HttpClient:
    """Keeps a few idle connections per address; never more than `max_open` in all."""

    def __init__(self, max_idle: int = 4, max_open: int = 200) -> None:
        self.max_idle = max_idle
        self.max_open = max_open
        self.open = 0
        self.idle: dict[str, list[tuple[curio.io.Socket, h11.Connection]]] = {}

    async def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Reply:
        """One exchange. Raises NotSent or NoAnswer when no response came in time."""
        sock: curio.io.Socket | None = None
        slot = done = False
        try:
            async with curio.timeout_after(timeout_s):
                pool = self.idle.get(address)
                if pool:
                    slot = True
                    sock, conn = pool.pop()
                else:
                    if self.open >= self.max_open and not self._drop_idle():
                        raise ConnectionFailedError("too many open connections")
                    self.open += 1
                    slot = True
                    sock, conn = await connect(address), h11.Connection(h11.CLIENT)
                reply = await _exchange(sock, conn, address, method, path, body)
            done = True
        except (OSError, curio.TaskTimeout, h11.ProtocolError, ValueError) as error:
            raise (ConnectionFailedError if sock is None else NoResponseError)(
                repr(error)
            ) from error
        finally:
            if slot and not done:
                self.open -= 1
                if sock is not None:
                    sock._socket.close()
        if conn.our_state is h11.DONE and conn.their_state is h11.DONE:
            conn.start_next_cycle()
            keep = self.idle.setdefault(address, [])
            if len(keep) < self.max_idle:
                keep.append((sock, conn))
                return reply
        self.open -= 1
        await sock.close()
        return reply

    def _drop_idle(self) -> bool:
        """Make room by closing an idle connection, of the address longest known first.

        Machines come and go: without this the connections to those long gone would fill
        the limit, and even the state service could not be called any more.
        """
        for pool in self.idle.values():
            if pool:
                sock, _ = pool.pop(0)
                sock._socket.close()
                self.open -= 1
                return True
        return False


async def connect(address: str) -> curio.io.Socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect((host, int(port)))
    except BaseException:
        sock._socket.close()
        raise
    return sock


async def _exchange(
    sock: curio.io.Socket,
    conn: h11.Connection,
    address: str,
    method: str,
    path: str,
    body: bytes | None,
) -> Reply:
    headers = [("host", address)]
    if body is not None:
        headers += [("content-type", "application/json"), ("content-length", str(len(body)))]
    out = conn.send(h11.Request(method=method, target=path, headers=headers)) or b""
    if body is not None:
        out += conn.send(h11.Data(data=body)) or b""
    out += conn.send(h11.EndOfMessage()) or b""
    await sock.sendall(out)
    status, retry_after, data = 0, None, bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await sock.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            for name, value in event.headers:
                if name == b"retry-after" and value.replace(b".", b"", 1).isdigit():
                    retry_after = float(value)
        elif isinstance(event, h11.Data):
            data += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, bytes(data), retry_after)
        elif not isinstance(event, h11.InformationalResponse):
            raise ConnectionError("the other side closed")

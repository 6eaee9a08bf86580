"""Tests of the HTTP server at and below its connection limit, on loopback."""

import socket as plain
from collections.abc import Awaitable, Callable

import curio
import curio.io
import pytest

from starlingdeck.controller.controller import Controller
from starlingdeck.controller.metrics_report import connection_line
from starlingdeck.protocol import api
from starlingdeck.transport.client import connect
from starlingdeck.transport.connections import Connection, ConnectionTable
from starlingdeck.transport.listener import listen
from starlingdeck.transport.server import HttpServer, Request, Response
from tests.support.builders import Clock, make_context
from tests.support.ports import free_port

REPORT = "/report"
STATUS = "/status"
BLOCKING = "/blocking"
BLOCKING_REPORT = f"{REPORT}{BLOCKING}"
CLOSE = b"connection: close"
SETTLE_S = 0.05
TIMEOUT_S = 10.0


class Harness:
    """A server with a small connection limit, and clients that keep their connections open."""

    def __init__(self, limit: int) -> None:
        self.address = ("127.0.0.1", free_port())
        self.release = curio.Event()
        self.paths: list[str] = []  # of the requests that were executed
        self.server = HttpServer(
            self.address, self.handle, limit, 5.0, lambda request: request.path.startswith(REPORT)
        )

    async def handle(self, request: Request) -> Response:
        self.paths.append(request.path)
        if request.path.endswith(BLOCKING):
            await self.release.wait()
        return Response(200)

    async def connect(self) -> curio.io.Socket:
        sock = await connect(f"{self.address[0]}:{self.address[1]}")
        await curio.sleep(0.002)  # the server accepts meanwhile, so that the order is known
        return sock

    async def send(self, sock: curio.io.Socket, path: str) -> None:
        await sock.sendall(f"GET {path} HTTP/1.1\r\nhost: a\r\n\r\n".encode())

    async def receive(self, sock: curio.io.Socket) -> bytes:
        """Receive a response; empty when the server closed the connection instead."""
        response = b""
        while not response.endswith(b"\r\n\r\n{}"):
            try:
                data = await sock.recv(4096)
            except OSError:
                return b""
            if not data:
                return b""
            response += data
        return response.lower()

    async def request(self, sock: curio.io.Socket, path: str) -> bytes:
        try:
            await self.send(sock, path)
        except OSError:
            return b""
        return await self.receive(sock)

    async def connect_and_request(self, path: str) -> curio.io.Socket:
        """Return a connection that is idle after its first request."""
        sock = await self.connect()
        assert (await self.request(sock, path)).startswith(b"http/1.1 200")
        return sock

    def counters(self) -> tuple[int, int, int]:
        """Return how many connections were refused, evicted and closed after a response."""
        return self.server.refused, self.server.evicted, self.server.closed_after_response


def run(limit: int, scenario: Callable[[Harness], Awaitable[None]]) -> None:
    async def main() -> None:
        harness = Harness(limit)
        task = await curio.spawn(harness.server.run, daemon=True)
        await curio.sleep(0)
        async with curio.timeout_after(TIMEOUT_S):
            await scenario(harness)
        await task.cancel()

    curio.run(main)


def test_server_at_its_limit_evicts_the_connection_idle_longest_for_a_new_one() -> None:
    async def scenario(harness: Harness) -> None:
        first, second, third = [await harness.connect_and_request(STATUS) for _ in range(3)]
        assert await harness.request(first, STATUS)
        fourth = await harness.connect_and_request(STATUS)
        assert await second.recv(1) == b""
        assert harness.counters() == (0, 1, 0)
        for sock in (first, third, fourth):
            assert (await harness.request(sock, STATUS)).startswith(b"http/1.1 200")
        assert harness.server.connections.open == 3

    run(3, scenario)


def test_health_probe_is_answered_while_silent_connections_fill_the_limit() -> None:
    async def scenario(harness: Harness) -> None:
        silent = [await harness.connect() for _ in range(4)]
        probe = await harness.connect_and_request("/up")
        assert await silent[0].recv(1) == b""
        assert harness.counters() == (0, 1, 0)
        assert await harness.request(probe, "/up")

    run(4, scenario)


def test_connection_within_a_request_is_never_evicted() -> None:
    """Neither while its request is being executed nor when only half of it has arrived."""

    async def scenario(harness: Harness) -> None:
        executing, half_sent = await harness.connect(), await harness.connect()
        await harness.send(executing, BLOCKING)
        await half_sent.sendall(b"GET /status HTTP/1.1\r\nhost:")
        await curio.sleep(SETTLE_S)
        for refused in range(1, 4):
            assert await harness.request(await harness.connect(), STATUS) == b""
            assert harness.counters() == (refused, 0, 0)
        await harness.release.set()
        await half_sent.sendall(b" a\r\n\r\n")
        for sock in (executing, half_sent):
            assert (await harness.receive(sock)).startswith(b"http/1.1 200")
        await curio.sleep(SETTLE_S)
        assert await harness.request(await harness.connect(), STATUS)
        assert harness.counters() == (3, 1, 0)

    run(2, scenario)


def test_connection_with_an_unread_request_is_not_evicted() -> None:
    async def scenario() -> None:
        table, clients, connections = ConnectionTable(3), [], []
        for _ in range(3):
            client, accepted = plain.socketpair()
            clients.append(client)
            connections.append(Connection(curio.io.Socket(accepted)))
            table.add(connections[-1])
            table.mark_idle(connections[-1])
        clients[0].send(b"GET")
        clients[1].close()  # it ended without another request, so it may be evicted
        assert table.pop_victim() is connections[1]
        assert table.pop_victim() is connections[2]
        assert table.pop_victim() is None
        for connection in connections:
            table.remove(connection)
            await connection.socket.close()
        assert (table.open, table.workers) == (0, 0)
        for client in clients:
            client.close()

    curio.run(scenario)


def test_workers_above_their_share_are_evicted_before_users_idle_for_longer() -> None:
    async def scenario(harness: Harness) -> None:
        users = [await harness.connect_and_request(STATUS)]
        workers = [await harness.connect_and_request(REPORT) for _ in range(17)]
        users += [await harness.connect_and_request(STATUS) for _ in range(2)]
        connections = harness.server.connections
        assert (connections.open, connections.workers, connections.max_workers) == (20, 17, 16)
        users.append(await harness.connect_and_request(STATUS))
        assert await workers[0].recv(1) == b""
        assert harness.counters() == (0, 1, 0)
        for sock in users:
            assert await harness.request(sock, STATUS)
        # Workers are down to their share: from here on the connection idle longest is evicted,
        # whether a worker's or a user's.
        await harness.request(workers[1], STATUS)  # counts as a user's connection from now on
        assert connections.workers == 15
        users.append(await harness.connect_and_request(STATUS))
        assert await workers[2].recv(1) == b""
        assert harness.counters() == (0, 2, 0)

    run(20, scenario)


def test_workers_within_their_share_the_connection_idle_longest_is_evicted() -> None:
    async def scenario(harness: Harness) -> None:
        user = await harness.connect_and_request(STATUS)
        worker = await harness.connect_and_request(REPORT)
        others = [await harness.connect_and_request(STATUS) for _ in range(9)]
        assert await user.recv(1) == b""
        others.append(await harness.connect_and_request(STATUS))
        assert await worker.recv(1) == b""
        assert harness.counters() == (0, 2, 0)
        assert [await harness.request(sock, STATUS) != b"" for sock in others] == [True] * 10

    run(10, scenario)


def test_request_that_arrives_while_its_connection_is_evicted_is_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If it were executed without an answer, the client could not know its outcome."""

    async def scenario(harness: Harness) -> None:
        idle = await harness.connect_and_request(STATUS)

        def has_unread_data(_: Connection) -> bool:
            idle._socket.send(b"GET /late HTTP/1.1\r\nhost: a\r\n\r\n")
            return False

        monkeypatch.setattr(Connection, "has_unread_data", has_unread_data)
        await harness.connect_and_request(STATUS)
        assert await harness.receive(idle) == b""
        assert harness.paths == [STATUS, STATUS]
        assert harness.counters() == (0, 1, 0)

    run(1, scenario)


def test_user_is_served_when_workers_above_their_share_are_all_within_requests() -> None:
    """A user's idle connection is then evicted, because otherwise all new ones would be refused."""

    async def scenario(harness: Harness) -> None:
        workers = [await harness.connect_and_request(REPORT) for _ in range(9)]
        user = await harness.connect_and_request(STATUS)
        for sock in workers:
            await harness.send(sock, BLOCKING_REPORT)
        await curio.sleep(SETTLE_S)
        assert harness.server.connections.workers == 9
        other = await harness.connect_and_request(STATUS)
        assert await user.recv(1) == b""
        assert harness.counters() == (0, 1, 0)
        await harness.release.set()
        for sock in workers:
            assert await harness.receive(sock)
        assert await harness.request(other, STATUS)

    run(10, scenario)


def test_report_above_the_high_water_mark_is_answered_with_connection_close() -> None:
    async def scenario(harness: Harness) -> None:
        kept = [await harness.connect_and_request(STATUS) for _ in range(9)]
        worker = await harness.connect()
        response = await harness.request(worker, REPORT)
        assert response.startswith(b"http/1.1 200")
        assert CLOSE in response
        assert await worker.recv(1) == b""
        assert harness.counters() == (0, 0, 1)
        user = await harness.connect()
        for _ in range(2):  # a user's connection stays open
            assert CLOSE not in await harness.request(user, STATUS)
        assert harness.server.connections.open == 10
        assert await harness.request(kept[0], STATUS)
        assert harness.counters() == (0, 0, 1)

    run(10, scenario)


def test_reports_up_to_the_high_water_mark_keep_their_connections() -> None:
    async def scenario(harness: Harness) -> None:
        socks = [await harness.connect_and_request(REPORT) for _ in range(9)]
        for _ in range(3):
            for sock in socks:
                response = await harness.request(sock, REPORT)
                assert response.startswith(b"http/1.1 200")
                assert CLOSE not in response
        assert harness.counters() == (0, 0, 0)
        connections = harness.server.connections
        assert (connections.open, connections.workers) == (9, 9)

    run(10, scenario)


def test_workers_beyond_the_limit_do_not_evict_each_other() -> None:
    """A worker whose connection is evicted between reports moves to another controller."""

    async def scenario(harness: Harness) -> None:
        user = await harness.connect_and_request(STATUS)
        kept: dict[int, curio.io.Socket] = {}
        for report in range(5):
            for worker in range(30):
                sock = kept.pop(worker, None) or await harness.connect()
                response = await harness.request(sock, REPORT)
                assert response.startswith(b"http/1.1 200")
                if CLOSE not in response:
                    kept[worker] = sock
            assert await harness.request(user, STATUS)
            assert (harness.server.refused, harness.server.evicted) == (0, 0), report
        assert harness.server.closed_after_response == 5 * (30 - 8)

    run(10, scenario)


def test_file_descriptors_of_evicted_sockets_stay_usable() -> None:
    async def scenario(harness: Harness) -> None:
        socks = [await harness.connect_and_request(STATUS) for _ in range(200)]
        assert harness.counters() == (0, 198, 0)
        assert harness.server.connections.open == 2
        for sock in socks[:198]:
            assert await sock.recv(1) == b""
            await sock.close()
        for sock in socks[198:]:
            assert await harness.request(sock, STATUS)

    run(2, scenario)


def test_controller_counts_connections_of_worker_reports_as_workers() -> None:
    server = Controller(make_context(Clock())).http_server
    assert server.is_from_worker(Request("POST", api.REPORT, b"{}"))
    assert server.is_from_worker(Request("POST", f"{api.REPORT}?again=1", b"{}"))
    for path in (api.HEALTH, api.JOBS, f"{api.JOBS}/j-1"):
        assert not server.is_from_worker(Request("GET", path, b""))
    server.refused, server.evicted, server.closed_after_response = 1, 2, 3
    assert connection_line(server) == (
        "connections: open=0 limit=300 workers=0 refused=1 evicted=2 closed_after_response=3"
    )


def test_many_simultaneous_connections_wait_to_be_accepted() -> None:
    """Linux drops connection attempts beyond the accept queue: with a queue of 256, not all 600
    connections were made within 10 s."""

    async def scenario() -> int:
        sock = listen(("127.0.0.1", 0))
        host, port = sock._socket.getsockname()
        clients = []
        async with curio.ignore_after(TIMEOUT_S):
            for _ in range(600):
                clients.append(await connect(f"{host}:{port}"))
        for client in (*clients, sock):
            await client.close()
        return len(clients)

    assert curio.run(scenario) == 600

"""The pooled client and the links between controllers, on loopback."""

import socket as plain
from time import monotonic as clock

import curio
import curio.io
import pytest
from curio import socket

from starlingdeck.cluster.peers import Peers, PeerUnavailableError
from starlingdeck.controller.controller import Controller
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import (
    RequestBudget,
    StateClient,
    TransactionConflictError,
    delete_change,
)
from starlingdeck.transport.client import HttpClient, Reply
from starlingdeck.transport.frames import MAX_FRAME_BYTES, FrameLink, LinkBusyError, dial
from starlingdeck.transport.listener import listen
from starlingdeck.transport.server import HttpServer, Request, Response
from tests.support.builders import Clock, make_context
from tests.support.ports import free_port


async def talk(servers: int, max_open: int) -> tuple[list[int], int]:
    async def answer(request: Request) -> Response:
        return Response(200)

    client, statuses = HttpClient(max_open=max_open), []
    for _ in range(servers):
        port = free_port()
        server = await curio.spawn(HttpServer(("127.0.0.1", port), answer, 9, 5.0).run, daemon=True)
        await curio.sleep(0)
        reply = await client.call(f"127.0.0.1:{port}", "GET", "/", None, 5.0)
        statuses.append(reply.status)
        await server.cancel()
    return statuses, client.open


def test_idle_connections_to_old_addresses_make_room_for_new_ones() -> None:
    """They were never closed: once enough machines had come and gone, every call failed."""
    assert curio.run(talk, 5, 2) == ([200] * 5, 2)


def test_a_call_ends_with_its_link() -> None:
    """Submissions passed on to a controller that crashed waited 1 s for nothing."""
    controller = Controller(make_context(Clock()))

    async def cut() -> str:
        crash = curio.Event()

        async def receive() -> bytes:
            await crash.wait()
            raise ConnectionError("reset")

        async def send(payload: bytes, timeout_s: float) -> None:
            await crash.set()

        link = FrameLink(None)
        link.receive, link.send = receive, send  # type: ignore[method-assign]
        controller.peers.links[1] = link
        reader = await curio.spawn(controller.peers._read_replies, 1, link)
        try:
            await controller.peers.call(1, pb.Envelope(forward_request=pb.ForwardRequest()), 1.0)
        except PeerUnavailableError as error:
            return str(error)
        finally:
            await reader.join()
        return ""

    assert curio.run(cut) == "the link to 1 ended"


def test_a_failed_condition_differs_from_an_unknown_outcome() -> None:
    """A 409 was taken for an unknown outcome: every job of the transaction was read again, and a
    submission that was known already got 503."""

    class Http:
        async def call(self, *args: object) -> Reply:
            return Reply(409, b'{"failed":["a/b"],"epoch":431}', None)

    clock = Clock()
    limit = RequestBudget(100.0, 100.0, 1, clock.now)
    client = StateClient(Http(), "127.0.0.1:1", limit, clock.now)  # type: ignore[arg-type]
    with pytest.raises(TransactionConflictError) as caught:
        curio.run(client.transact, {"a/b": 3}, [delete_change("a/b")])
    assert caught.value.failed == ["a/b"]


async def silent_listener() -> tuple[curio.io.Socket, str]:
    sock = listen(("127.0.0.1", 0))
    host, port = sock._socket.getsockname()
    return sock, f"{host}:{port}"


async def usable(number: int) -> bool:
    """Whether a new socket with that file number can be waited for."""
    ours, theirs = plain.socketpair()
    others: list[tuple[plain.socket, plain.socket]] = []
    while ours.fileno() != number and len(others) < 20:
        others.append((ours, theirs))
        ours, theirs = plain.socketpair()
    theirs.send(b"x")
    ours.setblocking(False)
    async with curio.timeout_after(2.0), curio.io.Socket(ours) as sock:
        await sock.recv(1)
        await curio.spawn(later, theirs, daemon=True)
        found = bool(await sock.recv(1)) and sock.fileno() == number
    for pair in (*others, (theirs,)):
        for one in pair:
            one.close()
    return found


async def later(sock: plain.socket) -> None:
    await curio.sleep(0.05)
    sock.send(b"y")


def test_a_link_that_fails_to_send_leaves_no_task_waiting_for_its_socket() -> None:
    """After a freeze a send failed; the link was closed under the task that read from it. The next
    connection with the same file number found that task still registered, and the process ended."""

    async def drive() -> bool:
        sock, address = await silent_listener()
        numbers = []

        async def failing(node: int, envelope: pb.Envelope) -> None:
            numbers.append(peers.links[node].sock.fileno())
            await curio.sleep(0.05)  # the reader waits by now
            raise PeerUnavailableError("no time left")

        async def nothing(*_: object) -> None:
            pass

        peers = Peers(make_context(Clock()), nothing, pb.Gossip, nothing)  # type: ignore[arg-type]
        peers.send = failing  # type: ignore[method-assign]
        task = await curio.spawn(peers._keep_link, 1, address, daemon=True)
        await curio.sleep(0.2)
        found = await usable(numbers[0])
        await task.cancel()
        await sock.close()
        return found

    assert curio.run(drive)


def test_a_link_is_closed_when_all_its_senders_have_ended() -> None:
    async def drive() -> BaseException | None:
        sock, address = await silent_listener()
        link = await dial(address, 1.0)
        sender = await curio.spawn(link.send, bytes(MAX_FRAME_BYTES * 2), 0.3, daemon=True)
        await curio.sleep(0.1)  # nothing reads: it waits
        await link.close()
        with pytest.raises(curio.TaskError) as ended:
            await sender.join()
        with pytest.raises(ConnectionError):
            await link.send(b"late", 0.1)
        await sock.close()
        cause: BaseException | None = ended.value.__cause__
        return cause

    # Not of a socket that was closed under it.
    assert isinstance(curio.run(drive), curio.TaskTimeout)


SMALL_BUFFER = 32 * 1024


async def slow_link(pause_s: float) -> tuple[FrameLink, FrameLink]:
    """A link and its other side, with little kept in the kernel between them."""
    sock = listen(("127.0.0.1", 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    host, port = sock._socket.getsockname()
    link = await dial(f"{host}:{port}", 1.0)
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    client, _ = await sock.accept()
    await sock.close()
    other = FrameLink(client)
    take = client.recv

    async def recv(limit: int) -> bytes:
        await curio.sleep(pause_s)
        data: bytes = await take(limit)
        return data

    client.recv = recv
    return link, other


def test_a_large_frame_on_a_slow_link_has_its_time_while_it_makes_progress() -> None:
    """The time-out was for all that was queued: on a slow link a large snapshot never arrived.
    A sender that waits for the link meanwhile gets LinkBusyError, and the link stays open."""

    async def drive() -> None:
        link, other = await slow_link(0.02)
        drain = await curio.spawn(link.drain, 0.2, daemon=True)
        await link.enqueue(bytes(2_000_000))
        await curio.sleep(0.05)
        with pytest.raises(LinkBusyError):
            await link.send(b"late", 0.05)
        began = clock()
        async with curio.timeout_after(20.0):
            assert len(await other.receive()) == 2_000_000
        assert clock() - began > 0.2
        assert not link.closed
        await link.send(b"later", 0.2)
        assert await other.receive() == b"later"
        await drain.cancel()
        await link.close()
        await other.close()

    curio.run(drive)

"""Tests of the pooled HTTP client and of the links between controllers, on loopback."""

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


async def call_servers_in_turn(servers: int, max_open: int) -> tuple[list[int], int]:
    """Call servers that start and stop one after another; return statuses and open connections."""

    async def handle(request: Request) -> Response:
        return Response(200)

    client, statuses = HttpClient(max_open=max_open), []
    for _ in range(servers):
        port = free_port()
        server = await curio.spawn(HttpServer(("127.0.0.1", port), handle, 9, 5.0).run, daemon=True)
        await curio.sleep(0)
        reply = await client.call(f"127.0.0.1:{port}", "GET", "/", None, 5.0)
        statuses.append(reply.status)
        await server.cancel()
    return statuses, client.open


def test_client_at_its_limit_closes_idle_connections_to_former_addresses() -> None:
    """They were never closed: after enough machines had been replaced, every call failed."""
    assert curio.run(call_servers_in_turn, 5, 2) == ([200] * 5, 2)


def test_call_whose_link_ends_fails_at_once() -> None:
    """Submissions forwarded to a controller that crashed waited for the time-out of 1 s."""
    controller = Controller(make_context(Clock()))

    async def call_on_crashing_link() -> str:
        crashed = curio.Event()

        async def receive() -> bytes:
            await crashed.wait()
            raise ConnectionError("reset")

        async def send(payload: bytes, timeout_s: float) -> None:
            await crashed.set()

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

    assert curio.run(call_on_crashing_link) == "the link to 1 ended"


def test_transaction_answered_with_409_raises_a_conflict_naming_the_failed_keys() -> None:
    """A 409 was treated as an unknown outcome: every job of the transaction was read again, and a
    submission of a job that already existed got 503."""

    class ConflictingHttp:
        async def call(self, *args: object) -> Reply:
            return Reply(409, b'{"failed":["a/b"],"epoch":431}', None)

    clock = Clock()
    limit = RequestBudget(100.0, 100.0, 1, clock.now)
    client = StateClient(ConflictingHttp(), "127.0.0.1:1", limit, clock.now)  # type: ignore[arg-type]
    with pytest.raises(TransactionConflictError) as caught:
        curio.run(client.transact, {"a/b": 3}, [delete_change("a/b")])
    assert caught.value.failed == ["a/b"]


async def silent_listener() -> tuple[curio.io.Socket, str]:
    """A listening socket that accepts nothing, and its address."""
    sock = listen(("127.0.0.1", 0))
    host, port = sock._socket.getsockname()
    return sock, f"{host}:{port}"


async def is_usable(descriptor: int) -> bool:
    """Whether a task can wait for a new socket with that file descriptor."""
    ours, theirs = plain.socketpair()
    others: list[tuple[plain.socket, plain.socket]] = []
    while ours.fileno() != descriptor and len(others) < 20:
        others.append((ours, theirs))
        ours, theirs = plain.socketpair()
    theirs.send(b"x")
    ours.setblocking(False)
    async with curio.timeout_after(2.0), curio.io.Socket(ours) as sock:
        await sock.recv(1)
        await curio.spawn(send_later, theirs, daemon=True)
        usable = bool(await sock.recv(1)) and sock.fileno() == descriptor
    for pair in (*others, (theirs,)):
        for end in pair:
            end.close()
    return usable


async def send_later(sock: plain.socket) -> None:
    await curio.sleep(0.05)
    sock.send(b"y")


def test_link_whose_send_fails_leaves_no_task_waiting_for_its_socket() -> None:
    """After the process had been suspended, a send failed and the link was closed while a task was
    reading from it. That task stayed registered for the file descriptor, and the next connection
    with the same descriptor ended the process."""

    async def fail_and_reuse() -> bool:
        sock, address = await silent_listener()
        descriptors = []

        async def fail_to_send(node: int, envelope: pb.Envelope) -> None:
            descriptors.append(peers.links[node].sock.fileno())
            await curio.sleep(0.05)  # meanwhile the reading task starts to wait
            raise PeerUnavailableError("no time left")

        async def do_nothing(*_: object) -> None:
            pass

        peers = Peers(make_context(Clock()), do_nothing, pb.Gossip, do_nothing)  # type: ignore[arg-type]
        peers.send = fail_to_send  # type: ignore[method-assign]
        link_task = await curio.spawn(peers._keep_link, 1, address, daemon=True)
        await curio.sleep(0.2)
        usable = await is_usable(descriptors[0])
        await link_task.cancel()
        await sock.close()
        return usable

    assert curio.run(fail_and_reuse)


def test_link_close_waits_until_its_senders_have_ended() -> None:
    async def close_while_sending() -> BaseException | None:
        sock, address = await silent_listener()
        link = await dial(address, 1.0)
        sender = await curio.spawn(link.send, bytes(MAX_FRAME_BYTES * 2), 0.3, daemon=True)
        await curio.sleep(0.1)  # nothing is received: the sender waits
        await link.close()
        with pytest.raises(curio.TaskError) as ended:
            await sender.join()
        with pytest.raises(ConnectionError):
            await link.send(b"late", 0.1)
        await sock.close()
        cause: BaseException | None = ended.value.__cause__
        return cause

    # The sender ended by its time-out, not because the socket was closed while it was sending.
    assert isinstance(curio.run(close_while_sending), curio.TaskTimeout)


SMALL_BUFFER_BYTES = 32 * 1024


async def slow_link(pause_s: float) -> tuple[FrameLink, FrameLink]:
    """A link and its other end, which pauses before each read; the kernel buffers little."""
    sock = listen(("127.0.0.1", 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    host, port = sock._socket.getsockname()
    link = await dial(f"{host}:{port}", 1.0)
    link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    client, _ = await sock.accept()
    await sock.close()
    other = FrameLink(client)
    original_recv = client.recv

    async def recv(max_bytes: int) -> bytes:
        await curio.sleep(pause_s)
        data: bytes = await original_recv(max_bytes)
        return data

    client.recv = recv
    return link, other


def test_large_frame_on_slow_link_is_not_timed_out_while_it_makes_progress() -> None:
    """The time-out applied to everything queued: on a slow link a large snapshot never arrived.
    A sender that waits for the link meanwhile gets LinkBusyError, and the link stays open."""

    async def send_large_frame() -> None:
        link, other = await slow_link(0.02)
        drain = await curio.spawn(link.drain, 0.2, daemon=True)
        await link.enqueue(bytes(2_000_000))
        await curio.sleep(0.05)
        with pytest.raises(LinkBusyError):
            await link.send(b"late", 0.05)
        started = clock()
        async with curio.timeout_after(20.0):
            assert len(await other.receive()) == 2_000_000
        assert clock() - started > 0.2
        assert not link.closed
        await link.send(b"later", 0.2)
        assert await other.receive() == b"later"
        await drain.cancel()
        await link.close()
        await other.close()

    curio.run(send_large_frame)

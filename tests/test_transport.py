"""The pooled client against a server on loopback."""

import curio
import pytest
from curio import socket

from starlingdeck.coordination.node import Node
from starlingdeck.coordination.peers import PeerDown
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import Conflict, StateClient, StateLimit, drop
from starlingdeck.transport.client import HttpClient, Reply
from starlingdeck.transport.frames import FrameLink
from starlingdeck.transport.server import HttpServer, Request, Response
from tests.build import Clock, make_world


async def talk(servers: int, max_open: int) -> tuple[list[int], int]:
    async def answer(request: Request) -> Response:
        return Response(200)

    client, statuses = HttpClient(max_open=max_open), []
    for _ in range(servers):
        probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
        await probe.close()
        server = await curio.spawn(HttpServer(("127.0.0.1", port), answer, 9, 5.0).run, daemon=True)
        await curio.sleep(0)
        reply = await client.call(f"127.0.0.1:{port}", "GET", "/", None, 5.0)
        statuses.append(reply.status)
        await server.cancel()
    return statuses, client.open


def test_idle_connections_to_old_addresses_make_room_for_new_ones() -> None:
    """They were never closed: after enough machines had come and gone, nobody could be called."""
    assert curio.run(talk, 5, 2) == ([200] * 5, 2)


def test_a_call_ends_with_its_link() -> None:
    """Submissions passed on to a controller that crashed waited 1 s for nothing."""
    node = Node(make_world(Clock()))

    async def cut() -> str:
        crash = curio.Event()

        async def receive() -> bytes:
            await crash.wait()
            raise ConnectionError("reset")

        async def send(payload: bytes, timeout_s: float) -> None:
            await crash.set()

        link = FrameLink(None)
        link.receive, link.send = receive, send  # type: ignore[method-assign]
        node.peers.links[1] = link
        reader = await curio.spawn(node.peers._read_replies, 1, link)
        try:
            await node.peers.call(1, pb.Envelope(forward=pb.Forward()), 1.0)
        except PeerDown as why:
            return str(why)
        finally:
            await reader.join()
        return ""

    assert curio.run(cut) == "the link to 1 ended"


def test_a_failed_condition_is_told_from_no_answer() -> None:
    """A 409 passed for a call of unknown fate: every job of the transaction was read anew, and
    a submission that was known already got 503."""

    class Http:
        async def call(self, *args: object) -> Reply:
            return Reply(409, b'{"failed":["a/b"],"epoch":431}', None)

    clock = Clock()
    limit = StateLimit(100.0, 100.0, 1, clock.now)
    client = StateClient(Http(), "127.0.0.1:1", limit, clock.now)  # type: ignore[arg-type]
    with pytest.raises(Conflict) as caught:
        curio.run(client.txn, {"a/b": 3}, [drop("a/b")])
    assert caught.value.failed == ["a/b"]

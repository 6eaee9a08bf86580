"""Messages between controllers: direct links, calls with replies, and a detour by keys."""

import base64
import binascii
import logging
import zlib
from collections.abc import Awaitable, Callable

import curio
from google.protobuf.message import DecodeError

from starlingdeck.context import World
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.frames import FrameLink, FrameServer, LinkBusy, dial

log = logging.getLogger(__name__)

Answer = Callable[[pb.Envelope], Awaitable[pb.Envelope | None]]


class PeerDown(Exception):
    """The peer can't be asked now, or did not reply in time."""


class PeerBusy(PeerDown):
    """Nothing was sent: a large message to the peer, still in progress, held the link."""


class Peers:
    def __init__(
        self,
        world: World,
        answer: Answer,
        hello: Callable[[], pb.Hello],
        again: Callable[[int, int], None],
    ) -> None:
        self.world = world
        self.answer = answer
        self.hello = hello
        self.again = again
        self.links: dict[int, FrameLink] = {}
        self.heard: dict[int, float] = {}
        self.calls: dict[int, tuple[curio.Event, list[pb.Envelope], int]] = {}
        self.next_call = 1

    def up(self, node: int) -> bool:
        if node == self.world.node:
            return True
        return (
            node in self.links
            and self.world.now() - self.heard.get(node, -1e9) < self.world.tuning.reply_wait_s
        )

    def down_for(self, node: int) -> float:
        return self.world.now() - self.heard.get(node, self.started)

    async def run(self, server: FrameServer) -> None:
        self.started = self.world.now()
        await curio.spawn(server.run, daemon=True)
        for node, (_, _, address) in enumerate(self.world.settings.members()):
            if node != self.world.node:
                await curio.spawn(self._keep_link, node, address, daemon=True)

    async def _keep_link(self, node: int, address: str) -> None:
        wait = self.world.tuning.reply_wait_s
        while True:
            link: FrameLink | None = None
            users: list[curio.Task] = []
            try:
                link = await dial(address, wait)
                self.links[node] = link
                users.append(await curio.spawn(self._read_replies, node, link, daemon=True))
                users.append(await curio.spawn(link.drain, wait, daemon=True))
                sent = self.world.now()
                while not link.closed:
                    try:
                        await self.send(node, pb.Envelope(hello=self.hello()))
                    except PeerBusy:
                        sent = self.world.now()  # a link that takes nothing ends by its drain
                    await curio.sleep(0.5)
                    if self.world.now() - max(sent, self.heard.get(node, 0.0)) > wait:
                        break
            except (OSError, curio.TaskTimeout, PeerDown) as fault:
                log.debug("peer %d: %r", node, fault)
            finally:
                if self.links.get(node) is link:
                    self.links.pop(node, None)
                for user in users:
                    await user.cancel()
                if link is not None:
                    await link.close()
            await curio.sleep(0.3 + 0.3 * self.world.rng.random())

    async def _read_replies(self, node: int, link: FrameLink) -> None:
        try:
            while True:
                envelope = pb.Envelope.FromString(await link.receive())
                self.heard[node] = self.world.now()
                if envelope.WhichOneof("body") == "again":
                    self.again(node, envelope.again.shard)
                waiting = self.calls.pop(envelope.call, None)
                if waiting is not None:
                    waiting[1].append(envelope)
                    await waiting[0].set()
        except (OSError, DecodeError) as fault:
            log.debug("link to %d ended: %r", node, fault)
        finally:
            link.closed = True
            # Nobody will answer on this link: a submission passed on must not wait for that.
            for event, _, to in list(self.calls.values()):
                if to == node:
                    await event.set()

    async def serve(self, link: FrameLink) -> None:
        """Frames from a peer that dialled us. A garbled one ends its connection only."""
        try:
            while True:
                envelope = pb.Envelope.FromString(await link.receive())
                if envelope.WhichOneof("body") in ("reserve", "forward"):
                    await curio.spawn(self._reply, link, envelope, daemon=True)
                else:
                    await self._reply(link, envelope)
        except (OSError, DecodeError, curio.TaskTimeout) as fault:
            log.debug("a peer's connection ended: %r", fault)
        except Exception:
            # What it meant is sent again, whole, on its next connection.
            log.exception("a peer's message was not understood")

    async def _reply(self, link: FrameLink, envelope: pb.Envelope) -> None:
        try:
            reply = await self.answer(envelope)
            if reply is None:
                if not envelope.call and envelope.WhichOneof("body") != "hello":
                    return
                reply = pb.Envelope(nothing=pb.Nothing())
            reply.sender, reply.call, reply.reply = self.world.node, envelope.call, True
            await link.send(reply.SerializeToString(), self.world.tuning.reply_wait_s)
        except (OSError, curio.TaskTimeout) as fault:
            log.debug("no reply to %d: %r", envelope.sender, fault)

    async def post(self, node: int, envelope: pb.Envelope) -> None:
        """One way, and without waiting for a peer that is slow or silent."""
        link = self.links.get(node)
        if link is not None and not link.closed:
            envelope.sender = self.world.node
            await link.post(envelope.SerializeToString())

    async def send(self, node: int, envelope: pb.Envelope) -> None:
        """One way; what is lost is sent again by the loop that wanted it."""
        link = self.links.get(node)
        if link is None or link.closed:
            raise PeerDown(f"no link to {node}")
        envelope.sender = self.world.node
        try:
            await link.send(envelope.SerializeToString(), self.world.tuning.reply_wait_s)
        except LinkBusy as fault:
            raise PeerBusy(repr(fault)) from fault
        except (OSError, curio.TaskTimeout) as fault:
            link.closed = True
            raise PeerDown(repr(fault)) from fault

    async def call(self, node: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        number = self.next_call
        self.next_call += 1
        event, box = curio.Event(), []  # type: ignore[var-annotated]
        self.calls[number] = (event, box, node)
        envelope.call = number
        try:
            await self.send(node, envelope)
            async with curio.timeout_after(timeout_s):
                await event.wait()
        except curio.TaskTimeout as fault:
            raise PeerDown(f"no reply from {node}") from fault
        finally:
            self.calls.pop(number, None)
        if not box:
            raise PeerDown(f"the link to {node} ended")
        reply: pb.Envelope = box[0]
        return reply


def pack(envelopes: list[pb.Envelope]) -> str:
    """For the detour: messages as text that fits a key's value."""
    batch = b"".join(
        len(data := e.SerializeToString()).to_bytes(4, "big") + data for e in envelopes
    )
    return base64.b64encode(zlib.compress(batch)).decode("ascii")


def unpack(text: str) -> list[pb.Envelope]:
    try:
        batch = zlib.decompress(base64.b64decode(text))
        found, at = [], 0
        while at < len(batch):
            size = int.from_bytes(batch[at : at + 4], "big")
            found.append(pb.Envelope.FromString(batch[at + 4 : at + 4 + size]))
            at += 4 + size
        return found
    except (zlib.error, binascii.Error, DecodeError) as fault:
        raise ValueError(f"garbled detour: {fault}") from fault

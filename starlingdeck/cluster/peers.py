"""Messages between controllers: direct links, calls with replies, and a detour by keys."""

import base64
import binascii
import logging
import zlib
from collections.abc import Awaitable, Callable

import curio
from google.protobuf.message import DecodeError

from starlingdeck.context import ControllerContext
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.frames import FrameLink, FrameServer, LinkBusyError, dial

log = logging.getLogger(__name__)

MessageHandler = Callable[[pb.Envelope], Awaitable[pb.Envelope | None]]


class PeerUnavailableError(Exception):
    """The peer can't be asked now, or did not reply in time."""


class PeerBusyError(PeerUnavailableError):
    """Nothing was sent: a large message to the peer, still in progress, held the link."""


class Peers:
    def __init__(
        self,
        context: ControllerContext,
        answer: MessageHandler,
        gossip: Callable[[], pb.Gossip],
        again: Callable[[int, int], None],
    ) -> None:
        self.context = context
        self.handle_message = answer
        self.build_gossip = gossip
        self.on_resync_request = again
        self.links: dict[int, FrameLink] = {}
        self.last_heard_at: dict[int, float] = {}
        self.calls: dict[int, tuple[curio.Event, list[pb.Envelope], int]] = {}
        self.next_call = 1

    def is_reachable(self, node: int) -> bool:
        if node == self.context.node:
            return True
        return (
            node in self.links
            and self.context.now() - self.last_heard_at.get(node, -1e9)
            < self.context.tuning.reply_wait_s
        )

    def unreachable_s(self, node: int) -> float:
        return self.context.now() - self.last_heard_at.get(node, self.started)

    async def run(self, server: FrameServer) -> None:
        self.started = self.context.now()
        await curio.spawn(server.run, daemon=True)
        for node, (_, _, address) in enumerate(self.context.settings.members()):
            if node != self.context.node:
                await curio.spawn(self._keep_link, node, address, daemon=True)

    async def _keep_link(self, node: int, address: str) -> None:
        wait = self.context.tuning.reply_wait_s
        while True:
            link: FrameLink | None = None
            users: list[curio.Task] = []
            try:
                link = await dial(address, wait)
                self.links[node] = link
                users.append(await curio.spawn(self._read_replies, node, link, daemon=True))
                users.append(await curio.spawn(link.drain, wait, daemon=True))
                sent = self.context.now()
                while not link.closed:
                    try:
                        await self.send(node, pb.Envelope(gossip=self.build_gossip()))
                    except PeerBusyError:
                        sent = self.context.now()  # a link that takes nothing ends by its drain
                    await curio.sleep(0.5)
                    if self.context.now() - max(sent, self.last_heard_at.get(node, 0.0)) > wait:
                        break
            except (OSError, curio.TaskTimeout, PeerUnavailableError) as error:
                log.debug("peer %d: %r", node, error)
            finally:
                if self.links.get(node) is link:
                    self.links.pop(node, None)
                for user in users:
                    await user.cancel()
                if link is not None:
                    await link.close()
            await curio.sleep(0.3 + 0.3 * self.context.rng.random())

    async def _read_replies(self, node: int, link: FrameLink) -> None:
        try:
            while True:
                envelope = pb.Envelope.FromString(await link.receive())
                self.last_heard_at[node] = self.context.now()
                if envelope.WhichOneof("body") == "resync_request":
                    self.on_resync_request(node, envelope.resync_request.shard)
                waiting = self.calls.pop(envelope.call, None)
                if waiting is not None:
                    waiting[1].append(envelope)
                    await waiting[0].set()
        except (OSError, DecodeError) as error:
            log.debug("link to %d ended: %r", node, error)
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
                if envelope.WhichOneof("body") in ("reserve_request", "forward_request"):
                    await curio.spawn(self._reply, link, envelope, daemon=True)
                else:
                    await self._reply(link, envelope)
        except (OSError, DecodeError, curio.TaskTimeout) as error:
            log.debug("a peer's connection ended: %r", error)
        except Exception:
            # What it meant is sent again, whole, on its next connection.
            log.exception("a peer's message was not understood")

    async def _reply(self, link: FrameLink, envelope: pb.Envelope) -> None:
        try:
            reply = await self.handle_message(envelope)
            if reply is None:
                if not envelope.call and envelope.WhichOneof("body") != "gossip":
                    return
                reply = pb.Envelope(empty=pb.Empty())
            reply.sender, reply.call, reply.reply = self.context.node, envelope.call, True
            await link.send(reply.SerializeToString(), self.context.tuning.reply_wait_s)
        except (OSError, curio.TaskTimeout) as error:
            log.debug("no reply to %d: %r", envelope.sender, error)

    async def enqueue(self, node: int, envelope: pb.Envelope) -> None:
        """One way, and without waiting for a peer that is slow or silent."""
        link = self.links.get(node)
        if link is not None and not link.closed:
            envelope.sender = self.context.node
            await link.enqueue(envelope.SerializeToString())

    async def send(self, node: int, envelope: pb.Envelope) -> None:
        """One way; what is lost is sent again by the loop that wanted it."""
        link = self.links.get(node)
        if link is None or link.closed:
            raise PeerUnavailableError(f"no link to {node}")
        envelope.sender = self.context.node
        try:
            await link.send(envelope.SerializeToString(), self.context.tuning.reply_wait_s)
        except LinkBusyError as error:
            raise PeerBusyError(repr(error)) from error
        except (OSError, curio.TaskTimeout) as error:
            link.closed = True
            raise PeerUnavailableError(repr(error)) from error

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
        except curio.TaskTimeout as error:
            raise PeerUnavailableError(f"no reply from {node}") from error
        finally:
            self.calls.pop(number, None)
        if not box:
            raise PeerUnavailableError(f"the link to {node} ended")
        reply: pb.Envelope = box[0]
        return reply


def encode_batch(envelopes: list[pb.Envelope]) -> str:
    """For the detour: messages as text that fits a key's value."""
    batch = b"".join(
        len(data := e.SerializeToString()).to_bytes(4, "big") + data for e in envelopes
    )
    return base64.b64encode(zlib.compress(batch)).decode("ascii")


def decode_batch(text: str) -> list[pb.Envelope]:
    try:
        batch = zlib.decompress(base64.b64decode(text))
        found, at = [], 0
        while at < len(batch):
            size = int.from_bytes(batch[at : at + 4], "big")
            found.append(pb.Envelope.FromString(batch[at + 4 : at + 4 + size]))
            at += 4 + size
        return found
    except (zlib.error, binascii.Error, DecodeError) as error:
        raise ValueError(f"garbled detour: {error}") from error

"""Direct links to the other controllers: one-way messages, and calls with replies.

Each controller dials every other one and keeps that link open. It sends its own messages and calls
on the links that it dialled, and its replies on those that others dialled.
"""

import logging
from collections.abc import Awaitable, Callable

import curio
from google.protobuf.message import DecodeError

from starlingdeck.context import ControllerContext
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.frames import FrameLink, FrameServer, LinkBusyError, dial

log = logging.getLogger(__name__)

GOSSIP_INTERVAL_S = 0.5
# Delay before a link that has ended is dialled again. A random delay of up to the same length is
# added.
REDIAL_S = 0.3
NEVER = -1e9  # a time before any other
# Messages whose reply may take long: they are handled concurrently with the next ones on their
# link.
CONCURRENT_MESSAGES = ("reserve_request", "forward_request")

MessageHandler = Callable[[pb.Envelope], Awaitable[pb.Envelope | None]]


class PeerUnavailableError(Exception):
    """The peer can't be called now, or did not reply in time."""


class PeerBusyError(PeerUnavailableError):
    """Nothing was sent: a large message kept the link busy for the whole time-out."""


class PendingCall:
    """A call that waits for its reply or for the end of its link."""

    def __init__(self, node: int) -> None:
        self.node = node
        self.done = curio.Event()
        self.reply: pb.Envelope | None = None


class Peers:
    """Keeps the links to the other controllers and sends messages on them."""

    def __init__(
        self,
        context: ControllerContext,
        handle_message: MessageHandler,
        build_gossip: Callable[[], pb.Gossip],
        on_resync_request: Callable[[int, int], None],
    ) -> None:
        self.context = context
        self.handle_message = handle_message
        self.build_gossip = build_gossip
        self.on_resync_request = on_resync_request
        self.links: dict[int, FrameLink] = {}
        self.started_at = context.now()
        self.last_heard_at: dict[int, float] = {}
        self.calls: dict[int, PendingCall] = {}  # by the call number in their messages
        self.next_call = 1

    def is_reachable(self, node: int) -> bool:
        """Return whether a controller has replied lately on a link that still exists.

        Lately is within `reply_wait_s` of the tuning; this controller itself is always reachable.
        """
        if node == self.context.node:
            return True
        return (
            node in self.links
            and self.context.now() - self.last_heard_at.get(node, NEVER)
            < self.context.tuning.reply_wait_s
        )

    def unreachable_s(self, node: int) -> float:
        """Return how long ago a controller last replied, in seconds.

        For one that has never replied, the time since this controller's start.
        """
        return self.context.now() - self.last_heard_at.get(node, self.started_at)

    async def run(self, server: FrameServer) -> None:
        """Start the server for links of other controllers, and a task for the link to each."""
        self.started_at = self.context.now()
        await curio.spawn(server.run, daemon=True)
        for node, (_, _, address) in enumerate(self.context.settings.members()):
            if node != self.context.node:
                await curio.spawn(self._keep_link, node, address, daemon=True)

    # --- links that this controller dialled

    async def _keep_link(self, node: int, address: str) -> None:
        while True:
            try:
                await self._run_link(node, address)
            except (OSError, curio.TaskTimeout, PeerUnavailableError) as error:
                log.debug("link ended: node=%d error=%r", node, error)
            await curio.sleep(REDIAL_S + REDIAL_S * self.context.rng.random())

    async def _run_link(self, node: int, address: str) -> None:
        """Dial a controller and use the link until it fails."""
        timeout_s = self.context.tuning.reply_wait_s
        link = await dial(address, timeout_s)
        tasks: list[curio.Task] = []
        try:
            self.links[node] = link
            tasks.append(await curio.spawn(self._read_replies, node, link, daemon=True))
            tasks.append(await curio.spawn(link.drain, timeout_s, daemon=True))
            await self._send_gossip(node, link, timeout_s)
        finally:
            if self.links.get(node) is link:
                self.links.pop(node, None)
            # Tasks that wait for the socket must have ended before it is closed.
            for task in tasks:
                await task.cancel()
            await link.close()

    async def _send_gossip(self, node: int, link: FrameLink, timeout_s: float) -> None:
        """Send gossip every GOSSIP_INTERVAL_S, until the link is closed or the peer is silent."""
        sent_at = self.context.now()
        while not link.closed:
            try:
                await self.send(node, pb.Envelope(gossip=self.build_gossip()))
            except PeerBusyError:
                # Not a failure: `FrameLink.drain` ends a link that makes no progress.
                sent_at = self.context.now()
            await curio.sleep(GOSSIP_INTERVAL_S)
            if self.context.now() - max(sent_at, self.last_heard_at.get(node, 0.0)) > timeout_s:
                return

    async def _read_replies(self, node: int, link: FrameLink) -> None:
        try:
            while True:
                envelope = pb.Envelope.FromString(await link.receive())
                self.last_heard_at[node] = self.context.now()
                await self._on_reply(node, envelope)
        except (OSError, DecodeError) as error:
            log.debug("link to peer failed: node=%d error=%r", node, error)
        finally:
            link.closed = True
            # No reply can arrive on this link any more: wake its callers, so that forwarded
            # requests don't wait for their time-outs.
            for call in list(self.calls.values()):
                if call.node == node:
                    await call.done.set()

    async def _on_reply(self, node: int, envelope: pb.Envelope) -> None:
        if envelope.WhichOneof("body") == "resync_request":
            self.on_resync_request(node, envelope.resync_request.shard)
        call = self.calls.pop(envelope.call, None)
        if call is not None:
            call.reply = envelope
            await call.done.set()

    # --- links that others dialled

    async def serve(self, link: FrameLink) -> None:
        """Handle the messages on a link that a peer dialled; a malformed one ends only the link."""
        try:
            while True:
                envelope = pb.Envelope.FromString(await link.receive())
                if envelope.WhichOneof("body") in CONCURRENT_MESSAGES:
                    await curio.spawn(self._handle, link, envelope, daemon=True)
                else:
                    await self._handle(link, envelope)
        except (OSError, DecodeError, curio.TaskTimeout) as error:
            log.debug("link from peer failed: error=%r", error)
        except Exception:
            # A message must not end the controller. It ends the link, and on the next one the peer
            # sends its state in full.
            log.exception("message from peer not handled")

    async def _handle(self, link: FrameLink, envelope: pb.Envelope) -> None:
        """Handle a message and send its reply, if it has one or is a call or gossip."""
        try:
            reply = await self.handle_message(envelope)
            if reply is None:
                if not envelope.call and envelope.WhichOneof("body") != "gossip":
                    return
                reply = pb.Envelope(empty=pb.Empty())
            reply.sender, reply.call, reply.reply = self.context.node, envelope.call, True
            await link.send(reply.SerializeToString(), self.context.tuning.reply_wait_s)
        except (OSError, curio.TaskTimeout) as error:
            log.debug("reply not sent: node=%d error=%r", envelope.sender, error)

    # --- sending

    async def enqueue(self, node: int, envelope: pb.Envelope) -> None:
        """Queue a message for a peer, without waiting until it is sent.

        It is dropped if there is no open link to the peer.
        """
        link = self.links.get(node)
        if link is not None and not link.closed:
            envelope.sender = self.context.node
            await link.enqueue(envelope.SerializeToString())

    async def send(self, node: int, envelope: pb.Envelope) -> None:
        """Send a message without expecting a reply, and wait until it is sent.

        Raises PeerBusyError or PeerUnavailableError. Sending a lost message again is left to the
        caller.
        """
        link = self.links.get(node)
        if link is None or link.closed:
            raise PeerUnavailableError(f"no link to controller {node}")
        envelope.sender = self.context.node
        try:
            await link.send(envelope.SerializeToString(), self.context.tuning.reply_wait_s)
        except LinkBusyError as error:
            raise PeerBusyError(repr(error)) from error
        except (OSError, curio.TaskTimeout) as error:
            link.closed = True
            raise PeerUnavailableError(repr(error)) from error

    async def call(self, node: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        """Send a message and return its reply.

        Raises PeerUnavailableError if there is no link, the link ends, or no reply has arrived
        after `timeout_s`.
        """
        number = self.next_call
        self.next_call += 1
        call = self.calls[number] = PendingCall(node)
        envelope.call = number
        try:
            await self.send(node, envelope)
            async with curio.timeout_after(timeout_s):
                await call.done.wait()
        except curio.TaskTimeout as error:
            raise PeerUnavailableError(f"no reply from controller {node}") from error
        finally:
            self.calls.pop(number, None)
        if call.reply is None:
            raise PeerUnavailableError(f"the link to {node} ended")
        return call.reply

"""Relay of messages through keys of the state service, to peers without a direct link.

Messages are encoded as one text. It is split into fragments, each stored under a key of its own, to
stay within the limits for values and transactions. Texts to a peer have sequence numbers, by which
the receiver joins the fragments of one text.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    LeaseLostError,
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)
from starlingdeck.sync.desired_state_sync import DesiredStateSync
from starlingdeck.sync.message_batch import decode_batch, encode_batch
from starlingdeck.sync.snapshot_sync import SnapshotSync

log = logging.getLogger(__name__)

RELAY_AFTER_S = 1.5  # a peer must have been unreachable for this long
RELAY_INTERVAL_S = 2.0  # minimum time between the starts of two texts to a peer
# Total size of the fragments in one transaction, which may have 64 KiB in all.
MAX_TEXT_BYTES_PER_TRANSACTION = 48_000
RESERVED_BYTES_PER_VALUE = 200  # for the fields around a fragment
NEVER = -1e9  # a time before any other


class RelayText(NamedTuple):
    """Messages to one controller, encoded as one text."""

    node: int
    text: str


class IncomingText:
    """The fragments of a peer's newest text that have arrived so far."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.fragments: dict[int, str] = {}

    def join(self, part_count: int) -> str | None:
        """Return the whole text, or None while a fragment is missing."""
        if not all(index in self.fragments for index in range(part_count)):
            return None
        return "".join(self.fragments[index] for index in range(part_count))


class Relay:
    """Writes texts to peers that are live but unreachable, and reads those written by peers."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        snapshots: SnapshotSync,
        desired_state: DesiredStateSync,
    ) -> None:
        self.context = context
        self.state = state
        self.membership = membership
        self.peers = peers
        self.snapshots = snapshots
        self.desired_state = desired_state
        self.last_started_at: dict[int, float] = {}  # node -> start of the last text to it
        self.last_sequences: dict[int, int] = {}  # node -> number of the last text to it
        self.writing: set[int] = set()  # nodes to which a text is being written
        self.incoming: dict[int, IncomingText] = {}  # by sender

    def build_due_texts(self, now: float, build_gossip: Callable[[], pb.Gossip]) -> list[RelayText]:
        """Build the texts that are due. The caller has to write each of them with `write`."""
        lease_valid = self.membership.lease_is_valid()
        if not lease_valid:
            return []
        texts = []
        for node in range(self.context.shard_count):
            if not self._is_due(node, now):
                continue
            self.last_started_at[node] = now
            batch = [
                pb.Envelope(sender=self.context.node, gossip=build_gossip()),
                *self.snapshots.full_messages(node, lease_valid),
                *self.desired_state.full_messages(node),
            ]
            texts.append(RelayText(node, encode_batch(batch)))
            self.writing.add(node)
        return texts

    def _is_due(self, node: int, now: float) -> bool:
        """Return whether a new text to a controller is due.

        None is while the last one is still being written: if it were replaced every
        RELAY_INTERVAL_S, a text that takes longer than that would never arrive.
        """
        if node == self.context.node or self.peers.is_reachable(node) or node in self.writing:
            return False
        if node not in self.membership.live_nodes:
            return False
        if self.peers.unreachable_s(node) < RELAY_AFTER_S:
            return False
        return now - self.last_started_at.get(node, NEVER) >= RELAY_INTERVAL_S

    async def write(self, node: int, text: str) -> None:
        """Write a text to a controller. The next one may begin when this ends, even if it fails."""
        try:
            await self._write_parts(node, text)
        except (StateError, TransactionConflictError, LeaseLostError) as error:
            log.info("relay write failed: node=%d error=%r", node, error)
        finally:
            self.writing.discard(node)

    async def _write_parts(self, node: int, text: str) -> None:
        limits = self.context.settings.settings.state
        size = min(
            int(limits.value_kb * 1000) - RESERVED_BYTES_PER_VALUE, MAX_TEXT_BYTES_PER_TRANSACTION
        )
        fragments = [text[start : start + size] for start in range(0, len(text), size)]
        sequence = self.last_sequences[node] = self.last_sequences.get(node, 0) + 1
        per_transaction = max(1, min(limits.txn_ops, MAX_TEXT_BYTES_PER_TRANSACTION // size))
        for first in range(0, len(fragments), per_transaction):
            if sequence != self.last_sequences[node]:
                # A newer text is being written over this one: the receiver must not join
                # fragments of both.
                return
            changes = [
                self._part_change(
                    node, index, records.RelayPart(sequence, len(fragments), fragment)
                )
                for index, fragment in enumerate(fragments[first : first + per_transaction], first)
            ]
            # Urgent, because workers' leases depend on the watermarks in the text.
            await self.state.transact({}, changes, True)

    def _part_change(self, node: int, index: int, part: records.RelayPart) -> api.Change:
        key = records.relay_key(self.context.node, node, index)
        return put_change(key, part, self.membership.lease.lease_id)

    async def receive(
        self, key: str, value: msgspec.Raw, on_message: Callable[[pb.Envelope], Awaitable[object]]
    ) -> bool:
        """Handle one part; when its text is complete, pass the messages to `on_message`.

        Returns whether messages were passed on. Raises ValueError for a malformed key or text, and
        msgspec.DecodeError for a malformed value.
        """
        sender, to, index = records.parse_relay_key(key)
        if to != self.context.node or sender == self.context.node:
            return False
        part = msgspec.json.decode(value, type=records.RelayPart)
        incoming = self.incoming.get(sender)
        if incoming is None or incoming.sequence != part.sequence:
            incoming = self.incoming[sender] = IncomingText(part.sequence)
        incoming.fragments[index] = part.fragment
        text = incoming.join(part.part_count)
        if text is None:
            return False
        del self.incoming[sender]
        for envelope in decode_batch(text):
            await on_message(envelope)
        return True

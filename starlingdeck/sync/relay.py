"""Relay through the store: messages by keys of the state service, to peers without a direct link.

A text of encoded messages is split into parts, one a key, as the limits for values and transactions
require. The receiver puts the parts of one text together. Texts to a peer are numbered.
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

RELAY_AFTER_S = 1.5  # how long a peer must have been unreachable
RELAY_INTERVAL_S = 2.0  # between the starts of two texts to a peer
MAX_TRANSACTION_BYTES = 48_000  # of a transaction's 64 KiB, for the parts of a text
RESERVED_VALUE_BYTES = 200  # of a value's limit, for the fields around a part
NEVER = -1e9


class RelayText(NamedTuple):
    """Messages to one controller, encoded as a text."""

    node: int
    text: str


class IncomingText:
    """The parts of a peer's newest text, as far as they have arrived."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.pieces: dict[int, str] = {}

    def joined(self, parts: int) -> str | None:
        """The whole text; None while one of its parts is missing."""
        if not all(index in self.pieces for index in range(parts)):
            return None
        return "".join(self.pieces[index] for index in range(parts))


class Relay:
    """Writes texts for peers that are live but unreachable, and reads those of peers."""

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
        self.started_at: dict[int, float] = {}  # by node: of the last text
        self.text_numbers: dict[int, int] = {}  # by node: of the last text
        self.writing: set[int] = set()  # nodes to which a text is being written
        self.incoming: dict[int, IncomingText] = {}  # by sender

    def build_due_texts(self, now: float, build_gossip: Callable[[], pb.Gossip]) -> list[RelayText]:
        """The texts that are due; each has to be written with `write`."""
        lease_valid = self.membership.lease_is_valid()
        if not lease_valid:
            return []
        texts = []
        for node in range(self.context.shard_count):
            if not self._is_due(node, now):
                continue
            self.started_at[node] = now
            batch = [
                pb.Envelope(sender=self.context.node, gossip=build_gossip()),
                *self.snapshots.full_messages(node, lease_valid),
                *self.desired_state.full_messages(node),
            ]
            texts.append(RelayText(node, encode_batch(batch)))
            self.writing.add(node)
        return texts

    def _is_due(self, node: int, now: float) -> bool:
        """Whether a new text to a controller is to be written.

        Not while the last one is still being written: replaced by a new one every
        RELAY_INTERVAL_S, a text that takes longer than that would never arrive.
        """
        if node == self.context.node or self.peers.is_reachable(node) or node in self.writing:
            return False
        if node not in self.membership.live_nodes:
            return False
        if self.peers.unreachable_s(node) < RELAY_AFTER_S:
            return False
        return now - self.started_at.get(node, NEVER) >= RELAY_INTERVAL_S

    async def write(self, node: int, text: str) -> None:
        """Write a text to a controller; after that, also if it fails, the next may begin."""
        try:
            await self._write_parts(node, text)
        except (StateError, TransactionConflictError, LeaseLostError) as error:
            log.info("relay write failed: node=%d error=%r", node, error)
        finally:
            self.writing.discard(node)

    async def _write_parts(self, node: int, text: str) -> None:
        limits = self.context.settings.settings.state
        size = min(int(limits.value_kb * 1000) - RESERVED_VALUE_BYTES, MAX_TRANSACTION_BYTES)
        pieces = [text[start : start + size] for start in range(0, len(text), size)]
        number = self.text_numbers[node] = self.text_numbers.get(node, 0) + 1
        per_transaction = max(1, min(limits.txn_ops, MAX_TRANSACTION_BYTES // size))
        for first in range(0, len(pieces), per_transaction):
            if number != self.text_numbers[node]:
                # A newer text is being written over this one: the receiver must not put parts
                # of both together.
                return
            changes = [
                self._part_change(node, index, records.RelayPart(number, len(pieces), piece))
                for index, piece in enumerate(pieces[first : first + per_transaction], first)
            ]
            # Urgent, because workers' leases depend on the watermarks in it.
            await self.state.transact({}, changes, True)

    def _part_change(self, node: int, index: int, part: records.RelayPart) -> api.Change:
        key = records.relay_key(self.context.node, node, index)
        return put_change(key, part, self.membership.lease.lease_id)

    async def receive(
        self, key: str, value: msgspec.Raw, on_message: Callable[[pb.Envelope], Awaitable[object]]
    ) -> bool:
        """Handle one part; the last of a text passes its messages to `on_message`.

        True if messages were passed on. Raises ValueError for a malformed key or text.
        """
        sender, to, index = records.parse_relay_key(key)
        if to != self.context.node or sender == self.context.node:
            return False
        part = msgspec.json.decode(value, type=records.RelayPart)
        incoming = self.incoming.get(sender)
        if incoming is None or incoming.number != part.sequence:
            incoming = self.incoming[sender] = IncomingText(part.sequence)
        incoming.pieces[index] = part.fragment
        text = incoming.joined(part.part_count)
        if text is None:
            return False
        del self.incoming[sender]
        for envelope in decode_batch(text):
            await on_message(envelope)
        return True

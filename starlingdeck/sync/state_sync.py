"""Views and lists between controllers: sent as differences, whole when one was missed.

Direct links carry messages in order, so the first message on a link is whole and the rest
are differences. A receiver that can't follow asks for the whole. Where peers can't reach
each other but both reach the state service, whole messages go by keys (the detour).
"""

import logging
import math
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers, decode_batch, encode_batch
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    LeaseLostError,
    StateClient,
    StateError,
    TransactionConflictError,
)
from starlingdeck.storage.state import put_change as put_key
from starlingdeck.transport.frames import FrameLink

log = logging.getLogger(__name__)

SNAPSHOT_INTERVAL_S = 0.08
RESEND_INTERVAL_S = 1.0
REEVALUATE_INTERVAL_S = 2.0  # how often every attempt is judged, marked or not
RELAY_AFTER_S = 1.5
RELAY_INTERVAL_S = 2.0
MAX_TRANSACTION_BYTES = 48_000  # of a transaction's 64 KiB, for the parts of a detour


class StateSync:
    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        writers: Mapping[int, RecordWriter],
        machines: Mapping[int, MachineShard],
        candidates: CandidatePool,
    ) -> None:
        self.context = context
        self.state = state
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.machines = machines
        self.candidates = candidates
        self.snapshots: dict[int, ShardSnapshot] = {}
        self.snapshot_sent_at: dict[int, float] = {}
        self.snapshot_links: dict[tuple[int, int], FrameLink] = {}  # node, shard: followed on
        self.desired_state_links: dict[tuple[int, int], FrameLink] = {}  # job shard, machine shard
        self.relayed_at: dict[int, float] = {}
        self.detour_numbers: dict[int, int] = {}  # by node: of the text begun last
        self.detouring: set[int] = set()  # nodes to which a text is being written
        self.relay_parts: dict[int, tuple[int, dict[int, str]]] = {}

    # --- views

    async def publish_snapshots(self, valid: bool, now: float) -> bool:
        """Show what changed of our machine shards; True when an attempt was judged."""
        judged = False
        for shard, machines in list(self.machines.items()):
            since = now - self.snapshot_sent_at.get(shard, 0.0)
            if not (
                (machines.changed and since >= SNAPSHOT_INTERVAL_S) or since >= RESEND_INTERVAL_S
            ):
                continue
            self.snapshot_sent_at[shard] = now
            message = machines.snapshot_update(valid)
            envelope, whole = pb.Envelope(snapshot=message), None
            for node, link in list(self.peers.links.items()):
                if self.snapshot_links.get((node, shard)) is link:
                    await self.peers.enqueue(node, envelope)
                    continue
                if whole is None:
                    whole = pb.Envelope(snapshot=machines.full_snapshot(valid))
                await self.peers.enqueue(node, whole)
                self.snapshot_links[(node, shard)] = link
            took = self.apply_snapshot(message)
            if took is None:
                took = self.apply_snapshot(machines.full_snapshot(valid))
            judged |= took is True
        return judged

    def apply_snapshot(self, message: pb.Snapshot) -> bool | None:
        """True when an attempt was judged by it; None when the whole has to be asked for."""
        owner = self.membership.owners.get(message.shard)
        if message.shard >= self.context.shard_count or (
            owner is not None and owner.epoch != message.epoch
        ):
            return False
        touched = apply_snapshot_message(self.context, self.snapshots, message)
        if touched is None:
            return None
        snapshot = self.snapshots[message.shard]
        self.candidates.update(snapshot, touched)
        now = self.context.now()
        every = now - snapshot.evaluated_at >= REEVALUATE_INTERVAL_S
        if every:
            snapshot.evaluated_at = now
        judged = False
        for writer in self.writers.values():
            if writer.shard.loaded:
                judged |= writer.shard.apply_snapshot(snapshot, None if every else touched)
        return judged

    def on_resync_request(self, node: int, shard: int) -> None:
        """A peer could not follow our views: the next one is whole."""
        self.snapshot_links.pop((node, shard), None)
        self.snapshot_sent_at.pop(shard, None)

    def reevaluate_all(self, jobs: JobShard) -> None:
        """A shard has just been read: what is seen already speaks of its attempts too."""
        for snapshot in self.snapshots.values():
            jobs.apply_snapshot(snapshot, None)

    def drop_expired(self, now: float) -> None:
        for shard in [s for s, v in self.snapshots.items() if self._old(v, now)]:
            del self.snapshots[shard]
            self.candidates.remove_shard(shard)

    def _old(self, snapshot: ShardSnapshot, now: float) -> bool:
        return now - snapshot.received_at > self.context.tuning.offline_drop_s

    # --- wants

    async def send_desired_state(self, now: float) -> None:
        for writer in list(self.writers.values()):
            jobs = writer.shard
            if not jobs.loaded:
                continue
            for to, owner in list(self.membership.owners.items()):
                if not self.membership.lease_is_valid():
                    return  # what came before has waited: only a sure holder gives its word
                outbox = jobs.outboxes[to]
                # With nothing to say as well: a list is the word that nothing more is cancelled.
                again = now - outbox.sent_at >= RESEND_INTERVAL_S
                unheard = again and outbox.acked_seq < outbox.seq
                echo = self._watermark_ms(jobs, to, owner.epoch)
                if owner.node == self.context.node:
                    machines = self.machines.get(to)
                    if machines is not None and (
                        outbox.has_updates or again or outbox.epoch != owner.epoch
                    ):
                        self.apply_desired_state(
                            jobs.desired_state_message(to, owner.epoch, unheard, echo)
                        )
                    continue
                link = self.peers.links.get(owner.node)
                if link is None:
                    continue
                moved = self.desired_state_links.get((jobs.shard, to)) is not link
                if outbox.has_updates or outbox.epoch != owner.epoch or again or moved:
                    self.desired_state_links[(jobs.shard, to)] = link
                    message = jobs.desired_state_message(to, owner.epoch, unheard or moved, echo)
                    await self.peers.enqueue(owner.node, pb.Envelope(desired_state=message))

    def _watermark_ms(self, jobs: JobShard, shard: int, epoch: int) -> int:
        """The latest time, by a machine shard's holder, that has come here from it; no later than
        when a cancellation was sent that may be recorded and isn't in our list."""
        snapshot = self.snapshots.get(shard)
        if snapshot is None or snapshot.epoch != epoch:
            return 0
        return snapshot.watermark_ms(
            min(jobs.unresolved_cancellations().values(), default=math.inf)
        )

    def apply_desired_state(self, message: pb.DesiredState) -> None:
        machines = self.machines.get(message.to_shard)
        if machines is not None:
            machines.apply_desired_state(message)

    # --- the detour

    def relay_messages(self, now: float, gossip: Callable[[], pb.Gossip]) -> list[tuple[int, str]]:
        """Messages for peers that can't be reached directly, each packed as one text."""
        found: list[tuple[int, str]] = []
        if not (valid := self.membership.lease_is_valid()):
            return found
        for node in range(self.context.shard_count):
            if not self._detour_due(node, now):
                continue
            self.relayed_at[node] = now
            batch = [pb.Envelope(sender=self.context.node, gossip=gossip())]
            for shard, machines in self.machines.items():
                batch.append(pb.Envelope(snapshot=machines.full_snapshot(valid)))
                self.snapshot_links.pop((node, shard), None)
            for writer in self.writers.values():
                jobs = writer.shard
                for to, owner in self.membership.owners.items():
                    if owner.node == node and jobs.loaded:
                        echo = self._watermark_ms(jobs, to, owner.epoch)
                        message = jobs.desired_state_message(to, owner.epoch, True, echo)
                        batch.append(pb.Envelope(desired_state=message))
                        self.desired_state_links.pop((jobs.shard, to), None)
            found.append((node, encode_batch(batch)))
            self.detouring.add(node)
        return found

    def _detour_due(self, node: int, now: float) -> bool:
        """Whether a new text to a node is to begin. Begun anew every DETOUR_EVERY_S while the
        former one was being written, a text that took longer than that never arrived."""
        if node == self.context.node or self.peers.is_reachable(node) or node in self.detouring:
            return False
        if node not in self.membership.live_nodes or self.peers.unreachable_s(node) < RELAY_AFTER_S:
            return False
        return now - self.relayed_at.get(node, -1e9) >= RELAY_INTERVAL_S

    async def write_relay(self, node: int, text: str) -> None:
        """Write a text to a node; from its end on, also a failed one, the next may begin."""
        try:
            await self._write_detour(node, text)
        except (StateError, TransactionConflictError, LeaseLostError) as error:
            log.info("no detour to %d: %r", node, error)
        finally:
            self.detouring.discard(node)

    async def _write_detour(self, node: int, text: str) -> None:
        """Split over keys, as values and transactions allow; the newest number counts."""
        limits = self.context.settings.settings.state
        size = min(int(limits.value_kb * 1000) - 200, MAX_TRANSACTION_BYTES)
        pieces = [text[i : i + size] for i in range(0, len(text), size)]
        text_number = self.detour_numbers[node] = self.detour_numbers.get(node, 0) + 1
        each = max(1, min(limits.txn_ops, MAX_TRANSACTION_BYTES // size))
        for first in range(0, len(pieces), each):
            if text_number != self.detour_numbers[node]:
                # A newer text is being written over it. With the newest number on what was
                # left of this one, the receiver put pieces of both together.
                return
            changes = [
                put_key(
                    records.relay_key(self.context.node, node, first + i),
                    records.RelayPart(text_number, len(pieces), piece),
                    self.membership.lease_id,
                )
                for i, piece in enumerate(pieces[first : first + each])
            ]
            # It carries the word that workers' leases hang on.
            await self.state.transact({}, changes, True)

    async def receive_relay(
        self, key: str, value: msgspec.Raw, on_message: Callable[[pb.Envelope], Awaitable[object]]
    ) -> bool:
        """One part; the last to arrive of a text delivers its messages."""
        sender, to, number = records.parse_relay_key(key)
        if to != self.context.node or sender == self.context.node:
            return False
        part = msgspec.json.decode(value, type=records.RelayPart)
        text_number, pieces = self.relay_parts.get(sender, (0, {}))
        if text_number != part.sequence:
            pieces = {}
        pieces[number] = part.fragment
        self.relay_parts[sender] = (part.sequence, pieces)
        if not all(i in pieces for i in range(part.part_count)):
            return False
        del self.relay_parts[sender]
        for envelope in decode_batch("".join(pieces[i] for i in range(part.part_count))):
            await on_message(envelope)
        return True

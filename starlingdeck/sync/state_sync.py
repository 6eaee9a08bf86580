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
from starlingdeck.cluster.peers import Peers, pack, unpack
from starlingdeck.context import World
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import Sight, follow
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.candidate_pool import Rooms
from starlingdeck.storage import records
from starlingdeck.storage.state import Conflict, LeaseLost, StateClient, StateError
from starlingdeck.storage.state import put as put_key
from starlingdeck.transport.frames import FrameLink

log = logging.getLogger(__name__)

VIEW_EVERY_S = 0.08
REPEAT_S = 1.0
JUDGE_ALL_S = 2.0  # how often every attempt is judged, marked or not
DETOUR_AFTER_S = 1.5
DETOUR_EVERY_S = 2.0
TXN_BYTES = 48_000  # of a transaction's 64 KiB, for the parts of a detour


class Exchange:
    def __init__(
        self,
        world: World,
        state: StateClient,
        membership: Membership,
        peers: Peers,
        writers: Mapping[int, Writer],
        machines: Mapping[int, MachineShard],
        rooms: Rooms,
    ) -> None:
        self.world = world
        self.state = state
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.machines = machines
        self.rooms = rooms
        self.sights: dict[int, Sight] = {}
        self.sent_view: dict[int, float] = {}
        self.view_links: dict[tuple[int, int], FrameLink] = {}  # node, shard: followed on
        self.want_links: dict[tuple[int, int], FrameLink] = {}  # job shard, machine shard
        self.detours: dict[int, float] = {}
        self.detour_numbers: dict[int, int] = {}  # by node: of the text begun last
        self.detouring: set[int] = set()  # nodes to which a text is being written
        self.parts: dict[int, tuple[int, dict[int, str]]] = {}

    # --- views

    async def share(self, valid: bool, now: float) -> bool:
        """Show what changed of our machine shards; True when an attempt was judged."""
        judged = False
        for shard, machines in list(self.machines.items()):
            since = now - self.sent_view.get(shard, 0.0)
            if not ((machines.changed and since >= VIEW_EVERY_S) or since >= REPEAT_S):
                continue
            self.sent_view[shard] = now
            view = machines.view(valid)
            envelope, whole = pb.Envelope(view=view), None
            for node, link in list(self.peers.links.items()):
                if self.view_links.get((node, shard)) is link:
                    await self.peers.post(node, envelope)
                    continue
                if whole is None:
                    whole = pb.Envelope(view=machines.whole_view(valid))
                await self.peers.post(node, whole)
                self.view_links[(node, shard)] = link
            took = self.take_view(view)
            if took is None:
                took = self.take_view(machines.whole_view(valid))
            judged |= took is True
        return judged

    def take_view(self, view: pb.View) -> bool | None:
        """True when an attempt was judged by it; None when the whole has to be asked for."""
        holder = self.membership.holders.get(view.shard)
        if view.shard >= self.world.shards or (holder is not None and holder.gen != view.gen):
            return False
        touched = follow(self.world, self.sights, view)
        if touched is None:
            return None
        sight = self.sights[view.shard]
        self.rooms.show(sight, touched)
        now = self.world.now()
        every = now - sight.judged_at >= JUDGE_ALL_S
        if every:
            sight.judged_at = now
        judged = False
        for writer in self.writers.values():
            if writer.shard.loaded:
                judged |= writer.shard.apply_view(sight, None if every else touched)
        return judged

    def again(self, node: int, shard: int) -> None:
        """A peer could not follow our views: the next one is whole."""
        self.view_links.pop((node, shard), None)
        self.sent_view.pop(shard, None)

    def judge_all(self, jobs: JobShard) -> None:
        """A shard has just been read: what is seen already speaks of its attempts too."""
        for sight in self.sights.values():
            jobs.apply_view(sight, None)

    def drop_old(self, now: float) -> None:
        for shard in [s for s, v in self.sights.items() if self._old(v, now)]:
            del self.sights[shard]
            self.rooms.forget(shard)

    def _old(self, sight: Sight, now: float) -> bool:
        return now - sight.at > self.world.tuning.offline_drop_s

    # --- wants

    async def send_wants(self, now: float) -> None:
        for writer in list(self.writers.values()):
            jobs = writer.shard
            if not jobs.loaded:
                continue
            for to, holder in list(self.membership.holders.items()):
                if not self.membership.valid():
                    return  # what came before has waited: only a sure holder gives its word
                out = jobs.outs[to]
                # With nothing to say as well: a list is the word that nothing more is cancelled.
                again = now - out.sent_at >= REPEAT_S
                unheard = again and out.acked < out.seq
                echo = self._echo(jobs, to, holder.gen)
                if holder.node == self.world.node:
                    machines = self.machines.get(to)
                    if machines is not None and (out.news or again or out.gen != holder.gen):
                        self.take_wants(jobs.wants(to, holder.gen, unheard, echo))
                    continue
                link = self.peers.links.get(holder.node)
                if link is None:
                    continue
                moved = self.want_links.get((jobs.shard, to)) is not link
                if out.news or out.gen != holder.gen or again or moved:
                    self.want_links[(jobs.shard, to)] = link
                    wants = jobs.wants(to, holder.gen, unheard or moved, echo)
                    await self.peers.post(holder.node, pb.Envelope(wants=wants))

    def _echo(self, jobs: JobShard, shard: int, gen: int) -> int:
        """The latest time, by a machine shard's holder, that has come here from it; no later than
        when a cancellation was sent that may be recorded and isn't in our list."""
        sight = self.sights.get(shard)
        if sight is None or sight.gen != gen:
            return 0
        return sight.echo_ms(min(jobs.unknown_cancels().values(), default=math.inf))

    def take_wants(self, wants: pb.Wants) -> None:
        machines = self.machines.get(wants.to_shard)
        if machines is not None:
            machines.apply_wants(wants)

    # --- the detour

    def detour(self, now: float, hello: Callable[[], pb.Hello]) -> list[tuple[int, str]]:
        """Messages for peers that can't be reached directly, each packed as one text."""
        found: list[tuple[int, str]] = []
        if not (valid := self.membership.valid()):
            return found
        for node in range(self.world.shards):
            if not self._detour_due(node, now):
                continue
            self.detours[node] = now
            batch = [pb.Envelope(sender=self.world.node, hello=hello())]
            for shard, machines in self.machines.items():
                batch.append(pb.Envelope(view=machines.whole_view(valid)))
                self.view_links.pop((node, shard), None)
            for writer in self.writers.values():
                jobs = writer.shard
                for to, holder in self.membership.holders.items():
                    if holder.node == node and jobs.loaded:
                        echo = self._echo(jobs, to, holder.gen)
                        wants = jobs.wants(to, holder.gen, True, echo)
                        batch.append(pb.Envelope(wants=wants))
                        self.want_links.pop((jobs.shard, to), None)
            found.append((node, pack(batch)))
            self.detouring.add(node)
        return found

    def _detour_due(self, node: int, now: float) -> bool:
        """Whether a new text to a node is to begin. Begun anew every DETOUR_EVERY_S while the
        former one was being written, a text that took longer than that never arrived."""
        if node == self.world.node or self.peers.up(node) or node in self.detouring:
            return False
        if node not in self.membership.living or self.peers.down_for(node) < DETOUR_AFTER_S:
            return False
        return now - self.detours.get(node, -1e9) >= DETOUR_EVERY_S

    async def put_detour(self, node: int, text: str) -> None:
        """Write a text to a node; from its end on, also a failed one, the next may begin."""
        try:
            await self._write_detour(node, text)
        except (StateError, Conflict, LeaseLost) as why:
            log.info("no detour to %d: %r", node, why)
        finally:
            self.detouring.discard(node)

    async def _write_detour(self, node: int, text: str) -> None:
        """Split over keys, as values and transactions allow; the newest number counts."""
        limits = self.world.settings.settings.state
        size = min(int(limits.value_kb * 1000) - 200, TXN_BYTES)
        pieces = [text[i : i + size] for i in range(0, len(text), size)]
        text_number = self.detour_numbers[node] = self.detour_numbers.get(node, 0) + 1
        each = max(1, min(limits.txn_ops, TXN_BYTES // size))
        for first in range(0, len(pieces), each):
            if text_number != self.detour_numbers[node]:
                # A newer text is being written over it. With the newest number on what was
                # left of this one, the receiver put pieces of both together.
                return
            changes = [
                put_key(
                    records.relay_key(self.world.node, node, first + i),
                    records.RelayPart(text_number, len(pieces), piece),
                    self.membership.lease,
                )
                for i, piece in enumerate(pieces[first : first + each])
            ]
            # It carries the word that workers' leases hang on.
            await self.state.txn({}, changes, True)

    async def take_detour(
        self, key: str, value: msgspec.Raw, on_message: Callable[[pb.Envelope], Awaitable[object]]
    ) -> bool:
        """One part; the last to arrive of a text delivers its messages."""
        sender, to, number = records.parse_relay(key)
        if to != self.world.node or sender == self.world.node:
            return False
        part = msgspec.json.decode(value, type=records.RelayPart)
        text_number, pieces = self.parts.get(sender, (0, {}))
        if text_number != part.text:
            pieces = {}
        pieces[number] = part.piece
        self.parts[sender] = (part.text, pieces)
        if not all(i in pieces for i in range(part.parts)):
            return False
        del self.parts[sender]
        for envelope in unpack("".join(pieces[i] for i in range(part.parts))):
            await on_message(envelope)
        return True

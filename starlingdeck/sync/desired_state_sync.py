"""Desired state of machine shards: which tasks the job shards want to run on their machines.

Each job shard sends its part of the desired state to every machine shard. It sends the changes
only, but everything on a new link, to a new owner, and when the last message was not acknowledged
in time.
"""

import math
from collections.abc import Iterator, Mapping

from starlingdeck.cluster.membership import Membership, ShardOwner
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.sync.owned_shards import OwnedShards
from starlingdeck.transport.frames import FrameLink

# A message is sent at this interval even without changes: its cancellation watermark says that
# nothing else was cancelled up to a time, and the renewal of workers' leases depends on it.
RESEND_INTERVAL_S = 1.0


class DesiredStateSync:
    """Sends desired state for owned job shards, and applies what owned machine shards receive."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        peers: Peers,
        owned: OwnedShards,
        snapshots: Mapping[int, ShardSnapshot],
    ) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.owned = owned
        self.snapshots = snapshots
        # (job shard, machine shard) -> the link that the last message was sent on
        self.links: dict[tuple[int, int], FrameLink] = {}

    async def send(self, now: float) -> None:
        """Send the messages that are due; stop when the state lease is no longer valid."""
        for writer in list(self.owned.writers.values()):
            jobs = writer.shard
            if not jobs.loaded:
                continue
            for machine_shard, owner in list(self.membership.owners.items()):
                # Sending may have taken long, and only an owner may send a watermark.
                if not self.membership.lease_is_valid():
                    return
                await self._send_to(jobs, machine_shard, owner, now)

    async def _send_to(
        self, jobs: JobShard, machine_shard: int, owner: ShardOwner, now: float
    ) -> None:
        outbox = jobs.outboxes[machine_shard]
        resend = now - outbox.sent_at >= RESEND_INTERVAL_S
        unacknowledged = resend and outbox.acked_seq < outbox.seq
        due = outbox.has_updates or outbox.epoch != owner.epoch or resend
        watermark_ms = self.watermark_ms(jobs, machine_shard, owner.epoch)
        if owner.node == self.context.node:
            if due and machine_shard in self.owned.machines:
                self.apply(
                    jobs.desired_state_message(
                        machine_shard, owner.epoch, unacknowledged, watermark_ms
                    )
                )
            return
        link = self.peers.links.get(owner.node)
        if link is None:
            return
        new_link = self.links.get((jobs.shard, machine_shard)) is not link
        if due or new_link:
            self.links[(jobs.shard, machine_shard)] = link
            full = unacknowledged or new_link
            message = jobs.desired_state_message(machine_shard, owner.epoch, full, watermark_ms)
            await self.peers.enqueue(owner.node, pb.Envelope(desired_state=message))

    def watermark_ms(self, jobs: JobShard, machine_shard: int, epoch: int) -> int:
        """Return the cancellation watermark of the next message to a machine shard.

        The message lacks no cancellation up to this time. It is the latest time on the clock of
        the machine shard's owner that arrived here before the first of those cancellations was
        sent whose outcome is still unknown. 0 if there is none.
        """
        snapshot = self.snapshots.get(machine_shard)
        if snapshot is None or snapshot.epoch != epoch:
            return 0
        unresolved = jobs.unresolved_cancellations()
        return snapshot.watermark_ms(min(unresolved.values(), default=math.inf))

    def apply(self, message: pb.DesiredState) -> None:
        """Apply a message to its machine shard, if this controller owns the shard."""
        machines = self.owned.machines.get(message.to_shard)
        if machines is not None:
            machines.apply_desired_state(message)

    def full_messages(self, node: int) -> Iterator[pb.Envelope]:
        """Yield full messages for all machine shards of a peer, to be relayed.

        The next messages sent to it directly are full, too.
        """
        for writer in self.owned.writers.values():
            jobs = writer.shard
            for machine_shard, owner in self.membership.owners.items():
                if owner.node != node or not jobs.loaded:
                    continue
                watermark_ms = self.watermark_ms(jobs, machine_shard, owner.epoch)
                message = jobs.desired_state_message(machine_shard, owner.epoch, True, watermark_ms)
                yield pb.Envelope(desired_state=message)
                self.links.pop((jobs.shard, machine_shard), None)

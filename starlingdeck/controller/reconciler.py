"""The reconciliation loop, which brings owned shards from their observed to their desired state."""

from collections.abc import Callable, Mapping

import curio
from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.controller.token_raiser import TokenRaiser
from starlingdeck.controller.worker_caller import WorkerCaller
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import RequestBudget
from starlingdeck.sync.state_sync import StateSync

MAX_RECONCILE_INTERVAL_S = 0.1
MIN_RECONCILE_INTERVAL_S = 0.04  # changes that arrive within it are handled in one round


class Reconciler(Struct, kw_only=True, eq=False, dict=True):
    """Calls workers, publishes snapshots and sends desired state, in rounds."""

    context: ControllerContext
    request_budget: RequestBudget
    membership: Membership
    machines: Mapping[int, MachineShard]
    writers: Mapping[int, RecordWriter]
    worker_caller: WorkerCaller
    token_raiser: TokenRaiser
    state_sync: StateSync
    build_gossip: Callable[[], pb.Gossip]
    wake: curio.Event
    flush: curio.Event

    async def run(self) -> None:
        """Reconcile when woken, and after MAX_RECONCILE_INTERVAL_S at the latest."""
        while True:
            async with curio.ignore_after(MAX_RECONCILE_INTERVAL_S):
                await self.wake.wait()
            self.wake.clear()
            await self.reconcile()
            await curio.sleep(MIN_RECONCILE_INTERVAL_S)

    async def reconcile(self) -> None:
        """Run one round over all owned shards."""
        lease_valid = self.membership.lease_is_valid()
        now = self.context.now()
        if lease_valid:
            self.request_budget.share_among(len(self.membership.live_nodes))
        for shard, machines in list(self.machines.items()):
            await self.worker_caller.send_due_commands(machines, lease_valid)
            if lease_valid and machines.needs_new_token():
                await self.token_raiser.request(shard)
        if await self.state_sync.publish_snapshots(lease_valid, now):
            await self.flush.set()
        self.state_sync.drop_expired(now)
        if lease_valid:
            # Only a controller that certainly owns a job shard may send its desired state. When a
            # former owner also sent it, its message was the first to reach the new owner of a
            # machine shard, and restarted a task that had been cancelled long before.
            await self.state_sync.send_desired_state(now)
            for node, text in self.state_sync.build_relay_texts(now, self.build_gossip):
                await curio.spawn(self.state_sync.write_relay, node, text, daemon=True)
        if any(writer.shard.dirty_jobs for writer in self.writers.values()):
            await self.flush.set()

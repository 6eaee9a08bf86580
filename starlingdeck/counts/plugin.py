"""The admission plugin of counted resources, assembled from the parts of this package."""

import logging
from collections.abc import Mapping, Sequence

import curio

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.counts import gossip as counts_gossip
from starlingdeck.counts import wait_reasons
from starlingdeck.counts.allocation import LedgerTransaction
from starlingdeck.counts.declaration import LedgerDeclaration
from starlingdeck.counts.headroom import UnitHeadroom
from starlingdeck.counts.http_api import CountsApi
from starlingdeck.counts.ledger import describe
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.counts.unit_preemption import UnitPreemption
from starlingdeck.counts.unit_release import UnitReleaser
from starlingdeck.counts.waiting_queue import WaitingQueue
from starlingdeck.jobs.admission import WaitReason
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import CountSettings
from starlingdeck.storage import records
from starlingdeck.storage.state import StateClient, StateError
from starlingdeck.transport.server import Request, Response

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_S = 0.1
MIN_RETRY_S = 0.2  # after the state service could not be used; a random part is added
MAX_RETRY_JITTER_S = 0.3
MAX_LOGGED_RESOURCES = 200


class CountedResourcePlugin:
    """The `DurablePlugin` that limits tasks by counted resources on this controller."""

    prefix = records.COUNT_PREFIX
    path = api.COUNTS

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        writers: Mapping[int, RecordWriter],
        settings: CountSettings,
    ) -> None:
        self.context = context
        self.membership = membership
        self.writers = writers
        self.settings = settings
        self.store = LedgerStore(context, state, writers)
        self.queue = WaitingQueue(context, writers, settings.turn_s)
        self.unit_headroom = UnitHeadroom(self.store, self.queue, settings)
        self.releaser = UnitReleaser(self.store, self.queue, self.unit_headroom, settings.idle_s)
        self.preemption = UnitPreemption(self.store, self.queue)
        self.declaration = LedgerDeclaration(self.store, settings)
        self.api = CountsApi(self.store)

    # --- which tasks may start

    def is_due(self) -> bool:
        """Return whether units became free since the last cycle."""
        return self.unit_headroom.is_due()

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Begin a scheduling cycle, in which `jobs` have tasks to place."""
        self.unit_headroom.begin_cycle(jobs)

    def on_idle(self) -> None:
        """Clear what was computed for waiting tasks: none waits."""
        self.unit_headroom.on_idle()

    def headroom(self, job: Job) -> int:
        """Return for how many more of the job's tasks units are available."""
        return self.unit_headroom.headroom(job)

    def on_requested(self, job: Job, tasks: int) -> None:
        """Count the units of that many more of the job's tasks as used."""
        self.unit_headroom.on_requested(job, tasks)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Return every reason why the job's next task may not start now."""
        return wait_reasons.wait_reasons(self.store, self.queue, job)

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Return why the tasks of a job can never have their units; empty if they can."""
        return await wait_reasons.rejection_reason(self.store, spec)

    # --- ledgers and transactions

    def on_key_changed(self, key: str, value: bytes, version: int) -> None:
        """Update a ledger from the value of its key. Raises ValueError if it is not valid."""
        self.store.on_key_changed(key, value, version)

    def begin_transaction(self, shard: JobShard) -> LedgerTransaction:
        """Return the ledgers' part of a transaction of a job shard."""
        return LedgerTransaction(self.store, shard, self.unit_headroom.is_wanted)

    async def settle(self, shard: JobShard) -> None:
        """Invalidate the writes of a shard whose outcome is unknown."""
        await self.store.settle(shard)

    # --- gossip between controllers

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        """Add what peers must know of this controller's waiting and running tasks."""
        counts_gossip.add_to_gossip(self.context, self.queue, self.preemption, gossip)

    def receive_gossip(self, sender: int, gossip: pb.Gossip) -> None:
        """Replace what is known of a peer's waiting and running tasks."""
        counts_gossip.receive_gossip(self.context, self.queue, self.preemption, sender, gossip)

    # --- operators' requests and log

    async def serve(self, request: Request) -> Response:
        """Answer an operator's request under `path`."""
        return await self.api.handle(request)

    def lines(self) -> list[str]:
        """Return one log line for each resource that is allocated or waited for."""
        waiting: dict[int, int] = {}
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                for resource, _ in job.resource_needs:
                    tasks = job.unfinished - len(job.placements)
                    waiting[resource] = waiting.get(resource, 0) + tasks
        names, ledgers = self.context.resource_names, self.store.ledgers
        in_demand = [r for r, ledger in ledgers.items() if ledger.total or waiting.get(r)]
        return [
            f"counted resource: resource={names[r]} {describe(ledgers[r])}"
            f" waiting_tasks={waiting.get(r, 0)}"
            for r in in_demand[:MAX_LOGGED_RESOURCES]
        ]

    # --- maintenance

    async def run(self) -> None:
        """Declare resources, release idle units and preempt, until cancelled."""
        while True:
            await curio.sleep(MAINTENANCE_INTERVAL_S)
            if not (self.membership.lease_is_valid() and self.membership.synced):
                continue
            try:
                await self.declaration.declare()
                for writer in list(self.writers.values()):
                    if writer.shard.loaded:
                        await self.releaser.release(writer)
            except StateError as error:
                log.info("counted resource upkeep failed: error=%s", error)
                await curio.sleep(MIN_RETRY_S + MAX_RETRY_JITTER_S * self.context.rng.random())
            self.preemption.preempt()

"""Admission control: limits how many of a job's tasks may start.

Each kind of limit is a plugin. It says how many more of a job's tasks may start, and why the next
one may not. A durable plugin also takes part in the transactions that start and end tasks.
"""

from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

from starlingdeck.context import UNBOUNDED
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.server import Request, Response


class WaitReason(Struct, frozen=True):
    """Why a job's next task may not start, and what would change that."""

    reason: str
    released_by: str


class AdmissionPlugin(Protocol):
    """One kind of limit on starting tasks."""

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Called when a scheduling cycle begins; `jobs` have tasks to place and are in no order."""

    def headroom(self, job: Job) -> int:
        """Return how many more of the job's tasks may start; called in scheduling order."""

    def on_requested(self, job: Job, tasks: int) -> None:
        """Called when reservations are requested for `tasks` more of the job's tasks."""

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Return every reason that applies now; empty if the next task may start."""

    def on_idle(self) -> None:
        """Called when no task waits for placement."""


class TransactionReservation(Protocol):
    """What one transaction of a job shard reserves from a plugin's limits and releases."""

    def admit(self, job: Job) -> None:
        """Withhold the job's pending starts that the limits don't allow now."""

    def add(self, update: JobUpdate) -> bool:
        """Add a job's update; return False if its starts aren't allowed."""

    def remove_last(self) -> None:
        """Remove the last update again because the transaction has no room for it."""

    def key_count(self) -> int:
        """Return how many keys are needed so far, in addition to the keys of the jobs' records.

        Each is a condition of the transaction, and may be a change.
        """

    def conditions_and_changes(self) -> tuple[dict[str, int], list[api.Change]]:
        """Return the conditions and changes for these keys; no update is added afterwards."""

    def on_committed(self, revision: int) -> None:
        """Called when the transaction is durable; `revision` is the version of its keys."""

    async def on_conflict(self, failed: list[str]) -> bool:
        """Called when the conditions on the keys `failed` did not hold.

        Return True if any of them belongs to the plugin; the transaction may then be retried.
        """

    def on_unknown_outcome(self) -> None:
        """Called when the transaction was not answered: it may still be executed."""


class DurablePlugin(AdmissionPlugin, Protocol):
    """A plugin whose grants are written in the transactions that start and end the tasks."""

    prefix: str  # of the plugin's keys; the cluster's watch reports their changes
    path: str  # prefix of the paths of the operators' requests that the plugin answers

    def is_due(self) -> bool:
        """Return whether a resource too scarce to wait for the next cycle was released."""

    def on_key_changed(self, key: str, value: bytes, version: int) -> None:
        """Called when the cluster's watch reports a change to one of the plugin's keys."""

    def begin_transaction(self, shard: JobShard) -> TransactionReservation:
        """Return an empty reservation for the next transaction of this shard."""

    async def settle(self, shard: JobShard) -> None:
        """Resolve transactions of unknown outcome, and mark their jobs to be read again."""

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Return why a job can never run; "" if it can."""

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        """Add to a gossip message what other controllers' plugins need."""

    def receive_gossip(self, sender: int, gossip: pb.Gossip) -> None:
        """Apply what another controller's plugin added to its gossip."""

    async def serve(self, request: Request) -> Response:
        """Answer an operator's request under `path`."""

    async def run(self) -> None:
        """Run the plugin's own loop for as long as the controller runs."""

    def lines(self) -> list[str]:
        """Return the lines to be logged once a minute."""


class AdmissionController:
    """Combines all admission plugins."""

    def __init__(self, plugins: list[AdmissionPlugin]) -> None:
        self.plugins = plugins
        self.durable: DurablePlugin | None = None  # applies only to jobs with resource needs

    def register(self, plugin: DurablePlugin) -> None:
        """Add the durable plugin."""
        self.durable = plugin

    def _all(self) -> list[AdmissionPlugin]:
        return self.plugins if self.durable is None else [*self.plugins, self.durable]

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Notify all plugins that a scheduling cycle begins for `jobs`, which are in no order."""
        for plugin in self._all():
            await plugin.begin_cycle(jobs)

    def headroom(self, job: Job) -> int:
        """Return how many more of the job's tasks all limits allow; called in scheduling order."""
        headroom = UNBOUNDED
        for plugin in self.plugins:
            headroom = min(headroom, plugin.headroom(job))
        if job.resource_needs:
            if self.durable is None:
                return 0
            headroom = min(headroom, self.durable.headroom(job))
        return headroom

    def on_requested(self, job: Job, tasks: int) -> None:
        """Notify all plugins that reservations are requested for `tasks` more of a job's tasks."""
        for plugin in self._all() if tasks else ():
            plugin.on_requested(job, tasks)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Return every reason that applies now; empty if the next task may start."""
        if job.resource_needs and self.durable is None:
            return [WaitReason("counts are switched off here", "a controller that keeps them")]
        return [reason for plugin in self._all() for reason in plugin.wait_reasons(job)]

    def is_due(self) -> bool:
        """Return whether a resource too scarce to wait for the next cycle was released."""
        return self.durable is not None and self.durable.is_due()

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Return why a job can never run; "" if it can."""
        if self.durable is not None:
            return await self.durable.rejection_reason(spec)
        return "counts: none are kept here" if any((spec.counts or {}).values()) else ""

    def on_idle(self) -> None:
        """Notify all plugins that no task waits for placement."""
        for plugin in self._all():
            plugin.on_idle()

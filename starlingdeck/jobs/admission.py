"""Admission: how many of a job's tasks may be placed, whatever kind of limit applies.

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
    """One kind of limit."""

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """A scheduling cycle begins; these jobs have tasks to place, in no order."""

    def headroom(self, job: Job) -> int:
        """How many more of the job's tasks may start; called in scheduling order."""

    def on_requested(self, job: Job, tasks: int) -> None:
        """Reservations are being requested for that many more of the job's tasks."""

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Every reason that applies now; empty if the next task may start."""

    def on_idle(self) -> None:
        """No task waits for placement."""


class TransactionReservation(Protocol):
    """What one transaction of a job shard takes from a plugin's limits and gives back."""

    def admit(self, job: Job) -> None:
        """Withhold those of the job's starts that the limits don't allow now."""

    def add(self, update: JobUpdate) -> bool:
        """Take up a job's update; False if its starts aren't allowed."""

    def remove_last(self) -> None:
        """Take the last update out again: the transaction has no room for it."""

    def key_count(self) -> int:
        """Keys so far, beside those of the jobs: each is a condition, and may be a change."""

    def conditions_and_changes(self) -> tuple[dict[str, int], list[api.Change]]:
        """Conditions and changes; after this nothing is added."""

    def on_committed(self, revision: int) -> None:
        """The transaction is durable: `revision` is the version of the keys that it wrote."""

    async def on_conflict(self, failed: list[str]) -> bool:
        """The transaction met a conflict; True if it was (also) ours, and may be retried."""

    def on_unknown_outcome(self) -> None:
        """The transaction was not answered: it may still be executed."""


class DurablePlugin(AdmissionPlugin, Protocol):
    """A plugin whose grants are written together with the starts and ends they are for."""

    prefix: str  # of its keys; the cluster's watch reports their changes
    path: str  # of the operators' requests that it answers

    def is_due(self) -> bool:
        """Whether something was released that is too scarce to wait for the next cycle."""

    def on_key_changed(self, key: str, value: bytes, version: int) -> None:
        """One of its keys has changed, by the cluster's watch."""

    def begin_transaction(self, shard: JobShard) -> TransactionReservation:
        """A transaction of this shard is about to be put together."""

    async def settle(self, shard: JobShard) -> None:
        """Find out what became of unanswered transactions; marks the jobs to be read again."""

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Why a job can never run; "" if it can."""

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        """Add to a gossip message what other controllers' plugins need."""

    def receive_gossip(self, sender: int, gossip: pb.Gossip) -> None:
        """Take in what another controller's plugin added to its gossip."""

    async def serve(self, request: Request) -> Response:
        """Answer an operator's request under `path`."""

    async def run(self) -> None:
        """The plugin's own loop, for as long as the controller runs."""

    def lines(self) -> list[str]:
        """Lines for the log, once a minute."""


class AdmissionController:
    """All admission plugins together."""

    def __init__(self, plugins: list[AdmissionPlugin]) -> None:
        self.plugins = plugins
        self.durable: DurablePlugin | None = None  # applies only to jobs with resource needs

    def register(self, plugin: DurablePlugin) -> None:
        """Add the durable plugin."""
        self.durable = plugin

    def _all(self) -> list[AdmissionPlugin]:
        return self.plugins if self.durable is None else [*self.plugins, self.durable]

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """A scheduling cycle begins; these jobs have tasks to place, in no order."""
        for plugin in self._all():
            await plugin.begin_cycle(jobs)

    def headroom(self, job: Job) -> int:
        """How many more of the job's tasks may start by all limits; in scheduling order."""
        headroom = UNBOUNDED
        for plugin in self.plugins:
            headroom = min(headroom, plugin.headroom(job))
        if job.resource_needs:
            if self.durable is None:
                return 0
            headroom = min(headroom, self.durable.headroom(job))
        return headroom

    def on_requested(self, job: Job, tasks: int) -> None:
        """Reservations are being requested for that many more of the job's tasks."""
        for plugin in self._all() if tasks else ():
            plugin.on_requested(job, tasks)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Every reason that applies now; empty if the next task may start."""
        if job.resource_needs and self.durable is None:
            return [WaitReason("counts are switched off here", "a controller that keeps them")]
        return [reason for plugin in self._all() for reason in plugin.wait_reasons(job)]

    def is_due(self) -> bool:
        """Whether something was released that is too scarce to wait for the next cycle."""
        return self.durable is not None and self.durable.is_due()

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Why a job can never run; "" if it can."""
        if self.durable is not None:
            return await self.durable.rejection_reason(spec)
        return "counts: none are kept here" if any((spec.counts or {}).values()) else ""

    def on_idle(self) -> None:
        """No task waits for placement."""
        for plugin in self._all():
            plugin.on_idle()

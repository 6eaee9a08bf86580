"""What may hold a task back before it is placed: one question, whatever the limit is.

Each kind of limit is a gate. A gate says how many more of a job's tasks may start and why the
next one may not. A gate with a durable side also joins the transactions that start and end tasks.
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
        """A plan begins; these jobs have tasks to place, in no order."""

    def headroom(self, job: Job) -> int:
        """For how many more of the job's tasks there is room. Asked in the order of the plan."""

    def on_requested(self, job: Job, tasks: int) -> None:
        """Machines are being asked for that many more of the job's tasks."""

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Every reason that holds now; empty if the next task may start."""

    def on_idle(self) -> None:
        """Nothing waits."""


class TransactionReservation(Protocol):
    """What one transaction of a job shard takes and gives back."""

    def admit(self, job: Job) -> None:
        """Withhold those of the job's starts that there is no room for now."""

    def add(self, update: JobUpdate) -> bool:
        """Take up a job's part; False if its starts can't come in."""

    def remove_last(self) -> None:
        """Take the last part out again: the transaction has no room for it."""

    def key_count(self) -> int:
        """Keys so far, beside those of the jobs: each is a condition, and may be a change."""

    def conditions_and_changes(self) -> tuple[dict[str, int], list[api.Change]]:
        """Conditions and changes; after this nothing is added."""

    def on_committed(self, revision: int) -> None: ...

    async def on_conflict(self, failed: list[str]) -> bool:
        """The transaction met a conflict; True if it was (also) ours, and may be tried again."""

    def on_unknown_outcome(self) -> None:
        """No answer: the transaction may be executed yet."""


class DurablePlugin(AdmissionPlugin, Protocol):
    """A gate whose grants are written together with the starts and ends they are for."""

    def is_due(self) -> bool:
        """Whether something came free that is too dear to lie idle until the next plan."""

    prefix: str  # of its keys; the cluster's watch brings their changes
    path: str  # of the operators' requests that it answers

    def on_key_changed(self, key: str, value: bytes, version: int) -> None: ...

    def begin_transaction(self, shard: JobShard) -> TransactionReservation: ...

    async def settle(self, shard: JobShard) -> None:
        """End the doubt that unanswered transactions left; marks the jobs to be read again."""

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Why a job can never run, or nothing."""

    def add_to_gossip(self, gossip: pb.Gossip) -> None: ...

    def receive_gossip(self, sender: int, gossip: pb.Gossip) -> None: ...

    async def serve(self, request: Request) -> Response: ...

    async def run(self) -> None: ...

    def lines(self) -> list[str]:
        """For the log, once a minute."""


class AdmissionController:
    """All gates in one."""

    def __init__(self, gates: list[AdmissionPlugin]) -> None:
        self.plugins = gates
        self.durable: DurablePlugin | None = None  # asked of jobs with needs only

    def register(self, gate: DurablePlugin) -> None:
        self.durable = gate

    def _all(self) -> list[AdmissionPlugin]:
        return self.plugins if self.durable is None else [*self.plugins, self.durable]

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        for gate in self._all():
            await gate.begin_cycle(jobs)

    def headroom(self, job: Job) -> int:
        room = UNBOUNDED
        for gate in self.plugins:
            room = min(room, gate.headroom(job))
        if job.resource_needs:
            room = min(room, self.durable.headroom(job)) if self.durable is not None else 0
        return room

    def on_requested(self, job: Job, tasks: int) -> None:
        for gate in self._all() if tasks else ():
            gate.on_requested(job, tasks)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Every reason that holds now; empty if the next task may start."""
        if job.resource_needs and self.durable is None:
            return [WaitReason("counts are switched off here", "a controller that keeps them")]
        return [error for gate in self._all() for error in gate.wait_reasons(job)]

    def is_due(self) -> bool:
        return self.durable is not None and self.durable.is_due()

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        """Why a job can never run, or nothing."""
        if self.durable is not None:
            return await self.durable.rejection_reason(spec)
        return "counts: none are kept here" if any((spec.counts or {}).values()) else ""

    def on_idle(self) -> None:
        for gate in self._all():
            gate.on_idle()

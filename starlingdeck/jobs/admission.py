"""What may hold a task back before it is placed: one question, whatever the limit is.

Each kind of limit is a gate. A gate says how many more of a job's tasks may start and why the
next one may not. A gate with a durable side also joins the transactions that start and end tasks.
"""

from collections.abc import Sequence
from typing import Protocol

from msgspec import Struct

from starlingdeck.context import MANY
from starlingdeck.jobs.job import Draft, Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.server import Request, Response


class Wait(Struct, frozen=True):
    """Why a job's next task may not start, and what would change that."""

    because: str
    released_by: str


class Gate(Protocol):
    """One kind of limit."""

    async def note(self, jobs: Sequence[Job]) -> None:
        """A plan begins; these jobs have tasks to place, in no order."""

    def spare(self, job: Job) -> int:
        """For how many more of the job's tasks there is room. Asked in the order of the plan."""

    def picked(self, job: Job, tasks: int) -> None:
        """Machines are being asked for that many more of the job's tasks."""

    def waits(self, job: Job) -> list[Wait]:
        """Every reason that holds now; empty if the next task may start."""

    def idle(self) -> None:
        """Nothing waits."""


class Grant(Protocol):
    """What one transaction of a job shard takes and gives back."""

    def admit(self, job: Job) -> None:
        """Withhold those of the job's starts that there is no room for now."""

    def add(self, draft: Draft) -> bool:
        """Take up a job's part; False if its starts can't come in."""

    def drop(self) -> None:
        """Take the last part out again: the transaction has no room for it."""

    def size(self) -> int:
        """Keys so far, beside those of the jobs: each is a condition, and may be a change."""

    def parts(self) -> tuple[dict[str, int], list[api.Change]]:
        """Conditions and changes; after this nothing is added."""

    def done(self, revision: int) -> None: ...

    async def refused(self, failed: list[str]) -> bool:
        """The transaction met a conflict; True if it was (also) ours, and may be tried again."""

    def unknown(self) -> None:
        """No answer: the transaction may be executed yet."""


class Durable(Gate, Protocol):
    """A gate whose grants are written together with the starts and ends they are for."""

    def due(self) -> bool:
        """Whether something came free that is too dear to lie idle until the next plan."""

    prefix: str  # of its keys; the cluster's watch brings their changes
    path: str  # of the operators' requests that it answers

    def learn(self, key: str, value: bytes, version: int) -> None: ...

    def open(self, shard: JobShard) -> Grant: ...

    async def settle(self, shard: JobShard) -> None:
        """End the doubt that unanswered transactions left; marks the jobs to be read again."""

    async def refuse(self, spec: api.JobSpec) -> str:
        """Why a job can never run, or nothing."""

    def greet(self, hello: pb.Hello) -> None: ...

    def greeted(self, sender: int, hello: pb.Hello) -> None: ...

    async def serve(self, request: Request) -> Response: ...

    async def run(self) -> None: ...

    def lines(self) -> list[str]:
        """For the log, once a minute."""


class Admission:
    """All gates in one."""

    def __init__(self, gates: list[Gate]) -> None:
        self.gates = gates
        self.durable: Durable | None = None  # asked of jobs with needs only

    def install(self, gate: Durable) -> None:
        self.durable = gate

    def _all(self) -> list[Gate]:
        return self.gates if self.durable is None else [*self.gates, self.durable]

    async def note(self, jobs: Sequence[Job]) -> None:
        for gate in self._all():
            await gate.note(jobs)

    def spare(self, job: Job) -> int:
        room = MANY
        for gate in self.gates:
            room = min(room, gate.spare(job))
        if job.needs:
            room = min(room, self.durable.spare(job)) if self.durable is not None else 0
        return room

    def picked(self, job: Job, tasks: int) -> None:
        for gate in self._all() if tasks else ():
            gate.picked(job, tasks)

    def waits(self, job: Job) -> list[Wait]:
        """Every reason that holds now; empty if the next task may start."""
        if job.needs and self.durable is None:
            return [Wait("counts are switched off here", "a controller that keeps them")]
        return [why for gate in self._all() for why in gate.waits(job)]

    def due(self) -> bool:
        return self.durable is not None and self.durable.due()

    async def refuse(self, spec: api.JobSpec) -> str:
        """Why a job can never run, or nothing."""
        if self.durable is not None:
            return await self.durable.refuse(spec)
        return "counts: none are kept here" if any((spec.counts or {}).values()) else ""

    def idle(self) -> None:
        for gate in self._all():
            gate.idle()

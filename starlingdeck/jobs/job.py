"""A job in the memory of its shard's owner."""

from array import array
from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.context import ControllerContext, Resources, requested_resources
from starlingdeck.machines import failure_attribution
from starlingdeck.protocol import api
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.records import TASKS_PER_CHUNK

PENDING, PLACED, DONE = range(3)  # values of `Job.task_states`
NEVER_EXPIRES = 1e18
MIN_URGENT_RANK = 2  # starts of jobs from this rank on are as urgent as accepting a submission


class EndProof(NamedTuple):
    """Why an attempt is known to be over, and when that was learnt (seconds of our clock)."""

    proof: str
    ended_at: float


class TaskPlacement(Struct):
    """Where an attempt is placed, as recorded, and what has been observed of it."""

    machine: int
    session: int
    attempt: int
    shard: int
    zone: int
    published_seq: int = 0  # the desired-state message that first named it,
    published_epoch: int = 0  # and the epoch of the owner that message was for
    observed_state: int = api.TASK_PENDING
    state_since: float = 0.0  # 0: read from a record
    grace_s: float = 0.0
    descheduled: bool = False
    releasing: bool = False  # is to stop, so that a unit of a count is released
    protected: bool = False  # not to be preempted: its class is below its minimum share
    target: "TaskPlacement | None" = None  # where it moves once it has stopped (DESIGN 5)
    reserved_until: float = NEVER_EXPIRES  # when its reservation expires


class Job(Struct):
    """A job: what is durable of it, what is to be written next, and what delays its tasks."""

    index: int
    id: str
    spec: JobSpec
    shard: int
    team: int
    submitted_ms: int
    size: Resources
    task_states: "array[int]"
    attempts: "array[int]"
    cancelled: bool = False
    terminal_state: str = ""
    key_versions: dict[int, int] = field(default_factory=dict)  # chunk -> version of its key
    placements: dict[int, TaskPlacement] = field(default_factory=dict)
    pending_ends: dict[int, int] = field(default_factory=dict)  # task -> cause of its end
    pending_starts: dict[int, TaskPlacement] = field(default_factory=dict)
    reserving: dict[int, int] = field(default_factory=dict)  # task -> zone of the reservation asked
    retry_at: dict[int, float] = field(default_factory=dict)
    avoided_machines: dict[int, set[int]] = field(default_factory=dict)
    failed_on: set[int] = field(default_factory=set)  # machines
    errors: int = 0
    # Tasks that asked for capacity on a machine that has their image.
    preemption_tried: set[int] = field(default_factory=set)
    nominated: dict[int, tuple[int, float]] = field(default_factory=dict)  # task -> machine, until
    accumulating: set[int] = field(default_factory=set)  # of those: nothing is preempted for them
    backoff_until: float = 0.0
    completed: int = 0
    resource_needs: tuple[tuple[int, int], ...] = ()  # of each task: count, units
    withheld: frozenset[int] = frozenset()  # starts that no unit is free for now
    end_proofs: dict[int, EndProof] | None = None  # only of tasks with resource needs
    stale: bool = False
    outcome_unknown: bool = False  # an end or cancellation was sent: the record may be ahead of us
    # Chunks in which a write that ends tasks was sent: more of them may be recorded as done.
    uncertain_chunks: set[int] = field(default_factory=set)
    first_pending: int = 0
    guaranteed: bool = False
    # By the team's objectives, soonest first; computed on demand.
    due_times_ms: tuple[float, ...] | None = None

    @property
    def failure_evidence(self) -> int:
        """What its errors say about the machines that it ran on."""
        if self.completed:
            return failure_attribution.FINE
        return (
            failure_attribution.BROKEN
            if len(self.failed_on) >= failure_attribution.BROKEN_JOB_MACHINES
            else failure_attribution.UNKNOWN
        )

    @property
    def unfinished(self) -> int:
        """How many tasks have not completed."""
        return self.spec.tasks - self.completed

    @property
    def grace_s(self) -> float:
        """How long a task may take to save its state before it stops."""
        return self.spec.save_s + 1.0 if self.spec.checkpoint_s > 0 else 0.0

    def pending(self, limit: int) -> list[int]:
        """Up to `limit` tasks that wait for a machine."""
        if self.cancelled or self.terminal_state:
            return []
        found: list[int] = []
        task = self.first_pending = self._next_pending(self.first_pending)
        while task < self.spec.tasks and len(found) < limit:
            if task not in self.pending_starts and task not in self.reserving:
                found.append(task)
            task = self._next_pending(task + 1)
        return found

    def _next_pending(self, first: int) -> int:
        """The first pending task from `first` on; the number of tasks if there is none."""
        try:
            return self.task_states.index(PENDING, first)
        except ValueError:
            return self.spec.tasks

    def ready(self, limit: int, now: float) -> list[int]:
        """Those of `pending(limit)` whose retry delay is over."""
        return [task for task in self.pending(limit) if self.retry_at.get(task, 0.0) <= now]

    def unknown_done(self, number: int, bits: int) -> int:
        """How many of the tasks done by `bits`, the bitmap of chunk `number`, are not done here."""
        first = number * TASKS_PER_CHUNK
        known = int(records.encode_completed(self.task_states, first, DONE) or "0", 16)
        return (bits & ~known).bit_count()

    def active_attempts(self) -> int:
        """Attempts that may be using a machine: recorded, or about to be."""
        return len(self.placements) + len(self.pending_starts) + len(self.reserving)


def new_job(context: ControllerContext, spec: JobSpec, shard: int, at_ms: int) -> Job:
    """A job none of whose tasks has been placed; `at_ms`: when it was submitted."""
    tasks = spec.tasks
    return Job(
        index=context.job_names.intern(spec.id),
        id=spec.id,
        spec=spec,
        shard=shard,
        team=context.team_names.intern(spec.team),
        submitted_ms=at_ms,
        size=requested_resources(spec),
        task_states=array("B", bytes(tasks)),
        attempts=array("I", bytes(4 * tasks)),
        resource_needs=tuple(
            (context.resource_names.intern(name), units)
            for name, units in (spec.counts or {}).items()
            if units
        ),
    )

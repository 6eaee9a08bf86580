"""In-memory state of a job at its shard's owner."""

from array import array
from collections.abc import Collection, Mapping
from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.context import ControllerContext, Resources, requested_resources
from starlingdeck.machines import failure_attribution
from starlingdeck.protocol import api
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.records import TASKS_PER_CHUNK

PENDING, PLACED, DONE = range(3)  # values of `Job.task_states`
TASK_STATE_NAMES = ("pending", "placed", "done")
NEVER_EXPIRES = 1e18  # later than any time of the local clock
# An attempt that has run for so long shows that its job can run.
STEADY_RUN_S = 15.0
MIN_URGENT_RANK = 2  # from this rank on, starts are as urgent as accepting a submission


class EndProof(NamedTuple):
    """Why an attempt is known to be over, and when this became known (local clock, seconds)."""

    proof: str
    ended_at: float


class TaskPlacement(Struct):
    """Where an attempt is placed according to the job's record, and what was observed of it."""

    machine: int
    session: int
    attempt: int
    shard: int
    zone: int
    published_seq: int = 0  # number of the desired-state message that first contained the attempt
    published_epoch: int = 0  # epoch of the machine shard's owner to which that message was sent
    observed_state: int = api.TASK_PENDING
    state_since: float = 0.0  # 0: read from a record
    grace_s: float = 0.0
    descheduled: bool = False
    releasing: bool = False  # to be stopped, so that its units of a counted resource are released
    protected: bool = False  # not to be preempted: its class is below its minimum share
    target: "TaskPlacement | None" = None  # where the task moves once it has stopped (DESIGN 5)
    reserved_until: float = NEVER_EXPIRES  # when its reservation expires
    machine_type: int | None = None  # interned; None: read from a record
    spot: bool = False  # False too if read from a record


class Job(Struct):
    """A job: its durable state, the changes to be written next, and what delays its tasks."""

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
    pending_ends: dict[int, int] = field(default_factory=dict)  # task -> cause of the end
    pending_starts: dict[int, TaskPlacement] = field(default_factory=dict)
    reserving: dict[int, int] = field(default_factory=dict)  # task -> zone of the requested machine
    retry_at: dict[int, float] = field(default_factory=dict)
    avoided_machines: dict[int, set[int]] = field(default_factory=dict)
    # Task -> machine where an attempt has ended -> until when it may keep that attempt, which has
    # to be removed before the task can start there.
    former_machines: dict[int, dict[int, float]] = field(default_factory=dict)
    failed_on: set[int] = field(default_factory=set)  # machines where its tasks have failed
    errors: int = 0
    # Tasks that have requested preemption on a machine because it has their image.
    preemption_tried: set[int] = field(default_factory=set)
    # Task -> its nominated machine, and the time at which the nomination ends.
    nominated: dict[int, tuple[int, float]] = field(default_factory=dict)
    accumulating: set[int] = field(default_factory=set)  # nominated tasks that preempt nothing
    backoff_until: float = 0.0
    completed: int = 0
    resource_needs: tuple[tuple[int, int], ...] = ()  # each task's counts and units of them
    withheld: frozenset[int] = frozenset()  # tasks whose starts wait for free units
    end_proofs: dict[int, EndProof] | None = None  # only for tasks with resource needs
    stale: bool = False  # the record has to be read again before it is written
    # The job's end or cancellation was sent: it may be recorded without this controller knowing.
    outcome_unknown: bool = False
    # Chunks for which a write that completes tasks was sent: more of their tasks may be recorded as
    # done than are known here.
    uncertain_chunks: set[int] = field(default_factory=set)
    # Starts whose write was not answered: they may be recorded, now or later, without being known
    # here, and count as if they were until that is ruled out.
    uncertain_starts: dict[int, TaskPlacement] = field(default_factory=dict)
    first_pending: int = 0
    guaranteed: bool = False
    # When the job should have finished by its class's objectives and its deadline, soonest first;
    # computed on demand.
    due_times_ms: tuple[float, ...] | None = None

    @property
    def failure_evidence(self) -> int:
        """What the job's failures and successes say about the machines that it failed on."""
        if self.completed:
            return failure_attribution.FINE
        return (
            failure_attribution.BROKEN
            if len(self.failed_on) >= failure_attribution.BROKEN_JOB_MACHINES
            else failure_attribution.UNKNOWN
        )

    def fails_everywhere(self, machines: int, now: float) -> bool:
        """Return whether the job has failed on as many machines, and no attempt of it runs well.

        Beside one that does, the machines are to blame. Without that, a service that had failed on
        three machines never got a replica back, as replicas don't complete.
        """
        return len(self.failed_on) >= machines and not any(
            placement.observed_state == api.TASK_RUNNING
            and now - placement.state_since >= STEADY_RUN_S
            for placement in self.placements.values()
        )

    @property
    def unfinished(self) -> int:
        """The number of tasks that have not completed."""
        return self.spec.tasks - self.completed

    @property
    def grace_s(self) -> float:
        """How long a task may take to save its state before it is stopped, in seconds."""
        return self.spec.save_s + 1.0 if self.spec.checkpoint_s > 0 else 0.0

    def may_start(self, task: int, attempt: int) -> bool:
        """Return whether an attempt may be recorded as started, now or together with pending ends.

        A task's next attempt may start while none is recorded, or when the recorded one ends
        without completing the task. This is asked again before each write, because the task may
        have changed while a reservation was awaited.
        """
        if self.task_states[task] == DONE or attempt != self.attempts[task] + 1:
            return False
        if task not in self.placements:
            return True
        return self.pending_ends.get(task, api.CAUSE_DONE) != api.CAUSE_DONE

    def may_move(self, task: int, attempt: int) -> bool:
        """Return whether a task's recorded attempt may be stopped, to continue as this attempt."""
        return (
            task in self.placements
            and task not in self.pending_ends
            and self.task_states[task] != DONE
            and attempt == self.attempts[task] + 1
        )

    def record_end(self, task: int, cause: int) -> None:
        """Record that an attempt has ended. A completed task stays completed, and counts once."""
        if self.task_states[task] == DONE:
            return
        if cause == api.CAUSE_DONE:
            self.task_states[task] = DONE
            self.completed += 1
        else:
            self.task_states[task] = PENDING
            self.first_pending = min(self.first_pending, task)

    def newly_completed(self, ends: Mapping[int, int]) -> int:
        """Return how many tasks these ends, task to cause, complete that have not completed yet."""
        return sum(
            cause == api.CAUSE_DONE and self.task_states[task] != DONE
            for task, cause in ends.items()
        )

    def pending(self, limit: int) -> list[int]:
        """Return up to `limit` tasks that wait for a machine."""
        if self.cancelled or self.terminal_state:
            return []
        tasks: list[int] = []
        task = self.first_pending = self._next_pending(self.first_pending)
        while task < self.spec.tasks and len(tasks) < limit:
            if task not in self.pending_starts and task not in self.reserving:
                tasks.append(task)
            task = self._next_pending(task + 1)
        return tasks

    def _next_pending(self, first: int) -> int:
        """Return the first pending task from `first` on; the number of tasks if there is none."""
        try:
            return self.task_states.index(PENDING, first)
        except ValueError:
            return self.spec.tasks

    def ready(self, limit: int, now: float) -> list[int]:
        """Return those of `pending(limit)` whose retry delay is over."""
        return [task for task in self.pending(limit) if self.retry_at.get(task, 0.0) <= now]

    def unknown_done(self, number: int, bits: int) -> int:
        """Return how many tasks of chunk `number` are done in `bits`, a bitmap, but not here."""
        first = number * TASKS_PER_CHUNK
        known = int(records.encode_completed(self.task_states, first, DONE) or "0", 16)
        return (bits & ~known).bit_count()

    def leave_machine(self, task: int, machine: int, until: float) -> None:
        """Record that a machine where an attempt of a task has ended may keep it for some time."""
        self.former_machines.setdefault(task, {})[machine] = until

    def recent_machines(self, task: int, now: float) -> Collection[int]:
        """Return the machines that may still keep an ended attempt of a task."""
        machines = self.former_machines.get(task)
        if machines is None:
            return ()
        recent = {machine: until for machine, until in machines.items() if until > now}
        if recent:
            self.former_machines[task] = recent
        else:
            del self.former_machines[task]
        return recent

    def active_attempts(self) -> int:
        """Return the number of attempts that may be using a machine: recorded, or about to be."""
        attempts = len(self.placements) + len(self.pending_starts) + len(self.reserving)
        return attempts + sum(
            task not in self.placements
            and task not in self.pending_starts
            and task not in self.reserving
            for task in self.uncertain_starts
        )


def new_job(context: ControllerContext, spec: JobSpec, shard: int, at_ms: int) -> Job:
    """Create a job without placed tasks; `at_ms` is when it was submitted."""
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

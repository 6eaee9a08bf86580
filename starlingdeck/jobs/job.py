"""A job as its holder has it, and how its records say so."""

from array import array
from collections import Counter
from collections.abc import Iterable

from msgspec import Struct, field

from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.context import ControllerContext, Resources, requested_resources
from starlingdeck.machines import failure_attribution
from starlingdeck.protocol import api
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.records import (
    LOG_START,
    TASKS_PER_CHUNK,
    Chunk,
    JobRecord,
    PlacementRecord,
    Position,
)

PENDING, PLACED, DONE = range(3)
NEVER_EXPIRES = 1e18
MIN_URGENT_RANK = 2  # ranks from here on start as urgently as a submission is taken


class TaskPlacement(Struct):
    """Where an attempt is, as recorded. `listed` is the Wants that first named it."""

    machine: int
    session: int
    attempt: int
    shard: int
    zone: int
    published_seq: int = 0
    published_epoch: int = 0
    observed_state: int = api.PENDING
    state_since: float = 0.0
    grace_s: float = 0.0
    descheduled: bool = False
    releasing: bool = False  # is to stop, for a unit that it holds
    protected: bool = False  # is not to be stopped for others: its class is below its floor
    target: "TaskPlacement | None" = None  # where it goes once it has stopped (DESIGN 5)
    reserved_until: float = NEVER_EXPIRES  # when the room kept for it is given to others


class Job(Struct):
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
    pending_ends: dict[int, int] = field(default_factory=dict)  # task -> why its attempt ended
    pending_starts: dict[int, TaskPlacement] = field(default_factory=dict)
    reserving: dict[int, int] = field(default_factory=dict)  # task -> zone asked for
    retry_at: dict[int, float] = field(default_factory=dict)
    avoided_machines: dict[int, set[int]] = field(default_factory=dict)
    failed_on: set[int] = field(default_factory=set)
    errors: int = 0
    preemption_tried: set[int] = field(
        default_factory=set
    )  # tasks that asked for room beside their image
    nominated: dict[int, tuple[int, float]] = field(default_factory=dict)  # task -> machine, until
    accumulating: set[int] = field(default_factory=set)  # of those: where nothing is stopped for it
    backoff_until: float = 0.0
    completed: int = 0
    resource_needs: tuple[
        tuple[int, int], ...
    ] = ()  # units of counts that each task holds: count, units
    withheld: frozenset[int] = frozenset()  # starts that no unit is free for now
    # Of tasks with needs: by what proof they ended, and when.
    end_proofs: dict[int, tuple[str, float]] | None = None
    stale: bool = False
    outcome_unknown: bool = (
        False  # a write that ends or cancels it was sent: the record may say more
    )
    # Parts in which a write that ends tasks was sent: the record may say more of them done.
    uncertain_chunks: set[int] = field(default_factory=set)
    first_pending: int = 0
    guaranteed: bool = False
    due_times_ms: tuple[float, ...] | None = (
        None  # by the aims, soonest first; reckoned when asked for
    )

    @property
    def failure_evidence(self) -> int:
        """What its errors say of the machines they were on."""
        if self.completed:
            return failure_attribution.FINE
        return (
            failure_attribution.BROKEN
            if len(self.failed_on) >= failure_attribution.BROKEN_JOB_MACHINES
            else failure_attribution.UNKNOWN
        )

    @property
    def unfinished(self) -> int:
        return self.spec.tasks - self.completed

    @property
    def grace_s(self) -> float:
        """How long a task may take to save before it stops."""
        return self.spec.save_s + 1.0 if self.spec.checkpoint_s > 0 else 0.0

    def pending(self, limit: int) -> list[int]:
        """Up to `most` tasks that wait for a machine."""
        if self.cancelled or self.terminal_state:
            return []
        found: list[int] = []
        i = self.first_pending = self._next(self.first_pending)
        while i < self.spec.tasks and len(found) < limit:
            if i not in self.pending_starts and i not in self.reserving:
                found.append(i)
            i = self._next(i + 1)
        return found

    def _next(self, first: int) -> int:
        """The first pending task from there on; the number of tasks if there is none."""
        try:
            return self.task_states.index(PENDING, first)
        except ValueError:
            return self.spec.tasks

    def ready(self, limit: int, now: float) -> list[int]:
        """Of those, the ones that need not wait before they are tried again."""
        return [t for t in self.pending(limit) if self.retry_at.get(t, 0.0) <= now]

    def unknown_done(self, number: int, bits: int) -> int:
        """How many tasks of chunk `number`, given as bits, are done and not known here as such."""
        first = number * TASKS_PER_CHUNK
        known = int(records.encode_completed(self.task_states, first, DONE) or "0", 16)
        return (bits & ~known).bit_count()

    def active_attempts(self) -> int:
        """Attempts that may be using a machine: recorded, or about to be."""
        return len(self.placements) + len(self.pending_starts) + len(self.reserving)


class Outbox(Struct):
    """What a machine shard has been told, and what has changed since."""

    epoch: int = 0
    seq: int = 0
    acked_seq: int = 0
    sent_at: float = -1e9
    full: bool = True
    changed: set[int] = field(default_factory=set)  # task keys
    removed: set[tuple[int, int]] = field(default_factory=set)  # task key, machine
    changed_jobs: set[int] = field(default_factory=set)  # known there, to be shown anew
    unacked: list[tuple[int, int]] = field(default_factory=list)  # list that first named it, key

    @property
    def has_updates(self) -> bool:
        return bool(self.full or self.changed or self.removed or self.changed_jobs)


class JobUpdate(Struct):
    """One job's part of a transaction, and how to make it true once it is durable."""

    job: Job
    conditions: dict[str, int]
    changes: list[api.Change]
    pending_ends: dict[int, int]
    pending_starts: dict[int, TaskPlacement]
    terminal_state: str
    cancel: bool
    chunks: list[int]


def new_job(context: ControllerContext, spec: JobSpec, shard: int, at_ms: int) -> Job:
    n = spec.tasks
    return Job(
        context.job_names.intern(spec.id),
        spec.id,
        spec,
        shard,
        context.team_names.intern(spec.team),
        at_ms,
        requested_resources(spec),
        array("B", bytes(n)),
        array("I", bytes(4 * n)),
        resource_needs=tuple(
            (context.resource_names.intern(k), v) for k, v in (spec.counts or {}).items() if v
        ),
    )


def load_job(
    context: ControllerContext, shard: int, main: JobRecord, chunks: dict[int, Chunk]
) -> Job:
    """A job as the state service has it; `chunks` are those beyond the first."""
    job = new_job(context, main.spec, shard, main.submitted_ms)
    job.cancelled = main.cancelled
    for number, chunk in {0: main.chunk, **chunks}.items():
        first = number * TASKS_PER_CHUNK
        for i in records.decode_completed(chunk.completed_bits):
            job.task_states[first + i] = DONE
            job.completed += 1
        for i, tries in enumerate(chunk.attempts):
            job.attempts[first + i] = tries
        for place in chunk.placements:
            job.task_states[place.task] = PLACED
            owner = shard_of_machine(place.machine, place.zone, context.shard_zones)
            job.placements[place.task] = TaskPlacement(
                context.machine_names.intern(place.machine),
                place.session,
                place.attempt,
                owner,
                context.zone_names.intern(place.zone),
            )
    return job


def encode_placement(
    context: ControllerContext, task: int, placement: TaskPlacement
) -> PlacementRecord:
    """An attempt as records and the log say it."""
    machine, zone = context.machine_names[placement.machine], context.zone_names[placement.zone]
    return PlacementRecord(task, placement.attempt, machine, placement.session, zone)


def encode_chunk(
    context: ControllerContext,
    job: Job,
    number: int,
    ends: dict[int, int],
    starts: dict[int, TaskPlacement],
    upto: Position = LOG_START,
) -> Chunk:
    """Chunk `number` as it will be once `ends` and `starts` are true; it holds all that the
    commit log says up to `upto`."""
    first = number * TASKS_PER_CHUNK
    last = min(first + TASKS_PER_CHUNK, job.spec.tasks)
    done = int(records.encode_completed(job.task_states, first, DONE) or "0", 16)
    for task, error in ends.items():
        if first <= task < last and error == api.W_DONE:
            done |= 1 << (task - first)
    tries = job.attempts[first:last]
    placements = {t: p for t, p in job.placements.items() if first <= t < last and t not in ends}
    for task, placement in starts.items():
        if first <= task < last:
            placements[task] = placement
            tries[task - first] = placement.attempt
    return Chunk(
        records.encode_attempts(tries, 0),
        f"{done:x}" if done else "",
        [encode_placement(context, task, place) for task, place in placements.items()],
        upto,
    )


def densest_chunks(tasks: Iterable[int], limit: int) -> list[int]:
    """The chunks to write first: those with most in them, and the lowest.

    By number alone the ends of an array's early tasks, one to a chunk, kept its starts, a hundred
    to a chunk, waiting until the room kept for them was gone.
    """
    many = Counter(task // TASKS_PER_CHUNK for task in tasks)
    chosen = sorted(many, key=lambda c: (-many[c], c))[:limit]
    if many and (lowest := min(many)) not in chosen:
        chosen[-1] = lowest
    return sorted(chosen)

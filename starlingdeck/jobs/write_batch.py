"""Selects which jobs' records the next transaction writes, the most urgent first."""

from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import TransactionReservation
from starlingdeck.jobs.group_commit import CONDITIONS_PER_CHANGE, GroupCommit
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.jobs.update_drafter import MAX_CHUNKS_PER_UPDATE, RESERVED_VALUE_BYTES
from starlingdeck.storage.state import StateClient

MAX_TRANSACTION_BYTES = 56 * 1024
# A job's changes that have waited for OVERDUE_S are overdue: in one of OVERDUE_BATCH_PERIOD batches
# they are urgent, and precede urgent starts.
OVERDUE_S = 1.0
OVERDUE_BATCH_PERIOD = 3
RECENT_CHANGES_HALF_LIFE_S = 5.0  # half-life of the count of changes that a team has written
BATCHING_WAIT_S = 0.05  # how long a job's first start waits for the job's other reservations
LONG_AGO = -1e9


class WriteBatch(NamedTuple):
    """What to write now; or nothing, and how long until the write budget has room."""

    updates: list[JobUpdate]
    wait_s: float
    urgent: bool  # whether it may use the requests reserved for urgent writes


class DraftedUpdate(NamedTuple):
    """A job's update, and the size of its changes in bytes."""

    update: JobUpdate
    size: int


class _OpenBatch(Struct):
    """A batch that is being filled."""

    change_limit: int
    condition_limit: int
    reservation: TransactionReservation | None
    updates: list[JobUpdate] = field(default_factory=list)
    urgent: bool = False
    changes: int = 0
    size: int = 0

    def begin(self, free: int, urgent: bool) -> None:
        """Set the batch's urgency, and limit it to the `free` changes that the budget allows."""
        self.urgent = urgent
        self.change_limit = min(self.change_limit, free)

    def add(self, drafted: DraftedUpdate) -> bool:
        """Add an update if it fits; return False if the batch is full. The first one always fits.

        An update whose starts the reservation refuses is skipped.
        """
        update = drafted.update
        changes = self.changes + len(update.changes)
        size = self.size + drafted.size
        if self.updates and (changes > self.change_limit or size > MAX_TRANSACTION_BYTES):
            return False
        if self.reservation is not None:
            if not self.reservation.add(update):
                return True  # only this update can't be added
            if self.updates and not self._has_room_for_keys(update, changes, self.reservation):
                self.reservation.remove_last()
                return False
        self.updates.append(update)
        self.changes, self.size = changes, size
        return True

    def _has_room_for_keys(
        self, update: JobUpdate, changes: int, reservation: TransactionReservation
    ) -> bool:
        """Return whether the reservation's keys fit in addition to those of the records."""
        keys = reservation.key_count()
        conditions = keys + sum(len(taken.conditions) for taken in (*self.updates, update))
        return changes + keys <= self.change_limit and conditions <= self.condition_limit


class BatchSelector:
    """Selects the batches of one job shard."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        shard: JobShard,
        group_commit: GroupCommit,
    ) -> None:
        self.context = context
        self.state = state
        self.shard = shard
        self.group_commit = group_commit
        self.waiting_since: dict[int, float] = {}  # job -> since when it has waited to be written
        self.recent_changes: dict[int, float] = {}  # team -> decaying count of changes written
        self.halved_at = 0.0  # when the counts of `recent_changes` were last halved
        self.overdue_phase = 0  # position in the period of batches; 0 while nothing is overdue

    def select(self, reservation: TransactionReservation | None = None) -> WriteBatch:
        """Select what to write now, the most urgent first."""
        now = self.context.now()
        jobs = self._dirty_jobs()
        overdue = self._overdue(jobs, now)
        if overdue:
            jobs.sort(
                key=lambda job: (
                    job.index not in overdue,
                    self.recent_changes.get(job.team, 0.0),
                    self.waiting_since[job.index],
                )
            )
        limit = self.context.settings.settings.state.txn_ops
        batch = _OpenBatch(limit, CONDITIONS_PER_CHANGE * limit, reservation)
        for job in jobs:
            drafted = self._draft(job, reservation, now)
            if drafted is None:
                continue
            urgent = has_urgent_change(drafted.update) or job.index in overdue
            if not batch.updates:
                free, wait_s = self.state.available_writes(urgent)
                if not free:
                    return WriteBatch([], wait_s, False)
                batch.begin(free, urgent)
            elif batch.urgent and not urgent:
                break  # only urgent changes may use the requests reserved for urgent writes
            if not batch.add(drafted):
                break
        return WriteBatch(batch.updates, 0.0, batch.urgent)

    def on_written(self, update: JobUpdate) -> None:
        """Record that an update is durable: its job stops waiting, its team has used changes."""
        self.waiting_since.pop(update.job.index, None)
        team = update.job.team
        self.recent_changes[team] = self.recent_changes.get(team, 0.0) + len(update.changes)

    def _dirty_jobs(self) -> list[Job]:
        """Return the jobs whose records are to be written, in order of urgency."""
        jobs = self.shard.jobs
        return sorted(
            (
                jobs[index]
                for index in self.shard.dirty_jobs
                if index in jobs and not self.group_commit.uses_commit_log(jobs[index])
            ),
            key=lambda job: (
                not (job.resource_needs and job.pending_ends),  # other jobs wait for their units
                not (job.pending_starts and job.spec.rank >= MIN_URGENT_RANK),
                -job.spec.rank,
                job.submitted_ms,
            ),
        )

    def _overdue(self, jobs: list[Job], now: float) -> set[int]:
        """Return the jobs whose overdue changes precede urgent starts in this batch.

        A batch that begins with an urgent start contains nothing that isn't urgent. A flood of
        urgent starts therefore delayed the ends of all other jobs' tasks, which release quota and
        finish those jobs.
        """
        self.waiting_since = {job.index: self.waiting_since.get(job.index, now) for job in jobs}
        if now - self.halved_at > RECENT_CHANGES_HALF_LIFE_S:
            self.halved_at = now
            self.recent_changes = {
                team: changes / 2 for team, changes in self.recent_changes.items()
            }
        late = {index for index, since in self.waiting_since.items() if now - since > OVERDUE_S}
        self.overdue_phase = (self.overdue_phase + 1) % OVERDUE_BATCH_PERIOD if late else 0
        return late if self.overdue_phase == 1 else set()

    def _draft(
        self, job: Job, reservation: TransactionReservation | None, now: float
    ) -> DraftedUpdate | None:
        """Draft a job's next write; None when there is none now."""
        if job.reserving and not job.pending_ends and now - first_start_at(job) < BATCHING_WAIT_S:
            # The job's other reservations are answered within milliseconds: write all its starts
            # at once.
            return None
        if self.context.is_quarantined("job", job.id):
            return None
        try:
            if reservation is not None:
                reservation.admit(job)
            elif job.resource_needs:
                # The job was accepted by a controller with counted resources. Without the plugin
                # nothing would limit its starts here.
                job.withheld = frozenset(job.pending_starts)
            drafted = self._fitting_update(job)
        except Exception as error:  # one job's fault must not hold up the others' records
            self.context.quarantine_after_failure("job", job.id, error)
            return None
        if drafted is None and not job.withheld:
            self.shard.dirty_jobs.discard(job.index)
        return drafted

    def _fitting_update(self, job: Job) -> DraftedUpdate | None:
        """Draft a job's next write, within the limits on the sizes of values and transactions.

        The state service answers 400 to a value over the limit, which fails the whole batch on
        every attempt: one job with a long description blocked all writes of its shard.
        """
        limit = self.context.settings.settings.state.value_kb * 1000
        with_starts = self.group_commit.may_start()
        # The ledgers of the job's counts need room in the same transaction.
        max_chunks = 1 if job.resource_needs else MAX_CHUNKS_PER_UPDATE
        update = self.shard.draft_update(job, max_chunks, with_starts)
        while update is not None:
            sizes = [len(msgspec.json.encode(change)) for change in update.changes]
            size = sum(sizes)
            if size > MAX_TRANSACTION_BYTES and len(update.chunks) > 1:
                update = self.shard.draft_update(job, len(update.chunks) - 1, with_starts)
            elif update.pending_starts and max(sizes) > limit - RESERVED_VALUE_BYTES:
                # An end or a cancellation written later must still fit.
                starts = list(update.pending_starts)
                self.shard.drafter.postpone_starts(job, starts[len(starts) // 2 :])
                update = self.shard.draft_update(job, len(update.chunks), with_starts)
            elif max(sizes) > limit + RESERVED_VALUE_BYTES:
                raise ValueError(f"a record of {max(sizes)} bytes, of {limit:.0f} allowed")
            else:
                return DraftedUpdate(update, size)
        return None


def first_start_at(job: Job) -> float:
    """Return when the first of the pending starts was granted; LONG_AGO when there are none."""
    return min(
        (placement.state_since for placement in job.pending_starts.values()), default=LONG_AGO
    )


def has_urgent_change(update: JobUpdate) -> bool:
    """Return whether an update records an urgent start.

    When many jobs came at once, submissions used up the write budget, and replicas waited 1 to 3 s
    for the record of their start, out of the 2 s that they have.
    """
    return bool(update.pending_starts) and update.job.spec.rank >= MIN_URGENT_RANK

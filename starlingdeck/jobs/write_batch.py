"""Selects which jobs' records the next transaction writes, and in what order."""

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
OVERDUE_S = 1.0  # (start) a record passed over for so long is as urgent as a start,
OVERDUE_TURN = 3  # (start) in every third batch
HALVED_BATCH_S = 5.0  # (start) half-life of the count of changes that a team has written
BATCHING_WAIT_S = 0.05  # (start) how long a job's first start waits for its other reservations
LONG_AGO = -1e9


class WriteBatch(NamedTuple):
    """What to write now; or nothing, and how long until the budget has room for it."""

    updates: list[JobUpdate]
    wait_s: float
    urgent: bool  # whether it may use the requests reserved for urgent writes


class DraftedUpdate(NamedTuple):
    """A job's update, and its size in bytes."""

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
        """The budget has room for so many changes."""
        self.urgent = urgent
        self.change_limit = min(self.change_limit, free)

    def add(self, drafted: DraftedUpdate) -> bool:
        """Take an update if it fits; False if the batch is full. The first one always fits."""
        update = drafted.update
        changes = self.changes + len(update.changes)
        size = self.size + drafted.size
        if self.updates and (changes > self.change_limit or size > MAX_TRANSACTION_BYTES):
            return False
        if self.reservation is not None:
            if not self.reservation.add(update):
                return True  # only this one can't be taken
            if self.updates and not self._has_room_for_keys(update, changes, self.reservation):
                self.reservation.remove_last()
                return False
        self.updates.append(update)
        self.changes, self.size = changes, size
        return True

    def _has_room_for_keys(
        self, update: JobUpdate, changes: int, reservation: TransactionReservation
    ) -> bool:
        """Whether the reservation's keys fit beside those of the records."""
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
        self.since: dict[int, float] = {}  # job -> since when it has had something to be written
        self.spent: dict[int, float] = {}  # team -> changes written lately
        self.halved_at = 0.0
        self.overdue_turn = 0

    def select(self, reservation: TransactionReservation | None = None) -> WriteBatch:
        """What to write now, the most urgent first."""
        now = self.context.now()
        jobs = self._dirty_jobs()
        overdue = self._overdue(jobs, now)
        if overdue:
            jobs.sort(
                key=lambda job: (
                    job.index not in overdue,
                    self.spent.get(job.team, 0.0),
                    self.since[job.index],
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
                break  # nothing else may use the requests reserved for urgent writes
            if not batch.add(drafted):
                break
        return WriteBatch(batch.updates, 0.0, batch.urgent)

    def on_written(self, update: JobUpdate) -> None:
        """An update is durable: its job waits no longer, and its team has used changes."""
        self.since.pop(update.job.index, None)
        team = update.job.team
        self.spent[team] = self.spent.get(team, 0.0) + len(update.changes)

    def _dirty_jobs(self) -> list[Job]:
        """Jobs whose records are to be written, in order of urgency."""
        jobs = self.shard.jobs
        return sorted(
            (
                jobs[index]
                for index in self.shard.dirty_jobs
                if index in jobs and not self.group_commit.by_log(jobs[index])
            ),
            key=lambda job: (
                not (job.resource_needs and job.pending_ends),  # others wait for their units
                not (job.pending_starts and job.spec.rank >= MIN_URGENT_RANK),
                -job.spec.rank,
                job.submitted_ms,
            ),
        )

    def _overdue(self, jobs: list[Job], now: float) -> set[int]:
        """Of the jobs to be written, those to be taken before the urgent ones this time.

        In a flood of urgent starts a batch that begins with one takes nothing else. The ends of
        all other work waited, which free its quota and finish its jobs.
        """
        self.since = {job.index: self.since.get(job.index, now) for job in jobs}
        if now - self.halved_at > HALVED_BATCH_S:
            self.halved_at = now
            self.spent = {team: changes / 2 for team, changes in self.spent.items()}
        late = {index for index, since in self.since.items() if now - since > OVERDUE_S}
        self.overdue_turn = (self.overdue_turn + 1) % OVERDUE_TURN if late else 0
        return late if self.overdue_turn == 1 else set()

    def _draft(
        self, job: Job, reservation: TransactionReservation | None, now: float
    ) -> DraftedUpdate | None:
        """A job's next write, or None when there is none now."""
        if job.reserving and not job.pending_ends and now - first_start(job) < BATCHING_WAIT_S:
            # Its other machines' owners answer within milliseconds: one write for all.
            return None
        if self.context.is_quarantined("job", job.id):
            return None
        try:
            if reservation is not None:
                reservation.admit(job)
            elif job.resource_needs:
                # Accepted by a controller that keeps counts. Here nothing would limit its starts.
                job.withheld = frozenset(job.pending_starts)
            drafted = self._fitting_update(job)
        except Exception as error:  # one job's fault must not hold up the others' records
            self.context.quarantine_failed("job", job.id, error)
            return None
        if drafted is None and not job.withheld:
            self.shard.dirty_jobs.discard(job.index)
        return drafted

    def _fitting_update(self, job: Job) -> DraftedUpdate | None:
        """A job's next write, with as many changes as values may hold.

        A value over the limit is answered 400 and fails the whole batch, again and again: one
        job with a long description held up all writing of its shard.
        """
        limit = self.context.settings.settings.state.value_kb * 1000
        with_starts = self.group_commit.may_start()
        # The ledgers of its counts need room in the same transaction.
        max_chunks = 1 if job.resource_needs else MAX_CHUNKS_PER_UPDATE
        update = self.shard.draft_update(job, max_chunks, with_starts)
        while update is not None:
            sizes = [len(msgspec.json.encode(change)) for change in update.changes]
            size = sum(sizes)
            if size > MAX_TRANSACTION_BYTES and len(update.chunks) > 1:
                update = self.shard.draft_update(job, len(update.chunks) - 1, with_starts)
            elif update.pending_starts and max(sizes) > limit - RESERVED_VALUE_BYTES:
                # What an end or a cancellation adds must still fit later.
                starts = list(update.pending_starts)
                self.shard.drafter.postpone_starts(job, starts[len(starts) // 2 :])
                update = self.shard.draft_update(job, len(update.chunks), with_starts)
            elif max(sizes) > limit + RESERVED_VALUE_BYTES:
                raise ValueError(f"a record of {max(sizes)} bytes, of {limit:.0f} allowed")
            else:
                return DraftedUpdate(update, size)
        return None


def first_start(job: Job) -> float:
    """When the first of the starts to be recorded was granted; long ago when there are none."""
    return min(
        (placement.state_since for placement in job.pending_starts.values()), default=LONG_AGO
    )


def has_urgent_change(update: JobUpdate) -> bool:
    """Whether an urgent start is written with it.

    When many jobs came at once, submissions used up the changes, and replicas waited for the
    record of their start 1 to 3 s of the 2 s that they have.
    """
    return bool(update.pending_starts) and update.job.spec.rank >= MIN_URGENT_RANK

"""A job shard: its jobs, where their tasks are placed, and what is to be written and published.

A job's durable state (`Job.task_states`, `attempts`, `placements`) changes only after the state
service has confirmed the write. Until then, changes are kept separately in `pending_ends` and
`pending_starts`.
"""

from collections.abc import Iterable

from starlingdeck.context import ControllerContext
from starlingdeck.interning import task_key
from starlingdeck.jobs.attempt_evaluation import AttemptEvaluator
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.desired_state import DesiredStateBuilder
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.jobs.late_starts import LateStartDetector
from starlingdeck.jobs.outbox import Outbox
from starlingdeck.jobs.update_applier import UpdateApplier
from starlingdeck.jobs.update_drafter import MAX_CHUNKS_PER_UPDATE, UpdateDrafter
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

MAX_TERMINAL_JOBS = 5000  # finished jobs kept in memory; others are read from their final records
# Chunks of a finished array are kept for status queries that began before the job's end.
OBSOLETE_KEY_RETENTION_S = 10.0


class JobShard:
    """The jobs of one shard, while this controller owns it."""

    def __init__(self, context: ControllerContext, shard: int, token: int, epoch: int) -> None:
        """Create an empty shard.

        `token` is the version of the shard's key, `epoch` the epoch of this ownership.
        """
        self.context = context
        self.shard = shard
        self.token = token  # the shard key's version: rises whenever the key is written
        self.base_token = token  # the token with which the shard was acquired
        self.epoch = epoch
        self.loaded = False
        self.jobs: dict[int, Job] = {}
        self.dirty_jobs: set[int] = set()  # jobs that may have changes to be written
        self.terminal_states: dict[str, str] = {}
        self.terminal_completed: dict[str, int] = {}  # finished job -> how many tasks completed
        self.outboxes = [Outbox() for _ in range(context.shard_count)]
        self.tasks_by_machine: dict[int, set[int]] = {}  # machine -> keys of tasks placed there
        self.descheduled: set[int] = set()  # keys of tasks that their machines deschedule
        self.resource_use: dict[int, int] = {}  # count -> units used by recorded attempts
        # Job -> when a cancellation of unknown outcome was sent.
        self.pending_cancellations: dict[int, float] = {}
        self.uncertain_jobs: set[int] = set()  # jobs that may have uncertain starts
        # An attempt with units of counted resources has ended since the last scheduling cycle.
        self.units_released = False
        # Replicas of services were added or lost their placement since the last scheduling cycle.
        self.replicas_waiting = False
        value_bytes = context.settings.settings.state.value_kb * 1000
        self.commit_log = CommitLog(shard, token, value_bytes)
        self.obsolete_keys: dict[str, float] = {}  # key of a finished array -> when to delete it
        self.evaluator = AttemptEvaluator(self)
        self.late_starts = LateStartDetector(self)
        self.desired_state = DesiredStateBuilder(self)
        self.drafter = UpdateDrafter(self)
        self.applier = UpdateApplier(self)

    # --- jobs and placements

    def adopt(self, job: Job) -> None:
        """Add a job as read from its record; it replaces the one in memory."""
        self.remove(job.index)
        self.jobs[job.index] = job
        self.dirty_jobs.add(job.index)
        for task, placement in job.placements.items():
            self.add_placement(job, task, placement)

    def remove(self, index: int) -> None:
        """Remove a job and its placements from memory, if it is there."""
        job = self.jobs.pop(index, None)
        if job is not None:
            for task in list(job.placements):
                self.remove_placement(job, task)

    def schedule_key_deletion(self, keys: Iterable[str]) -> None:
        """Schedule the deletion of finished arrays' chunks, because takeovers read all chunks."""
        due = self.context.now() + OBSOLETE_KEY_RETENTION_S
        for key in keys:
            self.obsolete_keys.setdefault(key, due)

    def record_terminal_state(self, name: str, state: str, completed: int) -> None:
        """Record that a job is over, and drop the oldest finished jobs beyond MAX_TERMINAL_JOBS.

        They are dropped here because this is called for every finished job. When they were dropped
        only by queries for unknown jobs, all jobs of a day were kept at a rate of four one-task
        jobs per second.
        """
        self.terminal_states[name], self.terminal_completed[name] = state, completed
        while len(self.terminal_states) > MAX_TERMINAL_JOBS:
            oldest = next(iter(self.terminal_states))
            del self.terminal_states[oldest], self.terminal_completed[oldest]

    def add_placement(self, job: Job, task: int, placement: TaskPlacement) -> None:
        """Index a recorded attempt, and queue its publication."""
        key = task_key(job.index, task)
        self.tasks_by_machine.setdefault(placement.machine, set()).add(key)
        self.outboxes[placement.shard].changed.add(key)
        for count, units in job.resource_needs:
            self.resource_use[count] = self.resource_use.get(count, 0) + units

    def remove_placement(self, job: Job, task: int) -> None:
        """Remove a recorded attempt that is over, and queue the publication of its removal."""
        placement = job.placements.pop(task)
        key = task_key(job.index, task)
        on_machine = self.tasks_by_machine.get(placement.machine)
        if on_machine is not None:
            on_machine.discard(key)
            if not on_machine:
                del self.tasks_by_machine[placement.machine]
        self.descheduled.discard(key)
        outbox = self.outboxes[placement.shard]
        outbox.changed.discard(key)
        outbox.removed.add((key, placement.machine))
        for count, units in job.resource_needs:
            self.resource_use[count] -= units

    def republish_task(self, job: Job, task: int) -> None:
        """Queue the publication of a recorded attempt whose desired state has changed."""
        self.outboxes[job.placements[task].shard].changed.add(task_key(job.index, task))

    def set_guaranteed(self, job: Job, guaranteed: bool) -> None:
        """Set whether a job runs within its team's guaranteed quota; publish it if that changed."""
        if job.guaranteed != guaranteed:
            job.guaranteed = guaranteed
            self.republish_job(job)

    def republish_job(self, job: Job) -> None:
        """Queue the job's changed description for the owners of the machines that it runs on."""
        for shard in {placement.shard for placement in job.placements.values()}:
            self.outboxes[shard].changed_jobs.add(job.index)

    def unresolved_cancellations(self) -> dict[int, float]:
        """Return the jobs whose cancellation has an unknown outcome, with the time of sending.

        Such a job may be recorded as cancelled, and other controllers may report it so, without
        this controller knowing.
        """
        self.pending_cancellations = {
            index: sent_at
            for index, sent_at in self.pending_cancellations.items()
            if (job := self.jobs.get(index)) is not None
            and job.outcome_unknown
            and not job.cancelled
        }
        return self.pending_cancellations

    def jobs_with_uncertain_starts(self) -> list[Job]:
        """Return the jobs with starts that may be recorded without being known here."""
        jobs = [self.jobs[index] for index in self.uncertain_jobs if index in self.jobs]
        uncertain = [job for job in jobs if job.uncertain_starts]
        self.uncertain_jobs = {job.index for job in uncertain}
        return uncertain

    def status(self, job: Job) -> api.JobStatus:
        """Return a job's status as reported to users."""
        running = sum(
            1
            for placement in job.placements.values()
            if placement.observed_state in (api.TASK_RUNNING, api.TASK_SAVING)
        )
        state = api.CANCELLED if job.cancelled else api.RUNNING if running else api.QUEUED
        return api.JobStatus(job.id, state, job.completed, running)

    # --- evaluation, publication and writing

    def apply_snapshot(self, snapshot: ShardSnapshot, touched: set[int] | None) -> bool:
        """Evaluate attempts against a machine shard's snapshot; see `AttemptEvaluator`."""
        return self.evaluator.apply_snapshot(snapshot, touched)

    def end_attempt(
        self, job: Job, task: int, placement: TaskPlacement, cause: int, proof: str
    ) -> None:
        """Queue the recording of an attempt's proven end; see `AttemptEvaluator`."""
        self.evaluator.end_attempt(job, task, placement, cause, proof)

    def desired_state_message(
        self, to_shard: int, to_epoch: int, full: bool = False, watermark_ms: int = 0
    ) -> pb.DesiredState:
        """Build the next message to a machine shard's owner; see `DesiredStateBuilder`."""
        return self.desired_state.build_message(to_shard, to_epoch, full, watermark_ms)

    def draft_update(
        self, job: Job, max_chunks: int = MAX_CHUNKS_PER_UPDATE, with_starts: bool = True
    ) -> JobUpdate | None:
        """Draft the next write of a job's record; see `UpdateDrafter`."""
        return self.drafter.draft_update(job, max_chunks, with_starts)

    def draft_cancellation(self, job: Job) -> JobUpdate:
        """Draft the write that cancels a job; see `UpdateDrafter`."""
        return self.drafter.draft_cancellation(job)

    def apply_update(self, update: JobUpdate, revision: int) -> None:
        """Apply an update that is durable; see `UpdateApplier`."""
        self.applier.apply(update, revision)

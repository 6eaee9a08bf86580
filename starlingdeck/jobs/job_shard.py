"""A job shard: its jobs, where their tasks are placed, and what is to be written and published.

What is durable of a job (`Job.task_states`, `attempts`, `placements`) changes only after the state
service has confirmed the write. What is to change next stands beside it (`pending_ends`,
`pending_starts`) until then.
"""

from collections.abc import Iterable

from starlingdeck.context import ControllerContext
from starlingdeck.interning import task_key
from starlingdeck.jobs.attempt_evaluation import AttemptEvaluator
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.desired_state import DesiredStateBuilder
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.jobs.outbox import Outbox
from starlingdeck.jobs.update_applier import UpdateApplier
from starlingdeck.jobs.update_drafter import MAX_CHUNKS_PER_UPDATE, UpdateDrafter
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

MAX_TERMINAL_JOBS = 5000  # finished jobs answered from memory; the rest from their final records
# (start) Chunks of finished arrays: a status query that began before the end still reads them.
OBSOLETE_KEY_RETENTION_S = 10.0


class JobShard:
    """The jobs of one shard, while this controller owns it."""

    def __init__(self, context: ControllerContext, shard: int, token: int, epoch: int) -> None:
        """`token`: the shard key's version; `epoch`: of this ownership."""
        self.context = context
        self.shard = shard
        self.token = token  # rises with the shard key's version
        self.base_token = token  # with which the shard was acquired
        self.epoch = epoch
        self.loaded = False
        self.jobs: dict[int, Job] = {}
        self.dirty_jobs: set[int] = set()  # with something to be written
        self.terminal_states: dict[str, str] = {}
        self.terminal_completed: dict[str, int] = {}  # how many of its tasks completed
        self.outboxes = [Outbox() for _ in range(context.shard_count)]
        self.tasks_by_machine: dict[int, set[int]] = {}  # machine -> keys of tasks placed there
        self.descheduled: set[int] = set()  # keys of tasks that their machine gives up
        self.resource_use: dict[int, int] = {}  # count -> units used by recorded attempts
        # Jobs -> when a cancellation was sent whose outcome is unknown.
        self.pending_cancellations: dict[int, float] = {}
        # Since the last scheduling cycle: units of counts were released, and
        self.units_released = False
        # replicas were added, or lost their placement.
        self.replicas_waiting = False
        value_bytes = context.settings.settings.state.value_kb * 1000
        self.commit_log = CommitLog(shard, token, value_bytes)
        self.obsolete_keys: dict[str, float] = {}  # of finished arrays -> when they may be deleted
        self.evaluator = AttemptEvaluator(self)
        self.desired_state = DesiredStateBuilder(self)
        self.drafter = UpdateDrafter(self)
        self.applier = UpdateApplier(self)

    # --- the jobs, and where their tasks are

    def adopt(self, job: Job) -> None:
        """Take a job as read from its record, in place of what was known of it."""
        self.remove(job.index)
        self.jobs[job.index] = job
        self.dirty_jobs.add(job.index)
        for task, placement in job.placements.items():
            self.add_placement(job, task, placement)

    def remove(self, index: int) -> None:
        """Drop a job and its placements, if it is known."""
        job = self.jobs.pop(index, None)
        if job is not None:
            for task in list(job.placements):
                self.remove_placement(job, task)

    def schedule_key_deletion(self, keys: Iterable[str]) -> None:
        """Chunks of finished arrays: every takeover reads them until they are deleted."""
        due = self.context.now() + OBSOLETE_KEY_RETENTION_S
        for key in keys:
            self.obsolete_keys.setdefault(key, due)

    def record_terminal_state(self, name: str, state: str, completed: int) -> None:
        """A job is over. The oldest finished jobs are dropped here, and so on every path.

        At four one-task jobs a second a day's were kept, since only a query for an unknown job
        dropped any.
        """
        self.terminal_states[name], self.terminal_completed[name] = state, completed
        while len(self.terminal_states) > MAX_TERMINAL_JOBS:
            oldest = next(iter(self.terminal_states))
            del self.terminal_states[oldest], self.terminal_completed[oldest]

    def add_placement(self, job: Job, task: int, placement: TaskPlacement) -> None:
        """Index a recorded attempt, and have it published."""
        key = task_key(job.index, task)
        self.tasks_by_machine.setdefault(placement.machine, set()).add(key)
        self.outboxes[placement.shard].changed.add(key)
        for count, units in job.resource_needs:
            self.resource_use[count] = self.resource_use.get(count, 0) + units

    def remove_placement(self, job: Job, task: int) -> None:
        """A recorded attempt is over: have its removal published."""
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
        """The desired state of a recorded attempt has changed: it is to stop."""
        self.outboxes[job.placements[task].shard].changed.add(task_key(job.index, task))

    def set_guaranteed(self, job: Job, guaranteed: bool) -> None:
        """Whether a job runs within its team's guaranteed quota; published if that changed."""
        if job.guaranteed != guaranteed:
            job.guaranteed = guaranteed
            self.republish_job(job)

    def republish_job(self, job: Job) -> None:
        """The job's description has changed for the owners of the machines that it runs on."""
        for shard in {placement.shard for placement in job.placements.values()}:
            self.outboxes[shard].changed_jobs.add(job.index)

    def unresolved_cancellations(self) -> dict[int, float]:
        """Jobs that may be recorded, and so reported, as cancelled without our knowing.

        Their values say since when.
        """
        self.pending_cancellations = {
            index: sent_at
            for index, sent_at in self.pending_cancellations.items()
            if (job := self.jobs.get(index)) is not None
            and job.outcome_unknown
            and not job.cancelled
        }
        return self.pending_cancellations

    def status(self, job: Job) -> api.JobStatus:
        """A job's status as its user is to see it."""
        running = sum(
            1
            for placement in job.placements.values()
            if placement.observed_state in (api.TASK_RUNNING, api.TASK_SAVING)
        )
        state = api.CANCELLED if job.cancelled else api.RUNNING if running else api.QUEUED
        return api.JobStatus(job.id, state, job.completed, running)

    # --- what is observed, published and written

    def apply_snapshot(self, snapshot: ShardSnapshot, touched: set[int] | None) -> bool:
        """Evaluate attempts by a machine shard's snapshot; see `AttemptEvaluator`."""
        return self.evaluator.apply_snapshot(snapshot, touched)

    def end_attempt(
        self, job: Job, task: int, placement: TaskPlacement, cause: int, proof: str
    ) -> None:
        """An attempt is proven over; see `AttemptEvaluator`."""
        self.evaluator.end_attempt(job, task, placement, cause, proof)

    def desired_state_message(
        self, to_shard: int, to_epoch: int, full: bool = False, watermark_ms: int = 0
    ) -> pb.DesiredState:
        """The next message to a machine shard's owner; see `DesiredStateBuilder`."""
        return self.desired_state.build_message(to_shard, to_epoch, full, watermark_ms)

    def draft_update(
        self, job: Job, max_chunks: int = MAX_CHUNKS_PER_UPDATE, with_starts: bool = True
    ) -> JobUpdate | None:
        """The next write of a job's record; see `UpdateDrafter`."""
        return self.drafter.draft_update(job, max_chunks, with_starts)

    def draft_cancellation(self, job: Job) -> JobUpdate:
        """The write that cancels a job; see `UpdateDrafter`."""
        return self.drafter.draft_cancellation(job)

    def apply_update(self, update: JobUpdate, revision: int) -> None:
        """An update is durable; see `UpdateApplier`."""
        self.applier.apply(update, revision)

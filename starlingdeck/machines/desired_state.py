"""Tracks which tasks the job shards want to run on the machines of a shard."""

import math

from starlingdeck.interning import task_key
from starlingdeck.machines.fault_detection import FaultDetector
from starlingdeck.machines.machine import DesiredTask, JobInfo, Machine
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb


class DesiredStateTracker:
    """Holds the desired state of each job shard, and how recent it is.

    `desired_tasks` is keyed by job shard, machine and task key. A version is the token and
    sequence number of a desired state message.
    """

    def __init__(self, state: ShardState, faults: FaultDetector) -> None:
        self.state = state
        self.faults = faults
        self.desired_tasks: dict[int, dict[int, dict[int, DesiredTask]]] = {}
        self.protected_tasks: set[int] = set()  # not to be preempted
        self.received_seqs: dict[int, tuple[int, int]] = {}  # job shard -> last version
        # The last versions whose every task has been reconciled. Only these are acknowledged: a
        # task that has not been considered yet would be taken for refused.
        self.applied_seqs: dict[int, tuple[int, int]] = {}
        # Job shard -> watermark: its desired state includes all cancellations made before then.
        self.watermarks: dict[int, float] = {}

    def apply(self, message: pb.DesiredState) -> bool:
        """Apply a job shard's desired state, in full or as changes.

        Return False when the message is for another ownership of this shard, is out of date, or
        doesn't follow the last one. The full state must then be requested.
        """
        # A message built for an earlier owner may arrive late and name finished tasks.
        version, last = (
            (message.from_token, message.seq),
            self.received_seqs.get(message.from_shard),
        )
        if message.to_epoch != self.state.epoch or (last is not None and version < last):
            return False
        if version == last:
            return True
        if message.full:
            self._clear(message.from_shard)
        elif last is None or last != (message.from_token, message.seq - 1):
            return False
        table = self.desired_tasks.get(message.from_shard, {})
        jobs = [self.learn_job(job) for job in message.jobs]
        self._remove_tasks(table, message)
        self._add_tasks(table, message, jobs)
        self.received_seqs[message.from_shard] = version
        if message.watermark_ms:
            before = self.watermarks.get(message.from_shard, 0.0)
            self.watermarks[message.from_shard] = max(before, message.watermark_ms / 1000)
        self.state.changed = True
        return True

    def _clear(self, job_shard: int) -> None:
        for index, tasks in self.desired_tasks.get(job_shard, {}).items():
            self.state.schedule_reconcile(index)
            self.protected_tasks.difference_update(tasks)
        self.desired_tasks[job_shard] = {}

    def _remove_tasks(
        self, table: dict[int, dict[int, DesiredTask]], message: pb.DesiredState
    ) -> None:
        context = self.state.context
        for removed in message.removed:
            index = context.machine_names.intern(removed.machine)
            tasks = table.get(index)
            if tasks is not None:
                key = task_key(context.job_names.intern(removed.job), removed.task)
                tasks.pop(key, None)
                self.protected_tasks.discard(key)
                if not tasks:
                    del table[index]
            self.state.schedule_reconcile(index)

    def _add_tasks(
        self,
        table: dict[int, dict[int, DesiredTask]],
        message: pb.DesiredState,
        jobs: list[int],
    ) -> None:
        context = self.state.context
        for item in message.tasks:
            index = context.machine_names.intern(item.machine)
            key = task_key(jobs[item.job], item.task)
            table.setdefault(index, {})[key] = DesiredTask(
                item.attempt, item.session, item.stop, item.grace_s
            )
            if item.protected:
                self.protected_tasks.add(key)
            else:
                self.protected_tasks.discard(key)
            self.state.schedule_reconcile(index)

    def learn_job(self, job: pb.Job) -> int:
        """Record a job's attributes and return its index."""
        state = self.state
        index = state.context.job_names.intern(job.id)
        if index not in state.jobs and state.awaiting_job_info:
            awaiting, state.awaiting_job_info = state.awaiting_job_info, set()
            for waiting in awaiting:
                state.mark_changed(waiting)
                if waiting in state.machines:
                    state.machines[waiting].last_reported_tasks = None
        state.jobs[index] = _job_info(job)
        self.faults.learn_job(index, job.failure_evidence)
        return index

    def find(self, machine: int, key: int) -> DesiredTask | None:
        """Return the desired state of a task on a machine; None if it is not desired there."""
        table = self.desired_tasks.get(self.state.shard_of_task(key))
        tasks = table.get(machine) if table else None
        return tasks.get(key) if tasks else None

    def latest_session(self, machine: int) -> int:
        """Return the latest session of a machine that any desired state names, or 0."""
        tables = (table.get(machine, {}) for table in self.desired_tasks.values())
        return max((desired.session for tasks in tables for desired in tasks.values()), default=0)

    def machines(self) -> set[int]:
        """Return all machines that any desired state names."""
        return {m for table in self.desired_tasks.values() for m in table}

    def task_keys(self) -> set[int]:
        """Return all tasks that any desired state names."""
        tables = self.desired_tasks.values()
        return {key for table in tables for tasks in table.values() for key in tasks}

    def watermark_age_s(self, machine: Machine) -> float:
        """Return the age of the oldest watermark among the job shards with tasks on a machine.

        It is infinite when one of them has sent none yet. A user is told of a cancellation once no
        job owner can be unaware of it, without waiting for the owner whose desired state is applied
        here: that owner's leases may be renewed for as long as its own link to the state service
        lasts, while the controllers that know of the cancellation crash or are cut off from it.
        """
        context = self.state.context
        now = context.now()
        if len(self.watermarks) == context.shard_count:
            oldest = now - min(self.watermarks.values())
            if oldest <= context.watermark_lifetime_s:
                return oldest
        live = {key for key, observed in machine.tasks.items() if observed.state != api.TASK_EXITED}
        keys = live | machine.pending_launches.keys()
        job_shards = {self.state.shard_of_task(key) for key in keys}
        ages = (now - self.watermarks.get(job_shard, -math.inf) for job_shard in job_shards)
        return max(ages, default=0.0)

    def is_confirmed(self, key: int) -> bool:
        """Return whether the watermark of a task's job shard is recent enough to start the task."""
        watermark = self.watermarks.get(self.state.shard_of_task(key), -math.inf)
        context = self.state.context
        return context.now() - watermark <= context.watermark_lifetime_s

    def is_synced(self, key: int) -> bool:
        """Return whether the desired state of a task's job shard has been received."""
        return self.state.shard_of_task(key) in self.received_seqs


def _job_info(job: pb.Job) -> JobInfo:
    return JobInfo(
        team=job.team,
        rank=job.rank,
        size=(job.cpus, job.gpus, job.memory_gb),
        image=job.image,
        image_gb=job.image_gb,
        checkpoint_s=job.checkpoint_s,
        save_s=job.save_s,
        service=job.service,
        spot=job.spot,
        guaranteed=job.guaranteed,
        estimate_s=job.estimate_s,
    )

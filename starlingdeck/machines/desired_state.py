"""What job shards want of a machine shard, and what it knows of their jobs."""

import logging
import math

from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.context import ControllerContext
from starlingdeck.interning import split_key, task_key
from starlingdeck.machines.failure_attribution import MAX_UNCERTAIN_FAULTY_SHARE, FailureAttribution
from starlingdeck.machines.machine import (
    DesiredTask,
    JobInfo,
    Machine,
)
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)

HEARTBEAT_TIMEOUT_SHARE = 2 / 3  # (start) of a lease
DELETED_RETENTION_S = 600.0  # (start) for how long copies of a deleted machine's reports are told
PRUNE_INTERVAL_S = 60.0  # how often what is known of jobs that left no trace here is forgotten


class DesiredStateTracker:
    """The machines of one shard, and the lists of what is wanted there."""

    def __init__(
        self, context: ControllerContext, shard: int, token: int, epoch: int, wait_s: float
    ) -> None:
        self.context = context
        self.shard = shard
        self.token = token
        self.base_token = token
        self.epoch = epoch
        # Until then another node may have been renewing the leases of our silent workers.
        self.former_leases_end_at = context.now() + wait_s + context.lease_expiry_s
        workers = context.settings.settings.workers
        self.heartbeat_fresh_s = 2.5 * workers.report_s + 0.5
        self.lease_s = workers.lease_s
        # Without a report for so long a machine is drawn no more, however often calls are answered.
        self.heartbeat_timeout_s = max(
            self.heartbeat_fresh_s, workers.lease_s * HEARTBEAT_TIMEOUT_SHARE
        )
        self.machines: dict[int, Machine] = {}
        self.jobs: dict[int, JobInfo] = {}
        self.desired_tasks: dict[int, dict[int, dict[int, DesiredTask]]] = {}
        self.protected_tasks: set[int] = set()  # not to be stopped for others
        self.received_seqs: dict[int, tuple[int, int]] = {}
        # Of each shard of jobs: all that was cancelled before then is in its list here.
        self.watermarks: dict[int, float] = {}
        # Lists whose every item has been reconciled: only these may be called applied, or an
        # item that was not looked at yet would pass for refused.
        self.applied_seqs: dict[int, tuple[int, int]] = {}
        self.to_reconcile: set[int] = set()
        self.kept: set[int] = set()
        self.to_publish: set[int] = set()
        self.removed_machines: set[int] = set()
        self.termination_noticed: set[int] = set()
        self.awaiting_job_info: set[int] = (
            set()
        )  # shown while a task there was of a job not known yet
        self.sweep_at = 0.0
        self.prune_at = context.now() + PRUNE_INTERVAL_S
        self.look_at = 0.0
        self.shard_of: dict[int, int] = {}
        self.deleted_machines: dict[
            int, float
        ] = {}  # machine -> since when; its copies come for a while
        self.stale_reports = 0
        self.unconfirmed_reports = 0  # refused because a job's holder has said nothing lately
        self.raise_at = 0.0
        self.failures = FailureAttribution(context.tuning.sick_errors)
        self.seq = 0
        self.changed = True

    def mark_changed(self, index: int) -> None:
        """A machine changed: it is to be reconciled, and shown."""
        self._schedule_reconcile(index)
        self.to_publish.add(index)
        self.changed = True

    def _schedule_reconcile(self, index: int) -> None:
        self.to_reconcile.add(index)
        machine = self.machines.get(index)
        if machine is not None:
            machine.reconciled = False

    def _schedule_publish(self, machine: Machine) -> None:
        self.to_publish.add(machine.index)
        self.changed = True

    def apply_desired_state(self, message: pb.DesiredState) -> bool:
        """Take a job shard's list, or what changed of it. False when it is not for us, old,
        or doesn't follow the last one: then the whole is to be asked for."""
        # A list made for an earlier holder may come late: it could name finished tasks.
        mark, last = (message.from_token, message.seq), self.received_seqs.get(message.from_shard)
        if message.to_epoch != self.epoch or (last is not None and mark < last):
            return False
        if mark == last:
            return True
        table = self.desired_tasks.get(message.from_shard, {})
        if message.full:
            for index, keys in table.items():
                self._schedule_reconcile(index)
                self.protected_tasks.difference_update(keys)
            table = self.desired_tasks[message.from_shard] = {}
        elif last is None or last != (message.from_token, message.seq - 1):
            return False
        context = self.context
        indices = [self._learn_job(job) for job in message.jobs]
        for gone in message.removed:
            index = context.machine_names.intern(gone.machine)
            here = table.get(index)
            if here is not None:
                key = task_key(context.job_names.intern(gone.job), gone.task)
                here.pop(key, None)
                self.protected_tasks.discard(key)
                if not here:
                    del table[index]
            self._schedule_reconcile(index)
        for item in message.tasks:
            index = context.machine_names.intern(item.machine)
            key = task_key(indices[item.job], item.task)
            table.setdefault(index, {})[key] = DesiredTask(
                item.attempt, item.session, item.stop, item.grace_s
            )
            (self.protected_tasks.add if item.protected else self.protected_tasks.discard)(key)
            self._schedule_reconcile(index)
        self.received_seqs[message.from_shard] = mark
        if message.watermark_ms:
            before = self.watermarks.get(message.from_shard, 0.0)
            self.watermarks[message.from_shard] = max(before, message.watermark_ms / 1000)
        self.changed = True
        return True

    def _learn_job(self, job: pb.Job) -> int:
        index = self.context.job_names.intern(job.id)
        if index not in self.jobs and self.awaiting_job_info:
            blind, self.awaiting_job_info = self.awaiting_job_info, set()
            for machine in blind:
                self.mark_changed(machine)
                if machine in self.machines:
                    self.machines[machine].last_reported_tasks = None
        self.jobs[index] = JobInfo(
            job.team,
            job.rank,
            (job.cpus, job.gpus, job.memory_gb),
            job.image,
            job.image_gb,
            job.checkpoint_s,
            job.save_s,
            job.service,
            job.spot,
            job.guaranteed,
            job.estimate_s,
        )
        if self.failures.learn(index, job.failure_evidence):
            for ill in [m for m in self.machines.values() if m.faulty_since is not None]:
                self._diagnose(ill)
        return index

    def shard_of_task(self, key: int) -> int:
        """The shard of a task's job."""
        job = split_key(key)[0]
        shard = self.shard_of.get(job)
        if shard is None:
            shard = self.shard_of[job] = shard_of_job(
                self.context.job_names[job], self.context.shard_count
            )
        return shard

    def desired_task(self, machine: int, key: int) -> DesiredTask | None:
        table = self.desired_tasks.get(self.shard_of_task(key))
        here = table.get(machine) if table else None
        return here.get(key) if here else None

    def watermark_age_s(self, machine: Machine) -> float:
        """For how long the jobs' holders have said nothing that bears out what is there: the
        longest of them, infinite where one has said nothing yet.

        A cancellation is told once no job holder can be unaware of it; that this list's holder has
        it is not waited for. Its renewals may go on for as long as its own link to the state
        service lasts, while those who have the cancellation crash, read, or are cut off from it.
        """
        now = self.context.now()
        if len(self.watermarks) == self.context.shard_count:
            oldest = now - min(self.watermarks.values())
            if oldest <= self.context.watermark_lifetime_s:
                return oldest
        live = {key for key, observed in machine.tasks.items() if observed.state != api.EXITED}
        homes = {self.shard_of_task(key) for key in live | machine.pending_launches.keys()}
        return max((now - self.watermarks.get(home, -math.inf) for home in homes), default=0.0)

    def is_confirmed(self, key: int) -> bool:
        """Whether a task's start may still be sent on the last word of its job's holder."""
        word = self.watermarks.get(self.shard_of_task(key), -math.inf)
        return self.context.now() - word <= self.context.watermark_lifetime_s

    def is_synced(self, key: int) -> bool:
        return self.shard_of_task(key) in self.received_seqs

    def _diagnose(self, machine: Machine) -> None:
        """Sick by jobs of which little is known are few at a time: a flood of jobs that fail
        everywhere may not take all machines."""
        sick = self.failures.is_faulty(machine.index)
        if sick and not machine.faulty_since and not self.failures.is_certain(machine.index):
            others = sum(m.faulty_since is not None for m in self.machines.values())
            sick = others < max(1, len(self.machines) * MAX_UNCERTAIN_FAULTY_SHARE)
        if sick is (machine.faulty_since is not None):
            return
        machine.faulty_since = self.context.now() if sick else None
        log.info("machine %s: %s", machine.name, "sick" if sick else "not sick after all")
        self.mark_changed(machine.index)

    def prune(self) -> None:
        """Forget the jobs that no list names and no machine shows, and deleted machines that
        no list names: they would stay for as long as the shard is held. A list or a request
        for room that names a job says again what it is."""
        named = {m for table in self.desired_tasks.values() for m in table}
        keys = {k for table in self.desired_tasks.values() for here in table.values() for k in here}
        for machine in self.machines.values():
            keys.update(
                machine.tasks,
                machine.pending_launches,
                machine.reservations,
                machine.evictions,
                machine.descheduled,
            )
            keys.update(key for key, _ in machine.refused_attempts)
        live = {split_key(key)[0] for key in keys}
        self.jobs = {j: info for j, info in self.jobs.items() if j in live}
        self.shard_of = {j: shard for j, shard in self.shard_of.items() if j in live}
        self.failures.keep(live, self.machines)
        kept = self.context.now() - DELETED_RETENTION_S
        self.deleted_machines = {
            m: at for m, at in self.deleted_machines.items() if at > kept or m in named
        }

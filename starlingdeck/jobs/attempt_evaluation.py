"""Determines from the snapshots of machine shards which recorded attempts are over.

An attempt is ended only when one of these is proven: its task has exited, its machine's lease has
expired, its machine no longer exists, its machine has a newer session, or the machine's owner has
applied the desired state that contains the attempt but doesn't report the attempt.
"""

import logging
from typing import TYPE_CHECKING

from starlingdeck.interning import split_key, task_key
from starlingdeck.jobs.job import EndProof, Job, TaskPlacement
from starlingdeck.jobs.outbox import Outbox
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

if TYPE_CHECKING:
    from starlingdeck.jobs.job_shard import JobShard

log = logging.getLogger(__name__)

PROOF_MACHINE_GONE = "machine_gone"
PROOF_NEWER_SESSION = "newer_session"
PROOF_LEASE_EXPIRED = "lease_expired"
PROOF_NOT_STARTED = "not_started"

MAX_BACKOFF_S = 60.0  # maximum delay of a job that fails on every machine it runs on
BACKOFF_BASE_S = 2.0
MAX_BACKOFF_DOUBLINGS = 6
# Retry delay after a machine was busy ("in_use") or didn't know the task ("no_such").
BUSY_RETRY_S = 1.0
NO_CAPACITY_RETRY_S = 0.2  # retry delay after a machine had no capacity left


class AttemptEvaluator:
    """Evaluates the attempts of one job shard."""

    def __init__(self, shard: "JobShard") -> None:
        self.shard = shard
        self.context = shard.context

    def apply_snapshot(self, snapshot: ShardSnapshot, touched: set[int] | None) -> bool:
        """Evaluate the attempts that a snapshot may say something new about.

        These are the attempts on the machines in `touched` (None: on all machines), the attempts
        on machines that are proven to be gone, and the attempts that were first sent in a
        desired-state message which the machines' owner has just applied. Return True if anything
        changed.
        """
        shard = self.shard
        outbox = shard.outboxes[snapshot.shard]
        token, seq = snapshot.applied_seqs.get(shard.shard, (0, 0))
        # That an attempt is missing from a snapshot proves nothing unless the snapshot is from the
        # owner for which the desired state was built.
        current = outbox.epoch == snapshot.epoch
        if current and token == shard.base_token:
            outbox.acked_seq = max(outbox.acked_seq, seq)
        by_machine = shard.tasks_by_machine
        machines = set(by_machine) if touched is None else touched & by_machine.keys()
        machines |= snapshot.lost_machines & by_machine.keys()
        keys = {key for machine in machines for key in by_machine[machine]}
        if current and outbox.unacked and outbox.unacked[0][0] <= outbox.acked_seq:
            keys.update(key for first, key in outbox.unacked if first <= outbox.acked_seq)
            outbox.unacked = [item for item in outbox.unacked if item[0] > outbox.acked_seq]
        changed = False
        for key in keys:
            index, task = split_key(key)
            job = shard.jobs.get(index)
            placement = job.placements.get(task) if job is not None else None
            if job is None or placement is None or placement.shard != snapshot.shard:
                continue
            if task in job.pending_ends:
                continue
            try:
                changed |= self._evaluate_attempt(snapshot, outbox, current, job, task, placement)
            except Exception as error:  # one job's fault must not stop the evaluation of others
                self.context.quarantine_after_failure("job", job.id, error)
        return changed

    def _evaluate_attempt(
        self,
        snapshot: ShardSnapshot,
        outbox: Outbox,
        current: bool,
        job: Job,
        task: int,
        placement: TaskPlacement,
    ) -> bool:
        """End an attempt if the snapshot proves it over; return True if anything is new."""
        changed, proof, cause = False, "", api.CAUSE_NONE
        machine = snapshot.machines.get(placement.machine)
        if placement.machine in snapshot.lost_machines and current and snapshot.owner_valid:
            proof = PROOF_MACHINE_GONE
        elif machine is None:
            return False
        elif machine.session > placement.session:
            proof = PROOF_NEWER_SESSION
        elif (
            machine.lost
            and placement.session == machine.session
            and current
            and snapshot.owner_valid
        ):
            proof = PROOF_LEASE_EXPIRED
        elif (
            observed := snapshot.task(placement.machine, job.id, task, placement.attempt)
        ) is not None:
            placement.descheduled = observed.descheduled
            key = task_key(job.index, task)
            descheduled = self.shard.descheduled
            (descheduled.add if observed.descheduled else descheduled.discard)(key)
            if observed.state != placement.observed_state:
                self._change_observed_state(job, placement, observed)
                changed = True
            if observed.state == api.TASK_EXITED:
                cause = observed.cause
                proof = f"exit_{api.CAUSE_NAMES.get(cause, 'unnamed')}"
        elif (
            current
            and snapshot.owner_valid
            and machine.fenced
            and machine.session == placement.session
            and placement.published_epoch == snapshot.epoch
            and 0 < placement.published_seq <= outbox.acked_seq
        ):
            proof = PROOF_NOT_STARTED
        if proof:
            self.end_attempt(job, task, placement, cause, proof)
        return changed or bool(proof)

    def _change_observed_state(
        self, job: Job, placement: TaskPlacement, observed: pb.ObservedTask
    ) -> None:
        # Placements read from a record have no `state_since`: when they began isn't known.
        if (
            observed.state == api.TASK_RUNNING
            and placement.attempt == 1
            and placement.state_since > 0
        ):
            waited_s = (self.context.wall_clock_ms() - job.submitted_ms) / 1000
            self.context.latencies.record(f"wait {job.spec.priority}", waited_s)
        placement.observed_state, placement.state_since = observed.state, self.context.now()

    def end_attempt(
        self, job: Job, task: int, placement: TaskPlacement, cause: int, proof: str
    ) -> None:
        """Queue the recording of an attempt's proven end, and decide when the task is retried."""
        shard, now = self.shard, self.context.now()
        if job.spec.service:
            shard.replicas_waiting = True
            cause = api.CAUSE_ERROR if cause == api.CAUSE_DONE else cause
        job.pending_ends[task] = cause
        if job.resource_needs:
            job.end_proofs = (job.end_proofs or {}) | {task: EndProof(proof, now)}
            shard.units_released = True
        shard.dirty_jobs.add(job.index)
        target = placement.target
        moves = target is not None and cause != api.CAUSE_DONE and not job.cancelled
        if moves and target is not None and now < target.reserved_until:
            # The attempt has ended on its old machine: start the task on the reserved target.
            job.pending_starts[task] = target
        log.info(
            "task freed: task=%s attempt=%d machine=%s proof=%s",
            api.task_name(job.id, task),
            placement.attempt,
            self.context.machine_names[placement.machine],
            proof,
        )
        if cause == api.CAUSE_STOPPED and not (
            job.cancelled or target or placement.releasing or placement.descheduled
        ):
            self.context.counters.increment(job.spec.team, job.spec.cls, counters.PREEMPTED)
        if cause != api.CAUSE_DONE:
            removed_by = self.context.now() + self.context.settings.settings.workers.lease_s
            job.leave_machine(task, placement.machine, removed_by)
        self._schedule_retry(job, task, placement, cause)

    def _schedule_retry(self, job: Job, task: int, placement: TaskPlacement, cause: int) -> None:
        now = self.context.now()
        if cause == api.CAUSE_ERROR:
            self._record_failure(job, task, placement, now)
        elif cause == api.CAUSE_DONE:
            job.errors = 0
            job.failed_on.clear()
        elif cause == api.CAUSE_NO_CAPACITY:
            job.retry_at[task] = now + NO_CAPACITY_RETRY_S
        elif cause in (api.CAUSE_IN_USE, api.CAUSE_UNKNOWN_TASK):
            job.retry_at[task] = now + BUSY_RETRY_S

    def _record_failure(self, job: Job, task: int, placement: TaskPlacement, now: float) -> None:
        evidence_before = job.failure_evidence
        job.failed_on.add(placement.machine)
        job.avoided_machines.setdefault(task, set()).add(placement.machine)
        suspect = len(job.failed_on) >= self.context.tuning.suspect_machines
        if suspect and now >= job.backoff_until:
            # The job fails wherever it runs: back off, so that its retries don't use up the fleet.
            # Errors that arrive together count as one: counted separately, they raised the delay
            # to a minute at once.
            job.errors += 1
            delay_s = BACKOFF_BASE_S * 2 ** min(job.errors, MAX_BACKOFF_DOUBLINGS)
            job.backoff_until = now + min(MAX_BACKOFF_S, delay_s)
        if evidence_before != job.failure_evidence:
            self.shard.republish_job(job)

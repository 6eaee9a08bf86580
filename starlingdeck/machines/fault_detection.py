"""Marks machines faulty by the failures of their tasks, and clears the mark again."""

import logging

from starlingdeck.machines.failure_attribution import MAX_UNCERTAIN_FAULTY_SHARE, FailureAttribution
from starlingdeck.machines.machine import Machine, ObservedTask
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

ATTEMPT_BITS = 32  # an attempt's key: the task's key, and its attempt number in the low bits


class FaultDetector:
    """Tells machines that fail every task from jobs that fail on every machine."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.failures = FailureAttribution(state.context.tuning.sick_errors)

    def observe(self, machine: Machine, job: int, key: int, observed: ObservedTask) -> None:
        """Take a task's new state on a machine."""
        if observed.state != api.TASK_EXITED:
            return
        if observed.cause == api.CAUSE_DONE:
            self.failures.record_success(machine.index, job)
        elif observed.cause == api.CAUSE_ERROR:
            self.failures.record_error(machine.index, job, key << ATTEMPT_BITS | observed.attempt)
        if observed.cause == api.CAUSE_ERROR or machine.faulty_since:
            self._evaluate(machine)

    def learn_job(self, job: int, evidence: int) -> None:
        """Take what a job's owner knows of it, and re-evaluate the faulty machines."""
        if self.failures.learn(job, evidence):
            for faulty in [m for m in self.state.machines.values() if m.faulty_since is not None]:
                self._evaluate(faulty)

    def _evaluate(self, machine: Machine) -> None:
        """Mark a machine faulty or not.

        Machines marked by jobs of which little is known are limited to a share of the shard: a
        flood of jobs that fail everywhere may not take all machines.
        """
        faulty = self.failures.is_faulty(machine.index)
        if faulty and not machine.faulty_since and not self.failures.is_certain(machine.index):
            machines = self.state.machines
            others = sum(m.faulty_since is not None for m in machines.values())
            faulty = others < max(1, len(machines) * MAX_UNCERTAIN_FAULTY_SHARE)
        if faulty is (machine.faulty_since is not None):
            return
        machine.faulty_since = self.state.context.now() if faulty else None
        fact = "machine marked faulty" if faulty else "machine fault cleared"
        log.info("%s: machine=%s", fact, machine.name)
        self.state.mark_changed(machine.index)

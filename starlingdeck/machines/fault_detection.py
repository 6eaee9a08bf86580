"""Marks machines as faulty by the failures of their tasks, and clears the mark again."""

import logging

from starlingdeck.machines.failure_attribution import MAX_UNCERTAIN_FAULTY_SHARE, FailureAttribution
from starlingdeck.machines.machine import Machine, ObservedTask
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

ATTEMPT_BITS = 32  # low bits of an attempt key: the attempt number; the rest is the task key


class FaultDetector:
    """Tells machines that fail every task from jobs that fail on every machine."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.failures = FailureAttribution(state.context.tuning.sick_errors)

    def observe(self, machine: Machine, job: int, key: int, observed: ObservedTask) -> None:
        """Record the outcome of a task that exited, and re-evaluate its machine."""
        if observed.state != api.TASK_EXITED:
            return
        if observed.cause == api.CAUSE_DONE:
            self.failures.record_success(machine.index, job)
        elif observed.cause == api.CAUSE_ERROR:
            self.failures.record_error(machine.index, job, key << ATTEMPT_BITS | observed.attempt)
        if observed.cause == api.CAUSE_ERROR or machine.faulty_since:
            self._evaluate(machine)

    def learn_job(self, job: int, evidence: int) -> None:
        """Record what a job's owner knows of it; if it is new, re-evaluate the faulty machines."""
        if self.failures.learn(job, evidence):
            for faulty in [m for m in self.state.machines.values() if m.faulty_since is not None]:
                self._evaluate(faulty)

    def _evaluate(self, machine: Machine) -> None:
        """Set or clear a machine's faulty mark.

        Jobs of which nothing is known can mark only a share of the shard's machines: a flood of
        jobs that fail everywhere must not take all of them out of use.
        """
        faulty = self.failures.is_faulty(machine.index)
        if (
            faulty
            and not machine.faulty_since
            and not self.failures.is_certainly_faulty(machine.index)
        ):
            machines = self.state.machines
            others = sum(m.faulty_since is not None for m in machines.values())
            faulty = others < max(1, len(machines) * MAX_UNCERTAIN_FAULTY_SHARE)
        if faulty is (machine.faulty_since is not None):
            return
        machine.faulty_since = self.state.context.now() if faulty else None
        event = "machine marked faulty" if faulty else "machine fault cleared"
        log.info("%s: machine=%s", event, machine.name)
        self.state.mark_changed(machine.index)

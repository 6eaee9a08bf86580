"""Decides whether a machine or a job is at fault for failed tasks. Does no I/O.

A faulty machine fails whatever starts there; a job that was submitted with a mistake fails wherever
it starts. A single failure does not tell them apart: what counts is where else the job has
succeeded or failed, and which other jobs have succeeded or failed on the machine.
"""

from collections.abc import Iterable

# What is known of a job: nothing, that it has succeeded, or that it fails on every machine.
UNKNOWN, FINE, BROKEN = range(3)
# A job that has failed on this many machines, without a success, is at fault for its own errors.
BROKEN_JOB_MACHINES = 2
# Limits the share of a shard's machines that jobs of which nothing is known can mark faulty.
MAX_UNCERTAIN_FAULTY_SHARE = 0.1


class FailureAttribution:
    """Records the task failures of one machine shard, by machine since its last success and by job.

    Errors count by what is known of their jobs. A plain rule of three errors in a row marked a
    large machine faulty when thirty tasks of one broken job failed there at once, and the machine
    was returned to the cloud.
    """

    def __init__(self, min_errors: int) -> None:
        self.min_errors = min_errors  # errors that mark a machine faulty
        self.errors: dict[int, set[tuple[int, int]]] = {}  # machine -> (job, attempt key)
        self.failed: dict[int, set[int]] = {}  # job -> machines it failed on
        self.evidence: dict[int, int] = {}  # job -> what its owner or a success here shows

    def learn(self, job: int, evidence: int) -> bool:
        """Record what a job's owner knows of it; return whether that is new."""
        if evidence == UNKNOWN or self.evidence.get(job) in (evidence, FINE):
            return False
        self.evidence[job] = evidence
        return True

    def record_success(self, machine: int, job: int) -> None:
        """Record that a task of the job has completed on the machine."""
        self.errors.pop(machine, None)
        if job in self.failed:
            self.evidence[job] = FINE

    def record_error(self, machine: int, job: int, attempt_key: int) -> None:
        """Record that an attempt of the job has failed on the machine."""
        self.errors.setdefault(machine, set()).add((job, attempt_key))
        self.failed.setdefault(job, set()).add(machine)

    def evidence_of(self, job: int) -> int:
        """Return what is known of a job: UNKNOWN, FINE or BROKEN."""
        evidence = self.evidence.get(job, UNKNOWN)
        if evidence == UNKNOWN and len(self.failed.get(job, ())) >= BROKEN_JOB_MACHINES:
            return BROKEN
        return evidence

    def is_faulty(self, machine: int) -> bool:
        """Return whether a machine has at least `min_errors` errors that count.

        All errors of jobs that have succeeded count, and one for each job of which nothing is
        known.
        """
        errors = self.errors.get(machine, ())
        uncertain = {job for job, _ in errors if self.evidence_of(job) == UNKNOWN}
        return self._certain_errors(machine) + len(uncertain) >= self.min_errors

    def is_certainly_faulty(self, machine: int) -> bool:
        """Return whether the errors of jobs that have succeeded are enough by themselves."""
        return self._certain_errors(machine) >= self.min_errors

    def _certain_errors(self, machine: int) -> int:
        return sum(self.evidence_of(job) == FINE for job, _ in self.errors.get(machine, ()))

    def retain(self, jobs: Iterable[int], machines: Iterable[int]) -> None:
        """Keep only these jobs and machines, and the jobs with errors on these machines."""
        live_jobs, live_machines = set(jobs), set(machines)
        self.errors = {m: errors for m, errors in self.errors.items() if m in live_machines}
        live_jobs.update(job for errors in self.errors.values() for job, _ in errors)
        self.failed = {j: failed_on for j, failed_on in self.failed.items() if j in live_jobs}
        self.evidence = {j: evidence for j, evidence in self.evidence.items() if j in live_jobs}

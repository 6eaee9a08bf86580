"""Whether a machine or a job is at fault for tasks that failed. Pure.

A faulty machine fails whatever starts there; a job that was submitted with a mistake fails wherever
it starts. A single failure says nothing about either: what counts is where else the job and the
machine have succeeded or failed.
"""

from collections.abc import Iterable

# What is known of a job: nothing, that it succeeds, or that it fails on every machine.
UNKNOWN, FINE, BROKEN = range(3)
# Machines that a job has failed on, without a success, before its errors blame no machine.
BROKEN_JOB_MACHINES = 2
# (start) of the machines: no more of them are marked faulty by jobs of which nothing is known.
MAX_UNCERTAIN_FAULTY_SHARE = 0.1


class FailureAttribution:
    """The task failures of one machine shard: by machine since its last success, and by job.

    A rule of three errors in a row marked a large machine faulty when thirty tasks of one broken
    job failed there at once, and the machine was returned. So a job's errors count by what is
    known of the job.
    """

    def __init__(self, min_errors: int) -> None:
        self.min_errors = min_errors  # errors that mark a machine faulty
        self.errors: dict[int, set[tuple[int, int]]] = {}  # machine -> job, an attempt's key
        self.failed: dict[int, set[int]] = {}  # job -> machines
        self.evidence: dict[int, int] = {}  # job -> what its owner or a success here says of it

    def learn(self, job: int, evidence: int) -> bool:
        """Take what a job's owner knows of it; returns whether that is new."""
        if evidence == UNKNOWN or self.evidence.get(job) in (evidence, FINE):
            return False
        self.evidence[job] = evidence
        return True

    def record_success(self, machine: int, job: int) -> None:
        """A task of the job has completed on the machine."""
        self.errors.pop(machine, None)
        if job in self.failed:
            self.evidence[job] = FINE

    def record_error(self, machine: int, job: int, attempt_key: int) -> None:
        """An attempt of the job has failed on the machine."""
        self.errors.setdefault(machine, set()).add((job, attempt_key))
        self.failed.setdefault(job, set()).add(machine)

    def evidence_of(self, job: int) -> int:
        """What is known of a job: UNKNOWN, FINE or BROKEN."""
        evidence = self.evidence.get(job, UNKNOWN)
        if evidence == UNKNOWN and len(self.failed.get(job, ())) >= BROKEN_JOB_MACHINES:
            return BROKEN
        return evidence

    def is_faulty(self, machine: int) -> bool:
        """Whether a machine has errors enough: all those of jobs that succeed elsewhere, and one
        for each job of which nothing is known."""
        errors = self.errors.get(machine, ())
        uncertain = {job for job, _ in errors if self.evidence_of(job) == UNKNOWN}
        return self._certain_errors(machine) + len(uncertain) >= self.min_errors

    def is_certain(self, machine: int) -> bool:
        """Whether the errors of jobs that succeed elsewhere are enough by themselves."""
        return self._certain_errors(machine) >= self.min_errors

    def _certain_errors(self, machine: int) -> int:
        return sum(self.evidence_of(job) == FINE for job, _ in self.errors.get(machine, ()))

    def retain(self, jobs: Iterable[int], machines: Iterable[int]) -> None:
        """Forget all jobs and machines but these, and the jobs with errors on these machines."""
        live_jobs, live_machines = set(jobs), set(machines)
        self.errors = {m: errors for m, errors in self.errors.items() if m in live_machines}
        live_jobs.update(job for errors in self.errors.values() for job, _ in errors)
        self.failed = {j: found for j, found in self.failed.items() if j in live_jobs}
        self.evidence = {j: evidence for j, evidence in self.evidence.items() if j in live_jobs}

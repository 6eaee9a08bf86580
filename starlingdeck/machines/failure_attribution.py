"""Whether a machine or a job is at fault for tasks that failed. Pure.

A faulty machine fails whatever starts there; a job that was submitted with a mistake fails wherever
it starts. What fails together says nothing: what counts is where else each has gone well or failed.
"""

from collections.abc import Iterable

UNKNOWN, FINE, BROKEN = range(3)
BROKEN_JOB_MACHINES = (
    2  # machines that a job has failed on without a success: its errors blame none
)
MAX_UNCERTAIN_FAULTY_SHARE = (
    0.1  # (start) of the machines: more aren't called sick by jobs of which nothing is known
)


class FailureAttribution:
    """Of one machine shard: errors by machine since its last success, and what jobs are like.

    Three errors in a row of a job that had failed on no third machine made a machine sick. Thirty
    tasks of a wrong job on one large machine did that at once, and the machine was returned.
    """

    def __init__(self, enough: int) -> None:
        self.enough = enough  # errors that make a machine sick
        self.errors: dict[int, set[tuple[int, int]]] = {}  # machine -> job, an attempt's key
        self.failed: dict[int, set[int]] = {}  # job -> machines
        self.known: dict[int, int] = {}  # job -> what its holder or a success here says of it

    def learn(self, job: int, known: int) -> bool:
        """What a job's holder says of it; True when that is news."""
        if known == UNKNOWN or self.known.get(job) in (known, FINE):
            return False
        self.known[job] = known
        return True

    def done(self, machine: int, job: int) -> None:
        self.errors.pop(machine, None)
        if job in self.failed:
            self.known[job] = FINE

    def error(self, machine: int, job: int, attempt: int) -> None:
        self.errors.setdefault(machine, set()).add((job, attempt))
        self.failed.setdefault(job, set()).add(machine)

    def of(self, job: int) -> int:
        known = self.known.get(job, UNKNOWN)
        if known == UNKNOWN and len(self.failed.get(job, ())) >= BROKEN_JOB_MACHINES:
            return BROKEN
        return known

    def is_faulty(self, machine: int) -> bool:
        """By errors of jobs that go well elsewhere; of others, each job counts once."""
        found = self.errors.get(machine, ())
        doubtful = {job for job, _ in found if self.of(job) == UNKNOWN}
        return self._sure(machine) + len(doubtful) >= self.enough

    def is_certain(self, machine: int) -> bool:
        """Sick by the errors of jobs alone that go well elsewhere."""
        return self._sure(machine) >= self.enough

    def _sure(self, machine: int) -> int:
        return sum(self.of(job) == FINE for job, _ in self.errors.get(machine, ()))

    def keep(self, jobs: Iterable[int], machines: Iterable[int]) -> None:
        """Forget all others."""
        live, here = set(jobs), set(machines)
        self.errors = {m: found for m, found in self.errors.items() if m in here}
        live.update(job for found in self.errors.values() for job, _ in found)
        self.failed = {j: found for j, found in self.failed.items() if j in live}
        self.known = {j: known for j, known in self.known.items() if j in live}

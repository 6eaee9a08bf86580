"""Determines which machines a job's tasks may run on: machine types, zone, and spot machines."""

from collections.abc import Callable, Collection, Sequence

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.zone_rules import ZoneFilter
from starlingdeck.machines.scoring import Candidate

CandidateFilter = Callable[[Candidate], bool]


# Machine types, zone, and whether spot machines are allowed; jobs with equal keys may use the
# same machines. A plain tuple because every cycle builds one for each waiting job.
ConstraintKey = tuple[tuple[str, ...], str | None, bool]


def constraint_key(job: Job) -> ConstraintKey:
    """Return the key of a job's constraints."""
    return tuple(job.spec.types or ()), job.spec.zone, job.spec.spot


def satisfies_constraints(context: ControllerContext, job: Job, candidate: Candidate) -> bool:
    """Return whether the job allows a machine's type, zone and kind (spot or not)."""
    spec = job.spec
    if spec.types is not None and context.type_names[candidate.type] not in spec.types:
        return False
    if spec.zone is not None and context.zone_names[candidate.zone] != spec.zone:
        return False
    return spec.spot or not candidate.spot


def task_filter(
    job: Job, task: int, zone_allowed: ZoneFilter, former_machines: Collection[int] = ()
) -> CandidateFilter:
    """Return a filter for one task's machines: allowed zones, not those it failed on or runs on.

    `former_machines` are left out as well.
    """
    avoided, key = job.avoided_machines.get(task, ()), (job.index, task)
    return lambda candidate: (
        zone_allowed(candidate.zone)
        and candidate.index not in avoided
        and candidate.index not in former_machines
        and key not in candidate.tasks
    )


class EligibleCandidates:
    """The schedulable machines of one scheduling cycle, grouped by job constraints.

    Jobs with the same constraints share one list of machines, which is computed only once.
    """

    def __init__(self, context: ControllerContext, candidates: Sequence[Candidate]) -> None:
        self.context = context
        self.candidates = [candidate for candidate in candidates if candidate.schedulable]
        self._by_constraints: dict[ConstraintKey, list[Candidate]] = {}

    def for_job(self, job: Job) -> list[Candidate]:
        """Return the schedulable machines that a job's constraints allow, even full ones."""
        key = constraint_key(job)
        eligible = self._by_constraints.get(key)
        if eligible is None:
            eligible = [
                candidate
                for candidate in self.candidates
                if satisfies_constraints(self.context, job, candidate)
            ]
            self._by_constraints[key] = eligible
        return eligible

"""Determines where a job's tasks may run: machine types, zones, spot machines and spreading."""

from collections.abc import Callable, Collection, Sequence

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.machines.scoring import Candidate

ZoneFilter = Callable[[int], bool]
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


def zone_filter(job: Job, zone_counts: dict[int, int]) -> ZoneFilter:
    """Return a filter for the zones of the job's next task, given its number of tasks by zone.

    While a task of a job that must stay in one zone moves to another, it counts in both. Until it
    has left the old one, no zone is allowed to the others.
    """
    spec = job.spec
    if spec.one_zone and zone_counts:
        return lambda zone: zone_counts.keys() == {zone}
    if spec.spread:
        limit = (spec.tasks + 1) // 2
        return lambda zone: zone_counts.get(zone, 0) < limit
    return lambda _zone: True


def count_by_zone(job: Job, leaving: TaskPlacement | None = None) -> dict[int, int]:
    """Count the job's tasks by zone: placed, starting, maybe starting, or with a request.

    A task that is being moved also counts in its target's zone. `leaving` is a placement that its
    task is about to leave: it isn't counted, so that it doesn't restrict the task's next placement.
    """
    counts: dict[int, int] = {}
    for placement in (
        *job.placements.values(),
        *job.pending_starts.values(),
        *job.uncertain_starts.values(),
    ):
        if placement is not leaving:
            counts[placement.zone] = counts.get(placement.zone, 0) + 1
        if placement.target is not None:
            counts[placement.target.zone] = counts.get(placement.target.zone, 0) + 1
    for zone in job.reserving.values():
        counts[zone] = counts.get(zone, 0) + 1
    return counts


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

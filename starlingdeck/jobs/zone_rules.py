"""Decides in which zones a job's next tasks may be placed, given where its other tasks are."""

from collections.abc import Callable, Collection, Mapping

from starlingdeck.context import UNBOUNDED, ControllerContext, fits, machine_capacity
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.protocol.api import JobSpec, MachineType

ZoneFilter = Callable[[int], bool]


def max_tasks_per_zone(spec: JobSpec) -> int:
    """Return how many of a job's tasks may be in one zone at once."""
    return (spec.tasks + 1) // 2 if spec.spread else UNBOUNDED


def restricts_zones(spec: JobSpec) -> bool:
    """Return whether the zones of a job's tasks depend on each other."""
    return spec.one_zone or spec.spread


def zone_filter(job: Job, zone_counts: Mapping[int, int]) -> ZoneFilter:
    """Return a filter for the zones of the job's next task, given its number of tasks by zone.

    While a task of a job that must stay in one zone moves to another, it counts in both. Until it
    has left the old one, no zone is allowed to the others.
    """
    spec = job.spec
    if not restricts_zones(spec):
        return lambda _zone: True
    limit = max_tasks_per_zone(spec)
    if spec.one_zone and zone_counts:
        return lambda zone: zone_counts.keys() == {zone} and zone_counts[zone] < limit
    return lambda zone: zone_counts.get(zone, 0) < limit


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


def placeable_tasks(context: ControllerContext, job: Job) -> int:
    """Return how many more tasks the job's own zone rules allow to be placed, at most UNBOUNDED.

    The job's other tasks wait for these to end, not for a machine: whatever is counted as waiting
    for capacity, is rented for, or is stopped for, must leave them out.
    """
    if not restricts_zones(job.spec):
        return UNBOUNDED
    zone_counts, limit = count_by_zone(job), max_tasks_per_zone(job.spec)
    room = [limit - zone_counts.get(zone, 0) for zone in _allowed_zones(context, job, zone_counts)]
    return min(UNBOUNDED, max(room, default=0) if job.spec.one_zone else sum(room))


def only_zone(context: ControllerContext, job: Job) -> str:
    """Return the name of the only zone that is left to the job's waiting tasks; "" if none is.

    That is the job's own zone, or where the other tasks of a job for one zone are.
    """
    zone_counts = count_by_zone(job) if job.spec.one_zone else {}
    if job.spec.zone is not None or len(zone_counts) != 1:
        return job.spec.zone or ""
    return context.zone_names[next(iter(zone_counts))]


def _allowed_zones(
    context: ControllerContext, job: Job, zone_counts: Mapping[int, int]
) -> list[int]:
    """Return the zones where one more task of the job may be placed."""
    zone_allowed = zone_filter(job, zone_counts)
    return [zone for zone in _usable_zones(context, job, zone_counts) if zone_allowed(zone)]


def _usable_zones(
    context: ControllerContext, job: Job, zone_counts: Mapping[int, int]
) -> Collection[int]:
    """Return the job's zone, or all zones with its tasks or with machine types that they fit."""
    spec = job.spec
    if spec.zone is not None:
        return (context.zone_names.intern(spec.zone),)
    if spec.one_zone and zone_counts:
        return zone_counts.keys()
    zones = set(zone_counts)
    for index, offered in context.zones_by_type.items():
        if not zones.issuperset(offered) and _is_usable(job, context.machine_types[index]):
            zones |= offered
    return zones


def _is_usable(job: Job, machine_type: MachineType) -> bool:
    """Return whether a task of the job may run and fits on machines of a type."""
    types = job.spec.types
    allowed = types is None or machine_type.name in types
    return allowed and fits(job.size, machine_capacity(machine_type))

"""Checks of a job's next write that must hold whatever chose it; a failure is our own fault.

The job is quarantined then: nothing of the write is recorded, and nobody is told of it.
"""

from collections.abc import Mapping

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import DONE, Job, TaskPlacement
from starlingdeck.protocol.api import JobSpec


class JobInvariantError(Exception):
    """A write would contradict what a job's tasks are or may be."""


def check_all_completed(job: Job, ends: Mapping[int, int]) -> None:
    """Check a job that is about to be recorded as done, task by task and not by its count.

    `ends` are recorded with it, task to cause. Raises JobInvariantError: a user must not be told
    that a job is done before all its tasks are.
    """
    completed = job.task_states.count(DONE) + job.newly_completed(ends)
    if completed != job.spec.tasks:
        raise JobInvariantError(f"{completed} of {job.spec.tasks} tasks have completed")


def check_places(context: ControllerContext, job: Job, starts: Mapping[int, TaskPlacement]) -> None:
    """Check the places of a job's starts: zone, machine type and kind, and its other tasks' zones.

    Other tasks that are in a wrong zone already, placed by an older version, are no failure: only
    starts are checked. Raises JobInvariantError.
    """
    for placement in starts.values():
        _check_machine(context, job.spec, placement)
    if job.spec.one_zone or job.spec.spread:
        _check_zones(job, starts)


def _check_machine(context: ControllerContext, spec: JobSpec, placement: TaskPlacement) -> None:
    zone = context.zone_names[placement.zone]
    if spec.zone not in (None, zone):
        raise JobInvariantError(f"a task of a job for zone {spec.zone} would be in {zone}")
    if placement.spot and not spec.spot:
        raise JobInvariantError("a task would be on a spot machine")
    if spec.types is None or placement.machine_type is None:
        return
    name = context.type_names[placement.machine_type]
    if name not in spec.types:
        raise JobInvariantError(f"a task would be on a machine of type {name}")


def _check_zones(job: Job, starts: Mapping[int, TaskPlacement]) -> None:
    """Check the zones of starts against each other and those of the job's other attempts."""
    others = [placement for task, placement in job.placements.items() if task not in starts]
    others += [
        placement
        for task, placement in job.uncertain_starts.items()
        if task not in starts and task not in job.placements
    ]
    zones = [placement.zone for placement in (*others, *starts.values())]
    limit = (job.spec.tasks + 1) // 2
    for zone in {placement.zone for placement in starts.values()}:
        if job.spec.one_zone and {*zones} != {zone}:
            raise JobInvariantError(
                f"tasks of a job for one zone would be in {len({*zones})} zones"
            )
        if job.spec.spread and zones.count(zone) > limit:
            raise JobInvariantError(
                f"{zones.count(zone)} tasks of a job that spreads would be in one zone, "
                f"at most {limit} allowed"
            )

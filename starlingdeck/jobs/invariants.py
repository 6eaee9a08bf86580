"""Checks of a job's next write that must hold whatever chose it; a failure is our own fault.

The job is quarantined then: nothing of the write is recorded, and nobody is told of it.
"""

from collections.abc import Mapping

from starlingdeck.jobs.job import DONE, Job, TaskPlacement


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


def check_one_zone(job: Job, starts: Mapping[int, TaskPlacement]) -> None:
    """Check the starts of a job whose tasks must all be in one zone, against its other tasks.

    Raises JobInvariantError.
    """
    zones = {placement.zone for task, placement in job.placements.items() if task not in starts}
    zones |= {placement.zone for placement in starts.values()}
    if len(zones) > 1:
        raise JobInvariantError(f"tasks of a job for one zone would be in {len(zones)} zones")

"""Jobs whose ids tell hollow workers what a real one would fetch: how long their tasks run.

An id is j- and 16 digits: kind, team, run time in tenths of a second, number.
"""

import random
from typing import NamedTuple

ARRAY, SERVICE, ONE_TASK = 1, 2, 3
UNLIMITED_RUN_DS = 99_999  # tenths of a second: the task runs until it is stopped
RUN_TIME_SPREAD = 0.3  # how far tasks of one job differ in length, either way


class JobDescription(NamedTuple):
    """What a job's id says of it."""

    kind: int
    team: int
    run_ds: int

    @property
    def service(self) -> bool:
        """Whether the job is a service."""
        return self.kind == SERVICE


def job_id(kind: int, team: int, run_s: float, number: int) -> str:
    """The id of a job with these properties; `run_s` in seconds."""
    run_ds = (
        UNLIMITED_RUN_DS
        if kind == SERVICE
        else min(UNLIMITED_RUN_DS - 1, max(1, round(run_s * 10)))
    )
    return f"j-{kind}{team:03d}{run_ds:05d}{number:07d}"


def parse_job_id(job: str) -> JobDescription:
    """What an id made by `job_id` says; ValueError for any other."""
    digits = job.removeprefix("j-")
    if len(digits) != 16:
        raise ValueError(f"not of this workload: {job}")
    return JobDescription(int(digits[0]), int(digits[1:4]), int(digits[4:9]))


def task_run_s(task: str) -> float:
    """How long one task of a job runs; the same wherever it is started."""
    described = parse_job_id(task.split("/", maxsplit=1)[0])
    return (
        described.run_ds
        / 10
        * random.Random(task).uniform(1 - RUN_TIME_SPREAD, 1 + RUN_TIME_SPREAD)
    )

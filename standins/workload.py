"""Job ids that encode how long a job's tasks run; real workers would fetch what there is to run.

An id is j- and 16 digits: kind (1), team (3), run time in tenths of a second (5), number (7).
"""

import random
from typing import NamedTuple

ARRAY, SERVICE, ONE_TASK = 1, 2, 3
UNLIMITED_RUN_DS = 99_999  # in tenths of a second; stands for a task that runs until it is stopped
RUN_TIME_SPREAD = 0.3  # a task runs up to this share shorter or longer than its job's run time


class JobDescription(NamedTuple):
    """The properties that a job's id encodes; `run_ds` in tenths of a second."""

    kind: int
    team: int
    run_ds: int

    @property
    def service(self) -> bool:
        """Whether the job is a service."""
        return self.kind == SERVICE


def job_id(kind: int, team: int, run_s: float, number: int) -> str:
    """Returns the id of a job; `run_s`, in seconds, is not used for a service."""
    run_ds = (
        UNLIMITED_RUN_DS
        if kind == SERVICE
        else min(UNLIMITED_RUN_DS - 1, max(1, round(run_s * 10)))
    )
    return f"j-{kind}{team:03d}{run_ds:05d}{number:07d}"


def parse_job_id(job: str) -> JobDescription:
    """Returns the properties that an id encodes; raises ValueError if it can't be parsed."""
    digits = job.removeprefix("j-")
    if len(digits) != 16:
        raise ValueError(f"{job}: expected j- and 16 digits, as job_id makes them")
    return JobDescription(int(digits[0]), int(digits[1:4]), int(digits[4:9]))


def task_run_s(task: str) -> float:
    """Returns the run time of one task in seconds, which is the same for every start."""
    description = parse_job_id(task.split("/", maxsplit=1)[0])
    return (
        description.run_ds
        / 10
        * random.Random(task).uniform(1 - RUN_TIME_SPREAD, 1 + RUN_TIME_SPREAD)
    )

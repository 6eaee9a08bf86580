"""A completed task is started again after a move that came too late, and counts twice."""

import random
import sys
import time
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    Deployment,
    NotRunError,
    WorkerEvent,
    call,
    run_case,
    shard_of_job,
    with_trouble,
)

CASE = Path(__file__).resolve().parent
TEAM = "arhiv-team"
ZONE = "ljubljana-rack"
LARGE, SMALL = "hrast-sixteen", "lipa-eight"
# By their names, the two large machines belong to controller 2, the small ones to the others.
SMALL_MACHINES = 4
FLEET = [(LARGE, ZONE, False)] * 2 + [(SMALL, ZONE, True)] * SMALL_MACHINES
TARGETS_OWNER = 2
OWNER = 0
ATTEMPTS = 3  # each needs two small machines, and takes one away
RUN_S = 16.0
NOTICE_S = 12.0
NOTICE_BEFORE_END_S = 1.0
PAUSE_S = 1.5  # the pages name 5 s and more; a shorter one is inside that


def run_s(task: str) -> float:
    """Return how long the project's simulated workers run a task of this name."""
    return RUN_S * random.Random(task).uniform(0.7, 1.3)


def job_id(number: int) -> str:
    """Return an id that hashes to OWNER, with a short first task and a long second one."""
    number *= 10_000
    while True:
        number += 1
        job = f"j-1000{round(RUN_S * 10):05d}{number:07d}"
        short, long = run_s(f"{job}/0"), run_s(f"{job}/1")
        if shard_of_job(job) == OWNER and short < 0.8 * RUN_S and long > 1.25 * RUN_S:
            return job


def first_event(deployment: Deployment, task: str, kind: str) -> WorkerEvent | None:
    """Return the first event of a kind of a task."""
    events = deployment.sorted_events()
    return next((e for e in events if e.task == task and e.kind == kind), None)


def run() -> int:
    """Run the case."""
    teams = [{"name": TEAM, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}]
    deployment = Deployment(CASE, teams, [ZONE])
    try:
        return play(deployment)
    finally:
        deployment.stop()


def play(deployment: Deployment) -> int:
    """Try a few times, until a job is called done too early."""
    deployment.start_state_service()
    deployment.start_fleet({LARGE: 8.0, SMALL: 8.0}, FLEET, host=("spot_workers.py", "4.0"))
    deployment.start_controllers()
    time.sleep(3.0)  # until the controllers know the machines
    for number in range(ATTEMPTS):
        if attempt(deployment, number) == BROKEN:
            return BROKEN
    return HELD


def attempt(deployment: Deployment, number: int) -> int:
    """Run a job of two tasks, and take the machine of the first back just before its end.

    While the job is placed, other jobs fill all machines but two small ones. When its tasks run,
    the large machines are made free again: the first task can be moved there only.
    """
    surplus = SMALL_MACHINES - 2 - (number if with_trouble() else 0)
    large = fill(deployment, f"j-20009999900000{number}1", LARGE, 2)
    small = fill(deployment, f"j-20009999900000{number}2", SMALL, surplus)
    job = job_id(number)
    fields = {"loaners": True, "cores": 8.0, "guess_s": 2 * RUN_S}
    deployment.submit(deployment.submission(job, TEAM, 2, "normal", **fields), OWNER)
    wait_for_starts(deployment, job, 2)
    cancel(deployment, large)
    short = first_event(deployment, f"{job}/0", "on")
    if short is None:
        raise NotRunError("the first task's start is unknown")
    if with_trouble():
        disturb(deployment, short.machine, short.at + run_s(short.task))
    result = judge(deployment, job)
    if surplus and result == HELD:
        cancel(deployment, small)
        time.sleep(2.0)
    return result


def fill(deployment: Deployment, job: str, build: str, tasks: int) -> str:
    """Occupy machines of a type with a service, and return its id."""
    if tasks:
        fields = {"shape": "daemon", "guess_s": 0.0, "builds": [build], "loaners": True}
        body = deployment.submission(job, TEAM, tasks, "normal", cores=8.0, **fields)
        deployment.submit(body, OWNER)
        wait_for_starts(deployment, job, tasks)
    return job


def wait_for_starts(deployment: Deployment, job: str, tasks: int) -> None:
    """Wait until all tasks of a job have been started."""
    deployment.wait_until(
        lambda: all(first_event(deployment, f"{job}/{n}", "on") for n in range(tasks)), job
    )


def cancel(deployment: Deployment, job: str) -> None:
    """Cancel a job that only fills machines."""
    status, _ = deployment.request(OWNER, "POST", f"/v2/runs/{job}/withdraw")
    if status != 200:
        raise NotRunError("the cancellation was not answered")


def disturb(deployment: Deployment, machine: str, ends_at: float) -> None:
    """Give a machine a notice shortly before its task ends, while one controller stands still."""
    time.sleep(max(0.0, ends_at - NOTICE_BEFORE_END_S - time.monotonic()))
    deployment.pause(f"perch-{TARGETS_OWNER}")
    notice = {"name": machine, "seconds": NOTICE_S}
    call(deployment.host, "POST", "/notice", notice)
    deployment.record(f"cloud: termination notice {notice}")
    time.sleep(PAUSE_S)
    deployment.resume(f"perch-{TARGETS_OWNER}")


def judge(deployment: Deployment, job: str) -> int:
    """Poll the job until its second task is done; it must not be called done before."""
    deadline = time.monotonic() + 2 * RUN_S
    while time.monotonic() < deadline:
        deployment.check_alive()
        state = deployment.state_of(job, OWNER)
        time.sleep(0.3)  # the workers' events come with a delay
        if first_event(deployment, f"{job}/1", "done") is not None:
            return HELD
        if state == "done":
            deployment.record(f"{job} is called done, but {job}/1 has not completed")
            time.sleep(3.0)  # what becomes of the second task goes into the record
            return BROKEN
    raise NotRunError("the second task did not end")


if __name__ == "__main__":
    sys.exit(run_case(run))

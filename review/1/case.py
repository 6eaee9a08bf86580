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
# By their names, the first two belong to controller 2, the third to 1, the fourth to 0.
FLEET = [(LARGE, ZONE, False), (LARGE, ZONE, False), (SMALL, ZONE, True), (SMALL, ZONE, True)]
TARGETS_OWNER = 2
OWNER = 0
RUN_S = 16.0
NOTICE_S = 12.0
NOTICE_BEFORE_END_S = 1.0
PAUSE_S = 1.5  # the pages name 5 s and more; a shorter one is inside that


def run_s(task: str) -> float:
    """Return how long the project's simulated workers run a task of this name."""
    return RUN_S * random.Random(task).uniform(0.7, 1.3)


def job_id() -> str:
    """Return an id that hashes to OWNER, with a short first task and a long second one."""
    number = 1
    while True:
        job = f"j-1000{round(RUN_S * 10):05d}{number:07d}"
        short, long = run_s(f"{job}/0"), run_s(f"{job}/1")
        if shard_of_job(job) == OWNER and short < 0.8 * RUN_S and long > 1.25 * RUN_S:
            return job
        number += 1


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
    """Run a job of two tasks, and take the machine of the first back just before its end."""
    deployment.start_state_service()
    deployment.start_fleet({LARGE: 8.0, SMALL: 8.0}, FLEET, host=("spot_workers.py", "4.0"))
    deployment.start_controllers()
    time.sleep(3.0)  # until the controllers know the machines
    filler, job = "j-2000999990000001", job_id()
    fields = {"shape": "daemon", "guess_s": 0.0, "builds": [LARGE], "cores": 8.0}
    deployment.submit(deployment.submission(filler, TEAM, 2, "normal", **fields), OWNER)
    deployment.wait_until(
        lambda: all(first_event(deployment, f"{filler}/{n}", "on") for n in (0, 1)), "the filler"
    )
    fields = {"loaners": True, "cores": 8.0, "guess_s": 2 * RUN_S}
    deployment.submit(deployment.submission(job, TEAM, 2, "normal", **fields), OWNER)
    deployment.wait_until(
        lambda: all(first_event(deployment, f"{job}/{n}", "on") for n in (0, 1)), "the job"
    )
    status, _ = deployment.request(OWNER, "POST", f"/v2/runs/{filler}/withdraw")
    if status != 200:
        raise NotRunError("the cancellation was not answered")
    short = first_event(deployment, f"{job}/0", "on")
    if short is None:
        raise NotRunError("the first task's start is unknown")
    if with_trouble():
        disturb(deployment, short.machine, short.at + run_s(short.task))
    return judge(deployment, job)


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

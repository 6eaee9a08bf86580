"""An attempt that runs after its recorded end is counted and logged, with both machines' names."""

import logging

import pytest

from starlingdeck.jobs.job import TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.support.builders import Clock, job_of_shard, make_context, spec

NAME = job_of_shard(0)
EPOCH = 7


def shard_with_second_attempt() -> JobShard:
    """Return a shard with a job whose task 0 is placed on vm-2 by its second attempt."""
    context = make_context(Clock())
    shard = JobShard(context, 0, 3, 9)
    job = new_job(context, spec(NAME, chores=2), 0, 0)
    job.attempts[0] = 2
    job.placements[0] = TaskPlacement(context.machine_names.intern("vm-2"), 1, 2, 1, 0)
    shard.adopt(job)
    shard.outboxes[1].epoch = EPOCH
    return shard


def check(shard: JobShard, machine: str, epoch: int = EPOCH, **task: int) -> int:
    """Show the shard one machine with a task of the job; return how many late starts it counts."""
    name = shard.context.machine_names.intern(machine)
    snapshot = ShardSnapshot(shard.context, 1, epoch)
    lost, fenced = bool(task.pop("lost", 0)), bool(task.pop("fenced", 1))
    entry = pb.MachineState(id=machine, session=1, lost=lost, fenced=fenced)
    entry.tasks.add(job=NAME, **task)
    snapshot.machines[name] = entry
    shard.late_starts.check(snapshot, {name})
    return shard.late_starts.count


def test_an_ended_attempt_that_runs_is_logged_once_with_both_machines(
    caplog: pytest.LogCaptureFixture,
) -> None:
    shard = shard_with_second_attempt()
    with caplog.at_level(logging.ERROR):
        for _ in range(3):
            assert check(shard, "vm-1", task=0, attempt=1, state=api.TASK_RUNNING) == 1
    (message,) = caplog.messages
    assert message == (
        f"attempt started late: task={NAME}/0 attempt=1 machine=vm-1 present_attempt=2 "
        "present_machine=vm-2"
    )


def test_a_task_of_a_finished_job_that_runs_is_counted() -> None:
    shard = shard_with_second_attempt()
    shard.remove(shard.context.job_names.intern(NAME))
    assert check(shard, "vm-1", task=0, attempt=2, state=api.TASK_FETCHING) == 0
    shard.record_terminal_state(NAME, api.CANCELLED, 0)
    assert check(shard, "vm-1", task=0, attempt=2, state=api.TASK_FETCHING) == 1


@pytest.mark.parametrize(
    ("machine", "fields"),
    [
        ("vm-2", {"task": 0, "attempt": 2, "state": api.TASK_RUNNING}),
        ("vm-1", {"task": 0, "attempt": 1, "state": api.TASK_EXITED}),
        ("vm-1", {"task": 0, "attempt": 1, "state": api.TASK_PENDING}),
        ("vm-1", {"task": 0, "attempt": 3, "state": api.TASK_RUNNING}),
        ("vm-1", {"task": 1, "attempt": 1, "state": api.TASK_RUNNING}),
        ("vm-1", {"task": 9, "attempt": 1, "state": api.TASK_RUNNING}),
        ("vm-1", {"task": 0, "attempt": 1, "state": api.TASK_RUNNING, "lost": 1}),
        ("vm-1", {"task": 0, "attempt": 1, "state": api.TASK_RUNNING, "fenced": 0}),
        ("vm-1", {"task": 0, "attempt": 1, "state": api.TASK_RUNNING, "epoch": EPOCH - 1}),
    ],
    ids=[
        "present",
        "exited",
        "pending",
        "newer",
        "never started",
        "no such",
        "lost",
        "copy of an old report",
        "old owner",
    ],
)
def test_other_attempts_are_not_counted(machine: str, fields: dict[str, int]) -> None:
    assert check(shard_with_second_attempt(), machine, **fields) == 0

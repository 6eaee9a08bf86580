"""When the token is raised so that ended attempts can be removed, and what waits for it."""

import pytest

from starlingdeck.interning import task_key
from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.machine import Machine, ObservedTask, PendingLaunch
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_state import MAX_ENDED_ATTEMPTS
from starlingdeck.machines.start_fence import CROWDED_ENDED_ATTEMPTS
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.support.builders import Clock, job_of_shard, make_context, spec

NAME = job_of_shard(0)
LEASE_S = 10.0  # as in tests.support.builders
TOKEN = 5


class Shard:
    """A shard with one machine, and the desired state of one job."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.machines = MachineShard(make_context(self.clock), 0, TOKEN, 9, 0.0)
        self.seq = self.report_seq = 0
        self.job = new_job(self.machines.context, spec(NAME, chores=600, cores=1.0), 0, 0)
        self.report()
        self.machine.unconfirmed_since = None  # it has answered a command
        self.desire(full=True)

    @property
    def machine(self) -> Machine:
        """The machine's record."""
        return self.machines.machines[0]

    def report(self, *tasks: tuple[int, int, str], token: int = 0) -> list[str]:
        """Apply a report of tasks (number, attempt, state); return the commands of its answer."""
        self.report_seq += 1
        body = [
            api.ReportTask(f"{NAME}/{n}", a, s, "error" if s == "exited" else None)
            for n, a, s in tasks
        ]
        seen = token or self.machines.token
        report = api.Report("vm-1", "x", "small", "a", 1, self.report_seq, seen, tasks=body)
        machine = self.machines.apply_report(report, True)
        commands = self.machines.pending_commands(machine, True)
        return [f"{c.op} {c.task}@{c.attempt}" for c in commands]

    def desire(
        self, *tasks: tuple[int, int], removed: int | None = None, full: bool = False
    ) -> None:
        """Send the desired state of tasks (number, attempt)."""
        self.seq += 1
        message = pb.DesiredState(
            from_shard=0, from_token=TOKEN, to_epoch=9, seq=self.seq, full=full
        )
        message.watermark_ms = int(self.clock.at * 1000)
        message.jobs.append(job_message(self.job))
        for task, attempt in tasks:
            message.tasks.add(task=task, attempt=attempt, machine="vm-1", session=1)
        if removed is not None:
            message.removed.add(job=NAME, task=removed, machine="vm-1")
        assert self.machines.apply_desired_state(message)

    def send_commands(self) -> list[str]:
        """Reconcile, and return the direct commands that are sent."""
        self.machines.reconcile()
        commands = self.machines.commands_for(self.machine, True).commands
        return [f"{c.op} {c.task}@{c.attempt}" for c in commands]

    def run_first_attempt(self) -> None:
        """Start a task's first attempt, and have it fail."""
        self.desire((0, 1))
        assert self.send_commands() == [f"launch {NAME}/0@1"]
        self.report((0, 1, "running"))
        self.report((0, 1, "exited"))


def test_an_ended_attempt_is_removed_under_a_later_token_once_a_lease() -> None:
    shard = Shard()
    shard.clock.at += LEASE_S
    shard.run_first_attempt()
    assert not shard.machines.needs_new_token()  # the attempt is still desired
    shard.desire(removed=0)
    assert shard.report((0, 1, "exited")) == []
    assert shard.machines.needs_new_token()
    shard.machines.token += 1
    # The answer carries the new token, which the worker sees before it executes the reap.
    assert shard.report((0, 1, "exited"), token=TOKEN) == [f"reap {NAME}/0@1"]
    shard.report()
    assert not shard.machines.needs_new_token()
    shard.run_first_attempt()
    shard.desire(removed=0)
    shard.report((0, 1, "exited"))
    shard.clock.at += LEASE_S - 0.1
    assert not shard.machines.needs_new_token()
    shard.clock.at += 0.2
    assert shard.machines.needs_new_token()


def test_attempts_of_former_owners_are_removed_without_a_new_token() -> None:
    shard = Shard()
    assert shard.report((0, 1, "exited")) == [f"reap {NAME}/0@1"]
    assert not shard.machines.needs_new_token()


def test_a_start_in_place_of_an_ended_attempt_waits_for_a_token_that_is_raised_at_once() -> None:
    shard = Shard()
    shard.run_first_attempt()
    shard.desire((0, 2))
    assert shard.send_commands() == []
    assert shard.machines.needs_new_token()
    shard.machines.token += 1
    assert shard.send_commands() == [f"reap {NAME}/0@1", f"launch {NAME}/0@2"]


def test_a_start_in_the_answer_to_a_report_waits_as_well() -> None:
    shard = Shard()
    shard.run_first_attempt()
    shard.desire((0, 2))
    shard.machines.reconcile()
    shard.machine.unanswered_commands = 2
    assert shard.machines.piggybacked_starts(shard.machine) == []
    shard.machines.token += 1
    starts = shard.machines.piggybacked_starts(shard.machine)
    assert [(c.op, c.attempt) for c in starts] == [(api.START, 2)]


def test_capacity_for_a_task_on_its_former_machine_has_the_token_raised() -> None:
    shard = Shard()
    shard.run_first_attempt()
    request = pb.ReserveRequest(to_epoch=9, job=job_message(shard.job))
    request.tasks.add(task=0, attempt=2, machine="vm-1")
    assert not shard.machines.reserve(request).granted  # the end is not recorded
    shard.desire(removed=0)
    assert shard.machines.reserve(request).granted
    assert shard.machines.needs_new_token()


def test_a_crowded_machine_has_the_token_raised_after_half_a_lease() -> None:
    shard = Shard()
    for task in range(CROWDED_ENDED_ATTEMPTS):
        shard.machine.start_tokens[task_key(0, task)] = {1: TOKEN}
    shard.report(*((task, 1, "exited") for task in range(CROWDED_ENDED_ATTEMPTS)))
    shard.clock.at += LEASE_S / 2 - 0.1
    assert not shard.machines.needs_new_token()
    shard.clock.at += 0.2
    assert shard.machines.needs_new_token()


def test_a_machine_full_of_ended_attempts_holds_up_only_itself() -> None:
    """It can't be told the new token: its reports arrive, and our answers are lost."""
    shard = Shard()
    tasks = [(task, 1, "exited") for task in range(MAX_ENDED_ATTEMPTS)]
    for task, _, _ in tasks:
        shard.machine.start_tokens[task_key(0, task)] = {1: TOKEN}
    shard.report(*tasks[1:], token=TOKEN)
    assert shard.machines.is_schedulable(shard.machine)
    raises = 0
    for _ in range(100):
        shard.clock.at += 1.0
        shard.report(*tasks, token=TOKEN)
        if shard.machines.needs_new_token():
            shard.machines.token += 1
            raises += 1
    assert raises == 1
    assert not shard.machines.is_schedulable(shard.machine)


def test_an_attempt_that_vanished_is_not_published_as_absent_while_a_start_can_act() -> None:
    shard = Shard()
    shard.run_first_attempt()
    shard.report()
    assert [t.state for t in shard.machines.full_snapshot(True).machines[0].tasks] == [
        api.TASK_PENDING
    ]
    shard.clock.at += LEASE_S
    assert shard.machines.needs_new_token()
    shard.machines.token += 1
    shard.report()
    assert not shard.machines.full_snapshot(True).machines[0].tasks


@pytest.mark.parametrize("state", ["pending", "reported"])
def test_known_attempts_are_published_once(state: str) -> None:
    shard = Shard()
    machine, key = shard.machine, task_key(0, 0)
    machine.start_tokens[key] = {1: TOKEN}
    if state == "pending":
        machine.pending_launches[key] = PendingLaunch(1, 0.0)
    else:
        machine.tasks[key] = ObservedTask(1, api.TASK_RUNNING, api.CAUSE_NONE, False, 0.0)
    assert len(shard.machines.full_snapshot(True).machines[0].tasks) == 1

"""A machine's report must stay below 64 KiB, however small its tasks are.

An array of 5,000 tasks made longer reports. They were refused, and each machine's lease ended with
all that ran there, again and again.
"""

import json

import msgspec
import pytest

from starlingdeck.autoscaling.fleet import Demand, FleetState
from starlingdeck.autoscaling.rentals import FleetSnapshot, plan_rentals
from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_state import MAX_TASKS_PER_MACHINE
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.bounds import MAX_NAME_LENGTH, MAX_TASKS_PER_JOB
from starlingdeck.transport.server import MAX_BODY_BYTES
from tests.support.builders import Clock, make_context, spec

TASKS = 2 * MAX_TASKS_PER_MACHINE
NAME = "j-1"


def machine_report(seq: int, *tasks: api.ReportTask) -> api.Report:
    """Return a report of machine vm-1."""
    return api.Report("vm-1", "x", "small", "a", 1, seq, 3, tasks=list(tasks))


def request(machines: MachineShard, tasks: range, cpus: float = 0.001) -> list[int]:
    """Request capacity on vm-1 for tasks of the array; return those that got it."""
    job = new_job(machines.context, spec(NAME, chores=TASKS, cores=cpus, ram_gb=cpus), 0, 0)
    message = pb.ReserveRequest(to_epoch=machines.epoch, job=job_message(job))
    for task in tasks:
        message.tasks.add(task=task, attempt=1, machine="vm-1")
    return [grant.task for grant in machines.reserve(message).granted]


def test_a_report_of_the_most_tasks_fits_into_a_message() -> None:
    task = f"j-{'9' * 18}/{MAX_TASKS_PER_JOB - 1}"
    tasks = [api.ReportTask(task, (1 << 32) - 1, "exited", "no_such", True)] * MAX_TASKS_PER_MACHINE
    name = "n" * MAX_NAME_LENGTH
    report = api.Report(name, name, name, name, 1 << 60, 1 << 60, 1 << 60, True, 9.5, tasks)
    spaced = json.dumps(msgspec.json.decode(msgspec.json.encode(report)))
    assert len(spaced) <= MAX_BODY_BYTES


@pytest.mark.parametrize("cpus", [0.001, 0.0])
def test_no_more_tasks_are_granted_than_a_report_can_list(cpus: float) -> None:
    machines = MachineShard(make_context(Clock()), 0, 3, 9, 0.0)
    machines.apply_report(machine_report(1), False)
    granted = request(machines, range(TASKS), cpus)
    assert granted == list(range(MAX_TASKS_PER_MACHINE))
    assert request(machines, range(TASKS - 1, TASKS), cpus) == []
    assert request(machines, range(1), cpus) == [0]  # it has a place already


def test_ended_tasks_count_until_they_are_removed() -> None:
    machines = MachineShard(make_context(Clock()), 0, 3, 9, 0.0)
    ended = [api.ReportTask(f"{NAME}/{i}", 1, "exited", "done") for i in range(200)]
    running = [
        api.ReportTask(f"{NAME}/{i}", 1, "running") for i in range(200, MAX_TASKS_PER_MACHINE)
    ]
    machines.apply_report(machine_report(1), False)
    request(machines, range(1))  # so that the job is known
    machines.machines[0].reservations.clear()
    machines.apply_report(machine_report(2, *ended, *running), False)
    last = range(TASKS - 1, TASKS)
    assert request(machines, last) == []
    machines.apply_report(machine_report(3, *ended[1:], *running), False)
    assert request(machines, last) == [TASKS - 1]


def test_rentals_count_no_more_tasks_on_a_machine_than_it_may_get() -> None:
    context = make_context(Clock())
    demand = Demand((0.001, 0.0, 0.001), 2 * MAX_TASKS_PER_MACHINE + 1, (), "", False, 1, False)
    requests = plan_rentals(context, FleetState(), [demand], FleetSnapshot(), 0.0)
    assert sum(rental.count for rental in requests) == 3

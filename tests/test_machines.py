"""The machine owner's part: reservations and preemption."""

from starlingdeck.coordination.jobs import job_message, new_job
from starlingdeck.coordination.machines import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.build import Clock, make_world, spec


def ask(machines: MachineShard, uid: str, preempt: bool, **other: object) -> list[pb.Given]:
    job = new_job(machines.world, spec(uid, **other), 0, 0)
    msg = pb.Reserve(to_gen=machines.gen, job=job_message(job), preempt=preempt)
    msg.spots.add(task=0, attempt=1, machine="vm-1")
    return list(machines.reserve(msg).given)


def test_room_made_by_preemption_is_kept_for_who_asked() -> None:
    """A stopped task came back into the room made for another before that one asked again,
    and was stopped again, up to eleven times."""
    clock = Clock()
    machines = MachineShard(make_world(clock), 0, 3, 9, 0.0)

    def report(seq: int, *tasks: api.ReportTask) -> None:
        body = api.Report("vm-1", "x", "small", "a", 1, seq, 3, tasks=list(tasks))
        machines.take_report(body, True)

    report(1)
    low = {"cores": 4.0, "chores": 1, "rank": "normal"}
    high = {"cores": 2.0, "chores": 1, "rank": "urgent"}
    assert [g.evicting for g in ask(machines, "j-1", False, **low)] == [False]
    report(2, api.ReportTask("j-1/0", 1, "running"))
    machines.machines[0].holds.clear()
    assert [g.evicting for g in ask(machines, "j-2", True, **high)] == [True]
    report(3)
    assert ask(machines, "j-3", False, **low) == []
    assert [g.evicting for g in ask(machines, "j-2", True, **high)] == [False]
    clock.at += 60.0
    report(4)
    machines.reconcile()
    assert len(ask(machines, "j-3", False, **low)) == 1

"""Machine shards: reservations, preemption, probes and commands."""

from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.machine import JobInfo, may_preempt
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.reconciler import MAX_PROBES, PRUNE_INTERVAL_S
from starlingdeck.machines.shard_state import DELETED_RETENTION_S
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.support.builders import Clock, make_context, spec


def request_capacity(
    machines: MachineShard, uid: str, preempt: bool, **other: object
) -> list[pb.GrantedTask]:
    job = new_job(machines.context, spec(uid, **other), 0, 0)
    message = pb.ReserveRequest(to_epoch=machines.epoch, job=job_message(job), preempt=preempt)
    message.tasks.add(task=0, attempt=1, machine="vm-1")
    return list(machines.reserve(message).granted)


def test_capacity_freed_by_preemption_is_reserved_for_the_requester() -> None:
    """A preempted task took the capacity freed for another task before that one requested it
    again, and was preempted again, up to eleven times."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)

    def report(seq: int, *tasks: api.ReportTask, renews: bool = False) -> None:
        body = api.Report("vm-1", "x", "small", "a", 1, seq, 3, tasks=list(tasks))
        machines.apply_report(body, renews)

    report(1)
    low = {"cores": 4.0, "chores": 1, "rank": "normal"}
    high = {"cores": 2.0, "chores": 1, "rank": "urgent"}
    assert [g.evicting for g in request_capacity(machines, "j-1", False, **low)] == [False]
    report(2, api.ReportTask("j-1/0", 1, "running"))
    machines.machines[0].reservations.clear()
    assert [g.evicting for g in request_capacity(machines, "j-2", True, **high)] == [True]
    report(3)
    assert request_capacity(machines, "j-3", False, **low) == []
    assert [g.evicting for g in request_capacity(machines, "j-2", True, **high)] == [False]
    clock.at += 60.0
    # A minute later neither a command's answer nor a report alone makes it schedulable.
    report(4, renews=True)
    report(5)
    machines.reconcile()
    assert len(request_capacity(machines, "j-3", False, **low)) == 1


def test_a_service_beyond_its_guarantee_is_preempted_only_under_quota_pressure() -> None:
    """A replica was preempted at once for another team's guaranteed array, while work of lower
    rank that could have been preempted ran elsewhere."""

    def info(team: int, rank: int, guaranteed: bool) -> JobInfo:
        size = (1.0, 0.0, 1.0)
        return JobInfo(team, rank, size, "i", 1.0, 0.0, 0.0, False, False, guaranteed, 0.0)

    array, service, low = info(0, 1, True), info(1, 3, False), info(1, 0, False)
    assert may_preempt(array, low, False)
    assert may_preempt(service, low, False)
    assert not may_preempt(array, service, False)
    assert may_preempt(array, service, True)
    assert not may_preempt(info(1, 1, True), service, True)  # its own team
    # A guarantee is against other teams: a team's urgent work preempts its own low work.
    assert may_preempt(info(0, 2, False), array, False)
    assert not may_preempt(info(1, 2, False), array, False)
    assert not may_preempt(info(1, 3, False), info(0, 2, True), True)


def test_a_task_is_preempted_without_saving_when_the_new_one_cannot_wait() -> None:
    """A replica with 2 s to start waited 3 s for an array's task to save."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    low = {"cores": 4.0, "chores": 1, "rank": "normal", "mark_s": 10.0, "stash_s": 3.0}
    request_capacity(machines, "j-1", False, **low)
    tasks = [api.ReportTask("j-1/0", 1, "running")]
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 1, 3, tasks=tasks), False)
    request_capacity(machines, "j-1", False, **low)
    machine = machines.machines[machines.context.machine_names.intern("vm-1")]
    for wait_s, grace_s in ((0.0, 4.0), (6.0, 4.0), (2.0, 0.0)):
        machine.evictions.clear()
        machine.reservations.clear()
        job = new_job(machines.context, spec("j-2", cores=2.0, rank="prod"), 0, 0)
        message = pb.ReserveRequest(to_epoch=9, job=job_message(job), preempt=True, wait_s=wait_s)
        message.tasks.add(task=0, attempt=1, machine="vm-1")
        assert [g.evicting for g in machines.reserve(message).granted] == [True]
        assert list(machine.evictions.values()) == [grace_s]


def test_jobs_without_tasks_here_are_pruned() -> None:
    """The attributes of every job seen were kept for as long as the shard was owned."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 1, 3), False)
    for number in range(50):
        request_capacity(machines, f"j-{number}", False, chores=1)
        machines.machines[0].reservations.clear()
    tasks = [api.ReportTask("j-7/0", 1, "running")]
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 2, 3, tasks=tasks), True)
    request_capacity(machines, "j-8", False, chores=1)
    machines.machines[0].reservations[next(iter(machines.machines[0].reservations))].expires_at = (
        clock.at + 100.0
    )
    machines.mark_deleted("vm-9")
    clock.at += PRUNE_INTERVAL_S
    machines.reconcile()
    names = machines.context.job_names
    assert {names[index] for index in machines.jobs} == {"j-7", "j-8"}
    assert machines.is_deleted("vm-9")
    clock.at += DELETED_RETENTION_S
    machines.reconcile()
    assert not machines.deleted_machines


def test_a_machine_back_from_a_partition_is_schedulable_only_by_fresh_messages() -> None:
    """Delayed reports of a session long over made the machine schedulable. Tasks were placed there,
    freed by the next delayed report, which showed a newer session, and placed again."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)

    def report(session: int, seq: int, renews: bool = True) -> None:
        machines.apply_report(api.Report("vm-1", "x", "small", "a", session, seq, 3), renews)

    report(1, 1)
    (machine,) = machines.reconcile()
    assert not request_capacity(machines, "j-1", False)
    assert not machines.commands_for(machine, True).commands
    report(1, 2, renews=False)
    assert request_capacity(machines, "j-1", False)
    clock.at += 30.0
    machines.expire_leases()
    assert machine.lost
    for session, seq in ((1, 3), (1, 4), (2, 5)):
        report(session, seq)
        assert not machine.lost
        assert not request_capacity(machines, "j-2", False)
    assert machine in machines.reconcile()  # to be sent a command
    report(3, 6, renews=False)
    assert machine.session == 3
    assert request_capacity(machines, "j-2", False)
    # A machine that answers no command is confirmed by reporting a later token, so one is raised.
    clock.at += 30.0
    report(3, 7)
    assert not request_capacity(machines, "j-3", False)
    assert not machines.needs_new_token()
    machines.on_command_unanswered(machine, machines.commands_for(machine, True), True)
    assert machines.needs_new_token()
    assert not machines.needs_new_token()
    machines.token = 4
    report(3, 8)
    assert not request_capacity(machines, "j-3", False)
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 3, 9, 4), True)
    assert request_capacity(machines, "j-3", False)
    assert machine.unconfirmed_since is None


def test_probes_in_flight_are_limited() -> None:
    """A controller partitioned from its workers gets their reports through its peers, and each
    command to one of them hangs. Two hundred at once would leave no socket for the state
    service."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    for number in range(3 * MAX_PROBES):
        machines.apply_report(api.Report(f"vm-{number}", "x", "small", "a", 1, 1, 3), True)
    first = machines.reconcile()
    for machine in first:
        machine.command_in_flight = True
    assert len(first) == MAX_PROBES
    assert not machines.reconcile()
    for machine in first:
        machine.command_in_flight = False
        report = api.Report(machine.name, "x", "small", "a", 1, 2, 3)
        machines.apply_report(report, False)
    second = machines.reconcile()
    assert len(second) == MAX_PROBES
    assert not {m.index for m in first} & {m.index for m in second}


def send_desired_state(
    seq: int, machines: MachineShard, *items: pb.DesiredTask, full: bool = False
) -> None:
    job = new_job(machines.context, spec("j-1", cores=4.0, chores=1), 0, 0)
    message = pb.DesiredState(
        from_shard=machines.shard_of_task(0), from_token=5, to_epoch=machines.epoch, seq=seq
    )
    message.full = full
    message.jobs.append(job_message(job))
    message.tasks.extend(items)
    if not (items or full):
        message.removed.add(job="j-1", task=0, machine="vm-1")
    assert machines.apply_desired_state(message)


def test_unchanged_reports_are_answered_with_the_commands_that_became_due() -> None:
    """An unchanged report is not processed again, but a stop desired since then must be sent."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    seq = iter(range(1, 99))

    def commands_after(*tasks: api.ReportTask) -> list[str]:
        body = api.Report("vm-1", "x", "small", "a", 1, next(seq), 3, tasks=list(tasks))
        return [c.op for c in machines.pending_commands(machines.apply_report(body, True), True)]

    assert commands_after() == []
    machines.context.job_names.intern("j-1")
    running = api.ReportTask("j-1/0", 1, "running")
    wanted = pb.DesiredTask(task=0, attempt=1, machine="vm-1", session=1)
    send_desired_state(1, machines, wanted, full=True)
    assert commands_after(running) == []
    assert commands_after(running) == []
    clock.at += 50.0
    assert commands_after(running) == []
    assert machines.machines[0].empty_since == clock.at
    wanted.stop = True
    send_desired_state(2, machines, wanted)
    assert commands_after(running) == [api.STOP]
    assert commands_after(running) == [api.STOP]
    wanted.stop = False
    send_desired_state(3, machines, wanted)
    assert commands_after(running) == []
    machines.machines[0].evictions[0] = 0.0
    machines.mark_changed(0)
    assert commands_after(running) == [api.STOP]
    machines.machines[0].evictions.clear()
    send_desired_state(4, machines)
    assert commands_after(running) == [api.STOP]  # no desired state names it any more
    ended = api.ReportTask("j-1/0", 1, "exited", "halted")
    assert commands_after(ended) == [api.REAP]
    assert commands_after(ended) == [api.REAP]
    assert commands_after() == []


def test_protected_tasks_stay_and_capacity_accumulates_for_one_task_at_a_time() -> None:
    """Small tasks took all capacity that came free, and a larger one never fitted."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 1, 3), False)
    small = {"cores": 1.0, "chores": 1, "rank": "urgent"}
    for n in range(2, 6):
        request_capacity(machines, f"j-{n}", False, **small)
    running = [api.ReportTask(f"j-{n}/0", 1, "running") for n in range(2, 6)]
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 2, 3, tasks=running), False)
    machines.machines[0].reservations.clear()

    def accumulate(uid: str) -> list[bool]:
        job = new_job(machines.context, spec(uid, cores=4.0, chores=1), 0, 0)
        message = pb.ReserveRequest(to_epoch=machines.epoch, job=job_message(job), accumulate=True)
        message.tasks.add(task=0, attempt=1, machine="vm-1")
        return [g.evicting for g in machines.reserve(message).granted]

    assert accumulate("j-8") == [True]
    assert accumulate("j-9") == []
    assert not machines.machines[0].evictions
    # Capacity that becomes free isn't given to the next small task; the large one gets it.
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 3, 3, tasks=running[:1]), False)
    assert request_capacity(machines, "j-7", False, **small) == []
    assert accumulate("j-8") == [True]
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 4, 3), False)
    assert accumulate("j-8") == [False]
    # A protected task is preempted for no job, whatever its rank.
    machines.machines[0].reservations.clear()
    machines.context.job_names.intern("j-1")
    wanted = pb.DesiredTask(task=0, attempt=1, machine="vm-1", session=1, protected=True)
    send_desired_state(1, machines, wanted, full=True)
    low = [api.ReportTask("j-1/0", 1, "running")]
    machines.apply_report(api.Report("vm-1", "x", "small", "a", 1, 5, 3, tasks=low), False)
    assert request_capacity(machines, "j-6", True, cores=1.0, chores=1, rank="prod") == []
    wanted.protected = False
    send_desired_state(2, machines, wanted)
    assert [
        g.evicting
        for g in request_capacity(machines, "j-6", True, cores=1.0, chores=1, rank="prod")
    ]

"""Reachability of machines: stale reports, one-way partitions, new incarnations."""

import random
from dataclasses import dataclass, field

import curio
import msgspec
import pytest

from starlingdeck.cluster.failover import former_owner_renewal_s
from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.sharding import shard_of_job, shard_of_machine
from starlingdeck.context import ControllerContext
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_records import densest_chunks
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.failure_attribution import FINE, FailureAttribution
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.reachability import releasable_count
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.records import TASKS_PER_CHUNK, ShardValue
from tests.support.builders import Clock, make_context, spec


@dataclass
class ShardPair:
    """A job shard, and the machine shard that vm-1 belongs to."""

    clock: Clock = field(default_factory=Clock)
    snapshots: dict[int, ShardSnapshot] = field(default_factory=dict)
    token: int = 5
    seq: int = 0

    def __post_init__(self) -> None:
        self.context: ControllerContext = make_context(self.clock)
        self.jobs = JobShard(self.context, shard_of_job("j-000001", 3), 3, 9)
        self.machines = self.change_owner()

    def change_owner(self, wait_s: float = 0.0) -> MachineShard:
        """Replace the machine shard's owner by one without the former owner's state."""
        self.token += 1
        self.machines = MachineShard(self.context, 1, self.token, self.token, wait_s)
        return self.machines

    def report(
        self,
        *tasks: tuple[str, int, str],
        session: int = 1,
        seq: int = 0,
        token: int | None = None,
        answer: bool = False,
    ) -> bool:
        """Apply a worker's report, or its answer to a command; return whether it was newer."""
        self.seq = seq or self.seq + 1
        body = [api.ReportTask(n, a, s, "halted" if s == "exited" else None) for n, a, s in tasks]
        seen = self.token if token is None else token
        report = api.Report("vm-1", "x", "small", "b", session, self.seq, seen, tasks=body)
        before = self.machines.machines.get(0)
        position = (before.session, before.seq) if before is not None else None
        machine = self.machines.apply_report(report, not answer)
        return (machine.session, machine.seq) != position

    def place(self, attempt: int = 1) -> Job:
        """Return a job with a task recorded on vm-1."""
        index = self.context.machine_names.intern("vm-1")
        job = new_job(self.context, spec("j-000001", chores=1), self.jobs.shard, 0)
        job.placements[0] = TaskPlacement(index, 1, attempt, 1, self.context.zone_names.intern("b"))
        job.task_states[0] = 1
        self.jobs.adopt(job)
        return job

    def exchange(self) -> list[tuple[str, int]]:
        """Send desired state, reconcile and send a snapshot once; return the starts sent."""
        self.machines.apply_desired_state(
            self.jobs.desired_state_message(1, self.machines.epoch, True, self.clock.wall_ms())
        )
        sent = []
        for machine in self.machines.reconcile():
            commands = self.machines.commands_for(machine, True)
            sent += [(c.task, c.attempt) for c in commands.commands if c.op == api.START]
        apply_snapshot_message(self.context, self.snapshots, self.machines.full_snapshot(True))
        self.jobs.apply_snapshot(self.snapshots[1], None)
        return sent


def test_an_attempt_refused_by_one_owner_is_not_started_by_the_next() -> None:
    """A refused attempt's end was not yet recorded when the owner of its machine crashed. The next
    owner was sent the attempt again and started it, 12 times while a second attempt ran."""
    pair = ShardPair()
    full = ("j-000009/0", 1, "running"), ("j-000009/1", 1, "running")
    pair.report(*full)
    pair.machines.desired.learn_job(pb.Job(id="j-000009", cpus=2.0))
    job = pair.place()
    assert pair.exchange() == []
    assert job.pending_ends
    pair.change_owner()
    pair.report()
    assert pair.exchange() == []
    assert job.pending_ends


def test_stale_reports_neither_renew_leases_nor_revive_machines() -> None:
    """Every report renewed its machine's lease, even a late copy of an old one."""
    pair = ShardPair()
    running = ("j-000001/0", 1, "running")
    pair.report(running, seq=40)
    job = pair.place()
    assert pair.exchange() == []
    assert not job.pending_ends
    machine = pair.machines.machines[0]
    for _ in range(3):  # the machine dies; copies come for longer than its lease
        pair.clock.at += 5.0
        copy = api.Report("vm-1", "x", "small", "b", 1, 40, pair.token)
        assert pair.machines.is_stale_report(copy)
        pair.machines.expire_leases()
    assert machine.lost
    assert pair.machines.stale_reports == 3
    pair.exchange()
    assert job.pending_ends
    # Copies never bring a deleted machine back, however late they come.
    pair.machines.mark_deleted("vm-1")
    pair.clock.at += 100.0
    pair.machines.reconcile()
    assert pair.machines.is_stale_report(copy)
    assert not pair.machines.machines


def test_a_stale_report_to_a_new_owner_does_not_expire_the_former_owners_lease() -> None:
    """The worker is still answered by the former owner, whose token it has. The new owner got
    a copy, or a report whose answer was lost, and the silence after it expired the lease."""
    pair = ShardPair()
    pair.report()
    former = pair.token
    pair.change_owner(wait_s=20.0)
    job = pair.place()
    pair.report(("j-000001/0", 1, "running"), token=former)
    machine = pair.machines.machines[0]
    for _ in range(60):
        pair.clock.at += 0.5
        pair.machines.expire_leases()
        assert pair.exchange() == []
        assert not pair.machines.is_schedulable(machine)
        assert not machine.lost, "before the former leases ended"
        assert not job.pending_ends, "before the former leases ended"
    pair.clock.at += 0.5
    pair.machines.expire_leases()
    pair.exchange()
    assert machine.lost
    assert job.pending_ends


def test_a_session_shown_by_a_command_answer_lasts_a_lease_from_that_answer() -> None:
    """A machine's reports are lost, but commands reach it. Its lease had just ended when the answer
    to a command showed the next session. Tasks were placed there, the machine was marked lost at
    once because of the earlier silence, and the tasks just started there ran twice."""
    pair = ShardPair()
    pair.report()
    pair.clock.at += 10.1  # its lease is over, but certainly so only 0.2 s later
    pair.report(session=2, seq=1, answer=True)
    job = pair.place()
    job.placements[0].session = 2
    machine = pair.machines.machines[0]
    pair.exchange()
    pair.report(("j-000001/0", 1, "running"), session=2, answer=True)
    for _ in range(99):
        assert not machine.lost
        assert not job.pending_ends
        # No new task is placed there, because commands renew no lease.
        assert not pair.machines.is_schedulable(machine)
        pair.clock.at += 0.1
        pair.machines.expire_leases()
        pair.exchange()
    pair.clock.at += 0.6
    pair.machines.expire_leases()
    pair.exchange()
    assert machine.lost
    assert job.pending_ends


def test_an_unreachable_machine_that_reports_is_counted_and_not_schedulable() -> None:
    """Its reports alone kept it schedulable, and each start that it didn't answer raised the
    token of its whole shard, which all other machines had to learn."""
    pair = ShardPair()
    pair.report(answer=True)
    machine, machines, first = pair.machines.machines[0], pair.machines, pair.token
    assert machines.is_schedulable(machine)
    job, tokens = pair.place(), 0
    for second in range(40):
        pair.clock.at += 1.0
        sent = pair.exchange()
        if sent or machine.unanswered_commands or machine.unconfirmed_since is not None:
            machines.on_command_unanswered(machine, machines.commands_for(machine, True), True)
        if machines.needs_new_token():
            machines.token += 1
            tokens += 1
        if second % 5 == 4:  # a report every 5 s, and its lease ends all the same
            pair.report(session=1 + second // 10, token=first)
    assert tokens <= 3
    assert not machines.is_schedulable(machine)
    assert max(machines.unreachable_ages_s()) > 20.0
    assert job.pending_ends  # a later session proves that its session ended
    # It is used again once it answers.
    pair.token = machines.token
    pair.report(session=5, answer=True)
    assert machines.is_schedulable(machine)
    assert machines.unreachable_ages_s() == []


@pytest.mark.parametrize("sign", ["two unanswered commands", "a new session", "silence"])
def test_each_sign_of_an_unreachable_machine_suffices_alone(sign: str) -> None:
    pair = ShardPair()
    pair.report(answer=True)
    machine, machines = pair.machines.machines[0], pair.machines
    for _ in range(2 if sign.startswith("two") else 0):
        assert machines.is_schedulable(machine)
        machines.on_command_unanswered(machine, machines.commands_for(machine, True), True)
    pair.clock.at += 9.0 if sign == "silence" else 0.5
    pair.report(session=2 if sign == "a new session" else 1)
    assert not machines.is_schedulable(machine)
    pair.clock.at += 2.0
    assert machine in machines.reconcile()  # it is to be sent a command
    pair.report(session=machine.session, answer=True)
    assert machines.is_schedulable(machine)


def test_only_a_limited_number_of_unreachable_machines_is_released() -> None:
    assert [releasable_count(n, 100) for n in (0, 1, 5, 6, 60)] == [0, 1, 5, 0, 0]
    assert [releasable_count(n, 4) for n in (2, 3)] == [2, 0]


def test_a_new_incarnation_is_recognised_only_by_a_command_answer() -> None:
    """A restarted machine's low numbers were taken for stale ones, and it was ignored for ever. A
    late copy looks just the same, and a start sent to the former incarnation may still arrive."""
    pair = ShardPair()
    machines = pair.machines
    pair.report(("j-000001/0", 1, "running"), seq=40)
    job = pair.place()
    pair.exchange()
    machine = machines.machines[0]
    machine.unconfirmed_token = 0
    body = api.Report("vm-1", "x", "small", "b", 1, 3, 0)
    assert machines.is_stale_report(body)
    assert machine.probe_needed
    assert machine in machines.reconcile()  # it is to be sent a command
    sent_position = machine.position()
    assert sent_position == (1, 40)
    # The answer may be made before a start for the former incarnation arrives, so it must have a
    # later token than that start; or after it, and then the task must be stopped.
    held = api.ReportTask("j-000001/0", 1, "running")
    for token, tasks in ((6, []), (7, [held])):
        body = api.Report("vm-1", "x", "small", "b", 1, 4, token, tasks=tasks)
        machines.apply_report(body, False, sent_position)
        assert machine.session == 1
        assert machines.needs_new_token()
        assert not job.pending_ends
        commands = machines.commands_for(machine, True)
        assert [c.op for c in commands.commands] == [api.STOP] * len(tasks)
        assert commands.session == 1
    machines.token = pair.token = 7
    machines.apply_report(api.Report("vm-1", "x", "small", "b", 1, 5, 7), False, sent_position)
    assert machine.session == 2
    assert machines.commands_for(machine, True).session == 1
    pair.exchange()
    assert job.pending_ends
    assert machines.is_schedulable(machine)
    # A late report of the former incarnation is recognised as stale by its token.
    assert machines.is_stale_report(api.Report("vm-1", "x", "small", "b", 1, 900, 6))
    assert not machines.is_stale_report(api.Report("vm-1", "x", "small", "b", 1, 6, 7))
    # A new owner learns from the desired state that the machine had earlier incarnations.
    pair.change_owner()
    job.pending_ends.clear()
    job.placements[0].session = 2
    pair.report(session=1, seq=8)
    assert pair.exchange()
    assert pair.machines.machines[0].session == 2


def record_failures(
    failures: FailureAttribution,
    jobs: range,
    machine: int,
    succeeds: bool = False,
    fails_elsewhere: bool = False,
) -> None:
    for job in jobs:
        failures.record_error(machine, job, 1)
        if fails_elsewhere:
            failures.record_error(machine + 1, job, 2)
        if succeeds:
            failures.learn(job, FINE)


@pytest.mark.parametrize(
    ("case", "jobs", "succeeds", "fails_elsewhere", "faulty"),
    [
        ("one broken job's many tasks", range(1), False, False, False),
        ("broken jobs that failed elsewhere too", range(9), False, True, False),
        ("jobs of which nothing is known", range(3), False, False, True),
        ("jobs that succeed elsewhere", range(3), True, False, True),
    ],
)
def test_a_faulty_machine_is_told_apart_from_jobs_that_fail_everywhere(
    case: str, jobs: range, succeeds: bool, fails_elsewhere: bool, faulty: bool
) -> None:
    """Three tasks of one broken job marked a large machine faulty, and it was returned."""
    failures = FailureAttribution(3)
    record_failures(failures, jobs, 5, succeeds, fails_elsewhere)
    for attempt in range(30):
        failures.record_error(5, jobs[0], attempt)
    assert failures.is_faulty(5) is faulty, case
    failures.record_success(5, 99)
    assert not failures.is_faulty(5)


def test_thousands_of_jobs_that_fail_everywhere_mark_a_limited_number_of_machines() -> None:
    """A machine that is faulty is still recognised."""
    clock = Clock()
    machines = MachineShard(make_context(clock), 0, 3, 9, 0.0)
    rng = random.Random(4)
    for number in range(4000):
        vm = f"vm-{number % 40}"
        error = "error" if vm == "vm-7" or rng.random() < 0.7 else "done"
        job = f"j-{rng.randrange(3000):06d}" if error == "error" else f"j-{9000 + number:06d}"
        tasks = [api.ReportTask(f"{job}/0", number, "exited", error)]
        machines.apply_report(
            api.Report(vm, "x", "small", "a", 1, number + 1, 3, tasks=tasks), True
        )
        faulty = [
            machine.name
            for machine in machines.machines.values()
            if machine.faulty_since is not None
        ]
        assert len(faulty) <= 4
    for number in range(3):  # their owners say that these succeed elsewhere
        job = f"j-{8000 + number:06d}"
        machines.desired.learn_job(pb.Job(id=job, failure_evidence=FINE))
        tasks = [api.ReportTask(f"{job}/0", 1, "exited", "error")]
        body = api.Report("vm-7", "x", "small", "a", 1, 9000 + number, 3, tasks=tasks)
        machines.apply_report(body, True)
    assert machines.machines[machines.context.machine_names.intern("vm-7")].faulty_since is not None


def test_the_densest_chunks_are_written_first_and_the_lowest_with_them() -> None:
    starts, ends = (
        range(10 * TASKS_PER_CHUNK, 10 * TASKS_PER_CHUNK + 100),
        [n * TASKS_PER_CHUNK for n in range(8)],
    )
    assert densest_chunks([*starts, *ends], 3) == [0, 1, 10]
    assert densest_chunks([*starts, *ends], 1) == [0]
    assert densest_chunks([], 3) == []


def test_starts_whose_reservation_expired_are_not_recorded() -> None:
    pair = ShardPair()
    job = pair.place()
    placement = job.placements.pop(0)
    placement.reserved_until = pair.clock.at + 1.0
    job.task_states[0] = 0
    job.pending_starts[0], job.key_versions[0] = placement, 1
    assert pair.jobs.draft_update(job) is not None
    pair.clock.at += 0.8
    assert pair.jobs.draft_update(job) is None
    assert job.pending(1) == [0]


def test_a_restarted_owner_waits_until_former_leases_ended() -> None:
    """A controller took a shard over from a partitioned one that still answers its workers, crashed
    and restarted at once. It took over its own key and expired the leases at once."""
    clock = Clock()
    context = make_context(clock)
    taken = ShardValue(0, 7, context.wall_clock_ms() + int(context.outage_renewal_s * 1000))
    clock_error_s = 2 * context.settings.settings.skew_ms / 1000
    for elapsed_s, left_s in (
        (0.3, context.outage_renewal_s),
        (5.3, context.outage_renewal_s - 5.3 + clock_error_s),
        (60.0, 0.0),
    ):
        clock.at = 1000.0 + elapsed_s
        assert (
            abs(former_owner_renewal_s(context, taken) - min(left_s, context.outage_renewal_s))
            < 1e-3
        )
    assert former_owner_renewal_s(context, ShardValue(0, 7)) == 0.0  # no former owner


def test_a_misrouted_worker_is_not_redirected_again_to_an_owner_that_does_not_answer() -> None:
    """The owner was partitioned from its workers and the third controller was down. A worker came
    back 10 s after its redirect, 2 s too late to be recognised, and was redirected each time."""
    clock = Clock()
    node = Controller(make_context(clock, zones=("a",) * 3, node=1))
    names = [f"vm-{i}" for i in range(40)]
    mine = [n for n in names if shard_of_machine(n, "a", ("a",) * 3) == 0]
    node.membership.owners[0] = ShardOwner(0, 7, 7)
    node.peers.is_reachable = lambda n: n == 0  # type: ignore[method-assign, assignment]  # fake
    forwarded: list[float] = []

    async def call(to: int, ask: pb.Envelope, wait_s: float) -> pb.Envelope:
        forwarded.append(clock.at)
        return pb.Envelope(forward_reply=pb.ForwardReply(status=200, body=b"{}"))

    node.peers.call = call  # type: ignore[method-assign, assignment]  # fake

    def report(name: str) -> bool:
        """Send a report; return whether the machine is redirected to its owner."""
        body = {
            "host": name, "endpoint": "x:1", "build": "small", "roost": "a", "tenure": 1,
            "tally": int(clock.at * 100), "baton": 7, "chores": [],
        }  # fmt: skip
        reply = curio.run(node.heartbeat_api.handle, msgspec.json.encode(body))
        return bool(reply.status == 421)

    report(mine[0])
    clock.at += 60.0  # the ownership is old: the owner has served these workers before
    sent: dict[str, int] = dict.fromkeys(mine, 0)
    until = dict.fromkeys(mine, clock.at)  # when each reports (again)
    for _ in range(90):
        for name in mine:
            if clock.at >= until[name] and report(name):
                sent[name] += 1
                until[name] = clock.at + 10.5  # it tries two controllers that don't answer
        clock.at += 1.0
    assert sum(sent.values()) <= 4
    assert len(forwarded) > 60 * len(mine)
    # When a redirected worker doesn't come back, the others are redirected too.
    for _ in range(40):
        for name in mine:
            if clock.at >= until[name] and report(name):
                until[name] = 1e9
        clock.at += 1.0
    assert all(at == 1e9 for at in until.values())

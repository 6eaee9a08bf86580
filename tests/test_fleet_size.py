"""Fixed limits hold for a fleet of 4,000 machines that all belong to one controller."""

import itertools
import random

import curio
import msgspec

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.controller.controller import Controller
from starlingdeck.controller.deleted_machines import ANNOUNCE_S
from starlingdeck.controller.worker_caller import RESERVED_CONNECTIONS
from starlingdeck.interning import split_key
from starlingdeck.jobs.job import TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.quarantine import Quarantine
from starlingdeck.scheduling.guarantees import guaranteed_jobs
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.sync.message_batch import encode_batch
from starlingdeck.sync.relay import RELAY_AFTER_S, RELAY_INTERVAL_S
from starlingdeck.transport.client import ConnectionFailedError, Reply
from tests.support.builders import Clock, make_context, spec
from tests.support.reference_model import FakeStateClient, FakeStateService, run_without_waiting

MACHINES = 4000
TASKS_PER_MACHINE = 32
IMAGES_PER_MACHINE = 20
TASKS_PER_JOB = 100
WRITE_RPS = 150.0
WRITE_SHARE_RPS = 0.9 * WRITE_RPS / 3  # the write budget of one of three controllers


def image_names(rng: random.Random) -> list[str]:
    return [f"registry.local/team-{i % 37:02d}/{rng.getrandbits(48):012x}" for i in range(300)]


def job_ids(count: int, shard: int) -> list[str]:
    """Return the ids of `count` jobs of one shard."""
    names = (f"j-{number:06d}" for number in itertools.count())
    return list(itertools.islice((n for n in names if shard_of_job(n, 3) == shard), count))


def populate_fleet(
    machines: MachineShard, jobs: JobShard, rng: random.Random, tasks: int = TASKS_PER_MACHINE
) -> None:
    """Add all machines, each with `tasks` running tasks and some images, and the tasks' jobs."""
    images, ids = image_names(rng), job_ids(MACHINES * tasks // TASKS_PER_JOB, jobs.shard)
    order = rng.sample(range(MACHINES * tasks), MACHINES * tasks)  # spreads each job over machines
    for number in range(MACHINES):
        first = number * tasks
        names = [divmod(n, TASKS_PER_JOB) for n in order[first : first + tasks]]
        report = api.Report(
            f"vm-{rng.getrandbits(32):08x}",
            f"10.0.{number >> 8}.{number & 255}:9000",
            "small",
            "b",
            rng.getrandbits(40),
            rng.randrange(100_000),
            5,
            tasks=[api.ReportTask(f"{ids[job]}/{task}", 1, "running") for job, task in names],
        )
        machine = machines.apply_report(report, True)
        machine.images = dict.fromkeys(rng.sample(images, IMAGES_PER_MACHINE), 0.0)
    record_running_tasks(machines, jobs, ids)


def record_running_tasks(machines: MachineShard, jobs: JobShard, ids: list[str]) -> None:
    """Record all tasks that the machines run in the job shard."""
    context = machines.context
    for job in ids:
        jobs.adopt(new_job(context, spec(job, chores=TASKS_PER_JOB), jobs.shard, 0))
    for machine in machines.machines.values():
        for key in machine.tasks:
            index, task = split_key(key)
            placement = TaskPlacement(machine.index, machine.session, 1, machines.shard, 0)
            jobs.jobs[index].placements[task] = placement


class BudgetClient(FakeStateClient):
    """A state service client that executes changes at a limited rate.

    The controller starts new relay texts while each transaction waits, and these are written
    concurrently. Only changes executed before `deadline` are recorded in `sent`.
    """

    def __init__(self, node: Controller, clock: Clock, rate: float) -> None:
        super().__init__(FakeStateService(random.Random(1)), 0.0)
        self.node, self.clock = node, clock
        self.limiter = TokenBucket(rate, 1.0, clock.now)
        self.limiter.tokens = 0.0
        self.deadline = 0.0
        self.sent: list[api.Change] = []
        self.writes: list[curio.Task] = []

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        while (wait_s := self.limiter.take_or_delay(len(changes), urgent)) > 0:
            await curio.sleep(0)
            self.clock.at += min(wait_s, 0.02)
            await self.step()
        if self.clock.at < self.deadline:
            self.sent += changes
        return 1

    async def step(self) -> None:
        if self.clock.at >= self.deadline:
            return
        for node, text in self.node.state_sync.build_relay_texts(self.clock.at, pb.Gossip):
            task = await curio.spawn(self.node.state_sync.write_relay, node, text)
            self.writes.append(task)


def controller_without_links(clock: Clock, peers: list[int]) -> Controller:
    """Return a controller with a valid lease that can't reach the given live peers."""
    context = make_context(clock)
    node = Controller(context)
    node.membership.lease_is_valid = lambda: True  # type: ignore[method-assign]
    node.peers.started_at = clock.at - RELAY_AFTER_S
    node.membership.live_nodes = dict.fromkeys(peers, clock.at)
    for shard in range(context.shard_count):
        node.membership.owners[shard] = ShardOwner(peers[0] if shard == 2 else 0, 5, 77)
    return node


def run_relay(node: Controller, clock: Clock, seconds: float, rate: float) -> BudgetClient:
    """Relay messages for `seconds`. Return the client, which has what was written by then."""
    client = BudgetClient(node, clock, rate)
    client.deadline = clock.at + seconds
    node.state_sync.relay.state = client  # type: ignore[assignment]

    async def write() -> None:
        await client.step()
        for task in client.writes:
            await task.join()

    curio.run(write)
    return client


def write_seconds(node: Controller, envelope: pb.Envelope, rate: float) -> float:
    """Return how long writing a message's text takes at `rate` changes per second."""
    part = node.context.settings.settings.state.value_kb * 1000 - 200
    return len(encode_batch([envelope])) / part / rate


def received_messages(client: BudgetClient, to: int) -> list[pb.Envelope]:
    """Return the messages that a peer decodes from what was written."""
    received: list[pb.Envelope] = []
    receiver = Controller(make_context(Clock(), node=to))

    async def receive(envelope: pb.Envelope) -> None:
        received.append(envelope)

    for change in client.sent:
        value = msgspec.Raw(msgspec.json.encode(change.value))
        run_without_waiting(receiver.state_sync.receive_relay(change.put or "", value, receive))
    return received


def test_a_full_snapshot_of_the_fleet_is_relayed() -> None:
    """A text that takes longer than RELAY_INTERVAL_S to write still arrives.

    A new text was started every 2 s and replaced the one being written, so a text that took longer
    never arrived. Half of the write budget is taken as used by starts and ends of tasks.
    """
    clock = Clock()
    node = controller_without_links(clock, [2])
    machines = MachineShard(node.context, 1, 5, 77, 0.0)
    populate_fleet(machines, JobShard(node.context, 0, 3, 9), random.Random(1))
    node.machines[1] = machines
    assert (
        write_seconds(node, pb.Envelope(snapshot=machines.full_snapshot(True)), WRITE_SHARE_RPS / 2)
        > RELAY_INTERVAL_S
    )
    client = run_relay(node, clock, 3 * RELAY_INTERVAL_S, WRITE_SHARE_RPS / 2)
    snapshots = [
        e.snapshot for e in received_messages(client, 2) if e.WhichOneof("body") == "snapshot"
    ]
    assert snapshots
    assert len(snapshots[0].machines) == MACHINES
    assert len(snapshots[0].machines[0].tasks) == TASKS_PER_MACHINE


def test_the_full_desired_state_of_the_fleet_is_relayed() -> None:
    """The text takes longer than RELAY_INTERVAL_S to write, even with the whole write budget.

    One controller owns all jobs and the other all machines.
    """
    clock = Clock()
    node = controller_without_links(clock, [2])
    machines = MachineShard(node.context, 1, 5, 77, 0.0)
    jobs = JobShard(node.context, 0, 3, 9)
    populate_fleet(machines, jobs, random.Random(1))
    assert (
        write_seconds(
            node, pb.Envelope(desired_state=jobs.desired_state_message(1, 77)), WRITE_SHARE_RPS
        )
        > RELAY_INTERVAL_S
    )
    jobs.loaded = True
    node.membership.owners[1] = ShardOwner(2, 5, 77)
    node.writers[0] = RecordWriter(node.context, node.state, jobs, None)
    client = run_relay(node, clock, 3 * RELAY_INTERVAL_S, WRITE_SHARE_RPS)
    desired_state = [
        e.desired_state
        for e in received_messages(client, 2)
        if e.WhichOneof("body") == "desired_state"
    ]
    assert MACHINES * TASKS_PER_MACHINE in [len(w.tasks) for w in desired_state]


def test_relayed_texts_to_two_peers_are_independent() -> None:
    """Each peer's texts are numbered on their own.

    With one shared counter, a text to one peer was taken for a newer version of the text to the
    other.
    """
    clock = Clock()
    node = controller_without_links(clock, [1, 2])
    noise = random.Random(5).randbytes(200_000).hex()[:120_000]
    node.machines[0] = machines = MachineShard(node.context, 0, 5, 77, 0.0)
    machines.full_snapshot = lambda valid: pb.Snapshot(shard=0, lost_machines=[noise])  # type: ignore[method-assign]
    client = run_relay(node, clock, RELAY_INTERVAL_S, WRITE_SHARE_RPS)
    for peer in (1, 2):
        assert [e.snapshot.lost_machines[0] for e in received_messages(client, peer)[1:]] == [noise]


def test_a_new_text_is_relayed_after_a_failed_one() -> None:
    clock = Clock()
    node = controller_without_links(clock, [2])
    node.machines[0] = MachineShard(node.context, 0, 5, 77, 0.0)
    client = FakeStateClient(FakeStateService(random.Random(1)), 0.0)
    client.cut = True
    node.state_sync.relay.state = client  # type: ignore[assignment]
    for _ in range(3):
        ((to, text),) = node.state_sync.build_relay_texts(clock.at, pb.Gossip)
        clock.at += RELAY_INTERVAL_S
        # No new text starts while the last one is still being written.
        assert not node.state_sync.build_relay_texts(clock.at, pb.Gossip)
        curio.run(node.state_sync.write_relay, to, text)


def test_message_sizes_of_the_whole_fleet() -> None:
    """The sizes in docs/operations.md, "Reach of each fixed limit"."""
    context = make_context(Clock())
    machines = MachineShard(context, 1, 5, 77, 0.0)
    jobs = JobShard(context, 0, 3, 9)
    populate_fleet(machines, jobs, random.Random(1))
    snapshot = pb.Envelope(snapshot=machines.full_snapshot(True))
    desired_state = pb.Envelope(desired_state=jobs.desired_state_message(1, 77))
    gossip = pb.Envelope(
        gossip=pb.Gossip(deleted_machines=[machine.name for machine in machines.machines.values()])
    )
    assert len(desired_state.desired_state.tasks) == MACHINES * TASKS_PER_MACHINE
    sizes = [len(e.SerializeToString()) for e in (snapshot, desired_state, gossip)]
    texts = [len(encode_batch([e])) for e in (snapshot, desired_state, gossip)]
    for size, limit in zip(sizes, (5_700_000, 3_800_000, 53_000), strict=True):
        assert 0.9 * limit < size <= limit
    for size, limit in zip(texts, (1_400_000, 2_450_000, 31_000), strict=True):
        assert 0.9 * limit < size <= limit


class FakeWorkers:
    """Answers calls to the workers' addresses, with a limit on open connections."""

    def __init__(self, machines: MachineShard, limit: int) -> None:
        self.machines = machines
        self.limit = limit
        self.open = self.peak = 0
        self.called: set[str] = set()
        self.index = {machine.address: i for i, machine in machines.machines.items()}

    async def call(
        self, address: str, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Reply:
        if self.open >= self.limit:
            raise ConnectionFailedError("too many open connections")
        self.open += 1
        self.peak = max(self.peak, self.open)
        await curio.sleep(0.001)
        self.open -= 1
        self.called.add(address)
        machine = self.machines.machines[self.index[address]]
        report = api.Report(
            machine.name, address, "small", "b", machine.session, machine.seq + 1, 5
        )
        return Reply(200, msgspec.json.encode(report), None)


def fleet_to_call(stopping: bool) -> tuple[Controller, MachineShard, FakeWorkers]:
    """Return a controller that owns all machines, each running one task, and their workers.

    With `stopping`, all tasks are to be stopped.
    """
    node = Controller(make_context(Clock()))
    machines = MachineShard(node.context, 1, 5, 77, 0.0)
    jobs = JobShard(node.context, 0, 3, 9)
    populate_fleet(machines, jobs, random.Random(1), 1)
    message = jobs.desired_state_message(1, 77)
    for item in message.tasks:
        item.stop = stopping
    machines.apply_desired_state(message)
    for machine in machines.machines.values():
        # A reachable machine is called whenever there is a command for it.
        machine.unconfirmed_since = None
    node.machines[1] = machines
    workers = FakeWorkers(machines, node.http.max_open)
    node.http.call = workers.call  # type: ignore[method-assign]
    return node, machines, workers


def test_commands_to_every_machine_wait_for_connections() -> None:
    """Commands wait for a free connection and don't count as unanswered meanwhile.

    A call without a free connection was taken for unanswered. After two of them the machine was
    taken for unreachable, and received its starts only in the answers to its reports.
    """
    node, machines, workers = fleet_to_call(stopping=True)

    async def call_all() -> None:
        for _ in range(100):
            await node.worker_caller.send_due_commands(machines, True)
            await curio.sleep(0.005)
            if len(workers.called) == MACHINES and not workers.open:
                return

    curio.run(call_all)
    assert len(workers.called) == MACHINES
    assert not any(machine.unanswered_commands for machine in machines.machines.values())
    assert workers.peak <= workers.limit - RESERVED_CONNECTIONS


def test_a_new_token_is_sent_to_every_machine_of_an_acquired_shard() -> None:
    """Calls are limited to `max_in_flight` at a time.

    When all machines were called at once, those beyond the connection limit were never called.
    """
    node, machines, workers = fleet_to_call(stopping=False)
    snapshots: dict[int, ShardSnapshot] = {}
    apply_snapshot_message(node.context, snapshots, machines.full_snapshot(True))

    async def announce_all() -> None:
        await node.worker_caller.announce_token_to_workers(machines, snapshots[1])
        for _ in range(100):
            await curio.sleep(0.005)
            if len(workers.called) == MACHINES:
                return

    curio.run(announce_all)
    assert len(workers.called) == MACHINES
    assert workers.peak <= node.worker_caller.max_in_flight


def test_a_backlog_of_thousands_of_jobs_hides_no_guaranteed_work() -> None:
    """Gossip lists guaranteed jobs, however many other jobs are older.

    It listed the 500 oldest jobs of all teams. Behind the backlog of a team without a guarantee,
    another team's guaranteed work was taken for work beyond its guarantee.
    """
    node = Controller(make_context(Clock()))
    jobs = JobShard(node.context, 0, 3, 9)
    for number in range(MACHINES):
        crew = "blue" if number == MACHINES - 1 else "red"
        jobs.adopt(new_job(node.context, spec(f"j-{number:06d}", crew=crew), 0, number))
    node.writers[0] = RecordWriter(node.context, node.state, jobs, None)
    published = node.planner.own_team_jobs()
    assert [job.id for job in published] == [f"j-{MACHINES - 1:06d}"]
    assert guaranteed_jobs(node.context, published) == {published[0].id}


def test_every_failing_machine_of_the_fleet_is_quarantined() -> None:
    """With a limit of 1,000 entries the oldest were dropped, retried and logged at every step."""
    quarantine = Quarantine()
    for _ in range(2):
        for number in range(MACHINES):
            quarantine.add("machine", f"vm-{number}", ValueError("x"), 0.0)
    assert all(quarantine.is_quarantined("machine", f"vm-{n}", 1.0) for n in range(MACHINES))


def test_deleted_machines_are_in_gossip_for_a_limited_time() -> None:
    """Deleted machines are announced for ANNOUNCE_S only.

    A controller that had forgotten a machine learned of it again from another that had not. While
    machines were being deleted, all machines ever deleted stayed in the gossip of all controllers.
    """
    clock = Clock()
    nodes = [Controller(make_context(clock, node=number)) for number in range(3)]
    published = []
    for second in range(MACHINES // 10):
        if second < MACHINES // 20:
            nodes[0].deleted_machines.record([f"vm-{second}-{i}" for i in range(20)])
        for sender in (1, 2, 0):  # the controller that deletes machines gossips last
            clock.at += 0.3
            gossip = nodes[sender].build_gossip()
            published.append(len(gossip.deleted_machines))
            for other in nodes:
                curio.run(other.gossip.apply, sender, gossip)
        clock.at += 0.1
    assert max(published) <= 20 * (ANNOUNCE_S + 2)
    assert published[-3:] == [0, 0, 0]  # the last machine was deleted 200 s ago
    assert f"vm-{MACHINES // 20 - 1}-0" in nodes[2].deleted_machines

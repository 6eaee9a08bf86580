"""The status that is reported for a job never goes back, whichever controller reports it."""

import random

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import TaskPlacement
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import OutcomeUnknownError, StateError, put_change
from starlingdeck.transport.server import Request, Response
from tests.support.builders import Clock, job_body, make_context
from tests.support.reference_model import FakeStateClient, FakeStateService

NODES = 3
TTL_S = 2.5
MAX_UNANSWERED_S = 75.0  # the operators' bound on how long queries of a job may stay unanswered
JOB = "j-000001"
SHARD = shard_of_job(JOB, NODES)


class Cluster:
    """Three controllers, one job, and the faults between them. Watches can be paused.

    `owner` is the owner of the job's shard, -1 if there is none; `terminal_state` is the one that
    was reported, if any; `accepted` is set once any controller has reported the job.
    """

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.state = FakeStateService(random.Random(seed))
        self.clients = [FakeStateClient(self.state, 0.0) for _ in range(NODES)]
        self.nodes = [self.start(i) for i in range(NODES)]
        self.partitions: set[frozenset[int]] = set()
        self.watch_paused: set[int] = set()
        self.owner = -1
        self.terminal_state = ""
        self.accepted = False

    def start(self, number: int) -> Controller:
        node = Controller(make_context(self.clock, node=number))
        node.state = node.job_api.services.state = self.clients[number]  # type: ignore[assignment]  # a test double
        node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, self.clock.at

        async def call(to: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            if not is_reachable(to):
                raise PeerUnavailableError("partitioned")
            reply = await self.nodes[to].on_message(envelope)
            assert reply is not None
            return reply

        def is_reachable(to: int) -> bool:
            return frozenset((number, to)) not in self.partitions

        node.peers.call = call  # type: ignore[method-assign, assignment]  # a test double
        node.peers.is_reachable = is_reachable  # type: ignore[method-assign, assignment]  # a test double
        return node

    async def advance(self, seconds: float) -> None:
        """Advance the clock; renew or end leases, take over the shard, deliver unpaused watches."""
        self.clock.at += seconds
        for number, node in enumerate(self.nodes):
            if self.clock.at > node.membership.lease.renewed_at + TTL_S:
                node.writers.clear()
                if number == self.owner:
                    self.owner = -1
                    del self.state.keys[records.shard_key(SHARD)]
            if not self.clients[number].cut:
                node.membership.lease.renewed_at = self.clock.at
        if self.owner < 0:
            await self.take_over()
        for number in set(range(NODES)) - self.watch_paused:
            if not self.clients[number].cut:
                await self.deliver_watch(number)

    async def take_over(self, preferred: int = 0) -> None:
        connected = [i for i in range(NODES) if not self.clients[i].cut]
        if not connected:
            return
        self.owner = preferred if preferred in connected else connected[0]
        epoch = self.state.rng.getrandbits(40)
        change = put_change(records.shard_key(SHARD), records.ShardValue(self.owner, epoch))
        assert not self.state.apply({records.shard_key(SHARD): 0}, [change])
        node, token = self.nodes[self.owner], self.state.revision
        writer = RecordWriter(node.context, node.state, JobShard(node.context, SHARD, token, epoch))
        node.writers[SHARD] = writer
        await node.shard_loader.load(writer)
        for other in self.nodes:
            other.membership.owners[SHARD] = ShardOwner(self.owner, token, epoch)

    async def deliver_watch(self, number: int) -> None:
        """Have a controller handle the mailbox entries that its watch would have reported."""
        writer = self.nodes[number].writers.get(SHARD)
        prefix = records.mailbox_key(SHARD, "")
        for key, (_, version) in list(self.state.keys.items()):
            if key.startswith(prefix) and writer is not None and writer.shard.loaded:
                await self.nodes[number].mailbox.handle_entry(
                    writer, key[len(prefix) :], key, version
                )

    async def perform(self, action: str, number: int, other: int) -> None:
        """Inject a fault, end the job's task, or send a user's request."""
        node = self.nodes[number]
        if action == "finish":
            await self.finish()
        elif action == "submit":
            await self.send_request(
                node, "POST", api.JOBS, msgspec.json.encode(job_body(JOB, chores=1))
            )
        elif action == "query":
            await self.send_request(node, "GET", f"{api.JOBS}/{JOB}", b"")
        elif action == "cancel":
            await self.send_request(node, "POST", f"{api.JOBS}/{JOB}/{api.CANCEL}", b"")
        elif action == "restart":
            await self.restart(number)
        else:
            self.inject(action, number, other)

    def inject(self, action: str, number: int, other: int) -> None:
        """Begin or end a fault of the network or the state service."""
        client = self.clients[number]
        if action == "cut":
            client.cut = not client.cut
        elif action == "part":
            self.partitions ^= {frozenset((number, other))}
        elif action == "pause_watch":
            self.watch_paused ^= {number}
        elif action == "trouble":
            client.failure_rate = 0.0 if client.failure_rate else 0.6
        elif action == "late" and self.state.delayed_transactions:
            self.state.apply(*self.state.delayed_transactions.pop(0))
        elif action == "outage":
            down = not all(c.cut for c in self.clients)
            for each in self.clients:
                each.cut = down

    async def restart(self, number: int) -> None:
        """Restart a controller in a fraction of a second: what it sent may still be executed."""
        client = self.clients[number]
        self.nodes[number] = self.start(number)
        if number == self.owner:
            self.owner = -1
            del self.state.keys[records.shard_key(SHARD)]
            if not client.cut:
                await self.take_over(number)

    async def recover(self) -> None:
        """End all faults, and check that every healthy controller soon reports the job."""
        self.partitions.clear()
        self.watch_paused.clear()
        for client in self.clients:
            client.cut, client.failure_rate = False, 0.0
        unanswered_by, started_at = set(range(NODES)), self.clock.at
        while unanswered_by:
            assert self.clock.at - started_at < MAX_UNANSWERED_S, "forgotten"
            await self.advance(3.0)
            for number in list(unanswered_by):
                node = self.nodes[number]
                query = Request("GET", f"{api.JOBS}/{JOB}", b"")
                if (
                    node.http_router.health().status != 200
                    or (await node.serve(query)).status == 200
                ):
                    unanswered_by.discard(number)

    async def finish(self) -> None:
        """Have the owner learn that the task has completed, and write that if it can."""
        if self.owner < 0:
            return
        node = self.nodes[self.owner]
        writer = node.writers[SHARD]
        job = writer.shard.jobs.get(node.context.job_names.find(JOB) or 0)
        if job is None or not node.membership.lease_is_valid():
            return
        if not job.placements and not job.cancelled:
            job.placements[0] = TaskPlacement(
                node.context.machine_names.intern("vm-1"),
                1,
                1,
                0,
                node.context.zone_names.intern("a"),
            )
        if job.placements:
            job.pending_ends[0] = api.CAUSE_DONE
        writer.shard.dirty_jobs.add(job.index)
        try:
            await writer.flush()
        except StateError:
            return

    async def send_request(self, node: Controller, method: str, path: str, body: bytes) -> None:
        reply: Response = await node.serve(Request(method, path, body))
        if reply.status == 404 and path != api.JOBS:
            assert not self.accepted, "a job once accepted is unknown"
        if reply.status not in (200, 201):
            return
        status = msgspec.json.decode(reply.body, type=api.JobStatus)
        self.accepted = True
        if self.terminal_state:
            assert status.state == self.terminal_state, (
                f"was {self.terminal_state}, is {status.state}"
            )
        if status.state in (api.DONE, api.CANCELLED):
            self.terminal_state = status.state


ACTIONS = ["query"] * 5 + ["cancel", "cancel", "submit", "finish", "finish"]
ACTIONS += [
    "restart",
    "cut",
    "part",
    "part",
    "pause_watch",
    "pause_watch",
    "trouble",
    "trouble",
    "late",
    "outage",
]
STEPS = st.tuples(
    st.sampled_from(ACTIONS),
    st.integers(0, NODES - 1),
    st.integers(0, NODES - 1),
    st.sampled_from([0.0, 0.0, 0.1, 1.0, 3.0]),
)


async def run_steps(cluster: Cluster, steps: list[tuple[str, int, int, float]]) -> None:
    await cluster.advance(0.0)
    for action, number, other, seconds in steps:
        await cluster.perform(action, number, other)
        if seconds:
            await cluster.advance(seconds)


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> list[Cluster]:
    """Return a list for the test's cluster, whose clock advances while a controller sleeps."""
    current: list[Cluster] = []

    async def sleep(seconds: float) -> None:
        current[-1].clock.at += seconds

    monkeypatch.setattr(curio, "sleep", sleep)
    return current


def test_cancellation_by_another_controller_is_confirmed_once_the_owner_knows_it(
    cluster: list[Cluster],
) -> None:
    """The owner kept its lease through an outage and reported a job as running from memory, before
    it had read that another controller had cancelled the job and confirmed that to its user."""
    cluster.append(Cluster(1))
    clock, nodes = cluster[0].clock, cluster[0].nodes

    async def drive() -> list[int]:
        await run_steps(cluster[0], [("submit", 0, 0, 0.5)])
        owner = cluster[0].owner
        canceller, querier = (i for i in range(NODES) if i != owner)
        cluster[0].partitions.add(frozenset((canceller, owner)))
        cluster[0].partitions.add(frozenset((canceller, querier)))
        cluster[0].watch_paused.add(owner)
        path, statuses = f"{api.JOBS}/{JOB}/{api.CANCEL}", []
        for handled in (False, True):
            if handled:
                await cluster[0].deliver_watch(owner)
            before = clock.at
            reply = await nodes[canceller].serve(Request("POST", path, b""))
            statuses.append(reply.status)
            assert clock.at - before < 1.0
            query = await nodes[querier].serve(Request("GET", f"{api.JOBS}/{JOB}", b""))
            assert (b"cancelled" in query.body) == handled
        return statuses

    assert curio.run(drive) == [503, 200]


def test_owner_whose_write_of_an_end_got_no_answer_reports_the_recorded_state(
    cluster: list[Cluster],
) -> None:
    """The owner's write of a job's end was executed, but got no answer. Another controller reported
    the job as done from its record, and the owner still reported it as running."""
    cluster.append(Cluster(1))

    async def drive() -> None:
        await run_steps(cluster[0], [("submit", 0, 0, 0.5)])
        owner = cluster[0].owner
        querier = (owner + 1) % NODES
        client = cluster[0].clients[owner]
        apply = client.transact

        async def unanswered(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
            await apply(conditions, changes, urgent)
            raise OutcomeUnknownError("no answer")

        client.transact = unanswered  # type: ignore[method-assign]  # a test double
        await cluster[0].finish()
        cluster[0].partitions.add(frozenset((owner, querier)))
        await cluster[0].perform("query", querier, 0)
        assert cluster[0].terminal_state == api.DONE
        await cluster[0].perform("query", owner, 0)

    curio.run(drive)


@pytest.mark.parametrize("when", ["read", "handled"])
def test_cancellation_during_a_load_or_a_mailbox_entry_is_not_missed(
    cluster: list[Cluster], when: str
) -> None:
    """Watches skipped mailbox entries while a shard was being loaded after its takeover, and an
    entry that arrived while an older one was handled was deleted with that one: the owner went on
    running jobs whose users had been told that they were cancelled."""
    cluster.append(Cluster(1))

    async def drive() -> None:
        await run_steps(cluster[0], [("submit", 0, 0, 0.5)])
        first_owner = cluster[0].owner
        writer = cluster[0].nodes[first_owner].writers[SHARD]
        others = [i for i in range(NODES) if i != first_owner]
        cluster[0].partitions.update(frozenset((i, first_owner)) for i in others)
        client = cluster[0].clients[first_owner if when == "handled" else others[0]]
        original = client.get if when == "handled" else client.read
        cancels = [others[-1]]

        async def read_then_cancel(key: str, urgent: bool = False) -> object:
            found = await original(key)
            if key.startswith(records.job_key(SHARD, "")) and cancels:
                await cluster[0].perform("cancel", cancels.pop(), 0)
            return found

        if when == "handled":
            entry = {records.mailbox_key(SHARD, JOB): 0}
            assert not cluster[0].state.apply(
                entry, [put_change(records.mailbox_key(SHARD, JOB), 1)]
            )
            client.get = read_then_cancel  # type: ignore[method-assign, assignment]  # a test double
            await cluster[0].deliver_watch(first_owner)
        else:
            client.read = read_then_cancel  # type: ignore[method-assign, assignment]  # a test double
            cluster[0].watch_paused.update(others)  # their watches pass the entry during the read
            cluster[0].clients[first_owner].cut = True
            await cluster[0].advance(TTL_S + 1.0)
            writer = cluster[0].nodes[cluster[0].owner].writers[SHARD]
        (job,) = writer.shard.jobs.values()
        assert job.cancelled or records.mailbox_key(SHARD, JOB) in cluster[0].state.keys
        assert job.cancelled == (when == "read")

    curio.run(drive)


def test_mailbox_entry_that_is_read_repeatedly_is_handled_by_one_task(
    cluster: list[Cluster],
) -> None:
    """After a failure all entries were read again, and each read started a task for every entry."""
    cluster.append(Cluster(1))

    async def drive() -> tuple[int, bool]:
        await run_steps(cluster[0], [("submit", 0, 0, 0.5)])
        node = cluster[0].nodes[cluster[0].owner]
        writer, key = node.writers[SHARD], records.mailbox_key(SHARD, JOB)
        reads = 0
        original = writer.reload

        async def reload(name: str) -> object:
            nonlocal reads
            reads += 1
            return await original(name)

        writer.reload = reload  # type: ignore[method-assign, assignment]  # a test double
        await writer.lock.acquire()
        tasks = []
        for _ in range(5):
            cluster[0].state.apply({}, [put_change(key, 1)])
            version = cluster[0].state.revision
            tasks += [
                await curio.spawn(node.mailbox.handle_entry, writer, JOB, key, version)
                for _ in range(9)
            ]
        async with curio.ignore_after(0.02):
            await curio.Event().wait()
        await writer.lock.release()
        for task in tasks:
            await task.join()
        return reads, key in cluster[0].state.keys or bool(node.mailbox.entries)

    assert curio.run(drive) == (1, False)


NODE_PAIRS = st.sampled_from([frozenset(p) for p in ((0, 1), (0, 2), (1, 2))])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    partitions=st.sets(NODE_PAIRS),
    watch_paused=st.sets(st.integers(0, NODES - 1)),
    steps=st.lists(STEPS, min_size=6, max_size=30),
)
def check_answers(
    current: list[Cluster],
    seed: int,
    partitions: set[frozenset[int]],
    watch_paused: set[int],
    steps: list[tuple[str, int, int, float]],
) -> None:
    current[:] = [Cluster(seed)]
    current[0].partitions, current[0].watch_paused = partitions, watch_paused
    curio.run(run_steps, current[0], [("submit", 0, 0, 0.1), *steps])
    if current[0].accepted:
        curio.run(current[0].recover)


def test_reported_status_under_random_faults_never_goes_back(cluster: list[Cluster]) -> None:
    check_answers(cluster)

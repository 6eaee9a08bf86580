"""The status that users are answered never goes back, whichever controller they ask."""

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
FORGOTTEN_S = 75.0  # the operators' bound on a job's questions without an answer
JOB = "j-000001"
SHARD = shard_of_job(JOB, NODES)


class Cluster:
    """Three controllers, one job, and the faults between them. Watches can be paused."""

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.state = FakeStateService(random.Random(seed))
        self.clients = [FakeStateClient(self.state, 0.0) for _ in range(NODES)]
        self.nodes = [self.start(i) for i in range(NODES)]
        self.parted: set[frozenset[int]] = set()
        self.watch_paused: set[int] = set()
        self.owner = -1
        self.answered = ""
        self.accepted = False

    def start(self, number: int) -> Controller:
        node = Controller(make_context(self.clock, node=number))
        node.state = node.job_api.services.state = self.clients[number]  # type: ignore[assignment]  # a test double
        node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, self.clock.at

        async def call(to: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            if not up(to):
                raise PeerUnavailableError("parted")
            reply = await self.nodes[to].on_message(envelope)
            assert reply is not None
            return reply

        def up(to: int) -> bool:
            return frozenset((number, to)) not in self.parted

        node.peers.call = call  # type: ignore[method-assign, assignment]  # a test double
        node.peers.is_reachable = up  # type: ignore[method-assign, assignment]  # a test double
        return node

    async def tick(self, seconds: float) -> None:
        """Leases, takeovers, and the watches that aren't paused."""
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

    async def take_over(self, first: int = 0) -> None:
        able = [i for i in range(NODES) if not self.clients[i].cut]
        if not able:
            return
        self.owner = first if first in able else able[0]
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
        """Handle the mailbox entries that its watch would have reported."""
        writer = self.nodes[number].writers.get(SHARD)
        prefix = records.mailbox_key(SHARD, "")
        for key, (_, version) in list(self.state.keys.items()):
            if key.startswith(prefix) and writer is not None and writer.shard.loaded:
                await self.nodes[number].mailbox.handle_entry(
                    writer, key[len(prefix) :], key, version
                )

    async def act(self, verb: str, number: int, other: int) -> None:
        """Inject a fault, end the job's task, or send a user's request."""
        node = self.nodes[number]
        if verb == "finish":
            await self.finish()
        elif verb == "submit":
            await self.ask(node, "POST", api.JOBS, msgspec.json.encode(job_body(JOB, chores=1)))
        elif verb == "query":
            await self.ask(node, "GET", f"{api.JOBS}/{JOB}", b"")
        elif verb == "cancel":
            await self.ask(node, "POST", f"{api.JOBS}/{JOB}/{api.CANCEL}", b"")
        elif verb == "restart":
            await self.restart(number)
        else:
            self.inject(verb, number, other)

    def inject(self, verb: str, number: int, other: int) -> None:
        """Begin or end a fault of the network or the state service."""
        client = self.clients[number]
        if verb == "cut":
            client.cut = not client.cut
        elif verb == "part":
            self.parted ^= {frozenset((number, other))}
        elif verb == "pause_watch":
            self.watch_paused ^= {number}
        elif verb == "trouble":
            client.failure_rate = 0.0 if client.failure_rate else 0.6
        elif verb == "late" and self.state.delayed_transactions:
            self.state.apply(*self.state.delayed_transactions.pop(0))
        elif verb == "outage":
            down = not all(c.cut for c in self.clients)
            for each in self.clients:
                each.cut = down

    async def restart(self, number: int) -> None:
        """Back within a fraction of a second: what it has sent may still be executed."""
        client = self.clients[number]
        self.nodes[number] = self.start(number)
        if number == self.owner:
            self.owner = -1
            del self.state.keys[records.shard_key(SHARD)]
            if not client.cut:
                await self.take_over(number)

    async def recover(self) -> None:
        """All faults are over: soon every healthy controller answers for the job."""
        self.parted.clear()
        self.watch_paused.clear()
        for client in self.clients:
            client.cut, client.failure_rate = False, 0.0
        asked, began = set(range(NODES)), self.clock.at
        while asked:
            assert self.clock.at - began < FORGOTTEN_S, "forgotten"
            await self.tick(3.0)
            for number in list(asked):
                node = self.nodes[number]
                query = Request("GET", f"{api.JOBS}/{JOB}", b"")
                if (
                    node.http_router.health().status != 200
                    or (await node.serve(query)).status == 200
                ):
                    asked.discard(number)

    async def finish(self) -> None:
        """The owner learns that the task ran to its end, and writes what it can."""
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

    async def ask(self, node: Controller, method: str, path: str, body: bytes) -> None:
        reply: Response = await node.serve(Request(method, path, body))
        if reply.status == 404 and path != api.JOBS:
            assert not self.accepted, "a job once accepted is unknown"
        if reply.status not in (200, 201):
            return
        status = msgspec.json.decode(reply.body, type=api.JobStatus)
        self.accepted = True
        if self.answered:
            assert status.state == self.answered, f"was {self.answered}, is {status.state}"
        if status.state in (api.DONE, api.CANCELLED):
            self.answered = status.state


VERBS = ["query"] * 5 + ["cancel", "cancel", "submit", "finish", "finish"]
VERBS += [
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
    st.sampled_from(VERBS),
    st.integers(0, NODES - 1),
    st.integers(0, NODES - 1),
    st.sampled_from([0.0, 0.0, 0.1, 1.0, 3.0]),
)


async def play(cluster: Cluster, steps: list[tuple[str, int, int, float]]) -> None:
    await cluster.tick(0.0)
    for verb, number, other, seconds in steps:
        await cluster.act(verb, number, other)
        if seconds:
            await cluster.tick(seconds)


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> list[Cluster]:
    """The cluster of the running test, whose time passes while a controller sleeps."""
    current: list[Cluster] = []

    async def sleep(seconds: float) -> None:
        current[-1].clock.at += seconds

    monkeypatch.setattr(curio, "sleep", sleep)
    return current


def test_a_cancellation_made_for_an_owner_is_answered_once_that_knows_it(
    cluster: list[Cluster],
) -> None:
    """The owner came through an outage as valid and answered from memory, before it had read
    that another controller had cancelled the job and told its user so."""
    cluster.append(Cluster(1))
    clock, nodes = cluster[0].clock, cluster[0].nodes

    async def drive() -> list[int]:
        await play(cluster[0], [("submit", 0, 0, 0.5)])
        owner = cluster[0].owner
        near, far = (i for i in range(NODES) if i != owner)
        cluster[0].parted.add(frozenset((near, owner)))
        cluster[0].parted.add(frozenset((near, far)))
        cluster[0].watch_paused.add(owner)
        path, statuses = f"{api.JOBS}/{JOB}/{api.CANCEL}", []
        for handled in (False, True):
            if handled:
                await cluster[0].deliver_watch(owner)
            before = clock.at
            reply = await nodes[near].serve(Request("POST", path, b""))
            statuses.append(reply.status)
            assert clock.at - before < 1.0
            query = await nodes[far].serve(Request("GET", f"{api.JOBS}/{JOB}", b""))
            assert (b"cancelled" in query.body) == handled
        return statuses

    assert curio.run(drive) == [503, 200]


def test_an_owner_does_not_answer_from_before_an_end_it_may_have_written(
    cluster: list[Cluster],
) -> None:
    """The record said done and another controller had told its user so, while the owner, whose
    write had got no answer, called the job running."""
    cluster.append(Cluster(1))

    async def drive() -> None:
        await play(cluster[0], [("submit", 0, 0, 0.5)])
        owner = cluster[0].owner
        far = (owner + 1) % NODES
        client = cluster[0].clients[owner]
        apply = client.transact

        async def unanswered(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
            await apply(conditions, changes, urgent)
            raise OutcomeUnknownError("no answer")

        client.transact = unanswered  # type: ignore[method-assign]  # a test double
        await cluster[0].finish()
        cluster[0].parted.add(frozenset((owner, far)))
        await cluster[0].act("query", far, 0)
        assert cluster[0].answered == api.DONE
        await cluster[0].act("query", owner, 0)

    curio.run(drive)


@pytest.mark.parametrize("when", ["read", "handled"])
def test_a_cancellation_that_comes_while_an_owner_loads_is_not_missed(
    cluster: list[Cluster], when: str
) -> None:
    """Watches passed over entries while a shard was being loaded after its takeover, and an entry
    that came while an older one was handled was dropped with that: the owner went on running jobs
    whose users had been answered that they were cancelled."""
    cluster.append(Cluster(1))

    async def drive() -> None:
        await play(cluster[0], [("submit", 0, 0, 0.5)])
        former = cluster[0].owner
        writer = cluster[0].nodes[former].writers[SHARD]
        others = [i for i in range(NODES) if i != former]
        cluster[0].parted.update(frozenset((i, former)) for i in others)
        client = cluster[0].clients[former if when == "handled" else others[0]]
        plain = client.get if when == "handled" else client.read
        cancels = [others[-1]]

        async def and_then(key: str, urgent: bool = False) -> object:
            found = await plain(key)
            if key.startswith(records.job_key(SHARD, "")) and cancels:
                await cluster[0].act("cancel", cancels.pop(), 0)
            return found

        if when == "handled":
            entry = {records.mailbox_key(SHARD, JOB): 0}
            assert not cluster[0].state.apply(
                entry, [put_change(records.mailbox_key(SHARD, JOB), 1)]
            )
            client.get = and_then  # type: ignore[method-assign, assignment]  # a test double
            await cluster[0].deliver_watch(former)
        else:
            client.read = and_then  # type: ignore[method-assign, assignment]  # a test double
            cluster[0].watch_paused.update(others)  # the watch has come by while the shard is read
            cluster[0].clients[former].cut = True
            await cluster[0].tick(TTL_S + 1.0)
            writer = cluster[0].nodes[cluster[0].owner].writers[SHARD]
        (job,) = writer.shard.jobs.values()
        assert job.cancelled or records.mailbox_key(SHARD, JOB) in cluster[0].state.keys
        assert job.cancelled == (when == "read")

    curio.run(drive)


def test_an_entry_is_handled_by_one_task_however_often_it_is_read(cluster: list[Cluster]) -> None:
    """A failure had all entries read again, and every reading started a task for each."""
    cluster.append(Cluster(1))

    async def drive() -> tuple[int, bool]:
        await play(cluster[0], [("submit", 0, 0, 0.5)])
        node = cluster[0].nodes[cluster[0].owner]
        writer, key = node.writers[SHARD], records.mailbox_key(SHARD, JOB)
        reads = 0
        plain = writer.reload

        async def reload(name: str) -> object:
            nonlocal reads
            reads += 1
            return await plain(name)

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


PAIRS = st.sampled_from([frozenset(p) for p in ((0, 1), (0, 2), (1, 2))])


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    parted=st.sets(PAIRS),
    watch_paused=st.sets(st.integers(0, NODES - 1)),
    steps=st.lists(STEPS, min_size=6, max_size=30),
)
def check_answers(
    current: list[Cluster],
    seed: int,
    parted: set[frozenset[int]],
    watch_paused: set[int],
    steps: list[tuple[str, int, int, float]],
) -> None:
    current[:] = [Cluster(seed)]
    current[0].parted, current[0].watch_paused = parted, watch_paused
    curio.run(play, current[0], [("submit", 0, 0, 0.1), *steps])
    if current[0].accepted:
        curio.run(current[0].recover)


def test_the_answered_status_never_goes_back(cluster: list[Cluster]) -> None:
    check_answers(cluster)

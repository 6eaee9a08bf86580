"""A whole controller, run without a network and on a simulated clock."""

import itertools
import random

import curio
import msgspec
import pytest

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import RequestBudget, put_change
from starlingdeck.transport.frames import FrameLink
from starlingdeck.transport.server import Request
from tests.support.builders import Clock, job_body, make_context, spec
from tests.support.reference_model import FakeStateClient, FakeStateService


def report(machine: str, zone: str, session: int = 1, seq: int = 1, token: int = 0) -> bytes:
    return msgspec.json.encode(
        api.Report(machine, "127.0.0.1:1", "small", zone, session, seq, token)
    )


def test_a_worker_is_not_redirected_to_an_unreachable_owner() -> None:
    """A controller lost the network. Until its shard was taken over, its peers redirected its
    workers to it, each of which waited for it in vain; 50 tasks ended because their leases did."""
    clock = Clock()
    node = Controller(make_context(clock))
    node.membership.owners[1] = ShardOwner(1, 5, 77)
    node.peers.links[1] = FrameLink(None)
    body = Request("POST", api.REPORT, report("vm-1", "b"))

    node.peers.last_heard_at[1] = clock.at
    node.heartbeat_api.redirector.newcomers[node.context.machine_names.intern("vm-1")] = clock.at
    reachable = curio.run(node.serve, body)
    assert (reachable.status, msgspec.json.decode(reachable.body)) == (421, {"answer_to": "n-1"})

    clock.at += node.context.tuning.reply_wait_s + 0.1
    unreachable = curio.run(node.serve, body)
    assert (unreachable.status, msgspec.json.decode(unreachable.body)) == (421, {})


def test_heartbeats_of_a_worker_that_cannot_reach_its_owner_are_forwarded() -> None:
    """A controller that only its workers couldn't reach kept its shard, and peers redirected the
    workers to it until their leases ended."""
    clock = Clock()
    node, owner = Controller(make_context(clock)), Controller(make_context(clock, node=1))
    owner.membership.lease.lease_id, owner.membership.lease.renewed_at = 1, clock.at
    owner.machines[1] = MachineShard(owner.context, 1, 5, 77, 0.0)
    node.membership.owners[1] = ShardOwner(1, 5, 77)
    node.peers.links[1] = FrameLink(None)

    async def call(node: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        reply = await owner.on_message(envelope)
        assert node == 1
        assert reply is not None
        return reply

    node.peers.call = call  # type: ignore[method-assign]
    statuses = []
    for step in range(9):
        node.peers.last_heard_at[1] = owner.membership.lease.renewed_at = clock.at
        body = report("vm-1", "b", seq=step + 1)
        statuses.append(curio.run(node.serve, Request("POST", api.REPORT, body)).status)
        clock.at += 5.0
    assert statuses == [200, 421, 200, 200, 200, 421, 200, 200, 200]
    machine = owner.machines[1].machines[owner.context.machine_names.intern("vm-1")]
    assert clock.at - machine.lease_granted_at <= 10.0


@pytest.mark.parametrize(
    ("state", "peer", "healthy"),
    [(True, True, True), (True, False, True), (False, True, True), (False, False, False)],
)
def test_a_controller_with_neither_state_service_nor_peers_is_not_healthy(
    state: bool, peer: bool, healthy: bool
) -> None:
    """It reported itself healthy while it renewed its workers' leases for another 20 s, and refused
    the requests of the users that were sent to it."""
    clock = Clock()
    node = Controller(make_context(clock))
    node.membership.lease.lease_id, node.membership.lease.renewed_at = (
        1,
        clock.at - (0.0 if state else 5.0),
    )
    node.peers.is_reachable = lambda n: peer and n == 1  # type: ignore[method-assign, assignment]
    assert node.membership.may_renew_worker_leases()
    assert (node.http_router.health().status == 200) is healthy


def test_a_shard_is_handed_back_to_a_live_controller_that_its_owner_cannot_reach() -> None:
    """Zones were partitioned while both controllers of one zone restarted. Those of the other zone
    kept the shards, couldn't reach their workers, and the workers' leases ended."""
    clock = Clock()
    node = Controller(make_context(clock))
    node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, clock.at
    jobs = JobShard(node.context, 1, 5, 77)
    jobs.loaded = True
    node.writers[1] = RecordWriter(node.context, node.state, jobs)
    assert not node.peers.is_reachable(1)
    assert node.may_hand_back(1)


def test_a_controller_that_starts_while_the_cloud_is_down_loads_the_machine_types() -> None:
    """All controllers restarted during a cloud outage, and none was healthy for 40 s, because none
    knew the machine types."""
    state = FakeStateService(random.Random(1))
    first, second = Controller(make_context(Clock())), Controller(make_context(Clock(), node=1))
    for node in (first, second):
        node.machine_type_store.state = FakeStateClient(state, 0.0)  # type: ignore[assignment]
    types = list(first.context.machine_types.values())
    curio.run(first.machine_type_store.store, types)
    assert curio.run(second.machine_type_store.load) == []  # only the owner of shard 0 stores them
    curio.run(first.on_shard_acquired, 0, 1, 7, 0.0)
    curio.run(first.machine_type_store.store, types)
    assert curio.run(second.machine_type_store.load) == types


def test_paths_methods_and_bodies_are_answered_with_their_statuses() -> None:
    node = Controller(make_context(Clock()))

    def status(method: str, path: str, body: bytes = b"") -> int:
        return int(curio.run(node.serve, Request(method, path, body)).status)

    assert status("GET", "/nowhere") == 404
    assert status("GET", api.JOBS) == 405
    assert status("DELETE", api.JOBS + "/j-1") == 405
    assert status("GET", api.JOBS + "/j-1/" + api.CANCEL) == 405
    assert status("GET", api.JOBS + "/j-1/other") == 404
    assert status("POST", api.JOBS, b"{") == 400
    assert status("POST", api.REPORT, b"[]") == 400
    assert status("GET", api.HEALTH) == 503


def test_an_owner_cut_off_for_long_renews_no_worker_lease() -> None:
    """The owner may renew leases for a bounded time only, and its successor relies on that."""
    clock = Clock()
    node = Controller(make_context(clock))
    node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, clock.at
    machines = MachineShard(node.context, 1, 3, 9, 0.0)
    node.machines[1] = machines
    first = curio.run(node.heartbeat_api.handle, report("vm-1", "b"))
    assert first.status == 200
    clock.at += node.context.outage_renewal_s - 0.1
    renewed = curio.run(node.heartbeat_api.handle, report("vm-1", "b", seq=2))
    assert renewed.status == 200
    assert not node.membership.lease_is_valid()
    clock.at += 0.2
    assert curio.run(node.heartbeat_api.handle, report("vm-1", "b", seq=3)).status == 503
    s = node.context.settings.settings.workers
    assert node.context.outage_renewal_s + s.lease_s < s.cancel_s - 3


def linked_nodes(
    clock: Clock, state: FakeStateService, owner: int
) -> tuple[Controller, Controller]:
    """Return two controllers with a lease each, of which the first can call the second. The one
    with the index `owner` owns the shard of j-000001."""
    ours, theirs = Controller(make_context(clock)), Controller(make_context(clock, node=1))
    for node in (ours, theirs):
        node.job_api.services.state = FakeStateClient(state, 0.0)  # type: ignore[assignment]
        node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, clock.at
    shard, node = shard_of_job("j-000001", 3), (ours, theirs)[owner]
    jobs = JobShard(node.context, shard, 5, 77)
    jobs.loaded = True
    node.writers[shard] = RecordWriter(node.context, node.job_api.services.state, jobs)
    ours.peers.links[1] = FrameLink(None)
    ours.peers.last_heard_at[1] = clock.at

    async def call(node: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
        reply = await theirs.on_message(envelope)
        assert node == 1
        assert reply is not None
        return reply

    ours.peers.call = call  # type: ignore[method-assign]
    return ours, theirs


def test_a_submission_is_routed_through_a_peer_when_the_state_service_refuses_only_us() -> None:
    """The owner of the job's shard answered 503 until its own lease had ended."""
    state = FakeStateService(random.Random(1))
    ours, theirs = linked_nodes(Clock(), state, 0)
    ours.job_api.services.state.cut = True  # type: ignore[attr-defined]
    shard = shard_of_job("j-000001", 3)
    body = msgspec.json.encode(job_body("j-000001"))
    assert curio.run(ours.serve, Request("POST", api.JOBS, body)).status == 201
    assert {k for k in state.keys if "j-000001" in k} == {
        records.job_key(shard, "j-000001"),
        records.mailbox_key(shard, "j-000001"),  # tells the owner of the shard about the job
    }
    theirs.job_api.services.state.cut = True  # type: ignore[attr-defined]
    refused = curio.run(
        ours.serve, Request("POST", api.JOBS, msgspec.json.encode(job_body("j-000007")))
    )
    assert refused.status == 503
    assert dict(refused.headers)["retry-after"]


def test_a_submission_is_stored_by_us_when_the_state_service_refuses_the_owner() -> None:
    """The owner's 503 was forwarded to the user, although the controller that got the request could
    have stored the job itself."""
    state = FakeStateService(random.Random(1))
    ours, theirs = linked_nodes(Clock(), state, 1)
    theirs.job_api.services.state.cut = True  # type: ignore[attr-defined]
    shard = shard_of_job("j-000001", 3)
    ours.membership.owners[shard] = ShardOwner(1, 5, 77)
    body = msgspec.json.encode(job_body("j-000001"))
    assert curio.run(ours.serve, Request("POST", api.JOBS, body)).status == 201
    assert records.mailbox_key(shard, "j-000001") in state.keys


def test_live_controllers_share_the_request_budgets() -> None:
    """A controller left alone had the work of three, but only a third of the request budget."""
    budget = RequestBudget(200.0, 60.0, 3, Clock().now)
    budget.share_among(1)
    assert budget.requests.rate == 180.0
    assert budget.writes.rate == 54.0
    budget.share_among(3)
    assert budget.writes.rate == 18.0
    assert budget.writes.burst == 18.0


def test_a_shard_that_was_retaken_is_not_handed_back_again_at_once() -> None:
    """A controller back from a partition was live but still blocked in its old watch: its shard was
    handed back, retaken and handed back again, three times in two seconds (incident a99b)."""
    clock = Clock()
    node = Controller(make_context(clock))
    own = node.membership
    own.ownership.state = FakeStateClient(FakeStateService(random.Random(1)), 0.0)  # type: ignore[assignment]
    own.lease.lease_id, own.lease.renewed_at, own.live_nodes = (
        1,
        clock.at,
        {0: 0.0, 1: clock.at - 3.0},
    )
    curio.run(own.ownership.acquire, 1, 0, 0.0)
    node.writers[1].shard.loaded = True
    owned = []
    for _ in range(140):
        clock.at += 0.1
        own.lease.renewed_at = clock.at
        curio.run(own.ownership.reconcile, 1, own.live_nodes)
        if 1 in node.writers:
            node.writers[1].shard.loaded = True
        owned.append(1 in own.ownership.owned)
    changes = sum(a != b for a, b in itertools.pairwise(owned))
    assert changes <= 3
    assert owned.count(False) < 15


def test_a_write_that_conflicts_with_our_own_raised_token_loses_nothing() -> None:
    """The key had its new version before the response with it had arrived. A write in between
    failed its condition, and the shard's records would never have been written again."""
    clock = Clock()
    node = Controller(make_context(clock))
    own, state = node.membership, FakeStateService(random.Random(1))
    client = FakeStateClient(state, 0.0)
    own.ownership.state = node.state = client  # type: ignore[assignment]
    own.lease.lease_id, own.lease.renewed_at = 1, clock.at
    curio.run(own.ownership.acquire, 1, 0, 0.0)
    writer, key = node.writers[1], records.shard_key(1)
    writer.shard.loaded = True
    job = new_job(node.context, spec("j-000001"), 1, 0)
    job.pending_starts[0] = TaskPlacement(
        node.context.machine_names.intern("vm-1"), 1, 1, 1, node.context.zone_names.intern("b")
    )
    job.key_versions[0] = 0
    writer.shard.adopt(job)
    value = records.ShardValue(0, own.ownership.owned[1].epoch)
    assert not state.apply({key: own.ownership.owned[1].token}, [put_change(key, value)])
    assert not curio.run(writer.flush)
    assert writer.ownership_lost
    assert not job.placements
    event = api.Event(state.revision, key, msgspec.Raw(msgspec.json.encode(value)))
    curio.run(own.handle_event, event)
    assert curio.run(writer.flush)
    assert list(job.placements) == [0]


def test_only_an_owner_with_a_valid_lease_sends_desired_state() -> None:
    """The first desired state to reach a new owner of machines came from a former owner of a job
    shard. It named a task that the successor had seen stopped and reaped, so that the task was
    started once more."""
    clock = Clock()
    node = Controller(make_context(clock))
    node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, clock.at
    node.membership.owners[0] = ShardOwner(0, 5, 77)
    node.machines[0] = MachineShard(node.context, 0, 5, 77, 0.0)
    jobs = JobShard(node.context, 0, 5, 77)
    jobs.loaded = True
    node.writers[0] = RecordWriter(node.context, node.state, jobs)
    clock.at += node.context.tuning.state_lease_s
    curio.run(node.reconcile)
    assert not node.membership.lease_is_valid()
    assert not node.machines[0].received_seqs
    node.membership.lease.renewed_at = clock.at
    curio.run(node.reconcile)
    assert node.machines[0].received_seqs == {0: (5, 1)}

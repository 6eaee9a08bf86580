"""Invalid or extreme input from outside is refused or handled, and stops no other work."""

import contextlib
import random
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from starlingdeck.api import submission
from starlingdeck.autoscaling.fleet import FleetState
from starlingdeck.autoscaling.rentals import FleetSnapshot, plan_rentals
from starlingdeck.controller.controller import Controller
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.records import JobRecord
from starlingdeck.storage.state import put_change
from starlingdeck.transport.client import Reply
from starlingdeck.transport.server import Request
from tests.support.builders import Clock, job_body, make_context, spec
from tests.support.reference_model import (
    FakeStateClient,
    FakeStateService,
    FakeWorker,
    ReferenceModel,
)

MAX_VALUE_BYTES, MAX_TXN_BYTES = 16 * 1024, 64 * 1024
GOOD = "j-000001"


class StrictClient(FakeStateClient):
    """Checks that every transaction keeps to the state service's limits."""

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        body = api.Transaction([api.Condition(k, v) for k, v in conditions.items()], changes)
        assert len(msgspec.json.encode(body)) <= MAX_TXN_BYTES
        assert len(changes) <= 12
        for change in changes:
            key = change.put or change.delete or ""
            assert 0 < len(key.encode()) <= 200
            assert not any(c.isspace() for c in key)
            assert len(msgspec.json.encode(change.value)) <= MAX_VALUE_BYTES
        return await super().transact(conditions, changes, urgent)


class WorkerModel(ReferenceModel):
    """A reference model with only what FakeWorker calls."""

    def __init__(self) -> None:
        self.finished = set()

    def on_task_launched(self, name: str) -> None:
        pass

    def on_task_started(self, worker: FakeWorker, name: str) -> None:
        pass


class SingleControllerCluster:
    """One controller with a state service and three machines. `start` also restarts it."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.state = FakeStateService(random.Random(1))
        self.client = StrictClient(self.state, 0.0)
        self.workers = {
            f"w-{i}:1": FakeWorker(f"vm-{i}", "a", WorkerModel(), slots=400) for i in range(3)
        }

    async def start(self) -> None:
        self.node = node = Controller(make_context(self.clock, zones=("a",)))
        node.state = node.job_api.services.state = node.membership.ownership.state = self.client  # type: ignore
        node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, self.clock.at
        found = self.state.keys.get(records.shard_key(0), (b"", 0))[1]
        node.membership.ownership.takeover_versions[0] = self.state.keys.get(
            records.takeover_key(0), (b"", 0)
        )[1]
        await node.membership.ownership.acquire(0, found, 0.0)

        async def call(
            address: str, method: str, path: str, body: bytes | None, timeout_s: float
        ) -> Reply:
            orders = msgspec.json.decode(body or b"", type=api.Commands)
            status, report = self.workers[address].handle_commands(orders)
            return Reply(status, self.encode_report(address, report), None)

        node.http.call = call  # type: ignore[method-assign]
        for _ in range(3):
            await curio.sleep(0)  # let the shard load
        await node.reconcile()  # heartbeats wait for the first desired state

    def encode_report(self, address: str, report: api.Report) -> bytes:
        return msgspec.json.encode(msgspec.structs.replace(report, addr=address, type="big"))

    async def ask(self, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
        reply = await self.node.serve(Request(method, path, body))
        return reply.status, msgspec.json.decode(reply.body)

    async def submit(self, **fields: Any) -> int:
        return (await self.ask("POST", api.JOBS, msgspec.json.encode(job_body(**fields))))[0]

    async def check_serves(self) -> None:
        """A valid job is accepted, runs and completes."""
        assert await self.submit(uid=GOOD, chores=2) == 201
        await self.run_rounds(40)
        assert (await self.ask("GET", f"{api.JOBS}/{GOOD}"))[1]["status"] == api.DONE

    async def check_started(self) -> None:
        """The valid job is done, or its only task is on a machine, maybe still fetching."""
        live = [t for w in self.workers.values() if (t := w.tasks.get(f"{GOOD}/0")) is not None]
        status = (await self.ask("GET", f"{api.JOBS}/{GOOD}"))[1]["status"]
        assert status == api.DONE or any(task.state != "exited" for task in live)

    async def run_rounds(self, times: int) -> None:
        """Run every loop of the controller and the work of the machines, `times` times."""
        node = self.node
        for _ in range(times):
            self.clock.at += 0.3
            node.membership.lease.renewed_at = self.clock.at
            for address, worker in self.workers.items():
                worker.expire(self.clock.at)
                sent_at, session = self.clock.at, worker.session
                status, reply = await self.ask(
                    "POST", api.REPORT, self.encode_report(address, worker.report())
                )
                assert status == 200, reply
                worker.handle_reply(msgspec.convert(reply, api.ReportReply), session, sent_at)
                worker.progress(self.state.rng)
            await node.planner.run_cycle()
            for _ in range(3):
                await curio.sleep(0)
            for writer in node.writers.values():
                while await writer.flush():
                    pass
            await node.reconcile()
            await curio.sleep(0)
            gossip = pb.Gossip.FromString(node.build_gossip().SerializeToString())
            await node.gossip.apply(0, gossip)
            demands = node.planner.demand.recent()
            candidates = node.candidates.candidates()
            fleet = FleetSnapshot(candidates)
            plan_rentals(node.context, FleetState(), demands, fleet, self.clock.at)


NUMBERS = st.sampled_from(
    [0, 0.0, -0.0, 5e-324, 1e-320, 1e-7, 1e-6, 0.5, 1, 2.5, 4, 1e9, 1.1e9, 1e300, -1, 1 << 70]
)
TEXTS = st.one_of(
    st.text(max_size=8),
    st.sampled_from(["a", "b", "small", "red", "blue", "img\n", "x" * 120, "é" * 120, "x" * 6000]),
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        **dict.fromkeys(("cores", "accelerators", "ram_gb", "image_gb"), NUMBERS),
        **dict.fromkeys(("guess_s", "mark_s", "stash_s", "due_s"), st.none() | NUMBERS),
        **dict.fromkeys(("kit", "flock", "crew", "roost"), st.none() | TEXTS),
        "chores": st.sampled_from([0, 1, 3, 40, 256, 300, 100_000, 100_001]),
        "builds": st.none() | st.lists(TEXTS, max_size=3) | st.just(["small"] * 70),
        "rank": st.sampled_from(["prod", "urgent", "idle", "top"]),
        "shape": st.sampled_from(["sweep", "daemon"]),
        **dict.fromkeys(("spread", "same_place", "loaners"), st.booleans()),
    },
)


@settings(derandomize=True, max_examples=60, deadline=None)
@example([{"cores": 1e-320}, {"cores": 0, "ram_gb": 0}])
@example([{"kit": "x" * 120, "chores": 256, "cores": 0.1, "ram_gb": 0.1, "builds": ["big"] * 60}])
@given(st.lists(FIELDS, min_size=1, max_size=4))
def test_accepted_jobs_are_handled_by_every_loop(bodies: list[dict[str, Any]]) -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        await cluster.run_rounds(1)
        statuses = [
            await cluster.submit(uid=f"j-{n + 100}", **fields) for n, fields in enumerate(bodies)
        ]
        assert set(statuses) <= {201, 400, 422}
        assert await cluster.submit(uid=GOOD, rank="prod", chores=1) == 201
        await cluster.run_rounds(12)
        await cluster.start()
        await cluster.run_rounds(12)
        assert not cluster.node.context.quarantine.entries
        await cluster.check_started()
        for n, status in enumerate(statuses):
            code, job_status = await cluster.ask("GET", f"{api.JOBS}/j-{n + 100}")
            assert code == (200 if status == 201 else 404)
            assert "fault" not in job_status

    curio.run(drive)


@pytest.mark.parametrize(
    "fields",
    [
        {"cores": 1e-320},
        {"cores": 0.0, "ram_gb": 0.0},
        {"chores": 256, "cores": 0.001, "ram_gb": 0.001, "kit": "x" * 9000},
        {"chores": 256, "cores": 0.001, "ram_gb": 0.001, "kit": "x" * 17000},
        {"guess_s": 1e308, "image_gb": 1e308, "due_s": 1e308},
    ],
)
def test_a_record_older_than_the_bounds_stops_nothing_else(fields: dict[str, Any]) -> None:
    """A stored job that today's validation would refuse is at worst quarantined.

    One such job stopped rentals, planning, or all writes of its shard at every controller, and
    again after each restart. The user of a quarantined job is told so.
    """

    async def drive() -> None:
        cluster = SingleControllerCluster()
        record = JobRecord(spec("j-7", **fields), cluster.clock.wall_ms())
        assert not cluster.state.apply({}, [put_change(records.job_key(0, "j-7"), record)])
        await cluster.start()
        await cluster.run_rounds(2)
        await cluster.check_serves()
        status, job_status = await cluster.ask("GET", f"{api.JOBS}/j-7")
        assert status == 200
        assert ("fault" in job_status) == bool(cluster.node.context.quarantine.reason("job", "j-7"))
        # The same submission is not refused when repeated, since the job was accepted before.
        assert await cluster.submit(uid="j-7", **fields) == 200

    curio.run(drive)


def test_an_unreadable_record_stops_nothing_else() -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        for key in (records.job_key(0, "j-7"), records.chunk_key(0, "j-8", 1)):
            assert not cluster.state.apply({}, [put_change(key, {"spec": 7, "tries": 7})])
        assert not cluster.state.apply(
            {}, [put_change(records.job_key(0, "j-8"), JobRecord(spec("j-8", chores=300), 0))]
        )
        await cluster.start()
        await cluster.check_serves()
        assert (await cluster.ask("GET", f"{api.JOBS}/j-7"))[0] == 503
        # With an unreadable chunk it is unknown which tasks of the job run, so none is started.
        assert all("j-8/" not in name for w in cluster.workers.values() for name in w.completed)
        found = {name for _, name in cluster.node.context.quarantine.entries}
        assert found == {records.job_key(0, "j-7"), records.chunk_key(0, "j-8", 1), "j-7"}

    curio.run(drive)


REPORTS = st.fixed_dictionaries(
    {
        "host": st.sampled_from(["vm-0", "vm-9", "vm 9", "", "x" * 300, "vm/9", "vm-é"]),
        "endpoint": st.sampled_from(["w-0:1", "", "nowhere", "a:b:c", "w-0:99999999"]),
        "build": st.sampled_from(["big", "none", "\x00"]),
        "roost": st.sampled_from(["a", "z", ""]),
        "tenure": st.sampled_from([0, 1, 2, 1 << 63, 1 << 64, -1]),
        "tally": st.sampled_from([1, 5, 1 << 63, 1 << 70]),
        "baton": st.sampled_from([0, 1, (1 << 64) - 1, -5]),
        "warning_s": st.sampled_from([None, -1e300, 0.0, 1e300]),
        "chores": st.lists(
            st.fixed_dictionaries(
                {
                    "chore": st.sampled_from(
                        ["j-000001/0", "j-1/²", "j-1/-1", "j-1/131072", "j-1", "x/1", "j-1/9999999"]
                    ),
                    "try": st.sampled_from([0, 1, (1 << 32) - 1, 1 << 32, -1]),
                    "status": st.sampled_from(["running", "exited", "fetching", "odd"]),
                    "cause": st.sampled_from([None, "done", "error", "odd"]),
                }
            ),
            max_size=3,
        ),
    }
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(REPORTS, min_size=1, max_size=5))
def test_any_heartbeats_are_handled_by_every_loop(reports: list[dict[str, Any]]) -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        await cluster.run_rounds(2)
        for report in reports:
            status, _ = await cluster.ask("POST", api.REPORT, msgspec.json.encode(report))
            assert status in (200, 400, 421, 503)  # 503: a stale one of a first session
        cluster.clock.at += 30.0
        cluster.node.membership.lease.renewed_at = cluster.clock.at
        assert await cluster.submit(uid="j-000002", chores=1) == 201
        await cluster.run_rounds(20)
        assert not cluster.node.context.quarantine.entries
        assert (await cluster.ask("GET", f"{api.JOBS}/j-000002"))[1]["status"] != api.QUEUED

    curio.run(drive)


def test_a_loop_that_fails_on_one_machine_handles_the_others() -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        await cluster.run_rounds(2)
        machines = cluster.node.machines[0]
        bad = machines.machines[cluster.node.context.machine_names.intern("vm-1")]
        bad.type = None  # type: ignore[assignment]
        machines.mark_changed(bad.index)
        await cluster.check_serves()
        assert list(cluster.node.context.quarantine.entries) == [("machine", "vm-1")]

    curio.run(drive)


@pytest.mark.parametrize(
    "message",
    [
        pb.Envelope(snapshot=pb.Snapshot(shard=9, epoch=1, seq=1, full=True)),
        pb.Envelope(
            desired_state=pb.DesiredState(to_epoch=1, full=True, tasks=[pb.DesiredTask(job=3)])
        ),
        pb.Envelope(gossip=pb.Gossip(ownerships=[pb.Ownership(shard=7, node=9, token=1 << 60)])),
        pb.Envelope(gossip=pb.Gossip(quota_needs=[pb.QuotaNeed(team=99, shard=9, cpus=1e308)])),
        pb.Envelope(gossip=pb.Gossip(demands=[pb.Demand(cpus=float("inf"), count=1)])),
        pb.Envelope(gossip=pb.Gossip(demands=[pb.Demand(cpus=float("nan"), count=0)])),
        pb.Envelope(gossip=pb.Gossip(team_jobs=[pb.TeamJob(team=99, cpus=float("nan"))])),
    ],
)
def test_no_message_of_a_peer_stops_the_controller(message: pb.Envelope) -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        if message.HasField("desired_state"):
            message.desired_state.to_epoch = cluster.node.machines[0].epoch
        with contextlib.suppress(LookupError, ValueError):  # `Peers.serve` closes the link
            await cluster.node.on_message(message)
        await cluster.check_serves()

    curio.run(drive)


@pytest.mark.parametrize(
    "kind",
    [
        api.MachineType("odd", 1e-320, 16.0, ["a"]),
        api.MachineType("odd", -4.0, 16.0, ["a"]),
        api.MachineType("odd", 0.0, 0.0, ["a"]),
        api.MachineType("odd", 4.0, 1e300, ["a"]),
        api.MachineType("odd", 4.0, 16.0, ["a"], fetch_gb_per_s=-1.0),
    ],
)
def test_an_invalid_machine_type_is_quarantined(kind: api.MachineType) -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        before = dict(cluster.node.context.machine_types)
        cluster.node.context.update_machine_types([kind])
        assert cluster.node.context.machine_types == before
        assert list(cluster.node.context.quarantine.entries) == [("machine type", "odd")]
        await cluster.check_serves()

    curio.run(drive)


@pytest.mark.parametrize(
    "event",
    [
        api.Event(9, "c/s/99", msgspec.Raw(b'{"node":0,"gen":1}')),
        api.Event(9, "c/s/0", msgspec.Raw(b'{"node":"x"}')),
        api.Event(9, "c/n/zero", msgspec.Raw(b"{}")),
        api.Event(9, "c/i/99/j-1", msgspec.Raw(b"1")),
        api.Event(9, "c/i/x/j-1", msgspec.Raw(b"1")),
        api.Event(9, "c/q/99", msgspec.Raw(b"[[1,2]]")),
        api.Event(9, "c/q/0", msgspec.Raw(b"[]")),
        api.Event(9, "c/r/1-0-0", msgspec.Raw(b'{"text":1,"parts":1,"piece":"?"}')),
        api.Event(9, delete="c/s/99"),
    ],
)
def test_no_value_of_a_cluster_key_stops_the_controller(event: api.Event) -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        await cluster.node.membership.handle_event(event)
        await cluster.check_serves()

    curio.run(drive)


def test_invalid_bodies_are_refused_with_the_field_and_its_bound() -> None:
    for change, names in (
        ({"uid": "j-1\n"}, "uid"),
        ({"kit": "x" * 121}, "kit.*120"),
        ({"kit": "a\x07"}, "kit"),
        ({"flock": "x" * 121}, "flock"),
        ({"builds": ["small"] * 65}, "builds.*64"),
        ({"cores": 1e-320}, "cores.*0.000001"),
        ({"cores": 0, "ram_gb": 0}, "cores.*over 0"),
        ({"guess_s": 1e10}, "guess_s.*1000000000"),
        ({"due_s": 1e300}, "due_s"),
    ):
        with pytest.raises(api.ValidationError, match=names):
            api.decode_job(msgspec.json.encode(job_body(**change)))
    wide = spec(builds=["é" * 120] * 60)
    assert "of 4000 allowed" in submission.oversize_reason(make_context(Clock()), wide)

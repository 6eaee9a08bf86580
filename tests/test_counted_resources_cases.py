"""Counted resources: difficult cases one at a time, and the operators' HTTP requests."""

from pathlib import Path
from typing import Any, cast

import curio
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cli import main
from starlingdeck.counts.plugin import CountedResourcePlugin
from starlingdeck.counts.unit_preemption import UnitUse, choose_victims
from starlingdeck.counts.waiting_queue import Waiter
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import ConfigError, CountSettings, DeclaredCount, load_tuning
from starlingdeck.storage import records
from starlingdeck.storage.state import OutcomeUnknownError, StateError
from tests.support import fuzz_targets
from tests.support.builders import job_body, spec
from tests.support.counted_resources import CountedResourceState, deliver_changes
from tests.support.reference_model import FakeStateClient, run_without_waiting
from tests.test_counted_resources import LedgerStateMachine
from tests.test_resource_bounds import SingleControllerCluster

ROOT = Path(__file__).resolve().parents[1]
CORPUS = ROOT / "tests" / "corpus" / "counts"


class SingleShardHarness(LedgerStateMachine):
    """Shard 0 and its ledgers, driven step by step."""

    def __init__(self, ceiling: int, **fields: Any) -> None:
        super().__init__()
        self.state.set("engine", ceiling, 3, **fields)
        self.deliver(0)

    @property
    def plugin(self) -> CountedResourcePlugin:
        return self.plugins[0]

    @property
    def shard(self) -> JobShard:
        return self.writers[0][1].shard

    def job(self, units: int = 1, tasks: int = 1, **fields: Any) -> Job:
        """Submit one more job; `fields` replace those of its spec."""
        self.submit(0, tasks, units, 0)
        job = list(self.shard.jobs.values())[-1]
        job.spec = msgspec.structs.replace(job.spec, **fields)
        job.submitted_ms = self.clock.wall_ms()
        return job

    def start(self, job: Job, task: int = 0) -> None:
        placement = TaskPlacement(
            self.contexts[0].machine_names.intern("vm-1"),
            1,
            job.attempts[task] + 1,
            0,
            self.contexts[0].zone_names.intern("a"),
            state_since=self.clock.at,
        )
        job.pending_starts[task] = placement
        self.shard.dirty_jobs.add(job.index)

    def headroom(self, *jobs: Job) -> list[int]:
        """Run a cycle in which each job, in this order, uses its headroom; return the headrooms."""
        run_without_waiting(self.plugin.begin_cycle(jobs))
        found = []
        for job in jobs:
            tasks = min(self.plugin.headroom(job), len(job.pending(9)))
            self.plugin.on_requested(job, tasks)
            found.append(tasks)
        return found

    def flush(self) -> None:
        run_without_waiting(self.writers[0][1].flush())

    def finish(self, job: Job, task: int = 0) -> None:
        self.shard.end_attempt(job, task, job.placements[task], api.CAUSE_DONE, "exit done")

    def total(self) -> int:
        return self.state.ledger("engine").total


def jobs_waiting_for_idle_unit(harness: SingleShardHarness) -> tuple[Job, Job]:
    """Return two waiting jobs; one unit is allocated to their shard and not in use."""
    first, second, third = (harness.job() for _ in range(3))
    harness.start(first)
    harness.flush()
    harness.headroom(second, third)
    harness.finish(first)
    harness.flush()
    assert harness.total() == 1
    assert not harness.shard.resource_use[0]
    return second, third


def test_a_late_start_within_the_units_of_its_shard_fails_after_another_start() -> None:
    """Neither start changes the ledger, and the late one's job record and token stay as they are.

    Its conditions would all hold unless the ledger is rewritten after the unknown outcome.
    """
    harness = SingleShardHarness(1)
    second, third = jobs_waiting_for_idle_unit(harness)
    harness.start(second)
    harness.clients[0].failure_rate = 2.0  # the write is applied later and never answered
    with pytest.raises(OutcomeUnknownError):
        harness.flush()
    harness.clients[0].failure_rate = 0.0
    second.pending_starts.clear()
    harness.start(third)
    harness.flush()
    assert third.placements
    assert len(harness.state.delayed_transactions) == 1
    assert harness.state.apply(*harness.state.delayed_transactions.pop())


def test_a_start_recorded_without_an_answer_is_reread_before_the_next_start() -> None:
    harness = SingleShardHarness(1)
    second, third = jobs_waiting_for_idle_unit(harness)
    harness.start(second)
    harness.clients[0].failure_rate = 2.0
    with pytest.raises(OutcomeUnknownError):
        harness.flush()
    harness.clients[0].failure_rate = 0.0
    (late,) = harness.state.delayed_transactions
    second.pending_starts.clear()
    harness.start(third)
    reread = harness.plugin.store.reread

    async def apply_late_write_first(name: str) -> None:
        assert not harness.state.apply(*late)
        harness.plugin.store.reread = reread  # type: ignore[method-assign]  # intercepts one call
        await reread(name)

    harness.plugin.store.reread = apply_late_write_first  # type: ignore[method-assign]  # intercepts one call
    harness.flush()
    reloaded = harness.shard.jobs[second.index]
    assert reloaded.placements
    assert not third.placements
    assert third.withheld


def test_a_late_release_takes_no_unit_from_a_task() -> None:
    harness = SingleShardHarness(1)
    second, _ = jobs_waiting_for_idle_unit(harness)
    harness.release()
    harness.clock.at += 1.0
    harness.clients[0].failure_rate = 2.0
    with pytest.raises(OutcomeUnknownError):
        run_without_waiting(harness.plugin.releaser.release(harness.writers[0][1]))
    harness.clients[0].failure_rate = 0.0
    harness.start(second)
    harness.flush()
    assert second.placements
    assert harness.state.apply(*harness.state.delayed_transactions.pop())


def test_a_unit_moves_from_task_to_task_without_a_change_of_its_ledger() -> None:
    """The end and the next start are written as for tasks without resource needs."""
    harness = SingleShardHarness(1)
    first, second = harness.job(), harness.job()
    harness.start(first)
    harness.flush()
    version = harness.state.keys[records.count_key("engine")][1]
    harness.headroom(second)
    harness.finish(first)
    harness.start(second)
    harness.flush()
    assert second.placements
    assert harness.state.keys[records.count_key("engine")][1] == version


def test_units_of_several_resources_are_allocated_together_or_not_at_all() -> None:
    harness = SingleShardHarness(1)
    harness.state.set("seat", 0, 3)
    harness.deliver(0)
    harness.submit(0, 1, 1, 1)
    (job,) = harness.shard.jobs.values()
    assert harness.headroom(job) == [0]
    harness.start(job)
    harness.flush()
    assert not job.placements
    assert harness.total() == 0
    assert job.withheld
    harness.clock.at += 2.0
    harness.flush()
    assert not job.pending_starts
    assert job.retry_at[0] > harness.clock.at
    reasons = [w.reason for w in harness.plugin.wait_reasons(job)]
    assert reasons == ["1 of seat needed, its ceiling is 0"]


def test_small_tasks_do_not_starve_a_task_of_many_units() -> None:
    harness = SingleShardHarness(3)
    running, large = harness.job(), harness.job(units=3)
    harness.start(running)
    harness.flush()
    small = [harness.job() for _ in range(3)]
    assert harness.headroom(large, *small) == [0, 0, 0, 0]
    harness.clock.at += harness.plugin.settings.reserve_s + 1
    assert harness.headroom(large, *small) == [0, 1, 1, 0]  # no reservation in this period
    harness.clock.at += harness.plugin.settings.reserve_s
    assert harness.headroom(large, *small) == [0, 0, 0, 0]
    harness.finish(running)
    assert harness.headroom(large, *small) == [1, 0, 0, 0]


def test_a_free_unit_is_deferred_to_higher_work_elsewhere_for_a_limited_time() -> None:
    harness = SingleShardHarness(1)
    job = harness.job()
    gossip = pb.Gossip()
    gossip.resource_waiters.add(
        resource="engine", shard=1, job="j-9", rank=3, submitted_ms=harness.clock.wall_ms(), units=1
    )
    harness.plugin.receive_gossip(1, gossip)
    assert harness.headroom(job) == [0]
    harness.clock.at += 0.5
    assert harness.headroom(job) == [0]
    harness.clock.at += 0.6
    assert harness.headroom(job) == [1]
    harness.clock.at += 3.0  # outdated gossip defers nothing
    assert harness.headroom(job) == [1]


def test_a_unit_that_higher_work_elsewhere_waits_for_is_released_at_once() -> None:
    harness = SingleShardHarness(1)
    second, third = jobs_waiting_for_idle_unit(harness)
    gossip = pb.Gossip()
    gossip.resource_waiters.add(resource="engine", shard=1, job="j-9", rank=3, units=1)
    harness.plugin.receive_gossip(1, gossip)
    harness.headroom(second, third)
    harness.headroom(second, third)
    run_without_waiting(harness.plugin.releaser.release(harness.writers[0][1]))
    assert harness.total() == 0


def test_a_lowered_ceiling_preempts_nothing_unless_requested() -> None:
    harness = SingleShardHarness(3)
    low, old, young = harness.job(priority="idle"), harness.job(), harness.job()
    for job in (low, old, young):
        harness.clock.at += 1.0
        harness.start(job)
        harness.flush()
    waiting = harness.job()
    harness.state.set("engine", 1, 3)
    harness.deliver(0)
    harness.plugin.preemption.preempt()
    harness.clock.at += 1.0
    harness.plugin.preemption.preempt()
    assert not any(job.placements[0].releasing for job in (low, old, young))
    harness.finish(low)
    assert harness.headroom(waiting) == [0]
    harness.start(waiting)
    harness.flush()
    assert not waiting.placements
    assert harness.total() == 2
    harness.state.set("engine", 1, 3, preempt_excess=True)
    harness.deliver(0)
    harness.plugin.preemption.preempt()
    harness.clock.at += 1.0
    harness.plugin.preemption.preempt()
    assert (old.placements[0].releasing, young.placements[0].releasing) == (False, True)
    message = harness.shard.desired_state_message(0, 1, True)
    assert [item.stop for item in message.tasks] == [
        item.job == next(i for i, j in enumerate(message.jobs) if j.id == young.id)
        for item in message.tasks
    ]


def test_both_sides_of_a_partition_preempt_no_more_than_the_excess() -> None:
    harness = SingleShardHarness(3)
    here = [harness.job() for _ in range(2)]
    for job in here:
        harness.start(job)
        harness.flush()
    harness.submit(1, 1, 1, 0)
    harness.deliver(1)
    (there,) = harness.writers[1][1].shard.jobs.values()
    there.pending_starts[0] = TaskPlacement(0, 1, 1, 0, harness.contexts[1].zone_names.intern("a"))
    harness.contexts[1].machine_names.intern("vm-1")
    harness.writers[1][1].shard.dirty_jobs.add(there.index)
    harness.write(0.0)
    assert harness.total() == 3
    harness.state.set("engine", 1, 3, preempt_excess=True)
    for node in (0, 1):
        harness.deliver(node)
        harness.plugins[node].preemption.preempt()
    harness.clock.at += 1.0
    for node in (0, 1):
        harness.plugins[node].preemption.preempt()
    assert sum(job.placements[0].releasing for job in here) == 1
    assert not there.placements[0].releasing


def snapshot_with(seen: bool, proof: str, harness: SingleShardHarness) -> pb.Snapshot:
    """A snapshot of the machine of the first task's attempt 1, with or without proof of its end."""
    sent = harness.shard.outboxes[0].seq
    found = pb.Snapshot(shard=0, epoch=1, seq=1, valid=proof != "not valid", full=True)
    found.acks.add(
        shard=0, token=harness.shard.base_token, seq=sent if proof != "list on its way" else 0
    )
    if proof == "gone":
        found.lost_machines.append("vm-1")
        return found
    machine = found.machines.add(id="vm-1", type="small", zone="a", session=1, fenced=True)
    machine.session = 2 if proof == "newer session" else 1
    machine.lost = proof in ("lease over", "not valid")
    machine.fenced = proof != "start on its way"
    if seen:
        state = api.TASK_EXITED if proof in ("exit", "halted") else api.TASK_RUNNING
        error = {"exit": api.CAUSE_DONE, "halted": api.CAUSE_STOPPED}.get(proof, api.CAUSE_NONE)
        machine.tasks.add(job="j-1", task=0, attempt=1, state=state, cause=error)
    return found


@pytest.mark.parametrize(
    ("seen", "proof", "frees"),
    [
        (True, "exit", True),
        (True, "halted", True),
        (False, "gone", True),
        (False, "newer session", True),
        (True, "lease over", True),
        (False, "not started", True),
        (True, "running", False),
        (True, "not valid", False),
        (False, "list on its way", False),
        (False, "start on its way", False),
    ],
)
def test_a_unit_is_released_once_and_only_by_proof(seen: bool, proof: str, frees: bool) -> None:
    harness = SingleShardHarness(1)
    job = harness.job()
    harness.start(job)
    harness.flush()
    harness.shard.desired_state_message(0, 1, True)
    snapshot = ShardSnapshot(harness.contexts[0], 0, 1)
    snapshot.apply(snapshot_with(seen, proof, harness))
    for _ in range(2):
        harness.shard.apply_snapshot(snapshot, None)
        harness.flush()
        harness.clock.at += 1.0
        run_without_waiting(harness.plugin.releaser.release(harness.writers[0][1]))
    assert harness.total() == (0 if frees else 1)
    assert harness.shard.resource_use[0] == harness.total()
    assert bool(job.placements) is not frees


def test_higher_work_preempts_lower_work_for_a_unit_only_where_enabled() -> None:
    for preempt in (False, True):
        harness = SingleShardHarness(1, preempt=preempt)
        low, high = harness.job(), harness.job(priority="prod")
        harness.start(low)
        harness.flush()
        for _ in range(3):
            harness.headroom(high)
            harness.clock.at += 1.0
            harness.plugin.preemption.preempt()
        assert low.placements[0].releasing is preempt


USES = st.lists(
    st.builds(
        UnitUse,
        st.integers(0, 2),
        st.just("j-1"),
        st.integers(0, 9),
        st.integers(0, 1),
        st.booleans(),
        st.integers(0, 3),
        st.integers(0, 9),
        st.integers(1, 3),
        st.booleans(),
    ),
    max_size=8,
    unique_by=lambda u: u.task,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(USES, st.integers(-1, 8))
def test_no_more_is_preempted_than_is_needed(uses: list[UnitUse], excess: int) -> None:
    chosen = choose_victims(uses, excess)
    freed = [u.units for u in chosen]
    assert sum(freed) >= min(excess, sum(u.units for u in uses))
    assert not chosen or sum(freed[:-1]) < excess
    newly_chosen = [u for u in chosen if not u.releasing]
    remaining = [u for u in uses if u not in chosen and not u.releasing]
    assert all(u.rank <= k.rank for u in newly_chosen for k in remaining)
    waiter = Waiter(0, "j-2", 0, False, 2, 0, excess)
    assert all(u.releasing or u.rank < 2 for u in choose_victims(uses, excess, waiter))


class CountedResourceCluster(SingleControllerCluster):
    """A whole controller with counted resources."""

    def __init__(self) -> None:
        super().__init__()
        self.state = CountedResourceState(self.state.rng)
        self.client = type(self.client)(self.state, 0.0)
        self.settings = CountSettings({"engine": DeclaredCount(2)})

    async def start(self) -> None:
        await super().start()
        node = self.node
        self.plugin = CountedResourcePlugin(
            node.context, node.state, node.membership, node.writers, self.settings
        )
        node.register_plugin(self.plugin)
        for writer in node.writers.values():
            writer.durable_plugin = self.plugin
        deliver_changes(self.plugin, self.state)
        await self.plugin.declaration.declare()

    async def run_rounds(self, times: int) -> None:
        for _ in range(times):
            await super().run_rounds(1)
            deliver_changes(self.plugin, self.state)
            for writer in self.node.writers.values():
                await self.plugin.releaser.release(writer)

    async def post(self, name: str, **fields: Any) -> tuple[int, Any]:
        return await self.ask("POST", f"{api.COUNTS}/{name}", msgspec.json.encode(fields))

    def live_tasks(self) -> int:
        return sum(t.state != "exited" for w in self.workers.values() for t in w.tasks.values())


def test_a_controller_withholds_tasks_and_a_restart_loses_no_unit() -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        await cluster.run_rounds(1)
        assert await cluster.submit(uid="j-1", chores=9, counts={"engine": 1}) == 201
        max_live = 0
        for number in range(120):
            if number in (9, 20):
                await cluster.start()
            await cluster.run_rounds(1)
            max_live = max(max_live, cluster.live_tasks())
        assert max_live == 2
        assert (await cluster.ask("GET", f"{api.JOBS}/j-1"))[1]["status"] == api.DONE
        assert cast(CountedResourceState, cluster.state).ledger("engine").total == 0
        assert not any(
            cluster.plugin.store.is_uncertain(0, c) for c in cluster.plugin.store.ledgers
        )

    curio.run(drive)


@pytest.mark.parametrize(
    ("counts", "status", "named"),
    [
        ({"engine": 1}, 201, ""),
        ({"engine": 0, "other": 0}, 201, ""),
        (None, 201, ""),
        ({"engine": 3}, 422, "counts.engine"),
        ({"other": 1}, 422, "counts.other"),
        ({"engine": -1}, 400, "counts.engine"),
        ({"engine": 1.5}, 400, "counts"),
        ({"engine": "1"}, 400, "counts"),
        ({"a/b": 1}, 400, "counts"),
        ({f"c{i}": 1 for i in range(17)}, 400, "counts"),
        (["engine"], 400, "counts"),
    ],
)
def test_a_rejected_submission_names_its_field(counts: Any, status: int, named: str) -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        body = msgspec.json.encode(job_body("j-7", counts=counts))
        code, reply = await cluster.ask("POST", api.JOBS, body)
        assert code == status
        assert named in reply.get("error", "")

    curio.run(drive)


def test_each_replica_of_a_daemon_has_its_own_units() -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        body = {"shape": "daemon", "guess_s": 0.0, "chores": 3, "counts": {"engine": 1}}
        assert await cluster.submit(uid="j-1", **body) == 201
        await cluster.run_rounds(12)
        assert (
            cluster.live_tasks()
            == 2
            == cast(CountedResourceState, cluster.state).ledger("engine").total
        )
        assert (await cluster.ask("POST", f"{api.JOBS}/j-1/{api.CANCEL}"))[0] == 200
        await cluster.run_rounds(20)
        assert (
            cluster.live_tasks()
            == 0
            == cast(CountedResourceState, cluster.state).ledger("engine").total
        )

    curio.run(drive)


def test_unknown_resource_names_are_not_interned() -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        known = len(cluster.node.context.resource_names.names)
        for i in range(30):
            assert await cluster.submit(uid=f"j-{i}", counts={f"made-up-{i}": 1}) == 422
        assert len(cluster.node.context.resource_names.names) == known

    curio.run(drive)


def test_without_the_counts_section_jobs_with_resource_needs_are_rejected_or_wait() -> None:
    async def drive() -> None:
        cluster = SingleControllerCluster()
        await cluster.start()
        await cluster.run_rounds(1)
        assert await cluster.submit(counts={"engine": 1}) == 422
        assert await cluster.submit(counts={}) == 201
        # A job that was accepted while counted resources were enabled waits now.
        job = new_job(cluster.node.context, spec("j-2", counts={"engine": 1}), 0, 0)
        assert cluster.node.admission.headroom(job) == 0
        assert cluster.node.admission.wait_reasons(job)
        writer = cluster.node.writers[0]
        job.key_versions[0] = 0
        job.pending_starts[0] = TaskPlacement(0, 1, 1, 0, 0)
        writer.shard.jobs[job.index] = job
        writer.shard.dirty_jobs.add(job.index)
        assert not await writer.flush()
        assert not job.placements
        assert job.withheld

    curio.run(drive)


def test_a_change_on_an_outdated_revision_is_rejected() -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        assert (await cluster.post("engine", ceiling=5, rev=1, by="ana"))[0] == 200
        assert (await cluster.post("engine", ceiling=1, rev=1, by="bor"))[0] == 409
        assert (await cluster.post("seat", ceiling=4, rev=0))[0] == 201
        assert (await cluster.post("seat", ceiling=-4, rev=1))[0] == 400
        _, reply = await cluster.ask("GET", api.COUNTS)
        assert {c["name"]: c["ceiling"] for c in reply["counts"]} == {"engine": 5, "seat": 4}
        _, reply = await cluster.ask("GET", f"{api.COUNTS}/engine/history")
        assert [(c["ceiling"], c.get("by")) for c in reply["changes"]] == [
            (2, "declared"),
            (5, "ana"),
        ]
        assert (await cluster.ask("GET", f"{api.COUNTS}/nothing"))[0] == 404
        assert (await cluster.ask("DELETE", f"{api.COUNTS}/engine"))[0] == 405
        cluster.client.cut = True
        assert (await cluster.post("engine", ceiling=3, rev=2))[0] == 503

    curio.run(drive)


def test_jobs_that_wait_for_a_removed_resource_keep_waiting_and_show_it() -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        await cluster.post("engine", ceiling=0, rev=1)  # closed: expected to be opened again
        assert await cluster.submit(uid="j-1", chores=1, counts={"engine": 1}) == 201
        await cluster.post("engine", ceiling=0, rev=2, removed=True)
        assert await cluster.submit(uid="j-2", chores=1, counts={"engine": 1}) == 422
        await cluster.run_rounds(20)
        _, answer = await cluster.ask("GET", f"{api.JOBS}/j-1")
        assert answer["status"] == api.QUEUED
        assert answer["waits"] == ["count engine was removed"]
        await cluster.post("engine", ceiling=1, rev=3)
        await cluster.run_rounds(40)
        assert (await cluster.ask("GET", f"{api.JOBS}/j-1"))[1]["status"] == api.DONE

    curio.run(drive)


def test_the_stored_ledger_has_precedence_over_the_declaration(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def drive() -> None:
        cluster = CountedResourceCluster()
        await cluster.start()
        cluster.settings = CountSettings({"engine": DeclaredCount(7)})
        with caplog.at_level("INFO"):
            await cluster.start()
        assert (
            cluster.plugin.store.ledgers[
                cluster.node.context.resource_names.intern("engine")
            ].ceiling
            == 2
        )
        assert "declared_ceiling=7" in caplog.text

    curio.run(drive)


def test_every_error_of_the_tuning_file_is_reported(tmp_path: Path) -> None:
    assert load_tuning(ROOT / "deploy" / "counts.toml").counts is not None
    bad = tmp_path / "bad.toml"
    bad.write_text(
        "[counts]\npatience_s = 0\nodd = 1\n[counts.declare.a]\nceiling = -1\n"
        '[counts.declare."b c"]\npreempt = 3\n'
    )
    with pytest.raises(ConfigError) as error:
        load_tuning(bad)
    report = "\n".join(error.value.lines)
    for name in ("patience_s", "odd", "a.ceiling", "b c.ceiling: missing", "b c.preempt", "b c:"):
        assert name in report, (name, report)
    result = CliRunner().invoke(main, ["counts", "list", "--server", "127.0.0.1:1"])
    assert result.exit_code == 1


EXPECTED_OUTCOMES = {
    "gossip": "gossip 1 1",
    "job": "job [0, 1]",
    "job-null": "job []",
    "ledger": "ledger",
    "ledger-over": "ledger",
    "set": "set",
}


@pytest.mark.parametrize("path", sorted(CORPUS.iterdir()), ids=lambda path: path.name)
def test_invalid_data_is_rejected(path: Path) -> None:
    """Decodes the corpus of scripts/fuzz_counts.py without the fuzzer."""
    outcome = fuzz_targets.decode(path.read_bytes())
    assert outcome == EXPECTED_OUTCOMES.get(path.name, outcome)
    assert path.name in EXPECTED_OUTCOMES or outcome.endswith(("Error", "FieldFault"))


def test_an_unreachable_state_service_changes_nothing() -> None:
    cluster = SingleShardHarness(1)
    job = cluster.job()
    cluster.start(job)
    assert isinstance(cluster.clients[0], FakeStateClient)
    cluster.clients[0].cut = True
    with pytest.raises(StateError):
        cluster.flush()
    assert not job.placements
    assert cluster.total() == 0
    assert not cluster.plugin.store.uncertain_writes

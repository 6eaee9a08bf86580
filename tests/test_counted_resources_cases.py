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
from tests.support.counted_resources import CountedState, deliver_changes
from tests.support.reference_model import FakeStateClient, run_without_waiting
from tests.test_counted_resources import LedgerStateMachine
from tests.test_resource_bounds import SingleControllerCluster

ROOT = Path(__file__).resolve().parents[1]
CORPUS = ROOT / "tests" / "corpus" / "counts"


class SingleShard(LedgerStateMachine):
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
            self.worlds[0].machine_names.intern("vm-1"),
            1,
            job.attempts[task] + 1,
            0,
            self.worlds[0].zone_names.intern("a"),
            state_since=self.clock.at,
        )
        job.pending_starts[task] = placement
        self.shard.dirty_jobs.add(job.index)

    def headroom(self, *jobs: Job) -> list[int]:
        """Run a cycle: the headroom of each job, in this order, which it then uses."""
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


def idle_unit(site: SingleShard) -> tuple[Job, Job]:
    """Two jobs that wait, and a unit that is allocated to their shard and not in use."""
    first, second, third = (site.job() for _ in range(3))
    site.start(first)
    site.flush()
    site.headroom(second, third)
    site.finish(first)
    site.flush()
    assert site.total() == 1
    assert not site.shard.resource_use[0]
    return second, third


def test_a_late_start_within_the_units_of_its_shard_fails_after_another_start() -> None:
    """It leaves the ledger as it is: only the job's own record, the token and the ledger's version
    could show that another task had started, and all three were as before."""
    site = SingleShard(1)
    second, third = idle_unit(site)
    site.start(second)
    site.clients[0].failure_rate = 2.0  # applied later, answered never
    with pytest.raises(OutcomeUnknownError):
        site.flush()
    site.clients[0].failure_rate = 0.0
    second.pending_starts.clear()
    site.start(third)
    site.flush()
    assert third.placements
    assert len(site.state.delayed_transactions) == 1
    assert site.state.apply(*site.state.delayed_transactions.pop())


def test_a_start_recorded_without_an_answer_is_read_before_the_next() -> None:
    site = SingleShard(1)
    second, third = idle_unit(site)
    site.start(second)
    site.clients[0].failure_rate = 2.0
    with pytest.raises(OutcomeUnknownError):
        site.flush()
    site.clients[0].failure_rate = 0.0
    (late,) = site.state.delayed_transactions
    second.pending_starts.clear()
    site.start(third)
    reread = site.plugin.store.reread

    async def applied_first(name: str) -> None:
        assert not site.state.apply(*late)
        site.plugin.store.reread = reread  # type: ignore[method-assign]  # the test is in between
        await reread(name)

    site.plugin.store.reread = applied_first  # type: ignore[method-assign]  # the test is in between
    site.flush()
    again = site.shard.jobs[second.index]
    assert again.placements
    assert not third.placements
    assert third.withheld


def test_a_late_release_takes_no_unit_from_a_task() -> None:
    site = SingleShard(1)
    second, _ = idle_unit(site)
    site.release()
    site.clock.at += 1.0
    site.clients[0].failure_rate = 2.0
    with pytest.raises(OutcomeUnknownError):
        run_without_waiting(site.plugin.releaser.release(site.writers[0][1]))
    site.clients[0].failure_rate = 0.0
    site.start(second)
    site.flush()
    assert second.placements
    assert site.state.apply(*site.state.delayed_transactions.pop())


def test_a_unit_moves_from_task_to_task_without_a_change_of_its_ledger() -> None:
    """The end and the next start are written as they would be without the resource."""
    site = SingleShard(1)
    first, second = site.job(), site.job()
    site.start(first)
    site.flush()
    at = site.state.keys[records.count_key("engine")][1]
    site.headroom(second)
    site.finish(first)
    site.start(second)
    site.flush()
    assert second.placements
    assert site.state.keys[records.count_key("engine")][1] == at


def test_units_of_several_resources_are_allocated_together_or_not_at_all() -> None:
    site = SingleShard(1)
    site.state.set("seat", 0, 3)
    site.deliver(0)
    site.submit(0, 1, 1, 1)
    (job,) = site.shard.jobs.values()
    assert site.headroom(job) == [0]
    site.start(job)
    site.flush()
    assert not job.placements
    assert site.total() == 0
    assert job.withheld
    site.clock.at += 2.0
    site.flush()
    assert not job.pending_starts
    assert job.retry_at[0] > site.clock.at
    whys = [w.reason for w in site.plugin.wait_reasons(job)]
    assert whys == ["1 of seat needed, its ceiling is 0"]


def test_small_tasks_do_not_starve_a_task_of_many_units() -> None:
    site = SingleShard(3)
    running, large = site.job(), site.job(units=3)
    site.start(running)
    site.flush()
    small = [site.job() for _ in range(3)]
    assert site.headroom(large, *small) == [0, 0, 0, 0]
    site.clock.at += site.plugin.settings.reserve_s + 1
    assert site.headroom(large, *small) == [0, 1, 1, 0]  # their turn
    site.clock.at += site.plugin.settings.reserve_s
    assert site.headroom(large, *small) == [0, 0, 0, 0]
    site.finish(running)
    assert site.headroom(large, *small) == [1, 0, 0, 0]


def test_a_free_unit_is_deferred_to_higher_work_elsewhere_for_a_limited_time() -> None:
    site = SingleShard(1)
    job = site.job()
    gossip = pb.Gossip()
    gossip.resource_waiters.add(
        resource="engine", shard=1, job="j-9", rank=3, submitted_ms=site.clock.wall_ms(), units=1
    )
    site.plugin.receive_gossip(1, gossip)
    assert site.headroom(job) == [0]
    site.clock.at += 0.5
    assert site.headroom(job) == [0]
    site.clock.at += 0.6
    assert site.headroom(job) == [1]
    site.clock.at += 3.0  # gossip that is too old defers nothing
    assert site.headroom(job) == [1]


def test_a_unit_that_higher_work_elsewhere_waits_for_is_released_at_once() -> None:
    site = SingleShard(1)
    second, third = idle_unit(site)
    gossip = pb.Gossip()
    gossip.resource_waiters.add(resource="engine", shard=1, job="j-9", rank=3, units=1)
    site.plugin.receive_gossip(1, gossip)
    site.headroom(second, third)
    site.headroom(second, third)
    run_without_waiting(site.plugin.releaser.release(site.writers[0][1]))
    assert site.total() == 0


def test_a_lowered_ceiling_preempts_nothing_unless_requested() -> None:
    site = SingleShard(3)
    low, old, young = site.job(priority="idle"), site.job(), site.job()
    for job in (low, old, young):
        site.clock.at += 1.0
        site.start(job)
        site.flush()
    waiting = site.job()
    site.state.set("engine", 1, 3)
    site.deliver(0)
    site.plugin.preemption.preempt()
    site.clock.at += 1.0
    site.plugin.preemption.preempt()
    assert not any(job.placements[0].releasing for job in (low, old, young))
    site.finish(low)
    assert site.headroom(waiting) == [0]
    site.start(waiting)
    site.flush()
    assert not waiting.placements
    assert site.total() == 2
    site.state.set("engine", 1, 3, preempt_excess=True)
    site.deliver(0)
    site.plugin.preemption.preempt()
    site.clock.at += 1.0
    site.plugin.preemption.preempt()
    assert (old.placements[0].releasing, young.placements[0].releasing) == (False, True)
    message = site.shard.desired_state_message(0, 1, True)
    assert [item.stop for item in message.tasks] == [
        item.job == next(i for i, j in enumerate(message.jobs) if j.id == young.id)
        for item in message.tasks
    ]


def test_both_sides_of_a_partition_preempt_no_more_than_the_excess() -> None:
    site = SingleShard(3)
    here = [site.job() for _ in range(2)]
    for job in here:
        site.start(job)
        site.flush()
    site.submit(1, 1, 1, 0)
    site.deliver(1)
    (there,) = site.writers[1][1].shard.jobs.values()
    there.pending_starts[0] = TaskPlacement(0, 1, 1, 0, site.worlds[1].zone_names.intern("a"))
    site.worlds[1].machine_names.intern("vm-1")
    site.writers[1][1].shard.dirty_jobs.add(there.index)
    site.write(0.0)
    assert site.total() == 3
    site.state.set("engine", 1, 3, preempt_excess=True)
    for node in (0, 1):
        site.deliver(node)
        site.plugins[node].preemption.preempt()
    site.clock.at += 1.0
    for node in (0, 1):
        site.plugins[node].preemption.preempt()
    assert sum(job.placements[0].releasing for job in here) == 1
    assert not there.placements[0].releasing


def snapshot_with(seen: bool, proof: str, site: SingleShard) -> pb.Snapshot:
    """A snapshot of the machine of the first task's attempt 1, with or without proof of its end."""
    sent = site.shard.outboxes[0].seq
    found = pb.Snapshot(shard=0, epoch=1, seq=1, valid=proof != "not valid", full=True)
    found.acks.add(
        shard=0, token=site.shard.base_token, seq=sent if proof != "list on its way" else 0
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
    site = SingleShard(1)
    job = site.job()
    site.start(job)
    site.flush()
    site.shard.desired_state_message(0, 1, True)
    snapshot = ShardSnapshot(site.worlds[0], 0, 1)
    snapshot.apply(snapshot_with(seen, proof, site))
    for _ in range(2):
        site.shard.apply_snapshot(snapshot, None)
        site.flush()
        site.clock.at += 1.0
        run_without_waiting(site.plugin.releaser.release(site.writers[0][1]))
    assert site.total() == (0 if frees else 1)
    assert site.shard.resource_use[0] == site.total()
    assert bool(job.placements) is not frees


def test_higher_work_preempts_lower_work_for_a_unit_only_where_enabled() -> None:
    for preempt in (False, True):
        site = SingleShard(1, preempt=preempt)
        low, high = site.job(), site.job(priority="prod")
        site.start(low)
        site.flush()
        for _ in range(3):
            site.headroom(high)
            site.clock.at += 1.0
            site.plugin.preemption.preempt()
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
    fresh = [u for u in chosen if not u.releasing]
    remaining = [u for u in uses if u not in chosen and not u.releasing]
    assert all(u.rank <= k.rank for u in fresh for k in remaining)
    new = Waiter(0, "j-2", 0, False, 2, 0, excess)
    assert all(u.releasing or u.rank < 2 for u in choose_victims(uses, excess, new))


class CountedSite(SingleControllerCluster):
    """A whole controller with counted resources."""

    def __init__(self) -> None:
        super().__init__()
        self.state = CountedState(self.state.rng)
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

    def live(self) -> int:
        return sum(t.state != "exited" for w in self.workers.values() for t in w.tasks.values())


def test_a_controller_withholds_tasks_and_a_restart_loses_no_unit() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        await site.run_rounds(1)
        assert await site.submit(uid="j-1", chores=9, counts={"engine": 1}) == 201
        limit = 0
        for turn in range(120):
            if turn in (9, 20):
                await site.start()
            await site.run_rounds(1)
            limit = max(limit, site.live())
        assert limit == 2
        assert (await site.ask("GET", f"{api.JOBS}/j-1"))[1]["status"] == api.DONE
        assert cast(CountedState, site.state).ledger("engine").total == 0
        assert not any(site.plugin.store.is_uncertain(0, c) for c in site.plugin.store.ledgers)

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
        site = CountedSite()
        await site.start()
        body = msgspec.json.encode(job_body("j-7", counts=counts))
        code, reply = await site.ask("POST", api.JOBS, body)
        assert code == status
        assert named in reply.get("error", "")

    curio.run(drive)


def test_each_replica_of_a_daemon_has_its_own_units() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        body = {"shape": "daemon", "guess_s": 0.0, "chores": 3, "counts": {"engine": 1}}
        assert await site.submit(uid="j-1", **body) == 201
        await site.run_rounds(12)
        assert site.live() == 2 == cast(CountedState, site.state).ledger("engine").total
        assert (await site.ask("POST", f"{api.JOBS}/j-1/{api.CANCEL}"))[0] == 200
        await site.run_rounds(20)
        assert site.live() == 0 == cast(CountedState, site.state).ledger("engine").total

    curio.run(drive)


def test_unknown_resource_names_are_not_interned() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        known = len(site.node.context.resource_names.names)
        for i in range(30):
            assert await site.submit(uid=f"j-{i}", counts={f"made-up-{i}": 1}) == 422
        assert len(site.node.context.resource_names.names) == known

    curio.run(drive)


def test_without_the_section_no_resource_is_known() -> None:
    async def drive() -> None:
        site = SingleControllerCluster()
        await site.start()
        await site.run_rounds(1)
        assert await site.submit(counts={"engine": 1}) == 422
        assert await site.submit(counts={}) == 201
        # Accepted while counted resources were enabled, it waits now.
        job = new_job(site.node.context, spec("j-2", counts={"engine": 1}), 0, 0)
        assert site.node.admission.headroom(job) == 0
        assert site.node.admission.wait_reasons(job)
        writer = site.node.writers[0]
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
        site = CountedSite()
        await site.start()
        assert (await site.post("engine", ceiling=5, rev=1, by="ana"))[0] == 200
        assert (await site.post("engine", ceiling=1, rev=1, by="bor"))[0] == 409
        assert (await site.post("seat", ceiling=4, rev=0))[0] == 201
        assert (await site.post("seat", ceiling=-4, rev=1))[0] == 400
        _, reply = await site.ask("GET", api.COUNTS)
        assert {c["name"]: c["ceiling"] for c in reply["counts"]} == {"engine": 5, "seat": 4}
        _, reply = await site.ask("GET", f"{api.COUNTS}/engine/history")
        assert [(c["ceiling"], c.get("by")) for c in reply["changes"]] == [
            (2, "declared"),
            (5, "ana"),
        ]
        assert (await site.ask("GET", f"{api.COUNTS}/nothing"))[0] == 404
        assert (await site.ask("DELETE", f"{api.COUNTS}/engine"))[0] == 405
        site.client.cut = True
        assert (await site.post("engine", ceiling=3, rev=2))[0] == 503

    curio.run(drive)


def test_jobs_that_wait_for_a_removed_resource_keep_waiting_and_show_it() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        await site.post("engine", ceiling=0, rev=1)  # closed: to be opened again
        assert await site.submit(uid="j-1", chores=1, counts={"engine": 1}) == 201
        await site.post("engine", ceiling=0, rev=2, removed=True)
        assert await site.submit(uid="j-2", chores=1, counts={"engine": 1}) == 422
        await site.run_rounds(20)
        _, answer = await site.ask("GET", f"{api.JOBS}/j-1")
        assert answer["status"] == api.QUEUED
        assert answer["waits"] == ["count engine was removed"]
        await site.post("engine", ceiling=1, rev=3)
        await site.run_rounds(40)
        assert (await site.ask("GET", f"{api.JOBS}/j-1"))[1]["status"] == api.DONE

    curio.run(drive)


def test_the_stored_ledger_has_precedence_over_the_declaration(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        site.settings = CountSettings({"engine": DeclaredCount(7)})
        with caplog.at_level("INFO"):
            await site.start()
        assert (
            site.plugin.store.ledgers[site.node.context.resource_names.intern("engine")].ceiling
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
    """The fuzzer's corpus, without the fuzzer: scripts/fuzz_counts.py."""
    outcome = fuzz_targets.decode(path.read_bytes())
    assert outcome == EXPECTED_OUTCOMES.get(path.name, outcome)
    assert path.name in EXPECTED_OUTCOMES or outcome.endswith(("Error", "FieldFault"))


def test_an_unreachable_state_service_changes_nothing() -> None:
    site = SingleShard(1)
    job = site.job()
    site.start(job)
    assert isinstance(site.clients[0], FakeStateClient)
    site.clients[0].cut = True
    with pytest.raises(StateError):
        site.flush()
    assert not job.placements
    assert site.total() == 0
    assert not site.plugin.store.uncertain_writes

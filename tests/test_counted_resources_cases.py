"""Counts, one hard case at a time; and what operators see and do."""

from pathlib import Path
from typing import Any, cast

import curio
import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cli import main
from starlingdeck.counts import ledger
from starlingdeck.counts.ledger import UnitUse, Waiter
from starlingdeck.counts.plugin import CountedResourcePlugin
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
from tests.support.counted_resources import CountedState, watch
from tests.support.reference_model import PlainClient, at_once
from tests.test_counted_resources import Books
from tests.test_resource_bounds import SingleControllerCluster

ROOT = Path(__file__).resolve().parents[1]
CORPUS = ROOT / "tests" / "corpus" / "counts"


class Desk(Books):
    """One shard's books, played by hand."""

    def __init__(self, ceiling: int, **fields: Any) -> None:
        super().__init__()
        self.state.set("engine", ceiling, 3, **fields)
        self.hear(0)

    @property
    def gate(self) -> CountedResourcePlugin:
        return self.gates[0]

    @property
    def shard(self) -> JobShard:
        return self.writers[0][1].shard

    def job(self, units: int = 1, tasks: int = 1, **fields: Any) -> Job:
        """One more job; `fields` are as its spec would have them."""
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

    def room(self, *jobs: Job) -> list[int]:
        """What a plan allows each, in this order, and takes."""
        at_once(self.gate.begin_cycle(jobs))
        found = []
        for job in jobs:
            room = min(self.gate.headroom(job), len(job.pending(9)))
            self.gate.on_requested(job, room)
            found.append(room)
        return found

    def flush(self) -> None:
        at_once(self.writers[0][1].flush())

    def finish(self, job: Job, task: int = 0) -> None:
        self.shard._end_attempt(job, task, job.placements[task], api.W_DONE, "exit done")

    def total(self) -> int:
        return self.state.ledger("engine").total


def idle_unit(desk: Desk) -> tuple[Job, Job]:
    """Two jobs that wait, and a unit that their shard holds and does not use."""
    first, second, third = (desk.job() for _ in range(3))
    desk.start(first)
    desk.flush()
    desk.room(second, third)
    desk.finish(first)
    desk.flush()
    assert desk.total() == 1 and not desk.shard.resource_use[0]
    return second, third


def test_a_late_start_within_what_its_shard_holds_finds_the_unit_gone() -> None:
    """It leaves the ledger as it is, so that of another start only the job's own record, the
    token and the ledger's stamp could tell; all three were as before."""
    desk = Desk(1)
    second, third = idle_unit(desk)
    desk.start(second)
    desk.clients[0].trouble = 2.0  # applied later, answered never
    with pytest.raises(OutcomeUnknownError):
        desk.flush()
    desk.clients[0].trouble = 0.0
    second.pending_starts.clear()
    desk.start(third)
    desk.flush()
    assert third.placements
    assert len(desk.state.late) == 1 and desk.state.apply(*desk.state.late.pop())


def test_a_start_that_was_recorded_unheard_is_seen_before_the_next() -> None:
    desk = Desk(1)
    second, third = idle_unit(desk)
    desk.start(second)
    desk.clients[0].trouble = 2.0
    with pytest.raises(OutcomeUnknownError):
        desk.flush()
    desk.clients[0].trouble = 0.0
    (late,) = desk.state.late
    second.pending_starts.clear()
    desk.start(third)
    reread = desk.gate.reread

    async def applied_first(name: str) -> None:
        assert not desk.state.apply(*late)
        desk.gate.reread = reread  # type: ignore[method-assign]
        await reread(name)

    desk.gate.reread = applied_first  # type: ignore[method-assign]
    desk.flush()
    again = desk.shard.jobs[second.index]
    assert again.placements and not third.placements and third.withheld


def test_a_late_release_takes_no_unit_from_a_task() -> None:
    desk = Desk(1)
    second, _ = idle_unit(desk)
    desk.release()
    desk.clock.at += 1.0
    desk.clients[0].trouble = 2.0
    with pytest.raises(OutcomeUnknownError):
        at_once(desk.gate.release(desk.writers[0][1]))
    desk.clients[0].trouble = 0.0
    desk.start(second)
    desk.flush()
    assert second.placements and desk.state.apply(*desk.state.late.pop())


def test_a_unit_passes_from_task_to_task_at_no_change_of_its_own() -> None:
    """The end and the next start are written as they would be without a count."""
    desk = Desk(1)
    first, second = desk.job(), desk.job()
    desk.start(first)
    desk.flush()
    at = desk.state.keys[records.count_key("engine")][1]
    desk.room(second)
    desk.finish(first)
    desk.start(second)
    desk.flush()
    assert second.placements and desk.state.keys[records.count_key("engine")][1] == at


def test_units_of_several_counts_are_taken_together_or_not_at_all() -> None:
    desk = Desk(1)
    desk.state.set("seat", 0, 3)
    desk.hear(0)
    desk.submit(0, 1, 1, 1)
    (job,) = desk.shard.jobs.values()
    assert desk.room(job) == [0]
    desk.start(job)
    desk.flush()
    assert not job.placements and desk.total() == 0 and job.withheld
    desk.clock.at += 2.0
    desk.flush()
    assert not job.pending_starts and job.retry_at[0] > desk.clock.at
    whys = [w.reason for w in desk.gate.wait_reasons(job)]
    assert whys == ["1 of seat needed, its ceiling is 0"]


def test_small_ones_do_not_pass_a_task_of_many_units_for_ever() -> None:
    desk = Desk(3)
    running, large = desk.job(), desk.job(units=3)
    desk.start(running)
    desk.flush()
    small = [desk.job() for _ in range(3)]
    assert desk.room(large, *small) == [0, 0, 0, 0]
    desk.clock.at += desk.gate.settings.reserve_s + 1
    assert desk.room(large, *small) == [0, 1, 1, 0]  # their turn
    desk.clock.at += desk.gate.settings.reserve_s
    assert desk.room(large, *small) == [0, 0, 0, 0]
    desk.finish(running)
    assert desk.room(large, *small) == [1, 0, 0, 0]


def test_a_free_unit_is_left_to_better_work_elsewhere_for_a_while() -> None:
    desk = Desk(1)
    job = desk.job()
    rival = pb.Gossip()
    rival.resource_waiters.add(
        resource="engine", shard=1, job="j-9", rank=3, submitted_ms=desk.clock.wall_ms(), units=1
    )
    desk.gate.receive_gossip(1, rival)
    assert desk.room(job) == [0]
    desk.clock.at += 0.5
    assert desk.room(job) == [0]
    desk.clock.at += 0.6
    assert desk.room(job) == [1]
    desk.clock.at += 3.0  # a peer not heard of for long holds up nobody
    assert desk.room(job) == [1]


def test_a_unit_that_better_work_waits_for_elsewhere_is_given_back_at_once() -> None:
    desk = Desk(1)
    second, third = idle_unit(desk)
    rival = pb.Gossip()
    rival.resource_waiters.add(resource="engine", shard=1, job="j-9", rank=3, units=1)
    desk.gate.receive_gossip(1, rival)
    desk.room(second, third)
    desk.room(second, third)
    at_once(desk.gate.release(desk.writers[0][1]))
    assert desk.total() == 0


def test_a_lowered_ceiling_stops_nothing_unless_it_is_set_so() -> None:
    desk = Desk(3)
    low, old, young = desk.job(priority="idle"), desk.job(), desk.job()
    for job in (low, old, young):
        desk.clock.at += 1.0
        desk.start(job)
        desk.flush()
    waiting = desk.job()
    desk.state.set("engine", 1, 3)
    desk.hear(0)
    desk.gate.stop_some()
    desk.clock.at += 1.0
    desk.gate.stop_some()
    assert not any(job.placements[0].releasing for job in (low, old, young))
    desk.finish(low)
    assert desk.room(waiting) == [0]
    desk.start(waiting)
    desk.flush()
    assert not waiting.placements and desk.total() == 2
    desk.state.set("engine", 1, 3, stop=True)
    desk.hear(0)
    desk.gate.stop_some()
    desk.clock.at += 1.0
    desk.gate.stop_some()
    assert (old.placements[0].releasing, young.placements[0].releasing) == (False, True)
    message = desk.shard.desired_state_message(0, 1, True)
    assert [item.stop for item in message.tasks] == [
        item.job == next(i for i, j in enumerate(message.jobs) if j.id == young.id)
        for item in message.tasks
    ]


def test_both_sides_of_a_cut_stop_no_more_than_is_over() -> None:
    desk = Desk(3)
    here = [desk.job() for _ in range(2)]
    for job in here:
        desk.start(job)
        desk.flush()
    desk.submit(1, 1, 1, 0)
    desk.hear(1)
    (there,) = desk.writers[1][1].shard.jobs.values()
    there.pending_starts[0] = TaskPlacement(0, 1, 1, 0, desk.worlds[1].zone_names.intern("a"))
    desk.worlds[1].machine_names.intern("vm-1")
    desk.writers[1][1].shard.dirty_jobs.add(there.index)
    desk.write(0.0)
    assert desk.total() == 3
    desk.state.set("engine", 1, 3, stop=True)
    for node in (0, 1):
        desk.hear(node)
        desk.gates[node].stop_some()
    desk.clock.at += 1.0
    for node in (0, 1):
        desk.gates[node].stop_some()
    assert (
        sum(job.placements[0].releasing for job in here) == 1 and not there.placements[0].releasing
    )


def view(seen: bool, proof: str, desk: Desk) -> pb.Snapshot:
    """How the machine of attempt 1 of the first task is shown, with or without a proof."""
    sent = desk.shard.outboxes[0].seq
    found = pb.Snapshot(shard=0, epoch=1, seq=1, valid=proof != "not valid", full=True)
    found.acks.add(
        shard=0, token=desk.shard.base_token, seq=sent if proof != "list on its way" else 0
    )
    if proof == "gone":
        found.lost_machines.append("vm-1")
        return found
    machine = found.machines.add(id="vm-1", type="small", zone="a", session=1, fenced=True)
    machine.session = 2 if proof == "newer session" else 1
    machine.lost = proof in ("lease over", "not valid")
    machine.fenced = proof != "start on its way"
    if seen:
        state = api.EXITED if proof in ("exit", "halted") else api.ON
        error = {"exit": api.W_DONE, "halted": api.W_STOPPED}.get(proof, api.W_NONE)
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
def test_a_unit_comes_back_once_and_only_by_proof(seen: bool, proof: str, frees: bool) -> None:
    desk = Desk(1)
    job = desk.job()
    desk.start(job)
    desk.flush()
    desk.shard.desired_state_message(0, 1, True)
    snapshot = ShardSnapshot(desk.worlds[0], 0, 1)
    snapshot.apply(view(seen, proof, desk))
    for _ in range(2):
        desk.shard.apply_snapshot(snapshot, None)
        desk.flush()
        desk.clock.at += 1.0
        at_once(desk.gate.release(desk.writers[0][1]))
    assert desk.total() == (0 if frees else 1) and desk.shard.resource_use[0] == desk.total()
    assert bool(job.placements) is not frees


def test_higher_work_stops_lower_work_for_a_unit_only_where_it_is_switched_on() -> None:
    for preempt in (False, True):
        desk = Desk(1, preempt=preempt)
        low, high = desk.job(), desk.job(priority="prod")
        desk.start(low)
        desk.flush()
        for _ in range(3):
            desk.room(high)
            desk.clock.at += 1.0
            desk.gate.stop_some()
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
def test_no_more_is_stopped_than_is_needed(uses: list[UnitUse], excess: int) -> None:
    chosen = ledger.victims(uses, excess)
    freed = [u.units for u in chosen]
    assert sum(freed) >= min(excess, sum(u.units for u in uses))
    assert not chosen or sum(freed[:-1]) < excess
    fresh = [u for u in chosen if not u.yields]
    kept = [u for u in uses if u not in chosen and not u.yields]
    assert all(u.rank <= k.rank for u in fresh for k in kept)
    new = Waiter(0, "j-2", 0, False, 2, 0, excess)
    assert all(u.yields or u.rank < 2 for u in ledger.victims(uses, excess, new))


class CountedSite(SingleControllerCluster):
    """A whole controller that keeps counts."""

    def __init__(self) -> None:
        super().__init__()
        self.state = CountedState(self.state.rng)
        self.client = type(self.client)(self.state, 0.0)
        self.settings = CountSettings({"engine": DeclaredCount(2)})

    async def start(self) -> None:
        await super().start()
        node = self.node
        self.gate = CountedResourcePlugin(
            node.context, node.state, node.membership, node.writers, self.settings
        )
        node.register_plugin(self.gate)
        for writer in node.writers.values():
            writer.durable_plugin = self.gate
        watch(self.gate, self.state)
        await self.gate.declare()

    async def run_rounds(self, times: int) -> None:
        for _ in range(times):
            await super().run_rounds(1)
            watch(self.gate, self.state)
            for writer in self.node.writers.values():
                await self.gate.release(writer)

    async def post(self, name: str, **fields: Any) -> tuple[int, Any]:
        return await self.ask("POST", f"{api.COUNTS}/{name}", msgspec.json.encode(fields))

    def live(self) -> int:
        return sum(t.state != "exited" for w in self.workers.values() for t in w.tasks.values())


def test_a_controller_holds_tasks_back_and_a_restart_forgets_no_unit() -> None:
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
        assert not any(site.gate.is_uncertain(0, c) for c in site.gate.ledgers)

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
def test_the_door_names_the_field_that_it_refuses(counts: Any, status: int, named: str) -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        body = msgspec.json.encode(job_body("j-7", counts=counts))
        code, told = await site.ask("POST", api.JOBS, body)
        assert code == status and named in told.get("error", "")

    curio.run(drive)


def test_each_replica_of_a_daemon_holds_its_own_units() -> None:
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


def test_names_that_users_make_up_are_not_kept() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        known = len(site.node.context.resource_names.names)
        for i in range(30):
            assert await site.submit(uid=f"j-{i}", counts={f"made-up-{i}": 1}) == 422
        assert len(site.node.context.resource_names.names) == known

    curio.run(drive)


def test_without_the_section_no_count_is_known() -> None:
    async def drive() -> None:
        site = SingleControllerCluster()
        await site.start()
        await site.run_rounds(1)
        assert await site.submit(counts={"engine": 1}) == 422
        assert await site.submit(counts={}) == 201
        # Taken while counts were on, it waits now.
        job = new_job(site.node.context, spec("j-2", counts={"engine": 1}), 0, 0)
        assert site.node.admission.headroom(job) == 0 and site.node.admission.wait_reasons(job)
        writer = site.node.writers[0]
        job.key_versions[0] = 0
        job.pending_starts[0] = TaskPlacement(0, 1, 1, 0, 0)
        writer.shard.jobs[job.index] = job
        writer.shard.dirty_jobs.add(job.index)
        assert not await writer.flush() and not job.placements and job.withheld

    curio.run(drive)


def test_two_operators_do_not_overwrite_each_other_unseen() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        assert (await site.post("engine", ceiling=5, rev=1, by="ana"))[0] == 200
        assert (await site.post("engine", ceiling=1, rev=1, by="bor"))[0] == 409
        assert (await site.post("seat", ceiling=4, rev=0))[0] == 201
        assert (await site.post("seat", ceiling=-4, rev=1))[0] == 400
        _, told = await site.ask("GET", api.COUNTS)
        assert {c["name"]: c["ceiling"] for c in told["counts"]} == {"engine": 5, "seat": 4}
        _, told = await site.ask("GET", f"{api.COUNTS}/engine/history")
        assert [(c["ceiling"], c.get("by")) for c in told["changes"]] == [
            (2, "declared"),
            (5, "ana"),
        ]
        assert (await site.ask("GET", f"{api.COUNTS}/nothing"))[0] == 404
        assert (await site.ask("DELETE", f"{api.COUNTS}/engine"))[0] == 405
        site.client.cut = True
        assert (await site.post("engine", ceiling=3, rev=2))[0] == 503

    curio.run(drive)


def test_what_waits_for_a_removed_count_waits_on_and_says_so() -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        await site.post("engine", ceiling=0, rev=1)  # closed: to be opened again
        assert await site.submit(uid="j-1", chores=1, counts={"engine": 1}) == 201
        await site.post("engine", ceiling=0, rev=2, removed=True)
        assert await site.submit(uid="j-2", chores=1, counts={"engine": 1}) == 422
        await site.run_rounds(20)
        _, told = await site.ask("GET", f"{api.JOBS}/j-1")
        assert told["status"] == api.QUEUED and told["waits"] == ["count engine was removed"]
        await site.post("engine", ceiling=1, rev=3)
        await site.run_rounds(40)
        assert (await site.ask("GET", f"{api.JOBS}/j-1"))[1]["status"] == api.DONE

    curio.run(drive)


def test_what_is_durable_holds_over_another_file(caplog: pytest.LogCaptureFixture) -> None:
    async def drive() -> None:
        site = CountedSite()
        await site.start()
        site.settings = CountSettings({"engine": DeclaredCount(7)})
        with caplog.at_level("INFO"):
            await site.start()
        assert site.gate.ledgers[site.node.context.resource_names.intern("engine")].ceiling == 2
        assert "declared with ceiling 7" in caplog.text

    curio.run(drive)


def test_the_file_is_checked_and_every_fault_told(tmp_path: Path) -> None:
    assert load_tuning(ROOT / "deploy" / "counts.toml").counts is not None
    bad = tmp_path / "bad.toml"
    bad.write_text(
        "[counts]\npatience_s = 0\nodd = 1\n[counts.declare.a]\nceiling = -1\n"
        '[counts.declare."b c"]\npreempt = 3\n'
    )
    with pytest.raises(ConfigError) as error:
        load_tuning(bad)
    told = "\n".join(error.value.lines)
    for name in ("patience_s", "odd", "a.ceiling", "b c.ceiling: missing", "b c.preempt", "b c:"):
        assert name in told, (name, told)
    result = CliRunner().invoke(main, ["counts", "list", "--server", "127.0.0.1:1"])
    assert result.exit_code == 1


BELIEVED = {
    "hello": "hello 1 1",
    "job": "job [0, 1]",
    "job-null": "job []",
    "ledger": "ledger",
    "ledger-over": "ledger",
    "set": "set",
}


@pytest.mark.parametrize("path", sorted(CORPUS.iterdir()), ids=lambda path: path.name)
def test_what_can_not_be_is_not_believed(path: Path) -> None:
    """The fuzzer's corpus, without the fuzzer: scripts/fuzz_counts.py."""
    outcome = fuzz_targets.one(path.read_bytes())
    assert outcome == BELIEVED.get(path.name, outcome)
    assert path.name in BELIEVED or outcome.endswith(("Error", "FieldFault"))


def test_a_client_that_is_cut_changes_nothing() -> None:
    desk = Desk(1)
    job = desk.job()
    desk.start(job)
    assert isinstance(desk.clients[0], PlainClient)
    desk.clients[0].cut = True
    with pytest.raises(StateError):
        desk.flush()
    assert not job.placements and desk.total() == 0 and not desk.gate.uncertain_writes

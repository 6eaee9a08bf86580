"""Concurrent failures: the table of combinations is in docs/design/meetings.md."""

from collections.abc import Sequence
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.interning import task_key
from starlingdeck.jobs import job_shard
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.commands import MAX_UNANSWERED_COMMANDS
from starlingdeck.machines.machine import DesiredTask, PendingLaunch
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import OutcomeUnknownError, put_change
from tests.support.builders import job_of_shard, spec
from tests.support.failure_scenarios import (
    FAILURE_SCENARIOS,
    SCENARIO_CLUSTERS,
    job_fields,
    run_scenario,
    wait_for_terminal_states,
)
from tests.support.failures import FAILURE_KINDS, inject_failure
from tests.support.simulated_cluster import (
    CANCEL_S,
    SimulatedCluster,
    run_simulation,
)


async def run_spread_job(cluster: SimulatedCluster, shard: int, run_s: float) -> str:
    """Run a job of the shard on machines of all three shards."""
    await cluster.run(4.0)
    name = job_of_shard(shard)
    await cluster.spawn(cluster.submit, name, 12, run_s)
    await cluster.run(8.0)
    assert {shard_of_machine(w, "a", cluster.zones) for w, _ in cluster.live_tasks_of(name)} == {
        0,
        1,
        2,
    }
    return name


@pytest.mark.parametrize("gap_s", [0.2, 3.0, 8.0, 14.0])
@pytest.mark.parametrize(
    "variant", ["outage only", "jobs unreadable", "next owner crashed", "refusal ended"]
)
def test_cancelled_tasks_end_when_the_owner_and_then_all_lose_the_state_service(
    monkeypatch: pytest.MonkeyPatch, gap_s: float, variant: str
) -> None:
    """The state service refuses only a job shard's owner, another controller confirms a
    cancellation, and then the state service is down for all. Owners of machine shards used to renew
    workers' leases until a fixed time after the last renewal of their own lease, which may be long
    after the confirmation. Meanwhile the job shard's new owner was still loading the shard, or had
    crashed, so that the cancellation never reached the machines."""
    cluster = SimulatedCluster(int(gap_s * 10))

    async def drive() -> None:
        name = await run_spread_job(cluster, 0, 500.0)
        cluster.clients[0].cut = True
        for client in cluster.clients:
            if variant in ("jobs unreadable", "next owner crashed"):
                client.unreadable_prefixes.add("j/0/")
        await cluster.spawn(cluster.cancel, name, (1, 2))
        while name not in cluster.reported_terminal:
            await cluster.run(0.1)
        await cluster.run(gap_s)
        cluster.set_outage(True)
        if variant == "next owner crashed":
            cluster.crash(1, 6.0)
        await cluster.run(12.0)
        cluster.clients[0].cut = variant != "refusal ended"
        await cluster.run(CANCEL_S + 8.0)
        assert not cluster.live_tasks_of(name)
        cluster.set_outage(False)
        for client in cluster.clients:
            client.cut = False
            client.unreadable_prefixes.clear()
        await cluster.run(20.0)
        assert not cluster.live_tasks_of(name)

    run_simulation(monkeypatch, cluster, drive())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("scenario", FAILURE_SCENARIOS)
def test_failure_scenario(monkeypatch: pytest.MonkeyPatch, scenario: str, seed: int) -> None:
    cluster = SimulatedCluster(seed, **SCENARIO_CLUSTERS.get(scenario, {}))
    cluster.mixed_ranks = scenario.startswith("more work than capacity")
    run_simulation(monkeypatch, cluster, run_scenario(cluster, FAILURE_SCENARIOS[scenario]))


@pytest.mark.parametrize("blocked_s", [2.0, 16.0])
def test_long_tasks_outlive_their_owner_while_unreachable(
    monkeypatch: pytest.MonkeyPatch, blocked_s: float
) -> None:
    """If machines are reachable again within their lease, their tasks continue under the next owner
    and none is rerun. If they are not, the lease has expired and tasks are rerun."""
    cluster = SimulatedCluster(5)

    async def drive() -> None:
        name = await run_spread_job(cluster, 0, 60.0)
        for number in range(3):
            inject_failure(cluster, "worker links blocked", number)
        await cluster.run(0.3)
        cluster.crash(0, 30.0)
        await cluster.run(blocked_s)
        await wait_for_terminal_states(cluster, [name])
        rerun = [task for task, starts in cluster.start_counts.items() if starts > 1]
        assert bool(rerun) == (blocked_s > 10.0)

    run_simulation(monkeypatch, cluster, drive())


@pytest.mark.parametrize("sizes", [(2.0, 2.0, 2.0), (4.0, 2.0, 3.0)])
def test_the_remainders_of_a_limit_are_combined(
    monkeypatch: pytest.MonkeyPatch, sizes: tuple[float, ...]
) -> None:
    """Each shard's share of a limit had a remainder too small for any of its waiting tasks. No
    shard transferred its remainder, since it lacked quota itself, so all tasks waited while the
    team was under its limit."""
    limit = sum(sizes) + 2.0
    cluster = SimulatedCluster(13, limit=limit)

    async def drive() -> tuple[float, float]:
        await cluster.run(4.0)
        names = [job_of_shard(shard, n) for n in range(3) for shard in range(3)]
        for i, name in enumerate(names):
            fields = {"crew": "blue", "cores": sizes[i % 3]}
            await cluster.spawn(lambda n=name, f=fields: cluster.submit(n, 1, 500.0, **f))
        await cluster.run(60.0)
        return cluster.used, min(
            sizes[i % 3] for i, n in enumerate(names) if not cluster.live_tasks_of(n)
        )

    used, waiting = run_simulation(monkeypatch, cluster, drive())
    assert used + waiting > limit


def test_a_large_task_accumulates_quota_beside_small_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """When remainders of quota were transferred at once, a large task starved: as the tasks of its
    shard ended one by one, each remainder went to a shard where small tasks waited, for as long as
    more of them were submitted."""
    cluster = SimulatedCluster(14, limit=12.0, workers=18)

    one_core: dict[str, Any] = {"crew": "blue", "cores": 1.0}

    async def drive() -> float:
        await cluster.run(4.0)
        await cluster.spawn(lambda: cluster.submit(job_of_shard(2), 4, 500.0, **one_core))
        for i in range(4):  # of the large job's shard; they end at different times
            name, run_s = job_of_shard(0, i + 1), 12.0 * (i + 1)
            await cluster.spawn(lambda n=name, s=run_s: cluster.submit(n, 1, s, **one_core))
        await cluster.run(2.0)
        large, small = job_of_shard(0), job_of_shard(1)
        await cluster.spawn(lambda: cluster.submit(small, 200, 8.0, **one_core))
        await cluster.run(3.0)
        await cluster.spawn(lambda: cluster.submit(large, 1, 30.0, crew="blue", cores=4.0))
        began = cluster.clock.at
        while not cluster.live_tasks_of(large) and cluster.clock.at < began + 300.0:
            await cluster.run(1.0)
        return cluster.clock.at - began

    assert run_simulation(monkeypatch, cluster, drive()) < 90.0


def test_a_session_seen_in_a_command_answer_lasts_a_lease_while_heartbeats_are_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine's heartbeats were slow and are now lost. Just as its lease expires, it answers a
    direct stop command from its next session. The lease of that session was counted from the last
    heartbeat, before it began."""
    cluster = SimulatedCluster(12)

    async def drive() -> int:
        cluster.report_latency_s = 1.0
        await cluster.run(4.0)
        first, second = job_of_shard(0), job_of_shard(1)
        await cluster.spawn(cluster.submit, first, 12, 500.0)
        await cluster.run(6.0)
        await cluster.spawn(cluster.submit, second, 12, 500.0)
        await cluster.run(2.0)
        silent = [w for i, w in enumerate(cluster.workers.values()) if i % 2]
        for worker in silent:
            worker.heartbeats_lost = True
        while not any(worker.session > 1 for worker in silent):
            await cluster.run(0.1)
        await cluster.spawn(cluster.cancel, first, (0,))
        await cluster.run(1.0)
        for shard in range(3):  # capacity for the tasks that ended with a session
            cluster.boot_machine(shard)
        await cluster.run(30.0)
        return len(cluster.live_tasks_of(second))

    assert run_simulation(monkeypatch, cluster, drive()) == 12


CLUSTER_VARIANTS: list[dict[str, Any]] = [{}, {"limit": 8.0}, {"zones": ("a", "b", "a")}]
STEPS = st.tuples(
    st.sampled_from(FAILURE_KINDS), st.integers(0, 2), st.sampled_from([0.2, 1.0, 3.0, 8.0, 20.0])
)


async def run_random_failures(
    cluster: SimulatedCluster,
    steps: list[tuple[str, int, float]],
    fields_of_jobs: Sequence[dict[str, Any]] = (),
) -> None:
    """Run short and long jobs of two or three tasks under concurrent failures, cancel some, and
    check that every job stays known, and ends once the failures are over. `fields_of_jobs`, if
    given, are the nine jobs' placement fields."""
    names = [job_of_shard(shard, n) for n in range(3) for shard in range(3)]
    await cluster.run(4.0)
    for i, name in enumerate(names):
        tasks, run_s = 2 + i % 2, (5.0, 25.0, 60.0)[i // 3]
        fields = fields_of_jobs[i] if fields_of_jobs else job_fields(cluster, i)
        await cluster.spawn(lambda n=name, c=tasks, s=run_s, f=fields: cluster.submit(n, c, s, **f))
    await cluster.run(3.0)
    for i, (kind, number, seconds) in enumerate(steps):
        inject_failure(cluster, kind, number)
        if i % 2:
            job = names[(i * 4 + number) % len(names)]
            await cluster.spawn(cluster.cancel, job, (number, 0, 1, 2))
        for _ in range(max(1, int(seconds / 2))):
            await cluster.poll(names)
            await cluster.run(min(seconds, 2.0))
    await wait_for_terminal_states(cluster, names, 240.0)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    variant=st.sampled_from(CLUSTER_VARIANTS),
    steps=st.lists(STEPS, min_size=3, max_size=8),
)
def check_random_failures(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    variant: dict[str, Any],
    steps: list[tuple[str, int, float]],
) -> None:
    cluster = SimulatedCluster(seed, **variant)
    run_simulation(monkeypatch, cluster, run_random_failures(cluster, steps))


def test_no_invariant_is_violated_under_random_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    check_random_failures(monkeypatch)


PLACEMENT_FIELDS = st.fixed_dictionaries(
    {
        "roost": st.sampled_from([None, "a", "b"]),
        "same_place": st.booleans(),
        "spread": st.booleans(),
        "builds": st.sampled_from([None, ["small"], ["big"]]),
        "loaners": st.booleans(),
        "shape": st.just("sweep"),
        "mark_s": st.sampled_from([0.0, 10.0]),
        "stash_s": st.just(2.0),
    }
)


@settings(derandomize=True, max_examples=20, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    fields_of_jobs=st.lists(PLACEMENT_FIELDS, min_size=9, max_size=9),
    steps=st.lists(STEPS, min_size=3, max_size=8),
)
def check_placement_fields(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    fields_of_jobs: list[dict[str, Any]],
    steps: list[tuple[str, int, float]],
) -> None:
    cluster = SimulatedCluster(seed, workers=12, zones=("a", "b", "a"), mixed_machines=True)
    run_simulation(monkeypatch, cluster, run_random_failures(cluster, steps, fields_of_jobs))


def test_placement_fields_hold_together_under_random_failures(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Jobs with several placement fields at once: one field hid another, and tasks ran wrongly."""
    check_placement_fields(monkeypatch)


# --- single steps of the protocol


def test_a_mailbox_entry_is_not_deleted_by_a_former_owner(monkeypatch: pytest.MonkeyPatch) -> None:
    """A former owner that had hung during the failover handled a mailbox entry before the present
    owner did, and deleted it: the cancellation was confirmed, but unknown to the present owner."""
    cluster = SimulatedCluster(2)

    async def drive() -> bool:
        name = await run_spread_job(cluster, 0, 100.0)
        former = cluster.controllers[0]
        writer = former.writers[0]
        cluster.clients[0].cut = True
        await cluster.run(4.0)
        assert 0 in cluster.controllers[1].writers
        cluster.clients[0].cut = False
        key = records.mailbox_key(0, name)
        assert not cluster.state.change([put_change(key, 1)], {})
        former.mailbox.entries.clear()
        await former.mailbox.handle_entry(writer, name, key, cluster.state.revision)
        return key in cluster.state.keys

    assert run_simulation(monkeypatch, cluster, drive())


def test_the_watermark_does_not_pass_a_cancellation_that_may_be_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner's own cancellation was executed but got no answer: another controller read and
    reported it while the owner's desired state lacked it. The watermark must not advance past the
    cancellation before its outcome is known. Cancellations by other controllers may be pending all
    the time, so none may hold the watermark back further than its own time."""
    cluster = SimulatedCluster(3)

    async def drive() -> None:
        name = await run_spread_job(cluster, 0, 100.0)
        controller, client = cluster.controllers[0], cluster.clients[0]
        jobs = controller.writers[0].shard
        cluster.cancellation_requested.add(name)
        client.late_share = 1.0
        path = f"{api.JOBS}/{name}/{api.CANCEL}"
        sent = cluster.clock.at
        assert await cluster.request(0, "POST", path) == 503
        watermarks = cluster.controllers[1].machines[1].watermarks
        for _ in range(16):
            # Keep it from being executed during this test, which would make its outcome known.
            cluster.delayed_transactions = [
                (sent + 100.0, conditions, changes)
                for _, conditions, changes in cluster.delayed_transactions
            ]
            await cluster.run(0.1)
        # Desired state is still sent; its watermark lies before the cancellation.
        assert sent - 1.5 < watermarks[0] <= sent
        client.late_share = 0.0
        await cluster.run(3.0)
        assert watermarks[0] > sent + 1.0
        assert jobs.terminal_states[name] == api.CANCELLED
        assert not cluster.live_tasks_of(name)
        other = new_job(controller.context, spec(job_of_shard(0, 1)), 0, 0)
        other.outcome_unknown = True
        jobs.jobs[other.index] = other
        epoch = controller.membership.owners[1].epoch
        for age_s in (0.0, 3.0):
            jobs.pending_cancellations = {other.index: cluster.clock.at - age_s}
            watermark_s = (
                controller.state_sync.desired_state_sync.watermark_ms(jobs, 1, epoch) / 1000
            )
            assert cluster.clock.at - age_s - 1.7 < watermark_s <= cluster.clock.at - age_s
        del jobs.jobs[other.index]

    run_simulation(monkeypatch, cluster, drive())


def test_an_owner_reports_no_cancellation_that_its_desired_state_lacks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """While the outcome of a write was unknown, the owner answered from the state service, where
    another controller had recorded a cancellation: the owner reported it, but its desired state
    lacked it."""
    cluster = SimulatedCluster(4)

    async def drive() -> None:
        name = await run_spread_job(cluster, 0, 100.0)
        (job,) = cluster.controllers[0].writers[0].shard.jobs.values()
        main = records.job_key(0, name)
        record = msgspec.json.decode(cluster.state.keys[main][0], type=records.JobRecord)
        record.cancelled = True
        job.outcome_unknown = True
        assert not cluster.state.change([put_change(main, record)], {})
        cluster.cancellation_requested.add(name)
        assert await cluster.request(0, "GET", f"{api.JOBS}/{name}") == 503
        await cluster.controllers[0].writers[0].reload(name)
        assert await cluster.request(0, "GET", f"{api.JOBS}/{name}") == 200
        assert name in cluster.reported_terminal

    run_simulation(monkeypatch, cluster, drive())


def test_no_start_is_sent_on_an_old_watermark(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that the desired state named reported to its owner only long after. The start was
    sent although the watermark was from before a cancellation; the machine's lease had just been
    renewed, as it had no tasks."""
    cluster = SimulatedCluster(6)

    async def drive() -> list[list[str]]:
        await cluster.run(3.0)
        controller = cluster.controllers[0]
        machines = controller.machines[0]
        index = controller.context.machine_names.intern(next(iter(cluster.workers)))
        machine = machines.machines[index]
        key = task_key(controller.context.job_names.intern(job_of_shard(1)), 0)
        machine.pending_launches[key] = PendingLaunch(1, cluster.clock.at)
        machines.desired_tasks.setdefault(1, {})[index] = {
            key: DesiredTask(1, machine.session, False, 0.0)
        }
        sent = []
        for age_s in (1.0, controller.context.watermark_lifetime_s + 1.0):
            machines.watermarks[1] = cluster.clock.at - age_s
            machine.unanswered_commands = 0
            direct = [c.op for c in machines.commands_for(machine, True).commands]
            machine.unanswered_commands = MAX_UNANSWERED_COMMANDS
            sent += [direct, [c.op for c in machines.piggybacked_starts(machine)]]
        return sent

    assert run_simulation(monkeypatch, cluster, drive()) == [[api.START], [api.START], [], []]


def test_a_late_takeover_transaction_fails_after_another_ownership(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A takeover that is executed late carries the time at which the leases renewed by former
    owners have all ended, computed before the ownership in between. A worker's lease that the owner
    in between renewed would have counted as expired."""
    cluster = SimulatedCluster(7)

    async def drive() -> list[str]:
        await cluster.run(3.0)
        sent: list[tuple[dict[str, int], list[api.Change]]] = []
        transact = cluster.clients[2].transact

        async def lose_takeover(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]
            if any(c.put == records.shard_key(0) for c in changes):
                sent.append((dict(conditions), list(changes)))
                raise OutcomeUnknownError("no answer")
            return await transact(conditions, changes, urgent)

        cluster.clients[2].transact = lose_takeover  # type: ignore[method-assign]
        # The two other controllers are cut off for long enough that the third tries to take over.
        cluster.clients[0].cut = cluster.clients[1].cut = True
        await cluster.run(4.0)
        cluster.clients[1].cut = False
        cluster.clients[2].cut = True
        await cluster.run(4.0)
        assert 0 in cluster.controllers[1].writers  # the ownership in between, then lost
        cluster.state.change([api.Change(delete=records.shard_key(0))], {})
        conditions, changes = sent[0]
        return cluster.state.change(changes, conditions)

    assert run_simulation(monkeypatch, cluster, drive())


def test_a_controller_whose_key_is_gone_announces_itself_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller had announced itself without getting an answer, or a late transaction of its
    former process had, under a lease that then expired. It never counted as live again, and its
    shard was not returned to it."""
    cluster = SimulatedCluster(8)

    async def drive() -> list[bool]:
        found = []
        cluster.clients[0].unanswered = True
        await cluster.run(1.0)
        cluster.clients[0].unanswered = False
        await cluster.run(2.0)
        found.append(records.node_key(0) in cluster.state.keys)
        cluster.state.change([api.Change(delete=records.node_key(0))], {})
        await cluster.run(1.0)
        return [*found, records.node_key(0) in cluster.state.keys]

    assert run_simulation(monkeypatch, cluster, drive()) == [True, True]


def test_only_an_owner_with_a_valid_lease_sends_its_watermark(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A cycle that began with a valid lease waited for the state service, or paused, and then sent
    its watermark although another controller might own the shard."""
    cluster = SimulatedCluster(9)

    async def drive() -> tuple[bool, bool]:
        await cluster.run(3.0)
        controller = cluster.controllers[0]
        found = []
        for waited_s in (1.0, 2.0):
            cluster.clock.at += waited_s
            before = dict(controller.machines[0].watermarks)
            for link in cluster.messages:
                cluster.messages[link].clear()
            await controller.state_sync.send_desired_state(cluster.clock.at)
            sent_any = any(
                e.HasField("desired_state") for sent in cluster.messages.values() for e in sent
            )
            assert sent_any == (controller.machines[0].watermarks != before)
            found.append(sent_any)
        return found[0], found[1]

    assert run_simulation(monkeypatch, cluster, drive()) == (True, False)


def test_a_watermark_echoes_only_the_present_ownership_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A time by the clock of a machine shard's former owner, echoed to the next owner, could be
    later than the time by that owner's clock: the watermark would never have aged."""
    cluster = SimulatedCluster(10)

    async def drive() -> list[bool]:
        await cluster.run(3.0)
        controller = cluster.controllers[0]
        jobs, epoch = controller.writers[0].shard, controller.membership.owners[1].epoch
        return [
            controller.state_sync.desired_state_sync.watermark_ms(jobs, 1, e) > 0
            for e in (epoch, epoch + 1)
        ]

    assert run_simulation(monkeypatch, cluster, drive()) == [True, False]


WRITES_PER_S = 30.0  # of all controllers together


def test_four_one_task_jobs_per_second_are_answered_and_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A quarter of them is cancelled, larger jobs run, and the state service permits few changes a
    second: submissions are answered in time, no job starves, and nothing is kept of ended jobs."""
    monkeypatch.setattr(job_shard, "MAX_TERMINAL_JOBS", 20)
    cluster = SimulatedCluster(11)
    for client in cluster.clients:
        client.budget = TokenBucket(WRITES_PER_S / 3, 1.0, cluster.clock.now)
    small = [f"j-{900000 + i:06d}" for i in range(160)]
    large = [job_of_shard(shard, n) for n in range(2) for shard in range(3)]
    waits: dict[str, float] = {}

    async def submit(name: str, tasks: int, run_s: float) -> None:
        began = cluster.clock.at
        await cluster.submit(name, tasks, run_s)
        waits[name] = cluster.clock.at - began

    async def drive() -> None:
        await cluster.run(4.0)
        for name in large:
            await cluster.spawn(submit, name, 2, 30.0)
        revision, max_changes = cluster.state.revision, 0.0
        for i, name in enumerate(small):
            await cluster.spawn(submit, name, 1, 1.0)
            if i % 4 == 3:
                await cluster.spawn(cluster.cancel, small[i - 3], (i % 3,))
            if i % 20 == 19:  # every five seconds
                await cluster.poll([*large, *small[i - 19 : i + 1]])
                max_changes, revision = (
                    max(max_changes, cluster.state.revision - revision),
                    cluster.state.revision,
                )
            await cluster.run(0.25)
        # Transactions are fewer than changes: a job's end deletes one key and sets another.
        assert max_changes <= 5 * WRITES_PER_S * 4 / 3
        await wait_for_terminal_states(cluster, [*large, *small], 60.0)
        await cluster.run(4.0)

    run_simulation(monkeypatch, cluster, drive())
    assert max(waits.values()) < 5.0
    done = sum(cluster.reported_terminal[name][0] == api.DONE for name in small)
    assert done >= len(small) * 0.7
    check_nothing_is_kept(cluster)


def check_nothing_is_kept(cluster: SimulatedCluster) -> None:
    """Check that controllers keep nothing of ended jobs but a limited number of terminal states."""
    for controller in cluster.controllers:
        for writer in controller.writers.values():
            shard = writer.shard
            kept = (
                shard.jobs,
                shard.dirty_jobs,
                shard.tasks_by_machine,
                shard.pending_cancellations,
                writer.batches.waiting_since,
            )
            assert not any(kept)
            assert len(shard.terminal_states) == len(shard.terminal_completed) <= 20
        for machines in controller.machines.values():
            machines.prune()
            assert not machines.jobs
            assert not any(machines.desired_tasks.values())

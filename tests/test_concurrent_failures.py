"""Concurrent failures: the table of combinations is in docs/design/meetings.md."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.sharding import shard_of_job, shard_of_machine
from starlingdeck.interning import task_key
from starlingdeck.jobs import job_shard
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.commands import MAX_UNANSWERED_COMMANDS
from starlingdeck.machines.machine import DesiredTask, PendingLaunch
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import OutcomeUnknownError, put_change
from tests.support.builders import spec
from tests.support.simulated_cluster import (
    CANCEL_S,
    MAX_UNANSWERED_S,
    SimulatedCluster,
    SimulatedWorker,
    run_simulation,
)


def job_of_shard(shard: int, number: int = 0) -> str:
    """Return the id of a job that belongs to the given one of three shards."""
    names = (f"j-{i:06d}" for i in range(1000))
    return [n for n in names if shard_of_job(n, 3) == shard][number]


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


def machines_of(cluster: SimulatedCluster, number: int) -> list[SimulatedWorker]:
    """Return the third of the machines that failures with this controller's number affect."""
    return [w for i, w in enumerate(cluster.workers.values()) if i % 3 == number]


def toggle(value: float, active: float) -> float:
    """Return `active` if the value is 0, else 0."""
    return 0.0 if value else active


def toggle_state_service(cluster: SimulatedCluster, number: int) -> None:
    client = cluster.clients[number]
    client.cut = not client.cut


def toggle_outage(cluster: SimulatedCluster, _number: int) -> None:
    cluster.set_outage(not cluster.state.down)


def toggle_partition(cluster: SimulatedCluster, number: int) -> None:
    others = [i for i in range(3) if i != number]
    cluster.partitions ^= {frozenset((number, i)) for i in others}


def toggle_isolation(cluster: SimulatedCluster, number: int) -> None:
    toggle_state_service(cluster, number)
    toggle_partition(cluster, number)


def crash_one(cluster: SimulatedCluster, number: int) -> None:
    if number not in cluster.down:
        cluster.crash(number, cluster.rng.choice([0.2, 6.0]))


def crash_all(cluster: SimulatedCluster, number: int) -> None:
    """Crash all controllers; this one restarts at once, the others later."""
    for i in range(3):
        if i not in cluster.down:
            cluster.crash(i, 0.2 if i == number else 6.0)


def crash_all_longer_than_a_lease(cluster: SimulatedCluster, _number: int) -> None:
    for i in range(3):
        if i not in cluster.down:
            cluster.crash(i, 14.0 + i)


def toggle_unreachable(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.unreachable = not worker.unreachable


def toggle_heartbeats_lost(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.heartbeats_lost = not worker.heartbeats_lost


def toggle_hung(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.hung = not worker.hung


def end_hangs(cluster: SimulatedCluster, _number: int) -> None:
    for worker in cluster.workers.values():
        worker.hung = False


def restart_machines(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.restart(cluster.clock.at)


def add_machine(cluster: SimulatedCluster, number: int) -> None:
    cluster.boot_machine(number)


def toggle_worker_links(cluster: SimulatedCluster, number: int) -> None:
    cluster.blocked_worker_links ^= {(number, w.name) for w in cluster.workers.values()}


def toggle_late_transactions(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.late_share = toggle(client.late_share, 0.2)


def toggle_lost_answers(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.lost_answer_share = toggle(client.lost_answer_share, 0.3)


def toggle_slow_answers(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.max_latency_s = toggle(client.max_latency_s, 0.8)


def toggle_unreadable_jobs(cluster: SimulatedCluster, number: int) -> None:
    for client in cluster.clients:
        client.unreadable_prefixes ^= {f"j/{number}/"}


def toggle_duplicate_reports(cluster: SimulatedCluster, _number: int) -> None:
    cluster.duplicate_share = toggle(cluster.duplicate_share, 0.3)


def toggle_report_replays(cluster: SimulatedCluster, _number: int) -> None:
    cluster.replay_share = toggle(cluster.replay_share, 0.3)


def toggle_delayed_commands(cluster: SimulatedCluster, _number: int) -> None:
    cluster.delayed_command_share = toggle(cluster.delayed_command_share, 0.3)


def toggle_query_bursts(cluster: SimulatedCluster, _number: int) -> None:
    cluster.burst_query_share = toggle(cluster.burst_query_share, 0.5)


def toggle_report_latency(cluster: SimulatedCluster, _number: int) -> None:
    cluster.report_latency_s = toggle(cluster.report_latency_s, 1.0)


def toggle_invalid_requests(cluster: SimulatedCluster, _number: int) -> None:
    cluster.send_invalid = not cluster.send_invalid


def toggle_cancellation_at_end(cluster: SimulatedCluster, _number: int) -> None:
    cluster.cancel_at_end_share = toggle(cluster.cancel_at_end_share, 0.5)


def running_job(cluster: SimulatedCluster) -> str:
    """Return the first running job whose cancellation was not requested, or an empty string."""
    jobs = (name.split("/")[0] for _, name, _ in cluster.live_tasks())
    return next((job for job in jobs if job not in cluster.cancellation_requested), "")


def cancel_job(cluster: SimulatedCluster, number: int) -> None:
    job = running_job(cluster)
    if job:
        cluster.pending_cancellations.append((job, number))


def cancel_job_and_hang(cluster: SimulatedCluster, number: int) -> None:
    """Cancel a job while its machines hang."""
    job = running_job(cluster)
    if job:
        for worker, _, _ in cluster.live_tasks(job):
            worker.hung = True
        cluster.pending_cancellations.append((job, number))


def give_termination_notice(cluster: SimulatedCluster, number: int) -> None:
    """Give one machine a notice; those that have one already are replaced."""
    cluster.replace_noticed_machines()
    noticed = machines_of(cluster, number)[0]
    noticed.notice_s, noticed.next_report_at = 3.0, cluster.clock.at


def toggle_slow_peers(cluster: SimulatedCluster, _number: int) -> None:
    cluster.peer_latency_s = toggle(cluster.peer_latency_s, 1.4)


def toggle_zone(cluster: SimulatedCluster, number: int) -> None:
    cut_zone(cluster, cluster.zones[number])


# Kind of failure, as scenarios name it -> its function. Functions named "toggle" begin a failure,
# or end it if it is active.
FAILURES: dict[str, Callable[[SimulatedCluster, int], None]] = {
    "state service refused": toggle_state_service,
    "state service outage": toggle_outage,
    "controller partition": toggle_partition,
    "controller isolation": toggle_isolation,
    "crash": crash_one,
    "all crash": crash_all,
    "all crash longer than a lease": crash_all_longer_than_a_lease,
    "machines unreachable": toggle_unreachable,
    "heartbeats lost": toggle_heartbeats_lost,
    "hang": toggle_hung,
    "end hangs": end_hangs,
    "restart machines": restart_machines,
    "add machine": add_machine,
    "worker links blocked": toggle_worker_links,
    "late transactions": toggle_late_transactions,
    "transaction answers lost": toggle_lost_answers,
    "state service slow": toggle_slow_answers,
    "jobs unreadable": toggle_unreadable_jobs,
    "duplicate reports": toggle_duplicate_reports,
    "report replays": toggle_report_replays,
    "late commands": toggle_delayed_commands,
    "query bursts": toggle_query_bursts,
    "report latency": toggle_report_latency,
    "invalid requests": toggle_invalid_requests,
    "jobs cancelled at end": toggle_cancellation_at_end,
    "cancel": cancel_job,
    "cancel and hang": cancel_job_and_hang,
    "zone partition": toggle_zone,
    "termination notice": give_termination_notice,
    "peers slow": toggle_slow_peers,
}


def inject_failure(cluster: SimulatedCluster, kind: str, number: int) -> None:
    """Begin or end a failure of this kind, on one controller or its third of the machines."""
    FAILURES[kind](cluster, number)


def cut_zone(cluster: SimulatedCluster, zone: str) -> None:
    """Partition a zone from all else, or heal the partition."""
    inside = [i for i, z in enumerate(cluster.zones) if z == zone]
    for i in range(len(cluster.zones)):
        cluster.partitions ^= {frozenset((i, j)) for j in inside if i not in inside}
        cluster.blocked_worker_links ^= {
            (i, w.name) for w in cluster.workers.values() if (w.zone == zone) != (i in inside)
        }
    for i in inside:
        cluster.clients[i].cut = not cluster.clients[i].cut
    cluster.closed_to_users ^= set(inside)


async def wait_for_terminal_states(
    cluster: SimulatedCluster, names: list[str], within_s: float = 150.0
) -> None:
    """End all failures, then query until each job is in a terminal state, at most for `within_s`.

    Also check that no accepted job's queries stay unanswered for `MAX_UNANSWERED_S`.
    """
    cluster.heal()
    began = cluster.clock.at
    while any(n not in cluster.reported_terminal for n in names):
        assert cluster.clock.at - began < within_s, [
            n for n in names if n not in cluster.reported_terminal
        ]
        await cluster.poll(names)
        await cluster.run(2.0)
        for name in cluster.acknowledged:
            unanswered_s = cluster.clock.at - max(began, cluster.answered_at[name])
            assert unanswered_s < MAX_UNANSWERED_S, f"forgotten: {name}"


# Steps: when (seconds), which kind of failure begins or ends, and the number of its controller.
# Steps of the same time are executed in alphabetical order of their kinds.
Script = list[tuple[float, str, int]]
FAILURE_SCENARIOS: dict[str, Script] = {
    "an owner cut off from state service and peers": [
        (0.0, "controller isolation", 0), (25.0, "controller isolation", 0),
    ],
    "an owner cut off twice, back before its lease ends": [
        (0.0, "controller isolation", 0), (1.5, "controller isolation", 0),
        (3.0, "controller isolation", 0),
    ],
    "an owner crashes while worker links are blocked": [
        (0.0, "worker links blocked", 0), (0.0, "worker links blocked", 1),
        (0.0, "worker links blocked", 2), (0.5, "crash", 0), (7.0, "worker links blocked", 0),
        (7.0, "worker links blocked", 1), (7.0, "worker links blocked", 2),
    ],
    "an owner crashes while machines are unreachable": [
        (0.0, "machines unreachable", 0), (0.0, "machines unreachable", 1), (0.5, "crash", 0),
        (14.0, "machines unreachable", 0), (14.0, "machines unreachable", 1),
    ],
    "late transactions, then one controller refused, then an outage": [
        (0.0, "late transactions", 0), (6.0, "state service refused", 0),
        (9.0, "state service outage", 0), (54.0, "state service outage", 0),
        (55.0, "late transactions", 0),
    ],
    "late commands during a cancellation and a takeover": [
        (0.0, "late commands", 0), (3.0, "crash", 0), (20.0, "late commands", 0),
    ],
    "late commands during an outage": [
        (0.0, "late commands", 0), (2.0, "state service outage", 0),
        (22.0, "state service outage", 0),
    ],
    "late transactions during takeovers": [
        (0.0, "late transactions", 0), (2.0, "controller isolation", 0),
        (8.0, "controller isolation", 0), (10.0, "controller isolation", 1),
        (16.0, "controller isolation", 1), (20.0, "late transactions", 0),
    ],
    "old reports after a change of owner and session": [
        (0.0, "duplicate reports", 0), (1.0, "crash", 0), (4.0, "worker links blocked", 1),
        (18.0, "worker links blocked", 1), (24.0, "crash", 1), (30.0, "duplicate reports", 0),
    ],
    "all controllers crash, one restarts at once": [
        (0.0, "late transactions", 0), (0.5, "all crash", 1), (9.0, "all crash", 0),
        (12.0, "late transactions", 0),
    ],
    "ownership moves and returns within seconds": [
        (0.0, "state service refused", 0), (2.8, "state service refused", 0),
        (5.0, "state service refused", 1), (7.8, "state service refused", 1),
        (8.0, "state service refused", 0), (10.8, "state service refused", 0),
    ],
    "query bursts": [(0.0, "query bursts", 0), (3.0, "cancel", 1), (30.0, "query bursts", 0)],
    "query bursts while owners change": [
        (0.0, "query bursts", 0), (1.0, "state service refused", 0), (2.0, "cancel", 0),
        (5.0, "state service refused", 0), (6.0, "crash", 1), (7.0, "cancel", 1),
        (9.0, "controller isolation", 2), (12.0, "controller isolation", 2),
        (25.0, "query bursts", 0),
    ],
    "query bursts while the state service is slow": [
        (0.0, "query bursts", 0), (0.0, "state service slow", 0), (2.0, "controller partition", 0),
        (3.0, "cancel", 2), (5.0, "cancel", 0), (12.0, "controller partition", 0),
        (24.0, "state service slow", 0), (25.0, "query bursts", 0),
    ],
    "transaction answers lost while other controllers read": [
        (0.0, "transaction answers lost", 0), (0.0, "query bursts", 0),
        (0.0, "controller partition", 0), (3.0, "cancel", 1), (6.0, "controller partition", 0),
        (7.0, "controller partition", 1), (9.0, "cancel", 0), (14.0, "controller partition", 1),
        (20.0, "transaction answers lost", 0), (21.0, "query bursts", 0),
    ],
    "transaction answers lost during takeovers": [
        (0.0, "transaction answers lost", 0), (0.0, "query bursts", 0),
        (1.0, "state service refused", 0), (4.0, "state service refused", 0), (5.0, "crash", 1),
        (6.0, "cancel", 2), (14.0, "crash", 0), (26.0, "transaction answers lost", 0),
        (26.0, "query bursts", 0),
    ],
    "at the team limit, cancelled while worker links are blocked, the owner crashes": [
        (0.0, "worker links blocked", 0), (0.0, "worker links blocked", 1),
        (0.0, "worker links blocked", 2), (0.2, "cancel", 1), (0.4, "cancel", 2), (1.0, "crash", 0),
        (3.0, "cancel", 1), (16.0, "worker links blocked", 0), (16.0, "worker links blocked", 1),
        (16.0, "worker links blocked", 2),
    ],
    "at the team limit, cancelled while machines hang, the owner crashes": [
        (0.0, "cancel and hang", 1), (0.2, "cancel and hang", 2), (1.0, "crash", 0),
        (7.0, "end hangs", 0), (12.0, "cancel and hang", 0), (13.0, "crash", 1),
        (30.0, "end hangs", 0),
    ],
    "at the team limit, quota transferred while transactions are late": [
        (0.0, "late transactions", 0), (0.0, "cancel", 1), (2.0, "crash", 0), (4.0, "hang", 1),
        (6.0, "cancel", 2), (10.0, "crash", 1), (18.0, "end hangs", 0),
        (24.0, "late transactions", 0),
    ],
    "at the team limit, transaction answers lost": [
        (0.0, "transaction answers lost", 0), (1.0, "cancel", 1), (2.0, "crash", 2),
        (8.0, "cancel", 0), (9.0, "state service refused", 0), (14.0, "state service refused", 0),
        (24.0, "transaction answers lost", 0),
    ],
    "cancelled during a failover": [
        (0.0, "jobs unreadable", 0), (0.0, "state service refused", 0), (1.0, "cancel", 1),
        (2.6, "cancel", 2), (3.2, "cancel", 0), (4.5, "jobs unreadable", 0), (4.6, "cancel", 1),
        (5.0, "state service refused", 0), (5.2, "cancel", 0), (5.8, "cancel", 1),
        (6.6, "cancel", 2),
    ],
    "cancelled as one controller is refused, outage a second later": [
        (0.0, "state service refused", 0), (0.0, "cancel", 0), (0.0, "cancel", 1),
        (0.1, "cancel", 2), (1.0, "state service outage", 0), (14.0, "state service refused", 0),
        (47.0, "state service outage", 0),
    ],
    "machines added while transactions are late, the owner crashes": [
        (0.0, "late transactions", 0), (0.0, "add machine", 0), (0.1, "add machine", 1),
        (0.6, "crash", 0), (1.0, "add machine", 0), (8.0, "add machine", 2), (8.5, "crash", 2),
        (16.0, "late transactions", 0),
    ],
    "machines added while the state service is slow, the owner crashes": [
        (0.0, "state service slow", 0), (0.0, "add machine", 0), (0.4, "add machine", 1),
        (0.8, "crash", 0), (9.0, "add machine", 0), (9.6, "state service refused", 0),
        (14.0, "state service refused", 0), (16.0, "state service slow", 0),
    ],
    "old reports replayed to all controllers after a takeover": [
        (0.0, "report replays", 0), (4.0, "restart machines", 1), (5.0, "worker links blocked", 1),
        (6.0, "crash", 0), (17.0, "worker links blocked", 1), (20.0, "crash", 1),
        (30.0, "report replays", 0),
    ],
    "owners change ten times, also inside an outage": [
        *((12.0 * i + 6.0 * j, "state service refused", i % 3) for i in range(5) for j in (0, 0.6)),
        (21.0, "state service outage", 0), (27.0, "state service outage", 0), (62.0, "crash", 0),
        (70.0, "crash", 1), (78.0, "crash", 2), (86.0, "crash", 0), (94.0, "crash", 1),
    ],
    "all controllers are down for longer than a lease": [
        (0.0, "cancel", 1), (0.5, "all crash longer than a lease", 0),
    ],
    "jobs cancelled at their end during query bursts": [
        (0.0, "jobs cancelled at end", 0), (0.0, "query bursts", 0),
        (40.0, "jobs cancelled at end", 0), (40.0, "query bursts", 0),
    ],
    "jobs cancelled at their end during query bursts, state service slow": [
        (0.0, "jobs cancelled at end", 0), (0.0, "query bursts", 0), (0.0, "state service slow", 0),
        (0.0, "controller partition", 1), (30.0, "jobs cancelled at end", 0),
        (30.0, "query bursts", 0), (30.0, "state service slow", 0),
        (30.0, "controller partition", 1),
    ],
    "a zone is partitioned for longer than a lease": [
        (0.0, "cancel", 0), (0.5, "zone partition", 1), (1.0, "cancel", 0),
        (17.0, "zone partition", 1),
    ],
    "a zone is partitioned twice, with jobs bound to it": [
        (0.0, "zone partition", 1), (4.0, "zone partition", 1), (8.0, "hang", 1),
        (20.0, "end hangs", 0), (22.0, "zone partition", 1), (40.0, "zone partition", 1),
    ],
    "jobs bound to a zone lose machines": [
        (0.0, "hang", 0), (1.0, "hang", 1), (9.0, "add machine", 0), (9.0, "add machine", 1),
        (24.0, "end hangs", 0), (25.0, "restart machines", 2),
    ],
    "heartbeats lost while commands arrive": [
        (0.0, "heartbeats lost", 0), (2.0, "crash", 0), (8.0, "heartbeats lost", 0),
        (10.0, "heartbeats lost", 1), (12.0, "cancel", 2), (26.0, "heartbeats lost", 1),
    ],
    "heartbeats lost, commands arrive as leases expire": [
        (0.0, "report latency", 0), (3.0, "heartbeats lost", 0), (3.2, "heartbeats lost", 1),
        *((11.0 + 0.2 * i, "cancel", i % 3) for i in range(12)), (29.0, "heartbeats lost", 0),
        (30.0, "heartbeats lost", 1),
    ],
    "cancelled, then the machine hangs and resumes": [
        (0.0, "late commands", 0), (0.0, "cancel and hang", 0), (0.2, "cancel and hang", 1),
        (8.0, "end hangs", 0), (10.0, "cancel and hang", 2), (24.0, "end hangs", 0),
        (24.0, "late commands", 0),
    ],
    "invalid requests while owners change": [
        (0.0, "invalid requests", 0), (1.0, "state service refused", 0),
        (5.0, "state service refused", 0), (6.0, "crash", 1), (9.0, "state service slow", 0),
        (16.0, "state service slow", 0), (17.0, "invalid requests", 0),
    ],
    "more work than capacity, state service slow and commands late": [
        (0.0, "state service slow", 0), (0.0, "late commands", 0), (4.0, "cancel", 1),
        (30.0, "state service slow", 0), (30.0, "late commands", 0),
    ],
    "tasks end while their moves are answered late": [
        (0.0, "peers slow", 0),
        *((3.0 * i + 0.8, "termination notice", i % 3) for i in range(6)),
        (20.0, "peers slow", 0),
    ],
}  # fmt: skip
# Parameters of the cluster that differ from the defaults, by scenario.
SCENARIO_CLUSTERS: dict[str, dict[str, Any]] = {
    scenario: {"limit": 8.0}
    for scenario in FAILURE_SCENARIOS
    if scenario.startswith("at the team limit")
} | {name: {"zones": ("a", "b", "a")} for name in FAILURE_SCENARIOS if "a zone" in name}
SCENARIO_CLUSTERS["tasks end while their moves are answered late"] = {
    "zones": ("a", "b", "a"),
    "workers": 9,
}


def job_fields(cluster: SimulatedCluster, number: int) -> dict[str, Any]:
    """Return the fields of the job with this number: placement constraints, team and rank."""
    if cluster.limit:
        return {"crew": "blue"}
    if len(set(cluster.zones)) > 1:
        return ({"roost": "b"}, {"spread": True}, {"same_place": True}, {})[number % 4]
    return {"rank": ("normal", "urgent", "idle")[number % 3]} if cluster.mixed_ranks else {}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("scenario", FAILURE_SCENARIOS)
def test_failure_scenario(monkeypatch: pytest.MonkeyPatch, scenario: str, seed: int) -> None:
    cluster = SimulatedCluster(seed, **SCENARIO_CLUSTERS.get(scenario, {}))
    cluster.mixed_ranks = scenario.startswith("more work than capacity")
    run_simulation(monkeypatch, cluster, run_scenario(cluster, FAILURE_SCENARIOS[scenario]))


async def run_scenario(cluster: SimulatedCluster, script: Script) -> None:
    """Run jobs of two and three tasks that end at very different times, while failures begin and
    end. Meanwhile up to three jobs are cancelled, first at controllers that did not own them at the
    start, and every second each job is queried at a random controller."""
    names = [
        job_of_shard(shard, n) for n in range(6 if cluster.mixed_ranks else 3) for shard in range(3)
    ]
    await cluster.run(4.0)
    for i, name in enumerate(names):
        cluster.run_times[f"{name}/0"] = 4.0 + i
        fields = job_fields(cluster, i)
        await cluster.spawn(lambda n=name, c=2 + i % 2, f=fields: cluster.submit(n, c, 45.0, **f))
    await cluster.run(5.0)
    script, began = sorted(script), cluster.clock.at
    for step in range(int(script[-1][0]) + 2):
        for at, kind, number in [s for s in script if step <= s[0] < step + 1]:
            await cluster.run(max(0.0, began + at - cluster.clock.at))
            inject_failure(cluster, kind, number)
        if step % 3 == 1 and step < 9:
            name = names[step // 3 * 3]
            await cluster.spawn(cluster.cancel, name, (1, 2, 0))
        await cluster.poll(names)
        await cluster.run(max(0.0, began + step + 1 - cluster.clock.at))
    await wait_for_terminal_states(cluster, names)


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


FAILURE_KINDS = (
    "state service refused", "state service outage", "controller partition", "controller isolation",
    "crash", "all crash", "machines unreachable", "worker links blocked", "late transactions",
    "duplicate reports", "late commands", "transaction answers lost", "state service slow",
    "jobs unreadable", "report replays", "heartbeats lost", "hang", "zone partition",
    "restart machines", "add machine", "all crash longer than a lease", "query bursts",
    "invalid requests", "jobs cancelled at end", "cancel", "cancel and hang",
)  # fmt: skip
CLUSTER_VARIANTS: list[dict[str, Any]] = [{}, {"limit": 8.0}, {"zones": ("a", "b", "a")}]
STEPS = st.tuples(
    st.sampled_from(FAILURE_KINDS), st.integers(0, 2), st.sampled_from([0.2, 1.0, 3.0, 8.0, 20.0])
)


async def run_random_failures(
    cluster: SimulatedCluster, steps: list[tuple[str, int, float]]
) -> None:
    """Run short and long jobs of two or three tasks under concurrent failures, cancel some, and
    check that every job stays known, and ends once the failures are over."""
    names = [job_of_shard(shard, n) for n in range(3) for shard in range(3)]
    await cluster.run(4.0)
    for i, name in enumerate(names):
        tasks, run_s, fields = 2 + i % 2, (5.0, 25.0, 60.0)[i // 3], job_fields(cluster, i)
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

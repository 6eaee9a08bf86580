"""Named scenarios of concurrent failures, and the jobs that are run under them."""

from typing import Any

from tests.support.builders import job_of_shard
from tests.support.failures import inject_failure
from tests.support.simulated_cluster import MAX_UNANSWERED_S, SimulatedCluster

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
    "answered commands are repeated while tasks fail": [
        (0.0, "repeated commands", 0), (0.0, "tasks fail", 0), (20.0, "cancel", 1),
        (40.0, "tasks fail", 0),
    ],
    "answered commands are repeated, controllers are back at once": [
        (0.0, "repeated commands", 0), (0.0, "tasks fail", 0), (4.0, "crash", 0),
        (6.0, "cancel", 1), (9.0, "crash", 1), (13.0, "crash", 2), (15.0, "cancel", 2),
        (20.0, "all crash", 0), (40.0, "tasks fail", 0),
    ],
    "answered commands are repeated, machines are back at once": [
        (0.0, "repeated commands", 0), (0.0, "tasks fail", 0), (5.0, "restart machines", 0),
        (9.0, "restart machines", 1), (13.0, "restart machines", 2), (16.0, "cancel", 1),
        (20.0, "restart machines", 0), (24.0, "restart machines", 1), (40.0, "tasks fail", 0),
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

"""Tests of fair shares under overload: their computation, and several controllers together."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingdeck.fairness import minimum_share
from starlingdeck.fairness.demand_snapshot import (
    ClassDemand,
    DemandSnapshot,
    ShardDemand,
    TeamClass,
    merge_small_classes,
    sum_resources,
)
from starlingdeck.fairness.fair_share import compute_fair_shares, max_min_shares, water_fill
from starlingdeck.fairness.minimum_share import PROTECTION_SLACK, WorkItem
from starlingdeck.protocol import api
from starlingdeck.protocol.config import OverloadSettings
from tests.support.overload_cluster import Events, JobClass, OverloadCluster, array

AMOUNTS = st.floats(0, 3, allow_nan=False)
TEAM_CLASSES = st.tuples(st.integers(0, 2), st.sampled_from(["a", "b", "c"]))
CAPACITY = (100.0, 0.0, 400.0)


def make_report(
    shard: int, loads: dict[TeamClass, float], seq: int = 1, token: int = 1
) -> ShardDemand:
    """Return a shard's report in which each class needs the given cpus, half of them waiting."""
    demands = {p: ClassDemand((n / 2, 0.0, n), (n / 2, 0.0, n)) for p, n in loads.items()}
    return ShardDemand(shard, token, seq, CAPACITY, demands, overloaded=True)


LOADS = st.dictionaries(TEAM_CLASSES, st.floats(0, 1000, allow_nan=False), max_size=6)


@given(st.dictionaries(st.integers(0, 9), AMOUNTS, max_size=8), AMOUNTS)
def test_water_fill_is_max_min_fair(wanted: dict[int, float], capacity: float) -> None:
    """Compares with a slow reference that searches for the highest level that capacity allows."""
    shares = water_fill(wanted, capacity)
    low, high = 0.0, 4.0
    for _ in range(60):
        level = (low + high) / 2
        if sum(min(want, level) for want in wanted.values()) <= capacity:
            low = level
        else:
            high = level
    assert shares == pytest.approx({k: min(want, low) for k, want in wanted.items()}, abs=1e-6)


@given(st.lists(LOADS, min_size=2, max_size=5), st.randoms(use_true_random=False))
def test_shards_with_different_snapshots_guarantee_no_more_than_the_capacity(
    loads: list[dict[TeamClass, float]], rng: random.Random
) -> None:
    """Each shard computes from its own report and a random choice of the others, of random age,
    as with late and lost messages and on both sides of a network partition."""
    shards = len(loads)
    guaranteed = 0.0
    for own in range(shards):
        known = {own: make_report(own, loads[own])}
        for other in range(shards):
            if other != own and rng.random() < 0.7:
                old = loads[rng.randrange(shards)]
                known[other] = make_report(other, old)
        shares = compute_fair_shares(known, shards, 1.0)
        in_cpus = sum(shares.split[own].values()) * shares.capacity[0]
        guaranteed += in_cpus
    assert guaranteed <= shards * CAPACITY[0] + 1e-6


@given(st.lists(LOADS, min_size=1, max_size=4), st.floats(0, 1))
def test_the_same_snapshot_gives_the_same_minimum_shares(
    loads: list[dict[TeamClass, float]], floor: float
) -> None:
    reports = [make_report(n, own) for n, own in enumerate(loads)]
    shares = compute_fair_shares({report.shard: report for report in reports}, len(reports), floor)
    assert shares == compute_fair_shares(
        {report.shard: report for report in reversed(reports)}, len(reports), floor
    )
    assert sum(shares.minimum_shares.values()) <= floor + 1e-9
    for team_class, min_share in shares.minimum_shares.items():
        assert (
            sum(split.get(team_class, 0.0) for split in shares.split.values()) <= min_share + 1e-9
        )
        wanted = sum(own.get(team_class, 0.0) for own in loads)
        assert (
            min_share <= floor * wanted / shares.capacity[0] + 1e-9
            or shares.capacity[2] < wanted * 2
        )


def test_many_classes_of_one_team_take_no_share_of_another() -> None:
    honest = {(0, "x"): 1.0}
    hostile = {(1, f"c-{i}"): 1.0 for i in range(1000)}
    shares = max_min_shares(honest | hostile)
    assert shares[(0, "x")] == pytest.approx(0.5)
    loads = {p: ClassDemand((n, 0.0, 0.0), (0.0, 0.0, n)) for p, n in (honest | hostile).items()}
    merged = merge_small_classes(loads)
    assert len(merged) <= 34
    assert sum_resources(x.running for x in merged.values()) == sum_resources(
        x.running for x in loads.values()
    )


def test_report_is_replaced_by_newer_ones_only_and_expires() -> None:
    snapshot = DemandSnapshot()
    assert snapshot.update(make_report(0, {}, seq=5, token=3), 10.0)
    assert not snapshot.update(make_report(0, {}, seq=5, token=3), 11.0)  # received twice
    assert not snapshot.update(make_report(0, {}, seq=4, token=3), 11.0)  # late
    assert not snapshot.update(make_report(0, {}, seq=99, token=2), 11.0)  # a former owner's
    assert snapshot.update(make_report(0, {}, seq=1, token=4), 12.0)  # its successor's
    assert snapshot.known(31.9, 20.0)
    assert not snapshot.known(32.1, 20.0)


WORK_ITEMS = st.lists(
    st.builds(
        WorkItem,
        job=st.integers(0, 99),
        team_class=st.sampled_from([(0, "a"), (1, "b")]),
        submitted_ms=st.integers(0, 9),
        share=st.floats(0.001, 0.2),
        running=st.integers(0, 9),
        waiting=st.integers(0, 9),
        protected=st.integers(0, 9),
        late=st.booleans(),
    ),
    max_size=8,
    unique_by=lambda item: item.job,
)


@given(WORK_ITEMS, st.floats(0, 0.5))
def test_a_shard_exceeds_its_share_by_no_more_than_a_task(
    items: list[WorkItem], min_share: float
) -> None:
    by_job = {item.job: item for item in items}
    protected = minimum_share.protected_work(items, lambda team_class: min_share)
    prioritized = dict(minimum_share.below_share(items, lambda team_class: min_share))
    for team_class in {item.team_class for item in items}:
        own = [item for item in items if item.team_class == team_class]
        task = max(item.share for item in own)
        protected_share = sum(protected.get(item.job, 0) * item.share for item in own)
        assert (
            protected_share
            <= max(
                min_share,
                min_share * PROTECTION_SLACK if any(item.protected for item in own) else 0,
            )
            + task
            + 1e-6
        )
        running = sum(item.running * item.share for item in own)
        prioritized_share = sum(prioritized.get(item.job, 0) * item.share for item in own)
        assert prioritized_share <= max(0.0, min_share - running) + 2 * task + 1e-6
        # A class below its share with waiting work starts some of it, however small its share is.
        if running < min_share - 1e-6 and any(item.waiting for item in own):
            assert prioritized_share > 0
    assert all(0 < n <= by_job[k].running for k, n in protected.items())
    assert all(0 < n <= by_job[k].waiting for k, n in prioritized.items())


def test_late_work_gets_a_quarter_and_protected_tasks_stay_protected() -> None:
    fresh = [WorkItem(i, (0, "a"), 100 + i, 0.01, 0, 10) for i in range(4)]
    late = WorkItem(9, (0, "a"), 1, 0.01, 0, 40, late=True)
    tasks_by_job = dict(minimum_share.below_share([*fresh, late], lambda team_class: 0.2))
    assert tasks_by_job[9] == 5
    assert sum(tasks_by_job.values()) == 20
    old = WorkItem(1, (0, "a"), 1, 0.01, 10, 0, protected=10)
    assert minimum_share.protected_work([old], lambda team_class: 0.08) == {
        1: 10
    }  # within PROTECTION_SLACK times the share
    assert minimum_share.protected_work([old], lambda team_class: 0.04) == {1: 6}


# --- several controllers in simulated time

HIGH = JobClass("high", "urgent", "red")
LOW = JobClass("low", "normal", "blue")
SERVICE = JobClass("svc", "urgent", "blue")


def high(second: int, rng: random.Random) -> list[api.JobSpec]:
    """Return two jobs a second of four small urgent tasks of 15 s: more than all 112 cpus."""
    return [array(second * 10 + i, HIGH, 4, 1.0, 15.0) for i in range(2)]


def low(second: int, every: int = 4, tasks: int = 4) -> list[api.JobSpec]:
    if second % every:
        return []
    return [array(second * 10 + 5, LOW, tasks, 4.0, 10.0)]


def flood(second: int, rng: random.Random) -> list[api.JobSpec]:
    return low(second) + (high(second, rng) if second >= 5 else [])


ON = OverloadSettings(patience_s=5.0, floor=0.5)


def crash(cluster: OverloadCluster) -> None:
    cluster.crash(1)


def partition(cluster: OverloadCluster) -> None:
    cluster.partitions = {(0, 1), (1, 2)}


def heal(cluster: OverloadCluster) -> None:
    cluster.partitions = set()


FAILURES: dict[str, tuple[Events, float, int]] = {
    "none": ({}, 0.0, 3),
    "a controller crashes in the flood": ({30.0: crash}, 0.0, 3),
    "one is partitioned from both others for 30 s": ({25.0: partition, 55.0: heal}, 0.0, 3),
    "a third of the gossip is lost, a third late": ({}, 0.33, 3),
    "crash and partition, five controllers": ({25.0: partition, 40.0: crash, 60.0: heal}, 0.1, 5),
}


@pytest.mark.parametrize("failure", FAILURES)
def test_a_flood_of_higher_rank_leaves_others_their_minimum_share(failure: str) -> None:
    """Without minimum shares the low class starved: the capacity released at once was too little
    for one of its tasks, and its running tasks were preempted for the flood."""
    events, lost, nodes = FAILURES[failure]
    cluster = OverloadCluster(1, flood, ON, controllers=nodes, gossip_loss_share=lost)
    cluster.run(100, events)
    started, submitted = cluster.started_and_total("low", 1000 + 80)
    assert started >= 0.5 * submitted
    started, submitted = cluster.started_and_total("high", 1000 + 80)
    assert started >= 0.5 * submitted


def test_effect_and_cost_of_minimum_shares() -> None:
    """Compares starvation, preemptions and total goodput with the order by rank alone."""
    plain, fair = OverloadCluster(1, flood, None), OverloadCluster(1, flood, ON)
    for cluster in (plain, fair):
        cluster.run(100)
    started, submitted = plain.started_and_total("low", 1000 + 80)
    assert started < 0.5 * submitted
    assert fair.goodput["low"] > 3 * plain.goodput["low"]
    assert sum(fair.goodput.values()) > 0.9 * sum(plain.goodput.values())
    # Hardly any task is preempted except those that ran before the overload was detected.
    assert sum(fair.stopped.values()) <= sum(plain.stopped.values()) + 5


def test_without_overload_nothing_changes() -> None:
    def quiet(second: int, rng: random.Random) -> list[api.JobSpec]:
        return low(second, 5) + (high(second, rng)[:1] if second % 2 else [])

    plain, fair = OverloadCluster(3, quiet, None), OverloadCluster(3, quiet, ON)
    for cluster in (plain, fair):
        cluster.run(60)
    assert plain.started == fair.started
    assert len(plain.started) > 30


def test_controllers_with_the_same_snapshot_agree_and_the_overload_ends() -> None:
    def burst(second: int, rng: random.Random) -> list[api.JobSpec]:
        return flood(second, rng) if second < 40 else []

    cluster = OverloadCluster(2, burst, ON)
    agreed: list[bool] = []

    def check_agreement(cluster: OverloadCluster) -> None:
        shares = [n.overload.shares for n in cluster.controllers if n.overload is not None]
        by_signals = {s.signals: s for s in shares}
        agreed.append(all(by_signals[s.signals] == s for s in shares))
        assert all(s.overload for s in shares)

    def check_overload_ended(cluster: OverloadCluster) -> None:
        for controller in cluster.controllers:
            assert controller.overload is not None
            assert not controller.overload.shares.overload
            placements = [
                placement
                for writer in controller.writers.values()
                for job in writer.shard.jobs.values()
                for placement in job.placements.values()
            ]
            assert not any(placement.protected for placement in placements)

    cluster.run(140, {30.0: check_agreement, 38.0: check_agreement, 139.0: check_overload_ended})
    assert agreed == [True, True]


def test_one_huge_job_gets_its_minimum_share_at_one_controller() -> None:
    def huge(second: int, rng: random.Random) -> list[api.JobSpec]:
        return high(second, rng) + (low(0, tasks=300) if second == 10 else [])

    cluster = OverloadCluster(4, huge, ON)
    cluster.run(100)
    # The minimum share is a quarter to a third of 112 cpus for 90 s, less 10 s until detection.
    assert cluster.goodput["low"] > 0.5 * 80 * 112 / 4


def test_a_flood_of_one_class_leaves_other_teams_and_later_classes_their_share() -> None:
    """All work has the higher rank: one team's flood, and later a class of another team."""

    def both(second: int, rng: random.Random) -> list[api.JobSpec]:
        late = [array(second * 10 + 7, SERVICE, 2, 4.0, 10.0)]
        return high(second, rng) + (late if second >= 40 and second % 4 == 0 else [])

    cluster = OverloadCluster(5, both, ON)
    cluster.run(100)
    started, submitted = cluster.started_and_total("svc", 1000 + 85)
    assert started >= 0.8 * submitted

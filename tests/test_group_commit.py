"""The reference model and simulated concurrent failures, with the commit log enabled."""

from typing import Any

import pytest

from starlingdeck.api.stored_status import StoredStatusReader
from starlingdeck.jobs import commit_log
from starlingdeck.storage.commit_log import LOG_PREFIX
from tests.support import builders
from tests.support.builders import job_of_shard
from tests.support.failure_scenarios import FAILURE_SCENARIOS, SCENARIO_CLUSTERS, run_scenario
from tests.support.failures import inject_failure
from tests.support.reference_model import InvariantViolationError, ReferenceModel
from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.test_concurrent_failures import check_random_failures
from tests.test_read_consistency import ask_all, counts_while_writing, run_staggered_job

Patch = pytest.MonkeyPatch


@pytest.fixture(autouse=True)
def enable_commit_log(monkeypatch: Patch) -> None:
    monkeypatch.setattr(builders, "tuning", builders.GROUP_COMMIT)


def small_ring(monkeypatch: Patch) -> None:
    """Shrink the ring so that slots are reused and records rewritten in a short simulation."""
    monkeypatch.setattr(commit_log, "MAX_SLOTS", 8)
    monkeypatch.setattr(commit_log, "CHECKPOINT_SLOTS", 3)
    monkeypatch.setattr(commit_log, "SLOTS_FOR_ENDS", 2)
    monkeypatch.setattr(commit_log, "FULL_SEGMENT_BYTES", 200)


@pytest.mark.parametrize("first", [100, 110])
def test_invariants_hold_when_messages_are_lost_or_late(monkeypatch: Patch, first: int) -> None:
    small_ring(monkeypatch)
    starts, segments = 0, 0
    for seed in range(first, first + 10):
        model = ReferenceModel(seed, failure_rate=0.15)
        for _ in range(1500):
            model.step()
        starts += model.starts
        segments += sum(key.startswith(LOG_PREFIX) for key in model.state.keys)
    assert starts > 60
    assert segments > 60


@pytest.mark.parametrize(
    "scenario", [name for n, name in enumerate(FAILURE_SCENARIOS) if n % 4 == 1]
)
def test_failure_scenario(monkeypatch: Patch, scenario: str) -> None:
    small_ring(monkeypatch)
    cluster = SimulatedCluster(7, **SCENARIO_CLUSTERS.get(scenario, {}))
    cluster.mixed_ranks = scenario.startswith("more work than capacity")
    run_simulation(monkeypatch, cluster, run_scenario(cluster, FAILURE_SCENARIOS[scenario]))
    assert any(key.startswith(LOG_PREFIX) for key in cluster.state.keys)


def test_no_invariant_is_violated_under_random_failures(monkeypatch: Patch) -> None:
    small_ring(monkeypatch)
    check_random_failures(monkeypatch)


@pytest.mark.parametrize("failure", ["lost", "slow"])
def test_completed_count_does_not_fall_during_a_commit(monkeypatch: Patch, failure: str) -> None:
    """While the owner's commit is unanswered, other controllers answer from record and log."""
    counts = counts_while_writing(monkeypatch, failure)
    assert counts[0] < counts[-1]


def test_status_from_other_controllers_includes_the_commit_log(monkeypatch: Patch) -> None:
    """The record lacks changes that are only in the log.

    Computed from the record alone, a job's completed count fell as soon as its owner was
    unreachable. The simulation detects this when the log is ignored.
    """

    async def nothing(*_: Any) -> list[Any]:
        return []

    cluster = SimulatedCluster(5)

    async def drive() -> None:
        name = job_of_shard(0)
        await run_staggered_job(cluster, name)
        await cluster.run(4.0)
        await ask_all(cluster, name)
        assert cluster.reported_done[name] > 0
        inject_failure(cluster, "controller partition", 0)
        await ask_all(cluster, name)
        with monkeypatch.context() as patch:
            patch.setattr(StoredStatusReader, "_log_changes", nothing)
            with pytest.raises(InvariantViolationError, match="went_back"):
                await ask_all(cluster, name)
        cluster.heal()

    run_simulation(monkeypatch, cluster, drive())

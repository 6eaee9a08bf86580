"""Starts whose write was not answered count as used until it is certain that they can't happen."""

import curio
import pytest

from starlingdeck.storage import records
from starlingdeck.storage.state import OutcomeUnknownError
from tests.support.builders import job_of_shard
from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.support.simulated_state import TRANSACTION_TIMEOUT_S, change_as_sent

LATE_S = 8.0
NEVER_S = 1e9
LIMIT_CPUS = 8.0  # four tasks of two cores


def execute_next_start_late(cluster: SimulatedCluster, name: str, late_s: float) -> None:
    """Leave the next write of a job's existing record unanswered, and execute it later."""
    client = cluster.clients[0]
    original = client.transact

    async def late(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
        if not conditions.get(records.job_key(0, name)):  # 0: the submission
            return await original(conditions, changes, urgent)
        client.transact = original  # type: ignore[method-assign]
        sent = [change_as_sent(change) for change in changes]
        cluster.delayed_transactions.append((cluster.clock.at + late_s, dict(conditions), sent))
        await curio.sleep(TRANSACTION_TIMEOUT_S)
        raise OutcomeUnknownError("no answer")

    client.transact = late  # type: ignore[method-assign]  # a test double


@pytest.mark.parametrize("late_s", [LATE_S, NEVER_S])
def test_starts_that_are_recorded_late_stay_within_their_teams_limit(
    monkeypatch: pytest.MonkeyPatch, late_s: float
) -> None:
    """Their quota was given to another job, and the late write started them beside it.

    A write that is never executed must not hold their quota back either.
    """
    cluster = SimulatedCluster(13, workers=9, limit=LIMIT_CPUS)
    first, held, urgent = (job_of_shard(0, number) for number in range(3))

    async def drive() -> None:
        await cluster.run(4.0)
        # Its shard keeps the team's whole limit, so the others need no transfer.
        await cluster.spawn(lambda: cluster.submit(first, 4, 2.0, crew="blue"))
        await cluster.run(8.0)
        cluster.run_times[f"{urgent}/0"] = 12.0
        execute_next_start_late(cluster, held, late_s)
        await cluster.spawn(lambda: cluster.submit(held, 4, 30.0, crew="blue"))
        await cluster.run(1.0)
        await cluster.spawn(lambda: cluster.submit(urgent, 4, 30.0, crew="blue", rank="urgent"))
        await cluster.run(100.0)

    run_simulation(monkeypatch, cluster, drive())
    tasks = {f"{name}/{task}" for name in (first, held, urgent) for task in range(4)}
    assert cluster.completed_tasks == tasks

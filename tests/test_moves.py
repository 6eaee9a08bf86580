"""Moves of tasks between machines keep the constraints of their jobs."""

from typing import Any

import pytest

from starlingdeck.jobs.invariants import JobInvariantError
from starlingdeck.jobs.job import TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from tests.support.builders import Clock, job_of_shard, make_context, spec
from tests.support.simulated_cluster import SimulatedCluster, run_simulation

NOTICE_S = 12.0
SAVE_S = 4.0


async def submit(cluster: SimulatedCluster, name: str, tasks: int, **fields: Any) -> None:
    """Submit a job of long tasks, and let those start that find room."""
    await cluster.spawn(
        lambda: cluster.submit(name, tasks, 300.0, guess_s=300.0, loaners=True, **fields)
    )
    await cluster.run(3.0)


def test_a_task_waits_until_another_of_its_one_zone_job_has_left_the_old_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task that saved in one zone before its move to another left both open to the others."""
    cluster = SimulatedCluster(11, workers=3, zones=("a", "b", "a"))
    in_a, in_b, name = (job_of_shard(0, number) for number in range(3))

    async def drive() -> set[str]:
        await cluster.run(4.0)
        zone_a = [worker for worker in cluster.workers.values() if worker.zone == "a"]
        await submit(cluster, in_b, 2, roost="b")
        await submit(cluster, in_a, len(zone_a) * 2 - 1, roost="a")
        await submit(cluster, name, 2, same_place=True, mark_s=10.0, stash_s=SAVE_S)
        ((machine, _),) = cluster.live_tasks_of(name)
        await cluster.cancel(in_b, (0,))
        await cluster.run(3.0)
        assert len(cluster.live_tasks_of(name)) == 1
        cluster.workers[machine].notice_s = NOTICE_S
        await cluster.run(NOTICE_S)
        return {cluster.workers[machine].zone for machine, _ in cluster.live_tasks_of(name)}

    assert run_simulation(monkeypatch, cluster, drive()) == {"b"}
    assert cluster.reported_terminal[in_b][0] == api.CANCELLED
    assert len(cluster.live_tasks_of(name)) == 2


def test_a_start_in_a_second_zone_is_not_recorded() -> None:
    """The check of each write, in place of a planner that chose a wrong zone."""
    shard = JobShard(make_context(Clock()), 0, 3, 9)
    job = new_job(shard.context, spec(chores=2, same_place=True), 0, 0)
    job.key_versions[0] = 1
    machine, zone_a, zone_b = (
        shard.context.machine_names.intern("vm-1"),
        shard.context.zone_names.intern("a"),
        shard.context.zone_names.intern("b"),
    )
    job.placements[0] = TaskPlacement(machine, session=1, attempt=1, shard=0, zone=zone_a)
    job.pending_starts[1] = TaskPlacement(machine, session=1, attempt=1, shard=0, zone=zone_b)
    with pytest.raises(JobInvariantError, match="2 zones"):
        shard.draft_update(job)
    job.pending_starts[1].zone = zone_a
    assert shard.draft_update(job) is not None

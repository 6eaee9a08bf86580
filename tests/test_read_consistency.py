"""Users ask every controller within milliseconds: no answer is older than an earlier one.

`SimulatedCluster.request` checks each answer against those given before its request began.
"""

from typing import Any

import curio
import msgspec
import pytest

from starlingdeck.protocol import api
from starlingdeck.storage import records
from tests.support.builders import job_body
from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.test_concurrent_failures import inject_failure, job_of_shard


async def ask_all(cluster: SimulatedCluster, name: str) -> None:
    for number in range(3):
        await cluster.request(number, "POST", api.JOBS, msgspec.json.encode(cluster.jobs[name]))
        await cluster.request(number, "GET", f"{api.JOBS}/{name}")


async def run_staggered_job(
    cluster: SimulatedCluster, name: str, tasks: int = 6, **other: Any
) -> None:
    """A job whose tasks end one by one."""
    await cluster.run(4.0)
    for i in range(tasks):
        cluster.run_times[f"{name}/{i}"] = 2.0 + 1.3 * i
    await cluster.spawn(lambda: cluster.submit(name, tasks, 90.0, **other))
    await cluster.run(2.0)


def counts_while_writing(monkeypatch: pytest.MonkeyPatch, trouble: str) -> list[int]:
    """How many of a job's tasks are reported done, while its owner's writes are answered late or
    not at all and everybody is asked; a count that falls breaks an invariant."""
    cluster = SimulatedCluster(3)
    counts = []

    async def drive() -> None:
        name = job_of_shard(0)
        await run_staggered_job(cluster, name)
        inject_failure(cluster, "apart", 0)
        cluster.clients[0].lost_answer_share = float(trouble == "lost")
        cluster.clients[0].max_latency_s = 2.0
        for _ in range(80):
            await cluster.spawn(ask_all, cluster, name)
            await cluster.run(0.1)
            counts.append(cluster.reported_done.get(name, 0))
        cluster.heal()

    run_simulation(monkeypatch, cluster, drive())
    return counts


@pytest.mark.parametrize("trouble", ["lost", "slow"])
def test_no_count_falls_while_a_write_is_under_way(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """The owner's write of ended tasks was executed and its answer under way, or lost: others
    read and reported the count, then the owner reported the one before."""
    counts = counts_while_writing(monkeypatch, trouble)
    assert counts[0] < counts[-1]


def test_all_chunks_of_an_array_are_counted_without_its_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """By its record's first chunk alone an array's count fell once its owner was unreachable."""
    cluster = SimulatedCluster(4)
    tasks = records.TASKS_PER_CHUNK + 20

    async def drive() -> int:
        name = job_of_shard(0)
        await cluster.run(4.0)
        for i in range(tasks):
            cluster.run_times[f"{name}/{i}"] = 0.1 if i < tasks - 3 else 60.0
        await cluster.spawn(cluster.submit, name, tasks, 0.1)
        while cluster.reported_done.get(name, 0) < tasks - 5:
            await cluster.run(1.0)
            await ask_all(cluster, name)
        before = cluster.reported_done[name]
        inject_failure(cluster, "apart", 0)
        await ask_all(cluster, name)
        return before

    assert run_simulation(monkeypatch, cluster, drive()) > records.TASKS_PER_CHUNK


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_finished_jobs_count_stays_what_it_was(monkeypatch: pytest.MonkeyPatch, end: str) -> None:
    """A repeated submission to a new owner was answered that nothing of a finished job was done,
    and so was whoever asked about a cancelled one."""
    cluster = SimulatedCluster(5)

    async def drive() -> tuple[int, str]:
        name = job_of_shard(0)
        await run_staggered_job(cluster, name, 3)
        while cluster.reported_done.get(name, 0) < 2:
            await cluster.run(0.2)
            await ask_all(cluster, name)
        if end == "cancelled":
            await cluster.spawn(cluster.cancel, name, (1, 0, 2))
        while cluster.live_tasks_of(name) or name not in cluster.reported_terminal:
            await cluster.run(0.2)
            await ask_all(cluster, name)
        for _ in range(2):
            cluster.crash(0, 0.2)
            await cluster.run(6.0)
            await ask_all(cluster, name)
        # The owner has dropped it since, or is a new one: only the record has it.
        for node in cluster.controllers:
            for writer in node.writers.values():
                writer.shard.terminal_states.clear()
        await ask_all(cluster, name)
        return cluster.reported_done[name], cluster.reported_terminal[name][0]

    done, state = run_simulation(monkeypatch, cluster, drive())
    assert (done, state) == ((3, "done") if end == "done" else (done, "cancelled"))
    assert done >= 2


def test_a_job_that_ended_while_its_acceptance_was_under_way_stays_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The record of a submission was there and its answer under way: another request had the
    owner read it, cancel it and end it. Then the answer came, and the job was waiting again."""
    cluster = SimulatedCluster(6)

    async def drive() -> list[str]:
        await cluster.run(4.0)
        name, client = job_of_shard(0), cluster.clients[0]
        plain = client.transact

        async def slow(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
            revision = await plain(conditions, changes, urgent)
            if records.final_key(0, name) in conditions:
                await curio.sleep(1.5)
            return revision

        client.transact = slow  # type: ignore[method-assign]  # a test double
        cluster.cancellation_requested.add(name)
        cluster.jobs[name] = job_body(name)
        body = msgspec.json.encode(cluster.jobs[name])
        await cluster.spawn(cluster.request, 0, "POST", api.JOBS, body)
        await cluster.run(0.2)
        assert await cluster.request(0, "POST", f"{api.JOBS}/{name}/{api.CANCEL}") == 200
        answer = []
        for _ in range(20):
            await cluster.run(0.2)
            assert await cluster.request(0, "GET", f"{api.JOBS}/{name}") == 200
            answer.append(cluster.reported_terminal[name][0])
        assert not cluster.controllers[0].writers[0].shard.jobs
        return answer

    assert set(run_simulation(monkeypatch, cluster, drive())) == {"cancelled"}

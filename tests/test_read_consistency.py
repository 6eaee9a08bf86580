"""Users query every controller within milliseconds, and no response is older than an earlier one.

`SimulatedCluster.request` checks each response against those given before its request began.
"""

from typing import Any

import curio
import msgspec
import pytest

from starlingdeck.cluster.failover import takeover_delay_s
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import StateError
from starlingdeck.transport.server import Request, Response
from tests.support.builders import job_body, job_of_shard
from tests.support.failures import inject_failure
from tests.support.simulated_cluster import SimulatedCluster, run_simulation

# Both are less than a transaction's time-out.
TAKEOVER_ANSWER_DELAY_S = 1.5
SUBMISSION_DELAY_S = 1.5


async def ask_all(cluster: SimulatedCluster, name: str) -> None:
    for number in range(3):
        await cluster.request(number, "POST", api.JOBS, msgspec.json.encode(cluster.jobs[name]))
        await cluster.request(number, "GET", f"{api.JOBS}/{name}")


async def run_staggered_job(
    cluster: SimulatedCluster, name: str, tasks: int = 6, **other: Any
) -> None:
    """Submit a job whose tasks end one by one, and let it run for 2 s."""
    await cluster.run(4.0)
    for i in range(tasks):
        cluster.run_times[f"{name}/{i}"] = 2.0 + 1.3 * i
    await cluster.spawn(lambda: cluster.submit(name, tasks, 90.0, **other))
    await cluster.run(2.0)


def counts_while_writing(monkeypatch: pytest.MonkeyPatch, failure: str) -> list[int]:
    """Return how many of a job's tasks had been reported done, every 0.1 s, while the writes of its
    owner were answered late or not at all and all controllers were queried.

    A count that falls raises InvariantViolationError.
    """
    cluster = SimulatedCluster(3)
    counts = []

    async def drive() -> None:
        name = job_of_shard(0)
        await run_staggered_job(cluster, name)
        inject_failure(cluster, "controller partition", 0)
        cluster.clients[0].lost_answer_share = float(failure == "lost")
        cluster.clients[0].max_latency_s = 2.0
        for _ in range(80):
            await cluster.spawn(ask_all, cluster, name)
            await cluster.run(0.1)
            counts.append(cluster.reported_done.get(name, 0))
        cluster.heal()

    run_simulation(monkeypatch, cluster, drive())
    return counts


@pytest.mark.parametrize("failure", ["lost", "slow"])
def test_reported_completed_count_during_an_unanswered_write_never_falls(
    monkeypatch: pytest.MonkeyPatch, failure: str
) -> None:
    """The owner's write of ended tasks was executed, but its answer was late or lost: other
    controllers read and reported the new count, then the owner reported the old one."""
    counts = counts_while_writing(monkeypatch, failure)
    assert counts[0] < counts[-1]


def test_array_whose_owner_is_unreachable_reports_the_tasks_of_all_chunks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the first chunk was counted, so an array's count fell once its owner was unreachable."""
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
        inject_failure(cluster, "controller partition", 0)
        await ask_all(cluster, name)
        return before

    assert run_simulation(monkeypatch, cluster, drive()) > records.TASKS_PER_CHUNK


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_finished_job_keeps_its_reported_completed_count(
    monkeypatch: pytest.MonkeyPatch, end: str
) -> None:
    """A new owner answered a repeated submission of a finished job, and queries of a cancelled one,
    with a completed count of 0."""
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
        # As if every owner had dropped the job, or were new: only the record has it.
        for node in cluster.controllers:
            for writer in node.writers.values():
                writer.shard.terminal_states.clear()
        await ask_all(cluster, name)
        return cluster.reported_done[name], cluster.reported_terminal[name][0]

    done, state = run_simulation(monkeypatch, cluster, drive())
    assert (done, state) == ((3, "done") if end == "done" else (done, "cancelled"))
    assert done >= 2


def delay_answer_of_submission(cluster: SimulatedCluster, name: str) -> None:
    """Execute the owner's write of a submission at once, and answer it SUBMISSION_DELAY_S later."""
    client = cluster.clients[0]
    original = client.transact

    async def slow(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
        revision = await original(conditions, changes, urgent)
        if records.final_key(0, name) in conditions:
            await curio.sleep(SUBMISSION_DELAY_S)
        return revision

    client.transact = slow  # type: ignore[method-assign]  # a test double


def test_job_that_ends_before_its_submission_is_answered_stays_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The record of a submission was written and its answer had not arrived, when another request
    had the owner read the job, cancel it and end it. Then the answer came, and the owner kept the
    job as queued."""
    cluster = SimulatedCluster(6)

    async def drive() -> list[str]:
        await cluster.run(4.0)
        name = job_of_shard(0)
        delay_answer_of_submission(cluster, name)
        cluster.cancellation_requested.add(name)
        cluster.jobs[name] = job_body(name)
        body = msgspec.json.encode(cluster.jobs[name])
        await cluster.spawn(cluster.request, 0, "POST", api.JOBS, body)
        await cluster.run(0.2)
        assert await cluster.request(0, "POST", f"{api.JOBS}/{name}/{api.CANCEL}") == 200
        states = []
        for _ in range(20):
            await cluster.run(0.2)
            assert await cluster.request(0, "GET", f"{api.JOBS}/{name}") == 200
            states.append(cluster.reported_terminal[name][0])
        assert not cluster.controllers[0].writers[0].shard.jobs
        return states

    assert set(run_simulation(monkeypatch, cluster, drive())) == {"cancelled"}


def delay_takeover_past_the_lease(cluster: SimulatedCluster, number: int, from_s: float) -> None:
    """Answer the next takeover late; refuse renewals from `from_s` until the lease has ended."""
    client = cluster.clients[number]
    transact, renew = client.transact, client.renew
    renewed_since: list[int] = []  # the lease that was renewed once more after `from_s`
    delayed: list[int] = []

    async def slow(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
        revision = await transact(conditions, changes, urgent)
        if changes and changes[0].put == records.shard_key(0) and not delayed:
            delayed.append(revision)
            await curio.sleep(TAKEOVER_ANSWER_DELAY_S)
        return revision

    async def refused(lease: int) -> None:
        if lease in renewed_since and lease in cluster.state.leases:
            raise StateError("503")
        await renew(lease)
        if cluster.clock.at >= from_s and not renewed_since:
            renewed_since.append(lease)

    client.transact, client.renew = slow, refused  # type: ignore[method-assign]  # test doubles


def test_a_shard_acquired_under_a_lease_that_has_ended_is_not_answered_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The takeover is answered once its sender has a new lease and the shard another owner."""
    cluster = SimulatedCluster(7)

    async def drive() -> str:
        name = job_of_shard(0)
        await cluster.run(4.0)
        await cluster.spawn(cluster.submit, name, 2, 90.0)
        await cluster.run(2.0)
        cluster.crash(0, 60.0)
        cluster.partitions.add(frozenset((1, 2)))
        key_ends_at = cluster.state.leases[cluster.state.attached[records.shard_key(0)]]
        first = min(
            (1, 2), key=lambda n: takeover_delay_s(cluster.controllers[n].context, 0, (1, 2))
        )
        delay_takeover_past_the_lease(cluster, first, key_ends_at - 1.6)
        second = 3 - first
        await cluster.run(key_ends_at + TAKEOVER_ANSWER_DELAY_S + 0.6 - cluster.clock.at)
        await cluster.spawn(cluster.cancel, name, (second,))
        for _ in range(20):
            await cluster.run(0.1)
            await cluster.request(first, "GET", f"{api.JOBS}/{name}")
        return cluster.reported_terminal[name][0]

    assert run_simulation(monkeypatch, cluster, drive()) == api.CANCELLED


def test_an_acceptance_answered_after_its_cancellation_was_confirmed_is_not_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer to the submission's write comes late; the job's end can't be written meanwhile."""
    cluster = SimulatedCluster(8)

    async def drive() -> Response:
        await cluster.run(4.0)
        name, client, owner = job_of_shard(0), cluster.clients[0], cluster.controllers[0]
        delay_answer_of_submission(cluster, name)
        delayed = client.transact

        async def without_ends(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
            if any(change.put == records.final_key(0, name) for change in changes):
                raise StateError("429")
            return await delayed(conditions, changes, urgent)

        client.transact = without_ends  # type: ignore[method-assign]  # a test double
        cluster.cancellation_requested.add(name)
        cluster.jobs[name] = job_body(name)
        body = msgspec.json.encode(cluster.jobs[name])
        responses: list[Response] = []

        async def submit() -> None:
            responses.append(await owner.serve(Request("POST", api.JOBS, body)))

        await cluster.spawn(submit)
        await cluster.run(0.2)
        assert await cluster.request(0, "POST", f"{api.JOBS}/{name}/{api.CANCEL}") == 200
        assert cluster.reported_terminal[name][0] == api.CANCELLED
        await cluster.run(2.0)
        client.transact = delayed  # type: ignore[method-assign]  # the end can be written again
        return responses[0]

    response = run_simulation(monkeypatch, cluster, drive())
    answered = response.status in (200, 201)
    state = msgspec.json.decode(response.body, type=api.JobStatus).state if answered else ""
    assert (response.status, state) in ((503, ""), (200, api.CANCELLED))

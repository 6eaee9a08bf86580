"""Each check of the simulated cluster detects the fault that is injected for it."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from starlingdeck import context
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response
from tests.support.builders import job_of_shard
from tests.support.failure_scenarios import wait_for_terminal_states
from tests.support.reference_model import FakeWorker, InvariantViolationError
from tests.support.simulated_cluster import SimulatedCluster, run_simulation

Patch = pytest.MonkeyPatch
NAME = job_of_shard(0)


async def run_one_job(
    cluster: SimulatedCluster, tasks: int = 2, run_s: float = 8.0, **other: Any
) -> None:
    await cluster.run(4.0)
    await cluster.spawn(lambda: cluster.submit(NAME, tasks, run_s, **other))
    await cluster.run(4.0)


def answer_always(cluster: SimulatedCluster, code: int, **answer: Any) -> None:
    """Make controller 1 give this answer to every request; instead of 400, queries get 404."""
    body = msgspec.json.encode({"uid": NAME, **answer})

    async def serve(request: Request) -> Response:
        return Response(code if request.method == "POST" or code != 400 else 404, body)

    cluster.controllers[1].serve = serve  # type: ignore[method-assign]


async def query(cluster: SimulatedCluster, method: str = "GET") -> None:
    """Query in the background, as users do: a violation found there must fail the simulation."""
    await cluster.spawn(cluster.request, 1, method, f"{api.JOBS}/{NAME}")
    await cluster.run(0.2)


# Wrong answers about a running job of which no task is done.
WRONG_ANSWERS: list[tuple[int, dict[str, Any], str]] = [
    (404, {"error": "no such job"}, "forgotten: .* 404"),
    (200, {"status": "done", "done": 2}, "not_done"),
    (200, {"status": "running", "done": 1}, "not_done: .* reported 1"),
    (200, {"status": "cancelled"}, "never cancelled"),
]


@pytest.mark.parametrize(("code", "answer", "violation"), WRONG_ANSWERS)
def test_a_wrong_answer_is_detected(
    monkeypatch: Patch, code: int, answer: dict[str, Any], violation: str
) -> None:
    cluster = SimulatedCluster(3)

    async def drive() -> None:
        await run_one_job(cluster)
        answer_always(cluster, code, **answer)
        await query(cluster)

    with pytest.raises(InvariantViolationError, match=violation):
        run_simulation(monkeypatch, cluster, drive())


async def resubmission_refused(cluster: SimulatedCluster, _patch: Patch) -> None:
    await run_one_job(cluster)
    answer_always(cluster, 422, error="never")
    body = msgspec.json.encode(cluster.jobs[NAME])
    await cluster.spawn(cluster.request, 1, "POST", api.JOBS, body)
    await cluster.run(0.2)


async def done_count_falls(cluster: SimulatedCluster, _patch: Patch) -> None:
    cluster.run_times[f"{NAME}/0"] = 1.0
    await run_one_job(cluster)
    await cluster.request(0, "GET", f"{api.JOBS}/{NAME}")
    answer_always(cluster, 200, status="running", done=0)
    await query(cluster)


async def running_after_done(cluster: SimulatedCluster, _patch: Patch) -> None:
    await run_one_job(cluster, run_s=1.0)
    await wait_for_terminal_states(cluster, [NAME])
    answer_always(cluster, 200, status="running")
    await query(cluster)


async def unknown_job_answered(cluster: SimulatedCluster, _patch: Patch) -> None:
    await run_one_job(cluster)
    answer_always(cluster, 200, status="queued")
    await cluster.spawn(cluster.request, 1, "GET", f"{api.JOBS}/{job_of_shard(1)}")
    await cluster.run(0.2)


async def invalid_job_accepted(cluster: SimulatedCluster, _patch: Patch) -> None:
    await run_one_job(cluster)
    answer_always(cluster, 201, status="queued")
    await cluster.spawn(cluster.send_invalid_requests, NAME)
    await cluster.run(0.2)


async def wrong_refusal_status(cluster: SimulatedCluster, _patch: Patch) -> None:
    """A controller rejects a job that fits nowhere with the status for a malformed one."""
    await run_one_job(cluster)
    answer_always(cluster, 400, error="no")
    cluster.acknowledged.clear()
    await cluster.spawn(cluster.send_invalid_requests, NAME)
    await cluster.run(0.2)


async def ran_twice(cluster: SimulatedCluster, patch: Patch) -> None:
    """The service assumes that leases expire far too early."""
    patch.setattr(context.ControllerContext, "lease_expiry_s", property(lambda _: 0.5))
    await run_one_job(cluster, 4, 60.0)
    cluster.blocked_worker_links |= {
        (i, machine) for machine, _ in cluster.live_tasks_of(NAME) for i in range(3)
    }
    await cluster.run(8.0)


async def quota_exceeded(cluster: SimulatedCluster, _patch: Patch) -> None:
    """The service enforces a higher limit than the one that is checked."""
    await cluster.run(4.0)
    cluster.limit = 4.0
    await cluster.spawn(lambda: cluster.submit(NAME, 4, 30.0, crew="blue"))
    await cluster.run(4.0)


async def wrong_zone(cluster: SimulatedCluster, _patch: Patch) -> None:
    """The service doesn't know that the job is bound to a zone."""
    await cluster.run(4.0)
    await cluster.spawn(cluster.submit, NAME, 8, 30.0)
    await cluster.run(0.1)
    cluster.jobs[NAME]["roost"] = "b"
    await cluster.run(4.0)


async def wrong_machine_type(cluster: SimulatedCluster, _patch: Patch) -> None:
    """The service doesn't know that the job is bound to machine types."""
    await cluster.run(4.0)
    await cluster.spawn(cluster.submit, NAME, 8, 30.0)
    await cluster.run(0.1)
    cluster.jobs[NAME]["builds"] = ["big"]
    await cluster.run(4.0)


async def spot_machine_not_allowed(cluster: SimulatedCluster, _patch: Patch) -> None:
    """Spot machines report that they are not."""
    await cluster.run(4.0)
    await cluster.spawn(cluster.submit, NAME, 8, 30.0)
    await cluster.run(0.1)
    for worker in cluster.workers.values():
        worker.spot = True
    await cluster.run(4.0)


async def tasks_not_spread(cluster: SimulatedCluster, _patch: Patch) -> None:
    await cluster.run(4.0)
    await cluster.spawn(cluster.submit, NAME, 12, 30.0)
    await cluster.run(0.1)
    cluster.jobs[NAME].update(spread=True, chores=2)
    await cluster.run(4.0)


async def ran_after_cancellation(cluster: SimulatedCluster, patch: Patch) -> None:
    """Workers ignore stop commands."""
    original = FakeWorker.execute

    def execute(worker: FakeWorker, command: api.Command) -> None:
        if command.op != api.STOP:
            original(worker, command)

    patch.setattr(FakeWorker, "execute", execute)
    await run_one_job(cluster, 2, 200.0)
    await cluster.spawn(cluster.cancel, NAME, (0,))
    await cluster.run(50.0)


async def started_after_cancellation(cluster: SimulatedCluster, _patch: Patch) -> None:
    await run_one_job(cluster, 2, 200.0)
    await cluster.spawn(cluster.cancel, NAME, (0,))
    await cluster.run(45.0)
    worker = next(iter(cluster.workers.values()))
    worker.execute(api.Command(api.START, f"{NAME}/0", 9))
    await cluster.run(0.2)


async def never_placed(cluster: SimulatedCluster, _patch: Patch) -> None:
    """Scheduling cycles place nothing."""
    await cluster.run(4.0)

    async def run_cycle() -> None:
        return None

    for controller in cluster.controllers:
        controller.planner.run_cycle = run_cycle  # type: ignore[method-assign, assignment]
    await cluster.spawn(cluster.submit, NAME, 2, 5.0)
    await cluster.run(1.0)
    cluster.heal()
    await cluster.run(95.0)


async def users_unanswered(cluster: SimulatedCluster, patch: Patch) -> None:
    await run_one_job(cluster, run_s=500.0)
    for number in range(3):
        cluster.closed_to_users.add(number)
    patch.setattr(cluster, "heal", lambda: None)
    await wait_for_terminal_states(cluster, [NAME])


CHECKS: list[tuple[Callable[[SimulatedCluster, Patch], Any], str]] = [
    (resubmission_refused, "forgotten: .* 422"),
    (done_count_falls, "went_back: .* has 0"),
    (running_after_done, "went_back: .* is running"),
    (unknown_job_answered, "invented"),
    (invalid_job_accepted, "invented"),
    (wrong_refusal_status, "answered 400, not 422"),
    (ran_twice, "ran_twice"),
    (quota_exceeded, "quota"),
    (wrong_zone, "wrong_place"),
    (wrong_machine_type, "wrong_place"),
    (spot_machine_not_allowed, "wrong_place"),
    (tasks_not_spread, "wrong_place"),
    (ran_after_cancellation, "ran_cancelled: .* s after"),
    (started_after_cancellation, "ran_cancelled: .* began"),
    (never_placed, "waits"),
    (users_unanswered, "forgotten"),
]


@pytest.mark.parametrize(("scenario", "violation"), CHECKS, ids=[c.__name__ for c, _ in CHECKS])
def test_an_injected_fault_is_detected(
    monkeypatch: Patch, scenario: Callable[[SimulatedCluster, Patch], Any], violation: str
) -> None:
    # A scenario that needs two zones mentions them in its docstring, or spreading in its name.
    zones = (
        ("a", "b", "a")
        if "zone" in str(scenario.__doc__) or "spread" in scenario.__name__
        else None
    )
    cluster = SimulatedCluster(3, limit=24.0, zones=zones or ("a", "a", "a"))
    with pytest.raises((InvariantViolationError, AssertionError), match=violation):
        run_simulation(monkeypatch, cluster, scenario(cluster, monkeypatch))


def test_an_answer_that_its_own_controller_contradicts_is_detected(monkeypatch: Patch) -> None:
    cluster = SimulatedCluster(4)

    def cancelled(_shard: JobShard, job: Job) -> api.JobStatus:
        return api.JobStatus(job.id, api.CANCELLED)

    async def drive() -> None:
        await run_one_job(cluster)
        monkeypatch.setattr(JobShard, "status", cancelled)
        await query(cluster)

    with pytest.raises(InvariantViolationError, match="answer violation"):
        run_simulation(monkeypatch, cluster, drive())

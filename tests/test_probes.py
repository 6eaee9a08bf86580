"""Jobs that fail wherever they run are probed seldom; sound jobs and other suspects go on."""

import curio
import pytest

from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import STEADY_RUN_S, Job, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.support.builders import Clock, spec
from tests.test_planner import machine, planning_controller


def add_job(controller: Controller, shard: JobShard, uid: str, **fields: object) -> Job:
    """Add a job to a shard that has failed on three machines."""
    job = new_job(controller.context, spec(uid, **fields), 0, 0)
    job.failed_on = {90, 91, 92}
    shard.jobs[job.index] = job
    return job


def requested_jobs(controller: Controller, cycles: int = 1) -> list[str]:
    """Run cycles that grant nothing; return the jobs for which capacity was requested."""
    requested: list[str] = []

    def reserve(message: pb.ReserveRequest) -> pb.ReserveReply:
        requested.append(message.job.id)
        return pb.ReserveReply()

    async def drive() -> None:
        for _ in range(cycles):
            await controller.planner.run_cycle()
            await curio.sleep(0)

    controller.planner.reservations.reserve_local = reserve
    controller.peers.last_heard_at[0] = 1e9
    curio.run(drive)
    return requested


def test_a_suspect_job_without_room_leaves_the_probe_to_the_next() -> None:
    """A large job took every probe without a machine to use it on; a small one was never placed."""
    controller, shard = planning_controller(Clock(), machine("vm-1", 2.0))
    add_job(controller, shard, "j-000001", chores=1, cores=4.0)
    add_job(controller, shard, "j-000002", chores=1, cores=2.0)
    assert requested_jobs(controller) == ["j-000002"]


def test_suspect_jobs_share_one_limit() -> None:
    controller, shard = planning_controller(Clock(), machine("vm-1"), machine("vm-2"))
    for number in range(4):
        add_job(controller, shard, f"j-00000{number}", chores=1, cores=2.0)
    burst = int(controller.planner.probes.limiter.burst)
    assert len(requested_jobs(controller, cycles=5)) == burst < 4


@pytest.mark.parametrize(
    ("state", "ran_s", "replaced"),
    [
        (api.TASK_RUNNING, STEADY_RUN_S, True),
        (api.TASK_RUNNING, STEADY_RUN_S / 2, False),
        (api.TASK_FETCHING, STEADY_RUN_S, False),
    ],
)
def test_a_replica_is_replaced_beside_one_that_runs_well(
    state: int, ran_s: float, replaced: bool
) -> None:
    """A service that had failed on three machines never got a lost replica back."""
    clock = Clock()
    controller, shard = planning_controller(clock, machine("vm-1"))
    job = add_job(controller, shard, "j-000001", chores=2, shape="daemon")
    job.task_states[0], job.attempts[0] = 1, 1
    job.placements[0] = TaskPlacement(
        50, 1, 1, 0, 0, observed_state=state, state_since=clock.at - ran_s
    )
    assert requested_jobs(controller) == (["j-000001"] if replaced else [])

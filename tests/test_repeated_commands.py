"""Start commands that were executed and answered arrive at their machine once more, late.

The machine accepts them while token and session still match. If it was told to reap the attempt
before, it starts the attempt again, beside the task's next attempt on another machine.
"""

import pytest

from starlingdeck.protocol import api
from tests.support.builders import job_of_shard
from tests.support.simulated_cluster import SimulatedCluster, SimulatedWorker, run_simulation

NAME = job_of_shard(0)
TASK = f"{NAME}/0"


class CommandRecorder:
    """Keeps the direct commands that workers have answered, to deliver them once more."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.answered: list[tuple[str, api.Commands]] = []
        cluster.schedule_repeats = self._record  # type: ignore[method-assign]

    def _record(self, worker: str, commands: api.Commands) -> None:
        self.answered.append((worker, commands))

    def repeat_starts(self, machine: str) -> None:
        """Deliver all calls with starts that this machine has answered, the last one first."""
        for worker, commands in reversed(self.answered):
            if worker == machine and any(c.op == api.START for c in commands.commands):
                self.cluster.deliver_repeat(worker, commands)


async def run_failing_task(cluster: SimulatedCluster) -> SimulatedWorker:
    """Run a one-task job whose first attempt fails; return the machine of that attempt."""
    await cluster.run(4.0)
    cluster.task_failure_share = 1.0
    await cluster.spawn(lambda: cluster.submit(NAME, 1, 500.0))
    while not cluster.start_counts.get(TASK):
        await cluster.run(0.1)
    cluster.task_failure_share = 0.0
    first = next(worker for worker, _, _ in cluster.live_tasks(NAME))
    while cluster.start_counts[TASK] < 2:
        await cluster.run(0.1)
    assert cluster.live_tasks_of(NAME)[0][0] != first.name
    return first


def test_a_repeated_start_of_a_failed_attempt_does_not_run_beside_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = SimulatedCluster(1)
    recorder = CommandRecorder(cluster)

    async def drive() -> None:
        first = await run_failing_task(cluster)
        for _ in range(300):
            recorder.repeat_starts(first.name)
            await cluster.run(0.2)

    run_simulation(monkeypatch, cluster, drive())

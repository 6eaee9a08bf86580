"""Start commands that were executed and answered arrive at their machine once more, late.

The machine accepts them while token and session still match. If it was told to reap the attempt
before, it starts the attempt again, beside the task's next attempt on another machine.
"""

import random
from collections.abc import Callable

import pytest

from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.support.builders import Clock, job_of_shard, make_context, spec
from tests.support.reference_model import FakeWorker, InvariantViolationError, ReferenceModel
from tests.support.simulated_cluster import (
    CANCEL_S,
    SimulatedCluster,
    run_simulation,
)
from tests.support.simulated_worker import SimulatedWorker

NAME = job_of_shard(0)
TASK = f"{NAME}/0"
MAX_WAIT_S = 60.0


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


async def run_until(cluster: SimulatedCluster, condition: Callable[[], bool]) -> None:
    """Advance the simulation until the condition is true, at most for MAX_WAIT_S."""
    deadline = cluster.clock.at + MAX_WAIT_S
    while not condition():
        assert cluster.clock.at < deadline
        await cluster.run(0.1)


async def run_failing_task(cluster: SimulatedCluster) -> SimulatedWorker:
    """Run a one-task job whose first attempt fails; return the machine of that attempt."""
    await cluster.run(4.0)
    cluster.task_failure_share = 1.0
    await cluster.spawn(lambda: cluster.submit(NAME, 1, 500.0))
    await run_until(cluster, lambda: TASK in cluster.start_counts)
    cluster.task_failure_share = 0.0
    first = next(worker for worker, _, _ in cluster.live_tasks(NAME))
    await run_until(cluster, lambda: cluster.start_counts[TASK] == 2)
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


def crash_owner_for_a_moment(cluster: SimulatedCluster, machine: SimulatedWorker) -> None:
    cluster.crash(cluster.ownership_of(machine)[0], 0.2)


def crash_owner(cluster: SimulatedCluster, machine: SimulatedWorker) -> None:
    cluster.crash(cluster.ownership_of(machine)[0], 6.0)


def refuse_owner(cluster: SimulatedCluster, machine: SimulatedWorker) -> None:
    cluster.clients[cluster.ownership_of(machine)[0]].cut ^= True


@pytest.mark.parametrize(
    "change", [crash_owner_for_a_moment, crash_owner, refuse_owner], ids=lambda f: f.__name__
)
def test_a_start_repeated_while_the_machines_owner_changes_does_not_run(
    monkeypatch: pytest.MonkeyPatch, change: Callable[[SimulatedCluster, SimulatedWorker], None]
) -> None:
    cluster = SimulatedCluster(2)
    recorder = CommandRecorder(cluster)

    async def drive() -> None:
        first = await run_failing_task(cluster)
        for tick in range(200):
            if tick in (5, 35, 60):
                change(cluster, first)
            recorder.repeat_starts(first.name)
            await cluster.run(0.2)

    run_simulation(monkeypatch, cluster, drive())


@pytest.mark.parametrize("crash_s", [0.0, 0.2])
def test_a_repeated_start_of_a_cancelled_job_does_not_run_long_after(
    monkeypatch: pytest.MonkeyPatch, crash_s: float
) -> None:
    cluster = SimulatedCluster(3)
    recorder = CommandRecorder(cluster)

    async def drive() -> None:
        await cluster.run(4.0)
        await cluster.spawn(lambda: cluster.submit(NAME, 4, 500.0))
        await cluster.run(6.0)
        await cluster.spawn(cluster.cancel, NAME, (0,))
        await cluster.run(1.0)
        if crash_s:
            for number in range(3):
                cluster.crash(number, crash_s)
        await cluster.run(CANCEL_S)
        for _ in range(30):
            for machine in cluster.workers:
                recorder.repeat_starts(machine)
            await cluster.run(0.5)

    run_simulation(monkeypatch, cluster, drive())


def test_a_repeated_start_of_a_moved_task_does_not_run_beside_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = SimulatedCluster(4)
    recorder = CommandRecorder(cluster)

    async def drive() -> None:
        await cluster.run(4.0)
        await cluster.spawn(lambda: cluster.submit(NAME, 1, 500.0))
        await cluster.run(4.0)
        first = next(worker for worker, _, _ in cluster.live_tasks(NAME))
        first.notice_s, first.next_report_at = 3.0, cluster.clock.at
        await run_until(cluster, lambda: cluster.start_counts[TASK] == 2)
        assert cluster.live_tasks_of(NAME)[0][0] != first.name
        for _ in range(100):
            recorder.repeat_starts(first.name)
            await cluster.run(0.2)

    run_simulation(monkeypatch, cluster, drive())


def test_a_start_repeated_after_the_machine_is_back_at_once_does_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """From the first token that the restarted machine sees, copies of older starts are refused."""
    cluster = SimulatedCluster(5)
    recorder = CommandRecorder(cluster)

    async def drive() -> None:
        first = await run_failing_task(cluster)
        for tick in range(300):
            if tick % 50 == 0:
                first.restart(cluster.clock.at)
            recorder.repeat_starts(first.name)
            await cluster.run(0.1)
        assert first.token

    run_simulation(monkeypatch, cluster, drive())


class OneMachine(ReferenceModel):
    """A worker, and the shard that it belongs to; every answered call may arrive once more."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.shard = MachineShard(make_context(self.clock), 0, 5, 9, 0.0)
        self.worker = FakeWorker("vm-1", "a", self, slots=3)
        self.worker.token = 5
        self.answered: list[api.Commands] = []
        self.desired: dict[int, int] = {}  # task -> attempt
        self.attempts = dict.fromkeys(range(6), 0)  # task -> last attempt
        self.ended: set[tuple[str, int]] = set()  # attempts that have ended in this session
        self.seq = 0
        self.raises = 0
        self.send_desired(full=True)

    def on_task_launched(self, name: str) -> None:
        """Check that an attempt that has ended in this session does not start again."""
        attempt = self.worker.tasks[name].attempt
        if (name, attempt) in self.ended:
            raise InvariantViolationError(f"started again: {name} attempt {attempt}")

    def on_task_started(self, worker: FakeWorker, name: str) -> None:
        """Accept every start: `on_task_launched` has checked it."""

    def send_desired(self, full: bool = False, removed: tuple[int, ...] = ()) -> None:
        """Send the desired attempts to the shard, as the owner of the job's shard does."""
        self.seq += 1
        job = new_job(self.shard.context, spec(NAME, chores=6, cores=1.0), 0, 0)
        message = pb.DesiredState(
            from_shard=0, from_token=5, to_epoch=9, seq=self.seq, full=full, watermark_ms=10**9
        )
        message.jobs.append(job_message(job))
        for task, attempt in self.desired.items():
            message.tasks.add(task=task, attempt=attempt, machine="vm-1", session=1)
        for task in removed:
            message.removed.add(job=NAME, task=task, machine="vm-1")
        assert self.shard.apply_desired_state(message)

    def report(self) -> None:
        """Send a report, and execute the commands of its answer."""
        body = self.worker.report()
        machine = self.shard.apply_report(body, True)
        commands = self.shard.pending_commands(machine, True)
        self.worker.handle_reply(
            api.ReportReply(self.shard.token, commands), self.worker.session, self.clock.at
        )

    def call(self) -> None:
        """Send the direct commands that are due, and apply the answer."""
        for machine in self.shard.reconcile():
            commands = self.shard.commands_for(machine, True)
            position = machine.position()
            status, report = self.worker.handle_commands(commands)
            self.answered.append(commands)
            self.shard.apply_report(report, False, position)
            if status == 409:
                self.shard.on_command_rejected(machine)

    def raise_token(self) -> None:
        """Raise the token if the shard asks for it."""
        if self.shard.needs_new_token():
            self.shard.token += 1
            self.raises += 1

    def place(self) -> None:
        """Place the next attempt of a task that has none on the machine."""
        task = self.rng.randrange(6)
        if task not in self.desired:
            self.attempts[task] += 1
            self.desired[task] = self.attempts[task]
            self.send_desired()

    def end(self) -> None:
        """End a live task, or have the record of one that has ended say so."""
        for name, task in self.worker.tasks.items():
            number = int(name.split("/")[1])
            if task.state != "exited" and self.rng.random() < 0.3:
                task.state, task.exit_reason = "exited", "error"
            if task.state == "exited":
                self.ended.add((name, task.attempt))
                if self.desired.get(number) == task.attempt and self.rng.random() < 0.5:
                    del self.desired[number]
                    self.send_desired(removed=(number,))

    def repeat(self) -> None:
        """Deliver some answered calls once more, in any order."""
        for commands in self.rng.sample(self.answered, min(4, len(self.answered))):
            self.worker.handle_commands(commands)

    def step(self) -> None:
        """Let something happen."""
        self.clock.at += self.rng.uniform(0.05, 0.8)
        self.rng.choice(
            (self.report, self.call, self.raise_token, self.place, self.end, self.repeat)
        )()


@pytest.mark.parametrize("seed", range(20))
def test_no_attempt_starts_twice_in_a_session_whatever_is_repeated(seed: int) -> None:
    machine = OneMachine(seed)
    for _ in range(400):
        machine.step()
    assert len(machine.ended) > 10
    assert machine.raises > 2

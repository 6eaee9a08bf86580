"""A completed task stays completed: it is not started again, and it counts once."""

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.jobs.invariants import JobInvariantError
from starlingdeck.jobs.job import DONE, Job, new_job
from starlingdeck.jobs.job_records import load_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.decision import PlacementDecision
from starlingdeck.storage.records import Chunk, JobRecord, PlacementRecord
from tests.support.builders import Clock, job_of_shard, make_context, spec
from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.test_planner import machine, planning_controller

REPLY_DELAY_S = 1.4  # less than the controllers' time-out for each other's replies
NOTICE_S = 12.0
SHORT_RUN_S = 6.0
LONG_RUN_S = 60.0
ESTIMATE_S = 30.0  # of both tasks, so that the short one does not seem to end in time


async def run_until_first_completion(cluster: SimulatedCluster, name: str) -> None:
    """Run a job of two tasks on machines of another shard than the job's, until one completes.

    The completing task's machine gets a notice just before, and the reservation for the task's move
    is answered just after.
    """
    await cluster.run(4.0)
    short = f"{name}/0"
    cluster.run_times[short] = SHORT_RUN_S
    await cluster.spawn(
        lambda: cluster.submit(name, 2, LONG_RUN_S, guess_s=ESTIMATE_S, roost="b", loaners=True)
    )
    while not cluster.start_counts.get(short):
        await cluster.run(0.1)
    worker = next(w for w in cluster.workers.values() if short in w.tasks)
    await cluster.run(worker.exit_times[short] - 0.7 - cluster.clock.at)
    cluster.peer_latency_s = REPLY_DELAY_S
    worker.notice_s, worker.next_report_at = NOTICE_S, cluster.clock.at
    while short not in cluster.completed_tasks:
        await cluster.run(0.1)
    worker.next_report_at = cluster.clock.at


def test_a_task_that_completed_while_its_move_was_reserved_is_not_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was started once more and counted twice: its job was called done while a task ran."""
    cluster = SimulatedCluster(9, zones=("a", "b", "a"))
    name = job_of_shard(0)

    async def drive() -> str:
        await run_until_first_completion(cluster, name)
        while name not in cluster.reported_terminal:
            await cluster.request(0, "GET", f"{api.JOBS}/{name}")
            await cluster.run(0.2)
        return cluster.reported_terminal[name][0]

    assert run_simulation(monkeypatch, cluster, drive()) == api.DONE
    assert cluster.start_counts == {f"{name}/0": 1, f"{name}/1": 1}


class LateAnswers:
    """A job of two tasks whose reservations and writes are answered when the test says so.

    Beside it stands what is true: the started attempts and the completed tasks.
    """

    def __init__(self) -> None:
        clock = Clock()
        self.controller, self.shard = planning_controller(clock, machine("vm-1"))
        self.controller.membership.owners[2] = ShardOwner(1, 5, 77)
        self.controller.peers.call = self.reserve  # type: ignore[method-assign, assignment]
        self.job: Job = new_job(self.controller.context, spec(chores=2), 0, 0)
        self.job.key_versions[0] = 1
        self.shard.adopt(self.job)
        self.requests: list[curio.Event] = []
        self.sent: JobUpdate | None = None
        self.started: list[tuple[int, int]] = []
        self.completed: set[int] = set()

    async def reserve(self, _node: int, envelope: pb.Envelope, _timeout_s: float) -> pb.Envelope:
        """Grant a reservation once the test answers it."""
        self.requests.append(answered := curio.Event())
        await answered.wait()
        (task,) = envelope.reserve_request.tasks
        granted = pb.GrantedTask(task=task.task, attempt=task.attempt, session=1)
        return pb.Envelope(reserve_reply=pb.ReserveReply(granted=[granted]))

    async def request(self, task: int) -> None:
        """Request a reservation, for a start or for a move."""
        (candidate,) = self.controller.candidates.candidates()
        decision = PlacementDecision(self.job, task, candidate)
        await self.controller.planner.reservations.request([decision])

    async def answer(self, number: int) -> None:
        """Answer one of the requested reservations."""
        if self.requests:
            await self.requests.pop(number % len(self.requests)).set()

    async def end(self, task: int, cause: int) -> None:
        """Report the exit of a task's recorded attempt."""
        placement = self.job.placements.get(task)
        if placement is not None and task not in self.job.pending_ends:
            self.shard.end_attempt(self.job, task, placement, cause, "exit")
            self.completed |= {task} if cause == api.CAUSE_DONE else set()

    async def write(self, _number: int) -> None:
        """Send the next write of the job's record, or answer the one that was sent."""
        if self.sent is None:
            self.sent = self.shard.draft_update(self.job)
            return
        update, self.sent = self.sent, None
        for task, placement in update.pending_starts.items():
            assert task not in self.completed
            assert task not in self.job.placements or task in update.pending_ends
            assert (task, placement.attempt) not in self.started
            self.started.append((task, placement.attempt))
        assert update.terminal_state == "" or self.completed == {0, 1}
        self.shard.apply_update(update, 1)
        assert self.job.completed <= len(self.completed)


CAUSES = st.sampled_from([api.CAUSE_DONE, api.CAUSE_ERROR])
STEPS = st.one_of(
    st.tuples(st.just("request"), st.integers(0, 1)),
    st.tuples(st.just("answer"), st.integers(0, 3)),
    st.tuples(st.just("end"), st.integers(0, 1), CAUSES),
    st.tuples(st.just("write"), st.just(0)),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEPS, min_size=25, max_size=40))
def test_no_answer_however_late_starts_an_attempt_twice_or_a_completed_task(
    steps: list[tuple[str, int, int]],
) -> None:
    """Late answers of reservations and writes start no completed task and no attempt twice."""

    async def drive() -> None:
        late = LateAnswers()
        for kind, *arguments in steps:
            await getattr(late, kind)(*arguments)
            for _ in range(4):
                await curio.sleep(0)

    curio.run(drive)


def test_a_stored_task_that_completed_and_was_started_again_counts_once() -> None:
    """Older versions recorded such starts; the second end would make the job done too early."""
    context = make_context(Clock())
    shard = JobShard(context, 0, 3, 9)
    placed = [PlacementRecord(0, 2, "vm-1", 1, "a"), PlacementRecord(1, 1, "vm-2", 1, "a")]
    job = load_job(context, 0, JobRecord(spec(chores=2), 0, False, Chunk([2, 1], "1", placed)), {})
    job.key_versions[0] = 1
    shard.adopt(job)
    for cause in (api.CAUSE_DONE, api.CAUSE_STOPPED):
        shard.end_attempt(job, 0, job.placements[0], cause, "exit")
        assert shard.drafter.terminal_state_of(job) == ""
        job.pending_ends.clear()
    shard.end_attempt(job, 0, job.placements[0], api.CAUSE_DONE, "exit")
    update = shard.draft_update(job)
    assert update is not None
    shard.apply_update(update, 2)
    assert (job.completed, list(job.task_states).count(DONE), list(job.placements)) == (1, 1, [1])


def test_a_job_whose_count_is_wrong_is_not_called_done() -> None:
    """The check by tasks before a job is recorded as done, in place of a count that is wrong."""
    shard = JobShard(make_context(Clock()), 0, 3, 9)
    job = new_job(shard.context, spec(chores=2), 0, 0)
    job.key_versions[0] = 1
    job.completed = 2
    with pytest.raises(JobInvariantError, match="0 of 2"):
        shard.draft_update(job)

"""Tests of the order in which waiting jobs are placed and recorded."""

import random

import curio

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.jobs.write_batch import BATCHING_WAIT_S
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from starlingdeck.scheduling import preemption, priority, scheduler
from starlingdeck.scheduling.constraints import EligibleCandidates
from starlingdeck.scheduling.priority import STARVATION_S
from starlingdeck.scheduling.scheduler import SchedulingCycle
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import put_change
from tests.support.builders import Clock, make_context, spec
from tests.support.reference_model import FakeStateClient, FakeStateService


def make_job(context: ControllerContext, name: str, age_s: float, **fields: object) -> Job:
    return new_job(context, spec(name, **fields), 0, context.wall_clock_ms() - int(age_s * 1000))


def preemption_plan(
    context: ControllerContext, candidates: list[Candidate] | None = None, limit: int = 99
) -> preemption.PreemptionPlan:
    return preemption.PreemptionPlan(EligibleCandidates(context, candidates or []), limit)


def test_jobs_late_for_every_objective_go_last() -> None:
    """Ordered by slack, late jobs went first in a backlog and made the next ones late too."""
    context = make_context(Clock())
    late = make_job(context, "j-000001", 95.0, guess_s=40.0)
    tight = make_job(context, "j-000002", 40.0, guess_s=40.0)
    fresh = make_job(context, "j-000003", 0.0, guess_s=40.0)
    urgent = make_job(context, "j-000004", 99.0, guess_s=40.0, rank="urgent")
    ordered = priority.priority_order(
        context, [late, tight, fresh, urgent], context.wall_clock_ms()
    )
    assert ordered == [urgent, tight, fresh, late]


def test_smaller_of_equal_jobs_goes_first() -> None:
    context = make_context(Clock())
    large = make_job(context, "j-000001", 1.0, chores=70)
    small = make_job(context, "j-000002", 0.0, chores=4)
    assert priority.priority_order(context, [large, small], context.wall_clock_ms()) == [
        small,
        large,
    ]


def test_preempting_tasks_share_machines_and_respect_spreading() -> None:
    """All tasks of a spread job were assigned by one count of its zones, made before the first."""
    context = make_context(Clock())
    candidates = [
        Candidate(i, 0, i % 2, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0]) for i in range(8)
    ]
    array = make_job(context, "j-000001", 0.0, chores=9, cores=1.0)
    decisions = preemption_plan(context).assign(array, list(range(9)), candidates)
    assert [decision.candidate.index for decision in decisions] == [0] * 4 + [1] * 4 + [2]
    spread = make_job(context, "j-000002", 0.0, chores=3, shape="daemon", spread=True)
    decisions = preemption_plan(context).assign(
        spread, [0, 1, 2], [candidates[0], candidates[2], candidates[4], candidates[1]]
    )
    assert [decision.candidate.index for decision in decisions] == [0, 2, 1]


def test_preemption_plan_asks_a_machine_for_no_more_than_its_capacity() -> None:
    """Similar jobs asked the same machines in one cycle, and too much work was stopped for them."""
    context = make_context(Clock())
    capacity, ages = (4.0, 0.0, 16.0), [5.0, -1.0, -1.0, -1.0]
    candidates = [
        Candidate(i, 0, 0, False, 0, capacity, [0.0] * 3, youngest_s=ages) for i in range(3)
    ]
    plan = preemption_plan(context, candidates, limit=5)
    jobs = [
        make_job(context, f"j-00000{i}", 0.0, chores=3, cores=2.0, rank="urgent") for i in range(3)
    ]
    decisions = [
        decision
        for job in jobs
        for decision in plan.assign(job, [0, 1, 2], plan.cheapest(job, 0.0))
    ]
    assert len(decisions) == 5
    assert plan.remaining == 0
    assert (
        max(
            sum(decision.candidate.index == candidate.index for decision in decisions)
            for candidate in candidates
        )
        == 2
    )


def test_only_machines_with_preemptible_work_are_asked() -> None:
    """On a full fleet every machine was asked, and nearly all had nothing to preempt."""
    clock = Clock()
    context = make_context(clock)

    def candidate_with(*ages: float) -> Candidate:
        return Candidate(
            0, 0, 0, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0], youngest_s=list(ages)
        )

    def asked(job: Job, *ages: float) -> bool:
        return preemption.has_preemptible_work(
            job, preemption.preemptible_ranks(context, job), candidate_with(*ages)
        )

    urgent = make_job(context, "j-000001", 0.0, rank="urgent")
    assert asked(urgent, -1, 9, -1, -1)
    assert not asked(urgent, -1, -1, 9, 9)
    assert not asked(make_job(context, "j-000002", 0.0, rank="urgent", cores=8.0), -1, 9, -1, -1)
    # A guaranteed job may stop other teams' work beyond their guarantees: of equal rank, and of any
    # rank once it has waited too long.
    urgent.guaranteed = True
    assert asked(urgent, -1, -1, 9, -1)
    assert not asked(urgent, -1, -1, -1, 9)
    clock.at += 60.0
    assert asked(urgent, -1, -1, -1, 9)


def test_urgent_starts_are_recorded_first_and_alone() -> None:
    """Replicas' starts waited to be recorded behind the submissions of a busy minute."""
    context = make_context(Clock())
    shard = JobShard(context, 0, 3, 9)
    writer = RecordWriter(context, FakeStateClient(FakeStateService(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    low, high = make_job(context, "j-000001", 9.0), make_job(context, "j-000002", 0.0, rank="prod")
    for job in (low, high):
        job.key_versions[0] = 1
        job.pending_starts[0] = TaskPlacement(0, 1, 1, 0, 0)
        shard.adopt(job)
    context.machine_names.intern("vm-0")
    context.zone_names.intern("a")
    assert [d.job for d in writer.batches.select()[0]] == [high]
    high.pending_starts.clear()
    high.placements[0] = TaskPlacement(0, 1, 1, 0, 0)
    high.pending_ends[0] = api.CAUSE_ERROR
    assert [d.job for d in writer.batches.select()[0]] == [high, low]


def test_batch_is_chosen_when_the_write_limit_allows_it() -> None:
    """When batches were chosen before waiting for the limit, each start of a job was a write of its
    own, and replicas waited behind what had been chosen earlier."""
    clock = Clock()
    context = make_context(clock)
    limiter = TokenBucket(10.0, 1.0, clock.now)
    limiter.tokens = 0.5
    client = FakeStateClient(FakeStateService(random.Random(1)), 0.0)
    client.available_writes = limiter.available  # type: ignore[method-assign]
    client.state.apply({}, [put_change(records.shard_key(0), 1)])
    shard = JobShard(context, 0, client.state.revision, 9)
    shard.loaded = True
    writer = RecordWriter(context, client, shard)  # type: ignore[arg-type]
    low, high = make_job(context, "j-000001", 9.0), make_job(context, "j-000002", 0.0, rank="prod")
    for job in (low, high):
        job.pending_starts[0] = TaskPlacement(
            context.machine_names.intern("vm-0"), 1, 1, 0, context.zone_names.intern("a")
        )
        job.key_versions[0] = 0
    shard.adopt(low)

    async def drive() -> tuple[bool, bool]:
        waiting = await curio.spawn(writer.flush)
        await curio.sleep(0)
        free = not writer.lock.locked()
        low.pending_starts[1] = TaskPlacement(0, 1, 1, 0, 0)
        shard.adopt(high)
        clock.at += 0.1
        more = await waiting.join()
        return free, more and await writer.flush()

    assert curio.run(drive) == (True, True)
    assert (list(high.placements), list(low.placements)) == ([0], [])
    clock.at += 1.0
    assert curio.run(writer.flush)
    assert list(low.placements) == [0, 1]
    assert client.state.revision == shard.token + 2


def test_starts_still_being_reserved_are_recorded_with_the_first() -> None:
    """Each owner's answer was a write of its own, two or three for each service, and in the first
    seconds of a day starts wait for the limit on changes per second."""
    clock = Clock()
    context = make_context(clock)
    shard = JobShard(context, 0, 3, 9)
    writer = RecordWriter(context, FakeStateClient(FakeStateService(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    service = make_job(context, "j-000001", 0.0, shape="daemon", rank="prod")
    service.key_versions[0] = 1
    service.pending_starts[0] = TaskPlacement(
        context.machine_names.intern("vm-0"), 1, 1, 0, 0, state_since=clock.at
    )
    context.zone_names.intern("a")
    service.reserving[1] = 0
    shard.adopt(service)
    assert writer.batches.select()[0] == []
    clock.at += 2 * BATCHING_WAIT_S
    assert [list(d.pending_starts) for d in writer.batches.select()[0]] == [[0]]
    service.pending_starts[1] = TaskPlacement(0, 1, 1, 0, 0, state_since=clock.at)
    del service.reserving[1]
    assert [list(d.pending_starts) for d in writer.batches.select()[0]] == [[0, 1]]


def test_preemption_is_requested_where_the_least_work_is_lost() -> None:
    """Machines chosen at random stopped work that had run for half its time."""
    context = make_context(Clock())
    now = context.now()

    def candidate_with(index: int, *youngest_s: float) -> Candidate:
        return Candidate(
            index, 0, 0, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0], observed_at=now - 5.0,
            images={"img"}, youngest_s=list(youngest_s),
        )  # fmt: skip

    candidates = [
        candidate_with(0, -1, 30, -1, -1),
        candidate_with(1, -1, -1, 1, -1),
        candidate_with(2, -1, 3, 2, -1),
        candidate_with(3),
    ]
    urgent = make_job(context, "j-000001", 0.0, rank="urgent")
    ordered = preemption.cheapest_preemptions(urgent, candidates, now, context.rng)
    # Machine 1 only runs work of rank 2, which a task of rank 2 doesn't preempt.
    assert [candidate.index for candidate in ordered[:2]] == [2, 0]
    assert candidates[2].preemption_loss_s(2, now) == 8.0


def test_replicas_do_not_pile_up_on_the_machine_with_the_fastest_fetch() -> None:
    """Many replicas ran on one large machine, and all failed at once with it."""
    context = make_context(Clock())
    candidates = [
        Candidate(
            i,
            1,
            0,
            False,
            0,
            (16.0, 0.0, 64.0),
            [16.0, 0.0, 64.0],
            fetch_gb_per_s=0.2 if i else 2.0,
        )
        for i in range(6)
    ]
    jobs = [
        make_job(context, f"j-{i:06d}", 0.0, shape="daemon", rank="prod", chores=1, cores=4.0,
            ram_gb=16.0, kit=f"img-{i}", image_gb=2.0)
        for i in range(6)
    ]  # fmt: skip
    decisions, _ = scheduler.schedule(context, jobs, candidates, lambda j: 9, 99)
    assert len({decision.candidate.index for decision in decisions}) == 6
    array = make_job(context, "j-000009", 0.0, cores=1.0, ram_gb=4.0, chores=2, image_gb=2.0)
    fast, _ = scheduler.schedule(context, [array], candidates, lambda j: 9, 99)
    assert {decision.candidate.index for decision in fast} == {0}


def test_records_passed_over_for_long_are_written_despite_urgent_starts() -> None:
    """In a flood of urgent starts nothing else was written: ends of tasks, which free capacity
    under limits and finish jobs, waited until the flood was over. Among the records passed over,
    those of the team with the fewest recent writes go first."""
    clock = Clock()
    context = make_context(clock)
    shard = JobShard(context, 0, 3, 9)
    writer = RecordWriter(context, FakeStateClient(FakeStateService(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    context.machine_names.intern("vm-0")
    context.zone_names.intern("a")
    flooding = make_job(context, "j-000001", 0.0, rank="urgent", crew="red")
    ended = [
        make_job(context, f"j-00000{n}", 9.0 - n, crew=c) for n, c in ((2, "red"), (3, "blue"))
    ]
    for job in (flooding, *ended):
        job.key_versions[0] = 1
        shard.adopt(job)
    for job in ended:
        job.placements[0] = TaskPlacement(0, 1, 1, 0, 0)
        job.pending_ends[0] = api.CAUSE_DONE
    writer.batches.recent_changes[flooding.team] = 50.0
    batches: list[list[Job]] = []
    for _ in range(8):
        clock.at += 0.4
        flooding.pending_starts[0] = TaskPlacement(0, 1, 1, 0, 0)
        shard.dirty_jobs.add(flooding.index)
        batch, _, urgent = writer.batches.select()
        assert urgent
        batches.append([d.job for d in batch])
        for update in batch:  # as if written, with the next start and ends following at once
            del writer.batches.waiting_since[update.job.index]
    assert batches == [*[[flooding]] * 3, [ended[1], ended[0], flooding]] * 2


def test_idle_work_leaves_headroom_unless_prioritized() -> None:
    """Idle work used all capacity that others left free, and any next work had to preempt it."""
    context = make_context(Clock())
    capacity = (16.0, 0.0, 64.0)
    candidates = [
        Candidate(n, context.type_names.intern("big"), 0, False, 0, capacity, [*capacity])
        for n in range(5)
    ]
    idle = new_job(context, spec("j-1", rank="idle", chores=99, cores=1.0, ram_gb=1.0), 0, 0)
    work = new_job(context, spec("j-2", rank="normal", chores=4, cores=1.0, ram_gb=1.0), 0, 0)
    cycle = SchedulingCycle(context, candidates, lambda job: 99, 999)
    assert len(cycle.place(idle)) == 72
    assert cycle.unplaced[idle.index][1] == 27
    assert len(cycle.place(work)) == 4
    assert not cycle.place(idle)
    assert len(cycle.place(idle, 2, prioritized=True)) == 2


def test_job_is_starving_until_one_of_its_tasks_has_run() -> None:
    """A class's largest jobs waited for as long as smaller and more urgent ones arrived."""
    context = make_context(Clock())
    now = context.wall_clock_ms()
    old = new_job(
        context, spec("j-1", rank="idle", chores=99), 0, now - int(STARVATION_S * 1000) - 1
    )
    new = new_job(context, spec("j-2", rank="prod"), 0, now)
    assert [priority.is_starving(job, now) for job in (old, new)] == [True, False]
    old.failed_on.add(1)  # it has run, and failed
    assert not priority.is_starving(old, now)

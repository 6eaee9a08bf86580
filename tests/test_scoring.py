"""Scoring, descheduling, guarantees and scheduling, in part against simple models."""

import itertools
import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster import sharding
from starlingdeck.jobs.job import new_job
from starlingdeck.machines import scoring, tabu_search
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol.config import Objective, Team
from starlingdeck.scheduling import guarantees, scheduler
from starlingdeck.scheduling.guarantees import TeamJob
from tests.support.builders import Clock, make_context, spec

amounts = st.integers(1, 8).map(float)


def plain_start_score(used: list[float], total: list[float]) -> float:
    shares = [u / t for u, t in zip(used, total, strict=True) if t > 0]
    score = 1 - max(shares) - (max(shares) - min(shares)) / 2
    return score - 2 if max(shares) > 0.9 else score


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(amounts, amounts, st.booleans()), min_size=1, max_size=6), amounts)
def test_start_takes_the_best_machine_that_fits(
    machines: list[tuple[float, float, bool]], size: float
) -> None:
    candidates = [
        Candidate(
            i, 0, 0, False, 0, (8.0, 0.0, 8.0), [c, 0.0, m], images={"img"} if image else set()
        )
        for i, (c, m, image) in enumerate(machines)
    ]
    need = (size, 0.0, size)
    got = scoring.CandidateSample(
        candidates, need, lambda candidate: candidate.fetch_s("img", 2.0), 200, random.Random(1)
    ).best(lambda candidate: True)
    fitting = [
        candidate
        for candidate in candidates
        if candidate.available[0] >= size and candidate.available[2] >= size
    ]
    if not fitting:
        assert got is None
        return
    cached = [candidate for candidate in fitting if "img" in candidate.images] or fitting
    best = max(
        plain_start_score(
            [8 - candidate.available[0] + size, 8 - candidate.available[2] + size], [8.0, 8.0]
        )
        for candidate in cached
    )
    assert got is not None
    assert got in cached
    assert abs(scoring.start_score(got.utilization_with(need)) - best) < 1e-9


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(amounts, st.integers(1, 50), st.booleans()), min_size=1, max_size=6))
def test_descheduling_makes_the_remaining_tasks_fit_whenever_possible(
    loads: list[tuple[float, int, bool]],
) -> None:
    total = (10.0, 0.0, 100.0)
    tasks = [
        tabu_search.RunningTask(i, (c, 0.0, 1.0), float(cost), pinned)
        for i, (c, cost, pinned) in enumerate(loads)
    ]
    got = tabu_search.choose_tasks(total, tasks, 25, 5, 6, random.Random(1))
    left = sum(t.size[0] for t in tasks if t.key not in got)
    movable = [t.key for t in tasks if not t.pinned]
    possible = any(
        sum(t.size[0] for t in tasks if t.key not in gone) <= 10
        for n in range(len(movable) + 1)
        for gone in itertools.combinations(movable, n)
    )
    assert not any(tasks[k].pinned for k in got)
    if possible:
        assert left <= 10
    if sum(t.size[0] for t in tasks) <= 10:
        assert got == []


def test_refit_draws_machines_that_fit_before_forced_ones() -> None:
    candidates = [
        Candidate(i, 0, 0, False, 0, (8.0, 0.0, 8.0), [float(i), 0.0, 8.0]) for i in range(9)
    ]
    got = scoring.choose_refit(candidates, (2.0, 0.0, 2.0), 2000, 15, random.Random(3))
    with_space = [candidate.index for candidate in got if candidate.available[0] >= 2]
    assert sorted(candidate.index for candidate in got) == list(range(9))
    assert len(with_space) == 7
    # Machines that fit the task only by their whole capacity come last.
    assert [candidate.index for candidate in got][: len(with_space)] == with_space


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.integers(1, 6), st.integers(0, 3)), max_size=8))
def test_guarantee_covers_the_highest_then_the_earliest_jobs(
    jobs: list[tuple[int, int, int]],
) -> None:
    """A backlog of normal work took up its team's guarantee, and its urgent work waited."""
    context = make_context(Clock())
    found = [TeamJob(0, at, f"j-{i}", float(c), 0.0, r) for i, (at, c, r) in enumerate(jobs)]
    inside = guarantees.guaranteed_jobs(context, found)
    total = 0.0
    for job in sorted(found, key=lambda j: (-j.rank, j.submitted_ms, j.id)):
        total += job.cpus
        assert (job.id in inside) == (total <= 8.0)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 1), st.integers(0, 20), st.integers(1, 6), st.integers(0, 3)),
        max_size=16,
    )
)
def test_the_jobs_exchanged_between_controllers_decide_the_guarantees(
    jobs: list[tuple[int, int, int, int]],
) -> None:
    """Each sends only its jobs that affect the guarantees; these must give the same result."""
    context = make_context(Clock())
    found = [
        TeamJob(team, at, f"j-{i:02d}", float(cpus), 0.0, rank)
        for i, (team, at, cpus, rank) in enumerate(jobs)
    ]
    exchanged = [
        j for part in range(3) for j in guarantees.guarantee_relevant_jobs(context, found[part::3])
    ]
    assert guarantees.guaranteed_jobs(context, exchanged) == guarantees.guaranteed_jobs(
        context, found
    )


def test_a_team_without_a_guarantee_does_not_affect_anothers_guarantee() -> None:
    """The first team's lack of a guarantee was applied to the second, whose jobs all counted."""
    context = make_context(Clock())
    teams = [Team("red"), Team("blue", cpus=8.0)]
    deployment = msgspec.structs.replace(context.settings.settings, teams=teams)
    context.settings = msgspec.structs.replace(context.settings, settings=deployment)
    found = [TeamJob(1, i, f"j-{i}", 6.0, 0.0) for i in range(2)]
    assert guarantees.guaranteed_jobs(context, found) == {"j-0"}


def test_a_machine_stays_with_a_controller_of_its_zone() -> None:
    zones = ["a", "b", "a"]
    for i in range(50):
        assert zones[sharding.shard_of_machine(f"vm-{i}", "b", zones)] == "b"
        assert zones[sharding.shard_of_machine(f"vm-{i}", "a", zones)] == "a"
    assert {sharding.shard_of_machine(f"vm-{i}", "c", zones) for i in range(50)} == {0, 1, 2}
    assert sharding.failover_candidates(0, zones, [1, 2]) == [2, 1]


def test_spread_keeps_at_most_half_rounded_up_in_a_zone() -> None:
    context = make_context(Clock())
    job = new_job(context, spec(chores=5, spread=True, cores=1.0), 0, 0)
    candidates = [
        Candidate(
            0, context.type_names.intern("big"), 0, False, 0, (16.0, 0.0, 64.0), [16.0, 0.0, 64.0]
        ),
        Candidate(
            1, context.type_names.intern("big"), 1, False, 1, (16.0, 0.0, 64.0), [3.0, 0.0, 64.0]
        ),
    ]
    decisions, _ = scheduler.schedule(context, [job], candidates, lambda j: 99, 99)
    zones = [p.candidate.zone for p in decisions]
    assert len(zones) == 5
    assert max(zones.count(0), zones.count(1)) == 3


def test_a_job_with_a_wait_objective_preempts_once_where_its_image_is() -> None:
    context = make_context(Clock())
    context.settings.settings.objectives.append(Objective("wait", "batch", 1.0, 0.8))
    job = new_job(context, spec(chores=1, rank="prod", image_gb=8.0), 0, 0)
    total = (16.0, 0.0, 64.0)
    kind = context.type_names.intern("big")
    full = Candidate(
        0, kind, 0, False, 0, total, [0.0, 0.0, 8.0], images={"img"}, youngest_s=[-1, 5, -1, -1]
    )
    # It has the image too, but nothing that may be preempted.
    stuck = Candidate(
        2, kind, 0, False, 0, total, [0.0, 0.0, 8.0], images={"img"}, youngest_s=[-1, -1, -1, 5]
    )
    empty = Candidate(1, kind, 0, False, 0, total, [16.0, 0.0, 64.0])
    first, _ = scheduler.schedule(context, [job], [stuck, full, empty], lambda j: 9, 9)
    assert [(p.candidate.index, p.preempt) for p in first] == [(0, True)]
    job.reserving.clear()
    again, _ = scheduler.schedule(context, [job], [stuck, full, empty], lambda j: 9, 9)
    assert [(p.candidate.index, p.preempt) for p in again] == [(1, False)]
    normal_job = new_job(context, spec("j-2", chores=1, rank="normal", image_gb=8.0), 0, 0)
    decisions, _ = scheduler.schedule(context, [normal_job], [full, empty], lambda j: 9, 9)
    assert [(p.candidate.index, p.preempt) for p in decisions] == [(1, False)]


def test_one_zone_job_never_leaves_its_first_zone() -> None:
    context = make_context(Clock())
    job = new_job(context, spec(chores=4, same_place=True), 0, 0)
    candidates = [
        Candidate(i, 0, i, False, i, (16.0, 0.0, 64.0), [4.0, 0.0, 64.0]) for i in range(2)
    ]
    decisions, waiting = scheduler.schedule(context, [job], candidates, lambda j: 99, 99)
    assert len({p.candidate.zone for p in decisions}) == 1
    assert len(decisions) == 2
    assert waiting
    assert waiting[0][0] is job

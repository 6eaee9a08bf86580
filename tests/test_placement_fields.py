"""A job's placement fields hold together: one zone, spreading, a given zone, types and spot.

Each field was kept by itself, but one hid another: a job for one zone that also spreads was not
spread, and all its tasks ran in one zone.
"""

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.admission.quota import Quota, ResourceAmount
from starlingdeck.admission.quota_demand import QuotaDemand
from starlingdeck.interning import task_key
from starlingdeck.jobs.invariants import JobInvariantError
from starlingdeck.jobs.job import PENDING, PLACED, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.zone_rules import placeable_tasks
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from starlingdeck.protocol.api import MachineType
from starlingdeck.scheduling import scheduler
from starlingdeck.scheduling.accumulation import accumulate_capacity
from starlingdeck.scheduling.constraints import EligibleCandidates
from starlingdeck.scheduling.decision import PlacementDecision
from starlingdeck.scheduling.demand_tracker import DemandTracker
from starlingdeck.scheduling.moves import MovePlanner
from starlingdeck.scheduling.preemption import PreemptionPlan
from tests.support.builders import Clock, job_body, make_context, spec
from tests.support.placement_model import Place, allows
from tests.test_planner import machine, planning_controller

ZONES = ("a", "b", "c")
CAPACITY = (16.0, 0.0, 64.0)
MACHINES = 12  # one of each type, zone and kind
NO_LIMIT = 99


class Setting:
    """A controller's context, one job, and machines of two types, three zones and both kinds."""

    def __init__(self, **fields: Any) -> None:
        self.context = make_context(Clock())
        self.context.update_machine_types(
            [MachineType(name, 16.0, 64.0, list(ZONES)) for name in ("big", "small")]
        )
        names = self.context.machine_names
        self.machine_indices = [names.intern(f"vm-{number}") for number in range(MACHINES)]
        self.placed_on = names.intern("vm-placed")
        self.body = job_body(cores=1.0, **fields)
        self.job = new_job(self.context, spec(cores=1.0, **fields), 0, 0)

    def place_tasks(self, zones: list[str]) -> None:
        """Place the job's first tasks in these zones."""
        for task, zone in enumerate(zones):
            index = self.context.zone_names.intern(zone)
            self.job.placements[task] = TaskPlacement(self.placed_on, 1, 1, 0, index)
            self.job.task_states[task] = PLACED
            self.job.attempts[task] = 1

    def machines(self, free_cpus: float) -> list[Candidate]:
        """Return the machines, with work of the lowest rank on each."""
        context = self.context
        return [
            Candidate(
                index,
                context.type_names.intern(("big", "small")[index // 3 % 2]),
                context.zone_names.intern(ZONES[index % 3]),
                index // 6 == 1,
                0,
                CAPACITY,
                [free_cpus, 0.0, 64.0],
                youngest_s=[5.0, -1, -1, -1],
            )
            for index in self.machine_indices
        ]

    def zones_of_others(self, task: int) -> list[str]:
        """Return the zones of the job's placed tasks except one."""
        return [
            self.context.zone_names[placement.zone]
            for other, placement in self.job.placements.items()
            if other != task
        ]

    def assert_allowed(self, decisions: list[PlacementDecision]) -> None:
        """Check each decision with the model, given the placed tasks and the earlier decisions."""
        names = self.context
        chosen: list[str] = []
        for decision in decisions:
            machine = decision.candidate
            zone = names.zone_names[machine.zone]
            place = Place(names.type_names[machine.type], zone, machine.spot)
            others = self.zones_of_others(decision.task) + chosen
            assert allows(self.body, place, others), (self.body, place, others)
            chosen.append(zone)


def start(setting: Setting) -> list[PlacementDecision]:
    """Choose machines with free capacity."""
    decisions, _ = scheduler.schedule(
        setting.context, [setting.job], setting.machines(4.0), lambda _job: NO_LIMIT, NO_LIMIT
    )
    return decisions


def preempt(setting: Setting) -> list[PlacementDecision]:
    """Choose machines whose work is stopped."""
    eligible = EligibleCandidates(setting.context, setting.machines(0.0))
    plan, job = PreemptionPlan(eligible, NO_LIMIT), setting.job
    return plan.assign(job, job.pending(NO_LIMIT), plan.cheapest(job, 0.0))


def accumulate(setting: Setting) -> list[PlacementDecision]:
    """Choose machines that keep released capacity."""
    eligible = EligibleCandidates(setting.context, setting.machines(0.0))
    job = setting.job
    return accumulate_capacity(job, job.pending(NO_LIMIT), eligible.for_job(job), set())


def move(setting: Setting) -> list[PlacementDecision]:
    """Choose a machine for a placed task that has to leave its own."""
    shard = JobShard(setting.context, 0, 3, 9)
    shard.jobs[setting.job.index] = setting.job
    if setting.job.placements:
        shard.descheduled.add(task_key(setting.job.index, 0))
    writers: Any = {0: SimpleNamespace(shard=shard)}
    return MovePlanner(setting.context, writers).plan(setting.machines(4.0), 0.0)


PATHS = [start, preempt, accumulate, move]
FIELDS = st.fixed_dictionaries(
    {
        "chores": st.integers(1, 6),
        "roost": st.sampled_from([None, "a", "b"]),
        "same_place": st.booleans(),
        "spread": st.booleans(),
        "builds": st.sampled_from([None, ["big"], ["small"]]),
        "loaners": st.booleans(),
    }
)


@pytest.mark.parametrize("path", PATHS)
def test_every_choice_satisfies_all_placement_fields_at_once(path: Any) -> None:
    """Also beside tasks that an older version has placed wrongly."""
    chosen = 0

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(fields=FIELDS, zones=st.lists(st.sampled_from(ZONES), max_size=5))
    def check(fields: dict[str, Any], zones: list[str]) -> None:
        nonlocal chosen
        setting = Setting(rank="prod", **fields)
        setting.place_tasks(zones[: fields["chores"]])
        decisions = path(setting)
        chosen += len(decisions)
        setting.assert_allowed(decisions)

    check()
    # Where no machine is chosen, the fields hold trivially.
    assert chosen > 50


def test_a_one_zone_job_that_spreads_starts_half_of_its_tasks() -> None:
    """One zone hid the limit of spreading: all four tasks ran in one zone."""
    setting = Setting(chores=4, same_place=True, spread=True)
    decisions = start(setting)
    assert len(decisions) == 2
    setting.assert_allowed(decisions)


def most_startable(body: dict[str, Any], places: Sequence[Place], zones: tuple[str, ...]) -> int:
    """Return how many more tasks could start at once on any number of machines at `places`."""
    waiting = body["chores"] - len(zones)
    allowed = {place.zone for place in places if allows(body, place, zones)} if waiting else set()
    return max((1 + most_startable(body, places, (*zones, zone)) for zone in allowed), default=0)


def test_only_tasks_that_a_machine_would_help_count_as_waiting_for_one() -> None:
    """Tasks that their own job's limit held back were rented for, two machines every second."""
    held_back = 0

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(fields=FIELDS, zones=st.lists(st.sampled_from(ZONES), max_size=5))
    def check(fields: dict[str, Any], zones: list[str]) -> None:
        nonlocal held_back
        setting = Setting(**fields)
        setting.place_tasks(zones[: fields["chores"]])
        _, unplaced = scheduler.schedule(
            setting.context, [setting.job], [], lambda _job: NO_LIMIT, NO_LIMIT
        )
        waiting = sum(tasks for _, tasks in unplaced)
        places = [Place(name, zone) for name in ("big", "small") for zone in ZONES]
        expected = most_startable(setting.body, places, tuple(zones[: fields["chores"]]))
        assert waiting == expected
        held_back += fields["chores"] - len(setting.job.placements) - waiting

    check()
    assert held_back > 50


def test_a_type_of_one_zone_holds_a_spreading_job_back() -> None:
    """Half of the tasks can never run beside the others, so that no machine helps them."""
    setting = Setting(chores=5, spread=True, builds=["lone"])
    setting.context.update_machine_types([MachineType("lone", 16.0, 64.0, ["b"])])
    setting.place_tasks(["b", "b"])
    assert placeable_tasks(setting.context, setting.job) == 1


def test_demand_names_the_only_zone_where_a_machine_would_help() -> None:
    """Machines were rented in the cheapest zone, one after the other, and the task still waited."""
    named = 0

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(fields=FIELDS, zones=st.lists(st.sampled_from("ab"), min_size=1, max_size=5))
    def check(fields: dict[str, Any], zones: list[str]) -> None:
        nonlocal named
        setting = Setting(**fields)
        setting.place_tasks(zones[: fields["chores"]])
        tracker = DemandTracker(setting.context)
        tracker.publish([(setting.job, 1)], 0.0)
        (demand,) = tracker.published()
        places = [Place(name, zone) for name in ("big", "small") for zone in ZONES]
        others = tuple(zones[: fields["chores"]])
        allowed = {place.zone for place in places if allows(setting.body, place, others)}
        if fields["same_place"] and len(allowed) == 1:
            assert demand.zone == allowed.pop()
            named += not fields["roost"]
        elif not fields["same_place"]:
            assert demand.zone == (fields["roost"] or "")

    check()
    assert named > 20


def test_a_job_held_back_by_its_zones_demands_no_quota() -> None:
    """Its shard counted as short of quota, and kept what a task elsewhere could have used."""
    setting = Setting(crew="blue", chores=8, same_place=True, spread=True)
    setting.place_tasks(["a", "a", "a"])
    context = setting.context
    demand = QuotaDemand(context, Quota(context), {}).begin_cycle([setting.job])
    assert demand == {(setting.job.team, 0): ResourceAmount(1.0, 0.0)}


def test_a_job_held_back_by_its_zones_takes_no_part_in_a_cycle() -> None:
    """Its nominated machines would keep capacity that none of its waiting tasks may use."""
    controller, shard = planning_controller(Clock(), machine("vm-1"))
    job = new_job(controller.context, spec(chores=4, same_place=True, spread=True), 0, 0)
    shard.jobs[job.index] = job
    zone = controller.context.zone_names.intern("a")
    for task in (0, 1):
        job.placements[task] = TaskPlacement(0, 1, 1, 0, zone)
        job.task_states[task] = PLACED
    job.nominated, job.accumulating = {2: (0, 1e9)}, {2}
    assert not curio.run(controller.planner.run_cycle)
    assert not job.nominated
    assert not job.accumulating
    del job.placements[1]
    job.task_states[1] = PENDING
    assert curio.run(controller.planner.run_cycle)


# --- the check of each write


def shard_with(setting: Setting) -> JobShard:
    """Return a shard with the setting's job, as if its record had been read."""
    shard = JobShard(setting.context, 0, 3, 9)
    setting.job.key_versions[0] = 1
    shard.jobs[setting.job.index] = setting.job
    return shard


def add_start(setting: Setting, zone: str, machine_type: str = "big", spot: bool = False) -> None:
    """Let the job's next task be about to start, as a planner might wrongly choose."""
    context, job = setting.context, setting.job
    job.pending_starts[len(job.placements) + len(job.pending_starts)] = TaskPlacement(
        setting.placed_on,
        1,
        1,
        0,
        context.zone_names.intern(zone),
        machine_type=context.type_names.intern(machine_type),
        spot=spot,
    )


@pytest.mark.parametrize(
    ("fields", "placed", "start", "error"),
    [
        ({"roost": "b"}, [], ("a",), "zone b would be in a"),
        ({"builds": ["small"]}, [], ("a", "big"), "of type big"),
        ({"loaners": False}, [], ("a", "big", True), "spot machine"),
        ({"same_place": True}, ["a"], ("b",), "2 zones"),
        ({"spread": True}, ["a", "a"], ("a",), "3 tasks .* at most 2"),
        ({"spread": True, "roost": "a"}, ["a", "a"], ("a",), "3 tasks .* at most 2"),
        ({"spread": True, "same_place": True}, ["a", "a"], ("a",), "3 tasks .* at most 2"),
        ({"spread": True, "same_place": True}, ["a"], ("b",), "2 zones"),
    ],
)
def test_a_start_in_a_wrong_place_is_not_recorded(
    fields: dict[str, Any], placed: list[str], start: tuple[Any, ...], error: str
) -> None:
    """In place of a planner that chose wrongly."""
    setting = Setting(chores=4, **fields)
    setting.place_tasks(placed)
    shard = shard_with(setting)
    add_start(setting, *start)
    with pytest.raises(JobInvariantError, match=error):
        shard.draft_update(setting.job)


def test_an_unanswered_start_counts_in_the_check_of_the_next() -> None:
    """Its write may have been executed, or be executed late."""
    setting = Setting(chores=4, spread=True)
    setting.place_tasks(["a"])
    shard = shard_with(setting)
    add_start(setting, "a")
    setting.job.uncertain_starts[2] = setting.job.pending_starts[1]
    with pytest.raises(JobInvariantError, match="3 tasks"):
        shard.draft_update(setting.job)
    setting.job.uncertain_starts[1] = setting.job.uncertain_starts.pop(2)
    assert shard.draft_update(setting.job) is not None


@pytest.mark.parametrize("one_zone", [False, True])
def test_a_job_that_an_older_version_placed_wrongly_is_not_set_aside(one_zone: bool) -> None:
    """Its ends are recorded, and nothing starts in the full zone until enough tasks have ended."""
    setting = Setting(chores=4, spread=True, same_place=one_zone)
    setting.place_tasks(["a", "a", "a", "a"])
    shard, job = shard_with(setting), setting.job
    for task, starts_in_a in ((0, False), (1, False), (2, True)):
        job.pending_ends[task] = api.CAUSE_ERROR
        end = shard.draft_update(job)
        assert end is not None
        shard.apply_update(end, 2 + task)
        decisions = start(setting)
        setting.assert_allowed(decisions)
        zones = {setting.context.zone_names[decision.candidate.zone] for decision in decisions}
        assert ("a" in zones) == starts_in_a or not one_zone
        assert bool(decisions) == (starts_in_a or not one_zone)
        job.reserving.clear()

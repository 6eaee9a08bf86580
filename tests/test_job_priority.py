"""Which waiting work goes first."""

import random

import curio

from starlingdeck.context import World
from starlingdeck.jobs.job import Job, Place, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import TOGETHER_S, Writer
from starlingdeck.machines.scoring import Room
from starlingdeck.protocol import api
from starlingdeck.scheduling import scheduler
from starlingdeck.scheduling.scheduler import FIRST_S, Round
from starlingdeck.storage import records
from starlingdeck.storage.limiter import Limiter
from starlingdeck.storage.state import put
from tests.support.builders import Clock, make_world, spec
from tests.support.reference_model import PlainClient, PlainState


def job(world: World, name: str, age_s: float, **other: object) -> Job:
    return new_job(world, spec(name, **other), 0, world.wall_ms() - int(age_s * 1000))


def stops(world: World, rooms: list[Room] | None = None, most: int = 99) -> scheduler.Stops:
    return scheduler.Stops(scheduler.Round(world, rooms or [], lambda j: 99, 99), most)


def test_work_that_is_late_for_every_aim_lets_the_rest_be_in_time() -> None:
    """In a backlog late work went first, in order of slack, and made the next work late too."""
    world = make_world(Clock())
    late = job(world, "j-000001", 95.0, guess_s=40.0)
    tight = job(world, "j-000002", 40.0, guess_s=40.0)
    fresh = job(world, "j-000003", 0.0, guess_s=40.0)
    urgent = job(world, "j-000004", 99.0, guess_s=40.0, rank="urgent")
    got = scheduler.order(world, [late, tight, fresh, urgent], world.wall_ms())
    assert got == [urgent, tight, fresh, late]


def test_of_work_alike_the_smaller_goes_first() -> None:
    world = make_world(Clock())
    large = job(world, "j-000001", 1.0, chores=70)
    small = job(world, "j-000002", 0.0, chores=4)
    assert scheduler.order(world, [large, small], world.wall_ms()) == [small, large]


def test_tasks_that_ask_for_room_share_machines_and_keep_to_their_zones() -> None:
    """All tasks of a spread job were asked for by one count of its zones, taken before."""
    world = make_world(Clock())
    rooms = [Room(i, 0, i % 2, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0]) for i in range(8)]
    sweep = job(world, "j-000001", 0.0, chores=9, cores=1.0)
    picks = stops(world).spread_out(sweep, list(range(9)), rooms)
    assert [p.room.index for p in picks] == [0] * 4 + [1] * 4 + [2]
    spread = job(world, "j-000002", 0.0, chores=3, shape="daemon", spread=True)
    picks = stops(world).spread_out(spread, [0, 1, 2], [rooms[0], rooms[2], rooms[4], rooms[1]])
    assert [p.room.index for p in picks] == [0, 2, 1]


def test_one_plan_asks_a_machine_for_no_more_than_it_could_hold_whoever_asks() -> None:
    """Jobs alike asked the same machines in one plan, and too much was stopped for them."""
    world = make_world(Clock())
    total, ages = (4.0, 0.0, 16.0), [5.0, -1.0, -1.0, -1.0]
    rooms = [Room(i, 0, 0, False, 0, total, [0.0] * 3, youngest_s=ages) for i in range(3)]
    asked = stops(world, rooms, most=5)
    jobs = [job(world, f"j-00000{i}", 0.0, chores=3, cores=2.0, rank="urgent") for i in range(3)]
    picks = [p for j in jobs for p in asked.spread_out(j, [0, 1, 2], asked.cheapest(j, 0.0))]
    assert len(picks) == 5 and asked.most == 0
    assert max(sum(p.room.index == r.index for p in picks) for r in rooms) == 2


def test_only_machines_with_work_to_stop_are_asked_for_room() -> None:
    """On a full fleet every machine was asked, and nearly all had nothing that may be stopped."""
    clock = Clock()
    world = make_world(clock)

    def room(*ages: float) -> Room:
        return Room(0, 0, 0, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0], youngest_s=list(ages))

    def asked(job: Job, *ages: float) -> bool:
        return scheduler.may_yield(job, scheduler.stoppable_ranks(world, job), room(*ages))

    urgent = job(world, "j-000001", 0.0, rank="urgent")
    assert asked(urgent, -1, 9, -1, -1)
    assert not asked(urgent, -1, -1, 9, 9)
    assert not asked(job(world, "j-000002", 0.0, rank="urgent", cores=8.0), -1, 9, -1, -1)
    # A guarantee may stop what another team runs beyond its own: equal rank, later any.
    urgent.guaranteed = True
    assert asked(urgent, -1, -1, 9, -1)
    assert not asked(urgent, -1, -1, -1, 9)
    clock.at += 60.0
    assert asked(urgent, -1, -1, -1, 9)


def test_starts_of_urgent_work_are_written_first_and_alone() -> None:
    """Replicas waited for the record of their start behind the submissions of a busy minute."""
    world = make_world(Clock())
    shard = JobShard(world, 0, 3, 9)
    writer = Writer(world, PlainClient(PlainState(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    low, high = job(world, "j-000001", 9.0), job(world, "j-000002", 0.0, rank="prod")
    for one in (low, high):
        one.versions[0] = 1
        one.starts[0] = Place(0, 1, 1, 0, 0)
        shard.adopt(one)
    world.machines.put("vm-0")
    world.zones.put("a")
    assert [d.job for d in writer._batch()[0]] == [high]
    high.starts.clear()
    high.places[0] = Place(0, 1, 1, 0, 0)
    high.ends[0] = api.W_ERROR
    assert [d.job for d in writer._batch()[0]] == [high, low]


def test_what_is_written_is_chosen_when_the_budget_has_room() -> None:
    """Chosen before the wait for it, each start of a job was a write of its own, and replicas
    waited behind what had been chosen first."""
    clock = Clock()
    world = make_world(clock)
    limiter = Limiter(10.0, 1.0, clock.now)
    limiter.level = 0.5
    client = PlainClient(PlainState(random.Random(1)), 0.0)
    client.writable = limiter.free  # type: ignore[method-assign]
    client.state.apply({}, [put(records.shard_key(0), 1)])
    shard = JobShard(world, 0, client.state.epoch, 9)
    shard.loaded = True
    writer = Writer(world, client, shard)  # type: ignore[arg-type]
    low, high = job(world, "j-000001", 9.0), job(world, "j-000002", 0.0, rank="prod")
    for one in (low, high):
        one.starts[0] = Place(world.machines.put("vm-0"), 1, 1, 0, world.zones.put("a"))
        one.versions[0] = 0
    shard.adopt(low)

    async def drive() -> tuple[bool, bool]:
        waiting = await curio.spawn(writer.flush)
        await curio.sleep(0)
        free = not writer.lock.locked()
        low.starts[1] = Place(0, 1, 1, 0, 0)
        shard.adopt(high)
        clock.at += 0.1
        more = await waiting.join()
        return free, more and await writer.flush()

    assert curio.run(drive) == (True, True)
    assert (list(high.places), list(low.places)) == ([0], [])
    clock.at += 1.0
    assert curio.run(writer.flush)
    assert list(low.places) == [0, 1] and client.state.epoch == shard.token + 2


def test_starts_that_are_still_being_asked_for_are_written_with_the_first() -> None:
    """Each owner's answer was a write of its own, two or three a service, and in a day's first
    seconds the changes a second are what starts wait for."""
    clock = Clock()
    world = make_world(clock)
    shard = JobShard(world, 0, 3, 9)
    writer = Writer(world, PlainClient(PlainState(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    service = job(world, "j-000001", 0.0, shape="daemon", rank="prod")
    service.versions[0] = 1
    service.starts[0] = Place(world.machines.put("vm-0"), 1, 1, 0, 0, since=clock.at)
    world.zones.put("a")
    service.asking[1] = 0
    shard.adopt(service)
    assert writer._batch()[0] == []
    clock.at += 2 * TOGETHER_S
    assert [list(d.starts) for d in writer._batch()[0]] == [[0]]
    service.starts[1] = Place(0, 1, 1, 0, 0, since=clock.at)
    del service.asking[1]
    assert [list(d.starts) for d in writer._batch()[0]] == [[0, 1]]


def test_room_is_asked_for_where_the_least_work_is_lost() -> None:
    """Machines asked at random gave up work that had run for half its time."""
    world = make_world(Clock())
    now = world.now()

    def room(index: int, *youngest_s: float) -> Room:
        return Room(
            index, 0, 0, False, 0, (4.0, 0.0, 16.0), [0.0, 0.0, 0.0], at=now - 5.0,
            images={"img"}, youngest_s=list(youngest_s),
        )  # fmt: skip

    rooms = [room(0, -1, 30, -1, -1), room(1, -1, -1, 1, -1), room(2, -1, 3, 2, -1), room(3)]
    urgent = job(world, "j-000001", 0.0, rank="urgent")
    got = scheduler.cheapest_stops(urgent, rooms, now, world.rng)
    assert [r.index for r in got[:2]] == [2, 0]  # rank 2 itself gives up nothing of rank 2
    assert rooms[2].lost_s(2, now) == 8.0


def test_replicas_do_not_crowd_on_the_machine_with_the_fastest_fetch() -> None:
    """Many replicas were on one large machine, and were gone at once when it died."""
    world = make_world(Clock())
    rooms = [
        Room(i, 1, 0, False, 0, (16.0, 0.0, 64.0), [16.0, 0.0, 64.0], pull=0.2 if i else 2.0)
        for i in range(6)
    ]
    jobs = [
        job(world, f"j-{i:06d}", 0.0, shape="daemon", rank="prod", chores=1, cores=4.0,
            ram_gb=16.0, kit=f"img-{i}", image_gb=2.0)
        for i in range(6)
    ]  # fmt: skip
    picks, _ = scheduler.plan(world, jobs, rooms, lambda j: 9, 99)
    assert len({p.room.index for p in picks}) == 6
    sweep = job(world, "j-000009", 0.0, cores=1.0, ram_gb=4.0, chores=2, image_gb=2.0)
    fast, _ = scheduler.plan(world, [sweep], rooms, lambda j: 9, 99)
    assert {p.room.index for p in fast} == {0}


def test_a_record_passed_over_for_long_is_written_in_its_turn() -> None:
    """In a flood of urgent starts nothing else was written: ends, which free limits and finish
    jobs, waited for its end. Of those passed over, the team that wrote least lately goes first."""
    clock = Clock()
    world = make_world(clock)
    shard = JobShard(world, 0, 3, 9)
    writer = Writer(world, PlainClient(PlainState(random.Random(1)), 0.0), shard)  # type: ignore[arg-type]
    world.machines.put("vm-0")
    world.zones.put("a")
    flood = job(world, "j-000001", 0.0, rank="urgent", crew="red")
    ended = [job(world, f"j-00000{n}", 9.0 - n, crew=c) for n, c in ((2, "red"), (3, "blue"))]
    for one in (flood, *ended):
        one.versions[0] = 1
        shard.adopt(one)
    for one in ended:
        one.places[0] = Place(0, 1, 1, 0, 0)
        one.ends[0] = api.W_DONE
    writer.spent[flood.team] = 50.0
    seen: list[list[Job]] = []
    for _ in range(8):
        clock.at += 0.4
        flood.starts[0] = Place(0, 1, 1, 0, 0)
        shard.dirty.add(flood.index)
        batch, _, urgent = writer._batch()
        assert urgent
        seen.append([d.job for d in batch])
        for draft in batch:  # as if written; its next start and the next ends are there at once
            del writer.since[draft.job.index]
    assert seen == [*[[flood]] * 3, [ended[1], ended[0], flood]] * 2


def test_idle_work_leaves_room_for_what_comes_and_its_floor_does_not() -> None:
    """It took all that others left free, and whatever came next had to stop some of it."""
    world = make_world(Clock())
    total = (16.0, 0.0, 64.0)
    rooms = [Room(n, world.type_names.put("big"), 0, False, 0, total, [*total]) for n in range(5)]
    idle = new_job(world, spec("j-1", rank="idle", chores=99, cores=1.0, ram_gb=1.0), 0, 0)
    work = new_job(world, spec("j-2", rank="normal", chores=4, cores=1.0, ram_gb=1.0), 0, 0)
    found = Round(world, rooms, lambda job: 99, 999)
    assert len(found.place(idle)) == 72 and found.waiting[idle.index][1] == 27
    assert len(found.place(work)) == 4 and not found.place(idle)
    assert len(found.place(idle, 2, sure=True)) == 2


def test_a_job_that_has_long_waited_to_begin_goes_before_all_with_one_task() -> None:
    """A class's largest jobs waited for as long as smaller and more urgent ones came."""
    world = make_world(Clock())
    now = world.wall_ms()
    old = new_job(world, spec("j-1", rank="idle", chores=99), 0, now - int(FIRST_S * 1000) - 1)
    new = new_job(world, spec("j-2", rank="prod"), 0, now)
    assert [scheduler.unbegun(job, now) for job in (old, new)] == [True, False]
    old.failed_on.add(1)  # it has run, and failed
    assert not scheduler.unbegun(old, now)

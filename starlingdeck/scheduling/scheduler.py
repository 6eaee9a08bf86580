"""Which waiting tasks go next, and where (DESIGN 2). Pure: rooms and jobs in, picks out."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from msgspec import Struct

from starlingdeck.context import MANY, Size, World, fits, holds
from starlingdeck.jobs.job import Job, Place
from starlingdeck.machines.scoring import Draw, Room
from starlingdeck.protocol import api

FAR = 1e9
STOPS_SCORED = 64  # (start) machines of which the best are asked for room by preemption
LOST_WEIGHT = 0.3  # (start) a second of a stopped task's run against one of fetching
HOPE = 0.8  # (start) of the owner's estimate, which is often too high
FIRST_S = 120.0  # (start) after this a task of a job of which nothing has run goes before all
IDLE_SPARE = 0.1  # (start) of all processors, which idle work leaves free
SIZE_MS = 5.0  # (start) per processor-second of work: how much later a larger job counts as due


Kind = tuple[tuple[str, ...], str | None, bool]  # types, zone, spot: which machines may be used


class TeamJob(Struct, frozen=True):
    """An unfinished job anywhere in the service, for the guarantees."""

    team: int
    at_ms: int
    id: str
    cpus: float
    gpus: float
    rank: int = 0


class Pick(Struct):
    job: Job
    task: int
    room: Room
    preempt: bool = False
    gather: bool = False
    kept: bool = False  # not to be stopped for others once it runs


def guarantees(world: World) -> dict[int, list[float]]:
    """Processors and accelerators by team, of the teams that have a guarantee of either."""
    teams = world.settings.settings.teams
    return {
        i: [t.cpus if t.cpus > 0 else FAR, t.gpus if t.gpus > 0 else FAR]
        for i, t in enumerate(teams)
        if t.cpus > 0 or t.gpus > 0
    }


def by_claim(jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Those with the first claim on their team's guarantee first."""
    return sorted(jobs, key=lambda j: (-j.rank, j.at_ms, j.id))


def within(room: list[float]) -> bool:
    return room[0] >= -1e-6 and room[1] >= -1e-6


def guaranteed_jobs(world: World, jobs: Iterable[TeamJob]) -> set[str]:
    """Jobs that fit into their team's guarantee together with its unfinished jobs before them.

    Of a team's jobs those of higher rank come before, then the earlier ones. By arrival
    alone a backlog of low work took up the guarantee, and the team's urgent work waited
    behind it and could not stop it.
    """
    left = guarantees(world)
    inside: set[str] = set()
    for job in by_claim(jobs):
        room = left.get(job.team)
        if room is None:
            continue
        room[0] -= job.cpus
        room[1] -= job.gpus
        if within(room):
            inside.add(job.id)
    return inside


def bearing_jobs(world: World, jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Of some of the service's jobs those that `guaranteed_jobs` of all of them depends on: of each
    team with a guarantee up to the first that doesn't fit in. Behind that one none does,
    whatever jobs others hold."""
    left = guarantees(world)
    found = []
    for job in by_claim(jobs):
        room = left.get(job.team)
        if room is None or not within(room):
            continue
        room[0] -= job.cpus
        room[1] -= job.gpus
        found.append(job)
    return found


def due_times_ms(world: World, job: Job) -> tuple[float, ...]:
    """When the job should be over by the aims for its class and its deadline, soonest first."""
    if job.due_ms is not None:
        return job.due_ms
    spec, times = job.spec, set()
    for o in world.settings.settings.objectives:
        if o.cls != spec.cls:
            continue
        if o.kind == "finished" and o.within_s:
            times.add(job.at_ms + o.within_s * 1000)
        elif o.kind == "deadline" and spec.deadline_s is not None:
            times.add(job.at_ms + spec.deadline_s * (o.times or 1.0) * 1000)
    if not times and spec.deadline_s is not None:
        times.add(job.at_ms + spec.deadline_s * 1000)
    job.due_ms = tuple(sorted(times))
    return job.due_ms


def urgency(world: World, job: Job, now_ms: int) -> tuple[bool, float]:
    """Whether the job is late for every aim, and its slack for the next one, with its size.

    A large job counts as having more time than it has: where not all can be in time, more
    jobs are when the small ones go first. Work that can't be in time any more goes last:
    in order of slack alone it went first, and made the next jobs late as well.
    """
    need_ms = job.spec.estimate_s * HOPE * 1000
    size_ms = job.unfinished * job.spec.cpus * job.spec.estimate_s * SIZE_MS
    due = due_times_ms(world, job)
    for at in due:
        if at - now_ms >= need_ms:
            return False, at - now_ms - need_ms + size_ms
    return bool(due), size_ms + (FAR if not due else 0.0)


def unbegun(job: Job, now_ms: int) -> bool:
    """Whether nothing of a job has run, although it has waited for long.

    In order of slack alone a class's largest jobs waited for as long as smaller ones came, and
    one that was late for its aims behind all others of its rank.
    """
    begun = job.finished or job.places or job.failed_on
    return not begun and now_ms - job.at_ms > FIRST_S * 1000


def order(world: World, jobs: Iterable[Job], now_ms: int) -> list[Job]:
    """Guarantee first, then rank, then urgency."""

    def key(job: Job) -> tuple[bool, int, bool, float, str]:
        late, slack = urgency(world, job, now_ms)
        return (not job.guaranteed, -job.spec.rank, late, slack, job.id)

    return sorted(jobs, key=key)


def pressing(world: World, job: Job) -> bool:
    """Whether a guaranteed job has waited for half of what the aim on guarantees allows."""
    aims = [
        o.within_s
        for o in world.settings.settings.objectives
        if o.kind == "guarantee" and o.within_s
    ]
    waited_s = (world.wall_ms() - job.at_ms) / 1000
    return job.guaranteed and waited_s > (min(aims) / 2 if aims else 5.0)


def wait_aim_s(world: World, job: Job) -> float:
    """How long the job's tasks may wait by the tightest aim for its class; 0 without one."""
    aims = [
        o.within_s
        for o in world.settings.settings.objectives
        if o.kind == "wait" and o.cls == job.spec.cls and o.within_s
    ]
    return min(aims, default=0.0)


def allowed(world: World, job: Job, room: Room) -> bool:
    """Type, zone and kind of machine; the rules that no aim may break."""
    spec = job.spec
    if spec.types is not None and world.type_names[room.type] not in spec.types:
        return False
    if spec.zone is not None and world.zones[room.zone] != spec.zone:
        return False
    return spec.spot or not room.spot


def zones_open(job: Job, used: dict[int, int]) -> Callable[[int], bool]:
    """Which zones the next task may use, given where the job's other tasks are."""
    spec = job.spec
    if spec.one_zone and used:
        return lambda zone: used.get(zone, 0) > 0
    if spec.spread:
        most = (spec.tasks + 1) // 2
        return lambda zone: used.get(zone, 0) < most
    return lambda zone: True


def zone_use(job: Job, but: Place | None = None) -> dict[int, int]:
    """Tasks per zone, counting those recorded, being recorded and being asked for.

    `but` is a place about to be left; the task's next place doesn't count against it.
    """
    used: dict[int, int] = {}
    for place in (*job.places.values(), *job.starts.values()):
        if place is not but:
            used[place.zone] = used.get(place.zone, 0) + 1
        if place.target is not None:
            used[place.target.zone] = used.get(place.target.zone, 0) + 1
    for zone in job.asking.values():
        used[zone] = used.get(zone, 0) + 1
    return used


def _fetch_too_long(world: World, job: Job, chosen: Room) -> bool:
    """Whether the image would come to `chosen` too late for the aim on waiting.

    Only for classes with such an aim, and only for work that may preempt at all.
    """
    # A replica's fetch takes a third more at times, and the rest of a start its time too. An
    # array's tasks are many: each stop there costs more than a wait near the aim.
    aim = wait_aim_s(world, job) * (0.6 if job.spec.service else 1.0)
    return 0 < aim < chosen.fetch_s(job.spec.image, job.spec.image_gb)


def kind_of(job: Job) -> Kind:
    return tuple(job.spec.types or ()), job.spec.zone, job.spec.spot


class Round:
    """One plan's picks for up to `most` waiting tasks, job by job, most urgent first.

    `spare(job)` says how many more of the job's tasks may start. Machines are looked
    through once for all jobs that allow the same ones.
    """

    def __init__(
        self,
        world: World,
        rooms: Sequence[Room],
        spare: Callable[[Job], int],
        most: int,
        may_stop: Callable[[Job], bool] = lambda job: True,
    ) -> None:
        self.world = world
        self.rooms = [r for r in rooms if r.drawable]
        self.spare = spare
        self.most = most
        self.may_stop = may_stop  # whether a job may have others stopped now
        total = sum(room.total[0] for room in self.rooms)
        self.idle_cpus = sum(max(0.0, r.free[0]) for r in self.rooms) - IDLE_SPARE * total
        self.waiting: dict[int, tuple[Job, int]] = {}  # jobs, and how many tasks found no machine
        self.allowing: dict[Kind, list[Room]] = {}
        self.full: set[tuple[Kind, Size]] = set()
        self.fitting: dict[tuple[Kind, Size], list[Room]] = {}

    def allowed(self, job: Job) -> list[Room]:
        """The drawable machines that a job may use."""
        kind = kind_of(job)
        found = self.allowing.get(kind)
        if found is None:
            found = [r for r in self.rooms if allowed(self.world, job, r)]
            self.allowing[kind] = found
        return found

    def passes(self, job: Job) -> bool:
        """Whether nothing has room for a task like the job's; it only gets less. What waits is
        counted, not listed one by one: in a backlog that was half of a plan."""
        if (kind_of(job), job.size) not in self.full or job.promised:
            return False
        self.waiting.pop(job.index, None)
        limit = self._limit(job, MANY)
        if limit > 0:
            job.avoid.clear()
            if (left := min(limit, job.unfinished - job.used())) > 0:
                self.waiting[job.index] = (job, left)
        return True

    def _limit(self, job: Job, most: int) -> int:
        """How many of the job's tasks may be placed now."""
        if self.most <= 0 or job.hold_until > self.world.now():
            return 0
        limit = min(self.most, most, self.spare(job))
        if len(job.failed_on) >= self.world.tuning.suspect_machines:
            limit = min(limit, 1 - job.used())
        return limit

    def _idle_limit(self, job: Job) -> int:
        """How many tasks idle work may place now.

        It took all that others left free, and each task of theirs then had to stop some of it: on a
        day with an idle array of 25,000 small tasks a third of all starts were stopped again.
        """
        if job.spec.rank > 0 or job.guaranteed or job.spec.cpus <= 0:
            return MANY
        return max(0, int(self.idle_cpus / job.spec.cpus))

    def place(self, job: Job, most: int = MANY, sure: bool = False) -> list[Pick]:
        """Picks for up to `most` of a job's waiting tasks; notes in `waiting` how many are left.
        `sure`: they go before others, whatever their rank."""
        world, now, picks = self.world, self.world.now(), []  # type: ignore[var-annotated]
        if self.passes(job):
            return picks
        self.waiting.pop(job.index, None)
        kind, limit = (kind_of(job), job.size), self._limit(job, most)
        held_back = 0
        if not sure and (idle := self._idle_limit(job)) < limit:
            held_back = min(limit, job.unfinished - job.used()) - idle
            limit = idle
        tasks = job.ready(limit, now) if limit > 0 else []
        if not tasks:
            if held_back > 0:
                self.waiting[job.index] = (job, held_back)
            return picks
        fitting = self.allowed(job)
        missed = 0
        # Rooms only fill while a plan lasts: what had no room for a task like these needs no
        # second look.
        roomy = [r for r in self.fitting.get(kind, fitting) if r.fits(job.size)]
        self.fitting[kind] = roomy
        draw = Draw(roomy, job.size, fetch_cost(job), world.tuning.score_machines, world.rng)
        if not draw.pool:
            self.full.add(kind)
        used = zone_use(job)

        def pick(task: int, room: Room, preempt: bool, gather: bool = False) -> None:
            job.asking[task] = room.zone
            used[room.zone] = used.get(room.zone, 0) + 1
            picks.append(Pick(job, task, room, preempt, gather, gather))

        asked: set[int] = set()
        pushes = job.spec.rank >= 2 and self.may_stop(job)
        for n, task in enumerate(tasks):
            zone_ok = zones_open(job, used)
            machine, until = job.promised.pop(task, (-1, 0.0))
            kept = None
            if machine >= 0 and now < until:
                kept = next((r for r in fitting if r.index == machine and zone_ok(r.zone)), None)
            if kept is not None:
                # Lower work is being stopped there for this task, or what comes free is kept
                # for it: ask the same machine again.
                job.promised[task] = (machine, until)
                pick(task, kept, True, task in job.gathering)
                continue
            job.gathering.discard(task)
            able = _able(job, task, zone_ok)
            room = draw.best(able)
            if room is None:
                # Where only machines are left that it failed on, those must do.
                job.avoid.pop(task, None)
                missed += 1
                if missed > 3 and not job.promised:
                    missed += len(tasks) - n - 1
                    break
                continue
            if pushes and task not in job.pushed and _fetch_too_long(world, job, room):
                # Once per task: room made on a machine that has the image beats the fetch. Asked
                # at random, most such machines had nothing to stop, and the try was lost.
                ranks = stoppable_ranks(world, job)
                beside = [
                    r
                    for r in fitting
                    if job.spec.image in r.images and able(r) and may_yield(job, ranks, r)
                ]
                fresh = [r for r in beside if r.index not in asked] or beside
                if fresh:
                    job.pushed.add(task)
                    chosen = cheapest_stops(job, fresh, now, world.rng)[0]
                    asked.add(chosen.index)
                    pick(task, chosen, True)
                    continue
            room.free = [f - s for f, s in zip(room.free, job.size, strict=True)]
            room.present.add((job.index, task))
            if job.spec.image not in room.images:
                room.fetching.add(job.spec.image)
            pick(task, room, False)
        if (missed := missed + max(0, held_back)) > 0:
            self.waiting[job.index] = (job, missed)
        self.most -= len(picks)
        self.idle_cpus -= job.spec.cpus * sum(not p.preempt for p in picks)
        return picks


def plan(
    world: World,
    jobs: Sequence[Job],
    rooms: Sequence[Room],
    spare: Callable[[Job], int],
    most: int,
) -> tuple[list[Pick], list[tuple[Job, int]]]:
    """A whole plan in one go: picks, and how many of each job's tasks found no machine."""
    found = Round(world, rooms, spare, most)
    picks = [p for job in order(world, jobs, world.wall_ms()) for p in found.place(job)]
    return picks, list(found.waiting.values())


def stoppable_ranks(world: World, job: Job) -> int:
    """Work of ranks below this may be stopped for the job's tasks, as the protocol allows."""
    if pressing(world, job):
        return len(api.RANKS)
    return job.spec.rank + job.guaranteed


def may_yield(job: Job, ranks: int, room: Room) -> bool:
    """Whether a machine that a task fits into by size has work below `ranks` at all.

    On a full fleet most have none, and they were asked all the same: the requests and their
    refusals took a fifth of a controller's processor time.
    """
    return room.lowest < ranks and fits(job.size, room.total)


def fetch_cost(job: Job) -> Callable[[Room], float]:
    """How a machine's fetch counts for a job's tasks.

    For replicas a machine only has the image or not: the few with the fastest fetch would
    take the replicas of many services, and one of them that dies takes all of those with it.
    """
    image, image_gb = job.spec.image, job.spec.image_gb
    if job.spec.service:
        return lambda room: 0.0 if image in room.images else 1.0 + image_gb
    return lambda room: room.fetch_s(image, image_gb)


def cheapest_stops(job: Job, able: Sequence[Room], now: float, rng: Random) -> list[Room]:
    """Machines to ask for room by preemption: a short fetch there, and little work lost.

    Asked at random, machines gave up work that had run for half its time, and on a full
    fleet that was a tenth of all there was to do.
    """

    fetch_s = fetch_cost(job)

    def cost(room: Room) -> tuple[float, float]:
        return round(fetch_s(room) + LOST_WEIGHT * room.lost_s(job.spec.rank, now)), rng.random()

    costs = {room.index: cost(room) for room in able}
    return sorted(able, key=lambda room: costs[room.index])


class Stops:
    """Machines to ask for room by preemption, for all jobs of one plan.

    Machines were looked through and sorted anew for each waiting job, by far the most of a plan's
    processor time in a flood; and jobs alike asked the same machines, which stopped more than one
    of them needed. Now jobs alike share a list, a machine is asked for no more than it could hold,
    and a plan for `most` tasks.
    """

    def __init__(self, found: Round, most: int) -> None:
        self.found = found
        self.most = most
        self.able: dict[tuple[Kind, int, Size], list[Room]] = {}
        self.sorted: dict[object, list[Room]] = {}
        self.asked: dict[int, float] = {}  # machine -> share of it asked for

    def _able(self, job: Job, ranks: int) -> list[Room]:
        key = (kind_of(job), ranks, job.size)
        able = self.able.get(key)
        if able is None:
            able = [r for r in self.found.allowed(job) if may_yield(job, ranks, r)]
            self.able[key] = able
        return able

    def cheapest(self, job: Job, now: float) -> list[Room]:
        """The machines that may have something to stop for a job's tasks, the best first."""
        ranks = stoppable_ranks(self.found.world, job)
        able = self._able(job, ranks)
        if not able:
            return able
        spec = job.spec
        key = (kind_of(job), ranks, job.size, spec.rank, spec.service, spec.image)
        ordered = self.sorted.get(key)
        if ordered is None:
            rng = self.found.world.rng
            if len(able) > STOPS_SCORED:
                able = rng.sample(able, STOPS_SCORED)
            ordered = cheapest_stops(job, able, now, rng)
            self.sorted[key] = ordered
        return ordered

    def spread_out(self, job: Job, tasks: Sequence[int], able: Sequence[Room]) -> list[Pick]:
        """Tasks that ask for room by preemption, several to a machine where it could hold them.

        One stopped task often makes room for several: asking one machine for one task stopped
        four times as much as was needed, and gave a large job its room over many seconds.
        Replicas ask one by one, so that a machine doesn't take several with it.
        """
        used = zone_use(job)
        picks: list[Pick] = []
        left = list(reversed(tasks[: self.most]))
        zone_ok = zones_open(job, used)
        for room in able:
            if not left:
                break
            each = max(s / t for s, t in zip(job.size, room.total, strict=True) if t > 0)
            asked = self.asked.get(room.index, 0.0)
            most = 1 if job.spec.service else min(8, holds(job.size, room.total))
            while left and most > 0 and asked + each <= 1 + 1e-6 and zone_ok(room.zone):
                task = left.pop()
                most -= 1
                asked += each
                job.asking[task] = room.zone
                used[room.zone] = used.get(room.zone, 0) + 1
                zone_ok = zones_open(job, used)
                picks.append(Pick(job, task, room, True))
            self.asked[room.index] = asked
        self.most -= len(picks)
        return picks


def gather(job: Job, tasks: Sequence[int], rooms: Sequence[Room], taken: set[int]) -> list[Pick]:
    """Machines that are to keep what comes free there until one of the job's tasks fits.

    Under a flood of small tasks the room for a larger one never comes free at once: each bit of
    it goes to the next small task. `taken` are the machines that are kept already; those that
    soon have room come first, by what is missing to what is in use there.
    """

    def wait(room: Room) -> float:
        soon = 0.0
        for size, free, all_ in zip(job.size, room.free, room.total, strict=True):
            if size > free + 1e-9:
                soon = max(soon, (size - free) / max(all_ - free, 1e-9))
        return soon

    used = zone_use(job)
    picks: list[Pick] = []
    able = [
        r
        for r in rooms
        if r.index not in taken and min(r.free) >= -1e-9 and fits(job.size, r.total)
    ]
    waits = sorted((wait(room), room.index, room) for room in able)
    left = list(reversed(tasks))
    for _, _, room in waits:
        if not left:
            break
        task = left[-1]
        if not _able(job, task, zones_open(job, used))(room):
            continue
        left.pop()
        taken.add(room.index)
        job.asking[task] = room.zone
        job.gathering.add(task)
        used[room.zone] = used.get(room.zone, 0) + 1
        picks.append(Pick(job, task, room, True, True, True))
    return picks


def _able(job: Job, task: int, zone_ok: Callable[[int], bool]) -> Callable[[Room], bool]:
    avoid, key = job.avoid.get(task, ()), (job.index, task)
    return lambda room: zone_ok(room.zone) and room.index not in avoid and key not in room.present

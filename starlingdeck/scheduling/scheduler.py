"""Which waiting tasks go next, and where (DESIGN 2). Pure: rooms and jobs in, picks out."""

from collections.abc import Callable, Iterable, Sequence
from random import Random

from msgspec import Struct

from starlingdeck.context import UNBOUNDED, ControllerContext, Resources, fit_count, fits
from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.machines.scoring import Candidate, CandidateSample
from starlingdeck.protocol import api

UNLIMITED = 1e9
MAX_PREEMPTION_CANDIDATES = (
    64  # (start) machines of which the best are asked for room by preemption
)
LOST_RUN_WEIGHT = 0.3  # (start) a second of a stopped task's run against one of fetching
MIN_ESTIMATE_SHARE = 0.8  # (start) of the owner's estimate, which is often too high
STARVATION_S = 120.0  # (start) after this a task of a job of which nothing has run goes before all
IDLE_RESERVE_SHARE = 0.1  # (start) of all processors, which idle work leaves free
SIZE_PENALTY_MS = (
    5.0  # (start) per processor-second of work: how much later a larger job counts as due
)


ConstraintKey = tuple[
    tuple[str, ...], str | None, bool
]  # types, zone, spot: which machines may be used


class TeamJob(Struct, frozen=True):
    """An unfinished job anywhere in the service, for the guarantees."""

    team: int
    submitted_ms: int
    id: str
    cpus: float
    gpus: float
    rank: int = 0


class PlacementDecision(Struct):
    job: Job
    task: int
    candidate: Candidate
    preempt: bool = False
    accumulate: bool = False
    protected: bool = False  # not to be stopped for others once it runs


def team_guarantees(context: ControllerContext) -> dict[int, list[float]]:
    """Processors and accelerators by team, of the teams that have a guarantee of either."""
    teams = context.settings.settings.teams
    return {
        i: [t.cpus if t.cpus > 0 else UNLIMITED, t.gpus if t.gpus > 0 else UNLIMITED]
        for i, t in enumerate(teams)
        if t.cpus > 0 or t.gpus > 0
    }


def claim_order(jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Those with the first claim on their team's guarantee first."""
    return sorted(jobs, key=lambda j: (-j.rank, j.submitted_ms, j.id))


def fits_guarantee(room: list[float]) -> bool:
    return room[0] >= -1e-6 and room[1] >= -1e-6


def guaranteed_jobs(context: ControllerContext, jobs: Iterable[TeamJob]) -> set[str]:
    """Jobs that fit into their team's guarantee together with its unfinished jobs before them.

    Of a team's jobs those of higher rank come before, then the earlier ones. By arrival
    alone a backlog of low work took up the guarantee, and the team's urgent work waited
    behind it and could not stop it.
    """
    left = team_guarantees(context)
    inside: set[str] = set()
    for job in claim_order(jobs):
        room = left.get(job.team)
        if room is None:
            continue
        room[0] -= job.cpus
        room[1] -= job.gpus
        if fits_guarantee(room):
            inside.add(job.id)
    return inside


def guarantee_relevant_jobs(context: ControllerContext, jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Of some of the service's jobs those that `guaranteed_jobs` of all of them depends on: of each
    team with a guarantee up to the first that doesn't fit in. Behind that one none does,
    whatever jobs others hold."""
    left = team_guarantees(context)
    found = []
    for job in claim_order(jobs):
        room = left.get(job.team)
        if room is None or not fits_guarantee(room):
            continue
        room[0] -= job.cpus
        room[1] -= job.gpus
        found.append(job)
    return found


def due_times_ms(context: ControllerContext, job: Job) -> tuple[float, ...]:
    """When the job should be over by the aims for its class and its deadline, soonest first."""
    if job.due_times_ms is not None:
        return job.due_times_ms
    spec, times = job.spec, set()
    for o in context.settings.settings.objectives:
        if o.cls != spec.cls:
            continue
        if o.kind == "finished" and o.within_s:
            times.add(job.submitted_ms + o.within_s * 1000)
        elif o.kind == "deadline" and spec.deadline_s is not None:
            times.add(job.submitted_ms + spec.deadline_s * (o.times or 1.0) * 1000)
    if not times and spec.deadline_s is not None:
        times.add(job.submitted_ms + spec.deadline_s * 1000)
    job.due_times_ms = tuple(sorted(times))
    return job.due_times_ms


def priority_key(context: ControllerContext, job: Job, now_ms: int) -> tuple[bool, float]:
    """Whether the job is late for every aim, and its slack for the next one, with its size.

    A large job counts as having more time than it has: where not all can be in time, more
    jobs are when the small ones go first. Work that can't be in time any more goes last:
    in order of slack alone it went first, and made the next jobs late as well.
    """
    need_ms = job.spec.estimate_s * MIN_ESTIMATE_SHARE * 1000
    size_ms = job.unfinished * job.spec.cpus * job.spec.estimate_s * SIZE_PENALTY_MS
    due = due_times_ms(context, job)
    for at in due:
        if at - now_ms >= need_ms:
            return False, at - now_ms - need_ms + size_ms
    return bool(due), size_ms + (UNLIMITED if not due else 0.0)


def is_starving(job: Job, now_ms: int) -> bool:
    """Whether nothing of a job has run, although it has waited for long.

    In order of slack alone a class's largest jobs waited for as long as smaller ones came, and
    one that was late for its aims behind all others of its rank.
    """
    begun = job.completed or job.placements or job.failed_on
    return not begun and now_ms - job.submitted_ms > STARVATION_S * 1000


def priority_order(context: ControllerContext, jobs: Iterable[Job], now_ms: int) -> list[Job]:
    """Guarantee first, then rank, then urgency."""

    def key(job: Job) -> tuple[bool, int, bool, float, str]:
        late, slack = priority_key(context, job, now_ms)
        return (not job.guaranteed, -job.spec.rank, late, slack, job.id)

    return sorted(jobs, key=key)


def has_quota_pressure(context: ControllerContext, job: Job) -> bool:
    """Whether a guaranteed job has waited for half of what the aim on guarantees allows."""
    aims = [
        o.within_s
        for o in context.settings.settings.objectives
        if o.kind == "guarantee" and o.within_s
    ]
    waited_s = (context.wall_clock_ms() - job.submitted_ms) / 1000
    return job.guaranteed and waited_s > (min(aims) / 2 if aims else 5.0)


def wait_objective_s(context: ControllerContext, job: Job) -> float:
    """How long the job's tasks may wait by the tightest aim for its class; 0 without one."""
    aims = [
        o.within_s
        for o in context.settings.settings.objectives
        if o.kind == "wait" and o.cls == job.spec.cls and o.within_s
    ]
    return min(aims, default=0.0)


def allowed(context: ControllerContext, job: Job, candidate: Candidate) -> bool:
    """Type, zone and kind of machine; the rules that no aim may break."""
    spec = job.spec
    if spec.types is not None and context.type_names[candidate.type] not in spec.types:
        return False
    if spec.zone is not None and context.zone_names[candidate.zone] != spec.zone:
        return False
    return spec.spot or not candidate.spot


def open_zones(job: Job, used: dict[int, int]) -> Callable[[int], bool]:
    """Which zones the next task may use, given where the job's other tasks are."""
    spec = job.spec
    if spec.one_zone and used:
        return lambda zone: used.get(zone, 0) > 0
    if spec.spread:
        limit = (spec.tasks + 1) // 2
        return lambda zone: used.get(zone, 0) < limit
    return lambda zone: True


def zone_use(job: Job, but: TaskPlacement | None = None) -> dict[int, int]:
    """Tasks per zone, counting those recorded, being recorded and being asked for.

    `but` is a place about to be left; the task's next place doesn't count against it.
    """
    used: dict[int, int] = {}
    for placement in (*job.placements.values(), *job.pending_starts.values()):
        if placement is not but:
            used[placement.zone] = used.get(placement.zone, 0) + 1
        if placement.target is not None:
            used[placement.target.zone] = used.get(placement.target.zone, 0) + 1
    for zone in job.reserving.values():
        used[zone] = used.get(zone, 0) + 1
    return used


def _fetch_too_long(context: ControllerContext, job: Job, chosen: Candidate) -> bool:
    """Whether the image would come to `chosen` too late for the aim on waiting.

    Only for classes with such an aim, and only for work that may preempt at all.
    """
    # A replica's fetch takes a third more at times, and the rest of a start its time too. An
    # array's tasks are many: each stop there costs more than a wait near the aim.
    aim = wait_objective_s(context, job) * (0.6 if job.spec.service else 1.0)
    return 0 < aim < chosen.fetch_s(job.spec.image, job.spec.image_gb)


def constraint_key(job: Job) -> ConstraintKey:
    return tuple(job.spec.types or ()), job.spec.zone, job.spec.spot


class SchedulingCycle:
    """One plan's picks for up to `most` waiting tasks, job by job, most urgent first.

    `spare(job)` says how many more of the job's tasks may start. Machines are looked
    through once for all jobs that allow the same ones.
    """

    def __init__(
        self,
        context: ControllerContext,
        candidates: Sequence[Candidate],
        spare: Callable[[Job], int],
        limit: int,
        may_stop: Callable[[Job], bool] = lambda job: True,
    ) -> None:
        self.context = context
        self.candidates = [candidate for candidate in candidates if candidate.schedulable]
        self.headroom = spare
        self.remaining = limit
        self.may_preempt = may_stop  # whether a job may have others stopped now
        total = sum(candidate.capacity[0] for candidate in self.candidates)
        self.idle_cpus = (
            sum(max(0.0, candidate.available[0]) for candidate in self.candidates)
            - IDLE_RESERVE_SHARE * total
        )
        self.unplaced: dict[int, tuple[Job, int]] = {}  # jobs, and how many tasks found no machine
        self.allowing: dict[ConstraintKey, list[Candidate]] = {}
        self.full: set[tuple[ConstraintKey, Resources]] = set()
        self.fitting: dict[tuple[ConstraintKey, Resources], list[Candidate]] = {}

    def allowed(self, job: Job) -> list[Candidate]:
        """The drawable machines that a job may use."""
        kind = constraint_key(job)
        found = self.allowing.get(kind)
        if found is None:
            found = [
                candidate for candidate in self.candidates if allowed(self.context, job, candidate)
            ]
            self.allowing[kind] = found
        return found

    def is_unschedulable(self, job: Job) -> bool:
        """Whether nothing has room for a task like the job's; it only gets less. What waits is
        counted, not listed one by one: in a backlog that was half of a plan."""
        if (constraint_key(job), job.size) not in self.full or job.nominated:
            return False
        self.unplaced.pop(job.index, None)
        limit = self._limit(job, UNBOUNDED)
        if limit > 0:
            job.avoided_machines.clear()
            if (left := min(limit, job.unfinished - job.active_attempts())) > 0:
                self.unplaced[job.index] = (job, left)
        return True

    def _limit(self, job: Job, most: int) -> int:
        """How many of the job's tasks may be placed now."""
        if self.remaining <= 0 or job.backoff_until > self.context.now():
            return 0
        limit = min(self.remaining, most, self.headroom(job))
        if len(job.failed_on) >= self.context.tuning.suspect_machines:
            limit = min(limit, 1 - job.active_attempts())
        return limit

    def _idle_limit(self, job: Job) -> int:
        """How many tasks idle work may place now.

        It took all that others left free, and each task of theirs then had to stop some of it: on a
        day with an idle array of 25,000 small tasks a third of all starts were stopped again.
        """
        if job.spec.rank > 0 or job.guaranteed or job.spec.cpus <= 0:
            return UNBOUNDED
        return max(0, int(self.idle_cpus / job.spec.cpus))

    def place(self, job: Job, most: int = UNBOUNDED, sure: bool = False) -> list[PlacementDecision]:
        """Picks for up to `most` of a job's waiting tasks; notes in `waiting` how many are left.
        `sure`: they go before others, whatever their rank."""
        context, now, decisions = self.context, self.context.now(), []  # type: ignore[var-annotated]
        if self.is_unschedulable(job):
            return decisions
        self.unplaced.pop(job.index, None)
        kind, limit = (constraint_key(job), job.size), self._limit(job, most)
        held_back = 0
        if not sure and (idle := self._idle_limit(job)) < limit:
            held_back = min(limit, job.unfinished - job.active_attempts()) - idle
            limit = idle
        tasks = job.ready(limit, now) if limit > 0 else []
        if not tasks:
            if held_back > 0:
                self.unplaced[job.index] = (job, held_back)
            return decisions
        fitting = self.allowed(job)
        missed = 0
        # Rooms only fill while a plan lasts: what had no room for a task like these needs no
        # second look.
        roomy = [r for r in self.fitting.get(kind, fitting) if r.fits(job.size)]
        self.fitting[kind] = roomy
        draw = CandidateSample(
            roomy, job.size, fetch_cost(job), context.tuning.score_machines, context.rng
        )
        if not draw.pool:
            self.full.add(kind)
        used = zone_use(job)

        def pick(task: int, room: Candidate, preempt: bool, gather: bool = False) -> None:
            job.reserving[task] = room.zone
            used[room.zone] = used.get(room.zone, 0) + 1
            decisions.append(PlacementDecision(job, task, room, preempt, gather, gather))

        asked: set[int] = set()
        pushes = job.spec.rank >= 2 and self.may_preempt(job)
        for n, task in enumerate(tasks):
            zone_ok = open_zones(job, used)
            machine, until = job.nominated.pop(task, (-1, 0.0))
            kept = None
            if machine >= 0 and now < until:
                kept = next((r for r in fitting if r.index == machine and zone_ok(r.zone)), None)
            if kept is not None:
                # Lower work is being stopped there for this task, or what comes free is kept
                # for it: ask the same machine again.
                job.nominated[task] = (machine, until)
                pick(task, kept, True, task in job.accumulating)
                continue
            job.accumulating.discard(task)
            able = _able(job, task, zone_ok)
            candidate = draw.best(able)
            if candidate is None:
                # Where only machines are left that it failed on, those must do.
                job.avoided_machines.pop(task, None)
                missed += 1
                if missed > 3 and not job.nominated:
                    missed += len(tasks) - n - 1
                    break
                continue
            if (
                pushes
                and task not in job.preemption_tried
                and _fetch_too_long(context, job, candidate)
            ):
                # Once per task: room made on a machine that has the image beats the fetch. Asked
                # at random, most such machines had nothing to stop, and the try was lost.
                ranks = preemptible_ranks(context, job)
                beside = [
                    r
                    for r in fitting
                    if job.spec.image in r.images
                    and able(r)
                    and has_preemptible_work(job, ranks, r)
                ]
                fresh = [r for r in beside if r.index not in asked] or beside
                if fresh:
                    job.preemption_tried.add(task)
                    chosen = cheapest_preemptions(job, fresh, now, context.rng)[0]
                    asked.add(chosen.index)
                    pick(task, chosen, True)
                    continue
            candidate.available = [
                f - s for f, s in zip(candidate.available, job.size, strict=True)
            ]
            candidate.tasks.add((job.index, task))
            if job.spec.image not in candidate.images:
                candidate.fetching.add(job.spec.image)
            pick(task, candidate, False)
        if (missed := missed + max(0, held_back)) > 0:
            self.unplaced[job.index] = (job, missed)
        self.remaining -= len(decisions)
        self.idle_cpus -= job.spec.cpus * sum(not p.preempt for p in decisions)
        return decisions


def schedule(
    context: ControllerContext,
    jobs: Sequence[Job],
    candidates: Sequence[Candidate],
    spare: Callable[[Job], int],
    limit: int,
) -> tuple[list[PlacementDecision], list[tuple[Job, int]]]:
    """A whole plan in one go: picks, and how many of each job's tasks found no machine."""
    cycle = SchedulingCycle(context, candidates, spare, limit)
    decisions = [
        p
        for job in priority_order(context, jobs, context.wall_clock_ms())
        for p in cycle.place(job)
    ]
    return decisions, list(cycle.unplaced.values())


def preemptible_ranks(context: ControllerContext, job: Job) -> int:
    """Work of ranks below this may be stopped for the job's tasks, as the protocol allows."""
    if has_quota_pressure(context, job):
        return len(api.RANKS)
    return job.spec.rank + job.guaranteed


def has_preemptible_work(job: Job, ranks: int, candidate: Candidate) -> bool:
    """Whether a machine that a task fits into by size has work below `ranks` at all.

    On a full fleet most have none, and they were asked all the same: the requests and their
    refusals took a fifth of a controller's processor time.
    """
    return candidate.lowest_rank < ranks and fits(job.size, candidate.capacity)


def fetch_cost(job: Job) -> Callable[[Candidate], float]:
    """How a machine's fetch counts for a job's tasks.

    For replicas a machine only has the image or not: the few with the fastest fetch would
    take the replicas of many services, and one of them that dies takes all of those with it.
    """
    image, image_gb = job.spec.image, job.spec.image_gb
    if job.spec.service:
        return lambda candidate: 0.0 if image in candidate.images else 1.0 + image_gb
    return lambda candidate: candidate.fetch_s(image, image_gb)


def cheapest_preemptions(
    job: Job, able: Sequence[Candidate], now: float, rng: Random
) -> list[Candidate]:
    """Machines to ask for room by preemption: a short fetch there, and little work lost.

    Asked at random, machines gave up work that had run for half its time, and on a full
    fleet that was a tenth of all there was to do.
    """

    fetch_s = fetch_cost(job)

    def cost(candidate: Candidate) -> tuple[float, float]:
        return round(
            fetch_s(candidate) + LOST_RUN_WEIGHT * candidate.lost_s(job.spec.rank, now)
        ), rng.random()

    costs = {candidate.index: cost(candidate) for candidate in able}
    return sorted(able, key=lambda candidate: costs[candidate.index])


class PreemptionPlan:
    """Machines to ask for room by preemption, for all jobs of one plan.

    Machines were looked through and sorted anew for each waiting job, by far the most of a plan's
    processor time in a flood; and jobs alike asked the same machines, which stopped more than one
    of them needed. Now jobs alike share a list, a machine is asked for no more than it could hold,
    and a plan for `most` tasks.
    """

    def __init__(self, cycle: SchedulingCycle, limit: int) -> None:
        self.cycle = cycle
        self.remaining = limit
        self.able: dict[tuple[ConstraintKey, int, Resources], list[Candidate]] = {}
        self.ordered: dict[object, list[Candidate]] = {}
        self.asked: dict[int, float] = {}  # machine -> share of it asked for

    def _able(self, job: Job, ranks: int) -> list[Candidate]:
        key = (constraint_key(job), ranks, job.size)
        able = self.able.get(key)
        if able is None:
            able = [
                candidate
                for candidate in self.cycle.allowed(job)
                if has_preemptible_work(job, ranks, candidate)
            ]
            self.able[key] = able
        return able

    def cheapest(self, job: Job, now: float) -> list[Candidate]:
        """The machines that may have something to stop for a job's tasks, the best first."""
        ranks = preemptible_ranks(self.cycle.context, job)
        able = self._able(job, ranks)
        if not able:
            return able
        spec = job.spec
        key = (constraint_key(job), ranks, job.size, spec.rank, spec.service, spec.image)
        ordered = self.ordered.get(key)
        if ordered is None:
            rng = self.cycle.context.rng
            if len(able) > MAX_PREEMPTION_CANDIDATES:
                able = rng.sample(able, MAX_PREEMPTION_CANDIDATES)
            ordered = cheapest_preemptions(job, able, now, rng)
            self.ordered[key] = ordered
        return ordered

    def spread_out(
        self, job: Job, tasks: Sequence[int], able: Sequence[Candidate]
    ) -> list[PlacementDecision]:
        """Tasks that ask for room by preemption, several to a machine where it could hold them.

        One stopped task often makes room for several: asking one machine for one task stopped
        four times as much as was needed, and gave a large job its room over many seconds.
        Replicas ask one by one, so that a machine doesn't take several with it.
        """
        used = zone_use(job)
        decisions: list[PlacementDecision] = []
        left = list(reversed(tasks[: self.remaining]))
        zone_ok = open_zones(job, used)
        for candidate in able:
            if not left:
                break
            each = max(s / t for s, t in zip(job.size, candidate.capacity, strict=True) if t > 0)
            asked = self.asked.get(candidate.index, 0.0)
            limit = 1 if job.spec.service else min(8, fit_count(job.size, candidate.capacity))
            while left and limit > 0 and asked + each <= 1 + 1e-6 and zone_ok(candidate.zone):
                task = left.pop()
                limit -= 1
                asked += each
                job.reserving[task] = candidate.zone
                used[candidate.zone] = used.get(candidate.zone, 0) + 1
                zone_ok = open_zones(job, used)
                decisions.append(PlacementDecision(job, task, candidate, True))
            self.asked[candidate.index] = asked
        self.remaining -= len(decisions)
        return decisions


def accumulate_room(
    job: Job, tasks: Sequence[int], candidates: Sequence[Candidate], taken: set[int]
) -> list[PlacementDecision]:
    """Machines that are to keep what comes free there until one of the job's tasks fits.

    Under a flood of small tasks the room for a larger one never comes free at once: each bit of
    it goes to the next small task. `taken` are the machines that are kept already; those that
    soon have room come first, by what is missing to what is in use there.
    """

    def wait(room: Candidate) -> float:
        soon = 0.0
        for size, free, all_ in zip(job.size, room.available, room.capacity, strict=True):
            if size > free + 1e-9:
                soon = max(soon, (size - free) / max(all_ - free, 1e-9))
        return soon

    used = zone_use(job)
    decisions: list[PlacementDecision] = []
    able = [
        r
        for r in candidates
        if r.index not in taken and min(r.available) >= -1e-9 and fits(job.size, r.capacity)
    ]
    waits = sorted((wait(room), room.index, room) for room in able)
    left = list(reversed(tasks))
    for _, _, candidate in waits:
        if not left:
            break
        task = left[-1]
        if not _able(job, task, open_zones(job, used))(candidate):
            continue
        left.pop()
        taken.add(candidate.index)
        job.reserving[task] = candidate.zone
        job.accumulating.add(task)
        used[candidate.zone] = used.get(candidate.zone, 0) + 1
        decisions.append(PlacementDecision(job, task, candidate, True, True, True))
    return decisions


def _able(job: Job, task: int, zone_ok: Callable[[int], bool]) -> Callable[[Candidate], bool]:
    avoid, key = job.avoided_machines.get(task, ()), (job.index, task)
    return lambda candidate: (
        zone_ok(candidate.zone) and candidate.index not in avoid and key not in candidate.tasks
    )

"""Chooses machines for waiting tasks, most urgent job first (DESIGN 2).

Does no I/O: takes candidate machines and jobs, records the choices in these objects, and returns
placement decisions.
"""

from collections.abc import Callable, Sequence

from starlingdeck.context import UNBOUNDED, ControllerContext, Resources
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.zone_rules import (
    ZoneFilter,
    count_by_zone,
    placeable_tasks,
    zone_filter,
)
from starlingdeck.machines.scoring import Candidate, CandidateSample
from starlingdeck.scheduling.constraints import (
    CandidateFilter,
    ConstraintKey,
    EligibleCandidates,
    constraint_key,
    task_filter,
)
from starlingdeck.scheduling.decision import JobTaskCount, PlacementDecision
from starlingdeck.scheduling.preemption import (
    cheapest_preemptions,
    fetch_cost,
    fetch_too_long,
    has_preemptible_work,
    preemptible_ranks,
)
from starlingdeck.scheduling.priority import priority_order

IDLE_RESERVE_SHARE = 0.1  # share of all processors that is kept free of work of the lowest rank
MIN_PREEMPTING_RANK = 2  # work of lower ranks waits for an image fetch instead of preempting
MAX_MISSES_PER_JOB = 3  # if more of a job's tasks find no machine, its other tasks aren't tried

SizeKey = tuple[ConstraintKey, Resources]


class SchedulingCycle:
    """Makes the placement decisions of one cycle job by job, for up to `limit` tasks.

    `headroom(job)` returns how many more of the job's tasks its limits allow to start, and
    `may_preempt(job)` whether other work may be stopped for it now.
    """

    def __init__(
        self,
        context: ControllerContext,
        candidates: Sequence[Candidate],
        headroom: Callable[[Job], int],
        limit: int,
        may_preempt: Callable[[Job], bool] = lambda _job: True,
    ) -> None:
        self.context = context
        self.eligible = EligibleCandidates(context, candidates)
        self.candidates = self.eligible.candidates
        self.headroom = headroom
        self.remaining = limit
        self.may_preempt = may_preempt
        total = sum(candidate.capacity[0] for candidate in self.candidates)
        self.idle_cpus = (
            sum(max(0.0, candidate.available[0]) for candidate in self.candidates)
            - IDLE_RESERVE_SHARE * total
        )
        # Job index -> the job, and how many of its tasks found no machine.
        self.unplaced: dict[int, JobTaskCount] = {}
        self._unplaceable: set[SizeKey] = set()  # keys of tasks that no machine has capacity for
        self._fitting: dict[SizeKey, list[Candidate]] = {}

    def is_unschedulable(self, job: Job) -> bool:
        """Return whether no machine has capacity for the job's tasks; if so, update `unplaced`.

        Free capacity only shrinks within a cycle, so if there is none for a task, there is none
        until the end of the cycle. Waiting tasks are only counted, because listing them one by one
        took half of a cycle's time in a backlog.
        """
        if (constraint_key(job), job.size) not in self._unplaceable or job.nominated:
            return False
        self.unplaced.pop(job.index, None)
        limit = self._limit(job, UNBOUNDED)
        if limit > 0:
            job.avoided_machines.clear()
            waiting = min(limit, job.unfinished - job.active_attempts())
            if waiting > 0:
                self.unplaced[job.index] = (job, waiting)
        return True

    def _limit(self, job: Job, limit: int) -> int:
        """Return how many of the job's tasks may be placed now, at most `limit`."""
        now = self.context.now()
        if self.remaining <= 0 or job.backoff_until > now:
            return 0
        limit = min(self.remaining, limit, self.headroom(job))
        if job.fails_everywhere(self.context.tuning.suspect_machines, now):
            limit = min(limit, 1 - job.active_attempts())
        return min(limit, placeable_tasks(self.context, job)) if limit > 0 else limit

    def _idle_limit(self, job: Job) -> int:
        """Return how many tasks a job of the lowest rank may place now; other jobs aren't limited.

        Without this limit, work of the lowest rank used all capacity that other work left free, and
        each new task of other work had to preempt some of it. With an array of 25,000 small tasks
        of the lowest rank, a third of all tasks started were stopped again.
        """
        if job.spec.rank > 0 or job.guaranteed or job.spec.cpus <= 0:
            return UNBOUNDED
        return max(0, int(self.idle_cpus / job.spec.cpus))

    def place(
        self, job: Job, limit: int = UNBOUNDED, prioritized: bool = False
    ) -> list[PlacementDecision]:
        """Choose machines for up to `limit` of a job's waiting tasks.

        The number that found none is recorded in `unplaced`. `prioritized` is for jobs that are
        placed before all others whatever their rank: the limit on work of the lowest rank doesn't
        apply to them.
        """
        now = self.context.now()
        if self.is_unschedulable(job):
            return []
        self.unplaced.pop(job.index, None)
        limit = self._limit(job, limit)
        missed = 0
        if not prioritized and (idle_limit := self._idle_limit(job)) < limit:
            missed = max(0, min(limit, job.unfinished - job.active_attempts()) - idle_limit)
            limit = idle_limit
        decisions: list[PlacementDecision] = []
        tasks = job.ready(limit, now) if limit > 0 else []
        if tasks:
            placer = _JobPlacer(self.context, job, self.eligible.for_job(job), self._sample(job))
            missed += placer.place(tasks, self.may_preempt, now)
            decisions = placer.decisions
        if missed > 0:
            self.unplaced[job.index] = (job, missed)
        self.remaining -= len(decisions)
        self.idle_cpus -= job.spec.cpus * sum(not decision.preempt for decision in decisions)
        return decisions

    def _sample(self, job: Job) -> CandidateSample:
        """Return a sample of the machines with free capacity for one of the job's tasks."""
        key = (constraint_key(job), job.size)
        # Free capacity only shrinks within a cycle, so machines that lacked the capacity for a task
        # with the same key don't have to be checked again.
        candidates = self._fitting.get(key, self.eligible.for_job(job))
        fitting = [candidate for candidate in candidates if candidate.fits(job.size)]
        self._fitting[key] = fitting
        context = self.context
        sample = CandidateSample(
            fitting, job.size, fetch_cost(job), context.tuning.score_machines, context.rng
        )
        if not sample.pool:
            self._unplaceable.add(key)
        return sample


class _JobPlacer:
    """Chooses machines for the waiting tasks of one job, one after another."""

    def __init__(
        self,
        context: ControllerContext,
        job: Job,
        eligible: Sequence[Candidate],
        sample: CandidateSample,
    ) -> None:
        self.context = context
        self.job = job
        self.eligible = eligible
        self.sample = sample
        self.decisions: list[PlacementDecision] = []
        self.zone_counts = count_by_zone(job)
        self.preempting_on: set[int] = set()  # machines asked to preempt for the job's tasks

    def place(self, tasks: Sequence[int], may_preempt: Callable[[Job], bool], now: float) -> int:
        """Place the tasks, adding to `decisions`. Return how many found no machine."""
        job, missed = self.job, 0
        preempts = job.spec.rank >= MIN_PREEMPTING_RANK and may_preempt(job)
        for position, task in enumerate(tasks):
            if self._place_task(task, preempts, now):
                continue
            missed += 1
            if missed > MAX_MISSES_PER_JOB and not job.nominated:
                return missed + len(tasks) - position - 1
        return missed

    def _place_task(self, task: int, preempts: bool, now: float) -> bool:
        job = self.job
        zone_allowed = zone_filter(job, self.zone_counts)
        nominated = self._nominated_machine(task, zone_allowed, now)
        if nominated is not None:
            self._decide(task, nominated, preempt=True, accumulate=task in job.accumulating)
            return True
        job.accumulating.discard(task)
        former_machines = job.recent_machines(task, now)
        usable = task_filter(job, task, zone_allowed, former_machines)
        candidate = self.sample.best(usable)
        if candidate is None and former_machines:
            candidate = self.sample.best(task_filter(job, task, zone_allowed))
        if candidate is None:
            # The only machines left may be those that the task failed on: allow them again.
            job.avoided_machines.pop(task, None)
            return False
        if (
            preempts
            and task not in job.preemption_tried
            and fetch_too_long(self.context, job, candidate)
        ):
            cached = self._preemption_with_image(usable, now)
            if cached is not None:
                job.preemption_tried.add(task)  # try this at most once per task
                self._decide(task, cached, preempt=True)
                return True
        self._allocate(task, candidate)
        return True

    def _nominated_machine(
        self, task: int, zone_allowed: ZoneFilter, now: float
    ) -> Candidate | None:
        """Return the machine that is already making room for the task, to ask it again, or None."""
        job = self.job
        machine, until = job.nominated.pop(task, (-1, 0.0))
        if machine < 0 or now >= until:
            return None
        for candidate in self.eligible:
            if candidate.index == machine and zone_allowed(candidate.zone):
                job.nominated[task] = (machine, until)
                return candidate
        return None

    def _preemption_with_image(self, usable: CandidateFilter, now: float) -> Candidate | None:
        """Return the machine that has the image and where preempting costs least, or None.

        A task starts there sooner than where it has to wait for an image fetch. Machines chosen at
        random mostly had no work to stop, and the task's only attempt to preempt failed.
        """
        job, image = self.job, self.job.spec.image
        ranks = preemptible_ranks(self.context, job)
        preemptible = [
            candidate
            for candidate in self.eligible
            if image in candidate.images
            and usable(candidate)
            and has_preemptible_work(job, ranks, candidate)
        ]
        not_asked = [
            candidate for candidate in preemptible if candidate.index not in self.preempting_on
        ]
        candidates = not_asked or preemptible
        if not candidates:
            return None
        chosen = cheapest_preemptions(job, candidates, now, self.context.rng)[0]
        self.preempting_on.add(chosen.index)
        return chosen

    def _allocate(self, task: int, candidate: Candidate) -> None:
        """Place a task in free capacity, and reduce the candidate's free capacity by its size."""
        job = self.job
        candidate.available = [
            available - size for available, size in zip(candidate.available, job.size, strict=True)
        ]
        candidate.tasks.add((job.index, task))
        if job.spec.image not in candidate.images:
            candidate.fetching.add(job.spec.image)
        self._decide(task, candidate)

    def _decide(
        self, task: int, candidate: Candidate, preempt: bool = False, accumulate: bool = False
    ) -> None:
        zone = candidate.zone
        self.job.reserving[task] = zone
        self.zone_counts[zone] = self.zone_counts.get(zone, 0) + 1
        self.decisions.append(
            PlacementDecision(self.job, task, candidate, preempt, accumulate, protected=accumulate)
        )


def schedule(
    context: ControllerContext,
    jobs: Sequence[Job],
    candidates: Sequence[Candidate],
    headroom: Callable[[Job], int],
    limit: int,
) -> tuple[list[PlacementDecision], list[JobTaskCount]]:
    """Run one cycle. Return its decisions, and how many of each job's tasks found no machine."""
    cycle = SchedulingCycle(context, candidates, headroom, limit)
    decisions = [
        decision
        for job in priority_order(context, jobs, context.wall_clock_ms())
        for decision in cycle.place(job)
    ]
    return decisions, list(cycle.unplaced.values())

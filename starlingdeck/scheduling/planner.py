"""Runs scheduling cycles for the job shards that this controller owns.

A cycle places waiting tasks, requests capacity by preemption or accumulation for those that find
no machine, and moves descheduled tasks.
"""

from collections.abc import Callable, Iterable, Sequence
from functools import partial

import curio

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job
from starlingdeck.jobs.zone_rules import placeable_tasks
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling import guarantees, priority
from starlingdeck.scheduling.accumulation import accumulate_capacity
from starlingdeck.scheduling.decision import JobTaskCount, PlacementDecision
from starlingdeck.scheduling.demand_tracker import DemandTracker
from starlingdeck.scheduling.dependencies import PlannerDependencies
from starlingdeck.scheduling.guarantees import TeamJob
from starlingdeck.scheduling.moves import MovePlanner
from starlingdeck.scheduling.preemption import PreemptionPlan
from starlingdeck.scheduling.probes import ProbeLimiter
from starlingdeck.scheduling.reservation_client import ReservationClient
from starlingdeck.scheduling.scheduler import SchedulingCycle

MAX_DECISIONS_PER_CYCLE = 100
MAX_PUBLISHED_TEAM_JOBS = 10_000  # each takes some 41 bytes, sent to peers twice a second
MAX_PREEMPTIONS_PER_CYCLE = 48  # number of tasks that request preemption
MAX_PREEMPTIONS_PER_JOB = 32  # number of tasks that request preemption at once
PREEMPTION_INTERVAL_S = 0.5  # minimum interval between a job's requests for preemption
CYCLE_INTERVAL_S = 0.1
IDLE_CYCLE_INTERVAL_S = 0.25  # interval while no machine has changed
MAX_PAUSE_S = 0.5  # longest pause between cycles, however long these take
MAX_URGENT_PAUSE_S = 0.2  # longest pause while jobs of the two upper ranks wait
PAUSE_FACTOR = 30.0  # pause after a cycle, as a multiple of the cycle's duration
SERVICE_PAUSE_FACTOR = 1.0  # used instead of PAUSE_FACTOR while replicas wait
POLL_INTERVAL_S = 0.04  # interval between checks whether a cycle is due
# Time after which a cycle yields to other tasks of the event loop.
MAX_RUN_WITHOUT_YIELD_S = 0.005
MAX_STARVING_JOBS_PER_CYCLE = 4  # number of starving jobs placed before all others
# Share of its objective on waiting that an array waits under churn before it preempts.
CHURN_WAIT_SHARE = 0.25

DecisionFunction = Callable[[Job], list[PlacementDecision]]


class Planner:
    """Decides when scheduling cycles run, and runs their steps."""

    def __init__(self, context: ControllerContext, dependencies: PlannerDependencies) -> None:
        self.context = context
        self.membership = dependencies.membership
        self.writers = dependencies.writers
        self.candidates = dependencies.candidates
        self.admission = dependencies.admission
        self.overload = dependencies.overload
        self.overload_settings = (
            self.overload.settings if self.overload is not None else OverloadSettings()
        )
        self.reservations = ReservationClient(context, dependencies, self.overload_settings)
        self.moves = MovePlanner(context, self.writers)
        self.demand = DemandTracker(context)
        self.probes = ProbeLimiter(context)
        # Node of another controller -> the jobs that it published.
        self.team_jobs: dict[int, list[TeamJob]] = {}
        self.next_cycle_at = 0.0
        self.next_urgent_cycle_at = 0.0
        self.running_since = 0.0
        self.replicas_waiting = self.urgent_waiting = False
        self.preempt_after: dict[int, float] = {}  # job -> when it may request preemption again

    def own_team_jobs(self) -> list[TeamJob]:
        """Return those unfinished jobs here that all controllers need to compute the guarantees."""
        jobs = []
        for job in self._all_jobs():
            if not job.cancelled:
                count, spec = job.unfinished, job.spec
                jobs.append(
                    TeamJob(
                        job.team,
                        job.submitted_ms,
                        job.id,
                        count * spec.cpus,
                        count * spec.gpus,
                        spec.rank,
                    )
                )
        return guarantees.guarantee_relevant_jobs(self.context, jobs)[:MAX_PUBLISHED_TEAM_JOBS]

    def _all_jobs(self) -> Iterable[Job]:
        return (job for writer in self.writers.values() for job in writer.shard.jobs.values())

    # --- when a cycle runs

    async def run(self) -> None:
        """Run cycles until cancelled.

        Under load, cycles run for about a thirtieth of the time: in a backlog every cycle finds
        some capacity, and cycles that ran every 0.1 s took a third of the processor time.

        A cycle yields regularly, because it can take 70 ms of processor time, and three times as
        much on a small machine. Submissions, reports and lease renewals used to wait for its end.
        """
        while True:
            started_at = self.context.now()
            due = started_at >= self.next_cycle_at or (
                started_at >= self.next_urgent_cycle_at and self._needs_early_cycle()
            )
            if self.membership.lease_is_valid() and self.context.machine_types and due:
                interval_s = CYCLE_INTERVAL_S if self.candidates.changed else IDLE_CYCLE_INTERVAL_S
                if await self.run_cycle():
                    self._schedule_next(started_at, interval_s)
            await curio.sleep(POLL_INTERVAL_S)

    def _schedule_next(self, started_at: float, interval_s: float) -> None:
        """Set the pause after a cycle that had work, from the cycle's duration."""
        now = self.context.now()
        duration_s = now - started_at
        self.next_urgent_cycle_at = now + min(MAX_PAUSE_S, duration_s)
        factor = SERVICE_PAUSE_FACTOR if self.replicas_waiting else PAUSE_FACTOR
        max_pause_s = MAX_URGENT_PAUSE_S if self.urgent_waiting else MAX_PAUSE_S
        self.next_cycle_at = now + min(max_pause_s, max(interval_s, factor * duration_s))

    def _needs_early_cycle(self) -> bool:
        """Return whether to run a cycle early: for a replica, or for scarce units just released."""
        return self.admission.is_due() or any(
            writer.shard.replicas_waiting for writer in self.writers.values()
        )

    async def _yield_control(self) -> None:
        """Let other tasks run if the cycle hasn't yielded for long.

        State that was read before may be stale afterwards.
        """
        if self.context.now() - self.running_since > MAX_RUN_WITHOUT_YIELD_S:
            await curio.sleep(0)
            self.running_since = self.context.now()

    # --- one cycle

    async def run_cycle(self) -> bool:
        """Run one cycle. Return False if nothing waited."""
        now = self.running_since = self.context.now()
        for writer in self.writers.values():
            writer.shard.replicas_waiting = False
        if self.overload is not None:
            self.overload.protect_tasks()
        jobs = self._pending_jobs(now)
        if not jobs and not any(writer.shard.descheduled for writer in self.writers.values()):
            self._on_idle(now)
            return False
        self.candidates.changed = False
        self.replicas_waiting = any(job.spec.service for job in jobs)
        self.urgent_waiting = any(job.spec.rank >= MIN_URGENT_RANK for job in jobs)
        self.preempt_after = {job: at for job, at in self.preempt_after.items() if at > now}
        self._update_guarantees()
        await self.admission.begin_cycle(jobs)
        cycle = SchedulingCycle(
            self.context,
            self.candidates.candidates(),
            self.admission.headroom,
            MAX_DECISIONS_PER_CYCLE,
            self._may_preempt,
        )
        ordered = priority.priority_order(self.context, jobs, self.context.wall_clock_ms())
        prioritized = self._prioritized(jobs, ordered)
        await self._place_waiting(cycle, prioritized, ordered)
        unplaced = list(cycle.unplaced.values())
        self.demand.publish(unplaced, now)
        await self._request_preemptions(cycle, unplaced, now)
        if self.overload is not None:
            self.overload.on_cycle_end(cycle.unplaced.values())
        await self._accumulate(prioritized, cycle, now)
        await self.reservations.request(self.moves.plan(cycle.candidates, now))
        return True

    def _pending_jobs(self, now: float) -> list[Job]:
        """Return the jobs with tasks to place that nothing but capacity and limits holds back."""
        return [
            job
            for job in self._all_jobs()
            if not (job.cancelled or job.terminal_state or job.stale) and job.pending(1)
            if not self.context.is_quarantined("job", job.id)
            if self._zones_allow_more(job) and self.probes.may_place(job, now)
        ]

    def _zones_allow_more(self, job: Job) -> bool:
        """Return whether a job's zone rules allow one more task; if not, drop its nominations.

        The machines nominated for its waiting tasks would make room that none of them could use.
        """
        if placeable_tasks(self.context, job) > 0:
            return True
        if not job.reserving:
            job.nominated.clear()
            job.accumulating.clear()
        return False

    def _on_idle(self, now: float) -> None:
        self.demand.publish([], now)
        self.admission.on_idle()
        if self.overload is not None:
            self.overload.on_idle()

    def _update_guarantees(self) -> None:
        """Mark the jobs that fit their team's guarantee, given all controllers' jobs."""
        all_team_jobs = [job for jobs in self.team_jobs.values() for job in jobs]
        all_team_jobs += self.own_team_jobs()
        guaranteed = guarantees.guaranteed_jobs(self.context, all_team_jobs)
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                writer.shard.set_guaranteed(job, job.id in guaranteed)

    def _prioritized(self, jobs: Sequence[Job], ordered: Sequence[Job]) -> list[JobTaskCount]:
        """Return the starving jobs and those of classes below their minimum share.

        With each job comes the number of its tasks that are placed before all others.
        """
        first = [(job, 1) for job in self._starving(jobs)]
        if self.overload is not None:
            first += self.overload.below_minimum_share(ordered)
        return first

    def _starving(self, jobs: Iterable[Job]) -> list[Job]:
        """Return a few starving jobs that may start tasks now, the longest waiting first."""
        now_ms = self.context.wall_clock_ms()
        starving = [job for job in jobs if priority.is_starving(job, now_ms)]
        startable = [job for job in starving if self.admission.headroom(job) > 0]
        return sorted(startable, key=lambda job: (job.submitted_ms, job.id))[
            :MAX_STARVING_JOBS_PER_CYCLE
        ]

    async def _place_waiting(
        self,
        cycle: SchedulingCycle,
        prioritized: Sequence[JobTaskCount],
        ordered: Sequence[Job],
    ) -> None:
        for job, count in prioritized:
            if self._still_active(job):
                place = partial(cycle.place, limit=count, prioritized=True)
                await self._place(job, place, protected=True)
        for job in ordered:
            if cycle.remaining <= 0:
                break
            if self._still_active(job) and not cycle.is_unschedulable(job):
                await self._place(job, cycle.place)

    def _still_active(self, job: Job) -> bool:
        """Return whether a job is still owned here, and neither ended nor stale.

        This can change while the cycle yields.
        """
        writer = self.writers.get(job.shard)
        owned = writer is not None and writer.shard.jobs.get(job.index) is job
        return owned and not (job.cancelled or job.terminal_state or job.stale)

    async def _place(self, job: Job, decide: DecisionFunction, protected: bool = False) -> None:
        """Request the reservations that `decide` chooses for a job, then yield if it is time."""
        now = self.context.now()
        if not self.probes.may_place(job, now):  # jobs before it in this cycle have taken them
            return
        asked = set(job.nominated)
        decisions = self._decide(job, decide)
        if any(decision.task not in asked for decision in decisions):
            self.probes.count(job, now)
        if protected:
            # If tasks were marked as protected only once they run, they could be preempted before
            # their machine learns of the mark.
            for decision in decisions:
                decision.protected = True
        if decisions:
            self.admission.on_requested(job, len(decisions))
            await self.reservations.request(decisions)
        await self._yield_control()

    def _decide(self, job: Job, decide: DecisionFunction) -> list[PlacementDecision]:
        try:
            return decide(job)
        except Exception as error:  # one job's bad data must not prevent the cycle for all others
            self.context.quarantine_after_failure("job", job.id, error)
            job.reserving.clear()
            return []

    # --- capacity for tasks that found no machine

    async def _request_preemptions(
        self, cycle: SchedulingCycle, unplaced: Sequence[JobTaskCount], now: float
    ) -> None:
        plan = PreemptionPlan(cycle.eligible, MAX_PREEMPTIONS_PER_CYCLE)
        for job, _ in unplaced:
            if plan.remaining <= 0:
                break
            if self._still_active(job) and self._may_request_preemption(job, now):
                await self._place(job, partial(self._assign_preemptions, plan=plan, now=now))

    def _assign_preemptions(
        self, job: Job, plan: PreemptionPlan, now: float
    ) -> list[PlacementDecision]:
        """Assign the job's tasks to machines that are asked to stop lower-ranked work for them."""
        candidates = plan.cheapest(job, now)
        if not candidates:
            return []
        self.preempt_after[job.index] = now + PREEMPTION_INTERVAL_S
        # Without the headroom, a cycle that found no machine for one task would request capacity
        # for 32 tasks, although a limit may hold back the others.
        limit = min(MAX_PREEMPTIONS_PER_JOB, self.admission.headroom(job))
        return plan.assign(job, job.ready(limit, now), candidates)

    def _may_request_preemption(self, job: Job, now: float) -> bool:
        entitled = job.spec.rank > 0 or job.guaranteed
        if not entitled or now < self.preempt_after.get(job.index, 0.0):
            return False
        return self._may_preempt(job)

    def _may_preempt(self, job: Job) -> bool:
        """Return whether other work may be stopped for a job now; under churn arrays wait first.

        While many of the started tasks are preempted again, an array preempts only after it has
        waited for a quarter of its objective on waiting, or of `patience_s` if it has none.
        Meanwhile it is the first to get released capacity, and more is released per second than it
        needs. Without this wait, a sixth of all tasks started under overload were preempted and
        started again. When arrays waited in every overload, even without churn, that cost the
        urgent jobs of a burst more than the saved starts were worth.
        """
        if job.spec.service or self.overload is None or not self.overload.is_churning():
            return True
        limit_s = priority.wait_objective_s(self.context, job) or self.overload.settings.patience_s
        waited_ms = self.context.wall_clock_ms() - job.submitted_ms
        return waited_ms > 1000 * CHURN_WAIT_SHARE * limit_s

    async def _accumulate(
        self, prioritized: Sequence[JobTaskCount], cycle: SchedulingCycle, now: float
    ) -> None:
        """Ask machines to accumulate capacity for prioritized jobs that found no machine."""
        if not prioritized:
            return
        schedulable = {candidate.index for candidate in cycle.candidates}
        accumulating = {
            job.nominated[task][0]
            for job in self._all_jobs()
            for task in job.accumulating & job.nominated.keys()
        }
        remaining = int(self.overload_settings.gathers) - len(accumulating & schedulable)
        for job, count in prioritized:
            unplaced = cycle.unplaced.get(job.index, (job, 0))[1]
            if remaining <= 0 or not unplaced or not self._still_active(job):
                continue
            limit = min(remaining, count, unplaced)
            before = len(accumulating)
            await self._place(
                job,
                partial(
                    self._assign_accumulation,
                    cycle=cycle,
                    limit=limit,
                    accumulating=accumulating,
                    now=now,
                ),
            )
            remaining -= len(accumulating) - before

    def _assign_accumulation(
        self, job: Job, cycle: SchedulingCycle, limit: int, accumulating: set[int], now: float
    ) -> list[PlacementDecision]:
        tasks = job.ready(min(limit, self.admission.headroom(job)), now)
        tasks = [task for task in tasks if task not in job.nominated]
        return accumulate_capacity(job, tasks, cycle.eligible.for_job(job), accumulating)

"""Plans for this node's waiting tasks: picks, room by preemption, moves, reservations."""

import logging
from collections.abc import Callable, Mapping
from functools import partial

import curio

from starlingdeck.autoscaling.policy import Demand
from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers, PeerUnavailableError
from starlingdeck.context import ControllerContext
from starlingdeck.interning import split_key
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.job import MIN_URGENT_RANK, Job, TaskPlacement
from starlingdeck.jobs.job_shard import job_message
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines import scoring
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling import scheduler
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.scheduling.overload import OverloadController
from starlingdeck.scheduling.scheduler import (
    PlacementDecision,
    PreemptionPlan,
    SchedulingCycle,
    TeamJob,
)
from starlingdeck.storage.limiter import TokenBucket

log = logging.getLogger(__name__)

MAX_DECISIONS = 100
MAX_TEAM_JOBS = 10_000  # told to peers; some 41 bytes each, twice a second
MAX_PREEMPTIONS = 48  # (start) tasks of a plan that ask for room by preemption
CYCLE_INTERVAL_S = 0.1
IDLE_CYCLE_INTERVAL_S = 0.25
MAX_PAUSE_S = 0.5  # (start) between plans, however long they take
URGENT_PAUSE_S = 0.2  # (start) while work of the two upper ranks waits
PAUSE_FACTOR = 30.0  # (start) times as long as a plan took
POLL_INTERVAL_S = 0.04  # how often it is looked whether anything waits
MAX_STRETCH_S = 0.005  # (start) of planning before others get their turn
ACCUMULATE_RETRY_S = 0.4  # (start) between looks at a machine that keeps what comes free
MAX_STARVING = 4  # (start) jobs that have long waited to begin, taken first in a plan
PROBE_SHARE = 0.05  # (start) of the changes: for probes of jobs that fail on every machine
MAX_PREEMPTIONS_PER_JOB = 32  # tasks of a job that ask for room by preemption at once

Reserve = Callable[[pb.ReserveRequest], pb.ReserveReply]


class Planner:
    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        peers: Peers,
        writers: Mapping[int, RecordWriter],
        candidates: CandidatePool,
        admission: AdmissionController,
        reserve_here: Reserve,
        overload: OverloadController | None,
        wake: curio.Event,
        flush: curio.Event,
    ) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.candidates = candidates
        self.admission = admission
        self.reserve_here = reserve_here
        self.overload = overload
        self.overload_settings = overload.settings if overload is not None else OverloadSettings()
        writes = context.settings.settings.state.write_rps
        self.probe_limiter = TokenBucket(
            PROBE_SHARE * writes / 2 / context.shard_count, 2.0, context.now
        )
        self.wake = wake
        self.flush = flush
        self.demands: dict[int, tuple[float, list[pb.Demand]]] = {}
        self.team_jobs: dict[int, list[TeamJob]] = {}
        self.next_cycle_at = 0.0
        self.not_before = 0.0
        self.running_since = 0.0
        self.replicas_waiting = self.urgent_waiting = False  # whether any wait
        self.preempt_after: dict[int, float] = {}
        self.move_limiter = TokenBucket(
            context.tuning.moves_per_s / context.shard_count, 1.0, context.now
        )

    def own_team_jobs(self) -> list[TeamJob]:
        """Our unfinished jobs that bear on their teams' guarantees, for all controllers."""
        found = []
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                if not job.cancelled:
                    n, spec = job.unfinished, job.spec
                    found.append(
                        TeamJob(
                            job.team,
                            job.submitted_ms,
                            job.id,
                            n * spec.cpus,
                            n * spec.gpus,
                            spec.rank,
                        )
                    )
        return scheduler.guarantee_relevant_jobs(self.context, found)[:MAX_TEAM_JOBS]

    async def run(self) -> None:
        """Plans for a thirtieth of the time, and never for long at a stretch. In a flood every
        plan finds a little room; taken every 0.1 s they were a third of the processor time.

        A plan took up to 70 ms of processor time in one go, three times that on a small
        machine, and submissions, reports and renewals waited for it.
        """
        while True:
            began = self.context.now()
            due = began >= self.next_cycle_at or (began >= self.not_before and self._is_urgent())
            if self.membership.lease_is_valid() and self.context.machine_types and due:
                every = CYCLE_INTERVAL_S if self.candidates.changed else IDLE_CYCLE_INTERVAL_S
                if await self.run_cycle():
                    now = self.context.now()
                    self.not_before = now + min(MAX_PAUSE_S, now - began)
                    pause_s = max(
                        every, (1.0 if self.replicas_waiting else PAUSE_FACTOR) * (now - began)
                    )
                    most_s = URGENT_PAUSE_S if self.urgent_waiting else MAX_PAUSE_S
                    self.next_cycle_at = now + min(most_s, pause_s)
            await curio.sleep(POLL_INTERVAL_S)

    def _may_probe(self, job: Job, now: float) -> bool:
        """Jobs that fail wherever they run take no more than a small share of all changes."""
        if (
            len(job.failed_on) < self.context.tuning.suspect_machines
            or job.reserving
            or job.pending_starts
        ):
            return True
        return (
            job.backoff_until <= now
            and not job.placements
            and self.probe_limiter.take_or_delay(1.0, True) <= 0
        )

    def _starving(self, jobs: list[Job]) -> list[Job]:
        """The longest waiting of those that must begin now, whatever their rank: a few."""
        now_ms = self.context.wall_clock_ms()
        long = [job for job in jobs if scheduler.is_starving(job, now_ms)]
        able = [job for job in long if self.admission.headroom(job) > 0]
        return sorted(able, key=lambda job: (job.submitted_ms, job.id))[:MAX_STARVING]

    def _is_urgent(self) -> bool:
        """Whether something came that is not to wait for the next plan: replicas have seconds."""
        return self.admission.is_due() or any(
            writer.shard.replicas_waiting for writer in self.writers.values()
        )

    async def _yield_control(self) -> None:
        """Let others run once we have run for long. What was read before may be old after."""
        if self.context.now() - self.running_since > MAX_STRETCH_S:
            await curio.sleep(0)
            self.running_since = self.context.now()

    def _still_waiting(self, job: Job) -> bool:
        """Whether a job is still one of ours with tasks to place."""
        writer = self.writers.get(job.shard)
        ours = writer is not None and writer.shard.jobs.get(job.index) is job
        return ours and not (job.cancelled or job.terminal_state or job.stale)

    async def run_cycle(self) -> bool:
        """False when nothing waits."""
        now = self.running_since = self.context.now()
        for writer in self.writers.values():
            writer.shard.replicas_waiting = False
        if self.overload is not None:
            self.overload.protect_tasks()
        jobs = [
            job
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            if not (job.cancelled or job.terminal_state or job.stale) and job.pending(1)
            if not self.context.is_quarantined("job", job.id) and self._may_probe(job, now)
        ]
        if not jobs and not any(w.shard.descheduled for w in self.writers.values()):
            self.demands[self.context.node] = (now, [])
            self.admission.on_idle()
            if self.overload is not None:
                self.overload.on_idle()
            return False
        self.candidates.changed = False
        self.replicas_waiting = any(job.spec.service for job in jobs)
        self.urgent_waiting = any(job.spec.rank >= MIN_URGENT_RANK for job in jobs)
        self.preempt_after = {job: at for job, at in self.preempt_after.items() if at > now}
        everyone = [j for found in self.team_jobs.values() for j in found] + self.own_team_jobs()
        inside = scheduler.guaranteed_jobs(self.context, everyone)
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                writer.shard.set_guaranteed(job, job.id in inside)
        await self.admission.begin_cycle(jobs)
        cycle = SchedulingCycle(
            self.context,
            self.candidates.candidates(),
            self.admission.headroom,
            MAX_DECISIONS,
            self._may_preempt,
        )
        ordered = scheduler.priority_order(self.context, jobs, self.context.wall_clock_ms())
        first = [(job, 1) for job in self._starving(jobs)]
        first += self.overload.below_minimum_share(ordered) if self.overload is not None else []
        for job, limit in first:
            if self._still_waiting(job):
                await self._place(job, partial(cycle.place, most=limit, sure=True), True)
        for job in ordered:
            if cycle.remaining <= 0:
                break
            if self._still_waiting(job) and not cycle.is_unschedulable(job):
                await self._place(job, cycle.place)
        waiting = list(cycle.unplaced.values())
        self.demands[self.context.node] = (now, self._demand(waiting))
        preemptions = PreemptionPlan(cycle, MAX_PREEMPTIONS)
        for job, _ in waiting:
            if preemptions.remaining <= 0:
                break
            if self._still_waiting(job) and self._may_request_preemption(job, now):
                await self._place(job, lambda j: self._preemptions(j, preemptions, now))
        if self.overload is not None:
            self.overload.on_cycle_end(cycle.unplaced.values())
        await self._accumulate(first, cycle, now)
        await self._request_reservations(self._moves(cycle.candidates, now))
        return True

    async def _place(
        self, job: Job, decision: Callable[[Job], list[PlacementDecision]], kept: bool = False
    ) -> None:
        decisions = self._guarded(job, decision)
        for one in decisions if kept else ():
            # Marked only when it runs, it was stopped for others before the mark was known.
            one.protected = True
        if decisions:
            self.admission.on_requested(job, len(decisions))
            await self._request_reservations(decisions)
        await self._yield_control()

    def _guarded(
        self, job: Job, decision: Callable[[Job], list[PlacementDecision]]
    ) -> list[PlacementDecision]:
        """A job that can't be planned doesn't keep the others waiting."""
        try:
            return decision(job)
        except Exception as error:
            self.context.quarantine_failed("job", job.id, error)
            job.reserving.clear()
            return []

    async def _request_reservations(self, decisions: list[PlacementDecision]) -> None:
        """Ask each machine shard for what was picked there for a job."""
        groups: dict[tuple[int, int, bool, bool], list[PlacementDecision]] = {}
        for decision in decisions:
            to = (
                decision.candidate.shard,
                decision.job.index,
                decision.preempt,
                decision.accumulate,
            )
            groups.setdefault(to, []).append(decision)
            if not decision.preempt:
                job = decision.job
                self.candidates.allocate(
                    decision.candidate, (job.index, decision.task), job.size, job.spec.image
                )
        for group in groups.values():
            await curio.spawn(self._reserve, group, daemon=True)

    @staticmethod
    def _demand(waiting: list[tuple[Job, int]]) -> list[pb.Demand]:
        return [
            pb.Demand(
                cpus=job.spec.cpus,
                gpus=job.spec.gpus,
                memory_gb=job.spec.memory_gb,
                count=count,
                types=job.spec.types or [],
                zone=job.spec.zone or "",
                spot=job.spec.spot,
                rank=job.spec.rank,
                service=job.spec.service,
            )
            for job, count in waiting[:200]
        ]

    async def _accumulate(
        self, first: list[tuple[Job, int]], cycle: SchedulingCycle, now: float
    ) -> None:
        """For work below its floor that found no room: machines that keep what comes free."""
        if not first:
            return
        candidates = {candidate.index for candidate in cycle.candidates}
        taken = {
            job.nominated[task][0]
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            for task in job.accumulating & job.nominated.keys()
        }
        left = int(self.overload_settings.gathers) - len(taken & candidates)
        for job, limit in first:
            missed = cycle.unplaced.get(job.index, (job, 0))[1]
            if left <= 0 or not missed or not self._still_waiting(job):
                continue
            many = min(left, limit, missed)

            def pick(job: Job, many: int = many) -> list[PlacementDecision]:
                tasks = job.ready(min(many, self.admission.headroom(job)), now)
                tasks = [task for task in tasks if task not in job.nominated]
                return scheduler.accumulate_room(job, tasks, cycle.allowed(job), taken)

            before = len(taken)
            await self._place(job, pick)
            left -= len(taken) - before

    def _preemptions(
        self, job: Job, preemptions: PreemptionPlan, now: float
    ) -> list[PlacementDecision]:
        """For work that may preempt: machines to ask for room by stopping lower work."""
        able = preemptions.cheapest(job, now)
        if not able:
            return []
        self.preempt_after[job.index] = now + 0.5
        # A plan that found no machine for one task asked for room for 32, whatever limit held the
        # others back.
        tasks = job.ready(min(MAX_PREEMPTIONS_PER_JOB, self.admission.headroom(job)), now)
        return preemptions.spread_out(job, tasks, able)

    def _may_request_preemption(self, job: Job, now: float) -> bool:
        if not (job.spec.rank > 0 or job.guaranteed) or now < self.preempt_after.get(
            job.index, 0.0
        ):
            return False
        return self._may_preempt(job)

    def _may_preempt(self, job: Job) -> bool:
        """While many starts are stopped for others, an array stops some only after a quarter of
        what it may wait: it is first in what comes free, which is more a second than it needs. A
        sixth of all starts were stopped for others in a flood, and began anew. Done in every
        overload, it cost the waits of a burst more than the starts it saved."""
        if job.spec.service or self.overload is None or not self.overload.is_churning():
            return True
        aim_s = scheduler.wait_objective_s(self.context, job) or self.overload.settings.patience_s
        return self.context.wall_clock_ms() - job.submitted_ms > 250 * aim_s

    def _moves(self, candidates: list[Candidate], now: float) -> list[PlacementDecision]:
        """Refit (DESIGN 4): a target for every shed task, as far as the cap on moves goes.

        `rooms` are the drawable ones."""
        decisions = []
        tuning = self.context.tuning
        for writer in self.writers.values():
            for key in list(writer.shard.descheduled):
                index, task = split_key(key)
                job = writer.shard.jobs[index]
                place = job.placements[task]
                if job.cancelled or job.stale or place.target or job.retry_at.get(task, 0.0) > now:
                    continue
                if task in job.pending_ends or task in job.reserving:
                    continue
                zone_ok = scheduler.open_zones(job, scheduler.zone_use(job, place))
                able = [
                    r
                    for r in candidates
                    if r.index != place.machine
                    and zone_ok(r.zone)
                    and scheduler.allowed(self.context, job, r)
                    and r.fits(job.size)
                ]
                drawn = scoring.choose_refit(
                    able,
                    job.size,
                    tuning.refit_machines,
                    tuning.refit_candidates,
                    self.context.rng,
                )
                if not drawn or self.move_limiter.take_or_delay(1.0, True) > 0:
                    job.retry_at[task] = now + 0.3
                    continue
                cached = [r for r in drawn if job.spec.image in r.images]
                candidate = (cached or drawn)[0]
                job.reserving[task] = candidate.zone
                candidate.available = [
                    f - s for f, s in zip(candidate.available, job.size, strict=True)
                ]
                decisions.append(PlacementDecision(job, task, candidate))
        return decisions

    async def _reserve(self, group: list[PlacementDecision]) -> None:
        """Ask the machines' owner for room; what it gives goes into the job's record."""
        job, shard = group[0].job, group[0].candidate.shard
        holder = self.membership.owners.get(shard)
        given: dict[int, pb.GrantedTask] = {}
        hold_s, asked = 0.0, self.context.now()
        if holder is not None:
            ask = pb.ReserveRequest(to_shard=shard, to_epoch=holder.epoch, job=job_message(job))
            ask.preempt = group[0].preempt and not group[0].accumulate
            ask.accumulate = group[0].accumulate
            ask.quota_pressure = scheduler.has_quota_pressure(self.context, job)
            ask.wait_s = scheduler.wait_objective_s(self.context, job)
            if any(pick.task in job.placements for pick in group):
                # A move's target waits until the source has saved and stopped.
                ask.hold_s = hold_s = self.context.tuning.reserve_s + job.spec.save_s
            for decision in group:
                ask.tasks.add(
                    task=decision.task,
                    attempt=job.attempts[decision.task] + 1,
                    machine=self.context.machine_names[decision.candidate.index],
                )
            try:
                if holder.node == self.context.node:
                    reply = self.reserve_here(ask)
                else:
                    envelope = pb.Envelope(reserve_request=ask)
                    wait = self.context.tuning.reply_wait_s
                    reply = (await self.peers.call(holder.node, envelope, wait)).reserve_reply
                given = {g.task: g for g in reply.granted}
            except PeerUnavailableError as error:
                log.info("no room asked of %s: %s", self.context.node_name(holder.node), error)
        now = self.context.now()
        for decision in group:
            job.reserving.pop(decision.task, None)
            got = given.get(decision.task)
            if not decision.preempt:
                self.candidates.resolve(
                    decision.candidate, (job.index, decision.task), got is not None
                )
            if got is None or got.evicting or job.cancelled or job.terminal_state:
                if not decision.preempt:
                    job.retry_at[decision.task] = now + 0.1
                elif got is not None and got.evicting:
                    keep_s = 2.0
                    if decision.accumulate:
                        keep_s = self.overload_settings.gather_s
                    old = job.nominated.get(decision.task, (decision.candidate.index, now + keep_s))
                    job.nominated[decision.task] = old
                    job.retry_at[decision.task] = now + (
                        ACCUMULATE_RETRY_S if decision.accumulate else 0.15
                    )
                else:
                    job.nominated.pop(decision.task, None)
                    job.accumulating.discard(decision.task)
                continue
            job.nominated.pop(decision.task, None)
            job.accumulating.discard(decision.task)
            target = TaskPlacement(
                decision.candidate.index,
                got.session,
                got.attempt,
                shard,
                decision.candidate.zone,
                state_since=now,
                protected=decision.protected,
                reserved_until=asked + (hold_s or self.context.tuning.reserve_s),
            )
            source = job.placements.get(decision.task)
            if source is None:
                job.pending_starts[decision.task] = target
            elif decision.task not in job.pending_ends and hold_s:
                source.target = target
                source.grace_s = job.grace_s
                moved = api.task_name(job.id, decision.task)
                log.info(
                    "task %s: moves from %s to %s",
                    moved,
                    self.context.machine_names[source.machine],
                    self.context.machine_names[target.machine],
                )
                owner = self.writers.get(job.shard)
                if owner is not None and owner.shard.jobs.get(job.index) is job:
                    owner.shard.republish_task(job, decision.task)
                await self.wake.set()
        writer = self.writers.get(job.shard)
        if job.pending_starts and writer is not None and writer.shard.jobs.get(job.index) is job:
            writer.shard.dirty_jobs.add(job.index)
            await self.flush.set()

    def all_demands(self) -> list[Demand]:
        now = self.context.now()
        return [
            Demand(
                (d.cpus, d.gpus, d.memory_gb),
                d.count,
                tuple(d.types),
                d.zone,
                d.spot,
                d.rank,
                d.service,
            )
            for at, found in self.demands.values()
            if now - at < 5.0
            for d in found
        ]

"""Plans for this node's waiting tasks: picks, room by preemption, moves, reservations."""

import logging
from collections.abc import Callable, Mapping
from functools import partial

import curio

from starlingdeck.autoscaling.policy import Demand
from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import PeerDown, Peers
from starlingdeck.context import World
from starlingdeck.interning import split_key
from starlingdeck.jobs.admission import Admission
from starlingdeck.jobs.job import URGENT, Job, Place
from starlingdeck.jobs.job_shard import job_message
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.machines import scoring as placement
from starlingdeck.machines.scoring import Room
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling import scheduler
from starlingdeck.scheduling.candidate_pool import Rooms
from starlingdeck.scheduling.overload import Overload
from starlingdeck.scheduling.scheduler import Pick, Round, Stops, TeamJob
from starlingdeck.storage.limiter import Limiter

log = logging.getLogger(__name__)

MOST_PICKS = 100
MOST_TEAM_JOBS = 10_000  # told to peers; some 41 bytes each, twice a second
MOST_STOPS = 48  # (start) tasks of a plan that ask for room by preemption
PLAN_EVERY_S = 0.1
IDLE_PLAN_S = 0.25
MOST_PAUSE_S = 0.5  # (start) between plans, however long they take
URGENT_PAUSE_S = 0.2  # (start) while work of the two upper ranks waits
PAUSES = 30.0  # (start) times as long as a plan took
LOOK_S = 0.04  # how often it is looked whether anything waits
STRETCH_S = 0.005  # (start) of planning before others get their turn
GATHER_RETRY_S = 0.4  # (start) between looks at a machine that keeps what comes free
MOST_UNBEGUN = 4  # (start) jobs that have long waited to begin, taken first in a plan
PROBE_SHARE = 0.05  # (start) of the changes: for probes of jobs that fail on every machine
MOST_PRESSED = 32  # tasks of a job that ask for room by preemption at once

Reserve = Callable[[pb.Reserve], pb.Reserved]


class Planner:
    def __init__(
        self,
        world: World,
        membership: Membership,
        peers: Peers,
        writers: Mapping[int, Writer],
        rooms: Rooms,
        admission: Admission,
        reserve_here: Reserve,
        overload: Overload | None,
        wake: curio.Event,
        flush: curio.Event,
    ) -> None:
        self.world = world
        self.membership = membership
        self.peers = peers
        self.writers = writers
        self.rooms = rooms
        self.admission = admission
        self.reserve_here = reserve_here
        self.overload = overload
        self.floors = overload.settings if overload is not None else OverloadSettings()
        writes = world.settings.settings.state.write_rps
        self.probes = Limiter(PROBE_SHARE * writes / 2 / world.shards, 2.0, world.now)
        self.wake = wake
        self.flush = flush
        self.demands: dict[int, tuple[float, list[pb.Demand]]] = {}
        self.team_jobs: dict[int, list[TeamJob]] = {}
        self.plan_at = 0.0
        self.rest_until = 0.0
        self.ran_since = 0.0
        self.replicas = self.urgent = False  # whether any wait
        self.preempt_at: dict[int, float] = {}
        self.moves = Limiter(world.tuning.moves_per_s / world.shards, 1.0, world.now)

    def own_team_jobs(self) -> list[TeamJob]:
        """Our unfinished jobs that bear on their teams' guarantees, for all controllers."""
        found = []
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                if not job.cancelled:
                    n, spec = job.unfinished, job.spec
                    found.append(
                        TeamJob(
                            job.team, job.at_ms, job.id, n * spec.cpus, n * spec.gpus, spec.rank
                        )
                    )
        return scheduler.bearing_jobs(self.world, found)[:MOST_TEAM_JOBS]

    async def run(self) -> None:
        """Plans for a thirtieth of the time, and never for long at a stretch. In a flood every
        plan finds a little room; taken every 0.1 s they were a third of the processor time.

        A plan took up to 70 ms of processor time in one go, three times that on a small
        machine, and submissions, reports and renewals waited for it.
        """
        while True:
            began = self.world.now()
            due = began >= self.plan_at or (began >= self.rest_until and self._hurry())
            if self.membership.valid() and self.world.types and due:
                every = PLAN_EVERY_S if self.rooms.news else IDLE_PLAN_S
                if await self.plan():
                    now = self.world.now()
                    self.rest_until = now + min(MOST_PAUSE_S, now - began)
                    pause_s = max(every, (1.0 if self.replicas else PAUSES) * (now - began))
                    most_s = URGENT_PAUSE_S if self.urgent else MOST_PAUSE_S
                    self.plan_at = now + min(most_s, pause_s)
            await curio.sleep(LOOK_S)

    def _may_probe(self, job: Job, now: float) -> bool:
        """Jobs that fail wherever they run take no more than a small share of all changes."""
        if len(job.failed_on) < self.world.tuning.suspect_machines or job.asking or job.starts:
            return True
        return job.hold_until <= now and not job.places and self.probes.delay(1.0, True) <= 0

    def _unbegun(self, jobs: list[Job]) -> list[Job]:
        """The longest waiting of those that must begin now, whatever their rank: a few."""
        wall_ms = self.world.wall_ms()
        long = [job for job in jobs if scheduler.unbegun(job, wall_ms)]
        able = [job for job in long if self.admission.spare(job) > 0]
        return sorted(able, key=lambda job: (job.at_ms, job.id))[:MOST_UNBEGUN]

    def _hurry(self) -> bool:
        """Whether something came that is not to wait for the next plan: replicas have seconds."""
        return self.admission.due() or any(w.shard.replicas for w in self.writers.values())

    async def _give_way(self) -> None:
        """Let others run once we have run for long. What was read before may be old after."""
        if self.world.now() - self.ran_since > STRETCH_S:
            await curio.sleep(0)
            self.ran_since = self.world.now()

    def _waits(self, job: Job) -> bool:
        """Whether a job is still one of ours with tasks to place."""
        writer = self.writers.get(job.shard)
        ours = writer is not None and writer.shard.jobs.get(job.index) is job
        return ours and not (job.cancelled or job.final or job.stale)

    async def plan(self) -> bool:
        """False when nothing waits."""
        now = self.ran_since = self.world.now()
        for writer in self.writers.values():
            writer.shard.replicas = False
        if self.overload is not None:
            self.overload.keep()
        jobs = [
            job
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            if not (job.cancelled or job.final or job.stale) and job.pending(1)
            if not self.world.rests("job", job.id) and self._may_probe(job, now)
        ]
        if not jobs and not any(w.shard.shed for w in self.writers.values()):
            self.demands[self.world.node] = (now, [])
            self.admission.idle()
            if self.overload is not None:
                self.overload.idle()
            return False
        self.rooms.news = False
        self.replicas = any(job.spec.service for job in jobs)
        self.urgent = any(job.spec.rank >= URGENT for job in jobs)
        self.preempt_at = {job: at for job, at in self.preempt_at.items() if at > now}
        everyone = [j for found in self.team_jobs.values() for j in found] + self.own_team_jobs()
        inside = scheduler.guaranteed_jobs(self.world, everyone)
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                writer.shard.set_guaranteed(job, job.id in inside)
        await self.admission.note(jobs)
        found = Round(
            self.world, self.rooms.all(), self.admission.spare, MOST_PICKS, self._may_stop
        )
        ordered = scheduler.order(self.world, jobs, self.world.wall_ms())
        first = [(job, 1) for job in self._unbegun(jobs)]
        first += self.overload.first(ordered) if self.overload is not None else []
        for job, most in first:
            if self._waits(job):
                await self._pick(job, partial(found.place, most=most, sure=True), True)
        for job in ordered:
            if found.most <= 0:
                break
            if self._waits(job) and not found.passes(job):
                await self._pick(job, found.place)
        waiting = list(found.waiting.values())
        self.demands[self.world.node] = (now, self._demand(waiting))
        stops = Stops(found, MOST_STOPS)
        for job, _ in waiting:
            if stops.most <= 0:
                break
            if self._waits(job) and self._may_ask(job, now):
                await self._pick(job, lambda j: self._preempting(j, stops, now))
        if self.overload is not None:
            self.overload.waited(found.waiting.values())
        await self._gather(first, found, now)
        await self._ask(self._moving(found.rooms, now))
        return True

    async def _pick(self, job: Job, pick: Callable[[Job], list[Pick]], kept: bool = False) -> None:
        picks = self._guarded(job, pick)
        for one in picks if kept else ():
            # Marked only when it runs, it was stopped for others before the mark was known.
            one.kept = True
        if picks:
            self.admission.picked(job, len(picks))
            await self._ask(picks)
        await self._give_way()

    def _guarded(self, job: Job, pick: Callable[[Job], list[Pick]]) -> list[Pick]:
        """A job that can't be planned doesn't keep the others waiting."""
        try:
            return pick(job)
        except Exception as why:
            self.world.set_aside("job", job.id, why)
            job.asking.clear()
            return []

    async def _ask(self, picks: list[Pick]) -> None:
        """Ask each machine shard for what was picked there for a job."""
        groups: dict[tuple[int, int, bool, bool], list[Pick]] = {}
        for pick in picks:
            to = (pick.room.shard, pick.job.index, pick.preempt, pick.gather)
            groups.setdefault(to, []).append(pick)
            if not pick.preempt:
                job = pick.job
                self.rooms.take(pick.room, (job.index, pick.task), job.size, job.spec.image)
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

    async def _gather(self, first: list[tuple[Job, int]], found: Round, now: float) -> None:
        """For work below its floor that found no room: machines that keep what comes free."""
        if not first:
            return
        rooms = {room.index for room in found.rooms}
        taken = {
            job.promised[task][0]
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            for task in job.gathering & job.promised.keys()
        }
        left = int(self.floors.gathers) - len(taken & rooms)
        for job, most in first:
            missed = found.waiting.get(job.index, (job, 0))[1]
            if left <= 0 or not missed or not self._waits(job):
                continue
            many = min(left, most, missed)

            def pick(job: Job, many: int = many) -> list[Pick]:
                tasks = job.ready(min(many, self.admission.spare(job)), now)
                tasks = [task for task in tasks if task not in job.promised]
                return scheduler.gather(job, tasks, found.allowed(job), taken)

            before = len(taken)
            await self._pick(job, pick)
            left -= len(taken) - before

    def _preempting(self, job: Job, stops: Stops, now: float) -> list[Pick]:
        """For work that may preempt: machines to ask for room by stopping lower work."""
        able = stops.cheapest(job, now)
        if not able:
            return []
        self.preempt_at[job.index] = now + 0.5
        # A plan that found no machine for one task asked for room for 32, whatever limit held the
        # others back.
        tasks = job.ready(min(MOST_PRESSED, self.admission.spare(job)), now)
        return stops.spread_out(job, tasks, able)

    def _may_ask(self, job: Job, now: float) -> bool:
        if not (job.spec.rank > 0 or job.guaranteed) or now < self.preempt_at.get(job.index, 0.0):
            return False
        return self._may_stop(job)

    def _may_stop(self, job: Job) -> bool:
        """While many starts are stopped for others, an array stops some only after a quarter of
        what it may wait: it is first in what comes free, which is more a second than it needs. A
        sixth of all starts were stopped for others in a flood, and began anew. Done in every
        overload, it cost the waits of a burst more than the starts it saved."""
        if job.spec.service or self.overload is None or not self.overload.churns():
            return True
        aim_s = scheduler.wait_aim_s(self.world, job) or self.overload.settings.patience_s
        return self.world.wall_ms() - job.at_ms > 250 * aim_s

    def _moving(self, rooms: list[Room], now: float) -> list[Pick]:
        """Refit (DESIGN 4): a target for every shed task, as far as the cap on moves goes.

        `rooms` are the drawable ones."""
        picks = []
        tuning = self.world.tuning
        for writer in self.writers.values():
            for key in list(writer.shard.shed):
                index, task = split_key(key)
                job = writer.shard.jobs[index]
                place = job.places[task]
                if job.cancelled or job.stale or place.target or job.retry_at.get(task, 0.0) > now:
                    continue
                if task in job.ends or task in job.asking:
                    continue
                zone_ok = scheduler.zones_open(job, scheduler.zone_use(job, place))
                able = [
                    r
                    for r in rooms
                    if r.index != place.machine
                    and zone_ok(r.zone)
                    and scheduler.allowed(self.world, job, r)
                    and r.fits(job.size)
                ]
                drawn = placement.choose_refit(
                    able,
                    job.size,
                    tuning.refit_machines,
                    tuning.refit_candidates,
                    self.world.rng,
                )
                if not drawn or self.moves.delay(1.0, True) > 0:
                    job.retry_at[task] = now + 0.3
                    continue
                cached = [r for r in drawn if job.spec.image in r.images]
                room = (cached or drawn)[0]
                job.asking[task] = room.zone
                room.free = [f - s for f, s in zip(room.free, job.size, strict=True)]
                picks.append(Pick(job, task, room))
        return picks

    async def _reserve(self, group: list[Pick]) -> None:
        """Ask the machines' owner for room; what it gives goes into the job's record."""
        job, shard = group[0].job, group[0].room.shard
        holder = self.membership.holders.get(shard)
        given: dict[int, pb.Given] = {}
        hold_s, asked = 0.0, self.world.now()
        if holder is not None:
            ask = pb.Reserve(to_shard=shard, to_gen=holder.gen, job=job_message(job))
            ask.preempt = group[0].preempt and not group[0].gather
            ask.gather = group[0].gather
            ask.pressing = scheduler.pressing(self.world, job)
            ask.wait_s = scheduler.wait_aim_s(self.world, job)
            if any(pick.task in job.places for pick in group):
                # A move's target waits until the source has saved and stopped.
                ask.hold_s = hold_s = self.world.tuning.reserve_s + job.spec.save_s
            for pick in group:
                ask.spots.add(
                    task=pick.task,
                    attempt=job.tries[pick.task] + 1,
                    machine=self.world.machines[pick.room.index],
                )
            try:
                if holder.node == self.world.node:
                    reply = self.reserve_here(ask)
                else:
                    envelope = pb.Envelope(reserve=ask)
                    wait = self.world.tuning.reply_wait_s
                    reply = (await self.peers.call(holder.node, envelope, wait)).reserved
                given = {g.task: g for g in reply.given}
            except PeerDown as why:
                log.info("no room asked of %s: %s", self.world.node_name(holder.node), why)
        now = self.world.now()
        for pick in group:
            job.asking.pop(pick.task, None)
            got = given.get(pick.task)
            if not pick.preempt:
                self.rooms.answered(pick.room, (job.index, pick.task), got is not None)
            if got is None or got.evicting or job.cancelled or job.final:
                if not pick.preempt:
                    job.retry_at[pick.task] = now + 0.1
                elif got is not None and got.evicting:
                    keep_s = 2.0
                    if pick.gather:
                        keep_s = self.floors.gather_s
                    old = job.promised.get(pick.task, (pick.room.index, now + keep_s))
                    job.promised[pick.task] = old
                    job.retry_at[pick.task] = now + (GATHER_RETRY_S if pick.gather else 0.15)
                else:
                    job.promised.pop(pick.task, None)
                    job.gathering.discard(pick.task)
                continue
            job.promised.pop(pick.task, None)
            job.gathering.discard(pick.task)
            target = Place(
                pick.room.index,
                got.session,
                got.attempt,
                shard,
                pick.room.zone,
                since=now,
                kept=pick.kept,
                until=asked + (hold_s or self.world.tuning.reserve_s),
            )
            source = job.places.get(pick.task)
            if source is None:
                job.starts[pick.task] = target
            elif pick.task not in job.ends and hold_s:
                source.target = target
                source.grace_s = job.grace_s
                moved = api.task_name(job.id, pick.task)
                log.info(
                    "task %s: moves from %s to %s",
                    moved,
                    self.world.machines[source.machine],
                    self.world.machines[target.machine],
                )
                owner = self.writers.get(job.shard)
                if owner is not None and owner.shard.jobs.get(job.index) is job:
                    owner.shard.relist(job, pick.task)
                await self.wake.set()
        writer = self.writers.get(job.shard)
        if job.starts and writer is not None and writer.shard.jobs.get(job.index) is job:
            writer.shard.dirty.add(job.index)
            await self.flush.set()

    def all_demands(self) -> list[Demand]:
        now = self.world.now()
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

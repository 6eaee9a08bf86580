"""This controller's part in what is agreed under overload (docs/design/overload.md).

What its shards have to run, and to run it on, goes out with the greetings; from what comes in
every controller reckons the same shares, and each shard spends only its own.
"""

import logging
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from starlingdeck.context import ControllerContext, machine_capacity
from starlingdeck.fairness import minimum_share
from starlingdeck.fairness.demand_snapshot import (
    ClassDemand,
    DemandSnapshot,
    ShardDemand,
    TeamClass,
    bounded,
    total,
)
from starlingdeck.fairness.fair_share import FairShares, compute_fair_shares, dominant_share
from starlingdeck.fairness.minimum_share import WorkItem
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.metrics import counters
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling.scheduler import priority_key

log = logging.getLogger(__name__)

PROTECT_INTERVAL_S = 0.5  # (start) how often it is looked which tasks are kept
EVENT_HALF_LIFE_S = 10.0  # (start) how soon half of what was stopped is no longer lately
MIN_RECENT_STARTS = 20.0  # starts lately: of fewer, so many count
REFRESH_INTERVAL_S = 0.25  # (start) how often our parts are summed up anew
OVERLOAD_HOLD_S = (
    10.0  # (start) an overload lasts this long after the last task that found no machine
)
MAX_CLASS_NAME = 200  # characters of a name that a peer may send


class Waits(Struct):
    """A job whose tasks find no machine. `most` is what it had got furthest with, `at` when it was
    last seen to wait."""

    since: float
    most: int
    tasks: int = 0
    at: float = 0.0


class OverloadController:
    """Off until something waits for a machine for longer than `patience_s`, at any controller."""

    def __init__(
        self,
        context: ControllerContext,
        writers: Mapping[int, RecordWriter],
        machines: Mapping[int, MachineShard],
        settings: OverloadSettings,
    ) -> None:
        self.context = context
        self.writers = writers
        self.machines = machines
        self.settings = settings
        self.demand = DemandSnapshot()
        self.shares = FairShares()
        self.waiting_jobs: dict[int, Waits] = {}
        self.overloaded_at = -1e9
        self.refreshed_at = -1e9
        self.seq = 0
        self.seen_events = [0, 0]  # tasks started and stopped here, when last looked at
        self.recent_events = [0.0, 0.0]  # and of those lately
        self.protect_at = 0.0
        self.protecting = False  # whether any running task may be marked as kept

    @staticmethod
    def team_class(job: Job) -> TeamClass:
        return job.team, job.spec.cls

    # --- one picture

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        self.refresh()
        for shard in self.writers:
            part = self.demand.shards.get(shard)
            if part is None:
                continue
            item = gossip.shard_demands.add(
                shard=part.shard, token=part.token, seq=part.seq, overloaded=part.overloaded,
                capacity=part.capacity,
            )  # fmt: skip
            for (team, name), load in part.loads.items():
                item.loads.add(team=team, cls=name, running=load.running, waiting=load.waiting)

    def receive_gossip(self, gossip: pb.Gossip) -> None:
        now = self.context.now()
        for item in gossip.shard_demands[: self.context.shard_count]:
            if item.shard >= self.context.shard_count or item.shard in self.writers:
                continue
            loads = {
                (load.team, load.cls[:MAX_CLASS_NAME]): ClassDemand(
                    _size(load.running), _size(load.waiting)
                )
                for load in item.loads[:1000]
            }
            capacity = _size(item.capacity)
            part = ShardDemand(
                item.shard, item.token, item.seq, capacity, bounded(loads), item.overloaded
            )
            self.demand.update(part, now)

    def refresh(self) -> None:
        """Sum up our shards' parts, and reckon the shares from all that are known."""
        now = self.context.now()
        if now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        faded = 0.5 ** (min(now - self.refreshed_at, 60.0) / EVENT_HALF_LIFE_S)
        self.refreshed_at = now
        totals = self.context.counters.totals
        events = [totals[counters.STARTED], totals[counters.PREEMPTED]]
        fresh = (a - b for a, b in zip(events, self.seen_events, strict=True))
        self.recent_events = [
            old * faded + new for old, new in zip(self.recent_events, fresh, strict=True)
        ]
        self.seen_events = events
        pressed = now - self.overloaded_at < OVERLOAD_HOLD_S
        self.seq += 1
        for shard, writer in self.writers.items():
            if writer.shard.loaded:
                loads = bounded(self._loads(writer))
                part = ShardDemand(
                    shard, writer.shard.token, self.seq, self._capacity(shard), loads, pressed
                )
                self.demand.update(part, now)
        parts = self.demand.known(now, self.context.tuning.expiry_s)
        shares = compute_fair_shares(parts, self.context.shard_count, self.settings.floor)
        if shares.overload != self.shares.overload:
            log.info(
                "overload %s, by %s", "begins" if shares.overload else "is over", shares.signals
            )
        self.shares = shares

    def _capacity(self, shard: int) -> tuple[float, float, float]:
        machines = self.machines.get(shard)
        found = machines.machines.values() if machines is not None else ()
        well = [
            machine
            for machine in found
            if not (machine.lost or machine.draining or machine.faulty_since is not None)
        ]
        kinds = [self.context.machine_types.get(machine.type) for machine in well]
        return total(machine_capacity(kind) for kind in kinds if kind is not None)

    def _loads(self, writer: RecordWriter) -> dict[TeamClass, ClassDemand]:
        running: dict[TeamClass, list[tuple[float, float, float]]] = {}
        waiting: dict[TeamClass, list[tuple[float, float, float]]] = {}
        for job in writer.shard.jobs.values():
            pair, wait = self.team_class(job), self.waiting_jobs.get(job.index)
            for tasks, sizes in (
                (job.active_attempts(), running),
                (wait.tasks if wait is not None else 0, waiting),
            ):
                if tasks:
                    cpus, gpus, memory_gb = job.size
                    size = (tasks * cpus, tasks * gpus, tasks * memory_gb)
                    sizes.setdefault(pair, []).append(size)
        return {
            pair: ClassDemand(total(running.get(pair, ())), total(waiting.get(pair, ())))
            for pair in running.keys() | waiting.keys()
        }

    # --- our part of it

    def own_share(self, pair: TeamClass) -> float:
        return sum(self.shares.shard_share(shard, pair) for shard in self.writers)

    def is_churning(self) -> bool:
        """Whether more than `churn` of what was started here lately was stopped for others."""
        started, stopped = self.recent_events
        return self.shares.overload and stopped > self.settings.churn * max(
            started, MIN_RECENT_STARTS
        )

    def works(self, jobs: Iterable[Job], kept: bool = False) -> list[WorkItem]:
        """`kept`: with how many tasks of each are kept now."""
        now_ms = self.context.wall_clock_ms()
        found = []
        for job in jobs:
            wait = self.waiting_jobs.get(job.index)
            tasks = wait.tasks if wait is not None else 0
            share = dominant_share(job.size, self.shares.capacity)
            late = bool(tasks) and priority_key(self.context, job, now_ms)[0]
            # A task that a machine is kept for has its part already: else more and more were.
            running = job.active_attempts() + len(job.accumulating & job.nominated.keys())
            many = sum(placement.protected for placement in job.placements.values()) if kept else 0
            found.append(
                WorkItem(
                    job.index,
                    self.team_class(job),
                    job.submitted_ms,
                    share,
                    running,
                    tasks,
                    many,
                    late,
                )
            )
        return found

    def protect_tasks(self) -> None:
        """Mark the running tasks that nothing may stop for others."""
        self.refresh()
        now = self.context.now()
        if now < self.protect_at or not (self.shares.overload or self.protecting):
            return
        self.protect_at = now + PROTECT_INTERVAL_S
        self.protecting = self.shares.overload
        shards = [writer.shard for writer in self.writers.values() if writer.shard.loaded]
        kept: dict[int, int] = {}
        if self.shares.overload:
            jobs = [j for shard in shards for j in shard.jobs.values() if j.placements]
            kept = minimum_share.protected_work(self.works(jobs, True), self.own_share)
        for shard in shards:
            for job in shard.jobs.values():
                if not job.placements:
                    continue
                tasks = kept.get(job.index, 0)
                for n, task in enumerate(sorted(job.placements)):
                    placement = job.placements[task]
                    if placement.protected != (n < tasks):
                        placement.protected = n < tasks
                        shard.republish_task(job, task)

    def below_minimum_share(self, jobs: Sequence[Job]) -> list[tuple[Job, int]]:
        """Of the jobs of a plan, in its order: those that go before all others, and with how
        many tasks."""
        below = self._below() if self.shares.overload else set()
        planned = {job.index: job for job in jobs if self._named(self.team_class(job)) in below}
        if not planned:
            return []
        others = [
            job
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            if job.placements
            and job.index not in planned
            and self._named(self.team_class(job)) in below
        ]
        found = minimum_share.below_share(self.works([*planned.values(), *others]), self.own_share)
        # A job that waited when the last plan ended may have nothing left that waits.
        return [(planned[index], tasks) for index, tasks in found if index in planned]

    def _below(self) -> set[TeamClass]:
        """Pairs that ran less than our part of their floors when our parts were last told: only
        their jobs are looked at one by one."""
        running: dict[TeamClass, float] = {}
        for shard in self.writers:
            part = self.demand.shards.get(shard)
            for pair, load in part.loads.items() if part is not None else ():
                share = dominant_share(load.running, self.shares.capacity)
                running[pair] = running.get(pair, 0.0) + share
        return {pair for pair, share in running.items() if share < self.own_share(pair)}

    def _named(self, pair: TeamClass) -> TeamClass:
        return pair if pair in self.shares.minimum_shares else (pair[0], "")

    def on_cycle_end(self, waiting: Iterable[tuple[Job, int]]) -> None:
        """A plan is over: these jobs' tasks found no machine."""
        now, any_ = self.context.now(), False
        for wait in self.waiting_jobs.values():
            wait.tasks = 0
        for job, tasks in waiting:
            had, wait_of = job.active_attempts() + job.completed, self.waiting_jobs.get(job.index)
            if wait_of is None or had > wait_of.most:
                # Work that is started and stopped again and again gets no further.
                wait_of = self.waiting_jobs[job.index] = Waits(now, had)
            wait_of.tasks, wait_of.at, any_ = tasks, now, True
            if now - wait_of.since >= self.settings.patience_s:
                self.overloaded_at = now
        self._forget(now)
        if any_ and self.shares.overload and now - self.overloaded_at < OVERLOAD_HOLD_S:
            # What is kept for those below their floor ends their long waits, not the overload.
            self.overloaded_at = now

    def on_idle(self) -> None:
        for wait in self.waiting_jobs.values():
            wait.tasks = 0
        self._forget(self.context.now())

    def _forget(self, now: float) -> None:
        """A job that ran on for long enough waits anew when it is stopped."""
        patience_s = self.settings.patience_s
        self.waiting_jobs = {
            job: w for job, w in self.waiting_jobs.items() if now - w.at < patience_s
        }

    def lines(self) -> list[str]:
        shares = self.shares
        if not shares.overload:
            return []
        own = {pair: self.own_share(pair) for pair in shares.minimum_shares}
        told = ", ".join(
            f"{self._team(pair[0])}/{pair[1] or 'others'} {floor:.3f} of all, {own[pair]:.3f} here"
            for pair, floor in sorted(shares.minimum_shares.items())
        )
        return [f"overload: floors {told}; by {shares.signals}"]

    def _team(self, team: int) -> str:
        teams = self.context.settings.settings.teams
        return teams[team].name if team < len(teams) else str(team)


def _size(amounts: Sequence[float]) -> tuple[float, float, float]:
    """What a peer sent as a size; nothing where it is none."""
    if len(amounts) != 3 or not all(0 <= a < 1e12 for a in amounts):
        return 0.0, 0.0, 0.0
    return amounts[0], amounts[1], amounts[2]

"""Enforces minimum shares under overload, at one controller (docs/design/overload.md).

A controller publishes the demand and capacity of its shards with its gossip. All controllers
compute the same shares from what they receive, and each shard spends only its own part of them.
"""

import logging
from collections.abc import Iterable, Mapping, Sequence

from starlingdeck.context import ControllerContext, Resources, machine_capacity
from starlingdeck.fairness import minimum_share
from starlingdeck.fairness.demand_snapshot import (
    ClassDemand,
    DemandSnapshot,
    ShardDemand,
    TeamClass,
    merge_small_classes,
    sum_resources,
)
from starlingdeck.fairness.fair_share import FairShares, compute_fair_shares, dominant_share
from starlingdeck.fairness.minimum_share import WorkItem
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling.churn import ChurnMeter
from starlingdeck.scheduling.decision import JobTaskCount
from starlingdeck.scheduling.priority import priority_key
from starlingdeck.scheduling.waiting_jobs import WaitingJobs

log = logging.getLogger(__name__)

PROTECT_INTERVAL_S = 0.5  # between updates of which running tasks are protected
REFRESH_INTERVAL_S = 0.25  # between updates of the demand of the shards owned here
OVERLOAD_HOLD_S = 10.0  # from the last wait that began or prolonged an overload to its end
MAX_CLASS_NAME_LENGTH = 200  # characters accepted of a class name from a peer
MAX_PEER_LOADS = 1000  # classes of one shard accepted from a peer
MAX_PEER_AMOUNT = 1e12  # of a resource: from here on a peer's amounts are malformed
NEVER = -1e9


class OverloadController:
    """Detects overload, and then keeps a minimum share of the fleet for each team's classes.

    Inactive until a job at any controller has waited for a machine for `patience_s`.
    """

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
        self.waiting_jobs = WaitingJobs()
        self.churn = ChurnMeter()
        self.overloaded_at = NEVER
        self.refreshed_at = NEVER
        self.seq = 0  # of the published demand
        self.protect_at = 0.0
        self.protecting = False  # whether any running task may be protected

    @staticmethod
    def team_class(job: Job) -> TeamClass:
        """Return the team and class that a job's tasks count for."""
        return job.team, job.spec.cls

    # --- the demand snapshot that all controllers share

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        """Publish the demand and capacity of the shards owned here."""
        self.refresh()
        for shard in self.writers:
            report = self.demand.shards.get(shard)
            if report is None:
                continue
            item = gossip.shard_demands.add(
                shard=report.shard,
                token=report.token,
                seq=report.seq,
                overloaded=report.overloaded,
                capacity=report.capacity,
            )
            for (team, name), load in report.loads.items():
                item.loads.add(team=team, cls=name, running=load.running, waiting=load.waiting)

    def receive_gossip(self, gossip: pb.Gossip) -> None:
        """Record the demand that another controller published; malformed amounts count as 0."""
        now = self.context.now()
        for item in gossip.shard_demands[: self.context.shard_count]:
            if item.shard >= self.context.shard_count or item.shard in self.writers:
                continue
            loads = {
                (load.team, load.cls[:MAX_CLASS_NAME_LENGTH]): ClassDemand(
                    _valid_resources(load.running), _valid_resources(load.waiting)
                )
                for load in item.loads[:MAX_PEER_LOADS]
            }
            capacity = _valid_resources(item.capacity)
            report = ShardDemand(
                item.shard,
                item.token,
                item.seq,
                capacity,
                merge_small_classes(loads),
                item.overloaded,
            )
            self.demand.update(report, now)

    def refresh(self) -> None:
        """Update the demand of the shards owned here, then the shares from all known demand.

        Does nothing within `REFRESH_INTERVAL_S` of the last update.
        """
        now = self.context.now()
        if now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        self.churn.update(self.context.counters, now - self.refreshed_at)
        self.refreshed_at = now
        overloaded = now - self.overloaded_at < OVERLOAD_HOLD_S
        self.seq += 1
        for shard, writer in self.writers.items():
            if writer.shard.loaded:
                loads = merge_small_classes(self._loads(writer.shard))
                report = ShardDemand(
                    shard, writer.shard.token, self.seq, self._capacity(shard), loads, overloaded
                )
                self.demand.update(report, now)
        reports = self.demand.known(now, self.context.tuning.expiry_s)
        shares = compute_fair_shares(reports, self.context.shard_count, self.settings.floor)
        if shares.overload != self.shares.overload:
            change = "began" if shares.overload else "ended"
            log.info("overload %s: signals=%s", change, shares.signals)
        self.shares = shares

    def _capacity(self, shard: int) -> Resources:
        """Return the capacity of those machines of a shard that may take new work."""
        machine_shard = self.machines.get(shard)
        machines = machine_shard.machines.values() if machine_shard is not None else ()
        types = [
            self.context.machine_types.get(machine.type)
            for machine in machines
            if not (machine.lost or machine.draining or machine.faulty_since is not None)
        ]
        return sum_resources(
            machine_capacity(machine_type) for machine_type in types if machine_type is not None
        )

    def _loads(self, shard: JobShard) -> dict[TeamClass, ClassDemand]:
        """Return what a job shard's running and waiting tasks need, by team and class."""
        running: dict[TeamClass, list[Resources]] = {}
        waiting: dict[TeamClass, list[Resources]] = {}
        for job in shard.jobs.values():
            team_class = self.team_class(job)
            for tasks, sizes in (
                (job.active_attempts(), running),
                (self.waiting_jobs.tasks(job.index), waiting),
            ):
                if tasks:
                    cpus, gpus, memory_gb = job.size
                    size = (tasks * cpus, tasks * gpus, tasks * memory_gb)
                    sizes.setdefault(team_class, []).append(size)
        return {
            team_class: ClassDemand(
                sum_resources(running.get(team_class, ())),
                sum_resources(waiting.get(team_class, ())),
            )
            for team_class in running.keys() | waiting.keys()
        }

    # --- the part of the shards owned here

    def own_share(self, team_class: TeamClass) -> float:
        """Return the part of a class's minimum share that the shards owned here may spend."""
        return sum(self.shares.shard_share(shard, team_class) for shard in self.writers)

    def is_churning(self) -> bool:
        """Return whether, in an overload, more than `churn` of the recent starts were preempted."""
        return self.shares.overload and self.churn.exceeds(self.settings.churn)

    def _work_items(self, jobs: Iterable[Job], count_protected: bool = False) -> list[WorkItem]:
        """Return the jobs as work items; protected tasks are counted only on request."""
        now_ms = self.context.wall_clock_ms()
        items = []
        for job in jobs:
            waiting = self.waiting_jobs.tasks(job.index)
            late = bool(waiting) and priority_key(self.context, job, now_ms)[0]
            # A task that a machine accumulates capacity for counts as running: otherwise more
            # and more machines would be asked to accumulate for its class.
            running = job.active_attempts() + len(job.accumulating & job.nominated.keys())
            protected = 0
            if count_protected:
                protected = sum(placement.protected for placement in job.placements.values())
            items.append(
                WorkItem(
                    job.index,
                    self.team_class(job),
                    job.submitted_ms,
                    dominant_share(job.size, self.shares.capacity),
                    running,
                    waiting,
                    protected,
                    late,
                )
            )
        return items

    def protect_tasks(self) -> None:
        """Mark the running tasks that the minimum shares protect from preemption."""
        self.refresh()
        now = self.context.now()
        if now < self.protect_at or not (self.shares.overload or self.protecting):
            return
        self.protect_at = now + PROTECT_INTERVAL_S
        self.protecting = self.shares.overload
        shards = [writer.shard for writer in self.writers.values() if writer.shard.loaded]
        protected: dict[int, int] = {}
        if self.shares.overload:
            jobs = [job for shard in shards for job in shard.jobs.values() if job.placements]
            protected = minimum_share.protected_work(self._work_items(jobs, True), self.own_share)
        for shard in shards:
            for job in shard.jobs.values():
                if job.placements:
                    _protect(shard, job, protected.get(job.index, 0))

    def below_minimum_share(self, jobs: Sequence[Job]) -> list[JobTaskCount]:
        """Return the jobs that go before all others, with how many tasks each.

        `jobs` are those of a scheduling cycle, in scheduling order.
        """
        below = self._classes_below_share() if self.shares.overload else set()
        planned = {job.index: job for job in jobs if self._share_key(self.team_class(job)) in below}
        if not planned:
            return []
        others = [
            job
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            if job.placements
            and job.index not in planned
            and self._share_key(self.team_class(job)) in below
        ]
        items = self._work_items([*planned.values(), *others])
        found = minimum_share.below_share(items, self.own_share)
        # A job that waited when the last cycle ended may have no waiting tasks any more.
        return [(planned[index], tasks) for index, tasks in found if index in planned]

    def _classes_below_share(self) -> set[TeamClass]:
        """Return the classes that ran less than their share here at the last refresh.

        Only the jobs of these classes are examined one by one.
        """
        running: dict[TeamClass, float] = {}
        for shard in self.writers:
            report = self.demand.shards.get(shard)
            for team_class, load in report.loads.items() if report is not None else ():
                share = dominant_share(load.running, self.shares.capacity)
                running[team_class] = running.get(team_class, 0.0) + share
        return {
            team_class
            for team_class, share in running.items()
            if share < self.own_share(team_class)
        }

    def _share_key(self, team_class: TeamClass) -> TeamClass:
        """Return the key of a class's share: its own, or that of its team's classes not named."""
        return team_class if team_class in self.shares.minimum_shares else (team_class[0], "")

    # --- waits

    def on_cycle_end(self, unplaced: Iterable[JobTaskCount]) -> None:
        """Record the tasks that found no machine in a cycle; detect or prolong an overload."""
        now = self.context.now()
        longest_wait_s = self.waiting_jobs.record(unplaced, now)
        if longest_wait_s is not None and longest_wait_s >= self.settings.patience_s:
            self.overloaded_at = now
        self.waiting_jobs.expire(now, self.settings.patience_s)
        lasting = self.shares.overload and now - self.overloaded_at < OVERLOAD_HOLD_S
        if longest_wait_s is not None and lasting:
            # Capacity kept for the classes below their minimum share ends their waits, but not the
            # overload: any wait prolongs it.
            self.overloaded_at = now

    def on_idle(self) -> None:
        """Record that no task waits."""
        self.waiting_jobs.clear_tasks()
        self.waiting_jobs.expire(self.context.now(), self.settings.patience_s)

    def lines(self) -> list[str]:
        """Return the regular log line with the minimum shares; no line without overload."""
        shares = self.shares
        if not shares.overload:
            return []
        parts = ", ".join(
            f"{self._team_name(team)}/{name or 'others'}={share:.3f} "
            f"own={self.own_share((team, name)):.3f}"
            for (team, name), share in sorted(shares.minimum_shares.items())
        )
        return [f"minimum shares: {parts}; signals={shares.signals}"]

    def _team_name(self, team: int) -> str:
        teams = self.context.settings.settings.teams
        return teams[team].name if team < len(teams) else str(team)


def _protect(shard: JobShard, job: Job, tasks: int) -> None:
    """Protect the first `tasks` running tasks of a job, and no others."""
    for position, task in enumerate(sorted(job.placements)):
        placement = job.placements[task]
        if placement.protected != (position < tasks):
            placement.protected = position < tasks
            shard.republish_task(job, task)


def _valid_resources(amounts: Sequence[float]) -> Resources:
    """Return the resources that a peer sent, or zeros if they are malformed."""
    if len(amounts) != 3 or not all(0 <= amount < MAX_PEER_AMOUNT for amount in amounts):
        return 0.0, 0.0, 0.0
    return amounts[0], amounts[1], amounts[2]

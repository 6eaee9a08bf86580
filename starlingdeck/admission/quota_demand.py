"""Computes how much quota each team uses at this controller's shards, and how much it lacks."""

from collections.abc import Mapping, Sequence

from starlingdeck.admission.quota import EPSILON, ZERO, Quota, ResourceAmount
from starlingdeck.context import UNBOUNDED, ControllerContext
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.jobs.zone_rules import placeable_tasks

ROUNDING_TOLERANCE = 1e-9  # tolerance when a task is fitted into what is left of a share
MAX_DEMAND_TASKS_PER_JOB = 1000  # limit on the waiting tasks that count as demand

TeamShard = tuple[int, int]


class QuotaDemand:
    """Use of and demand for quota, recomputed in every scheduling cycle."""

    def __init__(
        self, context: ControllerContext, quota: Quota, writers: Mapping[int, RecordWriter]
    ) -> None:
        self.context = context
        self.quota = quota
        self.writers = writers
        self.shortages: dict[TeamShard, ResourceAmount] = {}
        self.task_sizes: dict[TeamShard, set[ResourceAmount]] = {}  # sizes of waiting tasks
        # (epoch of the shard, team) -> use. Computed once per cycle, and increased by each
        # placement decision; what is released meanwhile counts from the next cycle on. The key
        # contains the epoch, so that the use is computed again if a shard is reacquired during a
        # cycle.
        self._use_cache: dict[tuple[int, int], ResourceAmount] = {}

    def is_limited(self, team: int) -> bool:
        """Return whether a team has a limit."""
        teams = self.context.settings.settings.teams
        return team < len(teams) and (teams[team].cpus_max > 0 or teams[team].gpus_max > 0)

    def used(self, shard: int, team: int) -> ResourceAmount:
        """Return what a team's attempts at a shard may use; each counts until it has ended."""
        cpus = gpus = 0.0
        for job in self.writers[shard].shard.jobs.values():
            if job.team == team:
                cpus += job.active_attempts() * job.spec.cpus
                gpus += job.active_attempts() * job.spec.gpus
        return ResourceAmount(cpus, gpus)

    def headroom(self, job: Job) -> int:
        """Return for how many more tasks of a job its shard has quota."""
        if not self.is_limited(job.team):
            return UNBOUNDED
        key = (self.writers[job.shard].shard.epoch, job.team)
        used = self._use_cache.get(key)
        if used is None:
            used = self._use_cache[key] = self.used(job.shard, job.team)
        share = self.quota.share(job.team, job.shard)
        headroom = UNBOUNDED
        for size, available, in_use in zip(
            (job.spec.cpus, job.spec.gpus), share, used, strict=True
        ):
            if size > 0:
                headroom = min(headroom, int((available - in_use) / size + ROUNDING_TOLERANCE))
        return max(0, headroom)

    def add_requested(self, job: Job, tasks: int) -> None:
        """Count tasks that are about to be placed as used until the next cycle."""
        writer = self.writers.get(job.shard)
        key = (writer.shard.epoch if writer is not None else 0, job.team)
        if key in self._use_cache:
            cpus, gpus = self._use_cache[key]
            self._use_cache[key] = ResourceAmount(
                cpus + tasks * job.spec.cpus, gpus + tasks * job.spec.gpus
            )

    def drop_cached_use(self) -> None:
        """Clear the cached use of every team, so that it is computed again when next needed."""
        self._use_cache = {}

    def clear(self) -> None:
        """Clear the shortages and task sizes: no task waits."""
        self.shortages, self.task_sizes = {}, {}

    def begin_cycle(self, jobs: Sequence[Job]) -> dict[TeamShard, ResourceAmount]:
        """Begin a cycle, and return the demand of the waiting tasks of teams with a limit."""
        demand: dict[TeamShard, ResourceAmount] = {}
        task_sizes: dict[TeamShard, set[ResourceAmount]] = {}
        for job in jobs:
            if not self.is_limited(job.team):
                continue
            key = (job.team, job.shard)
            size = ResourceAmount(job.spec.cpus, job.spec.gpus)
            before = demand.get(key, ZERO)
            tasks = min(
                len(job.pending(MAX_DEMAND_TASKS_PER_JOB)), placeable_tasks(self.context, job)
            )
            if tasks:
                task_sizes.setdefault(key, set()).add(size)
            demand[key] = ResourceAmount(
                before.cpus + tasks * size.cpus, before.gpus + tasks * size.gpus
            )
        self.shortages, self.task_sizes = {}, task_sizes
        self.drop_cached_use()
        return demand

    def record_shortage(
        self, team: int, shard: int, demand: ResourceAmount
    ) -> ResourceAmount | None:
        """Record and return by how much a shard's free quota falls short; None if it suffices."""
        used, share = self.used(shard, team), self.quota.share(team, shard)
        cpus, gpus = (d - (s - u) for d, s, u in zip(demand, share, used, strict=True))
        if max(cpus, gpus) <= EPSILON:
            return None
        shortage = ResourceAmount(max(0.0, cpus), max(0.0, gpus))
        self.shortages[(team, shard)] = shortage
        return shortage

    def smallest_task(self, team: int, shard: int) -> ResourceAmount:
        """Return the smallest task that waits at a shard for its team's quota; zeros if none."""
        return min(self.task_sizes.get((team, shard), ()), default=ZERO)

    def withheld_from(
        self, team: int, giver: int, receiver: int, task: ResourceAmount
    ) -> ResourceAmount | None:
        """Return what `giver` must keep of its share in a transfer; None if it may give nothing.

        `task` is the smallest task that waits at `receiver`. A giver without a shortage
        withholds what it uses. One with a shortage may be left with a remainder in which none of
        its waiting tasks fits. If every shard kept such a remainder, all would wait while their
        team is below its limit by more than a task. Remainders therefore move to the shard where
        the smallest task waits (of equal ones, the lowest shard). That task starts if any can,
        and no remainder moves back, as transfers don't change the order of shards. The giver
        withholds the size of the largest of its waiting tasks that fits into its whole share.
        Otherwise this quota, which becomes free gradually as tasks of the shard end, would go to
        small tasks elsewhere.
        """
        used = self.used(giver, team)
        if (team, giver) not in self.shortages:
            return used
        sizes = self.task_sizes.get((team, giver))
        if not sizes or not any(task) or (task, receiver) >= (min(sizes), giver):
            return None
        share = self.quota.share(team, giver)
        free = ResourceAmount(
            share.cpus - used.cpus + ROUNDING_TOLERANCE, share.gpus - used.gpus + ROUNDING_TOLERANCE
        )
        if any(_fits(size, free) for size in sizes):
            return None
        share = ResourceAmount(share.cpus + ROUNDING_TOLERANCE, share.gpus + ROUNDING_TOLERANCE)
        fitting = [size for size in sizes if _fits(size, share)]
        return ResourceAmount(
            max(used.cpus, max((size.cpus for size in fitting), default=0.0)),
            max(used.gpus, max((size.gpus for size in fitting), default=0.0)),
        )


def _fits(size: ResourceAmount, available: ResourceAmount) -> bool:
    return size.cpus <= available.cpus and size.gpus <= available.gpus

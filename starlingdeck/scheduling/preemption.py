"""Chooses the machines that are asked to preempt work for tasks that found no free capacity."""

from collections.abc import Callable, Sequence
from random import Random

from starlingdeck.context import ControllerContext, Resources, fit_count, fits
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.zone_rules import count_by_zone, zone_filter
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from starlingdeck.scheduling.constraints import ConstraintKey, EligibleCandidates, constraint_key
from starlingdeck.scheduling.decision import PlacementDecision
from starlingdeck.scheduling.priority import has_quota_pressure, wait_objective_s

MAX_PREEMPTION_CANDIDATES = 64  # number of machines sampled, of which the cheapest are asked
LOST_RUN_WEIGHT = 0.3  # cost of a second of lost run time, in seconds of image fetch
# Share of the objective on waiting that a replica's image fetch may take.
SERVICE_FETCH_SHARE = 0.6
# Number of one job's tasks for which a machine is asked to preempt at once.
MAX_PREEMPTING_TASKS_PER_MACHINE = 8
SHARE_TOLERANCE = 1e-6


def fetch_too_long(context: ControllerContext, job: Job, candidate: Candidate) -> bool:
    """Return whether fetching the image to a machine takes longer than the objective on waiting.

    Always False for classes without such an objective.
    """
    # For a replica the limit is lower, because its fetch sometimes takes a third longer, and the
    # other steps of its start take time too. An array has many tasks, and each preemption for one
    # costs more than a wait near the objective.
    limit_s = wait_objective_s(context, job) * (SERVICE_FETCH_SHARE if job.spec.service else 1.0)
    return 0 < limit_s < candidate.fetch_s(job.spec.image, job.spec.image_gb)


def preemptible_ranks(context: ControllerContext, job: Job) -> int:
    """Return the rank below which the protocol allows work to be stopped for the job's tasks."""
    if has_quota_pressure(context, job):
        return len(api.RANKS)
    return job.spec.rank + job.guaranteed


def has_preemptible_work(job: Job, ranks: int, candidate: Candidate) -> bool:
    """Return whether a machine is large enough for a task and runs any work of ranks below `ranks`.

    On a full fleet most machines run no such work. When they were asked nevertheless, the requests
    and their refusals took a fifth of a controller's processor time.
    """
    return candidate.lowest_rank < ranks and fits(job.size, candidate.capacity)


def fetch_cost(job: Job) -> Callable[[Candidate], float]:
    """Return a function for the cost of fetching the job's image to a machine.

    For arrays this is the duration in seconds. For replicas it depends only on whether the machine
    has the image: otherwise the few machines with the fastest fetch would take the replicas of
    many services, and all of those would fail with one machine.
    """
    image, image_gb = job.spec.image, job.spec.image_gb
    if job.spec.service:
        return lambda candidate: 0.0 if image in candidate.images else 1.0 + image_gb
    return lambda candidate: candidate.fetch_s(image, image_gb)


def cheapest_preemptions(
    job: Job, candidates: Sequence[Candidate], now: float, rng: Random
) -> list[Candidate]:
    """Return the machines sorted by the cost of a preemption there, cheapest first.

    The cost is the image fetch and the run time lost. When machines were chosen at random, they
    stopped work that had run for half of its time, and on a full fleet a tenth of all work was
    lost.
    """
    fetch_s = fetch_cost(job)

    def cost(candidate: Candidate) -> tuple[float, float]:
        return round(
            fetch_s(candidate) + LOST_RUN_WEIGHT * candidate.preemption_loss_s(job.spec.rank, now)
        ), rng.random()

    costs = {candidate.index: cost(candidate) for candidate in candidates}
    return sorted(candidates, key=lambda candidate: costs[candidate.index])


class PreemptionPlan:
    """The machines to ask for capacity by preemption, for all jobs of one scheduling cycle.

    Similar jobs share one sorted list of machines: filtering and sorting them for each waiting job
    was by far the largest part of a cycle's processor time under overload.

    Similar jobs therefore ask the same machines. So that these don't stop more work than is needed,
    a machine is asked for no more than its whole capacity in a cycle. In all, capacity is requested
    for at most `limit` tasks.
    """

    def __init__(self, eligible: EligibleCandidates, limit: int) -> None:
        self.eligible = eligible
        self.context = eligible.context
        self.remaining = limit
        self._preemptible: dict[tuple[ConstraintKey, int, Resources], list[Candidate]] = {}
        self._ordered: dict[object, list[Candidate]] = {}
        self._requested_share: dict[int, float] = {}  # machine -> share of its capacity

    def _with_preemptible_work(self, job: Job, ranks: int) -> list[Candidate]:
        key = (constraint_key(job), ranks, job.size)
        candidates = self._preemptible.get(key)
        if candidates is None:
            candidates = [
                candidate
                for candidate in self.eligible.for_job(job)
                if has_preemptible_work(job, ranks, candidate)
            ]
            self._preemptible[key] = candidates
        return candidates

    def cheapest(self, job: Job, now: float) -> list[Candidate]:
        """Return machines that may have work to stop for a job's tasks, cheapest first."""
        ranks = preemptible_ranks(self.context, job)
        candidates = self._with_preemptible_work(job, ranks)
        if not candidates:
            return candidates
        spec = job.spec
        key = (constraint_key(job), ranks, job.size, spec.rank, spec.service, spec.image)
        ordered = self._ordered.get(key)
        if ordered is None:
            rng = self.context.rng
            if len(candidates) > MAX_PREEMPTION_CANDIDATES:
                candidates = rng.sample(candidates, MAX_PREEMPTION_CANDIDATES)
            ordered = cheapest_preemptions(job, candidates, now, rng)
            self._ordered[key] = ordered
        return ordered

    def assign(
        self, job: Job, tasks: Sequence[int], candidates: Sequence[Candidate]
    ) -> list[PlacementDecision]:
        """Assign tasks to machines to be asked, several to one machine if its capacity allows it.

        One stopped task often frees capacity for several. When each machine was asked for one task,
        four times as much work was stopped as was needed, and placing a large job took many
        seconds. Each machine is asked for only one replica, so that a machine's failure doesn't
        affect several.
        """
        zone_counts = count_by_zone(job)
        decisions: list[PlacementDecision] = []
        waiting = list(reversed(tasks[: self.remaining]))
        zone_allowed = zone_filter(job, zone_counts)
        for candidate in candidates:
            if not waiting:
                break
            capacity = candidate.capacity
            task_share = max(s / t for s, t in zip(job.size, capacity, strict=True) if t > 0)
            requested = self._requested_share.get(candidate.index, 0.0)
            limit = 1
            if not job.spec.service:
                limit = min(MAX_PREEMPTING_TASKS_PER_MACHINE, fit_count(job.size, capacity))
            while (
                waiting
                and limit > 0
                and requested + task_share <= 1 + SHARE_TOLERANCE
                and zone_allowed(candidate.zone)
            ):
                task = waiting.pop()
                limit -= 1
                requested += task_share
                job.reserving[task] = candidate.zone
                zone_counts[candidate.zone] = zone_counts.get(candidate.zone, 0) + 1
                zone_allowed = zone_filter(job, zone_counts)
                decisions.append(PlacementDecision(job, task, candidate, preempt=True))
            self._requested_share[candidate.index] = requested
        self.remaining -= len(decisions)
        return decisions

"""Chooses machines that accumulate released resources for tasks larger than the free capacity."""

from collections.abc import Sequence

from starlingdeck.context import fits
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.zone_rules import count_by_zone, zone_filter
from starlingdeck.machines.scoring import Candidate
from starlingdeck.scheduling.constraints import task_filter
from starlingdeck.scheduling.decision import PlacementDecision

RESOURCE_TOLERANCE = 1e-9  # sums of decimal amounts may be off by this


def missing_share(job: Job, candidate: Candidate) -> float:
    """Return what share of the resources in use on a machine must be released for a task to fit.

    It is the largest such share of any resource, and 0 if the task fits already. The larger it is,
    the longer the machine has to accumulate released resources.
    """
    share = 0.0
    for size, available, capacity in zip(
        job.size, candidate.available, candidate.capacity, strict=True
    ):
        if size > available + RESOURCE_TOLERANCE:
            share = max(share, (size - available) / max(capacity - available, RESOURCE_TOLERANCE))
    return share


def accumulate_capacity(
    job: Job, tasks: Sequence[int], candidates: Sequence[Candidate], accumulating: set[int]
) -> list[PlacementDecision]:
    """Choose machines that keep released resources until one of the job's tasks fits.

    In a backlog of small tasks the capacity for a larger one is never free all at once: each
    released part goes to the next small task. `accumulating` contains the machines that
    accumulate already; the chosen ones are added to it. Machines with the smallest
    `missing_share` are chosen first.
    """
    zone_counts = count_by_zone(job)
    decisions: list[PlacementDecision] = []
    usable = [
        candidate
        for candidate in candidates
        if candidate.index not in accumulating
        and min(candidate.available) >= -RESOURCE_TOLERANCE
        and fits(job.size, candidate.capacity)
    ]
    ordered = sorted(
        (missing_share(job, candidate), candidate.index, candidate) for candidate in usable
    )
    waiting = list(reversed(tasks))
    for _, _, candidate in ordered:
        if not waiting:
            break
        task = waiting[-1]
        if not task_filter(job, task, zone_filter(job, zone_counts))(candidate):
            continue
        waiting.pop()
        accumulating.add(candidate.index)
        job.reserving[task] = candidate.zone
        job.accumulating.add(task)
        zone_counts[candidate.zone] = zone_counts.get(candidate.zone, 0) + 1
        decisions.append(
            PlacementDecision(job, task, candidate, preempt=True, accumulate=True, protected=True)
        )
    return decisions

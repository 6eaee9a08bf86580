"""Determines which unfinished jobs fit within their team's guaranteed resources.

Every controller computes the same result from the jobs that all controllers publish.
"""

from collections.abc import Iterable

from msgspec import Struct

from starlingdeck.context import ControllerContext

UNLIMITED = 1e9  # cpus or gpus of a guarantee that specifies only the other resource
TOLERANCE = 1e-6  # sums of decimal amounts may be off by this


class TeamJob(Struct, frozen=True):
    """An unfinished job of any controller, with the resources of its unfinished tasks."""

    team: int
    submitted_ms: int
    id: str
    cpus: float
    gpus: float
    rank: int = 0


def team_guarantees(context: ControllerContext) -> dict[int, list[float]]:
    """Return the guaranteed [cpus, gpus] by team index, for teams with a guarantee of either."""
    teams = context.settings.settings.teams
    return {
        index: [
            team.cpus if team.cpus > 0 else UNLIMITED,
            team.gpus if team.gpus > 0 else UNLIMITED,
        ]
        for index, team in enumerate(teams)
        if team.cpus > 0 or team.gpus > 0
    }


def claim_order(jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Sort jobs as they claim their team's guarantee: highest rank first, then by submission."""
    return sorted(jobs, key=lambda job: (-job.rank, job.submitted_ms, job.id))


def within_guarantee(remaining: list[float]) -> bool:
    """Return whether neither of the [cpus, gpus] remaining of a guarantee is negative."""
    return remaining[0] >= -TOLERANCE and remaining[1] >= -TOLERANCE


def guaranteed_jobs(context: ControllerContext, jobs: Iterable[TeamJob]) -> set[str]:
    """Return the ids of the jobs that fit their team's guarantee with all jobs ahead of them.

    A team's jobs of higher rank come first, then the earlier ones. In order of submission alone,
    a backlog of low-rank jobs would use up the guarantee, and the team's urgent jobs would wait
    behind it and could not preempt it.
    """
    remaining_by_team = team_guarantees(context)
    guaranteed: set[str] = set()
    for job in claim_order(jobs):
        remaining = remaining_by_team.get(job.team)
        if remaining is None:
            continue
        remaining[0] -= job.cpus
        remaining[1] -= job.gpus
        if within_guarantee(remaining):
            guaranteed.add(job.id)
    return guaranteed


def guarantee_relevant_jobs(context: ControllerContext, jobs: Iterable[TeamJob]) -> list[TeamJob]:
    """Return those of one controller's jobs that the cluster-wide `guaranteed_jobs` depends on.

    These are, for each team with a guarantee, its jobs up to and including the first that
    doesn't fit. No job after that one can fit, whatever jobs other controllers have.
    """
    remaining_by_team = team_guarantees(context)
    relevant = []
    for job in claim_order(jobs):
        remaining = remaining_by_team.get(job.team)
        if remaining is None or not within_guarantee(remaining):
            continue
        remaining[0] -= job.cpus
        remaining[1] -= job.gpus
        relevant.append(job)
    return relevant

"""Determines the order in which waiting jobs are scheduled: guarantee, rank, slack and size."""

from collections.abc import Iterable

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job

NO_DUE_TIME_SLACK_MS = 1e9  # slack without a due time: after all jobs that can be on time
MIN_ESTIMATE_SHARE = 0.8  # of the user's run time estimate, which is often too high
STARVATION_S = 120.0  # a job that has waited longer without any task run goes before all others
SIZE_PENALTY_MS_PER_CPU_S = 5.0  # added to the slack, so that larger jobs go later
DEFAULT_QUOTA_PRESSURE_S = 5.0  # used if there is no objective on guarantees


def due_times_ms(context: ControllerContext, job: Job) -> tuple[float, ...]:
    """Return when the job is due by its class's objectives and its deadline, soonest first.

    Times are wall clock milliseconds. They are computed once per job.
    """
    if job.due_times_ms is not None:
        return job.due_times_ms
    spec, times = job.spec, set()
    for objective in context.settings.settings.objectives:
        if objective.cls != spec.cls:
            continue
        if objective.kind == "finished" and objective.within_s:
            times.add(job.submitted_ms + objective.within_s * 1000)
        elif objective.kind == "deadline" and spec.deadline_s is not None:
            times.add(job.submitted_ms + spec.deadline_s * (objective.times or 1.0) * 1000)
    if not times and spec.deadline_s is not None:
        times.add(job.submitted_ms + spec.deadline_s * 1000)
    job.due_times_ms = tuple(sorted(times))
    return job.due_times_ms


def priority_key(context: ControllerContext, job: Job, now_ms: int) -> tuple[bool, float]:
    """Return whether the job is late for every due time, and its size-weighted slack in ms.

    A large job's slack is counted as longer than it is, because when not all jobs can be on time,
    more of them are if the small ones go first. Jobs that can no longer be on time go last: ordered
    by slack alone they would go first, and make the jobs after them late as well.
    """
    run_ms = job.spec.estimate_s * MIN_ESTIMATE_SHARE * 1000
    size_ms = job.unfinished * job.spec.cpus * job.spec.estimate_s * SIZE_PENALTY_MS_PER_CPU_S
    due_times = due_times_ms(context, job)
    for due_ms in due_times:
        if due_ms - now_ms >= run_ms:
            return False, due_ms - now_ms - run_ms + size_ms
    return bool(due_times), size_ms + (NO_DUE_TIME_SLACK_MS if not due_times else 0.0)


def is_starving(job: Job, now_ms: int) -> bool:
    """Return whether a job has waited longer than `STARVATION_S` and none of its tasks has run.

    Such jobs need to go first: ordered by slack alone, a class's largest jobs waited for as long as
    smaller ones arrived, and a job that was late for its objectives waited behind all others of
    its rank.
    """
    has_run = job.completed or job.placements or job.failed_on
    return not has_run and now_ms - job.submitted_ms > STARVATION_S * 1000


def priority_order(context: ControllerContext, jobs: Iterable[Job], now_ms: int) -> list[Job]:
    """Sort jobs: guaranteed ones first, then by rank from the highest, then by `priority_key`."""

    def key(job: Job) -> tuple[bool, int, bool, float, str]:
        late, slack_ms = priority_key(context, job, now_ms)
        return (not job.guaranteed, -job.spec.rank, late, slack_ms, job.id)

    return sorted(jobs, key=key)


def has_quota_pressure(context: ControllerContext, job: Job) -> bool:
    """Return whether a guaranteed job has waited too long for its team's guaranteed resources.

    The limit is half of the tightest objective on guarantees, or `DEFAULT_QUOTA_PRESSURE_S`.
    """
    limits_s = [
        objective.within_s
        for objective in context.settings.settings.objectives
        if objective.kind == "guarantee" and objective.within_s
    ]
    waited_s = (context.wall_clock_ms() - job.submitted_ms) / 1000
    return job.guaranteed and waited_s > (
        min(limits_s) / 2 if limits_s else DEFAULT_QUOTA_PRESSURE_S
    )


def wait_objective_s(context: ControllerContext, job: Job) -> float:
    """Return the tightest objective on waiting of the job's class, in seconds; 0 without one."""
    limits_s = [
        objective.within_s
        for objective in context.settings.settings.objectives
        if objective.kind == "wait" and objective.cls == job.spec.cls and objective.within_s
    ]
    return min(limits_s, default=0.0)

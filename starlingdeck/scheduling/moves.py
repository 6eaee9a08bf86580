"""Chooses new machines for descheduled tasks, so that machines can be released (DESIGN 4)."""

from collections.abc import Mapping, Sequence

from starlingdeck.context import ControllerContext
from starlingdeck.interning import split_key
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.jobs.zone_rules import count_by_zone, zone_filter
from starlingdeck.machines import scoring
from starlingdeck.machines.scoring import Candidate
from starlingdeck.scheduling.constraints import satisfies_constraints
from starlingdeck.scheduling.decision import PlacementDecision
from starlingdeck.storage.limiter import TokenBucket

MOVE_RETRY_S = 0.3  # delay before a task that found no target is tried again


class MovePlanner:
    """Chooses targets for descheduled tasks, within the limit on moves per second."""

    def __init__(self, context: ControllerContext, writers: Mapping[int, RecordWriter]) -> None:
        self.context = context
        self.writers = writers
        self.limiter = TokenBucket(
            context.tuning.moves_per_s / context.shard_count, 1.0, context.now
        )

    def plan(self, candidates: Sequence[Candidate], now: float) -> list[PlacementDecision]:
        """Return decisions for the descheduled tasks of the job shards owned here.

        `candidates` are schedulable machines; the free capacity of the chosen ones is reduced.
        """
        decisions = []
        for writer in self.writers.values():
            for key in list(writer.shard.descheduled):
                index, task = split_key(key)
                job = writer.shard.jobs[index]
                if not _may_move(job, task, now):
                    continue
                target = self._choose_target(job, task, candidates)
                if target is None:
                    job.retry_at[task] = now + MOVE_RETRY_S
                    continue
                job.reserving[task] = target.zone
                target.available = [
                    available - size
                    for available, size in zip(target.available, job.size, strict=True)
                ]
                decisions.append(PlacementDecision(job, task, target))
        return decisions

    def _choose_target(
        self, job: Job, task: int, candidates: Sequence[Candidate]
    ) -> Candidate | None:
        """Return a machine for the task, preferably one that has its image.

        None if no machine fits or the limit on moves per second is reached.
        """
        source, tuning = job.placements[task], self.context.tuning
        zone_allowed = zone_filter(job, count_by_zone(job, source))
        fitting = [
            candidate
            for candidate in candidates
            if candidate.index != source.machine
            and zone_allowed(candidate.zone)
            and satisfies_constraints(self.context, job, candidate)
            and candidate.fits(job.size)
        ]
        ranked = scoring.choose_refit(
            fitting,
            job.size,
            tuning.refit_machines,
            tuning.refit_candidates,
            self.context.rng,
        )
        if not ranked or self.limiter.take_or_delay(1.0, True) > 0:
            return None
        cached = [candidate for candidate in ranked if job.spec.image in candidate.images]
        return (cached or ranked)[0]


def _may_move(job: Job, task: int, now: float) -> bool:
    """Return whether a descheduled task may get a target now: it has none and isn't ending."""
    if job.cancelled or job.stale or job.placements[task].target:
        return False
    if job.retry_at.get(task, 0.0) > now:
        return False
    return task not in job.pending_ends and task not in job.reserving

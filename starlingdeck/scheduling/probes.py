"""Limits how often jobs that fail wherever they run are placed once more."""

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job
from starlingdeck.storage.limiter import TokenBucket

PROBE_WRITE_SHARE = 0.05  # share of the state writes for such jobs
WRITES_PER_PROBE = 2  # the start and the end of an attempt
PROBE_BURST_S = 2.0


class ProbeLimiter:
    """Grants the jobs that fail wherever they run a small share of all state writes.

    A placement of such a job is a probe, which finds out whether it can run by now.
    """

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        writes_per_s = context.settings.settings.state.write_rps
        rate = PROBE_WRITE_SHARE * writes_per_s / WRITES_PER_PROBE / context.shard_count
        self.limiter = TokenBucket(rate, PROBE_BURST_S, context.now)

    def _is_suspect(self, job: Job, now: float) -> bool:
        return job.fails_everywhere(self.context.tuning.suspect_machines, now)

    def may_place(self, job: Job, now: float) -> bool:
        """Return whether a job may be placed now: it is no suspect, or there is a probe for it."""
        if not self._is_suspect(job, now):
            return True
        if job.reserving or job.pending_starts or job.nominated:
            return True
        probes, _ = self.limiter.available(True)
        return job.backoff_until <= now and not job.placements and probes > 0

    def count(self, job: Job, now: float) -> None:
        """Count the placement of a job as a probe if it is a suspect.

        Call this only once a machine has been chosen: a job without one takes no probe from the
        jobs after it. Asking a machine again that makes room for the job is no further probe.
        """
        if self._is_suspect(job, now):
            self.limiter.take_or_delay(1.0, True)

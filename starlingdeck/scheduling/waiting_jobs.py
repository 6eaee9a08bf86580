"""Measures how long jobs have been waiting for a machine without making progress."""

from collections.abc import Iterable

from msgspec import Struct

from starlingdeck.scheduling.decision import JobTaskCount


class WaitingJob(Struct):
    """A job with tasks that found no machine."""

    since: float
    max_progress: int  # the most tasks that were active or completed at one time
    tasks: int = 0  # tasks that found no machine in the last cycle
    last_waiting_at: float = 0.0


class WaitingJobs:
    """The jobs of this controller that wait, or waited until a short time ago."""

    def __init__(self) -> None:
        self._by_index: dict[int, WaitingJob] = {}

    def tasks(self, job: int) -> int:
        """Return how many of a job's tasks found no machine in the last cycle."""
        waiting = self._by_index.get(job)
        return waiting.tasks if waiting is not None else 0

    def record(self, unplaced: Iterable[JobTaskCount], now: float) -> float | None:
        """Record the tasks that a cycle left unplaced.

        Return the longest wait in seconds, or None if no task is unplaced.
        """
        self.clear_tasks()
        longest_s = None
        for job, tasks in unplaced:
            progress = job.active_attempts() + job.completed
            waiting = self._by_index.get(job.index)
            if waiting is None or progress > waiting.max_progress:
                # Progress restarts the wait. Tasks started and preempted repeatedly are none.
                waiting = self._by_index[job.index] = WaitingJob(now, progress)
            waiting.tasks, waiting.last_waiting_at = tasks, now
            longest_s = max(longest_s or 0.0, now - waiting.since)
        return longest_s

    def clear_tasks(self) -> None:
        """Record that no task waits now."""
        for waiting in self._by_index.values():
            waiting.tasks = 0

    def expire(self, now: float, patience_s: float) -> None:
        """Remove jobs that last waited `patience_s` ago or longer: their next wait is a new one."""
        self._by_index = {
            job: waiting
            for job, waiting in self._by_index.items()
            if now - waiting.last_waiting_at < patience_s
        }

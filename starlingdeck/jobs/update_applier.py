"""Applies updates to a job shard in memory once they are durable."""

import logging
from typing import TYPE_CHECKING

from starlingdeck.jobs.commit_log import ChunkId
from starlingdeck.jobs.job import PLACED, Job
from starlingdeck.jobs.job_update import JobUpdate
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.storage import records

if TYPE_CHECKING:
    from starlingdeck.jobs.job_shard import JobShard

log = logging.getLogger(__name__)


class UpdateApplier:
    """Applies the updates of one job shard."""

    def __init__(self, shard: "JobShard") -> None:
        self.shard = shard
        self.context = shard.context

    def apply(self, update: JobUpdate, revision: int) -> None:
        """Apply a durable update; `revision` is the version of the keys that it wrote."""
        if update.terminal_state:
            self._finish_job(update)
            return
        self._record_chunks(update, revision)
        if update.cancel:
            self._cancel(update.job)
        self._apply_ends(update)
        self._apply_starts(update, revision)

    def _finish_job(self, update: JobUpdate) -> None:
        job, shard = update.job, self.shard
        shard.remove(job.index)
        job.terminal_state = update.terminal_state
        event = counters.DONE if update.terminal_state == api.DONE else counters.CANCELLED
        self.context.counters.increment(job.spec.team, job.spec.cls, event)
        job.completed += job.newly_completed(update.pending_ends)
        shard.record_terminal_state(job.id, update.terminal_state, job.completed)
        shard.dirty_jobs.discard(job.index)
        shard.commit_log.remove_job(job.index, job.id, records.max_chunk_count(job.spec.tasks))
        shard.schedule_key_deletion(
            records.chunk_key(shard.shard, job.id, number) for number in job.key_versions if number
        )
        log.info("job finished: job=%s state=%s", job.id, update.terminal_state)

    def _record_chunks(self, update: JobUpdate, revision: int) -> None:
        """Record the new versions of rewritten chunks, and that they hold all durable commits."""
        job, commit_log = update.job, self.shard.commit_log
        for number in update.chunks:
            job.key_versions[number] = revision
            commit_log.on_checkpointed(ChunkId(job.index, number), commit_log.durable)
        if update.chunks:
            commit_log.trim_job(job.index, job.id)
        if 0 in update.chunks:
            # Writes of unknown outcome required an older version of the record: they can't be
            # executed any more.
            job.outcome_unknown = False
            job.uncertain_chunks.clear()
            job.uncertain_starts.clear()
        job.uncertain_chunks.difference_update(update.chunks)

    def _cancel(self, job: Job) -> None:
        job.cancelled = True
        job.pending_starts.clear()
        self.shard.dirty_jobs.add(job.index)
        for task in job.placements:
            self.shard.republish_task(job, task)
        log.info("job cancelled: job=%s tasks_to_stop=%d", job.id, len(job.placements))

    def _apply_ends(self, update: JobUpdate) -> None:
        job = update.job
        for task, cause in update.pending_ends.items():
            if task in job.placements:
                self.shard.remove_placement(job, task)
            if job.pending_ends.get(task) == cause:
                del job.pending_ends[task]
            evidence_before = job.failure_evidence
            job.record_end(task, cause)
            if job.failure_evidence != evidence_before:
                self.shard.republish_job(job)
            log.debug(
                "attempt end recorded: task=%s attempt=%d cause=%s completed=%d",
                api.task_name(job.id, task),
                job.attempts[task],
                api.CAUSE_NAMES.get(cause, "none"),
                job.completed,
            )

    def _apply_starts(self, update: JobUpdate, revision: int) -> None:
        job = update.job
        if update.pending_starts:
            started = len(update.pending_starts)
            self.context.counters.increment(job.spec.team, job.spec.cls, counters.STARTED, started)
        for task, placement in update.pending_starts.items():
            if job.pending_starts.get(task) is placement:
                del job.pending_starts[task]
            job.placements[task] = placement
            job.task_states[task] = PLACED
            job.attempts[task] = placement.attempt
            self.shard.add_placement(job, task, placement)
            log.info(
                "task placed: task=%s attempt=%d machine=%s session=%d revision=%d",
                api.task_name(job.id, task),
                placement.attempt,
                self.context.machine_names[placement.machine],
                placement.session,
                revision,
            )

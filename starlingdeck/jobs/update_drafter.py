"""Drafts the next writes of jobs' records, and their parts of commits of the log.

Nothing here is durable yet: `update_applier` applies a draft once it is.
"""

from typing import TYPE_CHECKING, TypeVar

import msgspec

from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.jobs.job_records import densest_chunks, encode_chunk, encode_placement
from starlingdeck.jobs.job_update import JobUpdate, LogUpdate
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import JobChange
from starlingdeck.storage.records import TASKS_PER_CHUNK, JobRecord
from starlingdeck.storage.state import delete_change, put_change

if TYPE_CHECKING:
    from starlingdeck.jobs.job_shard import JobShard

MAX_CHUNKS_PER_UPDATE = 3
RESERVED_VALUE_BYTES = 200  # of a value, left free by starts: an end or cancellation still fits
PLACEMENT_BYTES = 45  # of a placement in a record, without its names
MAX_CHUNK_OVERHEAD_BYTES = 3000  # of a chunk, without placements and the job's description
PUBLISH_DELAY_S = 0.3  # (start) from recording a start until its machine's owner knows of it
VALUE_RETRY_S = 1.0  # until starts that a value had no room for are tried again

Value = TypeVar("Value")


class UpdateDrafter:
    """Drafts the updates of one job shard."""

    def __init__(self, shard: "JobShard") -> None:
        self.shard = shard
        self.context = shard.context

    @property
    def _value_bytes(self) -> float:
        return self.context.settings.settings.state.value_kb * 1000

    # --- whole records

    def terminal_state_of(self, job: Job) -> str:
        """The state in which a job is over once its pending ends are written; "" if it goes on."""
        if job.cancelled:
            # Its user has been told so: it stays cancelled even when every task completed.
            ends = sum(1 for task in job.pending_ends if task in job.placements)
            return "" if len(job.placements) > ends else api.CANCELLED
        return api.DONE if self._completed_tasks(job) == job.spec.tasks else ""

    def _completed_tasks(self, job: Job) -> int:
        """How many tasks have completed, counting those whose end is yet to be written."""
        ended = (cause for task, cause in job.pending_ends.items() if task in job.placements)
        return job.completed + sum(cause == api.CAUSE_DONE for cause in ended)

    def draft_update(self, job: Job, max_chunks: int, with_starts: bool) -> JobUpdate | None:
        """The next write of a job's record, or None when nothing is to be written."""
        if job.terminal_state or job.stale:
            return None
        ends = _recorded_ends(job)
        starts = self._startable(job) if with_starts else {}
        if state := self.terminal_state_of(job):
            return self._draft_final(job, state, ends)
        if not ends and not starts:
            return None
        limit = min(max_chunks, self.context.settings.settings.state.txn_ops)
        chunks = densest_chunks((*ends, *starts), limit)
        return self.rewrite(job, chunks, _in_chunks(ends, chunks), _in_chunks(starts, chunks))

    def _draft_final(self, job: Job, state: str, ends: dict[int, int]) -> JobUpdate:
        """The job's final record in place of its unfinished one."""
        completed = 0 if state == api.DONE else self._completed_tasks(job)
        final = records.FinalRecord(state, job.spec.tasks, completed)
        return JobUpdate(
            job=job,
            conditions=self._conditions(job),
            changes=[
                put_change(records.final_key(self.shard.shard, job.id), final),
                delete_change(records.job_key(self.shard.shard, job.id)),
            ],
            pending_ends=ends,
            terminal_state=state,
        )

    def _conditions(self, job: Job) -> dict[str, int]:
        """That the shard is ours, and the record as we know it."""
        return {
            records.shard_key(self.shard.shard): self.shard.token,
            records.job_key(self.shard.shard, job.id): job.key_versions[0],
        }

    def _startable(self, job: Job) -> dict[int, TaskPlacement]:
        self._drop_expiring_starts(job)
        if job.cancelled:
            return {}
        return {
            task: placement
            for task, placement in job.pending_starts.items()
            if task not in job.withheld
        }

    def _drop_expiring_starts(self, job: Job) -> None:
        """Starts whose reservation expires before they are published become pending again.

        While changes are few they were recorded all the same and refused by the machine's owner:
        a quarter of the starts of an array of 25,000 tasks, each of them two changes.
        """
        published_at = self.context.now() + PUBLISH_DELAY_S
        expiring = [
            task
            for task, placement in job.pending_starts.items()
            if placement.reserved_until < published_at
        ]
        for task in expiring:
            del job.pending_starts[task]

    def rewrite(
        self, job: Job, chunks: list[int], ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> JobUpdate:
        """These chunks of a job's record as they are once `ends` and `starts` are applied."""
        conditions = self._conditions(job)
        changes = []
        for number in chunks:
            chunk = encode_chunk(
                self.context, job, number, ends, starts, self.shard.commit_log.durable
            )
            if number == 0:
                record = JobRecord(job.spec, job.submitted_ms, job.cancelled, chunk)
                changes.append(put_change(records.job_key(self.shard.shard, job.id), record))
            else:
                key = records.chunk_key(self.shard.shard, job.id, number)
                conditions[key] = job.key_versions.get(number, 0)
                changes.append(put_change(key, chunk))
        return JobUpdate(
            job=job,
            conditions=conditions,
            changes=changes,
            pending_ends=ends,
            pending_starts=starts,
            chunks=chunks,
        )

    def draft_checkpoints(self, limit: int) -> list[JobUpdate]:
        """Up to `limit` chunks of records rewritten, so that segments of the log come free."""
        chunks: dict[int, list[int]] = {}
        for index, number in self.shard.commit_log.oldest_dirty(limit):
            chunks.setdefault(index, []).append(number)
        jobs = [self.shard.jobs[index] for index in chunks if index in self.shard.jobs]
        return [
            self.rewrite(job, chunks[job.index], {}, {})
            for job in jobs
            if not (job.stale or self.context.is_quarantined("job", job.id))
        ]

    def draft_cancellation(self, job: Job) -> JobUpdate:
        """A cancellation, written before it is answered."""
        chunk = encode_chunk(self.context, job, 0, {}, {}, self.shard.commit_log.durable)
        record = JobRecord(job.spec, job.submitted_ms, True, chunk)
        return JobUpdate(
            job=job,
            conditions=self._conditions(job),
            changes=[put_change(records.job_key(self.shard.shard, job.id), record)],
            cancel=True,
            chunks=[0],
        )

    # --- parts of commits of the log

    def draft_log_change(
        self, job: Job, with_starts: bool, max_chunks: int, max_tasks: int
    ) -> LogUpdate | None:
        """A job's part of the next commit of the log, or None when nothing is to be written."""
        if job.terminal_state or job.stale:
            return None
        starts = self._startable(job) if with_starts else {}
        ends = _recorded_ends(job)
        if not ends and not starts:
            return None
        chunks = densest_chunks((*ends, *starts), max_chunks)
        ends, starts = _in_chunks(ends, chunks), _in_chunks(starts, chunks)
        ends = dict(list(ends.items())[:max_tasks])
        starts = {
            task: placement
            for task, placement in starts.items()
            if task in ends or task not in job.placements
        }
        starts = dict(list(starts.items())[: max_tasks - len(ends)])
        self._keep_to_value(job, ends, starts)
        if not ends and not starts:
            return None
        return self._log_update(job, ends, starts)

    def _log_update(
        self, job: Job, ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> LogUpdate:
        change = JobChange(
            job.id,
            starts=[encode_placement(self.context, task, start) for task, start in starts.items()],
            completed=[task for task, cause in ends.items() if cause == api.CAUSE_DONE],
            freed=[task for task, cause in ends.items() if cause != api.CAUSE_DONE],
        )
        conditions = {records.job_key(self.shard.shard, job.id): job.key_versions[0]}
        for number in change.chunks() - {0}:
            key = records.chunk_key(self.shard.shard, job.id, number)
            conditions[key] = job.key_versions.get(number, 0)
        update = JobUpdate(
            job=job, conditions=conditions, changes=[], pending_ends=ends, pending_starts=starts
        )
        return LogUpdate(update, change)

    def _keep_to_value(
        self, job: Job, ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> None:
        """Postpone starts until the records of their chunks fit a value each.

        A checkpoint and a cancellation have to rewrite them, however much the log could take.
        """
        limit = self._value_bytes - RESERVED_VALUE_BYTES
        for number in self._large_chunks(job, starts, limit):
            while tasks := [task for task in starts if task // TASKS_PER_CHUNK == number]:
                (change,) = self.rewrite(job, [number], ends, starts).changes
                size = len(msgspec.json.encode(change))
                if size <= limit:
                    break
                if len(tasks) == 1 and not job.placements:
                    raise ValueError(f"a record of {size} bytes, of {limit} allowed")
                postponed = tasks[len(tasks) // 2 :]
                for task in postponed:
                    del starts[task]
                self.postpone_starts(job, postponed)

    def postpone_starts(self, job: Job, tasks: list[int]) -> None:
        """These starts are pending again; a value had no room for them."""
        for task in tasks:
            del job.pending_starts[task]
            job.retry_at[task] = self.context.now() + VALUE_RETRY_S

    def _large_chunks(self, job: Job, starts: dict[int, TaskPlacement], limit: float) -> list[int]:
        """Chunks with starts that may not fit, by a quick bound: encoding them costs more."""
        sizes = {task // TASKS_PER_CHUNK: MAX_CHUNK_OVERHEAD_BYTES for task in starts}
        if not sizes:
            return []
        if 0 in sizes:
            sizes[0] += len(msgspec.json.encode(job.spec))
        machine_names, zone_names = self.context.machine_names, self.context.zone_names
        for task, placement in (*starts.items(), *job.placements.items()):
            number = task // TASKS_PER_CHUNK
            if number in sizes:
                names = len(machine_names[placement.machine]) + len(zone_names[placement.zone])
                sizes[number] += names + PLACEMENT_BYTES
        return [number for number, size in sizes.items() if size > limit]


def _recorded_ends(job: Job) -> dict[int, int]:
    """The pending ends of attempts that are recorded."""
    return {task: cause for task, cause in job.pending_ends.items() if task in job.placements}


def _in_chunks(tasks: dict[int, Value], chunks: list[int]) -> dict[int, Value]:
    """Those of the tasks that these chunks hold."""
    chosen = set(chunks)
    return {task: value for task, value in tasks.items() if task // TASKS_PER_CHUNK in chosen}

"""Drafts the next writes of jobs' records, and jobs' parts of commits of the log.

A draft is not durable yet: `update_applier` applies it once it has been written.
"""

import logging
from typing import TYPE_CHECKING, TypeVar

import msgspec

from starlingdeck.jobs.invariants import check_all_completed, check_places
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

log = logging.getLogger(__name__)

MAX_CHUNKS_PER_UPDATE = 3
RESERVED_VALUE_BYTES = 200  # left free by starts, so that an end or a cancellation still fits
PLACEMENT_BYTES = 45  # size of a placement in a record, without the machine's and zone's names
MAX_CHUNK_OVERHEAD_BYTES = 3000  # size of a chunk without placements and the job's description
PUBLISH_DELAY_S = 0.3  # time from drafting a start until the machine's owner receives it
VALUE_RETRY_S = 1.0  # delay before starts for which a value had no room are placed again

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
        """Return the job's terminal state once its pending ends are written; "" if it goes on."""
        if job.cancelled:
            # The cancellation may have been confirmed to the user: it holds even if every task has
            # completed.
            ends = sum(1 for task in job.pending_ends if task in job.placements)
            return "" if len(job.placements) > ends else api.CANCELLED
        return api.DONE if self._completed_tasks(job) == job.spec.tasks else ""

    def _completed_tasks(self, job: Job) -> int:
        """Return the number of completed tasks, including those whose end is yet to be written."""
        return job.completed + job.newly_completed(_recorded_ends(job))

    def draft_update(self, job: Job, max_chunks: int, with_starts: bool) -> JobUpdate | None:
        """Draft the next write of a job's record; None when nothing is to be written."""
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
        return self.draft_rewrite(job, chunks, _in_chunks(ends, chunks), _in_chunks(starts, chunks))

    def _draft_final(self, job: Job, state: str, ends: dict[int, int]) -> JobUpdate:
        """Draft the replacement of the job's unfinished record by its final one."""
        if state == api.DONE:
            check_all_completed(job, ends)
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
        """Return the conditions that this controller owns the shard and knows the newest record."""
        return {
            records.shard_key(self.shard.shard): self.shard.token,
            records.job_key(self.shard.shard, job.id): job.key_versions[0],
        }

    def _startable(self, job: Job) -> dict[int, TaskPlacement]:
        self._drop_superseded_starts(job)
        self._drop_expiring_starts(job)
        if job.cancelled:
            return {}
        starts = {
            task: placement
            for task, placement in job.pending_starts.items()
            if task not in job.withheld
        }
        check_places(self.context, job, starts)
        return starts

    def _drop_superseded_starts(self, job: Job) -> None:
        """Drop pending starts of tasks that have completed or started by another reservation."""
        superseded = [
            task
            for task, placement in job.pending_starts.items()
            if not job.may_start(task, placement.attempt)
        ]
        for task in superseded:
            placement = job.pending_starts.pop(task)
            log.info(
                "superseded start dropped: task=%s attempt=%d",
                api.task_name(job.id, task),
                placement.attempt,
            )

    def _drop_expiring_starts(self, job: Job) -> None:
        """Drop pending starts whose reservations expire before they are published.

        Their tasks wait for placement again. With a scarce write budget, such starts were recorded
        and then refused by the machine's owner: a quarter of the starts of an array of 25,000
        tasks, each of which cost two changes.
        """
        published_at = self.context.now() + PUBLISH_DELAY_S
        expiring = [
            task
            for task, placement in job.pending_starts.items()
            if placement.reserved_until < published_at
        ]
        for task in expiring:
            del job.pending_starts[task]

    def draft_rewrite(
        self, job: Job, chunks: list[int], ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> JobUpdate:
        """Draft the rewriting of `chunks` of a job's record, with `ends` and `starts` applied."""
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
        """Draft the rewriting of up to `limit` chunks, so that slots of the log become clean."""
        chunks: dict[int, list[int]] = {}
        for index, number in self.shard.commit_log.oldest_dirty(limit):
            chunks.setdefault(index, []).append(number)
        jobs = [self.shard.jobs[index] for index in chunks if index in self.shard.jobs]
        return [
            self.draft_rewrite(job, chunks[job.index], {}, {})
            for job in jobs
            if self._may_rewrite(job)
        ]

    def draft_fences(self, jobs: list[Job]) -> list[JobUpdate]:
        """Draft unchanged rewrites of jobs' records, after which no older write is executed."""
        return [self.draft_rewrite(job, [0], {}, {}) for job in jobs if self._may_rewrite(job)]

    def _may_rewrite(self, job: Job) -> bool:
        return not (job.stale or self.context.is_quarantined("job", job.id))

    def draft_cancellation(self, job: Job) -> JobUpdate:
        """Draft the cancellation of a job, which is written before the request is answered."""
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
        """Draft a job's part of the next commit of the log; None when nothing is to be written."""
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
        self._limit_to_value_size(job, ends, starts)
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

    def _limit_to_value_size(
        self, job: Job, ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> None:
        """Postpone starts until each of their chunks fits into a value.

        The log may have room for more starts, but a checkpoint or a cancellation has to write the
        whole chunk as one value.
        """
        limit = self._value_bytes - RESERVED_VALUE_BYTES
        for number in self._large_chunks(job, starts, limit):
            while tasks := [task for task in starts if task // TASKS_PER_CHUNK == number]:
                (change,) = self.draft_rewrite(job, [number], ends, starts).changes
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
        """Drop pending starts that a value had no room for; their tasks are placed again later."""
        for task in tasks:
            del job.pending_starts[task]
            job.retry_at[task] = self.context.now() + VALUE_RETRY_S

    def _large_chunks(self, job: Job, starts: dict[int, TaskPlacement], limit: float) -> list[int]:
        """Return the chunks with starts that may exceed `limit`, in bytes.

        This uses a cheap upper bound on a chunk's size, because encoding every chunk costs more.
        """
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
    """Return the pending ends of attempts that are recorded."""
    return {task: cause for task, cause in job.pending_ends.items() if task in job.placements}


def _in_chunks(tasks: dict[int, Value], chunks: list[int]) -> dict[int, Value]:
    """Return the items of `tasks` whose task belongs to one of `chunks`."""
    chosen = set(chunks)
    return {task: value for task, value in tasks.items() if task // TASKS_PER_CHUNK in chosen}

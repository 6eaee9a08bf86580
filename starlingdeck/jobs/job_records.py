"""Converts between a job in memory and its records in the state service."""

from collections import Counter
from collections.abc import Iterable

from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import DONE, PLACED, Job, TaskPlacement, new_job
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.records import (
    LOG_START,
    TASKS_PER_CHUNK,
    Chunk,
    JobRecord,
    PlacementRecord,
    Position,
)


def load_job(
    context: ControllerContext, shard: int, main: JobRecord, chunks: dict[int, Chunk]
) -> Job:
    """Build a job from its records; `chunks` are those beyond the first."""
    job = new_job(context, main.spec, shard, main.submitted_ms)
    job.cancelled = main.cancelled
    for number, chunk in {0: main.chunk, **chunks}.items():
        _load_chunk(context, job, number, chunk)
    return job


def _load_chunk(context: ControllerContext, job: Job, number: int, chunk: Chunk) -> None:
    first = number * TASKS_PER_CHUNK
    for offset in records.decode_completed(chunk.completed_bits):
        job.record_end(first + offset, api.CAUSE_DONE)
    for offset, attempts in enumerate(chunk.attempts):
        job.attempts[first + offset] = attempts
    for placed in chunk.placements:
        if job.task_states[placed.task] != DONE:  # older versions started completed tasks again
            job.task_states[placed.task] = PLACED
        job.placements[placed.task] = TaskPlacement(
            machine=context.machine_names.intern(placed.machine),
            session=placed.session,
            attempt=placed.attempt,
            shard=shard_of_machine(placed.machine, placed.zone, context.shard_zones),
            zone=context.zone_names.intern(placed.zone),
        )


def encode_placement(
    context: ControllerContext, task: int, placement: TaskPlacement
) -> PlacementRecord:
    """Return an attempt in the form that records and the commit log store."""
    machine, zone = context.machine_names[placement.machine], context.zone_names[placement.zone]
    return PlacementRecord(task, placement.attempt, machine, placement.session, zone)


def encode_chunk(
    context: ControllerContext,
    job: Job,
    number: int,
    ends: dict[int, int],
    starts: dict[int, TaskPlacement],
    upto: Position = LOG_START,
) -> Chunk:
    """Return chunk `number` as it will be once `ends` and `starts` are applied.

    It includes every commit of the log up to the position `upto`.
    """
    first = number * TASKS_PER_CHUNK
    last = min(first + TASKS_PER_CHUNK, job.spec.tasks)
    done = int(records.encode_completed(job.task_states, first, DONE) or "0", 16)
    for task, cause in ends.items():
        if first <= task < last and cause == api.CAUSE_DONE:
            done |= 1 << (task - first)
    attempts = job.attempts[first:last]
    placements = {
        task: placement
        for task, placement in job.placements.items()
        if first <= task < last and task not in ends
    }
    for task, placement in starts.items():
        if first <= task < last:
            placements[task] = placement
            attempts[task - first] = placement.attempt
    return Chunk(
        records.encode_attempts(attempts, 0),
        f"{done:x}" if done else "",
        [encode_placement(context, task, placement) for task, placement in placements.items()],
        upto,
    )


def densest_chunks(tasks: Iterable[int], limit: int) -> list[int]:
    """Return up to `limit` chunks to write first: those with the most tasks, and the lowest one.

    When chunks were taken in order of their numbers, the ends of an array's early tasks, one per
    chunk, delayed its starts, a hundred per chunk, until their reservations had expired.
    """
    counts = Counter(task // TASKS_PER_CHUNK for task in tasks)
    chosen = sorted(counts, key=lambda chunk: (-counts[chunk], chunk))[:limit]
    if counts and (lowest := min(counts)) not in chosen:
        chosen[-1] = lowest
    return sorted(chosen)

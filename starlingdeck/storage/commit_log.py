"""The stored format of a job shard's write-ahead log, and its replay over job records.

The log is a ring of keys, `w/SHARD/SLOT`. Each key holds a segment: a list of commits, each with
the transitions of many jobs. Commits are ordered by position: the fencing token under which the
writer owned the shard, then the commit's number under that token. Each chunk of a job's record
stores the position up to which all commits are applied to it (`Chunk.applied_position`). Later
transitions are replayed over the chunk in the order of their positions.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from starlingdeck.protocol.api import Entry
from starlingdeck.storage.records import (
    LOG_START,
    TASKS_PER_CHUNK,
    Chunk,
    PlacementRecord,
    Position,
)

LOG_PREFIX = "w/"
SEGMENT_FORMAT = 1  # the only supported version


class JobChange(Struct, array_like=True):
    """The transitions of one job's tasks in a commit. Ends are applied before starts."""

    job: str
    starts: list[PlacementRecord] = []
    completed: list[int] = []
    freed: list[int] = []  # tasks whose attempt has ended and that are to be retried

    def chunks(self) -> set[int]:
        """Return the numbers of the chunks of the job's record that this changes."""
        tasks = (*self.completed, *self.freed, *(start.task for start in self.starts))
        return {task // TASKS_PER_CHUNK for task in tasks}


class Commit(Struct, array_like=True):
    """Transitions that become durable in one write. `changes` are encoded JobChanges."""

    position: Position
    changes: list[msgspec.Raw]


class Segment(Struct):
    """The value of one key of the log's ring. `commits` are encoded Commits."""

    format_version: int = field(name="form")
    commits: list[msgspec.Raw]


class LoggedChange(Struct, frozen=True):
    """A job's change, with the position of its commit and the log slot that holds it."""

    position: Position
    slot: int
    change: JobChange


class UnreadableSegment(Struct, frozen=True):
    """A segment that is damaged or has an unknown format version.

    It may hold changes of any job whose record was not written after it.
    """

    slot: int
    version: int
    error: str


class LogContents(Struct):
    """The decoded content of a shard's log."""

    versions: dict[int, int] = field(default_factory=dict)  # slot -> version of its key
    newest_positions: dict[int, Position] = field(default_factory=dict)  # slot -> newest commit
    changes: dict[str, list[LoggedChange]] = field(default_factory=lambda: defaultdict(list))
    unreadable_jobs: dict[str, str] = field(default_factory=dict)  # job -> the error
    unreadable_job_slots: set[int] = field(default_factory=set)  # slots with those jobs' changes
    unreadable: list[UnreadableSegment] = field(default_factory=list)

    def changes_of(self, job: str) -> list[LoggedChange]:
        """Return a job's changes, oldest first."""
        return self.changes.get(job, [])

    def incomplete_reason(self, job: str, version: int, cancelled: bool, chunks: int) -> str:
        """Return why some of a job's transitions may be unknown; empty when all are known.

        `version` is the version of the job's record. A record of one chunk that was written after
        an unreadable segment already includes whatever the segment says about the job. This does
        not hold when the last writer was another controller that cancelled the job.
        """
        if job in self.unreadable_jobs:
            return self.unreadable_jobs[job]
        for segment in self.unreadable:
            if version < segment.version or cancelled or chunks > 1:
                return f"segment {segment.slot} of the commit log can't be read: {segment.error}"
        return ""


def log_prefix(shard: int) -> str:
    """Return the prefix of the keys of a shard's log."""
    return f"{LOG_PREFIX}{shard}/"


def segment_key(shard: int, slot: int) -> str:
    """Return the key of one slot of a shard's log."""
    return f"{LOG_PREFIX}{shard}/{slot:04d}"


def encode_commit(position: Position, changes: Sequence[bytes]) -> bytes:
    """Encode a commit of encoded JobChanges."""
    return msgspec.json.encode(Commit(position, [msgspec.Raw(change) for change in changes]))


def encode_segment(commits: Sequence[bytes]) -> msgspec.Raw:
    """Encode the value of a log key that holds these encoded commits."""
    segment = Segment(SEGMENT_FORMAT, [msgspec.Raw(commit) for commit in commits])
    return msgspec.Raw(msgspec.json.encode(segment))


def read_segments(entries: Iterable[Entry]) -> LogContents:
    """Decode a shard's log. Segments and changes that can't be decoded are listed in the result."""
    contents = LogContents()
    for entry in entries:
        slot = int(entry.key.rsplit("/", 1)[1])
        contents.versions[slot] = entry.version
        try:
            _read_segment(contents, slot, entry.value)
        except (ValueError, msgspec.DecodeError) as error:
            contents.unreadable.append(UnreadableSegment(slot, entry.version, str(error)))
    for changes in contents.changes.values():
        changes.sort(key=lambda logged: logged.position)
    return contents


def _read_segment(contents: LogContents, slot: int, value: msgspec.Raw) -> None:
    segment = msgspec.json.decode(value, type=Segment)
    if segment.format_version != SEGMENT_FORMAT:
        raise ValueError(f"format {segment.format_version}, expected {SEGMENT_FORMAT}")
    for raw in segment.commits:
        commit = msgspec.json.decode(raw, type=Commit)
        newest = contents.newest_positions.get(slot, LOG_START)
        contents.newest_positions[slot] = max(commit.position, newest)
        for change in commit.changes:
            _read_change(contents, slot, commit.position, change)


def _read_change(contents: LogContents, slot: int, position: Position, raw: msgspec.Raw) -> None:
    try:
        change = msgspec.json.decode(raw, type=JobChange)
    except msgspec.DecodeError as error:
        # If at least the job's name can be decoded, only that job is affected.
        parts: Any = msgspec.json.decode(raw)
        if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
            raise
        contents.unreadable_job_slots.add(slot)
        contents.unreadable_jobs[parts[0]] = f"an entry of the commit log can't be read: {error}"
        return
    contents.changes[change.job].append(LoggedChange(position, slot, change))


def replay(chunks: Mapping[int, Chunk], changes: Iterable[LoggedChange]) -> dict[int, Chunk]:
    """Return the chunks of a job's record with its logged changes applied.

    `changes` must be in the order of their positions. Changes that a chunk already includes are
    skipped, so that it may be rewritten before or after the segments that it makes obsolete.
    """
    replayed = dict(chunks)
    for logged in changes:
        for number in logged.change.chunks():
            chunk = replayed.get(number, Chunk())
            if logged.position > chunk.applied_position:
                replayed[number] = _apply(chunk, number, logged.change)
    return replayed


def _apply(chunk: Chunk, number: int, change: JobChange) -> Chunk:
    first, end = number * TASKS_PER_CHUNK, (number + 1) * TASKS_PER_CHUNK
    placements = {place.task: place for place in chunk.placements}
    attempts = list(chunk.attempts)
    completed = int(chunk.completed_bits or "0", 16)
    for task in (*change.completed, *change.freed):
        if first <= task < end:
            placements.pop(task, None)
    for task in change.completed:
        if first <= task < end:
            completed |= 1 << (task - first)
    for place in change.starts:
        if first <= place.task < end:
            index = place.task - first
            placements[place.task] = place
            attempts += [0] * (index + 1 - len(attempts))
            attempts[index] = place.attempt
    return Chunk(
        attempts,
        f"{completed:x}" if completed else "",
        list(placements.values()),
        chunk.applied_position,
    )


def completed_by_chunk(
    bitmaps: Mapping[int, str], changes: Iterable[LoggedChange]
) -> dict[int, int]:
    """Return the completed tasks of each chunk as bits, from the records' bitmaps and the log.

    Changes are applied whatever their position, because a completed task stays completed.
    """
    completed = {number: int(bitmap or "0", 16) for number, bitmap in bitmaps.items()}
    for logged in changes:
        for task in logged.change.completed:
            number, bit = divmod(task, TASKS_PER_CHUNK)
            completed[number] = completed.get(number, 0) | 1 << bit
    return completed

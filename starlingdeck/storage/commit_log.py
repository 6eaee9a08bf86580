"""The stored form of a job shard's write-ahead log, and how records are brought up to it.

The log is a ring of keys, `w/SHARD/SLOT`, each with a segment: some commits, each with the
transitions of many jobs. A commit's position says when it was made: the fencing token under which
its writer owned the shard, then a number. Each chunk of a job's record says up to which position
it already has everything (`Chunk.applied_position`); later transitions are replayed over it, in
the order of their positions.
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
SEGMENT_FORMAT = 1  # the only one that can be read


class JobChange(Struct, array_like=True):
    """The transitions of one job's tasks in a commit: ends are applied first, then starts."""

    job: str
    starts: list[PlacementRecord] = []
    completed: list[int] = []
    freed: list[int] = []  # their attempt has ended, and they are to be tried again

    def chunks(self) -> set[int]:
        """The numbers of the chunks of the job's record that it changes."""
        tasks = (*self.completed, *self.freed, *(start.task for start in self.starts))
        return {task // TASKS_PER_CHUNK for task in tasks}


class Commit(Struct, array_like=True):
    """All transitions that became durable at once. `changes` are encoded JobChanges."""

    position: Position
    changes: list[msgspec.Raw]


class Segment(Struct):
    """The value of one key of the ring. `commits` are encoded Commits."""

    format_version: int = field(name="form")
    commits: list[msgspec.Raw]


class LoggedChange(Struct, frozen=True):
    """A job's change, with the commit and the slot of the log that it stands in."""

    position: Position
    slot: int
    change: JobChange


class UnreadableSegment(Struct, frozen=True):
    """A segment that is damaged or of an unknown format.

    It may concern any job whose record was not written after it.
    """

    slot: int
    version: int
    error: str


class LogContents(Struct):
    """A shard's log as it was read."""

    versions: dict[int, int] = field(default_factory=dict)  # slot -> version of its key
    newest_positions: dict[int, Position] = field(default_factory=dict)  # slot -> newest commit
    changes: dict[str, list[LoggedChange]] = field(default_factory=lambda: defaultdict(list))
    unreadable_jobs: dict[str, str] = field(default_factory=dict)  # job -> the error
    unreadable_job_slots: set[int] = field(default_factory=set)  # with those jobs' changes
    unreadable: list[UnreadableSegment] = field(default_factory=list)

    def changes_of(self, job: str) -> list[LoggedChange]:
        """A job's changes, oldest first."""
        return self.changes.get(job, [])

    def incomplete_reason(self, job: str, version: int, cancelled: bool, chunks: int) -> str:
        """Why a job's transitions may not all be known; empty when they are.

        `version` is that of the job's record. A record of one chunk that was written after an
        unreadable segment has all that the segment could say of it, unless the last to write it
        was another controller that cancelled the job.
        """
        if job in self.unreadable_jobs:
            return self.unreadable_jobs[job]
        for segment in self.unreadable:
            if version < segment.version or cancelled or chunks > 1:
                return f"segment {segment.slot} of the commit log can't be read: {segment.error}"
        return ""


def log_prefix(shard: int) -> str:
    """The prefix of the keys of a shard's log."""
    return f"{LOG_PREFIX}{shard}/"


def segment_key(shard: int, slot: int) -> str:
    """The key of one slot of a shard's log."""
    return f"{LOG_PREFIX}{shard}/{slot:04d}"


def encode_commit(position: Position, changes: Sequence[bytes]) -> bytes:
    """A commit of encoded changes."""
    return msgspec.json.encode(Commit(position, [msgspec.Raw(change) for change in changes]))


def encode_segment(commits: Sequence[bytes]) -> msgspec.Raw:
    """The value of a key with these encoded commits."""
    segment = Segment(SEGMENT_FORMAT, [msgspec.Raw(commit) for commit in commits])
    return msgspec.Raw(msgspec.json.encode(segment))


def read_segments(entries: Iterable[Entry]) -> LogContents:
    """Decode a shard's segments. What can't be decoded is recorded in the result."""
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
        # Only its job is affected, if at least its name can be decoded.
        parts: Any = msgspec.json.decode(raw)
        if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
            raise
        contents.unreadable_job_slots.add(slot)
        contents.unreadable_jobs[parts[0]] = f"an entry of the commit log can't be read: {error}"
        return
    contents.changes[change.job].append(LoggedChange(position, slot, change))


def replay(chunks: Mapping[int, Chunk], changes: Iterable[LoggedChange]) -> dict[int, Chunk]:
    """The chunks of a job's record once its later changes are applied.

    `changes` come in the order of their positions. Those that a chunk already has are skipped, so
    that it may be rewritten before or after the segments that it makes superfluous.
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
    """The completed tasks of each chunk as bits, from the records' bitmaps and the log.

    A task that has completed stays so: positions don't matter here.
    """
    completed = {number: int(bitmap or "0", 16) for number, bitmap in bitmaps.items()}
    for logged in changes:
        for task in logged.change.completed:
            number, bit = divmod(task, TASKS_PER_CHUNK)
            completed[number] = completed.get(number, 0) | 1 << bit
    return completed

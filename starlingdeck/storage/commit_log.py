"""The stored form of a job shard's write-ahead log, and how records are brought up to it.

The log is a ring of keys, `w/SHARD/SLOT`, each holding a segment: some commits, each with the
transitions of many jobs. A commit's position says when it was made: the token under which its
writer took the shard, then a number. Each chunk of a job's record says up to which position it
already holds everything (`Chunk.upto`); later transitions are replayed over it, in their order.
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

LOG = "w/"
FORM = 1  # of a segment; one of another form can't be read


class JobChange(Struct, array_like=True):
    """What became of one job's tasks in a commit: ends first, then starts."""

    job: str
    starts: list[PlacementRecord] = []
    done: list[int] = []
    freed: list[int] = []  # their attempt is over, and they are to be tried again

    def chunks(self) -> set[int]:
        """The chunks of the job's record that it concerns."""
        tasks = (*self.done, *self.freed, *(start[0] for start in self.starts))
        return {task // TASKS_PER_CHUNK for task in tasks}


class Commit(Struct, array_like=True):
    """All transitions that became durable at once."""

    position: Position
    changes: list[msgspec.Raw]


class Segment(Struct):
    """What one key of the ring holds."""

    form: int
    commits: list[msgspec.Raw]


class LoggedChange(Struct, frozen=True):
    """A job's change as it stands in the log."""

    position: Position
    slot: int
    change: JobChange


class Unreadable(Struct, frozen=True):
    """A segment that is torn or of an unknown form. It may concern any job whose record was not
    written after it."""

    slot: int
    version: int
    fault: str


class LogView(Struct):
    """A shard's log as it was read."""

    versions: dict[int, int] = field(default_factory=dict)  # slot -> version of its key
    last: dict[int, Position] = field(default_factory=dict)  # slot -> its newest commit
    changes: dict[str, list[LoggedChange]] = field(default_factory=lambda: defaultdict(list))
    broken: dict[str, str] = field(default_factory=dict)  # job -> why a change of it is not read
    broken_slots: set[int] = field(default_factory=set)  # where those changes stand
    unreadable: list[Unreadable] = field(default_factory=list)

    def of(self, job: str) -> list[LoggedChange]:
        """A job's changes, oldest first."""
        return self.changes.get(job, [])

    def hides(self, job: str, version: int, cancelled: bool, chunks: int) -> str:
        """Why not all that became of a job can be known, or nothing. `version` is its record's.

        Written after a segment that can't be read, a record of one chunk has all that segment
        could say of it; not so when another controller wrote a cancellation over it.
        """
        if job in self.broken:
            return self.broken[job]
        for segment in self.unreadable:
            if version < segment.version or cancelled or chunks > 1:
                return f"segment {segment.slot} of the commit log can't be read: {segment.fault}"
        return ""


def log_prefix(shard: int) -> str:
    return f"{LOG}{shard}/"


def segment_key(shard: int, slot: int) -> str:
    return f"{LOG}{shard}/{slot:04d}"


def encode_commit(position: Position, changes: Sequence[bytes]) -> bytes:
    """A commit of changes that are encoded already."""
    return msgspec.json.encode(Commit(position, [msgspec.Raw(change) for change in changes]))


def encode_segment(commits: Sequence[bytes]) -> msgspec.Raw:
    """The value of a key that holds these commits."""
    segment = Segment(FORM, [msgspec.Raw(commit) for commit in commits])
    return msgspec.Raw(msgspec.json.encode(segment))


def read_segments(entries: Iterable[Entry]) -> LogView:
    """All that a shard's segments say, and what of them can't be read."""
    view = LogView()
    for entry in entries:
        slot = int(entry.key.rsplit("/", 1)[1])
        view.versions[slot] = entry.version
        try:
            _read_segment(view, slot, entry.value)
        except (ValueError, msgspec.DecodeError) as error:
            view.unreadable.append(Unreadable(slot, entry.version, str(error)))
    for changes in view.changes.values():
        changes.sort(key=lambda logged: logged.position)
    return view


def _read_segment(view: LogView, slot: int, value: msgspec.Raw) -> None:
    segment = msgspec.json.decode(value, type=Segment)
    if segment.form != FORM:
        raise ValueError(f"form {segment.form}")
    for raw in segment.commits:
        commit = msgspec.json.decode(raw, type=Commit)
        view.last[slot] = max(commit.position, view.last.get(slot, LOG_START))
        for change in commit.changes:
            _read_change(view, slot, commit.position, change)


def _read_change(view: LogView, slot: int, position: Position, raw: msgspec.Raw) -> None:
    try:
        change = msgspec.json.decode(raw, type=JobChange)
    except msgspec.DecodeError as error:
        # Its job alone is in question, if at least that can be told.
        named: Any = msgspec.json.decode(raw)
        if not isinstance(named, list) or not named or not isinstance(named[0], str):
            raise
        view.broken_slots.add(slot)
        view.broken[named[0]] = f"an entry of the commit log can't be read: {error}"
        return
    view.changes[change.job].append(LoggedChange(position, slot, change))


def replay(chunks: Mapping[int, Chunk], changes: Iterable[LoggedChange]) -> dict[int, Chunk]:
    """The chunks of a job's record as they are once its later changes are applied.

    `changes` come in the order of their positions. Those that a chunk already holds are passed
    over, so that it may be rewritten before or after the segments that it makes superfluous.
    """
    found = dict(chunks)
    for logged in changes:
        for number in logged.change.chunks():
            chunk = found.get(number, Chunk())
            if logged.position > chunk.upto:
                found[number] = _apply(chunk, number, logged.change)
    return found


def _apply(chunk: Chunk, number: int, change: JobChange) -> Chunk:
    first, end = number * TASKS_PER_CHUNK, (number + 1) * TASKS_PER_CHUNK
    placements = {place[0]: place for place in chunk.on}
    tries = list(chunk.tries)
    done = int(chunk.done or "0", 16)
    for task in (*change.done, *change.freed):
        if first <= task < end:
            placements.pop(task, None)
    for task in change.done:
        if first <= task < end:
            done |= 1 << (task - first)
    for place in change.starts:
        if first <= place[0] < end:
            placements[place[0]] = place
            tries += [0] * (place[0] - first + 1 - len(tries))
            tries[place[0] - first] = place[1]
    return Chunk(tries, f"{done:x}" if done else "", list(placements.values()), chunk.upto)


def done_bits(chunks: Mapping[int, str], changes: Iterable[LoggedChange]) -> dict[int, int]:
    """Which tasks of each chunk are done, as bits; `chunks` has what records say, by number.

    A task that is done stays so: positions don't matter here.
    """
    found = {number: int(text or "0", 16) for number, text in chunks.items()}
    for logged in changes:
        for task in logged.change.done:
            number, bit = divmod(task, TASKS_PER_CHUNK)
            found[number] = found.get(number, 0) | 1 << bit
    return found

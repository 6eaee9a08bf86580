"""In-memory state of an owned shard's write-ahead log.

It determines which slot of the ring takes the next commit, and which chunks of records have to be
rewritten (a checkpoint) before a slot may be reused. `storage.commit_log` defines the stored form.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

import msgspec
from msgspec import Struct, field

from starlingdeck.storage.commit_log import (
    JobChange,
    LogContents,
    LoggedChange,
    encode_commit,
    encode_segment,
    segment_key,
)
from starlingdeck.storage.records import LOG_START, Chunk, Position

MAX_SLOTS = 64
FULL_SEGMENT_BYTES = 4096  # a segment of this size takes no further commit if a slot is clean
VALUE_OVERHEAD_BYTES = 200  # size of a key's value besides its commits
CHECKPOINT_SLOTS = MAX_SLOTS // 4  # with fewer clean slots, records are rewritten
SLOTS_FOR_ENDS = 4  # clean slots that starts may not use


class LogFullError(LookupError):
    """Raised when no slot of the ring has room for a commit of the given size."""

    def __init__(self, shard: int, size: int) -> None:
        super().__init__(f"the commit log of shard {shard} has no slot for {size} bytes")


class ChunkId(NamedTuple):
    """A chunk of a job's record."""

    job: int  # the job's index
    number: int


class Slot(Struct):
    """One key of the ring."""

    version: int = 0
    last: Position = LOG_START  # position of the newest commit
    commits: list[bytes] = []
    size: int = 0  # of the commits, in bytes
    dirty: set[ChunkId] = field(default_factory=set)  # chunks whose records lack a commit of this


class PreparedCommit(Struct):
    """A commit that is about to be written, or whose outcome is unknown."""

    position: Position
    slot: int
    key: str
    version: int  # the version that the key must have for the commit to be executed
    commits: list[bytes]  # all commits that the key is to hold, the new one last
    changes: list[JobChange]
    jobs: list[int]

    @property
    def value(self) -> msgspec.Raw:
        """The new value of the key."""
        return encode_segment(self.commits)


class CommitLog:
    """The log of one job shard during one ownership. Performs no I/O."""

    def __init__(self, shard: int, token: int, value_bytes: float) -> None:
        """Create an empty log.

        `token` is the one with which the shard was acquired; `value_bytes` limits a key's value.
        """
        self.shard = shard
        self.token = token
        self.max_bytes = int(value_bytes) - VALUE_OVERHEAD_BYTES
        self.last_number = 0
        self.slots: dict[int, Slot] = {}
        self.pinned: set[int] = set()  # slots with unreadable content or jobs: never rewritten
        self.open_slot: int | None = None
        # Chunk -> the slots with commits that its record lacks.
        self.dirty_slots: defaultdict[ChunkId, set[int]] = defaultdict(set)
        # Job -> its changes in the log, for jobs whose records lack some of them.
        self.tail: defaultdict[str, list[LoggedChange]] = defaultdict(list)
        self.unresolved: PreparedCommit | None = None  # sent, outcome unknown
        self.durable: Position = LOG_START  # all commits up to here are applied in memory

    # --- what was read at a takeover

    def adopt(self, contents: LogContents) -> None:
        """Take over the slots of former owners; `adopt_job` then marks those still needed."""
        self.pinned = {segment.slot for segment in contents.unreadable}
        for slot, version in contents.versions.items():
            if slot not in self.pinned:
                self.slots[slot] = Slot(version, contents.newest_positions.get(slot, LOG_START))
        if contents.versions:
            self.durable = Position(self.token, 0)

    def pin(self, slots: Iterable[int]) -> None:
        """Exclude slots from reuse because they hold changes of a job that can't be read."""
        for slot in slots:
            self.pinned.add(slot)
            pinned = self.slots.pop(slot, None)
            for chunk in pinned.dirty if pinned is not None else ():
                self.dirty_slots[chunk].discard(slot)

    def adopt_job(
        self, index: int, name: str, chunks: Mapping[int, Chunk], changes: Sequence[LoggedChange]
    ) -> None:
        """Mark the chunks of a job's record that lack some of its changes in the log."""
        for logged in changes:
            for number in logged.change.chunks():
                if number in chunks and logged.position <= chunks[number].applied_position:
                    continue
                if logged.slot in self.slots:
                    self._mark_dirty(logged.slot, ChunkId(index, number))
        if changes:
            self.tail[name] = list(changes)

    # --- the next commit

    def free_bytes(self, for_starts: bool = False) -> int:
        """Return how large the next commit may be, in bytes.

        With `for_starts`, SLOTS_FOR_ENDS clean slots are left to ends: the slots of a job that has
        ended become clean without its records being rewritten.
        """
        clean = sum(1 for _ in self._clean_slots())
        if clean > (SLOTS_FOR_ENDS if for_starts else 0):
            return self.max_bytes
        if self.open_slot is None or (for_starts and not clean):
            return 0
        slot = self.slots[self.open_slot]
        return self.max_bytes - slot.size - 1 if slot.dirty else self.max_bytes

    def checkpoint_due(self) -> bool:
        """Return whether records have to be rewritten so that slots become clean."""
        return sum(1 for _ in self._clean_slots()) < CHECKPOINT_SLOTS

    def _clean_slots(self) -> Iterator[int]:
        """Yield the slots whose content may be overwritten, except the open one."""
        for number in range(MAX_SLOTS):
            if number in self.pinned or number == self.open_slot:
                continue
            slot = self.slots.get(number)
            if slot is None or not slot.dirty:
                yield number

    def _open_slot_takes(self, size: int) -> bool:
        if self.open_slot is None:
            return False
        slot = self.slots[self.open_slot]
        fits = slot.size + size + 1 <= self.max_bytes
        return not slot.dirty or (fits and slot.size < FULL_SEGMENT_BYTES)

    def _choose_slot(self, size: int) -> int:
        """Return the slot for a commit of this size. Raises LogFullError when none has room."""
        if self.open_slot is not None and self._open_slot_takes(size):
            return self.open_slot
        clean = min(self._clean_slots(), key=self._last_position, default=None)
        if clean is not None:
            if self.open_slot is not None:
                self.slots[self.open_slot].commits = []  # nothing is appended to it any more
            return clean
        if self.open_slot is None or self.slots[self.open_slot].size + size + 1 > self.max_bytes:
            raise LogFullError(self.shard, size)
        return self.open_slot

    def _last_position(self, number: int) -> Position:
        slot = self.slots.get(number)
        return slot.last if slot is not None else LOG_START

    def prepare(
        self, changes: list[JobChange], encoded: list[bytes], jobs: list[int]
    ) -> PreparedCommit:
        """Return the next commit and the key it goes to; `on_written` makes it part of the log.

        If the records hold all of a key's content, the commit replaces it; otherwise the commit is
        appended.
        """
        self.last_number += 1
        position = Position(self.token, self.last_number)
        commit = encode_commit(position, encoded)
        self.open_slot = self._choose_slot(len(commit))
        slot = self.slots.setdefault(self.open_slot, Slot())
        before = slot.commits if slot.dirty else []
        return PreparedCommit(
            position=position,
            slot=self.open_slot,
            key=segment_key(self.shard, self.open_slot),
            version=slot.version,
            commits=[*before, commit],
            changes=changes,
            jobs=jobs,
        )

    def on_written(self, commit: PreparedCommit, version: int) -> None:
        """Record that a commit is durable and its key has this version."""
        slot = self.slots[commit.slot]
        slot.version = version
        slot.last = commit.position
        slot.commits = commit.commits
        slot.size = _size_of(slot.commits)
        self.durable = max(self.durable, commit.position)
        for change, index in zip(commit.changes, commit.jobs, strict=True):
            for number in change.chunks():
                self._mark_dirty(commit.slot, ChunkId(index, number))
            self.tail[change.job].append(LoggedChange(commit.position, commit.slot, change))

    def fence_value(self, commit: PreparedCommit) -> msgspec.Raw:
        """Return the value of a commit's key without the commit.

        Once this is written, the commit's condition on the key's version fails for good.
        """
        return encode_segment(commit.commits[:-1])

    def on_fenced(self, commit: PreparedCommit, version: int) -> None:
        """Record that the fence is durable: the commit was not executed and never will be."""
        slot = self.slots[commit.slot]
        slot.version = version
        slot.commits = commit.commits[:-1]
        slot.size = _size_of(slot.commits)

    # --- rewritten records and finished jobs

    def _mark_dirty(self, slot: int, chunk: ChunkId) -> None:
        self.slots[slot].dirty.add(chunk)
        self.dirty_slots[chunk].add(slot)

    def on_checkpointed(self, chunk: ChunkId, upto: Position) -> None:
        """Record that a chunk's record holds all commits up to and including this position."""
        slots = self.dirty_slots.get(chunk, set())
        for number in [number for number in slots if self.slots[number].last <= upto]:
            slots.discard(number)
            self.slots[number].dirty.discard(chunk)
        if not slots:
            self.dirty_slots.pop(chunk, None)

    def remove_job(self, index: int, name: str, chunks: int) -> None:
        """Forget a finished job of `chunks` chunks: its final record replaces its changes."""
        for number in range(chunks):
            chunk = ChunkId(index, number)
            for slot in self.dirty_slots.pop(chunk, ()):
                self.slots[slot].dirty.discard(chunk)
        self.tail.pop(name, None)

    def trim_job(self, index: int, name: str) -> None:
        """Drop a job's changes from memory once its records hold all of them."""
        numbers = {n for logged in self.tail.get(name, ()) for n in logged.change.chunks()}
        if not any(ChunkId(index, number) in self.dirty_slots for number in numbers):
            self.tail.pop(name, None)

    def oldest_dirty(self, limit: int) -> list[ChunkId]:
        """Return up to `limit` chunks to rewrite so that the oldest slots become clean."""
        chunks: dict[ChunkId, None] = {}
        for slot in sorted(self.slots.values(), key=lambda slot: slot.last):
            chunks.update(dict.fromkeys(slot.dirty))
            if len(chunks) >= limit:
                break
        return list(chunks)[:limit]

    @property
    def is_empty(self) -> bool:
        """Whether no segment is stored except pinned ones."""
        return not self.slots

    @property
    def is_clean(self) -> bool:
        """Whether the records hold all changes in the log, except those in pinned slots."""
        return not self.dirty_slots

    def on_segments_deleted(self, keys: Iterable[str]) -> None:
        """Record that these segments are no longer stored."""
        for key in keys:
            self.slots.pop(int(key.rsplit("/", 1)[1]), None)
        if self.is_empty:
            self.durable = LOG_START


def _size_of(commits: list[bytes]) -> int:
    """Return the size of commits in a segment in bytes, including one separator per commit."""
    return sum(len(commit) + 1 for commit in commits)

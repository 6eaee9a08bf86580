"""An owned shard's write-ahead log in memory.

It says which slot of the ring takes the next commit, and which chunks of records have to be
rewritten (a checkpoint) before a slot may be reused. `storage.commit_log` has its stored form.
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
FULL_SEGMENT_BYTES = 4096  # (start) of a segment that takes no further commit
VALUE_OVERHEAD_BYTES = 200  # of a value, without its commits
CHECKPOINT_SLOTS = MAX_SLOTS // 4  # with fewer clean slots, records are rewritten
SLOTS_FOR_ENDS = 4  # clean slots that starts may not use


class LogFullError(LookupError):
    """No slot of the ring takes a commit of the given size."""

    def __init__(self, shard: int, size: int) -> None:
        super().__init__(f"the commit log of shard {shard} has no slot for {size} bytes")


class ChunkId(NamedTuple):
    """A chunk of a job's record."""

    job: int  # its index
    number: int


class Slot(Struct):
    """One key of the ring."""

    version: int = 0
    last: Position = LOG_START
    commits: list[bytes] = []
    size: int = 0
    dirty: set[ChunkId] = field(default_factory=set)  # chunks whose records don't hold all of it


class PreparedCommit(Struct):
    """A commit that is about to be written, or whose outcome is unknown."""

    position: Position
    slot: int
    key: str
    version: int  # that the key must have for the commit to be executed
    commits: list[bytes]  # all that the key is to hold
    changes: list[JobChange]
    jobs: list[int]

    @property
    def value(self) -> msgspec.Raw:
        """The new value of the key."""
        return encode_segment(self.commits)


class CommitLog:
    """The log of one job shard during one ownership. Nothing here waits or writes."""

    def __init__(self, shard: int, token: int, value_bytes: float) -> None:
        """`token`: with which the shard was acquired; `value_bytes`: the limit of a key's value."""
        self.shard = shard
        self.token = token
        self.max_bytes = int(value_bytes) - VALUE_OVERHEAD_BYTES
        self.last_number = 0
        self.slots: dict[int, Slot] = {}
        self.pinned: set[int] = set()  # slots that hold something unreadable: kept as they are
        self.open_slot: int | None = None
        # Chunk -> the slots that it is dirty in.
        self.dirty_slots: defaultdict[ChunkId, set[int]] = defaultdict(set)
        # Job -> its changes, while its record doesn't hold all of them.
        self.tail: defaultdict[str, list[LoggedChange]] = defaultdict(list)
        self.unresolved: PreparedCommit | None = None  # sent, outcome unknown
        self.durable: Position = LOG_START  # all commits up to here are applied in memory

    # --- as read at a takeover

    def adopt(self, view: LogContents) -> None:
        """Take over what former owners left; `adopt_job` says which of it is still needed."""
        self.pinned = {segment.slot for segment in view.unreadable}
        for slot, version in view.versions.items():
            if slot not in self.pinned:
                self.slots[slot] = Slot(version, view.newest_positions.get(slot, LOG_START))
        if view.versions:
            self.durable = Position(self.token, 0)

    def pin(self, slots: Iterable[int]) -> None:
        """Keep slots as they are, for they hold something of a job that can't be read."""
        for slot in slots:
            self.pinned.add(slot)
            pinned = self.slots.pop(slot, None)
            for chunk in pinned.dirty if pinned is not None else ():
                self.dirty_slots[chunk].discard(slot)

    def adopt_job(
        self, index: int, name: str, chunks: Mapping[int, Chunk], changes: Sequence[LoggedChange]
    ) -> None:
        """Note which of a job's changes its record doesn't hold yet."""
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
        """How large the next commit may be.

        Starts leave some slots to ends, which free what records have to be rewritten for.
        """
        clean = sum(1 for _ in self._clean_slots())
        if clean > (SLOTS_FOR_ENDS if for_starts else 0):
            return self.max_bytes
        if self.open_slot is None or (for_starts and not clean):
            return 0
        slot = self.slots[self.open_slot]
        return self.max_bytes - slot.size - 1 if slot.dirty else self.max_bytes

    def checkpoint_due(self) -> bool:
        """Whether records are to be rewritten, so that slots become clean."""
        return sum(1 for _ in self._clean_slots()) < CHECKPOINT_SLOTS

    def _clean_slots(self) -> Iterator[int]:
        """Slots that may be started afresh, without the open one."""
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
        """The slot for a commit of this size; LogFullError when none takes it."""
        if self.open_slot is not None and self._open_slot_takes(size):
            return self.open_slot
        clean = min(self._clean_slots(), key=self._last_position, default=None)
        if clean is not None:
            if self.open_slot is not None:
                self.slots[self.open_slot].commits = []  # it takes no more
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
        """The next commit and the key that takes it. It counts only once `on_written` was called.

        A key whose content is in the records altogether is started afresh, without that content.
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
        """The commit is durable: its key has this version."""
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
        """The value of its key without a commit: once written, that can't be executed any more."""
        return encode_segment(commit.commits[:-1])

    def fenced(self, commit: PreparedCommit, version: int) -> None:
        """The fence is durable: the commit was not executed and never will be."""
        slot = self.slots[commit.slot]
        slot.version = version
        slot.commits = commit.commits[:-1]
        slot.size = _size_of(slot.commits)

    # --- records that were rewritten, and jobs that are over

    def _mark_dirty(self, slot: int, chunk: ChunkId) -> None:
        self.slots[slot].dirty.add(chunk)
        self.dirty_slots[chunk].add(slot)

    def checkpointed(self, chunk: ChunkId, upto: Position) -> None:
        """A chunk's record holds all commits up to this position."""
        slots = self.dirty_slots.get(chunk, set())
        for number in [number for number in slots if self.slots[number].last <= upto]:
            slots.discard(number)
            self.slots[number].dirty.discard(chunk)
        if not slots:
            self.dirty_slots.pop(chunk, None)

    def remove_job(self, index: int, name: str, chunks: int) -> None:
        """A job of so many chunks is over: its final record says everything."""
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
        """The chunks to rewrite so that the oldest slots become clean."""
        chunks: dict[ChunkId, None] = {}
        for slot in sorted(self.slots.values(), key=lambda slot: slot.last):
            chunks.update(dict.fromkeys(slot.dirty))
            if len(chunks) >= limit:
                break
        return list(chunks)[:limit]

    @property
    def is_empty(self) -> bool:
        """Whether no segment is stored, but for pinned ones."""
        return not self.slots

    @property
    def is_clean(self) -> bool:
        """Whether the records hold everything that the log does."""
        return not self.dirty_slots

    def segments_deleted(self, keys: Iterable[str]) -> None:
        """These segments are no longer stored."""
        for key in keys:
            self.slots.pop(int(key.rsplit("/", 1)[1]), None)
        if self.is_empty:
            self.durable = LOG_START


def _size_of(commits: list[bytes]) -> int:
    """The length of commits in a segment, with a separator each."""
    return sum(len(commit) + 1 for commit in commits)

"""A held shard's write-ahead log in memory: which slot takes the next commit, and which chunks of
records still have to be rewritten before a slot may be used again.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

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
SEGMENT_BYTES = 4096  # (start) of a segment that takes no further commit
VALUE_SPARE = 200  # bytes of a value beside its commits
CHECKPOINT_AT = MAX_SLOTS // 4  # clean slots below which records are rewritten
RESERVED = 4  # slots that only ends may use

ChunkId = tuple[int, int]  # a job's index and the number of a chunk of its record


class Slot(Struct):
    """One key of the ring. `dirty`: chunks whose records don't hold all of it yet."""

    version: int = 0
    last: Position = LOG_START
    commits: list[bytes] = []
    size: int = 0
    dirty: set[ChunkId] = field(default_factory=set)


class Prepared(Struct):
    """A commit that is about to be written, or whose fate is unknown."""

    position: Position
    slot: int
    key: str
    version: int  # of the key as it has to be for the commit to be carried out
    commits: list[bytes]  # all that the key is to hold
    changes: list[JobChange]
    jobs: list[int]

    @property
    def value(self) -> msgspec.Raw:
        return encode_segment(self.commits)


class CommitLog:
    """One per job shard and hold of it. Nothing here waits or writes."""

    def __init__(self, shard: int, token: int, value_bytes: float) -> None:
        """`token`: under which the shard was taken; `value_bytes`: the limit of a key's value."""
        self.shard = shard
        self.token = token
        self.most = int(value_bytes) - VALUE_SPARE
        self.number = 0
        self.slots: dict[int, Slot] = {}
        self.lost: set[int] = set()  # slots whose segment can't be read; kept as they are
        self.open: int | None = None
        self.where: defaultdict[ChunkId, set[int]] = defaultdict(set)  # the slots it is dirty in
        self.tail: defaultdict[str, list[LoggedChange]] = defaultdict(list)
        self.unknown: Prepared | None = None
        self.durable: Position = LOG_START  # all commits up to here are in memory

    # --- as read at a takeover

    def adopt(self, view: LogContents) -> None:
        """Takes over what former holders left; `adopt_job` says which of it is still needed."""
        self.lost = {segment.slot for segment in view.unreadable}
        for slot, version in view.versions.items():
            if slot not in self.lost:
                self.slots[slot] = Slot(version, view.newest_positions.get(slot, LOG_START))
        if view.versions:
            self.durable = Position(self.token, 0)

    def pin(self, slots: Iterable[int]) -> None:
        """Slots that hold something of a job that can't be read: they stay as they are."""
        for slot in slots:
            self.lost.add(slot)
            found = self.slots.pop(slot, None)
            for chunk in found.dirty if found is not None else ():
                self.where[chunk].discard(slot)

    def adopt_job(
        self, index: int, name: str, chunks: Mapping[int, Chunk], changes: Sequence[LoggedChange]
    ) -> None:
        """Notes which of a job's changes its record doesn't hold yet."""
        for logged in changes:
            for number in logged.change.chunks():
                if number in chunks and logged.position <= chunks[number].applied_position:
                    continue
                if logged.slot in self.slots:
                    self._mark(logged.slot, (index, number))
        if changes:
            self.tail[name] = list(changes)

    # --- the next commit

    def bytes_free(self, for_starts: bool = False) -> int:
        """How large the next commit may be. Starts leave some slots to ends, which free what
        records have to be rewritten for."""
        clean = sum(1 for _ in self._clean())
        if clean > (RESERVED if for_starts else 0):
            return self.most
        if self.open is None or (for_starts and not clean):
            return 0
        slot = self.slots[self.open]
        return self.most - slot.size - 1 if slot.dirty else self.most

    def checkpoint_due(self) -> bool:
        return sum(1 for _ in self._clean()) < CHECKPOINT_AT

    def _clean(self) -> Iterator[int]:
        """Slots that may be begun anew, but for the open one."""
        for slot in range(MAX_SLOTS):
            if slot in self.lost or slot == self.open:
                continue
            found = self.slots.get(slot)
            if found is None or not found.dirty:
                yield slot

    def _open_takes(self, size: int) -> bool:
        if self.open is None:
            return False
        slot = self.slots[self.open]
        fits = slot.size + size + 1 <= self.most
        return not slot.dirty or (fits and slot.size < SEGMENT_BYTES)

    def _choose(self, size: int) -> int:
        """The slot for a commit of this size; LookupError when none takes it."""
        if self.open is not None and self._open_takes(size):
            return self.open
        clean = min(self._clean(), key=self._age, default=None)
        if clean is not None:
            if self.open is not None:
                self.slots[self.open].commits = []  # it takes no more
            return clean
        if self.open is None or self.slots[self.open].size + size + 1 > self.most:
            raise LookupError("no slot of the commit log is free")
        return self.open

    def prepare(self, changes: list[JobChange], encoded: list[bytes], jobs: list[int]) -> Prepared:
        """The next commit and the key that takes it. It counts only once `written` was called.

        A key whose content all records hold is begun anew: what they hold is left out.
        """
        self.number += 1
        position = Position(self.token, self.number)
        commit = encode_commit(position, encoded)
        self.open = self._choose(len(commit))
        slot = self.slots.setdefault(self.open, Slot())
        before = slot.commits if slot.dirty else []
        return Prepared(
            position, self.open, segment_key(self.shard, self.open), slot.version,
            [*before, commit], changes, jobs,
        )  # fmt: skip

    def _age(self, slot: int) -> Position:
        found = self.slots.get(slot)
        return found.last if found is not None else LOG_START

    def written(self, commit: Prepared, version: int) -> None:
        """The commit is durable: its key has this version."""
        slot = self.slots[commit.slot]
        slot.version = version
        slot.last = commit.position
        slot.commits = commit.commits
        slot.size = sum(len(one) + 1 for one in commit.commits)
        self.durable = max(self.durable, commit.position)
        for change, index in zip(commit.changes, commit.jobs, strict=True):
            for number in change.chunks():
                self._mark(commit.slot, (index, number))
            self.tail[change.job].append(LoggedChange(commit.position, commit.slot, change))

    def fence(self, commit: Prepared) -> msgspec.Raw:
        """What its key holds without a commit: once written, that can't be carried out any more."""
        return encode_segment(commit.commits[:-1])

    def fenced(self, commit: Prepared, version: int) -> None:
        """The fence is durable: the commit was not carried out and never will be."""
        slot = self.slots[commit.slot]
        slot.version = version
        slot.commits = commit.commits[:-1]
        slot.size = sum(len(one) + 1 for one in slot.commits)

    # --- records that were rewritten, and jobs that are over

    def _mark(self, slot: int, chunk: ChunkId) -> None:
        self.slots[slot].dirty.add(chunk)
        self.where[chunk].add(slot)

    def covered(self, chunk: ChunkId, upto: Position) -> None:
        """A chunk's record holds all commits up to there."""
        slots = self.where.get(chunk, set())
        for number in [n for n in slots if self.slots[n].last <= upto]:
            slots.discard(number)
            self.slots[number].dirty.discard(chunk)
        if not slots:
            self.where.pop(chunk, None)

    def forget(self, index: int, name: str, chunks: int) -> None:
        """A job of so many chunks is over: its final state says all."""
        for number in range(chunks):
            for slot in self.where.pop((index, number), ()):
                self.slots[slot].dirty.discard((index, number))
        self.tail.pop(name, None)

    def trim(self, index: int, name: str) -> None:
        """Drops what is kept of a job's changes once its records hold all of them."""
        numbers = {n for logged in self.tail.get(name, ()) for n in logged.change.chunks()}
        if not any((index, number) in self.where for number in numbers):
            self.tail.pop(name, None)

    def oldest_dirty(self, limit: int) -> list[ChunkId]:
        """The chunks to rewrite so that the oldest slots come free."""
        found: dict[ChunkId, None] = {}
        for slot in sorted(self.slots.values(), key=lambda s: s.last):
            found.update(dict.fromkeys(slot.dirty))
            if len(found) >= limit:
                break
        return list(found)[:limit]

    @property
    def empty(self) -> bool:
        return not self.slots

    @property
    def clean(self) -> bool:
        """No record is behind the log."""
        return not self.where

    def dropped(self, keys: Iterable[str]) -> None:
        """Segments were deleted."""
        for key in keys:
            self.slots.pop(int(key.rsplit("/", 1)[1]), None)
        if self.empty:
            self.durable = LOG_START

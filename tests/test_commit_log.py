"""The commit log: its stored form against a simple model, and failure cases of its writing.

Each failure case is also run without the safeguard it tests, and has to fail then.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.jobs import commit_log, group_commit
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.group_commit import GroupCommit
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_records import encode_chunk
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.loader import Loader
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.jobs.update_drafter import UpdateDrafter
from starlingdeck.protocol import api
from starlingdeck.protocol.config import Tuning
from starlingdeck.storage import commit_log as stored
from starlingdeck.storage import records
from starlingdeck.storage.records import (
    LOG_START,
    TASKS_PER_CHUNK,
    Chunk,
    JobRecord,
    PlacementRecord,
    Position,
)
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateError,
    TransactionConflictError,
    put_change,
)
from tests.support.builders import GROUP_COMMIT, Clock, make_context, spec
from tests.support.reference_model import FakeStateService

Patch = pytest.MonkeyPatch
JOB, OTHER = "j-000001", "j-000002"
SHARD = 0
VALUE_BYTES, TXN_OPS, TXN_BYTES = (
    16 * 1024,
    12,
    64 * 1024,
)  # the first two are for tests, the last is the protocol's


# --- a simple state service that enforces the protocol's limits


@dataclass
class StrictStateClient:
    """Enforces the protocol's limits; `outcomes` are those of the next transactions."""

    state: FakeStateService
    outcomes: list[str] = field(default_factory=list)
    late: list[tuple[dict[str, int], list[api.Change]]] = field(default_factory=list)
    refuse: Callable[[list[api.Change]], bool] = lambda changes: False
    changes: int = 0
    largest_value: int = 0  # in bytes

    def available_writes(self, urgent: bool) -> tuple[int, float]:
        return 1000, 0.0

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        changes = [
            api.Change(c.put, msgspec.Raw(msgspec.json.encode(c.value)), None, c.delete)
            for c in changes
        ]
        self.check_limits(conditions, changes)
        outcome = self.outcomes.pop(0) if self.outcomes else "executed"
        if outcome == "refused" or self.refuse(changes):
            raise StateError("429")
        if outcome == "late":
            self.late.append((dict(conditions), changes))
            raise OutcomeUnknownError("no answer, yet")
        failed = self.state.apply(conditions, changes)
        if outcome == "unanswered":
            raise OutcomeUnknownError("no answer")
        if failed:
            raise TransactionConflictError(failed)
        self.changes += len(changes)
        return self.state.revision

    def check_limits(self, conditions: dict[str, int], changes: list[api.Change]) -> None:
        assert len(changes) <= TXN_OPS
        assert len(conditions) <= 4 * TXN_OPS
        sizes = [len(bytes(c.value)) for c in changes if c.put is not None]
        self.largest_value = max([self.largest_value, *sizes])
        body = api.Transaction([api.Condition(k, v) for k, v in conditions.items()], changes)
        assert self.largest_value <= VALUE_BYTES
        assert len(msgspec.json.encode(body)) <= TXN_BYTES

    def execute_late(self) -> list[list[str]]:
        """Execute the delayed transactions; return each one's failed conditions."""
        delayed, self.late = self.late, []
        return [self.state.apply(conditions, changes) for conditions, changes in delayed]

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        found = self.state.keys.get(key)
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        found = [
            api.Entry(k, msgspec.Raw(v), stamp)
            for k, (v, stamp) in sorted(self.state.keys.items())
            if k.startswith(prefix)
        ]
        return found, self.state.revision


class ShardOwner:
    """A shard's owner: its record writer with the commit log, and actions for tests."""

    def __init__(
        self, client: StrictStateClient, clock: Clock, tuning: Tuning = GROUP_COMMIT
    ) -> None:
        self.client, self.clock = client, clock
        self.context = make_context(clock)
        self.context.tuning = tuning
        self.context.machine_names.intern("vm-0")
        self.context.zone_names.intern("a")
        key = records.shard_key(SHARD)
        version = client.state.keys.get(key, (b"", 0))[1]
        assert not client.state.apply({key: version}, [put_change(key, records.ShardValue(0, 1))])
        self.token = client.state.revision
        self.shard = JobShard(self.context, SHARD, self.token, 1)
        self.writer = RecordWriter(self.context, client, self.shard)  # type: ignore[arg-type]  # a test double
        curio.run(self.writer.load)

    def accept(self, name: str = JOB, tasks: int = 3, **other: Any) -> Job:
        body = spec(name, chores=tasks, **other)
        job = new_job(self.context, body, SHARD, 0)
        main = records.job_key(SHARD, name)
        assert not self.client.state.apply({main: 0}, [put_change(main, JobRecord(body, 0))])
        job.key_versions[0] = self.client.state.revision
        self.shard.jobs[job.index] = job
        return job

    def job(self, name: str = JOB) -> Job:
        return self.shard.jobs[self.context.job_names.find(name) or 0]

    def start(self, *tasks: int, name: str = JOB, machine: str = "vm-0") -> None:
        job = self.job(name)
        for task in tasks:
            index = self.context.machine_names.intern(machine)
            job.pending_starts[task] = TaskPlacement(
                index, 1, job.attempts[task] + 1, 0, 0, state_since=self.clock.at
            )
        self.shard.dirty_jobs.add(job.index)

    def end(self, *tasks: int, name: str = JOB, error: int = api.CAUSE_DONE) -> None:
        job = self.job(name)
        for task in tasks:
            job.pending_ends[task] = error
        self.shard.dirty_jobs.add(job.index)

    def flush(self, times: int = 4) -> None:
        """Flush several times, advancing the clock so that waiting changes become due.

        A refused write is tried again.
        """
        for _ in range(times):
            for wait_s in (0.0, 1.5):
                self.clock.at += wait_s
                try:
                    while curio.run(self.writer.flush):
                        pass
                except StateError:
                    continue

    def recorded(self, name: str = JOB) -> tuple[dict[int, int], int]:
        """Return the recorded attempts by task, and how many tasks are done."""
        job = self.job(name)
        return {
            task: placement.attempt for task, placement in job.placements.items()
        }, job.completed

    def log_keys(self) -> list[str]:
        return [k for k in self.client.state.keys if k.startswith(stored.LOG_PREFIX)]


def client_and_clock() -> tuple[StrictStateClient, Clock]:
    return StrictStateClient(FakeStateService(random.Random(1))), Clock()


def take_over(before: ShardOwner, tuning: Tuning = GROUP_COMMIT) -> ShardOwner:
    """Have the shard taken over by another process; return its new owner."""
    return ShardOwner(before.client, before.clock, tuning)


# --- the stored form

Step = tuple[str, int]  # what happens to a task


def model_state(
    history: list[list[Step]], tasks: int
) -> tuple[dict[int, int], set[int], dict[int, int]]:
    """Return the state after all commits: running attempts, tasks done, and attempts used.

    A commit ends attempts of earlier commits, since nothing runs before its start is durable.
    """
    on: dict[int, int] = {}
    done: set[int] = set()
    tries: dict[int, int] = {}
    for commit in history:
        for what, task in sorted(commit):  # ends are applied first
            if what == "start" and task not in on and task not in done:
                tries[task] = tries.get(task, 0) + 1
                on[task] = tries[task]
            elif what in ("done", "freed") and task in on:
                del on[task]
                if what == "done":
                    done.add(task)
    return on, done, tries


def change_of(history: list[list[Step]], number: int, tasks: int) -> stored.JobChange:
    """Return the change that an owner would write for one commit."""
    before, after = model_state(history[:number], tasks), model_state(history[: number + 1], tasks)
    ended = [t for t, attempt in before[0].items() if after[0].get(t) != attempt]
    return stored.JobChange(
        JOB,
        [PlacementRecord(t, a, "m", 1, "z") for t, a in after[0].items() if before[0].get(t) != a],
        [t for t in ended if t in after[1]],
        [t for t in ended if t not in after[1]],
    )


steps = st.tuples(
    st.sampled_from(["start", "start", "done", "freed"]), st.integers(0, 2 * TASKS_PER_CHUNK - 1)
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(st.lists(steps, max_size=12), min_size=1, max_size=12),
    st.lists(st.integers(0, 12), min_size=2, max_size=2),
)
def test_replay_over_chunks_rewritten_at_any_commit_gives_the_committed_state(
    history: list[list[Step]], written: list[int]
) -> None:
    """Each chunk was last rewritten after any commit; the segments it covers are stored or not."""
    tasks = 2 * TASKS_PER_CHUNK
    logged = [
        stored.LoggedChange(Position(5, n + 1), 0, change_of(history, n, tasks))
        for n in range(len(history))
    ]
    chunks = {}
    for number, written_upto in enumerate(written):
        upto = min(written_upto, len(history))
        whole = stored.replay({}, logged[:upto]).get(number, Chunk())
        chunks[number] = Chunk(
            whole.attempts,
            whole.completed_bits,
            whole.placements,
            Position(5, upto) if upto else LOG_START,
        )
    # Commits that all chunks include may be in the log or deleted from it.
    for first in (0, min(*written, len(history))):
        found = stored.replay(chunks, logged[first:])
        on = {p.task: p.attempt for chunk in found.values() for p in chunk.placements}
        bits = stored.completed_by_chunk(
            {n: c.completed_bits for n, c in found.items()}, logged[first:]
        )
        done = {
            n * TASKS_PER_CHUNK + i
            for n, b in bits.items()
            for i in range(TASKS_PER_CHUNK)
            if b >> i & 1
        }
        tries = {
            n * TASKS_PER_CHUNK + i: t
            for n, c in found.items()
            for i, t in enumerate(c.attempts)
            if t
        }
        assert (on, done, tries) == model_state(history, tasks)


def test_records_without_a_log_have_no_log_fields() -> None:
    """An earlier version, which doesn't know the log's fields, still has to read the records."""
    owner = ShardOwner(*client_and_clock(), tuning=Tuning())
    owner.accept()
    owner.start(0, 1)
    owner.flush()
    text = owner.client.state.keys[records.job_key(SHARD, JOB)][0]
    assert b"upto" not in text
    assert not owner.log_keys()
    assert b"logged" not in owner.client.state.keys[records.shard_key(SHARD)][0]
    assert owner.recorded() == ({0: 1, 1: 1}, 0)


def test_commit_of_many_jobs_writes_one_key() -> None:
    owner = ShardOwner(*client_and_clock())
    names = [f"j-{n:06d}" for n in range(40)]
    for name in names:
        owner.accept(name)
        owner.start(0, 1, name=name)
    owner.flush(2)
    assert owner.client.changes == 1
    assert len(owner.log_keys()) == 1
    assert all(owner.recorded(name) == ({0: 1, 1: 1}, 0) for name in names)


def test_urgent_start_is_committed_early_together_with_waiting_starts() -> None:
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB)
    owner.accept(OTHER, rank="urgent")
    owner.start(0)
    curio.run(owner.writer.flush)
    owner.clock.at += 0.2
    curio.run(owner.writer.flush)
    assert owner.recorded() == ({}, 0)  # not yet due
    owner.start(0, name=OTHER)
    curio.run(owner.writer.flush)
    owner.clock.at += 0.11
    curio.run(owner.writer.flush)
    # The commit is due for the urgent start, and includes the other one that waits.
    assert owner.recorded(OTHER) == ({0: 1}, 0)
    assert owner.recorded() == ({0: 1}, 0)


# --- failure cases: each raises AssertionError when it fails


def lost_answer() -> None:
    """A commit is executed, but its answer is lost.

    Its outcome is resolved before the next write, and nothing is written twice.
    """
    owner = ShardOwner(*client_and_clock())
    owner.accept()
    owner.start(0, 1)
    owner.client.outcomes = ["unanswered"]
    owner.flush()
    assert owner.recorded() == ({0: 1, 1: 1}, 0)
    owner.end(0)
    owner.flush()
    assert take_over(owner).recorded() == owner.recorded() == ({1: 1}, 1)


def late_commit() -> None:
    """A commit is delayed and given up: when it arrives later, it changes nothing any more."""
    owner = ShardOwner(*client_and_clock())
    owner.accept()
    owner.start(0, machine="vm-1")
    owner.client.outcomes = ["late"]
    owner.flush(1)
    # The start's reservation expires; the commit arrives before anything else is written.
    owner.job().pending_starts.clear()
    owner.flush(1)
    owner.client.execute_late()
    assert read_elsewhere(owner).recorded() == owner.recorded() == ({}, 0)
    owner.start(0, machine="vm-2")
    owner.flush(2)
    after = take_over(owner)
    assert after.context.machine_names[after.job().placements[0].machine] == "vm-2"
    assert after.recorded() == owner.recorded()


def takeover_during_commit() -> None:
    """A commit of the former owner arrives after another one has taken over the shard."""
    owner = ShardOwner(*client_and_clock())
    owner.accept()
    owner.start(0)
    owner.client.outcomes = ["late"]
    owner.flush(1)
    after = take_over(owner)
    assert all(owner.client.execute_late())
    after.start(0, machine="vm-9")
    after.flush()
    last = take_over(after)
    assert last.context.machine_names[last.job().placements[0].machine] == "vm-9"


def checkpoint_and_crash() -> None:
    """Slots are reused only once the records hold their changes, so that a crash loses nothing."""
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB, tasks=3 * TASKS_PER_CHUNK)
    expected = {}
    for number in range(40):
        task = (number * 37) % (3 * TASKS_PER_CHUNK)
        owner.start(task)
        owner.flush(1)
        expected[task] = 1
        if number % 7 == 0:
            assert read_elsewhere(owner).recorded() == (expected, 0)
    assert len(owner.log_keys()) <= 6
    assert take_over(owner).recorded() == (expected, 0)


def read_elsewhere(owner: ShardOwner) -> ShardOwner:
    """Return an owner that has read a copy of the state; the shard itself isn't taken over."""
    copy = FakeStateService(owner.client.state.rng)
    copy.keys, copy.revision = dict(owner.client.state.keys), owner.client.state.revision
    return ShardOwner(StrictStateClient(copy), owner.clock)


def cancelled_elsewhere() -> None:
    """Another controller writes a cancellation to a record that lacks changes in the log.

    The running attempts stay known, and no more are started.
    """
    owner = ShardOwner(*client_and_clock())
    owner.accept()
    owner.start(0)
    owner.flush()
    main = records.job_key(SHARD, JOB)
    record = msgspec.json.decode(owner.client.state.keys[main][0], type=JobRecord)
    record.cancelled = True
    version = owner.client.state.keys[main][1]
    assert not owner.client.state.apply({main: version}, [put_change(main, record)])
    owner.start(1)
    owner.flush()
    assert owner.job().cancelled
    assert owner.recorded() == ({0: 1}, 0)
    assert take_over(owner).recorded() == ({0: 1}, 0)


def chunk_written_late() -> None:
    """The delayed rewriting of a further chunk is executed after a newer commit."""
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB, tasks=2 * TASKS_PER_CHUNK)
    owner.start(TASKS_PER_CHUNK, machine="vm-1")
    owner.flush()
    chunk = owner.shard.drafter.draft_rewrite(owner.job(), [1], {}, {})
    owner.client.outcomes = ["late"]
    with pytest.raises(OutcomeUnknownError):
        curio.run(owner.writer._write, [chunk], False)
    owner.end(TASKS_PER_CHUNK, error=api.CAUSE_ERROR)
    owner.flush()
    owner.client.execute_late()
    owner.start(TASKS_PER_CHUNK, machine="vm-2")
    owner.flush()  # fails because of the chunk's new version, and reads the job again
    assert read_elsewhere(owner).recorded() == owner.recorded() == ({}, 0)
    owner.start(TASKS_PER_CHUNK, machine="vm-2")
    owner.flush()
    after = take_over(owner)
    assert after.recorded() == owner.recorded() == ({TASKS_PER_CHUNK: 2}, 0)


def older_segment_kept() -> None:
    """A newer segment is reused (here: deleted) before an older one, which another job still needs.

    The older segment's change of a record that was rewritten since is not applied to it again.
    """
    owner = ShardOwner(*client_and_clock())
    for name in (JOB, OTHER):
        owner.accept(name)
        owner.start(0, name=name)
    owner.flush()
    owner.end(0, name=OTHER, error=api.CAUSE_ERROR)
    owner.flush()
    older, newer = owner.log_keys()
    rewritten = owner.shard.drafter.draft_rewrite(owner.job(OTHER), [0], {}, {})
    assert curio.run(owner.writer._write, [rewritten], False)
    dirty = [bool(slot.dirty) for _, slot in sorted(owner.shard.commit_log.slots.items())]
    assert dirty == [True, False]
    assert not owner.client.state.apply({}, [api.Change(delete=newer)])
    assert take_over(owner).recorded(OTHER) == ({}, 0)
    assert older in owner.log_keys()


def large_array() -> None:
    """With 100,000 tasks, values, transactions and conditions stay within their limits."""
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB, tasks=100_000)
    tasks = [*range(900), *range(1000, 100_000, 97)]
    owner.start(*tasks)
    owner.flush(20)
    assert len(owner.recorded()[0]) == len(tasks)
    owner.end(*tasks[:500])
    owner.flush(20)
    assert owner.recorded()[1] == 500
    assert take_over(owner).recorded() == owner.recorded()


def large_record() -> None:
    """The log has room for all starts of a job, but its record doesn't.

    The record has a long description and long machine names. It must still be possible to rewrite
    it for a checkpoint and for a cancellation.
    """
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB, tasks=TASKS_PER_CHUNK, builds=["x" * 100] * 30)
    for first in range(0, TASKS_PER_CHUNK, 32):
        owner.start(*range(first, first + 32), machine="m" * 90)
        owner.flush(1)
    running = len(owner.recorded()[0])
    assert 32 < running < TASKS_PER_CHUNK
    checkpoint = owner.shard.drafter.draft_rewrite(owner.job(), [0], {}, {})
    assert curio.run(owner.writer._write, [checkpoint], False)
    curio.run(owner.writer.cancel, owner.job())
    assert owner.job().cancelled
    assert len(take_over(owner).recorded()[0]) == running


def unreadable_change() -> None:
    """A job with a change that can't be read is quarantined, and none of its tasks starts.

    Other jobs go on, and the unreadable change stays stored.
    """
    owner = ShardOwner(*client_and_clock())
    for name in (JOB, OTHER):
        owner.accept(name)
        owner.start(0, name=name)
    owner.flush()
    (key,) = owner.log_keys()
    text = owner.client.state.keys[key][0]
    damaged = text.replace(f'["{JOB}",[[0,'.encode(), f'["{JOB}",[["x",'.encode())
    assert damaged != text
    owner.client.state.apply({}, [put_change(key, msgspec.Raw(damaged))])
    after = take_over(owner)
    assert JOB not in {job.id for job in after.shard.jobs.values()}
    assert after.recorded(OTHER) == ({0: 1}, 0)
    assert records.job_key(SHARD, JOB) in after.client.state.keys
    with pytest.raises(StateError):
        curio.run(after.writer.reload, JOB)
    for number in range(2 * commit_log.MAX_SLOTS):
        after.end(0, name=OTHER, error=api.CAUSE_ERROR)
        after.flush(1)
        after.start(0, name=OTHER)
        after.flush(1)
        assert after.recorded(OTHER)[0] == {0: number + 2}
    assert after.client.state.keys[key][0] == damaged


def unknown_segment_format() -> None:
    """No task starts of any job that a segment of unknown format may concern."""
    owner = ShardOwner(*client_and_clock())
    owner.accept(JOB)
    owner.start(0)
    owner.flush()
    (key,) = owner.log_keys()
    strange = {"form": 99, "commits": "more than we know"}
    owner.client.state.apply({}, [put_change(key, strange)])
    owner.accept(OTHER)
    after = take_over(owner)
    assert {job.id for job in after.shard.jobs.values()} == {OTHER}
    after.start(0, name=OTHER)
    after.flush()
    assert after.recorded(OTHER) == ({0: 1}, 0)
    assert msgspec.json.decode(after.client.state.keys[key][0]) == strange


def full_log() -> None:
    """Checkpoints are refused until the log is full: starts wait, ends and cancellations go on."""
    owner = ShardOwner(*client_and_clock())
    for name in (JOB, OTHER):
        owner.accept(name, tasks=200)
    owner.client.refuse = lambda changes: any(
        (c.put or "").startswith("j/") and b'"cancelled":true' not in bytes(c.value)
        for c in changes
    )
    task = 0
    while owner.writer.group_commit.may_start():
        owner.start(task)
        owner.flush(1)
        task += 1
        assert task < 200
    owner.start(task)
    owner.flush()
    assert task not in owner.job().placements
    owner.end(*range(10))
    owner.flush()
    assert owner.recorded()[1] == 10
    curio.run(owner.writer.cancel, owner.job(OTHER))
    assert owner.job(OTHER).cancelled
    owner.client.refuse = lambda changes: False
    owner.flush(10)
    assert task in owner.job().placements
    assert take_over(owner).recorded() == owner.recorded()


def log_switched_off() -> None:
    """A controller that doesn't write the log writes all its changes to records, then deletes it.

    The records alone then hold the whole state, as a controller without the log reads it.
    """
    owner = ShardOwner(*client_and_clock())
    for name in (JOB, OTHER):
        owner.accept(name, tasks=2 * TASKS_PER_CHUNK)
        owner.start(0, TASKS_PER_CHUNK + 1, name=name)
    owner.flush()
    owner.end(0)
    owner.flush()
    after = take_over(owner, Tuning())
    after.flush()
    assert not after.log_keys()
    assert after.recorded() == ({TASKS_PER_CHUNK + 1: 1}, 1)
    keys = after.client.state.keys
    main = msgspec.json.decode(keys[records.job_key(SHARD, JOB)][0], type=JobRecord)
    further = msgspec.json.decode(keys[records.chunk_key(SHARD, JOB, 1)][0], type=Chunk)
    assert main.chunk.completed_bits == "1"
    assert [p.task for p in further.placements] == [TASKS_PER_CHUNK + 1]


CASES = [
    lost_answer,
    late_commit,
    takeover_during_commit,
    checkpoint_and_crash,
    cancelled_elsewhere,
    chunk_written_late,
    older_segment_kept,
    large_array,
    large_record,
    unreadable_change,
    unknown_segment_format,
    full_log,
    log_switched_off,
]


@pytest.fixture
def small_ring(monkeypatch: Patch) -> None:
    """Shrink the log's ring and segments so that slots are reused soon."""
    monkeypatch.setattr(commit_log, "MAX_SLOTS", 6)
    monkeypatch.setattr(commit_log, "CHECKPOINT_SLOTS", 2)
    monkeypatch.setattr(commit_log, "SLOTS_FOR_ENDS", 2)
    monkeypatch.setattr(commit_log, "FULL_SEGMENT_BYTES", 80)


@pytest.mark.usefixtures("small_ring")
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_failure_case(case: Callable[[], None]) -> None:
    case()


# --- the same cases without their safeguards


def no_fence(monkeypatch: Patch) -> None:
    async def skip(self: GroupCommit, commit: Any) -> None:
        return None

    monkeypatch.setattr(GroupCommit, "_fence", skip)


def outcome_not_resolved(monkeypatch: Patch) -> None:
    async def forget(self: GroupCommit) -> None:
        self.shard.commit_log.unresolved = None

    monkeypatch.setattr(GroupCommit, "settle", forget)


def token_not_checked(monkeypatch: Patch) -> None:
    original = StrictStateClient.transact

    async def transact(self: StrictStateClient, conditions: dict[str, int], *rest: Any) -> int:
        left = {k: v for k, v in conditions.items() if not k.startswith("c/s/")}
        return await original(self, left, *rest)

    monkeypatch.setattr(StrictStateClient, "transact", transact)


def record_versions_not_checked(monkeypatch: Patch) -> None:
    original = GroupCommit.collect

    def collect(self: GroupCommit) -> group_commit.Batch:
        batch = original(self)
        batch.conditions = {}
        return batch

    monkeypatch.setattr(GroupCommit, "collect", collect)


def slots_reused_before_checkpoint(monkeypatch: Patch) -> None:
    def clean(self: CommitLog) -> Any:
        return (
            s for s in range(commit_log.MAX_SLOTS) if s not in self.pinned and s != self.open_slot
        )

    monkeypatch.setattr(CommitLog, "_clean_slots", clean)


def records_without_position(monkeypatch: Patch) -> None:
    def without(*args: Any) -> Chunk:
        return encode_chunk(*args[:5])

    monkeypatch.setattr("starlingdeck.jobs.update_drafter.encode_chunk", without)


def replay_skipped(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "adopt_job", lambda self, *rest: None)


def slots_not_pinned(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "pin", lambda self, slots: None)


def unreadable_changes_ignored(monkeypatch: Patch) -> None:
    monkeypatch.setattr(stored.LogContents, "incomplete_reason", lambda self, *rest: "")


def tasks_not_bounded(monkeypatch: Patch) -> None:
    monkeypatch.setattr(group_commit, "MAX_TASKS_PER_CHANGE", 100_000)
    monkeypatch.setattr(commit_log, "VALUE_OVERHEAD_BYTES", -100_000)


def records_not_bounded(monkeypatch: Patch) -> None:
    monkeypatch.setattr(UpdateDrafter, "_limit_to_value_size", lambda self, *rest: None)


def no_slots_reserved(monkeypatch: Patch) -> None:
    monkeypatch.setattr(GroupCommit, "may_start", lambda self: True)
    monkeypatch.setattr(GroupCommit, "uses_commit_log", lambda self, job: True)


def log_deleted_too_early(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "is_clean", property(lambda self: True))


REMOVED_SAFEGUARDS = [
    (outcome_not_resolved, lost_answer),
    (no_fence, late_commit),
    (token_not_checked, takeover_during_commit),
    (slots_reused_before_checkpoint, checkpoint_and_crash),
    (replay_skipped, checkpoint_and_crash),
    (record_versions_not_checked, cancelled_elsewhere),
    (records_without_position, older_segment_kept),
    (tasks_not_bounded, large_array),
    (records_not_bounded, large_record),
    (unreadable_changes_ignored, unreadable_change),
    (slots_not_pinned, unreadable_change),
    (unreadable_changes_ignored, unknown_segment_format),
    (no_slots_reserved, full_log),
    (log_deleted_too_early, log_switched_off),
]


@pytest.mark.usefixtures("small_ring")
@pytest.mark.parametrize(
    ("remove_safeguard", "case"),
    REMOVED_SAFEGUARDS,
    ids=[f"{r.__name__}-{c.__name__}" for r, c in REMOVED_SAFEGUARDS],
)
def test_failure_case_without_its_safeguard_fails(
    monkeypatch: Patch, remove_safeguard: Callable[[Patch], None], case: Callable[[], None]
) -> None:
    remove_safeguard(monkeypatch)
    with pytest.raises((AssertionError, LookupError, KeyError, TransactionConflictError)):
        case()


# --- chunks of finished jobs, and reading of jobs again


def test_chunks_of_finished_arrays_are_deleted(monkeypatch: Patch) -> None:
    """Chunks of finished arrays were kept for ever, and every takeover read them.

    Chunks that earlier versions left behind are deleted as well.
    """
    owner = ShardOwner(*client_and_clock(), tuning=Tuning())
    owner.accept(JOB, tasks=2 * TASKS_PER_CHUNK)
    tasks = list(range(2 * TASKS_PER_CHUNK))
    for first in range(0, len(tasks), 64):
        owner.start(*tasks[first : first + 64])
        owner.flush(1)
    chunk = records.chunk_key(SHARD, JOB, 1)
    left = records.chunk_key(SHARD, OTHER, 3)
    assert not owner.client.state.apply({}, [put_change(left, Chunk())])
    owner.end(*tasks)
    owner.flush(1)
    assert records.final_key(SHARD, JOB) in owner.client.state.keys
    assert chunk in owner.client.state.keys  # a status query that began earlier still reads it
    owner.flush(12)
    assert chunk not in owner.client.state.keys
    after = take_over(owner, Tuning())
    after.flush(12)
    assert left not in after.client.state.keys


def test_reload_waits_for_the_outcome_of_a_commit(monkeypatch: Patch) -> None:
    """A job read before the outcome is known would be reported as it was before the commit."""
    owner = ShardOwner(*client_and_clock())
    owner.accept()
    owner.start(0)
    owner.client.outcomes = ["unanswered"]

    def flush_twice() -> None:
        for _ in range(2):
            owner.clock.at += 1.0
            curio.run(owner.writer.flush)

    with pytest.raises(OutcomeUnknownError):
        flush_twice()
    assert owner.shard.commit_log.unresolved is not None

    async def down(key: str, urgent: bool = False) -> api.Entry | None:
        raise StateError("503")

    with monkeypatch.context() as patch:
        patch.setattr(owner.client, "get", down)
        with pytest.raises(StateError):
            curio.run(owner.writer.reload, JOB)
    curio.run(owner.writer.reload, JOB)
    assert owner.recorded() == ({0: 1}, 0)
    assert isinstance(owner.writer.loader, Loader)

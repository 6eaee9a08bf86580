"""The commit log: what is stored of it, against a plain model; and the hard cases of its writing,
each seen to go wrong without the safeguard that it is about."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.jobs import commit_log as ring_module
from starlingdeck.jobs import group_commit
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.group_commit import GroupCommit
from starlingdeck.jobs.job import Job, TaskPlacement, encode_chunk, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.loader import Loader
from starlingdeck.jobs.record_writer import RecordWriter
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
from tests.support.builders import LOGGED, Clock, make_world, spec
from tests.support.reference_model import PlainState

Patch = pytest.MonkeyPatch
JOB, OTHER = "j-000001", "j-000002"
SHARD = 0
VALUE_BYTES, TXN_OPS, TXN_BYTES = (
    16 * 1024,
    12,
    64 * 1024,
)  # of tests, and the protocol's


# --- a plain state service that refuses what the protocol refuses


@dataclass
class Strict:
    """`fate` of the next transactions: executed, refused, or unanswered in three ways."""

    state: PlainState
    fates: list[str] = field(default_factory=list)
    late: list[tuple[dict[str, int], list[api.Change]]] = field(default_factory=list)
    refuse: Callable[[list[api.Change]], bool] = lambda changes: False
    changes: int = 0
    values: int = 0

    def writable(self, urgent: bool) -> tuple[int, float]:
        return 1000, 0.0

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        changes = [
            api.Change(c.put, msgspec.Raw(msgspec.json.encode(c.value)), None, c.delete)
            for c in changes
        ]
        self.check_limits(conditions, changes)
        fate = self.fates.pop(0) if self.fates else "executed"
        if fate == "refused" or self.refuse(changes):
            raise StateError("429")
        if fate == "late":
            self.late.append((dict(conditions), changes))
            raise OutcomeUnknownError("no answer, yet")
        failed = self.state.apply(conditions, changes)
        if fate == "mute":
            raise OutcomeUnknownError("no answer")
        if failed:
            raise TransactionConflictError(failed)
        self.changes += len(changes)
        return self.state.epoch

    def check_limits(self, conditions: dict[str, int], changes: list[api.Change]) -> None:
        assert len(changes) <= TXN_OPS and len(conditions) <= 4 * TXN_OPS
        sizes = [len(bytes(c.value)) for c in changes if c.put is not None]
        self.values = max([self.values, *sizes])
        body = api.Transaction([api.Condition(k, v) for k, v in conditions.items()], changes)
        assert self.values <= VALUE_BYTES and len(msgspec.json.encode(body)) <= TXN_BYTES

    def carry_out_late(self) -> list[list[str]]:
        """What was held up arrives; the conditions of each that failed."""
        held, self.late = self.late, []
        return [self.state.apply(conditions, changes) for conditions, changes in held]

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        found = self.state.keys.get(key)
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        found = [
            api.Entry(k, msgspec.Raw(v), stamp)
            for k, (v, stamp) in sorted(self.state.keys.items())
            if k.startswith(prefix)
        ]
        return found, self.state.epoch


class Holder:
    """One hold of a shard: a writer with the log, and what a test does with it."""

    def __init__(self, client: Strict, clock: Clock, tuning: Tuning = LOGGED) -> None:
        self.client, self.clock = client, clock
        self.world = make_world(clock)
        self.world.tuning = tuning
        self.world.machine_names.intern("vm-0")
        self.world.zone_names.intern("a")
        key = records.shard_key(SHARD)
        held = client.state.keys.get(key, (b"", 0))[1]
        assert not client.state.apply({key: held}, [put_change(key, records.ShardValue(0, 1))])
        self.token = client.state.epoch
        self.shard = JobShard(self.world, SHARD, self.token, 1)
        self.writer = RecordWriter(self.world, client, self.shard)  # type: ignore[arg-type]
        curio.run(self.writer.load)

    def accept(self, name: str = JOB, tasks: int = 3, **other: Any) -> Job:
        body = spec(name, chores=tasks, **other)
        job = new_job(self.world, body, SHARD, 0)
        main = records.job_key(SHARD, name)
        assert not self.client.state.apply({main: 0}, [put_change(main, JobRecord(body, 0))])
        job.key_versions[0] = self.client.state.epoch
        self.shard.jobs[job.index] = job
        return job

    def job(self, name: str = JOB) -> Job:
        return self.shard.jobs[self.world.job_names.find(name) or 0]

    def start(self, *tasks: int, name: str = JOB, machine: str = "vm-0") -> None:
        job = self.job(name)
        for task in tasks:
            index = self.world.machine_names.intern(machine)
            job.pending_starts[task] = TaskPlacement(
                index, 1, job.attempts[task] + 1, 0, 0, state_since=self.clock.at
            )
        self.shard.dirty_jobs.add(job.index)

    def end(self, *tasks: int, name: str = JOB, error: int = api.W_DONE) -> None:
        job = self.job(name)
        for task in tasks:
            job.pending_ends[task] = error
        self.shard.dirty_jobs.add(job.index)

    def flush(self, times: int = 4) -> None:
        """Some rounds, with time for what is due; a refused write is tried again."""
        for _ in range(times):
            for wait_s in (0.0, 1.5):
                self.clock.at += wait_s
                try:
                    while curio.run(self.writer.flush):
                        pass
                except StateError:
                    continue

    def seen(self, name: str = JOB) -> tuple[dict[int, int], int]:
        """Attempts that are recorded, and how many tasks are done."""
        job = self.job(name)
        return {
            task: placement.attempt for task, placement in job.placements.items()
        }, job.completed

    def log_keys(self) -> list[str]:
        return [k for k in self.client.state.keys if k.startswith(stored.LOG_PREFIX)]


def site() -> tuple[Strict, Clock]:
    return Strict(PlainState(random.Random(1))), Clock()


def succeed(before: Holder, tuning: Tuning = LOGGED) -> Holder:
    """The shard is taken over by another process."""
    return Holder(before.client, before.clock, tuning)


# --- the stored form

Step = tuple[str, int]  # what happens to a task


def plain(history: list[list[Step]], tasks: int) -> tuple[dict[int, int], set[int], dict[int, int]]:
    """What is true after all commits: attempts that run, tasks done, attempts used. A commit ends
    what ran before it: nothing runs before its start is durable."""
    on: dict[int, int] = {}
    done: set[int] = set()
    tries: dict[int, int] = {}
    for commit in history:
        for what, task in sorted(commit):  # ends come first
            if what == "start" and task not in on and task not in done:
                tries[task] = tries.get(task, 0) + 1
                on[task] = tries[task]
            elif what in ("done", "freed") and task in on:
                del on[task]
                if what == "done":
                    done.add(task)
    return on, done, tries


def change_of(history: list[list[Step]], number: int, tasks: int) -> stored.JobChange:
    """The difference that one commit makes, as a holder would write it."""
    before, after = plain(history[:number], tasks), plain(history[: number + 1], tasks)
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
def test_replay_over_any_checkpoint_gives_what_is_true(
    history: list[list[Step]], written: list[int]
) -> None:
    """Each chunk was last rewritten after any commit, before or after its segments went."""
    tasks = 2 * TASKS_PER_CHUNK
    logged = [
        stored.LoggedChange(Position(5, n + 1), 0, change_of(history, n, tasks))
        for n in range(len(history))
    ]
    chunks = {}
    for number, upto in enumerate(written):
        upto = min(upto, len(history))
        whole = stored.replay({}, logged[:upto]).get(number, Chunk())
        chunks[number] = Chunk(
            whole.attempts,
            whole.completed_bits,
            whole.placements,
            Position(5, upto) if upto else LOG_START,
        )
    # What all checkpoints have may be gone from the log, or still be there.
    for first in (0, min(min(written), len(history))):
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
        assert (on, done, tries) == plain(history, tasks)


def test_without_a_log_records_are_written_as_before() -> None:
    """An earlier version reads them: no field is added until there is a log."""
    holder = Holder(*site(), tuning=Tuning())
    holder.accept()
    holder.start(0, 1)
    holder.flush()
    text = holder.client.state.keys[records.job_key(SHARD, JOB)][0]
    assert b"upto" not in text and not holder.log_keys()
    assert b"logged" not in holder.client.state.keys[records.shard_key(SHARD)][0]
    assert holder.seen() == ({0: 1, 1: 1}, 0)


def test_many_jobs_are_one_change() -> None:
    holder = Holder(*site())
    names = [f"j-{n:06d}" for n in range(40)]
    for name in names:
        holder.accept(name)
        holder.start(0, 1, name=name)
    holder.flush(2)
    assert holder.client.changes == 1 and len(holder.log_keys()) == 1
    assert all(holder.seen(name) == ({0: 1, 1: 1}, 0) for name in names)


def test_urgent_starts_do_not_wait_for_the_others() -> None:
    holder = Holder(*site())
    holder.accept(JOB)
    holder.accept(OTHER, rank="urgent")
    holder.start(0)
    curio.run(holder.writer.flush)
    holder.clock.at += 0.2
    curio.run(holder.writer.flush)
    assert holder.seen() == ({}, 0)  # not yet due
    holder.start(0, name=OTHER)
    curio.run(holder.writer.flush)
    holder.clock.at += 0.11
    curio.run(holder.writer.flush)
    # Due for the urgent one, it takes along what waits.
    assert holder.seen(OTHER) == ({0: 1}, 0) and holder.seen() == ({0: 1}, 0)


# --- the hard cases: each a story that raises AssertionError where it goes wrong


def lost_answer() -> None:
    """Carried out, its answer lost: known after the next look, and nothing is written twice."""
    holder = Holder(*site())
    holder.accept()
    holder.start(0, 1)
    holder.client.fates = ["mute"]
    holder.flush()
    assert holder.seen() == ({0: 1, 1: 1}, 0)
    holder.end(0)
    holder.flush()
    assert succeed(holder).seen() == holder.seen() == ({1: 1}, 1)


def late_commit() -> None:
    """Held up, given up, and carried out after newer ones: it changes nothing any more."""
    holder = Holder(*site())
    holder.accept()
    holder.start(0, machine="vm-1")
    holder.client.fates = ["late"]
    holder.flush(1)
    # Meanwhile its room was given away; it arrives before anything else is written.
    holder.job().pending_starts.clear()
    holder.flush(1)
    holder.client.carry_out_late()
    assert succeed_reading(holder).seen() == holder.seen() == ({}, 0)
    holder.start(0, machine="vm-2")
    holder.flush(2)
    after = succeed(holder)
    assert after.world.machine_names[after.job().placements[0].machine] == "vm-2"
    assert after.seen() == holder.seen()


def takeover_in_the_middle() -> None:
    """A commit of the former holder arrives when another holds the shard."""
    holder = Holder(*site())
    holder.accept()
    holder.start(0)
    holder.client.fates = ["late"]
    holder.flush(1)
    after = succeed(holder)
    assert all(holder.client.carry_out_late())
    after.start(0, machine="vm-9")
    after.flush()
    last = succeed(after)
    assert last.world.machine_names[last.job().placements[0].machine] == "vm-9"


def checkpoint_and_crash() -> None:
    """Slots are used again only when records hold what they said, whoever reads after a crash."""
    holder = Holder(*site())
    holder.accept(JOB, tasks=3 * TASKS_PER_CHUNK)
    expected = {}
    for number in range(40):
        task = (number * 37) % (3 * TASKS_PER_CHUNK)
        holder.start(task)
        holder.flush(1)
        expected[task] = 1
        if number % 7 == 0:
            assert succeed_reading(holder).seen() == (expected, 0)
    assert len(holder.log_keys()) <= 6
    assert succeed(holder).seen() == (expected, 0)


def succeed_reading(holder: Holder) -> Holder:
    """What another process would read now; the shard stays where it is."""
    copy = PlainState(holder.client.state.rng)
    copy.keys, copy.epoch = dict(holder.client.state.keys), holder.client.state.epoch
    return Holder(Strict(copy), holder.clock)


def cancelled_elsewhere() -> None:
    """Another controller writes a cancellation over a record that is behind the log: what ran
    stays known, and nothing more is started."""
    holder = Holder(*site())
    holder.accept()
    holder.start(0)
    holder.flush()
    main = records.job_key(SHARD, JOB)
    record = msgspec.json.decode(holder.client.state.keys[main][0], type=JobRecord)
    record.cancelled = True
    version = holder.client.state.keys[main][1]
    assert not holder.client.state.apply({main: version}, [put_change(main, record)])
    holder.start(1)
    holder.flush()
    assert holder.job().cancelled and holder.seen() == ({0: 1}, 0)
    assert succeed(holder).seen() == ({0: 1}, 0)


def part_written_late() -> None:
    """A further part of a record, rewritten and held up, lands after a newer commit."""
    holder = Holder(*site())
    holder.accept(JOB, tasks=2 * TASKS_PER_CHUNK)
    holder.start(TASKS_PER_CHUNK, machine="vm-1")
    holder.flush()
    part = holder.shard._rewrite(holder.job(), [1], {}, {})
    holder.client.fates = ["late"]
    with pytest.raises(OutcomeUnknownError):
        curio.run(holder.writer._write, [part], False)
    holder.end(TASKS_PER_CHUNK, error=api.W_ERROR)
    holder.flush()
    holder.client.carry_out_late()
    holder.start(TASKS_PER_CHUNK, machine="vm-2")
    holder.flush()  # meets the part as it is now, and reads the job again
    assert succeed_reading(holder).seen() == holder.seen() == ({}, 0)
    holder.start(TASKS_PER_CHUNK, machine="vm-2")
    holder.flush()
    after = succeed(holder)
    assert after.seen() == holder.seen() == ({TASKS_PER_CHUNK: 2}, 0)


def older_segment_kept() -> None:
    """A newer segment is used again before an older one, which another job still needs: what the
    older says of a record that was rewritten since is not applied to it once more."""
    holder = Holder(*site())
    for name in (JOB, OTHER):
        holder.accept(name)
        holder.start(0, name=name)
    holder.flush()
    holder.end(0, name=OTHER, error=api.W_ERROR)
    holder.flush()
    older, newer = holder.log_keys()
    rewritten = holder.shard._rewrite(holder.job(OTHER), [0], {}, {})
    assert curio.run(holder.writer._write, [rewritten], False)
    dirty = [bool(slot.dirty) for _, slot in sorted(holder.shard.commit_log.slots.items())]
    assert dirty == [True, False]
    assert not holder.client.state.apply({}, [api.Change(delete=newer)])
    assert succeed(holder).seen(OTHER) == ({}, 0) and older in holder.log_keys()


def large_array() -> None:
    """100,000 tasks: values, transactions and conditions stay within their limits."""
    holder = Holder(*site())
    holder.accept(JOB, tasks=100_000)
    tasks = [*range(900), *range(1000, 100_000, 97)]
    holder.start(*tasks)
    holder.flush(20)
    assert len(holder.seen()[0]) == len(tasks)
    holder.end(*tasks[:500])
    holder.flush(20)
    assert holder.seen()[1] == 500
    assert succeed(holder).seen() == holder.seen()


def large_record() -> None:
    """A long description and long names: the log has room for all starts, the record has not. It
    must still be rewritten for a checkpoint, and for a cancellation."""
    holder = Holder(*site())
    holder.accept(JOB, tasks=TASKS_PER_CHUNK, builds=["x" * 100] * 30)
    for first in range(0, TASKS_PER_CHUNK, 32):
        holder.start(*range(first, first + 32), machine="m" * 90)
        holder.flush(1)
    running = len(holder.seen()[0])
    assert 32 < running < TASKS_PER_CHUNK
    checkpoint = holder.shard._rewrite(holder.job(), [0], {}, {})
    assert curio.run(holder.writer._write, [checkpoint], False)
    curio.run(holder.writer.cancel, holder.job())
    assert holder.job().cancelled and len(succeed(holder).seen()[0]) == running


def torn_entry() -> None:
    """A change that can't be read: its job is set aside, known, and nothing of it starts; the
    other jobs go on, and what is stored stays."""
    holder = Holder(*site())
    for name in (JOB, OTHER):
        holder.accept(name)
        holder.start(0, name=name)
    holder.flush()
    (key,) = holder.log_keys()
    text = holder.client.state.keys[key][0]
    torn = text.replace(f'["{JOB}",[[0,'.encode(), f'["{JOB}",[["x",'.encode())
    assert torn != text
    holder.client.state.apply({}, [put_change(key, msgspec.Raw(torn))])
    after = succeed(holder)
    assert JOB not in {job.id for job in after.shard.jobs.values()}
    assert after.seen(OTHER) == ({0: 1}, 0)
    assert records.job_key(SHARD, JOB) in after.client.state.keys
    with pytest.raises(StateError):
        curio.run(after.writer.reload, JOB)
    for number in range(2 * ring_module.MAX_SLOTS):
        after.end(0, name=OTHER, error=api.W_ERROR)
        after.flush(1)
        after.start(0, name=OTHER)
        after.flush(1)
        assert after.seen(OTHER)[0] == {0: number + 2}
    assert after.client.state.keys[key][0] == torn


def unknown_form() -> None:
    """A whole segment of another form: of all jobs that it may concern nothing starts."""
    holder = Holder(*site())
    holder.accept(JOB)
    holder.start(0)
    holder.flush()
    (key,) = holder.log_keys()
    strange = {"form": 99, "commits": "more than we know"}
    holder.client.state.apply({}, [put_change(key, strange)])
    holder.accept(OTHER)
    after = succeed(holder)
    assert {job.id for job in after.shard.jobs.values()} == {OTHER}
    after.start(0, name=OTHER)
    after.flush()
    assert after.seen(OTHER) == ({0: 1}, 0)
    assert msgspec.json.decode(after.client.state.keys[key][0]) == strange


def full_log() -> None:
    """Checkpoints are refused until no slot is left: starts wait, ends and cancellations go on."""
    holder = Holder(*site())
    for name in (JOB, OTHER):
        holder.accept(name, tasks=200)
    holder.client.refuse = lambda changes: any(
        (c.put or "").startswith("j/") and b'"cancelled":true' not in bytes(c.value)
        for c in changes
    )
    task = 0
    while holder.writer.group_commit.may_start():
        holder.start(task)
        holder.flush(1)
        task += 1
        assert task < 200
    holder.start(task)
    holder.flush()
    assert task not in holder.job().placements
    holder.end(*range(10))
    holder.flush()
    assert holder.seen()[1] == 10
    curio.run(holder.writer.cancel, holder.job(OTHER))
    assert holder.job(OTHER).cancelled
    holder.client.refuse = lambda changes: False
    holder.flush(10)
    assert task in holder.job().placements
    assert succeed(holder).seen() == holder.seen()


def switched_off() -> None:
    """The way back: a controller that doesn't write the log brings all records up to it and then
    deletes it; one that knows nothing of it reads the same."""
    holder = Holder(*site())
    for name in (JOB, OTHER):
        holder.accept(name, tasks=2 * TASKS_PER_CHUNK)
        holder.start(0, TASKS_PER_CHUNK + 1, name=name)
    holder.flush()
    holder.end(0)
    holder.flush()
    after = succeed(holder, Tuning())
    after.flush()
    assert not after.log_keys() and after.seen() == ({TASKS_PER_CHUNK + 1: 1}, 1)
    keys = after.client.state.keys
    main = msgspec.json.decode(keys[records.job_key(SHARD, JOB)][0], type=JobRecord)
    part = msgspec.json.decode(keys[records.chunk_key(SHARD, JOB, 1)][0], type=Chunk)
    assert main.chunk.completed_bits == "1" and [p.task for p in part.placements] == [
        TASKS_PER_CHUNK + 1
    ]


CASES = [
    lost_answer,
    late_commit,
    takeover_in_the_middle,
    checkpoint_and_crash,
    cancelled_elsewhere,
    part_written_late,
    older_segment_kept,
    large_array,
    large_record,
    torn_entry,
    unknown_form,
    full_log,
    switched_off,
]


@pytest.fixture
def small_ring(monkeypatch: Patch) -> None:
    """So that slots are used again soon."""
    monkeypatch.setattr(ring_module, "MAX_SLOTS", 6)
    monkeypatch.setattr(ring_module, "CHECKPOINT_AT", 2)
    monkeypatch.setattr(ring_module, "RESERVED", 2)
    monkeypatch.setattr(ring_module, "SEGMENT_BYTES", 80)


@pytest.mark.usefixtures("small_ring")
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_hard_case(case: Callable[[], None]) -> None:
    case()


# --- the same stories without their safeguards


def no_fence(monkeypatch: Patch) -> None:
    async def trust(self: GroupCommit, commit: Any) -> None:
        return None

    monkeypatch.setattr(GroupCommit, "_fence", trust)


def fate_not_asked(monkeypatch: Patch) -> None:
    async def forget(self: GroupCommit) -> None:
        self.shard.commit_log.unknown = None

    monkeypatch.setattr(GroupCommit, "settle", forget)


def token_not_asked(monkeypatch: Patch) -> None:
    plain_txn = Strict.transact

    async def transact(self: Strict, conditions: dict[str, int], *rest: Any) -> int:
        left = {k: v for k, v in conditions.items() if not k.startswith("c/s/")}
        return await plain_txn(self, left, *rest)

    monkeypatch.setattr(Strict, "transact", transact)


def records_not_asked(monkeypatch: Patch) -> None:
    plain_collect = GroupCommit.collect

    def collect(self: GroupCommit) -> group_commit.Batch:
        batch = plain_collect(self)
        batch.conditions = {}
        return batch

    monkeypatch.setattr(GroupCommit, "collect", collect)


def checkpoints_not_waited_for(monkeypatch: Patch) -> None:
    def clean(self: CommitLog) -> Any:
        return (s for s in range(ring_module.MAX_SLOTS) if s not in self.lost and s != self.open)

    monkeypatch.setattr(CommitLog, "_clean", clean)


def records_without_position(monkeypatch: Patch) -> None:
    def without(*args: Any) -> Chunk:
        return encode_chunk(*args[:5])

    monkeypatch.setattr("starlingdeck.jobs.job_shard.encode_chunk", without)


def replay_passed_over(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "adopt_job", lambda self, *rest: None)


def entries_not_pinned(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "pin", lambda self, slots: None)


def hidden_changes_ignored(monkeypatch: Patch) -> None:
    monkeypatch.setattr(stored.LogContents, "incomplete_reason", lambda self, *rest: "")


def tasks_not_bounded(monkeypatch: Patch) -> None:
    monkeypatch.setattr(group_commit, "MOST_TASKS", 100_000)
    monkeypatch.setattr(ring_module, "VALUE_SPARE", -100_000)


def records_not_bounded(monkeypatch: Patch) -> None:
    monkeypatch.setattr(JobShard, "_keep_to_value", lambda self, *rest: None)


def no_slots_reserved(monkeypatch: Patch) -> None:
    monkeypatch.setattr(GroupCommit, "may_start", lambda self: True)
    monkeypatch.setattr(GroupCommit, "by_log", lambda self, job: True)


def drained_too_early(monkeypatch: Patch) -> None:
    monkeypatch.setattr(CommitLog, "clean", property(lambda self: True))


WITHOUT = [
    (fate_not_asked, lost_answer),
    (no_fence, late_commit),
    (token_not_asked, takeover_in_the_middle),
    (checkpoints_not_waited_for, checkpoint_and_crash),
    (replay_passed_over, checkpoint_and_crash),
    (records_not_asked, cancelled_elsewhere),
    (records_without_position, older_segment_kept),
    (tasks_not_bounded, large_array),
    (records_not_bounded, large_record),
    (hidden_changes_ignored, torn_entry),
    (entries_not_pinned, torn_entry),
    (hidden_changes_ignored, unknown_form),
    (no_slots_reserved, full_log),
    (drained_too_early, switched_off),
]


@pytest.mark.usefixtures("small_ring")
@pytest.mark.parametrize(
    ("broken", "case"), WITHOUT, ids=[f"{b.__name__}-{c.__name__}" for b, c in WITHOUT]
)
def test_without_its_safeguard_it_goes_wrong(
    monkeypatch: Patch, broken: Callable[[Patch], None], case: Callable[[], None]
) -> None:
    broken(monkeypatch)
    with pytest.raises((AssertionError, LookupError, KeyError, TransactionConflictError)):
        case()


# --- what has ended is not read by a takeover


def test_parts_of_ended_arrays_are_deleted(monkeypatch: Patch) -> None:
    """They stayed for ever, and every takeover read them; also those that were left before."""
    holder = Holder(*site(), tuning=Tuning())
    holder.accept(JOB, tasks=2 * TASKS_PER_CHUNK)
    tasks = list(range(2 * TASKS_PER_CHUNK))
    for first in range(0, len(tasks), 64):
        holder.start(*tasks[first : first + 64])
        holder.flush(1)
    part = records.chunk_key(SHARD, JOB, 1)
    left = records.chunk_key(SHARD, OTHER, 3)
    assert not holder.client.state.apply({}, [put_change(left, Chunk())])
    holder.end(*tasks)
    holder.flush(1)
    assert records.final_key(SHARD, JOB) in holder.client.state.keys
    assert part in holder.client.state.keys  # a look that began before the end reads it still
    holder.flush(12)
    assert part not in holder.client.state.keys
    after = succeed(holder, Tuning())
    after.flush(12)
    assert left not in after.client.state.keys


def test_a_reload_waits_for_a_commits_fate(monkeypatch: Patch) -> None:
    """Read before it was known, a job would be answered for as it was before the commit."""
    holder = Holder(*site())
    holder.accept()
    holder.start(0)
    holder.client.fates = ["mute"]
    with pytest.raises(OutcomeUnknownError):
        holder.clock.at += 1.0
        curio.run(holder.writer.flush)
        holder.clock.at += 1.0
        curio.run(holder.writer.flush)
    assert holder.shard.commit_log.unknown is not None

    async def down(key: str, urgent: bool = False) -> api.Entry | None:
        raise StateError("503")

    with monkeypatch.context() as patch:
        patch.setattr(holder.client, "get", down)
        with pytest.raises(StateError):
            curio.run(holder.writer.reload, JOB)
    curio.run(holder.writer.reload, JOB)
    assert holder.seen() == ({0: 1}, 0) and isinstance(holder.writer.loader, Loader)

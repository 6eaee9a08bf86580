"""Synchronisation between controllers: incremental snapshots and desired state, and the relay."""

import random
from collections.abc import Callable

import curio
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.controller.controller import Controller
from starlingdeck.interning import task_key
from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.sync.message_batch import encode_batch
from starlingdeck.sync.state_sync import SnapshotResult
from starlingdeck.transport import frames
from starlingdeck.transport.frames import FrameLink, FrameServer, dial
from tests.support.builders import Clock, make_context, spec
from tests.support.ports import free_port
from tests.support.reference_model import FakeStateClient, FakeStateService, run_without_waiting


def report(name: str, seq: int = 1, token: int = 5) -> api.Report:
    return api.Report(name, "127.0.0.1:1", "small", "b", 1, seq, token)


def test_a_snapshot_after_a_missed_one_needs_a_resync() -> None:
    clock = Clock()
    context = make_context(clock)
    machines = MachineShard(context, 1, 5, 77, 0.0)
    snapshots: dict[int, ShardSnapshot] = {}
    machines.apply_report(report("vm-1"), True)
    machines.reconcile()
    assert apply_snapshot_message(context, snapshots, machines.snapshot_update(True)) == {
        context.machine_names.intern("vm-1")
    }
    machines.apply_report(report("vm-2"), True)
    machines.reconcile()
    machines.snapshot_update(True)  # lost
    machines.mark_deleted("vm-1")
    late = machines.snapshot_update(True)
    assert apply_snapshot_message(context, snapshots, late) is None
    assert apply_snapshot_message(context, snapshots, machines.full_snapshot(True)) is not None
    assert set(snapshots[1].machines) == {context.machine_names.intern("vm-2")}
    # A snapshot older than the last one applied is ignored.
    assert apply_snapshot_message(context, snapshots, late) == set()


def assigned_to_a_published_machine() -> tuple[
    MachineShard, JobShard, Job, dict[int, ShardSnapshot]
]:
    """Return a job with a task recorded on vm-1, its shards, and the snapshots published so far.

    The owner of vm-1 has published the machine. It has since received the desired state with the
    task, but not reconciled it yet."""
    context = make_context(Clock())
    machines = MachineShard(context, 1, 5, 77, 0.0)
    jobs = JobShard(context, shard_of_job("j-000001", 3), 3, 9)
    job = new_job(context, spec("j-000001"), jobs.shard, 0)
    machines.apply_report(report("vm-1"), True)
    machines.reconcile()
    snapshots: dict[int, ShardSnapshot] = {}
    apply_snapshot_message(context, snapshots, machines.snapshot_update(True))
    job.placements[0] = TaskPlacement(
        context.machine_names.intern("vm-1"), 1, 1, 1, context.zone_names.intern("b")
    )
    jobs.adopt(job)
    machines.apply_desired_state(
        jobs.desired_state_message(1, 77, watermark_ms=snapshots[1].watermark_ms(2000.0))
    )
    return machines, jobs, job, snapshots


def test_desired_state_is_not_acknowledged_before_it_is_reconciled() -> None:
    """A snapshot between the arrival of desired state and its reconciliation acknowledged it but
    lacked the task. The attempt would have been ended although it was about to start."""
    machines, jobs, job, snapshots = assigned_to_a_published_machine()
    context = machines.context
    for message in (machines.snapshot_update(True), machines.full_snapshot(True)):
        touched = apply_snapshot_message(context, snapshots, message)
        jobs.apply_snapshot(snapshots[1], touched)
        assert not job.pending_ends
    machines.reconcile()
    apply_snapshot_message(context, snapshots, machines.snapshot_update(True))
    jobs.apply_snapshot(snapshots[1], None)
    assert not job.pending_ends
    assert snapshots[1].applied_seqs[jobs.shard] == (3, 1)
    assert snapshots[1].task(context.machine_names.intern("vm-1"), "j-000001", 0, 1) is not None


@pytest.mark.parametrize("every", [False, True])
def test_a_machine_changed_since_it_was_reconciled_is_published(every: bool) -> None:
    """While reconciling waited for a raised token, a report made the machine due again. The next
    snapshot acknowledged the desired state but left the machine out. Its last published entry,
    fenced and without the task, was taken for a rejection, although the task had started: it ran
    twice."""
    machines, jobs, job, snapshots = assigned_to_a_published_machine()
    context = machines.context
    (machine,) = machines.reconcile()
    assert [c.op for c in machines.commands_for(machine, True).commands] == [api.START]
    other = api.ReportTask("j-000002/0", 1, "running")
    machines.apply_report(msgspec.structs.replace(report("vm-1", 2), tasks=[other]), True)
    touched = apply_snapshot_message(context, snapshots, machines.snapshot_update(True))
    jobs.apply_snapshot(snapshots[1], None if every else touched)
    assert not job.pending_ends
    machines.reconcile()
    apply_snapshot_message(context, snapshots, machines.snapshot_update(True))
    assert snapshots[1].machines[machine.index].fenced
    assert snapshots[1].task(machine.index, "j-000001", 0, 1) is not None


def test_desired_state_is_incremental_and_full_for_a_new_epoch() -> None:
    context = make_context(Clock())
    machines = MachineShard(context, 1, 5, 77, 0.0)
    jobs = JobShard(context, 0, 3, 9)
    job = new_job(context, spec("j-000001", chores=200), 0, 0)
    for task in range(200):
        job.placements[task] = TaskPlacement(
            context.machine_names.intern(f"vm-{task % 9}"), 1, 1, 1, 0
        )
    jobs.adopt(job)
    first = jobs.desired_state_message(1, 77)
    assert first.full
    assert len(first.tasks) == 200
    assert machines.apply_desired_state(first)
    jobs.remove_placement(job, 7)
    second = jobs.desired_state_message(1, 77)
    assert not second.full
    assert (len(second.tasks), len(second.removed)) == (0, 1)
    lost = jobs.desired_state_message(1, 77)
    third = jobs.desired_state_message(1, 77)
    assert machines.apply_desired_state(second)
    assert not machines.apply_desired_state(third)
    assert sum(len(t) for t in machines.desired_tasks[0].values()) == 199
    assert lost.seq == 3
    assert machines.apply_desired_state(jobs.desired_state_message(1, 77, True))
    assert jobs.desired_state_message(1, 78).full
    assert not machines.apply_desired_state(jobs.desired_state_message(1, 78))


def test_a_relayed_text_of_many_parts_arrives() -> None:
    """A text larger than the limit for a value was dropped, so that a partitioned zone had no
    relay."""
    state = FakeStateService(random.Random(3))
    ours, theirs = Controller(make_context(Clock())), Controller(make_context(Clock(), node=1))
    payload = random.Random(5).randbytes(40_000)
    text = encode_batch(
        [pb.Envelope(sender=0, forward_request=pb.ForwardRequest(method="x", body=payload))]
    )
    ours.state_sync.relay.state = FakeStateClient(state, 0.0)  # type: ignore[assignment]
    curio.run(ours.state_sync.write_relay, 1, text)
    parts = {k: v for k, (v, _) in state.keys.items() if k.startswith(records.RELAY_PREFIX)}
    limit = ours.context.settings.settings.state.value_kb * 1000
    assert len(parts) > 1
    assert all(len(value) <= limit for value in parts.values())
    received: list[pb.Envelope] = []

    async def receive(envelope: pb.Envelope) -> None:
        received.append(envelope)

    completed = [
        run_without_waiting(theirs.state_sync.receive_relay(key, msgspec.Raw(value), receive))
        for key, value in sorted(parts.items(), reverse=True)
    ]
    assert completed == [False] * (len(parts) - 1) + [True]
    assert [e.forward_request.body for e in received] == [payload]


def test_parts_of_two_relayed_texts_do_not_mix() -> None:
    """A text whose writing was delayed continued under the number of a newer one, and the receiver
    joined fragments of both."""
    ours, theirs = Controller(make_context(Clock())), Controller(make_context(Clock(), node=1))
    payloads = [random.Random(i).randbytes(90_000) for i in range(2)]
    texts = [
        encode_batch([pb.Envelope(sender=0, forward_request=pb.ForwardRequest(body=n))])
        for n in payloads
    ]
    arrived: list[list[api.Change]] = []
    # The first transaction of the first text is delayed beyond those of the second text.
    waits = [0.02, 0.0, 0.0, 0.0, 0.0, 0.0]

    class Slow(FakeStateClient):
        async def transact(
            self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
        ) -> int:
            await curio.sleep(waits.pop(0))
            arrived.append(changes)
            return 1

    received: list[bytes] = []

    async def receive(envelope: pb.Envelope) -> None:
        received.append(envelope.forward_request.body)

    async def write() -> None:
        ours.state_sync.relay.state = Slow(FakeStateService(random.Random(1)), 0.0)  # type: ignore[assignment]
        first = await curio.spawn(ours.state_sync.write_relay, 1, texts[0])
        await curio.sleep(0)
        second = await curio.spawn(ours.state_sync.write_relay, 1, texts[1])
        await first.join()
        await second.join()

    curio.run(write)
    assert len({c.value.sequence for changes in arrived for c in changes}) == 2
    for changes in arrived:
        for change in changes:
            value = msgspec.Raw(msgspec.json.encode(change.value))
            run_without_waiting(theirs.state_sync.receive_relay(change.put or "", value, receive))
    assert set(received) <= set(payloads)
    for change in [c for changes in arrived for c in changes if c.value.sequence == 2]:
        value = msgspec.Raw(msgspec.json.encode(change.value))
        run_without_waiting(theirs.state_sync.receive_relay(change.put or "", value, receive))
    assert payloads[1] in received


def test_a_link_whose_peer_receives_nothing_is_closed() -> None:
    """Sending to a peer that received nothing blocked the whole controller."""

    async def fill() -> frames.FrameLink:
        link = frames.FrameLink(None)
        for _ in range(frames.MAX_BACKLOG_BYTES // 100_000 + 1):
            await link.enqueue(bytes(100_000))
        return link

    link = curio.run(fill)
    assert link.closed
    assert len(link.backlog) <= frames.MAX_BACKLOG_BYTES


FULL_TASKS = 32
FULL_IMAGES = 20


def full_shard(node: Controller, machines: int) -> MachineShard:
    """Give the controller shard 1: machines with FULL_TASKS tasks and FULL_IMAGES images each."""
    shard = MachineShard(node.context, 1, 5, 77, 0.0)
    for number in range(machines):
        tasks = [
            api.ReportTask(f"j-{number * 7 + task:06d}/{task}", 1, "running")
            for task in range(FULL_TASKS)
        ]
        full = msgspec.structs.replace(report(f"vm-{number:05d}"), tasks=tasks)
        machine = shard.apply_report(full, True)
        machine.images.update({f"image-{number % 40:04d}-{i:02d}": 0.0 for i in range(FULL_IMAGES)})
    shard.reconcile()
    node.machines[1] = shard
    return shard


async def until(reached: Callable[[], bool]) -> None:
    async with curio.timeout_after(30.0):
        while not reached():
            await curio.sleep(0.02)


def test_a_full_snapshot_of_4000_full_machines_passes_over_a_link() -> None:
    """The snapshot was larger than the backlog allowed on a link, so that the link was closed and
    dialled again, endlessly."""
    clock = Clock()
    ours, theirs = Controller(make_context(clock, node=1)), Controller(make_context(clock))
    shard = full_shard(ours, 4_000)

    def names() -> list[str]:
        snapshot = theirs.state_sync.snapshots.get(1)
        return (
            [] if snapshot is None else [theirs.context.machine_names[i] for i in snapshot.machines]
        )

    async def play() -> FrameLink:
        port = free_port()
        server = FrameServer(("127.0.0.1", port), theirs.peers.serve, 4)
        serving = await curio.spawn(server.run, daemon=True)
        await curio.sleep(0)
        link = ours.peers.links[0] = await dial(f"127.0.0.1:{port}", 2.0)
        drain = await curio.spawn(link.drain, 2.0, daemon=True)
        await ours.state_sync.publish_snapshots(True, clock.at)
        await until(lambda: len(names()) == 4_000)
        clock.at += 1.0
        shard.apply_report(report("vm-new"), True)
        shard.reconcile()
        await ours.state_sync.publish_snapshots(True, clock.at)  # sent as a difference
        await until(lambda: "vm-new" in names())
        await drain.cancel()
        await serving.cancel()
        return link

    assert not curio.run(play).closed
    assert len(names()) == 4_001
    first = theirs.state_sync.snapshots[1].machines[theirs.context.machine_names.intern("vm-00000")]
    assert len(first.tasks) == FULL_TASKS
    assert len(first.images) == FULL_IMAGES
    # The snapshot of the largest fleet, with half as many machines again, also fits in one frame.
    size = len(pb.Envelope(snapshot=shard.full_snapshot(True)).SerializeToString())
    assert size * frames.MAX_SNAPSHOT_MACHINES // 4_001 <= frames.MAX_FRAME_BYTES


# Report, delete a machine, reserve (h), let time pass, lose a snapshot: with a machine and a task.
events = st.lists(
    st.tuples(st.sampled_from("rrrrdhtl"), st.integers(0, 3), st.integers(0, 2)), max_size=25
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(events)
@example([("r", 1, 1), ("h", 0, 0), ("r", 1, 1)])
@example([("r", 1, 0), ("t", 0, 0), *[("r", 0, 0)] * 6, ("t", 0, 0)])
@example([("r", 1, 0), *[("r", 0, 0)] * 6, ("t", 0, 0), ("t", 0, 0), ("r", 1, 0)])
def test_snapshot_differences_add_up_to_a_full_snapshot(steps: list[tuple[str, int, int]]) -> None:
    """The applied differences equal a full snapshot, also after lost ones and a resync."""
    clock = Clock()
    context = make_context(clock)
    machines = MachineShard(context, 1, 5, 77, 0.0)
    snapshots: dict[int, ShardSnapshot] = {}
    job = job_message(new_job(context, spec("j-000001", cores=2.0), 1, 0))
    lost = False
    for seq, (kind, number, task) in enumerate(steps, 1):
        if kind == "r":
            tasks = [api.ReportTask(f"j-000001/{task}", 1, "running")] if task else []
            body = api.Report(f"vm-{number}", "x:1", "small", "b", 1, seq, 5, tasks=tasks)
            machines.apply_report(body, True)
        elif kind == "d":
            machines.mark_deleted(f"vm-{number}")
        elif kind == "h":
            request = pb.ReserveRequest(to_shard=1, to_epoch=77, job=job)
            request.tasks.add(task=task + 5, attempt=1, machine=f"vm-{number}")
            machines.reserve(request)
        clock.at += 4.0 if kind == "t" else 0.3
        machines.expire_leases()
        machines.deschedule()
        machines.reconcile()
        message = machines.snapshot_update(True)
        if kind == "l":
            lost = True
        elif apply_snapshot_message(context, snapshots, message) is None:
            assert lost
            lost = False
            apply_snapshot_message(context, snapshots, machines.full_snapshot(True))
        if kind != "l":
            full: dict[int, ShardSnapshot] = {}
            apply_snapshot_message(context, full, machines.full_snapshot(True))
            actual, expected = snapshots[1].machines, full[1].machines
            for index, entry in (*actual.items(), *expected.items()):
                # Values that only time changes are not published again: the receiver adds the time
                # that has passed. Time alone also ends unconfirmed_s of a machine that has been
                # silent for a lease.
                silent_s = clock.at - machines.machines[index].last_message_at
                unconfirmed = entry.unconfirmed_s > 0 and silent_s <= machines.state.lease_s
                entry.silent_s = entry.idle_s = 0.0
                entry.unconfirmed_s = float(unconfirmed)
                del entry.youngest_s[:]
            assert actual == expected


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("pppelcw"), st.integers(0, 7)), max_size=30))
def test_desired_state_matches_the_recorded_placements(steps: list[tuple[str, int]]) -> None:
    """Place (p) or end (e) a task, cancel the job, lose a message (l) or send it in full (w)."""
    context = make_context(Clock())
    jobs = JobShard(context, 0, 3, 9)
    machines = MachineShard(context, 1, 5, 77, 0.0)
    context.zone_names.intern("b")
    job = new_job(context, spec("j-000001", chores=8), 0, 0)
    job.key_versions[0] = 1
    jobs.adopt(job)
    for revision, (kind, task) in enumerate(steps, 2):
        update = None
        if kind == "p" and task not in job.placements:
            job.pending_starts[task] = TaskPlacement(
                context.machine_names.intern(f"vm-{task % 3}"), 1, revision, 1, 0
            )
            update = jobs.draft_update(job)
        elif kind == "e" and task in job.placements:
            job.pending_ends[task] = api.CAUSE_ERROR
            update = jobs.draft_update(job)
        elif kind == "c" and not job.cancelled:
            update = jobs.draft_cancellation(job)
        if update is not None:
            jobs.apply_update(update, revision)
        job.pending_starts.clear()
        if jobs.jobs.get(job.index) is not job:
            break
        message = jobs.desired_state_message(1, 77, kind == "w")
        if kind == "l" or not machines.apply_desired_state(message):
            assert machines.apply_desired_state(jobs.desired_state_message(1, 77, True))
        expected = {
            (index, task_key(job.index, task)): (placement.attempt, job.cancelled)
            for task, placement in job.placements.items()
            for index in [placement.machine]
        }
        actual = {
            (index, key): (desired.attempt, desired.stop)
            for index, table in machines.desired_tasks.get(0, {}).items()
            for key, desired in table.items()
        }
        assert actual == expected


def test_machines_known_only_to_a_former_owner_are_forgotten() -> None:
    """Machines that the new owner didn't know stayed in the candidate pool: they were chosen in
    vain, and never removed."""
    clock = Clock()
    node = Controller(make_context(clock))
    for epoch, names in ((77, ("vm-1", "vm-2")), (78, ()), (78, ("vm-2",))):
        machines = MachineShard(node.context, 1, 5, epoch, 0.0)
        node.membership.owners[1] = ShardOwner(1, epoch, epoch)
        for name in names:
            machines.apply_report(report(name), True)
        machines.reconcile()
        machines.snapshot_update(True)
        applied = node.state_sync.apply_snapshot(machines.full_snapshot(True))
        assert applied is SnapshotResult.UNCHANGED
        assert {
            node.context.machine_names[candidate.index]
            for candidate in node.candidates.candidates()
        } == set(names)

"""What a plan costs with many counts and tasks that wait, on one controller.

python scripts/counts_size.py [--counts 1000] [--jobs 5000] [--tasks 20] [--machines 600]
With --counts 0 the same jobs need no units; that runs with earlier versions of the code too.
"""

import random
import resource
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import click
import curio

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import put_change
from tests.support.builders import Clock, make_context, spec
from tests.support.reference_model import FakeStateClient, FakeStateService, run_without_waiting


@click.command()
@click.option("--counts", default=1000)
@click.option("--jobs", default=5000)
@click.option("--tasks", default=20)
@click.option("--machines", default=600)
@click.option("--plans", default=20)
def main(counts: int, jobs: int, tasks: int, machines: int, plans: int) -> None:
    """Fill a controller with jobs that wait, and time its plans. No time passes for it."""
    rng = random.Random(1)
    node = Controller(make_context(Clock()))
    node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, 1e9
    shard = JobShard(node.context, 0, 3, 9)
    shard.loaded = True
    node.writers[0] = RecordWriter(node.context, node.state, shard)
    node.membership.owners[2] = ShardOwner(0, 5, 77)
    node.peers.last_heard_at[0] = 1e9
    snapshot = ShardSnapshot(node.context, 2, 77)
    candidates = [
        pb.MachineState(id=f"vm-{i}", type="small", zone="a", schedulable=True, available_cpus=4.0,
                   available_memory_gb=16.0)
        for i in range(machines)
    ]  # fmt: skip
    snapshot.apply(
        pb.Snapshot(shard=2, epoch=77, seq=1, valid=True, full=True, machines=candidates)
    )
    node.candidates.update(snapshot, set(snapshot.machines))
    if counts:
        from starlingdeck.counts.ledger import Ledger
        from starlingdeck.counts.plugin import CountedResourcePlugin
        from starlingdeck.protocol.config import CountSettings

        plugin = CountedResourcePlugin(
            node.context, node.state, node.membership, node.writers, CountSettings()
        )
        node.register_plugin(plugin)
        node.writers[0].durable_plugin = plugin
        for i in range(counts):
            plugin.store.update(
                node.context.resource_names.intern(f"c-{i}"), Ledger(3, (0, 0, 0)), 1
            )
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for i in range(jobs):
        needs = {f"c-{rng.randrange(counts)}": 1 for _ in range(1 + i % 2)} if counts else {}
        more = {"counts": needs} if needs else {}
        job = new_job(node.context, spec(f"j-{i}", chores=tasks, rank="idle", **more), 0, i)
        shard.jobs[job.index] = job
    node.planner.reservations.reserve_local = lambda _: pb.ReserveReply()
    spent: list[float] = []

    async def drive() -> None:
        for _ in range(plans):
            began = time.process_time()
            await node.planner.run_cycle()
            spent.append(time.process_time() - began)
            await curio.sleep(0)
            for job in shard.jobs.values():
                job.reserving.clear()
                job.retry_at.clear()

    curio.run(drive)
    spent.sort()
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    median_ms, most_ms = spent[len(spent) // 2] * 1000, spent[-1] * 1000
    print(f"{jobs * tasks} tasks wait, {counts} counts, {machines} machines")
    print(f"a plan takes {median_ms:.1f} ms of processor time, most {most_ms:.1f}")
    print(f"the jobs take {(after_kb - before_kb) / 1024:.1f} MB")
    for what, starts, changes in turns(node, shard):
        print(f"{what}: {starts} starts, {changes / max(1, starts):.2f} state changes each")


class CountingState(FakeStateService):
    """A state service that counts what is written."""

    written = 0

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        """Applies a transaction and counts its changes."""
        self.written += len(changes)
        return super().apply(conditions, changes)


def turns(node: Controller, shard: JobShard) -> Iterator[tuple[str, int, int]]:
    """Starts of up to 3 tasks a job from nothing, then in the place of others that end."""
    state = CountingState(random.Random(1))
    writer, plugin = node.writers[0], node.admission.durable
    writer.state = FakeStateClient(state, 0.0)  # type: ignore[assignment]
    puts = [put_change(records.shard_key(0), 0)]
    for job in shard.jobs.values():
        puts.append(put_change(records.job_key(0, job.id), 0))
        job.key_versions[0] = 2
    if plugin is not None:
        store = plugin.store  # type: ignore[attr-defined]  # a CountedResourcePlugin
        store.state = writer.state
        for resource_id, ledger in store.ledgers.items():
            puts.append(put_change(store.key(resource_id), ledger))
            store.versions[resource_id] = 2
    state.apply({}, puts)
    shard.token = state.revision
    zone, machine = node.context.zone_names.intern("a"), node.context.machine_names.intern("vm-0")
    for what in ("from nothing", "in the place of others"):
        state.written = starts = 0
        for job in shard.jobs.values():
            for task, placement in job.placements.items():
                shard.end_attempt(job, task, placement, api.W_DONE, "exit done")
        run_without_waiting(node.admission.begin_cycle(list(shard.jobs.values())))
        for job in shard.jobs.values():
            found = job.pending(min(3, node.admission.headroom(job)))
            for task in found:
                job.pending_starts[task] = TaskPlacement(
                    machine, 1, job.attempts[task] + 1, 0, zone, state_since=1e9
                )
                shard.dirty_jobs.add(job.index)
            node.admission.on_requested(job, len(found))
            starts += len(found)
        while run_without_waiting(writer.flush()):
            pass
        yield what, starts, state.written


if __name__ == "__main__":
    main()

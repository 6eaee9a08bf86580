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

from starlingdeck.cluster.membership import Holder
from starlingdeck.controller.controller import Node
from starlingdeck.jobs.job import Place, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.machines.shard_snapshot import Sight
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import put
from tests.support.builders import Clock, make_world, spec
from tests.support.reference_model import PlainClient, PlainState, at_once


@click.command()
@click.option("--counts", default=1000)
@click.option("--jobs", default=5000)
@click.option("--tasks", default=20)
@click.option("--machines", default=600)
@click.option("--plans", default=20)
def main(counts: int, jobs: int, tasks: int, machines: int, plans: int) -> None:
    """Fill a controller with jobs that wait, and time its plans. No time passes for it."""
    rng = random.Random(1)
    node = Node(make_world(Clock()))
    node.membership.lease, node.membership.renewed = 1, 1e9
    shard = JobShard(node.world, 0, 3, 9)
    shard.loaded = True
    node.writers[0] = Writer(node.world, node.state, shard)
    node.membership.holders[2] = Holder(0, 5, 77)
    node.peers.heard[0] = 1e9
    sight = Sight(node.world, 2, 77)
    rooms = [
        pb.Machine(id=f"vm-{i}", type="small", zone="a", drawable=True, free_cpus=4.0,
                   free_memory_gb=16.0)
        for i in range(machines)
    ]  # fmt: skip
    sight.take(pb.View(shard=2, gen=77, seq=1, valid=True, whole=True, machines=rooms))
    node.rooms.show(sight, set(sight.machines))
    if counts:
        from starlingdeck.counts.ledger import Ledger
        from starlingdeck.counts.plugin import Counts
        from starlingdeck.protocol.config import CountSettings

        gate = Counts(node.world, node.state, node.membership, node.writers, CountSettings())
        node.install(gate)
        node.writers[0].gate = gate
        for i in range(counts):
            gate.keep(node.world.counts.put(f"c-{i}"), Ledger(3, (0, 0, 0)), 1)
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    for i in range(jobs):
        needs = {f"c-{rng.randrange(counts)}": 1 for _ in range(1 + i % 2)} if counts else {}
        more = {"counts": needs} if needs else {}
        job = new_job(node.world, spec(f"j-{i}", chores=tasks, rank="idle", **more), 0, i)
        shard.jobs[job.index] = job
    node.planner.reserve_here = lambda _: pb.Reserved()
    spent: list[float] = []

    async def drive() -> None:
        for _ in range(plans):
            began = time.process_time()
            await node.planner.plan()
            spent.append(time.process_time() - began)
            await curio.sleep(0)
            for job in shard.jobs.values():
                job.asking.clear()
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


class CountingState(PlainState):
    written = 0

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        self.written += len(changes)
        return super().apply(conditions, changes)


def turns(node: Node, shard: JobShard) -> Iterator[tuple[str, int, int]]:
    """Starts of up to 3 tasks a job from nothing, then in the place of others that end."""
    state = CountingState(random.Random(1))
    writer, gate = node.writers[0], node.admission.durable
    writer.state = PlainClient(state, 0.0)  # type: ignore[assignment]
    puts = [put(records.shard_key(0), 0)]
    for job in shard.jobs.values():
        puts.append(put(records.job_key(0, job.id), 0))
        job.versions[0] = 2
    if gate is not None:
        gate.state = writer.state  # type: ignore[attr-defined]
        for count, found in gate.ledgers.items():  # type: ignore[attr-defined]
            puts.append(put(gate.key(count), found))  # type: ignore[attr-defined]
            gate.stamps[count] = 2  # type: ignore[attr-defined]
    state.apply({}, puts)
    shard.token = state.epoch
    zone, machine = node.world.zones.put("a"), node.world.machines.put("vm-0")
    for what in ("from nothing", "in the place of others"):
        state.written = starts = 0
        for job in shard.jobs.values():
            for task, place in job.places.items():
                shard._end(job, task, place, api.W_DONE, "exit done")
        at_once(node.admission.note(list(shard.jobs.values())))
        for job in shard.jobs.values():
            found = job.pending(min(3, node.admission.spare(job)))
            for task in found:
                job.starts[task] = Place(machine, 1, job.tries[task] + 1, 0, zone, since=1e9)
                shard.dirty.add(job.index)
            node.admission.picked(job, len(found))
            starts += len(found)
        while at_once(writer.flush()):
            pass
        yield what, starts, state.written


if __name__ == "__main__":
    main()

"""What overload costs by size: a plan, a greeting and a report.

  python scripts/overload_size.py

Builds one controller of 3, 5 or 9 with its share of 600 full machines, jobs of 2, 20 or 1,000
pairs of team and class, and 1,000 or 100,000 waiting tasks none of which can be placed. Prints the
median of processor time per call, with floors and without.
"""

import logging
import statistics
import sys
import time
from pathlib import Path

import curio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings, Tuning
from tests.support.builders import Clock, make_context, spec

MACHINES = 600
TASKS_A_JOB = 40
RUNS = 15


def build(nodes: int, pairs: int, tasks: int, floors: bool) -> tuple[Controller, Clock]:
    """A controller with that many peers, pairs of team and class, and tasks."""
    clock = Clock()
    context = make_context(clock, 1, ("a",) * nodes)
    context.tuning = Tuning(overload=OverloadSettings() if floors else None)
    node = Controller(context)
    node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, clock.at
    for shard in range(nodes):
        epoch = 70 + shard
        node.membership.owners[shard] = ShardOwner(shard, 5, epoch)
        node.peers.last_heard_at[shard] = 1e12
        node.peers.links[shard] = object()  # type: ignore[assignment]
        names = [f"vm-{n}" for n in range(shard, MACHINES, nodes)]
        snapshot = ShardSnapshot(context, shard, epoch)
        shown = [
            pb.MachineState(
                id=n, type="small", zone="a", schedulable=True, youngest_s=[-1, -1, 5, -1]
            )
            for n in names
        ]
        snapshot.apply(
            pb.Snapshot(shard=shard, epoch=epoch, seq=1, valid=True, full=True, machines=shown)
        )
        node.candidates.update(snapshot, set(snapshot.machines))
    jobs = JobShard(context, 0, 5, 70)
    jobs.loaded = True
    node.writers[0] = RecordWriter(context, node.state, jobs)
    node.machines[0] = MachineShard(context, 0, 5, 70, 0.0)
    for n in range(tasks // nodes // TASKS_A_JOB):
        body = spec(f"j-{n:06d}", chores=TASKS_A_JOB, flock=f"c-{n % pairs}", cores=1.0, ram_gb=1.0)
        job = new_job(context, body, 0, context.wall_clock_ms() - n)
        jobs.jobs[job.index] = job
    for n in range(MACHINES // nodes):
        report = api.Report(f"vm-{n * nodes}", "w", "small", "a", 1, 1, 5, False, None, [])
        node.machines[0].apply_report(report, True)
    return node, clock


def spent_ms(node: Controller, clock: Clock, do: str) -> float:
    """Processor time of one call, in milliseconds."""

    async def once() -> float:
        began = time.process_time()
        if do == "plan":
            await node.planner.run_cycle()
        else:
            node.build_gossip().SerializeToString()
        return (time.process_time() - began) * 1000

    took = []
    for _ in range(RUNS):
        clock.at += 0.5
        node.membership.lease.renewed_at = clock.at
        for snapshot in node.candidates.snapshots.values():
            snapshot.received_at = clock.at
        took.append(curio.run(once))
    return statistics.median(took[4:])


def main() -> None:
    """Prints one row for each size."""
    logging.disable(logging.CRITICAL)
    print("controllers pairs waiting floors plan_ms greeting_ms greeting_bytes")
    for nodes in (3, 5, 9):
        for pairs in (2, 20, 1000):
            for tasks in (1_000, 100_000):
                for floors in (False, True):
                    node, clock = build(nodes, pairs, tasks, floors)
                    if node.overload is not None:
                        node.overload.settings = OverloadSettings(patience_s=0.1)
                    plan, greeting = (spent_ms(node, clock, do) for do in ("plan", "greeting"))
                    size = len(node.build_gossip().SerializeToString())
                    flag = "on" if floors else "off"
                    print(f"{nodes} {pairs} {tasks} {flag} {plan:.1f} {greeting:.1f} {size}")


if __name__ == "__main__":
    main()

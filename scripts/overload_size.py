"""Measure the cost of overload control at several sizes: a scheduling cycle and a gossip message.

  python scripts/overload_size.py

Build one controller of a cluster of 3, 5 or 9, with its share of 600 machines without free capacity
and of 1,000 or 100,000 waiting tasks, none of which can be placed; their jobs belong to up to 2, 20
or 1,000 pairs of team and class. Print the median processor time per call, with and without minimum
shares.
"""

import itertools
import logging
import statistics
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

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
TASKS_PER_JOB = 40
RUNS = 15  # calls of each measurement, warm-up included
WARM_UP_RUNS = 4


class Size(NamedTuple):
    """The size of one measurement: `pairs` of team and class, `tasks` of the whole cluster."""

    controllers: int
    pairs: int
    tasks: int
    min_shares: bool


def build(size: Size) -> tuple[Controller, Clock]:
    """Return a controller in a cluster of this size with its share of the load, and its clock."""
    clock = Clock()
    context = make_context(clock, 1, ("a",) * size.controllers)
    context.tuning = Tuning(overload=OverloadSettings() if size.min_shares else None)
    controller = Controller(context)
    controller.membership.lease.lease_id, controller.membership.lease.renewed_at = 1, clock.at
    for shard in range(size.controllers):
        epoch = 70 + shard
        controller.membership.owners[shard] = ShardOwner(shard, 5, epoch)
        controller.peers.last_heard_at[shard] = 1e12
        controller.peers.links[shard] = object()  # type: ignore[assignment]  # any object
        names = [f"vm-{n}" for n in range(shard, MACHINES, size.controllers)]
        snapshot = ShardSnapshot(context, shard, epoch)
        machines = [
            pb.MachineState(
                id=n, type="small", zone="a", schedulable=True, youngest_s=[-1, -1, 5, -1]
            )
            for n in names
        ]
        snapshot.apply(
            pb.Snapshot(shard=shard, epoch=epoch, seq=1, valid=True, full=True, machines=machines)
        )
        controller.candidates.update(snapshot, set(snapshot.machines))
    jobs = JobShard(context, 0, 5, 70)
    jobs.loaded = True
    controller.writers[0] = RecordWriter(context, controller.state, jobs)
    controller.machines[0] = MachineShard(context, 0, 5, 70, 0.0)
    for n in range(size.tasks // size.controllers // TASKS_PER_JOB):
        body = spec(
            f"j-{n:06d}", chores=TASKS_PER_JOB, flock=f"c-{n % size.pairs}", cores=1.0, ram_gb=1.0
        )
        job = new_job(context, body, 0, context.wall_clock_ms() - n)
        jobs.jobs[job.index] = job
    for n in range(MACHINES // size.controllers):
        report = api.Report(
            f"vm-{n * size.controllers}", "w", "small", "a", 1, 1, 5, False, None, []
        )
        controller.machines[0].apply_report(report, True)
    return controller, clock


def median_ms(controller: Controller, clock: Clock, call: Callable[[], Awaitable[None]]) -> float:
    """Return the median processor time of a call in milliseconds, without the warm-up calls."""

    async def timed_call() -> float:
        began = time.process_time()
        await call()
        return (time.process_time() - began) * 1000

    run_times_ms: list[float] = []
    for _ in range(RUNS):
        clock.at += 0.5
        controller.membership.lease.renewed_at = clock.at
        for snapshot in controller.candidates.snapshots.values():
            snapshot.received_at = clock.at
        run_times_ms.append(curio.run(timed_call))
    return statistics.median(run_times_ms[WARM_UP_RUNS:])


def print_row(size: Size) -> None:
    """Measure one size and print its row."""
    controller, clock = build(size)
    if controller.overload is not None:
        controller.overload.settings = OverloadSettings(patience_s=0.1)

    async def run_cycle() -> None:
        await controller.planner.run_cycle()

    async def build_gossip() -> None:
        controller.build_gossip().SerializeToString()

    cycle_ms = median_ms(controller, clock, run_cycle)
    gossip_ms = median_ms(controller, clock, build_gossip)
    gossip_bytes = len(controller.build_gossip().SerializeToString())
    flag = "on" if size.min_shares else "off"
    print(
        f"{size.controllers} {size.pairs} {size.tasks} {flag}"
        f" {cycle_ms:.1f} {gossip_ms:.1f} {gossip_bytes}"
    )


def main() -> None:
    """Print one row for each size."""
    logging.disable(logging.CRITICAL)
    print("controllers pairs waiting min_shares cycle_ms gossip_ms gossip_bytes")
    sizes = itertools.product((3, 5, 9), (2, 20, 1000), (1_000, 100_000), (False, True))
    for controllers, pairs, tasks, min_shares in sizes:
        print_row(Size(controllers, pairs, tasks, min_shares))


if __name__ == "__main__":
    main()

"""Measure a scheduling cycle with many counted resources and waiting tasks, on one controller.

python scripts/counts_size.py [--counts 1000] [--jobs 5000] [--tasks 20] [--machines 600]
With --counts 0 the same jobs need no units; that also runs with versions of the code that have no
counted resources.
"""

import random
import resource
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
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


@dataclass(frozen=True)
class Load:
    """The size of the measured load; `counts` is the number of resources, `tasks` is per job."""

    counts: int
    jobs: int
    tasks: int
    machines: int


@click.command()
@click.option("--counts", default=1000)
@click.option("--jobs", default=5000)
@click.option("--tasks", default=20)
@click.option("--machines", default=600)
@click.option("--plans", default=20)
def main(counts: int, jobs: int, tasks: int, machines: int, plans: int) -> None:
    """Fill a controller with waiting jobs and time its scheduling cycles."""
    load = Load(counts, jobs, tasks, machines)
    controller, shard = build_controller(load)
    if counts:
        add_resources(controller, counts)
    before_kb = peak_memory_kb()
    add_jobs(controller, shard, load)
    cycle_s = time_cycles(controller, shard, plans)
    after_kb = peak_memory_kb()
    median_ms, max_ms = cycle_s[len(cycle_s) // 2] * 1000, cycle_s[-1] * 1000
    print(f"{jobs * tasks} tasks wait, {counts} counts, {machines} machines")
    print(f"a plan takes {median_ms:.1f} ms of processor time, most {max_ms:.1f}")
    print(f"the jobs take {(after_kb - before_kb) / 1024:.1f} MB")
    for label, starts, changes in measure_changes(controller, shard):
        print(f"{label}: {starts} starts, {changes / max(1, starts):.2f} state changes each")


def peak_memory_kb() -> int:
    """Return the largest resident memory of this process so far, in KiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def build_controller(load: Load) -> tuple[Controller, JobShard]:
    """Return a controller that sees the machines of shard 2, and job shard 0, which it owns."""
    controller = Controller(make_context(Clock()))
    controller.membership.lease.lease_id, controller.membership.lease.renewed_at = 1, 1e9
    shard = JobShard(controller.context, 0, 3, 9)
    shard.loaded = True
    controller.writers[0] = RecordWriter(controller.context, controller.state, shard)
    controller.membership.owners[2] = ShardOwner(0, 5, 77)
    controller.peers.last_heard_at[0] = 1e9
    snapshot = ShardSnapshot(controller.context, 2, 77)
    machines = [
        pb.MachineState(
            id=f"vm-{i}",
            type="small",
            zone="a",
            schedulable=True,
            available_cpus=4.0,
            available_memory_gb=16.0,
        )
        for i in range(load.machines)
    ]
    snapshot.apply(pb.Snapshot(shard=2, epoch=77, seq=1, valid=True, full=True, machines=machines))
    controller.candidates.update(snapshot, set(snapshot.machines))
    controller.planner.reservations.reserve_local = lambda _: pb.ReserveReply()
    return controller, shard


def add_resources(controller: Controller, counts: int) -> None:
    """Declare counted resources with three free units each."""
    # Imported here, as earlier versions of the code have no counted resources.
    from starlingdeck.counts.ledger import Ledger
    from starlingdeck.counts.plugin import CountedResourcePlugin
    from starlingdeck.protocol.config import CountSettings

    plugin = CountedResourcePlugin(
        controller.context,
        controller.state,
        controller.membership,
        controller.writers,
        CountSettings(),
    )
    controller.register_plugin(plugin)
    controller.writers[0].durable_plugin = plugin
    for i in range(counts):
        resource_id = controller.context.resource_names.intern(f"c-{i}")
        plugin.store.update(resource_id, Ledger(3, (0, 0, 0)), 1)


def add_jobs(controller: Controller, shard: JobShard, load: Load) -> None:
    """Add waiting jobs; each needs a unit of one or two random resources, or none without any."""
    rng = random.Random(1)
    for i in range(load.jobs):
        units = (
            {f"c-{rng.randrange(load.counts)}": 1 for _ in range(1 + i % 2)} if load.counts else {}
        )
        more = {"counts": units} if units else {}
        body = spec(f"j-{i}", chores=load.tasks, rank="idle", **more)
        job = new_job(controller.context, body, 0, i)
        shard.jobs[job.index] = job


def time_cycles(controller: Controller, shard: JobShard, cycles: int) -> list[float]:
    """Return the processor time of each scheduling cycle in seconds, sorted.

    No task is started: reservations get an empty reply.
    """
    cycle_s: list[float] = []

    async def drive() -> None:
        for _ in range(cycles):
            began = time.process_time()
            await controller.planner.run_cycle()
            cycle_s.append(time.process_time() - began)
            await curio.sleep(0)
            for job in shard.jobs.values():
                job.reserving.clear()
                job.retry_at.clear()

    curio.run(drive)
    return sorted(cycle_s)


class CountingState(FakeStateService):
    """A state service that counts the changes written to it."""

    written = 0

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        """Apply a transaction and count its changes."""
        self.written += len(changes)
        return super().apply(conditions, changes)


def measure_changes(controller: Controller, shard: JobShard) -> Iterator[tuple[str, int, int]]:
    """Yield a label, and the starts and state changes of up to 3 tasks per job.

    First all tasks are new, then they replace the started ones, which have ended.
    """
    state = CountingState(random.Random(1))
    writer, plugin = controller.writers[0], controller.admission.durable
    writer.state = FakeStateClient(state, 0.0)  # type: ignore[assignment]  # a fake client
    initial_changes = [put_change(records.shard_key(0), 0)]
    for job in shard.jobs.values():
        initial_changes.append(put_change(records.job_key(0, job.id), 0))
        job.key_versions[0] = 2
    if plugin is not None:
        store = plugin.store  # type: ignore[attr-defined]  # a CountedResourcePlugin
        store.state = writer.state
        for resource_id, ledger in store.ledgers.items():
            initial_changes.append(put_change(store.key(resource_id), ledger))
            store.versions[resource_id] = 2
    state.apply({}, initial_changes)
    shard.token = state.revision
    zone, machine = (
        controller.context.zone_names.intern("a"),
        controller.context.machine_names.intern("vm-0"),
    )
    for label in ("from nothing", "in the place of others"):
        state.written = starts = 0
        for job in shard.jobs.values():
            for task, placement in job.placements.items():
                shard.end_attempt(job, task, placement, api.CAUSE_DONE, "exit done")
        run_without_waiting(controller.admission.begin_cycle(list(shard.jobs.values())))
        for job in shard.jobs.values():
            new_tasks = job.pending(min(3, controller.admission.headroom(job)))
            for task in new_tasks:
                job.pending_starts[task] = TaskPlacement(
                    machine, 1, job.attempts[task] + 1, 0, zone, state_since=1e9
                )
                shard.dirty_jobs.add(job.index)
            controller.admission.on_requested(job, len(new_tasks))
            starts += len(new_tasks)
        while run_without_waiting(writer.flush()):
            pass
        yield label, starts, state.written


if __name__ == "__main__":
    main()

"""A job that has failed on three machines and waits for room keeps all others such from running."""

import asyncio
import sys
import time
import zlib
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from machines import Worker  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONE = "ljubljana-rack"
FAULTY_MACHINES = 3
WAIT_S = 90.0  # kit/more/hunt/LATER.md


def build(record: Path) -> World:
    """Return a deployment with three machines of 16 CPUs; the cloud has no other."""
    return World(record, [ZONE] * 3, kinds=small_types([ZONE]), capacity={})


def job_of_shard_0(number: int) -> str:
    """Return the id of a job that belongs to shard 0."""
    while zlib.crc32(f"j-{number:06d}".encode()) % 3 != 0:
        number += 1
    return f"j-{number:06d}"


async def fail_where_it_starts(world: World, task: str) -> None:
    """Let the machines on which a task is started be faulty, one after the other, three in all."""
    faulty: list[Worker] = []

    def on_launch(worker: Worker, name: str) -> None:
        if name == task and worker not in faulty and len(faulty) < FAULTY_MACHINES:
            faulty.append(worker)
            worker.sick = True
            world.note("machine fails what it starts", worker.name)

    world.on_launch = on_launch
    while len(faulty) < FAULTY_MACHINES or any(worker.sick for worker in faulty):
        await asyncio.sleep(0.02)
        for worker in faulty:
            here = worker.tasks.get(task)
            if worker.sick and (here is None or here.status == "exited"):
                worker.sick = False
                world.note("machine is sound again", worker.name)


async def submit_to_faulty_machines(
    world: World, job: str, description: dict[str, object], trouble: bool
) -> None:
    """Submit a job of one task; with trouble it fails on three machines."""
    world.run_times[job] = 30.0
    failing = asyncio.create_task(fail_where_it_starts(world, f"{job}/0")) if trouble else None
    if not await world.submit(job, description):
        raise RuntimeError(f"{job} was not accepted")
    if failing is not None:
        async with asyncio.timeout(30):
            await failing


async def play(world: World, trouble: bool) -> list[str]:
    """Let a large and a small job fail on three machines; there is room for the small one."""
    for _ in range(3):
        await world.cloud.rent(world.cloud.kinds[1], ZONE, False, 0.1)
    await asyncio.sleep(2)
    large, small = job_of_shard_0(1), job_of_shard_0(100)
    await submit_to_faulty_machines(
        world, large, spec(large, chores=1, cores=16.0, ram_gb=16.0, guess_s=30.0), trouble
    )
    lookup = spec(
        "j-000900", shape="daemon", flock="record-lookup", rank="prod", chores=3, cores=2.0,
        ram_gb=40.0, guess_s=0.0, loaners=False,
    )  # fmt: skip
    await world.submit("j-000900", lookup)
    await asyncio.sleep(2)
    await submit_to_faulty_machines(
        world, small, spec(small, chores=1, cores=2.0, ram_gb=2.0, guess_s=30.0), trouble
    )
    world.note("from now on every machine is sound")
    sound_since = time.monotonic()
    while time.monotonic() - sound_since <= WAIT_S:
        await asyncio.sleep(3)
        await world.poll(small)
        await world.poll(large)
        if world.checker.on[f"{small}/0"] or world.seen[small].terminal:
            return []
    waited_s = time.monotonic() - sound_since
    return [f"{small} has waited {waited_s:.0f} s with 14 CPUs and 24 GB of each machine free"]


if __name__ == "__main__":
    main(build, play, HERE)

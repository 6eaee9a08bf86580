"""A service that has failed on three machines never gets its lost replicas back."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from machines import Worker  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONES = ["ljubljana-rack", "maribor-rack"]
FAULTY_MACHINES = 3
WAIT_S = 90.0  # kit/more/hunt/LATER.md
REPLICAS = 3


def build(record: Path) -> World:
    """Return a deployment with two zones and eight machines of 8 CPUs."""
    return World(record, [ZONES[0], ZONES[1], ZONES[0]], kinds=small_types(ZONES), capacity={})


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


async def play(world: World, trouble: bool) -> list[str]:
    """Run a service of three replicas; one of them meets three faulty machines."""
    for zone in ZONES:
        for _ in range(4):
            await world.cloud.rent(world.cloud.kinds[0], zone, False, 0.1)
    await asyncio.sleep(2)
    lookup = spec(
        "j-000001", shape="daemon", flock="record-lookup", rank="prod", chores=REPLICAS, cores=2.0,
        ram_gb=3.9, guess_s=0.0, spread=True, loaners=False, image_gb=1.0,
    )  # fmt: skip
    failing = asyncio.create_task(fail_where_it_starts(world, "j-000001/0")) if trouble else None
    if not await world.submit("j-000001", lookup):
        raise RuntimeError("the service was not accepted")
    if failing is not None:
        async with asyncio.timeout(30):
            await failing
    world.note("from now on every machine is sound")
    sound_since = time.monotonic()
    best = 0
    while time.monotonic() - sound_since <= WAIT_S:
        await asyncio.sleep(3)
        await world.poll("j-000001")
        best = max(best, sum(bool(workers) for workers in world.checker.on.values()))
        if best >= REPLICAS:
            return []
    waited_s = time.monotonic() - sound_since
    return [f"{best} of {REPLICAS} replicas ran for {waited_s:.0f} s, all machines sound"]


if __name__ == "__main__":
    main(build, play, HERE)

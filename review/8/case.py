"""A preempted task's next attempts are stopped as well, when nobody needs the room any more."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONE = "regina-hall"


def build(record: Path) -> World:
    """Return a deployment with one machine of 8 CPUs; the cloud has no other."""
    capacity = {("lipa-eight", ZONE, False): 1}
    world = World(record, [ZONE] * 3, kinds=small_types([ZONE]), capacity=capacity)
    world.run_times = {"j-000001": 20.0, "j-000002": 1.0}
    return world


async def play(world: World, trouble: bool) -> list[str]:
    """Run an array of rank normal; an urgent one takes its room for a second."""
    await world.cloud.rent(world.cloud.kinds[0], ZONE, False, 0.1)
    await asyncio.sleep(2)
    first = spec("j-000001", flock="tariff-recalc", chores=1, cores=8.0, ram_gb=8.0, image_gb=0.2)
    second = spec(
        "j-000002", flock="fault-sweep", chores=1, cores=8.0, ram_gb=8.0, image_gb=0.2,
        rank="urgent", guess_s=1.0,
    )  # fmt: skip
    await world.submit("j-000001", first)
    await asyncio.sleep(5)
    if trouble:
        await world.submit("j-000002", second)
        async with asyncio.timeout(40):
            while "j-000002/0" not in world.results:
                await asyncio.sleep(0.02)
    alone_since = time.monotonic()
    world.note("from now on j-000001 is the only job")
    for _ in range(55):
        await asyncio.sleep(1)
        await world.poll("j-000001")
        if world.seen["j-000001"].terminal:
            break
    return [
        f"{task} attempt {attempt}, launched when no other job was left, was stopped by command"
        for task, attempt, launched_at in world.stops
        if launched_at > alone_since
    ]


if __name__ == "__main__":
    main(build, play, HERE)

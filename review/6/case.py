"""A job that is `same_place` and `spread` has all its tasks in one zone at once."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONES = ["ljubljana-rack", "maribor-rack"]


def build(record: Path) -> World:
    """Return a deployment with two zones and four machines of 16 CPUs."""
    world = World(record, [ZONES[0], ZONES[1], ZONES[0]], kinds=small_types(ZONES), capacity={})
    world.run_times = {"j-000001": 5.0}
    return world


async def play(world: World, trouble: bool) -> list[str]:
    """Submit one array and wait until it is done."""
    for zone in ZONES:
        for _ in range(2):
            await world.cloud.rent(world.cloud.kinds[1], zone, False, 0.1)
    await asyncio.sleep(2)
    job = spec("j-000001", chores=4, cores=2.0, ram_gb=2.0, same_place=True, spread=trouble)
    if not await world.submit("j-000001", job):
        raise RuntimeError("the array was not accepted")
    for _ in range(40):
        await asyncio.sleep(1)
        await world.poll("j-000001")
        if world.seen["j-000001"].terminal:
            break
    return world.checker.broken


if __name__ == "__main__":
    main(build, play, HERE)

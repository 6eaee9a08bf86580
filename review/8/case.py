"""A replica that may run only in one zone waits while machines are rented in the other zone."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONES = ["ljubljana-rack", "maribor-rack"]
WATCH_S = 90.0


def build(record: Path) -> World:
    """Return a deployment with two zones; the cloud has 25 machines of a type in each."""
    kinds = small_types(ZONES)[:1]
    capacity = {(kinds[0].name, zone, False): 25 for zone in ZONES}
    return World(record, [ZONES[0], ZONES[1], ZONES[0]], kinds=kinds, capacity=capacity)


async def play(world: World, trouble: bool) -> list[str]:
    """Run spread services of two replicas: four fill the only machine of one zone, six need two."""
    for zone in (ZONES[0], ZONES[0], ZONES[0], ZONES[1]):
        await world.cloud.rent(world.cloud.kinds[0], zone, False, 0.1)
    await asyncio.sleep(2)
    services = 6 if trouble else 4
    for number in range(services):
        job = f"j-{number:06d}"
        lookup = spec(
            job, shape="daemon", flock="record-lookup", rank="prod", chores=2, cores=2.0,
            ram_gb=3.9, guess_s=0.0, spread=True, loaners=False,
        )  # fmt: skip
        if not await world.submit(job, lookup):
            raise RuntimeError(f"{job} was not accepted")
    before = world.cloud.count
    best = 0
    for _ in range(int(WATCH_S / 5)):
        await asyncio.sleep(5)
        for job in list(world.jobs):
            await world.poll(job)
        best = max(best, sum(bool(workers) for workers in world.checker.on.values()))
    if best >= 2 * services:
        return []
    zones = [worker.zone for worker in world.cloud.hosts.values()]
    return [
        f"for {WATCH_S:.0f} s at most {best} of {2 * services} replicas ran;"
        f" {world.cloud.count - before} machines were rented meanwhile,"
        f" {zones.count(ZONES[1]) - 1} of them in the zone that needs one"
    ]


if __name__ == "__main__":
    main(build, play, HERE)

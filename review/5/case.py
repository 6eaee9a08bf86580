"""A transfer of quota overwrites one that its giver has not seen: a team exceeds its limit."""

import asyncio
import signal
import sys
import time
import zlib
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import main  # noqa: E402 -- needs the path above
from world import World, small_types, spec  # noqa: E402 -- needs the path above

ZONE = "ljubljana-rack"
TEAMS = 18
LIMIT_CPUS = 12.0
STILL_S = 1.45
GIVER, OTHER_GIVER, RECEIVER = 0, 1, 2


def team(number: int) -> str:
    """Return a team's name."""
    return f"team-{number}"


def job_of(shard: int, number: int) -> str:
    """Return the id of a job that belongs to a shard."""
    while zlib.crc32(f"j-{number:06d}".encode()) % 3 != shard:
        number += 1
    return f"j-{number:06d}"


def build(record: Path) -> World:
    """Return a deployment with six machines of 16 CPUs."""
    teams = [
        {"name": team(i), "cpus": 0.0, "cpus_max": LIMIT_CPUS, "gpus": 0.0, "gpus_max": 0.0}
        for i in range(TEAMS)
    ]
    return World(record, [ZONE] * 3, kinds=small_types([ZONE]), capacity={}, teams=teams)


async def play(world: World, trouble: bool) -> list[str]:
    """Let one controller stand still while two others need quota, once for each team."""
    for _ in range(6):
        await world.cloud.rent(world.cloud.kinds[1], ZONE, False, 0.1)
    await asyncio.sleep(2)
    for number in range(TEAMS):
        await play_round(world, trouble, number)
        if world.checker.broken or time.monotonic() - world.started_at > 97:
            break
    return world.checker.broken


async def play_round(world: World, trouble: bool, number: int) -> None:
    """Play one round with a team of its own."""
    jobs = [job_of(RECEIVER, 1000 * number + 1), job_of(OTHER_GIVER, 1000 * number + 500)]
    for job in jobs:
        world.run_times[job] = 300.0
    array = {"chores": 8, "cores": 1.0, "ram_gb": 1.0, "image_gb": 0.0, "crew": team(number)}
    still_since = time.monotonic()
    if trouble:
        world.signal_node(GIVER, signal.SIGSTOP)
    await world.submit(jobs[0], spec(jobs[0], **array), RECEIVER)
    key = f"c/q/{number}"
    while key not in world.state.entries and time.monotonic() < still_since + 1.0:
        await asyncio.sleep(0.005)
    world.note("shares", world.state.entries.get(key))
    await world.submit(jobs[1], spec(jobs[1], **array), OTHER_GIVER)
    await asyncio.sleep(max(0.0, still_since + STILL_S - time.monotonic()))
    if trouble:
        world.signal_node(GIVER, signal.SIGCONT)
    await asyncio.sleep(2.5)
    world.note("shares", world.state.entries.get(key))
    for job in jobs:
        await world.cancel(job)
    await asyncio.sleep(1)


if __name__ == "__main__":
    main(build, play, HERE)

"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from world import ROOT, World

LIMIT_S = 112.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
Play = Callable[[World, bool], Awaitable[list[str]]]


async def _play(world: World, play: Play, trouble: bool) -> list[str]:
    async with asyncio.timeout(LIMIT_S):
        await world.start()
        return await play(world, trouble)


async def _run(build: Callable[[Path], World], play: Play, record: Path) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    task = asyncio.current_task()
    if task is not None:  # SIGTERM ends the controllers too
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    world = build(record)
    world.note("TROUBLE", int(trouble))
    try:
        found = await _play(world, play, trouble)
    except Exception:  # whatever happened, the case has shown nothing
        world.note("THE CASE DID NOT RUN", traceback.format_exc())
        traceback.print_exc()
        return NOT_RUN
    finally:
        await world.stop()
    for line in found:
        world.note("BROKEN", line)
        print("broken:", line)
    print("rule broken" if found else "rule held")
    return BROKEN if found else HELD


def main(build: Callable[[Path], World], play: Play, folder: Path) -> None:
    """Run a case in its folder and exit."""
    if not (ROOT / "target" / "deps").is_dir():
        print("the build of the deploy file is missing")
        sys.exit(NOT_RUN)
    try:
        status = asyncio.run(_run(build, play, folder / "record.txt"))
    except asyncio.CancelledError:
        status = NOT_RUN
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)

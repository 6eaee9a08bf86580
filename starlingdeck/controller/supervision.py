"""Supervision of a controller's long-running loops."""

import logging
import random
from collections.abc import Awaitable, Callable

import curio

log = logging.getLogger(__name__)

MIN_RESTART_DELAY_S = 0.5
RESTART_JITTER_S = 0.5

Loop = Callable[[], Awaitable[object]]


async def supervise(loop: Loop, rng: random.Random) -> None:
    """Run a loop for ever: when it fails, log the error and restart it after a delay."""
    name = loop.__qualname__
    (await curio.current_task()).name = name
    while True:
        try:
            await loop()
        except Exception:  # an error of one loop must not end the process
            log.exception("loop failed, restarting: loop=%s", name)
            await curio.sleep(MIN_RESTART_DELAY_S + RESTART_JITTER_S * rng.random())

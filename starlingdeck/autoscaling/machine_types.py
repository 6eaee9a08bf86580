"""Keeps the machine types and their prices up to date with the cloud."""

import logging
from collections.abc import Awaitable, Callable

import curio

from starlingdeck.autoscaling.cloud_client import CloudClient, CloudError
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

STORE_INTERVAL_S = 10.0
STORES_PER_REFRESH = 6


async def refresh_machine_types(
    context: ControllerContext,
    cloud: CloudClient,
    load: Callable[[], Awaitable[list[api.MachineType]]],
    store: Callable[[list[api.MachineType]], Awaitable[None]],
) -> None:
    """Read the machine types from the cloud until they are known, then once a minute.

    Until then those that a controller last stored are used: controllers that restarted while
    the cloud was down could accept no job, because they couldn't tell which can ever run.
    """
    while True:
        try:
            types = await cloud.machine_types()
            context.update_machine_types(types)
            for _ in range(STORES_PER_REFRESH):
                await store(types)
                await curio.sleep(STORE_INTERVAL_S)
        except CloudError as error:
            log.info("reading machine types failed: error=%s", error)
            if not context.machine_types:
                context.update_machine_types(await load())
            await curio.sleep(0.7 + 0.6 * context.rng.random())

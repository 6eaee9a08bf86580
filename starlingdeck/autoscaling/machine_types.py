"""Reads the machine types and their prices from the cloud, and stores them."""

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
    """Read the machine types from the cloud once a minute, and call `store` every 10 s.

    Failed reads are retried after about a second. Until the first success, the types that a
    controller last stored are used. Without them, controllers that restarted while the cloud was
    down accepted no jobs, because they could not tell which jobs can ever run.
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

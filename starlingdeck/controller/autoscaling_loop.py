"""The loop that runs the autoscaler on the controller that owns shard 0."""

import logging

import curio
from msgspec import Struct

from starlingdeck.autoscaling.autoscaler import Autoscaler
from starlingdeck.autoscaling.cloud_client import CloudClient, CloudError
from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.controller.deleted_machines import DeletedMachines
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.scheduling.planner import Planner

log = logging.getLogger(__name__)

AUTOSCALING_SHARD = 0  # its owner rents and returns machines
AUTOSCALING_INTERVAL_S = 0.5


class AutoscalingLoop(Struct, kw_only=True, eq=False, dict=True):
    """Steps the autoscaler while this controller owns shard 0 and its lease is valid."""

    context: ControllerContext
    membership: Membership
    cloud_client: CloudClient
    candidates: CandidatePool
    planner: Planner
    deleted_machines: DeletedMachines
    autoscaler: Autoscaler | None = None

    def on_shard_acquired(self, shard: int, token: int) -> None:
        """Create a new autoscaler for this ownership if the shard is AUTOSCALING_SHARD."""
        if shard == AUTOSCALING_SHARD:
            self.autoscaler = Autoscaler(
                self.context,
                self.cloud_client,
                token,
                self.candidates.candidates,
                self.planner.demand.recent,
                self.deleted_machines.record,
            )

    def on_shard_lost(self, shard: int) -> None:
        """Stop autoscaling if the shard is AUTOSCALING_SHARD."""
        if shard == AUTOSCALING_SHARD:
            self.autoscaler = None

    async def run(self) -> None:
        """Step the autoscaler until cancelled, with an additional pause after a cloud error."""
        while True:
            await curio.sleep(AUTOSCALING_INTERVAL_S)
            if self.autoscaler is None or not self.membership.lease_is_valid():
                continue
            try:
                await self.autoscaler.step()
            except CloudError as error:
                log.info("cloud call failed: error=%s", error or "no capacity")
                await curio.sleep(0.5 + 0.5 * self.context.rng.random())

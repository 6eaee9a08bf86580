"""This controller's lease in the state service; its node key and shard keys are attached to it."""

import logging

from starlingdeck.context import CLOCK_DRIFT, ControllerContext
from starlingdeck.storage import records
from starlingdeck.storage.records import NodeValue
from starlingdeck.storage.state import (
    LeaseLostError,
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)

log = logging.getLogger(__name__)

NEVER_RENEWED = -1e9
# Subtracted from the lease's time to live when this controller decides whether it still holds it.
SAFETY_MARGIN_S = 0.2
RENEWALS_PER_TTL = 4
# Delay before a failed renewal is retried. A random delay of up to RENEWAL_RETRY_S is added.
RENEWAL_RETRY_S = 0.2


class StateLease:
    """Obtains and renews the lease, and writes this controller's node key, attached to it.

    Times are on the controller's steady clock, in seconds. A renewal counts from the time when it
    was sent. The state service counts it from when it arrives, so the lease ends there later.
    """

    def __init__(self, context: ControllerContext, state: StateClient) -> None:
        self.context = context
        self.state = state
        self.ttl_s = context.tuning.state_lease_s
        self.lease_id = 0  # 0: no lease
        self.renewed_at = NEVER_RENEWED
        self.boot_id = context.rng.getrandbits(48)
        self.announced = False  # whether the node key was written under the current lease
        self.reachable = True  # whether the last renewal succeeded

    def is_valid(self) -> bool:
        """Return whether the lease certainly still exists.

        While it exists, no other controller can have taken over a shard of this one.
        """
        return self.certain_s() > 0

    def certain_s(self) -> float:
        """Return for how many more seconds the lease certainly exists; 0 or less if not now."""
        if not self.lease_id:
            return 0.0
        return self.renewed_at + self._safe_ttl_s() - self.context.now()

    def may_renew_worker_leases(self) -> bool:
        """Return whether workers' leases may be renewed.

        During an outage of the state service they may be renewed for a bounded time, even after
        the state lease has ended.
        """
        allowed_s = max(self._safe_ttl_s(), self.context.outage_renewal_s)
        return self.lease_id > 0 and self.context.now() < self.renewed_at + allowed_s

    def _safe_ttl_s(self) -> float:
        return self.ttl_s / CLOCK_DRIFT - SAFETY_MARGIN_S

    async def renew(self) -> float:
        """Obtain or renew the lease; return the seconds until the next renewal.

        Raises LeaseLostError when the lease has ended; the next call obtains a new one.
        """
        try:
            await self._obtain_or_renew()
            if not self.announced:
                await self._announce()
        except LeaseLostError:
            log.info("state lease lost: lease=%d", self.lease_id)
            self.lease_id = 0
            raise
        except (StateError, TransactionConflictError) as error:
            if self.reachable:
                log.info("state lease renewal failed: error=%r", error)
            self.reachable = False
            return RENEWAL_RETRY_S + RENEWAL_RETRY_S * self.context.rng.random()
        if not self.reachable:
            log.info("state lease renewal recovered: lease=%d", self.lease_id)
        self.reachable = True
        return self.ttl_s / RENEWALS_PER_TTL

    async def _obtain_or_renew(self) -> None:
        sent_at = self.context.now()
        if self.lease_id:
            await self.state.renew(self.lease_id)
            self.renewed_at = sent_at
            return
        self.lease_id = await self.state.lease(self.ttl_s)
        self.renewed_at = sent_at
        self.announced = False

    async def _announce(self) -> None:
        """Write this controller's node key, which is deleted when the lease ends."""
        value = NodeValue(self.context.node, self.boot_id)
        change = put_change(records.node_key(self.context.node), value, self.lease_id)
        await self.state.transact({}, [change], True)
        self.announced = True

    def on_node_key_deleted(self) -> None:
        """Have the next renewal write the node key again.

        The deleted key may be one that a former process wrote late, or one that this process wrote
        without receiving a response. A controller without a node key never gets its shards back.
        """
        if self.lease_id:
            log.info("node key deleted: node=%d", self.context.node)
            self.announced = False

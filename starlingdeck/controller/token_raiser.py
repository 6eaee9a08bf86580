"""Raises the fencing tokens of owned shards in the background, one request a shard at a time."""

import logging

import curio
from msgspec import Struct, field

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.storage.state import LeaseLostError, StateError, TransactionConflictError

log = logging.getLogger(__name__)

RETRY_S = 0.5  # pause after a request that failed


class TokenRaiser(Struct, kw_only=True, eq=False):
    """Asks the state service for higher tokens, without making its caller wait."""

    context: ControllerContext
    membership: Membership
    wake: curio.Event
    in_progress: set[int] = field(default_factory=set)
    retry_at: dict[int, float] = field(default_factory=dict)

    async def request(self, shard: int) -> None:
        """Start to raise a shard's token, unless a request is under way or has just failed."""
        now = self.context.now()
        if shard in self.in_progress or now < self.retry_at.get(shard, now):
            return
        self.in_progress.add(shard)
        await curio.spawn(self._raise, shard, daemon=True)

    async def _raise(self, shard: int) -> None:
        try:
            await self.membership.raise_token(shard)
        except (StateError, TransactionConflictError, LeaseLostError) as error:
            self.retry_at[shard] = self.context.now() + RETRY_S
            log.info("token not raised: shard=%d error=%r", shard, error)
        finally:
            self.in_progress.discard(shard)
        await self.wake.set()

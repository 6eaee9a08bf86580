"""The callbacks through which membership reports ownership changes to the controller."""

from typing import Protocol

from starlingdeck.protocol import api


class OwnershipHooks(Protocol):
    """What the controller does when its shards or the cluster's keys change."""

    async def on_shard_acquired(self, shard: int, token: int, epoch: int, wait_s: float) -> None:
        """Start serving a shard; for `wait_s` former owners may still renew workers' leases."""

    async def on_shard_lost(self, shard: int) -> None:
        """Stop serving a shard that this controller no longer owns."""

    async def on_token_raised(self, shard: int, token: int) -> None:
        """Use a higher fencing token for a shard that this controller goes on owning."""

    async def on_cluster_key(self, event: api.Event) -> None:
        """Handle a change of a cluster key that membership doesn't handle itself.

        Raises ValueError or msgspec.DecodeError for a malformed key or value.
        """

    def may_hand_back(self, shard: int) -> bool:
        """Whether a shard may be returned to its home controller now."""
        ...

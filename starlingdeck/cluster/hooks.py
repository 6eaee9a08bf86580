"""The callbacks through which membership reports ownership changes to the controller."""

from typing import Protocol

from starlingdeck.protocol import api


class OwnershipHooks(Protocol):
    """Handlers for changes of this controller's shards and of the cluster's keys."""

    async def on_shard_acquired(self, shard: int, token: int, epoch: int, wait_s: float) -> None:
        """Start serving a shard.

        Former owners may renew workers' leases for another `wait_s` seconds.
        """

    async def on_shard_lost(self, shard: int) -> None:
        """Stop serving a shard that this controller no longer owns."""

    async def on_token_raised(self, shard: int, token: int) -> None:
        """Use a higher fencing token for a shard that this controller continues to own."""

    async def on_cluster_key(self, event: api.Event) -> None:
        """Handle a change of a cluster key that membership doesn't handle itself.

        Raises ValueError or msgspec.DecodeError for a malformed key or value.
        """

    def may_hand_back(self, shard: int) -> bool:
        """Return whether a shard may be returned to its home controller now."""
        ...

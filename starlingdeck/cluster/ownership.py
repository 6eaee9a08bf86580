"""Shard ownership: which controller owns which shard, and how shards are taken over and returned.

A shard is owned by the controller that its key in the state service names. The key is attached to
that controller's state lease. The key's version is the fencing token; the epoch in its value
identifies the ownership.
"""

import logging
from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from starlingdeck.cluster.failover import former_owner_renewal_s, takeover_delay_s
from starlingdeck.cluster.hooks import OwnershipHooks
from starlingdeck.cluster.state_lease import StateLease
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.records import ShardValue
from starlingdeck.storage.state import LeaseLostError, StateClient, delete_change, put_change

log = logging.getLogger(__name__)

# A returned controller must have been live for this long before it gets its shard back.
HAND_BACK_DELAY_S = 2.0
# A shard that its home controller did not take is handed back again only after this time.
HAND_BACK_RETRY_S = 10.0
NEVER = -1e9  # earlier than any time of the steady clock
EPOCH_BITS = 60


class ShardOwner(Struct, frozen=True):
    """The owner of a shard: its controller, its fencing token and the ownership's epoch."""

    node: int
    token: int
    epoch: int


class ShardKey(Struct, frozen=True):
    """The version and value of a shard's key in the state service, as last seen."""

    version: int
    value: ShardValue


class ShardOwnership:
    """The known owners of all shards, and the shards that this process owns."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        lease: StateLease,
        hooks: OwnershipHooks,
    ) -> None:
        self.context = context
        self.state = state
        self.lease = lease
        self.hooks = hooks
        self.owners: dict[int, ShardOwner] = {}  # the latest known owner of each shard
        self.owned: dict[int, ShardOwner] = {}  # the shards that this process owns
        self.shard_keys: dict[int, ShardKey] = {}  # last seen; only of shards not owned here
        self.unowned_since: dict[int, float] = {}  # shard without a key -> since when
        self.handed_back_at: dict[int, float] = {}
        # The version of each shard's takeover key, which every takeover rewrites.
        self.takeover_versions: dict[int, int] = {}
        # For owned shards: the wall-clock time from which no former owner renews workers' leases.
        self.former_renewals_end_ms: dict[int, int] = {}
        self.logged_shards: set[int] = set()  # shards whose records may be behind a commit log

    def record_owner(self, shard: int, owner: ShardOwner) -> bool:
        """Record an owner named by a key or a peer; the highest token wins.

        Return whether the owner was recorded and either is the first known owner of the shard or
        has a new epoch.
        """
        known = self.owners.get(shard)
        shards = self.context.shard_count
        if shard >= shards or owner.node >= shards:
            # From another deployment, or malformed: no such controller can be reached.
            return False
        if known is not None and known.token >= owner.token:
            return False
        self.owners[shard] = owner
        return known is None or known.epoch != owner.epoch

    async def observe_owner(self, shard: int, owner: ShardOwner) -> None:
        """Record the owner named by a peer; release the shard if this process was replaced."""
        current = self.owned.get(shard)
        if current is not None and owner.token > current.token and owner.epoch != current.epoch:
            await self.release(shard)
        self.record_owner(shard, owner)

    async def on_shard_key(self, shard: int, event: api.Event) -> None:
        """Handle a change of a shard's key.

        Raises ValueError for a shard that doesn't exist, and msgspec.DecodeError for a malformed
        value.
        """
        if not 0 <= shard < self.context.shard_count:
            raise ValueError(f"shard {shard}: expected 0 to {self.context.shard_count - 1}")
        if event.put:
            value = msgspec.json.decode(event.value, type=ShardValue)
            await self._on_shard_key_put(shard, event.version, value)
        else:
            await self._on_shard_key_deleted(shard, event.version)

    async def _on_shard_key_deleted(self, shard: int, version: int) -> None:
        current = self.owned.get(shard)
        if current is not None and version > current.token:
            await self.release(shard)
        if shard not in self.owned:
            self.shard_keys.pop(shard, None)
            self.unowned_since.setdefault(shard, self.context.now())

    async def _on_shard_key_put(self, shard: int, version: int, value: ShardValue) -> None:
        current = self.owned.get(shard)
        if current is not None:
            if version <= current.token:
                return
            if value.epoch == current.epoch:
                # This controller's own request to raise the token was executed; its response
                # was lost or has not arrived yet.
                await self._apply_raised_token(shard, version)
                return
            await self.release(shard)
        if value.logged:
            self.logged_shards.add(shard)
        self.shard_keys[shard] = ShardKey(version, value)
        self.unowned_since.pop(shard, None)
        self.record_owner(shard, ShardOwner(value.node, version, value.epoch))

    async def reconcile(self, shard: int, live_nodes: Mapping[int, float]) -> None:
        """Take over a shard that has no owner, or hand one back to its home controller.

        `live_nodes` maps each live controller to the time when it was first seen live.
        Raises the errors of StateClient.transact.
        """
        if shard in self.owned:
            if self._hand_back_due(shard, live_nodes):
                await self._hand_back(shard)
            return
        key = self.shard_keys.get(shard)
        if key is None:
            await self._take_over_unowned(shard, live_nodes)
        elif key.value.node == self.context.node:
            # A former process of this controller owned it.
            renewal_s = former_owner_renewal_s(self.context, key.value)
            await self.acquire(shard, key.version, renewal_s)

    async def _take_over_unowned(self, shard: int, live_nodes: Iterable[int]) -> None:
        now = self.context.now()
        unowned_since = self.unowned_since.setdefault(shard, now)
        if now - unowned_since >= takeover_delay_s(self.context, shard, live_nodes):
            await self.acquire(shard, 0, self.context.outage_renewal_s)

    def _hand_back_due(self, shard: int, live_nodes: Mapping[int, float]) -> bool:
        live_since = live_nodes.get(shard)
        if shard == self.context.node or live_since is None:
            return False
        now = self.context.now()
        return (
            now - live_since > HAND_BACK_DELAY_S
            # A controller that is back from a partition may still be blocked in its old watch
            # and not take its shard. Without this limit a shard was handed back and retaken
            # three times in two seconds, and had no owner in between.
            and now - self.handed_back_at.get(shard, NEVER) > HAND_BACK_RETRY_S
            and self.hooks.may_hand_back(shard)
        )

    async def acquire(self, shard: int, key_version: int, renewal_s: float) -> None:
        """Write a shard's key for a new epoch and start to serve the shard.

        `key_version` is the version that the key must have now, 0 if it must not exist. Former
        owners may renew workers' leases for another `renewal_s` seconds. Raises
        TransactionConflictError when another controller has written the key first,
        LeaseLostError when the lease that the key is attached to has ended, and the other errors
        of StateClient.transact.
        """
        epoch = self.context.rng.getrandbits(EPOCH_BITS)
        key, takeover_key = records.shard_key(shard), records.takeover_key(shard)
        end_ms = self.context.wall_clock_ms() + int(renewal_s * 1000) if renewal_s > 0 else 0
        # Without the condition on the takeover key, a request executed late, after another
        # owner's takeover, would record an `end_ms` that was computed before that takeover.
        conditions = {key: key_version, takeover_key: self.takeover_versions.get(shard, 0)}
        value = ShardValue(self.context.node, epoch, end_ms, self.may_have_commit_log(shard))
        lease_id = self.lease.lease_id
        changes = [put_change(key, value, lease_id), put_change(takeover_key, self.context.node)]
        token = await self.state.transact(conditions, changes, True)
        if self.lease.lease_id != lease_id:
            # The key went with that lease; another controller may own the shard by now.
            log.info("shard acquisition void: shard=%d token=%d lease=%d", shard, token, lease_id)
            raise LeaseLostError
        self.takeover_versions[shard] = token
        self.former_renewals_end_ms[shard] = end_ms
        self.owned[shard] = self.owners[shard] = ShardOwner(self.context.node, token, epoch)
        self.shard_keys.pop(shard, None)
        self.unowned_since.pop(shard, None)
        log.info(
            "shard acquired: shard=%d token=%d epoch=%d lease=%d lease_certain_s=%.3f",
            shard,
            token,
            epoch,
            lease_id,
            self.lease.certain_s(),
        )
        await self.hooks.on_shard_acquired(shard, token, epoch, renewal_s)

    def may_have_commit_log(self, shard: int) -> bool:
        """Return whether a shard's records may be behind its commit log."""
        return self.context.tuning.group_commit is not None or shard in self.logged_shards

    async def raise_token(self, shard: int) -> None:
        """Rewrite an owned shard's key, which raises its version and thus the fencing token.

        Raises the errors of StateClient.transact.
        """
        current = self.owned.get(shard)
        if current is None:
            return
        key = records.shard_key(shard)
        end_ms = self.former_renewals_end_ms.get(shard, 0)
        value = ShardValue(current.node, current.epoch, end_ms, self.may_have_commit_log(shard))
        change = put_change(key, value, self.lease.lease_id)
        token = await self.state.transact({key: current.token}, [change], True)
        await self._apply_raised_token(shard, token)

    async def _apply_raised_token(self, shard: int, token: int) -> None:
        current = self.owned.get(shard)
        if current is not None and token > current.token:
            self.owned[shard] = self.owners[shard] = ShardOwner(current.node, token, current.epoch)
            log.info("shard token raised: shard=%d token=%d", shard, token)
            await self.hooks.on_token_raised(shard, token)

    async def _hand_back(self, shard: int) -> None:
        """Stop serving a shard and delete its key, for its home controller to take it over."""
        current = self.owned[shard]
        log.info("shard handed back: shard=%d token=%d", shard, current.token)
        await self.release(shard)
        self.unowned_since[shard] = self.handed_back_at[shard] = self.context.now()
        key = records.shard_key(shard)
        await self.state.transact({key: current.token}, [delete_change(key)], True)

    async def release(self, shard: int) -> None:
        """Stop serving a shard, if this process owns it. Its key is left unchanged."""
        current = self.owned.pop(shard, None)
        if current is not None:
            log.info(
                "shard released: shard=%d token=%d epoch=%d", shard, current.token, current.epoch
            )
            await self.hooks.on_shard_lost(shard)

    async def release_all(self) -> None:
        """Stop serving all owned shards, because the state lease has ended."""
        for shard in list(self.owned):
            await self.release(shard)

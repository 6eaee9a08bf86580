"""Membership of this controller in the cluster: its lease, the live controllers, its shards.

Renews the lease, watches the cluster's keys in the state service, and reconciles shard ownership
with them.
"""

import logging

import curio
import msgspec

from starlingdeck.cluster.hooks import OwnershipHooks
from starlingdeck.cluster.ownership import ShardOwner, ShardOwnership
from starlingdeck.cluster.state_lease import StateLease
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    LeaseLostError,
    RevisionTooOldError,
    StateClient,
    StateError,
    TransactionConflictError,
)

__all__ = ["Membership", "ShardOwner"]

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 3.0
# Delay before a failed watch is retried. A random delay of up to WATCH_RETRY_S is added.
WATCH_RETRY_S = 0.3
RECONCILE_INTERVAL_S = 0.1


class Membership:
    """Keeps the state lease, the live controllers and shard ownership up to date."""

    def __init__(
        self, context: ControllerContext, state: StateClient, hooks: OwnershipHooks
    ) -> None:
        self.context = context
        self.state = state
        self.hooks = hooks
        self.lease = StateLease(context, state)
        self.ownership = ShardOwnership(context, state, self.lease, hooks)
        self.owners = self.ownership.owners
        self.live_nodes: dict[int, float] = {}  # controller -> when it was first seen live
        self.synced = False  # whether the cluster's keys have been read and are being watched
        self.revision = 0  # the state service's revision up to which changes have been handled

    def lease_is_valid(self) -> bool:
        """Return whether the state lease certainly still exists.

        While it exists, no other controller can have taken over a shard of this one.
        """
        return self.lease.is_valid()

    def may_renew_worker_leases(self) -> bool:
        """Return whether workers' leases may be renewed.

        During an outage of the state service they may be renewed for a bounded time.
        """
        return self.lease.may_renew_worker_leases()

    def may_have_commit_log(self, shard: int) -> bool:
        """Return whether a shard's records may be behind its commit log."""
        return self.ownership.may_have_commit_log(shard)

    async def raise_token(self, shard: int) -> None:
        """Raise an owned shard's fencing token. Raises the errors of StateClient.transact."""
        await self.ownership.raise_token(shard)

    async def observe_owner(self, shard: int, owner: ShardOwner) -> None:
        """Handle a peer's message about a shard's owner."""
        await self.ownership.observe_owner(shard, owner)

    async def renew_loop(self) -> None:
        """Renew the state lease until cancelled."""
        while True:
            await curio.sleep(await self.renew())

    async def renew(self) -> float:
        """Obtain or renew the state lease; return the seconds until the next renewal."""
        try:
            return await self.lease.renew()
        except LeaseLostError:
            await self.ownership.release_all()
            self.synced = False
            return 0.0

    async def watch_loop(self) -> None:
        """Watch the cluster's keys until cancelled."""
        while True:
            await curio.sleep(await self.watch())

    async def watch(self) -> float:
        """Wait for changes of the cluster's keys and handle them.

        Return the seconds until the next call.
        """
        try:
            if not self.synced:
                await self._read_all()
            events = await self.state.watch(records.CLUSTER_PREFIX, self.revision, WATCH_TIMEOUT_S)
            for event in events.events:
                await self.handle_event(event)
            self.revision = max(self.revision, events.revision)
        except RevisionTooOldError:
            self.synced = False
        except StateError as error:
            log.debug("cluster watch failed: error=%r", error)
            self.synced = False
            return WATCH_RETRY_S + WATCH_RETRY_S * self.context.rng.random()
        return 0.0

    async def _read_all(self) -> None:
        """Read every cluster key.

        Shards without a shard key are unowned, and controllers without a node key are not live.
        """
        entries, revision = await self.state.read(records.CLUSTER_PREFIX)
        keys = {entry.key for entry in entries}
        for shard in range(self.context.shard_count):
            key = records.shard_key(shard)
            if key not in keys:
                await self.handle_event(api.Event(delete=key, version=revision))
        for node in list(self.live_nodes):
            if records.node_key(node) not in keys:
                del self.live_nodes[node]
        for entry in entries:
            event = api.Event(put=entry.key, value=entry.value, version=entry.version)
            await self.handle_event(event)
        self.revision = revision
        self.synced = True

    async def handle_event(self, event: api.Event) -> None:
        """Handle a change of one cluster key; a malformed one is logged and skipped."""
        key = event.put or event.delete or ""
        try:
            if key.startswith(records.NODE_PREFIX):
                self._on_node_key(int(key.removeprefix(records.NODE_PREFIX)), event)
            elif key.startswith(records.TAKEOVER_PREFIX):
                shard = int(key.removeprefix(records.TAKEOVER_PREFIX))
                self.ownership.takeover_versions[shard] = event.version
            elif key.startswith(records.SHARD_PREFIX):
                shard = int(key.removeprefix(records.SHARD_PREFIX))
                await self.ownership.on_shard_key(shard, event)
            else:
                await self.hooks.on_cluster_key(event)
        except (ValueError, msgspec.DecodeError) as error:
            # The error names the malformed value; a traceback would add nothing.
            log.error("cluster key malformed: key=%s error=%r", key, error)  # noqa: TRY400

    def _on_node_key(self, node: int, event: api.Event) -> None:
        if event.put:
            self.live_nodes.setdefault(node, self.context.now())
            return
        self.live_nodes.pop(node, None)
        if node == self.context.node:
            self.lease.on_node_key_deleted()

    async def ownership_loop(self) -> None:
        """Reconcile shard ownership until cancelled."""
        while True:
            await curio.sleep(RECONCILE_INTERVAL_S)
            await self.reconcile_ownership()

    async def reconcile_ownership(self) -> None:
        """Take over unowned shards, and hand back those of controllers that have returned."""
        for shard in range(self.context.shard_count):
            if not (self.synced and self.lease_is_valid()):
                return
            try:
                await self.ownership.reconcile(shard, self.live_nodes)
            except (StateError, LeaseLostError, TransactionConflictError) as error:
                log.info("shard not reconciled: shard=%d error=%r", shard, error)
                self.synced = False

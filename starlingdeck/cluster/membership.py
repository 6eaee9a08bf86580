"""Who holds which shard: one lease a node, one key a shard, and this node's part in it."""

import logging
from collections.abc import Awaitable, Callable

import curio
import msgspec
from msgspec import Struct

from starlingdeck.cluster.sharding import failover_candidates
from starlingdeck.context import CLOCK_DRIFT, ControllerContext
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.records import NodeValue, ShardValue
from starlingdeck.storage.state import (
    LeaseLostError,
    RevisionTooOldError,
    StateClient,
    StateError,
    TransactionConflictError,
    delete_change,
    put_change,
)

log = logging.getLogger(__name__)

FAILOVER_STAGGER_S = 0.3  # how much later each next heir moves
GRACE_S = 0.3  # how long others leave an absent shard to its own controller
HAND_BACK_S = 2.0  # how long a returned controller must live before it gets its shard back
HAND_BACK_AGAIN_S = 10.0  # and before the next try, when it did not take it
WATCH_TIMEOUT_S = 3.0


class ShardOwner(Struct, frozen=True):
    node: int
    token: int
    epoch: int


class OwnershipHooks(Struct):
    """What the node does when its holdings or the cluster's keys change."""

    on_acquired: Callable[[int, int, int, float], Awaitable[None]]
    on_lost: Callable[[int], Awaitable[None]]
    on_token_raised: Callable[[int, int], Awaitable[None]]
    on_cluster_key: Callable[[api.Event], Awaitable[None]]
    may_hand_back: Callable[[int], bool]


class Membership:
    def __init__(
        self, context: ControllerContext, state: StateClient, hooks: OwnershipHooks
    ) -> None:
        self.context = context
        self.state = state
        self.hooks = hooks
        self.ttl = context.tuning.state_lease_s
        self.lease_id = 0
        self.renewed_at = -1e9
        self.boot = context.rng.getrandbits(48)
        self.held: dict[int, ShardOwner] = {}
        self.owners: dict[int, ShardOwner] = {}
        self.present: dict[int, tuple[int, ShardValue]] = {}
        self.live_nodes: dict[int, float] = {}
        self.absent: dict[int, float] = {}
        self.handed: dict[int, float] = {}
        self.takes: dict[int, int] = {}  # shard -> the version of its last takeover's key
        self.announced = False  # our node's key hangs on our lease
        self.quiet: dict[int, int] = {}  # of shards held: when all former holders are quiet, in ms
        self.logged: set[int] = set()  # shards whose records may be behind a commit log
        self.synced = False
        self.reached = True
        self.revision = 0

    # --- what this node may do

    def lease_is_valid(self) -> bool:
        """No other node can have taken a shard of ours: our lease surely stands."""
        return (
            self.lease_id > 0
            and self.context.now() < self.renewed_at + self.ttl / CLOCK_DRIFT - 0.2
        )

    def may_renew_worker_leases(self) -> bool:
        """Cut off from the state service, leases of workers are kept for a bounded time."""
        return self.lease_id > 0 and self.context.now() < self.renewed_at + max(
            self.ttl / CLOCK_DRIFT - 0.2, self.context.outage_renewal_s
        )

    def record_owner(self, shard: int, owner: ShardOwner) -> bool:
        """Learn of a holder from keys or peers; a higher token wins. True if it is news."""
        known = self.owners.get(shard)
        shards = self.context.shard_count
        if shard >= shards or owner.node >= shards:
            return False  # of another deployment, or garbled: there is nobody to tell anything
        if known is not None and known.token >= owner.token:
            return False
        self.owners[shard] = owner
        return known is None or known.epoch != owner.epoch

    # --- loops

    async def renew_loop(self) -> None:
        while True:
            await curio.sleep(await self.renew())

    async def renew(self) -> float:
        """Get or keep our state lease; how long until the next time."""
        sent = self.context.now()
        try:
            if not self.lease_id:
                lease = await self.state.lease(self.ttl)
                self.lease_id, self.renewed_at, self.announced = lease, sent, False
            else:
                await self.state.renew(self.lease_id)
                self.renewed_at = sent
            if not self.announced:
                await self._announce()
        except LeaseLostError:
            log.info("our state lease ended")
            self.lease_id = 0
            await self._drop_all()
            return 0.0
        except (StateError, TransactionConflictError) as error:
            if self.reached:
                log.info("state lease not renewed: %s", error)
            self.reached = False
            return 0.2 + 0.2 * self.context.rng.random()
        if not self.reached:
            log.info("state lease renewed again")
        self.reached = True
        return self.ttl / 4

    async def _announce(self) -> None:
        value = NodeValue(self.context.node, self.boot)
        await self.state.transact(
            {}, [put_change(records.node_key(self.context.node), value, self.lease_id)], True
        )
        self.announced = True

    async def watch_loop(self) -> None:
        while True:
            await curio.sleep(await self.watch())

    async def watch(self) -> float:
        """Learn what has changed in the cluster's keys; how long until the next time."""
        try:
            if not self.synced:
                await self._read_all()
            events = await self.state.watch(records.CLUSTER, self.revision, WATCH_TIMEOUT_S)
            for event in events.events:
                await self._event(event)
            self.revision = max(self.revision, events.revision)
        except RevisionTooOldError:
            self.synced = False
        except StateError as error:
            log.debug("watch failed: %s", error)
            self.synced = False
            return 0.3 + 0.3 * self.context.rng.random()
        return 0.0

    async def _read_all(self) -> None:
        entries, revision = await self.state.read(records.CLUSTER)
        keys = {e.key for e in entries}
        for shard in range(self.context.shard_count):
            if records.shard_key(shard) not in keys:
                await self._event(api.Event(delete=records.shard_key(shard), version=revision))
        for node in list(self.live_nodes):
            if records.node_key(node) not in keys:
                del self.live_nodes[node]
        for entry in entries:
            await self._event(api.Event(put=entry.key, value=entry.value, version=entry.version))
        self.revision = revision
        self.synced = True

    async def _event(self, event: api.Event) -> None:
        key = event.put or event.delete or ""
        try:
            if key.startswith(records.NODES):
                self._node_event(int(key[len(records.NODES) :]), event)
            elif key.startswith(records.TAKEOVERS):
                self.takes[int(key[len(records.TAKEOVERS) :])] = event.version
            elif key.startswith(records.SHARDS):
                await self._shard_event(int(key[len(records.SHARDS) :]), event)
            else:
                await self.hooks.on_cluster_key(event)
        except (ValueError, msgspec.DecodeError) as error:
            log.error("nonsense under %s: %s", key, error)

    def _node_event(self, node: int, event: api.Event) -> None:
        if event.put:
            self.live_nodes.setdefault(node, self.context.now())
        else:
            self.live_nodes.pop(node, None)
            if node == self.context.node and self.lease_id:
                # One that a former life announced late, or the first try got no answer: who isn't
                # announced gets its shards never back.
                log.info("our node key is gone")
                self.announced = False

    async def _shard_event(self, shard: int, event: api.Event) -> None:
        if not 0 <= shard < self.context.shard_count:
            raise ValueError("no such shard")
        mine = self.held.get(shard)
        if not event.put:
            if mine is not None and event.version > mine.token:
                await self._drop(shard)
            if shard not in self.held:
                self.present.pop(shard, None)
                self.absent.setdefault(shard, self.context.now())
            return
        value = msgspec.json.decode(event.value, type=ShardValue)
        if mine is not None and event.version <= mine.token:
            return
        if mine is not None and value.epoch == mine.epoch:
            # A raise of ours that got no answer was executed after all.
            await self._raised(shard, event.version)
            return
        if mine is not None:
            await self._drop(shard)
        if value.logged:
            self.logged.add(shard)
        self.present[shard] = (event.version, value)
        self.absent.pop(shard, None)
        self.record_owner(shard, ShardOwner(value.node, event.version, value.epoch))

    async def ownership_loop(self) -> None:
        while True:
            await curio.sleep(0.1)
            await self.own()

    async def own(self) -> None:
        """Take what nobody holds, and hand back what is another's."""
        if not (self.synced and self.lease_id and self.lease_is_valid()):
            return
        for shard in range(self.context.shard_count):
            try:
                await self._consider(shard)
            except (StateError, LeaseLostError, TransactionConflictError) as error:
                log.info("shard %d: %r", shard, error)
                self.synced = False

    async def _consider(self, shard: int) -> None:
        now, me = self.context.now(), self.context.node
        if shard in self.held:
            back = self.live_nodes.get(shard)
            if (
                shard != me
                and back is not None
                and now - back > HAND_BACK_S
                # A controller back from a cut may still hang in its old watch: its shard went
                # to and fro three times in two seconds, held by nobody in between.
                and now - self.handed.get(shard, -1e9) > HAND_BACK_AGAIN_S
                and self.hooks.may_hand_back(shard)
            ):
                await self._hand_back(shard)
            return
        there = self.present.get(shard)
        if there is not None:
            # Our name, but not held by this process: it died, and we are its restart.
            if there[1].node == me:
                await self._take(shard, there[0], self._left_s(there[1]))
            return
        since = self.absent.setdefault(shard, now)
        order = failover_candidates(shard, self.context.shard_zones, sorted({*self.live_nodes, me}))
        turn = order.index(me)
        wait = 0.0 if shard == me else turn * FAILOVER_STAGGER_S + GRACE_S
        if now - since >= wait:
            await self._take(shard, 0, self.context.outage_renewal_s)

    def _left_s(self, value: ShardValue) -> float:
        """How long holders before our own last hold may still renew workers' leases.

        Our former process is dead and renews none. But it may have just taken the shard from one
        that is cut off and goes on: back within a fraction of a second, we judged its silence.
        """
        if not value.former_leases_end_ms:
            return 0.0
        off_ms = 2 * self.context.settings.settings.skew_ms
        left_ms = value.former_leases_end_ms + off_ms - self.context.wall_clock_ms()
        return min(max(0.0, left_ms / 1000), self.context.outage_renewal_s)

    async def _take(self, shard: int, version: int, wait_s: float) -> None:
        epoch = self.context.rng.getrandbits(60)
        key = records.shard_key(shard)
        quiet_ms = self.context.wall_clock_ms() + int(wait_s * 1000) if wait_s > 0 else 0
        # One carried out late, after another's hold, would show a `quiet_ms` from before that.
        last = records.takeover_key(shard)
        conditions = {key: version, last: self.takes.get(shard, 0)}
        value = ShardValue(self.context.node, epoch, quiet_ms, self.writes_log(shard))
        change = put_change(key, value, self.lease_id)
        token = await self.state.transact(
            conditions, [change, put_change(last, self.context.node)], True
        )
        self.takes[shard] = token
        self.quiet[shard] = quiet_ms
        owner = ShardOwner(self.context.node, token, epoch)
        self.held[shard] = owner
        self.owners[shard] = owner
        self.present.pop(shard, None)
        self.absent.pop(shard, None)
        log.info("shard %d: taken over with token %d", shard, token)
        await self.hooks.on_acquired(shard, token, epoch, wait_s)

    def writes_log(self, shard: int) -> bool:
        """Whether a shard's records may be behind its commit log."""
        return self.context.tuning.group_commit is not None or shard in self.logged

    async def raise_token(self, shard: int) -> None:
        """Rewrite the shard's key, so that its stamp and with it our token rises."""
        mine = self.held.get(shard)
        if mine is None:
            return
        key = records.shard_key(shard)
        value = ShardValue(mine.node, mine.epoch, self.quiet.get(shard, 0), self.writes_log(shard))
        change = put_change(key, value, self.lease_id)
        token = await self.state.transact({key: mine.token}, [change], True)
        await self._raised(shard, token)

    async def _raised(self, shard: int, token: int) -> None:
        mine = self.held.get(shard)
        if mine is not None and token > mine.token:
            self.held[shard] = self.owners[shard] = ShardOwner(mine.node, token, mine.epoch)
            log.info("shard %d: token raised to %d", shard, token)
            await self.hooks.on_token_raised(shard, token)

    async def _hand_back(self, shard: int) -> None:
        mine = self.held[shard]
        log.info("shard %d: handed back", shard)
        await self._drop(shard)
        self.absent[shard] = self.handed[shard] = self.context.now()
        await self.state.transact(
            {records.shard_key(shard): mine.token}, [delete_change(records.shard_key(shard))], True
        )

    async def _drop(self, shard: int) -> None:
        if self.held.pop(shard, None) is not None:
            log.info("shard %d: no longer ours", shard)
            await self.hooks.on_lost(shard)

    async def _drop_all(self) -> None:
        for shard in list(self.held):
            await self._drop(shard)
        self.synced = False

    async def observe_owner(self, shard: int, owner: ShardOwner) -> None:
        """A peer says that a shard has a newer holder."""
        mine = self.held.get(shard)
        if mine is not None and owner.token > mine.token and owner.epoch != mine.epoch:
            await self._drop(shard)
        self.record_owner(shard, owner)

"""Shard ownership against a simulated state service, with lost connections, outages and crashes."""

import contextlib
import random
from typing import Any

import curio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.membership import Membership, ShardOwner
from starlingdeck.protocol import api
from starlingdeck.storage.state import (
    LeaseLostError,
    OutcomeUnknownError,
    StateError,
    TransactionConflictError,
)
from tests.support.builders import Clock, make_context
from tests.support.reference_model import FakeStateService

NODES = 3
TICK_S = 0.2


class LeasedState(FakeStateService):
    """A state service with keys attached to leases, and with a history of events for watches."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(random.Random(1))
        self.clock = clock
        self.leases: dict[int, float] = {}  # lease -> time of its end
        self.ttl: dict[int, float] = {}
        self.attached: dict[str, int] = {}
        self.history: list[api.Event] = []
        self.down = False

    def expire(self) -> None:
        if self.down:
            return  # leases don't end in an outage; after it each has its full time to live again
        for lease in [i for i, at in self.leases.items() if at <= self.clock.at]:
            del self.leases[lease]
            expired_keys = [key for key, owner in self.attached.items() if owner == lease]
            if expired_keys:
                self.change([api.Change(delete=key) for key in expired_keys], {})

    def change(self, changes: list[api.Change], conditions: dict[str, int]) -> list[str]:
        failed = self.apply(conditions, changes)
        for change in changes if not failed else []:
            key = change.put or change.delete or ""
            self.attached.pop(key, None)
            if change.put is None:
                self.history.append(api.Event(self.revision, delete=key))
                continue
            value = msgspec.Raw(msgspec.json.encode(change.value))
            self.history.append(api.Event(self.revision, key, value))
            if change.lease is not None:
                self.attached[key] = change.lease
        return failed


class LeasedClient:
    """The state client of one node. Calls are refused while it is cut or the service is down."""

    def __init__(self, state: LeasedState) -> None:
        self.state = state
        self.cut = False
        self.unanswered = False  # calls are executed, but get no response

    def _call(self) -> LeasedState:
        if self.cut or self.state.down:
            raise StateError("503")
        self.state.expire()
        return self.state

    def _answer(self) -> None:
        if self.unanswered:
            raise OutcomeUnknownError("no response")

    async def lease(self, ttl_s: float) -> int:
        state = self._call()
        number = len(state.ttl) + 1
        state.ttl[number], state.leases[number] = ttl_s, state.clock.at + ttl_s
        self._answer()
        return number

    async def renew(self, lease: int) -> None:
        state = self._call()
        if lease not in state.leases:
            raise LeaseLostError
        state.leases[lease] = state.clock.at + state.ttl[lease]
        self._answer()

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        state = self._call()
        if any(c.lease is not None and c.lease not in state.leases for c in changes):
            raise LeaseLostError
        failed = state.change(changes, conditions)
        self._answer()
        if failed:
            raise TransactionConflictError(failed)
        return state.revision

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        state = self._call()
        self._answer()
        found = [
            api.Entry(key, msgspec.Raw(value), stamp)
            for key, (value, stamp) in sorted(state.keys.items())
            if key.startswith(prefix)
        ]
        return found, state.revision

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        state = self._call()
        self._answer()
        return api.Events([e for e in state.history if e.version > after], state.revision)


class IgnoringHooks:
    """Hooks that do nothing, because only ownership itself is under test."""

    async def on_shard_acquired(self, shard: int, token: int, epoch: int, wait_s: float) -> None:
        """Nothing to start."""

    async def on_shard_lost(self, shard: int) -> None:
        """Nothing to stop."""

    async def on_token_raised(self, shard: int, token: int) -> None:
        """Nothing uses the token."""

    async def on_cluster_key(self, event: api.Event) -> None:
        """No other keys are written."""

    def may_hand_back(self, shard: int) -> bool:
        """Shards may always be handed back."""
        return True


class Cluster:
    """The memberships of three controllers under faults; checks the invariants of ownership."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.state = LeasedState(self.clock)
        self.clients = [LeasedClient(self.state) for _ in range(NODES)]
        self.nodes = [self.start(i) for i in range(NODES)]
        self.stalled: set[int] = set()
        self.owners: dict[int, ShardOwner] = {}  # shard -> its owner at the last check

    def start(self, number: int) -> Membership:
        context = make_context(self.clock, seed=self.clock.wall_ms() + number, node=number)
        client: Any = self.clients[number]
        return Membership(context, client, IgnoringHooks())

    async def act(self, verb: str, number: int) -> None:
        node, client = self.nodes[number], self.clients[number]
        if verb == "stall":
            self.stalled ^= {number}
        elif verb == "cut":
            client.cut = not client.cut
        elif verb == "unanswered":
            client.unanswered = not client.unanswered
        elif verb == "crash":
            self.nodes[number] = self.start(number)
        elif verb == "outage":
            self.toggle_outage()
        elif verb == "raise":
            for shard in list(node.ownership.owned):
                with contextlib.suppress(StateError, TransactionConflictError, LeaseLostError):
                    await node.raise_token(shard)
        self.check()

    def toggle_outage(self) -> None:
        self.state.expire()
        self.state.down = not self.state.down
        if not self.state.down:
            for lease in self.state.leases:
                self.state.leases[lease] = self.clock.at + self.state.ttl[lease]

    async def run(self, seconds: float) -> None:
        """In each tick run the loops of all nodes that aren't stalled, in random order of nodes."""
        for _ in range(int(seconds / TICK_S)):
            self.clock.at += TICK_S
            self.check()
            for number in self.state.rng.sample(range(NODES), NODES):
                if number not in self.stalled:
                    node = self.nodes[number]
                    for loop in (node.renew, node.watch, node.reconcile_ownership):
                        await loop()
                        self.check()

    def check(self) -> None:
        """Check that a shard has at most one owner and that every new epoch has a higher token."""
        for shard in range(NODES):
            owners = [n for n in self.nodes if n.lease_is_valid() and shard in n.ownership.owned]
            assert len(owners) <= 1, f"shard {shard} has two owners"
            for node in owners:
                owner = node.ownership.owned[shard]
                last = self.owners.get(shard, ShardOwner(-1, 0, -1))
                assert owner.token >= last.token, f"shard {shard}: token decreased"
                if (owner.node, owner.epoch) != (last.node, last.epoch):
                    assert owner.token > last.token, f"shard {shard}: token reused in a new epoch"
                self.owners[shard] = owner

    async def recover(self) -> None:
        """End all faults and let the cluster settle for 25 s."""
        for client in self.clients:
            client.cut = client.unanswered = False
        if self.state.down:
            await self.act("outage", 0)
        self.stalled.clear()
        await self.run(25.0)


STEPS = st.tuples(
    st.sampled_from(["stall", "stall", "cut", "cut", "unanswered", "crash", "outage", "raise"]),
    st.integers(0, NODES - 1),
    st.sampled_from([0.0, 0.2, 1.0, 3.0, 6.0]),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(STEPS, min_size=4, max_size=16))
def test_a_shard_has_one_owner_and_returns_to_its_home_controller(
    steps: list[tuple[str, int, float]],
) -> None:
    async def drive() -> list[list[int]]:
        cluster = Cluster()
        await cluster.run(2.0)
        for verb, number, seconds in steps:
            await cluster.act(verb, number)
            await cluster.run(seconds)
        await cluster.recover()
        return [sorted(node.ownership.owned) for node in cluster.nodes]

    assert curio.run(drive) == [[0], [1], [2]]

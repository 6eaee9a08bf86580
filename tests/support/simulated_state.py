"""A controller's client of the state service in the simulated cluster, with injected failures."""

from typing import TYPE_CHECKING

import curio
import msgspec

from starlingdeck.protocol import api
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import OutcomeUnknownError, StateError, TransactionConflictError
from tests.test_membership import LeasedClient, LeasedState

if TYPE_CHECKING:
    from tests.support.simulated_cluster import SimulatedCluster

TRANSACTION_TIMEOUT_S = 2.0  # how long a controller waits for the answer to a transaction


def change_as_sent(change: api.Change) -> api.Change:
    """Return a change as it is now: its sender may change its value while it waits."""
    value = msgspec.Raw(msgspec.json.encode(change.value))
    return api.Change(change.put, value, change.lease, change.delete)


class SimulatedStateClient(LeasedClient):
    """One controller's client of the state service, with injected failures.

    `budget` limits the rate of changes, if set. The share `late_share` of the transactions is
    executed late and gets no answer; the share `lost_answer_share` is executed at once, and only
    its answer is lost. Answers take up to `max_latency_s`. Reads under `unreadable_prefixes` fail,
    as they do when answers come too slowly.
    """

    def __init__(self, state: LeasedState, cluster: "SimulatedCluster") -> None:
        super().__init__(state)
        self.cluster = cluster
        self.budget: TokenBucket | None = None
        self.late_share = self.lost_answer_share = self.max_latency_s = 0.0
        self.unreadable_prefixes: set[str] = set()

    async def _delay_answer(self) -> None:
        if self.max_latency_s:
            await curio.sleep(self.cluster.rng.uniform(0.0, self.max_latency_s))

    def available_writes(self, urgent: bool) -> tuple[int, float]:
        """Return how many changes may be written now, and the seconds to wait for more."""
        return self.budget.available(urgent) if self.budget else (1000, 0.0)

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        """Execute a transaction and return its revision, with the injected failures."""
        if self.budget:
            await self.budget.take(len(changes), urgent)
        sent = [change_as_sent(change) for change in changes]
        if self.cluster.rng.random() < self.late_share and not (self.cut or self.state.down):
            delay = self.cluster.rng.uniform(0.5, 12.0)
            self.cluster.delayed_transactions.append(
                (self.cluster.clock.at + delay, dict(conditions), sent)
            )
            raise OutcomeUnknownError("no answer")
        conflict: TransactionConflictError | None = None
        revision = 0
        try:
            revision = await super().transact(conditions, sent, urgent)
        except TransactionConflictError as error:
            conflict = error
        if self.cluster.rng.random() < self.lost_answer_share:
            await curio.sleep(TRANSACTION_TIMEOUT_S)
            raise OutcomeUnknownError("the answer is lost")
        await self._delay_answer()
        if conflict is not None:
            raise conflict
        return revision

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        """Return a key's entry or None, with the injected latency."""
        self._call()
        found = self.state.keys.get(key)
        await self._delay_answer()
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        """Return the entries under a prefix and their revision, with the injected failures."""
        if any(prefix.startswith(p) for p in self.unreadable_prefixes):
            raise StateError("too slow")
        found, revision = await super().read(prefix)
        await self._delay_answer()
        return [e for e in found if e.key.startswith(prefix)], revision

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        """Return the events under a prefix after revision `after`."""
        found = await super().watch(prefix, after, wait_s)
        found.events = [e for e in found.events if (e.put or e.delete or "").startswith(prefix)]
        return found

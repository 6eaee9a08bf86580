"""Quota shares under lost and late writes: use never exceeds the limit."""

import random
from types import SimpleNamespace
from typing import Any

import curio
import msgspec
import pytest

from starlingdeck.admission.quota import ZERO, Quota, ResourceAmount
from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import OutcomeUnknownError, TransactionConflictError
from tests.support.builders import Clock, make_context

LIMIT = 24.0  # team "blue" of tests.support.builders


class QuotaSimulation:
    """Three controllers that use and transfer one team's quota, with lost and late writes."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        context = make_context(Clock())
        self.stored: tuple[list[ResourceAmount], int] = ([], 0)  # value and version of the key
        # Writes applied after their sender gave up.
        self.late: list[tuple[list[ResourceAmount], int]] = []
        self.controllers = [Quota(context) for _ in range(3)]
        self.used = [0.0] * 3
        self.uncertain: set[int] = set()

    def step(self) -> None:
        """Run one random action of a random controller."""
        own = self.rng.randrange(3)
        action = self.rng.choice(["use", "use", "stop", "give", "read", "late"])
        if action == "use" and self.used[own] + 1 <= self.controllers[own].share(0, own)[0] + 1e-9:
            self.used[own] += 1
        elif action == "stop":
            self.used[own] = max(0.0, self.used[own] - 1)
        elif action == "give":
            self.give(own)
        elif action == "read":
            self.read(own)
        elif self.late:
            self.write(*self.late.pop())

    def write(self, shares: list[ResourceAmount], expected: int) -> None:
        """Execute a transaction: its write is applied if the key still has the expected version."""
        if expected == self.stored[1]:
            self.stored = (shares, self.stored[1] + 1)

    def give(self, own: int) -> None:
        """Transfer quota to the next controller; the write may be late or lost."""
        quota = self.controllers[own]
        need = ResourceAmount(float(self.rng.randint(1, 12)), 0.0)
        change = quota.begin_transfer(
            0, own, (own + 1) % 3, need, ResourceAmount(self.used[own], 0.0)
        )
        if change is None:
            return
        if self.rng.random() < 0.3:
            self.late.append((change.shares, change.from_version))
        else:
            self.write(change.shares, change.from_version)
        self.uncertain.add(own)

    def read(self, own: int) -> None:
        """Read the key; after a transfer also rewrite it, so that no late write applies."""
        shares, version = self.stored
        if not version:
            return
        if own in self.uncertain:
            version += 1
            self.stored = (shares, version)
        self.controllers[own].record_shares(0, shares, version)
        self.controllers[own].end_transfer(0, own)
        self.uncertain.discard(own)


@pytest.mark.parametrize("seed", range(30))
def test_use_never_exceeds_the_limit(seed: int) -> None:
    simulation = QuotaSimulation(seed)
    for _ in range(400):
        simulation.step()
        shares, version = simulation.stored
        assert sum(simulation.used) <= LIMIT + 1e-6
        assert not version or abs(sum(cpus for cpus, _ in shares) - LIMIT) < 1e-6


def test_transfers_from_all_other_shards_give_one_shard_the_whole_limit() -> None:
    """A job that needs nearly the whole limit can then start."""
    context = make_context(Clock())
    quota = Quota(context)
    for giver in (1, 2):
        change = quota.begin_transfer(0, giver, 0, ResourceAmount(12.0, 0.0), ZERO)
        assert change is not None
        quota.record_shares(0, change.shares, giver)
        quota.end_transfer(0, giver)
    assert quota.share(0, 0) == (24.0, quota.share(0, 0)[1])
    assert (
        quota.begin_transfer(1, 1, 0, ResourceAmount(12.0, 0.0), ZERO) is None
    )  # no limit, nothing to move


KEY = records.quota_key(0)


class QuotaKey:
    """The state service with one team's key. Transactions may be executed late."""

    def __init__(self) -> None:
        self.value, self.version = [ResourceAmount(LIMIT / 3, 0.0)] * 3, 1
        self.late: list[tuple[dict[str, int], list[api.Change]]] = []
        self.delays = 0  # number of the next transactions that are executed late, unanswered

    async def transact(self, conditions: dict[str, int], changes: list[api.Change]) -> int:
        """Execute a transaction, or keep it for later without an answer."""
        if self.delays:
            self.delays -= 1
            self.late.append((conditions, changes))
            raise OutcomeUnknownError("no answer")
        return self.execute(conditions, changes)

    def execute(self, conditions: dict[str, int], changes: list[api.Change]) -> int:
        """Execute a transaction now."""
        if conditions[KEY] != self.version:
            raise TransactionConflictError([KEY])
        self.value, self.version = changes[0].value, self.version + 1
        return self.version

    async def get(self, _key: str) -> api.Entry:
        """Return the key's entry."""
        return msgspec.convert(
            {"k": KEY, "value": msgspec.Raw(msgspec.json.encode(self.value)), "stamp": self.version,
             "permit": None},
            api.Entry,
        )  # fmt: skip

    def deliver(self, transfer: QuotaTransfer) -> None:
        """Deliver the key's value to a controller, as its watch does."""
        value = msgspec.Raw(msgspec.json.encode(self.value))
        transfer.on_key_changed(KEY, value, self.version)


def controller_of(shard_number: int, key: QuotaKey) -> QuotaTransfer:
    """Return the transfers of a controller that owns one shard and has read the key."""
    context = make_context(Clock())
    shard = JobShard(context, shard_number, 3, 9)
    shard.loaded = True
    membership: Any = SimpleNamespace(lease_is_valid=lambda: True)
    writers: Any = {shard_number: SimpleNamespace(shard=shard)}
    state: Any = key
    transfer = QuotaTransfer(context, state, membership, writers, curio.Event())
    key.deliver(transfer)
    return transfer


@pytest.mark.parametrize("late", [False, True])
def test_a_transfer_does_not_overwrite_shares_that_its_giver_had_not_seen(late: bool) -> None:
    """Shares were written under the version of a newer value, read before the write began."""
    key = QuotaKey()
    first, second = controller_of(0, key), controller_of(1, key)

    async def drive() -> None:
        await second.transfer_to(0, 2, (LIMIT, 0.0), (1.0, 0.0))
        await curio.sleep(0)
        await curio.sleep(0)
        assert key.version == 2
        key.delays = int(late)
        await first.transfer_to(0, 1, (LIMIT, 0.0), (1.0, 0.0))
        key.deliver(first)  # before the write's task runs
        for _ in range(5):
            await curio.sleep(0)
        for conditions, changes in key.late:
            with pytest.raises(TransactionConflictError):
                key.execute(conditions, changes)

    curio.run(drive)
    used = first.quota.share(0, 0).cpus + second.quota.share(0, 1).cpus
    assert key.value[2] == ResourceAmount(2 * LIMIT / 3, 0.0)
    assert used + key.value[2].cpus <= LIMIT
    assert not first.quota.pending_transfers

"""Quota shares under lost and late writes: use never exceeds the limit."""

import random

import pytest

from starlingdeck.admission.quota import ZERO, Quota, ResourceAmount
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
        after = quota.begin_transfer(
            0, own, (own + 1) % 3, need, ResourceAmount(self.used[own], 0.0)
        )
        if after is None:
            return
        outcome, expected = self.rng.random(), quota.versions.get(0, 0)
        if outcome < 0.3:
            self.late.append((after, expected))
        else:
            self.write(after, expected)
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
        after = quota.begin_transfer(0, giver, 0, ResourceAmount(12.0, 0.0), ZERO)
        assert after is not None
        quota.record_shares(0, after, giver)
        quota.end_transfer(0, giver)
    assert quota.share(0, 0) == (24.0, quota.share(0, 0)[1])
    assert (
        quota.begin_transfer(1, 1, 0, ResourceAmount(12.0, 0.0), ZERO) is None
    )  # no limit, nothing to move

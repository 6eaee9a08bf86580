"""Quota shares under lost, late and repeated writes: use never exceeds the limit."""

import random

import pytest

from starlingdeck.admission.quota import ZERO, Quota, ResourceAmount
from tests.support.builders import Clock, make_context

LIMIT = 24.0  # team "blue" of tests.support.builders


@pytest.mark.parametrize("seed", range(30))
def test_use_never_exceeds_the_limit(seed: int) -> None:
    rng = random.Random(seed)
    context = make_context(Clock())
    stored: tuple[list[ResourceAmount], int] = ([], 0)  # value and version of the key
    late: list[tuple[list[ResourceAmount], int]] = []  # writes applied after their sender gave up
    controllers = [Quota(context) for _ in range(3)]
    used = [0.0] * 3
    unread: set[int] = set()
    for _ in range(400):
        own = rng.randrange(3)
        quota = controllers[own]
        action = rng.choice(["use", "use", "stop", "give", "read", "late"])
        if action == "use" and used[own] + 1 <= quota.share(0, own)[0] + 1e-9:
            used[own] += 1
        elif action == "stop":
            used[own] = max(0.0, used[own] - 1)
        elif action == "give":
            need = ResourceAmount(float(rng.randint(1, 12)), 0.0)
            after = quota.transfer(0, own, (own + 1) % 3, need, ResourceAmount(used[own], 0.0))
            if after is not None:
                outcome, expected = rng.random(), quota.versions.get(0, 0)
                if outcome < 0.3:
                    late.append((after, expected))
                elif expected == stored[1]:
                    stored = (after, stored[1] + 1)
                unread.add(own)
        elif action == "read":
            # After an unknown outcome it reads the key and rewrites it: no late write applies then.
            if own in unread and stored[1]:
                stored = (stored[0], stored[1] + 1)
            if stored[1]:
                quota.learn(0, stored[0], stored[1])
                quota.settle(0, own)
                unread.discard(own)
        elif late:
            after, expected = late.pop()
            if expected == stored[1]:
                stored = (after, stored[1] + 1)
        assert sum(used) <= LIMIT + 1e-6
        assert not stored[1] or abs(sum(c for c, _ in stored[0]) - LIMIT) < 1e-6


def test_a_job_of_nearly_the_whole_limit_gets_its_quota() -> None:
    context = make_context(Clock())
    quota = Quota(context)
    for giver in (1, 2):
        after = quota.transfer(0, giver, 0, ResourceAmount(12.0, 0.0), ZERO)
        assert after is not None
        quota.learn(0, after, giver)
        quota.settle(0, giver)
    assert quota.share(0, 0) == (24.0, quota.share(0, 0)[1])
    assert (
        quota.transfer(1, 1, 0, ResourceAmount(12.0, 0.0), ZERO) is None
    )  # no limit, nothing to move

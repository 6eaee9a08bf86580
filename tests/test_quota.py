"""Quota shares under lost, late and repeated writes: use never passes the limit."""

import random

import pytest

from starlingdeck.admission.quota import Quota
from tests.support.builders import Clock, make_world

LIMIT = 24.0  # team "blue" of tests.support.builders


@pytest.mark.parametrize("seed", range(30))
def test_use_never_passes_the_limit(seed: int) -> None:
    rng = random.Random(seed)
    context = make_world(Clock())
    key: tuple[list[tuple[float, float]], int] = ([], 0)
    late: list[tuple[list[tuple[float, float]], int]] = []
    nodes = [Quota(context) for _ in range(3)]
    used = [0.0] * 3
    unread: set[int] = set()
    for _ in range(400):
        me = rng.randrange(3)
        quota = nodes[me]
        what = rng.choice(["use", "use", "stop", "give", "read", "late"])
        if what == "use" and used[me] + 1 <= quota.share(0, me)[0] + 1e-9:
            used[me] += 1
        elif what == "stop":
            used[me] = max(0.0, used[me] - 1)
        elif what == "give":
            want = (float(rng.randint(1, 12)), 0.0)
            after = quota.transfer(0, me, (me + 1) % 3, want, (used[me], 0.0))
            if after is not None:
                luck, based = rng.random(), quota.versions.get(0, 0)
                if luck < 0.3:
                    late.append((after, based))
                elif based == key[1]:
                    key = (after, key[1] + 1)
                unread.add(me)
        elif what == "read":
            # A holder that isn't sure reads, and rewrites the key so that nothing late fits.
            if me in unread and key[1]:
                key = (key[0], key[1] + 1)
            if key[1]:
                quota.learn(0, key[0], key[1])
                quota.settle(0, me)
                unread.discard(me)
        elif late:
            after, based = late.pop()
            if based == key[1]:
                key = (after, key[1] + 1)
        assert sum(used) <= LIMIT + 1e-6
        assert not key[1] or abs(sum(c for c, _ in key[0]) - LIMIT) < 1e-6


def test_a_service_of_nearly_the_whole_limit_gets_its_quota() -> None:
    context = make_world(Clock())
    quota = Quota(context)
    for giver in (1, 2):
        after = quota.transfer(0, giver, 0, (12.0, 0.0), (0.0, 0.0))
        assert after is not None
        quota.learn(0, after, giver)
        quota.settle(0, giver)
    assert quota.share(0, 0) == (24.0, quota.share(0, 0)[1])
    assert quota.transfer(1, 1, 0, (12.0, 0.0), (0.0, 0.0)) is None  # no limit, nothing to move

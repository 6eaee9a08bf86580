"""Every pair of kinds of trouble, by name, in each of three worlds. Not part of the checks: slow.

    python3 -m pytest -n auto tests/pairs.py
    SEEDS=5-7 PLACES=1 python3 -m pytest -n auto tests/pairs.py -k "crash-lost"

The first trouble begins, the second 1.5 s later; they end, or come again, after 12 and 15 s.
"""

import itertools
import os
from typing import Any

import pytest

from tests.support.simulated_cluster import Deck, play
from tests.test_concurrent_failures import KINDS, PLACES, Script, live_meeting

FIRST, LAST = (int(n) for n in (os.environ.get("SEEDS", "1-1") + "-").split("-")[:2])
CHOSEN = [int(n) for n in os.environ.get("PLACES", "0,1,2").split(",")]


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
@pytest.mark.parametrize("place", [PLACES[n] for n in CHOSEN], ids=[f"place{n}" for n in CHOSEN])
@pytest.mark.parametrize("pair", itertools.combinations_with_replacement(KINDS, 2), ids="-".join)
def test_pair(
    monkeypatch: pytest.MonkeyPatch, pair: tuple[str, str], place: dict[str, Any], seed: int
) -> None:
    one, other = pair
    script: Script = [(0.0, one, 0), (1.5, other, 1), (12.0, one, 0), (15.0, other, 1)]
    deck = Deck(seed, **place)
    play(monkeypatch, deck, live_meeting(deck, script))

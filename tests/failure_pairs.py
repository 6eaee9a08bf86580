"""Every pair of failure kinds, by name, in each of three clusters. Slow: not part of the suite.

    python3 -m pytest -n auto tests/failure_pairs.py
    SEEDS=5-7 PLACES=1 python3 -m pytest -n auto tests/failure_pairs.py -k "crash-lost"

The first failure begins, the second 1.5 s later; they end, or recur, after 12 and 15 s.
"""

import itertools
import os
from typing import Any

import pytest

from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.test_concurrent_failures import CLUSTER_VARIANTS, FAILURE_KINDS, Script, run_scenario

FIRST, LAST = (int(n) for n in (os.environ.get("SEEDS", "1-1") + "-").split("-")[:2])
CHOSEN = [int(n) for n in os.environ.get("PLACES", "0,1,2").split(",")]


@pytest.mark.parametrize("seed", range(FIRST, LAST + 1))
@pytest.mark.parametrize(
    "variant", [CLUSTER_VARIANTS[n] for n in CHOSEN], ids=[f"variant{n}" for n in CHOSEN]
)
@pytest.mark.parametrize(
    "pair", itertools.combinations_with_replacement(FAILURE_KINDS, 2), ids="-".join
)
def test_pair(
    monkeypatch: pytest.MonkeyPatch, pair: tuple[str, str], variant: dict[str, Any], seed: int
) -> None:
    one, other = pair
    script: Script = [(0.0, one, 0), (1.5, other, 1), (12.0, one, 0), (15.0, other, 1)]
    cluster = SimulatedCluster(seed, **variant)
    run_simulation(monkeypatch, cluster, run_scenario(cluster, script))

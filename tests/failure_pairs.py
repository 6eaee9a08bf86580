"""Every pair of failure kinds, by name, in each of three clusters. Slow: not part of the suite.

    python3 -m pytest -n auto tests/failure_pairs.py
    SEEDS=5-7 PLACES=1 python3 -m pytest -n auto tests/failure_pairs.py -k "crash-transaction"

The first failure begins at once, the second 1.5 s later. After 12 and 15 s each ends or, if it is
of a kind that does not last, occurs again. SEEDS is a seed or a range of seeds, PLACES a list of
the numbers of the clusters.
"""

import itertools
import os
from typing import Any

import pytest

from tests.support.failure_scenarios import Script, run_scenario
from tests.support.failures import FAILURE_KINDS
from tests.support.simulated_cluster import SimulatedCluster, run_simulation
from tests.test_concurrent_failures import CLUSTER_VARIANTS

SEED_RANGE = os.environ.get("SEEDS", "1").split("-")  # one seed, or the first and the last
FIRST_SEED, LAST_SEED = int(SEED_RANGE[0]), int(SEED_RANGE[-1])
VARIANT_NUMBERS = [int(n) for n in os.environ.get("PLACES", "0,1,2").split(",")]


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED + 1))
@pytest.mark.parametrize(
    "variant",
    [CLUSTER_VARIANTS[n] for n in VARIANT_NUMBERS],
    ids=[f"variant{n}" for n in VARIANT_NUMBERS],
)
@pytest.mark.parametrize(
    "pair", itertools.combinations_with_replacement(FAILURE_KINDS, 2), ids="-".join
)
def test_pair(
    monkeypatch: pytest.MonkeyPatch, pair: tuple[str, str], variant: dict[str, Any], seed: int
) -> None:
    first, second = pair
    script: Script = [(0.0, first, 0), (1.5, second, 1), (12.0, first, 0), (15.0, second, 1)]
    cluster = SimulatedCluster(seed, **variant)
    run_simulation(monkeypatch, cluster, run_scenario(cluster, script))

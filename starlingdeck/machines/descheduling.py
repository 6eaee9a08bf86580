"""DESIGN 3: which tasks an overfull machine gives up, picked by tabu search."""

import random
from collections.abc import Sequence

from msgspec import Struct

from starlingdeck.machines.scoring import start_score


class RunningTask(Struct, frozen=True):
    """A task on the machine: its index, its size, and what moving it would cost."""

    key: int
    size: tuple[float, float, float]
    cost: float
    pinned: bool = False


def move_cost(ran_s: float, saves: bool, checkpoint_s: float, fetch_s: float) -> float:
    """Ours: lost run time plus the fetch of an image the target doesn't have, in seconds."""
    lost = min(ran_s, checkpoint_s) if saves else ran_s
    return 1.0 + lost + fetch_s


def choose_tasks(
    total: Sequence[float],
    loads: Sequence[RunningTask],
    restarts: int,
    steps: int,
    patience: int,
    rng: random.Random,
) -> list[int]:
    """Keys of a cheap set of tasks whose removal makes the rest fit.

    Fitness is the score after removal over the move cost; a set that still overfills
    the machine ranks by how much it overfills.
    """
    movable = [i for i, load in enumerate(loads) if not load.pinned]
    use = [sum(load.size[d] for load in loads) for d in range(3)]

    def over(gone: frozenset[int]) -> float:
        worst = 0.0
        for d in range(3):
            if total[d] > 0:
                left = use[d] - sum(loads[i].size[d] for i in gone)
                worst = max(worst, left / total[d] - 1)
        return worst

    def fitness(gone: frozenset[int]) -> float:
        excess = over(gone)
        if excess > 1e-9:
            return -excess
        shares = [
            (use[d] - sum(loads[i].size[d] for i in gone)) / total[d]
            for d in range(3)
            if total[d] > 0
        ]
        cost = sum(loads[i].cost for i in gone)
        return (3 + start_score(shares)) / (1 + cost)

    if not movable or over(frozenset()) <= 1e-9:
        return []
    best = frozenset(movable)
    best_fit = fitness(best)
    for _ in range(restarts):
        order = movable[:]
        rng.shuffle(order)
        gone: frozenset[int] = frozenset()
        for i in order:
            if over(gone) <= 1e-9:
                break
            gone |= {i}
        tabu: set[int] = set()
        idle = 0
        for _ in range(steps):
            moves = [(fitness(gone ^ {i}), i) for i in movable if i not in tabu]
            if not moves:
                break
            gain, i = max(moves)
            gone, idle = gone ^ {i}, idle + 1
            tabu.add(i)
            if gain > best_fit:
                best, best_fit, idle = gone, gain, 0
            if idle >= patience:
                break
    return [loads[i].key for i in sorted(best)]

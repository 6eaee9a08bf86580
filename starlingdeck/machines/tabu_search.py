"""Tabu search for the tasks that are to leave an overcommitted machine (DESIGN 3). No I/O."""

import math
import random
from collections.abc import Sequence

from msgspec import Struct

from starlingdeck.machines.scoring import start_score

EXCESS_TOLERANCE = 1e-9  # share of the capacity, for rounding errors in sums of resources
BASE_FITNESS = 3  # start_score is above -3, so sets that fit have positive fitness


class RunningTask(Struct, frozen=True):
    """A task on the machine: its key, its size, and what moving it would cost in seconds."""

    key: int
    size: tuple[float, float, float]
    cost: float
    pinned: bool = False


def move_cost(ran_s: float, saves: bool, checkpoint_s: float, fetch_s: float) -> float:
    """Return the cost of moving a task, in seconds.

    The formula is our own: lost run time plus the fetch of an image that the target doesn't have.
    """
    lost = min(ran_s, checkpoint_s) if saves else ran_s
    return 1.0 + lost + fetch_s


def choose_tasks(
    total: Sequence[float],
    tasks: Sequence[RunningTask],
    restarts: int,
    steps: int,
    patience: int,
    rng: random.Random,
) -> list[int]:
    """Return the keys of a cheap set of tasks whose removal makes the others fit into `total`.

    The search makes `restarts` random starts. Each is followed by at most `steps` moves, and ends
    after `patience` moves in a row without a better set.
    """
    search = _Search(total, tasks)
    if not search.movable or search.excess(frozenset()) <= EXCESS_TOLERANCE:
        return []
    search.consider(frozenset(search.movable))
    for _ in range(restarts):
        search.improve(search.random_start(rng), steps, patience)
    return [tasks[i].key for i in sorted(search.best)]


class _Search:
    """The state of a search. A set holds the indices of the tasks to be removed.

    The fitness of a set is the score after its removal divided by the cost of the moves. For a set
    that leaves the machine overcommitted it is the negated excess.
    """

    def __init__(self, total: Sequence[float], tasks: Sequence[RunningTask]) -> None:
        self.total = total
        self.tasks = tasks
        self.movable = [i for i, task in enumerate(tasks) if not task.pinned]
        self.use = [sum(task.size[d] for task in tasks) for d in range(3)]
        self.best: frozenset[int] = frozenset()
        self.best_fitness = -math.inf

    def excess(self, removed: frozenset[int]) -> float:
        """Return the largest share by which a resource is overcommitted after removal, or 0."""
        total, use, tasks = self.total, self.use, self.tasks
        worst = 0.0
        for d in range(3):
            if total[d] > 0:
                left = use[d] - sum(tasks[i].size[d] for i in removed)
                worst = max(worst, left / total[d] - 1)
        return worst

    def fitness(self, removed: frozenset[int]) -> float:
        """Return how good a set is; negative when its removal isn't enough."""
        excess = self.excess(removed)
        if excess > EXCESS_TOLERANCE:
            return -excess
        total, use, tasks = self.total, self.use, self.tasks
        shares = [
            (use[d] - sum(tasks[i].size[d] for i in removed)) / total[d]
            for d in range(3)
            if total[d] > 0
        ]
        cost = sum(tasks[i].cost for i in removed)
        return (BASE_FITNESS + start_score(shares)) / (1 + cost)

    def consider(self, removed: frozenset[int]) -> None:
        """Keep a set if it is better than the best so far."""
        fitness = self.fitness(removed)
        if fitness > self.best_fitness:
            self.best, self.best_fitness = removed, fitness

    def random_start(self, rng: random.Random) -> frozenset[int]:
        """Return a set of tasks, added in random order until the others fit."""
        order = self.movable[:]
        rng.shuffle(order)
        removed: frozenset[int] = frozenset()
        for i in order:
            if self.excess(removed) <= EXCESS_TOLERANCE:
                break
            removed |= {i}
        return removed

    def improve(self, removed: frozenset[int], steps: int, patience: int) -> None:
        """Add or take out one task at a time, no task twice; keep the best set found."""
        tabu: set[int] = set()
        moves_without_gain = 0
        for _ in range(steps):
            moves = [(self.fitness(removed ^ {i}), i) for i in self.movable if i not in tabu]
            if not moves:
                break
            fitness, i = max(moves)
            removed, moves_without_gain = removed ^ {i}, moves_without_gain + 1
            tabu.add(i)
            if fitness > self.best_fitness:
                self.best, self.best_fitness, moves_without_gain = removed, fitness, 0
            if moves_without_gain >= patience:
                break

"""Scores machines for new tasks (DESIGN 2) and for descheduled ones (DESIGN 4)."""

import heapq
import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.context import fits

HIGH_UTILIZATION = 0.9  # share of a resource; machines that would use a larger share come last
NO_RANK = 99  # above every rank: no preemptible work
NO_PREEMPTIBLE_WORK_S = 1e6  # used as lost run time if there is no preemptible work
HIGH_UTILIZATION_PENALTY = 2  # larger than the range of scores up to HIGH_UTILIZATION
MIN_DRAW_WEIGHT = 1e-6  # lets candidates with a score of 0 be drawn


class Candidate(Struct):
    """A machine that tasks may be placed on. Resources are cpus, gpus, memory in GB.

    `silent_s`, `idle_s`, `unconfirmed_s` and `youngest_s` are as of `observed_at`.
    `owner_schedulable` is what the machine's owner says; `schedulable` also requires that the
    owner can be reached.
    """

    index: int
    type: int
    zone: int
    spot: bool
    shard: int
    capacity: tuple[float, float, float]
    available: list[float]
    schedulable: bool = True
    lost: bool = False
    draining: bool = False
    termination_notice: bool = False
    busy: bool = False
    silent_s: float = 0.0
    idle_s: float = 0.0
    observed_at: float = 0.0
    owner_schedulable: bool = True
    fetch_gb_per_s: float = 1.0
    images: set[str] = field(default_factory=set)
    fetching: set[str] = field(default_factory=set)
    # For each rank, the least run time that preempting a task of it would lose; -1: no such task.
    youngest_s: list[float] = field(default_factory=list)
    tasks: set[tuple[int, int]] = field(default_factory=set)
    unconfirmed_s: float = 0.0  # how long it has reported without proof that it receives answers
    lowest_rank: int = NO_RANK  # lowest rank that has preemptible work

    def __post_init__(self) -> None:
        """Compute `lowest_rank` in advance: each scheduling cycle reads it for every machine."""
        ranks = (rank for rank, age in enumerate(self.youngest_s) if age >= 0)
        self.lowest_rank = next(ranks, NO_RANK)

    def utilization_with(self, size: Sequence[float]) -> list[float]:
        """Return the share of each resource in use once a task of this size is added."""
        return [
            (total - free + added) / total
            for total, free, added in zip(self.capacity, self.available, size, strict=True)
            if total > 0
        ]

    def fetch_s(self, image: str, image_gb: float) -> float:
        """Return how long a task would wait for its image, in seconds.

        Fetches under way share the bandwidth.
        """
        if image in self.images or self.fetch_gb_per_s <= 0:
            return 0.0
        if image in self.fetching:
            return image_gb / self.fetch_gb_per_s * len(self.fetching) / 2
        return image_gb / self.fetch_gb_per_s * (1 + len(self.fetching))

    def preemption_loss_s(self, rank: int, now: float) -> float:
        """Return the least run time that preempting work below a rank would lose, in seconds.

        Return NO_PREEMPTIBLE_WORK_S if there is no such work.
        """
        ran = [age for age in self.youngest_s[:rank] if age >= 0]
        return min(ran) + now - self.observed_at if ran else NO_PREEMPTIBLE_WORK_S

    def fits(self, size: Sequence[float]) -> bool:
        """Return whether a task of this size fits beside all that is allocated."""
        return fits(size, self.available)


def start_score(utilization: Sequence[float]) -> float:
    """Return the score of DESIGN 2: 1 minus the highest share minus half the spread.

    Machines above HIGH_UTILIZATION come last.
    """
    high, low = max(utilization), min(utilization)
    score = 1 - high - (high - low) / 2
    return score - HIGH_UTILIZATION_PENALTY if high > HIGH_UTILIZATION else score


def refit_score(utilization: Sequence[float]) -> float:
    """Return the score of DESIGN 4: the mean share minus the spread, but at least 0.

    DESIGN 4 only requires that tight fits come first, and a score of 0 above HIGH_UTILIZATION. The
    formula is our own.
    """
    high, low = max(utilization), min(utilization)
    if high > HIGH_UTILIZATION:
        return 0.0
    return max(0.0, sum(utilization) / len(utilization) - (high - low))


class CandidateSample:
    """A sample of at most `limit` machines that fit a task of one size, best first (DESIGN 2).

    Exception to DESIGN 2, recorded in docs/design.md: among machines that fit, the one that
    will have the image soonest comes first, because the fetch is the longest part of a start.
    Tasks of one job are alike, so machines are scored once; only a chosen one is scored again.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],  # only machines that fit a task of this size
        size: Sequence[float],
        fetch_s: Callable[[Candidate], float],
        limit: int,
        rng: random.Random,
    ) -> None:
        self.size = size
        self.fetch_s = fetch_s
        pool = list(candidates)
        if len(pool) > limit:
            pool = rng.sample(pool, limit)
        self.pool = pool
        self.heap = [(*self._rank(candidate), i) for i, candidate in enumerate(pool)]
        heapq.heapify(self.heap)
        self.chosen: int | None = None

    def _rank(self, candidate: Candidate) -> tuple[float, bool, float]:
        return (
            round(self.fetch_s(candidate)),
            candidate.spot,
            -start_score(candidate.utilization_with(self.size)),
        )

    def best(self, is_eligible: Callable[[Candidate], bool]) -> Candidate | None:
        """Return the best eligible machine that fits the task; None if there is none.

        The caller may change the machine's available resources until the next call, but not later.
        """
        skipped, best_candidate = [], None
        if self.chosen is not None:
            # Score the machine chosen last again: a fetch begun there makes it better for the next
            # task, not worse.
            heapq.heappush(self.heap, (*self._rank(self.pool[self.chosen]), self.chosen))
            self.chosen = None
        while self.heap:
            entry = heapq.heappop(self.heap)
            candidate = self.pool[entry[-1]]
            rank = (*self._rank(candidate), entry[-1]) if candidate.fits(self.size) else None
            if rank is None:
                continue
            if rank != entry:
                heapq.heappush(self.heap, rank)
                continue
            skipped.append(entry)
            if is_eligible(candidate):
                best_candidate, self.chosen = candidate, entry[-1]
                break
        for entry in skipped:
            heapq.heappush(self.heap, entry)
        return best_candidate


def choose_refit(
    machines: Sequence[Candidate],
    size: Sequence[float],
    limit: int,
    candidates: int,
    rng: random.Random,
) -> list[Candidate]:
    """Return at most `candidates` machines for a descheduled task, best first.

    At most `limit` machines are considered. Those with enough available resources are drawn at
    random, weighted by score; those that fit the task only by their whole capacity come last.
    """
    pool = rng.sample(list(machines), limit) if len(machines) > limit else list(machines)
    fitting: list[tuple[float, Candidate]] = []
    forced: list[Candidate] = []
    for candidate in pool:
        score = refit_score(candidate.utilization_with(size))
        if candidate.fits(size):
            fitting.append((score + MIN_DRAW_WEIGHT, candidate))
        elif fits(size, candidate.capacity):
            forced.append(candidate)
    drawn: list[Candidate] = []
    while fitting and len(drawn) < candidates:
        drawn.append(_draw_weighted(fitting, rng))
    return drawn + forced[: candidates - len(drawn)]


def _draw_weighted(weighted: list[tuple[float, Candidate]], rng: random.Random) -> Candidate:
    """Remove and return a random candidate, with a probability in proportion to its weight."""
    remaining = rng.random() * sum(weight for weight, _ in weighted)
    for i, (weight, _) in enumerate(weighted):
        remaining -= weight
        if remaining <= 0:
            return weighted.pop(i)[1]
    return weighted.pop()[1]

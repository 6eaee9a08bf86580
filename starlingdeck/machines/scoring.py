"""Scores: where a new task goes (DESIGN 2) and where a moved one goes (DESIGN 4)."""

import heapq
import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.context import fits

HIGH_UTILIZATION = 0.9
NO_RANK = 99
NO_PREEMPTIBLE_WORK_S = 1e6


class Candidate(Struct):
    """A machine as the scorers see it. Amounts are cpus, gpus, memory.

    `silent_s` and `idle_s` are as of `at`; `open` is what its owner says, and `drawable`
    whether its owner can also be asked.
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
    youngest_s: list[float] = field(default_factory=list)  # by rank, as of `at`; -1: none
    tasks: set[tuple[int, int]] = field(default_factory=set)
    unconfirmed_s: float = 0.0  # for how long it has reported without hearing its owner, as of `at`
    lowest_rank: int = NO_RANK  # of the work that may be stopped

    def __post_init__(self) -> None:
        """Asked of every machine in every plan."""
        ranks = (rank for rank, age in enumerate(self.youngest_s) if age >= 0)
        self.lowest_rank = next(ranks, NO_RANK)

    def utilization_with(self, size: Sequence[float]) -> list[float]:
        return [
            (t - f + s) / t
            for t, f, s in zip(self.capacity, self.available, size, strict=True)
            if t > 0
        ]

    def fetch_s(self, image: str, image_gb: float) -> float:
        """How long a task would wait for its image. Fetches under way share the rate."""
        if image in self.images or self.fetch_gb_per_s <= 0:
            return 0.0
        if image in self.fetching:
            return image_gb / self.fetch_gb_per_s * len(self.fetching) / 2
        return image_gb / self.fetch_gb_per_s * (1 + len(self.fetching))

    def lost_s(self, rank: int, now: float) -> float:
        """How much run time is lost by stopping lower work here; FAR where there is none."""
        ran = [age for age in self.youngest_s[:rank] if age >= 0]
        return min(ran) + now - self.observed_at if ran else NO_PREEMPTIBLE_WORK_S

    def fits(self, size: Sequence[float]) -> bool:
        return fits(size, self.available)


def start_score(shares: Sequence[float]) -> float:
    """DESIGN 2: 1 minus the highest share minus half the spread; over-full fits rank last."""
    high, low = max(shares), min(shares)
    score = 1 - high - (high - low) / 2
    return score - 2 if high > HIGH_UTILIZATION else score


def refit_score(shares: Sequence[float]) -> float:
    """DESIGN 4: tight fits first; nothing above 90% use. (Ours: mean share minus spread.)"""
    high, low = max(shares), min(shares)
    return 0.0 if high > HIGH_UTILIZATION else max(0.0, sum(shares) / len(shares) - (high - low))


class CandidateSample:
    """Up to `most` machines that fit a task of one size, best first (DESIGN 2).

    Exception to DESIGN 2, recorded in docs/design.md: among machines that fit, the one that
    has the image soonest comes first, because the fetch is the longest part of a start.
    A job's tasks are alike, so its machines are scored once, and a chosen one again.
    """

    def __init__(
        self,
        candidates: Sequence[Candidate],  # all of which fit
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

    def best(self, able: Callable[[Candidate], bool]) -> Candidate | None:
        """The best that is able; its free room may be changed only until the next call."""
        passed, found = [], None
        if self.chosen is not None:
            # A fetch begun there makes it better for the next task, not worse.
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
            passed.append(entry)
            if able(candidate):
                found, self.chosen = candidate, entry[-1]
                break
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return found


def choose_refit(
    rooms: Sequence[Candidate],
    size: Sequence[float],
    limit: int,
    candidates: int,
    rng: random.Random,
) -> list[Candidate]:
    """Candidates drawn by score, best first; those fitting only by total room come last."""
    pool = rng.sample(list(rooms), limit) if len(rooms) > limit else list(rooms)
    open_, forced = [], []
    for candidate in pool:
        score = refit_score(candidate.utilization_with(size))
        if candidate.fits(size):
            open_.append((score + 1e-6, candidate))
        elif fits(size, candidate.capacity):
            forced.append(candidate)
    drawn: list[Candidate] = []
    while open_ and len(drawn) < candidates:
        total = sum(score for score, _ in open_)
        mark = rng.random() * total
        for i, (score, _) in enumerate(open_):
            mark -= score
            if mark <= 0 or i == len(open_) - 1:
                drawn.append(open_.pop(i)[1])
                break
    return drawn + forced[: candidates - len(drawn)]

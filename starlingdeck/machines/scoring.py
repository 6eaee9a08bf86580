"""Scores: where a new task goes (DESIGN 2) and where a moved one goes (DESIGN 4)."""

import heapq
import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.context import fits

FULL = 0.9
NO_RANK = 99
FAR = 1e6


class Room(Struct):
    """A machine as the scorers see it. Amounts are cpus, gpus, memory.

    `silent_s` and `idle_s` are as of `at`; `open` is what its owner says, and `drawable`
    whether its owner can also be asked.
    """

    index: int
    type: int
    zone: int
    spot: bool
    shard: int
    total: tuple[float, float, float]
    free: list[float]
    drawable: bool = True
    dead: bool = False
    draining: bool = False
    notice: bool = False
    busy: bool = False
    silent_s: float = 0.0
    idle_s: float = 0.0
    at: float = 0.0
    open: bool = True
    pull: float = 1.0
    images: set[str] = field(default_factory=set)
    fetching: set[str] = field(default_factory=set)
    youngest_s: list[float] = field(default_factory=list)  # by rank, as of `at`; -1: none
    present: set[tuple[int, int]] = field(default_factory=set)
    deaf_s: float = 0.0  # for how long it has reported without hearing its owner, as of `at`
    lowest: int = NO_RANK  # of the work that may be stopped

    def __post_init__(self) -> None:
        """Asked of every machine in every plan."""
        ranks = (rank for rank, age in enumerate(self.youngest_s) if age >= 0)
        self.lowest = next(ranks, NO_RANK)

    def shares_with(self, size: Sequence[float]) -> list[float]:
        return [
            (t - f + s) / t for t, f, s in zip(self.total, self.free, size, strict=True) if t > 0
        ]

    def fetch_s(self, image: str, image_gb: float) -> float:
        """How long a task would wait for its image. Fetches under way share the rate."""
        if image in self.images or self.pull <= 0:
            return 0.0
        if image in self.fetching:
            return image_gb / self.pull * len(self.fetching) / 2
        return image_gb / self.pull * (1 + len(self.fetching))

    def lost_s(self, rank: int, now: float) -> float:
        """How much run time is lost by stopping lower work here; FAR where there is none."""
        ran = [age for age in self.youngest_s[:rank] if age >= 0]
        return min(ran) + now - self.at if ran else FAR

    def fits(self, size: Sequence[float]) -> bool:
        return fits(size, self.free)


def start_score(shares: Sequence[float]) -> float:
    """DESIGN 2: 1 minus the highest share minus half the spread; over-full fits rank last."""
    high, low = max(shares), min(shares)
    score = 1 - high - (high - low) / 2
    return score - 2 if high > FULL else score


def refit_score(shares: Sequence[float]) -> float:
    """DESIGN 4: tight fits first; nothing above 90% use. (Ours: mean share minus spread.)"""
    high, low = max(shares), min(shares)
    return 0.0 if high > FULL else max(0.0, sum(shares) / len(shares) - (high - low))


class Draw:
    """Up to `most` machines that fit a task of one size, best first (DESIGN 2).

    Exception to DESIGN 2, recorded in docs/design.md: among machines that fit, the one that
    has the image soonest comes first, because the fetch is the longest part of a start.
    A job's tasks are alike, so its machines are scored once, and a chosen one again.
    """

    def __init__(
        self,
        rooms: Sequence[Room],  # all of which fit
        size: Sequence[float],
        fetch_s: Callable[[Room], float],
        most: int,
        rng: random.Random,
    ) -> None:
        self.size = size
        self.fetch_s = fetch_s
        pool = list(rooms)
        if len(pool) > most:
            pool = rng.sample(pool, most)
        self.pool = pool
        self.heap = [(*self._rank(room), i) for i, room in enumerate(pool)]
        heapq.heapify(self.heap)
        self.chosen: int | None = None

    def _rank(self, room: Room) -> tuple[float, bool, float]:
        return (
            round(self.fetch_s(room)),
            room.spot,
            -start_score(room.shares_with(self.size)),
        )

    def best(self, able: Callable[[Room], bool]) -> Room | None:
        """The best that is able; its free room may be changed only until the next call."""
        passed, found = [], None
        if self.chosen is not None:
            # A fetch begun there makes it better for the next task, not worse.
            heapq.heappush(self.heap, (*self._rank(self.pool[self.chosen]), self.chosen))
            self.chosen = None
        while self.heap:
            entry = heapq.heappop(self.heap)
            room = self.pool[entry[-1]]
            rank = (*self._rank(room), entry[-1]) if room.fits(self.size) else None
            if rank is None:
                continue
            if rank != entry:
                heapq.heappush(self.heap, rank)
                continue
            passed.append(entry)
            if able(room):
                found, self.chosen = room, entry[-1]
                break
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return found


def choose_refit(
    rooms: Sequence[Room],
    size: Sequence[float],
    most: int,
    candidates: int,
    rng: random.Random,
) -> list[Room]:
    """Candidates drawn by score, best first; those fitting only by total room come last."""
    pool = rng.sample(list(rooms), most) if len(rooms) > most else list(rooms)
    open_, forced = [], []
    for room in pool:
        score = refit_score(room.shares_with(size))
        if room.fits(size):
            open_.append((score + 1e-6, room))
        elif fits(size, room.total):
            forced.append(room)
    drawn: list[Room] = []
    while open_ and len(drawn) < candidates:
        total = sum(score for score, _ in open_)
        mark = rng.random() * total
        for i, (score, _) in enumerate(open_):
            mark -= score
            if mark <= 0 or i == len(open_) - 1:
                drawn.append(open_.pop(i)[1])
                break
    return drawn + forced[: candidates - len(drawn)]

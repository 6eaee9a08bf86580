"""Scores: where a new task goes (DESIGN 2) and where a moved one goes (DESIGN 4)."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from starlingdeck.coordination.world import fits

FULL = 0.9


@dataclass(slots=True)
class Room:
    """A machine as the scorers see it. Amounts are cpus, gpus, memory."""

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
    speed: float = 1.0
    images: set[str] = field(default_factory=set)
    present: set[tuple[int, int]] = field(default_factory=set)

    def shares_with(self, size: Sequence[float]) -> list[float]:
        return [
            (t - f + s) / t for t, f, s in zip(self.total, self.free, size, strict=True) if t > 0
        ]

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


def choose_start(
    rooms: Sequence[Room],
    size: Sequence[float],
    image: str,
    prefer_spot: bool,
    most: int,
    rng: random.Random,
) -> Room | None:
    """The best of up to `most` machines that fit.

    Exception to DESIGN 2, recorded in docs/design.md: among machines that fit, one that
    has the image cached comes first, because the fetch is the longest part of a start.
    """
    pool: Sequence[Room] = rooms
    if len(rooms) > most:
        pool = rng.sample(list(rooms), most)
    best: Room | None = None
    best_rank: tuple[float, ...] = ()
    for room in pool:
        if not room.fits(size):
            continue
        rank = (
            float(image in room.images),
            room.speed >= 0.7,
            float(room.spot == prefer_spot),
            start_score(room.shares_with(size)),
        )
        if best is None or rank > best_rank:
            best, best_rank = room, rank
    return best


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
        elif all(s <= t for s, t in zip(size, room.total, strict=True)):
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

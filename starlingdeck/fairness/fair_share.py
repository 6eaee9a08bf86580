"""The shares of the fleet under overload, and what each shard may promise of them.

Amounts are shares of all capacity, from 0 to 1: of the resource that a pair needs most of
(dominant resource fairness). Everybody who has the same parts reckons the same.
"""

from collections.abc import Hashable, Mapping
from typing import TypeVar

from msgspec import Struct, field

from starlingdeck.fairness.demand_snapshot import Resources, ShardDemand, TeamClass, total

K = TypeVar("K", bound=Hashable)


class FairShares(Struct, frozen=True):
    """What follows from one picture."""

    overload: bool = False
    capacity: Resources = (0.0, 0.0, 0.0)
    minimum_shares: dict[TeamClass, float] = field(default_factory=dict)
    split: dict[int, dict[TeamClass, float]] = field(
        default_factory=dict
    )  # shard -> its part of them
    signals: tuple[tuple[int, int, int], ...] = ()  # shard, token, seq of every part

    def shard_share(self, shard: int, pair: TeamClass) -> float:
        """What a shard may promise to a pair; a pair that isn't named shares its team's rest."""
        own = self.split.get(shard, {})
        found = own.get(pair)
        return own.get((pair[0], ""), 0.0) if found is None else found


def dominant_share(size: Resources, capacity: Resources) -> float:
    """The largest share of any resource that a size takes; of one that isn't there, nothing."""
    return max(s / c if c > 0 else 0.0 for s, c in zip(size, capacity, strict=True))


def water_fill(wanted: Mapping[K, float], capacity: float) -> dict[K, float]:
    """Max-min: nobody gets more than it wants, and what it leaves is split over the others."""
    left = capacity
    shares: dict[K, float] = {}
    ordered = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for n, (key, want) in enumerate(ordered):
        shares[key] = min(want, left / (len(ordered) - n))
        left -= shares[key]
    return shares


def max_min_shares(wanted: Mapping[TeamClass, float]) -> dict[TeamClass, float]:
    """Max-min over teams, then over each team's classes: classes are names that users make up,
    and a thousand of them must not be a thousand claims against another team's one."""
    teams: dict[int, dict[TeamClass, float]] = {}
    for pair in sorted(wanted):
        teams.setdefault(pair[0], {})[pair] = wanted[pair]
    shares: dict[TeamClass, float] = {}
    for team, share in water_fill({t: sum(own.values()) for t, own in teams.items()}, 1.0).items():
        shares |= water_fill(teams[team], share)
    return shares


def compute_fair_shares(parts: Mapping[int, ShardDemand], shards: int, floor: float) -> FairShares:
    """Floors, as `floor` of each pair's fair share, and their split over the shards by demand.

    Only machines are promised whose holders are in the picture. A shard promises no more than
    an equal split of them, so that shards with different pictures, out of date or from both
    sides of a cut, together promise no more than there is.
    """
    capacity = total(part.capacity for part in parts.values())
    marks = tuple((s, part.token, part.seq) for s, part in sorted(parts.items()))
    overload = any(part.overloaded for part in parts.values())
    if not overload or max(capacity, default=0.0) <= 0:
        return FairShares(overload, capacity, signals=marks)
    demand: dict[TeamClass, dict[int, float]] = {}
    for shard, part in sorted(parts.items()):
        for pair, load in part.loads.items():
            share = dominant_share(total((load.running, load.waiting)), capacity)
            demand.setdefault(pair, {})[shard] = share
    wanted = {pair: sum(own.values()) for pair, own in demand.items()}
    floors = {pair: floor * share for pair, share in max_min_shares(wanted).items()}
    split: dict[int, dict[TeamClass, float]] = {shard: {} for shard in parts}
    for pair, own in demand.items():
        for shard, share in own.items():
            if share > 0:
                split[shard][pair] = floors[pair] * share / wanted[pair]
    for part_of in split.values():
        promised = sum(part_of.values())
        if promised > 1 / shards:
            for pair in part_of:
                part_of[pair] /= promised * shards
    return FairShares(overload, capacity, floors, split, marks)

"""Fair shares of the cluster under overload, and the part of them that each shard may guarantee.

Amounts are shares of the whole capacity, from 0 to 1, of the resource of which a team's class
needs most (dominant resource fairness). All controllers with the same demand snapshot compute the
same shares.
"""

from collections.abc import Hashable, Mapping
from typing import TypeVar

from msgspec import Struct, field

from starlingdeck.fairness.demand_snapshot import Resources, ShardDemand, TeamClass, total

K = TypeVar("K", bound=Hashable)

ShardShares = dict[int, dict[TeamClass, float]]


class FairShares(Struct, frozen=True):
    """The shares that follow from one demand snapshot; without overload there are none."""

    overload: bool = False
    capacity: Resources = (0.0, 0.0, 0.0)
    minimum_shares: dict[TeamClass, float] = field(default_factory=dict)
    split: ShardShares = field(default_factory=dict)  # each shard's part of the minimum shares
    signals: tuple[tuple[int, int, int], ...] = ()  # shard, token, seq of every part used

    def shard_share(self, shard: int, team_class: TeamClass) -> float:
        """What a shard may guarantee to a team's class; one not named uses that of "" together."""
        own = self.split.get(shard, {})
        share = own.get(team_class)
        return own.get((team_class[0], ""), 0.0) if share is None else share


def dominant_share(amount: Resources, capacity: Resources) -> float:
    """The largest share that an amount is of any resource; resources without capacity are
    ignored."""
    return max(a / c if c > 0 else 0.0 for a, c in zip(amount, capacity, strict=True))


def water_fill(wanted: Mapping[K, float], capacity: float) -> dict[K, float]:
    """Max-min fairness: none gets more than wanted, and what it leaves is split over the others."""
    remaining = capacity
    shares: dict[K, float] = {}
    ordered = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for position, (key, want) in enumerate(ordered):
        shares[key] = min(want, remaining / (len(ordered) - position))
        remaining -= shares[key]
    return shares


def max_min_shares(wanted: Mapping[TeamClass, float]) -> dict[TeamClass, float]:
    """Max-min over teams, then over each team's classes.

    Users choose the names of classes freely, so a team with a thousand classes must not get a
    thousand times the share of a team with one.
    """
    by_team: dict[int, dict[TeamClass, float]] = {}
    for team_class in sorted(wanted):
        by_team.setdefault(team_class[0], {})[team_class] = wanted[team_class]
    team_totals = {team: sum(classes.values()) for team, classes in by_team.items()}
    shares: dict[TeamClass, float] = {}
    for team, share in water_fill(team_totals, 1.0).items():
        shares |= water_fill(by_team[team], share)
    return shares


def compute_fair_shares(
    parts: Mapping[int, ShardDemand], shards: int, min_share_ratio: float
) -> FairShares:
    """The minimum shares, and their split over the shards by demand.

    A minimum share is `min_share_ratio` of a class's fair share. Only capacity of shards whose
    part is known is guaranteed.
    """
    capacity = total(part.capacity for part in parts.values())
    signals = tuple((shard, part.token, part.seq) for shard, part in sorted(parts.items()))
    overload = any(part.overloaded for part in parts.values())
    if not overload or max(capacity, default=0.0) <= 0:
        return FairShares(overload, capacity, signals=signals)
    demand = _demand_by_class(parts, capacity)
    wanted = {team_class: sum(by_shard.values()) for team_class, by_shard in demand.items()}
    minimum_shares = {
        team_class: min_share_ratio * share for team_class, share in max_min_shares(wanted).items()
    }
    split: ShardShares = {shard: {} for shard in parts}
    for team_class, by_shard in demand.items():
        for shard, share in by_shard.items():
            if share > 0:
                minimum = minimum_shares[team_class]
                split[shard][team_class] = minimum * share / wanted[team_class]
    _limit_to_equal_parts(split, shards)
    return FairShares(overload, capacity, minimum_shares, split, signals)


def _demand_by_class(
    parts: Mapping[int, ShardDemand], capacity: Resources
) -> dict[TeamClass, dict[int, float]]:
    """Each class's dominant share of the capacity, by shard."""
    demand: dict[TeamClass, dict[int, float]] = {}
    for shard, part in sorted(parts.items()):
        for team_class, load in part.loads.items():
            share = dominant_share(total((load.running, load.waiting)), capacity)
            demand.setdefault(team_class, {})[shard] = share
    return demand


def _limit_to_equal_parts(split: ShardShares, shards: int) -> None:
    """Scale each shard's guarantees down to an equal part of the capacity.

    Shards whose snapshots differ, being out of date or from both sides of a partition, then
    together guarantee no more than there is.
    """
    for guaranteed in split.values():
        total_share = sum(guaranteed.values())
        if total_share > 1 / shards:
            for team_class in guaranteed:
                guaranteed[team_class] /= total_share * shards

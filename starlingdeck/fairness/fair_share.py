"""Computes the fair shares of the cluster under overload, and which part each shard may guarantee.

Amounts are dominant shares (dominant resource fairness): from 0 to 1, the share of the whole
capacity of that resource of which a team's class needs the largest share. All controllers with the
same demand snapshot compute the same shares.
"""

from collections.abc import Hashable, Mapping
from typing import TypeVar

from msgspec import Struct, field

from starlingdeck.fairness.demand_snapshot import Resources, ShardDemand, TeamClass, sum_resources

K = TypeVar("K", bound=Hashable)

ShardShares = dict[int, dict[TeamClass, float]]


class FairShares(Struct, frozen=True):
    """The shares computed from one demand snapshot; without overload there are none."""

    overload: bool = False
    capacity: Resources = (0.0, 0.0, 0.0)
    minimum_shares: dict[TeamClass, float] = field(default_factory=dict)
    split: ShardShares = field(default_factory=dict)  # each shard's part of the minimum shares
    signals: tuple[tuple[int, int, int], ...] = ()  # shard, token, seq of every report used

    def shard_share(self, shard: int, team_class: TeamClass) -> float:
        """Return the share that a shard may guarantee to a team's class.

        The classes of a team that aren't named use the share of its class "" together.
        """
        own = self.split.get(shard, {})
        share = own.get(team_class)
        return own.get((team_class[0], ""), 0.0) if share is None else share


def dominant_share(amount: Resources, capacity: Resources) -> float:
    """Return the largest share of any resource that an amount takes.

    Resources without capacity are ignored.
    """
    return max(a / c if c > 0 else 0.0 for a, c in zip(amount, capacity, strict=True))


def water_fill(wanted: Mapping[K, float], capacity: float) -> dict[K, float]:
    """Divide capacity with max-min fairness.

    None gets more than it wants; what it doesn't want is divided among the others.
    """
    remaining = capacity
    shares: dict[K, float] = {}
    ordered = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for position, (key, want) in enumerate(ordered):
        shares[key] = min(want, remaining / (len(ordered) - position))
        remaining -= shares[key]
    return shares


def max_min_shares(wanted: Mapping[TeamClass, float]) -> dict[TeamClass, float]:
    """Divide the whole capacity with max-min fairness over teams, then over each team's classes.

    Users choose the names of classes freely, so a team with a thousand classes must not get a
    thousand times the share of a team with one class.
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
    reports: Mapping[int, ShardDemand], shards: int, min_share_ratio: float
) -> FairShares:
    """Compute the minimum shares, and split them over the shards by demand.

    A minimum share is `min_share_ratio` of a class's fair share. Only the capacity of shards whose
    report is known is guaranteed.
    """
    capacity = sum_resources(report.capacity for report in reports.values())
    signals = tuple((shard, report.token, report.seq) for shard, report in sorted(reports.items()))
    overload = any(report.overloaded for report in reports.values())
    if not overload or max(capacity, default=0.0) <= 0:
        return FairShares(overload, capacity, signals=signals)
    demand = _demand_by_class(reports, capacity)
    wanted = {team_class: sum(by_shard.values()) for team_class, by_shard in demand.items()}
    minimum_shares = {
        team_class: min_share_ratio * share for team_class, share in max_min_shares(wanted).items()
    }
    split: ShardShares = {shard: {} for shard in reports}
    for team_class, by_shard in demand.items():
        for shard, share in by_shard.items():
            if share > 0:
                minimum = minimum_shares[team_class]
                split[shard][team_class] = minimum * share / wanted[team_class]
    _limit_to_equal_parts(split, shards)
    return FairShares(overload, capacity, minimum_shares, split, signals)


def _demand_by_class(
    reports: Mapping[int, ShardDemand], capacity: Resources
) -> dict[TeamClass, dict[int, float]]:
    """Return each class's running and waiting demand by shard, as dominant shares."""
    demand: dict[TeamClass, dict[int, float]] = {}
    for shard, report in sorted(reports.items()):
        for team_class, load in report.loads.items():
            share = dominant_share(sum_resources((load.running, load.waiting)), capacity)
            demand.setdefault(team_class, {})[shard] = share
    return demand


def _limit_to_equal_parts(split: ShardShares, shards: int) -> None:
    """Scale each shard's guarantees down to at most an equal part of the capacity.

    Snapshots may differ between shards: they can be out of date, or from both sides of a network
    partition. With this limit all shards together still guarantee no more than the capacity.
    """
    for guaranteed in split.values():
        total_share = sum(guaranteed.values())
        if total_share > 1 / shards:
            for team_class in guaranteed:
                guaranteed[team_class] /= total_share * shards

"""Keeps the demand and the capacity of every shard, as their owners last reported them.

Each report is versioned by its owner's fencing token and a sequence number, so that a late report
changes nothing and a new owner's reports replace its predecessor's. A report is valid for a limited
time after it was received; then the demand of its shard is unknown.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

TeamClass = tuple[int, str]  # team index, class of jobs; "" for all classes not named
Resources = tuple[float, float, float]  # cpus, gpus, memory in GB

MAX_TEAM_CLASSES = 32  # named in one report; the others of each team are summed
NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


class ClassDemand(Struct, frozen=True):
    """The resources that a team's class uses and waits for at one shard."""

    running: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES


class ShardDemand(Struct, frozen=True):
    """A report of one shard's demand and capacity by its owner.

    `overloaded` means that work there waits too long, or did recently.
    """

    shard: int
    token: int
    seq: int
    capacity: Resources
    loads: dict[TeamClass, ClassDemand]
    overloaded: bool = False


class DemandSnapshot(Struct):
    """The newest report on every shard, and when it was received."""

    shards: dict[int, ShardDemand] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)  # seconds of the caller's clock

    def update(self, report: ShardDemand, now: float) -> bool:
        """Replace a shard's report. Return False, changing nothing, if it isn't newer."""
        old = self.shards.get(report.shard)
        if old is not None and (old.token, old.seq) >= (report.token, report.seq):
            return False
        self.shards[report.shard] = report
        self.received_at[report.shard] = now
        return True

    def known(self, now: float, max_age_s: float) -> dict[int, ShardDemand]:
        """Return the reports that were received less than `max_age_s` ago, by shard."""
        return {
            shard: report
            for shard, report in self.shards.items()
            if now - self.received_at[shard] < max_age_s
        }


def sum_resources(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of amounts for each resource."""
    cpus = gpus = memory_gb = 0.0
    for amount in amounts:
        cpus += amount[0]
        gpus += amount[1]
        memory_gb += amount[2]
    return cpus, gpus, memory_gb


def merge_small_classes(
    loads: Mapping[TeamClass, ClassDemand], limit: int = MAX_TEAM_CLASSES
) -> dict[TeamClass, ClassDemand]:
    """Return the `limit` largest named loads; each team's others are summed under the class ""."""

    def sort_key(team_class: TeamClass) -> tuple[float, TeamClass]:
        load = loads[team_class]
        return -max(sum_resources((load.running, load.waiting))), team_class

    ordered = sorted((team_class for team_class in loads if team_class[1]), key=sort_key)
    named = {team_class: loads[team_class] for team_class in ordered[:limit]}
    for team_class in sorted(loads.keys() - named.keys()):
        others = (team_class[0], "")
        summed, load = named.get(others, ClassDemand()), loads[team_class]
        named[others] = ClassDemand(
            sum_resources((summed.running, load.running)),
            sum_resources((summed.waiting, load.waiting)),
        )
    return named

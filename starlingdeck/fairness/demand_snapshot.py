"""The demand and the capacity of every shard, as their owners last reported them.

Each shard's part is numbered by its owner's fencing token and a sequence number, so that a late
one changes nothing and a new owner's replaces its predecessor's. A part counts for a bounded time
after it was received; then the demand of its shard is unknown.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

TeamClass = tuple[int, str]  # team (index), class of jobs; "" for all classes not named
Resources = tuple[float, float, float]  # cpus, gpus, memory in GB

MAX_TEAM_CLASSES = 32  # named by one part; the others of each team are summed
NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


class ClassDemand(Struct, frozen=True):
    """The work of a team's class at one shard: what is running, and what waits for capacity."""

    running: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES


class ShardDemand(Struct, frozen=True):
    """One shard's part, as its owner reports it.

    `overloaded` means that work there waits too long, or did recently.
    """

    shard: int
    token: int
    seq: int
    capacity: Resources
    loads: dict[TeamClass, ClassDemand]
    overloaded: bool = False


class DemandSnapshot(Struct):
    """The newest part of every shard, and when it was received."""

    shards: dict[int, ShardDemand] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)  # seconds, of the caller's clock

    def update(self, part: ShardDemand, now: float) -> bool:
        """Replace a shard's part; False, and no change, if it is not newer than the known one."""
        old = self.shards.get(part.shard)
        if old is not None and (old.token, old.seq) >= (part.token, part.seq):
            return False
        self.shards[part.shard] = part
        self.received_at[part.shard] = now
        return True

    def known(self, now: float, max_age_s: float) -> dict[int, ShardDemand]:
        """The parts that were received less than `max_age_s` ago, by shard."""
        return {
            shard: part
            for shard, part in self.shards.items()
            if now - self.received_at[shard] < max_age_s
        }


def total(amounts: Iterable[Resources]) -> Resources:
    """The sum of amounts, for each resource."""
    cpus = gpus = memory_gb = 0.0
    for amount in amounts:
        cpus += amount[0]
        gpus += amount[1]
        memory_gb += amount[2]
    return cpus, gpus, memory_gb


def bounded(
    loads: Mapping[TeamClass, ClassDemand], limit: int = MAX_TEAM_CLASSES
) -> dict[TeamClass, ClassDemand]:
    """The `limit` largest loads by name; the others of each team summed under the class ""."""

    def sort_key(team_class: TeamClass) -> tuple[float, TeamClass]:
        load = loads[team_class]
        return -max(total((load.running, load.waiting))), team_class

    ordered = sorted((team_class for team_class in loads if team_class[1]), key=sort_key)
    named = {team_class: loads[team_class] for team_class in ordered[:limit]}
    for team_class in sorted(loads.keys() - named.keys()):
        others = (team_class[0], "")
        summed, load = named.get(others, ClassDemand()), loads[team_class]
        named[others] = ClassDemand(
            total((summed.running, load.running)), total((summed.waiting, load.waiting))
        )
    return named

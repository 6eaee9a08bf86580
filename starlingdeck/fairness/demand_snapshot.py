"""What every shard has to run and to run it on, as its holder last said.

A part is numbered by its holder's token and a counter, so that a late one changes nothing and
a successor's replaces its predecessor's. A part that is out of date counts for as long as it
is kept, then its shard is unknown.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

TeamClass = tuple[int, str]  # team (index), class of jobs; "" for those not named
Resources = tuple[float, float, float]  # cpus, gpus, memory in GB

MAX_TEAM_CLASSES = 32  # named by one part; the rest of a team's are summed
NO_RESOURCES: Resources = (0.0, 0.0, 0.0)


class ClassDemand(Struct, frozen=True):
    """A pair's work at one shard: what has room, and what found none."""

    running: Resources = NO_RESOURCES
    waiting: Resources = NO_RESOURCES


class ShardDemand(Struct, frozen=True):
    """One shard's, as its holder tells it. `pressed`: work there waits too long, or did lately."""

    shard: int
    token: int
    seq: int
    capacity: Resources
    loads: dict[TeamClass, ClassDemand]
    overloaded: bool = False


class DemandSnapshot(Struct):
    """The newest part of every shard, and when it came."""

    shards: dict[int, ShardDemand] = field(default_factory=dict)
    received_at: dict[int, float] = field(default_factory=dict)

    def update(self, part: ShardDemand, now: float) -> bool:
        """False for a part that is older than the one known."""
        old = self.shards.get(part.shard)
        if old is not None and (old.token, old.seq) >= (part.token, part.seq):
            return False
        self.shards[part.shard] = part
        self.received_at[part.shard] = now
        return True

    def known(self, now: float, keep_s: float) -> dict[int, ShardDemand]:
        """The parts that still count."""
        return {s: p for s, p in self.shards.items() if now - self.received_at[s] < keep_s}


def total(sizes: Iterable[Resources]) -> Resources:
    cpus = gpus = memory_gb = 0.0
    for size in sizes:
        cpus += size[0]
        gpus += size[1]
        memory_gb += size[2]
    return cpus, gpus, memory_gb


def bounded(
    loads: Mapping[TeamClass, ClassDemand], limit: int = MAX_TEAM_CLASSES
) -> dict[TeamClass, ClassDemand]:
    """The largest loads by name; the rest of each team summed under the class \"\"."""

    def rank(pair: TeamClass) -> tuple[float, TeamClass]:
        load = loads[pair]
        return -max(total((load.running, load.waiting))), pair

    ordered = sorted((pair for pair in loads if pair[1]), key=rank)
    named = {pair: loads[pair] for pair in ordered[:limit]}
    for pair in sorted(loads.keys() - named.keys()):
        rest = named.get((pair[0], ""), ClassDemand())
        load = loads[pair]
        named[(pair[0], "")] = ClassDemand(
            total((rest.running, load.running)), total((rest.waiting, load.waiting))
        )
    return named

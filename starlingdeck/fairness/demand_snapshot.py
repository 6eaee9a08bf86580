"""What every shard has to run and to run it on, as its holder last said.

A part is numbered by its holder's token and a counter, so that a late one changes nothing and
a successor's replaces its predecessor's. A part that is out of date counts for as long as it
is kept, then its shard is unknown.
"""

from collections.abc import Iterable, Mapping

from msgspec import Struct, field

Pair = tuple[int, str]  # team (index), class of jobs; "" for those not named
Size = tuple[float, float, float]  # cpus, gpus, memory in GB

MOST_PAIRS = 32  # named by one part; the rest of a team's are summed
NOTHING: Size = (0.0, 0.0, 0.0)


class Load(Struct, frozen=True):
    """A pair's work at one shard: what has room, and what found none."""

    running: Size = NOTHING
    waiting: Size = NOTHING


class Part(Struct, frozen=True):
    """One shard's, as its holder tells it. `pressed`: work there waits too long, or did lately."""

    shard: int
    token: int
    seq: int
    capacity: Size
    loads: dict[Pair, Load]
    pressed: bool = False


class Picture(Struct):
    """The newest part of every shard, and when it came."""

    parts: dict[int, Part] = field(default_factory=dict)
    heard: dict[int, float] = field(default_factory=dict)

    def take(self, part: Part, now: float) -> bool:
        """False for a part that is older than the one known."""
        old = self.parts.get(part.shard)
        if old is not None and (old.token, old.seq) >= (part.token, part.seq):
            return False
        self.parts[part.shard] = part
        self.heard[part.shard] = now
        return True

    def known(self, now: float, keep_s: float) -> dict[int, Part]:
        """The parts that still count."""
        return {s: p for s, p in self.parts.items() if now - self.heard[s] < keep_s}


def total(sizes: Iterable[Size]) -> Size:
    cpus = gpus = memory_gb = 0.0
    for size in sizes:
        cpus += size[0]
        gpus += size[1]
        memory_gb += size[2]
    return cpus, gpus, memory_gb


def bounded(loads: Mapping[Pair, Load], most: int = MOST_PAIRS) -> dict[Pair, Load]:
    """The largest loads by name; the rest of each team summed under the class \"\"."""

    def rank(pair: Pair) -> tuple[float, Pair]:
        load = loads[pair]
        return -max(total((load.running, load.waiting))), pair

    ordered = sorted((pair for pair in loads if pair[1]), key=rank)
    named = {pair: loads[pair] for pair in ordered[:most]}
    for pair in sorted(loads.keys() - named.keys()):
        rest = named.get((pair[0], ""), Load())
        load = loads[pair]
        named[(pair[0], "")] = Load(
            total((rest.running, load.running)), total((rest.waiting, load.waiting))
        )
    return named

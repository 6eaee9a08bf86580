"""How a team's limit is split over the shards, and how shares move between them.

One key a team holds every shard's share; they sum to the limit. A shard gives part of its
own by compare-and-set, and counts it as gone from before the write until it knows better;
the receiver counts it only when it has read the key.
"""

from msgspec import Struct, field

from starlingdeck.context import ControllerContext

Pair = tuple[float, float]  # cpus, gpus
FREE = 1e12


class Quota(Struct):
    context: ControllerContext
    shares: dict[int, list[Pair]] = field(default_factory=dict)
    versions: dict[int, int] = field(default_factory=dict)
    giving: dict[tuple[int, int], Pair] = field(default_factory=dict)

    def limit(self, team: int) -> Pair:
        item = self.context.settings.settings.teams[team]
        return (item.cpus_max or FREE, item.gpus_max or FREE)

    def split(self, team: int) -> list[Pair]:
        """The shares last read, or equal ones while no key was ever written."""
        cpus, gpus = self.limit(team)
        n = self.context.shard_count
        return self.shares.get(team, [(cpus / n, gpus / n)] * n)

    def share(self, team: int, shard: int) -> Pair:
        own = self.split(team)[shard]
        left = self.giving.get((team, shard), own)
        return (min(own[0], left[0]), min(own[1], left[1]))

    def learn(self, team: int, shares: list[Pair], version: int) -> None:
        """What the key says; an older reading changes nothing."""
        if version > self.versions.get(team, 0) and len(shares) == self.context.shard_count:
            self.shares[team] = [(float(c), float(g)) for c, g in shares]
            self.versions[team] = version

    def transfer(
        self, team: int, giver: int, taker: int, want: Pair, used: Pair
    ) -> list[Pair] | None:
        """The split after `giver` has passed on what it doesn't use; None if that is nothing.

        From here until `settle` the giver's share is the smaller one, whatever the write does.
        """
        if giver == taker or (team, giver) in self.giving:
            return None
        own = self.split(team)[giver]
        given = tuple(
            max(0.0, min(w, o - u)) if limit < FREE else 0.0
            for w, o, u, limit in zip(want, own, used, self.limit(team), strict=True)
        )
        if sum(given) <= 1e-6:
            return None
        after = list(self.split(team))
        after[giver] = (own[0] - given[0], own[1] - given[1])
        got = after[taker]
        after[taker] = (got[0] + given[0], got[1] + given[1])
        self.giving[(team, giver)] = after[giver]
        return after

    def settle(self, team: int, giver: int) -> None:
        """The key has been read again since the transfer: it says what the share is."""
        self.giving.pop((team, giver), None)

"""The quota of each team, split into one share per shard.

One key per team in the state service holds the shares of all shards; they sum to the team's
limit. A shard gives away part of its own share by compare-and-set. From before that write until
its outcome is known the giver counts the part as gone, while the receiver counts it only once it
has read the key, so the shares in use never add up to more than the limit.
"""

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.context import ControllerContext

UNLIMITED = 1e12  # the limit of a resource for which a team has none
EPSILON = 1e-6  # amounts up to this are rounding errors


class ResourceAmount(NamedTuple):
    """An amount of the resources that quota limits; stored as a JSON array."""

    cpus: float
    gpus: float


ZERO = ResourceAmount(0.0, 0.0)


class Quota(Struct):
    """The shares of all teams as this controller last read them."""

    context: ControllerContext
    shares: dict[int, list[ResourceAmount]] = field(default_factory=dict)  # by team, then shard
    versions: dict[int, int] = field(default_factory=dict)  # of each team's key
    # (team, shard) -> its share after a transfer whose outcome is not known yet.
    pending_transfers: dict[tuple[int, int], ResourceAmount] = field(default_factory=dict)

    def limit(self, team: int) -> ResourceAmount:
        """A team's limit over all shards."""
        item = self.context.settings.settings.teams[team]
        return ResourceAmount(item.cpus_max or UNLIMITED, item.gpus_max or UNLIMITED)

    def split(self, team: int) -> list[ResourceAmount]:
        """The shares last read, or equal ones while the key has never been written."""
        cpus, gpus = self.limit(team)
        n = self.context.shard_count
        return self.shares.get(team, [ResourceAmount(cpus / n, gpus / n)] * n)

    def share(self, team: int, shard: int) -> ResourceAmount:
        """The amount that a shard may use for a team now."""
        own = self.split(team)[shard]
        remaining = self.pending_transfers.get((team, shard), own)
        return ResourceAmount(min(own[0], remaining[0]), min(own[1], remaining[1]))

    def record_shares(self, team: int, shares: Sequence[tuple[float, float]], version: int) -> None:
        """Record the shares read from a team's key; an older version changes nothing."""
        if version > self.versions.get(team, 0) and len(shares) == self.context.shard_count:
            self.shares[team] = [ResourceAmount(float(c), float(g)) for c, g in shares]
            self.versions[team] = version

    def begin_transfer(
        self,
        team: int,
        giver: int,
        receiver: int,
        need: ResourceAmount,
        used: ResourceAmount,
    ) -> list[ResourceAmount] | None:
        """The split after `giver` has given away what it doesn't use; None if that is nothing.

        From here until `end_transfer` the giver has the smaller share, whatever the write does.
        """
        if giver == receiver or (team, giver) in self.pending_transfers:
            return None
        own = self.split(team)[giver]
        given = [
            max(0.0, min(n, o - u)) if limit < UNLIMITED else 0.0
            for n, o, u, limit in zip(need, own, used, self.limit(team), strict=True)
        ]
        if sum(given) <= EPSILON:
            return None
        after = list(self.split(team))
        after[giver] = ResourceAmount(own[0] - given[0], own[1] - given[1])
        before = after[receiver]
        after[receiver] = ResourceAmount(before[0] + given[0], before[1] + given[1])
        self.pending_transfers[(team, giver)] = after[giver]
        return after

    def end_transfer(self, team: int, giver: int) -> None:
        """End a transfer: its key has been read again and says what the share is."""
        self.pending_transfers.pop((team, giver), None)

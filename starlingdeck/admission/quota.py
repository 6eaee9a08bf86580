"""The quota of each team, split into one share per shard.

One key per team in the state service holds the shares of all shards; they sum to the team's
limit. A shard gives away part of its own share by compare-and-set. From before that write until
its outcome is known, the giver does not use this part. The receiver uses it only once it has read
the key. The shares in use therefore never add up to more than the limit.
"""

from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.context import ControllerContext

UNLIMITED = 1e12  # CPUs or GPUs, as the limit of a team that has none
EPSILON = 1e-6  # amounts up to this are rounding errors


class ResourceAmount(NamedTuple):
    """An amount of the resources that quota limits; stored as a JSON array."""

    cpus: float
    gpus: float


ZERO = ResourceAmount(0.0, 0.0)


class QuotaChange(Struct, frozen=True):
    """A team's shares after a transfer, to be written only over the shares it was made from."""

    shares: list[ResourceAmount]
    from_version: int  # version of the team's key


class Quota(Struct):
    """The shares of all teams as this controller last read them."""

    context: ControllerContext
    # Team -> the shares of all shards, in the order of the shards.
    shares: dict[int, list[ResourceAmount]] = field(default_factory=dict)
    versions: dict[int, int] = field(default_factory=dict)  # team -> version of its key
    # (team, shard) -> its share after a transfer whose outcome is not known yet.
    pending_transfers: dict[tuple[int, int], ResourceAmount] = field(default_factory=dict)

    def limit(self, team: int) -> ResourceAmount:
        """Return a team's limit over all shards."""
        item = self.context.settings.settings.teams[team]
        return ResourceAmount(item.cpus_max or UNLIMITED, item.gpus_max or UNLIMITED)

    def split(self, team: int) -> list[ResourceAmount]:
        """Return a team's shares as last read, or equal shares if its key has not been written."""
        cpus, gpus = self.limit(team)
        n = self.context.shard_count
        return self.shares.get(team, [ResourceAmount(cpus / n, gpus / n)] * n)

    def share(self, team: int, shard: int) -> ResourceAmount:
        """Return the amount that a shard may use for a team now."""
        recorded = self.split(team)[shard]
        remaining = self.pending_transfers.get((team, shard), recorded)
        return ResourceAmount(min(recorded[0], remaining[0]), min(recorded[1], remaining[1]))

    def record_shares(self, team: int, shares: Sequence[tuple[float, float]], version: int) -> None:
        """Record the shares read from a team's key, if their version is newer.

        A value for another number of shards is ignored.
        """
        if version > self.versions.get(team, 0) and len(shares) == self.context.shard_count:
            self.shares[team] = [ResourceAmount(float(c), float(g)) for c, g in shares]
            self.versions[team] = version

    def begin_transfer(
        self,
        team: int,
        giver: int,
        receiver: int,
        need: ResourceAmount,
        withheld: ResourceAmount,
    ) -> QuotaChange | None:
        """Begin a transfer and return the change to write; None if there is nothing to give.

        The giver gives up to `need` from the part of its share above `withheld`. Until
        `end_transfer` is called, the giver may use at most its share after the transfer, even if
        the write fails.
        """
        if giver == receiver or (team, giver) in self.pending_transfers:
            return None
        giver_share = self.split(team)[giver]
        given = [
            max(0.0, min(n, o - w)) if limit < UNLIMITED else 0.0
            for n, o, w, limit in zip(need, giver_share, withheld, self.limit(team), strict=True)
        ]
        if sum(given) <= EPSILON:
            return None
        after = list(self.split(team))
        after[giver] = ResourceAmount(giver_share[0] - given[0], giver_share[1] - given[1])
        receiver_share = after[receiver]
        after[receiver] = ResourceAmount(receiver_share[0] + given[0], receiver_share[1] + given[1])
        self.pending_transfers[(team, giver)] = after[giver]
        return QuotaChange(after, self.versions.get(team, 0))

    def end_transfer(self, team: int, giver: int) -> None:
        """End a transfer: the recorded shares include its outcome now."""
        self.pending_transfers.pop((team, giver), None)

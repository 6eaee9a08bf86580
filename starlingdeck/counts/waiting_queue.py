"""The tasks that wait for units of counted resources, and the order in which shards serve them."""

from collections.abc import Iterator, Mapping

from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.counts.ledger import ShardResource
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter

GOSSIP_VALID_S = 2.0  # how long a peer's gossip on waiting and running tasks is used
MS_PER_S = 1000


class Waiter(Struct, frozen=True):
    """The first task of a shard that waits for units of a resource."""

    shard: int
    job: str
    team: int
    guaranteed: bool
    rank: int
    submitted_ms: int
    units: int  # number missing
    reserving: bool = False  # units that come free are reserved for it


def waiter_of(job: Job, units: int, reserving: bool = False) -> Waiter:
    """Return a job's next task as a waiter for `units` units."""
    return Waiter(
        shard=job.shard,
        job=job.id,
        team=job.team,
        guaranteed=job.guaranteed,
        rank=job.spec.rank,
        submitted_ms=job.submitted_ms,
        units=units,
        reserving=reserving,
    )


def outranks(one: Waiter, other: Waiter, turn_ms: float) -> bool:
    """Return whether `one` goes before `other`, which waits at another shard.

    A guarantee decides first, then the rank. Of equals, the one submitted earlier by more than
    `turn_ms` goes first: in strict order of submission, units would move between shards at every
    end of a task. If one of two equals reserves units, their order of submission is strict.
    """
    first, second = (one.guaranteed, one.rank), (other.guaranteed, other.rank)
    if first != second:
        return first > second
    if one.reserving or other.reserving:
        return (one.submitted_ms, one.job) < (other.submitted_ms, other.job)
    return one.submitted_ms + turn_ms < other.submitted_ms


class PeerWaiters(Struct):
    """The first waiters of a peer's shards, as of its last gossip."""

    received_at: float
    by_resource: dict[int, list[Waiter]] = field(default_factory=dict)


class WaitingQueue:
    """The first waiters of all shards: this controller's, and its peers' as of their gossip."""

    def __init__(
        self, context: ControllerContext, writers: Mapping[int, RecordWriter], turn_s: float
    ) -> None:
        self.context = context
        self.writers = writers
        self.turn_ms = turn_s * MS_PER_S
        self.own: dict[ShardResource, Waiter] = {}  # of the last complete scheduling cycle
        self.by_peer: dict[int, PeerWaiters] = {}

    def first_waiters(self, resource: int) -> Iterator[Waiter]:
        """Yield the first waiter of each shard that has one."""
        now = self.context.now()
        for peer in self.by_peer.values():
            if now - peer.received_at < GOSSIP_VALID_S:
                # The former owner of a shard that moved here may still report its waiters.
                waiters = peer.by_resource.get(resource, ())
                yield from (w for w in waiters if w.shard not in self.writers)
        for shard in self.writers:
            if (own := self.own.get((shard, resource))) is not None:
                yield own

    def ahead_of(self, waiter: Waiter, resource: int) -> list[Waiter]:
        """Return the waiters of other shards that go before `waiter`."""
        return [
            other
            for other in self.first_waiters(resource)
            if other.shard != waiter.shard and outranks(other, waiter, self.turn_ms)
        ]

    def is_wanted_elsewhere(self, key: ShardResource) -> bool:
        """Return whether a waiter of another shard goes before this shard's waiter, if any."""
        shard, resource = key
        own = self.own.get(key)
        others = [w for w in self.first_waiters(resource) if w.shard != shard]
        return any(own is None or outranks(other, own, self.turn_ms) for other in others)

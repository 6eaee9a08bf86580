"""A job as its holder has it, and how its records say so."""

from array import array
from collections import Counter
from collections.abc import Iterable

from msgspec import Struct, field

from starlingdeck.cluster.sharding import machine_shard
from starlingdeck.context import Size, World, size_of
from starlingdeck.machines import failure_attribution
from starlingdeck.protocol import api
from starlingdeck.protocol.api import JobSpec
from starlingdeck.storage import records
from starlingdeck.storage.records import (
    CHUNK,
    LOG_START,
    Chunk,
    JobRecord,
    Placement,
    Position,
)

PENDING, PLACED, DONE = range(3)
FOR_EVER = 1e18
URGENT = 2  # ranks from here on start as urgently as a submission is taken


class Place(Struct):
    """Where an attempt is, as recorded. `listed` is the Wants that first named it."""

    machine: int
    session: int
    attempt: int
    shard: int
    zone: int
    listed: int = 0
    listed_gen: int = 0
    seen: int = api.PENDING
    since: float = 0.0
    grace_s: float = 0.0
    shed: bool = False
    yields: bool = False  # is to stop, for a unit that it holds
    kept: bool = False  # is not to be stopped for others: its class is below its floor
    target: "Place | None" = None  # where it goes once it has stopped (DESIGN 5)
    until: float = FOR_EVER  # when the room kept for it is given to others


class Job(Struct):
    index: int
    id: str
    spec: JobSpec
    shard: int
    team: int
    at_ms: int
    size: Size
    state: "array[int]"
    tries: "array[int]"
    cancelled: bool = False
    final: str = ""
    versions: dict[int, int] = field(default_factory=dict)  # chunk -> version of its key
    places: dict[int, Place] = field(default_factory=dict)
    ends: dict[int, int] = field(default_factory=dict)  # task -> why its attempt ended
    starts: dict[int, Place] = field(default_factory=dict)
    asking: dict[int, int] = field(default_factory=dict)  # task -> zone asked for
    retry_at: dict[int, float] = field(default_factory=dict)
    avoid: dict[int, set[int]] = field(default_factory=dict)
    failed_on: set[int] = field(default_factory=set)
    errors: int = 0
    pushed: set[int] = field(default_factory=set)  # tasks that asked for room beside their image
    promised: dict[int, tuple[int, float]] = field(default_factory=dict)  # task -> machine, until
    gathering: set[int] = field(default_factory=set)  # of those: where nothing is stopped for it
    hold_until: float = 0.0
    finished: int = 0
    needs: tuple[tuple[int, int], ...] = ()  # units of counts that each task holds: count, units
    withheld: frozenset[int] = frozenset()  # starts that no unit is free for now
    # Of tasks with needs: by what proof they ended, and when.
    proofs: dict[int, tuple[str, float]] | None = None
    stale: bool = False
    unsure: bool = False  # a write that ends or cancels it was sent: the record may say more
    # Parts in which a write that ends tasks was sent: the record may say more of them done.
    in_doubt: set[int] = field(default_factory=set)
    first_pending: int = 0
    guaranteed: bool = False
    due_ms: tuple[float, ...] | None = None  # by the aims, soonest first; reckoned when asked for

    @property
    def known(self) -> int:
        """What its errors say of the machines they were on."""
        if self.finished:
            return failure_attribution.FINE
        return (
            failure_attribution.BROKEN
            if len(self.failed_on) >= failure_attribution.BROKEN_ON
            else failure_attribution.UNKNOWN
        )

    @property
    def unfinished(self) -> int:
        return self.spec.tasks - self.finished

    @property
    def grace_s(self) -> float:
        """How long a task may take to save before it stops."""
        return self.spec.save_s + 1.0 if self.spec.checkpoint_s > 0 else 0.0

    def pending(self, most: int) -> list[int]:
        """Up to `most` tasks that wait for a machine."""
        if self.cancelled or self.final:
            return []
        found: list[int] = []
        i = self.first_pending = self._next(self.first_pending)
        while i < self.spec.tasks and len(found) < most:
            if i not in self.starts and i not in self.asking:
                found.append(i)
            i = self._next(i + 1)
        return found

    def _next(self, first: int) -> int:
        """The first pending task from there on; the number of tasks if there is none."""
        try:
            return self.state.index(PENDING, first)
        except ValueError:
            return self.spec.tasks

    def ready(self, most: int, now: float) -> list[int]:
        """Of those, the ones that need not wait before they are tried again."""
        return [t for t in self.pending(most) if self.retry_at.get(t, 0.0) <= now]

    def unknown_done(self, number: int, bits: int) -> int:
        """How many tasks of chunk `number`, given as bits, are done and not known here as such."""
        first = number * CHUNK
        known = int(records.pack_done(self.state, first, DONE) or "0", 16)
        return (bits & ~known).bit_count()

    def used(self) -> int:
        """Attempts that may be using a machine: recorded, or about to be."""
        return len(self.places) + len(self.starts) + len(self.asking)


class Out(Struct):
    """What a machine shard has been told, and what has changed since."""

    gen: int = 0
    seq: int = 0
    acked: int = 0
    sent_at: float = -1e9
    whole: bool = True
    changed: set[int] = field(default_factory=set)  # task keys
    gone: set[tuple[int, int]] = field(default_factory=set)  # task key, machine
    jobs: set[int] = field(default_factory=set)  # known there, to be shown anew
    unacked: list[tuple[int, int]] = field(default_factory=list)  # list that first named it, key

    @property
    def news(self) -> bool:
        return bool(self.whole or self.changed or self.gone or self.jobs)


class Draft(Struct):
    """One job's part of a transaction, and how to make it true once it is durable."""

    job: Job
    conditions: dict[str, int]
    changes: list[api.Change]
    ends: dict[int, int]
    starts: dict[int, Place]
    final: str
    cancel: bool
    chunks: list[int]


def new_job(world: World, spec: JobSpec, shard: int, at_ms: int) -> Job:
    n = spec.tasks
    return Job(
        world.jobs.put(spec.id),
        spec.id,
        spec,
        shard,
        world.teams.put(spec.team),
        at_ms,
        size_of(spec),
        array("B", bytes(n)),
        array("I", bytes(4 * n)),
        needs=tuple((world.counts.put(k), v) for k, v in (spec.counts or {}).items() if v),
    )


def load_job(world: World, shard: int, main: JobRecord, chunks: dict[int, Chunk]) -> Job:
    """A job as the state service has it; `chunks` are those beyond the first."""
    job = new_job(world, main.spec, shard, main.at_ms)
    job.cancelled = main.cancelled
    for number, chunk in {0: main.chunk, **chunks}.items():
        first = number * CHUNK
        for i in records.unpack_done(chunk.done):
            job.state[first + i] = DONE
            job.finished += 1
        for i, tries in enumerate(chunk.tries):
            job.tries[first + i] = tries
        for task, attempt, machine, session, zone in chunk.on:
            job.state[task] = PLACED
            owner = machine_shard(machine, zone, world.shard_zones)
            job.places[task] = Place(
                world.machines.put(machine), session, attempt, owner, world.zones.put(zone)
            )
    return job


def placement(world: World, task: int, place: Place) -> Placement:
    """An attempt as records and the log say it."""
    machine, zone = world.machines[place.machine], world.zones[place.zone]
    return (task, place.attempt, machine, place.session, zone)


def encode_chunk(
    world: World,
    job: Job,
    number: int,
    ends: dict[int, int],
    starts: dict[int, Place],
    upto: Position = LOG_START,
) -> Chunk:
    """Chunk `number` as it will be once `ends` and `starts` are true; it holds all that the
    commit log says up to `upto`."""
    first = number * CHUNK
    last = min(first + CHUNK, job.spec.tasks)
    done = int(records.pack_done(job.state, first, DONE) or "0", 16)
    for task, why in ends.items():
        if first <= task < last and why == api.W_DONE:
            done |= 1 << (task - first)
    tries = job.tries[first:last]
    places = {t: p for t, p in job.places.items() if first <= t < last and t not in ends}
    for task, place in starts.items():
        if first <= task < last:
            places[task] = place
            tries[task - first] = place.attempt
    return Chunk(
        records.pack_tries(tries, 0),
        f"{done:x}" if done else "",
        [placement(world, task, place) for task, place in places.items()],
        upto,
    )


def densest(tasks: Iterable[int], most: int) -> list[int]:
    """The chunks to write first: those with most in them, and the lowest.

    By number alone the ends of an array's early tasks, one to a chunk, kept its starts, a hundred
    to a chunk, waiting until the room kept for them was gone.
    """
    many = Counter(task // CHUNK for task in tasks)
    chosen = sorted(many, key=lambda c: (-many[c], c))[:most]
    if many and (lowest := min(many)) not in chosen:
        chosen[-1] = lowest
    return sorted(chosen)

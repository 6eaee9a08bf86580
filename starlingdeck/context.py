"""What every part of a controller knows: settings, names, machine types, clocks."""

import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.interning import Names
from starlingdeck.metrics.counters import Tally
from starlingdeck.metrics.latency import Meters, Slices
from starlingdeck.protocol.api import JobSpec, MachineType, sound_type
from starlingdeck.protocol.config import Settings, Tuning
from starlingdeck.quarantine import Quarantine

Size = tuple[float, float, float]
MANY = 1_000_000  # tasks: more than any job has
WORD_SPARE_S = 2.0  # between the end of the last lease that a word allows and a cancellation's
DRIFT = 1.002  # steady clocks of two machines differ by 0.05% each; with room to spare


class World(Struct):
    settings: Settings
    tuning: Tuning
    now: Callable[[], float]
    wall_ms: Callable[[], int]
    rng: random.Random
    jobs: Names = field(default_factory=Names)
    machines: Names = field(default_factory=Names)
    zones: Names = field(default_factory=Names)
    type_names: Names = field(default_factory=Names)
    teams: Names = field(default_factory=Names)
    counts: Names = field(default_factory=Names)
    types: dict[int, MachineType] = field(default_factory=dict)
    meters: Meters = field(default_factory=Meters)
    tally: Tally = field(default_factory=Tally)
    slices: Slices | None = None  # at log level debug
    quarantine: Quarantine = field(default_factory=Quarantine)
    node: int = 0
    shards: int = 1
    shard_zones: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        members = self.settings.members()
        self.node = [name for name, _, _ in members].index(self.settings.name)
        self.shards = len(members)
        self.shard_zones = [zone for _, zone, _ in members]
        for team in self.settings.settings.teams:
            self.teams.put(team.name)

    def set_aside(self, kind: str, name: str, fault: BaseException) -> None:
        self.quarantine.put(kind, name, fault, self.now())

    def rests(self, kind: str, name: str) -> bool:
        return self.quarantine.rests(kind, name, self.now())

    def learn_types(self, types: list[MachineType]) -> None:
        for kind in types:
            if not sound_type(kind):
                self.set_aside("machine type", kind.name, ValueError(str(kind)))
                continue
            self.types[self.type_names.put(kind.name)] = kind

    def node_name(self, node: int) -> str:
        return self.settings.members()[node][0]

    @property
    def outage_s(self) -> float:
        """How long a holder cut off from the state service goes on renewing worker leases.

        The bound plus the lease must end before a cancellation is due, because the
        cancelling node may be unable to tell this one.
        """
        w = self.settings.settings.workers
        return max(0.0, w.cancel_s - w.lease_s * DRIFT - max(4.0, 0.15 * w.cancel_s))

    @property
    def word_s(self) -> float:
        """How long a task's lease is renewed on the last word of its job's holder.

        A cancellation that its user was told of after that word is not in it: this and a lease
        must be over before the task is due to be gone.
        """
        w = self.settings.settings.workers
        return max(0.0, w.cancel_s / DRIFT - w.lease_s * DRIFT - WORD_SPARE_S)

    @property
    def silence_s(self) -> float:
        """A worker's lease is surely over this long after its last answer."""
        return self.settings.settings.workers.lease_s * DRIFT + 0.3


def fits(size: Sequence[float], room: Sequence[float]) -> bool:
    """Whether a size goes into a room; sums of decimal amounts may be off by a hair."""
    # Written out: asked hundreds of thousands of times a minute, it was the costliest line.
    cpus, gpus, memory_gb = size
    return cpus <= room[0] + 1e-9 and gpus <= room[1] + 1e-9 and memory_gb <= room[2] + 1e-9


def holds(size: Size, room: Sequence[float]) -> int:
    """How many of a size go into a room; MANY at the most, and of a size that takes nothing."""
    many = (min(MANY, (r + 1e-9) / s) for s, r in zip(size, room, strict=True) if s > 0)
    return max(0, int(min(many, default=MANY)))


def size_of(spec: JobSpec) -> Size:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def total_of(kind: MachineType) -> Size:
    return (kind.cpus, kind.gpus, kind.memory_gb)

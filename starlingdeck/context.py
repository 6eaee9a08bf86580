"""What every part of a controller knows: settings, names, machine types, clocks."""

import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.interning import InternTable
from starlingdeck.metrics.counters import Counters
from starlingdeck.metrics.latency import LatencyHistograms, TaskProfiler
from starlingdeck.protocol.api import JobSpec, MachineType, is_valid_machine_type
from starlingdeck.protocol.config import Settings, Tuning
from starlingdeck.quarantine import Quarantine

Resources = tuple[float, float, float]
UNBOUNDED = 1_000_000  # tasks: more than any job has
WATERMARK_MARGIN_S = (
    2.0  # between the end of the last lease that a word allows and a cancellation's
)
CLOCK_DRIFT = 1.002  # steady clocks of two machines differ by 0.05% each; with room to spare


class ControllerContext(Struct):
    settings: Settings
    tuning: Tuning
    now: Callable[[], float]
    wall_clock_ms: Callable[[], int]
    rng: random.Random
    job_names: InternTable = field(default_factory=InternTable)
    machine_names: InternTable = field(default_factory=InternTable)
    zone_names: InternTable = field(default_factory=InternTable)
    type_names: InternTable = field(default_factory=InternTable)
    team_names: InternTable = field(default_factory=InternTable)
    resource_names: InternTable = field(default_factory=InternTable)
    machine_types: dict[int, MachineType] = field(default_factory=dict)
    latencies: LatencyHistograms = field(default_factory=LatencyHistograms)
    counters: Counters = field(default_factory=Counters)
    profiler: TaskProfiler | None = None  # at log level debug
    quarantine: Quarantine = field(default_factory=Quarantine)
    node: int = 0
    shard_count: int = 1
    shard_zones: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        members = self.settings.members()
        self.node = [name for name, _, _ in members].index(self.settings.name)
        self.shard_count = len(members)
        self.shard_zones = [zone for _, zone, _ in members]
        for team in self.settings.settings.teams:
            self.team_names.intern(team.name)

    def quarantine_failed(self, kind: str, name: str, error: BaseException) -> None:
        self.quarantine.add(kind, name, error, self.now())

    def is_quarantined(self, kind: str, name: str) -> bool:
        return self.quarantine.is_quarantined(kind, name, self.now())

    def update_machine_types(self, types: list[MachineType]) -> None:
        for kind in types:
            if not is_valid_machine_type(kind):
                self.quarantine_failed("machine type", kind.name, ValueError(str(kind)))
                continue
            self.machine_types[self.type_names.intern(kind.name)] = kind

    def node_name(self, node: int) -> str:
        return self.settings.members()[node][0]

    @property
    def outage_renewal_s(self) -> float:
        """How long a holder cut off from the state service goes on renewing worker leases.

        The bound plus the lease must end before a cancellation is due, because the
        cancelling node may be unable to tell this one.
        """
        w = self.settings.settings.workers
        return max(0.0, w.cancel_s - w.lease_s * CLOCK_DRIFT - max(4.0, 0.15 * w.cancel_s))

    @property
    def watermark_lifetime_s(self) -> float:
        """How long a task's lease is renewed on the last word of its job's holder.

        A cancellation that its user was told of after that word is not in it: this and a lease
        must be over before the task is due to be gone.
        """
        w = self.settings.settings.workers
        return max(0.0, w.cancel_s / CLOCK_DRIFT - w.lease_s * CLOCK_DRIFT - WATERMARK_MARGIN_S)

    @property
    def lease_expiry_s(self) -> float:
        """A worker's lease is surely over this long after its last answer."""
        return self.settings.settings.workers.lease_s * CLOCK_DRIFT + 0.3


def fits(size: Sequence[float], room: Sequence[float]) -> bool:
    """Whether a size goes into a room; sums of decimal amounts may be off by a hair."""
    # Written out: asked hundreds of thousands of times a minute, it was the costliest line.
    cpus, gpus, memory_gb = size
    return cpus <= room[0] + 1e-9 and gpus <= room[1] + 1e-9 and memory_gb <= room[2] + 1e-9


def fit_count(size: Resources, room: Sequence[float]) -> int:
    """How many of a size go into a room; MANY at the most, and of a size that takes nothing."""
    many = (min(UNBOUNDED, (r + 1e-9) / s) for s, r in zip(size, room, strict=True) if s > 0)
    return max(0, int(min(many, default=UNBOUNDED)))


def requested_resources(spec: JobSpec) -> Resources:
    return (spec.cpus, spec.gpus, spec.memory_gb)


def machine_capacity(kind: MachineType) -> Resources:
    return (kind.cpus, kind.gpus, kind.memory_gb)

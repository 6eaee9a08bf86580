"""Context shared by all components of a controller: settings, names, machine types, clocks."""

import random
from collections.abc import Callable, Sequence

from msgspec import Struct, field

from starlingdeck.interning import InternTable
from starlingdeck.metrics.counters import Counters
from starlingdeck.metrics.latency import LatencyHistograms, TaskProfiler
from starlingdeck.protocol.api import JobSpec, MachineType, is_valid_machine_type
from starlingdeck.protocol.config import Settings, Tuning
from starlingdeck.quarantine import Quarantine

Resources = tuple[float, float, float]  # processors, GPUs, memory in GB
UNBOUNDED = 1_000_000  # stands for an unlimited number of tasks; no job has that many
# Maximum ratio of the rates of two steady clocks. Each drifts by at most 0.05%; the rest is margin.
CLOCK_DRIFT = 1.002
# Minimum time between the end of the last lease renewed under a cancellation watermark and the
# deadline by which a task cancelled after that watermark must have stopped.
WATERMARK_MARGIN_S = 2.0
# Minimum time between the end of the last lease renewed in an outage and the deadline by which a
# cancelled task must have stopped: MIN_OUTAGE_MARGIN_S or OUTAGE_MARGIN_SHARE of `cancel_s`,
# whichever is larger.
MIN_OUTAGE_MARGIN_S = 4.0
OUTAGE_MARGIN_SHARE = 0.15
LEASE_EXPIRY_MARGIN_S = 0.3
FIT_TOLERANCE = 1e-9  # sums of decimal amounts have rounding errors


class ControllerContext(Struct):
    """Settings, clocks and registries shared by the components of one controller.

    `now` returns the time of the steady clock in seconds. `rng` is the only source of random
    decisions.
    """

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
    zones_by_type: dict[int, frozenset[int]] = field(default_factory=dict)  # where it is offered
    latencies: LatencyHistograms = field(default_factory=LatencyHistograms)
    counters: Counters = field(default_factory=Counters)
    profiler: TaskProfiler | None = None  # set at log level debug
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

    def quarantine_after_failure(self, kind: str, name: str, error: BaseException) -> None:
        """Quarantine a job, machine or record whose processing failed."""
        self.quarantine.add(kind, name, error, self.now())

    def is_quarantined(self, kind: str, name: str) -> bool:
        """Return whether a job, machine or record must not be processed yet after a failure."""
        return self.quarantine.is_quarantined(kind, name, self.now())

    def update_machine_types(self, types: list[MachineType]) -> None:
        """Add or replace machine types; an invalid one is quarantined."""
        for machine_type in types:
            if not is_valid_machine_type(machine_type):
                self.quarantine_after_failure(
                    "machine type", machine_type.name, ValueError(str(machine_type))
                )
                continue
            index = self.type_names.intern(machine_type.name)
            self.machine_types[index] = machine_type
            self.zones_by_type[index] = frozenset(map(self.zone_names.intern, machine_type.zones))

    def node_name(self, node: int) -> str:
        """Return the host name of a controller."""
        return self.settings.members()[node][0]

    @property
    def outage_renewal_s(self) -> float:
        """Time for which an owner may renew workers' leases without the state service, in seconds.

        This time and one worker lease after it must end before the deadline by which a cancelled
        task must have stopped, because the cancelling controller may be unable to reach this one.
        """
        workers = self.settings.settings.workers
        margin_s = max(MIN_OUTAGE_MARGIN_S, OUTAGE_MARGIN_SHARE * workers.cancel_s)
        return max(0.0, workers.cancel_s - workers.lease_s * CLOCK_DRIFT - margin_s)

    @property
    def watermark_lifetime_s(self) -> float:
        """Time for which a task's lease is renewed under one cancellation watermark, in seconds.

        A cancellation acknowledged after the watermark may be unknown here. This time and one
        worker lease after it must therefore end before the deadline by which the cancelled task
        must have stopped.
        """
        workers = self.settings.settings.workers
        cancel_s = workers.cancel_s / CLOCK_DRIFT
        return max(0.0, cancel_s - workers.lease_s * CLOCK_DRIFT - WATERMARK_MARGIN_S)

    @property
    def lease_expiry_s(self) -> float:
        """Time after the last renewal until a worker's lease has certainly expired, in seconds."""
        return self.settings.settings.workers.lease_s * CLOCK_DRIFT + LEASE_EXPIRY_MARGIN_S


def fits(size: Sequence[float], available: Sequence[float]) -> bool:
    """Return whether requested resources fit into the available ones, up to rounding errors."""
    # Not written as a loop over the resources: it is called hundreds of thousands of times a
    # minute, and the loop was the costliest line.
    cpus, gpus, memory_gb = size
    return (
        cpus <= available[0] + 1e-9
        and gpus <= available[1] + 1e-9
        and memory_gb <= available[2] + 1e-9
    )


def fit_count(size: Resources, available: Sequence[float]) -> int:
    """Return how many tasks of a size fit, at most UNBOUNDED.

    The result for a size of zero is UNBOUNDED.
    """
    counts = (
        min(UNBOUNDED, (amount + FIT_TOLERANCE) / requested)
        for requested, amount in zip(size, available, strict=True)
        if requested > 0
    )
    return max(0, int(min(counts, default=UNBOUNDED)))


def requested_resources(spec: JobSpec) -> Resources:
    """Return the resources that one task of a job requests."""
    return (spec.cpus, spec.gpus, spec.memory_gb)


def machine_capacity(machine_type: MachineType) -> Resources:
    """Return the resources of an empty machine of a type."""
    return (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

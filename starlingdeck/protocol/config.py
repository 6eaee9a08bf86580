"""The settings that the platform provides (JSON) and those that operators may tune (TOML)."""

from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from starlingdeck.protocol.bounds import MAX_UNITS, RESOURCE_NAME_PATTERN, Amount
from starlingdeck.protocol.struct_validation import validation_errors

MAX_PORT = 65535

PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]


class Peer(msgspec.Struct, frozen=True):
    """Another controller of the cluster."""

    name: str = msgspec.field(name="host_name")
    zone: str
    address: str


class External(msgspec.Struct, frozen=True):
    """The addresses of the services that controllers use."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guaranteed quota and its limits; 0 means no guarantee or no limit."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An objective that the platform measures the cluster by, for one class of jobs or for all."""

    kind: str
    cls: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    """The workers' heartbeat interval and lease, and how soon a cancellation must take effect."""

    report_s: PositiveFloat
    lease_s: PositiveFloat
    cancel_s: PositiveFloat


class StateSettings(msgspec.Struct, frozen=True):
    """The state service's limits on requests, values and transactions."""

    rps: PositiveFloat
    write_rps: PositiveFloat
    value_kb: PositiveFloat
    txn_ops: PositiveInt


class CloudSettings(msgspec.Struct, frozen=True):
    """The cloud's limit on requests, and how far its list of machines may lag behind."""

    rps: PositiveFloat
    list_lag_s: Amount


class MachineLimits(msgspec.Struct, frozen=True):
    """The resources of the machine that a controller runs on, and its limit on connections."""

    cores: PositiveFloat
    mem_mb: PositiveFloat
    max_connections: PositiveInt


class Deployment(msgspec.Struct, frozen=True):
    """The settings that all controllers of a cluster share."""

    nodes: PositiveInt
    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    machine_limits: MachineLimits
    skew_ms: Amount
    objectives: list[Objective] = []


class Member(NamedTuple):
    """One controller of the cluster, this one included."""

    name: str
    zone: str
    address: str


class Settings(msgspec.Struct, frozen=True):
    """The settings file of one controller."""

    name: str = msgspec.field(name="host_name")
    zone: str
    public_addr: str
    cluster_listen: str
    peers: list[Peer]
    external: External
    settings: Deployment

    def members(self) -> list[Member]:
        """Return all controllers, sorted, so that every controller has them in the same order."""
        own = Member(self.name, self.zone, self.cluster_listen)
        return sorted([own] + [Member(p.name, p.zone, p.address) for p in self.peers])


class DeclaredCount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A counted resource to create if it does not exist; operators' changes take precedence."""

    ceiling: Annotated[int, Meta(ge=0, le=MAX_UNITS)]
    preempt: bool = False  # tasks that wait for a unit may preempt lower-ranked tasks that use it


ResourceName = Annotated[str, Meta(pattern=rf"\A{RESOURCE_NAME_PATTERN.pattern}\Z")]


class CountSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `counts`: counted resources (docs/counts.md)."""

    declare: dict[ResourceName, DeclaredCount] = {}
    # How long free units are left to tasks of other shards that go before those of this shard.
    patience_s: PositiveFloat = 1.0
    # How long at a time free units are reserved for a task that needs several.
    reserve_s: PositiveFloat = 30.0
    # Between tasks of equal guarantee and rank at different shards, the one submitted earlier goes
    # first only if it was submitted earlier by more than this.
    turn_s: PositiveFloat = 2.0
    # How long a shard keeps units that it does not use and no other shard waits for.
    idle_s: PositiveFloat = 0.3


class OverloadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `overload`: the minimum share of each team's classes of jobs (docs/overload.md)."""

    # A job that waits longer than this for a machine signals an overload.
    patience_s: PositiveFloat = 10.0
    # Each minimum share, as a part of the fair share.
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.35
    # When more than this part of the recently started tasks were preempted, arrays have to wait
    # before they preempt.
    churn: Annotated[float, Meta(ge=0, le=1)] = 1.0
    # How long a machine accumulates released capacity for a large task.
    gather_s: PositiveFloat = 20.0
    # At most so many machines accumulate capacity at the same time for the jobs of a controller.
    gathers: Amount = 8


class GroupCommitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `group_commit`: starts and ends are written together (docs/group-commit.md)."""

    # How long a job's change may wait for others to be committed with it.
    interval_s: PositiveFloat = 0.5
    # The same for changes of a job of the two highest ranks that has a start to be written.
    urgent_s: PositiveFloat = 0.1


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' tuning file; a setting that is missing there has the default given here."""

    # The time to live of a controller's lease at the state service.
    state_lease_s: PositiveFloat = 2.5
    # Time-out of messages to peers and workers. A peer that has not replied for this long counts
    # as unreachable (DESIGN, timers).
    reply_wait_s: PositiveFloat = 2.0
    # A shard's snapshot or demand is ignored when it was received longer ago (DESIGN, timers).
    expiry_s: PositiveFloat = 20.0
    # A shard's snapshot is deleted when it was received longer ago (DESIGN, timers).
    offline_drop_s: PositiveFloat = 30.0
    # The cluster's limit on moves of running tasks (DESIGN 5).
    moves_per_s: Amount = 2.0
    # At most so many machines are scored for a task (DESIGN 2).
    score_machines: PositiveInt = 200
    # Machines that are scored, and best ones that are considered, for a task that moves (DESIGN 4).
    refit_machines: PositiveInt = 2000
    refit_candidates: PositiveInt = 15
    # Tabu search for the tasks to deschedule: restarts, steps of each, and steps without an
    # improvement that end one (DESIGN 3).
    tabu_restarts: PositiveInt = 25
    tabu_steps: PositiveInt = 5
    tabu_patience: PositiveInt = 6
    # How long capacity is reserved for a task whose placement is being written.
    reserve_s: PositiveFloat = 6.0
    # The share of the machines' processors to keep free for failures and for the next jobs.
    spare_share: Amount = 0.3
    # A machine that has been idle for longer may be returned to the cloud.
    idle_s: PositiveFloat = 300.0
    # Failed tasks without a success after which a machine is marked faulty.
    sick_errors: PositiveInt = 3
    # Machines that a job's tasks fail on, without a success, before the job itself is suspected.
    suspect_machines: PositiveInt = 3
    # Time-out for more data of a request that has begun, and for sending a response.
    stall_s: PositiveFloat = 10.0
    counts: CountSettings | None = None
    overload: OverloadSettings | None = None
    group_commit: GroupCommitSettings | None = None


class ConfigError(Exception):
    """Invalid settings: one line per error."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def load_settings(path: Path) -> Settings:
    """Read the platform's settings file; raises ConfigError with all errors found."""
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    lines = validation_errors(raw, Settings, "")
    if lines:
        raise ConfigError([f"{path}: {line}" for line in lines])
    settings = msgspec.convert(raw, Settings)
    lines = _address_errors(settings) + _member_errors(settings)
    if lines:
        raise ConfigError([f"{path}: {line}" for line in lines])
    return settings


def _address_errors(settings: Settings) -> list[str]:
    addresses = [
        ("public_addr", settings.public_addr),
        ("cluster_listen", settings.cluster_listen),
        ("external.cloud", settings.external.cloud),
        ("external.state", settings.external.state),
        *[(f"peers[{i}].address", peer.address) for i, peer in enumerate(settings.peers)],
    ]
    return [
        f"{field}: expected ADDRESS:PORT, got {address!r}"
        for field, address in addresses
        if not _is_address(address)
    ]


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    return bool(host) and port.isdigit() and 0 < int(port) <= MAX_PORT


def _member_errors(settings: Settings) -> list[str]:
    names = [member.name for member in settings.members()]
    return ["peers: a host_name appears twice"] if len(set(names)) != len(names) else []


def load_tuning(path: Path | None) -> Tuning:
    """Read the operators' tuning file, if one is given; raises ConfigError with all errors."""
    if path is None:
        return Tuning()
    try:
        raw = msgspec.toml.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    lines = [f"{path}: {line}" for line in validation_errors(raw, Tuning, "")]
    if lines:
        raise ConfigError(lines)
    return msgspec.convert(raw, Tuning)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of a valid ADDRESS:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)

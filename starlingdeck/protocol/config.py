"""The settings that the platform provides (JSON) and those that operators may tune (TOML)."""

from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from starlingdeck.protocol.bounds import MAX_UNITS, RESOURCE_NAME_PATTERN, Amount
from starlingdeck.protocol.struct_validation import validation_errors

MAX_PORT = 65535

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


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
    """A team's guaranteed quota, and its limits; 0: none."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An aim that the platform measures the cluster by, for one class of jobs or for all."""

    kind: str
    cls: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    """The workers' heartbeat interval, lease, and the time until a cancellation is due."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateSettings(msgspec.Struct, frozen=True):
    """The state service's limits of requests, values and transactions."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count


class CloudSettings(msgspec.Struct, frozen=True):
    """The cloud's limit of requests, and how late its list of machines may be."""

    rps: Positive
    list_lag_s: Amount


class MachineLimits(msgspec.Struct, frozen=True):
    """What the controller's own machine allows it."""

    cores: Positive
    mem_mb: Positive
    max_connections: Count


class Deployment(msgspec.Struct, frozen=True):
    """What is the same for all controllers of a cluster."""

    nodes: Count
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
        """Every controller, in the order that all of them agree on."""
        own = Member(self.name, self.zone, self.cluster_listen)
        return sorted([own] + [Member(p.name, p.zone, p.address) for p in self.peers])


class DeclaredCount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A counted resource as it is to be created; later changes by operators take precedence."""

    ceiling: Annotated[int, Meta(ge=0, le=MAX_UNITS)]
    preempt: bool = False  # work that waits for a unit may preempt lower-ranked work that uses it


CountName = Annotated[str, Meta(pattern=rf"\A{RESOURCE_NAME_PATTERN.pattern}\Z")]


class CountSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `counts`: counted resources (docs/counts.md)."""

    declare: dict[CountName, DeclaredCount] = {}
    patience_s: Positive = 1.0  # (start) a unit is left to better work of other shards
    reserve_s: Positive = 30.0  # (start) units are reserved for one task that needs many
    turn_s: Positive = 2.0  # (start) an equal rank's earlier arrival that makes work better
    idle_s: Positive = 0.3  # (start) a shard retains a unit that became free


class OverloadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `overload`: the minimum share of each team's classes of jobs (docs/overload.md)."""

    patience_s: Positive = 10.0  # (start) work that waits longer for a machine shows an overload
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.35  # (start) minimum, as part of the fair share
    churn: Annotated[float, Meta(ge=0, le=1)] = 1.0  # (start) preemptions, as part of the starts
    gather_s: Positive = 20.0  # (start) how long a machine accumulates capacity for a large task
    gathers: Amount = 8  # (start) such tasks at once, at each controller


class GroupCommitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `group_commit`: starts and ends are written together (docs/group-commit.md)."""

    interval_s: Positive = 0.5  # (start) how long a start or an end waits for others
    urgent_s: Positive = 0.1  # (start) the same for a start of the two upper ranks


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operators' own settings. Values marked (start) are starting values."""

    state_lease_s: Positive = 2.5  # (start)
    reply_wait_s: Positive = 2.0  # DESIGN, timers
    expiry_s: Positive = 20.0  # DESIGN, timers
    offline_drop_s: Positive = 30.0  # DESIGN, timers
    moves_per_s: Amount = 2.0  # DESIGN 5
    score_machines: Count = 200  # DESIGN 2
    refit_machines: Count = 2000  # DESIGN 4
    refit_candidates: Count = 15  # DESIGN 4
    tabu_restarts: Count = 25  # DESIGN 3
    tabu_steps: Count = 5  # DESIGN 3
    tabu_patience: Count = 6  # DESIGN 3
    reserve_s: Positive = 6.0  # (start) how long a reservation waits for its record
    spare_share: Amount = 0.3  # (start) headroom left for failures
    idle_s: Positive = 300.0  # (start) an unused machine is returned after this
    sick_errors: Count = 3  # (start) errors without a success that mark a machine as faulty
    suspect_machines: Count = 3  # (start) machines that a job fails on before it is suspect
    stall_s: Positive = 10.0  # (start) a half-sent request is given up after this
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
    """Host and port of a valid ADDRESS:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)

"""What the platform hands over (JSON) and what operators may tune (TOML)."""

import types
from pathlib import Path
from typing import Annotated, Any, get_args, get_origin

import msgspec
from msgspec import Meta

from starlingdeck.protocol.api import COUNT, MAX_UNITS

Amount = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]


class Peer(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="host_name")
    zone: str
    address: str


class External(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True):
    kind: str
    cls: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerSettings(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    cancel_s: Positive


class StateSettings(msgspec.Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Count


class CloudSettings(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: Amount


class MachineLimits(msgspec.Struct, frozen=True):
    cores: Positive
    mem_mb: Positive
    max_connections: Count


class Deployment(msgspec.Struct, frozen=True):
    nodes: Count
    zones: list[str]
    teams: list[Team]
    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    machine_limits: MachineLimits
    skew_ms: Amount
    objectives: list[Objective] = []


class Settings(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="host_name")
    zone: str
    public_addr: str
    cluster_listen: str
    peers: list[Peer]
    external: External
    settings: Deployment

    def members(self) -> list[tuple[str, str, str]]:
        """(name, zone, address) of every controller, in the order all of them agree on."""
        own = (self.name, self.zone, self.cluster_listen)
        return sorted([own] + [(p.name, p.zone, p.address) for p in self.peers])


class DeclaredCount(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A count as it is to be made; once made, what was changed while running holds."""

    ceiling: Annotated[int, Meta(ge=0, le=MAX_UNITS)]
    preempt: bool = False  # higher work that waits for a unit may stop lower work that holds it


CountName = Annotated[str, Meta(pattern=rf"\A{COUNT.pattern}\Z")]


class CountSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `counts`: counted resources (docs/counts.md)."""

    declare: dict[CountName, DeclaredCount] = {}
    patience_s: Positive = 1.0  # (start) a unit is left to better work of other shards
    reserve_s: Positive = 30.0  # (start) units are kept for one task that needs many
    turn_s: Positive = 2.0  # (start) an equal rank's earlier arrival that makes work better
    idle_s: Positive = 0.3  # (start) a shard keeps a unit that came free


class OverloadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `overload`: what each team's classes of jobs are sure of (docs/overload.md)."""

    patience_s: Positive = 10.0  # (start) work that waits longer for a machine shows an overload
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.35  # (start) of its fair share that a class gets
    churn: Annotated[float, Meta(ge=0, le=1)] = 1.0  # (start) of the starts stopped for others
    gather_s: Positive = 20.0  # (start) how long a machine is kept for what needs much of it
    gathers: Amount = 8  # (start) tasks at once, at each controller, that machines are kept for


class GroupCommitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `group_commit`: starts and ends are written together (docs/group-commit.md)."""

    interval_s: Positive = 0.5  # (start) how long a start or an end waits for others
    urgent_s: Positive = 0.1  # (start) and a start of the two upper ranks


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operators' own settings. Values marked (start) are our starting values."""

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
    spare_share: Amount = 0.3  # (start) room kept free for failures
    idle_s: Positive = 300.0  # (start) an unused machine is returned after this
    sick_errors: Count = 3  # (start) errors without a success that mark a machine
    suspect_machines: Count = 3  # (start) machines a job fails on before it is suspect
    stall_s: Positive = 10.0  # (start) a half-sent request ends after this
    counts: CountSettings | None = None
    overload: OverloadSettings | None = None
    group_commit: GroupCommitSettings | None = None


class ConfigError(Exception):
    """Bad settings: one line per fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def validation_errors(raw: object, kind: type[msgspec.Struct], where: str) -> list[str]:
    """Every fault of a table, a line each; decoding alone would stop at the first."""
    if not isinstance(raw, dict):
        return [f"{where or 'file'}: expected a table"]
    lines = []
    fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
    for name, field in fields.items():
        at = f"{where}.{name}" if where else name
        if name not in raw:
            if field.required:
                lines.append(f"{at}: missing")
        elif (inner := _table(field.type)) is not None:
            lines += validation_errors(raw[name], inner, at)
        elif (inner := _table_of_tables(field.type)) is not None and isinstance(raw[name], dict):
            for key, value in raw[name].items():
                lines += validation_errors(value, inner, f"{at}.{key}")
            lines += _faulty_names(raw[name], field.type, at)
        else:
            try:
                msgspec.convert(raw[name], field.type)
            except msgspec.ValidationError as error:
                lines.append(f"{at}: {error}")
    if kind.__struct_config__.forbid_unknown_fields:
        lines += [f"{where or 'file'}: unknown key {name!r}" for name in raw if name not in fields]
    return lines


def _table(kind: Any) -> type[msgspec.Struct] | None:
    """The struct that a field holds, if it is one, or one or nothing."""
    kinds = get_args(kind) if isinstance(kind, types.UnionType) else (kind,)
    found = [k for k in kinds if isinstance(k, type) and issubclass(k, msgspec.Struct)]
    return found[0] if found else None


def _table_of_tables(kind: Any) -> type[msgspec.Struct] | None:
    return _table(get_args(kind)[1]) if get_origin(kind) is dict else None


def _faulty_names(raw: dict[str, object], kind: Any, at: str) -> list[str]:
    lines = []
    for key in raw:
        try:
            msgspec.convert(key, get_args(kind)[0])
        except msgspec.ValidationError as error:
            lines.append(f"{at}.{key}: {error}")
    return lines


def load_settings(path: Path) -> Settings:
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    lines = [f"{path}: {line}" for line in validation_errors(raw, Settings, "")]
    if lines:
        raise ConfigError(lines)
    settings = msgspec.convert(raw, Settings)
    for what, address in [
        ("public_addr", settings.public_addr),
        ("cluster_listen", settings.cluster_listen),
        ("external.cloud", settings.external.cloud),
        ("external.state", settings.external.state),
        *[(f"peers[{i}].address", p.address) for i, p in enumerate(settings.peers)],
    ]:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65536:
            lines.append(f"{path}: {what}: expected ADDRESS:PORT, got {address!r}")
    names = [name for name, _, _ in settings.members()]
    if len(set(names)) != len(names):
        lines.append(f"{path}: peers: a host_name appears twice")
    if lines:
        raise ConfigError(lines)
    return settings


def load_tuning(path: Path | None) -> Tuning:
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
    host, _, port = address.rpartition(":")
    return host, int(port)

"""The JSON messages of users, workers, cloud and state service, under standard names.

Wire names stand in this file and nowhere else.
"""

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

Amount = Annotated[float, Meta(ge=0)]

JOBS = "/v2/runs"
CANCEL = "withdraw"
HEALTH = "/up"
REPORT = "/v1/report"
COMMANDS = "/do"
COUNTS = "/ops/counts"
WORKER_STATUS = "/status"
MACHINE_TYPES = "/machine_types"
MACHINES = "/hosts"
MACHINES_DELETE = "/hosts/delete"
KV = "/kv"
TXN = "/multi"
LEASES = "/leases"
RENEW = "renew"
WATCH = "/changes"

ARRAY, SERVICE = "sweep", "daemon"
RANKS = {"prod": 3, "urgent": 2, "normal": 1, "idle": 0}
START, STOP, REAP = "launch", "stop", "reap"
QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "cancelled"
BOOTING, FAILED = "starting", "failed"

# Codes used inside for a task's state on a machine and for why it ended.
PENDING, FETCHING, ON, SAVING, EXITED = range(5)
STATE_CODES = {"fetching": FETCHING, "running": ON, "flushing": SAVING, "exited": EXITED}
W_NONE, W_DONE, W_STOPPED, W_ERROR, W_NO_ROOM, W_BUSY, W_UNKNOWN = range(7)
CAUSE_CODES = {
    "done": W_DONE,
    "halted": W_STOPPED,
    "error": W_ERROR,
    "full": W_NO_ROOM,
    "in_use": W_BUSY,
    "no_such": W_UNKNOWN,
}
CAUSE_NAMES = {code: name for name, code in CAUSE_CODES.items()}

# What the doors let in; `docs/operations.md` lists these bounds.
MAX_AMOUNT = 1e9
MIN_SIZE = 1e-6  # of a task that takes any of it: a smaller one divides into infinitely many
MAX_NAME_LENGTH = 120
MAX_MACHINE_TYPES = 64
MAX_TASKS = 100_000
MAX_COUNTED_RESOURCES = 16  # that a job may name
MAX_UNITS = 1_000_000
JOB_ID = re.compile(r"j-[0-9]{1,18}")
COUNT = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")
NAME = re.compile(rf"[^\x00-\x1f\x7f]{{0,{MAX_NAME_LENGTH}}}")

Attempt = Annotated[int, Meta(ge=0, lt=1 << 32)]
Counter = Annotated[int, Meta(ge=0)]
# The state service's keys and the log hold it as it is.
HostName = Annotated[str, Meta(pattern=rf"\A[^\x00-\x20\x7f/]{{1,{MAX_NAME_LENGTH}}}\Z")]
OtherName = Annotated[str, Meta(pattern=rf"\A{NAME.pattern}\Z")]

JobId = Annotated[str, Meta(pattern=rf"^{JOB_ID.pattern}$")]


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its user submitted it. Records are read with it too: what an earlier version
    accepted must still be read, so bounds stand in `bounded`, not here."""

    id: JobId = field(name="uid")
    cls: str = field(name="flock")
    team: str = field(name="crew")
    kind: Literal["sweep", "daemon"] = field(name="shape")
    priority: Literal["prod", "urgent", "normal", "idle"] = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="chores")
    cpus: Amount = field(name="cores")
    gpus: Amount = field(name="accelerators")
    memory_gb: Amount = field(name="ram_gb")
    image: str = field(name="kit")
    image_gb: Amount
    one_zone: bool = field(name="same_place")
    spread: bool
    spot: bool = field(name="loaners")
    estimate_s: Amount = field(name="guess_s")
    checkpoint_s: Amount = field(name="mark_s")
    save_s: Amount = field(name="stash_s")
    types: list[str] | None = field(name="builds", default=None)
    zone: str | None = field(name="roost", default=None)
    deadline_s: Amount | None = field(name="due_s", default=None)
    # Units of counts that each task holds while it is on its machine: ours, beside the protocol.
    counts: dict[str, int] | msgspec.UnsetType | None = msgspec.UNSET

    @property
    def service(self) -> bool:
        return self.kind == SERVICE

    @property
    def rank(self) -> int:
        return RANKS[self.priority]


class JobStatus(msgspec.Struct, omit_defaults=True):
    id: str = field(name="uid")
    state: str = field(name="status")
    done: int | None = None
    running: int | None = None
    fault: str | None = None  # why it is set aside: an addition to the protocol's fields
    waits: list[str] | None = None  # so is this: for which units of counts


class ErrorBody(msgspec.Struct):
    error: str


class ReportTask(msgspec.Struct):
    task: str = field(name="chore")
    attempt: Attempt = field(name="try")
    state: str = field(name="status")
    why: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)


class Report(msgspec.Struct):
    machine: HostName = field(name="host")
    addr: OtherName = field(name="endpoint")
    type: OtherName = field(name="build")
    zone: OtherName = field(name="roost")
    session: Counter = field(name="tenure")
    seq: Counter = field(name="tally")
    token: Counter = field(name="baton")
    spot: bool = field(name="loaners", default=False)
    notice_s: float | None = field(name="warning_s", default=None)
    tasks: list[ReportTask] = field(name="chores", default_factory=list)


class Command(msgspec.Struct, omit_defaults=True):
    op: str = field(name="verb")
    task: str = field(name="chore")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="leeway_s", default=None)


class ReportReply(msgspec.Struct):
    token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class Redirect(msgspec.Struct, omit_defaults=True):
    report_to: str | None = field(name="answer_to", default=None)


class Commands(msgspec.Struct):
    token: int = field(name="baton")
    session: int = field(name="tenure")
    commands: list[Command] = field(name="orders")


class MachineType(msgspec.Struct, frozen=True):
    name: str = field(name="sku")
    cpus: float = field(name="cores")
    memory_gb: float = field(name="ram_gb")
    zones: list[str] = field(name="roosts")
    gpus: float = field(name="accelerators", default=0.0)
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = field(name="pull_gb_per_s", default=1.0)
    price: float = field(name="rate", default=0.0)
    spot_price: float = 0.0
    boot_s: float = 60.0


class MachineTypes(msgspec.Struct):
    types: list[MachineType] = field(name="builds")


class RentRequest(msgspec.Struct):
    request: str = field(name="ask")
    type: str = field(name="build")
    zone: str = field(name="roost")
    spot: bool = field(name="loaners")
    count: int


class MachineNames(msgspec.Struct):
    machines: list[str] = field(name="hosts")


class MachineInfo(msgspec.Struct):
    id: str = field(name="uid")
    type: str = field(name="build")
    zone: str = field(name="roost")
    spot: bool = field(name="loaners")
    state: str = field(name="status")
    addr: str = field(name="endpoint", default="")
    age_s: float = field(name="held_s", default=0.0)


class MachineList(msgspec.Struct):
    machines: list[MachineInfo] = field(name="hosts")
    more: bool = field(name="truncated", default=False)


class Entry(msgspec.Struct):
    key: str = field(name="k")
    value: msgspec.Raw
    version: int = field(name="stamp")
    lease: int | None = field(name="permit", default=None)


class Entries(msgspec.Struct):
    items: list[Entry] = field(name="entries")
    revision: int = field(name="epoch")
    more: bool = field(name="truncated", default=False)


class Condition(msgspec.Struct):
    key: str = field(name="k")
    version: int = field(name="stamp")


class Change(msgspec.Struct, omit_defaults=True):
    """A put (with an optional lease) or a delete."""

    put: str | None = field(name="set", default=None)
    value: Any = None
    lease: int | None = field(name="permit", default=None)
    delete: str | None = None


class Transaction(msgspec.Struct):
    conditions: list[Condition] = field(name="when")
    changes: list[Change] = field(name="apply")


class TransactionResult(msgspec.Struct):
    revision: int = field(name="epoch")


class TransactionConflict(msgspec.Struct):
    failed: list[str]


class LeaseRequest(msgspec.Struct):
    ttl_ms: int = field(name="life_ms")


class LeaseGrant(msgspec.Struct):
    lease: int = field(name="permit")


class Event(msgspec.Struct):
    version: int = field(name="stamp", default=0)
    put: str | None = field(name="set", default=None)
    value: msgspec.Raw = msgspec.Raw(b"null")
    delete: str | None = None


class Events(msgspec.Struct):
    events: list[Event]
    revision: int = field(name="epoch")


class ValidationError(ValueError):
    """A body that is not what it should be; the text names the field."""


def decode_job(body: bytes) -> JobSpec:
    """A submission's body; raises FieldFault for what may not come in."""
    try:
        spec = msgspec.json.decode(body, type=JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(error)) from error
    if fault_text := validate_job(spec):
        raise ValidationError(fault_text)
    return spec


def validate_job(spec: JobSpec) -> str:
    """Which field is out of its bounds, or nothing."""
    if not JOB_ID.fullmatch(spec.id):
        return f"uid: must match {JOB_ID.pattern}"
    names = {"flock": [spec.cls], "crew": [spec.team], "kit": [spec.image]}
    names |= {"builds": spec.types or [], "roost": [spec.zone or ""]}
    for name, values in names.items():
        if not all(NAME.fullmatch(value) for value in values):
            return f"{name}: at most {MAX_NAME_LENGTH} characters, none of them a control character"
    if len(spec.counts or ()) > MAX_COUNTED_RESOURCES:
        return f"counts: at most {MAX_COUNTED_RESOURCES}"
    for name, units in (spec.counts or {}).items():
        if not COUNT.fullmatch(name):
            return f"counts: no name of a count: must match {COUNT.pattern}"
        if not 0 <= units <= MAX_UNITS:
            return f"counts.{name}: from 0 to {MAX_UNITS}"
    if len(spec.types or ()) > MAX_MACHINE_TYPES:
        return f"builds: at most {MAX_MACHINE_TYPES} names"
    sizes = {"cores": spec.cpus, "accelerators": spec.gpus, "ram_gb": spec.memory_gb}
    amounts = sizes | {
        "image_gb": spec.image_gb,
        "guess_s": spec.estimate_s,
        "mark_s": spec.checkpoint_s,
        "stash_s": spec.save_s,
        "due_s": spec.deadline_s or 0.0,
    }
    for name, value in amounts.items():
        if value > MAX_AMOUNT:
            return f"{name}: at most {MAX_AMOUNT:.0f}"
    for name, value in sizes.items():
        if 0 < value < MIN_SIZE:
            return f"{name}: 0, or at least {MIN_SIZE:.6f}"
    if not any(sizes.values()):
        return "cores, accelerators, ram_gb: one of them must be over 0"
    return ""


def decode_report(body: bytes) -> Report:
    """A worker's report, from itself or in answer to a command; raises FieldFault."""
    try:
        report = msgspec.json.decode(body, type=Report)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(error)) from error
    if max(report.session, report.seq, report.token) >> 64:
        raise ValidationError("tenure, tally, baton: under 2^64")
    return report


def is_valid_machine_type(kind: MachineType) -> bool:
    """Whether a machine type can be reckoned with: sizes within bounds, no negative amounts."""
    sizes = (kind.cpus, kind.memory_gb, kind.gpus)
    others = (kind.fetch_gb_per_s, kind.price, kind.spot_price, kind.boot_s)
    good = all(v == 0 or MIN_SIZE <= v <= MAX_AMOUNT for v in sizes) and any(sizes)
    return good and all(0 <= v <= MAX_AMOUNT for v in others)


class _Named(msgspec.Struct):
    id: str = field(name="uid")


def job_id_of(body: bytes) -> str:
    """The job that a refused body names, or nothing."""
    try:
        name = msgspec.json.decode(body, type=_Named).id
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
    return name if JOB_ID.fullmatch(name) else ""


def list_query(prefix: str, after: str | None, limit: int) -> str:
    tail = f"&after={after}" if after else ""
    return f"{KV}?prefix={prefix}&limit={limit}{tail}"


def watch_query(prefix: str, after: int, wait_ms: int) -> str:
    return f"{WATCH}?prefix={prefix}&after={after}&block_ms={wait_ms}"


def task_name(job: str, number: int) -> str:
    return f"{job}/{number}"


def parse_task(name: str) -> tuple[str, int]:
    """Job and number; -1 for what can be no task: a number over the most would be another's."""
    job, _, number = name.rpartition("/")
    good = JOB_ID.fullmatch(job) and number.isascii() and number.isdigit() and len(number) <= 6
    return job, int(number) if good and int(number) < MAX_TASKS else -1

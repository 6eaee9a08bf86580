"""The JSON messages of users, workers, cloud and state service, under standard names.

Wire names stand in this file and nowhere else.
"""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, field

Amount = Annotated[float, Meta(ge=0)]

JOBS = "/v2/runs"
CANCEL = "withdraw"
HEALTH = "/up"
REPORT = "/v1/report"
COMMANDS = "/do"
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
START, STOP, FORGET = "launch", "stop", "reap"
QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "cancelled"
BOOTING, FAILED = "starting", "failed"

# Codes used inside for a task's state on a machine and for why it ended.
PENDING, FETCHING, ON, SAVING, EXITED = range(5)
STATE_CODES = {"fetching": FETCHING, "running": ON, "flushing": SAVING, "exited": EXITED}
W_NONE, W_DONE, W_STOPPED, W_ERROR, W_NO_ROOM, W_BUSY, W_UNKNOWN = range(7)
WHY_CODES = {
    "done": W_DONE,
    "halted": W_STOPPED,
    "error": W_ERROR,
    "full": W_NO_ROOM,
    "in_use": W_BUSY,
    "no_such": W_UNKNOWN,
}
WHY_NAMES = {code: name for name, code in WHY_CODES.items()}

JobId = Annotated[str, Meta(pattern=r"^j-[0-9]{1,18}$")]


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its user submitted it."""

    id: JobId = field(name="uid")
    cls: str = field(name="flock")
    team: str = field(name="crew")
    kind: Literal["sweep", "daemon"] = field(name="shape")
    priority: Literal["prod", "urgent", "normal", "idle"] = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=100_000)] = field(name="chores")
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


class ErrorBody(msgspec.Struct):
    error: str


class ReportTask(msgspec.Struct):
    task: str = field(name="chore")
    attempt: int = field(name="try")
    state: str = field(name="status")
    why: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)


class Report(msgspec.Struct):
    machine: str = field(name="host")
    addr: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="roost")
    session: int = field(name="tenure")
    seq: int = field(name="tally")
    token: int = field(name="baton")
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


class Txn(msgspec.Struct):
    conditions: list[Condition] = field(name="when")
    changes: list[Change] = field(name="apply")


class TxnDone(msgspec.Struct):
    revision: int = field(name="epoch")


class TxnFailed(msgspec.Struct):
    failed: list[str]


class LeaseAsk(msgspec.Struct):
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


class FieldFault(ValueError):
    """A body that is not what it should be; the text names the field."""


def decode_job(body: bytes) -> JobSpec:
    try:
        return msgspec.json.decode(body, type=JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise FieldFault(str(fault)) from fault


def list_query(prefix: str, after: str | None, limit: int) -> str:
    tail = f"&after={after}" if after else ""
    return f"{KV}?prefix={prefix}&limit={limit}{tail}"


def watch_query(prefix: str, after: int, wait_ms: int) -> str:
    return f"{WATCH}?prefix={prefix}&after={after}&block_ms={wait_ms}"


def task_name(job: str, number: int) -> str:
    return f"{job}/{number}"


def parse_task(name: str) -> tuple[str, int]:
    job, _, number = name.rpartition("/")
    return job, int(number) if number.isdigit() else -1

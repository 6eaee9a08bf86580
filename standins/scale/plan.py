"""The plan of a scale run: a TOML file, validated as a whole before anything starts."""

import resource
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from starlingdeck.protocol.config import ConfigError, load_tuning
from starlingdeck.protocol.struct_validation import validation_errors

NonNegativeRate = Annotated[float, Meta(ge=0, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]

# Memory (MB) and sockets of a process, measured on loopback: to refuse plans, not for reports.
CONTROLLER_MB = 45.0
CONTROLLER_WORKER_MB = 0.06  # for each worker, at each controller
HOST_MB = 35.0
HOST_WORKER_MB = 0.12
OTHER_PROCESSES_MB = 250.0  # state service, cloud, users and checker
HOST_WORKER_SOCKETS = (
    4  # of a worker: it listens, sends heartbeats, and is called by two controllers
)
CONTROLLER_WORKER_SOCKETS = 3
SOCKET_HEADROOM = 300
MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's memory


class UserSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `users`: the jobs that are submitted. Shares are of all jobs."""

    teams: PositiveCount = 340
    team_cpus_max: NonNegativeRate = 400.0
    array_tasks: PositiveCount = 40  # mean of an array
    run_s: Seconds = 10.0  # mean of a task
    one_task: Share = 0.15  # of the starts are jobs of one task
    urgent: Share = 0.2  # of the jobs
    services: Annotated[int, Meta(ge=0, le=10_000)] = 6  # of two replicas, submitted at the start
    cancelled: Share = 0.03
    repeated: Share = 0.05  # submissions that are sent twice
    poll_s: Seconds = 5.0


class ServiceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `limits`: limits of the state service and the cloud, and workers' timers."""

    rps: NonNegativeRate = 500.0
    write_rps: NonNegativeRate = 150.0
    value_kb: NonNegativeRate = 16.0
    txn_ops: PositiveCount = 12
    cloud_rps: NonNegativeRate = 5.0
    report_s: Seconds = 2.5
    lease_s: Seconds = 15.0
    cancel_s: Seconds = 40.0
    max_connections: Annotated[int, Meta(ge=0, le=100_000)] = 0  # 0: as many as workers may open


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault to inject: an entry of the file's `troubles`.

    `count`: workers of a rack or a zone; `for_s`: length of an outage, or until a killed
    controller is started again.
    """

    at_s: Annotated[float, Meta(ge=0)]
    kind: str
    count: Annotated[int, Meta(ge=0)] = 40
    for_s: Seconds = 3.0
    rate: NonNegativeRate = 0.02  # workers restarted a second, until the end of the run


FAULT_KINDS = ("controller", "rack", "restarts", "state")


class Rung(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of `rungs`: one load, run and measured with processes of its own."""

    workers: PositiveCount
    controllers: Annotated[int, Meta(ge=1, le=32)] = 3
    starts_per_s: NonNegativeRate = 0.0  # 0: as many as keep three quarters of all slots busy
    name: str = ""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole plan file."""

    rungs: list[Rung]
    seconds: Seconds = 45.0  # of a rung, its warm-up included
    warmup_s: Annotated[float, Meta(ge=0, le=3600)] = 12.0
    slots: PositiveCount = 4  # processors of a worker; a task takes one
    per_process: PositiveCount = 1200  # simulated workers in one host process
    seed: int = 1
    port: Annotated[int, Meta(ge=1024, le=60_000)] = 24_000
    tuning: str = ""  # the controllers' tuning file
    broken: bool = False  # one worker host breaks a rule: the run must end with exit status 1
    users: UserSettings = UserSettings()
    limits: ServiceLimits = ServiceLimits()
    faults: list[Fault] = msgspec.field(name="troubles", default=[])

    def requested_starts_per_s(self, rung: Rung) -> float:
        """Task starts a second that a rung's users request."""
        return rung.starts_per_s or 0.75 * self.slots * rung.workers / self.users.run_s


DEFAULT_PLAN = Plan(
    rungs=[Rung(workers=150, name="a look")],
    faults=[Fault(at_s=20.0, kind="controller", for_s=3.0)],
)


def load_plan(path: Path | None) -> Plan:
    """The plan of a file, or the default plan; raises ConfigError with every error."""
    if path is None:
        return DEFAULT_PLAN
    try:
        raw = msgspec.toml.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    lines = validation_errors(raw, Plan, "")
    for name, kind in (("rungs", Rung), ("troubles", Fault)):
        rows = raw.get(name)
        if isinstance(rows, list):
            lines = [line for line in lines if not line.startswith(f"{name}:")]
            for number, row in enumerate(rows):
                lines += validation_errors(row, kind, f"{name}[{number}]")
    if not lines:
        plan = msgspec.convert(raw, Plan)
        lines = plan_errors(plan, machine_memory_mb(), max_sockets()) + tuning_errors(plan)
    if lines:
        raise ConfigError([f"{path}: {line}" for line in lines])
    return plan


def plan_errors(plan: Plan, memory: float, socket_limit: int) -> list[str]:
    """Contradictions in a plan, and what it needs beyond this machine's limits."""
    lines = []
    if not plan.rungs:
        lines.append("rungs: at least one")
    if plan.warmup_s >= plan.seconds:
        lines.append("warmup_s: less than seconds")
    if plan.users.teams > 999:
        lines.append("users.teams: at most 999")
    for number, fault in enumerate(plan.faults):
        if fault.kind not in FAULT_KINDS:
            lines.append(f"troubles[{number}].kind: one of {', '.join(FAULT_KINDS)}")
        if fault.at_s >= plan.seconds:
            lines.append(f"troubles[{number}].at_s: less than seconds")
    for number, rung in enumerate(plan.rungs):
        found = rung_errors(plan, rung, memory, socket_limit)
        lines += [f"rungs[{number}]: {line}" for line in found]
    return lines


def rung_errors(plan: Plan, rung: Rung, memory: float, socket_limit: int) -> list[str]:
    """What one rung needs beyond this machine's limits."""
    lines = []
    needed_mb = estimated_memory_mb(plan, rung)
    if needed_mb > memory * MAX_MEMORY_SHARE:
        lines.append(f"about {needed_mb:.0f} MB, over half of {memory:.0f} MB")
    per_host = min(rung.workers, plan.per_process) * HOST_WORKER_SOCKETS + SOCKET_HEADROOM
    per_controller = CONTROLLER_WORKER_SOCKETS * rung.workers + SOCKET_HEADROOM
    needed_sockets = max(per_host, per_controller)
    if needed_sockets > socket_limit:
        lines.append(f"about {needed_sockets} sockets in a process, over {socket_limit}")
    if process_count(plan, rung) > MAX_PROCESSES:
        lines.append(f"{process_count(plan, rung)} processes, over {MAX_PROCESSES}")
    return lines


def tuning_errors(plan: Plan) -> list[str]:
    """The errors of the controllers' tuning file."""
    if not plan.tuning:
        return []
    try:
        load_tuning(Path(plan.tuning))
    except ConfigError as error:
        return [f"tuning: {line}" for line in error.lines]
    return []


def worker_host_count(plan: Plan, rung: Rung) -> int:
    """The number of worker host processes."""
    return -(-rung.workers // plan.per_process)


def process_count(plan: Plan, rung: Rung) -> int:
    """The number of processes that a rung starts."""
    return rung.controllers + worker_host_count(plan, rung) + 3


def estimated_memory_mb(plan: Plan, rung: Rung) -> float:
    """An estimate of the memory that a rung needs, in MB."""
    controllers = rung.controllers * (CONTROLLER_MB + CONTROLLER_WORKER_MB * rung.workers)
    workers = worker_host_count(plan, rung) * HOST_MB + HOST_WORKER_MB * rung.workers
    return controllers + workers + OTHER_PROCESSES_MB


def machine_memory_mb() -> float:
    """The machine's memory in MB."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    raise OSError("no MemTotal in /proc/meminfo")


def max_sockets() -> int:
    """The number of sockets that one process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]

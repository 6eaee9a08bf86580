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

# Memory (MB) and sockets of the processes, measured on loopback. They serve only to refuse plans
# that this machine can't run; reports have measured values.
CONTROLLER_MB = 45.0
CONTROLLER_MB_PER_WORKER = 0.06  # at each controller
HOST_MB = 35.0
HOST_MB_PER_WORKER = 0.12
OTHER_PROCESSES_MB = 250.0  # state service, cloud, users and checker
# A worker listens, sends heartbeats, and accepts connections of two controllers.
HOST_SOCKETS_PER_WORKER = 4
CONTROLLER_SOCKETS_PER_WORKER = 3
SOCKET_HEADROOM = 300
MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's memory


class UserSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `users`: the jobs that are submitted."""

    teams: PositiveCount = 340
    team_cpus_max: NonNegativeRate = 400.0
    array_tasks: PositiveCount = 40  # mean number of tasks of an array job
    run_s: Seconds = 10.0  # mean run time of a task
    one_task: Share = 0.15  # share of the task starts that belong to jobs of one task
    urgent: Share = 0.2  # of all jobs except services
    services: Annotated[int, Meta(ge=0, le=10_000)] = 6  # two replicas each; submitted at the start
    cancelled: Share = 0.03  # of all jobs except services
    repeated: Share = 0.05  # of all jobs: submitted a second time once accepted
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
    max_connections: Annotated[int, Meta(ge=0, le=100_000)] = 0  # 0: enough for all workers


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault to inject: an entry of the file's `troubles`.

    `count`: workers that a rack fault kills; `for_s`: length of an outage of the state service, or
    time until a killed controller is started again.
    """

    at_s: Annotated[float, Meta(ge=0)]
    kind: str
    count: Annotated[int, Meta(ge=0)] = 40
    for_s: Seconds = 3.0
    rate: NonNegativeRate = 0.02  # workers restarted a second, until the end of the run


FAULT_KINDS = ("controller", "rack", "restarts", "state")


class Rung(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of `rungs`: a load that is run and measured with processes of its own."""

    workers: PositiveCount
    controllers: Annotated[int, Meta(ge=1, le=32)] = 3
    starts_per_s: NonNegativeRate = 0.0  # 0: as many as keep three quarters of all slots busy
    name: str = ""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole plan file."""

    rungs: list[Rung]
    seconds: Seconds = 45.0  # length of a rung, its warm-up included
    warmup_s: Annotated[float, Meta(ge=0, le=3600)] = 12.0
    slots: PositiveCount = 4  # processors of a worker; a task takes one
    per_process: PositiveCount = 1200  # simulated workers in one host process
    seed: int = 1
    port: Annotated[int, Meta(ge=1024, le=60_000)] = 24_000
    tuning: str = ""  # the controllers' tuning file
    broken: bool = False  # one worker host breaks a rule; the run must end with exit status 1
    users: UserSettings = UserSettings()
    limits: ServiceLimits = ServiceLimits()
    faults: list[Fault] = msgspec.field(name="troubles", default=[])

    def requested_starts_per_s(self, rung: Rung) -> float:
        """Returns how many task starts a second a rung's users request."""
        return rung.starts_per_s or 0.75 * self.slots * rung.workers / self.users.run_s


DEFAULT_PLAN = Plan(
    rungs=[Rung(workers=150, name="a look")],
    faults=[Fault(at_s=20.0, kind="controller", for_s=3.0)],
)


def load_plan(path: Path | None) -> Plan:
    """Returns the plan in a file, or the default plan; raises ConfigError with all errors found."""
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
    """Returns a plan's contradictions and its needs beyond `memory` (MB) and `socket_limit`."""
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
    """Returns what one rung needs beyond this machine's limits, one error for each limit."""
    lines = []
    needed_mb = estimated_memory_mb(plan, rung)
    if needed_mb > memory * MAX_MEMORY_SHARE:
        lines.append(f"about {needed_mb:.0f} MB, over half of the memory ({memory:.0f} MB)")
    per_host = min(rung.workers, plan.per_process) * HOST_SOCKETS_PER_WORKER + SOCKET_HEADROOM
    per_controller = CONTROLLER_SOCKETS_PER_WORKER * rung.workers + SOCKET_HEADROOM
    needed_sockets = max(per_host, per_controller)
    if needed_sockets > socket_limit:
        lines.append(
            f"about {needed_sockets} sockets in a process, over the limit of {socket_limit}"
        )
    if process_count(plan, rung) > MAX_PROCESSES:
        lines.append(f"{process_count(plan, rung)} processes, over the limit of {MAX_PROCESSES}")
    return lines


def tuning_errors(plan: Plan) -> list[str]:
    """Returns the errors in the controllers' tuning file; none if the plan names no such file."""
    if not plan.tuning:
        return []
    try:
        load_tuning(Path(plan.tuning))
    except ConfigError as error:
        return [f"tuning: {line}" for line in error.lines]
    return []


def worker_host_count(plan: Plan, rung: Rung) -> int:
    """Returns the number of worker host processes."""
    return -(-rung.workers // plan.per_process)


def process_count(plan: Plan, rung: Rung) -> int:
    """Returns a rung's number of processes, with state service, cloud, and users and checker."""
    return rung.controllers + worker_host_count(plan, rung) + 3


def estimated_memory_mb(plan: Plan, rung: Rung) -> float:
    """Returns an estimate of the memory that a rung needs, in MB."""
    controllers = rung.controllers * (CONTROLLER_MB + CONTROLLER_MB_PER_WORKER * rung.workers)
    workers = worker_host_count(plan, rung) * HOST_MB + HOST_MB_PER_WORKER * rung.workers
    return controllers + workers + OTHER_PROCESSES_MB


def machine_memory_mb() -> float:
    """Returns the machine's memory in MB; raises OSError if /proc/meminfo lacks it."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    raise OSError("no MemTotal in /proc/meminfo")


def max_sockets() -> int:
    """Returns how many descriptors, and so sockets, one process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]

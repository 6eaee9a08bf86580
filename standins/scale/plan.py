"""What a scale run is to do: a TOML file, checked whole before anything starts."""

import resource
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from starlingdeck.protocol.config import ConfigError, load_tuning
from starlingdeck.protocol.struct_validation import validation_errors

Rate = Annotated[float, Meta(ge=0, le=100_000)]
Share = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Many = Annotated[int, Meta(ge=1, le=100_000)]

# What a process holds, by trial on loopback: to refuse a plan, not to report. In MB and sockets.
CONTROLLER_MB = 45.0
CONTROLLER_WORKER_MB = 0.06  # a worker, at each controller
HOST_MB = 35.0
HOST_WORKER_MB = 0.12
OTHERS_MB = 250.0  # state service, cloud, users and checker
HOST_WORKER_SOCKETS = 4  # of a hollow worker: it listens, reports, and is called by two controllers
CONTROLLER_WORKER_SOCKETS = 3
SOCKET_HEADROOM = 300
MAX_PROCESSES = 300
MEMORY_SHARE = 0.5  # of the machine's


class UserSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `users`: what is submitted. Sizes and shares are of jobs, rates of tasks."""

    teams: Many = 340
    team_cpus_max: Rate = 400.0
    array_tasks: Many = 40  # mean of an array's
    run_s: Seconds = 10.0  # mean of a task's
    one_task: Share = 0.15  # of the starts come as jobs of one task
    urgent: Share = 0.2  # of the jobs
    services: Annotated[int, Meta(ge=0, le=10_000)] = 6  # of two replicas, from the start on
    cancelled: Share = 0.03
    repeated: Share = 0.05  # submissions that are sent twice
    poll_s: Seconds = 5.0


class ServiceLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section `limits`: those of the state service and the cloud, and workers' timers."""

    rps: Rate = 500.0
    write_rps: Rate = 150.0
    value_kb: Rate = 16.0
    txn_ops: Many = 12
    cloud_rps: Rate = 5.0
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
    rate: Rate = 0.02  # workers restarted a second, from then on


FAULT_KINDS = ("controller", "rack", "restarts", "state")


class Rung(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry of `rungs`: a site of its own, played and measured."""

    workers: Many
    controllers: Annotated[int, Meta(ge=1, le=32)] = 3
    starts_per_s: Rate = 0.0  # 0: so many that three quarters of all slots run
    name: str = ""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole plan file."""

    rungs: list[Rung]
    seconds: Seconds = 45.0  # of a rung, its warm-up included
    warmup_s: Annotated[float, Meta(ge=0, le=3600)] = 12.0
    slots: Many = 4  # processors of a worker; a task takes one
    per_process: Many = 1200  # hollow workers
    seed: int = 1
    port: Annotated[int, Meta(ge=1024, le=60_000)] = 24_000
    tuning: str = ""  # the controllers' tuning file
    broken: bool = False  # one process of workers breaks a rule: the run has to end with 1
    users: UserSettings = UserSettings()
    limits: ServiceLimits = ServiceLimits()
    faults: list[Fault] = msgspec.field(name="troubles", default=[])

    def requested_starts_per_s(self, rung: Rung) -> float:
        """Task starts a second that a rung's users ask for."""
        return rung.starts_per_s or 0.75 * self.slots * rung.workers / self.users.run_s


DEFAULT_PLAN = Plan(
    rungs=[Rung(workers=150, name="a look")],
    faults=[Fault(at_s=20.0, kind="controller", for_s=3.0)],
)


def load_plan(path: Path | None) -> Plan:
    """The plan of a file, or the one that is played without; raises Fault with every fault."""
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


def plan_errors(plan: Plan, memory: float, most_sockets: int) -> list[str]:
    """What a plan asks that this machine may not give, and what contradicts itself."""
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
        found = rung_errors(plan, rung, memory, most_sockets)
        lines += [f"rungs[{number}]: {line}" for line in found]
    return lines


def rung_errors(plan: Plan, rung: Rung, memory: float, most_sockets: int) -> list[str]:
    """What one rung asks that this machine may not give."""
    lines = []
    wanted = estimated_memory_mb(plan, rung)
    if wanted > memory * MEMORY_SHARE:
        lines.append(f"about {wanted:.0f} MB, over half of {memory:.0f} MB")
    per_host = min(rung.workers, plan.per_process) * HOST_WORKER_SOCKETS + SOCKET_HEADROOM
    reporting = CONTROLLER_WORKER_SOCKETS * rung.workers + SOCKET_HEADROOM
    need = max(per_host, reporting)
    if need > most_sockets:
        lines.append(f"about {need} sockets in a process, over {most_sockets}")
    if process_count(plan, rung) > MAX_PROCESSES:
        lines.append(f"{process_count(plan, rung)} processes, over {MAX_PROCESSES}")
    return lines


def tuning_errors(plan: Plan) -> list[str]:
    """What is wrong with the controllers' tuning file."""
    if not plan.tuning:
        return []
    try:
        load_tuning(Path(plan.tuning))
    except ConfigError as error:
        return [f"tuning: {line}" for line in error.lines]
    return []


def worker_host_count(plan: Plan, rung: Rung) -> int:
    """Processes of hollow workers."""
    return -(-rung.workers // plan.per_process)


def process_count(plan: Plan, rung: Rung) -> int:
    """Processes that a rung starts."""
    return rung.controllers + worker_host_count(plan, rung) + 3


def estimated_memory_mb(plan: Plan, rung: Rung) -> float:
    """An estimate of the memory that a rung needs, in MB."""
    controllers = rung.controllers * (CONTROLLER_MB + CONTROLLER_WORKER_MB * rung.workers)
    workers = worker_host_count(plan, rung) * HOST_MB + HOST_WORKER_MB * rung.workers
    return controllers + workers + OTHERS_MB


def machine_memory_mb() -> float:
    """The machine's memory."""
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) / 1024
    raise OSError("no MemTotal in /proc/meminfo")


def max_sockets() -> int:
    """Sockets that one process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]

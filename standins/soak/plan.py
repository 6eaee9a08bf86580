"""The plan of a soak run: its size, and the faults that its seed draws."""

import random
from enum import StrEnum

from msgspec import Struct

from standins.scale.plan import (
    Plan,
    Rung,
    ServiceLimits,
    UserSettings,
    machine_memory_mb,
    max_sockets,
    rung_errors,
)

MIN_SECONDS = 15.0
MAX_SECONDS = 3600.0
MIN_CONTROLLERS = 2
MAX_CONTROLLERS = 8
MIN_WORKERS = 6
MAX_SEED = 2**31
FIRST_PORT, LAST_PORT = 1024, 60_000
PORTS_PER_RUN = 700
FIRST_FAULT_S = 4.0  # after the start of the users
FAULT_GAP_S = 1.5  # mean time between the beginnings of two faults
MAX_FAULT_S = 9.0
QUICK_RESTART_S = 0.2
SLOTS_PER_WORKER = 4
TASK_RUN_S = 2.0


class FaultKind(StrEnum):
    """What a fault does."""

    KILL = "kill"  # SIGKILL of a controller, started again after `for_s`
    PAUSE = "pause"  # SIGSTOP of a controller, SIGCONT after `for_s`
    STATE_OUTAGE = "state outage"
    STATE_REFUSAL = "state refusal"  # the state service refuses one controller
    LOST_ANSWERS = "lost answers"  # transactions of one controller are executed, not answered
    LATE_WRITES = "late writes"  # transactions of one controller are executed seconds later
    STATE_LINK = "state link"  # the link of one controller to the state service
    PEER_LINK = "peer link"  # the links between one controller and the others
    WORKER_LINK = "worker link"  # the link of all workers to one controller
    COMMAND_LINK = "command link"  # the link of all controllers to workers' own addresses


class LinkMode(StrEnum):
    """How a proxied link treats its traffic."""

    OPEN = "open"
    SILENT = "silent"  # nothing passes; what was sent is lost
    RESET = "reset"  # connections are closed, new ones too
    HOLD = "hold"  # what was sent arrives in order once the fault ends
    DELAY = "delay"  # everything arrives late


LINK_KINDS = (
    FaultKind.STATE_LINK,
    FaultKind.PEER_LINK,
    FaultKind.WORKER_LINK,
    FaultKind.COMMAND_LINK,
)
LINK_FAULT_MODES = (LinkMode.SILENT, LinkMode.RESET, LinkMode.HOLD, LinkMode.DELAY)


class Fault(Struct, frozen=True):
    """A fault that begins `at_s` seconds after the users' start and lasts `for_s`."""

    at_s: float
    for_s: float
    kind: FaultKind
    controller: int
    mode: LinkMode = LinkMode.OPEN
    delay_s: float = 0.0
    share: float = 1.0  # share of the transactions concerned

    def __str__(self) -> str:
        link = f", {self.mode} {self.delay_s:.2f} s" if self.mode is not LinkMode.OPEN else ""
        return (
            f"{self.at_s:.2f} s: {self.kind} of n-{self.controller} for {self.for_s:.2f} s"
            f"{link}, share {self.share:.2f}"
        )


class SoakPlan(Struct, frozen=True):
    """A soak run: `seconds` of faults and users, then a quiet phase in which all jobs must end."""

    seed: int
    seconds: float = 30.0
    controllers: int = 3
    workers: int = 24
    port: int = 12_000

    def scale_plan(self) -> Plan:
        """Return the plan of the processes, in the form of the scale run."""
        return Plan(
            rungs=[Rung(workers=self.workers, controllers=self.controllers)],
            seconds=self.seconds,
            warmup_s=0.0,
            slots=SLOTS_PER_WORKER,
            seed=self.seed,
            port=self.port,
            users=UserSettings(teams=4, team_cpus_max=1.0 * self.workers, run_s=TASK_RUN_S),
            limits=ServiceLimits(report_s=1.0, lease_s=6.0, cancel_s=15.0, rps=900.0, cloud_rps=20),
        )


def plan_errors(plan: SoakPlan) -> list[str]:
    """Return why a plan can't be run; empty if it can."""
    bounds = {
        "seed": (plan.seed, 0, MAX_SEED),
        "seconds": (plan.seconds, MIN_SECONDS, MAX_SECONDS),
        "controllers": (plan.controllers, MIN_CONTROLLERS, MAX_CONTROLLERS),
        "workers": (plan.workers, MIN_WORKERS, 100_000),
        "port": (plan.port, FIRST_PORT, LAST_PORT - PORTS_PER_RUN),
    }
    errors = [
        f"{name}: {value}, expected {low} to {high}"
        for name, (value, low, high) in bounds.items()
        if not low <= value <= high
    ]
    if errors:
        return errors
    scale_plan = plan.scale_plan()
    return rung_errors(scale_plan, scale_plan.rungs[0], machine_memory_mb(), max_sockets())


def draw_faults(plan: SoakPlan) -> list[Fault]:
    """Draw the run's faults from its seed; two or three overlap most of the time."""
    rng = random.Random(plan.seed)
    faults: list[Fault] = []
    at = FIRST_FAULT_S
    while at < plan.seconds - 1.0:
        for_s = min(rng.uniform(0.3, MAX_FAULT_S), plan.seconds - at)
        faults += _draw_fault(rng, at, for_s, plan.controllers)
        at += rng.expovariate(1 / FAULT_GAP_S)
    return faults


def _draw_fault(rng: random.Random, at: float, for_s: float, controllers: int) -> list[Fault]:
    kind = rng.choice(list(FaultKind))
    controller = rng.randrange(controllers)
    if kind is FaultKind.KILL:
        return _draw_kills(rng, at, controllers)
    if kind in LINK_KINDS:
        mode = rng.choice(LINK_FAULT_MODES)
        delay_s = rng.uniform(0.05, 1.5) if mode is LinkMode.DELAY else 0.0
        return [Fault(at, for_s, kind, controller, mode, delay_s)]
    share = rng.uniform(0.1, 1.0) if kind in (FaultKind.LOST_ANSWERS, FaultKind.LATE_WRITES) else 1
    return [Fault(at, for_s, kind, controller, share=share)]


def _draw_kills(rng: random.Random, at: float, controllers: int) -> list[Fault]:
    """Return a kill, or a series of kills that moves ownership several times."""
    count = rng.choice((1, 1, 3))
    return [
        Fault(
            at + 0.8 * number,
            rng.choice((QUICK_RESTART_S, 1.0, 4.0)),
            FaultKind.KILL,
            rng.randrange(controllers),
        )
        for number in range(count)
    ]

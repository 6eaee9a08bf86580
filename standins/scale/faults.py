"""Injects a plan's faults into a scale run and measures how long the site takes to recover."""

import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NamedTuple

import curio
import msgspec

from standins.scale.checker import Checker
from standins.scale.plan import Fault
from standins.scale.site import Site

SAMPLE_INTERVAL_S = 0.25
BASELINE_S = 10.0  # over which the running tasks before a fault are averaged
RECOVERED_SHARE = 0.95  # share of the former running tasks that counts as recovered
START_GAP_WINDOW_S = 20.0  # after a fault: where the longest gap between starts is measured


@dataclass
class Sample:
    """The counts of running and started tasks at one moment."""

    at: float
    running: int
    starts: int


@dataclass
class Recovery:
    """The recovery from one fault.

    `again_s`: seconds until 95% of the former number of tasks run; None: not within the run.
    `gap_s`: the longest time without a start in the 20 s after the fault.
    """

    kind: str
    at_s: float
    running_before: int
    running_least: int
    again_s: float | None
    gap_s: float


class InjectedFault(NamedTuple):
    """A fault and when it was injected, in seconds of the steady clock."""

    fault: Fault
    at: float


class FaultInjector:
    """Injects a plan's faults into one site."""

    def __init__(self, site: Site, checker: Checker, seed: int) -> None:
        self.site, self.checker = site, checker
        self.rng = random.Random(seed)
        self.samples: list[Sample] = []
        self.injected: list[InjectedFault] = []
        self.actions: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "controller": self.kill_controller,
            "rack": self.kill_rack,
            "restarts": self.restart_workers,
            "state": self.interrupt_state_service,
        }

    async def sample_loop(self) -> None:
        """Samples the running tasks every SAMPLE_S seconds."""
        while True:
            now = time.monotonic()
            self.samples.append(Sample(now, len(self.checker.running), self.checker.starts))
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def run(self, fault: Fault, run_started_at: float) -> None:
        """Waits until a fault is due and injects it."""
        await curio.sleep(max(0.0, run_started_at + fault.at_s - time.monotonic()))
        self.injected.append(InjectedFault(fault, time.monotonic()))
        await self.actions[fault.kind](fault)

    async def kill_controller(self, fault: Fault) -> None:
        """Kills a controller and starts it again after `for_s` seconds."""
        number = self.rng.randrange(self.site.rung.controllers)
        self.site.kill_controller(number)
        await curio.sleep(fault.for_s)
        self.site.start_controller(number)

    async def kill_rack(self, fault: Fault) -> None:
        """Kills `count` machines with consecutive names at once."""
        for number in range(fault.count):
            body = msgspec.json.encode({"host": f"vm-{number + 1:06d}"})
            await self.site.request(self.site.cloud, "POST", "/kill", body)

    async def restart_workers(self, fault: Fault) -> None:
        """Restarts workers at random, at a rate, until the end of the run."""
        while True:
            await curio.sleep(self.rng.expovariate(fault.rate))
            name = f"vm-{self.rng.randrange(self.site.rung.workers) + 1:06d}"
            await self.request_all_hosts("/restart", [name])

    async def interrupt_state_service(self, fault: Fault) -> None:
        """Starts an outage of the state service."""
        body = msgspec.json.encode({"seconds": fault.for_s})
        await self.site.request(self.site.state, "POST", "/out", body)

    async def request_all_hosts(self, path: str, names: list[str]) -> None:
        """Sends machine names to every worker host."""
        body = msgspec.json.encode(names)
        for address in self.site.hosts:
            await self.site.request(address, "POST", path, body)

    def recoveries(self, origin: float) -> list[Recovery]:
        """The recovery from each fault but restarts; `origin`: start of the run."""
        faults = [injected for injected in self.injected if injected.fault.kind != "restarts"]
        fault_times = [injected.at for injected in faults]
        found = []
        for fault, at in faults:
            until = min((later for later in fault_times if later > at), default=float("inf"))
            samples = [sample for sample in self.samples if sample.at < until]
            found.append(measure_recovery(fault, at, origin, samples))
        return found


def measure_recovery(fault: Fault, at: float, origin: float, samples: list[Sample]) -> Recovery:
    """The recovery from one fault, from samples of running tasks."""
    before = [s.running for s in samples if at - BASELINE_S <= s.at < at]
    after = [s for s in samples if s.at >= at]
    level = sum(before) / len(before) if before else 0.0
    least = min((s.running for s in after), default=0)
    fell = next((i for i, s in enumerate(after) if s.running < RECOVERED_SHARE * level), None)
    again: float | None = 0.0
    if fell is not None:
        again = next(
            (s.at - at for s in after[fell:] if s.running >= RECOVERED_SHARE * level), None
        )
    gap_s = longest_gap(after, at + START_GAP_WINDOW_S)
    return Recovery(
        kind=fault.kind,
        at_s=round(at - origin, 1),
        running_before=round(level),
        running_least=least,
        again_s=None if again is None else round(again, 2),
        gap_s=round(gap_s, 2),
    )


def longest_gap(samples: list[Sample], until: float) -> float:
    """The longest time up to `until` without a task start, in seconds."""
    longest, gap_started_at = 0.0, None
    for earlier, later in itertools.pairwise(samples):
        if later.at > until:
            break
        if later.starts != earlier.starts:
            gap_started_at = None
            continue
        gap_started_at = earlier.at if gap_started_at is None else gap_started_at
        longest = max(longest, later.at - gap_started_at)
    return longest

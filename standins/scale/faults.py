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
BASELINE_S = 10.0  # the running tasks before a fault are averaged over this time
RECOVERED_SHARE = 0.95  # a site has recovered once this share of the former tasks runs again
START_GAP_WINDOW_S = 20.0  # time after a fault in which the longest gap between starts is measured


@dataclass
class Sample:
    """The number of running tasks, and of starts so far, at one moment."""

    at: float
    running: int
    starts: int


@dataclass
class Recovery:
    """The recovery from one fault.

    `running_before`: mean over the 10 s before the fault; `running_least`: minimum after it.
    `again_s`: seconds until 95% of `running_before` tasks run again. It is 0 if the number never
    fell below that, and None if it stayed below until the next fault or the end of the run.
    `gap_s`: the longest time without a start in the 20 s after the fault.
    """

    kind: str
    at_s: float
    running_before: int
    running_least: int
    again_s: float | None
    gap_s: float


class InjectedFault(NamedTuple):
    """A fault and when it was injected, in seconds of the monotonic clock."""

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
        """Sample the running tasks every SAMPLE_INTERVAL_S seconds."""
        while True:
            now = time.monotonic()
            self.samples.append(Sample(now, len(self.checker.running), self.checker.starts))
            await curio.sleep(SAMPLE_INTERVAL_S)

    async def run(self, fault: Fault, run_started_at: float) -> None:
        """Wait until a fault is due and inject it."""
        await curio.sleep(max(0.0, run_started_at + fault.at_s - time.monotonic()))
        self.injected.append(InjectedFault(fault, time.monotonic()))
        await self.actions[fault.kind](fault)

    async def kill_controller(self, fault: Fault) -> None:
        """Kill a random controller and start it again after `for_s` seconds."""
        number = self.rng.randrange(self.site.rung.controllers)
        self.site.kill_controller(number)
        await curio.sleep(fault.for_s)
        self.site.start_controller(number)

    async def kill_rack(self, fault: Fault) -> None:
        """Kill the first `count` machines in order of name, one after the other without a pause."""
        for number in range(fault.count):
            body = msgspec.json.encode({"host": f"vm-{number + 1:06d}"})
            await self.site.request(self.site.cloud, "POST", "/kill", body)

    async def restart_workers(self, fault: Fault) -> None:
        """Restart random workers, `rate` a second on average, until the end of the run."""
        while True:
            await curio.sleep(self.rng.expovariate(fault.rate))
            name = f"vm-{self.rng.randrange(self.site.rung.workers) + 1:06d}"
            await self.request_all_hosts("/restart", [name])

    async def interrupt_state_service(self, fault: Fault) -> None:
        """Start an outage of the state service that lasts `for_s` seconds."""
        await self.site.begin_outage(fault.for_s)

    async def request_all_hosts(self, path: str, names: list[str]) -> None:
        """Post machine names to every worker host; a host ignores the names of other machines."""
        body = msgspec.json.encode(names)
        for address in self.site.hosts:
            await self.site.request(address, "POST", path, body)

    def recoveries(self, run_started_at: float) -> list[Recovery]:
        """Return the recovery from each fault but restarts, using samples up to the next fault."""
        faults = [injected for injected in self.injected if injected.fault.kind != "restarts"]
        fault_times = [injected.at for injected in faults]
        results = []
        for fault, at in faults:
            until = min((later for later in fault_times if later > at), default=float("inf"))
            samples = [sample for sample in self.samples if sample.at < until]
            results.append(measure_recovery(fault, at, run_started_at, samples))
        return results


def measure_recovery(
    fault: Fault, at: float, run_started_at: float, samples: list[Sample]
) -> Recovery:
    """Return the recovery from one fault, injected at `at`, from samples of running tasks."""
    before = [s.running for s in samples if at - BASELINE_S <= s.at < at]
    after = [s for s in samples if s.at >= at]
    baseline = sum(before) / len(before) if before else 0.0
    least = min((s.running for s in after), default=0)
    first_drop = next(
        (i for i, s in enumerate(after) if s.running < RECOVERED_SHARE * baseline), None
    )
    recovered_after_s: float | None = 0.0
    if first_drop is not None:
        recovered_after_s = next(
            (s.at - at for s in after[first_drop:] if s.running >= RECOVERED_SHARE * baseline), None
        )
    gap_s = longest_gap(after, at + START_GAP_WINDOW_S)
    return Recovery(
        kind=fault.kind,
        at_s=round(at - run_started_at, 1),
        running_before=round(baseline),
        running_least=least,
        again_s=None if recovered_after_s is None else round(recovered_after_s, 2),
        gap_s=round(gap_s, 2),
    )


def longest_gap(samples: list[Sample], until: float) -> float:
    """Return the longest time without a task start, in seconds, from samples up to `until`."""
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

"""What fails in a scale run, and how long the site takes to recover from it."""

import itertools
import random
import time
from dataclasses import dataclass

import curio
import msgspec

from standins.scale.checker import Checker
from standins.scale.plan import Trouble
from standins.scale.site import Site

SAMPLE_S = 0.25
BEFORE_S = 10.0  # over which the running tasks before a trouble are averaged
AGAIN = 0.95  # of them that count as recovered
QUIET_S = 20.0  # after a trouble within which its longest gap between starts is sought


@dataclass
class Sample:
    """What ran at one moment."""

    at: float
    running: int
    starts: int


@dataclass
class Recovery:
    """`again_s`: until 95% of the tasks run again that ran before; None: not in the run.
    `gap_s`: the longest time without a start in the 20 s after."""

    kind: str
    at_s: float
    running_before: int
    running_least: int
    again_s: float | None
    gap_s: float


class Troubles:
    """Provokes a plan's troubles on one site."""

    def __init__(self, site: Site, checker: Checker, seed: int) -> None:
        self.site, self.checker = site, checker
        self.rng = random.Random(seed)
        self.samples: list[Sample] = []
        self.began: list[tuple[Trouble, float]] = []

    async def sample_loop(self) -> None:
        """Samples the running tasks every SAMPLE_S seconds."""
        while True:
            now = time.monotonic()
            self.samples.append(Sample(now, len(self.checker.running), self.checker.starts))
            await curio.sleep(SAMPLE_S)

    async def run(self, trouble: Trouble, began: float) -> None:
        """Waits until a trouble is due and provokes it."""
        await curio.sleep(max(0.0, began + trouble.at_s - time.monotonic()))
        self.began.append((trouble, time.monotonic()))
        await getattr(self, trouble.kind)(trouble)

    async def controller(self, trouble: Trouble) -> None:
        """Kills a controller and starts it again after `for_s` seconds."""
        number = self.rng.randrange(self.site.rung.controllers)
        self.site.kill_controller(number)
        await curio.sleep(trouble.for_s)
        self.site.start_controller(number)

    async def rack(self, trouble: Trouble) -> None:
        """Neighbours by name are gone at once."""
        for number in range(trouble.count):
            body = msgspec.json.encode({"host": f"vm-{number + 1:06d}"})
            await self.site.ask(self.site.cloud, "POST", "/kill", body)

    async def restarts(self, trouble: Trouble) -> None:
        """Restarts workers at random, at a rate, until the end of the run."""
        while True:
            await curio.sleep(self.rng.expovariate(trouble.rate))
            name = f"vm-{self.rng.randrange(self.site.rung.workers) + 1:06d}"
            await self.tell_hosts("/restart", [name])

    async def state(self, trouble: Trouble) -> None:
        """Starts an outage of the state service."""
        body = msgspec.json.encode({"seconds": trouble.for_s})
        await self.site.ask(self.site.state, "POST", "/out", body)

    async def tell_hosts(self, path: str, names: list[str]) -> None:
        """Sends a list of machines to every process of hollow workers."""
        body = msgspec.json.encode(names)
        for address in self.site.hosts:
            await self.site.ask(address, "POST", path, body)

    def recoveries(self, origin: float) -> list[Recovery]:
        """What the samples say of each trouble; `origin` is the run's beginning."""
        troubles = [(t, at) for t, at in self.began if t.kind != "restarts"]
        begins = [at for _, at in troubles]
        found = []
        for trouble, at in troubles:
            until = min((later for later in begins if later > at), default=float("inf"))
            samples = [sample for sample in self.samples if sample.at < until]
            found.append(recovery(trouble, at, origin, samples))
        return found


def recovery(trouble: Trouble, at: float, origin: float, samples: list[Sample]) -> Recovery:
    """The recovery from one trouble, from samples of running tasks."""
    before = [s.running for s in samples if at - BEFORE_S <= s.at < at]
    after = [s for s in samples if s.at >= at]
    level = sum(before) / len(before) if before else 0.0
    least = min((s.running for s in after), default=0)
    fell = next((i for i, s in enumerate(after) if s.running < AGAIN * level), None)
    again: float | None = 0.0
    if fell is not None:
        again = next((s.at - at for s in after[fell:] if s.running >= AGAIN * level), None)
    return Recovery(
        trouble.kind, round(at - origin, 1), round(level), least,
        None if again is None else round(again, 2), round(longest_gap(after, at + QUIET_S), 2),
    )  # fmt: skip


def longest_gap(samples: list[Sample], until: float) -> float:
    """The longest time between two samples of which the second knows no more starts."""
    longest, began = 0.0, None
    for earlier, later in itertools.pairwise(samples):
        if later.at > until:
            break
        if later.starts != earlier.starts:
            began = None
            continue
        began = earlier.at if began is None else began
        longest = max(longest, later.at - began)
    return longest

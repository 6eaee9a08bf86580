"""This controller's part in what is agreed under overload (docs/design/overload.md).

What its shards have to run, and to run it on, goes out with the greetings; from what comes in
every controller reckons the same shares, and each shard spends only its own.
"""

import logging
from collections.abc import Iterable, Mapping, Sequence

from msgspec import Struct

from starlingdeck.context import World, total_of
from starlingdeck.fairness import minimum_share as floors
from starlingdeck.fairness.demand_snapshot import Load, Pair, Part, Picture, bounded, total
from starlingdeck.fairness.fair_share import Shares, dominant, reckon
from starlingdeck.fairness.minimum_share import Work
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.metrics import counters as tally
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings
from starlingdeck.scheduling.scheduler import urgency

log = logging.getLogger(__name__)

KEEP_S = 0.5  # (start) how often it is looked which tasks are kept
FADES_S = 10.0  # (start) how soon half of what was stopped is no longer lately
FEW = 20.0  # starts lately: of fewer, so many count
TELL_S = 0.25  # (start) how often our parts are summed up anew
HOLD_S = 10.0  # (start) an overload lasts this long after the last task that found no machine
MOST_CLASS = 200  # characters of a name that a peer may send


class Waits(Struct):
    """A job whose tasks find no machine. `most` is what it had got furthest with, `at` when it was
    last seen to wait."""

    since: float
    most: int
    tasks: int = 0
    at: float = 0.0


class Overload:
    """Off until something waits for a machine for longer than `patience_s`, at any controller."""

    def __init__(
        self,
        world: World,
        writers: Mapping[int, Writer],
        machines: Mapping[int, MachineShard],
        settings: OverloadSettings,
    ) -> None:
        self.world = world
        self.writers = writers
        self.machines = machines
        self.settings = settings
        self.picture = Picture()
        self.shares = Shares()
        self.waits: dict[int, Waits] = {}
        self.pressed_at = -1e9
        self.told_at = -1e9
        self.seq = 0
        self.seen_events = [0, 0]  # tasks started and stopped here, when last looked at
        self.lately = [0.0, 0.0]  # and of those lately
        self.keep_at = 0.0
        self.keeping = False  # whether any running task may be marked as kept

    @staticmethod
    def pair(job: Job) -> Pair:
        return job.team, job.spec.cls

    # --- one picture

    def greet(self, hello: pb.Hello) -> None:
        self.tell()
        for shard in self.writers:
            part = self.picture.parts.get(shard)
            if part is None:
                continue
            item = hello.parts.add(
                shard=part.shard, token=part.token, seq=part.seq, pressed=part.pressed,
                capacity=part.capacity,
            )  # fmt: skip
            for (team, name), load in part.loads.items():
                item.loads.add(team=team, cls=name, running=load.running, waiting=load.waiting)

    def greeted(self, hello: pb.Hello) -> None:
        now = self.world.now()
        for item in hello.parts[: self.world.shards]:
            if item.shard >= self.world.shards or item.shard in self.writers:
                continue
            loads = {
                (load.team, load.cls[:MOST_CLASS]): Load(_size(load.running), _size(load.waiting))
                for load in item.loads[:1000]
            }
            capacity = _size(item.capacity)
            part = Part(item.shard, item.token, item.seq, capacity, bounded(loads), item.pressed)
            self.picture.take(part, now)

    def tell(self) -> None:
        """Sum up our shards' parts, and reckon the shares from all that are known."""
        now = self.world.now()
        if now - self.told_at < TELL_S:
            return
        faded = 0.5 ** (min(now - self.told_at, 60.0) / FADES_S)
        self.told_at = now
        totals = self.world.tally.totals
        events = [totals[tally.STARTED], totals[tally.STOPPED]]
        fresh = (a - b for a, b in zip(events, self.seen_events, strict=True))
        self.lately = [old * faded + new for old, new in zip(self.lately, fresh, strict=True)]
        self.seen_events = events
        pressed = now - self.pressed_at < HOLD_S
        self.seq += 1
        for shard, writer in self.writers.items():
            if writer.shard.loaded:
                loads = bounded(self._loads(writer))
                part = Part(
                    shard, writer.shard.token, self.seq, self._capacity(shard), loads, pressed
                )
                self.picture.take(part, now)
        parts = self.picture.known(now, self.world.tuning.expiry_s)
        shares = reckon(parts, self.world.shards, self.settings.floor)
        if shares.overload != self.shares.overload:
            log.info("overload %s, by %s", "begins" if shares.overload else "is over", shares.marks)
        self.shares = shares

    def _capacity(self, shard: int) -> tuple[float, float, float]:
        machines = self.machines.get(shard)
        found = machines.machines.values() if machines is not None else ()
        well = [m for m in found if not (m.dead or m.draining or m.sick is not None)]
        kinds = [self.world.types.get(m.type) for m in well]
        return total(total_of(kind) for kind in kinds if kind is not None)

    def _loads(self, writer: Writer) -> dict[Pair, Load]:
        running: dict[Pair, list[tuple[float, float, float]]] = {}
        waiting: dict[Pair, list[tuple[float, float, float]]] = {}
        for job in writer.shard.jobs.values():
            pair, wait = self.pair(job), self.waits.get(job.index)
            for tasks, sizes in (
                (job.used(), running),
                (wait.tasks if wait is not None else 0, waiting),
            ):
                if tasks:
                    cpus, gpus, memory_gb = job.size
                    size = (tasks * cpus, tasks * gpus, tasks * memory_gb)
                    sizes.setdefault(pair, []).append(size)
        return {
            pair: Load(total(running.get(pair, ())), total(waiting.get(pair, ())))
            for pair in running.keys() | waiting.keys()
        }

    # --- our part of it

    def part(self, pair: Pair) -> float:
        return sum(self.shares.part(shard, pair) for shard in self.writers)

    def churns(self) -> bool:
        """Whether more than `churn` of what was started here lately was stopped for others."""
        started, stopped = self.lately
        return self.shares.overload and stopped > self.settings.churn * max(started, FEW)

    def works(self, jobs: Iterable[Job], kept: bool = False) -> list[Work]:
        """`kept`: with how many tasks of each are kept now."""
        wall_ms = self.world.wall_ms()
        found = []
        for job in jobs:
            wait = self.waits.get(job.index)
            tasks = wait.tasks if wait is not None else 0
            share = dominant(job.size, self.shares.capacity)
            late = bool(tasks) and urgency(self.world, job, wall_ms)[0]
            # A task that a machine is kept for has its part already: else more and more were.
            running = job.used() + len(job.gathering & job.promised.keys())
            many = sum(place.kept for place in job.places.values()) if kept else 0
            found.append(
                Work(job.index, self.pair(job), job.at_ms, share, running, tasks, many, late)
            )
        return found

    def keep(self) -> None:
        """Mark the running tasks that nothing may stop for others."""
        self.tell()
        now = self.world.now()
        if now < self.keep_at or not (self.shares.overload or self.keeping):
            return
        self.keep_at = now + KEEP_S
        self.keeping = self.shares.overload
        shards = [w.shard for w in self.writers.values() if w.shard.loaded]
        kept: dict[int, int] = {}
        if self.shares.overload:
            jobs = [j for shard in shards for j in shard.jobs.values() if j.places]
            kept = floors.kept(self.works(jobs, True), self.part)
        for shard in shards:
            for job in shard.jobs.values():
                if not job.places:
                    continue
                tasks = kept.get(job.index, 0)
                for n, task in enumerate(sorted(job.places)):
                    place = job.places[task]
                    if place.kept != (n < tasks):
                        place.kept = n < tasks
                        shard.relist(job, task)

    def first(self, jobs: Sequence[Job]) -> list[tuple[Job, int]]:
        """Of the jobs of a plan, in its order: those that go before all others, and with how
        many tasks."""
        below = self._below() if self.shares.overload else set()
        planned = {job.index: job for job in jobs if self._named(self.pair(job)) in below}
        if not planned:
            return []
        others = [
            job
            for writer in self.writers.values()
            for job in writer.shard.jobs.values()
            if job.places and job.index not in planned and self._named(self.pair(job)) in below
        ]
        found = floors.first(self.works([*planned.values(), *others]), self.part)
        # A job that waited when the last plan ended may have nothing left that waits.
        return [(planned[index], tasks) for index, tasks in found if index in planned]

    def _below(self) -> set[Pair]:
        """Pairs that ran less than our part of their floors when our parts were last told: only
        their jobs are looked at one by one."""
        running: dict[Pair, float] = {}
        for shard in self.writers:
            part = self.picture.parts.get(shard)
            for pair, load in part.loads.items() if part is not None else ():
                share = dominant(load.running, self.shares.capacity)
                running[pair] = running.get(pair, 0.0) + share
        return {pair for pair, share in running.items() if share < self.part(pair)}

    def _named(self, pair: Pair) -> Pair:
        return pair if pair in self.shares.floors else (pair[0], "")

    def waited(self, waiting: Iterable[tuple[Job, int]]) -> None:
        """A plan is over: these jobs' tasks found no machine."""
        now, any_ = self.world.now(), False
        for wait in self.waits.values():
            wait.tasks = 0
        for job, tasks in waiting:
            had, wait_of = job.used() + job.finished, self.waits.get(job.index)
            if wait_of is None or had > wait_of.most:
                # Work that is started and stopped again and again gets no further.
                wait_of = self.waits[job.index] = Waits(now, had)
            wait_of.tasks, wait_of.at, any_ = tasks, now, True
            if now - wait_of.since >= self.settings.patience_s:
                self.pressed_at = now
        self._forget(now)
        if any_ and self.shares.overload and now - self.pressed_at < HOLD_S:
            # What is kept for those below their floor ends their long waits, not the overload.
            self.pressed_at = now

    def idle(self) -> None:
        for wait in self.waits.values():
            wait.tasks = 0
        self._forget(self.world.now())

    def _forget(self, now: float) -> None:
        """A job that ran on for long enough waits anew when it is stopped."""
        patience_s = self.settings.patience_s
        self.waits = {job: w for job, w in self.waits.items() if now - w.at < patience_s}

    def lines(self) -> list[str]:
        shares = self.shares
        if not shares.overload:
            return []
        own = {pair: self.part(pair) for pair in shares.floors}
        told = ", ".join(
            f"{self._team(pair[0])}/{pair[1] or 'others'} {floor:.3f} of all, {own[pair]:.3f} here"
            for pair, floor in sorted(shares.floors.items())
        )
        return [f"overload: floors {told}; by {shares.marks}"]

    def _team(self, team: int) -> str:
        teams = self.world.settings.settings.teams
        return teams[team].name if team < len(teams) else str(team)


def _size(amounts: Sequence[float]) -> tuple[float, float, float]:
    """What a peer sent as a size; nothing where it is none."""
    if len(amounts) != 3 or not all(0 <= a < 1e12 for a in amounts):
        return 0.0, 0.0, 0.0
    return amounts[0], amounts[1], amounts[2]

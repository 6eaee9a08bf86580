"""A plain world of several whole controllers under overload, in simulated time, seeded.

The controllers are real `Node`s; their sockets are replaced. Workers run tasks by PROTOCOL with
given sizes and run times, the state service is the model's. Links between controllers can be
cut, greetings lost or late, controllers crash and their shards are taken over.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from starlingdeck.cluster.membership import ShardOwner
from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_job, shard_of_machine
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job import new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import OverloadSettings, Team, Tuning
from starlingdeck.storage import records
from starlingdeck.storage.state import put_change
from tests.support.builders import Clock, make_world, spec
from tests.support.reference_model import PlainClient, PlainState, on_the_wire

TICK_S = 0.25
REPORT_S = 1.0
GREET_S = 0.5
TAKEOVER_S = 3.0  # after a crash


Events = dict[float, Callable[["Flood"], None]]


@dataclass
class Run:
    attempt: int
    size: float
    ends_at: float
    state: str = "running"
    why: str | None = None


@dataclass
class Worker:
    name: str
    kind: str
    cpus: float
    flood: "Flood"
    session: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[str, Run] = field(default_factory=dict)

    def report(self) -> api.Report:
        self.seq += 1
        tasks = [api.ReportTask(n, r.attempt, r.state, r.why) for n, r in self.tasks.items()]
        return api.Report(
            self.name, f"w:{self.name}", self.kind, "a", self.session, self.seq, self.token,
            False, None, tasks,
        )  # fmt: skip

    def run(self, now: float) -> bool:
        ended = [r for r in self.tasks.values() if r.state == "running" and r.ends_at <= now]
        for name in self.tasks:
            one = self.tasks[name]
            if one in ended:
                one.state, one.why = "exited", "done"
                job = self.flood.specs[name.split("/")[0]]
                self.flood.goodput[job.cls] += job.cpus * job.estimate_s
        return bool(ended)

    def execute(self, orders: list[api.Command], now: float) -> None:
        for order in orders:
            old = self.tasks.get(order.task)
            if order.op == api.START and (old is None or old.attempt != order.attempt):
                job = self.flood.specs[order.task.split("/")[0]]
                used = sum(r.size for r in self.tasks.values() if r.state == "running")
                full = used + job.cpus > self.cpus + 1e-9
                self.flood.began(order.task, self, full)
                run = Run(order.attempt, job.cpus, now + job.estimate_s)
                if full:
                    run.state, run.why = "exited", "full"
                self.tasks[order.task] = run
            elif old is not None and old.attempt == order.attempt:
                if order.op == api.STOP and old.state == "running":
                    old.state, old.why = "exited", "halted"
                    self.flood.stopped[self.flood.specs[order.task.split("/")[0]].cls] += 1
                elif order.op == api.REAP and old.state == "exited":
                    del self.tasks[order.task]


class Flood:
    """`arrivals(second, rng)` yields descriptions to submit; `nodes` controllers; `overload` off
    with None. `lost` is the share of greetings that never come."""

    def __init__(
        self,
        seed: int,
        arrivals: Callable[[int, random.Random], list[api.JobSpec]],
        overload: OverloadSettings | None,
        nodes: int = 3,
        small: int = 12,
        big: int = 4,
        lost: float = 0.0,
        teams: list[Team] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.arrivals = arrivals
        self.lost = lost
        self.teams = teams or [Team("red"), Team("blue")]
        self.tuning = Tuning(overload=overload)
        self.zones = ("a",) * nodes
        self.state = PlainState(self.rng)
        self.specs: dict[str, api.JobSpec] = {}
        self.at: dict[str, float] = {}
        self.started: dict[str, float] = {}  # job -> when its first task began
        self.stopped: dict[str, int] = dict.fromkeys(("low", "high", "svc"), 0)
        self.goodput: dict[str, float] = dict.fromkeys(("low", "high", "svc"), 0.0)  # cpu-seconds
        self.cuts: set[tuple[int, int]] = set()
        self.down: dict[int, float] = {}  # node -> when it crashed
        self.mail: list[tuple[float, int, pb.Envelope]] = []
        self.nodes = [self.fresh(i) for i in range(nodes)]
        self.workers = [Worker(f"vm-{i}", "small", 4.0, self) for i in range(small)]
        self.workers += [Worker(f"vm-{small + i}", "big", 16.0, self) for i in range(big)]
        self.token = 10

    def fresh(self, number: int) -> Controller:
        context = make_world(self.clock, self.rng.getrandbits(32), self.zones, number)
        deployment = msgspec.structs.replace(context.settings.settings, teams=self.teams)
        context.settings = msgspec.structs.replace(context.settings, settings=deployment)
        context.tuning = self.tuning
        context.team_names = type(context.team_names)()
        for team in self.teams:
            context.team_names.intern(team.name)
        node = Controller(context)
        node.state = PlainClient(self.state, 0.0)  # type: ignore[assignment]
        node.membership.live_nodes = dict.fromkeys(range(len(self.zones)), 0.0)
        node.peers.started_at = self.clock.at

        async def call(to: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            if not self.linked(number, to):
                raise PeerUnavailableError("cut")
            envelope.sender = number
            return await self.nodes[to].on_message(envelope) or pb.Envelope()

        async def post(to: int, envelope: pb.Envelope) -> None:
            if self.linked(number, to):
                self.mail.append((self.clock.at, to, on_the_wire(envelope, number)))

        async def do(
            machines: MachineShard, machine: Machine | None, _: str, orders: api.Commands
        ) -> None:
            if machine is None:
                return
            worker = next(w for w in self.workers if w.name == machine.name)
            worker.token = max(worker.token, orders.token)
            worker.execute(orders.commands, self.clock.at)
            machine.command_in_flight = False
            machines.apply_report(worker.report(), False)

        node.peers.call = call  # type: ignore[method-assign, assignment]
        node.peers.enqueue = post  # type: ignore[method-assign, assignment]
        node.worker_caller.send_commands = do  # type: ignore[method-assign, assignment]
        return node

    def linked(self, one: int, other: int) -> bool:
        dead = one in self.down or other in self.down
        return not dead and (min(one, other), max(one, other)) not in self.cuts

    def began(self, task: str, worker: Worker, full: bool) -> None:
        job = task.split("/", maxsplit=1)[0]
        if full:
            return
        for other in self.workers:
            run = other.tasks.get(task)
            assert other is worker or run is None or run.state == "exited", f"{task} ran twice"
        self.started.setdefault(job, self.clock.at)

    # --- who holds what

    def hold(self, shard: int, number: int) -> None:
        node = self.nodes[number]
        self.token += 1
        owner = ShardOwner(number, self.token, self.token)
        key = records.shard_key(shard)
        self.state.keys[key] = (msgspec.json.encode(records.ShardValue(0, self.token)), self.token)
        jobs = JobShard(node.context, shard, self.token, self.token)
        node.writers[shard] = RecordWriter(node.context, node.state, jobs)
        node.machines[shard] = MachineShard(node.context, shard, self.token, self.token, 0.0)
        for one in self.nodes:
            one.membership.owners[shard] = owner

    def crash(self, number: int) -> None:
        """Its memory is gone; the next controller takes its shards over after a while."""
        self.down[number] = self.clock.at
        self.nodes[number].writers.clear()
        self.nodes[number].machines.clear()
        for node in self.nodes:
            node.membership.live_nodes.pop(number, None)

    # --- the run

    def play(
        self, seconds: float, events: dict[float, Callable[["Flood"], None]] | None = None
    ) -> None:
        curio.run(self._play, seconds, dict(events or {}))

    async def _play(self, seconds: float, events: dict[float, Callable[["Flood"], None]]) -> None:
        for shard in range(len(self.nodes)):
            self.hold(shard, shard)
            await self.nodes[shard].writers[shard].load()
        begin = self.clock.at
        ticks = int(seconds / TICK_S)
        for tick in range(ticks):
            self.clock.at = begin + tick * TICK_S
            for at in [at for at in events if begin + at <= self.clock.at]:
                events.pop(at)(self)
            if tick % int(1 / TICK_S) == 0:
                for body in self.arrivals(int(tick * TICK_S), self.rng):
                    self.submit(body)
            await self.take_over()
            self.work(tick)
            await self.deliver(tick)
            for number, node in enumerate(self.nodes):
                if number not in self.down:
                    await self.serve(number, node)

    async def take_over(self) -> None:
        for number, at in self.down.items():
            heir = next(i for i in range(len(self.nodes)) if i not in self.down)
            owners = self.nodes[heir].membership.owners
            if owners[number].node == number and self.clock.at - at > TAKEOVER_S:
                self.hold(number, heir)
                await self.nodes[heir].writers[number].load()

    def submit(self, body: api.JobSpec) -> None:
        shard = shard_of_job(body.id, len(self.nodes))
        for node in self.nodes:
            writer = node.writers.get(shard)
            if writer is None:
                continue
            now_ms = self.clock.wall_ms()
            job = new_job(node.context, body, shard, now_ms)
            record = records.JobRecord(body, now_ms)
            self.state.apply({}, [put_change(records.job_key(shard, body.id), record)])
            job.key_versions[0] = self.state.epoch
            writer.shard.jobs[job.index] = job
            self.specs[body.id], self.at[body.id] = body, self.clock.at

    def work(self, tick: int) -> None:
        for n, worker in enumerate(self.workers):
            ended = worker.run(self.clock.at)
            if not ended and (tick + n) % int(REPORT_S / TICK_S):
                continue
            shard = shard_of_machine(worker.name, "a", self.zones)
            for node in self.nodes:
                machines = node.machines.get(shard)
                if machines is not None:
                    worker.token = max(worker.token, machines.token)
                    machine = machines.apply_report(worker.report(), True)
                    worker.execute(machines.pending_commands(machine, True), self.clock.at)

    async def deliver(self, tick: int) -> None:
        if tick % int(GREET_S / TICK_S) == 0:
            for number, node in enumerate(self.nodes):
                for to in range(len(self.nodes)):
                    if to != number and self.linked(number, to) and self.rng.random() >= self.lost:
                        late = 5.0 if self.rng.random() < self.lost else 0.0
                        gossip = pb.Envelope(sender=number, gossip=node.build_gossip())
                        self.mail.append((self.clock.at + late, to, gossip))
        due = [m for m in self.mail if m[0] <= self.clock.at]
        self.mail = [m for m in self.mail if m[0] > self.clock.at]
        for _, to, envelope in due:
            if to not in self.down and self.linked(envelope.sender, to):
                again = await self.nodes[to].on_message(envelope)
                if again is not None and again.HasField("resync_request"):
                    self.nodes[envelope.sender].on_resync_request(to, again.resync_request.shard)

    async def serve(self, number: int, node: Controller) -> None:
        node.membership.lease.lease_id, node.membership.lease.renewed_at = 1, self.clock.at
        for other in range(len(self.nodes)):
            if other == number:
                continue
            if self.linked(number, other):
                node.peers.links.setdefault(other, Any)  # type: ignore[arg-type]
                node.peers.last_heard_at[other] = self.clock.at
            else:
                node.peers.links.pop(other, None)
        await node.reconcile()
        await node.planner.run_cycle()
        for _ in range(3):
            await curio.sleep(0)
        for writer in node.writers.values():
            while await writer.flush():
                pass

    # --- what came of it

    def served(self, cls: str, until: float = 1e9) -> tuple[int, int]:
        """Jobs of a class of which a task has begun, and all of them."""
        names = [n for n, s in self.specs.items() if s.cls == cls and self.at[n] < until]
        return sum(n in self.started for n in names), len(names)


def array(
    number: int, cls: str, rank: str, team: str, tasks: int, cpus: float, run_s: float
) -> api.JobSpec:
    return spec(
        f"j-{number:06d}", flock=cls, rank=rank, crew=team, chores=tasks, cores=cpus,
        ram_gb=cpus, guess_s=run_s, image_gb=0.1,
    )  # fmt: skip

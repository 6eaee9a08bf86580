"""Simulated cluster under overload: real controllers in simulated time, reproducible by seed.

The controllers are `Controller` objects with their sockets replaced. Workers run tasks of given
sizes and run times as PROTOCOL prescribes; the state service is the reference model's. Controllers
can be partitioned from each other and can crash, after which their shards fail over; gossip can be
lost or delayed.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

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
from tests.support.builders import Clock, make_context, spec
from tests.support.reference_model import FakeStateClient, FakeStateService, serialized_copy

TICK_S = 0.25
REPORT_INTERVAL_S = 1.0
GOSSIP_INTERVAL_S = 0.5
SMALL_MACHINES = 12  # of 4 cores
BIG_MACHINES = 4  # of 16 cores
TAKEOVER_DELAY_S = 3.0  # from a crash to the failover

# Seconds since the start of a run -> what is done then.
Events = dict[float, Callable[["OverloadCluster"], None]]


@dataclass
class RunningTask:
    """A task on a machine; `ends_at` is in simulated seconds."""

    attempt: int
    cpus: float
    ends_at: float
    state: str = "running"
    exit_reason: str | None = None


@dataclass
class SimulatedWorker:
    """A worker that starts the tasks that fit its cores, and runs each for its estimated time."""

    name: str
    machine_type: str
    cpus: float
    cluster: "OverloadCluster"
    session: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[str, RunningTask] = field(default_factory=dict)

    def report(self) -> api.Report:
        """Return the next report."""
        self.seq += 1
        tasks = [
            api.ReportTask(n, r.attempt, r.state, r.exit_reason) for n, r in self.tasks.items()
        ]
        return api.Report(
            self.name, f"w:{self.name}", self.machine_type, "a", self.session, self.seq, self.token,
            False, None, tasks,
        )  # fmt: skip

    def run(self, now: float) -> bool:
        """End the tasks whose run time has passed. Return whether there were any."""
        ended = [r for r in self.tasks.values() if r.state == "running" and r.ends_at <= now]
        for name in self.tasks:
            task = self.tasks[name]
            if task in ended:
                task.state, task.exit_reason = "exited", "done"
                job = self.cluster.specs[name.split("/")[0]]
                self.cluster.goodput[job.cls] += job.cpus * job.estimate_s
        return bool(ended)

    def execute(self, commands: list[api.Command], now: float) -> None:
        """Execute start, stop and reap commands."""
        for command in commands:
            task = self.tasks.get(command.task)
            if command.op == api.START and (task is None or task.attempt != command.attempt):
                job = self.cluster.specs[command.task.split("/")[0]]
                used = sum(r.cpus for r in self.tasks.values() if r.state == "running")
                full = used + job.cpus > self.cpus + 1e-9
                self.cluster.on_task_started(command.task, self, full)
                started = RunningTask(command.attempt, job.cpus, now + job.estimate_s)
                if full:
                    started.state, started.exit_reason = "exited", "full"
                self.tasks[command.task] = started
            elif task is not None and task.attempt == command.attempt:
                if command.op == api.STOP and task.state == "running":
                    task.state, task.exit_reason = "exited", "halted"
                    self.cluster.stopped[self.cluster.specs[command.task.split("/")[0]].cls] += 1
                elif command.op == api.REAP and task.state == "exited":
                    del self.tasks[command.task]


class OverloadCluster:
    """Controllers and workers under load.

    `arrivals(second, rng)` returns the jobs to submit in that second. With `overload` None there
    are no minimum shares. The share `gossip_loss_share` of the gossip messages is lost, and the
    same share of the others is delayed by 5 s.
    """

    def __init__(
        self,
        seed: int,
        arrivals: Callable[[int, random.Random], list[api.JobSpec]],
        overload: OverloadSettings | None,
        controllers: int = 3,
        gossip_loss_share: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.arrivals = arrivals
        self.gossip_loss_share = gossip_loss_share
        self.teams = [Team("red"), Team("blue")]
        self.tuning = Tuning(overload=overload)
        self.zones = ("a",) * controllers
        self.state = FakeStateService(self.rng)
        self.specs: dict[str, api.JobSpec] = {}
        self.submitted_at: dict[str, float] = {}
        self.started: dict[str, float] = {}  # job -> when its first task started
        # By class: running tasks stopped by command, and cpu-seconds of the tasks that were done.
        self.stopped: dict[str, int] = dict.fromkeys(("low", "high", "svc"), 0)
        self.goodput: dict[str, float] = dict.fromkeys(("low", "high", "svc"), 0.0)
        self.partitions: set[tuple[int, int]] = set()
        self.down: dict[int, float] = {}  # controller -> when it crashed
        self.messages: list[tuple[float, int, pb.Envelope]] = []
        self.controllers = [self.make_controller(i) for i in range(controllers)]
        self.workers = [
            SimulatedWorker(f"vm-{i}", "small", 4.0, self) for i in range(SMALL_MACHINES)
        ]
        self.workers += [
            SimulatedWorker(f"vm-{SMALL_MACHINES + i}", "big", 16.0, self)
            for i in range(BIG_MACHINES)
        ]
        self.token = 10

    def make_controller(self, number: int) -> Controller:
        """Return a controller whose sockets are replaced by the simulated network."""
        context = make_context(self.clock, self.rng.getrandbits(32), self.zones, number)
        deployment = msgspec.structs.replace(context.settings.settings, teams=self.teams)
        context.settings = msgspec.structs.replace(context.settings, settings=deployment)
        context.tuning = self.tuning
        context.team_names = type(context.team_names)()
        for team in self.teams:
            context.team_names.intern(team.name)
        controller = Controller(context)
        controller.state = FakeStateClient(self.state, 0.0)  # type: ignore[assignment]
        controller.membership.live_nodes = dict.fromkeys(range(len(self.zones)), 0.0)
        controller.peers.started_at = self.clock.at

        # Replaces Peers.call, hence the unused timeout.
        async def call_peer(to: int, envelope: pb.Envelope, _timeout_s: float) -> pb.Envelope:
            if not self.is_connected(number, to):
                raise PeerUnavailableError("partitioned")
            envelope.sender = number
            return await self.controllers[to].on_message(envelope) or pb.Envelope()

        async def enqueue(to: int, envelope: pb.Envelope) -> None:
            if self.is_connected(number, to):
                self.messages.append((self.clock.at, to, serialized_copy(envelope, number)))

        async def send_commands(
            machines: MachineShard, machine: Machine | None, _: str, commands: api.Commands
        ) -> None:
            if machine is None:
                return
            worker = next(w for w in self.workers if w.name == machine.name)
            worker.token = max(worker.token, commands.token)
            worker.execute(commands.commands, self.clock.at)
            machine.command_in_flight = False
            machines.apply_report(worker.report(), False)

        controller.peers.call = call_peer  # type: ignore[method-assign, assignment]
        controller.peers.enqueue = enqueue  # type: ignore[method-assign, assignment]
        controller.worker_caller.send_commands = send_commands  # type: ignore[method-assign, assignment]
        return controller

    def is_connected(self, one: int, other: int) -> bool:
        """Return whether both controllers run and no partition separates them."""
        any_down = one in self.down or other in self.down
        return not any_down and (min(one, other), max(one, other)) not in self.partitions

    def on_task_started(self, task: str, worker: SimulatedWorker, full: bool) -> None:
        """Check that no other machine runs the task, and record when its job started."""
        job = task.split("/", maxsplit=1)[0]
        if full:
            return
        for other in self.workers:
            found = other.tasks.get(task)
            assert other is worker or found is None or found.state == "exited", f"{task} ran twice"
        self.started.setdefault(job, self.clock.at)

    # --- ownership

    def assign_shard(self, shard: int, number: int) -> None:
        """Make a controller the owner of a shard, under a new token."""
        controller = self.controllers[number]
        self.token += 1
        owner = ShardOwner(number, self.token, self.token)
        key = records.shard_key(shard)
        self.state.keys[key] = (msgspec.json.encode(records.ShardValue(0, self.token)), self.token)
        jobs = JobShard(controller.context, shard, self.token, self.token)
        controller.writers[shard] = RecordWriter(controller.context, controller.state, jobs)
        controller.machines[shard] = MachineShard(
            controller.context, shard, self.token, self.token, 0.0
        )
        for informed in self.controllers:
            informed.membership.owners[shard] = owner

    def crash(self, number: int) -> None:
        """Clear a controller's memory; its shards fail over after `TAKEOVER_DELAY_S`."""
        self.down[number] = self.clock.at
        self.controllers[number].writers.clear()
        self.controllers[number].machines.clear()
        for controller in self.controllers:
            controller.membership.live_nodes.pop(number, None)

    # --- the run

    def run(
        self, seconds: float, events: dict[float, Callable[["OverloadCluster"], None]] | None = None
    ) -> None:
        """Run the simulation. `events` maps seconds since its start to what is called then."""
        curio.run(self._run, seconds, dict(events or {}))

    async def _run(
        self, seconds: float, events: dict[float, Callable[["OverloadCluster"], None]]
    ) -> None:
        for shard in range(len(self.controllers)):
            self.assign_shard(shard, shard)
            await self.controllers[shard].writers[shard].load()
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
            for number, controller in enumerate(self.controllers):
                if number not in self.down:
                    await self.run_controller(number, controller)

    async def take_over(self) -> None:
        """Assign the shards of crashed controllers to the first running one after the delay."""
        for number, at in self.down.items():
            successor = next(i for i in range(len(self.controllers)) if i not in self.down)
            owners = self.controllers[successor].membership.owners
            if owners[number].node == number and self.clock.at - at > TAKEOVER_DELAY_S:
                self.assign_shard(number, successor)
                await self.controllers[successor].writers[number].load()

    def submit(self, body: api.JobSpec) -> None:
        """Store a job and hand it to its shard's owner."""
        shard = shard_of_job(body.id, len(self.controllers))
        for controller in self.controllers:
            writer = controller.writers.get(shard)
            if writer is None:
                continue
            now_ms = self.clock.wall_ms()
            job = new_job(controller.context, body, shard, now_ms)
            record = records.JobRecord(body, now_ms)
            self.state.apply({}, [put_change(records.job_key(shard, body.id), record)])
            job.key_versions[0] = self.state.revision
            writer.shard.jobs[job.index] = job
            self.specs[body.id], self.submitted_at[body.id] = body, self.clock.at

    def work(self, tick: int) -> None:
        """Run the workers; each reports every `REPORT_INTERVAL_S`, and when a task ends."""
        for n, worker in enumerate(self.workers):
            ended = worker.run(self.clock.at)
            if not ended and (tick + n) % int(REPORT_INTERVAL_S / TICK_S):
                continue
            shard = shard_of_machine(worker.name, "a", self.zones)
            for controller in self.controllers:
                machines = controller.machines.get(shard)
                if machines is not None:
                    worker.token = max(worker.token, machines.token)
                    machine = machines.apply_report(worker.report(), True)
                    worker.execute(machines.pending_commands(machine, True), self.clock.at)

    async def deliver(self, tick: int) -> None:
        """Send gossip, and deliver the messages that are due."""
        if tick % int(GOSSIP_INTERVAL_S / TICK_S) == 0:
            for number, controller in enumerate(self.controllers):
                for to in range(len(self.controllers)):
                    if (
                        to != number
                        and self.is_connected(number, to)
                        and self.rng.random() >= self.gossip_loss_share
                    ):
                        delay_s = 5.0 if self.rng.random() < self.gossip_loss_share else 0.0
                        gossip = pb.Envelope(sender=number, gossip=controller.build_gossip())
                        self.messages.append((self.clock.at + delay_s, to, gossip))
        due = [m for m in self.messages if m[0] <= self.clock.at]
        self.messages = [m for m in self.messages if m[0] > self.clock.at]
        for _, to, envelope in due:
            if to not in self.down and self.is_connected(envelope.sender, to):
                reply = await self.controllers[to].on_message(envelope)
                if reply is not None and reply.HasField("resync_request"):
                    self.controllers[envelope.sender].on_resync_request(
                        to, reply.resync_request.shard
                    )

    async def run_controller(self, number: int, controller: Controller) -> None:
        """Run a controller's cycle, then flush its writers until nothing is left to write."""
        controller.membership.lease.lease_id, controller.membership.lease.renewed_at = (
            1,
            self.clock.at,
        )
        for other in range(len(self.controllers)):
            if other == number:
                continue
            if self.is_connected(number, other):
                controller.peers.links.setdefault(other, Any)  # type: ignore[arg-type]
                controller.peers.last_heard_at[other] = self.clock.at
            else:
                controller.peers.links.pop(other, None)
        await controller.reconcile()
        await controller.planner.run_cycle()
        for _ in range(3):
            await curio.sleep(0)
        for writer in controller.writers.values():
            while await writer.flush():
                pass

    # --- results

    def started_and_total(self, cls: str, until: float = 1e9) -> tuple[int, int]:
        """Return how many jobs of a class have started a task, and how many there are.

        Only jobs submitted before `until`, in simulated seconds, are counted.
        """
        names = [n for n, s in self.specs.items() if s.cls == cls and self.submitted_at[n] < until]
        return sum(n in self.started for n in names), len(names)


class JobClass(NamedTuple):
    """A job's class, rank and team, which decide its objectives, preemption and quota."""

    name: str
    rank: str
    team: str


def array(number: int, cls: JobClass, tasks: int, cpus: float, run_s: float) -> api.JobSpec:
    """Return a job array of this class whose estimated run time is `run_s`."""
    return spec(
        f"j-{number:06d}", flock=cls.name, rank=cls.rank, crew=cls.team, chores=tasks,
        cores=cpus, ram_gb=cpus, guess_s=run_s, image_gb=0.1,
    )  # fmt: skip

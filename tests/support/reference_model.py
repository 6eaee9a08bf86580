"""A plain model of the world around the controllers, and the rules it must keep.

Stand-ins for workers and the state service follow PROTOCOL word by word; messages are
lost, held back and delivered late. The controllers' parts are the real ones.
"""

import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from starlingdeck.cluster.sharding import shard_of_job, shard_of_machine
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.desired_state import job_message
from starlingdeck.jobs.job import Job, TaskPlacement, new_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot, apply_snapshot_message
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateError,
    TransactionConflictError,
    put_change,
)
from tests.support.builders import Clock, make_world, spec

LEASE_S = 10.0
TTL_S = 4.0
CANCEL_S = 40.0


class Broken(AssertionError):
    """A rule was broken."""


def at_once(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never has to wait."""
    try:
        coro.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("it waited")


def on_the_wire(envelope: pb.Envelope, sender: int) -> pb.Envelope:
    """A message as it leaves: what its sender changes later doesn't change it."""
    copy = pb.Envelope.FromString(envelope.SerializeToString())
    copy.sender = sender
    return copy


class PlainState:
    """The state service: keys, stamps, and transactions whose answers may get lost."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.keys: dict[str, tuple[bytes, int]] = {}
        self.epoch = 1
        self.late: list[tuple[dict[str, int], list[api.Change]]] = []

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        failed = [k for k, v in conditions.items() if self.keys.get(k, (b"", 0))[1] != v]
        if not failed:
            self.epoch += 1
            for change in changes:
                if change.put is not None:
                    self.keys[change.put] = (msgspec.json.encode(change.value), self.epoch)
                else:
                    self.keys.pop(change.delete or "", None)
        return failed


class PlainClient:
    """What a node uses of the state service. `trouble` says how often a call goes wrong."""

    def __init__(self, state: PlainState, trouble: float) -> None:
        self.state = state
        self.trouble = trouble
        self.cut = False

    def writable(self, urgent: bool) -> tuple[int, float]:
        return 1000, 0.0

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        if self.cut:
            raise StateError("503")
        changes = [
            api.Change(c.put, msgspec.Raw(msgspec.json.encode(c.value)), None, c.delete)
            for c in changes
        ]
        luck = self.state.rng.random()
        if luck < self.trouble / 2:
            self.state.late.append((dict(conditions), changes))
            raise OutcomeUnknownError("no answer")
        failed = self.state.apply(conditions, changes)
        if luck < self.trouble:
            raise OutcomeUnknownError("no answer")
        if failed:
            raise TransactionConflictError(failed)
        return self.state.epoch

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        if self.cut:
            raise StateError("503")
        found = self.state.keys.get(key)
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        if self.cut:
            raise StateError("503")
        found = [
            api.Entry(k, msgspec.Raw(v), stamp)
            for k, (v, stamp) in sorted(self.state.keys.items())
            if k.startswith(prefix)
        ]
        return found, self.state.epoch


@dataclass
class PlainTask:
    attempt: int
    state: str = "fetching"
    why: str | None = None


@dataclass
class PlainWorker:
    """A worker by PROTOCOL. `model.begins` is told of every start."""

    name: str
    zone: str
    model: "Model"
    session: int = 1
    seq: int = 0
    token: int = 0
    slots: int = 2
    answered: float = 0.0
    tasks: dict[str, PlainTask] = field(default_factory=dict)
    completed: set[str] = field(default_factory=set)
    deaf: bool = False  # its reports arrive, and nothing reaches it

    def reborn(self, now: float) -> None:
        """Back at once, and counting from the beginning."""
        self.tasks.clear()
        self.session, self.seq, self.token, self.answered = 1, 0, 0, now

    def expire(self, now: float) -> None:
        if now - self.answered > LEASE_S:
            self.tasks.clear()
            self.session += 1
            self.answered = now

    def report(self) -> api.Report:
        self.seq += 1
        tasks = [api.ReportTask(name, t.attempt, t.state, t.why) for name, t in self.tasks.items()]
        return api.Report(
            self.name, f"w:{self.name}", "small", self.zone, self.session, self.seq, self.token,
            False, None, tasks,
        )  # fmt: skip

    def answer(self, reply: api.ReportReply, session: int, sent: float) -> None:
        if session != self.session or reply.token < self.token:
            return
        self.token = max(self.token, reply.token)
        self.answered = max(self.answered, sent)
        for command in reply.commands:
            self.execute(command)

    def do(self, orders: api.Commands) -> tuple[int, api.Report]:
        if orders.token < self.token or orders.session != self.session:
            return 409, self.report()
        self.token = orders.token
        for command in orders.commands:
            self.execute(command)
        return 200, self.report()

    def execute(self, command: api.Command) -> None:
        task = self.tasks.get(command.task)
        if command.op == api.START:
            if task is not None and task.attempt == command.attempt:
                return
            if task is not None and task.state != "exited":
                return
            live = sum(t.state != "exited" for t in self.tasks.values())
            full = live >= self.slots
            self.tasks[command.task] = PlainTask(
                command.attempt, "exited" if full else "fetching", "full" if full else None
            )
            self.model.launched(command.task)
        elif task is None or task.attempt != command.attempt:
            return
        elif command.op == api.STOP and task.state != "exited":
            task.state, task.why = "exited", "halted"
        elif command.op == api.REAP and task.state == "exited":
            del self.tasks[command.task]

    def progress(self, rng: random.Random) -> None:
        for name, task in self.tasks.items():
            if task.state == "fetching" and rng.random() < 0.5:
                task.state = "running"
                self.model.begins(self, name)
                if name in self.completed:
                    task.state, task.why = "exited", "done"
            elif task.state == "running" and rng.random() < 0.15:
                task.state = "exited"
                task.why = "done" if rng.random() < 0.7 else "error"
                if task.why == "done":
                    self.completed.add(name)
                    self.model.finished.add(name)


@dataclass
class PlainNode:
    """A controller's memory; a crash replaces it."""

    number: int
    world: ControllerContext
    client: PlainClient
    renewed: float = -1e9
    jobs: dict[int, RecordWriter] = field(default_factory=dict)
    machines: dict[int, MachineShard] = field(default_factory=dict)
    sights: dict[int, ShardSnapshot] = field(default_factory=dict)
    gens: dict[int, int] = field(default_factory=dict)

    def valid(self) -> bool:
        return self.world.now() < self.renewed + TTL_S / 1.002 - 0.2

    def keeps_workers(self) -> bool:
        return self.world.now() < self.renewed + max(TTL_S, self.world.outage_renewal_s)


class Model:
    """Two controllers, their machines, and everything that can go wrong between them."""

    def __init__(self, seed: int, trouble: float) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.trouble = trouble
        self.state = PlainState(self.rng)
        self.zones = ("a", "a")
        self.nodes = [self.fresh(i) for i in range(2)]
        self.workers = {
            f"vm-{i}": PlainWorker(f"vm-{i}", "a", self, answered=self.clock.at) for i in range(4)
        }
        self.mail: list[tuple[int, pb.Envelope]] = []
        self.orders: list[
            tuple[str, api.Commands, MachineShard | None, tuple[int, int] | None]
        ] = []
        self.late_reports: list[api.Report] = []
        self.cancelled: dict[str, float] = {}
        self.asked: set[str] = set()  # to be cancelled; their users may not have been told
        self.finished: set[str] = set()
        self.told_done: set[str] = set()
        self.accepted: dict[str, int] = {}
        self.starts = 0
        self.holder: dict[int, tuple[int, float]] = {}

    def fresh(self, number: int) -> PlainNode:
        context = make_world(self.clock, self.rng.random().__hash__(), self.zones, number)
        return PlainNode(number, context, PlainClient(self.state, self.trouble))

    # --- the rules

    def launched(self, name: str) -> None:
        job = name.split("/", maxsplit=1)[0]
        if job not in self.accepted:
            raise Broken(f"invented: {name}")

    def begins(self, worker: PlainWorker, name: str) -> None:
        self.starts += 1
        for other in self.workers.values():
            task = other.tasks.get(name)
            if other is not worker and task is not None and task.state == "running":
                raise Broken(f"ran_twice: {name} on {worker.name} and {other.name}")
        self.check_cancelled()

    def check_cancelled(self) -> None:
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                at = self.cancelled.get(name.split("/")[0])
                live = task.state != "exited"
                if at is not None and live and self.clock.at > at + CANCEL_S:
                    raise Broken(f"ran_cancelled: {name} on {worker.name}")

    def check_told(self) -> None:
        """What the records and the holders say of each accepted job."""
        for job, tasks in self.accepted.items():
            shard = shard_of_job(job, 2)
            main = self.state.keys.get(records.job_key(shard, job))
            final = self.state.keys.get(records.final_key(shard, job))
            if main is None and final is None:
                raise Broken(f"forgotten: {job}")
            if final is None:
                if job in self.told_done:
                    raise Broken(f"went_back: {job}")
                continue
            state = msgspec.json.decode(final[0], type=records.FinalRecord).state
            if state == api.CANCELLED and job not in self.asked:
                raise Broken(f"went_back: {job} was never cancelled")
            if job in self.cancelled and state != api.CANCELLED:
                raise Broken(f"went_back: {job} was cancelled")
            if state == api.DONE:
                self.told_done.add(job)
                if any(f"{job}/{i}" not in self.finished for i in range(tasks)):
                    raise Broken(f"not_done: {job}")

    def ended(self) -> set[str]:
        finals = (key for key in self.state.keys if key.startswith("f/"))
        return {key.rsplit("/", 1)[1] for key in finals}

    # --- steps

    def step(self) -> None:
        rng = self.rng
        self.clock.at += rng.choice((0.0, 0.02, 0.05, 0.05, 0.1)) if rng.random() < 0.99 else 4.0
        choice = rng.choice(
            ["report"] * 6 + ["serve"] * 6 + ["mail"] * 6 + ["write"] * 4 + ["place"] * 3
            + ["orders"] * 4 + ["late", "submit", "work", "work", "own", "own", "own"]
            + (["crash", "cut", "cancel", "deaf", "reborn"] if rng.random() < 0.1 else [])
        )  # fmt: skip
        for worker in self.workers.values():
            worker.expire(self.clock.at)
        for node in self.nodes:
            if not node.client.cut and rng.random() < 0.8:
                self.renew(node)
        getattr(self, "do_" + choice)()
        self.check_cancelled()
        self.check_told()

    def renew(self, node: PlainNode) -> None:
        """The node's lease, and with it the keys that hang on it."""
        if self.clock.at > node.renewed + TTL_S:
            for shard in [s for s, (n, _) in self.holder.items() if n == node.number]:
                self.lapse(shard)
            node.jobs.clear()
            node.machines.clear()
        node.renewed = self.clock.at

    def lapse(self, shard: int) -> None:
        del self.holder[shard]
        self.state.keys.pop(records.shard_key(shard), None)
        self.state.epoch += 1

    def do_own(self) -> None:
        node = self.rng.choice(self.nodes)
        now = self.clock.at
        if node.client.cut:
            return
        for shard in range(2):
            if shard in self.holder:
                other = self.nodes[self.holder[shard][0]]
                if now > other.renewed + TTL_S and other is not node:
                    self.lapse(shard)
            if shard in self.holder or (shard != node.number and self.rng.random() < 0.7):
                continue
            key = records.shard_key(shard)
            epoch = self.rng.getrandbits(40)
            assert not self.state.apply({key: 0}, [put_change(key, records.ShardValue(0, epoch))])
            token = self.state.epoch
            self.holder[shard] = (node.number, now)
            jobs = JobShard(node.world, shard, token, epoch)
            node.jobs[shard] = RecordWriter(node.world, node.client, jobs)  # type: ignore[arg-type]
            node.machines[shard] = MachineShard(
                node.world, shard, token, epoch, node.world.outage_renewal_s
            )
            at_once(node.jobs[shard].load())

    def do_crash(self) -> None:
        number = self.rng.randrange(2)
        old = self.nodes[number]
        node = self.nodes[number] = self.fresh(number)
        node.client.cut = old.client.cut
        # A restart drops its old shards' keys at once, as Membership does.
        for shard in [s for s, (n, _) in self.holder.items() if n == number]:
            self.lapse(shard)

    def do_cut(self) -> None:
        node = self.rng.choice(self.nodes)
        node.client.cut = not node.client.cut

    def do_deaf(self) -> None:
        worker = self.rng.choice(list(self.workers.values()))
        worker.deaf = not worker.deaf

    def do_reborn(self) -> None:
        self.rng.choice(list(self.workers.values())).reborn(self.clock.at)

    def do_submit(self) -> None:
        if len(self.accepted) >= 12:
            return
        name = f"j-{len(self.accepted):06d}"
        shard = shard_of_job(name, 2)
        body = self.body(name)
        for node in self.nodes:
            writer = node.jobs.get(shard)
            if writer is not None and node.valid() and writer.shard.loaded:
                job = new_job(node.world, body, shard, 0)
                main = records.job_key(shard, name)
                record = records.JobRecord(body, 0)
                conditions = {main: 0, records.shard_key(shard): writer.shard.token}
                if not self.state.apply(conditions, [put_change(main, record)]):
                    job.key_versions[0] = self.state.epoch
                    writer.shard.jobs[job.index] = job
                    self.accepted[name] = body.tasks

    def body(self, name: str) -> api.JobSpec:
        return spec(name, chores=self.rng.randint(1, 3), cores=2.0)

    def do_cancel(self) -> None:
        if not self.accepted:
            return
        name = self.rng.choice(sorted(self.accepted))
        for node in self.nodes:
            writer = node.jobs.get(shard_of_job(name, 2))
            if writer is None or not node.valid():
                continue
            index = node.world.job_names.find(name)
            job = writer.shard.jobs.get(index) if index is not None else None
            if job is None:
                continue
            self.asked.add(name)
            try:
                at_once(writer.cancel(job))
            except StateError:
                continue
            if (left := writer.shard.jobs.get(job.index)) is not None and left.cancelled:
                self.cancelled.setdefault(name, self.clock.at)

    def do_work(self) -> None:
        self.rng.choice(list(self.workers.values())).progress(self.rng)

    def owner(self, worker: PlainWorker) -> int:
        return shard_of_machine(worker.name, worker.zone, self.zones)

    def do_report(self) -> None:
        self.send_report(self.rng.choice(list(self.workers.values())))

    def send_report(self, worker: PlainWorker) -> None:
        sent, session = self.clock.at, worker.session
        report = worker.report()
        if self.rng.random() < 0.15:
            self.late_reports.append(report)  # a copy, from seconds to well over a lease late
        for node in self.nodes:
            if self.rng.random() < 0.2:
                self.late_reports.append(report)
                continue
            self.take(node, report, worker, sent, session)

    def take(
        self, node: PlainNode, report: api.Report, worker: PlainWorker | None, sent: float,
        session: int,
    ) -> None:  # fmt: skip
        machines = node.machines.get(shard_of_machine(report.machine, report.zone, self.zones))
        if machines is None or report.token > machines.token or not node.keeps_workers():
            return
        if machines.is_stale_report(report):
            return
        machine = machines.apply_report(report, True)
        if machines.watermark_age_s(machine) > node.world.watermark_lifetime_s:
            return
        newer = machine.position() == (report.session, report.seq)
        commands = machines.pending_commands(machine, node.valid()) if newer else []
        if worker is not None and not worker.deaf and self.rng.random() < 0.85:
            worker.answer(api.ReportReply(machines.token, commands), session, sent)

    def do_late(self) -> None:
        """Something held back arrives."""
        if self.late_reports and self.rng.random() < 0.4:
            report = self.late_reports.pop(self.rng.randrange(len(self.late_reports)))
            for node in self.nodes:
                self.take(node, report, None, 0.0, 0)
        elif self.state.late:
            self.state.apply(*self.state.late.pop(self.rng.randrange(len(self.state.late))))

    def do_serve(self) -> None:
        """A node's step: silence, reconcile, views and wants."""
        node = self.rng.choice(self.nodes)
        valid = node.valid()
        for shard, machines in node.machines.items():
            machines.expire_leases()
            machines.deschedule()
            for machine in machines.reconcile():
                orders = machines.commands_for(machine, valid)
                if orders.commands or machine.needs_probe or machine.unanswered_commands:
                    machine.command_in_flight = True
                    self.orders.append((machine.name, orders, machines, machine.position()))
            if valid and machines.needs_new_token() and not node.client.cut:
                key = records.shard_key(shard)
                change = put_change(key, records.ShardValue(0, machines.epoch))
                if not self.state.apply({key: machines.token}, [change]):
                    machines.token = node.jobs[shard].shard.token = self.state.epoch
            # The step waits for the state service here, and reports go on coming in.
            if self.rng.random() < 0.3:
                for worker in self.workers.values():
                    worker.progress(self.rng)
                    self.send_report(worker)
            # Differences get lost here, so whole ones must come often enough.
            view = machines.snapshot_update(valid)
            whole = self.rng.random() < 0.4
            message = pb.Envelope(snapshot=machines.full_snapshot(valid) if whole else view)
            self.mail += [(n, message) for n in range(2)]
        for writer in node.jobs.values():
            if not (writer.shard.loaded and valid):
                continue
            for other in self.nodes:
                for to, machines in other.machines.items():
                    # Learning who holds what may lag: sometimes an older hold is named.
                    epoch = machines.epoch if self.rng.random() < 0.9 else node.gens.get(to, 0)
                    node.gens[to] = epoch
                    seen = node.sights.get(to)
                    echo = (
                        seen.watermark_ms(node.world.now()) if seen and seen.epoch == epoch else 0
                    )
                    wants = writer.shard.desired_state_message(
                        to, epoch, self.rng.random() < 0.4, echo
                    )
                    self.mail.append((other.number, pb.Envelope(desired_state=wants)))

    def do_mail(self) -> None:
        """Deliver messages, mostly in order; some are lost, some stay for much later."""
        for _ in range(min(6, len(self.mail))):
            late = self.rng.random() < 0.2
            to, envelope = self.mail.pop(self.rng.randrange(len(self.mail)) if late else 0)
            if self.rng.random() < 0.1:
                continue
            node = self.nodes[to]
            if envelope.HasField("desired_state"):
                machines = node.machines.get(envelope.desired_state.to_shard)
                if machines is not None:
                    machines.apply_desired_state(envelope.desired_state)
            else:
                shard = envelope.snapshot.shard
                touched = apply_snapshot_message(node.world, node.sights, envelope.snapshot)
                for writer in node.jobs.values():
                    if writer.shard.loaded and touched is not None:
                        every = None if self.rng.random() < 0.2 else touched
                        writer.shard.apply_snapshot(node.sights[shard], every)
        if len(self.mail) > 60:
            del self.mail[self.rng.randrange(len(self.mail))]

    def do_orders(self) -> None:
        """A direct command arrives, gets lost, or loses its answer and may come again."""
        if not self.orders:
            return
        name, orders, machines, asked = self.orders.pop(self.rng.randrange(len(self.orders)))
        worker = self.workers[name]
        luck = self.rng.random()
        machine = None
        if machines is not None:
            machine = machines.machines.get(machines.context.machine_names.intern(name))
        if machine is not None:
            machine.command_in_flight = False
        if worker.deaf:
            if machine is not None and machines is not None:
                machines.on_command_unanswered(machine, orders, True)
            return
        if luck < 0.15:
            # Held back: the sender has given up, and it arrives later.
            self.orders.append((name, orders, None, None))
            if machine is not None and machines is not None:
                machines.on_command_unanswered(machine, orders, True)
            return
        status, report = worker.do(orders)
        if machine is None or machines is None:
            return
        if luck < 0.25:
            machines.on_command_unanswered(machine, orders, True)
            return
        taken = machines.apply_report(report, False, asked)
        if status == 409:
            machines.on_command_rejected(taken)

    def do_write(self) -> None:
        for node in self.nodes:
            for writer in node.jobs.values():
                if node.valid():
                    try:
                        at_once(writer.flush())
                    except StateError:
                        continue

    def do_place(self) -> None:
        """Reserve room for waiting tasks anywhere the node knows of."""
        for node in self.nodes:
            for writer in node.jobs.values():
                if not (writer.shard.loaded and node.valid()):
                    continue
                for job in list(writer.shard.jobs.values()):
                    for task in job.pending(self.allowed(node, job)):
                        self.reserve(node, job, task)
                    if job.pending_starts:
                        writer.shard.dirty_jobs.add(job.index)

    def allowed(self, node: PlainNode, job: Job) -> int:
        """How many of a job's tasks a plan may place."""
        return 2

    def reserve(self, node: PlainNode, job: Job, task: int) -> None:
        owners = [(n, s) for n in self.nodes for s in n.machines]
        if not owners:
            return
        other, shard = self.rng.choice(owners)
        machines = other.machines[shard]
        names = [w for w in self.workers.values() if self.owner(w) == shard]
        if not names or not other.valid():
            return
        worker = self.rng.choice(names)
        ask = pb.ReserveRequest(to_shard=shard, to_epoch=machines.epoch, job=job_message(job))
        ask.tasks.add(task=task, attempt=job.attempts[task] + 1, machine=worker.name)
        given = list(machines.reserve(ask).granted)
        if given and self.rng.random() < 0.9:
            job.pending_starts[task] = TaskPlacement(
                node.world.machine_names.intern(worker.name),
                given[0].session,
                given[0].attempt,
                shard,
                node.world.zone_names.intern(worker.zone),
            )

    def settle(self) -> None:
        """No more trouble: everything must come to its end."""
        for node in self.nodes:
            node.client.cut = False
            node.client.trouble = 0.0
        for worker in self.workers.values():
            worker.deaf = False

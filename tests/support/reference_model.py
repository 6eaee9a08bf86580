"""Reference model of the controllers' environment, and the invariants of the service.

Fakes of workers and of the state service follow PROTOCOL to the letter; messages are lost,
delayed and reordered. Job shards, machine shards and record writers are those of the service.
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
from starlingdeck.machines.machine import Machine
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
from tests.support.builders import Clock, make_context, spec
from tests.support.placement_model import Place

WORKER_LEASE_S = 10.0
CONTROLLER_LEASE_S = 4.0
CANCEL_S = 40.0  # from a cancellation until its tasks must have ended


class InvariantViolationError(AssertionError):
    """An invariant of the service is violated; the message begins with the invariant's name."""


def run_without_waiting(coro: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends, and return its result."""
    try:
        coro.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine suspended")


def serialized_copy(envelope: pb.Envelope, sender: int) -> pb.Envelope:
    """Return a copy of a message, so that the sender's later changes do not reach it."""
    copy = pb.Envelope.FromString(envelope.SerializeToString())
    copy.sender = sender
    return copy


class FakeStateService:
    """The state service: keys, key versions, and transactions whose answers may get lost."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.keys: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.delayed_transactions: list[tuple[dict[str, int], list[api.Change]]] = []

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        """Apply a transaction. Return the keys whose conditions failed."""
        failed = [k for k, v in conditions.items() if self.keys.get(k, (b"", 0))[1] != v]
        if not failed:
            self.revision += 1
            for change in changes:
                if change.put is not None:
                    self.keys[change.put] = (msgspec.json.encode(change.value), self.revision)
                else:
                    self.keys.pop(change.delete or "", None)
        return failed


class FakeStateClient:
    """A controller's client of the state service, with the signatures of `StateClient`.

    The share `failure_rate` of its transactions gets no answer: half of these are applied at once,
    the others late or never. All calls fail while `cut` is set. `urgent` has no effect.
    """

    def __init__(self, state: FakeStateService, failure_rate: float) -> None:
        self.state = state
        self.failure_rate = failure_rate
        self.cut = False

    def available_writes(self, urgent: bool) -> tuple[int, float]:
        """Return how many changes may be written now, and the seconds to wait for more."""
        return 1000, 0.0

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        """Execute a transaction and return its revision; it may be late, or its answer lost."""
        if self.cut:
            raise StateError("503")
        changes = [
            api.Change(c.put, msgspec.Raw(msgspec.json.encode(c.value)), None, c.delete)
            for c in changes
        ]
        draw = self.state.rng.random()
        if draw < self.failure_rate / 2:
            self.state.delayed_transactions.append((dict(conditions), changes))
            raise OutcomeUnknownError("no answer")
        failed = self.state.apply(conditions, changes)
        if draw < self.failure_rate:
            raise OutcomeUnknownError("no answer")
        if failed:
            raise TransactionConflictError(failed)
        return self.state.revision

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        """Return a key's entry, or None if the key does not exist."""
        if self.cut:
            raise StateError("503")
        found = self.state.keys.get(key)
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        """Return the entries under a prefix, sorted by key, and the revision that was read."""
        if self.cut:
            raise StateError("503")
        found = [
            api.Entry(k, msgspec.Raw(v), version)
            for k, (v, version) in sorted(self.state.keys.items())
            if k.startswith(prefix)
        ]
        return found, self.state.revision


@dataclass
class FakeTask:
    """A task on a machine, in the states of PROTOCOL."""

    attempt: int
    state: str = "fetching"
    exit_reason: str | None = None


@dataclass
class FakeWorker:
    """A worker as PROTOCOL prescribes. It calls `model.on_task_started` for each task it starts."""

    name: str
    zone: str
    model: "ReferenceModel"
    session: int = 1
    seq: int = 0
    token: int = 0
    slots: int = 2
    lease_renewed_at: float = 0.0
    tasks: dict[str, FakeTask] = field(default_factory=dict)
    completed: set[str] = field(default_factory=set)
    unreachable: bool = False  # one-way partition: its reports arrive, nothing reaches it
    notice_s: float | None = None  # seconds until the cloud takes the machine away, if announced
    machine_type: str = "small"
    spot: bool = False

    @property
    def place(self) -> Place:
        """What the placement fields of jobs can tell apart of the machine."""
        return Place(self.machine_type, self.zone, self.spot)

    def restart(self, now: float) -> None:
        """Restart the machine at once: tasks, session, sequence number and token are reset."""
        self.tasks.clear()
        self.session, self.seq, self.token, self.lease_renewed_at = 1, 0, 0, now

    def expire(self, now: float) -> None:
        """Stop all tasks and begin a new session if the lease has expired."""
        if now - self.lease_renewed_at > WORKER_LEASE_S:
            self.tasks.clear()
            self.session += 1
            self.lease_renewed_at = now

    def report(self) -> api.Report:
        """Return the next report, under a new sequence number."""
        self.seq += 1
        tasks = [
            api.ReportTask(name, t.attempt, t.state, t.exit_reason)
            for name, t in self.tasks.items()
        ]
        return api.Report(
            self.name, f"w:{self.name}", self.machine_type, self.zone, self.session, self.seq,
            self.token, self.spot, self.notice_s, tasks,
        )  # fmt: skip

    def handle_reply(self, reply: api.ReportReply, session: int, sent: float) -> None:
        """Renew the lease and execute the commands of a report's reply."""
        if session != self.session or reply.token < self.token:
            return
        self.token = max(self.token, reply.token)
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        for command in reply.commands:
            self.execute(command)

    def handle_commands(self, commands: api.Commands) -> tuple[int, api.Report]:
        """Execute direct commands, or refuse those of another session or an older token."""
        if commands.token < self.token or commands.session != self.session:
            return 409, self.report()
        self.token = commands.token
        for command in commands.commands:
            self.execute(command)
        return 200, self.report()

    def execute(self, command: api.Command) -> None:
        """Execute one command."""
        task = self.tasks.get(command.task)
        if command.op == api.START:
            if task is not None and task.attempt == command.attempt:
                return
            if task is not None and task.state != "exited":
                return
            live_tasks = sum(t.state != "exited" for t in self.tasks.values())
            full = live_tasks >= self.slots
            self.tasks[command.task] = FakeTask(
                command.attempt, "exited" if full else "fetching", "full" if full else None
            )
            self.model.on_task_launched(command.task)
        elif task is None or task.attempt != command.attempt:
            return
        elif command.op == api.STOP and task.state != "exited":
            task.state, task.exit_reason = "exited", "halted"
        elif command.op == api.REAP and task.state == "exited":
            del self.tasks[command.task]

    def progress(self, rng: random.Random) -> None:
        """Advance each task to its next state with some probability."""
        for name, task in self.tasks.items():
            if task.state == "fetching" and rng.random() < 0.5:
                task.state = "running"
                self.model.on_task_started(self, name)
                if name in self.completed:
                    task.state, task.exit_reason = "exited", "done"
            elif task.state == "running" and rng.random() < 0.15:
                task.state = "exited"
                task.exit_reason = "done" if rng.random() < 0.7 else "error"
                if task.exit_reason == "done":
                    self.completed.add(name)
                    self.model.finished.add(name)


@dataclass
class ModelController:
    """A controller's memory, replaced after a crash."""

    number: int
    context: ControllerContext
    client: FakeStateClient
    lease_renewed_at: float = -1e9
    writers: dict[int, RecordWriter] = field(default_factory=dict)
    machines: dict[int, MachineShard] = field(default_factory=dict)
    snapshots: dict[int, ShardSnapshot] = field(default_factory=dict)
    # Machine shard -> the ownership epoch that this controller's last desired state named.
    named_epochs: dict[int, int] = field(default_factory=dict)

    def lease_is_valid(self) -> bool:
        """Return whether the lease is certainly valid, allowing for clock drift and a margin."""
        return self.context.now() < self.lease_renewed_at + CONTROLLER_LEASE_S / 1.002 - 0.2

    def may_renew_worker_leases(self) -> bool:
        """Return whether it may answer reports, which renews workers' leases."""
        return self.context.now() < self.lease_renewed_at + max(
            CONTROLLER_LEASE_S, self.context.outage_renewal_s
        )


class ReferenceModel:
    """Two controllers, their machines, and the failures between them."""

    def __init__(self, seed: int, failure_rate: float) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.failure_rate = failure_rate
        self.state = FakeStateService(self.rng)
        self.zones = ("a", "a")
        self.controllers = [self.make_controller(i) for i in range(2)]
        self.workers = {
            f"vm-{i}": FakeWorker(f"vm-{i}", "a", self, lease_renewed_at=self.clock.at)
            for i in range(4)
        }
        self.messages: list[tuple[int, pb.Envelope]] = []
        self.commands: list[
            tuple[str, api.Commands, MachineShard | None, tuple[int, int] | None]
        ] = []
        self.late_reports: list[api.Report] = []
        self.cancelled: dict[str, float] = {}  # job -> when its cancellation was confirmed
        self.cancellation_requested: set[str] = set()  # whether or not it was confirmed
        self.finished: set[str] = set()  # tasks
        self.reported_done: set[str] = set()  # jobs
        self.accepted: dict[str, int] = {}  # job -> number of tasks
        self.starts = 0
        self.owners: dict[int, tuple[int, float]] = {}  # shard -> controller, and since when

    def make_controller(self, number: int) -> ModelController:
        """Return a controller with empty memory."""
        context = make_context(self.clock, self.rng.random().__hash__(), self.zones, number)
        return ModelController(number, context, FakeStateClient(self.state, self.failure_rate))

    # --- invariants

    def on_task_launched(self, name: str) -> None:
        """Check that the job of a launched task was accepted."""
        job = name.split("/", maxsplit=1)[0]
        if job not in self.accepted:
            raise InvariantViolationError(f"invented: {name}")

    def on_task_started(self, worker: FakeWorker, name: str) -> None:
        """Check that no other machine runs the task."""
        self.starts += 1
        for other in self.workers.values():
            task = other.tasks.get(name)
            if other is not worker and task is not None and task.state == "running":
                raise InvariantViolationError(
                    f"ran_twice: {name} on {worker.name} and {other.name}"
                )
        self.check_cancelled()

    def check_cancelled(self) -> None:
        """Check that no task runs longer than `CANCEL_S` after its job's cancellation."""
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                cancelled_at = self.cancelled.get(name.split("/")[0])
                live = task.state != "exited"
                if cancelled_at is not None and live and self.clock.at > cancelled_at + CANCEL_S:
                    raise InvariantViolationError(f"ran_cancelled: {name} on {worker.name}")

    def check_job_states(self) -> None:
        """Check that each accepted job is stored, and that terminal states are right and final."""
        for job, tasks in self.accepted.items():
            shard = shard_of_job(job, 2)
            main = self.state.keys.get(records.job_key(shard, job))
            final = self.state.keys.get(records.final_key(shard, job))
            if main is None and final is None:
                raise InvariantViolationError(f"forgotten: {job}")
            if final is None:
                if job in self.reported_done:
                    raise InvariantViolationError(f"went_back: {job}")
                continue
            state = msgspec.json.decode(final[0], type=records.FinalRecord).state
            if state == api.CANCELLED and job not in self.cancellation_requested:
                raise InvariantViolationError(f"went_back: {job} was never cancelled")
            if job in self.cancelled and state != api.CANCELLED:
                raise InvariantViolationError(f"went_back: {job} was cancelled")
            if state == api.DONE:
                self.reported_done.add(job)
                if any(f"{job}/{i}" not in self.finished for i in range(tasks)):
                    raise InvariantViolationError(f"not_done: {job}")

    def terminal_jobs(self) -> set[str]:
        """Return the jobs with a stored terminal state."""
        finals = (key for key in self.state.keys if key.startswith("f/"))
        return {key.rsplit("/", 1)[1] for key in finals}

    # --- steps

    def step(self) -> None:
        """Advance the clock, take one random step and check the invariants."""
        rng = self.rng
        self.clock.at += rng.choice((0.0, 0.02, 0.05, 0.05, 0.1)) if rng.random() < 0.99 else 4.0
        choice = rng.choice(
            ["report"] * 6 + ["serve"] * 6 + ["deliver"] * 6 + ["write"] * 4 + ["place"] * 3
            + ["commands"] * 4 + ["late", "submit", "work", "work", *["acquire_ownership"] * 3]
            + (["crash", "cut", "cancel", "partition", "restart"] if rng.random() < 0.1 else [])
        )  # fmt: skip
        for worker in self.workers.values():
            worker.expire(self.clock.at)
        for controller in self.controllers:
            if not controller.client.cut and rng.random() < 0.8:
                self.renew(controller)
        getattr(self, "do_" + choice)()
        self.check_cancelled()
        self.check_job_states()

    def renew(self, controller: ModelController) -> None:
        """Renew a controller's lease. If it had expired, delete its keys and drop its shards."""
        if self.clock.at > controller.lease_renewed_at + CONTROLLER_LEASE_S:
            for shard in [s for s, (n, _) in self.owners.items() if n == controller.number]:
                self.expire_ownership(shard)
            controller.writers.clear()
            controller.machines.clear()
        controller.lease_renewed_at = self.clock.at

    def expire_ownership(self, shard: int) -> None:
        """Delete a shard's key, as the state service does when the owner's lease expires."""
        del self.owners[shard]
        self.state.keys.pop(records.shard_key(shard), None)
        self.state.revision += 1

    def do_acquire_ownership(self) -> None:
        """Let a random controller take over its own shard, and at times the other, if unowned."""
        controller = self.rng.choice(self.controllers)
        now = self.clock.at
        if controller.client.cut:
            return
        for shard in range(2):
            if shard in self.owners:
                other = self.controllers[self.owners[shard][0]]
                if now > other.lease_renewed_at + CONTROLLER_LEASE_S and other is not controller:
                    self.expire_ownership(shard)
            if shard in self.owners or (shard != controller.number and self.rng.random() < 0.7):
                continue
            key = records.shard_key(shard)
            epoch = self.rng.getrandbits(40)
            assert not self.state.apply({key: 0}, [put_change(key, records.ShardValue(0, epoch))])
            token = self.state.revision
            self.owners[shard] = (controller.number, now)
            jobs = JobShard(controller.context, shard, token, epoch)
            controller.writers[shard] = RecordWriter(controller.context, controller.client, jobs)  # type: ignore[arg-type]
            controller.machines[shard] = MachineShard(
                controller.context, shard, token, epoch, controller.context.outage_renewal_s
            )
            run_without_waiting(controller.writers[shard].load())

    def do_crash(self) -> None:
        """Restart a random controller with empty memory."""
        number = self.rng.randrange(2)
        old = self.controllers[number]
        controller = self.controllers[number] = self.make_controller(number)
        controller.client.cut = old.client.cut
        # A restarted controller deletes the keys of its shards at once, as Membership does.
        for shard in [s for s, (n, _) in self.owners.items() if n == number]:
            self.expire_ownership(shard)

    def do_cut(self) -> None:
        """Cut a random controller off from the state service, or reconnect it."""
        controller = self.rng.choice(self.controllers)
        controller.client.cut = not controller.client.cut

    def do_partition(self) -> None:
        """Make a random worker unreachable, or reachable again."""
        worker = self.rng.choice(list(self.workers.values()))
        worker.unreachable = not worker.unreachable

    def do_restart(self) -> None:
        """Restart a random worker."""
        self.rng.choice(list(self.workers.values())).restart(self.clock.at)

    def do_submit(self) -> None:
        """Submit a job to its shard's owner."""
        if len(self.accepted) >= 12:
            return
        name = f"j-{len(self.accepted):06d}"
        shard = shard_of_job(name, 2)
        body = self.body(name)
        for controller in self.controllers:
            writer = controller.writers.get(shard)
            if writer is not None and controller.lease_is_valid() and writer.shard.loaded:
                job = new_job(controller.context, body, shard, 0)
                main = records.job_key(shard, name)
                record = records.JobRecord(body, 0)
                conditions = {main: 0, records.shard_key(shard): writer.shard.token}
                if not self.state.apply(conditions, [put_change(main, record)]):
                    job.key_versions[0] = self.state.revision
                    writer.shard.jobs[job.index] = job
                    self.accepted[name] = body.tasks

    def body(self, name: str) -> api.JobSpec:
        """Return the description of a new job."""
        return spec(name, chores=self.rng.randint(1, 3), cores=2.0)

    def do_cancel(self) -> None:
        """Cancel a random job."""
        if not self.accepted:
            return
        name = self.rng.choice(sorted(self.accepted))
        for controller in self.controllers:
            writer = controller.writers.get(shard_of_job(name, 2))
            if writer is None or not controller.lease_is_valid():
                continue
            index = controller.context.job_names.find(name)
            job = writer.shard.jobs.get(index) if index is not None else None
            if job is None:
                continue
            self.cancellation_requested.add(name)
            try:
                run_without_waiting(writer.cancel(job))
            except StateError:
                continue
            if (kept := writer.shard.jobs.get(job.index)) is not None and kept.cancelled:
                self.cancelled.setdefault(name, self.clock.at)

    def do_work(self) -> None:
        """Advance a random worker's tasks."""
        self.rng.choice(list(self.workers.values())).progress(self.rng)

    def shard_of_worker(self, worker: FakeWorker) -> int:
        """Return the machine shard of a worker."""
        return shard_of_machine(worker.name, worker.zone, self.zones)

    def do_report(self) -> None:
        """Send a report of a random worker."""
        self.send_report(self.rng.choice(list(self.workers.values())))

    def send_report(self, worker: FakeWorker) -> None:
        """Send a report to all controllers; it may reach some late, and copies may follow."""
        sent, session = self.clock.at, worker.session
        report = worker.report()
        if self.rng.random() < 0.15:
            self.late_reports.append(report)  # a copy, seconds to well over a lease late
        for controller in self.controllers:
            if self.rng.random() < 0.2:
                self.late_reports.append(report)
                continue
            self.deliver_report(controller, report, worker, sent, session)

    def deliver_report(
        self,
        controller: ModelController,
        report: api.Report,
        worker: FakeWorker | None,
        sent: float,
        session: int,
    ) -> None:
        """Deliver a report if the controller owns its machine shard, and the reply to `worker`.

        `sent` and `session`: when the report was sent, and in which session. Without a worker, as
        for a late copy, nobody receives the reply.
        """
        machines = controller.machines.get(
            shard_of_machine(report.machine, report.zone, self.zones)
        )
        if (
            machines is None
            or report.token > machines.token
            or not controller.may_renew_worker_leases()
        ):
            return
        if machines.is_stale_report(report):
            return
        machine = machines.apply_report(report, True)
        if machines.watermark_age_s(machine) > controller.context.watermark_lifetime_s:
            return
        newest = machine.position() == (report.session, report.seq)
        commands = machines.pending_commands(machine, controller.lease_is_valid()) if newest else []
        if worker is not None and not worker.unreachable and self.rng.random() < 0.85:
            worker.handle_reply(api.ReportReply(machines.token, commands), session, sent)

    def do_late(self) -> None:
        """Deliver a delayed report, or apply a delayed transaction."""
        if self.late_reports and self.rng.random() < 0.4:
            report = self.late_reports.pop(self.rng.randrange(len(self.late_reports)))
            for controller in self.controllers:
                self.deliver_report(controller, report, None, 0.0, 0)
        elif self.state.delayed_transactions:
            self.state.apply(
                *self.state.delayed_transactions.pop(
                    self.rng.randrange(len(self.state.delayed_transactions))
                )
            )

    def do_serve(self) -> None:
        """Run a random controller's cycle: leases, reconciliation, snapshots and desired state."""
        controller = self.rng.choice(self.controllers)
        valid = controller.lease_is_valid()
        for shard, machines in controller.machines.items():
            self.run_machine_shard(controller, shard, machines, valid)
        for writer in controller.writers.values():
            if writer.shard.loaded and valid:
                self.send_desired_state(controller, writer)

    def run_machine_shard(
        self, controller: ModelController, shard: int, machines: MachineShard, valid: bool
    ) -> None:
        """Run one machine shard's part of a cycle. `valid`: whether its owner's lease is valid."""
        machines.expire_leases()
        machines.deschedule()
        for machine in machines.reconcile():
            commands = machines.commands_for(machine, valid)
            if commands.commands or machine.needs_probe or machine.unanswered_commands:
                machine.command_in_flight = True
                self.commands.append((machine.name, commands, machines, machine.position()))
        if valid and machines.needs_new_token() and not controller.client.cut:
            key = records.shard_key(shard)
            change = put_change(key, records.ShardValue(0, machines.epoch))
            if not self.state.apply({key: machines.token}, [change]):
                machines.token = controller.writers[shard].shard.token = self.state.revision
        # The cycle waits for the state service here, while reports continue to arrive.
        if self.rng.random() < 0.3:
            for worker in self.workers.values():
                worker.progress(self.rng)
                self.send_report(worker)
        # Incremental messages get lost here, so full ones must be frequent enough.
        update = machines.snapshot_update(valid)
        full = self.rng.random() < 0.4
        message = pb.Envelope(snapshot=machines.full_snapshot(valid) if full else update)
        self.messages += [(n, message) for n in range(2)]

    def send_desired_state(self, controller: ModelController, writer: RecordWriter) -> None:
        """Send one job shard's desired state to all machine shards."""
        for other in self.controllers:
            for to, machines in other.machines.items():
                # A controller may learn of a new owner late: it sometimes names an older epoch.
                epoch = (
                    machines.epoch
                    if self.rng.random() < 0.9
                    else controller.named_epochs.get(to, 0)
                )
                controller.named_epochs[to] = epoch
                snapshot = controller.snapshots.get(to)
                watermark_ms = (
                    snapshot.watermark_ms(controller.context.now())
                    if snapshot and snapshot.epoch == epoch
                    else 0
                )
                desired_state = writer.shard.desired_state_message(
                    to, epoch, self.rng.random() < 0.4, watermark_ms
                )
                self.messages.append((other.number, pb.Envelope(desired_state=desired_state)))

    def do_deliver(self) -> None:
        """Deliver messages, mostly in order; some are lost, some delayed for long."""
        for _ in range(min(6, len(self.messages))):
            late = self.rng.random() < 0.2
            to, envelope = self.messages.pop(self.rng.randrange(len(self.messages)) if late else 0)
            if self.rng.random() < 0.1:
                continue
            controller = self.controllers[to]
            if envelope.HasField("desired_state"):
                machines = controller.machines.get(envelope.desired_state.to_shard)
                if machines is not None:
                    machines.apply_desired_state(envelope.desired_state)
            else:
                shard = envelope.snapshot.shard
                touched = apply_snapshot_message(
                    controller.context, controller.snapshots, envelope.snapshot
                )
                for writer in controller.writers.values():
                    if writer.shard.loaded and touched is not None:
                        evaluated = None if self.rng.random() < 0.2 else touched  # None: all
                        writer.shard.apply_snapshot(controller.snapshots[shard], evaluated)
        if len(self.messages) > 60:
            del self.messages[self.rng.randrange(len(self.messages))]

    def do_commands(self) -> None:
        """Deliver a random direct command, lose it, delay it, or lose its answer."""
        if not self.commands:
            return
        name, commands, machines, sent_position = self.commands.pop(
            self.rng.randrange(len(self.commands))
        )
        worker = self.workers[name]
        draw = self.rng.random()
        machine = None
        if machines is not None:
            machine = machines.machines.get(machines.context.machine_names.intern(name))
        if machine is not None:
            machine.command_in_flight = False
        if worker.unreachable:
            self.note_unanswered(machines, machine, commands)
            return
        if draw < 0.15:
            # Delayed: the sender stops waiting for the answer, and the command arrives later.
            self.commands.append((name, commands, None, None))
            self.note_unanswered(machines, machine, commands)
            return
        status, report = worker.handle_commands(commands)
        if machine is None or machines is None:
            return
        if draw < 0.25:
            machines.on_command_unanswered(machine, commands, True)
            return
        applied_to = machines.apply_report(report, False, sent_position)
        if status == 409:
            machines.on_command_rejected(applied_to)

    def note_unanswered(
        self, machines: MachineShard | None, machine: Machine | None, commands: api.Commands
    ) -> None:
        """Tell the machine shard that sent a command, if it still waits, that no answer came."""
        if machine is not None and machines is not None:
            machines.on_command_unanswered(machine, commands, True)

    def do_write(self) -> None:
        """Flush the writers of all controllers whose lease is valid."""
        for controller in self.controllers:
            for writer in controller.writers.values():
                if controller.lease_is_valid():
                    try:
                        run_without_waiting(writer.flush())
                    except StateError:
                        continue

    def do_place(self) -> None:
        """Reserve capacity for the waiting tasks of all jobs, on random machines."""
        for controller in self.controllers:
            for writer in controller.writers.values():
                if not (writer.shard.loaded and controller.lease_is_valid()):
                    continue
                for job in list(writer.shard.jobs.values()):
                    for task in job.pending(self.max_starts(controller, job)):
                        self.reserve(controller, job, task)
                    if job.pending_starts:
                        writer.shard.dirty_jobs.add(job.index)

    def max_starts(self, _controller: ModelController, _job: Job) -> int:
        """Return how many of a job's tasks a scheduling cycle may place."""
        return 2

    def reserve(self, controller: ModelController, job: Job, task: int) -> None:
        """Reserve capacity for a task on a random machine of a random shard."""
        owners = [(n, s) for n in self.controllers for s in n.machines]
        if not owners:
            return
        other, shard = self.rng.choice(owners)
        machines = other.machines[shard]
        workers = [w for w in self.workers.values() if self.shard_of_worker(w) == shard]
        if not workers or not other.lease_is_valid():
            return
        worker = self.rng.choice(workers)
        request = pb.ReserveRequest(to_shard=shard, to_epoch=machines.epoch, job=job_message(job))
        request.tasks.add(task=task, attempt=job.attempts[task] + 1, machine=worker.name)
        granted = list(machines.reserve(request).granted)
        if granted and self.rng.random() < 0.9:
            job.pending_starts[task] = TaskPlacement(
                controller.context.machine_names.intern(worker.name),
                granted[0].session,
                granted[0].attempt,
                shard,
                controller.context.zone_names.intern(worker.zone),
            )

    def stop_failures(self) -> None:
        """End all failures, so that every job ends from now on."""
        for controller in self.controllers:
            controller.client.cut = False
            controller.client.failure_rate = 0.0
        for worker in self.workers.values():
            worker.unreachable = False

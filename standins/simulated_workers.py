"""Simulated workers: one process runs many machines that follow the whole protocol.

python -m standins.simulated_workers CONFIG.json. Each machine listens on a loopback address of its
own and keeps one connection to the controller that it reports to. Starts and ends of tasks are sent
to the checker, one line each. A real worker would fetch and run a program; for a simulated one, a
task is a timer whose length is encoded in the job's id (standins.workload).
"""

import heapq
import random
import sys
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import curio
import msgspec

from standins import workload
from standins.agent import (
    CONTROLLER_RETRY_S,
    FETCHING,
    MIN_REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    RUNNING,
    Actions,
    Agent,
    Identity,
    advance_controller,
)
from standins.events import EventKind
from standins.serve import error_response, json_response, serve
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.client import HttpClient, NoResponseError
from starlingdeck.transport.server import HttpServer, Request, Response

TICK_INTERVAL_S = 0.02
LEASE_CHECK_INTERVAL_S = 0.25  # interval between checks of all leases
MAX_REDIRECT_DELAY_S = 0.5  # maximum of the random delay between a redirect and the next heartbeat
MACHINES_PER_SUBNET = 250  # number of machines with addresses 127.NETWORK.SUBNET.x
MIN_REPEAT_DELAY_S = 2.0  # from the answer to commands to their second arrival
MAX_REPEATS = 2  # of one call
TASK_FAILURE_SHARE = 1 / 3  # share of the tasks of a failing machine that end with an error
TASK_FAILURE_DELAY_S = 0.3  # from the start of a failing task to its end
LATE_TICK_THRESHOLD_S = 0.1  # a tick delayed by more shows that the process is overloaded


class HostConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of one process of simulated workers."""

    control: str
    checker: str
    network: int  # second byte of its machines' addresses
    port: int
    controllers: dict[str, str]
    report_s: float
    lease_s: float
    fetch_s: float
    seed: int
    broken: bool = False  # reports each start on two machines, to test the checker
    advertised_port: int = 0  # the port that controllers are told; 0: `port`
    # Share of the answered direct commands that arrive once more, and how much later at the most.
    repeated_command_share: float = 0.0
    max_repeat_delay_s: float = 30.0
    # Share of the machines on which every third task fails.
    failing_machine_share: float = 0.0


class StartRequest(msgspec.Struct):
    """A request to start one machine."""

    name: str
    type: str
    zone: str
    spot: bool
    slots: int


class HostStats(msgspec.Struct):
    """Counters since the start of the process; byte counts cover only HTTP bodies."""

    machines: int = 0
    reports: int = 0
    report_bytes: int = 0
    reply_bytes: int = 0
    unanswered: int = 0
    redirected: int = 0
    refused: int = 0
    commands: int = 0
    command_bytes: int = 0
    started: int = 0
    repeated: int = 0  # answered commands that have arrived once more
    ticks: int = 0
    late_ticks: int = 0


class SimulatedWorker:
    """One simulated machine: an Agent driven by the timers of its host process."""

    def __init__(self, host: "WorkerHost", request: StartRequest, address: str) -> None:
        self.host = host
        self.name = request.name
        self.slots = request.slots
        self.address = address
        identity = Identity(request.name, address, request.type, request.zone, request.spot)
        self.agent = Agent(identity, time.monotonic(), self.fits)
        self.controller_order = list(host.config.controllers)
        host.rng.shuffle(self.controller_order)
        self.http = HttpClient(max_idle=1, max_open=2)
        self.powered_off = self.heartbeat_in_flight = self.change_pending = False
        self.next_report_at = 0.0
        self.last_report_at = 0.0
        self.fails_tasks = host.draw_fault(host.config.failing_machine_share)

    def fits(self, _task: str, live: int) -> bool:
        """Return whether one more task fits beside `live` unfinished ones."""
        return live < self.slots

    async def handle(self, request: Request) -> Response:
        """Handle a direct command or a status query."""
        while self.powered_off:
            await curio.sleep(1.0)  # a powered-off machine does not answer
        stats = self.host.stats
        if request.path == api.WORKER_STATUS:
            return json_response(self.agent.build_report())
        stats.commands += 1
        stats.command_bytes += len(request.body)
        commands = msgspec.json.decode(request.body, type=api.Commands)
        actions = self.agent.handle_commands(commands)
        if actions is None:
            return json_response(self.agent.build_report(), 409)
        self.apply_actions(actions)
        self.schedule_repeats(commands)
        return json_response(self.agent.build_report())

    def schedule_repeats(self, commands: api.Commands) -> None:
        """Have some of the commands that are answered now arrive once more, in any order."""
        if self.host.draw_fault(self.host.config.repeated_command_share):
            for _ in range(self.host.fault_rng.randint(1, MAX_REPEATS)):
                longest_s = self.host.config.max_repeat_delay_s
                delay_s = self.host.fault_rng.uniform(MIN_REPEAT_DELAY_S, longest_s)
                self.host.schedule(time.monotonic() + delay_s, partial(self.repeat, commands))

    def repeat(self, commands: api.Commands) -> None:
        """Handle commands that were answered before; nobody waits for this answer.

        A machine that has restarted and has seen no token yet would obey any commands, which no
        controller can prevent.
        """
        if self.powered_off or not self.agent.token:
            return
        self.host.stats.repeated += 1
        actions = self.agent.handle_commands(commands)
        if actions is not None:
            self.apply_actions(actions)

    def apply_actions(self, actions: Actions) -> None:
        """Record the stopped tasks and start to fetch the images of the new ones."""
        for task in actions.to_stop:
            self.host.record_event(EventKind.STOPPED, task, self)
        now = time.monotonic()
        for task in actions.to_start:
            self.host.stats.started += 1
            fetched_at = now + self.host.config.fetch_s * self.host.rng.uniform(0.5, 1.5)
            self.host.schedule(fetched_at, partial(self.image_fetched, task))
        if actions.to_start or actions.to_stop:
            self.report_soon(now)

    def image_fetched(self, name: str) -> None:
        """Mark a task as running, if it still waits for its image, and schedule its completion.

        Services never complete; a task that was completed earlier on any machine of this process
        completes at once.
        """
        task = self.agent.tasks.get(name)
        if self.powered_off or task is None or task.state != FETCHING:
            return
        self.agent.task_running(name)
        self.host.task_started(name, self)
        attempt, now = task.attempt, time.monotonic()
        if name in self.host.completed:
            self.task_completed(name, attempt)
        elif self.fails_tasks and self.host.draw_fault(TASK_FAILURE_SHARE):
            self.host.schedule(now + TASK_FAILURE_DELAY_S, partial(self.task_failed, name, attempt))
        elif not workload.parse_job_id(name.split("/", maxsplit=1)[0]).service:
            self.host.schedule(
                now + workload.task_run_s(name), lambda: self.task_completed(name, attempt)
            )
        self.report_soon(now)

    def task_completed(self, name: str, attempt: int) -> None:
        """Complete a task, unless this attempt has ended or the machine was powered off."""
        if not self.is_running(name, attempt):
            return
        self.agent.task_ended(name, "done")
        self.host.completed.add(name)
        self.host.record_event(EventKind.COMPLETED, name, self)
        self.report_soon(time.monotonic())

    def task_failed(self, name: str, attempt: int) -> None:
        """End a task with an error, unless this attempt has ended or the machine is off."""
        if not self.is_running(name, attempt):
            return
        self.agent.task_ended(name, "error")
        self.host.record_event(EventKind.STOPPED, name, self)
        self.report_soon(time.monotonic())

    def is_running(self, name: str, attempt: int) -> bool:
        """Return whether this attempt of a task runs here."""
        task = self.agent.tasks.get(name)
        return (
            not self.powered_off
            and task is not None
            and task.attempt == attempt
            and task.state == RUNNING
        )

    def report_soon(self, now: float) -> None:
        """Schedule a heartbeat after a change, as soon as the protocol allows."""
        self.change_pending = True
        if not self.heartbeat_in_flight:
            self.schedule_report(max(now, self.last_report_at + MIN_REPORT_INTERVAL_S))

    def schedule_report(self, due: float) -> None:
        """Schedule the next heartbeat."""
        self.next_report_at = due
        self.host.schedule(due, lambda: self.start_report(due))

    def start_report(self, due: float) -> None:
        """Send a heartbeat if `due` is still the time set for it and none is in flight."""
        if not self.powered_off and not self.heartbeat_in_flight and self.next_report_at == due:
            self.heartbeat_in_flight, self.change_pending = True, False
            self.host.schedule_coroutine(self.send_heartbeat)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and execute the commands of its answer."""
        config, stats = self.host.config, self.host.stats
        sent = self.last_report_at = time.monotonic()
        body, session = msgspec.json.encode(self.agent.build_report()), self.agent.session
        stats.reports += 1
        stats.report_bytes += len(body)
        status, wait_s = 0, CONTROLLER_RETRY_S
        try:
            address = config.controllers[self.controller_order[0]]
            reply = await self.http.call(address, "POST", api.REPORT, body, REPORT_TIMEOUT_S)
            status = reply.status
            stats.reply_bytes += len(reply.body)
        except NoResponseError:
            stats.unanswered += 1
            self.controller_order.append(self.controller_order.pop(0))
        self.heartbeat_in_flight = False
        if self.powered_off:
            return
        if status == 200:
            wait_s = config.report_s * self.host.rng.uniform(0.75, 1.25)
            decoded = msgspec.json.decode(reply.body, type=api.ReportReply)
            actions = self.agent.handle_report_reply(decoded, session, sent)
            if actions is not None:
                self.apply_actions(actions)
        elif status:
            wait_s = self.handle_refusal(status, reply.body)
        due = time.monotonic() + wait_s
        self.schedule_report(
            max(sent + MIN_REPORT_INTERVAL_S, time.monotonic()) if self.change_pending else due
        )

    def handle_refusal(self, status: int, body: bytes) -> float:
        """Choose the next controller after a refused heartbeat.

        Return the time until the next heartbeat in seconds.
        """
        redirect_to = None
        if status == 421:
            redirect_to = msgspec.json.decode(body, type=api.Redirect).report_to
            self.host.stats.redirected += 1
        else:
            self.host.stats.refused += 1
        must_wait = advance_controller(self.controller_order, redirect_to)
        return CONTROLLER_RETRY_S if must_wait else self.host.rng.uniform(0.0, MAX_REDIRECT_DELAY_S)

    def expire_lease(self, now: float) -> None:
        """End the session if its lease has expired."""
        for task in self.agent.expire_lease(now, self.host.config.lease_s):
            self.host.record_event(EventKind.STOPPED, task, self)
            self.report_soon(now)

    def power_off(self) -> None:
        """End all tasks; the machine no longer answers or sends heartbeats."""
        if not self.powered_off:
            self.powered_off = True
            self.host.record_event(EventKind.MACHINE_GONE, "-", self)

    def restart(self) -> None:
        """Restart the machine at once, without its tasks; no effect on a powered-off one."""
        if self.powered_off:
            return
        self.host.record_event(EventKind.MACHINE_GONE, "-", self)
        now = time.monotonic()
        self.agent.restart(now)
        self.report_soon(now)


class WorkerHost:
    """Runs the machines of one process and their timers."""

    def __init__(self, config: HostConfig) -> None:
        self.config = config
        self.rng = random.Random(config.seed)
        self.fault_rng = random.Random(config.seed + 1)
        self.machines: dict[str, SimulatedWorker] = {}
        self.completed: set[str] = set()  # names of tasks; their results outlive machines
        self.stats = HostStats()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.timer_sequence = 0
        self.pending_coroutines: list[Callable[[], Awaitable[None]]] = []
        self.event_lines: list[str] = []

    def draw_fault(self, share: float) -> bool:
        """Return whether one of the faults of this share happens now."""
        return bool(share) and self.fault_rng.random() < share

    # --- timers

    def schedule(self, due: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a time of the monotonic clock, in seconds."""
        self.timer_sequence += 1
        heapq.heappush(self.timers, (due, self.timer_sequence, callback))

    def schedule_coroutine(self, function: Callable[[], Awaitable[None]]) -> None:
        """Queue a coroutine function that is to be spawned at the end of the tick."""
        self.pending_coroutines.append(function)

    async def tick_loop(self) -> None:
        """Run due timers, expire leases and spawn queued coroutines, every TICK_INTERVAL_S."""
        leases_checked_at = 0.0
        while True:
            began = time.monotonic()
            while self.timers and self.timers[0][0] <= began:
                heapq.heappop(self.timers)[2]()
            if began - leases_checked_at > LEASE_CHECK_INTERVAL_S:
                leases_checked_at = began
                for machine in self.machines.values():
                    if not machine.powered_off:
                        machine.expire_lease(began)
            pending, self.pending_coroutines = self.pending_coroutines, []
            for function in pending:
                await curio.spawn(function, daemon=True)
            await curio.sleep(TICK_INTERVAL_S)
            self.stats.ticks += 1
            self.stats.late_ticks += (
                time.monotonic() - began > TICK_INTERVAL_S + LATE_TICK_THRESHOLD_S
            )

    # --- events for the checker

    def record_event(self, kind: EventKind, task: str, machine: SimulatedWorker) -> None:
        """Queue one event for the checker."""
        self.event_lines.append(f"{time.monotonic():.6f} {kind} {task} {machine.name}\n")

    def task_started(self, task: str, machine: SimulatedWorker) -> None:
        """Record a started task; a host configured as broken reports a second machine too."""
        self.record_event(EventKind.STARTED, task, machine)
        if self.config.broken and len(self.machines) > 1:
            other = next(known for known in self.machines.values() if known is not machine)
            self.record_event(EventKind.STARTED, task, other)

    async def send_events_loop(self) -> None:
        """Send queued events to the checker."""
        sock = await curio.open_connection(*split_address(self.config.checker))
        while True:
            await curio.sleep(0.05)
            if self.event_lines:
                lines, self.event_lines = self.event_lines, []
                await sock.sendall("".join(lines).encode())

    # --- control

    async def handle(self, request: Request) -> Response:
        """Handle a control request: statistics, start, kill or restart."""
        if request.path == "/stats":
            self.stats.machines = sum(not machine.powered_off for machine in self.machines.values())
            return json_response(self.stats)
        if request.path == "/start":
            starts = msgspec.json.decode(request.body, type=list[StartRequest])
            return json_response([await self.start_machine(start) for start in starts])
        names = msgspec.json.decode(request.body, type=list[str])
        machines = [self.machines[name] for name in names if name in self.machines]
        if request.path == "/kill":
            for machine in machines:
                machine.power_off()
            return json_response(len(machines))
        if request.path == "/restart":
            for machine in machines:
                machine.restart()
            return json_response(len(machines))
        return error_response(400, "no such path")

    async def start_machine(self, request: StartRequest) -> str:
        """Start a machine and return its address."""
        number = len(self.machines)
        subnet, host = divmod(number, MACHINES_PER_SUBNET)
        address = f"127.{self.config.network}.{subnet}.{host + 1}"
        port = self.config.advertised_port or self.config.port
        machine = SimulatedWorker(self, request, f"{address}:{port}")
        self.machines[request.name] = machine
        server = HttpServer((address, self.config.port), machine.handle, 16, 60.0)
        await curio.spawn(server.run, daemon=True)
        machine.schedule_report(time.monotonic() + self.rng.uniform(0.0, self.config.report_s))
        return machine.address


if __name__ == "__main__":
    host = WorkerHost(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostConfig))
    serve(host.config.control, host.handle, host.tick_loop, host.send_events_loop)

"""Hollow workers: many machines in one process, by the protocol in full, their tasks timers.

python -m standins.hollow CONFIG.json. Each machine has an address of its own on loopback and one
connection to the controller that it reports to. Starts and ends of tasks are told to the checker,
a line each. What real workers fetch of a job stands in its id (standins.workload).
"""

import heapq
import random
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio
import msgspec

from standins import workload
from standins.agent import (
    ANSWER_S,
    CHANGES_S,
    FETCHING,
    MOVE_S,
    RUNNING,
    Actions,
    Agent,
    Identity,
    next_controller,
)
from standins.serve import answer, error, serve
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.client import HttpClient, NoResponseError
from starlingdeck.transport.server import HttpServer, Request, Response

TICK_S = 0.02
LEASES_S = 0.25  # how often all leases are looked at
REDIRECT_S = 0.5  # a redirected worker reports anew within this
PER_ROW = 250  # machines that share the third number of their addresses
LATE_S = 0.1  # a tick later than this says that the process has too much to do


class HostConfig(msgspec.Struct, forbid_unknown_fields=True):
    """One process of hollow workers."""

    control: str
    checker: str
    network: int  # second number of its machines' addresses
    port: int
    controllers: dict[str, str]
    report_s: float
    lease_s: float
    fetch_s: float
    seed: int
    broken: bool = False  # runs each task twice: to see that the checker sees it


class Start(msgspec.Struct):
    """A request to start one machine."""

    name: str
    type: str
    zone: str
    spot: bool
    slots: int


class HostStats(msgspec.Struct):
    """Counted since the start; bytes are those of bodies."""

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
    ticks: int = 0
    late_ticks: int = 0


class Machine:
    """One hollow worker."""

    def __init__(self, host: "Host", asked: Start, address: str) -> None:
        self.host = host
        self.name = asked.name
        self.slots = asked.slots
        self.address = address
        identity = Identity(asked.name, address, asked.type, asked.zone, asked.spot)
        self.agent = Agent(identity, time.monotonic(), self.fits)
        self.names = list(host.config.controllers)
        host.rng.shuffle(self.names)
        self.http = HttpClient(max_idle=1, max_open=2)
        self.dead = self.telling = self.changed = False
        self.due = 0.0
        self.last = 0.0

    def fits(self, _task: str, live: int) -> bool:
        """Whether one more task fits beside the live ones."""
        return live < self.slots

    async def handle(self, request: Request) -> Response:
        """Handles a direct command or a status query."""
        while self.dead:
            await curio.sleep(1.0)  # a machine without power is silent
        stats = self.host.stats
        if request.path == api.WORKER_STATUS:
            return answer(self.agent.report())
        stats.commands += 1
        stats.command_bytes += len(request.body)
        actions = self.agent.command(msgspec.json.decode(request.body, type=api.Commands))
        if actions is None:
            return answer(self.agent.report(), 409)
        self.act(actions)
        return answer(self.agent.report())

    def act(self, actions: Actions) -> None:
        """Begins and stops the tasks that commands named."""
        for task in actions.end:
            self.host.tell("off", task, self)
        now = time.monotonic()
        for task in actions.begin:
            self.host.stats.started += 1
            at = now + self.host.config.fetch_s * self.host.rng.uniform(0.5, 1.5)
            self.host.at(at, lambda task=task: self.fetched(task))  # type: ignore[misc]
        if actions.begin or actions.end:
            self.change(now)

    def fetched(self, name: str) -> None:
        """The image is there; a stopped or restarted task has another state or is gone."""
        task = self.agent.tasks.get(name)
        if self.dead or task is None or task.state != FETCHING:
            return
        self.agent.running(name)
        self.host.begins(name, self)
        attempt, now = task.attempt, time.monotonic()
        if name in self.host.completed:
            self.done(name, attempt)
        elif not workload.describe(name.split("/", maxsplit=1)[0]).service:
            self.host.at(now + workload.run_s(name), lambda: self.done(name, attempt))
        self.change(now)

    def done(self, name: str, attempt: int) -> None:
        """A task has run for its whole time, unless it was stopped or restarted meanwhile."""
        task = self.agent.tasks.get(name)
        if self.dead or task is None or task.attempt != attempt or task.state != RUNNING:
            return
        self.agent.ended(name, "done")
        self.host.completed.add(name)
        self.host.tell("done", name, self)
        self.change(time.monotonic())

    def change(self, now: float) -> None:
        """Something has changed: a report goes out, no sooner than the protocol allows."""
        self.changed = True
        if not self.telling:
            self.report_at(max(now, self.last + CHANGES_S))

    def report_at(self, due: float) -> None:
        """Schedules the next heartbeat."""
        self.due = due
        self.host.at(due, lambda: self.report(due))

    def report(self, due: float) -> None:
        """Only the latest time set for the next report counts; one is under way at a time."""
        if not self.dead and not self.telling and self.due == due:
            self.telling, self.changed = True, False
            self.host.spawn(self.tell)

    async def tell(self) -> None:
        """Sends one heartbeat and executes the commands of its answer."""
        config, stats = self.host.config, self.host.stats
        sent = self.last = time.monotonic()
        body, session = msgspec.json.encode(self.agent.report()), self.agent.session
        stats.reports += 1
        stats.report_bytes += len(body)
        status, wait_s = 0, MOVE_S
        try:
            address = config.controllers[self.names[0]]
            reply = await self.http.call(address, "POST", api.REPORT, body, ANSWER_S)
            status = reply.status
            stats.reply_bytes += len(reply.body)
        except NoResponseError:
            stats.unanswered += 1
            self.names.append(self.names.pop(0))
        self.telling = False
        if self.dead:
            return
        if status == 200:
            wait_s = config.report_s * self.host.rng.uniform(0.75, 1.25)
            told = msgspec.json.decode(reply.body, type=api.ReportReply)
            actions = self.agent.answered_report(told, session, sent)
            if actions is not None:
                self.act(actions)
        elif status:
            wait_s = self.move(status, reply.body)
        due = time.monotonic() + wait_s
        self.report_at(max(sent + CHANGES_S, time.monotonic()) if self.changed else due)

    def move(self, status: int, body: bytes) -> float:
        """A refusal: which controller is next, and how long until then."""
        to = None
        if status == 421:
            to = msgspec.json.decode(body, type=api.Redirect).report_to
            self.host.stats.redirected += 1
        else:
            self.host.stats.refused += 1
        wait = next_controller(self.names, to)
        return MOVE_S if wait else self.host.rng.uniform(0.0, REDIRECT_S)

    def expire(self, now: float) -> None:
        """Ends the session if its lease has expired."""
        for task in self.agent.expire(now, self.host.config.lease_s):
            self.host.tell("off", task, self)
            self.change(now)

    def end(self) -> None:
        """Without power: all that is on it is gone, and it says nothing any more."""
        if not self.dead:
            self.dead = True
            self.host.tell("gone", "-", self)

    def restart(self) -> None:
        """Back at once with nothing on it; one without power stays as it is."""
        if self.dead:
            return
        self.host.tell("gone", "-", self)
        now = time.monotonic()
        self.agent.restart(now)
        self.change(now)


class Host:
    """The machines of one process, and their timers."""

    def __init__(self, config: HostConfig) -> None:
        self.config = config
        self.rng = random.Random(config.seed)
        self.machines: dict[str, Machine] = {}
        self.completed: set[str] = set()  # results are kept outside the machines
        self.stats = HostStats()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.spawning: list[Callable[[], Awaitable[None]]] = []
        self.lines: list[str] = []

    # --- timers

    def at(self, due: float, do: Callable[[], None]) -> None:
        """Schedules a callback for a time of the steady clock, in seconds."""
        self.count += 1
        heapq.heappush(self.timers, (due, self.count, do))

    def spawn(self, do: Callable[[], Awaitable[None]]) -> None:
        """Schedules a coroutine for the end of the present tick."""
        self.spawning.append(do)

    async def tick_loop(self) -> None:
        """Runs due timers, expires leases and spawns coroutines, every TICK_S seconds."""
        looked = 0.0
        while True:
            began = time.monotonic()
            while self.timers and self.timers[0][0] <= began:
                heapq.heappop(self.timers)[2]()
            if began - looked > LEASES_S:
                looked = began
                for machine in self.machines.values():
                    if not machine.dead:
                        machine.expire(began)
            spawning, self.spawning = self.spawning, []
            for do in spawning:
                await curio.spawn(do, daemon=True)
            await curio.sleep(TICK_S)
            self.stats.ticks += 1
            self.stats.late_ticks += time.monotonic() - began > TICK_S + LATE_S

    # --- what the checker is told

    def tell(self, what: str, task: str, machine: Machine) -> None:
        """Queues one event for the checker."""
        self.lines.append(f"{time.monotonic():.6f} {what} {task} {machine.name}\n")

    def begins(self, task: str, machine: Machine) -> None:
        """A task has begun. A host configured as broken reports it on a second machine too."""
        self.tell("on", task, machine)
        if self.config.broken and len(self.machines) > 1:
            other = next(m for m in self.machines.values() if m is not machine)
            self.tell("on", task, other)

    async def tell_loop(self) -> None:
        """Sends queued events to the checker."""
        sock = await curio.open_connection(*split_address(self.config.checker))
        while True:
            await curio.sleep(0.05)
            if self.lines:
                lines, self.lines = self.lines, []
                await sock.sendall("".join(lines).encode())

    # --- control

    async def handle(self, request: Request) -> Response:
        """Handles a control request: statistics, start, kill or restart."""
        if request.path == "/stats":
            self.stats.machines = sum(not m.dead for m in self.machines.values())
            return answer(self.stats)
        if request.path == "/start":
            asked = msgspec.json.decode(request.body, type=list[Start])
            return answer([await self.start(one) for one in asked])
        names = msgspec.json.decode(request.body, type=list[str])
        known = [self.machines[name] for name in names if name in self.machines]
        if request.path == "/kill":
            for machine in known:
                machine.end()
            return answer(len(known))
        if request.path == "/restart":
            for machine in known:
                machine.restart()
            return answer(len(known))
        return error(400, "no such path")

    async def start(self, asked: Start) -> str:
        """Starts a machine; its address."""
        number = len(self.machines)
        address = f"127.{self.config.network}.{number // PER_ROW}.{number % PER_ROW + 1}"
        machine = Machine(self, asked, f"{address}:{self.config.port}")
        self.machines[asked.name] = machine
        server = HttpServer((address, self.config.port), machine.handle, 16, 60.0)
        await curio.spawn(server.run, daemon=True)
        machine.report_at(time.monotonic() + self.rng.uniform(0.0, self.config.report_s))
        return machine.address


if __name__ == "__main__":
    host = Host(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=HostConfig))
    serve(host.config.control, host.handle, host.tick_loop, host.tell_loop)

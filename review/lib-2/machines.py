"""Stand-ins of the cloud and its workers, as the protocol page describes them."""

import asyncio
import json
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from wire import Answer, Server, call

if TYPE_CHECKING:
    from world import World

TICK_S = 0.05
REPORT_TIMEOUT_S = 4.0


@dataclass
class Task:
    """One attempt of a task on a machine."""

    attempt: int
    status: str = "fetching"
    cause: str = ""
    kept: bool = False
    launched_at: float = 0.0
    started_at: float = 0.0
    ready_at: float = 0.0
    flush_until: float = 0.0
    doomed: bool = False  # it was started while the machine was faulty


@dataclass
class MachineType:
    """A type of machine that the cloud rents."""

    name: str
    cores: float
    ram_gb: float
    zones: list[str]
    boot_s: float = 3.0
    rate: float = 1.0
    spot_price: float = 0.4
    pull_gb_per_s: float = 1.0

    def wire(self) -> dict[str, Any]:
        """Return the type as the cloud lists it."""
        return {
            "sku": self.name, "cores": self.cores, "accelerators": 0, "ram_gb": self.ram_gb,
            "local_gb": 50.0, "pull_gb_per_s": self.pull_gb_per_s, "rate": self.rate,
            "spot_price": self.spot_price, "boot_s": self.boot_s, "roosts": self.zones,
        }  # fmt: skip


@dataclass(eq=False)
class Worker:
    """A machine and its worker."""

    world: "World"
    name: str
    kind: MachineType
    zone: str
    spot: bool
    rented_at: float = field(default_factory=time.monotonic)
    up: bool = False
    gone: bool = False  # deleted or taken
    failed_at: float = 0.0
    tenure: int = 1
    tally: int = 0
    baton: int = 0
    taken_at: float = 0.0
    hung: bool = False
    sick: bool = False
    tasks: dict[str, Task] = field(default_factory=dict)
    images: set[str] = field(default_factory=set)
    links: dict[int, str] = field(default_factory=dict)  # node -> "silent", "hold"; default open

    def __post_init__(self) -> None:
        self.server = Server(self._handle)
        self.renewed_at = time.monotonic()
        self.wake = asyncio.Event()
        self.order = list(range(len(self.world.nodes)))
        random.shuffle(self.order)
        self.jobs: list[asyncio.Task[None]] = []

    @property
    def endpoint(self) -> str:
        """The address of the worker."""
        return self.server.address

    async def boot(self, delay_s: float) -> None:
        """Come up after a delay."""
        await asyncio.sleep(delay_s)
        if self.gone:
            return
        await self.server.start()
        self.up, self.renewed_at = True, time.monotonic()
        self.jobs = [asyncio.create_task(self._report_loop()), asyncio.create_task(self._run())]

    async def die(self) -> None:
        """End with everything that runs on it."""
        self.up = False
        for job in self.jobs:
            job.cancel()
        await self.server.stop()
        for name in list(self.tasks):
            self._leave(name)
        self.tasks.clear()

    # --- tasks

    def _leave(self, name: str) -> None:
        self.world.checker.left(name, self)

    def _exit(self, name: str, cause: str, kept: bool = False) -> None:
        task = self.tasks[name]
        if task.status in ("running", "flushing"):
            self._leave(name)
        task.status, task.cause, task.kept = "exited", cause, kept
        self.wake.set()

    def _live(self) -> list[str]:
        return [name for name, task in self.tasks.items() if task.status != "exited"]

    def _launch(self, name: str, attempt: int) -> None:
        old = self.tasks.get(name)
        if old is not None and old.attempt == attempt:
            return
        spec = self.world.jobs.get(name.split("/", maxsplit=1)[0])
        task = Task(attempt, launched_at=time.monotonic())
        if old is not None and old.status != "exited":
            task.status, task.cause = "exited", "in_use"
            return  # the live attempt is reported; the refusal has the same name
        self.tasks[name] = task
        self.world.on_launch(self, name)
        if spec is None:
            self._exit(name, "no_such")
            return
        used_cores = sum(self.world.jobs[n.split("/")[0]]["cores"] for n in self._live())
        used_ram = sum(self.world.jobs[n.split("/")[0]]["ram_gb"] for n in self._live())
        if used_cores > self.kind.cores + 1e-9 or used_ram > self.kind.ram_gb + 1e-9:
            self._exit(name, "full")
            return
        fetch_s = 0.0 if spec["kit"] in self.images else spec["image_gb"] / self.kind.pull_gb_per_s
        task.ready_at = time.monotonic() + fetch_s * random.uniform(0.75, 1.33)

    def _stop(self, name: str, leeway_s: float) -> None:
        task = self.tasks[name]
        spec = self.world.jobs[name.split("/", maxsplit=1)[0]]
        saves = task.status == "running" and spec["mark_s"] > 0 and leeway_s >= spec["stash_s"]
        if saves:
            task.status = "flushing"
            task.flush_until = time.monotonic() + spec["stash_s"]
            self.wake.set()
        elif task.status != "flushing" or leeway_s == 0:
            self._exit(name, "halted")

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for order in orders:
            name, attempt = order["chore"], order["try"]
            task = self.tasks.get(name)
            if order["verb"] == "launch":
                self._launch(name, attempt)
                self.wake.set()
            elif task is None or task.attempt != attempt:
                continue
            elif order["verb"] == "stop" and task.status != "exited":
                self.world.note("stop", name, attempt, self.name, "leeway", order.get("leeway_s"))
                self.world.stops.append((name, attempt, task.launched_at))
                self._stop(name, order.get("leeway_s") or 0)
            elif order["verb"] == "reap" and task.status == "exited":
                del self.tasks[name]
                self.wake.set()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - self.renewed_at > self.world.lease_s:
                for name in list(self.tasks):
                    if self.tasks[name].status in ("running", "flushing"):
                        self._leave(name)
                self.world.note("session", self.name, self.tenure + 1, len(self.tasks))
                self.tasks.clear()
                self.tenure, self.renewed_at = self.tenure + 1, now
                self.wake.set()
            if not self.hung:
                self._progress(now)

    def _progress(self, now: float) -> None:
        for name, task in list(self.tasks.items()):
            job = name.split("/")[0]
            spec = self.world.jobs.get(job)
            if spec is None:
                continue
            if task.status == "fetching" and now >= task.ready_at:
                self.images.add(spec["kit"])
                task.status, task.started_at, task.doomed = "running", now, self.sick
                self.world.checker.entered(name, task.attempt, self)
                self.wake.set()
                if name in self.world.results:
                    self._exit(name, "done")
            elif task.status == "running" and (task.doomed or spec.get("broken")):
                if now - task.started_at > 0.3:
                    self._exit(name, "error")
            elif task.status == "running" and spec["shape"] == "sweep":
                if now - task.started_at >= self.world.run_s(name):
                    self.world.results.add(name)
                    self.world.checker.completed(name)
                    self._exit(name, "done")
            elif task.status == "flushing" and now >= task.flush_until:
                self._exit(name, "halted", True)

    def listed(self, status: str) -> dict[str, Any]:
        """Return the machine as the cloud lists it."""
        held_s = time.monotonic() - self.rented_at
        return {
            "uid": self.name, "endpoint": self.endpoint, "build": self.kind.name,
            "roost": self.zone, "loaners": self.spot, "status": status, "held_s": held_s,
        }  # fmt: skip

    # --- messages

    def report(self) -> dict[str, Any]:
        """Return the next report."""
        self.tally += 1
        chores = []
        for name, task in self.tasks.items():
            item: dict[str, Any] = {"chore": name, "try": task.attempt, "status": task.status}
            if task.status == "exited":
                item["cause"] = task.cause
                if task.kept:
                    item["kept"] = True
            chores.append(item)
        warning_s = max(0.0, self.taken_at - time.monotonic()) if self.taken_at else None
        return {
            "host": self.name, "endpoint": self.endpoint, "build": self.kind.name,
            "roost": self.zone, "loaners": self.spot, "tenure": self.tenure, "tally": self.tally,
            "baton": self.baton, "warning_s": warning_s, "chores": chores,
        }  # fmt: skip

    async def _handle(self, method: str, path: str, _query: dict[str, str], body: bytes) -> Answer:
        while self.hung and self.up:
            await asyncio.sleep(TICK_S)
        if path == "/status" and method == "GET":
            return 200, self.report()
        message = json.loads(body)
        node = self.world.node_of_token(message.get("baton", -1))
        if self.links.get(node) == "silent":
            await asyncio.sleep(60)
            return None
        if "baton" not in message or "tenure" not in message:
            return 400, {}
        if message["baton"] < self.baton or message["tenure"] != self.tenure:
            return 409, self.report()
        self.baton = message["baton"]
        self.execute(message["orders"])
        return 200, self.report()

    async def _report_loop(self) -> None:
        last = 0.0
        while True:
            try:
                async with asyncio.timeout(self.world.report_s * random.uniform(0.75, 1.25)):
                    await self.wake.wait()
            except TimeoutError:
                pass
            await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))
            self.wake.clear()
            while self.hung:
                await asyncio.sleep(TICK_S)
            last = time.monotonic()
            await self._send(last)

    async def _send(self, sent_at: float) -> None:
        node, tenure = self.order[0], self.tenure
        body = self.report()
        link = self.links.get(node, "open")
        if link == "open":
            address = self.world.nodes[node].public
            status, reply = await call(address, "POST", "/v1/report", body, REPORT_TIMEOUT_S)
            if self.links.get(node, "open") != "open":
                status = 0
        else:
            if link == "hold":
                self.world.hold(node, body)
            await asyncio.sleep(REPORT_TIMEOUT_S)
            status, reply = 0, None
        while self.hung:
            await asyncio.sleep(TICK_S)
            status = 0
        if status == 200:
            if tenure == self.tenure and reply.get("baton", -1) >= self.baton:
                if reply["baton"] > self.baton:
                    self.wake.set()
                self.baton = reply["baton"]
                self.renewed_at = max(self.renewed_at, sent_at)
                self.execute(reply["orders"])
            return
        named = (reply or {}).get("answer_to") if status == 421 else None
        names = [n.name for n in self.world.nodes]
        if named in names and names.index(named) != node:
            self.order.remove(names.index(named))
            self.order.insert(0, names.index(named))
        else:
            self.order.append(self.order.pop(0))
            await asyncio.sleep(1.0)
        self.wake.set()


class Cloud:
    """Rents machines."""

    def __init__(self, world: "World", kinds: list[MachineType], capacity: dict[Any, int]) -> None:
        self.world, self.kinds, self.capacity = world, kinds, capacity
        self.hosts: dict[str, Worker] = {}
        self.asks: dict[str, list[str]] = {}
        self.out = False
        self.count = 0
        self.lag_s = 1.0
        self.server = Server(self._handle)

    async def rent(self, kind: MachineType, zone: str, spot: bool, boot_s: float) -> Worker:
        """Rent one machine."""
        self.count += 1
        worker = Worker(self.world, f"vm-{self.count:06d}", kind, zone, spot)
        self.hosts[worker.name] = worker
        self.world.note("rented", worker.name, kind.name, zone, "spot" if spot else "ordinary")
        self.world.spawn(worker.boot(boot_s))
        return worker

    async def take(self, worker: Worker) -> None:
        """Take a machine back, with everything on it."""
        worker.gone = True
        self.hosts.pop(worker.name, None)
        self.world.note("gone", worker.name)
        await worker.die()

    async def fail(self, worker: Worker) -> None:
        """Let a machine stop with all that is on it; it stays listed."""
        worker.failed_at = time.monotonic()
        self.world.note("machine stops", worker.name)
        await worker.die()

    async def _handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        if self.out:
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            return 200, {"builds": [kind.wire() for kind in self.kinds]}
        if path == "/hosts/delete":
            for name in json.loads(body)["hosts"]:
                if name in self.hosts:
                    await self.take(self.hosts[name])
            return 200, {}
        if path == "/hosts" and method == "POST":
            return await self._rent(json.loads(body))
        return self._list(query)

    async def _rent(self, ask: dict[str, Any]) -> Answer:
        kind = next((k for k in self.kinds if k.name == ask["build"]), None)
        if kind is None or ask["roost"] not in kind.zones:
            return 400, {"error": "malformed"}
        if ask["ask"] not in self.asks:
            key = (kind.name, ask["roost"], ask["loaners"])
            used = sum((w.kind.name, w.zone, w.spot) == key for w in self.hosts.values())
            count = min(ask["count"], 50, self.capacity.get(key, 0) - used)
            if count <= 0:
                return 503, {"error": "no capacity"}
            boot_s = kind.boot_s
            self.asks[ask["ask"]] = [
                (
                    await self.rent(
                        kind, ask["roost"], ask["loaners"], boot_s * random.uniform(0.6, 1.5)
                    )
                ).name
                for _ in range(count)
            ]
        return 200, {"hosts": self.asks[ask["ask"]]}

    def _list(self, query: dict[str, str]) -> Answer:
        now = time.monotonic()
        limit = min(500, int(query.get("limit", 500)))
        names = sorted(
            n
            for n, w in self.hosts.items()
            if now - w.rented_at >= self.lag_s and n > query.get("after", "")
        )
        hosts = []
        for name in names[:limit]:
            worker = self.hosts[name]
            failed = worker.failed_at and now - worker.failed_at > 30
            status = (
                "failed" if failed else "running" if worker.up or worker.failed_at else "starting"
            )
            hosts.append(worker.listed(status))
        return 200, {"hosts": hosts, "truncated": len(names) > limit}

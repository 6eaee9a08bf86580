"""A cloud: rentals, deletions and the lagging list, with the protocol's limits.

python -m standins.cloud ADDRESS TYPES.json FIRST_PORT -- WORKER ARGUMENTS...
starts a worker process a machine; the arguments are passed on to each. What runs a machine is a
`Launcher`, so that hollow machines can share processes (standins.hollow_cloud).
POST /kill with {"host": "vm-000001"} kills one; POST /cut with {"host": ..., "seconds": 8} cuts
one off from the controllers.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Protocol

import curio
import msgspec

from standins.limits import Rate
from standins.serve import answer, error, query, serve
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient
from starlingdeck.transport.server import Request, Response

MOST_RENTED = 50  # machines a call
MOST_LISTED = 500
BURST_S = 2.0  # of the limit of calls
DEAD_SHOWN_S = 30.0  # a machine that died still shows as running for so long


class Launcher(Protocol):
    """Runs machines, wherever that is."""

    async def start(self, kind: api.MachineType, machine: api.MachineInfo) -> None:
        """Starts a machine and sets its address."""

    async def kill(self, name: str) -> None:
        """Ends a machine with all that is on it."""

    async def cut(self, machine: api.MachineInfo, seconds: float) -> None:
        """Cuts a machine off from the controllers."""


class ProcessLauncher:
    """A worker process a machine."""

    def __init__(self, port: int, arguments: list[str]) -> None:
        self.port = port
        self.arguments = arguments
        self.started = 0
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.http = HttpClient()

    async def start(self, kind: api.MachineType, machine: api.MachineInfo) -> None:
        """Starts the machine's worker process on a port of its own."""
        machine.addr = f"127.0.0.1:{self.port + self.started}"
        self.started += 1
        command = [sys.executable, "-m", "standins.worker", machine.id, machine.addr, kind.name]
        command += [machine.zone, f"{kind.cpus}", f"{kind.memory_gb}", *self.arguments]
        self.running[machine.id] = subprocess.Popen(command)

    async def kill(self, name: str) -> None:
        """Kills the machine's worker process."""
        process = self.running.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    async def cut(self, machine: api.MachineInfo, seconds: float) -> None:
        """Asks the worker to hold back all traffic for `seconds`."""
        body = msgspec.json.encode({"seconds": seconds})
        await self.http.call(machine.addr, "POST", "/cut", body, 2.0)

    async def run(self) -> None:
        """Workers end with the cloud's process."""
        try:
            while True:
                await curio.sleep(1.0)
        finally:
            for process in self.running.values():
                process.kill()


class Cloud:
    """The cloud's state and its HTTP interface."""

    def __init__(
        self,
        types: list[api.MachineType],
        launcher: Launcher,
        rps: float = 0.0,
        list_lag_s: float = 0.0,
        capacity: int = 0,
    ) -> None:
        """`rps` and `capacity` (machines in all): 0 for no limit."""
        self.types = types
        self.launcher = launcher
        self.calls = Rate(rps, BURST_S)
        self.list_lag_s = list_lag_s
        self.capacity = capacity
        self.machines: dict[str, api.MachineInfo] = {}
        self.rented: dict[str, list[str]] = {}  # by request
        self.began: dict[str, float] = {}
        self.died: dict[str, float] = {}
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

    async def handle(self, request: Request) -> Response:
        """Handles one request, within the limit of calls."""
        post = request.method == "POST"
        if request.path in ("/kill", "/cut"):
            return await self.trouble(request)
        if not self.calls.take():
            return error(429, "too many requests")
        if request.path == api.MACHINE_TYPES:
            return answer(api.MachineTypes(self.types))
        if request.path == api.MACHINES and post:
            return await self.rent(msgspec.json.decode(request.body, type=api.RentRequest))
        if request.path == api.MACHINES:
            return self.listed(query(request))
        if request.path == api.MACHINES_DELETE and post:
            for name in msgspec.json.decode(request.body, type=api.MachineNames).machines:
                await self.launcher.kill(name)
                self.machines.pop(name, None)
            return answer()
        return error(400, "no such path")

    async def trouble(self, request: Request) -> Response:
        """Kills or cuts off the machine that the request names."""
        body = msgspec.json.decode(request.body)
        info = self.machines.get(body["host"])
        if info is None:
            return error(404, "no such machine")
        if request.path == "/kill":
            await self.launcher.kill(info.id)
            self.died[info.id] = time.monotonic()
        else:
            await self.launcher.cut(info, body["seconds"])
        return answer()

    async def rent(self, asked: api.RentRequest) -> Response:
        """Rents machines. A repeated request gets the same answer and rents nothing."""
        kind = next((t for t in self.types if t.name == asked.type), None)
        if kind is None or asked.zone not in kind.zones:
            return error(400, "no such type there")
        if asked.request not in self.rented:
            count = min(MOST_RENTED, asked.count)
            if self.capacity:
                count = min(count, self.capacity - len(self.machines) + len(self.died))
            if count <= 0:
                return error(503, "no capacity")
            self.rented[asked.request] = [
                await self.start(kind, asked.zone, asked.spot) for _ in range(count)
            ]
        return answer(api.MachineNames(self.rented[asked.request]))

    async def start(self, kind: api.MachineType, zone: str, spot: bool) -> str:
        """Starts one machine and returns its name."""
        name = f"vm-{len(self.began) + 1:06d}"
        self.began[name] = time.monotonic()
        machine = api.MachineInfo(name, kind.name, zone, spot, api.RUNNING)
        self.machines[name] = machine
        await self.launcher.start(kind, machine)
        return name

    def listed(self, asked: dict[str, str]) -> Response:
        """One page of the machine list, `list_lag_s` seconds late."""
        now = time.monotonic()
        for name in list(self.died):
            if now - self.died[name] > DEAD_SHOWN_S and name in self.machines:
                self.machines[name].state = api.FAILED
        shown = [n for n in self.machines if now - self.began[n] >= self.list_lag_s]
        names = sorted(n for n in shown if n > asked.get("after", ""))
        limit = min(MOST_LISTED, int(asked.get("limit", MOST_LISTED)))
        for name in names[:limit]:
            self.machines[name].age_s = now - self.began[name]
        found = [self.machines[n] for n in names[:limit]]
        return answer(api.MachineList(found, len(names) > limit))


if __name__ == "__main__":
    kinds = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=list[api.MachineType])
    processes = ProcessLauncher(int(sys.argv[3]), sys.argv[sys.argv.index("--") + 1 :])
    serve(sys.argv[1], Cloud(kinds, processes).handle, processes.run)

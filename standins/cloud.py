"""Test double of the cloud: rentals, deletions and a lagging machine list, with rate limits.

python -m standins.cloud ADDRESS TYPES.json FIRST_PORT -- WORKER ARGUMENTS...
starts one worker process per machine and passes the arguments on to each. The machines are run by a
`Launcher`: `ProcessLauncher`, or that of standins.simulated_cloud, whose machines share processes.
POST /kill with {"host": "vm-000001"} kills a machine; POST /cut with {"host": ..., "seconds": 8}
isolates a machine from the controllers.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Protocol

import curio
import msgspec

from standins.limits import RateLimiter
from standins.serve import error_response, json_response, query_parameters, serve
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient
from starlingdeck.transport.server import Request, Response

MAX_MACHINES_PER_RENTAL = 50
MAX_PAGE_ITEMS = 500
RATE_BURST_S = 2.0  # allowed burst, in seconds' worth of requests
FAILURE_VISIBLE_AFTER_S = 30.0  # until a dead machine is listed as failed


class Launcher(Protocol):
    """Starts and ends the machines of a cloud."""

    async def start(self, machine_type: api.MachineType, machine: api.MachineInfo) -> None:
        """Starts a machine and sets its address."""

    async def kill(self, name: str) -> None:
        """Ends a machine and all its tasks."""

    async def isolate(self, machine: api.MachineInfo, seconds: float) -> None:
        """Isolates a machine from the controllers."""


class ProcessLauncher:
    """Runs one worker process per machine."""

    def __init__(self, first_port: int, arguments: list[str]) -> None:
        self.first_port = first_port
        self.arguments = arguments
        self.started_count = 0
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = HttpClient()

    async def start(self, machine_type: api.MachineType, machine: api.MachineInfo) -> None:
        """Starts the machine's worker process on a port of its own."""
        machine.addr = f"127.0.0.1:{self.first_port + self.started_count}"
        self.started_count += 1
        command = [
            sys.executable,
            "-m",
            "standins.worker",
            machine.id,
            machine.addr,
            machine_type.name,
        ]
        command += [
            machine.zone,
            f"{machine_type.cpus}",
            f"{machine_type.memory_gb}",
            *self.arguments,
        ]
        self.processes[machine.id] = subprocess.Popen(command)

    async def kill(self, name: str) -> None:
        """Kills the machine's worker process."""
        process = self.processes.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()

    async def isolate(self, machine: api.MachineInfo, seconds: float) -> None:
        """Makes the worker delay all traffic for `seconds`."""
        body = msgspec.json.encode({"seconds": seconds})
        await self.http.call(machine.addr, "POST", "/cut", body, 2.0)

    async def run(self) -> None:
        """Runs until the cloud's process ends, then kills the worker processes."""
        try:
            while True:
                await curio.sleep(1.0)
        finally:
            for process in self.processes.values():
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
        """Limits the cloud to `rps` requests per second and `capacity` machines; 0 means no limit.

        `list_lag_s` is the time until a started machine is listed.
        """
        self.types = types
        self.launcher = launcher
        self.rate_limiter = RateLimiter(rps, RATE_BURST_S)
        self.list_lag_s = list_lag_s
        self.capacity = capacity
        self.machines: dict[str, api.MachineInfo] = {}
        self.rented_by_request: dict[str, list[str]] = {}  # machine names by request id
        self.started_at: dict[str, float] = {}
        self.died_at: dict[str, float] = {}
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

    async def handle(self, request: Request) -> Response:
        """Handles one request; only fault injection is exempt from the rate limit."""
        post = request.method == "POST"
        if request.path in ("/kill", "/cut"):
            return await self.inject_fault(request)
        if not self.rate_limiter.take():
            return error_response(429, "too many requests")
        if request.path == api.MACHINE_TYPES:
            return json_response(api.MachineTypes(self.types))
        if request.path == api.MACHINES and post:
            return await self.rent(msgspec.json.decode(request.body, type=api.RentRequest))
        if request.path == api.MACHINES:
            return self.list_page(query_parameters(request))
        if request.path == api.MACHINES_DELETE and post:
            for name in msgspec.json.decode(request.body, type=api.MachineNames).machines:
                await self.launcher.kill(name)
                self.machines.pop(name, None)
            return json_response()
        return error_response(400, "no such path")

    async def inject_fault(self, request: Request) -> Response:
        """Kills or isolates the machine that the request names."""
        body = msgspec.json.decode(request.body)
        info = self.machines.get(body["host"])
        if info is None:
            return error_response(404, "no such machine")
        if request.path == "/kill":
            await self.launcher.kill(info.id)
            self.died_at[info.id] = time.monotonic()
        else:
            await self.launcher.isolate(info, body["seconds"])
        return json_response()

    async def rent(self, request: api.RentRequest) -> Response:
        """Rents machines. A repeated request gets the same answer and rents nothing."""
        machine_type = next((known for known in self.types if known.name == request.type), None)
        if machine_type is None or request.zone not in machine_type.zones:
            return error_response(400, "no such type there")
        if request.request not in self.rented_by_request:
            count = min(MAX_MACHINES_PER_RENTAL, request.count)
            if self.capacity:
                count = min(count, self.capacity - len(self.machines) + len(self.died_at))
            if count <= 0:
                return error_response(503, "no capacity")
            self.rented_by_request[request.request] = [
                await self.start_machine(machine_type, request.zone, request.spot)
                for _ in range(count)
            ]
        return json_response(api.MachineNames(self.rented_by_request[request.request]))

    async def start_machine(self, machine_type: api.MachineType, zone: str, spot: bool) -> str:
        """Starts one machine and returns its name."""
        name = f"vm-{len(self.started_at) + 1:06d}"
        self.started_at[name] = time.monotonic()
        machine = api.MachineInfo(name, machine_type.name, zone, spot, api.RUNNING)
        self.machines[name] = machine
        await self.launcher.start(machine_type, machine)
        return name

    def list_page(self, parameters: dict[str, str]) -> Response:
        """Returns a page of the machine list; a machine is listed `list_lag_s` after its start."""
        now = time.monotonic()
        for name in list(self.died_at):
            if now - self.died_at[name] > FAILURE_VISIBLE_AFTER_S and name in self.machines:
                self.machines[name].state = api.FAILED
        visible = [name for name in self.machines if now - self.started_at[name] >= self.list_lag_s]
        names = sorted(name for name in visible if name > parameters.get("after", ""))
        limit = min(MAX_PAGE_ITEMS, int(parameters.get("limit", MAX_PAGE_ITEMS)))
        for name in names[:limit]:
            self.machines[name].age_s = now - self.started_at[name]
        page = [self.machines[name] for name in names[:limit]]
        return json_response(api.MachineList(page, len(names) > limit))


if __name__ == "__main__":
    machine_types = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=list[api.MachineType])
    processes = ProcessLauncher(int(sys.argv[3]), sys.argv[sys.argv.index("--") + 1 :])
    serve(sys.argv[1], Cloud(machine_types, processes).handle, processes.run)

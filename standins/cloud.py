"""A cloud whose machines are worker processes on loopback.

python -m standins.cloud ADDRESS TYPES.json FIRST_PORT -- WORKER ARGUMENTS...
The arguments are passed on to every worker. POST /kill with {"host": "vm-000001"} kills one;
POST /cut with {"host": ..., "seconds": 8} cuts one off from the controllers.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path

import curio
import msgspec

from standins.serve import answer, error, query, serve
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient
from starlingdeck.transport.server import Request, Response


class Cloud:
    def __init__(self, types: list[api.MachineType], port: int, arguments: list[str]) -> None:
        self.types = types
        self.port = port
        self.arguments = arguments
        self.machines: dict[str, api.MachineInfo] = {}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.rented: dict[str, list[str]] = {}  # by request
        self.began: dict[str, float] = {}
        self.http = HttpClient()
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

    async def handle(self, request: Request) -> Response:
        post = request.method == "POST"
        if request.path == api.MACHINE_TYPES:
            return answer(api.MachineTypes(self.types))
        if request.path == api.MACHINES and post:
            return self.rent(msgspec.json.decode(request.body, type=api.RentRequest))
        if request.path == api.MACHINES:
            return self.listed(query(request))
        if request.path == api.MACHINES_DELETE and post:
            names = msgspec.json.decode(request.body, type=api.MachineNames).machines
            for name in names:
                self.kill(name)
                self.machines.pop(name, None)
            return answer()
        if request.path in ("/kill", "/cut"):
            body = msgspec.json.decode(request.body)
            info = self.machines.get(body["host"])
            if info is None:
                return error(404, "no such machine")
            if request.path == "/kill":
                self.kill(info.id)
            else:
                await self.http.call(info.addr, "POST", "/cut", request.body, 2.0)
            return answer()
        return error(400, "no such path")

    def rent(self, asked: api.RentRequest) -> Response:
        kind = next((t for t in self.types if t.name == asked.type), None)
        if kind is None or asked.zone not in kind.zones:
            return error(400, "no such type there")
        if asked.request not in self.rented:
            self.rented[asked.request] = [
                self.start(kind, asked.zone, asked.spot) for _ in range(min(50, asked.count))
            ]
        return answer(api.MachineNames(self.rented[asked.request]))

    def start(self, kind: api.MachineType, zone: str, spot: bool) -> str:
        name = f"vm-{len(self.began) + 1:06d}"
        address = f"127.0.0.1:{self.port + len(self.began)}"
        self.began[name] = time.monotonic()
        self.machines[name] = api.MachineInfo(name, kind.name, zone, spot, api.RUNNING, address)
        command = [sys.executable, "-m", "standins.worker", name, address, kind.name, zone]
        command += [f"{kind.cpus}", f"{kind.memory_gb}", *self.arguments]
        self.running[name] = subprocess.Popen(command)
        return name

    def kill(self, name: str) -> None:
        process = self.running.pop(name, None)
        if process is not None:
            process.kill()
            process.wait()
            self.machines[name].state = api.FAILED

    def listed(self, asked: dict[str, str]) -> Response:
        names = sorted(n for n in self.machines if n > asked.get("after", ""))
        limit = min(500, int(asked.get("limit", 500)))
        for name in names[:limit]:
            self.machines[name].age_s = time.monotonic() - self.began[name]
        found = [self.machines[n] for n in names[:limit]]
        return answer(api.MachineList(found, len(names) > limit))

    async def reap(self) -> None:
        """Workers end with the cloud's process."""
        try:
            while True:
                await curio.sleep(1.0)
        finally:
            for name in list(self.running):
                self.kill(name)


if __name__ == "__main__":
    kinds = msgspec.json.decode(Path(sys.argv[2]).read_bytes(), type=list[api.MachineType])
    cloud = Cloud(kinds, int(sys.argv[3]), sys.argv[sys.argv.index("--") + 1 :])
    serve(sys.argv[1], cloud.handle, cloud.reap)

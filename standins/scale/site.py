"""The processes of one rung on loopback: state service, worker hosts, cloud, controllers."""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, TypeVar

import curio
import msgspec

from standins.scale.measure import Usage, process_usage
from standins.scale.plan import Plan, Rung, worker_host_count
from standins.simulated_cloud import CloudConfig
from standins.simulated_workers import HostConfig, HostStats
from standins.state import StateStats
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply

ROOT = Path(__file__).resolve().parents[2]
READY_TIMEOUT_S = 60.0
FETCH_S = 0.3  # mean time that a simulated worker takes to fetch an image
LIST_LAG_S = 3.0  # how far the cloud's list of machines lags behind its changes
FIRST_NETWORK = 20  # second byte of the first worker host's addresses
# Machines that the cloud has beyond the initial ones, as a share of these.
SPARE_MACHINE_SHARE = 0.3
T = TypeVar("T")


class Site:
    """Starts, queries and ends a rung's processes; `folder` holds their settings and logs."""

    def __init__(self, plan: Plan, rung: Rung, folder: Path) -> None:
        self.plan, self.rung, self.folder = plan, rung, folder
        port = plan.port
        # Addresses of the state service, the cloud, the checker and the worker hosts, and of the
        # controllers' public and peer APIs.
        self.state = f"127.0.0.1:{port}"
        self.cloud = f"127.0.0.1:{port + 1}"
        self.checker = f"127.0.0.1:{port + 2}"
        self.hosts = [f"127.0.0.1:{port + 10 + i}" for i in range(worker_host_count(plan, rung))]
        self.public = [f"127.0.0.1:{port + 400 + i}" for i in range(rung.controllers)]
        self.cluster = [f"127.0.0.1:{port + 500 + i}" for i in range(rung.controllers)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.earlier_cpu_s: dict[str, float] = {}  # processor time of killed processes, by name
        self.http = HttpClient()
        self.environment = os.environ | {
            "PYTHONPATH": os.pathsep.join([str(ROOT), str(ROOT / "target" / "deps"), *sys.path])
        }

    def taken_ports(self) -> list[int]:
        """Return the ports of the site that are in use already."""
        addresses = (self.state, self.cloud, self.checker, *self.hosts, *self.public, *self.cluster)
        return self.ports_in_use(addresses)

    @staticmethod
    def ports_in_use(addresses: Iterable[str]) -> list[int]:
        """Return the ports of those addresses that are in use already."""
        taken = []
        for address in addresses:
            with socket.socket() as trial:
                # Servers set this too: an earlier rung's closing connections don't block a port.
                trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    trial.bind(split_address(address))
                except OSError:
                    taken.append(split_address(address)[1])
        return taken

    # --- settings

    def controller_settings(self, number: int) -> dict[str, Any]:
        """Return the contents of one controller's settings file."""
        plan, limits = self.plan, self.plan.limits
        members = [
            {"host_name": f"n-{i}", "zone": "a", "address": address}
            for i, address in enumerate(self.cluster)
        ]
        team = {"cpus": 0.0, "cpus_max": plan.users.team_cpus_max}
        return {
            "host_name": f"n-{number}",
            "zone": "a",
            "public_addr": self.public[number],
            "cluster_listen": self.cluster[number],
            "peers": [member for i, member in enumerate(members) if i != number],
            "external": {"cloud": self.cloud, "state": self.state},
            "settings": {
                "nodes": self.rung.controllers,
                "zones": ["a"],
                "teams": [{"name": f"team-{i:03d}", **team} for i in range(plan.users.teams)],
                "workers": {
                    "report_s": limits.report_s,
                    "lease_s": limits.lease_s,
                    "cancel_s": limits.cancel_s,
                },
                "state": {
                    "rps": limits.rps,
                    "write_rps": limits.write_rps,
                    "value_kb": limits.value_kb,
                    "txn_ops": limits.txn_ops,
                },
                "cloud": {"rps": limits.cloud_rps, "list_lag_s": LIST_LAG_S},
                "machine_limits": {
                    "cores": 1.0,
                    "mem_mb": 2048.0,
                    "max_connections": limits.max_connections or 4 * self.rung.workers + 600,
                },
                "skew_ms": 100.0,
            },
        }

    def write_json(self, name: str, value: Any) -> str:
        """Write a JSON file into the folder and return its path."""
        path = self.folder / name
        path.write_bytes(msgspec.json.encode(value))
        return str(path)

    def host_config(self, number: int) -> HostConfig:
        """Return the settings of one worker host process."""
        plan = self.plan
        return HostConfig(
            control=self.hosts[number],
            checker=self.checker,
            network=FIRST_NETWORK + number,
            port=plan.port + 600,
            controllers={f"n-{i}": address for i, address in enumerate(self.public)},
            report_s=plan.limits.report_s,
            lease_s=plan.limits.lease_s,
            fetch_s=FETCH_S,
            seed=plan.seed + number,
            broken=plan.broken and number == 0,
        )

    def cloud_config(self) -> CloudConfig:
        """Return the settings of the cloud's process."""
        workers = self.rung.workers
        # The machine type keeps the name that earlier reports and logs have.
        machine_type = api.MachineType(
            "hollow", float(self.plan.slots), 4.0 * self.plan.slots, ["a"], price=1.0, boot_s=1.0
        )
        return CloudConfig(
            address=self.cloud,
            types=[machine_type],
            hosts=self.hosts,
            rps=self.plan.limits.cloud_rps,
            list_lag_s=LIST_LAG_S,
            capacity=workers + max(10, int(SPARE_MACHINE_SHARE * workers)),
            initial=workers,
        )

    # --- processes

    def start(self, name: str, *command: str) -> None:
        """Start a Python process whose output goes to a log in the folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command], cwd=ROOT, stdout=log, stderr=log, env=self.environment
            )

    async def start_all(self) -> None:
        """Start all processes and wait until every controller is healthy."""
        self.start_state_service()
        for number in range(len(self.hosts)):
            path = self.write_json(f"host-{number}.json", self.host_config(number))
            self.start(f"host-{number}", "-m", "standins.simulated_workers", path)
        for address in (self.state, *self.hosts):
            await self.wait_ready(address, "/stats")
        path = self.write_json("cloud.json", self.cloud_config())
        self.start("cloud", "-m", "standins.simulated_cloud", path)
        for number in range(self.rung.controllers):
            self.write_json(f"n-{number}.json", self.controller_settings(number))
            self.start_controller(number)
        for address in self.public:
            await self.wait_ready(address, api.HEALTH)

    def start_state_service(self) -> None:
        """Start the state service with the plan's limits."""
        limits = self.plan.limits
        options = [f"--rps={limits.rps}", f"--write-rps={limits.write_rps}"]
        options += [f"--value-kb={limits.value_kb}", f"--txn-ops={limits.txn_ops}"]
        self.start("state", "-m", "standins.state", self.state, *options)

    def start_controller(self, number: int) -> None:
        """Start one controller."""
        self.start(f"n-{number}", *self.controller_command(number))

    def controller_command(self, number: int) -> list[str]:
        """Return the command that starts a controller, without the interpreter."""
        command = ["run.py", "run", "--config", str(self.folder / f"n-{number}.json")]
        if self.plan.tuning:
            command += ["--tuning", str(Path(self.plan.tuning).resolve())]
        return command

    def kill_controller(self, number: int) -> None:
        """Kill one controller with SIGKILL; its processor time so far is kept."""
        name = f"n-{number}"
        process = self.processes[name]
        last_usage = self.usage(name)
        process.kill()
        process.wait()
        if last_usage is not None:
            self.earlier_cpu_s[name] = self.earlier_cpu_s.get(name, 0.0) + last_usage.cpu_s

    async def wait_ready(self, address: str, path: str) -> None:
        """Wait until an address answers 200; raises RuntimeError after READY_TIMEOUT_S seconds."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            self.check_alive()
            reply = await self.request(address, "GET", path)
            if reply is not None and reply.status == 200:
                return
            await curio.sleep(0.1)
        raise RuntimeError(
            f"{address} did not answer 200 to GET {path} within {READY_TIMEOUT_S:.0f} s;"
            f" see the logs in {self.folder}"
        )

    def check_alive(self) -> None:
        """Raise RuntimeError if a process has ended other than by SIGKILL, which faults use."""
        for name, process in self.processes.items():
            if process.poll() not in (None, -signal.SIGKILL):
                raise RuntimeError(f"{name} ended by itself; see {self.folder}/{name}.log")

    def stop(self) -> None:
        """Kill all processes of the site and wait until they have ended."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    # --- requests and statistics

    async def request(
        self, address: str, method: str, path: str, body: bytes | None = None
    ) -> Reply | None:
        """Send one HTTP request and return the response, or None if there is none."""
        try:
            return await self.http.call(address, method, path, body, 10.0)
        except NoResponseError:
            return None

    async def fetch_stats(self, address: str, kind: type[T]) -> T:
        """Return the statistics of a process; raises RuntimeError when it does not answer."""
        reply = await self.request(address, "GET", "/stats")
        if reply is None:
            raise RuntimeError(f"{address} does not answer")
        return msgspec.json.decode(reply.body, type=kind)

    async def begin_outage(self, seconds: float) -> None:
        """Begin an outage of the state service."""
        body = msgspec.json.encode({"seconds": seconds})
        await self.request(self.state, "POST", "/out", body)

    async def state_stats(self) -> StateStats:
        """Return the statistics of the state service."""
        return await self.fetch_stats(self.state, StateStats)

    async def host_stats(self) -> list[HostStats]:
        """Return the statistics of each worker host."""
        return [await self.fetch_stats(address, HostStats) for address in self.hosts]

    def usage(self, name: str) -> Usage | None:
        """Return the resource use of a process so far; None when it has ended."""
        process = self.processes.get(name)
        if process is None or process.poll() is not None:
            return None
        return process_usage(process.pid)

    def cpu_s(self, name: str) -> float:
        """Return the seconds of processor time so far of all processes under one name."""
        current = self.usage(name)
        return self.earlier_cpu_s.get(name, 0.0) + (current.cpu_s if current is not None else 0.0)

    def ports(self) -> set[int]:
        """Return the ports whose traffic is measured."""
        return {split_address(address)[1] for address in (*self.public, *self.cluster, self.state)}

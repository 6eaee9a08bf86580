"""Starts a small deployment on loopback for one case, and records what happens in it.

Three controllers are started with the command of deploy/service.toml. The state service, the cloud
and the workers are stand-ins. Every event goes to `record.txt` in the folder of the case.
"""

import http.client
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit statuses of a case
CONTROLLERS = 3
CONTROLLER = "perch-"  # followed by its number
# Those of the page "How the Charger Fleet Gets Its Work" (BRIEF, DEPLOY).
SETTINGS: dict[str, Any] = {
    "workers": {
        "report_s": 1.5,
        "lease_s": 10.0,
        "gang_wait_s": 35.0,
        "gang_peer_s": 4.0,
        "cancel_s": 35.0,
    },
    "state": {"rps": 200.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 3.0},
    "machine_limits": {"cores": 0.5, "mem_mb": 146.0, "max_connections": 900},
    "skew_ms": 1000.0,
}
READY_TIMEOUT_S = 25.0
POLL_S = 0.1


class NotRunError(Exception):
    """The case could not be run; nothing can be said about the rule."""


class WorkerEvent(NamedTuple):
    """A line of a worker host: monotonic time, kind (on, off, done, gone), task, machine."""

    at: float
    kind: str
    task: str
    machine: str


def with_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports that nobody listens on now, below the range of outgoing connections."""
    ports: list[int] = []
    port = 10_000 + os.getpid() * 41 % 20_000
    while len(ports) < count:
        port += 1
        with socket.socket() as trial:
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                trial.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def shard_of_job(job: str) -> int:
    """Return the controller that a job's id hashes to."""
    return crc32(job.encode()) % CONTROLLERS


def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Send one request; return status and decoded body, or (0, error) without a response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data, {"content-type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    except (OSError, http.client.HTTPException, ValueError) as error:
        return 0, repr(error)
    finally:
        connection.close()


class Deployment:
    """The processes of one case, in a temporary folder, and its record."""

    def __init__(self, case: Path, teams: list[dict[str, Any]], zones: list[str]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = (case / "record.txt").open("w", buffering=1)
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.teams, self.zones = teams, zones
        ports = free_ports(5 + 2 * CONTROLLERS + CONTROLLERS**2)
        (self.state, self.cloud, self.checker, self.host, self.workers_port) = (
            f"127.0.0.1:{ports[0]}",
            f"127.0.0.1:{ports[1]}",
            f"127.0.0.1:{ports[2]}",
            f"127.0.0.1:{ports[3]}",
            ports[4],
        )
        self.public = [f"127.0.0.1:{port}" for port in ports[5 : 5 + CONTROLLERS]]
        self.cluster = [
            f"127.0.0.1:{port}" for port in ports[5 + CONTROLLERS : 5 + 2 * CONTROLLERS]
        ]
        # The addresses at which each controller reaches the others; proxies' if a case has some.
        self.peer_addresses = [list(self.cluster) for _ in range(CONTROLLERS)]
        self.spare_ports = ports[5 + 2 * CONTROLLERS :]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.events: list[WorkerEvent] = []

    # --- the record

    def record(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    # --- processes

    def start(self, name: str, *command: str) -> None:
        """Start a process from the project's root; its output goes to the temporary folder."""
        environment = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        environment["LOG_LEVEL"] = "info"
        if not name.startswith(CONTROLLER):
            # Stand-ins use the project's modules and packages; a controller finds its own.
            paths = [str(ROOT), str(ROOT / "target" / "deps")]
            environment["PYTHONPATH"] = os.pathsep.join(paths)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.record(f"process {name} started")

    def write_json(self, name: str, value: Any) -> str:
        """Write a JSON file into the temporary folder and return its path."""
        path = self.folder / name
        path.write_text(json.dumps(value))
        return str(path)

    def controller_settings(self, number: int) -> dict[str, Any]:
        """Return the settings of one controller, in the form of the page DEPLOY."""
        members = [
            {
                "host_name": f"perch-{i}",
                "zone": self.zones[i % len(self.zones)],
                "address": self.peer_addresses[number][i],
            }
            for i in range(CONTROLLERS)
        ]
        return {
            "host_name": f"perch-{number}",
            "zone": self.zones[number % len(self.zones)],
            "public_addr": self.public[number],
            "cluster_listen": self.cluster[number],
            "peers": [member for i, member in enumerate(members) if i != number],
            "external": {"cloud": self.cloud, "state": self.state},
            "settings": {
                "nodes": CONTROLLERS,
                "zones": self.zones,
                "teams": self.teams,
                "objectives": [],
                **SETTINGS,
            },
        }

    def start_controller(self, number: int) -> None:
        """Start a controller with the command of the deploy file."""
        service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        path = self.write_json(f"perch-{number}.json", self.controller_settings(number))
        self.start(f"perch-{number}", *shlex.split(service["run"]), path)

    def start_workers(self, slots: int, machines: int, host: tuple[str, ...] = ()) -> None:
        """Start the workers' host and the cloud, with equal machines of `slots` CPUs.

        `host` is a script in the folder `lib` that takes the place of the project's stand-in, and
        its arguments after the configuration.
        """
        fleet = [("bison-large", self.zones[0], False)] * machines
        self.start_fleet({"bison-large": float(slots)}, fleet, host)

    def start_fleet(
        self,
        types: dict[str, float],
        fleet: list[tuple[str, str, bool]],
        host: tuple[str, ...] = (),
    ) -> None:
        """Start the workers' host and the cloud.

        `types` are the CPUs of each machine type, `fleet` the type, zone and kind (spot or not) of
        each machine. The cloud has no others.
        """
        receiver = socket.create_server(("127.0.0.1", int(self.checker.split(":")[1])))
        threading.Thread(target=self._receive_events, args=(receiver,), daemon=True).start()
        config = {
            "control": self.host,
            "checker": self.checker,
            "network": 20,
            "port": self.workers_port,
            "controllers": {f"perch-{i}": address for i, address in enumerate(self.public)},
            "report_s": SETTINGS["workers"]["report_s"],
            "lease_s": SETTINGS["workers"]["lease_s"],
            "fetch_s": 0.3,
            "seed": 1,
        }
        module = ["-m", "standins.simulated_workers"]
        if host:
            module = [str(ROOT / "review" / "lib" / host[0])]
        path = self.write_json("host.json", config)
        self.start("host", sys.executable, "-S", *module, path, *host[1:])
        self.wait_until(lambda: call(self.host, "GET", "/stats")[0] == 200, "the workers' host")
        cloud = {
            "address": self.cloud,
            "types": [self._machine_type(name, cpus) for name, cpus in types.items()],
            "hosts": [self.host],
            "rps": SETTINGS["cloud"]["rps"],
            "list_lag_s": SETTINGS["cloud"]["list_lag_s"],
            "fleet": fleet,
        }
        path = self.write_json("cloud.json", cloud)
        script = str(ROOT / "review" / "lib" / "fleet_cloud.py")
        self.start("cloud", sys.executable, "-S", script, path)

    def _machine_type(self, name: str, cpus: float) -> dict[str, Any]:
        return {
            "sku": name,
            "cores": cpus,
            "accelerators": 0.0,
            "ram_gb": 8.0 * cpus,
            "local_gb": 100.0,
            "pull_gb_per_s": 1.0,
            "rate": 0.08 * cpus,
            "spot_price": 0.02 * cpus,
            "boot_s": 30.0,
            "roosts": self.zones,
        }

    def start_state_service(self) -> None:
        """Start the state service, which can execute chosen transactions late."""
        limits = json.dumps(SETTINGS["state"])
        script = str(ROOT / "review" / "lib" / "late_state.py")
        self.start("state", sys.executable, "-S", script, self.state, limits)
        self.wait_until(lambda: call(self.state, "GET", "/stats")[0] == 200, "the state service")

    def start_controllers(self) -> None:
        """Start all controllers and wait until each is healthy."""
        for number in range(CONTROLLERS):
            self.start_controller(number)
        for address in self.public:
            self.wait_until(lambda a=address: call(a, "GET", "/up")[0] == 200, "a controller")

    def kill(self, name: str) -> None:
        """Kill a process that this deployment started."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.record(f"process {name} killed")

    def pause(self, name: str) -> None:
        """Stop a process that this deployment started, until it is resumed."""
        self.processes[name].send_signal(signal.SIGSTOP)
        self.record(f"process {name} stands still")

    def resume(self, name: str) -> None:
        """Let a process go on."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.record(f"process {name} goes on")

    def check_alive(self) -> None:
        """Raise NotRunError if a process has ended by itself."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise NotRunError(f"{name} ended by itself: {self._tail(name)}")

    def log_of(self, name: str) -> str:
        """Return what a process has logged so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def _tail(self, name: str) -> str:
        return self.log_of(name)[-1500:]

    def wait_until(
        self, is_over: Callable[[], bool], what: str, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until something is over. Raises NotRunError after the time-out."""
        deadline = time.monotonic() + timeout_s
        while not is_over():
            self.check_alive()
            if time.monotonic() > deadline:
                raise NotRunError(f"waited {timeout_s:.0f} s for {what}")
            time.sleep(POLL_S)

    def stop(self) -> None:
        """Copy the processes' logs into the record, and end every process."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for log in sorted(self.folder.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                self.record_file.write(f"log {log.stem} {line}\n")
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # --- workers' events

    def _receive_events(self, receiver: socket.socket) -> None:
        while True:
            client, _ = receiver.accept()
            threading.Thread(target=self._read_events, args=(client,), daemon=True).start()

    def _read_events(self, client: socket.socket) -> None:
        with client, client.makefile() as stream:
            for line in stream:
                at, kind, task, machine = line.split(" ", 3)[0], *_parse(line)
                event = WorkerEvent(float(at), kind, task, machine)
                with self.lock:
                    self.events.append(event)
                    self.record_file.write(
                        f"{event.at - self.began:8.3f} worker {machine}: {kind} {task}\n"
                    )

    def sorted_events(self) -> list[WorkerEvent]:
        """Return the workers' events so far, in order of time."""
        with self.lock:
            return sorted(self.events)

    # --- users

    def submission(self, job: str, team: str, tasks: int, rank: str, **fields: Any) -> Any:
        """Return the body of a submission of an array with tasks of one CPU."""
        body = {
            "uid": job,
            "flock": "fault-sweep",
            "crew": team,
            "shape": "sweep",
            "rank": rank,
            "chores": tasks,
            "cores": 1.0,
            "accelerators": 0.0,
            "ram_gb": 1.0,
            "kit": "img-07",
            "image_gb": 0.1,
            "builds": None,
            "roost": None,
            "same_place": False,
            "spread": False,
            "loaners": False,
            "guess_s": 20.0,
            "mark_s": 0.0,
            "stash_s": 0.0,
            "due_s": None,
        }
        return body | fields

    def request(
        self, node: int, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any]:
        """Send a user's request to one controller, and record it with its answer."""
        sent = time.monotonic() - self.began
        status, answer = call(self.public[node], method, path, body, timeout_s)
        self.record(f"user: {method} {path} to perch-{node} at {sent:.3f} -> {status} {answer}")
        return status, answer

    def submit(self, body: Any, node: int) -> None:
        """Submit a job and retry as the page says. Raises NotRunError if it isn't accepted."""
        deadline = time.monotonic() + 60.0
        while time.monotonic() < deadline:
            status, _ = self.request(node, "POST", "/v2/runs", body)
            if status in (200, 201):
                return
            if status in (400, 422):
                break
            time.sleep(1.0)
        raise NotRunError(f"{body['uid']} was not accepted")

    def state_of(self, job: str, node: int) -> str:
        """Return the job's state as a poll shows it; "" without an answer."""
        status, answer = self.request(node, "GET", f"/v2/runs/{job}", timeout_s=2.0)
        return answer["status"] if status == 200 else ""


def _parse(line: str) -> tuple[str, str, str]:
    """Return kind, task and machine of an event line; the kind may consist of two words."""
    words = line.split()
    return words[1], words[-2], words[-1]


def run_case(run: Callable[[], int]) -> int:
    """Run a case; return its exit status. A SIGTERM ends it, and the processes it started."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        return run()
    except NotRunError as error:
        print(f"not run: {error}", file=sys.stderr)
        return NOT_RUN

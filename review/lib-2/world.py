"""A small deployment: real controllers, and stand-ins of all that they talk to."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from machines import Cloud, MachineType, Worker
from state import StateService
from wire import Proxy, call, free_port

ROOT = Path(__file__).resolve().parents[2]


@dataclass
class Node:
    """A controller's process and its addresses."""

    number: int
    zone: str
    public: str
    cluster: str
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0

    @property
    def name(self) -> str:
        """The host name of the controller."""
        return f"perch-{self.number}"


@dataclass
class Seen:
    """What a user was told about a job."""

    accepted_at: float = 0.0
    terminal: str = ""
    cancelled_at: float = 0.0
    cancel_asked: bool = False
    polls: list[tuple[float, int, str]] = field(default_factory=list)


class Checker:
    """The rules of the protocol page, as workers and users see them."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.on: dict[str, set[Worker]] = defaultdict(set)
        self.done: set[str] = set()
        self.broken: list[str] = []

    def fail(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.world.note("RULE BROKEN", rule, text)

    def entered(self, name: str, attempt: int, worker: Worker) -> None:
        """A task is on a machine from now on."""
        job = name.split("/", maxsplit=1)[0]
        spec, seen = self.world.jobs[job], self.world.seen[job]
        self.world.note("starts", name, attempt, worker.name, worker.zone)
        others = {other.name for other in self.on[name] if other is not worker}
        if others:
            self.fail("ran_twice", f"{name} starts on {worker.name} while on {others}")
        self.on[name].add(worker)
        self._check_place(name, spec, worker)
        self._check_quota(spec["crew"])
        if seen.cancelled_at and time.monotonic() - seen.cancelled_at > self.world.cancel_s:
            self.fail("ran_cancelled", f"{name} starts on {worker.name}")

    def _check_place(self, name: str, spec: dict[str, Any], worker: Worker) -> None:
        job = name.split("/", maxsplit=1)[0]
        zones = [w.zone for task, ws in self.on.items() if task.split("/")[0] == job for w in ws]
        wrong = (spec["builds"] and worker.kind.name not in spec["builds"]) or (
            spec["roost"] and worker.zone != spec["roost"]
        )
        wrong = wrong or (worker.spot and not spec["loaners"])
        wrong = wrong or (spec["same_place"] and len(set(zones)) > 1)
        half = (spec["chores"] + 1) // 2
        wrong = wrong or (spec["spread"] and zones.count(worker.zone) > half)
        if wrong:
            self.fail("wrong_place", f"{name} on {worker.name} in {worker.zone}, zones {zones}")

    def _check_quota(self, crew: str) -> None:
        limit = next(t["cpus_max"] for t in self.world.teams if t["name"] == crew)
        used = sum(
            self.world.jobs[task.split("/")[0]]["cores"] * len(ws)
            for task, ws in self.on.items()
            if self.world.jobs[task.split("/")[0]]["crew"] == crew
        )
        if limit and used > limit + 1e-6:
            self.fail("quota", f"{crew} uses {used} of {limit}")

    def left(self, name: str, worker: Worker) -> None:
        """A task isn't on a machine any more."""
        if worker in self.on[name]:
            self.on[name].discard(worker)
            self.world.note("leaves", name, worker.name)

    def completed(self, name: str) -> None:
        """A task has completed."""
        self.done.add(name)

    def answered(self, job: str, status: int, body: Any, asked: str) -> None:
        """A user got an answer about a job."""
        seen, state = self.world.seen[job], (body or {}).get("status", "")
        if status in (200, 201):
            seen.accepted_at = seen.accepted_at or time.monotonic()
        if status == 404 and asked == "poll" and seen.accepted_at:
            self.fail("forgotten", f"{job} got 404")
        if status in (400, 422) and seen.accepted_at:
            self.fail("forgotten", f"{job} got {status} to {asked}")
        if status in (200, 201):
            self._told(job, status, state)

    def _told(self, job: str, status: int, state: str) -> None:
        """A user was told a job's state."""
        seen = self.world.seen[job]
        if job not in self.world.jobs:
            self.fail("invented", f"{job} got {status}")
            return
        if seen.terminal and state != seen.terminal:
            self.fail("went_back", f"{job} was {seen.terminal}, is {state}")
        if state == "cancelled" and not seen.cancel_asked:
            self.fail("went_back", f"{job} is cancelled, nobody asked")
        if state == "done":
            chores = self.world.jobs[job]["chores"]
            missing = [t for t in range(chores) if f"{job}/{t}" not in self.done]
            if missing:
                self.fail("not_done", f"{job} is called done, {missing} have not completed")
        if state in ("done", "cancelled"):
            seen.terminal = seen.terminal or state
        if state == "cancelled" and not seen.cancelled_at:
            seen.cancelled_at = time.monotonic()

    def check_cancelled(self) -> None:
        """Look for tasks of jobs that were cancelled too long ago."""
        now = time.monotonic()
        for name, workers in self.on.items():
            at = self.world.seen[name.split("/")[0]].cancelled_at
            if at and workers and now - at > self.world.cancel_s:
                names = [w.name for w in workers]
                self.fail("ran_cancelled", f"{name} is on {names}, {now - at:.1f} s after")
                self.world.seen[name.split("/")[0]].cancelled_at = now + 1e6


class World:
    """All processes and stand-ins of one run."""

    def __init__(self, record: Path, zones: list[str], **options: Any) -> None:
        self.started_at = time.monotonic()
        self.record = record.open("w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="starlingdeck-review-"))
        self.zones = zones
        self.report_s = options.get("report_s", 1.0)
        self.lease_s = options.get("lease_s", 10.0)
        self.cancel_s = options.get("cancel_s", 40.0)
        self.teams = options.get("teams") or [
            {"name": "arhiv-team", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        ]
        # The defaults are those of novak-registry.
        self.state_limits = options.get("state_limits") or {
            "rps": 120.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 24,
        }  # fmt: skip
        self.objectives = options.get("objectives", [])
        self.list_lag_s = options.get("list_lag_s", 3.0)
        self.nodes = [
            Node(i, zone, f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}")
            for i, zone in enumerate(zones)
        ]
        self.jobs: dict[str, dict[str, Any]] = {}
        self.seen: dict[str, Seen] = defaultdict(Seen)
        self.results: set[str] = set()
        self.run_times: dict[str, float] = {}
        # Called when a worker is told to launch a task.
        self.on_launch: Callable[[Worker, str], None] = lambda *_: None
        # Stop commands that workers executed: task, attempt, when the attempt was launched there.
        self.stops: list[tuple[str, int, float]] = []
        self.tokens: dict[int, int] = {}
        self.held: dict[int, list[dict[str, Any]]] = defaultdict(list)
        self.checker = Checker(self)
        self.state = StateService(len(zones))
        self.state.on_set = self._on_set
        self.cloud = Cloud(self, options["kinds"], options["capacity"])
        self.cloud.lag_s = self.list_lag_s
        self.peer_links: dict[tuple[int, int], Proxy] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    # --- helpers

    def note(self, *parts: object) -> None:
        """Write a line to the record."""
        self.record.write(f"{time.monotonic() - self.started_at:8.2f} " + " ".join(map(str, parts)))
        self.record.write("\n")

    def spawn(self, job: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: "asyncio.Task[Any]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.note("STAND-IN FAILED", repr(task.exception()))

    def _on_set(self, key: str, value: Any, epoch: int) -> None:
        if key.startswith("c/s/"):
            self.tokens[epoch] = value["node"]
            self.note("owner of shard", key[4:], "is", value["node"], "token", epoch)

    def node_of_token(self, token: int) -> int:
        """Return the controller that commands under a token come from; -1 if unknown."""
        return self.tokens.get(token, -1)

    def run_s(self, task: str) -> float:
        """Return how long a task runs."""
        return self.run_times.get(task.split("/", maxsplit=1)[0], 3.0)

    def hold(self, node: int, report: dict[str, Any]) -> None:
        """Keep a report, to be delivered late."""
        self.held[node].append(report)

    async def deliver_held(self, node: int) -> None:
        """Deliver the reports that were held back, in order; nobody waits for the answers."""
        reports, self.held[node] = self.held[node], []
        for report in reports:
            await call(self.nodes[node].public, "POST", "/v1/report", report, 2.0)

    # --- processes

    def settings(self, node: Node) -> dict[str, Any]:
        """Return a controller's settings."""
        peers = [
            {
                "host_name": other.name,
                "zone": other.zone,
                "address": self.peer_links[(node.number, other.number)].address,
            }
            for other in self.nodes
            if other is not node
        ]
        return {
            "host_name": node.name,
            "zone": node.zone,
            "public_addr": node.public,
            "cluster_listen": node.cluster,
            "peers": peers,
            "external": {
                "cloud": self.cloud.server.address,
                "state": self.state.servers[node.number].address,
            },
            "settings": {
                "nodes": len(self.nodes),
                "zones": sorted(set(self.zones)),
                "teams": self.teams,
                "objectives": self.objectives,
                "workers": {
                    "report_s": self.report_s, "lease_s": self.lease_s, "gang_wait_s": 35.0,
                    "gang_peer_s": 6.0, "cancel_s": self.cancel_s,
                },
                "state": self.state_limits,
                "cloud": {"rps": 4.0, "list_lag_s": self.list_lag_s},
                "machine_limits": {"cores": 0.6, "mem_mb": 106.0, "max_connections": 700},
                "skew_ms": 250.0,
            },
        }  # fmt: skip

    def start_node(self, number: int) -> None:
        """Start a controller with the command of the deploy file."""
        node = self.nodes[number]
        node.starts += 1
        path = self.folder / f"{node.name}.json"
        path.write_text(json.dumps(self.settings(node)))
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"]
        log = (self.folder / f"{node.name}.log").open("ab")
        env = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        command = [*shlex.split(run), str(path)]
        node.process = subprocess.Popen(command, cwd=ROOT, stderr=log, stdout=log, env=env)
        self.note("controller starts", node.name)

    def kill_node(self, number: int) -> None:
        """Crash a controller."""
        process = self.nodes[number].process
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
            self.note("controller crashes", self.nodes[number].name)

    def signal_node(self, number: int, name: signal.Signals) -> None:
        """Send a signal to a controller."""
        process = self.nodes[number].process
        if process is not None:
            process.send_signal(name)
            self.note("signal", name.name, self.nodes[number].name)

    async def start(self) -> None:
        """Start everything and wait until all controllers are healthy."""
        await self.state.start()
        await self.cloud.server.start()
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    link = Proxy(other.cluster)
                    await link.start()
                    self.peer_links[(node.number, other.number)] = link
        for node in self.nodes:
            self.start_node(node.number)
        deadline = time.monotonic() + 20
        for node in self.nodes:
            while (await call(node.public, "GET", "/up", timeout_s=1.0))[0] != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{node.name} does not become healthy")
                await asyncio.sleep(0.1)
        self.note("all controllers are healthy")

    async def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP", "") != "1":  # the settings and logs of the controllers
            shutil.rmtree(self.folder, ignore_errors=True)

    def crashed(self) -> list[str]:
        """Return the controllers whose process ended by itself."""
        return [
            f"{n.name}: {n.process.returncode}"
            for n in self.nodes
            if n.process is not None and n.process.poll() not in (None, -signal.SIGKILL)
        ]

    # --- users

    async def submit(
        self, job: str, spec: dict[str, Any], node: int | None = None, for_s: float = 60.0
    ) -> bool:
        """Submit a job as a user does; return whether it was accepted."""
        self.jobs[job] = spec
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            number = node if node is not None else random.randrange(len(self.nodes))
            status, body = await call(self.nodes[number].public, "POST", "/v2/runs", spec)
            self.note("submit", job, "at", number, "->", status, body)
            self.checker.answered(job, status, body, "submission")
            if status in (200, 201):
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job: str, node: int | None = None) -> tuple[int, Any]:
        """Ask about a job once."""
        number = node if node is not None else random.randrange(len(self.nodes))
        path = f"/v2/runs/{job}"
        status, body = await call(self.nodes[number].public, "GET", path, timeout_s=2.0)
        self.note("poll", job, "at", number, "->", status, body)
        self.checker.answered(job, status, body, "poll")
        self.seen[job].polls.append((time.monotonic(), status, (body or {}).get("status", "")))
        return status, body

    async def cancel(self, job: str, node: int | None = None, for_s: float = 60.0) -> str:
        """Cancel a job as a user does; return what the user was told."""
        self.seen[job].cancel_asked = True
        deadline = time.monotonic() + for_s
        while time.monotonic() < deadline:
            number = node if node is not None else random.randrange(len(self.nodes))
            path = f"/v2/runs/{job}/withdraw"
            status, body = await call(self.nodes[number].public, "POST", path)
            self.note("withdraw", job, "at", number, "->", status, body)
            self.checker.answered(job, status, body, "withdrawal")
            if status == 200:
                return str(body["status"])
            await asyncio.sleep(1.0)
        return ""


def spec(job: str, **changes: Any) -> dict[str, Any]:
    """Return a job's description."""
    base = {
        "uid": job, "flock": "register-reindex", "crew": "arhiv-team", "shape": "sweep",
        "rank": "normal", "chores": 4, "cores": 4.0, "accelerators": 0.0, "ram_gb": 13.0,
        "kit": "img-01", "image_gb": 0.3, "builds": None, "roost": None, "same_place": False,
        "spread": False, "loaners": True, "guess_s": 3.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": None,
    }  # fmt: skip
    return {**base, **changes}


def small_types(zones: list[str], boot_s: float = 3.0) -> list[MachineType]:
    """Return the machine types of a small deployment."""
    return [
        MachineType("lipa-eight", 8.0, 32.0, zones, boot_s, 0.44, 0.19),
        MachineType("hrast-sixteen", 16.0, 64.0, zones, boot_s, 0.94, 0.37),
    ]

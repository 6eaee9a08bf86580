"""Check counted resources end to end: no engine may get more sessions than the ceiling allows.

Three real controllers run jobs on loopback while faults are injected; each job opens one session
(docs/counts.md). Print the figures as JSON. Exit status 0: the ceiling was kept and every job was
done exactly once and reported as done; 1: otherwise.

python scripts/counts_proof.py [--trouble controllers,workers,state,ceiling] [--jobs 200]
"""

import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import click
import curio
import msgspec

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from starlingdeck.protocol import api  # noqa: E402 -- needs the path above
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply  # noqa: E402 -- needs the path above

RESOURCE = "tariff-engine"
FAULT_KINDS = ("controllers", "workers", "state", "ceiling")
REPORT_S, LEASE_S, CANCEL_S = 1.0, 6.0, 30.0
ZONES = ("a", "b", "a")  # of the controllers
MACHINE_TYPE = {"sku": "small", "cores": 4.0, "ram_gb": 16.0, "roosts": ["a", "b"], "boot_s": 1.0}


class Site:
    """Starts, stops and calls the processes of the check, all on loopback."""

    def __init__(self, folder: Path, port: int, session_s: float, ceiling: int) -> None:
        self.folder, self.session_s, self.ceiling = folder, session_s, ceiling
        addresses = [f"127.0.0.1:{port + i}" for i in range(9)]
        self.engine, self.state, self.cloud, *rest = addresses
        self.public, self.cluster = rest[:3], rest[3:6]
        self.workers_port = port + 20
        self.results = folder / "results"
        self.results.mkdir()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = HttpClient()
        (folder / "types.json").write_text(json.dumps([MACHINE_TYPE]))
        (folder / "counts.toml").write_text(f"[counts.declare.{RESOURCE}]\nceiling = {ceiling}\n")
        for number in range(3):
            (folder / f"n-{number}.json").write_text(json.dumps(self.settings(number)))

    def settings(self, number: int) -> dict[str, Any]:
        """Return the contents of one controller's settings file."""
        hosts = [
            {"host_name": f"n-{i}", "zone": ZONES[i], "address": self.cluster[i]} for i in range(3)
        ]
        return {
            "host_name": f"n-{number}",
            "zone": ZONES[number],
            "public_addr": self.public[number],
            "cluster_listen": self.cluster[number],
            "peers": [host for i, host in enumerate(hosts) if i != number],
            "external": {"cloud": self.cloud, "state": self.state},
            "settings": {
                "nodes": 3,
                "zones": ["a", "b"],
                "teams": [{"name": "red"}],
                "workers": {"report_s": REPORT_S, "lease_s": LEASE_S, "cancel_s": CANCEL_S},
                "state": {"rps": 250.0, "write_rps": 150.0, "value_kb": 16.0, "txn_ops": 12},
                "cloud": {"rps": 5.0, "list_lag_s": 1.0},
                "machine_limits": {"cores": 1.0, "mem_mb": 256.0, "max_connections": 500},
                "skew_ms": 100.0,
            },
        }

    def start(self, name: str, *command: str, **env: str) -> None:
        """Start a Python process that appends its output to NAME.log in the folder."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command], cwd=ROOT, stdout=log, stderr=log, env=os.environ | env
        )

    def start_all(self) -> None:
        """Start every process of the site."""
        self.start("engine", "-m", "standins.engine", self.engine, str(self.folder / "sessions"))
        self.start("state", "-m", "standins.state", self.state)
        controllers = ",".join(f"n-{i}={a}" for i, a in enumerate(self.public))
        self.start(
            "cloud", "-m", "standins.cloud", self.cloud, str(self.folder / "types.json"),
            str(self.workers_port), "--", "--controllers", controllers, "--engine", self.engine,
            "--session-s", str(self.session_s), "--results", str(self.results),
            "--report-s", str(REPORT_S), "--lease-s", str(LEASE_S),
        )  # fmt: skip
        for number in range(3):
            self.start_controller(number)

    def start_controller(self, number: int) -> None:
        """Start one controller."""
        settings, tuning = self.folder / f"n-{number}.json", self.folder / "counts.toml"
        command = ["run.py", "run", "--config", str(settings), "--tuning", str(tuning)]
        self.start(f"n-{number}", *command)

    def stop_all(self) -> None:
        """Terminate and kill every process of the site."""
        for name in ("cloud", "n-0", "n-1", "n-2", "state", "engine"):
            process = self.processes.get(name)
            if process is not None:
                process.send_signal(signal.SIGTERM)
                time.sleep(0.5 if name == "cloud" else 0.0)
                process.kill()
                process.wait()

    async def request(self, address: str, method: str, path: str, body: Any = None) -> Reply | None:
        """Send one HTTP request and return the reply, or None without a response within 5 s."""
        data = None if body is None else msgspec.json.encode(body)
        try:
            return await self.http.call(address, method, path, data, 5.0)
        except NoResponseError:
            return None

    async def request_until(
        self, accepted: set[int], method: str, path: str, address: str = "", body: Any = None
    ) -> Any:
        """Repeat a request until it is answered with a status in `accepted`; return the body.

        Each attempt goes to `address`, or without one to a random controller. Raises SystemExit
        after 90 s.
        """
        deadline = time.monotonic() + 90
        while time.monotonic() < deadline:
            reply = await self.request(address or random.choice(self.public), method, path, body)
            if reply is not None and reply.status in accepted:
                return msgspec.json.decode(reply.body)
            await curio.sleep(0.3)
        raise SystemExit(f"no response with an expected status within 90 s: {method} {path}")

    def sessions(self) -> list[list[str]]:
        """Return the fields of each line of the engine's log (standins/engine.py)."""
        lines = (self.folder / "sessions").read_text().splitlines()
        return [line.split() for line in lines]


def job_body(number: int, counted: bool) -> dict[str, Any]:
    """Return the body of a job's submission; with `counted`, the job needs a unit of RESOURCE."""
    body = {
        "uid": f"j-{number}", "flock": "tariffs", "crew": "red", "shape": "sweep",
        "rank": "normal", "chores": 1, "cores": 1.0, "accelerators": 0.0, "ram_gb": 1.0,
        "kit": "tariff", "image_gb": 0.0, "builds": None, "roost": None, "same_place": False,
        "spread": False, "loaners": False, "guess_s": 3.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": None,
    }  # fmt: skip
    return body | ({"counts": {RESOURCE: 1}} if counted else {})


class LoweredCeiling(NamedTuple):
    """A period with a ceiling of 1, in wall-clock seconds, and the units held at its start."""

    since: float
    until: float
    held: int


class FaultInjector:
    """Injects faults of the given kinds; one seeded generator draws times, lengths and targets."""

    def __init__(self, site: Site, kinds: set[str], seed: int) -> None:
        self.site, self.kinds = site, kinds
        self.rng = random.Random(seed)
        self.actions: dict[str, Callable[[], Awaitable[None]]] = {
            "controllers": self.kill_controllers,
            "workers": self.fail_workers,
            "state": self.interrupt_state_service,
            "ceiling": self.change_ceiling,
        }
        self.fault_counts: Counter[str] = Counter()
        self.lowered: list[LoweredCeiling] = []

    async def run(self) -> None:
        """Inject faults of every given kind until cancelled."""
        async with curio.TaskGroup() as group:
            for kind in sorted(self.kinds):
                await group.spawn(self.actions[kind])

    async def kill_controllers(self) -> None:
        """Kill a random controller every few seconds, and restart it after up to 2 s."""
        while True:
            await curio.sleep(self.rng.uniform(3.0, 6.0))
            number = self.rng.randrange(3)
            self.site.processes[f"n-{number}"].kill()
            self.site.processes[f"n-{number}"].wait()
            self.fault_counts["controllers killed"] += 1
            await curio.sleep(self.rng.uniform(0.1, 2.0))
            self.site.start_controller(number)

    async def fail_workers(self) -> None:
        """Kill or isolate the machine of one of the last three sessions, every few seconds."""
        while True:
            await curio.sleep(self.rng.uniform(4.0, 9.0))
            recent = [fields for fields in self.site.sessions() if fields[1] == "open"][-3:]
            if not recent:
                continue
            host = self.rng.choice(recent)[4]
            if self.rng.random() < 0.5:
                await self.site.request(self.site.cloud, "POST", "/kill", {"host": host})
                self.fault_counts["workers killed"] += 1
            else:
                seconds = self.rng.choice([2.0, 20.0])  # shorter and longer than the lease
                cut = {"host": host, "seconds": seconds}
                await self.site.request(self.site.cloud, "POST", "/cut", cut)
                self.fault_counts["workers cut off"] += 1

    async def interrupt_state_service(self) -> None:
        """Make the state service unavailable for 1, 4 or 12 s, repeatedly."""
        while True:
            await curio.sleep(self.rng.uniform(8.0, 15.0))
            seconds = self.rng.choice([1.0, 4.0, 12.0])  # also longer than a lease
            await self.site.request(self.site.state, "POST", "/out", {"seconds": seconds})
            self.fault_counts["outages of the state service"] += 1
            await curio.sleep(seconds)

    async def change_ceiling(self) -> None:
        """Lower the resource's ceiling to 1 for 5 to 10 s, repeatedly."""
        while True:
            await curio.sleep(self.rng.uniform(8.0, 12.0))
            held = await self.set_ceiling(1)
            began = time.time()
            await curio.sleep(self.rng.uniform(5.0, 10.0))
            self.lowered.append(LoweredCeiling(began, time.time(), held))
            await self.set_ceiling(self.site.ceiling)
            self.fault_counts["times set to 1 and back"] += 1

    async def set_ceiling(self, ceiling: int) -> int:
        """Set the ceiling, and return the units held when it was written.

        Return the full ceiling if that is unknown: an earlier attempt without a response, or with
        another status, had already set it.
        """
        while True:
            entry = await self.site.request_until({200}, "GET", f"{api.COUNTS}/{RESOURCE}")
            if entry["ceiling"] == ceiling:
                return self.site.ceiling
            body = {"ceiling": ceiling, "rev": entry.get("rev", 1), "by": "proof"}
            path = f"{api.COUNTS}/{RESOURCE}"
            reply = await self.site.request(random.choice(self.site.public), "POST", path, body)
            if reply is not None and reply.status == 200:
                return sum(msgspec.json.decode(reply.body)["held"])


class SessionEvent(NamedTuple):
    """A line of the engine's log: `at` in wall-clock seconds, `open_sessions` after the event."""

    at: float
    kind: str
    task: str
    open_sessions: int


def session_events(site: Site) -> list[SessionEvent]:
    """Return the events of the engine's log, in its order."""
    return [
        SessionEvent(float(fields[0]), fields[1], fields[2], int(fields[-1]))
        for fields in site.sessions()
    ]


def sessions_over_ceiling(events: list[SessionEvent], lowered_times: list[LoweredCeiling]) -> int:
    """Return how many sessions too many were opened while the ceiling was 1.

    Sessions of units granted before the ceiling was lowered are allowed.
    """
    excess = 0
    for lowered in lowered_times:
        open_before = sum(
            [event.open_sessions for event in events if event.at <= lowered.since][-1:]
        )
        opened_beside_others = sum(
            event.kind == "open"
            and lowered.since < event.at < lowered.until
            and event.open_sessions > 1
            for event in events
        )
        # Units granted before may still open their sessions.
        excess += max(0, opened_beside_others - max(0, lowered.held - open_before))
    return excess


def idle_times(events: list[SessionEvent]) -> list[float]:
    """Return the seconds from the end of each session to the next start, sorted.

    A start counts for one end only, as if it used that session's unit.
    """
    opened = [event.at for event in events if event.kind == "open"]
    idle_s = []
    for closed_at in [event.at for event in events if event.kind == "close"]:
        later_starts = [at for at in opened if at > closed_at]
        if later_starts:
            idle_s.append(later_starts[0] - closed_at)
            opened.remove(later_starts[0])
    return sorted(idle_s)


def evaluate(site: Site, jobs: int, injector: FaultInjector) -> dict[str, Any]:
    """Return figures from the engine's log; "use" is the share of unit-seconds that were in use."""
    events = session_events(site)
    runs_by_task = Counter(event.task for event in events if event.kind == "done")
    max_open = max(event.open_sessions for event in events if event.kind == "open")
    excess = sessions_over_ceiling(events, injector.lowered)
    seconds = max(event.at for event in events if event.kind == "close") - events[0].at
    unit_seconds = sum(
        (later.at - earlier.at) * earlier.open_sessions
        for earlier, later in itertools.pairwise(events)
    )
    idle_s = idle_times(events)
    done_once = len(runs_by_task) == jobs and set(runs_by_task.values()) == {1}
    return {
        "most sessions at once": max_open,
        "sessions granted over a ceiling of 1": excess,
        "jobs done": len(runs_by_task),
        "done more than once": sum(runs > 1 for runs in runs_by_task.values()),
        "sessions": sum(event.kind == "open" for event in events),
        "seconds": round(seconds, 1),
        "use": round(unit_seconds / (site.ceiling * seconds), 3),
        "from a session's end to the next start p50/p99 s": [
            round(idle_s[int(len(idle_s) * share)], 3) for share in (0.5, 0.99) if idle_s
        ],
        "trouble": dict(injector.fault_counts),
        "as it should be": max_open <= site.ceiling and not excess and done_once,
    }


async def play(
    site: Site, jobs: int, kinds: set[str], seed: int, limit_s: float, counted: bool
) -> dict[str, Any]:
    """Submit the jobs, inject faults until all are done, and return the figures.

    Stops waiting for jobs after `limit_s` seconds.
    """
    injector = FaultInjector(site, kinds, seed)
    for number in range(jobs):
        await site.request_until({200, 201}, "POST", api.JOBS, body=job_body(number + 1, counted))
    stats_before = await site.request_until({200}, "GET", "/stats", site.state)
    injection = await curio.spawn(injector.run)
    unfinished = {f"j-{n + 1}" for n in range(jobs)}
    deadline = time.monotonic() + limit_s
    while unfinished and time.monotonic() < deadline:
        for job_id in sorted(unfinished)[:20]:
            status = await site.request_until({200}, "GET", f"{api.JOBS}/{job_id}")
            if status["status"] == api.DONE:
                unfinished.discard(job_id)
        await curio.sleep(0.5)
    await injection.cancel()
    stats_after = await site.request_until({200}, "GET", "/stats", site.state)
    stats = {
        name: stats_after[name] - stats_before[name] for name in ("changes", "writes", "refused")
    }
    state_figures = {
        "state changes a job": round(stats["changes"] / jobs, 2),
        "writes refused for a condition": round(stats["refused"] / max(1, stats["writes"]), 3),
        "jobs not told done": len(unfinished),
    }
    return evaluate(site, jobs, injector) | state_figures


@click.command()
@click.option("--trouble", default="", help=f"Faults to inject, any of {','.join(FAULT_KINDS)}.")
@click.option("--jobs", default=200)
@click.option("--session-s", default=5.0, help="How long each job's session is open.")
@click.option("--ceiling", default=3)
@click.option("--counted/--not-counted", default=True, help="Jobs need a counted unit or not.")
@click.option("--seed", default=1)
@click.option("--port", default=21000, help="The first of some 400 ports on loopback.")
@click.option("--limit-s", default=1800.0, help="Give up after this long.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep the logs in this new folder.")
def main(  # noqa: PLR0913 -- click passes each option by its name
    trouble: str, jobs: int, session_s: float, ceiling: int, counted: bool, seed: int, port: int,
    limit_s: float, keep: Path | None,
) -> None:  # fmt: skip
    """Run jobs that each need a unit of a counted resource, while faults are injected."""
    kinds = set(trouble.split(",")) - {""}
    if kinds - set(FAULT_KINDS):
        raise click.UsageError(f"--trouble: any of {', '.join(FAULT_KINDS)}")
    random.seed(seed)
    with TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        if keep is not None:
            folder.mkdir()
        site = Site(folder, port, session_s, ceiling)
        try:
            site.start_all()
            figures = curio.run(play, site, jobs, kinds, seed, limit_s, counted)
        finally:
            site.stop_all()
    click.echo(json.dumps(figures, indent=1))
    sys.exit(0 if figures["as it should be"] and not figures["jobs not told done"] else 1)


if __name__ == "__main__":
    main()

"""Plays a plan, rung by rung, and measures each between its warm-up and its end."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import curio

from standins.scale.checker import EVENT_DELAY_S, Checker
from standins.scale.faults import FaultInjector
from standins.scale.measure import Traffic, port_traffic, process_usage
from standins.scale.plan import Plan, Rung
from standins.scale.report import Row, Waits, limiting_components, percentile
from standins.scale.site import Site
from standins.scale.users import ANSWER_DEADLINE_S, SUBMIT_TIMEOUT_S, WorkloadGenerator
from standins.simulated_workers import HostStats
from standins.state import StateStats
from starlingdeck.protocol.config import split_address

PROGRESS_INTERVAL_S = 10.0
EVALUATION_INTERVAL_S = 0.2


class PortsTakenError(Exception):
    """Something listens already where a rung's processes would; most likely another run."""

    def __init__(self, ports: list[int]) -> None:
        numbers = ", ".join(map(str, ports))
        super().__init__(f"port {numbers}: taken already; set another first port with `port`")


@dataclass
class CounterSnapshot:
    """Everything that is counted, at one moment."""

    at: float
    cpu: dict[str, float]
    state: StateStats
    hosts: list[HostStats]
    starts: int
    submissions: int
    polls: int
    traffic: dict[int, Traffic] | None


class RungRunner:
    """One rung."""

    def __init__(self, plan: Plan, rung: Rung, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.rung, self.print_line = plan, rung, say
        self.site = Site(plan, rung, folder)
        self.checker = Checker(plan.limits.cancel_s, plan.users.team_cpus_max)
        self.users = WorkloadGenerator(plan.users, self.site.public, self.checker, plan.seed)
        self.fault_injector = FaultInjector(self.site, self.checker, plan.seed)
        self.own_pid = Path("/proc/self").resolve().name

    # --- what workers tell

    async def receive_events(self, sock: curio.io.Socket, _address: object) -> None:
        """Reads the events of one process of workers."""
        rest = b""
        while data := await sock.recv(64 * 1024):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.checker.receive_event(line.decode())

    async def evaluate_loop(self) -> None:
        """Judges events every JUDGE_S seconds until a rule is broken."""
        while not self.checker.violations:
            await curio.sleep(EVALUATION_INTERVAL_S)
            self.checker.evaluate(time.monotonic() - EVENT_DELAY_S)
            self.site.check_alive()

    # --- the run

    async def run(self) -> Row:
        """Plays the rung and returns its figures."""
        address = split_address(self.site.checker)
        listener = await curio.spawn(curio.tcp_server, *address, self.receive_events, daemon=True)
        tasks = [listener]
        try:
            await self.site.start_all()
            began = time.monotonic()
            judge = await curio.spawn(self.evaluate_loop)
            tasks.append(await curio.spawn(self.fault_injector.sample_loop, daemon=True))
            tasks.append(await curio.spawn(self.progress_loop, daemon=True))
            starts = self.plan.requested_starts_per_s(self.rung)
            tasks.append(await curio.spawn(self.users.run, starts, daemon=True))
            for fault in self.plan.faults:
                tasks.append(await curio.spawn(self.fault_injector.run, fault, began, daemon=True))
            await self.wait_until(judge, began + self.plan.warmup_s)
            first = await self.snapshot()
            await self.wait_until(judge, began + self.plan.seconds)
            last = await self.snapshot()
            row = self.row(first, last, began)
            await self.finish(row)
            return row
        finally:
            for task in tasks:
                await task.cancel()
            self.site.stop()

    async def wait_until(self, judge: curio.Task, at: float) -> None:
        """Waits; a broken rule or a process that ended by itself ends the wait."""
        while time.monotonic() < at and not judge.terminated:
            await curio.sleep(0.1)
        if judge.terminated and judge.exception is not None:
            raise judge.exception

    async def finish(self, row: Row) -> None:
        """No more is submitted; every job is answered for, and what was told is judged."""
        self.users.stopped = True
        if not self.checker.violations:
            row.unanswered_jobs = await self.users.query_unfinished(ANSWER_DEADLINE_S)
        await curio.sleep(EVENT_DELAY_S)
        self.checker.evaluate(time.monotonic() - EVENT_DELAY_S / 2)
        row.broken = [str(one) for one in self.checker.violations]
        row.late_starts = len(self.checker.late_starts)
        row.malformed = (await self.site.state_stats()).malformed

    async def progress_loop(self) -> None:
        """Prints the progress of the rung every PROGRESS_S seconds."""
        began, before = time.monotonic(), 0
        while True:
            await curio.sleep(PROGRESS_INTERVAL_S)
            rate = (self.checker.starts - before) / PROGRESS_INTERVAL_S
            before = self.checker.starts
            self.print_line(
                f"  {time.monotonic() - began:4.0f} s: {rate:.0f} starts a second,"
                f" {len(self.checker.running)} tasks running, {len(self.users.unfinished)} jobs"
            )

    # --- measuring

    async def snapshot(self) -> CounterSnapshot:
        """Reads every counter once."""
        own = process_usage(int(self.own_pid))
        cpu = {name: self.site.cpu_s(name) for name in self.site.processes}
        cpu["users"] = own.cpu_s if own is not None else 0.0
        return CounterSnapshot(
            time.monotonic(),
            cpu,
            await self.site.state_stats(),
            await self.site.host_stats(),
            self.checker.starts,
            self.users.submissions,
            self.users.polls,
            port_traffic(self.site.ports()),
        )

    def row(self, first: CounterSnapshot, last: CounterSnapshot, began: float) -> Row:
        """The rung's figures between two snapshots."""
        seconds = last.at - first.at
        workers = self.rung.workers

        def cores(name: str) -> float:
            return round((last.cpu[name] - first.cpu.get(name, 0.0)) / seconds, 4)

        def hosts(field: str) -> float:
            return float(
                sum(getattr(h, field) for h in last.hosts)
                - sum(getattr(h, field) for h in first.hosts)
            )

        def state(field: str) -> float:
            return float(getattr(last.state, field) - getattr(first.state, field)) / seconds

        numbers = range(self.rung.controllers)
        now = [u for i in numbers if (u := self.site.usage(f"n-{i}")) is not None]
        row = Row(
            name=self.rung.name,
            workers=workers,
            controllers=self.rung.controllers,
            asked_starts=self.plan.requested_starts_per_s(self.rung),
            seconds=round(seconds, 2),
            starts=(last.starts - first.starts) / seconds,
            reports=hosts("reports") / seconds,
            submissions=(last.submissions - first.submissions) / seconds,
            polls=(last.polls - first.polls) / seconds,
            running=len(self.checker.running),
            controller_cores=[cores(f"n-{i}") for i in numbers],
            controller_mb=max((u.memory for u in now), default=0) / 2**20,
            controller_descriptors=max((u.descriptors for u in now), default=0),
            state_cores=cores("state"),
            host_cores=[cores(f"host-{i}") for i in range(len(self.site.hosts))],
            users_cores=cores("users"),
            state_requests=state("requests"),
            state_changes=state("changes"),
            state_bytes=state("bytes"),
            state_read_bytes=state("read_bytes"),
            state_keys=last.state.keys,
            state_puts={
                kind: count - first.state.put.get(kind, 0) for kind, count in last.state.put.items()
            },
            over_rate=last.state.over_rate - first.state.over_rate,
            malformed=last.state.malformed,
            report_bytes=(hosts("report_bytes") + hosts("reply_bytes")) / seconds / workers,
            command_bytes=hosts("command_bytes") / seconds / workers,
            worker_bytes=self.bytes_at(self.site.public, first, last, workers),
            between_bytes=self.bytes_at(self.site.cluster, first, last, 1),
            unanswered_reports=hosts("unanswered") / seconds,
            submit_p95_s=percentile(self.users.accept_latencies, 0.95),
            waits=self.waits(began + self.plan.warmup_s / 2),
            late_ticks=hosts("late_ticks") / max(1.0, hosts("ticks")),
            late_starts=0,
            out_of_order=self.checker.out_of_order,
            unanswered_jobs=[],
            broken=[],
            recoveries=self.fault_injector.recoveries(began),
            limited_by=[],
        )
        row.limited_by = limiting_components(row, self.plan.limits.write_rps)
        return row

    def bytes_at(
        self, addresses: list[str], first: CounterSnapshot, last: CounterSnapshot, share: int
    ) -> float | None:
        """A second and share; connections closed meanwhile are missing from it."""
        if first.traffic is None or last.traffic is None:
            return None
        total = 0
        for address in addresses:
            port = split_address(address)[1]
            one, other = first.traffic[port], last.traffic[port]
            total += max(0, other.received - one.received) + max(0, other.sent - one.sent)
        return total / (last.at - first.at) / share

    def waits(self, since: float) -> dict[str, Waits]:
        """By rank, of jobs accepted from then on; a task that has not begun counts from the time
        that a user waits for an answer."""
        found: dict[str, list[float]] = {}
        now = time.monotonic()
        for job in list(self.users.jobs.values()):
            if job.accepted_at < since or job.cancelling:
                continue
            for number in range(job.tasks):
                began = self.checker.first_start.get(f"{job.id}/{number}")
                waited = (began or now) - job.accepted_at
                if began is not None or waited > SUBMIT_TIMEOUT_S:
                    found.setdefault(job.rank, []).append(waited)
        return {
            rank: Waits(len(waited), percentile(waited, 0.5), percentile(waited, 0.99))
            for rank, waited in found.items()
        }


def play_rung(plan: Plan, rung: Rung, keep: Path | None, say: Callable[[str], None]) -> Row:
    """Plays one rung in a folder of its own, or in one that is kept."""
    with TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        folder.mkdir(exist_ok=True)
        one = RungRunner(plan, rung, folder, say)
        if taken := one.site.taken_ports():
            raise PortsTakenError(taken)
        try:
            return curio.run(one.run)  # type: ignore[no-any-return]
        finally:
            one.site.stop()

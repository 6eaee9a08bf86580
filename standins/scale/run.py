"""Plays a plan, rung by rung, and measures each between its warm-up and its end."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import curio

from standins.hollow import HostStats
from standins.scale.checker import HELD_BACK_S, Checker
from standins.scale.measure import Traffic, traffic, usage
from standins.scale.plan import Plan, Rung
from standins.scale.report import Row, Waits, limits_of, percentile
from standins.scale.site import Site
from standins.scale.troubles import Troubles
from standins.scale.users import ANSWER_S, FORGOTTEN_S, Load
from standins.state import Stats
from starlingdeck.protocol.config import split_address

PROGRESS_S = 10.0
JUDGE_S = 0.2


class PortsTakenError(Exception):
    """Something listens already where a rung's processes would; most likely another run."""

    def __init__(self, ports: list[int]) -> None:
        numbers = ", ".join(map(str, ports))
        super().__init__(f"port {numbers}: taken already; set another first port with `port`")


@dataclass
class Snapshot:
    """Everything that is counted, at one moment."""

    at: float
    cpu: dict[str, float]
    state: Stats
    hosts: list[HostStats]
    starts: int
    submissions: int
    polls: int
    traffic: dict[int, Traffic] | None


class Play:
    """One rung."""

    def __init__(self, plan: Plan, rung: Rung, folder: Path, say: Callable[[str], None]) -> None:
        self.plan, self.rung, self.say = plan, rung, say
        self.site = Site(plan, rung, folder)
        self.checker = Checker(plan.limits.cancel_s, plan.users.team_cpus_max)
        self.load = Load(plan.users, self.site.public, self.checker, plan.seed)
        self.troubles = Troubles(self.site, self.checker, plan.seed)
        self.own_pid = Path("/proc/self").resolve().name

    # --- what workers tell

    async def hear(self, sock: curio.io.Socket, _address: object) -> None:
        """Reads the events of one process of workers."""
        rest = b""
        while data := await sock.recv(64 * 1024):
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                self.checker.hear(line.decode())

    async def judge_loop(self) -> None:
        """Judges events every JUDGE_S seconds until a rule is broken."""
        while not self.checker.broken:
            await curio.sleep(JUDGE_S)
            self.checker.judge(time.monotonic() - HELD_BACK_S)
            self.site.check_alive()

    # --- the run

    async def run(self) -> Row:
        """Plays the rung and returns its figures."""
        address = split_address(self.site.checker)
        listener = await curio.spawn(curio.tcp_server, *address, self.hear, daemon=True)
        tasks = [listener]
        try:
            await self.site.start_all()
            began = time.monotonic()
            judge = await curio.spawn(self.judge_loop)
            tasks.append(await curio.spawn(self.troubles.sample_loop, daemon=True))
            tasks.append(await curio.spawn(self.progress_loop, daemon=True))
            starts = self.plan.starts(self.rung)
            tasks.append(await curio.spawn(self.load.run, starts, daemon=True))
            for trouble in self.plan.troubles:
                tasks.append(await curio.spawn(self.troubles.run, trouble, began, daemon=True))
            await self.until(judge, began + self.plan.warmup_s)
            first = await self.snapshot()
            await self.until(judge, began + self.plan.seconds)
            last = await self.snapshot()
            row = self.row(first, last, began)
            await self.finish(row)
            return row
        finally:
            for task in tasks:
                await task.cancel()
            self.site.stop()

    async def until(self, judge: curio.Task, at: float) -> None:
        """Waits; a broken rule or a process that ended by itself ends the wait."""
        while time.monotonic() < at and not judge.terminated:
            await curio.sleep(0.1)
        if judge.terminated and judge.exception is not None:
            raise judge.exception

    async def finish(self, row: Row) -> None:
        """No more is submitted; every job is answered for, and what was told is judged."""
        self.load.stopped = True
        if not self.checker.broken:
            row.unanswered_jobs = await self.load.ask_all_once(FORGOTTEN_S)
        await curio.sleep(HELD_BACK_S)
        self.checker.judge(time.monotonic() - HELD_BACK_S / 2)
        row.broken = [str(one) for one in self.checker.broken]
        row.late_starts = len(self.checker.late)
        row.malformed = (await self.site.state_stats()).malformed

    async def progress_loop(self) -> None:
        """Prints the progress of the rung every PROGRESS_S seconds."""
        began, before = time.monotonic(), 0
        while True:
            await curio.sleep(PROGRESS_S)
            rate = (self.checker.starts - before) / PROGRESS_S
            before = self.checker.starts
            self.say(
                f"  {time.monotonic() - began:4.0f} s: {rate:.0f} starts a second,"
                f" {len(self.checker.running)} tasks running, {len(self.load.live)} jobs"
            )

    # --- measuring

    async def snapshot(self) -> Snapshot:
        """Reads every counter once."""
        own = usage(int(self.own_pid))
        cpu = {name: self.site.cpu_s(name) for name in self.site.processes}
        cpu["users"] = own.cpu_s if own is not None else 0.0
        return Snapshot(
            time.monotonic(),
            cpu,
            await self.site.state_stats(),
            await self.site.host_stats(),
            self.checker.starts,
            self.load.submissions,
            self.load.polls,
            traffic(self.site.ports()),
        )

    def row(self, first: Snapshot, last: Snapshot, began: float) -> Row:
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
            asked_starts=self.plan.starts(self.rung),
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
            submit_p95_s=percentile(self.load.answers, 0.95),
            waits=self.waits(began + self.plan.warmup_s / 2),
            late_ticks=hosts("late_ticks") / max(1.0, hosts("ticks")),
            late_starts=0,
            out_of_order=self.checker.out_of_order,
            unanswered_jobs=[],
            broken=[],
            recoveries=self.troubles.recoveries(began),
            limited_by=[],
        )
        row.limited_by = limits_of(row, self.plan.limits.write_rps)
        return row

    def bytes_at(
        self, addresses: list[str], first: Snapshot, last: Snapshot, share: int
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
        for job in list(self.load.jobs.values()):
            if job.accepted < since or job.cancelling:
                continue
            for number in range(job.tasks):
                began = self.checker.first_start.get(f"{job.id}/{number}")
                waited = (began or now) - job.accepted
                if began is not None or waited > ANSWER_S:
                    found.setdefault(job.rank, []).append(waited)
        return {
            rank: Waits(len(waited), percentile(waited, 0.5), percentile(waited, 0.99))
            for rank, waited in found.items()
        }


def play(plan: Plan, rung: Rung, keep: Path | None, say: Callable[[str], None]) -> Row:
    """Plays one rung in a folder of its own, or in one that is kept."""
    with TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        folder.mkdir(exist_ok=True)
        one = Play(plan, rung, folder, say)
        if taken := one.site.taken_ports():
            raise PortsTakenError(taken)
        try:
            return curio.run(one.run)  # type: ignore[no-any-return]
        finally:
            one.site.stop()

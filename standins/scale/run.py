"""Runs one rung of a plan: its processes, users, faults and checker."""

import time
from collections.abc import Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import curio

from standins.scale.checker import EVENT_DELAY_S, Checker
from standins.scale.faults import FaultInjector
from standins.scale.measurement import RungMeasurement
from standins.scale.plan import Plan, Rung
from standins.scale.report import Row
from standins.scale.site import Site
from standins.scale.users import ANSWER_DEADLINE_S, WorkloadGenerator
from starlingdeck.protocol.config import split_address

PROGRESS_INTERVAL_S = 10.0
EVALUATION_INTERVAL_S = 0.2


class PortsTakenError(Exception):
    """Raised when ports of a rung are in use already, most likely by another run."""

    def __init__(self, ports: list[int]) -> None:
        numbers = ", ".join(map(str, ports))
        super().__init__(f"port {numbers}: taken already; set another first port with `port`")


class EventReceiver:
    """Passes the events of worker hosts to a checker."""

    def __init__(self, checker: Checker) -> None:
        self.checker = checker

    async def receive(self, sock: curio.io.Socket, _address: object) -> None:
        """Receive the events of one worker host."""
        partial_line = b""
        while data := await sock.recv(64 * 1024):
            *lines, partial_line = (partial_line + data).split(b"\n")
            for line in lines:
                self.checker.receive_event(line.decode())


class RungRunner:
    """Runs one rung; `print_line` is called with lines about its progress."""

    def __init__(
        self, plan: Plan, rung: Rung, folder: Path, print_line: Callable[[str], None]
    ) -> None:
        self.plan, self.rung, self.print_line = plan, rung, print_line
        self.site = Site(plan, rung, folder)
        self.checker = Checker(plan.limits.cancel_s, plan.users.team_cpus_max)
        self.users = WorkloadGenerator(plan.users, self.site.public, self.checker, plan.seed)
        self.fault_injector = FaultInjector(self.site, self.checker, plan.seed)
        self.measurement = RungMeasurement(self.site, self.checker, self.users, self.fault_injector)

    async def evaluate_loop(self) -> None:
        """Evaluate events every EVALUATION_INTERVAL_S seconds until a rule is broken.

        Raises RuntimeError if a process of the site has ended by itself.
        """
        while not self.checker.violations:
            await curio.sleep(EVALUATION_INTERVAL_S)
            self.checker.evaluate(time.monotonic() - EVENT_DELAY_S)
            self.site.check_alive()

    # --- the run

    async def run(self) -> Row:
        """Run the rung and return its row."""
        address = split_address(self.site.checker)
        receiver = EventReceiver(self.checker)
        listener = await curio.spawn(curio.tcp_server, *address, receiver.receive, daemon=True)
        tasks = [listener]
        try:
            await curio.sleep(0)  # the listener has to listen before a worker host connects
            await self.site.start_all()
            run_started_at = time.monotonic()
            evaluation = await curio.spawn(self.evaluate_loop)
            tasks.append(await curio.spawn(self.fault_injector.sample_loop, daemon=True))
            tasks.append(await curio.spawn(self.progress_loop, daemon=True))
            starts_per_s = self.plan.requested_starts_per_s(self.rung)
            tasks.append(await curio.spawn(self.users.run, starts_per_s, daemon=True))
            for fault in self.plan.faults:
                tasks.append(
                    await curio.spawn(self.fault_injector.run, fault, run_started_at, daemon=True)
                )
            await self.wait_until(evaluation, run_started_at + self.plan.warmup_s)
            first = await self.measurement.snapshot()
            await self.wait_until(evaluation, run_started_at + self.plan.seconds)
            last = await self.measurement.snapshot()
            row = self.measurement.row(first, last, run_started_at)
            await self.finish(row)
            return row
        finally:
            for task in tasks:
                await task.cancel()
            self.site.stop()

    async def wait_until(self, evaluation: curio.Task, at: float) -> None:
        """Wait until a time or a broken rule; raises RuntimeError if a process ended by itself."""
        while time.monotonic() < at and not evaluation.terminated:
            await curio.sleep(0.1)
        if evaluation.terminated and evaluation.exception is not None:
            raise evaluation.exception

    async def finish(self, row: Row) -> None:
        """Stop submitting, query every unfinished job and evaluate the last events."""
        self.users.stopped = True
        if not self.checker.violations:
            row.unanswered_jobs = await self.users.query_unfinished(ANSWER_DEADLINE_S)
        await curio.sleep(EVENT_DELAY_S)
        self.checker.evaluate(time.monotonic() - EVENT_DELAY_S / 2)
        row.broken = [str(violation) for violation in self.checker.violations]
        row.late_starts = len(self.checker.late_starts)
        row.malformed = (await self.site.state_stats()).malformed

    async def progress_loop(self) -> None:
        """Print the progress of the rung every PROGRESS_INTERVAL_S seconds."""
        started_at, starts_before = time.monotonic(), 0
        while True:
            await curio.sleep(PROGRESS_INTERVAL_S)
            rate = (self.checker.starts - starts_before) / PROGRESS_INTERVAL_S
            starts_before = self.checker.starts
            self.print_line(
                f"  {time.monotonic() - started_at:4.0f} s: {rate:.0f} starts a second,"
                f" {len(self.checker.running)} tasks running, {len(self.users.unfinished)} jobs"
            )


def run_rung(plan: Plan, rung: Rung, keep: Path | None, print_line: Callable[[str], None]) -> Row:
    """Run one rung in a temporary folder, or in `keep`, and return its row.

    Raises PortsTakenError if a port is in use, RuntimeError if a process fails.
    """
    with TemporaryDirectory() as scratch:
        folder = keep or Path(scratch)
        folder.mkdir(exist_ok=True)
        runner = RungRunner(plan, rung, folder, print_line)
        if taken := runner.site.taken_ports():
            raise PortsTakenError(taken)
        try:
            return curio.run(runner.run)  # type: ignore[no-any-return]  # curio is untyped
        finally:
            runner.site.stop()

"""Runs a soak plan: its processes, users, faults and checks."""

import time
from collections.abc import Callable
from pathlib import Path

import curio
from msgspec import Struct, field

from standins.scale.checker import EVENT_DELAY_S, Checker
from standins.scale.run import EventReceiver, PortsTakenError
from standins.scale.users import ANSWER_DEADLINE_S
from standins.soak.faults import FaultInjector
from standins.soak.history import BrokenRule, Exchange, surrounding
from standins.soak.logs import ControllerLogs
from standins.soak.plan import SoakPlan, draw_faults
from standins.soak.site import SoakSite
from standins.soak.users import SoakUsers
from starlingdeck.protocol.config import split_address

EVALUATION_INTERVAL_S = 0.2
MAX_WAIT_S = 90.0  # of a job while machines have capacity, once all faults are over
SURROUNDING_S = 2.0  # exchanges this close to a break are printed
SURROUNDING_FAULTS_S = 15.0


class SoakResult(Struct):
    """What a run found; `broken` is empty if no rule was broken."""

    broken: list[str] = field(default_factory=list)
    history: list[str] = field(default_factory=list)  # exchanges and faults round the first break
    jobs: int = 0
    cancelled: int = 0
    requests: int = 0
    unanswered: int = 0
    refused: int = 0
    faults: int = 0
    acquisitions: int = 0  # of shards, in the controllers' logs
    quiet_s: float = 0.0  # until the last job ended after the last fault


class SoakRunner:
    """Runs one plan in a folder that keeps settings and logs."""

    def __init__(self, plan: SoakPlan, folder: Path, broken_safeguard: str = "") -> None:
        self.plan = plan
        self.site = SoakSite(plan, folder, broken_safeguard)
        settings, limits = self.site.plan.users, self.site.plan.limits
        self.checker = Checker(limits.cancel_s, settings.team_cpus_max)
        self.users = SoakUsers(settings, self.site.public, self.checker, plan.seed)
        self.injector = FaultInjector(self.site)
        self.logs = ControllerLogs([folder / f"n-{i}.log" for i in range(plan.controllers)])

    async def run(self) -> SoakResult:
        """Run the plan. Raises RuntimeError if a process ends by itself."""
        address = split_address(self.site.checker)
        receiver = EventReceiver(self.checker)
        tasks = [await curio.spawn(curio.tcp_server, *address, receiver.receive, daemon=True)]
        try:
            await curio.sleep(0)  # the listener has to listen before a worker host connects
            await self.site.start_all()
            started_at = time.monotonic()
            tasks.append(await curio.spawn(self.users.run, daemon=True))
            faults = draw_faults(self.plan)
            injections = [
                await curio.spawn(self.injector.run, fault, started_at) for fault in faults
            ]
            tasks += injections
            await self._evaluate_until(lambda: time.monotonic() > started_at + self.plan.seconds)
            if not self._is_broken():
                for injection in injections:
                    await injection.join()
            result = await self._finish()
            result.faults = len(faults)
            return result
        finally:
            for task in tasks:
                await task.cancel()
            self.site.stop()

    def _is_broken(self) -> bool:
        found = self.checker.violations or self.users.history.broken or self.logs.violations
        return bool(found)

    async def _evaluate_until(self, is_over: Callable[[], bool]) -> None:
        """Evaluate the workers' events until `is_over` or a rule is broken."""
        while not (is_over() or self._is_broken()):
            await curio.sleep(EVALUATION_INTERVAL_S)
            self.checker.evaluate(time.monotonic() - EVENT_DELAY_S)
            self.logs.read_new_lines()
            self.site.check_alive()

    async def _finish(self) -> SoakResult:
        """Wait until all jobs have ended, ask about all of them, and collect what was found."""
        self.users.stopped = True
        healed_at = time.monotonic()
        deadline = healed_at + MAX_WAIT_S
        await self._evaluate_until(
            lambda: not self.users.unfinished() or time.monotonic() > deadline
        )
        result = SoakResult(quiet_s=time.monotonic() - healed_at)
        if not self._is_broken():
            result.broken += self._unfinished_violations(healed_at)
            await self.users.ask_finished()
        await curio.sleep(EVENT_DELAY_S)
        self.checker.evaluate(time.monotonic() - EVENT_DELAY_S / 2)
        self._collect(result)
        return result

    def _unfinished_violations(self, healed_at: float) -> list[str]:
        """Return a violation for each job that is unanswered or has not ended in time."""
        found = []
        for job in self.users.unfinished():
            if job.last_answered_at < healed_at + MAX_WAIT_S - ANSWER_DEADLINE_S:
                found.append(f"forgotten: {job.id} was not answered for {ANSWER_DEADLINE_S:.0f} s")
            else:
                found.append(
                    f"waits: {job.id} is {job.state!r} {MAX_WAIT_S:.0f} s after all faults"
                )
        return found

    def _collect(self, result: SoakResult) -> None:
        history = self.users.history
        result.broken += [str(violation) for violation in self.checker.violations]
        result.broken += [
            f"{broken.rule}: {broken.exchange}, but {broken.contradicts}"
            for broken in history.broken
        ]
        if history.broken:
            result.history = self._history_round(history.broken[0])
        self.logs.read_new_lines()
        result.broken += self.logs.violations
        result.acquisitions = self.logs.acquisitions
        result.jobs = len(self.users.jobs)
        result.cancelled = len(self.checker.cancelled)
        result.requests, result.refused = self.users.requests, self.users.refused
        result.unanswered = self.users.unanswered

    def _history_round(self, broken: BrokenRule) -> list[str]:
        exchange: Exchange = broken.exchange
        job = self.users.history.jobs[exchange.job]
        lines = [str(other) for other in surrounding(job, exchange, SURROUNDING_S)]
        lines += [
            f"{at:.4f} s: fault {text}"
            for at, text in self.injector.log
            if abs(at - exchange.answered_at) <= SURROUNDING_FAULTS_S
        ]
        return lines


def run_soak(plan: SoakPlan, folder: Path, broken_safeguard: str = "") -> SoakResult:
    """Run a plan; its settings and logs stay in `folder`.

    Raises PortsTakenError if a port is in use, RuntimeError if a process fails.
    """
    folder.mkdir(parents=True, exist_ok=True)
    runner = SoakRunner(plan, folder, broken_safeguard)
    if taken := runner.site.taken_ports():
        raise PortsTakenError(taken)
    try:
        result: SoakResult = curio.run(runner.run)
        return result
    finally:
        runner.site.stop()

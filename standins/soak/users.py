"""Users of a soak run: they ask all controllers about every job, again and again."""

import random
import time
from collections import deque

import curio
import msgspec

from standins import workload
from standins.scale.checker import Checker
from standins.scale.plan import UserSettings
from standins.scale.users import (
    ACCEPTED_STATUSES,
    POLL_TIMEOUT_S,
    SUBMIT_TIMEOUT_S,
    TERMINAL_STATES,
    SubmittedJob,
    WorkloadGenerator,
)
from standins.soak.history import Exchange, HistoryChecker, RequestKind
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient, NoResponseError

RETRY_S = 0.3
JOBS_PER_S = 4.0
CANCELLED_SHARE = 0.4
CANCELLED_AT_ONCE_SHARE = 0.3  # of the cancelled jobs
BURST_ROUNDS = 3
BURST_GAP_S = 0.004
WATCH_GAP_S = 0.05  # between two looks at a recent job at all controllers
RECENT_JOBS = 40
MAX_TASKS = 6
MAX_BURSTS = 30  # at one time


class SoakUsers:
    """All users of a run. Every answer goes to `history`."""

    def __init__(
        self, settings: UserSettings, addresses: list[str], checker: Checker, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.addresses = addresses
        self.checker = checker
        self.history = HistoryChecker()
        self.http = HttpClient(max_idle=60, max_open=900)
        # Makes jobs and the bodies of their submissions; sends nothing.
        self.generator = WorkloadGenerator(settings, addresses, checker, seed)
        self.jobs: dict[str, SubmittedJob] = {}  # accepted jobs
        self.bodies: dict[str, bytes] = {}
        self.recent: deque[str] = deque(maxlen=RECENT_JOBS)
        self.bursts = 0
        self.requests = self.unanswered = self.refused = 0
        self.stopped = False

    # --- requests

    async def request(self, kind: RequestKind, job: str, controller: int) -> Exchange:
        """Send one request to one controller, and record it and its answer."""
        method, path = "GET", f"{api.JOBS}/{job}"
        body: bytes | None = None
        timeout_s = POLL_TIMEOUT_S
        if kind is not RequestKind.STATUS:
            method, timeout_s = "POST", SUBMIT_TIMEOUT_S
            body = self.bodies[job] if kind is RequestKind.SUBMIT else b""
            path = api.JOBS if kind is RequestKind.SUBMIT else f"{path}/{api.CANCEL}"
        sent_at = time.monotonic()
        self.requests += 1
        self.history.record_request(kind, job, sent_at)
        status, state, completed = 0, "", 0
        try:
            reply = await self.http.call(self.addresses[controller], method, path, body, timeout_s)
            status = reply.status
            if status in ACCEPTED_STATUSES:
                answer = msgspec.json.decode(reply.body, type=api.JobStatus)
                state, completed = answer.state, answer.done or 0
        except NoResponseError:
            self.unanswered += 1
        exchange = Exchange(
            kind, job, controller, sent_at, time.monotonic(), status, state, completed
        )
        self._record(exchange)
        return exchange

    def _record(self, exchange: Exchange) -> None:
        self.refused += exchange.status in (429, 503)
        self.history.record_exchange(exchange)
        job = self.jobs.get(exchange.job)
        if job is None or exchange.status not in ACCEPTED_STATUSES:
            return
        job.last_answered_at = exchange.answered_at
        if exchange.state in TERMINAL_STATES and job.state not in TERMINAL_STATES:
            job.state = exchange.state
            if exchange.state == api.DONE:
                self.checker.report_done(job.id, job.tasks, exchange.answered_at)
            else:
                self.checker.report_cancelled(job.id, exchange.answered_at)

    def _any_controller(self) -> int:
        return self.rng.randrange(len(self.addresses))

    # --- users

    async def run(self) -> None:
        """Submit jobs, and look at recent ones, until stopped."""
        await curio.spawn(self._watch_recent, daemon=True)
        while not self.stopped:
            kind = workload.ONE_TASK if self.rng.random() < 0.5 else workload.ARRAY
            job = self.generator.random_job(kind)
            job.tasks = 1 if kind == workload.ONE_TASK else self.rng.randint(2, MAX_TASKS)
            await curio.spawn(self._follow, job, daemon=True)
            await curio.sleep(self.rng.expovariate(JOBS_PER_S))

    async def _follow(self, job: SubmittedJob) -> None:
        """Submit a job, and cancel some; ask everywhere after each change of its state."""
        self.bodies[job.id] = self.generator.submission_body(job)
        while not (await self.request(RequestKind.SUBMIT, job.id, self._any_controller())).state:
            if self.stopped:
                return
            await curio.sleep(RETRY_S)
        job.accepted_at = job.last_answered_at = time.monotonic()
        self.jobs[job.id] = job
        self.recent.append(job.id)
        await self._burst(job.id)
        if self.rng.random() < CANCELLED_SHARE:
            await self._cancel(job)
        while job.state not in TERMINAL_STATES:
            await curio.sleep(RETRY_S)
            await self.request(RequestKind.STATUS, job.id, self._any_controller())
        await self._burst(job.id)

    async def _cancel(self, job: SubmittedJob) -> None:
        """Cancel a job at random controllers until one confirms."""
        job.cancelling = True
        if self.rng.random() > CANCELLED_AT_ONCE_SHARE:
            await curio.sleep(self.rng.uniform(0.0, 1.6 * self.generator.settings.run_s))
        while job.state not in TERMINAL_STATES:
            await self.request(RequestKind.CANCEL, job.id, self._any_controller())
            if job.state in TERMINAL_STATES:
                await self._burst(job.id)
            else:
                await curio.sleep(RETRY_S)

    async def _burst(self, job: str) -> None:
        """Ask all controllers within milliseconds, and repeat the submission at them."""
        if self.bursts >= MAX_BURSTS:
            return
        self.bursts += 1
        try:
            async with curio.TaskGroup() as group:
                for _ in range(BURST_ROUNDS):
                    for number in self.rng.sample(range(len(self.addresses)), len(self.addresses)):
                        await group.spawn(self.request, RequestKind.STATUS, job, number)
                        await group.spawn(self.request, RequestKind.SUBMIT, job, number)
                    await curio.sleep(BURST_GAP_S)
        finally:
            self.bursts -= 1

    async def _watch_recent(self) -> None:
        """Ask all controllers about recent jobs, all the time."""
        while True:
            await curio.sleep(WATCH_GAP_S)
            if self.recent:
                job = self.rng.choice(self.recent)
                for number in range(len(self.addresses)):
                    await curio.spawn(self.request, RequestKind.STATUS, job, number, daemon=True)

    # --- the end of the run

    def unfinished(self) -> list[SubmittedJob]:
        """Return the accepted jobs that no user was told to be over."""
        return [job for job in self.jobs.values() if job.state not in TERMINAL_STATES]

    async def ask_finished(self) -> None:
        """Ask every controller about every job once more."""
        for job in self.jobs:
            for number in range(len(self.addresses)):
                await self.request(RequestKind.STATUS, job, number)

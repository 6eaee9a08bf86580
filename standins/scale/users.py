"""Simulated users of a scale run: they submit, repeat, poll and cancel jobs.

Each status is checked against the earlier ones: a controller must not forget a job, nor may its
progress go back.
"""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import curio
import msgspec

from standins import workload
from standins.scale.checker import Checker
from standins.scale.plan import UserSettings
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply

SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
RETRY_S = 1.0
ANSWER_DEADLINE_S = 75.0
SERVICE_REPLICAS = 2
ACCEPTED_STATUSES = (200, 201)
REFUSED_STATUSES = (400, 404, 422)  # repeating the submission has no effect
TERMINAL_STATES = (api.DONE, api.CANCELLED)


@dataclass
class SubmittedJob:
    """A job as its user knows it. Times are seconds of the monotonic clock; 0: not yet."""

    id: str
    kind: int
    tasks: int
    rank: str
    submitted_at: float
    accepted_at: float = 0.0
    last_answered_at: float = 0.0  # when a request about it was last answered
    done: int = 0  # the most completed tasks that a status reported
    state: str = ""  # of the last status
    cancelling: bool = False


class WorkloadGenerator:
    """Simulates all users of a site; `addresses` are the controllers' public addresses."""

    def __init__(
        self, settings: UserSettings, addresses: list[str], checker: Checker, seed: int
    ) -> None:
        self.settings = settings
        self.addresses = addresses
        self.checker = checker
        self.rng = random.Random(seed)
        self.http = HttpClient(max_idle=50, max_open=400)
        self.jobs: dict[str, SubmittedJob] = {}
        self.unfinished: dict[str, SubmittedJob] = {}
        self.job_sequence = 0
        self.submissions = self.polls = self.refused = self.unanswered = 0
        self.accept_latencies: list[float] = []  # seconds until each submission was accepted
        self.stopped = False

    async def run(self, starts_per_s: float) -> None:
        """Submits jobs at a rate of task starts a second until `stopped` is set."""
        for _ in range(self.settings.services):
            await self.spawn_for_job(self.submit, self.random_job(workload.SERVICE))
        owed_starts, last_at = 0.0, time.monotonic()
        while not self.stopped:
            await curio.sleep(0.05)
            now = time.monotonic()
            owed_starts += (now - last_at) * starts_per_s
            last_at = now
            while owed_starts > 0:
                one_task = self.rng.random() < self.one_task_job_share()
                job = self.random_job(workload.ONE_TASK if one_task else workload.ARRAY)
                owed_starts -= job.tasks
                await self.spawn_for_job(self.submit, job)

    def one_task_job_share(self) -> float:
        """Returns the share of jobs with one task that gives them their share of the starts."""
        one_task_jobs = self.settings.one_task
        arrays = (1 - one_task_jobs) / self.settings.array_tasks
        jobs = one_task_jobs + arrays
        return one_task_jobs / jobs if jobs else 0.0

    def random_job(self, kind: int) -> SubmittedJob:
        """Returns a new random job of a kind."""
        self.job_sequence += 1
        rng, settings = self.rng, self.settings
        tasks = 1 if kind == workload.ONE_TASK else SERVICE_REPLICAS
        if kind == workload.ARRAY:
            tasks = max(2, min(2000, round(rng.expovariate(1 / settings.array_tasks))))
        run_s = settings.run_s * rng.uniform(0.5, 1.5)
        rank = "urgent" if rng.random() < settings.urgent else "normal"
        job_id = workload.job_id(kind, rng.randrange(settings.teams), run_s, self.job_sequence)
        rank = "prod" if kind == workload.SERVICE else rank
        return SubmittedJob(job_id, kind, tasks, rank, time.monotonic())

    def submission_body(self, job: SubmittedJob) -> bytes:
        """Returns the body of the request that submits a job."""
        description = workload.parse_job_id(job.id)
        service = description.service
        return msgspec.json.encode(
            {
                "uid": job.id, "flock": f"kind-{job.kind}", "crew": f"team-{description.team:03d}",
                "shape": api.SERVICE if service else api.ARRAY, "rank": job.rank,
                "chores": job.tasks, "cores": 1.0, "accelerators": 0.0, "ram_gb": 0.5,
                "kit": "image", "image_gb": 0.1, "builds": None, "roost": None,
                "same_place": False, "spread": False, "loaners": False,
                "guess_s": 0.0 if service else description.run_ds / 10, "mark_s": 0.0,
                "stash_s": 0.0, "due_s": None,
            }
        )  # fmt: skip

    async def spawn_for_job(
        self, function: Callable[[SubmittedJob], object], job: SubmittedJob
    ) -> None:
        """Spawns a coroutine for one job."""
        await curio.spawn(function, job, daemon=True)

    async def request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> Reply | None:
        """Sends one request to a random controller; returns None when there is no response."""
        try:
            address = self.rng.choice(self.addresses)
            reply = await self.http.call(address, method, path, body, timeout_s)
        except NoResponseError:
            self.unanswered += 1
            return None
        self.refused += reply.status not in ACCEPTED_STATUSES
        return reply

    async def submit(self, job: SubmittedJob) -> None:
        """Submits a job, some jobs once more, and polls it to its end; cancels some jobs."""
        body = self.submission_body(job)
        if not await self.submit_until_accepted(job, body):
            return
        if self.rng.random() < self.settings.repeated:
            await self.request("POST", api.JOBS, body, SUBMIT_TIMEOUT_S)
        cancel_at = 0.0
        if job.kind != workload.SERVICE and self.rng.random() < self.settings.cancelled:
            cancel_at = job.accepted_at + self.rng.uniform(0.0, 1.5 * self.settings.run_s)
        await self.follow(job, cancel_at)

    async def submit_until_accepted(self, job: SubmittedJob, body: bytes) -> bool:
        """Submits a job until it is accepted.

        Returns False if it was refused for good or the run stopped before.
        """
        while not self.stopped:
            self.submissions += 1
            reply = await self.request("POST", api.JOBS, body, SUBMIT_TIMEOUT_S)
            if reply is not None and reply.status in ACCEPTED_STATUSES:
                job.accepted_at = job.last_answered_at = time.monotonic()
                self.accept_latencies.append(job.accepted_at - job.submitted_at)
                self.jobs[job.id] = self.unfinished[job.id] = job
                return True
            if reply is not None and reply.status in REFUSED_STATUSES:
                self.record_violation("refused for ever", job, reply)
                return False
            await curio.sleep(max(RETRY_S, (reply.retry_after or 0.0) if reply else 0.0))
        return False

    async def follow(self, job: SubmittedJob, cancel_at: float) -> None:
        """Polls a job until it has ended, and cancels it at `cancel_at` unless that is 0."""
        while job.state not in TERMINAL_STATES and not self.stopped:
            wait = self.settings.poll_s * self.rng.uniform(0.8, 1.2)
            if cancel_at and not job.cancelling:
                wait = min(wait, max(0.0, cancel_at - time.monotonic()))
            await curio.sleep(wait)
            if cancel_at and time.monotonic() >= cancel_at:
                job.cancelling = True
                path = f"{api.JOBS}/{job.id}/{api.CANCEL}"
                reply = await self.request("POST", path, b"", SUBMIT_TIMEOUT_S)
                self.check_status(job, reply)
                cancel_at = 0.0 if job.state in TERMINAL_STATES else time.monotonic() + RETRY_S
            else:
                await self.poll(job)

    async def poll(self, job: SubmittedJob) -> None:
        """Queries the job's status once."""
        self.polls += 1
        self.check_status(
            job, await self.request("GET", f"{api.JOBS}/{job.id}", None, POLL_TIMEOUT_S)
        )

    def check_status(self, job: SubmittedJob, reply: Reply | None) -> None:
        """Checks a status against the earlier ones and records a job's end."""
        now = time.monotonic()
        if reply is None or reply.status in (429, 503):
            if now - job.last_answered_at > ANSWER_DEADLINE_S:
                self.record_violation("forgotten", job, reply)
            return
        if reply.status != 200:
            self.record_violation("forgotten", job, reply)
            return
        status = msgspec.json.decode(reply.body, type=api.JobStatus)
        job.last_answered_at = now
        if job.state in TERMINAL_STATES and status.state != job.state:
            self.record_violation("went_back", job, reply)
        if status.state == api.CANCELLED and not job.cancelling:
            self.record_violation("went_back", job, reply)
        if status.state not in TERMINAL_STATES and (status.done or 0) < job.done:
            self.record_violation("went_back", job, reply)
        job.done = max(job.done, status.done or 0)
        if status.state in TERMINAL_STATES and job.state not in TERMINAL_STATES:
            if status.state == api.DONE:
                self.checker.report_done(job.id, job.tasks, now)
            else:
                self.checker.report_cancelled(job.id, now)
            self.unfinished.pop(job.id, None)
        job.state = status.state

    def record_violation(self, rule: str, job: SubmittedJob, reply: Reply | None) -> None:
        """Records a broken rule with the answer that shows it."""
        detail = f"answered {reply.status} {reply.body[:120]!r}" if reply else "no answer"
        self.checker.record_violation(time.monotonic(), rule, job.id, detail)

    async def query_unfinished(self, seconds: float) -> list[str]:
        """Polls each unfinished job until it is answered or `seconds` have passed.

        Returns the ids of the jobs without an answer.
        """
        deadline = time.monotonic() + seconds
        unanswered = {job.id: job for job in self.unfinished.values()}
        while unanswered and time.monotonic() < deadline:
            for job in list(unanswered.values()):
                previous_answer_at = job.last_answered_at
                await self.poll(job)
                if job.last_answered_at > previous_answer_at:
                    del unanswered[job.id]
            await curio.sleep(0.2)
        return sorted(unanswered)

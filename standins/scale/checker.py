"""Checks the protocol's rules against the events of workers and users during a run."""

import heapq
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from standins import workload
from standins.events import EventKind

# Events of different processes arrive out of order: they are held for this long and sorted by time.
EVENT_DELAY_S = 1.0
EPSILON = 1e-6  # excess over a limit up to this is a rounding error


class Event(NamedTuple):
    """An event; events are ordered by their time, then by their arrival."""

    at: float
    sequence: int
    kind: EventKind
    task: str  # for JOB_REPORTED_DONE: the job
    machine: str = ""
    task_count: int = 0  # for JOB_REPORTED_DONE: the number of the job's tasks


@dataclass
class RunningTask:
    """A task that is on a machine."""

    machine: str
    started_at: float


@dataclass(frozen=True)
class Violation:
    """A broken rule; `task` names the task that broke it, or the job that a user asked about."""

    at: float
    rule: str
    task: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.task}, {self.detail}"


@dataclass
class Checker:
    """Tracks every task and records violations of the protocol's rules.

    Times are seconds of the monotonic clock, which all processes on the machine share.
    """

    cancel_s: float
    team_cpus_max: float
    running: dict[str, RunningTask] = field(default_factory=dict)
    tasks_by_machine: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    # The running tasks of each team; each task uses one CPU.
    used_by_team: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    finished: set[str] = field(default_factory=set)
    first_start: dict[str, float] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    late_starts: list[str] = field(default_factory=list)  # starts after a confirmed cancellation
    cancelled: dict[str, float] = field(default_factory=dict)  # job -> time of the confirmation
    # A heap of (time, job): none of the cancelled job's tasks may run after that time.
    cancel_deadlines: list[tuple[float, str]] = field(default_factory=list)
    starts: int = 0
    out_of_order: int = 0  # events that arrived after their time had been evaluated
    pending_events: list[Event] = field(default_factory=list)
    event_sequence: int = 0
    evaluated_until: float = 0.0  # events up to this time have been evaluated

    # --- events

    def receive_event(self, line: str) -> None:
        """Queues an event line of a worker host: time in seconds, kind, task, machine."""
        at, kind, task, machine = line.split()
        self.event_sequence += 1
        self.out_of_order += float(at) < self.evaluated_until
        event = Event(float(at), self.event_sequence, EventKind(kind), task, machine)
        heapq.heappush(self.pending_events, event)

    def report_cancelled(self, job: str, at: float) -> None:
        """Records that a job's cancellation was confirmed to its user."""
        if job not in self.cancelled:
            self.cancelled[job] = at
            heapq.heappush(self.cancel_deadlines, (at + self.cancel_s, job))

    def report_done(self, job: str, tasks: int, at: float) -> None:
        """Queues the event that a job was reported done to its user.

        It is evaluated in order of time, since workers' earlier events may still be on their way.
        """
        self.event_sequence += 1
        kind = EventKind.JOB_REPORTED_DONE
        event = Event(at, self.event_sequence, kind, job, task_count=tasks)
        heapq.heappush(self.pending_events, event)

    # --- evaluation

    def evaluate(self, up_to: float) -> None:
        """Evaluates all events up to a time, in order of time."""
        while self.pending_events and self.pending_events[0].at <= up_to:
            event = heapq.heappop(self.pending_events)
            self.check_cancelled(event.at)
            self.evaluate_event(event)
        self.check_cancelled(up_to)
        self.evaluated_until = max(self.evaluated_until, up_to)

    def evaluate_event(self, event: Event) -> None:
        """Applies one event and checks the rules that it can break."""
        if event.kind == EventKind.STARTED:
            self.task_started(event.at, event.task, event.machine)
        elif event.kind == EventKind.JOB_REPORTED_DONE:
            self.check_done(event.at, event.task, event.task_count)
        elif event.kind == EventKind.MACHINE_GONE:
            for lost in list(self.tasks_by_machine[event.machine]):
                self.task_ended(lost, event.machine)
        else:
            if event.kind == EventKind.COMPLETED:
                self.finished.add(event.task)
            self.task_ended(event.task, event.machine)

    def task_started(self, at: float, task: str, machine: str) -> None:
        """Records a started task; checks ran_twice, quota and ran_cancelled."""
        job = task.split("/", maxsplit=1)[0]
        other = self.running.get(task)
        if other is not None and other.machine != machine:
            self.record_violation(
                at,
                "ran_twice",
                task,
                f"on {machine}, and on {other.machine} since {other.started_at:.3f}",
            )
        if other is None:
            self.starts += 1
            team = workload.parse_job_id(job).team
            self.used_by_team[team] += 1
            if self.used_by_team[team] > self.team_cpus_max + EPSILON:
                self.record_violation(
                    at,
                    "quota",
                    task,
                    f"team {team} uses {self.used_by_team[team]} CPUs, last start on {machine}",
                )
        self.running[task] = RunningTask(machine, at)
        self.tasks_by_machine[machine].add(task)
        self.first_start.setdefault(task, at)
        cancelled_at = self.cancelled.get(job)
        if cancelled_at is not None and at > cancelled_at:
            self.late_starts.append(task)
            if at > cancelled_at + self.cancel_s:
                self.record_violation(at, "ran_cancelled", task, f"starts on {machine}")

    def task_ended(self, task: str, machine: str) -> None:
        """Records that a task is no longer on a machine."""
        self.tasks_by_machine[machine].discard(task)
        running = self.running.get(task)
        if running is not None and running.machine == machine:
            del self.running[task]
            self.used_by_team[workload.parse_job_id(task.split("/", maxsplit=1)[0]).team] -= 1

    def check_done(self, at: float, job: str, tasks: int) -> None:
        """Checks that all tasks of a job that was reported done had completed (rule not_done)."""
        missing = [i for i in range(tasks) if f"{job}/{i}" not in self.finished]
        if missing:
            self.record_violation(
                at, "not_done", f"{job}/{missing[0]}", f"{len(missing)} tasks not completed"
            )

    def check_cancelled(self, now: float) -> None:
        """Checks that no task of a cancelled job runs past its deadline (rule ran_cancelled)."""
        while self.cancel_deadlines and self.cancel_deadlines[0][0] < now:
            at, job = heapq.heappop(self.cancel_deadlines)
            for task, running in self.running.items():
                if task.split("/")[0] == job:
                    self.record_violation(at, "ran_cancelled", task, f"still on {running.machine}")

    def record_violation(self, at: float, rule: str, task: str, detail: str) -> None:
        """Records a broken rule."""
        self.violations.append(Violation(at, rule, task, detail))

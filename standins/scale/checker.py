"""The rules of the protocol, held against what workers and users report while a run goes on."""

import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from standins import workload

EVENT_DELAY_S = 1.0  # processes tell at different times: what they tell is put in order first
EPSILON = 1e-6


@dataclass
class RunningTask:
    """A task that is on a machine."""

    machine: str
    started_at: float


@dataclass(frozen=True)
class Violation:
    """A broken rule: when, which, and who took part."""

    at: float
    rule: str
    task: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.task}, {self.detail}"


@dataclass
class Checker:
    """Seconds are those of one steady clock that all processes share."""

    cancel_s: float
    team_cpus_max: float
    running: dict[str, RunningTask] = field(default_factory=dict)
    tasks_by_machine: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    used_by_team: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    finished: set[str] = field(default_factory=set)
    first_start: dict[str, float] = field(default_factory=dict)
    violations: list[Violation] = field(default_factory=list)
    late_starts: list[str] = field(default_factory=list)  # starts after a confirmed cancellation
    cancelled: dict[str, float] = field(default_factory=dict)  # job -> when its user was told
    cancel_deadlines: list[tuple[float, str]] = field(
        default_factory=list
    )  # when cancelled jobs must be gone
    starts: int = 0
    out_of_order: int = 0
    pending_events: list[tuple[float, int, str, str, str]] = field(default_factory=list)
    event_sequence: int = 0
    evaluated_until: float = 0.0  # up to when all was judged

    # --- what is told

    def receive_event(self, line: str) -> None:
        """A line of a process of workers: seconds, what, task, machine."""
        at, what, task, machine = line.split()
        self.event_sequence += 1
        self.out_of_order += float(at) < self.evaluated_until
        heapq.heappush(self.pending_events, (float(at), self.event_sequence, what, task, machine))

    def report_cancelled(self, job: str, at: float) -> None:
        """A user was told that a job is cancelled."""
        if job not in self.cancelled:
            self.cancelled[job] = at
            heapq.heappush(self.cancel_deadlines, (at + self.cancel_s, job))

    def report_done(self, job: str, tasks: int, at: float) -> None:
        """A user heard that a job is done. Judged in its turn: workers tell a little later."""
        self.event_sequence += 1
        heapq.heappush(self.pending_events, (at, self.event_sequence, "told", job, str(tasks)))

    # --- judging

    def evaluate(self, up_to: float) -> None:
        """Judges what happened up to then, in the order in which it happened."""
        while self.pending_events and self.pending_events[0][0] <= up_to:
            at, _, what, task, machine = heapq.heappop(self.pending_events)
            self.check_gone(at)
            if what == "on":
                self.task_started(at, task, machine)
            elif what == "told":
                self.check_done(at, task, int(machine))
            elif what == "gone":
                for lost in list(self.tasks_by_machine[machine]):
                    self.task_ended(lost, machine)
            else:
                if what == "done":
                    self.finished.add(task)
                self.task_ended(task, machine)
        self.check_gone(up_to)
        self.evaluated_until = max(self.evaluated_until, up_to)

    def task_started(self, at: float, task: str, machine: str) -> None:
        """A task began on a machine: checks ran_twice, quota and ran_cancelled."""
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
                    at, "quota", task, f"team {team} uses {self.used_by_team[team]} on {machine}"
                )
        self.running[task] = RunningTask(machine, at)
        self.tasks_by_machine[machine].add(task)
        self.first_start.setdefault(task, at)
        told = self.cancelled.get(job)
        if told is not None and at > told:
            self.late_starts.append(task)
            if at > told + self.cancel_s:
                self.record_violation(at, "ran_cancelled", task, f"begins on {machine}")

    def task_ended(self, task: str, machine: str) -> None:
        """A task is no longer on a machine."""
        self.tasks_by_machine[machine].discard(task)
        place = self.running.get(task)
        if place is not None and place.machine == machine:
            del self.running[task]
            self.used_by_team[workload.parse_job_id(task.split("/", maxsplit=1)[0]).team] -= 1

    def check_done(self, at: float, job: str, tasks: int) -> None:
        """A user was told that a job is done: checks not_done."""
        missing = [i for i in range(tasks) if f"{job}/{i}" not in self.finished]
        if missing:
            self.record_violation(
                at, "not_done", f"{job}/{missing[0]}", f"{len(missing)} tasks not completed"
            )

    def check_gone(self, now: float) -> None:
        """Checks that tasks of cancelled jobs whose time is over are gone."""
        while self.cancel_deadlines and self.cancel_deadlines[0][0] < now:
            at, job = heapq.heappop(self.cancel_deadlines)
            for task, place in self.running.items():
                if task.split("/")[0] == job:
                    self.record_violation(at, "ran_cancelled", task, f"still on {place.machine}")

    def record_violation(self, at: float, rule: str, task: str, detail: str) -> None:
        """Records a broken rule."""
        self.violations.append(Violation(at, rule, task, detail))

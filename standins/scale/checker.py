"""The rules of the protocol, held against what workers and users report while a run goes on."""

import heapq
from collections import defaultdict
from dataclasses import dataclass, field

from standins import workload

HELD_BACK_S = 1.0  # processes tell at different times: what they tell is put in order first
EPSILON = 1e-6


@dataclass
class Start:
    """A task that is on a machine."""

    machine: str
    at: float


@dataclass(frozen=True)
class Broken:
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
    running: dict[str, Start] = field(default_factory=dict)
    here: defaultdict[str, set[str]] = field(default_factory=lambda: defaultdict(set))
    used: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))
    finished: set[str] = field(default_factory=set)
    first_start: dict[str, float] = field(default_factory=dict)
    broken: list[Broken] = field(default_factory=list)
    late: list[str] = field(default_factory=list)  # starts after a confirmed cancellation
    cancelled: dict[str, float] = field(default_factory=dict)  # job -> when its user was told
    due: list[tuple[float, str]] = field(default_factory=list)  # when cancelled jobs must be gone
    starts: int = 0
    out_of_order: int = 0
    waiting: list[tuple[float, int, str, str, str]] = field(default_factory=list)
    count: int = 0
    passed: float = 0.0  # up to when all was judged

    # --- what is told

    def hear(self, line: str) -> None:
        """A line of a process of workers: seconds, what, task, machine."""
        at, what, task, machine = line.split()
        self.count += 1
        self.out_of_order += float(at) < self.passed
        heapq.heappush(self.waiting, (float(at), self.count, what, task, machine))

    def told_cancelled(self, job: str, at: float) -> None:
        """A user was told that a job is cancelled."""
        if job not in self.cancelled:
            self.cancelled[job] = at
            heapq.heappush(self.due, (at + self.cancel_s, job))

    def told_done(self, job: str, tasks: int, at: float) -> None:
        """A user heard that a job is done. Judged in its turn: workers tell a little later."""
        self.count += 1
        heapq.heappush(self.waiting, (at, self.count, "told", job, str(tasks)))

    # --- judging

    def judge(self, up_to: float) -> None:
        """Judges what happened up to then, in the order in which it happened."""
        while self.waiting and self.waiting[0][0] <= up_to:
            at, _, what, task, machine = heapq.heappop(self.waiting)
            self.check_gone(at)
            if what == "on":
                self.begin(at, task, machine)
            elif what == "told":
                self.check_done(at, task, int(machine))
            elif what == "gone":
                for lost in list(self.here[machine]):
                    self.end(lost, machine)
            else:
                if what == "done":
                    self.finished.add(task)
                self.end(task, machine)
        self.check_gone(up_to)
        self.passed = max(self.passed, up_to)

    def begin(self, at: float, task: str, machine: str) -> None:
        """A task began on a machine: checks ran_twice, quota and ran_cancelled."""
        job = task.split("/", maxsplit=1)[0]
        other = self.running.get(task)
        if other is not None and other.machine != machine:
            self.fail(
                at, "ran_twice", task, f"on {machine}, and on {other.machine} since {other.at:.3f}"
            )
        if other is None:
            self.starts += 1
            team = workload.describe(job).team
            self.used[team] += 1
            if self.used[team] > self.team_cpus_max + EPSILON:
                self.fail(at, "quota", task, f"team {team} uses {self.used[team]} on {machine}")
        self.running[task] = Start(machine, at)
        self.here[machine].add(task)
        self.first_start.setdefault(task, at)
        told = self.cancelled.get(job)
        if told is not None and at > told:
            self.late.append(task)
            if at > told + self.cancel_s:
                self.fail(at, "ran_cancelled", task, f"begins on {machine}")

    def end(self, task: str, machine: str) -> None:
        """A task is no longer on a machine."""
        self.here[machine].discard(task)
        place = self.running.get(task)
        if place is not None and place.machine == machine:
            del self.running[task]
            self.used[workload.describe(task.split("/", maxsplit=1)[0]).team] -= 1

    def check_done(self, at: float, job: str, tasks: int) -> None:
        """A user was told that a job is done: checks not_done."""
        missing = [i for i in range(tasks) if f"{job}/{i}" not in self.finished]
        if missing:
            self.fail(at, "not_done", f"{job}/{missing[0]}", f"{len(missing)} tasks not completed")

    def check_gone(self, now: float) -> None:
        """Checks that tasks of cancelled jobs whose time is over are gone."""
        while self.due and self.due[0][0] < now:
            at, job = heapq.heappop(self.due)
            for task, place in self.running.items():
                if task.split("/")[0] == job:
                    self.fail(at, "ran_cancelled", task, f"still on {place.machine}")

    def fail(self, at: float, rule: str, task: str, detail: str) -> None:
        """Records a broken rule."""
        self.broken.append(Broken(at, rule, task, detail))

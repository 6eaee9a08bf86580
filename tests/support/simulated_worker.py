"""A worker of the simulated cluster."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from starlingdeck.protocol import api
from tests.support.reference_model import FakeTask, FakeWorker

if TYPE_CHECKING:
    from tests.support.simulated_cluster import SimulatedCluster

SLOTS_BY_TYPE = {"small": 2, "big": 8}  # number of tasks with 2 cores that a machine holds
FAILING_TASK_RUN_S = 0.5  # how long a task runs that ends with an error


@dataclass
class SimulatedWorker(FakeWorker):
    """A worker that reports to one controller at a time.

    `heartbeats_lost`: its reports reach no controller, but commands reach it. `hung`: it does
    nothing and answers nothing; commands sent to it arrive late.
    """

    model: "SimulatedCluster"  # type: ignore[assignment]
    controller: int = 0
    next_report_at: float = 0.0
    exit_times: dict[str, float] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)  # tasks that will end with an error
    heartbeats_lost: bool = False
    hung: bool = False

    def resize(self, machine_type: str, spot: bool) -> None:
        """Make the machine one of this type and kind, before it reports."""
        self.machine_type, self.spot = machine_type, spot
        self.slots = SLOTS_BY_TYPE[machine_type]

    def work(self, now: float) -> None:
        """Start the tasks whose image is fetched, and end those whose run time has passed."""
        if self.hung:
            return
        for name, task in self.tasks.items():
            if task.state == "fetching":
                task.state = "running"
                self.model.on_task_started(self, name)
                self.exit_times[name] = now + self.model.run_time_s(name)
                self.failing.discard(name)
                if name in self.completed:
                    self.exit_times[name] = now
                elif self.model.draw_task_failure():
                    self.failing.add(name)
                    self.exit_times[name] = now + FAILING_TASK_RUN_S
            elif task.state == "flushing" and self.exit_times[name] <= now:
                task.state, task.exit_reason = "exited", "halted"
            elif task.state == "running" and self.exit_times[name] <= now and name in self.failing:
                task.state, task.exit_reason = "exited", "error"
            elif task.state == "running" and self.exit_times[name] <= now:
                task.state, task.exit_reason = "exited", "done"
                self.completed.add(name)
                self.model.on_task_completed(name)

    def execute(self, command: api.Command) -> None:
        """Execute one command; a task with checkpoints saves before it stops, given the time."""
        task, body = self.tasks.get(command.task), self.model.jobs[command.task.split("/")[0]]
        saves = body["mark_s"] > 0 and (command.grace_s or 0.0) >= body["stash_s"] > 0
        if command.op == api.STOP and saves and task == FakeTask(command.attempt, "running"):
            task.state = "flushing"
            self.exit_times[command.task] = self.model.clock.at + body["stash_s"]
        elif command.op != api.STOP or not saves or task is None or task.state != "flushing":
            super().execute(command)

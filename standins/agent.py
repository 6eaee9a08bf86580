"""The worker's side of the protocol: sessions, leases, tokens, sequence numbers, commands.

An agent holds state only: sockets and timers belong to its caller. `execute` returns the tasks to
start and to stop; the caller reports their progress with `task_running` and `task_ended`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from starlingdeck.protocol import api

FETCHING, RUNNING, EXITED = "fetching", "running", "exited"
REPORT_TIMEOUT_S = 4.0  # until a heartbeat counts as unanswered
CONTROLLER_RETRY_S = 1.0  # wait before a worker tries the next controller
MIN_REPORT_INTERVAL_S = 0.5  # between the starts of two heartbeats


@dataclass
class Task:
    """One attempt of a task on this machine."""

    attempt: int
    state: str = FETCHING
    exit_cause: str | None = None


@dataclass
class Actions:
    """The tasks that a batch of commands starts and stops, in order of the commands."""

    to_start: list[str] = field(default_factory=list)
    to_stop: list[str] = field(default_factory=list)


@dataclass
class Identity:
    """The properties of a machine that each heartbeat carries."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool = False


class Agent:
    """One worker's protocol state.

    `fits(task, live)` returns whether one more task fits beside `live` unfinished ones.
    """

    def __init__(self, identity: Identity, now: float, fits: Callable[[str, int], bool]) -> None:
        self.identity = identity
        self.fits = fits
        self.tasks: dict[str, Task] = {}
        self.restart(now)

    def restart(self, now: float) -> None:
        """Resets the state to that of a machine that has just started, without tasks."""
        self.tasks.clear()
        self.session = 1
        self.sequence = self.token = 0
        self.lease_renewed_at = now  # when the last answered heartbeat was sent

    def build_report(self) -> api.Report:
        """Returns the next heartbeat; its sequence number is one higher than the last."""
        self.sequence += 1
        identity = self.identity
        tasks = [
            api.ReportTask(name, task.attempt, task.state, task.exit_cause)
            for name, task in self.tasks.items()
        ]
        return api.Report(
            identity.name, identity.address, identity.type, identity.zone, self.session,
            self.sequence, self.token, identity.spot, None, tasks,
        )  # fmt: skip

    def handle_commands(self, batch: api.Commands) -> Actions | None:
        """Executes commands that a controller sent directly.

        Returns None, without any effect, if their token is lower than the highest one seen or
        their session is not the current one.
        """
        if batch.token < self.token or batch.session != self.session:
            return None
        self.token = batch.token
        return self.execute(batch.commands)

    def handle_report_reply(
        self, reply: api.ReportReply, session: int, sent: float
    ) -> Actions | None:
        """Renews the lease and executes the commands of the reply to a heartbeat.

        `session` is the heartbeat's session; the lease runs from `sent`, when the heartbeat was
        sent, in seconds. Returns None, without any effect, if that session has ended or the
        reply's token is lower than the highest one seen.
        """
        if session != self.session or reply.token < self.token:
            return None
        self.token = reply.token
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        return self.execute(reply.commands)

    def execute(self, commands: list[api.Command]) -> Actions:
        """Executes commands in order and returns the tasks to start and to stop.

        A start has no effect if its attempt is known or another attempt of the task has not
        exited; a stop or reap has none if its attempt is not the known one.
        """
        actions = Actions()
        for command in commands:
            task = self.tasks.get(command.task)
            known = task is not None and task.attempt == command.attempt
            if command.op == api.START and not known:
                self._start(command, task, actions)
            elif task is None or not known:
                continue
            elif command.op == api.STOP and task.state != EXITED:
                self.task_ended(command.task, "halted")
                actions.to_stop.append(command.task)
            elif command.op == api.REAP and task.state == EXITED:
                del self.tasks[command.task]
        return actions

    def _start(self, command: api.Command, task: Task | None, actions: Actions) -> None:
        if task is not None and task.state != EXITED:
            return
        live = sum(t.state != EXITED for t in self.tasks.values())
        self.tasks[command.task] = Task(command.attempt)
        if self.fits(command.task, live):
            actions.to_start.append(command.task)
        else:
            self.task_ended(command.task, "full")

    def task_running(self, name: str) -> None:
        """Records that a task has its image and runs."""
        self.tasks[name].state = RUNNING

    def task_ended(self, name: str, exit_cause: str) -> None:
        """Records that a task has exited, with the cause that heartbeats carry."""
        task = self.tasks[name]
        task.state, task.exit_cause = EXITED, exit_cause

    def expire_lease(self, now: float, lease_s: float) -> list[str]:
        """Ends the session if the lease has expired; returns the tasks that this kills."""
        if now - self.lease_renewed_at <= lease_s:
            return []
        killed = [name for name, task in self.tasks.items() if task.state != EXITED]
        self.tasks.clear()
        self.session += 1
        self.lease_renewed_at = now
        return killed


def advance_controller(controllers: list[str], redirect_to: str | None) -> bool:
    """Moves the controller for the next heartbeat to the front.

    Called after the controller at the front refused a heartbeat or did not answer. The next one is
    `redirect_to`, which the refusal named, if it is another one in the list, and otherwise the
    second. Returns whether the worker has to wait before the next heartbeat.
    """
    if redirect_to in controllers and redirect_to != controllers[0]:
        controllers.remove(redirect_to)
        controllers.insert(0, redirect_to)
        return False
    controllers.append(controllers.pop(0))
    return True

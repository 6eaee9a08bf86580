"""The worker's side of the protocol: sessions, leases, tokens, tallies and commands.

Pure state: sockets and timers belong to whoever drives it. `execute` says which tasks are to be
begun and which ended; their driver says with `running` and `ended` what became of them.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from starlingdeck.protocol import api

FETCHING, RUNNING, EXITED = "fetching", "running", "exited"
REPORT_TIMEOUT_S = 4.0  # how long a worker waits for an answer to a report
CONTROLLER_RETRY_S = 1.0  # and before it tries the next controller
MIN_REPORT_INTERVAL_S = 0.5  # the least time between two reports


@dataclass
class Task:
    """One attempt of a task on this machine."""

    attempt: int
    state: str = FETCHING
    exit_cause: str | None = None


@dataclass
class Actions:
    """What a batch of commands asks of the driver, in order of the commands."""

    to_start: list[str] = field(default_factory=list)
    to_stop: list[str] = field(default_factory=list)


@dataclass
class Identity:
    """What a machine says of itself in every report."""

    name: str
    address: str
    type: str
    zone: str
    spot: bool = False


class Agent:
    """One worker. `fits` says whether one more task, given those that live, has room."""

    def __init__(self, identity: Identity, now: float, fits: Callable[[str, int], bool]) -> None:
        self.identity = identity
        self.fits = fits
        self.tasks: dict[str, Task] = {}
        self.restart(now)

    def restart(self, now: float) -> None:
        """A machine that is new or comes back with nothing on it."""
        self.tasks.clear()
        self.session = 1
        self.sequence = self.token = 0
        self.last_answered_at = now  # when the last answered report was sent

    def build_report(self) -> api.Report:
        """The next message about this machine; each has a higher tally."""
        self.sequence += 1
        me = self.identity
        tasks = [api.ReportTask(n, t.attempt, t.state, t.exit_cause) for n, t in self.tasks.items()]
        return api.Report(
            me.name, me.address, me.type, me.zone, self.session, self.sequence, self.token,
            me.spot, None, tasks,
        )  # fmt: skip

    def handle_commands(self, orders: api.Commands) -> Actions | None:
        """Direct commands; None when token or session don't match and nothing was executed."""
        if orders.token < self.token or orders.session != self.session:
            return None
        self.token = orders.token
        return self.execute(orders.commands)

    def handle_report_reply(
        self, reply: api.ReportReply, session: int, sent: float
    ) -> Actions | None:
        """An answer to the report sent then; None when it has to be dropped."""
        if session != self.session or reply.token < self.token:
            return None
        self.token = reply.token
        self.last_answered_at = max(self.last_answered_at, sent)
        return self.execute(reply.commands)

    def execute(self, commands: list[api.Command]) -> Actions:
        """Executes commands in order. A start of a known attempt has no effect."""
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
        """A task has its image and is on the machine."""
        self.tasks[name].state = RUNNING

    def task_ended(self, name: str, error: str) -> None:
        """A task has ended, with the cause that reports give."""
        task = self.tasks[name]
        task.state, task.exit_cause = EXITED, error

    def expire_lease(self, now: float, lease_s: float) -> list[str]:
        """Ends the session when the lease is over; the tasks that were killed by that."""
        if now - self.last_answered_at <= lease_s:
            return []
        killed = [name for name, task in self.tasks.items() if task.state != EXITED]
        self.tasks.clear()
        self.session += 1
        self.last_answered_at = now
        return killed


def advance_controller(names: list[str], named: str | None) -> bool:
    """Puts the controller to report to first, after a refusal that may have named one.

    True when the worker has to wait before it tries that.
    """
    if named in names and named != names[0]:
        names.remove(named)
        names.insert(0, named)
        return False
    names.append(names.pop(0))
    return True

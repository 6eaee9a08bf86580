"""The workers' JSON messages: heartbeats (reports), commands, task states, causes of exits."""

import msgspec
from msgspec import field

from starlingdeck.protocol.bounds import (
    JOB_ID_PATTERN,
    MAX_TASK_DIGITS,
    MAX_TASKS_PER_JOB,
    Attempt,
    Counter,
    HostName,
    PrintableName,
)

REPORT = "/v1/report"  # served by controllers
COMMANDS = "/do"  # served by workers
WORKER_STATUS = "/status"  # served by workers

START, STOP, REAP = "launch", "stop", "reap"  # operations of commands

# Codes of a task's state on a machine, used in memory and between controllers.
TASK_PENDING, TASK_FETCHING, TASK_RUNNING, TASK_SAVING, TASK_EXITED = range(5)
TASK_STATE_CODES = {
    "fetching": TASK_FETCHING,
    "running": TASK_RUNNING,
    "flushing": TASK_SAVING,
    "exited": TASK_EXITED,
}

# Codes of the cause of an attempt's end, used in memory, in records and between controllers.
(
    CAUSE_NONE,
    CAUSE_DONE,
    CAUSE_STOPPED,
    CAUSE_ERROR,
    CAUSE_NO_CAPACITY,
    CAUSE_IN_USE,
    CAUSE_UNKNOWN_TASK,
) = range(7)
CAUSE_CODES = {
    "done": CAUSE_DONE,
    "halted": CAUSE_STOPPED,
    "error": CAUSE_ERROR,
    "full": CAUSE_NO_CAPACITY,
    "in_use": CAUSE_IN_USE,
    "no_such": CAUSE_UNKNOWN_TASK,
}
CAUSE_NAMES = {code: name for name, code in CAUSE_CODES.items()}


class ReportTask(msgspec.Struct):
    """The state of a task's attempt, as its worker reports it."""

    task: str = field(name="chore")
    attempt: Attempt = field(name="try")
    state: str = field(name="status")
    cause: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)


class Report(msgspec.Struct):
    """A heartbeat: all tasks of a worker, numbered by its session and a sequence number."""

    machine: HostName = field(name="host")
    addr: PrintableName = field(name="endpoint")
    type: PrintableName = field(name="build")
    zone: PrintableName = field(name="roost")
    session: Counter = field(name="tenure")
    seq: Counter = field(name="tally")
    token: Counter = field(name="baton")
    spot: bool = field(name="loaners", default=False)
    notice_s: float | None = field(
        name="warning_s", default=None
    )  # until the machine is terminated
    tasks: list[ReportTask] = field(name="chores", default_factory=list)


class Command(msgspec.Struct, omit_defaults=True):
    """An operation for a worker to perform on one attempt of a task."""

    op: str = field(name="verb")
    task: str = field(name="chore")
    attempt: int = field(name="try")
    grace_s: float | None = field(name="leeway_s", default=None)


class ReportReply(msgspec.Struct):
    """The answer to a heartbeat, which renews the worker's lease."""

    token: int = field(name="baton")
    commands: list[Command] = field(name="orders")


class Redirect(msgspec.Struct, omit_defaults=True):
    """The answer to a heartbeat at the wrong controller: names the right one, if it is known."""

    report_to: str | None = field(name="answer_to", default=None)


class Commands(msgspec.Struct):
    """Commands that a controller sends between heartbeats; refused if the token is outdated."""

    token: int = field(name="baton")
    session: int = field(name="tenure")
    commands: list[Command] = field(name="orders")


def task_name(job: str, number: int) -> str:
    """Return the name by which workers know a job's task."""
    return f"{job}/{number}"


def parse_task(name: str) -> tuple[str, int]:
    """Return the job and the number of a task.

    The number is -1 for a name that no task can have: a number over the limit would be mistaken
    for a task of another job.
    """
    job, _, number = name.rpartition("/")
    is_number = number.isascii() and number.isdigit() and len(number) <= MAX_TASK_DIGITS
    if JOB_ID_PATTERN.fullmatch(job) and is_number and int(number) < MAX_TASKS_PER_JOB:
        return job, int(number)
    return job, -1

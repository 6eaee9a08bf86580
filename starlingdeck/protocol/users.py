"""The users' JSON messages: jobs and their status, and the paths of the users' HTTP API."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

from starlingdeck.protocol.bounds import MAX_TASKS_PER_JOB, Amount, JobId

JOBS = "/v2/runs"
CANCEL = "withdraw"
HEALTH = "/up"
COUNTS = "/ops/counts"

ARRAY, SERVICE = "sweep", "daemon"  # kinds of jobs
RANKS = {"prod": 3, "urgent": 2, "normal": 1, "idle": 0}  # by priority
QUEUED, RUNNING, DONE, CANCELLED = "queued", "running", "done", "cancelled"  # states of jobs


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its user submitted it.

    Stored records are decoded with it too, and those that an earlier version accepted must stay
    readable. Bounds added since then are therefore checked by `validation.validate_job`, not here.
    """

    id: JobId = field(name="uid")
    cls: str = field(name="flock")
    team: str = field(name="crew")
    kind: Literal["sweep", "daemon"] = field(name="shape")
    priority: Literal["prod", "urgent", "normal", "idle"] = field(name="rank")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_JOB)] = field(name="chores")
    cpus: Amount = field(name="cores")
    gpus: Amount = field(name="accelerators")
    memory_gb: Amount = field(name="ram_gb")
    image: str = field(name="kit")
    image_gb: Amount
    one_zone: bool = field(name="same_place")
    spread: bool
    spot: bool = field(name="loaners")
    estimate_s: Amount = field(name="guess_s")
    checkpoint_s: Amount = field(name="mark_s")
    save_s: Amount = field(name="stash_s")
    types: list[str] | None = field(name="builds", default=None)
    zone: str | None = field(name="roost", default=None)
    deadline_s: Amount | None = field(name="due_s", default=None)
    # Units of counted resources that each task uses while it is on its machine. An extension of
    # the platform's protocol.
    counts: dict[str, int] | msgspec.UnsetType | None = msgspec.UNSET

    @property
    def service(self) -> bool:
        """Whether the job's tasks are replicas that run until it is cancelled."""
        return self.kind == SERVICE

    @property
    def rank(self) -> int:
        """The job's priority as a number; jobs of a higher rank go first."""
        return RANKS[self.priority]


class JobStatus(msgspec.Struct, omit_defaults=True):
    """The status of a job, as reported to its user."""

    id: str = field(name="uid")
    state: str = field(name="status")
    done: int | None = None
    running: int | None = None
    fault: str | None = None  # why the job is quarantined; an extension of the protocol
    waits: list[str] | None = (
        None  # reasons why units of counted resources are missing; an extension
    )


class ErrorBody(msgspec.Struct):
    """The body of an error response."""

    error: str

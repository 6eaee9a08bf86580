"""Records that a shard's owner keeps of a machine: last report, tasks, launches, reservations."""

from typing import Protocol

from msgspec import Struct, field

from starlingdeck.context import Resources
from starlingdeck.machines.reachability import Reachability
from starlingdeck.protocol import api

SAVE_MARGIN_S = 1.0  # added to the time that a job says it needs to save


class PreemptionAttributes(Protocol):
    """The attributes of a job that decide who may preempt whom."""

    @property
    def team(self) -> int:
        """The index of the job's team."""

    @property
    def rank(self) -> int:
        """The job's priority rank; a higher rank preempts a lower one."""

    @property
    def guaranteed(self) -> bool:
        """Whether the job is within its team's guaranteed share."""


class JobInfo(Struct):
    """What the owner of a machine must know of a job with tasks there. Times are in seconds."""

    team: int
    rank: int
    size: Resources
    image: str
    image_gb: float
    checkpoint_s: float
    save_s: float
    service: bool
    spot: bool
    guaranteed: bool
    estimate_s: float


class ObservedTask(Struct):
    """A task as shown by the machine's newest report."""

    attempt: int
    state: int
    cause: int
    saved: bool
    state_since: float


class PendingLaunch(Struct):
    """A start that no report has shown yet; `deliveries` counts the attempts to send it."""

    attempt: int
    requested_at: float
    deliveries: int = 0


class DesiredTask(Struct):
    """A task that its job shard wants to run on a machine, or to be stopped there."""

    attempt: int
    session: int
    stop: bool
    grace_s: float


class Reservation(Struct):
    """Capacity reserved for a task whose placement record is being written."""

    attempt: int
    expires_at: float


class Machine(Reachability, kw_only=True):
    """A machine of a shard.

    Tasks are keyed by `interning.task_key`. Times are in seconds of the controller's steady clock.
    """

    index: int
    name: str
    address: str
    type: int
    zone: int
    spot: bool
    termination_at: float | None = None  # when the cloud will terminate it; None: no notice
    tasks: dict[int, ObservedTask] = field(default_factory=dict)
    ended_tasks: int = 0  # number of the tasks that have exited
    pending_launches: dict[int, PendingLaunch] = field(default_factory=dict)
    # Stops for tasks of the incarnation that `new_incarnation_session` names.
    orphan_stops: list[api.Command] = field(default_factory=list)
    reservations: dict[int, Reservation] = field(default_factory=dict)
    # Task key -> attempt -> highest token under which a start was sent directly in this session,
    # while the machine has not shown a later token: it may execute a copy of that start.
    start_tokens: dict[int, dict[int, int]] = field(default_factory=dict)
    # Those of them, task key and attempt, that its newest message doesn't show.
    vanished: list[tuple[int, int]] = field(default_factory=list)
    # It gets no commands under this token or a lower one, because it may have restarted.
    commands_held_at_token: int = 0
    refused_attempts: set[tuple[int, int]] = field(default_factory=set)  # task key and attempt
    evictions: dict[int, float] = field(default_factory=dict)  # task key -> seconds to save
    descheduled: set[int] = field(default_factory=set)
    images: dict[str, float] = field(default_factory=dict)  # image -> when last known to be used
    # The highest token of an unanswered start that may still act; 0: none.
    unconfirmed_token: int = 0
    piggybacked_at: float = -1e9  # when starts were last sent in the answer to a report
    lost: bool = False
    draining: bool = False
    faulty_since: float | None = None  # None: not faulty; a task's success may still clear it
    command_in_flight: bool = False
    retry_at: float = 0.0
    empty_since: float = 0.0
    published_schedulable: bool = False  # whether it was schedulable in the newest snapshot
    last_reported_tasks: list[api.ReportTask] | None = None  # as in the report that `tasks` is from
    reconciled: bool = False  # nothing to stop or reap until desired state or report change


def may_preempt(
    new: PreemptionAttributes, running: PreemptionAttributes, quota_pressure: bool
) -> bool:
    """Return whether a new job may preempt a running one (PROTOCOL, "Preemption").

    A new job of higher rank may, unless the running job is within another team's guarantee and the
    new job is not within its own team's. A new job of the same or a lower rank may only if it is
    within its team's guarantee and the running job is beyond the guarantee of another team. If its
    rank is lower, this also requires quota pressure: before that, there may be work of lower rank
    to preempt elsewhere, and users notice at once when a service is stopped.
    """
    if new.rank > running.rank:
        return new.team == running.team or new.guaranteed or not running.guaranteed
    if running.rank > new.rank and not quota_pressure:
        return False
    return new.guaranteed and not running.guaranteed and new.team != running.team

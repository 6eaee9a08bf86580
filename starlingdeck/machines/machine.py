"""A machine as its owner has it: what was heard of it, what runs there, what is promised."""

from typing import Protocol

from msgspec import Struct, field

from starlingdeck.context import Resources
from starlingdeck.machines.reachability import Reachability
from starlingdeck.protocol import api


class PreemptionAttributes(Protocol):
    """What preemption asks of a job."""

    @property
    def team(self) -> int: ...
    @property
    def rank(self) -> int: ...
    @property
    def guaranteed(self) -> bool: ...


class JobInfo(Struct):
    """What a machine's owner must know of a job that runs there."""

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
    """A task as the newest report has it."""

    attempt: int
    state: int
    cause: int
    saved: bool
    state_since: float


class PendingLaunch(Struct):
    """A start that no report has shown yet. `sent` counts tries to deliver it."""

    attempt: int
    requested_at: float
    deliveries: int = 0


class DesiredTask(Struct):
    attempt: int
    session: int
    stop: bool
    grace_s: float


class Reservation(Struct):
    """Room kept for a task whose record is being written."""

    attempt: int
    expires_at: float


class Machine(Reachability, kw_only=True):
    index: int
    name: str
    address: str
    type: int
    zone: int
    spot: bool
    termination_at: float | None = None
    tasks: dict[int, ObservedTask] = field(default_factory=dict)
    pending_launches: dict[int, PendingLaunch] = field(default_factory=dict)
    orphan_stops: list[api.Command] = field(default_factory=list)  # stops, for a life not yet begun
    reservations: dict[int, Reservation] = field(default_factory=dict)
    refused_attempts: set[tuple[int, int]] = field(default_factory=set)
    evictions: dict[int, float] = field(default_factory=dict)
    descheduled: set[int] = field(default_factory=set)
    images: dict[str, float] = field(default_factory=dict)
    unconfirmed_token: int = 0
    piggybacked_at: float = -1e9  # when starts last went out in a report's answer
    lost: bool = False
    draining: bool = False
    faulty_since: float | None = None  # since when; its work may still show that it isn't
    command_in_flight: bool = False
    retry_at: float = 0.0
    empty_since: float = 0.0
    published_schedulable: bool = False  # whether it was drawable when last shown
    last_reported_tasks: list[api.ReportTask] | None = None  # what `tasks` was made of
    reconciled: bool = False  # nothing to be stopped or reaped until a list or a report changes


def may_preempt(new: PreemptionAttributes, old: PreemptionAttributes, pressing: bool) -> bool:
    """PROTOCOL, "Preemption": higher rank, or a guarantee against another team's surplus.

    Work of higher rank gives way to a guarantee only when that presses: at first there may
    be lower work to stop elsewhere, and a stopped service is missed at once.
    """
    if new.rank > old.rank:
        return new.team == old.team or new.guaranteed or not old.guaranteed
    if old.rank > new.rank and not pressing:
        return False
    return new.guaranteed and not old.guaranteed and new.team != old.team

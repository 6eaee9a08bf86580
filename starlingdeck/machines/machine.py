"""A machine as its owner has it: what was heard of it, what runs there, what is promised."""

from typing import Protocol

from msgspec import Struct, field

from starlingdeck.context import Size
from starlingdeck.machines.reachability import Hearing
from starlingdeck.protocol import api


class Standing(Protocol):
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
    size: Size
    image: str
    image_gb: float
    checkpoint_s: float
    save_s: float
    service: bool
    spot: bool
    guaranteed: bool
    estimate_s: float


class Seen(Struct):
    """A task as the newest report has it."""

    attempt: int
    state: int
    why: int
    saved: bool
    since: float


class Launch(Struct):
    """A start that no report has shown yet. `sent` counts tries to deliver it."""

    attempt: int
    asked: float
    sent: int = 0


class Want(Struct):
    attempt: int
    session: int
    stop: bool
    grace_s: float


class Hold(Struct):
    """Room kept for a task whose record is being written."""

    attempt: int
    until: float


class Machine(Hearing, kw_only=True):
    index: int
    name: str
    address: str
    type: int
    zone: int
    spot: bool
    notice_until: float | None = None
    tasks: dict[int, Seen] = field(default_factory=dict)
    launches: dict[int, Launch] = field(default_factory=dict)
    strays: list[api.Command] = field(default_factory=list)  # stops, for a life not yet begun
    holds: dict[int, Hold] = field(default_factory=dict)
    refused: set[tuple[int, int]] = field(default_factory=set)
    evict: dict[int, float] = field(default_factory=dict)
    shed: set[int] = field(default_factory=set)
    images: dict[str, float] = field(default_factory=dict)
    doubt: int = 0
    rode: float = -1e9  # when starts last went out in a report's answer
    dead: bool = False
    draining: bool = False
    sick: float | None = None  # since when; its work may still show that it isn't
    busy: bool = False
    retry_at: float = 0.0
    empty_since: float = 0.0
    drawn: bool = False  # whether it was drawable when last shown
    shown: list[api.ReportTask] | None = None  # what `tasks` was made of
    quiet: bool = False  # nothing to be stopped or reaped until a list or a report changes


def may_preempt(new: Standing, old: Standing, pressing: bool) -> bool:
    """PROTOCOL, "Preemption": higher rank, or a guarantee against another team's surplus.

    Work of higher rank gives way to a guarantee only when that presses: at first there may
    be lower work to stop elsewhere, and a stopped service is missed at once.
    """
    if new.rank > old.rank:
        return new.team == old.team or new.guaranteed or not old.guaranteed
    if old.rank > new.rank and not pressing:
        return False
    return new.guaranteed and not old.guaranteed and new.team != old.team

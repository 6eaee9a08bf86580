"""The wanted fleet, and the calls that bring the rented one closer to it. Pure."""

import math
from collections.abc import Sequence

from msgspec import Struct, field, structs

from starlingdeck.context import ControllerContext, Resources, fit_count, fits, machine_capacity
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api

MAX_RENTAL_REQUEST = 50  # machines in one rental request, by the cloud's protocol
MIN_BOOT_SAMPLES = 5  # (start) before the nominal time is given up for what was seen
MAX_BOOT_SAMPLES = 30
MAX_BOOT_FACTOR = 4.0  # (start) times the nominal time: then it is returned as stuck
MAX_PENDING_RENTALS = 200  # machines asked for in one go

Bin = tuple[int, str, bool, list[float]]  # type, zone, spot, room


class Demand(Struct):
    """Tasks of one kind that found no machine."""

    size: Resources
    count: int
    types: tuple[str, ...]
    zone: str
    spot: bool
    rank: int
    service: bool


class RentalRequest(Struct):
    """A rental request; its name is never used for anything else."""

    name: str
    type: int
    zone: str
    spot: bool
    count: int
    at: float
    tries: int = 0


class ListedMachine(Struct):
    """A machine as the cloud's list had it, or as a rental's answer promised it."""

    name: str
    type: int
    zone: str
    spot: bool
    state: str
    rented: float
    last_seen: float
    last_up: float = -1e9
    booting: bool = False  # when we first knew of it


class FleetState(Struct):
    listed: dict[str, ListedMachine] = field(default_factory=dict)
    requests: list[RentalRequest] = field(default_factory=list)
    no_capacity: dict[tuple[int, str, bool], float] = field(default_factory=dict)
    backoff: dict[tuple[int, str, bool], float] = field(default_factory=dict)
    boots: dict[int, list[float]] = field(default_factory=dict)  # by type: the last, to nominal
    counter: int = 0


def boot_s(context: ControllerContext, item: ListedMachine) -> float:
    """The nominal boot time of a machine's type."""
    kind = context.machine_types.get(item.type)
    return kind.boot_s if kind else 60.0


def expected_s(context: ControllerContext, state: FleetState, item: ListedMachine) -> float:
    """How long a machine's boot is waited for before it is replaced in the reckoning: by the boots
    of its type that came lately. By the nominal time alone a late wave was rented twice."""
    seen = sorted(state.boots.get(item.type, ()))
    factor = 1.8
    if len(seen) >= MIN_BOOT_SAMPLES:
        factor = min(MAX_BOOT_FACTOR, max(1.2, 1.3 * seen[int(len(seen) * 0.9)]))
    return boot_s(context, item) * factor + 10


def learn_boot(
    context: ControllerContext, state: FleetState, item: ListedMachine, now: float
) -> None:
    """A machine that we knew while it booted is up for the first time."""
    kind = context.machine_types.get(item.type)
    if item.booting and kind is not None and kind.boot_s > 0:
        item.booting = False
        seen = state.boots.setdefault(item.type, [])
        seen.append((now - item.rented) / kind.boot_s)
        del seen[:-MAX_BOOT_SAMPLES]


def coming(
    context: ControllerContext, state: FleetState, up: set[str], now: float
) -> list[ListedMachine]:
    """Machines that are paid for and should still come up."""
    found = []
    for item in state.listed.values():
        if item.name in up or item.state == api.FAILED:
            continue
        if now - item.rented < expected_s(context, state, item):
            found.append(item)
    return found


def stuck(
    context: ControllerContext, state: FleetState, up: set[str], started: float, now: float
) -> list[str]:
    """Boots that never came up, and machines that run but whose worker never reports.

    A controller that has just started has heard nobody yet: on its first steps every
    machine looks like this, and the whole fleet would be thrown away. The same holds for
    the machines of a shard that has just changed hands. So silence counts from when this
    controller began to look, and from when it last knew the machine to be up.
    """
    found = []
    for item in state.listed.values():
        if item.name in up:
            learn_boot(context, state, item, now)
            item.last_up = now
            continue
        watched = now - max(started, item.rented, item.last_up)
        if item.state == api.BOOTING:
            late = now - item.rented > boot_s(context, item) * 4 + 30 and watched > 30
        else:
            late = watched > 90
        if late:
            found.append(item.name)
    return found


def plan_rentals(
    context: ControllerContext,
    state: FleetState,
    demands: Sequence[Demand],
    candidates: Sequence[Candidate],
    pending_boots: Sequence[ListedMachine],
    draining: Sequence[Candidate],
    now: float,
) -> list[RentalRequest]:
    """Rentals for the demand that neither free room nor machines on the way can take.

    A wave of demand is asked for at once: eight at a time, machines came up 10 s later
    than they could.
    """
    bins: list[Bin] = []
    for item in pending_boots:
        kind = context.machine_types.get(item.type)
        if kind is not None:
            bins.append((item.type, item.zone, item.spot, list(machine_capacity(kind))))
    for ask in state.requests:
        kind = context.machine_types.get(ask.type)
        if kind is not None:
            for _ in range(ask.count):
                bins.append((ask.type, ask.zone, ask.spot, list(machine_capacity(kind))))
    needs = together(demands) + spare_demand(context, candidates, draining)
    new: dict[tuple[int, str, bool], int] = {}
    for need in sorted(needs, key=lambda d: (-d.rank, -d.size[0])):
        if not math.isfinite(sum(need.size)) or need.count < 1:
            continue  # a peer's nonsense
        left = need.count - _take(context, need, need.count, bins)
        while left > 0 and sum(new.values()) < MAX_PENDING_RENTALS:
            choice = cheapest(context, state, structs.replace(need, count=left), now)
            if choice is None:
                break
            bins.append((*choice, list(machine_capacity(context.machine_types[choice[0]]))))
            left -= _take(context, need, left, bins[-1:])
            new[choice] = new.get(choice, 0) + 1
    # What was wanted first is asked first, and each kind in one call: calls are few.
    return [
        RentalRequest("", kind, zone, spot, min(count, MAX_RENTAL_REQUEST), now)
        for (kind, zone, spot), count in new.items()
    ]


def together(demands: Sequence[Demand]) -> list[Demand]:
    """Demands alike in all but their count as one.

    Each is packed into every machine on its way, and a class's jobs mostly ask for the same:
    fifty of them took up to 70 ms of processor time, twice a second.
    """
    found: dict[object, Demand] = {}
    for d in demands:
        key = (d.size, d.types, d.zone, d.spot, d.rank, d.service)
        known = found.get(key)
        found[key] = structs.replace(d, count=d.count + (known.count if known else 0))
    return list(found.values())


def spare_demand(
    context: ControllerContext, candidates: Sequence[Candidate], draining: Sequence[Candidate]
) -> list[Demand]:
    """Room to keep free for failures and for the next jobs: a share of the ordinary machines
    on ordinary ones, and the same share of all machines on any.

    By the ordinary ones alone, spot machines that were taken in a calm minute were missed
    only in the next busy one, a boot too late.
    """
    out = []
    for spot in (False, True):
        live = [candidate for candidate in candidates if spot or not candidate.spot]
        gone = [candidate for candidate in draining if spot or not candidate.spot]
        if not live:
            continue
        unit = min((candidate.capacity for candidate in live), key=lambda t: t[0])
        total = sum(candidate.capacity[0] for candidate in live)
        free = sum(max(0.0, candidate.available[0]) for candidate in live)
        lost = sum(candidate.capacity[0] - max(0.0, candidate.available[0]) for candidate in gone)
        short = total * context.tuning.spare_share + lost - free
        if short > 0 and unit[0] > 0:
            out.append(Demand(unit, math.ceil(short / unit[0]), (), "", spot, 0, False))
    return out


def _fits_kind(need: Demand, name: str, zone: str, spot: bool) -> bool:
    if need.types and name not in need.types:
        return False
    if need.zone and need.zone != zone:
        return False
    return need.spot or not spot


def _take(context: ControllerContext, need: Demand, count: int, bins: Sequence[Bin]) -> int:
    """How many of the need's tasks the bins hold; their room is taken."""
    taken = 0
    for kind, zone, spot, free in bins:
        if taken == count:
            break
        if not _fits_kind(need, context.type_names[kind], zone, spot):
            continue
        n = min(count - taken, fit_count(need.size, free))
        if n > 0:
            taken += n
            for d in range(3):
                free[d] -= n * need.size[d]
    return taken


def cheapest(
    context: ControllerContext, state: FleetState, need: Demand, now: float
) -> tuple[int, str, bool] | None:
    """Type, zone and kind with the lowest price per task among those with capacity."""
    best, best_rank = None, math.inf
    for index, kind in context.machine_types.items():
        total = machine_capacity(kind)
        if not fits(need.size, total):
            continue
        limit = fit_count(need.size, total)
        for zone in kind.zones:
            for spot in (False, True):
                key = (index, zone, spot)
                if not _fits_kind(need, kind.name, zone, spot):
                    continue
                if state.no_capacity.get(key, 0.0) > now:
                    continue
                price = kind.spot_price if spot else kind.price
                rank = price / max(1, min(limit, need.count))
                if rank < best_rank:
                    best, best_rank = key, rank
    return best

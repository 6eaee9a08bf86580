"""The wanted fleet, and the calls that bring the rented one closer to it. Pure."""

import math
from collections.abc import Sequence

from msgspec import Struct, field, structs

from starlingdeck.context import Size, World, fits, holds, total_of
from starlingdeck.machines.scoring import Room
from starlingdeck.protocol import api

MOST_ASKED = 50  # machines in one rental request, by the cloud's protocol
FEW_BOOTS = 5  # (start) before the nominal time is given up for what was seen
BOOTS_KEPT = 30
MOST_BOOT = 4.0  # (start) times the nominal time: then it is returned as stuck
MOST_WANTED = 200  # machines asked for in one go

Bin = tuple[int, str, bool, list[float]]  # type, zone, spot, room


class Demand(Struct):
    """Tasks of one kind that found no machine."""

    size: Size
    count: int
    types: tuple[str, ...]
    zone: str
    spot: bool
    rank: int
    service: bool


class Ask(Struct):
    """A rental request; its name is never used for anything else."""

    name: str
    type: int
    zone: str
    spot: bool
    count: int
    at: float
    tries: int = 0


class Listed(Struct):
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
    listed: dict[str, Listed] = field(default_factory=dict)
    asks: list[Ask] = field(default_factory=list)
    no_capacity: dict[tuple[int, str, bool], float] = field(default_factory=dict)
    backoff: dict[tuple[int, str, bool], float] = field(default_factory=dict)
    boots: dict[int, list[float]] = field(default_factory=dict)  # by type: the last, to nominal
    counter: int = 0


def boot_s(world: World, item: Listed) -> float:
    """The nominal boot time of a machine's type."""
    kind = world.types.get(item.type)
    return kind.boot_s if kind else 60.0


def expected_s(world: World, state: FleetState, item: Listed) -> float:
    """How long a machine's boot is waited for before it is replaced in the reckoning: by the boots
    of its type that came lately. By the nominal time alone a late wave was rented twice."""
    seen = sorted(state.boots.get(item.type, ()))
    factor = 1.8
    if len(seen) >= FEW_BOOTS:
        factor = min(MOST_BOOT, max(1.2, 1.3 * seen[int(len(seen) * 0.9)]))
    return boot_s(world, item) * factor + 10


def learn_boot(world: World, state: FleetState, item: Listed, now: float) -> None:
    """A machine that we knew while it booted is up for the first time."""
    kind = world.types.get(item.type)
    if item.booting and kind is not None and kind.boot_s > 0:
        item.booting = False
        seen = state.boots.setdefault(item.type, [])
        seen.append((now - item.rented) / kind.boot_s)
        del seen[:-BOOTS_KEPT]


def coming(world: World, state: FleetState, up: set[str], now: float) -> list[Listed]:
    """Machines that are paid for and should still come up."""
    found = []
    for item in state.listed.values():
        if item.name in up or item.state == api.FAILED:
            continue
        if now - item.rented < expected_s(world, state, item):
            found.append(item)
    return found


def stuck(world: World, state: FleetState, up: set[str], started: float, now: float) -> list[str]:
    """Boots that never came up, and machines that run but whose worker never reports.

    A controller that has just started has heard nobody yet: on its first steps every
    machine looks like this, and the whole fleet would be thrown away. The same holds for
    the machines of a shard that has just changed hands. So silence counts from when this
    controller began to look, and from when it last knew the machine to be up.
    """
    found = []
    for item in state.listed.values():
        if item.name in up:
            learn_boot(world, state, item, now)
            item.last_up = now
            continue
        watched = now - max(started, item.rented, item.last_up)
        if item.state == api.BOOTING:
            late = now - item.rented > boot_s(world, item) * 4 + 30 and watched > 30
        else:
            late = watched > 90
        if late:
            found.append(item.name)
    return found


def wanted_asks(
    world: World,
    state: FleetState,
    demands: Sequence[Demand],
    rooms: Sequence[Room],
    pending_boots: Sequence[Listed],
    draining: Sequence[Room],
    now: float,
) -> list[Ask]:
    """Rentals for the demand that neither free room nor machines on the way can take.

    A wave of demand is asked for at once: eight at a time, machines came up 10 s later
    than they could.
    """
    bins: list[Bin] = []
    for item in pending_boots:
        kind = world.types.get(item.type)
        if kind is not None:
            bins.append((item.type, item.zone, item.spot, list(total_of(kind))))
    for ask in state.asks:
        kind = world.types.get(ask.type)
        if kind is not None:
            for _ in range(ask.count):
                bins.append((ask.type, ask.zone, ask.spot, list(total_of(kind))))
    needs = together(demands) + spare_demand(world, rooms, draining)
    new: dict[tuple[int, str, bool], int] = {}
    for need in sorted(needs, key=lambda d: (-d.rank, -d.size[0])):
        if not math.isfinite(sum(need.size)) or need.count < 1:
            continue  # a peer's nonsense
        left = need.count - _take(world, need, need.count, bins)
        while left > 0 and sum(new.values()) < MOST_WANTED:
            choice = cheapest(world, state, structs.replace(need, count=left), now)
            if choice is None:
                break
            bins.append((*choice, list(total_of(world.types[choice[0]]))))
            left -= _take(world, need, left, bins[-1:])
            new[choice] = new.get(choice, 0) + 1
    # What was wanted first is asked first, and each kind in one call: calls are few.
    return [
        Ask("", kind, zone, spot, min(count, MOST_ASKED), now)
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


def spare_demand(world: World, rooms: Sequence[Room], draining: Sequence[Room]) -> list[Demand]:
    """Room to keep free for failures and for the next jobs: a share of the ordinary machines
    on ordinary ones, and the same share of all machines on any.

    By the ordinary ones alone, spot machines that were taken in a calm minute were missed
    only in the next busy one, a boot too late.
    """
    out = []
    for spot in (False, True):
        live = [r for r in rooms if spot or not r.spot]
        gone = [r for r in draining if spot or not r.spot]
        if not live:
            continue
        unit = min((r.total for r in live), key=lambda t: t[0])
        total = sum(r.total[0] for r in live)
        free = sum(max(0.0, r.free[0]) for r in live)
        lost = sum(r.total[0] - max(0.0, r.free[0]) for r in gone)
        short = total * world.tuning.spare_share + lost - free
        if short > 0 and unit[0] > 0:
            out.append(Demand(unit, math.ceil(short / unit[0]), (), "", spot, 0, False))
    return out


def _fits_kind(need: Demand, name: str, zone: str, spot: bool) -> bool:
    if need.types and name not in need.types:
        return False
    if need.zone and need.zone != zone:
        return False
    return need.spot or not spot


def _take(world: World, need: Demand, count: int, bins: Sequence[Bin]) -> int:
    """How many of the need's tasks the bins hold; their room is taken."""
    taken = 0
    for kind, zone, spot, free in bins:
        if taken == count:
            break
        if not _fits_kind(need, world.type_names[kind], zone, spot):
            continue
        n = min(count - taken, holds(need.size, free))
        if n > 0:
            taken += n
            for d in range(3):
                free[d] -= n * need.size[d]
    return taken


def cheapest(
    world: World, state: FleetState, need: Demand, now: float
) -> tuple[int, str, bool] | None:
    """Type, zone and kind with the lowest price per task among those with capacity."""
    best, best_rank = None, math.inf
    for index, kind in world.types.items():
        total = total_of(kind)
        if not fits(need.size, total):
            continue
        most = holds(need.size, total)
        for zone in kind.zones:
            for spot in (False, True):
                key = (index, zone, spot)
                if not _fits_kind(need, kind.name, zone, spot):
                    continue
                if state.no_capacity.get(key, 0.0) > now:
                    continue
                price = kind.spot_price if spot else kind.price
                rank = price / max(1, min(most, need.count))
                if rank < best_rank:
                    best, best_rank = key, rank
    return best

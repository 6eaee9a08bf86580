"""Plans which machines to rent, for unplaced demand and for headroom, without side effects."""

import math
from collections.abc import Sequence

from msgspec import Struct, structs

from starlingdeck.autoscaling.fleet import (
    Demand,
    FleetState,
    ListedMachine,
    MachineKind,
    RentalRequest,
)
from starlingdeck.context import ControllerContext, fit_count, fits, machine_capacity
from starlingdeck.machines.scoring import Candidate
from starlingdeck.machines.shard_state import MAX_TASKS_PER_MACHINE

MAX_MACHINES_PER_REQUEST = 50  # limit of the cloud's protocol for one rental request
MAX_MACHINES_PER_PLAN = 200

# Interned machine type, zone, spot, free capacity. A plain tuple, as it is unpacked in hot loops.
Bin = tuple[int, str, bool, list[float]]


class FleetSnapshot(Struct):
    """The machines that a rental plan takes into account."""

    schedulable: Sequence[Candidate] = ()
    pending: Sequence[ListedMachine] = ()  # rented, and expected to come up
    draining: Sequence[Candidate] = ()  # to be released soon


def plan_rentals(
    context: ControllerContext,
    state: FleetState,
    demands: Sequence[Demand],
    fleet: FleetSnapshot,
    now: float,
) -> list[RentalRequest]:
    """Plan rental requests for headroom and for the demand that pending machines can't take.

    A wave of demand is requested as a whole: with eight machines per request, machines came up
    10 s later than necessary. The caller has to name the requests.
    """
    bins = _pending_capacity(context, state, fleet.pending)
    needs = merge_demands(demands) + headroom_demand(context, fleet.schedulable, fleet.draining)
    rentals: dict[MachineKind, int] = {}
    for need in sorted(needs, key=lambda demand: (-demand.rank, -demand.size[0])):
        if not math.isfinite(sum(need.size)) or need.count < 1:
            continue  # a malformed demand from a peer
        remaining = need.count - _pack(context, need, need.count, bins)
        while remaining > 0 and sum(rentals.values()) < MAX_MACHINES_PER_PLAN:
            kind = cheapest_kind(context, state, structs.replace(need, count=remaining), now)
            if kind is None:
                break
            bins.append((*kind, list(machine_capacity(context.machine_types[kind[0]]))))
            remaining -= _pack(context, need, remaining, bins[-1:])
            rentals[kind] = rentals.get(kind, 0) + 1
    # The most urgent demand is requested first, and each kind in one request, because the rate of
    # requests is limited.
    return [
        RentalRequest("", machine_type, zone, spot, min(count, MAX_MACHINES_PER_REQUEST), now)
        for (machine_type, zone, spot), count in rentals.items()
    ]


def _pending_capacity(
    context: ControllerContext, state: FleetState, pending: Sequence[ListedMachine]
) -> list[Bin]:
    """Return the capacity of machines that are pending or already requested."""
    bins: list[Bin] = []
    for machine in pending:
        machine_type = context.machine_types.get(machine.type)
        if machine_type is not None:
            capacity = list(machine_capacity(machine_type))
            bins.append((machine.type, machine.zone, machine.spot, capacity))
    for request in state.requests:
        machine_type = context.machine_types.get(request.type)
        if machine_type is not None:
            for _ in range(request.count):
                bins.append((*request.kind, list(machine_capacity(machine_type))))
    return bins


def merge_demands(demands: Sequence[Demand]) -> list[Demand]:
    """Merge demands that differ only in their count.

    Each demand is packed into every pending machine, so merging them saves time: most jobs of a
    class have the same requirements. Fifty demands that were not merged took up to 70 ms of
    processor time, twice a second.
    """
    merged: dict[object, Demand] = {}
    for demand in demands:
        key = (
            demand.size, demand.types, demand.zone, demand.spot, demand.rank, demand.service
        )  # fmt: skip
        known = merged.get(key)
        merged[key] = structs.replace(demand, count=demand.count + (known.count if known else 0))
    return list(merged.values())


def headroom_demand(
    context: ControllerContext, schedulable: Sequence[Candidate], draining: Sequence[Candidate]
) -> list[Demand]:
    """Return demand for the capacity that is to be kept free for failures and for the next jobs.

    Two shares are kept free: `spare_share` of the on-demand machines' CPUs, on on-demand machines,
    and `spare_share` of all machines' CPUs, on machines of either kind. When only on-demand
    machines were counted, spot machines reclaimed in a minute of low load were replaced only when
    the load rose again, one boot time too late.
    """
    demands = []
    for spot in (False, True):
        counted = [candidate for candidate in schedulable if spot or not candidate.spot]
        leaving = [candidate for candidate in draining if spot or not candidate.spot]
        if not counted:
            continue
        smallest = min((candidate.capacity for candidate in counted), key=lambda size: size[0])
        total = sum(candidate.capacity[0] for candidate in counted)
        free = sum(max(0.0, candidate.available[0]) for candidate in counted)
        in_use = sum(
            candidate.capacity[0] - max(0.0, candidate.available[0]) for candidate in leaving
        )
        missing = total * context.tuning.spare_share + in_use - free
        if missing > 0 and smallest[0] > 0:
            count = math.ceil(missing / smallest[0])
            demands.append(Demand(smallest, count, (), "", spot, 0, False))
    return demands


def _kind_allowed(need: Demand, machine_type: str, zone: str, spot: bool) -> bool:
    if need.types and machine_type not in need.types:
        return False
    if need.zone and need.zone != zone:
        return False
    return need.spot or not spot


def _pack(context: ControllerContext, need: Demand, count: int, bins: Sequence[Bin]) -> int:
    """Pack up to `count` of the need's tasks into the bins. Return how many fit."""
    packed = 0
    for machine_type, zone, spot, free in bins:
        if packed == count:
            break
        if not _kind_allowed(need, context.type_names[machine_type], zone, spot):
            continue
        fitting = min(count - packed, fit_count(need.size, free), MAX_TASKS_PER_MACHINE)
        if fitting > 0:
            packed += fitting
            for resource in range(3):
                free[resource] -= fitting * need.size[resource]
    return packed


def cheapest_kind(
    context: ControllerContext, state: FleetState, need: Demand, now: float
) -> MachineKind | None:
    """Return the cheapest kind of machine per task, of those that may have capacity.

    Return None when no kind is left.
    """
    best, best_price = None, math.inf
    for index, machine_type in context.machine_types.items():
        capacity = machine_capacity(machine_type)
        if not fits(need.size, capacity):
            continue
        limit = min(fit_count(need.size, capacity), MAX_TASKS_PER_MACHINE)
        for zone in machine_type.zones:
            for spot in (False, True):
                kind = (index, zone, spot)
                if not _kind_allowed(need, machine_type.name, zone, spot):
                    continue
                if state.no_capacity.get(kind, 0.0) > now:
                    continue
                price = machine_type.spot_price if spot else machine_type.price
                price_per_task = price / max(1, min(limit, need.count))
                if price_per_task < best_price:
                    best, best_price = kind, price_per_task
    return best

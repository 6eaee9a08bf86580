"""Selects the machines to release to the cloud, without side effects."""

from collections.abc import Sequence

from starlingdeck.context import ControllerContext
from starlingdeck.machines.reachability import releasable_count
from starlingdeck.machines.scoring import Candidate

LOST_RELEASE_S = 30  # of silence, after which a lost machine is released
UNREACHABLE_RELEASE_S = 60.0  # a one-way partition may heal within this time
MIN_FREE_SHARE = 0.5  # of all CPUs; releases of idle machines leave at least this free


def lost_machines(
    context: ControllerContext, candidates: Sequence[Candidate], now: float
) -> list[str]:
    """Return the names of lost machines that have been silent for over LOST_RELEASE_S."""
    return [
        context.machine_names[candidate.index]
        for candidate in candidates
        if candidate.lost and candidate.silent_s + now - candidate.observed_at > LOST_RELEASE_S
    ]


def drained_machines(context: ControllerContext, candidates: Sequence[Candidate]) -> list[str]:
    """Return the names of draining machines that have nothing left to run.

    Machines with a termination notice are left out: the cloud itself takes them back.
    """
    return [
        context.machine_names[candidate.index]
        for candidate in candidates
        if candidate.draining
        and not candidate.lost
        and not candidate.termination_notice
        and not candidate.busy
    ]


def unreachable_machines(
    context: ControllerContext, candidates: Sequence[Candidate], now: float
) -> list[str]:
    """Return the names of machines that report but have long received nothing.

    Behind such a one-way partition no lease is renewed, so all tasks end with their leases. None
    are returned while many machines are in this state at once.
    """
    lease_s = context.settings.settings.workers.lease_s
    reporting = [candidate for candidate in candidates if not candidate.lost]
    unconfirmed_s = {
        candidate.index: candidate.unconfirmed_s + now - candidate.observed_at
        for candidate in reporting
        if candidate.unconfirmed_s > 0
    }
    unreachable = sum(age_s > lease_s for age_s in unconfirmed_s.values())
    if not releasable_count(unreachable, len(reporting)):
        return []
    return [
        context.machine_names[index]
        for index, age_s in unconfirmed_s.items()
        if age_s > UNREACHABLE_RELEASE_S
    ]


def idle_machines(
    context: ControllerContext, candidates: Sequence[Candidate], now: float
) -> list[str]:
    """Return the names of machines to release that have been idle for over `idle_s`.

    The longest idle come first. Some stay, so that enough capacity is free.
    """
    schedulable = [candidate for candidate in candidates if candidate.schedulable]
    free = sum(max(0.0, candidate.available[0]) for candidate in schedulable)
    total = sum(candidate.capacity[0] for candidate in schedulable)
    min_free = total * max(MIN_FREE_SHARE, context.tuning.spare_share)
    idle = [
        candidate
        for candidate in schedulable
        if not candidate.busy
        and candidate.idle_s + now - candidate.observed_at > context.tuning.idle_s
    ]
    names = []
    for candidate in sorted(idle, key=lambda machine: machine.observed_at - machine.idle_s):
        if free - candidate.capacity[0] < min_free:
            break
        free -= candidate.capacity[0]
        names.append(context.machine_names[candidate.index])
    return names

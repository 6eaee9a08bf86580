"""Boot times of machines: which machines are still expected to come up, and which are stuck."""

from starlingdeck.autoscaling.fleet import FleetState, ListedMachine
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api

DEFAULT_BOOT_S = 60.0  # of a machine whose type isn't known
MIN_BOOT_SAMPLES = 5  # needed for the observed boot times to replace the nominal one
MAX_BOOT_SAMPLES = 30  # kept for each machine type
DEFAULT_BOOT_FACTOR = 1.8  # times the nominal boot time, when there are too few samples
MIN_BOOT_FACTOR = 1.2
MAX_BOOT_FACTOR = 4.0  # times the nominal boot time, after which a boot is stuck
BOOT_QUANTILE = 0.9
BOOT_QUANTILE_MARGIN = 1.3
BOOT_TIMEOUT_MARGIN_S = 10
STUCK_BOOT_MARGIN_S = 30
MIN_WATCHED_BOOT_S = 30  # how long this controller watches a boot before it counts as stuck
MAX_SILENCE_S = 90  # without reports from a machine that the cloud lists as running


def nominal_boot_s(context: ControllerContext, machine: ListedMachine) -> float:
    """Return the nominal boot time of a machine's type."""
    machine_type = context.machine_types.get(machine.type)
    return machine_type.boot_s if machine_type else DEFAULT_BOOT_S


def boot_timeout_s(context: ControllerContext, state: FleetState, machine: ListedMachine) -> float:
    """Return how long after its rental a machine is still expected to come up.

    The timeout follows the recent boots of the machine's type. By the nominal time alone, a wave
    of machines that booted late was rented twice.
    """
    samples = sorted(state.boot_ratios.get(machine.type, ()))
    factor = DEFAULT_BOOT_FACTOR
    if len(samples) >= MIN_BOOT_SAMPLES:
        quantile = samples[int(len(samples) * BOOT_QUANTILE)]
        factor = min(MAX_BOOT_FACTOR, max(MIN_BOOT_FACTOR, BOOT_QUANTILE_MARGIN * quantile))
    return nominal_boot_s(context, machine) * factor + BOOT_TIMEOUT_MARGIN_S


def record_boot(
    context: ControllerContext, state: FleetState, machine: ListedMachine, now: float
) -> None:
    """Record the boot time of a machine that is up, if this controller saw it boot."""
    machine_type = context.machine_types.get(machine.type)
    if machine.booting and machine_type is not None and machine_type.boot_s > 0:
        machine.booting = False
        samples = state.boot_ratios.setdefault(machine.type, [])
        samples.append((now - machine.rented_at) / machine_type.boot_s)
        del samples[:-MAX_BOOT_SAMPLES]


def pending_machines(
    context: ControllerContext, state: FleetState, up: set[str], now: float
) -> list[ListedMachine]:
    """Return the rented machines that are still expected to come up."""
    return [
        machine
        for machine in state.listed.values()
        if machine.name not in up
        and machine.state != api.FAILED
        and now - machine.rented_at < boot_timeout_s(context, state, machine)
    ]


def stuck_machines(
    context: ControllerContext, state: FleetState, up: set[str], started: float, now: float
) -> list[str]:
    """Return the names of machines that did not come up, or that run but whose worker is silent.

    `started` is when this controller began to watch the fleet. A controller that has just started
    has received no report yet, so every machine looks stuck and the whole fleet would be released.
    The same holds for the machines of a shard whose owner has just changed. Silence is therefore
    measured from `started` at the earliest, and from when this controller last knew the machine
    to be up.
    """
    names = []
    for machine in state.listed.values():
        if machine.name in up:
            record_boot(context, state, machine, now)
            machine.last_up_at = now
            continue
        watched_s = now - max(started, machine.rented_at, machine.last_up_at)
        if machine.state == api.BOOTING:
            limit_s = nominal_boot_s(context, machine) * MAX_BOOT_FACTOR + STUCK_BOOT_MARGIN_S
            stuck = now - machine.rented_at > limit_s and watched_s > MIN_WATCHED_BOOT_S
        else:
            stuck = watched_s > MAX_SILENCE_S
        if stuck:
            names.append(machine.name)
    return names

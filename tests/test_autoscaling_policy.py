"""The autoscaler's choice of machines to rent and to release."""

from starlingdeck.autoscaling import boots, rentals
from starlingdeck.autoscaling.fleet import Demand, FleetState, ListedMachine
from starlingdeck.autoscaling.rentals import FleetSnapshot
from starlingdeck.context import ControllerContext
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from tests.support.builders import Clock, make_context


def listed(context: ControllerContext, name: str, state: str, rented_at: float) -> ListedMachine:
    return ListedMachine(
        name, context.type_names.intern("small"), "a", False, state, rented_at, rented_at
    )


def test_new_controller_does_not_release_the_fleet() -> None:
    """A new controller releases no machine before that machine has had time to report.

    After all controllers had crashed, the first list was read before the first report arrived.
    Every machine looked like a failed boot, and all were released.
    """
    clock = Clock()
    context = make_context(clock)
    state = FleetState()
    for i in range(5):
        state.listed[f"vm-{i}"] = listed(context, f"vm-{i}", "running", clock.at - 500)
    started = clock.at
    assert boots.stuck_machines(context, state, set(), started, started + 1) == []
    assert boots.stuck_machines(context, state, {"vm-0"}, started, started + 100) == [
        f"vm-{i}" for i in range(1, 5)
    ]


def test_ownership_change_does_not_release_the_shards_machines() -> None:
    """A machine that was up before its shard changed owners is not released at once.

    The first snapshot of a restarted peer named no machines yet. The machines of its zone seemed
    never to have come up, and were released with the replicas on them.
    """
    clock = Clock()
    context = make_context(clock)
    state = FleetState()
    state.listed["vm-1"] = listed(context, "vm-1", "running", clock.at - 500)
    state.listed["vm-2"] = listed(context, "vm-2", api.BOOTING, clock.at - 500)
    started = clock.at - 400
    assert boots.stuck_machines(context, state, {"vm-1", "vm-2"}, started, clock.at) == []
    assert boots.stuck_machines(context, state, set(), started, clock.at + 5) == []
    assert boots.stuck_machines(context, state, set(), started, clock.at + 100) == ["vm-1", "vm-2"]


def test_machine_that_never_comes_up_is_released() -> None:
    clock = Clock()
    context = make_context(clock)
    state = FleetState()
    state.listed["vm-1"] = listed(context, "vm-1", api.BOOTING, clock.at)
    boot = context.machine_types[context.type_names.intern("small")].boot_s
    started, late = clock.at - 99, clock.at + boot * 4 + 31
    assert boots.stuck_machines(context, state, set(), started, clock.at + boot * 3) == []
    assert boots.stuck_machines(context, state, set(), started, late) == ["vm-1"]


def test_demand_is_rented_for_only_once() -> None:
    clock = Clock()
    context = make_context(clock)
    state = FleetState()
    demands = [Demand((4.0, 0.0, 4.0), 3, ("small",), "", False, 1, False)]
    requests = rentals.plan_rentals(context, state, demands, FleetSnapshot(), clock.at)
    assert sum(request.count for request in requests) == 3
    assert not any(request.spot for request in requests)
    state.requests = requests
    assert rentals.plan_rentals(context, state, demands, FleetSnapshot(), clock.at) == []
    booting = [listed(context, f"vm-{i}", api.BOOTING, clock.at) for i in range(3)]
    state.requests = []
    fleet = FleetSnapshot(pending=booting)
    assert rentals.plan_rentals(context, state, demands, fleet, clock.at) == []


def test_another_kind_is_chosen_where_there_is_no_capacity() -> None:
    clock = Clock()
    context = make_context(clock)
    state = FleetState()
    need = Demand((4.0, 0.0, 4.0), 1, (), "", False, 1, False)
    first = rentals.cheapest_kind(context, state, need, clock.at)
    assert first is not None
    state.no_capacity[first] = clock.at + 5
    second = rentals.cheapest_kind(context, state, need, clock.at)
    assert second is not None
    assert second != first


def test_headroom_is_rented_before_anything_waits() -> None:
    clock = Clock()
    context = make_context(clock)
    total = (4.0, 0.0, 16.0)
    full = [Candidate(i, 0, 0, False, 0, total, [0.0, 0.0, 8.0]) for i in range(10)]
    idle = [Candidate(i, 0, 0, False, 0, total, [4.0, 0.0, 16.0]) for i in range(10)]
    assert rentals.headroom_demand(context, idle, []) == []
    need = rentals.headroom_demand(context, full, [])
    assert need
    assert need[0].count * 4.0 >= 40 * context.tuning.spare_share


def test_wave_of_demand_is_requested_at_once() -> None:
    """One request asks for up to 50 machines.

    With eight machines per request and few requests per second, half of a large fleet came up
    10 s late.
    """
    context = make_context(Clock())
    state = FleetState()
    demands = [Demand((4.0, 0.0, 4.0), 60, ("small",), "a", False, 0, False)]
    requests = rentals.plan_rentals(context, state, demands, FleetSnapshot(), 0.0)
    assert [request.count for request in requests] == [50]
    booting = [listed(context, f"vm-{i}", api.BOOTING, 0.0) for i in range(50)]
    requests = rentals.plan_rentals(context, state, demands, FleetSnapshot(pending=booting), 0.0)
    assert [request.count for request in requests] == [10]


def test_spot_machines_reclaimed_in_a_calm_minute_are_replaced() -> None:
    """Headroom counts spot machines too.

    When it counted on-demand machines only, reclaimed spot machines were replaced only in the next
    busy minute, one boot time too late.
    """
    context = make_context(Clock())
    total = (4.0, 0.0, 16.0)

    def machine(index: int, spot: bool, free: float) -> Candidate:
        return Candidate(index, 0, 0, spot, 0, total, [free, 0.0, 4 * free])

    calm = [machine(i, False, 4.0) for i in range(2)] + [machine(9, True, 0.0)]
    assert rentals.headroom_demand(context, calm, []) == []
    busy = [machine(i, False, 2.0) for i in range(2)] + [machine(i, True, 0.0) for i in range(5, 9)]
    found = rentals.headroom_demand(context, busy, [])
    assert [(d.count, d.spot) for d in found] == [(1, True)]


def test_equal_demands_are_merged() -> None:
    """Unmerged, fifty jobs of a class were packed one by one into every pending machine."""
    need = Demand((4.0, 0.0, 4.0), 3, ("small",), "", False, 1, False)
    other = Demand((2.0, 0.0, 4.0), 1, ("small",), "", False, 1, False)
    found = rentals.merge_demands([need, other, need])
    assert [(d.size[0], d.count) for d in found] == [(4.0, 6), (2.0, 1)]
    assert need.count == 3


def test_boot_timeout_follows_the_recent_boot_times() -> None:
    """The boot timeout follows the recent boot times of the type, within bounds.

    With a fixed timeout of 1.8 times the nominal time, a wave of late boots was rented twice.
    """
    clock = Clock()
    context = make_context(clock)
    boot = context.machine_types[context.type_names.intern("small")].boot_s
    for ratio, waits in ((0.05, 1.2), (1.0, 1.3), (2.5, 3.25), (9.0, 4.0), (None, 1.8)):
        state = FleetState()
        for i in range(8 if ratio is not None else 0):
            item = listed(context, f"vm-{i}", api.BOOTING, clock.at)
            item.booting = True
            state.listed[item.name] = item
            boots.stuck_machines(
                context, state, {item.name}, clock.at, clock.at + boot * (ratio or 0.0)
            )
        late = state.listed["vm-9"] = listed(context, "vm-9", api.BOOTING, clock.at)
        up = state.listed.keys() - {"vm-9"}
        due = clock.at + boot * waits + 10
        assert boots.pending_machines(context, state, up, due - 0.1) == [late]
        assert boots.pending_machines(context, state, up, due + 0.1) == []

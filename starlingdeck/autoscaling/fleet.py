"""The autoscaler's view of the rented fleet and of the demand."""

from msgspec import Struct, field

from starlingdeck.context import Resources

# Interned machine type, zone, spot. A plain tuple, because the rental plan builds one for each
# kind of machine on offer in its innermost loop.
MachineKind = tuple[int, str, bool]


class Demand(Struct):
    """Tasks with the same requirements that could not be placed."""

    size: Resources  # of one task
    count: int  # of tasks
    types: tuple[str, ...]  # allowed machine types; empty: any
    zone: str  # empty: any
    spot: bool  # spot machines are allowed too
    rank: int
    service: bool


class RentalRequest(Struct):
    """A request to rent machines of one kind. Its name is never used for another request."""

    name: str
    type: int
    zone: str
    spot: bool
    count: int
    planned_at: float

    @property
    def kind(self) -> MachineKind:
        """Return the kind of machine requested."""
        return self.type, self.zone, self.spot


class ListedMachine(Struct):
    """A rented machine, from the cloud's list or from the answer to a rental request."""

    name: str
    type: int
    zone: str
    spot: bool
    state: str
    rented_at: float
    last_seen_at: float  # in the cloud's list
    last_up_at: float = -1e9
    booting: bool = False  # booting when first seen; cleared when its boot time is recorded


class FleetState(Struct):
    """The state of an autoscaler. A successor starts with an empty one."""

    listed: dict[str, ListedMachine] = field(default_factory=dict)
    requests: list[RentalRequest] = field(default_factory=list)  # without an answer yet
    no_capacity: dict[MachineKind, float] = field(default_factory=dict)  # not requested until then
    backoff: dict[MachineKind, float] = field(default_factory=dict)  # last wait in seconds
    # By interned type: the latest boot times, as multiples of the nominal one.
    boot_ratios: dict[int, list[float]] = field(default_factory=dict)
    request_count: int = 0  # of rental requests, for their names

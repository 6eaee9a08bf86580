"""What the autoscaler knows of the rented fleet."""

from msgspec import Struct, field

from starlingdeck.context import Resources

# Machine type (interned), zone, whether spot. A plain tuple: the rental plan builds one for each
# kind of machine on offer in its innermost loop.
MachineKind = tuple[int, str, bool]


class Demand(Struct):
    """Tasks with the same needs that found no machine."""

    size: Resources
    count: int
    types: tuple[str, ...]
    zone: str
    spot: bool
    rank: int
    service: bool


class RentalRequest(Struct):
    """A request to rent machines of one kind; its name is never used for another request."""

    name: str
    type: int
    zone: str
    spot: bool
    count: int
    at: float

    @property
    def kind(self) -> MachineKind:
        """The kind of machine requested."""
        return self.type, self.zone, self.spot


class ListedMachine(Struct):
    """A rented machine, as the cloud listed it or as the answer to a rental named it."""

    name: str
    type: int
    zone: str
    spot: bool
    state: str
    rented: float
    last_seen: float  # in the cloud's list
    last_up: float = -1e9
    booting: bool = False  # when this controller first knew of it


class FleetState(Struct):
    """What an autoscaler remembers; a successor starts with an empty one."""

    listed: dict[str, ListedMachine] = field(default_factory=dict)
    requests: list[RentalRequest] = field(default_factory=list)  # not answered yet
    no_capacity: dict[MachineKind, float] = field(default_factory=dict)  # until when
    backoff: dict[MachineKind, float] = field(default_factory=dict)  # seconds
    boots: dict[int, list[float]] = field(
        default_factory=dict
    )  # by type: the last boot times, as a share of the nominal one
    counter: int = 0  # of rental requests

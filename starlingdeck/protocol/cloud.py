"""The cloud's JSON messages: machine types and rented machines."""

import msgspec
from msgspec import field

MACHINE_TYPES = "/machine_types"
MACHINES = "/hosts"
MACHINES_DELETE = "/hosts/delete"

BOOTING, FAILED = "starting", "failed"  # states of machines, besides users.RUNNING


class MachineType(msgspec.Struct, frozen=True):
    """A type of machine: its capacity, where it can be rented, and its prices."""

    name: str = field(name="sku")
    cpus: float = field(name="cores")
    memory_gb: float = field(name="ram_gb")
    zones: list[str] = field(name="roosts")
    gpus: float = field(name="accelerators", default=0.0)
    cache_gb: float = field(name="local_gb", default=0.0)
    fetch_gb_per_s: float = field(name="pull_gb_per_s", default=1.0)
    price: float = field(name="rate", default=0.0)
    spot_price: float = 0.0
    boot_s: float = 60.0


class MachineTypes(msgspec.Struct):
    """All types that the cloud offers."""

    types: list[MachineType] = field(name="builds")


class RentRequest(msgspec.Struct):
    """A request to rent machines; repeated under the same name, it rents them only once."""

    request: str = field(name="ask")
    type: str = field(name="build")
    zone: str = field(name="roost")
    spot: bool = field(name="loaners")
    count: int


class MachineNames(msgspec.Struct):
    """The names of machines that were rented or are to be deleted."""

    machines: list[str] = field(name="hosts")


class MachineInfo(msgspec.Struct):
    """A rented machine as the cloud knows it."""

    id: str = field(name="uid")
    type: str = field(name="build")
    zone: str = field(name="roost")
    spot: bool = field(name="loaners")
    state: str = field(name="status")
    addr: str = field(name="endpoint", default="")
    age_s: float = field(name="held_s", default=0.0)


class MachineList(msgspec.Struct):
    """A page of the list of rented machines; `more` tells whether another page follows."""

    machines: list[MachineInfo] = field(name="hosts")
    more: bool = field(name="truncated", default=False)

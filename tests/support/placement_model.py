"""A plain model of where a task may start, by the protocol's table of placement fields."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Place:
    """What the placement fields of a job can tell apart of a machine."""

    machine_type: str
    zone: str
    spot: bool = False


def allows(body: dict[str, Any], place: Place, other_zones: Sequence[str]) -> bool:
    """Return whether a task of a job may start at a place.

    `body` is the job as submitted; `other_zones` has the zone of each of its other tasks that is
    on a machine.
    """
    right_type = body["builds"] is None or place.machine_type in body["builds"]
    right_zone = body["roost"] in (None, place.zone)
    right_kind = body["loaners"] or not place.spot
    together = not body["same_place"] or not {*other_zones} - {place.zone}
    spread = not body["spread"] or other_zones.count(place.zone) < (body["chores"] + 1) // 2
    return right_type and right_zone and right_kind and together and spread

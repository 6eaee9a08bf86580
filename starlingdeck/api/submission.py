"""Checks beyond the bounds of a submission's fields: whether the job can be stored and ever run."""

import msgspec

from starlingdeck.context import ControllerContext, fits, machine_capacity, requested_resources
from starlingdeck.protocol.api import JobSpec

# Of the largest value that the state service stores; the rest is for the states of the tasks.
MAX_SPEC_SHARE = 0.25


def infeasibility_reason(context: ControllerContext, spec: JobSpec) -> str:
    """Return why a job can never run; empty if it can."""
    team = next((t for t in context.settings.settings.teams if t.name == spec.team), None)
    if team is None:
        return f"unknown team {spec.team!r}"
    replicas = spec.tasks if spec.service else 1
    if 0 < team.cpus_max < spec.cpus * replicas or 0 < team.gpus_max < spec.gpus * replicas:
        return f"more than the limit of team {spec.team!r}"
    size = requested_resources(spec)
    for machine_type in context.machine_types.values():
        if spec.types is not None and machine_type.name not in spec.types:
            continue
        if spec.zone is not None and spec.zone not in machine_type.zones:
            continue
        if fits(size, machine_capacity(machine_type)):
            return ""
    return "a task fits no allowed machine type"


def oversize_reason(context: ControllerContext, spec: JobSpec) -> str:
    """Return why a job's record is too large to be stored; empty if it is not."""
    limit = int(context.settings.settings.state.value_kb * 1000 * MAX_SPEC_SHARE)
    size = len(msgspec.json.encode(spec))
    return f"the description takes {size} bytes of {limit} allowed" if size > limit else ""

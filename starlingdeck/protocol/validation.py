"""Decoding and validation of external input; errors name the field by its wire name."""

from collections.abc import Mapping

import msgspec
from msgspec import field

from starlingdeck.protocol.bounds import (
    JOB_ID_PATTERN,
    MAX_AMOUNT,
    MAX_COUNTED_RESOURCES_PER_JOB,
    MAX_MACHINE_TYPES_PER_JOB,
    MAX_NAME_LENGTH,
    MAX_UNITS,
    MIN_NONZERO_SIZE,
    PRINTABLE_NAME_PATTERN,
    RESOURCE_NAME_PATTERN,
)
from starlingdeck.protocol.cloud import MachineType
from starlingdeck.protocol.users import JobSpec
from starlingdeck.protocol.workers import Report


class ValidationError(ValueError):
    """A request body is invalid; the text names the field and what was expected."""


def decode_job(body: bytes) -> JobSpec:
    """Decode the body of a submission; raises ValidationError."""
    try:
        spec = msgspec.json.decode(body, type=JobSpec)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(error)) from error
    if error_text := validate_job(spec):
        raise ValidationError(error_text)
    return spec


def validate_job(spec: JobSpec) -> str:
    """Return an error for the first field that is out of its bounds; empty if there is none."""
    if not JOB_ID_PATTERN.fullmatch(spec.id):
        return f"uid: must match {JOB_ID_PATTERN.pattern}"
    return (
        _name_error(spec)
        or _counts_error(spec.counts or {})
        or _machine_types_error(spec)
        or _amount_error(spec)
    )


def _name_error(spec: JobSpec) -> str:
    names = {"flock": [spec.cls], "crew": [spec.team], "kit": [spec.image]}
    names |= {"builds": spec.types or [], "roost": [spec.zone or ""]}
    for name, values in names.items():
        if not all(PRINTABLE_NAME_PATTERN.fullmatch(value) for value in values):
            return f"{name}: at most {MAX_NAME_LENGTH} characters, none of them a control character"
    return ""


def _counts_error(counts: Mapping[str, int]) -> str:
    if len(counts) > MAX_COUNTED_RESOURCES_PER_JOB:
        return f"counts: at most {MAX_COUNTED_RESOURCES_PER_JOB}"
    for name, units in counts.items():
        if not RESOURCE_NAME_PATTERN.fullmatch(name):
            return f"counts: no name of a count: must match {RESOURCE_NAME_PATTERN.pattern}"
        if not 0 <= units <= MAX_UNITS:
            return f"counts.{name}: from 0 to {MAX_UNITS}"
    return ""


def _machine_types_error(spec: JobSpec) -> str:
    if len(spec.types or ()) > MAX_MACHINE_TYPES_PER_JOB:
        return f"builds: at most {MAX_MACHINE_TYPES_PER_JOB} names"
    return ""


def _amount_error(spec: JobSpec) -> str:
    sizes = {"cores": spec.cpus, "accelerators": spec.gpus, "ram_gb": spec.memory_gb}
    amounts = sizes | {
        "image_gb": spec.image_gb,
        "guess_s": spec.estimate_s,
        "mark_s": spec.checkpoint_s,
        "stash_s": spec.save_s,
        "due_s": spec.deadline_s or 0.0,
    }
    for name, value in amounts.items():
        if value > MAX_AMOUNT:
            return f"{name}: at most {MAX_AMOUNT:.0f}"
    for name, value in sizes.items():
        if 0 < value < MIN_NONZERO_SIZE:
            return f"{name}: 0, or at least {MIN_NONZERO_SIZE:.6f}"
    if not any(sizes.values()):
        return "cores, accelerators, ram_gb: one of them must be over 0"
    return ""


def decode_report(body: bytes) -> Report:
    """Decode a report, a worker's heartbeat or answer to commands; raises ValidationError."""
    try:
        report = msgspec.json.decode(body, type=Report)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValidationError(str(error)) from error
    if max(report.session, report.seq, report.token) >> 64:
        raise ValidationError("tenure, tally, baton: under 2^64")
    return report


def is_valid_machine_type(machine_type: MachineType) -> bool:
    """Whether a machine type can be used in calculations.

    Its sizes must be within their bounds and one of them over 0, the other amounts neither
    negative nor over MAX_AMOUNT.
    """
    sizes = (machine_type.cpus, machine_type.memory_gb, machine_type.gpus)
    amounts = (
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
    )
    sizes_valid = all(size == 0 or MIN_NONZERO_SIZE <= size <= MAX_AMOUNT for size in sizes)
    return sizes_valid and any(sizes) and all(0 <= amount <= MAX_AMOUNT for amount in amounts)


class _JobIdField(msgspec.Struct):
    id: str = field(name="uid")


def job_id_of(body: bytes) -> str:
    """Return the job id in a body that failed validation; empty if it has no valid one."""
    try:
        job_id = msgspec.json.decode(body, type=_JobIdField).id
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""
    return job_id if JOB_ID_PATTERN.fullmatch(job_id) else ""

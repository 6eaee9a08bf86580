"""The measured figures of a scale run's rungs, their JSON form and their texts."""

from typing import Any

import msgspec

from standins.scale.faults import Recovery

# A process that uses this share of a core, or changes at this share of the state service's limit,
# limits the rung.
SATURATION_SHARE = 0.9
MAX_LATE_TICK_SHARE = 0.05  # with a higher share of late ticks, the worker hosts limit the rung


class Waits(msgspec.Struct):
    """Seconds from acceptance to first start: number of tasks, median and 99th percentile."""

    count: int
    p50: float
    p99: float


class Row(msgspec.Struct):
    """One rung over its measured seconds. Rates are per second, processor time is in cores."""

    name: str
    workers: int
    controllers: int
    asked_starts: float  # starts that the users request
    seconds: float
    starts: float
    reports: float
    submissions: float
    polls: float
    running: int  # tasks at the end
    controller_cores: list[float]
    controller_mb: float  # of the controller with the most memory
    controller_descriptors: int  # of the controller with the most
    state_cores: float
    host_cores: list[float]
    users_cores: float
    state_requests: float
    state_changes: float
    state_bytes: float
    state_read_bytes: float
    state_keys: int
    state_puts: dict[str, int]  # number in the measured seconds, by the first part of the key
    over_rate: int  # requests that the state service answered with 429
    malformed: int  # transactions that the state service answered with 400, over its limits
    report_bytes: float  # per worker and second: bodies of heartbeats and of their answers
    command_bytes: float  # per worker and second: bodies of direct commands
    worker_bytes: float | None  # per worker and second: sent and received at the controllers' API
    between_bytes: float | None  # per second: sent and received at all controllers' peer ports
    unanswered_reports: float
    submit_p95_s: float
    waits: dict[str, Waits]  # by rank
    late_ticks: float  # share of the worker hosts' ticks that were late
    late_starts: int  # task starts after a confirmed cancellation
    out_of_order: int  # events that the checker received too late to sort
    unanswered_jobs: list[str]  # no status query answered within 75 s at the end
    broken: list[str]  # violations of the protocol's rules
    recoveries: list[Recovery]
    limited_by: list[str]  # components at their limit

    @property
    def changes_per_start(self) -> float:
        """Returns the number of changes of the state service per started task."""
        return self.state_changes / self.starts if self.starts else 0.0


class Report(msgspec.Struct):
    """All rungs of a run."""

    complete: bool = False
    plan: Any = None
    rows: list[Row] = []


def limiting_components(row: Row, write_rps: float) -> list[str]:
    """Returns the components at their limit in a rung.

    `write_rps`: changes a second that the state service accepts.
    """
    found = []
    if max(row.controller_cores) > SATURATION_SHARE:
        found.append("controllers")
    if row.over_rate or row.state_changes >= SATURATION_SHARE * write_rps:
        found.append("changes of the state service")
    if row.late_ticks > MAX_LATE_TICK_SHARE or max(row.host_cores) > SATURATION_SHARE:
        # The recorded rungs and the capacity page know the worker hosts by this name.
        found.append("hollow workers (generator)")
    if row.users_cores > SATURATION_SHARE:
        found.append("users and checker (generator)")
    if row.state_cores > SATURATION_SHARE:
        found.append("the stand-in of the state service (generator)")
    return found


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which a share of the values lies; 0 when there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


ROW_HEADER = (
    "workers ctl  starts/s reports/s  ctl cores (max)  MB  state req/s chg/s chg/start"
    "  urgent p99 s normal p50/p99 s  limited by"
)


def format_row(row: Row) -> str:
    """Returns a rung as one line under `ROW_HEADER`."""
    cores = row.controller_cores
    urgent, normal = row.waits.get("urgent"), row.waits.get("normal")
    return (
        f"{row.workers:7} {row.controllers:3}  {row.starts:8.1f} {row.reports:9.1f}"
        f"  {sum(cores):9.2f} ({max(cores):.2f}) {row.controller_mb:4.0f}"
        f" {row.state_requests:11.1f} {row.state_changes:5.1f} {row.changes_per_start:9.3f}"
        f"  {urgent.p99 if urgent else 0.0:12.2f}"
        f" {normal.p50 if normal else 0.0:7.2f} / {normal.p99 if normal else 0.0:5.2f}"
        f"  {', '.join(row.limited_by) or 'nothing'}"
    )


def summary(row: Row) -> list[str]:
    """Returns a rung as lines of text for readers who are new to the service."""
    lines = [
        f"{row.controllers} controllers, {row.workers} simulated workers,"
        f" {row.seconds:.0f} s measured:",
        f"  {row.starts:.0f} task starts a second ({row.asked_starts:.0f} asked for),"
        f" {row.running} tasks running at the end",
        f"  submissions answered within {row.submit_p95_s * 1000:.0f} ms (p95)",
    ]
    for rank, waits in sorted(row.waits.items()):
        lines.append(
            f"  {rank}: {waits.count} tasks, from acceptance to start"
            f" {waits.p50:.2f} s (p50), {waits.p99:.2f} s (p99)"
        )
    lines.append(
        f"  a start cost {row.changes_per_start:.2f} changes of the state service and"
        f" {1000 * sum(row.controller_cores) / max(row.starts, 0.01):.1f} ms of all controllers"
    )
    lines += [_recovery_line(recovery) for recovery in row.recoveries]
    for text in row.broken[:20]:
        lines.append(f"  RULE BROKEN: {text}")
    if row.unanswered_jobs:
        lines.append(f"  NOT ANSWERED at the end: {', '.join(row.unanswered_jobs[:10])}")
    if row.malformed:
        lines.append(f"  REFUSED by the state service as malformed: {row.malformed}")
    if not failed(row):
        lines.append("  no rule broken, every job answered for")
    return lines


def _recovery_line(recovery: Recovery) -> str:
    again = "not within the run" if recovery.again_s is None else f"after {recovery.again_s:.1f} s"
    return (
        f"  {recovery.kind} at {recovery.at_s:.0f} s: {recovery.running_before} tasks ran, then"
        f" {recovery.running_least}; 95% again {again};"
        f" longest without a start {recovery.gap_s:.1f} s"
    )


def failed(row: Row) -> bool:
    """Returns whether a rung broke a rule, left a job unanswered or sent malformed requests."""
    return bool(row.broken or row.unanswered_jobs or row.malformed)

"""Compute the tables of docs/CAPACITY.md from the rungs recorded in docs/capacity/rungs.json.

A rung is one load level of a scale run (scripts/scale.py); its measured figures are one row.

python scripts/capacity.py          writes the tables into the page
python scripts/capacity.py --check  exits with 1 if the page's tables differ from the computed ones
python scripts/capacity.py --record REPORT.json RUN   adds the rows of a scale run's report to the
                                                      recorded ones, under the name RUN
"""

import json
import statistics
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
RUNGS = ROOT / "docs" / "capacity" / "rungs.json"
BLOCK_START, BLOCK_END = "<!-- from scripts/capacity.py -->", "<!-- end -->"

# The operators' target.
WORKERS, STARTS_PER_S, RUNNING_TASKS = 22_000, 7_100.0, 69_000
JOBS_PER_DAY, REGIONS, ZONES = 160_000, 6, 23
CONFIGURATION_CHANGES_PER_DAY = 49_000
MAX_WORKER_BYTES_PER_S = 11 * 1024
MAX_URGENT_WAIT_S, MAX_CONFIGURATION_DELAY_S = 9.0, 8.0
DAY_S, TWO_YEARS_DAYS = 86_400, 730

# Assumptions in addition to the target; the page lists them.
ORDINARY_LOAD_SHARE = 0.25  # of the peak's starts; the target gives only the peak
PEAK_JOB_FACTOR = 10.0  # jobs at the peak, as a multiple of their mean rate
CONTROLLERS = 3  # in each region

# Today's largest site: its size, and the limits in its settings, of which sockets, memory and cores
# are those of one controller.
TODAY_WORKERS, TODAY_STARTS_PER_S = 622, 52.0
MAX_SOCKETS, MAX_MEMORY_MB, MAX_CORES = 2_002, 326.0, 0.792
MAX_STATE_CHANGES_PER_S = 150.0
# A job's terminal state with its key: {"state":"done","tasks":N} under f/SHARD/JOB.
TERMINAL_STATE_BYTES = 60
JOB_NAME_BYTES = 170  # a job's name and index in a controller's memory (docs/design.md)
BASE_STARTS_PER_S = 30.0  # in the rungs from which the costs of a worker are derived
# State changes for a job's acceptance and end, without those for its tasks' starts and ends.
STATE_CHANGES_PER_JOB = 3

# A value up to this multiple of the largest measured one counts as measured.
MAX_MEASURED_FACTOR = 1.05

Row = dict[str, Any]


@dataclass(frozen=True)
class LinearFit:
    """A quantity as a linear function of one predictor.

    `max_measured` is the largest value of the predictor in the fitted rows, `rows` their number.
    """

    intercept: float
    slope: float
    max_measured: float
    rows: int

    def predict(self, value: float) -> float:
        """Return the fitted quantity for a value of the predictor."""
        return self.intercept + self.slope * value

    def mark(self, value: float) -> str:
        """Return "measured", or by which factor the value exceeds the largest measured one."""
        factor = value / self.max_measured
        return "measured" if factor <= MAX_MEASURED_FACTOR else f"extrapolated ×{factor:.1f}"


def fit(rows: list[Row], predictor: str, quantity: Callable[[Row], float]) -> LinearFit:
    """Fit a line to the rows by least squares."""
    values = [float(row[predictor]) for row in rows]
    line = statistics.linear_regression(values, [quantity(row) for row in rows])
    return LinearFit(line.intercept, line.slope, max(values), len(rows))


def total_cores(row: Row) -> float:
    """Return the processor time of all controllers together, in cores."""
    return float(sum(row["controller_cores"]))


class Measurements:
    """The recorded rungs, and linear fits through them.

    `memory_mb` and `sockets` of a controller depend on the number of workers, `peer_bytes` (a
    second, between controllers) on the starts a second. Fits by starts use rungs with group commit,
    except `cores_by_starts_ungrouped`.
    """

    def __init__(self, runs: dict[str, list[Row]]) -> None:
        self.runs = runs
        workers_rows = [row for row in runs["slopes"] if row["name"] == "workers"]
        ungrouped_rows = [row for row in runs["slopes"] if row["name"] == "starts"]
        ungrouped_rows = [row for row in workers_rows if row["workers"] == 600] + ungrouped_rows
        group_commit_rows = [row for row in runs["group-commit"] if row["name"] == "starts"]
        group_commit_rows = [row for row in group_commit_rows if row["workers"] == 600]
        self.cores_by_workers = fit(workers_rows, "workers", total_cores)
        self.cores_by_starts = fit(group_commit_rows, "starts", total_cores)
        self.cores_by_starts_ungrouped = fit(ungrouped_rows, "starts", total_cores)
        self.memory_mb = fit(workers_rows, "workers", lambda row: row["controller_mb"])
        self.sockets = fit(workers_rows, "workers", lambda row: row["controller_descriptors"])
        self.reports_by_workers = fit(workers_rows, "workers", lambda row: row["reports"])
        self.reports_by_starts = fit(group_commit_rows, "starts", lambda row: row["reports"])
        self.peer_bytes = fit(group_commit_rows, "starts", lambda row: row["between_bytes"])
        self.changes_per_start = [row["state_changes"] / row["starts"] for row in ungrouped_rows]
        self.region_rungs = runs["region"]
        self.busiest_rung = max(self.region_rungs, key=lambda row: row["starts"])
        self.controllers_rungs = runs["controllers"]

    def cores_at(self, workers: float, starts_per_s: float) -> float:
        """Return the estimated processor time of all controllers, in cores."""
        idle = (
            self.cores_by_workers.predict(workers)
            - self.cores_by_starts_ungrouped.slope * BASE_STARTS_PER_S
        )
        return idle + self.cores_by_starts.slope * starts_per_s

    def commits_per_s(self) -> float:
        """Return commits of the log a second in the region's rung with the most starts."""
        return float(self.busiest_rung["state_puts"]["w"] / self.busiest_rung["seconds"])

    def reports_at(self, workers: float, starts_per_s: float) -> float:
        """Return the estimated heartbeats a second at all controllers together."""
        idle = (
            self.reports_by_workers.predict(workers)
            - self.reports_by_starts.slope * BASE_STARTS_PER_S
        )
        return idle + self.reports_by_starts.slope * starts_per_s


def peak_jobs_per_s() -> float:
    """Return the jobs a second of one region at the peak."""
    return PEAK_JOB_FACTOR * JOBS_PER_DAY / DAY_S / REGIONS


def region_rows(measured: Measurements) -> list[tuple[str, ...]]:
    """Return the rows of the table of one region's load.

    Columns: quantity, slope, today, ordinary load, peak, peak with a controller down, mark at peak.
    """
    workers = WORKERS / REGIONS
    peak = STARTS_PER_S / REGIONS
    ordinary = ORDINARY_LOAD_SHARE * peak
    jobs = peak_jobs_per_s()

    def table_row(
        name: str,
        slope: str,
        values: tuple[float, float, float, float],
        mark: str,
        number_format: str,
    ) -> tuple[str, ...]:
        return (name, slope, *(number_format.format(v) for v in values), mark)

    def per_controller(
        quantity: Callable[[float, float], float],
    ) -> tuple[float, float, float, float]:
        return (
            quantity(TODAY_WORKERS, TODAY_STARTS_PER_S) / CONTROLLERS,
            quantity(workers, ordinary) / CONTROLLERS,
            quantity(workers, peak) / CONTROLLERS,
            quantity(workers, peak) / (CONTROLLERS - 1),
        )

    def undivided(quantity: Callable[[float, float], float]) -> tuple[float, float, float, float]:
        at_peak = quantity(workers, peak)
        return (
            quantity(TODAY_WORKERS, TODAY_STARTS_PER_S),
            quantity(workers, ordinary),
            at_peak,
            at_peak,
        )

    commits = measured.commits_per_s()
    start_mark = measured.cores_by_starts.mark(peak)
    return [
        table_row(
            "a controller's processor time, cores",
            f"{1e6 * measured.cores_by_workers.slope:.0f} µs a worker and second,"
            f" {1e3 * measured.cores_by_starts.slope:.2f} ms a start (all three)",
            per_controller(measured.cores_at),
            start_mark,
            "{:.2f}",
        ),
        table_row(
            "a controller's memory, MB",
            f"{measured.memory_mb.intercept:.0f} + {measured.memory_mb.slope * 1000:.1f}"
            " a thousand workers",
            undivided(lambda w, _s: measured.memory_mb.predict(w)),
            measured.memory_mb.mark(workers),
            "{:.0f}",
        ),
        table_row(
            "a controller's sockets",
            f"{measured.sockets.slope:.2f} a worker with three, two thirds of it reports",
            per_controller(lambda w, _s: CONTROLLERS * measured.sockets.predict(w)),
            measured.sockets.mark(workers),
            "{:.0f}",
        ),
        table_row(
            "reports a second, all controllers",
            f"{measured.reports_by_workers.slope:.3f} a worker,"
            f" {measured.reports_by_starts.slope:.2f} a start",
            undivided(measured.reports_at),
            measured.reports_by_starts.mark(peak),
            "{:.0f}",
        ),
        table_row(
            "between controllers, kB a second",
            f"{measured.peer_bytes.slope / 1000:.2f} kB a start",
            undivided(lambda _w, s: measured.peer_bytes.predict(s) / 1000),
            measured.peer_bytes.mark(peak),
            "{:.0f}",
        ),
        table_row(
            "state service, changes a second",
            f"{STATE_CHANGES_PER_JOB} a job, {commits:.1f} commits of the log",
            (
                TODAY_STARTS_PER_S * statistics.mean(measured.changes_per_start),
                STATE_CHANGES_PER_JOB * jobs / PEAK_JOB_FACTOR + commits,
                STATE_CHANGES_PER_JOB * jobs + commits,
                STATE_CHANGES_PER_JOB * jobs + commits,
            ),
            f"commits at {measured.busiest_rung['starts']:.0f} starts a second measured",
            "{:.0f}",
        ),
    ]


class Gap(NamedTuple):
    """How one mechanism compares with the target.

    `reach` is its limit divided by the need: below 1 it falls short of the target. `mark` says
    whether the figures were measured, extrapolated or calculated ("on paper").
    """

    reach: float
    mechanism: str
    limit: str
    need: str
    mark: str


def gaps(measured: Measurements) -> list[Gap]:
    """Return every mechanism with its limit and need, the smallest reach first."""
    workers, peak = WORKERS / REGIONS, STARTS_PER_S / REGIONS
    changes_per_start = statistics.mean(measured.changes_per_start)
    jobs = peak_jobs_per_s()
    commits = measured.commits_per_s()
    changes = STATE_CHANGES_PER_JOB * jobs + commits
    most_starts_per_s = measured.busiest_rung["starts"]
    cores_needed = measured.cores_at(workers, peak)
    job_names_mb_per_day = JOBS_PER_DAY / REGIONS * JOB_NAME_BYTES / 2**20
    headroom_mb = MAX_MEMORY_MB - measured.memory_mb.predict(workers)
    rows = [
        Gap(
            0.0,
            "changes of configuration in force everywhere (none yet: the settings file)",
            "restart of all controllers",
            f"{CONFIGURATION_CHANGES_PER_DAY / DAY_S:.2f} a second"
            f" within {MAX_CONFIGURATION_DELAY_S:.0f} s",
            "on paper",
        ),
        Gap(
            most_starts_per_s / STARTS_PER_S,
            "regions: one set of controllers and one state service for all",
            f"{most_starts_per_s:.0f} starts a second by one set",
            f"{STARTS_PER_S:.0f}",
            "measured",
        ),
        Gap(
            MAX_STATE_CHANGES_PER_S / (peak * changes_per_start),
            "a record rewritten for each job's change (a region, as `run` has it)",
            f"{MAX_STATE_CHANGES_PER_S:.0f} changes a second",
            f"{peak * changes_per_start:.0f}",
            f"extrapolated ×{peak / max(row['starts'] for row in measured.runs['slopes']):.1f}",
        ),
        Gap(
            MAX_STATE_CHANGES_PER_S / changes,
            "starts and ends written together (a region)",
            f"{MAX_STATE_CHANGES_PER_S:.0f} changes a second",
            f"{changes:.0f}",
            f"commits at {most_starts_per_s:.0f} starts a second",
        ),
        Gap(
            CONTROLLERS / cores_needed,
            "three controllers of one core each (a region)",
            f"{CONTROLLERS} cores",
            f"{cores_needed:.1f}",
            measured.cores_by_starts.mark(peak),
        ),
        Gap(
            CONTROLLERS * MAX_CORES / cores_needed,
            "the same with today's share of a core",
            f"{CONTROLLERS * MAX_CORES:.1f} cores",
            f"{cores_needed:.1f}",
            measured.cores_by_starts.mark(peak),
        ),
        Gap(
            MAX_SOCKETS * (CONTROLLERS - 1) / (CONTROLLERS * measured.sockets.predict(workers)),
            "connections of workers, one controller down",
            f"{MAX_SOCKETS} each",
            f"{CONTROLLERS * measured.sockets.predict(workers) / (CONTROLLERS - 1):.0f}",
            measured.sockets.mark(workers),
        ),
        Gap(
            headroom_mb / job_names_mb_per_day / 30,
            "names of jobs in a controller's memory, a month without a restart",
            f"{headroom_mb:.0f} MB",
            f"{30 * job_names_mb_per_day:.0f} MB",
            "on paper",
        ),
        Gap(
            MAX_MEMORY_MB / measured.memory_mb.predict(workers),
            "a controller's memory beside names",
            f"{MAX_MEMORY_MB:.0f} MB",
            f"{measured.memory_mb.predict(workers):.0f} MB",
            measured.memory_mb.mark(workers),
        ),
        Gap(
            MAX_URGENT_WAIT_S / measured.busiest_rung["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {most_starts_per_s:.0f} starts a second",
            f"{MAX_URGENT_WAIT_S:.0f} s",
            f"{measured.busiest_rung['waits']['urgent']['p99']:.1f} s",
            "measured",
        ),
        Gap(
            MAX_URGENT_WAIT_S / measured.region_rungs[0]["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {measured.region_rungs[0]['starts']:.0f} a second",
            f"{MAX_URGENT_WAIT_S:.0f} s",
            f"{measured.region_rungs[0]['waits']['urgent']['p99']:.1f} s",
            "measured",
        ),
        Gap(
            MAX_WORKER_BYTES_PER_S
            / max(row["worker_bytes"] for row in measured.runs["group-commit"]),
            "a worker's bytes a second",
            f"{MAX_WORKER_BYTES_PER_S}",
            f"{max(row['worker_bytes'] for row in measured.runs['group-commit']):.0f}",
            "measured",
        ),
    ]
    return sorted(rows)


def table(head: list[str], rows: Sequence[tuple[str, ...]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def rungs_table(measured: Measurements) -> list[str]:
    """Return the table of all recorded rungs."""
    rows = [
        (
            run,
            row["name"],
            f"{row['workers']}",
            f"{row['controllers']}",
            f"{row['asked_starts']:.0f}",
            f"{row['starts']:.0f}",
            f"{row['reports']:.0f}",
            f"{total_cores(row):.2f} ({max(row['controller_cores']):.2f})",
            f"{row['controller_mb']:.0f}",
            f"{row['controller_descriptors']}",
            f"{row['state_changes'] / row['starts']:.2f}",
            f"{(row['between_bytes'] or 0) / 1000:.0f}",
            ", ".join(row["limited_by"]) or "nothing",
        )
        for run, rungs in measured.runs.items()
        for row in rungs
    ]
    head = [
        "run",
        "rung",
        "workers",
        "controllers",
        "starts asked",
        "starts /s",
        "reports /s",
        "cores (most)",
        "MB",
        "sockets",
        "changes a start",
        "kB/s between",
        "limited by",
    ]
    return table(head, rows)


def controllers_table(measured: Measurements) -> list[str]:
    """Return the table of costs with more controllers at the same load."""
    first = measured.controllers_rungs[0]
    rows = [
        (
            f"{row['controllers']}",
            f"{total_cores(row):.2f}",
            f"{total_cores(row) / total_cores(first):.1f}",
            f"{row['between_bytes'] / 1000:.0f}",
            f"{row['between_bytes'] / first['between_bytes']:.1f}",
            f"{row['state_requests']:.0f}",
            f"{row['state_changes'] / row['starts']:.2f}",
            f"{row['controller_descriptors']}",
        )
        for row in measured.controllers_rungs
    ]
    head = [
        "controllers",
        "cores in all",
        "times",
        "kB/s between them",
        "times",
        "state requests /s",
        "changes a start",
        "sockets of one",
    ]
    return table(head, rows)


def recoveries_table(measured: Measurements) -> list[str]:
    """Return the table of recoveries, one row for each injected fault."""
    rows = [
        (
            f"{recovery['kind']} at {recovery['at_s']:.0f} s",
            f"{row['workers']}",
            f"{recovery['running_before']}",
            f"{recovery['running_least']}",
            "not within the run" if recovery["again_s"] is None else f"{recovery['again_s']:.1f} s",
            f"{recovery['gap_s']:.1f} s",
        )
        for row in measured.runs["troubles"]
        for recovery in row["recoveries"]
    ]
    head = ["trouble", "workers", "tasks before", "least", "95% again after", "longest no start"]
    return table(head, rows)


def page_tables(measured: Measurements) -> dict[str, list[str]]:
    """Return the lines of every table of the page, by the table's name."""
    gap_rows = [
        (
            f"{gap.reach:.2f}",
            gap.mechanism,
            gap.limit,
            gap.need,
            "**gap**" if gap.reach < 1 else "",
            gap.mark,
        )
        for gap in gaps(measured)
    ]
    head = ["", "slope", "today", "ordinary", "peak", "peak, one controller down", "mark at peak"]
    terminal_states = JOBS_PER_DAY * TWO_YEARS_DAYS
    most_starts_per_s, zone_tasks = measured.busiest_rung["starts"], RUNNING_TASKS / ZONES
    day_mb, two_years_gb = (
        JOBS_PER_DAY * TERMINAL_STATE_BYTES / 1e6,
        terminal_states * TERMINAL_STATE_BYTES / 1e9,
    )
    growth = [
        ("final states a day, all regions", f"{JOBS_PER_DAY}", f"{day_mb:.0f} MB"),
        (
            "final states in two years",
            f"{terminal_states / 1e6:.0f} million",
            f"{two_years_gb:.1f} GB",
        ),
        ("parts of ended arrays", "0", "deleted 10 s after the end"),
        ("a zone's workers", f"{WORKERS / ZONES:.0f}", f"{zone_tasks:.0f} tasks"),
        (
            "those tasks started again",
            f"{most_starts_per_s:.0f} a second at best",
            f"{zone_tasks / most_starts_per_s:.0f} s",
        ),
    ]
    return {
        "gaps": table(["reach", "what carries it", "limit", "need", "", "mark"], gap_rows),
        "region": table(head, region_rows(measured)),
        "growth": table(["", "number", "size or time"], growth),
        "troubles": recoveries_table(measured),
        "controllers": controllers_table(measured),
        "rungs": rungs_table(measured),
    }


def with_tables(text: str, tables: dict[str, list[str]]) -> str:
    """Return the page's text with each table put between its start and end markers.

    Raises ValueError when a marker is missing.
    """
    for name, lines in tables.items():
        start_marker = f"{BLOCK_START} {name}"
        first = text.index(start_marker) + len(start_marker)
        last = text.index(BLOCK_END, first)
        text = text[:first] + "\n\n" + "\n".join(lines) + "\n\n" + text[last:]
    return text


def load() -> dict[str, list[Row]]:
    """Return the recorded rungs of every run, by the run's name."""
    found: dict[str, list[Row]] = json.loads(RUNGS.read_text())
    return found


def record(report: Path, run: str) -> None:
    """Add the rows of a scale run's report to the recorded ones, under the run's name."""
    runs = load() if RUNGS.exists() else {}
    runs.setdefault(run, []).extend(json.loads(report.read_text())["rows"])
    RUNGS.parent.mkdir(exist_ok=True)
    rows = [
        f'"{name}": [\n' + ",\n".join(json.dumps(row) for row in rungs) + "\n]"
        for name, rungs in runs.items()
    ]
    RUNGS.write_text("{\n" + ",\n".join(rows) + "\n}\n")


def main(arguments: list[str]) -> int:
    """Write or check the page, or record a run; return the exit status."""
    if arguments[:1] == ["--record"]:
        record(Path(arguments[1]), arguments[2])
        return 0
    text = PAGE.read_text()
    expected = with_tables(text, page_tables(Measurements(load())))
    if arguments == ["--check"]:
        if expected != text:
            print(f"{PAGE.name}: its tables are not what {RUNGS.name} gives", file=sys.stderr)
        return int(expected != text)
    PAGE.write_text(expected)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

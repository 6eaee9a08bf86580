"""Computes docs/CAPACITY.md's tables from the rungs recorded in docs/capacity/rungs.json.

python scripts/capacity.py          writes the tables into the page
python scripts/capacity.py --check  exits with 1 if the page's tables are not these
python scripts/capacity.py --record REPORT.json RUN   adds a scale run's rows under a run's name
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
WORKERS, STARTS_PER_S, RUNNING = 22_000, 7_100.0, 69_000
JOBS_A_DAY, REGIONS, ZONES = 160_000, 6, 23
CONFIGURATION_CHANGES_A_DAY = 49_000
WORKER_BYTES_PER_S = 11 * 1024
URGENT_S, CONFIGURATION_S = 9.0, 8.0
DAY_S, YEARS_2_DAYS = 86_400, 730

# Assumptions beside the target; the page names them.
ORDINARY_SHARE = 0.25  # of the peak's starts; the target names the peak only
PEAK_JOB_FACTOR = 10.0  # jobs at the peak, as a multiple of their mean rate
CONTROLLERS = 3  # of a region

# Today's largest site, as its settings have it.
TODAY_WORKERS, TODAY_STARTS = 622, 52.0
SOCKETS, MEMORY_MB, CORES = 2_002, 326.0, 0.792
CHANGES_PER_S = 150.0
# Of a terminal state and its key: {"state":"done","tasks":N} under f/SHARD/JOB.
TERMINAL_STATE_BYTES = 60
NAME_BYTES = 170  # of a job's name and index in a controller's memory (docs/design.md)
BASE_STARTS_PER_S = 30.0  # of the rungs from which the costs of a worker come
ACCEPT_AND_END = 3  # changes of a job beside its starts and ends

MAX_MEASURED_FACTOR = 1.05  # up to this much beyond the largest rung counts as measured

Row = dict[str, Any]


@dataclass(frozen=True)
class LinearFit:
    """A quantity as a linear function of one predictor.

    `max_measured` is the largest value of the predictor in the rows, `rows` their number.
    """

    intercept: float
    slope: float
    max_measured: float
    rows: int

    def at(self, value: float) -> float:
        """The line's value."""
        return self.intercept + self.slope * value

    def mark(self, value: float) -> str:
        """Whether a value was measured, or how far it is extrapolated."""
        factor = value / self.max_measured
        return "measured" if factor <= MAX_MEASURED_FACTOR else f"extrapolated ×{factor:.1f}"


def fit(rows: list[Row], predictor: str, quantity: Callable[[Row], float]) -> LinearFit:
    """The line through the rows, by least squares."""
    values = [float(row[predictor]) for row in rows]
    line = statistics.linear_regression(values, [quantity(row) for row in rows])
    return LinearFit(line.intercept, line.slope, max(values), len(rows))


def cores(row: Row) -> float:
    """Processor time of all controllers together, in cores."""
    return float(sum(row["controller_cores"]))


class Measurements:
    """The recorded rungs and the linear fits through them."""

    def __init__(self, runs: dict[str, list[Row]]) -> None:
        self.runs = runs
        workers = [row for row in runs["slopes"] if row["name"] == "workers"]
        starts = [row for row in runs["slopes"] if row["name"] == "starts"]
        starts = [row for row in workers if row["workers"] == 600] + starts
        grouped = [row for row in runs["group-commit"] if row["name"] == "starts"]
        grouped = [row for row in grouped if row["workers"] == 600]
        self.cores_worker = fit(workers, "workers", cores)
        self.cores_start = fit(grouped, "starts", cores)
        self.cores_start_records = fit(starts, "starts", cores)
        self.memory = fit(workers, "workers", lambda row: row["controller_mb"])
        self.sockets = fit(workers, "workers", lambda row: row["controller_descriptors"])
        self.reports = fit(workers, "workers", lambda row: row["reports"])
        self.reports_start = fit(grouped, "starts", lambda row: row["reports"])
        self.between = fit(grouped, "starts", lambda row: row["between_bytes"])
        self.changes_a_start = [row["state_changes"] / row["starts"] for row in starts]
        self.region = runs["region"]
        self.best = max(self.region, key=lambda row: row["starts"])
        self.controllers = runs["controllers"]

    def cores_at(self, workers: float, starts_per_s: float) -> float:
        """Processor time of all controllers, in cores."""
        idle = self.cores_worker.at(workers) - self.cores_start_records.slope * BASE_STARTS_PER_S
        return idle + self.cores_start.slope * starts_per_s

    def commits_per_s(self) -> float:
        """Commits of the log a second in the region's rung with the most starts."""
        return float(self.best["state_puts"]["w"] / self.best["seconds"])

    def reports_at(self, workers: float, starts_per_s: float) -> float:
        """Heartbeats a second at all controllers."""
        idle = self.reports.at(workers) - self.reports_start.slope * BASE_STARTS_PER_S
        return idle + self.reports_start.slope * starts_per_s


def peak_jobs_per_s() -> float:
    """Jobs a second of one region at the peak."""
    return PEAK_JOB_FACTOR * JOBS_A_DAY / DAY_S / REGIONS


def region_rows(measured: Measurements) -> list[tuple[str, ...]]:
    """A region: quantity, slope, today, ordinary, peak, peak with a controller down, mark."""
    workers = WORKERS / REGIONS
    peak = STARTS_PER_S / REGIONS
    ordinary = ORDINARY_SHARE * peak
    jobs = peak_jobs_per_s()

    def line(
        name: str, slope: str, values: tuple[float, float, float, float], mark: str, form: str
    ) -> tuple[str, ...]:
        return (name, slope, *(form.format(v) for v in values), mark)

    def controller(of: Callable[[float, float], float]) -> tuple[float, float, float, float]:
        return (
            of(TODAY_WORKERS, TODAY_STARTS) / CONTROLLERS,
            of(workers, ordinary) / CONTROLLERS,
            of(workers, peak) / CONTROLLERS,
            of(workers, peak) / (CONTROLLERS - 1),
        )

    def same(of: Callable[[float, float], float]) -> tuple[float, float, float, float]:
        now = of(workers, peak)
        return (of(TODAY_WORKERS, TODAY_STARTS), of(workers, ordinary), now, now)

    commits = measured.commits_per_s()
    start_mark = measured.cores_start.mark(peak)
    return [
        line(
            "a controller's processor time, cores",
            f"{1e6 * measured.cores_worker.slope:.0f} µs a worker and second,"
            f" {1e3 * measured.cores_start.slope:.2f} ms a start (all three)",
            controller(measured.cores_at),
            start_mark,
            "{:.2f}",
        ),
        line(
            "a controller's memory, MB",
            f"{measured.memory.intercept:.0f} + {measured.memory.slope * 1000:.1f}"
            " a thousand workers",
            same(lambda w, _s: measured.memory.at(w)),
            measured.memory.mark(workers),
            "{:.0f}",
        ),
        line(
            "a controller's sockets",
            f"{measured.sockets.slope:.2f} a worker with three, two thirds of it reports",
            controller(lambda w, _s: CONTROLLERS * measured.sockets.at(w)),
            measured.sockets.mark(workers),
            "{:.0f}",
        ),
        line(
            "reports a second, all controllers",
            f"{measured.reports.slope:.3f} a worker, {measured.reports_start.slope:.2f} a start",
            same(measured.reports_at),
            measured.reports_start.mark(peak),
            "{:.0f}",
        ),
        line(
            "between controllers, kB a second",
            f"{measured.between.slope / 1000:.2f} kB a start",
            same(lambda _w, s: measured.between.at(s) / 1000),
            measured.between.mark(peak),
            "{:.0f}",
        ),
        line(
            "state service, changes a second",
            f"{ACCEPT_AND_END} a job, {commits:.1f} commits of the log",
            (
                TODAY_STARTS * statistics.mean(measured.changes_a_start),
                ACCEPT_AND_END * jobs / PEAK_JOB_FACTOR + commits,
                ACCEPT_AND_END * jobs + commits,
                ACCEPT_AND_END * jobs + commits,
            ),
            f"commits at {measured.best['starts']:.0f} starts a second measured",
            "{:.0f}",
        ),
    ]


class Gap(NamedTuple):
    """How far a mechanism reaches: its limit divided by the need, and where that comes from."""

    reach: float
    mechanism: str
    limit: str
    need: str
    mark: str


def gaps(measured: Measurements) -> list[Gap]:
    """Every mechanism's reach, smallest first."""
    workers, peak = WORKERS / REGIONS, STARTS_PER_S / REGIONS
    by_record = statistics.mean(measured.changes_a_start)
    jobs = peak_jobs_per_s()
    commits = measured.commits_per_s()
    changes = ACCEPT_AND_END * jobs + commits
    best = measured.best["starts"]
    cores_needed = measured.cores_at(workers, peak)
    names_mb = JOBS_A_DAY / REGIONS * NAME_BYTES / 2**20
    headroom_mb = MEMORY_MB - measured.memory.at(workers)
    rows = [
        Gap(
            0.0,
            "changes of configuration in force everywhere (none yet: the settings file)",
            "restart of all controllers",
            f"{CONFIGURATION_CHANGES_A_DAY / DAY_S:.2f} a second within {CONFIGURATION_S:.0f} s",
            "on paper",
        ),
        Gap(
            best / STARTS_PER_S,
            "regions: one set of controllers and one state service for all",
            f"{best:.0f} starts a second by one set",
            f"{STARTS_PER_S:.0f}",
            "measured",
        ),
        Gap(
            CHANGES_PER_S / (peak * by_record),
            "a record rewritten for each job's change (a region, as `run` has it)",
            f"{CHANGES_PER_S:.0f} changes a second",
            f"{peak * by_record:.0f}",
            f"extrapolated ×{peak / max(row['starts'] for row in measured.runs['slopes']):.1f}",
        ),
        Gap(
            CHANGES_PER_S / changes,
            "starts and ends written together (a region)",
            f"{CHANGES_PER_S:.0f} changes a second",
            f"{changes:.0f}",
            f"commits at {best:.0f} starts a second",
        ),
        Gap(
            CONTROLLERS / cores_needed,
            "three controllers of one core each (a region)",
            f"{CONTROLLERS} cores",
            f"{cores_needed:.1f}",
            measured.cores_start.mark(peak),
        ),
        Gap(
            CONTROLLERS * CORES / cores_needed,
            "the same with today's share of a core",
            f"{CONTROLLERS * CORES:.1f} cores",
            f"{cores_needed:.1f}",
            measured.cores_start.mark(peak),
        ),
        Gap(
            SOCKETS * (CONTROLLERS - 1) / (CONTROLLERS * measured.sockets.at(workers)),
            "connections of workers, one controller down",
            f"{SOCKETS} each",
            f"{CONTROLLERS * measured.sockets.at(workers) / (CONTROLLERS - 1):.0f}",
            measured.sockets.mark(workers),
        ),
        Gap(
            headroom_mb / names_mb / 30,
            "names of jobs in a controller's memory, a month without a restart",
            f"{headroom_mb:.0f} MB",
            f"{30 * names_mb:.0f} MB",
            "on paper",
        ),
        Gap(
            MEMORY_MB / measured.memory.at(workers),
            "a controller's memory beside names",
            f"{MEMORY_MB:.0f} MB",
            f"{measured.memory.at(workers):.0f} MB",
            measured.memory.mark(workers),
        ),
        Gap(
            URGENT_S / measured.best["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {best:.0f} starts a second",
            f"{URGENT_S:.0f} s",
            f"{measured.best['waits']['urgent']['p99']:.1f} s",
            "measured",
        ),
        Gap(
            URGENT_S / measured.region[0]["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {measured.region[0]['starts']:.0f} a second",
            f"{URGENT_S:.0f} s",
            f"{measured.region[0]['waits']['urgent']['p99']:.1f} s",
            "measured",
        ),
        Gap(
            WORKER_BYTES_PER_S / max(row["worker_bytes"] for row in measured.runs["group-commit"]),
            "a worker's bytes a second",
            f"{WORKER_BYTES_PER_S}",
            f"{max(row['worker_bytes'] for row in measured.runs['group-commit']):.0f}",
            "measured",
        ),
    ]
    return sorted(rows)


def table(head: list[str], rows: Sequence[tuple[str, ...]]) -> list[str]:
    """A Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def rungs_table(measured: Measurements) -> list[str]:
    """Every recorded rung."""
    rows = [
        (
            run,
            row["name"],
            f"{row['workers']}",
            f"{row['controllers']}",
            f"{row['asked_starts']:.0f}",
            f"{row['starts']:.0f}",
            f"{row['reports']:.0f}",
            f"{cores(row):.2f} ({max(row['controller_cores']):.2f})",
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
    """The cost of more controllers at the same load."""
    first = measured.controllers[0]
    rows = [
        (
            f"{row['controllers']}",
            f"{cores(row):.2f}",
            f"{cores(row) / cores(first):.1f}",
            f"{row['between_bytes'] / 1000:.0f}",
            f"{row['between_bytes'] / first['between_bytes']:.1f}",
            f"{row['state_requests']:.0f}",
            f"{row['state_changes'] / row['starts']:.2f}",
            f"{row['controller_descriptors']}",
        )
        for row in measured.controllers
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
    """The recovery from each fault."""
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
    """Every table of the page, by its name."""
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
    terminal_states = JOBS_A_DAY * YEARS_2_DAYS
    best, tasks = measured.best["starts"], RUNNING / ZONES
    day_mb, two_years_gb = (
        JOBS_A_DAY * TERMINAL_STATE_BYTES / 1e6,
        terminal_states * TERMINAL_STATE_BYTES / 1e9,
    )
    growth = [
        ("final states a day, all regions", f"{JOBS_A_DAY}", f"{day_mb:.0f} MB"),
        (
            "final states in two years",
            f"{terminal_states / 1e6:.0f} million",
            f"{two_years_gb:.1f} GB",
        ),
        ("parts of ended arrays", "0", "deleted 10 s after the end"),
        ("a zone's workers", f"{WORKERS / ZONES:.0f}", f"{tasks:.0f} tasks"),
        ("those tasks started again", f"{best:.0f} a second at best", f"{tasks / best:.0f} s"),
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
    """The page with each block of tables put between its marks."""
    for name, lines in tables.items():
        begin = f"{BLOCK_START} {name}"
        first = text.index(begin) + len(begin)
        last = text.index(BLOCK_END, first)
        text = text[:first] + "\n\n" + "\n".join(lines) + "\n\n" + text[last:]
    return text


def load() -> dict[str, list[Row]]:
    """The recorded rungs of every run."""
    found: dict[str, list[Row]] = json.loads(RUNGS.read_text())
    return found


def record(report: Path, run: str) -> None:
    """Adds a scale run's rows under a run's name."""
    runs = load() if RUNGS.exists() else {}
    runs.setdefault(run, []).extend(json.loads(report.read_text())["rows"])
    RUNGS.parent.mkdir(exist_ok=True)
    rows = [
        f'"{name}": [\n' + ",\n".join(json.dumps(row) for row in rungs) + "\n]"
        for name, rungs in runs.items()
    ]
    RUNGS.write_text("{\n" + ",\n".join(rows) + "\n}\n")


def main(arguments: list[str]) -> int:
    """Writes or checks the page, or records a run; returns the exit status."""
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

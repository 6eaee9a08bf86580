"""Works out docs/CAPACITY.md's tables from the rungs recorded in docs/capacity/rungs.json.

python scripts/capacity.py          writes the tables into the page
python scripts/capacity.py --check  exits with 1 if the page's tables are not these
python scripts/capacity.py --record REPORT.json RUN   adds a scale run's rows under a run's name
"""

import json
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "CAPACITY.md"
RUNGS = ROOT / "docs" / "capacity" / "rungs.json"
BEGIN, END = "<!-- from scripts/capacity.py -->", "<!-- end -->"

# The operators' target.
WORKERS, STARTS_PER_S, RUNNING = 22_000, 7_100.0, 69_000
JOBS_A_DAY, REGIONS, ZONES = 160_000, 6, 23
CHANGES_OF_CONFIGURATION_A_DAY = 49_000
WORKER_BYTES_PER_S = 11 * 1024
URGENT_S, CONFIGURATION_S = 9.0, 8.0
DAY_S, YEARS_2_DAYS = 86_400, 730

# What is taken for granted beside it; the page says so.
ORDINARY = 0.25  # of the peak's starts: an assumption of ours, the letter names the peak only
BUSY_JOBS = 10.0  # times the mean rate of jobs at the peak: an assumption of ours
CONTROLLERS = 3  # of a region

# Today's fleet site, as its settings have it.
TODAY_WORKERS, TODAY_STARTS = 622, 52.0
SOCKETS, MEMORY_MB, CORES = 2_002, 326.0, 0.792
CHANGES_PER_S = 150.0
FINAL_BYTES = 60  # of a final state and its key: {"state":"done","tasks":N} under f/SHARD/JOB
NAME_BYTES = 170  # of a job's name and index in a controller's memory (docs/design.md)
ACCEPT_AND_END = 3  # changes of a job beside its starts and ends

Row = dict[str, Any]


@dataclass(frozen=True)
class Slope:
    """A quantity as a line over one predictor, and the largest value of that which was played."""

    base: float
    slope: float
    seen: float
    rows: int

    def at(self, value: float) -> float:
        """The line's value."""
        return self.base + self.slope * value

    def mark(self, value: float) -> str:
        """How far a value lies outside of what was measured."""
        times = value / self.seen
        return "measured" if times <= 1.05 else f"extrapolated ×{times:.1f}"


def fit(rows: list[Row], over: str, quantity: Callable[[Row], float]) -> Slope:
    """The line through the rows, by least squares."""
    x = [float(row[over]) for row in rows]
    line = statistics.linear_regression(x, [quantity(row) for row in rows])
    return Slope(line.intercept, line.slope, max(x), len(rows))


def cores(row: Row) -> float:
    """Of all controllers together."""
    return float(sum(row["controller_cores"]))


class Measured:
    """The recorded rungs, and the lines through them."""

    def __init__(self, runs: dict[str, list[Row]]) -> None:
        self.runs = runs
        workers = [r for r in runs["slopes"] if r["name"] == "workers"]
        starts = [r for r in runs["slopes"] if r["name"] == "starts"]
        starts = [r for r in workers if r["workers"] == 600] + starts
        together = [r for r in runs["group-commit"] if r["name"] == "starts"]
        together = [r for r in together if r["workers"] == 600]
        self.cores_worker = fit(workers, "workers", cores)
        self.cores_start = fit(together, "starts", cores)
        self.cores_start_records = fit(starts, "starts", cores)
        self.memory = fit(workers, "workers", lambda r: r["controller_mb"])
        self.sockets = fit(workers, "workers", lambda r: r["controller_descriptors"])
        self.reports = fit(workers, "workers", lambda r: r["reports"])
        self.reports_start = fit(together, "starts", lambda r: r["reports"])
        self.between = fit(together, "starts", lambda r: r["between_bytes"])
        self.changes_a_start = [r["state_changes"] / r["starts"] for r in starts]
        self.region = runs["region"]
        self.best = max(self.region, key=lambda r: r["starts"])
        self.controllers = runs["controllers"]


def region_rows(m: Measured) -> list[tuple[str, ...]]:
    """A region: quantity, slope, today, ordinary, peak, peak with a controller down, mark."""
    workers = WORKERS / REGIONS
    peak = STARTS_PER_S / REGIONS
    ordinary = ORDINARY * peak
    jobs = BUSY_JOBS * JOBS_A_DAY / DAY_S / REGIONS

    def all_cores(w: float, s: float) -> float:
        idle = m.cores_worker.at(w) - m.cores_start_records.slope * 30.0
        return idle + m.cores_start.slope * s

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

    def reports(w: float, s: float) -> float:
        return m.reports.at(w) - m.reports_start.slope * 30.0 + m.reports_start.slope * s

    def same(of: Callable[[float, float], float]) -> tuple[float, float, float, float]:
        now = of(workers, peak)
        return (of(TODAY_WORKERS, TODAY_STARTS), of(workers, ordinary), now, now)

    commits = m.best["state_puts"]["w"] / m.best["seconds"]
    start_mark = m.cores_start.mark(peak)
    return [
        line(
            "a controller's processor time, cores",
            f"{1e6 * m.cores_worker.slope:.0f} µs a worker and second,"
            f" {1e3 * m.cores_start.slope:.2f} ms a start (all three)",
            controller(all_cores), start_mark, "{:.2f}",
        ),
        line(
            "a controller's memory, MB",
            f"{m.memory.base:.0f} + {m.memory.slope * 1000:.1f} a thousand workers",
            (m.memory.at(TODAY_WORKERS), *[m.memory.at(workers)] * 3), m.memory.mark(workers),
            "{:.0f}",
        ),
        line(
            "a controller's sockets",
            f"{m.sockets.slope:.2f} a worker with three, two thirds of it reports",
            controller(lambda w, _s: CONTROLLERS * m.sockets.at(w)), m.sockets.mark(workers),
            "{:.0f}",
        ),
        line(
            "reports a second, all controllers",
            f"{m.reports.slope:.3f} a worker, {m.reports_start.slope:.2f} a start",
            same(reports), m.reports_start.mark(peak), "{:.0f}",
        ),
        line(
            "between controllers, kB a second",
            f"{m.between.slope / 1000:.2f} kB a start",
            same(lambda _w, s: m.between.at(s) / 1000), m.between.mark(peak), "{:.0f}",
        ),
        line(
            "state service, changes a second",
            f"{ACCEPT_AND_END} a job, {commits:.1f} commits of the log",
            (
                TODAY_STARTS * statistics.mean(m.changes_a_start),
                ACCEPT_AND_END * jobs / BUSY_JOBS + commits,
                ACCEPT_AND_END * jobs + commits, ACCEPT_AND_END * jobs + commits,
            ),
            f"commits at {m.best['starts']:.0f} starts a second measured",
            "{:.0f}",
        ),
    ]  # fmt: skip


def gaps(m: Measured) -> list[tuple[float, str, str, str, str]]:
    """Reach, mechanism, limit, need, mark."""
    workers, peak = WORKERS / REGIONS, STARTS_PER_S / REGIONS
    by_record = statistics.mean(m.changes_a_start)
    jobs = BUSY_JOBS * JOBS_A_DAY / DAY_S / REGIONS
    commits = m.best["state_puts"]["w"] / m.best["seconds"]
    changes = ACCEPT_AND_END * jobs + commits
    best = m.best["starts"]
    cores_needed = (
        m.cores_worker.at(workers) - 30 * m.cores_start_records.slope + m.cores_start.slope * peak
    )
    names = JOBS_A_DAY / REGIONS * NAME_BYTES / 2**20
    spare = MEMORY_MB - m.memory.at(workers)
    rows = [
        (
            0.0, "changes of configuration in force everywhere (none yet: the settings file)",
            "restart of all controllers",
            f"{CHANGES_OF_CONFIGURATION_A_DAY / DAY_S:.2f} a second within {CONFIGURATION_S:.0f} s",
            "on paper",
        ),
        (
            best / STARTS_PER_S, "regions: one set of controllers and one state service for all",
            f"{best:.0f} starts a second by one set", f"{STARTS_PER_S:.0f}", "measured",
        ),
        (
            CHANGES_PER_S / (peak * by_record),
            "a record rewritten for each job's change (a region, as `run` has it)",
            f"{CHANGES_PER_S:.0f} changes a second", f"{peak * by_record:.0f}",
            f"extrapolated ×{peak / max(r['starts'] for r in m.runs['slopes']):.1f}",
        ),
        (
            CHANGES_PER_S / changes, "starts and ends written together (a region)",
            f"{CHANGES_PER_S:.0f} changes a second", f"{changes:.0f}",
            f"commits at {best:.0f} starts a second",
        ),
        (
            CONTROLLERS / cores_needed, "three controllers of one core each (a region)",
            f"{CONTROLLERS} cores", f"{cores_needed:.1f}", m.cores_start.mark(peak),
        ),
        (
            CONTROLLERS * CORES / cores_needed, "the same with today's share of a core",
            f"{CONTROLLERS * CORES:.1f} cores", f"{cores_needed:.1f}", m.cores_start.mark(peak),
        ),
        (
            SOCKETS * (CONTROLLERS - 1) / (CONTROLLERS * m.sockets.at(workers)),
            "connections of workers, one controller down", f"{SOCKETS} each",
            f"{CONTROLLERS * m.sockets.at(workers) / (CONTROLLERS - 1):.0f}",
            m.sockets.mark(workers),
        ),
        (
            spare / names / 30, "names of jobs in a controller's memory, a month without a restart",
            f"{spare:.0f} MB", f"{30 * names:.0f} MB", "on paper",
        ),
        (
            MEMORY_MB / m.memory.at(workers), "a controller's memory beside names",
            f"{MEMORY_MB:.0f} MB", f"{m.memory.at(workers):.0f} MB", m.memory.mark(workers),
        ),
        (
            URGENT_S / m.best["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {best:.0f} starts a second", f"{URGENT_S:.0f} s",
            f"{m.best['waits']['urgent']['p99']:.1f} s", "measured",
        ),
        (
            URGENT_S / m.region[0]["waits"]["urgent"]["p99"],
            f"urgent starts of a region, p99 at {m.region[0]['starts']:.0f} a second",
            f"{URGENT_S:.0f} s",
            f"{m.region[0]['waits']['urgent']['p99']:.1f} s", "measured",
        ),
        (
            WORKER_BYTES_PER_S / max(r["worker_bytes"] for r in m.runs["group-commit"]),
            "a worker's bytes a second", f"{WORKER_BYTES_PER_S}",
            f"{max(r['worker_bytes'] for r in m.runs['group-commit']):.0f}", "measured",
        ),
    ]  # fmt: skip
    return sorted(rows)


def table(head: list[str], rows: list[tuple[str, ...]]) -> list[str]:
    """A Markdown table."""
    lines = ["| " + " | ".join(head) + " |", "| " + " | ".join("---" for _ in head) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def rungs_table(m: Measured) -> list[str]:
    """Every recorded rung."""
    rows = [
        (
            run, r["name"], f"{r['workers']}", f"{r['controllers']}", f"{r['asked_starts']:.0f}",
            f"{r['starts']:.0f}", f"{r['reports']:.0f}",
            f"{cores(r):.2f} ({max(r['controller_cores']):.2f})", f"{r['controller_mb']:.0f}",
            f"{r['controller_descriptors']}", f"{r['state_changes'] / r['starts']:.2f}",
            f"{(r['between_bytes'] or 0) / 1000:.0f}", ", ".join(r["limited_by"]) or "nothing",
        )
        for run, rungs in m.runs.items()
        for r in rungs
    ]  # fmt: skip
    head = [
        "run", "rung", "workers", "controllers", "starts asked", "starts /s", "reports /s",
        "cores (most)", "MB", "sockets", "changes a start", "kB/s between", "limited by",
    ]  # fmt: skip
    return table(head, rows)


def controllers_table(m: Measured) -> list[str]:
    """The cost of more controllers at the same load."""
    first = m.controllers[0]
    rows = [
        (
            f"{r['controllers']}", f"{cores(r):.2f}", f"{cores(r) / cores(first):.1f}",
            f"{r['between_bytes'] / 1000:.0f}",
            f"{r['between_bytes'] / first['between_bytes']:.1f}",
            f"{r['state_requests']:.0f}", f"{r['state_changes'] / r['starts']:.2f}",
            f"{r['controller_descriptors']}",
        )
        for r in m.controllers
    ]  # fmt: skip
    head = [
        "controllers", "cores in all", "times", "kB/s between them", "times",
        "state requests /s", "changes a start", "sockets of one",
    ]  # fmt: skip
    return table(head, rows)


def troubles_table(m: Measured) -> list[str]:
    """The recovery from each trouble."""
    rows = [
        (
            f"{t['kind']} at {t['at_s']:.0f} s", f"{r['workers']}", f"{t['running_before']}",
            f"{t['running_least']}",
            "not within the run" if t["again_s"] is None else f"{t['again_s']:.1f} s",
            f"{t['gap_s']:.1f} s",
        )
        for r in m.runs["troubles"]
        for t in r["recoveries"]
    ]  # fmt: skip
    head = ["trouble", "workers", "tasks before", "least", "95% again after", "longest no start"]
    return table(head, rows)


def page_tables(m: Measured) -> dict[str, list[str]]:
    """Every table of the page, by its name."""
    gap_rows = [
        (f"{reach:.2f}", name, limit, need, "**gap**" if reach < 1 else "", mark)
        for reach, name, limit, need, mark in gaps(m)
    ]
    head = ["", "slope", "today", "ordinary", "peak", "peak, one controller down", "mark at peak"]
    finals = JOBS_A_DAY * YEARS_2_DAYS
    best, tasks = m.best["starts"], RUNNING / ZONES
    day_mb, two_years_gb = JOBS_A_DAY * FINAL_BYTES / 1e6, finals * FINAL_BYTES / 1e9
    growth = [
        ("final states a day, all regions", f"{JOBS_A_DAY}", f"{day_mb:.0f} MB"),
        ("final states in two years", f"{finals / 1e6:.0f} million", f"{two_years_gb:.1f} GB"),
        ("parts of ended arrays", "0", "deleted 10 s after the end"),
        ("a zone's workers", f"{WORKERS / ZONES:.0f}", f"{tasks:.0f} tasks"),
        ("those tasks started again", f"{best:.0f} a second at best", f"{tasks / best:.0f} s"),
    ]
    return {
        "gaps": table(["reach", "what carries it", "limit", "need", "", "mark"], gap_rows),
        "region": table(head, region_rows(m)),
        "growth": table(["", "number", "size or time"], growth),
        "troubles": troubles_table(m),
        "controllers": controllers_table(m),
        "rungs": rungs_table(m),
    }


def with_tables(text: str, tables: dict[str, list[str]]) -> str:
    """The page with each block of tables put between its marks."""
    for name, lines in tables.items():
        begin = f"{BEGIN} {name}"
        first = text.index(begin) + len(begin)
        last = text.index(END, first)
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
    wanted = with_tables(text, page_tables(Measured(load())))
    if arguments == ["--check"]:
        if wanted != text:
            print(f"{PAGE.name}: its tables are not what {RUNGS.name} gives", file=sys.stderr)
        return int(wanted != text)
    PAGE.write_text(wanted)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

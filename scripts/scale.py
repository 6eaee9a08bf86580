"""Run real controllers against simulated workers on loopback; check and measure them.

python scripts/scale.py [PLAN.toml] [--report FILE] [--keep FOLDER]
A plan's rungs are load levels, each run with processes of its own.
Without a plan: three controllers, 150 workers, 45 s in which a controller is killed. Exit status
0: no rule broken and every job's status answered; 1: a rule broken, a job unanswered or a process
failed; 2: an invalid plan, or a port in use.
"""

import logging
import signal
import sys
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402 -- needs the path above

from standins.scale import report as reports  # noqa: E402 -- needs the path above
from standins.scale.plan import Plan, Rung, load_plan  # noqa: E402 -- needs the path above
from standins.scale.run import PortsTakenError, run_rung  # noqa: E402 -- needs the path above
from starlingdeck.protocol.config import ConfigError  # noqa: E402 -- needs the path above


def print_line(text: str) -> None:
    """Print a line and flush the output, so that it shows at once in a pipe or file."""
    click.echo(text)
    sys.stdout.flush()


@click.command()
@click.argument("plan", required=False, type=click.Path(path_type=Path))
@click.option("--report", type=click.Path(path_type=Path), help="Write the rows here, as JSON.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings and logs here.")
def main(plan: Path | None, report: Path | None, keep: Path | None) -> None:
    """Run a plan's rungs one after the other."""
    try:
        scale_plan = load_plan(plan)
    except ConfigError as error:
        for error_line in error.lines:
            click.echo(error_line, err=True)
        sys.exit(2)
    # curio warns whenever a wait ends in the same instant as its timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)
    # SIGTERM raises SystemExit, so that the processes of the current rung are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    run_report = reports.Report(plan=scale_plan)
    write_report(report, run_report)
    for number, rung in enumerate(scale_plan.rungs):
        starts_per_s = scale_plan.requested_starts_per_s(rung)
        print_line(
            f"rung {number + 1} of {len(scale_plan.rungs)}: {rung.workers} workers,"
            f" {rung.controllers} controllers, {starts_per_s:.0f} starts a second asked for"
        )
        started_at = time.monotonic()
        folder = keep / f"rung-{number + 1}" if keep is not None else None
        if keep is not None:
            keep.mkdir(exist_ok=True)
        row = play_rung_or_exit(scale_plan, rung, folder)
        run_report.rows.append(row)
        write_report(report, run_report)
        for line in reports.summary(row):
            print_line(line)
        print_line(f"  ({time.monotonic() - started_at:.0f} s in all)")
        if reports.failed(row):
            break
    if len(scale_plan.rungs) > 1:
        print_line(reports.ROW_HEADER)
        for row in run_report.rows:
            print_line(reports.format_row(row))
    run_report.complete = len(run_report.rows) == len(scale_plan.rungs)
    write_report(report, run_report)
    sys.exit(1 if any(reports.failed(row) for row in run_report.rows) else 0)


def play_rung_or_exit(scale_plan: Plan, rung: Rung, folder: Path | None) -> reports.Row:
    """Run a rung and return its row; exit with 2 if a port is in use, 1 if a process failed."""
    try:
        return run_rung(scale_plan, rung, folder, print_line)
    except PortsTakenError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except RuntimeError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def write_report(path: Path | None, run_report: reports.Report) -> None:
    """Write the report as JSON, if a file was named."""
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(run_report), indent=1))


if __name__ == "__main__":
    main()

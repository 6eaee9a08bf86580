"""Real controllers against hollow workers, on loopback, checked and measured while they run.

python scripts/scale.py [PLAN.toml] [--report FILE] [--keep FOLDER]
Without a plan: three controllers, 150 workers, 45 s with a controller killed in it. Exit status 0:
no rule broken and every job answered for; 1: something was; 2: a plan that can't be
played, or a port that is taken.
"""

import logging
import signal
import sys
import time
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import msgspec  # noqa: E402

from standins.scale import report as reports  # noqa: E402
from standins.scale.plan import Plan, Rung, load_plan  # noqa: E402
from standins.scale.run import PortsTakenError, play_rung  # noqa: E402
from starlingdeck.protocol.config import ConfigError  # noqa: E402


def say(text: str) -> None:
    """Prints a line at once."""
    click.echo(text)
    sys.stdout.flush()


@click.command()
@click.argument("plan", required=False, type=click.Path(path_type=Path))
@click.option("--report", type=click.Path(path_type=Path), help="Write the rows here, as JSON.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings and logs here.")
def main(plan: Path | None, report: Path | None, keep: Path | None) -> None:
    """Play a plan's rungs one after the other."""
    try:
        wanted = load_plan(plan)
    except ConfigError as error:
        for text in error.lines:
            click.echo(text, err=True)
        sys.exit(2)
    # curio warns whenever a wait ends in the same instant as its timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)
    # The rungs' processes end with this one, also when it is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    told = reports.Report(plan=wanted)
    write(report, told)
    for number, rung in enumerate(wanted.rungs):
        starts_per_s = wanted.requested_starts_per_s(rung)
        say(
            f"rung {number + 1} of {len(wanted.rungs)}: {rung.workers} workers,"
            f" {rung.controllers} controllers, {starts_per_s:.0f} starts a second asked for"
        )
        began = time.monotonic()
        folder = keep / f"rung-{number + 1}" if keep is not None else None
        if keep is not None:
            keep.mkdir(exist_ok=True)
        row = play_or_exit(wanted, rung, folder)
        told.rows.append(row)
        write(report, told)
        for text in reports.summary(row):
            say(text)
        say(f"  ({time.monotonic() - began:.0f} s in all)")
        if reports.failed(row):
            break
    if len(wanted.rungs) > 1:
        say(reports.ROW_HEADER)
        for row in told.rows:
            say(reports.format_row(row))
    told.complete = len(told.rows) == len(wanted.rungs)
    write(report, told)
    sys.exit(1 if any(reports.failed(row) for row in told.rows) else 0)


def play_or_exit(wanted: Plan, rung: Rung, folder: Path | None) -> reports.Row:
    """A rung's row; without one the whole run ends, with the status that tells why."""
    try:
        return play_rung(wanted, rung, folder, say)
    except PortsTakenError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except RuntimeError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def write(path: Path | None, told: reports.Report) -> None:
    """Writes the report as JSON, if a file was named."""
    if path is not None:
        path.write_bytes(msgspec.json.format(msgspec.json.encode(told), indent=1))


if __name__ == "__main__":
    main()

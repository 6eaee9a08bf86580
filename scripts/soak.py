"""Run real controllers under overlapping faults on loopback, and check what users are told.

python scripts/soak.py --seed N [--seconds S] [--controllers N] [--workers N] [--port P]
Exit status 0: no rule broken; 1: a rule broken or a process failed; 2: the plan can't be run. A
failing run prints its command, the faults and the requests round the break, and keeps its logs.
"""

import logging
import shutil
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins.scale.run import PortsTakenError  # noqa: E402 -- needs the path above
from standins.soak.broken_controller import SAFEGUARDS  # noqa: E402 -- needs the path above
from standins.soak.plan import SoakPlan, plan_errors  # noqa: E402 -- needs the path above
from standins.soak.run import SoakResult, run_soak  # noqa: E402 -- needs the path above

MAX_BROKEN_LINES = 20
DEFAULTS = SoakPlan(seed=1)


@click.command()
@click.option("--seed", type=int, required=True, help="Draws the faults and the requests.")
@click.option("--seconds", type=float, default=DEFAULTS.seconds, help="Length of the faults.")
@click.option("--controllers", type=int, default=DEFAULTS.controllers)
@click.option("--workers", type=int, default=DEFAULTS.workers)
@click.option("--port", type=int, default=DEFAULTS.port, help="First of the ports to use.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep settings and logs here.")
@click.option("--without", type=click.Choice(sorted(SAFEGUARDS)), help="A safeguard to take out.")
def main(keep: Path | None, without: str | None, **size: Any) -> None:
    """Run one soak plan."""
    plan = SoakPlan(**size)
    if errors := plan_errors(plan):
        for error in errors:
            click.echo(error, err=True)
        sys.exit(2)
    # Hide curio's warnings about waits that end at the moment when their timeout expires.
    logging.getLogger("curio").setLevel(logging.ERROR)
    # SIGTERM raises SystemExit, so that the processes of the run are ended as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    folder = keep or Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
    try:
        result = run_soak(plan, folder, without or "")
    except PortsTakenError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    except RuntimeError as error:
        click.echo(f"FAILED: {error}\ncommand: {' '.join(sys.argv)}", err=True)
        sys.exit(1)
    print_result(plan, result, folder)
    if result.broken:
        sys.exit(1)
    if keep is None:
        shutil.rmtree(folder)


def print_result(plan: SoakPlan, result: SoakResult, folder: Path) -> None:
    """Print the figures of a run and, if a rule was broken, what is needed to trace it."""
    click.echo(
        f"{'FAILED' if result.broken else 'passed'}: seed={plan.seed} jobs={result.jobs}"
        f" cancelled={result.cancelled} requests={result.requests}"
        f" unanswered={result.unanswered} refused={result.refused} faults={result.faults}"
        f" acquisitions={result.acquisitions} quiet_s={result.quiet_s:.1f}"
    )
    if not result.broken:
        return
    for line in result.broken[:MAX_BROKEN_LINES]:
        click.echo(f"broken: {line}")
    for line in result.history:
        click.echo(f"  {line}")
    click.echo(f"command: {' '.join(sys.argv)}\nlogs: {folder}")


if __name__ == "__main__":
    main()

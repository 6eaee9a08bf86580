"""The command line: run a controller, check its files, look at or cancel a job."""

import gc
import logging
import os
import random
import sys
import time
from pathlib import Path

import click

from starlingdeck import __version__
from starlingdeck.protocol import api
from starlingdeck.protocol.settings import Fault, load_settings, load_tuning

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _fail(fault: Fault) -> None:
    for line in fault.lines:
        click.echo(line, err=True)
    sys.exit(2)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="starlingdeck")
def main() -> None:
    """A cluster scheduler made of peers."""


config_option = click.option(
    "--config",
    required=True,
    type=click.Path(path_type=Path),
    help="The settings file that the platform hands over (JSON).",
)


tuning_option = click.option(
    "--tuning",
    type=click.Path(path_type=Path),
    default=None,
    help="Operators' own settings (TOML). Default: $STARLINGDECK_TUNING, if set.",
)


def _tuning_path(given: Path | None) -> Path | None:
    named = os.environ.get("STARLINGDECK_TUNING")
    return given or (Path(named) if named else None)


@main.command()
@config_option
@tuning_option
def run(config: Path, tuning: Path | None) -> None:
    """Run one controller until it is killed."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(level, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    # curio warns whenever a wait ends in the same instant as its timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)
    try:
        settings, tuned = load_settings(config), load_tuning(_tuning_path(tuning))
    except Fault as fault:
        _fail(fault)
        return
    import curio

    from starlingdeck.coordination.meters import Slices
    from starlingdeck.coordination.node import Node
    from starlingdeck.coordination.world import World

    world = World(
        settings,
        tuned,
        time.monotonic,
        lambda: int(time.time() * 1000),
        random.Random(os.urandom(16)),
    )
    # Reports and views make many short-lived objects and few cycles: collect less often, and
    # never walk over what was there from the start.
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    if logging.getLogger().isEnabledFor(logging.DEBUG):
        world.slices = Slices(world.now)
    curio.run(Node(world).run, activations=[world.slices] if world.slices else None)


@main.command()
@config_option
@tuning_option
def check(config: Path, tuning: Path | None) -> None:
    """Check a settings file, and a tuning file if given."""
    faults: list[str] = []
    try:
        load_settings(config)
    except Fault as fault:
        faults += fault.lines
    try:
        load_tuning(_tuning_path(tuning))
    except Fault as fault:
        faults += fault.lines
    if faults:
        _fail(Fault(faults))
    click.echo("ok")


def _ask(server: str, method: str, path: str) -> None:
    import http.client  # a controller's start doesn't wait for it

    try:
        conn = http.client.HTTPConnection(server, timeout=10)
        conn.request(method, path)
        reply = conn.getresponse()
        body = reply.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as fault:
        click.echo(f"{server}: {fault}", err=True)
        sys.exit(1)
    click.echo(body, err=reply.status != 200)
    if reply.status != 200:
        sys.exit(1)


server_option = click.option(
    "--server", required=True, help="A controller's public address, ADDRESS:PORT."
)


@main.command()
@server_option
@click.argument("job")
def show(server: str, job: str) -> None:
    """Show a job's state."""
    _ask(server, "GET", f"{api.JOBS}/{job}")


@main.command()
@server_option
@click.argument("job")
def cancel(server: str, job: str) -> None:
    """Cancel a job."""
    _ask(server, "POST", f"{api.JOBS}/{job}/{api.CANCEL}")


def start() -> None:
    """run.py: the same as `starlingdeck run`, unless a command is named."""
    argv = sys.argv[1:]
    if argv[:1] == ["--config"]:
        argv = ["run", *argv]
    main(argv, prog_name="starlingdeck")


if __name__ == "__main__":
    main()

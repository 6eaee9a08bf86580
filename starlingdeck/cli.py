"""The command line: run a controller, check its files, show or cancel a job, manage counts."""

import gc
import logging
import os
import random
import sys
import time
from pathlib import Path
from typing import NoReturn

import click

from starlingdeck import __version__
from starlingdeck.cli_client import request, server_option
from starlingdeck.cli_counts import counts
from starlingdeck.protocol import api
from starlingdeck.protocol.config import (
    ConfigError,
    Settings,
    Tuning,
    load_settings,
    load_tuning,
)

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
INVALID_CONFIG_STATUS = 2
TUNING_VARIABLE = "STARLINGDECK_TUNING"
GC_THRESHOLDS = (20_000, 20, 50)
SEED_BYTES = 16


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="starlingdeck")
def main() -> None:
    """A cluster scheduler made of peers."""


main.add_command(counts)

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


@main.command()
@config_option
@tuning_option
def run(config: Path, tuning: Path | None) -> None:
    """Run one controller until it is killed."""
    _configure_logging()
    try:
        settings, tuned = load_settings(config), load_tuning(_tuning_path(tuning))
    except ConfigError as error:
        _exit_with_errors(error.lines)
    _run_controller(settings, tuned)


@main.command()
@config_option
@tuning_option
def check(config: Path, tuning: Path | None) -> None:
    """Check a settings file, and a tuning file if given."""
    errors: list[str] = []
    try:
        load_settings(config)
    except ConfigError as error:
        errors += error.lines
    try:
        load_tuning(_tuning_path(tuning))
    except ConfigError as error:
        errors += error.lines
    if errors:
        _exit_with_errors(errors)
    click.echo("ok")


@main.command()
@server_option
@click.argument("job")
def show(server: str, job: str) -> None:
    """Show a job's state."""
    click.echo(request(server, "GET", f"{api.JOBS}/{job}"))


@main.command()
@server_option
@click.argument("job")
def cancel(server: str, job: str) -> None:
    """Cancel a job."""
    click.echo(request(server, "POST", f"{api.JOBS}/{job}/{api.CANCEL}"))


def start() -> None:
    """Entry point of run.py: the same as `starlingdeck run`, unless a command is named."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--config"]:
        arguments = ["run", *arguments]
    main(arguments, prog_name="starlingdeck")


def _configure_logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    # curio warns whenever a wait ends in the same instant as its timeout.
    logging.getLogger("curio").setLevel(logging.ERROR)


def _tuning_path(given: Path | None) -> Path | None:
    default = os.environ.get(TUNING_VARIABLE)
    return given or (Path(default) if default else None)


def _exit_with_errors(lines: list[str]) -> NoReturn:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(INVALID_CONFIG_STATUS)


def _run_controller(settings: Settings, tuning: Tuning) -> None:
    # Imported here, because the other commands don't need the controller and start sooner.
    import curio

    from starlingdeck.context import ControllerContext
    from starlingdeck.controller.controller import Controller
    from starlingdeck.metrics.latency import TaskProfiler

    context = ControllerContext(
        settings,
        tuning,
        time.monotonic,
        lambda: int(time.time() * 1000),
        random.Random(os.urandom(SEED_BYTES)),
    )
    # Heartbeats and snapshots make many short-lived objects and few cycles, so garbage is collected
    # less often, and objects that exist before the start are never traversed.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    if logging.getLogger().isEnabledFor(logging.DEBUG):
        context.profiler = TaskProfiler(context.now)
    controller = Controller(context)
    if tuning.counts is not None:
        from starlingdeck.counts.plugin import CountedResourcePlugin

        controller.register_plugin(
            CountedResourcePlugin(
                context,
                controller.state,
                controller.membership,
                controller.writers,
                tuning.counts,
            )
        )
    curio.run(controller.run, activations=[context.profiler] if context.profiler else None)


if __name__ == "__main__":
    main()

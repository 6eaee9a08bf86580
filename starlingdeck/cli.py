"""The command line: run a controller, check its files, look at or cancel a job."""

import gc
import logging
import os
import random
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from starlingdeck import __version__
from starlingdeck.protocol import api
from starlingdeck.protocol.config import ConfigError, load_settings, load_tuning

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _fail(error: ConfigError) -> None:
    for line in error.lines:
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
    except ConfigError as error:
        _fail(error)
        return
    import curio

    from starlingdeck.context import ControllerContext
    from starlingdeck.controller.controller import Controller
    from starlingdeck.metrics.latency import TaskProfiler

    context = ControllerContext(
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
        context.profiler = TaskProfiler(context.now)
    node = Controller(context)
    if tuned.counts is not None:
        from starlingdeck.counts.plugin import CountedResourcePlugin

        node.register_plugin(
            CountedResourcePlugin(context, node.state, node.membership, node.writers, tuned.counts)
        )
    curio.run(node.run, activations=[context.profiler] if context.profiler else None)


@main.command()
@config_option
@tuning_option
def check(config: Path, tuning: Path | None) -> None:
    """Check a settings file, and a tuning file if given."""
    faults: list[str] = []
    try:
        load_settings(config)
    except ConfigError as error:
        faults += error.lines
    try:
        load_tuning(_tuning_path(tuning))
    except ConfigError as error:
        faults += error.lines
    if faults:
        _fail(ConfigError(faults))
    click.echo("ok")


def _call(server: str, method: str, path: str, body: bytes | None = None) -> str:
    """One request; anything but an answer of 200 or 201 ends the command."""
    import http.client  # a controller's start doesn't wait for it

    try:
        conn = http.client.HTTPConnection(server, timeout=10)
        conn.request(method, path, body)
        reply = conn.getresponse()
        text = reply.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        click.echo(f"{server}: {error}", err=True)
        sys.exit(1)
    if reply.status not in (200, 201):
        click.echo(text, err=True)
        sys.exit(1)
    return text


def _ask(server: str, method: str, path: str) -> None:
    click.echo(_call(server, method, path))


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


@main.group()
def counts() -> None:
    """Counted resources: list, show, change (docs/counts.md)."""


def _row(count: dict[str, Any]) -> str:
    flags = [flag for flag in ("preempt", "removed") if count.get(flag)]
    held = f"{sum(count['held'])} of {count['ceiling']} held"
    return "  ".join([f"{count['name']:<24} {held:<22} rev {count.get('rev', 1)}", *flags])


@counts.command("list")
@server_option
def counts_list(server: str) -> None:
    """All counts: units held, ceiling, and the revision that `set` asks for."""
    for count in msgspec.json.decode(_call(server, "GET", api.COUNTS))["counts"]:
        click.echo(_row(count))


@counts.command("show")
@server_option
@click.argument("name")
def counts_show(server: str, name: str) -> None:
    """One count, and the tasks that hold it at this controller's shards."""
    count = msgspec.json.decode(_call(server, "GET", f"{api.COUNTS}/{name}"))
    click.echo(_row(count))
    for h in count.get("holders", []):
        yields = "  told to stop" if h["yields"] else ""
        click.echo(
            f"  {h['task']} attempt {h['attempt']}: {h['units']} on {h['machine']}, "
            f"{h['state']}{yields}"
        )
    shards = ", ".join(str(shard) for shard in count.get("shards", []))
    click.echo(f"  held by shard: {count['held']}; listed are those of shards {shards or 'none'}")


@counts.command("set")
@server_option
@click.argument("name")
@click.argument("ceiling", type=click.IntRange(0, api.MAX_UNITS))
@click.option("--rev", type=int, help="Only if it is still at this revision. Default: as it is.")
@click.option("--stop", is_flag=True, help="Stop what is over it: lowest rank, youngest first.")
@click.option("--preempt/--no-preempt", default=None, help="May higher work stop lower work?")
@click.option("--by", default="", help="Who changes it, for the history.")
def counts_set(
    server: str, name: str, ceiling: int, rev: int | None, stop: bool, preempt: bool | None, by: str
) -> None:
    """Make a count, or change its ceiling. 0 closes it."""
    _set(server, name, rev, ceiling=ceiling, stop=stop, preempt=preempt, by=by)


@counts.command("remove")
@server_option
@click.argument("name")
@click.option("--rev", type=int, help="Only if it is still at this revision. Default: as it is.")
@click.option("--by", default="", help="Who removes it, for the history.")
def counts_remove(server: str, name: str, rev: int | None, by: str) -> None:
    """Take a count away: what waits for it waits on, new jobs that name it are refused."""
    _set(server, name, rev, ceiling=0, removed=True, by=by)


def _set(server: str, name: str, rev: int | None, **fields: Any) -> None:
    if rev is None:
        found = msgspec.json.decode(_call(server, "GET", api.COUNTS))["counts"]
        rev = next((c.get("rev", 1) for c in found if c["name"] == name), 0)
    body = msgspec.json.encode({"rev": rev, **fields})
    click.echo(_row(msgspec.json.decode(_call(server, "POST", f"{api.COUNTS}/{name}", body))))


@counts.command("history")
@server_option
@click.argument("name")
def counts_history(server: str, name: str) -> None:
    """The last changes that operators made, oldest first."""
    for c in msgspec.json.decode(_call(server, "GET", f"{api.COUNTS}/{name}/history"))["changes"]:
        at = datetime.fromtimestamp(c["at_ms"] / 1000, UTC).isoformat(timespec="seconds")
        flags = [flag for flag in ("preempt", "removed", "stop") if c.get(flag)]
        line = [f"{c['rev']:>4}  {at}  ceiling {c['ceiling']}", *flags, c.get("by", "")]
        click.echo("  ".join(line).rstrip())


def start() -> None:
    """run.py: the same as `starlingdeck run`, unless a command is named."""
    argv = sys.argv[1:]
    if argv[:1] == ["--config"]:
        argv = ["run", *argv]
    main(argv, prog_name="starlingdeck")


if __name__ == "__main__":
    main()

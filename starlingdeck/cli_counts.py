"""The `counts` commands: list, show and change counted resources (docs/counts.md)."""

from datetime import UTC, datetime
from typing import Any

import click
import msgspec

from starlingdeck.cli_client import request, server_option
from starlingdeck.protocol import api


@click.group()
def counts() -> None:
    """List, show and change counted resources (docs/counts.md)."""


@counts.command("list")
@server_option
def counts_list(server: str) -> None:
    """List all counts with units held, ceiling, and the revision for `set --rev`."""
    for count in _all_counts(server):
        click.echo(_summary(count))


@counts.command("show")
@server_option
@click.argument("name")
def counts_show(server: str, name: str) -> None:
    """Show one count, and the tasks that hold units of it in this controller's shards."""
    count = msgspec.json.decode(request(server, "GET", f"{api.COUNTS}/{name}"))
    click.echo(_summary(count))
    for task in count.get("holders", []):
        stopping = "  told to stop" if task["yields"] else ""
        click.echo(
            f"  {task['task']} attempt {task['attempt']}: {task['units']} on {task['machine']}, "
            f"{task['state']}{stopping}"
        )
    shards = ", ".join(str(shard) for shard in count.get("shards", []))
    click.echo(f"  held by shard: {count['held']}; listed are those of shards {shards or 'none'}")


@counts.command("set")
@server_option
@click.argument("name")
@click.argument("ceiling", type=click.IntRange(0, api.MAX_UNITS))
@click.option(
    "--rev", type=int, help="Fail if the count is at another revision. Default: the present one."
)
@click.option(
    "--stop", is_flag=True, help="Stop tasks over the ceiling: lowest rank, youngest first."
)
@click.option(
    "--preempt/--no-preempt", default=None, help="May waiting jobs preempt tasks that hold units?"
)
@click.option("--by", default="", help="Who makes the change, for the history.")
def counts_set(server: str, name: str, rev: int | None, **change: Any) -> None:
    """Create a count, or change its ceiling. With 0, no more tasks that need it start."""
    _change(server, name, rev, change)


@counts.command("remove")
@server_option
@click.argument("name")
@click.option(
    "--rev", type=int, help="Fail if the count is at another revision. Default: the present one."
)
@click.option("--by", default="", help="Who removes it, for the history.")
def counts_remove(server: str, name: str, rev: int | None, by: str) -> None:
    """Remove a count: jobs that wait for it go on waiting, new jobs that name it are refused."""
    _change(server, name, rev, {"ceiling": 0, "removed": True, "by": by})


@counts.command("history")
@server_option
@click.argument("name")
def counts_history(server: str, name: str) -> None:
    """List the last changes that operators made, oldest first."""
    history = msgspec.json.decode(request(server, "GET", f"{api.COUNTS}/{name}/history"))
    for change in history["changes"]:
        at = datetime.fromtimestamp(change["at_ms"] / 1000, UTC).isoformat(timespec="seconds")
        flags = [flag for flag in ("preempt", "removed", "stop") if change.get(flag)]
        summary = f"{change['rev']:>4}  {at}  ceiling {change['ceiling']}"
        click.echo("  ".join([summary, *flags, change.get("by", "")]).rstrip())


def _all_counts(server: str) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = msgspec.json.decode(request(server, "GET", api.COUNTS))["counts"]
    return found


def _change(server: str, name: str, revision: int | None, change: dict[str, Any]) -> None:
    """Change a count that is at `revision`, by default its present one; revision 0 creates it."""
    if revision is None:
        matching = (c.get("rev", 1) for c in _all_counts(server) if c["name"] == name)
        revision = next(matching, 0)
    body = msgspec.json.encode({"rev": revision, **change})
    changed = msgspec.json.decode(request(server, "POST", f"{api.COUNTS}/{name}", body))
    click.echo(_summary(changed))


def _summary(count: dict[str, Any]) -> str:
    """Return the line that shows a count: units held, ceiling, revision and flags."""
    flags = [flag for flag in ("preempt", "removed") if count.get(flag)]
    use = f"{sum(count['held'])} of {count['ceiling']} held"
    return "  ".join([f"{count['name']:<24} {use:<22} rev {count.get('rev', 1)}", *flags])

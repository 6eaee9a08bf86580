"""Requests that the command line makes to a controller."""

import sys

import click

REQUEST_TIMEOUT_S = 10.0
SUCCESS_STATUSES = (200, 201)

server_option = click.option(
    "--server", required=True, help="A controller's public address, ADDRESS:PORT."
)


def request(server: str, method: str, path: str, body: bytes | None = None) -> str:
    """Make one request and return the response's body; exit with status 1 if it fails."""
    import http.client  # imported here so that a controller starts without it

    try:
        connection = http.client.HTTPConnection(server, timeout=REQUEST_TIMEOUT_S)
        connection.request(method, path, body)
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        click.echo(f"{server}: {error}", err=True)
        sys.exit(1)
    if response.status not in SUCCESS_STATUSES:
        click.echo(text, err=True)
        sys.exit(1)
    return text

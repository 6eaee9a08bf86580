"""Listening sockets and the loop that accepts connections."""

from collections.abc import Awaitable, Callable

import curio.io
from curio import socket

# Connections that may wait to be accepted: enough for 4,000 workers that connect at the same time
# after a controller's restart. Linux limits this to net.core.somaxconn, 4,096 by default.
ACCEPT_BACKLOG = 4_096


def listen(address: tuple[str, int]) -> curio.io.Socket:
    """Open a socket that listens on the address. Raises OSError when the address is in use."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(ACCEPT_BACKLOG)
    return sock


async def accept_connections(
    address: tuple[str, int], admit: Callable[[curio.io.Socket], Awaitable[None]]
) -> None:
    """Pass each accepted connection to `admit`, until cancelled.

    `admit` closes the connection or spawns a task that serves it.
    """
    sock = listen(address)
    async with sock:
        while True:
            client, _ = await sock.accept()
            await admit(client)

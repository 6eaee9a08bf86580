"""Free ports of the loopback interface, for tests with real sockets."""

import socket


def free_port() -> int:
    """Return a port that nothing listens on at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port

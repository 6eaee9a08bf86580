"""Free ports of the loopback interface, for tests with real sockets."""

import socket
from pathlib import Path

from standins.soak.plan import PORTS_PER_RUN, SoakPlan
from standins.soak.site import SoakSite

FIRST_SOAK_PORT, LAST_SOAK_PORT = 10_000, 30_000  # below the ports that the system hands out
SOAK_SLOTS = 4


def free_port() -> int:
    """Return a port that nothing listens on at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port


def free_soak_port(slot: int) -> int:
    """Return the first port of a soak run whose ports are all free; no two slots share any."""
    step = SOAK_SLOTS * PORTS_PER_RUN
    for port in range(FIRST_SOAK_PORT + slot * PORTS_PER_RUN, LAST_SOAK_PORT, step):
        if not SoakSite(SoakPlan(1, port=port), Path()).taken_ports():
            return port
    raise OSError("no free ports for a soak run")

"""Resource use of processes: processor time, memory and sockets from /proc, bytes from `ss`."""

import os
import re
import shutil
import subprocess
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CPU_FIELDS = slice(11, 13)  # utime and stime in /proc/PID/stat, counted after the process's name


@dataclass(frozen=True)
class Usage:
    """The resource use of one process.

    `cpu_s`: processor time since its start; `memory`: resident bytes; `descriptors`: open files and
    sockets.
    """

    cpu_s: float
    memory: int
    descriptors: int


def process_usage(pid: int) -> Usage | None:
    """Returns the resource use of a process; None when it has ended."""
    folder = Path(f"/proc/{pid}")
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = int((folder / "statm").read_text().split()[1])
        descriptors = len(os.listdir(folder / "fd"))
    except (OSError, IndexError):
        return None
    return Usage(
        sum(map(int, fields[CPU_FIELDS])) / CLOCK_TICKS_PER_S, pages * PAGE_BYTES, descriptors
    )


@dataclass(frozen=True)
class Traffic:
    """Bytes received and sent at one listening port, over its open connections."""

    received: int
    sent: int
    connections: int


def port_traffic(ports: set[int]) -> dict[int, Traffic] | None:
    """Returns the traffic by listening port, without closed connections; None without `ss`."""
    program = shutil.which("ss")
    if program is None:
        return None
    listing = subprocess.run(
        [program, "-tniHO", "state", "established"], capture_output=True, text=True, check=False
    )
    totals = {port: Traffic(0, 0, 0) for port in ports}
    for line in listing.stdout.splitlines():
        fields = line.split(None, 4)
        if len(fields) < 5:
            continue
        port = int(fields[2].rpartition(":")[2])
        if port not in totals:
            continue
        total = totals[port]
        totals[port] = Traffic(
            total.received + _number(r"bytes_received:(\d+)", line),
            total.sent + _number(r"bytes_sent:(\d+)", line),
            total.connections + 1,
        )
    return totals


def _number(pattern: str, line: str) -> int:
    found = re.search(pattern, line)
    return int(found[1]) if found else 0

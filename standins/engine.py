"""Test double of a tariff engine: accepts sessions and logs how many are open.

python -m standins.engine ADDRESS LOG
Each line of the log has the Unix time in seconds, "open", "close" or "done", the task, the attempt,
the machine, and the number of sessions open at that time.
"""

import sys
import time
from pathlib import Path

import curio

from starlingdeck.protocol.config import split_address


class Engine:
    """Counts open sessions and logs their events."""

    def __init__(self, path: Path) -> None:
        self.log = path.open("a", buffering=1)
        self.open_sessions = 0

    def log_event(self, event: str, client: str) -> None:
        """Appends one line to the log."""
        self.log.write(f"{time.time():.3f} {event} {client} {self.open_sessions}\n")

    async def serve_session(self, sock: curio.io.Socket, _: object) -> None:
        """Serves one session, from its first line until the connection closes."""
        stream = sock.as_stream()
        client = (await stream.readline()).decode().strip()
        self.open_sessions += 1
        self.log_event("open", client)
        try:
            if await stream.readline() == b"done\n":
                self.log_event("done", client)
        finally:
            self.open_sessions -= 1
            self.log_event("close", client)


if __name__ == "__main__":
    engine = Engine(Path(sys.argv[2]))
    curio.run(curio.tcp_server, *split_address(sys.argv[1]), engine.serve_session)

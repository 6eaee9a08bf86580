"""Simulated workers of the project; a copy of each direct command with a launch arrives late.

All tasks have the same image. A machine that has fetched it has it in its cache (PROTOCOL, `kit`).

copying_workers.py CONFIG.json SECONDS. The copy is sent once, by a connection of its own, SECONDS
after the command was carried out. The worker treats it as any command: it is executed if its token
and session still match.
"""

import sys
import time
from functools import partial
from pathlib import Path

import curio
import msgspec

from standins import simulated_workers
from standins.agent import Actions
from standins.serve import serve
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient, NoResponseError
from starlingdeck.transport.server import Request, Response

COPY_AFTER_S = float(sys.argv[2])
ANSWER_TIMEOUT_S = 4.0


class CopyingWorker(simulated_workers.SimulatedWorker):
    """A machine to which copies of launches are delivered again."""

    copies: set[bytes] = set()  # bodies that were copied already; a copy isn't copied again

    has_image = False

    def apply_actions(self, actions: Actions) -> None:
        """Start and stop tasks; one whose image is in the cache runs at once."""
        cached, self.has_image = self.has_image, self.has_image or bool(actions.to_start)
        super().apply_actions(actions)
        if cached:
            for task in actions.to_start:
                self.host.schedule(time.monotonic(), partial(self.image_fetched, task))

    async def handle(self, request: Request) -> Response:
        """Handle a command; have a copy of it delivered later if it launches a task."""
        response = await super().handle(request)
        if request.path == api.COMMANDS and response.status == 200:
            commands = msgspec.json.decode(request.body, type=api.Commands).commands
            launches = any(command.op == api.START for command in commands)
            if launches and request.body not in self.copies:
                self.copies.add(request.body)
                await curio.spawn(self._deliver_copy, request.body, daemon=True)
        return response

    async def _deliver_copy(self, body: bytes) -> None:
        await curio.sleep(COPY_AFTER_S)
        try:
            reply = await HttpClient().call(
                self.address, "POST", api.COMMANDS, body, ANSWER_TIMEOUT_S
            )
            print(f"copy delivered to {self.name}: status={reply.status} body={body!r}", flush=True)
        except NoResponseError as error:
            print(f"copy not delivered to {self.name}: {error}", flush=True)


def main() -> None:
    """Run one host of workers."""
    simulated_workers.SimulatedWorker = CopyingWorker
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=simulated_workers.HostConfig)
    host = simulated_workers.WorkerHost(config)
    serve(config.control, host.handle, host.tick_loop, host.send_events_loop)


if __name__ == "__main__":
    main()

"""The state service of a soak run: it can fail towards one controller.

python -m standins.soak.state ADDRESS CLIENTS [options of standins.state]. Controller K uses the
K-th port after the service's own. POST /faults with a `StateFault` starts a fault.
"""

import random
import sys
import time
from functools import partial

import curio
import msgspec

from standins.limits import StateLimits
from standins.serve import error_response, json_response
from standins.state import StateService
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.server import HttpServer, Request, Response

MAX_CONNECTIONS = 2000
STALL_TIMEOUT_S = 60.0
NO_ANSWER_S = 2.5  # longer than controllers wait for the answer to a transaction
LATE_MIN_S, LATE_MAX_S = 2.0, 12.0


class StateFault(msgspec.Struct, frozen=True):
    """A fault towards one controller, for `seconds`.

    `refuse`: all requests are refused. `lose`: of the share `share` of the transactions the answer
    is lost. `late`: that share is executed later, and not answered.
    """

    client: int
    kind: str
    seconds: float
    share: float = 1.0


class ClientFaults:
    """Until when each kind of fault lasts towards one controller."""

    def __init__(self) -> None:
        self.until: dict[str, float] = {}
        self.share: dict[str, float] = {}

    def begin(self, fault: StateFault) -> None:
        """Begin a fault, or extend one of the same kind."""
        end = time.monotonic() + fault.seconds
        self.until[fault.kind] = max(self.until.get(fault.kind, 0.0), end)
        self.share[fault.kind] = fault.share

    def is_active(self, kind: str) -> bool:
        """Return whether a fault lasts."""
        return time.monotonic() < self.until.get(kind, 0.0)


class FaultyStateService(StateService):
    """A state service with faults towards single controllers."""

    def __init__(self, limits: StateLimits, clients: int, seed: int) -> None:
        super().__init__(limits)
        self.faults = [ClientFaults() for _ in range(clients)]
        self.rng = random.Random(seed)

    async def handle_control(self, request: Request) -> Response:
        """Handle a request at the service's own address."""
        if request.path != "/faults":
            return await self.handle(request)
        fault = msgspec.json.decode(request.body, type=StateFault)
        self.faults[fault.client].begin(fault)
        return json_response()

    async def handle_client(self, client: int, request: Request) -> Response:
        """Handle a controller's request. Raises ConnectionError if it is to get no answer."""
        faults = self.faults[client]
        if faults.is_active("refuse"):
            return error_response(503, "refused")
        if request.path == api.WATCH:
            return await self._watch(faults, request)
        if request.path == api.TXN:
            await self._fail_transaction(faults, request)
        return await self.handle(request)

    async def _watch(self, faults: ClientFaults, request: Request) -> Response:
        """Answer a watch; one that is open when the controller is refused waits."""
        response = await self.handle(request)
        while faults.is_active("refuse"):
            await curio.sleep(0.05)
        return response

    async def _fail_transaction(self, faults: ClientFaults, request: Request) -> None:
        """Execute a transaction late, or execute it and lose its answer, if a fault says so."""
        draw = self.rng.random()
        if faults.is_active("late") and draw < faults.share["late"]:
            await curio.spawn(self._execute_late, request, daemon=True)
        elif faults.is_active("lose") and draw < faults.share["lose"]:
            await self.handle(request)
        else:
            return
        await curio.sleep(NO_ANSWER_S)
        raise ConnectionError("no answer")

    async def _execute_late(self, request: Request) -> None:
        await curio.sleep(self.rng.uniform(LATE_MIN_S, LATE_MAX_S))
        while self.in_outage:
            await curio.sleep(0.1)
        await self.handle(request)


async def run_service(address: str, service: FaultyStateService) -> None:
    """Serve the control address and one address for each controller."""
    host, port = split_address(address)
    async with curio.TaskGroup() as group:
        control = HttpServer((host, port), service.handle_control, MAX_CONNECTIONS, STALL_TIMEOUT_S)
        await group.spawn(control.run)
        for client in range(len(service.faults)):
            handler = partial(service.handle_client, client)
            server = HttpServer(
                (host, port + 1 + client), handler, MAX_CONNECTIONS, STALL_TIMEOUT_S
            )
            await group.spawn(server.run)
        await group.spawn(service.expire_leases)


def main() -> None:
    """Run the service: ADDRESS, number of controllers, seed, limits as JSON."""
    address, clients, seed, limits = sys.argv[1:5]
    service = FaultyStateService(
        msgspec.json.decode(limits, type=StateLimits), int(clients), int(seed)
    )
    curio.run(run_service, address, service)


if __name__ == "__main__":
    main()

"""A state service that executes chosen transactions late, without an answer (PROTOCOL).

late_state.py ADDRESS LIMITS. POST /late with {"key": KEY, "delay_s": S}: the next transaction that
rewrites this key is executed after S seconds and gets no answer. GET /late returns what became of
it: "waiting", "held", "executed" or "refused".
"""

import json
import sys
import time

import curio
import msgspec

from standins.limits import StateLimits
from standins.serve import json_response, serve
from standins.state import StateService
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

NO_ANSWER_S = 60.0  # the connection of the held request stays open and silent for this long


class LateStateService(StateService):
    """The project's stand-in, with one transaction that is executed late."""

    def __init__(self, limits: StateLimits) -> None:
        super().__init__(limits)
        self.key = ""
        self.delay_s = 0.0
        self.outcome = "none"
        self.held_at = self.executed_at = 0.0

    async def handle(self, request: Request) -> Response:
        """Handle a request; the chosen transaction gets no answer."""
        if request.path == "/late":
            return self._control(request)
        if request.path == api.TXN and self.outcome == "waiting" and self._is_chosen(request):
            self.outcome, self.held_at = "held", time.monotonic()
            await curio.spawn(self._execute_late, request, daemon=True)
            await curio.sleep(NO_ANSWER_S)
            raise ConnectionError("no answer")
        return await super().handle(request)

    def _control(self, request: Request) -> Response:
        if request.method == "POST":
            command = msgspec.json.decode(request.body)
            self.key, self.delay_s = command["key"], command["delay_s"]
            self.outcome = "waiting"
        return json_response(
            {"outcome": self.outcome, "held_at": self.held_at, "executed_at": self.executed_at}
        )

    def _is_chosen(self, request: Request) -> bool:
        """Return whether the transaction rewrites the key, which exists already."""
        transaction = msgspec.json.decode(request.body, type=api.Transaction)
        written = any(change.put == self.key for change in transaction.changes)
        required = {condition.key: condition.version for condition in transaction.conditions}
        return written and required.get(self.key, 0) > 0

    async def _execute_late(self, request: Request) -> None:
        await curio.sleep(self.delay_s)
        response = await super().handle(request)
        self.executed_at = time.monotonic()
        self.outcome = "executed" if response.status == 200 else "refused"


def main() -> None:
    """Run the state service."""
    limits = StateLimits(**json.loads(sys.argv[2]))
    service = LateStateService(limits)
    serve(sys.argv[1], service.handle, service.expire_leases)


if __name__ == "__main__":
    main()

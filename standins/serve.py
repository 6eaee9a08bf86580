"""HTTP helpers of all test doubles: responses, query parameters and a server on one address."""

from collections.abc import Awaitable, Callable

import curio
import msgspec

from starlingdeck.protocol.config import split_address
from starlingdeck.transport.server import HttpServer, Request, Response


def json_response(body: object = None, status: int = 200) -> Response:
    """Returns a JSON response; its body is an empty object if none is given."""
    return Response(status, msgspec.json.encode({} if body is None else body))


def error_response(status: int, text: str) -> Response:
    """Returns a JSON response with an error text."""
    return json_response({"error": text}, status)


def query_parameters(request: Request) -> dict[str, str]:
    """Returns the query parameters of a request, without percent-decoding."""
    return dict(part.split("=", 1) for part in request.query.split("&") if "=" in part)


def serve(
    address: str,
    handler: Callable[[Request], Awaitable[Response]],
    *loops: Callable[[], Awaitable[None]],
) -> None:
    """Serves HTTP on an address and runs the loops at the same time, until killed."""

    async def main() -> None:
        async with curio.TaskGroup() as group:
            await group.spawn(HttpServer(split_address(address), handler, 2000, 60.0).run)
            for loop in loops:
                await group.spawn(loop)

    curio.run(main)

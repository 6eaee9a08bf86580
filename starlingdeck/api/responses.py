"""Construction of the HTTP API's JSON responses."""

import msgspec

from starlingdeck.protocol import api
from starlingdeck.transport.server import Response

RETRY_AFTER = (("retry-after", "1"),)  # seconds
RETRYABLE_STATUSES = (429, 503)


def json_response(status: int, body: object) -> Response:
    """A response with a JSON body; one that may be retried says after how many seconds."""
    headers = RETRY_AFTER if status in RETRYABLE_STATUSES else ()
    return Response(status, msgspec.json.encode(body), headers)


def error_response(status: int, text: str) -> Response:
    """A refusal with its reason."""
    return json_response(status, api.ErrorBody(text))

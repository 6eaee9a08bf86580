"""Construction of the HTTP API's JSON responses."""

import msgspec

from starlingdeck.protocol import api
from starlingdeck.transport.server import Response

RETRY_AFTER_HEADERS = (("retry-after", "1"),)  # the value is in seconds
RETRYABLE_STATUSES = (429, 503)


def json_response(status: int, body: object) -> Response:
    """Return a response with a JSON body, and with `retry-after` if its status allows a retry."""
    headers = RETRY_AFTER_HEADERS if status in RETRYABLE_STATUSES else ()
    return Response(status, msgspec.json.encode(body), headers)


def error_response(status: int, text: str) -> Response:
    """Return a response that refuses a request for the reason `text`."""
    return json_response(status, api.ErrorBody(text))

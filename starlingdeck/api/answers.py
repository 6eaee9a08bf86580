"""Answers about a job, and the evidence that each of them rests on."""

from enum import StrEnum

from msgspec import Struct

from starlingdeck.api.responses import json_response
from starlingdeck.protocol import api
from starlingdeck.transport.server import Response

ACCEPTED_STATUSES = (200, 201)
DENIED_STATUSES = (400, 404, 422)  # the job is not known, or will never be accepted
TERMINAL_STATES = (api.DONE, api.CANCELLED)


class Source(StrEnum):
    """Where an answer's content comes from."""

    OWNER = "owner"  # the memory of the shard's owner, read without a wait after it
    STORE = "store"  # read from the state service, or written to it by this request
    PEER = "peer"  # another controller's answer to this request


class Evidence(Struct, frozen=True):
    """What an answer rests on.

    `observed_at` is a time of the steady clock before which nothing of the content was read.
    `epoch` and `token` are those of the ownership of the job's shard, for the source OWNER.
    `revision` is the version of the job's record, 0 if it was not read.
    """

    source: Source
    shard: int
    observed_at: float
    epoch: int = 0
    token: int = 0
    revision: int = 0
    cancellation_recorded: bool = False


class JobAnswer(Struct, frozen=True):
    """An answer to a request about a job. Without evidence it says nothing about the job."""

    name: str
    status: int
    body: api.JobStatus | api.ErrorBody
    evidence: Evidence | None = None

    @property
    def state(self) -> str:
        """The job's state; empty if the answer names none."""
        return self.body.state if isinstance(self.body, api.JobStatus) else ""

    def response(self) -> Response:
        """Return the HTTP response."""
        return json_response(self.status, self.body)


def ask_again(name: str, reason: str) -> JobAnswer:
    """Return an answer that says nothing about the job: its user is to ask again."""
    return JobAnswer(name, 503, api.ErrorBody(reason))


def not_found(name: str, evidence: Evidence) -> JobAnswer:
    """Return the answer about a job that was never accepted."""
    return JobAnswer(name, 404, api.ErrorBody("no such job"), evidence)

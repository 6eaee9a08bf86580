"""A user's request for one job, as it is handled here or forwarded to another controller."""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import NamedTuple

from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.storage.state import StateClient


class Operation(StrEnum):
    """What a request asks for; the values are those of `ForwardRequest.method`."""

    SUBMIT = "SUBMIT"
    STATUS = "GET"
    CANCEL = "POST"


class JobRequest(NamedTuple):
    """A request for the job `name`, which is empty for a submission that is not decoded yet.

    `operation` is a plain string if a peer has forwarded the request.
    """

    operation: str
    name: str
    body: bytes = b""  # of a submission: the job's JSON


class JobApiServices(Struct, kw_only=True, eq=False, dict=True):
    """The parts of the controller that the handlers of job requests use."""

    context: ControllerContext
    state: StateClient
    membership: Membership
    peers: Peers
    writers: Mapping[int, RecordWriter]
    admission: AdmissionController
    request_wake: Callable[[], None]  # wakes the scheduler once the request is answered

"""The kinds of events that the checker of a scale run evaluates."""

from enum import StrEnum


class EventKind(StrEnum):
    """What happened.

    Worker hosts send events of the first four kinds as text lines that contain these values. The
    checker itself queues an event of the last kind when a user sees a job reported as done.
    """

    STARTED = "on"
    STOPPED = "off"
    COMPLETED = "done"
    MACHINE_GONE = "gone"
    JOB_REPORTED_DONE = "reported done"

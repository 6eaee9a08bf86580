"""The kinds of events that the checker of a scale run evaluates."""

from enum import StrEnum


class EventKind(StrEnum):
    """What happened.

    Worker hosts send events of the first four kinds, whose values stand in the event lines. The
    checker queues events of the last kind itself when a user sees a job reported as done.
    """

    STARTED = "on"
    STOPPED = "off"
    COMPLETED = "done"
    MACHINE_GONE = "gone"
    JOB_REPORTED_DONE = "reported done"

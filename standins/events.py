"""The kinds of events that worker hosts send to the checker of a scale run."""

from enum import StrEnum


class EventKind(StrEnum):
    """What happened; the first four are the words of the lines that worker hosts send."""

    STARTED = "on"
    STOPPED = "off"
    COMPLETED = "done"
    MACHINE_GONE = "gone"
    JOB_REPORTED_DONE = "reported done"

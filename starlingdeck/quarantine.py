"""Quarantine of jobs, machines and records whose processing failed, so that the others go on."""

import logging
from typing import NamedTuple

log = logging.getLogger(__name__)

MAX_ENTRIES = 20_000  # each machine of a large fleet, and jobs; some 500 bytes each
RETRY_AFTER_S = 30.0  # from a failure to the next try
MAX_REASON_LENGTH = 200


class QuarantineEntry(NamedTuple):
    """Until when something is not processed, by the steady clock in seconds, and why."""

    until: float
    reason: str


NOT_QUARANTINED = QuarantineEntry(0.0, "")


class Quarantine:
    """What is quarantined, by kind and name; beyond MAX_ENTRIES the oldest entry is dropped.

    Requests known to do harm are refused on arrival. This guards against unknown ones: a single
    job once stopped placement or writing of all others, at every controller and after restarts.
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], QuarantineEntry] = {}

    def add(self, kind: str, name: str, error: BaseException, now: float) -> None:
        """Quarantine something after an error; the traceback is logged if it is new."""
        known = self.entries.pop((kind, name), None)
        reason = repr(error)[:MAX_REASON_LENGTH]
        self.entries[(kind, name)] = QuarantineEntry(now + RETRY_AFTER_S, reason)
        if known is None:
            log.error("quarantined: kind=%s name=%s", kind, name, exc_info=error)
        while len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def is_quarantined(self, kind: str, name: str, now: float) -> bool:
        """Whether it must not be processed yet."""
        if not self.entries:
            return False
        return self.entries.get((kind, name), NOT_QUARANTINED).until > now

    def reason(self, kind: str, name: str) -> str:
        """The last failure, for the user's status query; empty if there was none."""
        return self.entries.get((kind, name), NOT_QUARANTINED).reason

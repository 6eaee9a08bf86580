"""Quarantine of jobs, machines and records whose processing failed.

A quarantined one is skipped for some time, so that the others are still processed.
"""

import logging
from typing import NamedTuple

log = logging.getLogger(__name__)

# Enough for each machine of a large fleet, and for jobs. An entry takes some 500 bytes.
MAX_ENTRIES = 20_000
RETRY_AFTER_S = 30.0  # a quarantine ends this long after the failure
MAX_REASON_LENGTH = 200


class QuarantineEntry(NamedTuple):
    """The time until which something is not processed, on the steady clock, and the reason."""

    until: float
    reason: str


NOT_QUARANTINED = QuarantineEntry(0.0, "")


class Quarantine:
    """Quarantined items by kind and name; beyond MAX_ENTRIES the oldest entry is dropped.

    Requests known to be harmful are rejected on arrival. The quarantine guards against unknown
    ones: without it a single job stopped placement or writing of all others, on every controller
    and also after restarts.
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], QuarantineEntry] = {}

    def add(self, kind: str, name: str, error: BaseException, now: float) -> None:
        """Quarantine an item after an error at time `now`.

        The error is logged with its traceback unless the item has an entry already.
        """
        known = self.entries.pop((kind, name), None)
        reason = repr(error)[:MAX_REASON_LENGTH]
        self.entries[(kind, name)] = QuarantineEntry(now + RETRY_AFTER_S, reason)
        if known is None:
            log.error("quarantined: kind=%s name=%s", kind, name, exc_info=error)
        while len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def is_quarantined(self, kind: str, name: str, now: float) -> bool:
        """Return whether an item must not be processed yet at time `now`."""
        if not self.entries:
            return False
        return self.entries.get((kind, name), NOT_QUARANTINED).until > now

    def reason(self, kind: str, name: str) -> str:
        """Return the error of an item's last failure, as status queries show it.

        Empty if it has no entry.
        """
        return self.entries.get((kind, name), NOT_QUARANTINED).reason

"""What a loop couldn't digest is set aside, with one line in the log, while the rest goes on."""

import logging

log = logging.getLogger(__name__)

MAX_ENTRIES = 20_000  # each machine of a large fleet, and jobs; some 500 bytes each
RETRY_AFTER_S = 30.0  # (start) until it is tried once more


class Quarantine:
    """Jobs, machines and records by kind and name; the oldest of KEPT is forgotten first.

    The doors refuse what is known to do harm. This guards against what isn't known: one job
    stopped renting, planning or writing for all others, at every controller, also after a restart.
    """

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], tuple[float, str]] = {}

    def add(self, kind: str, name: str, error: BaseException, now: float) -> None:
        """Called where the fault is handled: its traceback is logged when it is new."""
        known = self.entries.pop((kind, name), None)
        self.entries[(kind, name)] = (now + RETRY_AFTER_S, repr(error)[:200])
        if known is None:
            log.error("%s %s: set aside, the rest goes on", kind, name, exc_info=error)
        while len(self.entries) > MAX_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def is_quarantined(self, kind: str, name: str, now: float) -> bool:
        """Whether it is not to be tried yet."""
        return bool(self.entries) and self.entries.get((kind, name), (0.0, ""))[0] > now

    def reason(self, kind: str, name: str) -> str:
        """What to tell who asks; nothing when it was never set aside."""
        return self.entries.get((kind, name), (0.0, ""))[1]

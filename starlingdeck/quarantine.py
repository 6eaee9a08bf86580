"""What a loop couldn't digest is set aside, with one line in the log, while the rest goes on."""

import logging

log = logging.getLogger(__name__)

KEPT = 20_000  # each machine of a large fleet, and jobs; some 500 bytes each
AGAIN_S = 30.0  # (start) until it is tried once more


class Quarantine:
    """Jobs, machines and records by kind and name; the oldest of KEPT is forgotten first.

    The doors refuse what is known to do harm. This guards against what isn't known: one job
    stopped renting, planning or writing for all others, at every controller, also after a restart.
    """

    def __init__(self) -> None:
        self.found: dict[tuple[str, str], tuple[float, str]] = {}

    def put(self, kind: str, name: str, fault: BaseException, now: float) -> None:
        """Called where the fault is handled: its traceback is logged when it is new."""
        known = self.found.pop((kind, name), None)
        self.found[(kind, name)] = (now + AGAIN_S, repr(fault)[:200])
        if known is None:
            log.error("%s %s: set aside, the rest goes on", kind, name, exc_info=fault)
        while len(self.found) > KEPT:
            del self.found[next(iter(self.found))]

    def rests(self, kind: str, name: str, now: float) -> bool:
        """Whether it is not to be tried yet."""
        return bool(self.found) and self.found.get((kind, name), (0.0, ""))[0] > now

    def why(self, kind: str, name: str) -> str:
        """What to tell who asks; nothing when it was never set aside."""
        return self.found.get((kind, name), (0.0, ""))[1]

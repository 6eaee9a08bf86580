"""Measures churn: how many of the recently started tasks were preempted again."""

from starlingdeck.metrics import counters
from starlingdeck.metrics.counters import Counters

HALF_LIFE_S = 10.0  # after this time an event counts half as much
MAX_ELAPSED_S = 60.0
MIN_RECENT_STARTS = 20.0  # preemptions are compared with at least this many starts


class ChurnMeter:
    """Exponentially decaying counts of the tasks started and preempted by this controller."""

    def __init__(self) -> None:
        self._last_started = 0
        self._last_preempted = 0
        self._recent_started = 0.0
        self._recent_preempted = 0.0

    def update(self, task_counters: Counters, elapsed_s: float) -> None:
        """Add the starts and preemptions since the last update, which was `elapsed_s` ago."""
        decay = 0.5 ** (min(elapsed_s, MAX_ELAPSED_S) / HALF_LIFE_S)
        started = task_counters.totals[counters.STARTED]
        preempted = task_counters.totals[counters.PREEMPTED]
        self._recent_started = self._recent_started * decay + (started - self._last_started)
        self._recent_preempted = self._recent_preempted * decay + (preempted - self._last_preempted)
        self._last_started, self._last_preempted = started, preempted

    def exceeds(self, share: float) -> bool:
        """Return whether the recent preemptions exceed `share` of the recent starts."""
        return self._recent_preempted > share * max(self._recent_started, MIN_RECENT_STARTS)

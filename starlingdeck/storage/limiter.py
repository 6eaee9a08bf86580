"""A token bucket that keeps a reserve for urgent callers."""

from collections.abc import Callable

import curio

RESERVED_PART = 3  # one of so many parts of the burst is for urgent callers only
ROUNDING = 1e-6  # tokens that are added up in floats may miss a whole one by this
MIN_SLEEP_S = 0.002


class TokenBucket:
    """Grants `rate` tokens a second with a burst of `burst_s` seconds' worth.

    Ordinary callers leave a third of the burst to urgent ones.
    """

    def __init__(self, rate: float, burst_s: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)
        self.tokens = self.burst
        self.now = now
        self.refilled_at = now()

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        """Change rate and burst; tokens that are there stay."""
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)

    def _refill(self) -> None:
        now = self.now()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def _reserved(self, amount: float, urgent: bool) -> float:
        """How many tokens have to be left after this amount is taken."""
        return 0.0 if urgent else min(self.burst / RESERVED_PART, self.burst - amount)

    def available(self, urgent: bool) -> tuple[int, float]:
        """How many tokens may be taken now, and in how many seconds one may; takes none."""
        self._refill()
        left = self.tokens - self._reserved(1.0, urgent) + ROUNDING
        return max(0, int(left)), max(0.0, (1.0 - left) / self.rate)

    def take_or_delay(self, amount: float, urgent: bool) -> float:
        """Take the tokens and return 0, or take none and return the seconds to wait for them."""
        self._refill()
        amount = min(amount, self.burst)
        reserved = self._reserved(amount, urgent)
        if self.tokens - amount >= reserved - ROUNDING:
            self.tokens -= amount
            return 0.0
        return (reserved + amount - self.tokens) / self.rate

    async def take(self, amount: float = 1.0, urgent: bool = False) -> None:
        """Wait until the tokens may be taken, and take them."""
        while (delay_s := self.take_or_delay(amount, urgent)) > 0:
            await curio.sleep(max(delay_s, MIN_SLEEP_S))

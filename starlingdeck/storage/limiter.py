"""Rate limiting by a token bucket that reserves part of its burst for urgent callers."""

from collections.abc import Callable

import curio

RESERVE_DIVISOR = 3  # a third of the burst is reserved for urgent callers
ROUNDING_TOLERANCE = 1e-6  # tokens; a sum of floats may fall this much short of a whole token
MIN_SLEEP_S = 0.002


class TokenBucket:
    """Grants `rate` tokens per second, with a burst of `burst_s` seconds' worth of tokens.

    The burst is at least one token. A third of it is reserved for urgent callers.
    """

    def __init__(self, rate: float, burst_s: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)
        self.tokens = self.burst
        self.now = now
        self.refilled_at = now()

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        """Change the rate and the burst. Tokens are kept, up to the new burst."""
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)

    def _refill(self) -> None:
        now = self.now()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now

    def _reserved(self, amount: float, urgent: bool) -> float:
        """Return how many tokens must be left after this amount is taken."""
        return 0.0 if urgent else min(self.burst / RESERVE_DIVISOR, self.burst - amount)

    def available(self, urgent: bool) -> tuple[int, float]:
        """Return how many tokens may be taken now, and the seconds until one may. Take none."""
        self._refill()
        left = self.tokens - self._reserved(1.0, urgent) + ROUNDING_TOLERANCE
        return max(0, int(left)), max(0.0, (1.0 - left) / self.rate)

    def take_or_delay(self, amount: float, urgent: bool) -> float:
        """Take the tokens and return 0, or take none and return the seconds to wait for them.

        An amount above the burst is reduced to the burst.
        """
        self._refill()
        amount = min(amount, self.burst)
        reserved = self._reserved(amount, urgent)
        if self.tokens - amount >= reserved - ROUNDING_TOLERANCE:
            self.tokens -= amount
            return 0.0
        return (reserved + amount - self.tokens) / self.rate

    async def take(self, amount: float = 1.0, urgent: bool = False) -> None:
        """Wait until the tokens may be taken, and take them."""
        while (delay_s := self.take_or_delay(amount, urgent)) > 0:
            await curio.sleep(max(delay_s, MIN_SLEEP_S))

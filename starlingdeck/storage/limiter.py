"""A token bucket with a reserve for urgent callers."""

from collections.abc import Callable

import curio


class TokenBucket:
    """`rate` a second with a burst worth `burst_s`. Ordinary callers leave a third of the burst."""

    def __init__(self, rate: float, burst_s: float, now: Callable[[], float]) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)
        self.level = self.burst
        self.now = now
        self.at = now()

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate = rate
        self.burst = max(1.0, rate * burst_s)

    def _refill(self) -> None:
        at = self.now()
        self.level = min(self.burst, self.level + (at - self.at) * self.rate)
        self.at = at

    def _floor(self, amount: float, urgent: bool) -> float:
        return 0.0 if urgent else min(self.burst / 3, self.burst - amount)

    def free(self, urgent: bool) -> tuple[int, float]:
        """How much may be taken now, and how long it is until 1 may; takes nothing."""
        self._refill()
        left = self.level - self._floor(1.0, urgent) + 1e-6
        return max(0, int(left)), max(0.0, (1.0 - left) / self.rate)

    def delay(self, amount: float, urgent: bool) -> float:
        """Seconds to wait before `amount` may be taken; takes it when that is 0."""
        self._refill()
        amount = min(amount, self.burst)
        floor = self._floor(amount, urgent)
        if self.level - amount >= floor - 1e-6:
            self.level -= amount
            return 0.0
        return (floor + amount - self.level) / self.rate

    async def take(self, amount: float = 1.0, urgent: bool = False) -> None:
        while (wait := self.delay(amount, urgent)) > 0:
            await curio.sleep(max(wait, 0.002))

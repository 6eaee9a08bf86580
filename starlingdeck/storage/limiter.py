"""A token bucket with a reserve for urgent callers."""

from collections.abc import Callable

import curio


class Limiter:
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

    def delay(self, amount: float, urgent: bool) -> float:
        """Seconds to wait before `amount` may be taken; takes it when that is 0."""
        at = self.now()
        self.level = min(self.burst, self.level + (at - self.at) * self.rate)
        self.at = at
        amount = min(amount, self.burst)
        floor = 0.0 if urgent else min(self.burst / 3, self.burst - amount)
        if self.level - amount >= floor - 1e-6:
            self.level -= amount
            return 0.0
        return (floor + amount - self.level) / self.rate

    async def take(self, amount: float = 1.0, urgent: bool = False) -> None:
        while (wait := self.delay(amount, urgent)) > 0:
            await curio.sleep(max(wait, 0.002))

"""Limits that the protocol sets its services: rates with a burst, and sizes."""

import time

import msgspec


class RateLimiter:
    """`per_s` a second with a burst worth `burst_s` seconds; 0: no limit."""

    def __init__(self, per_s: float, burst_s: float = 1.0) -> None:
        self.rate_per_s = per_s
        self.burst_tokens = max(1.0, per_s * burst_s)
        self.tokens = self.burst_tokens
        self.refilled_at = time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Takes it if there is as much; what is refused costs nothing."""
        if not self.rate_per_s:
            return True
        now = time.monotonic()
        self.tokens = min(
            self.burst_tokens, self.tokens + (now - self.refilled_at) * self.rate_per_s
        )
        self.refilled_at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class StateLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the state service takes; 0: no limit."""

    rps: float = 0.0
    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0
    latency_ms: float = 0.0

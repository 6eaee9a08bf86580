"""The protocol's limits of requests: rates with a burst, and sizes."""

import time

import msgspec


class RateLimiter:
    """A token bucket: `per_s` tokens a second, at most `burst_s` seconds' worth; 0: no limit."""

    def __init__(self, per_s: float, burst_s: float = 1.0) -> None:
        self.rate_per_s = per_s
        self.burst_tokens = max(1.0, per_s * burst_s)
        self.tokens = self.burst_tokens
        self.refilled_at = time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Takes tokens if there are enough; a refusal takes none."""
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
    """Limits of the state service; 0: no limit."""

    rps: float = 0.0
    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0
    latency_ms: float = 0.0

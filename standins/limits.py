"""Limits of the protocol on requests: rates with a burst, and sizes."""

import time

import msgspec


class RateLimiter:
    """A token bucket that gains `rate_per_s` tokens per second; at a rate of 0 there is no limit.

    It holds at most `burst_s` seconds' worth of tokens, but at least one, and starts full.
    """

    def __init__(self, rate_per_s: float, burst_s: float = 1.0) -> None:
        self.rate_per_s = rate_per_s
        self.burst_tokens = max(1.0, rate_per_s * burst_s)
        self.tokens = self.burst_tokens
        self.refilled_at = time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Takes `amount` tokens; if there are fewer, takes none and returns False."""
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
    """Limits of the state service, and a latency added to each request; 0 means none.

    `rps` counts requests and `write_rps` changes, both per second; `value_kb` limits one value and
    `txn_ops` the changes of one transaction.
    """

    rps: float = 0.0
    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0
    latency_ms: float = 0.0

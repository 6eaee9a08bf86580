"""Limits that the protocol sets its services: rates with a burst, and sizes."""

import time

import msgspec


class Rate:
    """`per_s` a second with a burst worth `burst_s` seconds; 0: no limit."""

    def __init__(self, per_s: float, burst_s: float = 1.0) -> None:
        self.per_s = per_s
        self.most = max(1.0, per_s * burst_s)
        self.level = self.most
        self.at = time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Takes it if there is as much; what is refused costs nothing."""
        if not self.per_s:
            return True
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.per_s)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the state service takes; 0: no limit."""

    rps: float = 0.0
    write_rps: float = 0.0
    value_kb: float = 0.0
    txn_ops: int = 0
    latency_ms: float = 0.0

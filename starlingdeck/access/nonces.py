"""The memory of nonces: each belongs to one shard, whose holder says whether it is new.

Bounded in time by the window of signatures and in number by `most`. Forgetting early would let a
replay in, so a full memory refuses.
"""

import heapq
from enum import Enum

from msgspec import Struct, field

from starlingdeck.coordination.shards import job_shard


class Answer(Enum):
    NEW = "new"
    SEEN = "seen"  # a replay
    AGAIN = "again"  # signed before this holder's time: sign anew
    FULL = "full"  # ask later


def owner(key: str, nonce: str, shards: int) -> int:
    """The shard that a nonce belongs to."""
    return job_shard(f"{key} {nonce}", shards)


class Nonces(Struct):
    """One shard's, from when it was taken over. Times are milliseconds of the holder's clock.

    `window_ms` and `skew_ms` are those of `signing.verify`. The one who verified and we may differ
    by the skew, and so may a former holder and we: both count twice.
    """

    since_ms: int
    window_ms: int
    skew_ms: int
    most: int = 100_000
    seen: set[tuple[str, str]] = field(default_factory=set)
    ends: list[tuple[int, str, str]] = field(default_factory=list)

    def take(self, key: str, nonce: str, time_ms: int, now_ms: int) -> Answer:
        """Whether a request signed at `time_ms` is the first with this nonce; it is noted then."""
        while self.ends and self.ends[0][0] < now_ms:
            self.seen.discard(heapq.heappop(self.ends)[1:])
        if (key, nonce) in self.seen:
            return Answer.SEEN
        if time_ms <= self.since_ms + 2 * self.skew_ms:
            return Answer.AGAIN
        if len(self.seen) >= self.most:
            return Answer.FULL
        self.seen.add((key, nonce))
        heapq.heappush(self.ends, (time_ms + self.window_ms + 2 * self.skew_ms, key, nonce))
        return Answer.NEW

"""What a job shard still has to send to one machine shard."""

from msgspec import Struct, field


class Outbox(Struct):
    """The desired state already sent to one machine shard, and what has changed since."""

    epoch: int = 0  # of the machine shard's owner that the messages were made for
    seq: int = 0  # of the last desired-state message
    acked_seq: int = 0  # the last message that the owner has applied
    sent_at: float = -1e9
    full: bool = True  # the next message has to name every task
    changed: set[int] = field(default_factory=set)  # task keys
    removed: set[tuple[int, int]] = field(default_factory=set)  # task key, machine
    changed_jobs: set[int] = field(default_factory=set)  # whose description is to be sent again
    # Tasks whose first publication is not acknowledged: message that first named it, task key.
    # Plain tuples: one is made for every task published.
    unacked: list[tuple[int, int]] = field(default_factory=list)

    @property
    def has_updates(self) -> bool:
        """Whether the next message would say anything new."""
        return bool(self.full or self.changed or self.removed or self.changed_jobs)

"""The changes that a job shard still has to send to one machine shard."""

from msgspec import Struct, field


class Outbox(Struct):
    """The desired state already sent to one machine shard, and what has changed since."""

    epoch: int = 0  # epoch of the machine shard's owner to which the messages were sent
    seq: int = 0  # number of the last desired-state message
    acked_seq: int = 0  # number of the last message that the owner has applied
    sent_at: float = -1e9
    full: bool = True  # the next message has to contain every task
    changed: set[int] = field(default_factory=set)  # task keys
    removed: set[tuple[int, int]] = field(default_factory=set)  # task key, machine
    changed_jobs: set[int] = field(default_factory=set)  # jobs whose description has changed
    # Tasks whose first publication is not acknowledged, as (number of the first message with the
    # task, task key). Plain tuples, because one is created for every task published.
    unacked: list[tuple[int, int]] = field(default_factory=list)

    @property
    def has_updates(self) -> bool:
        """Whether the next message would contain any change."""
        return bool(self.full or self.changed or self.removed or self.changed_jobs)

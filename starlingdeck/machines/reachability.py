"""What is known of a machine's two directions, and how fresh that is. Pure.

Its reports come to us; our answers and commands go to it. Each direction may fail alone, copies
of reports come late, and a machine may be back at once, counting from the beginning. What each
message proves is in `docs/design/hearing.md`.
"""

from enum import Enum

from msgspec import Struct

MASS_UNREACHABLE_SHARE = (
    0.05  # (start) of the machines heard: when more hear nothing, the network is to blame
)
MIN_RELEASABLE = 2  # (start) may be returned however few machines there are


class HeartbeatOrder(Enum):
    """What a message is to us."""

    NEWER = 1  # newer than all before
    OVERTAKEN = 2  # a report that another message has overtaken: its answer renews, no more
    STALE = 3  # a copy, or of another life of the machine: it proves nothing


class Reachability(Struct, kw_only=True):
    """`session` counts over a machine's lives: `ended` is what its earlier ones took of it."""

    last_message_at: float  # when the newest message first came
    lease_granted_at: (
        float  # no lease of its began later: a lease counts from the sending of a report,
    )
    # and that of a new session from its beginning
    last_heartbeat_at: float  # when its newest report came: an answer to a call renews no lease
    unconfirmed_since: float | None = (
        None  # since when nothing proves that it hears us; None: proven
    )
    session: int = 0
    seq: int = 0
    token: int = 0
    prior_sessions: int = 0
    last_heartbeat: tuple[int, int] = (0, 0)  # its own session and number, of the newest report
    unanswered_commands: int = 0  # calls in a row without an answer
    probe_needed: bool = False  # something foreign came: only an answer to a call tells what it is
    probed_at: float = 0.0
    # The session of a life that an answer has shown, until its former life's commands are fenced.
    new_incarnation_session: int = 0

    @property
    def needs_probe(self) -> bool:
        """Whether it is to be called only to see whether it answers."""
        return self.unconfirmed_since is not None or self.probe_needed

    def position(self) -> tuple[int, int]:
        """The newest message's session and number, by the machine's own count."""
        return (self.session - self.prior_sessions, self.seq)

    def classify(self, session: int, seq: int, token: int, report: bool) -> HeartbeatOrder:
        """A life's tokens only rise, so that what counts on from a former life shows itself."""
        if (session, seq) > self.position():
            return HeartbeatOrder.NEWER if token >= self.token else HeartbeatOrder.STALE
        # Renewed by every report, a lease of a dead machine was put off by copies of its own.
        fresh = report and (session, seq) > self.last_heartbeat
        return HeartbeatOrder.OVERTAKEN if fresh else HeartbeatOrder.STALE

    def is_new_incarnation(self, asked: tuple[int, int] | None, session: int, seq: int) -> bool:
        """Whether an answer to a call shows a new life: it was made after `asked` was known, and
        in one life numbers only rise. A report that does so may as well be a late copy."""
        return asked is not None and (session, seq) < asked

    def begin_incarnation(self, session: int) -> int:
        """The number of the first session of a life that has just shown itself."""
        (
            self.prior_sessions,
            self.new_incarnation_session,
            self.probe_needed,
            self.last_heartbeat,
        ) = self.session, 0, False, (0, 0)
        return session + self.prior_sessions

    def catch_up(self, listed: int) -> bool:
        """Lists name a later session than its newest word, of which it is known that it is its
        present one: it began anew under a former holder, who alone knew its earlier lives."""
        if listed <= self.session:
            return False
        self.prior_sessions += listed - self.session
        self.session = listed
        return True

    def unconfirmed_s(self, now: float, within_s: float) -> float:
        """How long a machine that reports has shown nothing that proves that it hears us, 0 for
        others; in a view it is as of then, and goes on."""
        if self.unconfirmed_since is None or now - self.last_message_at > within_s:
            return 0.0
        return max(0.001, now - self.unconfirmed_since)


def releasable_count(deaf: int, heard: int) -> int:
    """How many machines that hear nothing may be returned now: when many are so at once (a zone,
    half the fleet), the network is to blame, and others would hear as little."""
    few = max(MIN_RELEASABLE, int(heard * MASS_UNREACHABLE_SHARE))
    return deaf if deaf <= few else 0

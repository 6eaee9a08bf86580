"""Tracks both directions of a controller's link to a machine. Does no I/O.

A machine's reports come to its controller; answers and commands go to the machine. Each direction
may fail alone, copies of reports arrive late, and a machine may restart within its lease and count
its sessions from 1 again. What each message proves is described in `docs/design/hearing.md`.
"""

from enum import Enum

from msgspec import Struct

# If more than this share of the reporting machines is unreachable at once, the network is at
# fault.
MASS_UNREACHABLE_SHARE = 0.05
MIN_RELEASABLE_MACHINES = 2  # may be released however small the fleet is
MIN_UNCONFIRMED_S = 0.001  # tells a machine that just became unconfirmed from a confirmed one


class HeartbeatOrder(Enum):
    """The order of a message among the messages that its machine sent before."""

    NEWER = 1  # newer than all that arrived before
    OVERTAKEN = 2  # a report overtaken by another message: its answer only renews the lease
    STALE = 3  # a copy, or from another incarnation of the machine: it proves nothing


class Reachability(Struct, kw_only=True):
    """The newest message of a machine, its lease, and whether it receives what is sent to it.

    Times are in seconds of the controller's steady clock. `session` counts over all incarnations
    of a machine; `prior_sessions` of them belong to its earlier incarnations, so the machine's own
    count is the difference.
    """

    last_message_at: float  # when the newest message arrived
    # No lease of the machine began later than this. A lease counts from the sending of a report,
    # and that of a new session from the beginning of the session.
    lease_granted_at: float
    last_heartbeat_at: float  # when the newest report arrived; command answers renew no lease
    # Since when it is not proved that the machine receives our messages; None: it is proved.
    unconfirmed_since: float | None = None
    session: int = 0
    seq: int = 0
    token: int = 0
    prior_sessions: int = 0
    last_heartbeat: tuple[int, int] = (0, 0)  # own session and number of the newest report
    unanswered_commands: int = 0  # consecutive commands without an answer
    # A message may be of another incarnation: only the answer to a command tells which is current.
    probe_needed: bool = False
    probed_at: float = 0.0
    # The session of a new incarnation shown by the answer to a command, until the commands sent to
    # the incarnation before are fenced; 0: none.
    new_incarnation_session: int = 0

    @property
    def needs_probe(self) -> bool:
        """Whether a command is to be sent just to see whether it is answered."""
        return self.unconfirmed_since is not None or self.probe_needed

    def position(self) -> tuple[int, int]:
        """Return the newest message's session and number, by the machine's own count."""
        return (self.session - self.prior_sessions, self.seq)

    def classify(self, session: int, seq: int, token: int, is_report: bool) -> HeartbeatOrder:
        """Return the order of a message among those before it.

        `is_report` is False for the answer to a command. Within one incarnation tokens only rise,
        so a message of an earlier incarnation is recognised by its lower token.
        """
        if (session, seq) > self.position():
            return HeartbeatOrder.NEWER if token >= self.token else HeartbeatOrder.STALE
        # If every report renewed the lease, late copies would keep a lost machine alive.
        fresh = is_report and (session, seq) > self.last_heartbeat
        return HeartbeatOrder.OVERTAKEN if fresh else HeartbeatOrder.STALE

    def is_new_incarnation(
        self, sent_position: tuple[int, int] | None, session: int, seq: int
    ) -> bool:
        """Return whether the answer to a command shows a new incarnation of the machine.

        `sent_position` is the position known when the command was sent. The answer was made later,
        and within one incarnation numbers only rise. A report with low numbers proves nothing:
        it may be a late copy.
        """
        return sent_position is not None and (session, seq) < sent_position

    def begin_incarnation(self, session: int) -> int:
        """Switch to a new incarnation; return its session, counted over all incarnations."""
        self.prior_sessions = self.session
        self.new_incarnation_session = 0
        self.probe_needed = False
        self.last_heartbeat = (0, 0)
        return session + self.prior_sessions

    def adopt_session(self, desired_session: int) -> bool:
        """Adopt the session that the desired state names, if it is later; return whether it was.

        If so, the machine has restarted under a former owner of its shard, and only that owner
        knew of the earlier incarnations. The newest message is known to be of the current one.
        """
        if desired_session <= self.session:
            return False
        self.prior_sessions += desired_session - self.session
        self.session = desired_session
        return True

    def unconfirmed_s(self, now: float, within_s: float) -> float:
        """Return for how many seconds the machine has not proved that it receives our messages.

        Return 0 if it has, or if the machine has sent nothing for `within_s`. In a snapshot
        the value is as of the snapshot's time.
        """
        if self.unconfirmed_since is None or now - self.last_message_at > within_s:
            return 0.0
        return max(MIN_UNCONFIRMED_S, now - self.unconfirmed_since)


def releasable_count(unreachable: int, reporting: int) -> int:
    """Return how many unreachable machines may be returned to the cloud now.

    Return 0 when many are unreachable at once (a zone, half the fleet): then the network is at
    fault and replacements would be unreachable too.
    """
    limit = max(MIN_RELEASABLE_MACHINES, int(reporting * MASS_UNREACHABLE_SHARE))
    return unreachable if unreachable <= limit else 0

"""The history of users' requests in a soak run, and the rules that answers about one job keep.

Answers are compared by time: an answer to a request that was sent after another answer had arrived
may not be older than that one, whichever controllers gave them. Answers to requests that were
under way at one time may come in any order; only two different terminal states never may.
"""

from collections import defaultdict
from collections.abc import Iterable
from enum import StrEnum

from msgspec import Struct

from standins.scale.users import ACCEPTED_STATUSES, REFUSED_STATUSES, TERMINAL_STATES
from starlingdeck.protocol import api


class RequestKind(StrEnum):
    """What a user asked for."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "cancel"


class Exchange(Struct, frozen=True):
    """A request and its answer. Times are seconds of one monotonic clock.

    `status` is the HTTP status, 0 if no answer came; `state` is the job's state in the answer,
    empty if it names none.
    """

    kind: RequestKind
    job: str
    controller: int
    sent_at: float
    answered_at: float
    status: int
    state: str = ""
    completed: int = 0

    def __str__(self) -> str:
        outcome = f"{self.status} {self.state}".strip() if self.status else "no answer"
        return (
            f"{self.sent_at:.4f} to {self.answered_at:.4f} s: {self.kind} {self.job}"
            f" at n-{self.controller}: {outcome}"
        )


class BrokenRule(Struct, frozen=True):
    """A broken rule: the answer that shows it, and what it contradicts."""

    rule: str
    exchange: Exchange
    contradicts: str


class JobHistory:
    """The exchanges about one job, in the order in which their answers arrived."""

    def __init__(self) -> None:
        self.exchanges: list[Exchange] = []
        self.submitted_at: float | None = None  # when it was first submitted
        self.cancelled_at: float | None = None  # when its cancellation was first requested

    def accepted_before(self, at: float) -> Exchange | None:
        """Return an answer that arrived before `at` and shows that the job is accepted."""
        return next(
            (e for e in self.exchanges if e.answered_at < at and e.status in ACCEPTED_STATUSES),
            None,
        )

    def first_terminal(self) -> Exchange | None:
        """Return the first answer with a terminal state."""
        return next((e for e in self.exchanges if e.state in TERMINAL_STATES), None)

    def highest_completed_before(self, at: float) -> int:
        """Return the highest count of completed tasks in answers that arrived before `at`."""
        return max((e.completed for e in self.exchanges if e.answered_at < at), default=0)


class HistoryChecker:
    """Records the exchanges of all users and finds those that break a rule."""

    def __init__(self) -> None:
        self.jobs: defaultdict[str, JobHistory] = defaultdict(JobHistory)
        self.broken: list[BrokenRule] = []

    def record_request(self, kind: RequestKind, job: str, sent_at: float) -> None:
        """Record that a request is about to be sent."""
        history = self.jobs[job]
        if kind is RequestKind.SUBMIT and history.submitted_at is None:
            history.submitted_at = sent_at
        if kind is RequestKind.CANCEL and history.cancelled_at is None:
            history.cancelled_at = sent_at

    def record_exchange(self, exchange: Exchange) -> None:
        """Record an answer, in the order of arrival, and the rules that it breaks."""
        history = self.jobs[exchange.job]
        self.broken += [
            BrokenRule(rule, exchange, contradicts)
            for rule, contradicts in self._violations(history, exchange)
        ]
        history.exchanges.append(exchange)

    def _violations(self, history: JobHistory, exchange: Exchange) -> Iterable[tuple[str, str]]:
        if exchange.status in REFUSED_STATUSES:
            yield from self._denial_violations(history, exchange)
        if exchange.status not in ACCEPTED_STATUSES:
            return
        if history.submitted_at is None:
            yield "invented", "the job was never submitted"
        if exchange.state == api.CANCELLED and history.cancelled_at is None:
            yield "went_back", "its user did not cancel the job"
        yield from self._order_violations(history, exchange)

    def _denial_violations(
        self, history: JobHistory, exchange: Exchange
    ) -> Iterable[tuple[str, str]]:
        accepted = history.accepted_before(exchange.sent_at)
        if accepted is not None:
            yield "forgotten", str(accepted)

    def _order_violations(
        self, history: JobHistory, exchange: Exchange
    ) -> Iterable[tuple[str, str]]:
        terminal = history.first_terminal()
        if terminal is not None and exchange.state != terminal.state:
            is_older = terminal.answered_at < exchange.sent_at
            if is_older or exchange.state in TERMINAL_STATES:
                yield "went_back", str(terminal)
        before = history.highest_completed_before(exchange.sent_at)
        if exchange.completed < before and exchange.kind is RequestKind.STATUS:
            yield "count_went_back", f"{before} tasks were reported as completed"


def surrounding(history: JobHistory, exchange: Exchange, window_s: float) -> list[Exchange]:
    """Return the exchanges about a job within `window_s` seconds of one of them, in time order."""
    return sorted(
        (
            other
            for other in history.exchanges
            if abs(other.answered_at - exchange.answered_at) <= window_s
        ),
        key=lambda other: other.sent_at,
    )

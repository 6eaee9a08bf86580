"""Decides whether this controller may still give an answer about a job.

Every answer to a user or a peer passes `AnswerGuard.admit` after the last wait of its request.
"""

import logging
from collections.abc import Mapping

from msgspec import Struct, field

from starlingdeck.api.answers import (
    ACCEPTED_STATUSES,
    DENIED_STATUSES,
    TERMINAL_STATES,
    Evidence,
    JobAnswer,
    Source,
    ask_again,
)
from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

MAX_REPORTED_JOBS = 20_000  # about 5 MB; what was told of older jobs is not compared any more


class ReportedJob(Struct):
    """What this process has told about a job, and when (steady clock, seconds)."""

    accepted_at: float
    terminal_state: str = ""
    terminal_at: float = 0.0


class AnswerCounts(Struct):
    """Counts of answers since the start of the process."""

    admitted: dict[Source, int] = field(default_factory=lambda: dict.fromkeys(Source, 0))
    retry_ownership: int = 0  # the shard was not owned any more when the answer was ready
    retry_older: int = 0  # a newer answer was given while this one was being prepared
    violations: int = 0


class Contradiction(Struct, frozen=True):
    """How an answer contradicts what was told before, and when that was told."""

    rule: str
    told: str
    told_at: float


class AnswerGuard:
    """Admits answers that this controller has the right to give and that are not older than others.

    A job's order of states is: accepted, then done or cancelled, which never change.
    """

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        writers: Mapping[int, RecordWriter],
    ) -> None:
        self.context = context
        self.membership = membership
        self.writers = writers
        self.reported: dict[str, ReportedJob] = {}
        self.counts = AnswerCounts()

    def is_current(self, evidence: Evidence | None) -> bool:
        """Return whether what an answer rests on is still this controller's to tell.

        The memory of a shard's owner is, while this controller certainly owns the shard under the
        same epoch and has not been refused a write. What was read from the state service, or told
        by a peer, is not bound to an ownership.
        """
        if evidence is None or evidence.source is not Source.OWNER:
            return True
        writer = self.writers.get(evidence.shard)
        return (
            writer is not None
            and writer.shard.epoch == evidence.epoch
            and not writer.ownership_lost
            and self.membership.lease_is_valid()
        )

    def admit(self, answer: JobAnswer) -> JobAnswer:
        """Return the answer if it may be given now, otherwise one that says to ask again."""
        evidence = answer.evidence
        if evidence is None:
            return answer
        if not self.is_current(evidence):
            self.counts.retry_ownership += 1
            return ask_again(answer.name, "the shard is changing hands")
        contradiction = self._contradiction(answer, evidence)
        if contradiction is None:
            self._record(answer, evidence)
            return answer
        # The owner's memory is read when the answer is given: it is never older.
        if evidence.source is not Source.OWNER and contradiction.told_at >= evidence.observed_at:
            self.counts.retry_older += 1
            return ask_again(answer.name, "the job is changing")
        self._report_violation(answer, evidence, contradiction)
        return ask_again(answer.name, "the job's state is not certain")

    def _contradiction(self, answer: JobAnswer, evidence: Evidence) -> Contradiction | None:
        """Return what contradicts an answer: something told before, or the record."""
        state = answer.state
        is_own_evidence = evidence.source is not Source.PEER
        if state == api.CANCELLED and is_own_evidence and not evidence.cancellation_recorded:
            return Contradiction("went_back", "no recorded cancellation", -1.0)
        told = self.reported.get(answer.name)
        if told is None:
            return None
        if answer.status in DENIED_STATUSES:
            return Contradiction("forgotten", "accepted", told.accepted_at)
        if told.terminal_state and state != told.terminal_state:
            return Contradiction("went_back", told.terminal_state, told.terminal_at)
        return None

    def _record(self, answer: JobAnswer, evidence: Evidence) -> None:
        now = self.context.now()
        self.counts.admitted[evidence.source] += 1
        if answer.status in ACCEPTED_STATUSES:
            self._remember(answer, now)
        if log.isEnabledFor(logging.DEBUG):
            log.debug("job answered: %s", self._description(answer, evidence, now))

    def _remember(self, answer: JobAnswer, now: float) -> None:
        told = self.reported.get(answer.name)
        if told is None:
            told = self.reported[answer.name] = ReportedJob(now)
            if len(self.reported) > MAX_REPORTED_JOBS:
                del self.reported[next(iter(self.reported))]
        if answer.state in TERMINAL_STATES and not told.terminal_state:
            told.terminal_state, told.terminal_at = answer.state, now

    def _report_violation(
        self, answer: JobAnswer, evidence: Evidence, contradiction: Contradiction
    ) -> None:
        self.counts.violations += 1
        now = self.context.now()
        log.error(
            "answer violation: rule=%s told=%s told_ago_s=%.3f %s",
            contradiction.rule,
            contradiction.told,
            now - contradiction.told_at,
            self._description(answer, evidence, now),
        )

    def _description(self, answer: JobAnswer, evidence: Evidence, now: float) -> str:
        lease = self.membership.lease
        return (
            f"job={answer.name} status={answer.status} state={answer.state or '-'}"
            f" source={evidence.source} shard={evidence.shard} epoch={evidence.epoch}"
            f" token={evidence.token} revision={evidence.revision}"
            f" observed_ago_s={now - evidence.observed_at:.3f}"
            f" lease_renewed_ago_s={now - lease.renewed_at:.3f}"
        )

    def line(self) -> str:
        """Return the line of the metrics; counts are since the start of the process."""
        counts = self.counts
        admitted = " ".join(f"{source}={count}" for source, count in counts.admitted.items())
        return (
            f"answers: {admitted}"
            f" retry_ownership={counts.retry_ownership} retry_older={counts.retry_older}"
            f" violations={counts.violations}"
        )

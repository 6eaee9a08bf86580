"""An answer that is older than one given before, or whose right has lapsed, is not given."""

import logging

import pytest

from starlingdeck.api.answer_guard import MAX_REPORTED_JOBS, AnswerGuard
from starlingdeck.api.answers import Evidence, JobAnswer, Source
from starlingdeck.controller.controller import Controller
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from tests.support.builders import Clock, make_context

JOB, SHARD, EPOCH = "j-000001", 0, 7


class Fixture:
    """A controller that owns a shard, and its guard."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.controller = Controller(make_context(self.clock))
        self.guard: AnswerGuard = self.controller.job_api.guard
        lease = self.controller.membership.lease
        lease.lease_id, lease.renewed_at = 1, self.clock.at
        self.own(EPOCH)

    def own(self, epoch: int) -> None:
        shard = JobShard(self.controller.context, SHARD, 3, epoch)
        client = self.controller.state
        self.controller.writers[SHARD] = RecordWriter(self.controller.context, client, shard)

    def answer(
        self,
        state: str,
        source: Source = Source.OWNER,
        status: int = 200,
        age_s: float = 0.0,
        name: str = JOB,
    ) -> JobAnswer:
        cancelled = state == api.CANCELLED
        evidence = Evidence(source, SHARD, self.clock.at - age_s, EPOCH, 3, 1, cancelled)
        body = api.JobStatus(name, state) if state else api.ErrorBody("no")
        return JobAnswer(name, status, body, evidence)


ORDERS = [
    # told before, the next answer's state and status, whether that answer is in order
    (api.QUEUED, api.RUNNING, 200, True),
    (api.RUNNING, api.QUEUED, 200, True),
    (api.QUEUED, api.CANCELLED, 200, True),
    (api.DONE, api.DONE, 200, True),
    (api.QUEUED, "", 404, False),
    (api.QUEUED, "", 422, False),
    (api.CANCELLED, api.QUEUED, 201, False),
    (api.CANCELLED, api.RUNNING, 200, False),
    (api.CANCELLED, api.DONE, 200, False),
    (api.DONE, api.CANCELLED, 200, False),
]


@pytest.mark.parametrize("source", list(Source))
@pytest.mark.parametrize(("told", "state", "status", "in_order"), ORDERS)
def test_answers_keep_the_order_of_states(
    source: Source, told: str, state: str, status: int, in_order: bool
) -> None:
    fixture = Fixture()
    assert fixture.guard.admit(fixture.answer(told)).state == told
    fixture.clock.at += 1.0
    admitted = fixture.guard.admit(fixture.answer(state, source, status))
    assert admitted.status == (status if in_order else 503)
    assert fixture.guard.counts.violations == (0 if in_order else 1)


@pytest.mark.parametrize("source", [Source.STORE, Source.PEER])
def test_an_answer_read_before_a_newer_one_was_given_is_asked_for_again(source: Source) -> None:
    fixture = Fixture()
    fixture.guard.admit(fixture.answer(api.CANCELLED))
    fixture.clock.at += 1.0
    admitted = fixture.guard.admit(fixture.answer(api.RUNNING, source, age_s=2.0))
    assert (admitted.status, admitted.response().headers) == (503, (("retry-after", "1"),))
    assert fixture.guard.counts.retry_older == 1
    assert fixture.guard.counts.violations == 0


@pytest.mark.parametrize("lapse", ["lease", "epoch", "released", "refused write"])
def test_an_owner_whose_right_has_lapsed_does_not_answer(lapse: str) -> None:
    fixture = Fixture()
    answer = fixture.answer(api.RUNNING)
    writers = fixture.controller.writers
    if lapse == "lease":
        fixture.clock.at += 10.0
    elif lapse == "epoch":
        fixture.own(EPOCH + 1)
    elif lapse == "released":
        del writers[SHARD]
    else:
        writers[SHARD].ownership_lost = True
    assert fixture.guard.admit(answer).status == 503
    assert fixture.guard.counts.retry_ownership == 1
    assert JOB not in fixture.guard.reported


def test_a_cancellation_that_is_not_recorded_is_not_told(caplog: pytest.LogCaptureFixture) -> None:
    fixture = Fixture()
    evidence = Evidence(Source.OWNER, SHARD, fixture.clock.at, EPOCH, 3, 1)
    answer = JobAnswer(JOB, 200, api.JobStatus(JOB, api.CANCELLED), evidence)
    with caplog.at_level(logging.ERROR):
        assert fixture.guard.admit(answer).status == 503
    assert "answer violation: rule=went_back" in caplog.text
    assert f"epoch={EPOCH} token=3 revision=1" in caplog.text


def test_what_was_told_is_remembered_for_a_bounded_number_of_jobs() -> None:
    fixture = Fixture()
    for number in range(MAX_REPORTED_JOBS + 10):
        fixture.guard.admit(fixture.answer(api.DONE, name=f"j-{number}"))
    assert len(fixture.guard.reported) == MAX_REPORTED_JOBS
    assert f"j-{MAX_REPORTED_JOBS + 9}" in fixture.guard.reported

"""Tests of the validation of external input: request bodies, settings, records, batches.

Also of the rate limiter and the latency histograms.
"""

from typing import Any

import msgspec
import pytest

from starlingdeck.api import submission
from starlingdeck.jobs.job import PLACED, TaskPlacement, new_job
from starlingdeck.jobs.job_records import encode_chunk, load_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.metrics.latency import LatencyHistograms
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import ConfigError, load_settings, load_tuning
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.records import TASKS_PER_CHUNK, JobRecord
from starlingdeck.sync import message_batch
from tests.support.builders import Clock, job_body, make_context, settings_dict, spec


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"chores": 0}, "chores"),
        ({"chores": 100_001}, "chores"),
        ({"chores": 1.5}, "chores"),
        ({"cores": -1}, "cores"),
        ({"cores": "4"}, "cores"),
        ({"cores": True}, "cores"),
        ({"uid": "job 1"}, "uid"),
        ({"shape": "gang"}, "shape"),
        ({"rank": "top"}, "rank"),
        ({"spread": 1}, "spread"),
        ({"builds": "g8"}, "builds"),
        ({"due_s": -1.0}, "due_s"),
    ],
)
def test_job_with_an_invalid_field_is_refused_naming_the_field(
    change: dict[str, Any], field: str
) -> None:
    with pytest.raises(api.ValidationError, match=field):
        api.decode_job(msgspec.json.encode(job_body(**change)))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"cores":NaN}', b"\xff\xfe"])
def test_job_body_that_is_no_valid_object_is_refused(body: bytes) -> None:
    with pytest.raises(api.ValidationError):
        api.decode_job(body)


def test_job_without_optional_fields_or_with_unknown_ones_is_accepted() -> None:
    body = job_body(novelty=7)
    for name in ("builds", "roost", "due_s"):
        del body[name]
    assert api.decode_job(msgspec.json.encode(body)).types is None
    del body["cores"]
    with pytest.raises(api.ValidationError, match="cores"):
        api.decode_job(msgspec.json.encode(body))


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"crew": "green"}, "team"),
        ({"cores": 17.0}, "fits no"),
        ({"builds": ["huge"]}, "fits no"),
        ({"roost": "z"}, "fits no"),
        ({"accelerators": 1.0}, "fits no"),
        ({"crew": "blue", "shape": "daemon", "cores": 9.0, "chores": 3}, "limit"),
        ({"crew": "blue", "shape": "sweep", "cores": 9.0, "chores": 3}, ""),
        ({}, ""),
    ],
)
def test_job_that_can_never_run_has_an_infeasibility_reason(
    change: dict[str, Any], expected: str
) -> None:
    reason = submission.infeasibility_reason(make_context(Clock()), spec(**change))
    assert expected in reason
    assert bool(expected) == bool(reason)


def test_settings_with_several_errors_report_one_line_each(tmp_path) -> None:  # type: ignore[no-untyped-def]
    path = tmp_path / "s.json"
    raw = settings_dict()
    raw["unknown"] = 1
    path.write_bytes(msgspec.json.encode(raw))
    assert load_settings(path).name == "n-0"
    raw["public_addr"] = "nowhere"
    raw["external"]["cloud"] = "x:99999"
    path.write_bytes(msgspec.json.encode(raw))
    with pytest.raises(ConfigError) as caught:
        load_settings(path)
    assert len(caught.value.lines) == 2
    tuning = tmp_path / "t.toml"
    tuning.write_text("moves_per_s = -3.0\nidel_s = 5.0\nidle_s = 60\n")
    with pytest.raises(ConfigError) as caught:
        load_tuning(tuning)
    assert ["moves_per_s" in caught.value.lines[0], "idel_s" in caught.value.lines[1]] == [True] * 2
    raw = settings_dict()
    raw["settings"]["state"]["rps"] = "many"
    del raw["external"]["state"], raw["zone"]
    path.write_bytes(msgspec.json.encode(raw))
    with pytest.raises(ConfigError) as caught:
        load_settings(path)
    expected = ("zone: missing", "external.state: missing", "settings.state.rps: Expected")
    assert all(any(error in line for line in caught.value.lines) for error in expected)
    assert len(caught.value.lines) == 3


def test_job_record_read_back_has_the_written_state() -> None:
    context = make_context(Clock())
    job = new_job(context, spec(chores=TASKS_PER_CHUNK + 10), 1, 5)
    placements = {
        t: TaskPlacement(
            context.machine_names.intern(f"vm-{t}"), 3, 2, 1, context.zone_names.intern("b")
        )
        for t in (0, 7, TASKS_PER_CHUNK + 3)
    }
    end_causes = {0: api.CAUSE_DONE, 7: api.CAUSE_ERROR}
    for t in (0, 7):
        job.placements[t], job.task_states[t], job.attempts[t] = placements[t], PLACED, 1
    pending_starts = {TASKS_PER_CHUNK + 3: placements[TASKS_PER_CHUNK + 3]}
    chunks = [encode_chunk(context, job, n, end_causes, pending_starts) for n in (0, 1)]
    decoded_chunks = [msgspec.json.decode(msgspec.json.encode(c), type=type(c)) for c in chunks]
    loaded = load_job(
        context, 1, JobRecord(job.spec, 5, False, decoded_chunks[0]), {1: decoded_chunks[1]}
    )
    assert loaded.completed == 1
    assert loaded.task_states[0] == 2
    assert loaded.task_states[7] == 0
    assert list(loaded.placements) == [TASKS_PER_CHUNK + 3]
    placement = loaded.placements[TASKS_PER_CHUNK + 3]
    assert (placement.machine, placement.session, placement.attempt) == (
        placements[TASKS_PER_CHUNK + 3].machine,
        3,
        2,
    )
    assert loaded.attempts[7] == 1
    assert loaded.attempts[TASKS_PER_CHUNK + 3] == 2


def test_full_chunk_fits_a_value_of_the_state_service() -> None:
    context = make_context(Clock())
    job = new_job(context, spec(chores=TASKS_PER_CHUNK), 0, 0)
    for t in range(TASKS_PER_CHUNK):
        index = context.machine_names.intern(f"vm-{t:06d}")
        job.placements[t] = TaskPlacement(
            index, 1000, 20, 0, context.zone_names.intern("a-zone-with-long-name")
        )
    record = JobRecord(job.spec, 0, False, encode_chunk(context, job, 0, {}, {}))
    assert len(msgspec.json.encode(record)) < 16_000


def test_large_job_is_written_in_transactions_within_the_limits() -> None:
    """Eight full chunks in one transaction exceeded the state service's 64 KiB and were always
    refused."""
    context = make_context(Clock())
    shard = JobShard(context, 0, 3, 9)
    job = new_job(context, spec(chores=TASKS_PER_CHUNK * 10), 0, 0)
    job.key_versions[0] = 1
    zone = context.zone_names.intern("a-zone-with-long-name")
    for t in range(job.spec.tasks):
        index = context.machine_names.intern(f"vm-{t:06d}")
        job.attempts[t] = 19
        job.pending_starts[t] = TaskPlacement(index, 1000, 20, 0, zone)
    transactions = 0
    while (update := shard.draft_update(job)) is not None:
        assert len(msgspec.json.encode(update.changes)) < 60_000
        assert len(update.changes) <= context.settings.settings.state.txn_ops
        transactions += 1
        shard.apply_update(update, transactions + 1)
    assert transactions == 4
    assert not job.pending_starts
    assert len(job.placements) == job.spec.tasks


def test_message_batch_is_decoded_as_encoded_and_refused_if_malformed() -> None:
    sent = [
        pb.Envelope(sender=1, snapshot=pb.Snapshot(shard=2, epoch=9)),
        pb.Envelope(empty=pb.Empty()),
    ]
    received = message_batch.decode_batch(message_batch.encode_batch(sent))
    assert received[0].snapshot.epoch == 9
    assert len(received) == 2
    for text in ("!!", "AAAA", message_batch.encode_batch(sent)[:-9]):
        with pytest.raises(ValueError, match="malformed message batch"):
            message_batch.decode_batch(text)


def test_token_bucket_keeps_its_rate_and_a_reserve_for_urgent_requests() -> None:
    clock = Clock()
    limiter = TokenBucket(10.0, 1.0, clock.now)
    ordinary = urgent = 0
    for _ in range(100):
        ordinary += limiter.take_or_delay(1.0, False) == 0.0
    for _ in range(100):
        urgent += limiter.take_or_delay(1.0, True) == 0.0
    assert 5 <= ordinary <= 7
    assert ordinary + urgent == 10
    granted = 0
    for _ in range(1000):
        clock.at += 0.01
        granted += limiter.take_or_delay(1.0, True) == 0.0
    assert 95 <= granted <= 101


def test_latency_histograms_are_reset_after_each_report() -> None:
    latencies = LatencyHistograms()
    for ms in range(1, 101):
        latencies.record("answer look", ms / 1000)
    latencies.record("wait prod", 1e9)
    first, second = latencies.lines()
    assert first == (
        "latency: operation=answer_look count=100 p50_ms=50 p90_ms=90 p99_ms=99 max_ms=100"
    )
    assert second.startswith("latency: operation=wait_prod count=1 ")
    assert latencies.lines() == []

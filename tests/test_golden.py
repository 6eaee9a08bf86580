"""Tests that stored and sent data keep their format, against recorded bytes.

The files in `tests/golden` were recorded before identifiers were renamed. They must not be changed
and don't depend on names in the code. Only the tables below do: they map each fixture to the type,
function or constant that has to match it.

messages/NAME.jsonl    encoded values, one per line; the first has every field
older/NAME.jsonl       [value in an older format that must be readable, its present encoding]
tuning/NAME.toml       tuning files, and NAME.json: all settings after the file is loaded
keys.jsonl             [function, its arguments, its result]
constants.json         paths, codes, words and prefixes of keys
log_written.jsonl      [token, changes of a commit, its key, the segment written under the key]
log_read.json          a commit log with unreadable segments, and jobs with the log replayed
peer_messages.jsonl    for each protobuf message its fields by number, and serialized samples
"""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from google.protobuf.message import Message
from google.protobuf.unknown_fields import UnknownFieldSet

from starlingdeck.admission import quota
from starlingdeck.counts import http_api, ledger
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.job_records import encode_chunk, load_job
from starlingdeck.protocol import api, config, peer_pb2
from starlingdeck.storage import commit_log, records
from tests.support.builders import Clock, make_context

MESSAGES: dict[str, Any] = {
    "state_node": records.NodeValue,
    "state_shard": records.ShardValue,
    "state_takeover": int,
    "state_note": int,
    "state_relay_part": records.RelayPart,
    "state_quota_split": list[quota.ResourceAmount],
    "state_machine_types": list[api.MachineType],
    "state_job": records.JobRecord,
    "state_chunk": records.Chunk,
    "state_final": records.FinalRecord,
    "state_count": ledger.Ledger,
    "state_count_change": ledger.LedgerChange,
    "log_change": commit_log.JobChange,
    "log_commit": commit_log.Commit,
    "log_segment": commit_log.Segment,
    "user_job": api.JobSpec,
    "user_status": api.JobStatus,
    "user_error": api.ErrorBody,
    "operator_set_count": http_api.SetCountRequest,
    "operator_count": http_api.CountInfo,
    "operator_counts": dict[str, list[http_api.CountInfo]],
    "operator_history": dict[str, list[ledger.LedgerChange]],
    "worker_report": api.Report,
    "worker_order": api.Command,
    "worker_report_reply": api.ReportReply,
    "worker_redirect": api.Redirect,
    "worker_orders": api.Commands,
    "cloud_machine_types": api.MachineTypes,
    "cloud_rent": api.RentRequest,
    "cloud_machine_names": api.MachineNames,
    "cloud_machines": api.MachineList,
    "state_service_entries": api.Entries,
    "state_service_change": api.Change,
    "state_service_transaction": api.Transaction,
    "state_service_done": api.TransactionResult,
    "state_service_failed": api.TransactionConflict,
    "state_service_lease": api.LeaseRequest,
    "state_service_lease_grant": api.LeaseGrant,
    "state_service_events": api.Events,
    "settings": config.Settings,
    "tuning": config.Tuning,
}
OLDER: dict[str, Any] = {
    **{
        name: MESSAGES[name]
        for name in (
            "state_shard",
            "state_quota_split",
            "state_machine_types",
            "state_job",
            "state_chunk",
            "state_final",
            "state_count",
            "state_count_change",
            "log_change",
            "user_job",
            "worker_report",
            "cloud_machine_types",
            "cloud_machines",
            "state_service_entries",
            "state_service_events",
            "settings",
        )
    },
    "chunk_done_part": records.CompletedBits,
}
FUNCTIONS: dict[str, Callable[..., Any]] = {
    "node": records.node_key,
    "shard": records.shard_key,
    "takeover": records.takeover_key,
    "job": records.job_key,
    "job_prefix": records.job_prefix,
    "chunk_prefix": records.chunk_prefix,
    "chunk": records.chunk_key,
    "final": records.final_key,
    "note": records.mailbox_key,
    "relay_part": records.relay_key,
    "quota_split": records.quota_key,
    "count": records.count_key,
    "count_change": records.count_change_key,
    "log_prefix": commit_log.log_prefix,
    "segment": commit_log.segment_key,
    "list_query": api.list_query,
    "watch_query": api.watch_query,
    "task": api.task_name,
    "parse_relay_part": records.parse_relay_key,
    "parse_task": api.parse_task,
    "unpack_done": records.decode_completed,
    "chunks_of": records.max_chunk_count,
}
CONSTANTS: dict[str, Any] = {
    "cluster_prefix": records.CLUSTER_PREFIX,
    "node_prefix": records.NODE_PREFIX,
    "shard_prefix": records.SHARD_PREFIX,
    "takeover_prefix": records.TAKEOVER_PREFIX,
    "note_prefix": records.MAILBOX_PREFIX,
    "relay_prefix": records.RELAY_PREFIX,
    "quota_prefix": records.QUOTA_PREFIX,
    "count_prefix": records.COUNT_PREFIX,
    "machine_types_key": records.MACHINE_TYPES_KEY,
    "tasks_of_a_chunk": records.TASKS_PER_CHUNK,
    "log_form": commit_log.SEGMENT_FORMAT,
    "log_start": records.LOG_START,
    "path_jobs": api.JOBS,
    "path_cancel": api.CANCEL,
    "path_health": api.HEALTH,
    "path_report": api.REPORT,
    "path_orders": api.COMMANDS,
    "path_counts": api.COUNTS,
    "path_count_history": http_api.HISTORY,
    "path_worker_status": api.WORKER_STATUS,
    "path_machine_types": api.MACHINE_TYPES,
    "path_machines": api.MACHINES,
    "path_machines_delete": api.MACHINES_DELETE,
    "path_entries": api.KV,
    "path_transaction": api.TXN,
    "path_leases": api.LEASES,
    "path_renew": api.RENEW,
    "path_watch": api.WATCH,
    "shapes": [api.ARRAY, api.SERVICE],
    "ranks": api.RANKS,
    "verbs": [api.START, api.STOP, api.REAP],
    "job_states": [api.QUEUED, api.RUNNING, api.DONE, api.CANCELLED],
    "machine_states": [api.BOOTING, api.FAILED],
    "task_states": api.TASK_STATE_CODES,
    "task_causes": api.CAUSE_CODES,
    "cause_names": api.CAUSE_NAMES,
}
PEER_MESSAGES: dict[str, type[Message]] = {
    "envelope": peer_pb2.Envelope,
    "nothing": peer_pb2.Empty,
    "again": peer_pb2.ResyncRequest,
    "hello": peer_pb2.Gossip,
    "shard_part": peer_pb2.ShardDemand,
    "pair_load": peer_pb2.ClassDemand,
    "count_wait": peer_pb2.ResourceWaiter,
    "count_use": peer_pb2.ResourceUse,
    "team_job": peer_pb2.TeamJob,
    "holding": peer_pb2.Ownership,
    "demand": peer_pb2.Demand,
    "quota_need": peer_pb2.QuotaNeed,
    "job": peer_pb2.Job,
    "wants": peer_pb2.DesiredState,
    "unwant": peer_pb2.RemovedTask,
    "want": peer_pb2.DesiredTask,
    "view": peer_pb2.Snapshot,
    "ack": peer_pb2.Ack,
    "machine": peer_pb2.MachineState,
    "seen": peer_pb2.ObservedTask,
    "reserve": peer_pb2.ReserveRequest,
    "spot": peer_pb2.RequestedTask,
    "reserved": peer_pb2.ReserveReply,
    "given": peer_pb2.GrantedTask,
    "forward": peer_pb2.ForwardRequest,
    "forwarded": peer_pb2.ForwardReply,
}

GOLDEN = Path(__file__).resolve().parent / "golden"
DEPLOY = GOLDEN.parent.parent / "deploy"
SHARD = 3  # of the commit log in the fixtures
VALUE_BYTES = 16 * 1024
# Arguments that decide whether an unreadable segment can hide changes of a job: the version of the
# job's record, whether the job is cancelled, and its number of chunks.
HIDING_CASES = [(1, False, 1), (10**6, False, 1), (10**6, True, 1), (10**6, False, 2)]


def lines_of(path: Path) -> list[bytes]:
    return path.read_bytes().splitlines()


def names_in(folder: str, suffix: str) -> set[str]:
    return {path.stem for path in (GOLDEN / folder).glob(f"*{suffix}")}


def as_json(value: object) -> Any:
    return msgspec.json.decode(msgspec.json.encode(value))


# --- single values


def with_one_leaf_changed(value: Any) -> Iterator[Any]:
    """Yield copies of a JSON value, each with a different leaf changed; nulls are not changed."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from ({**value, key: other} for other in with_one_leaf_changed(inner))
    elif isinstance(value, list):
        for i, inner in enumerate(value):
            yield from (
                [*value[:i], other, *value[i + 1 :]] for other in with_one_leaf_changed(inner)
            )
    elif isinstance(value, bool):
        yield not value
    elif isinstance(value, int | float):
        yield value + 1
    elif isinstance(value, str):
        yield value + "x"


def reencoded(value: bytes, kind: Any) -> bytes:
    return msgspec.json.encode(msgspec.json.decode(value, type=kind))


def reencoded_or_refused(value: bytes, kind: Any) -> bytes:
    try:
        return reencoded(value, kind)
    except msgspec.ValidationError:
        return b"refused"


def is_encoded_as_object(kind: Any) -> bool:
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    return is_struct and not kind.__struct_config__.array_like


def test_fixture_files_all_have_a_type() -> None:
    assert names_in("messages", ".jsonl") == MESSAGES.keys()
    assert names_in("older", ".jsonl") == OLDER.keys()


@pytest.mark.parametrize("name", MESSAGES)
def test_message_decoded_and_encoded_is_the_same_bytes(name: str) -> None:
    lines = lines_of(GOLDEN / "messages" / f"{name}.jsonl")
    assert lines
    for line in lines:
        assert reencoded(line, MESSAGES[name]) == line


@pytest.mark.parametrize("name", MESSAGES)
def test_message_with_any_value_changed_is_not_encoded_as_before(name: str) -> None:
    """No part of a value is ignored on decoding, as a field would be if its wire name changed."""
    for line in lines_of(GOLDEN / "messages" / f"{name}.jsonl"):
        for other in with_one_leaf_changed(msgspec.json.decode(line)):
            text = msgspec.json.encode(other)
            assert reencoded_or_refused(text, MESSAGES[name]) != line, text


@pytest.mark.parametrize("name", [n for n, kind in MESSAGES.items() if is_encoded_as_object(kind)])
def test_message_first_sample_has_every_field(name: str) -> None:
    first = msgspec.json.decode(lines_of(GOLDEN / "messages" / f"{name}.jsonl")[0])
    assert first.keys() == {f.encode_name for f in msgspec.structs.fields(MESSAGES[name])}


@pytest.mark.parametrize("name", OLDER)
def test_older_format_decoded_and_encoded_is_the_present_format(name: str) -> None:
    for line in lines_of(GOLDEN / "older" / f"{name}.jsonl"):
        older, present = msgspec.json.decode(line, type=tuple[msgspec.Raw, msgspec.Raw])
        assert reencoded(bytes(older), OLDER[name]) == bytes(present)


@pytest.mark.parametrize(
    "line", lines_of(GOLDEN / "messages" / "user_job.jsonl"), ids=("all", "least")
)
def test_submission_decoded_and_encoded_is_the_same_bytes(line: bytes) -> None:
    assert msgspec.json.encode(api.decode_job(line)) == line


@pytest.mark.parametrize(
    "line", lines_of(GOLDEN / "messages" / "worker_report.jsonl"), ids=("all", "tasks")
)
def test_report_decoded_and_encoded_is_the_same_bytes(line: bytes) -> None:
    assert msgspec.json.encode(api.decode_report(line)) == line


# --- keys and constants


@pytest.mark.parametrize("line", lines_of(GOLDEN / "keys.jsonl"), ids=bytes.decode)
def test_key_function_gives_the_same_result(line: bytes) -> None:
    name, arguments, result = msgspec.json.decode(line)
    assert as_json(FUNCTIONS[name](*arguments)) == result


def test_key_functions_are_all_called() -> None:
    lines = lines_of(GOLDEN / "keys.jsonl")
    assert {msgspec.json.decode(line)[0] for line in lines} == FUNCTIONS.keys()


def test_constants_are_the_same() -> None:
    expected = msgspec.json.decode((GOLDEN / "constants.json").read_bytes())
    assert as_json(CONSTANTS) == expected


# --- settings


@pytest.mark.parametrize("name", sorted(names_in("tuning", ".toml")))
def test_tuning_file_loaded_gives_the_same_settings(name: str) -> None:
    loaded = config.load_tuning(GOLDEN / "tuning" / f"{name}.toml")
    expected = (GOLDEN / "tuning" / f"{name}.json").read_bytes()
    assert msgspec.json.encode(loaded) + b"\n" == expected


@pytest.mark.parametrize("name", ["counts.toml", "group-commit.toml", "overload.toml"])
def test_deployed_tuning_file_loads_without_error(name: str) -> None:
    assert config.load_tuning(DEPLOY / name) != config.Tuning()


def test_settings_file_loaded_is_the_same_bytes() -> None:
    path = GOLDEN / "messages" / "settings.jsonl"
    assert lines_of(path) == [msgspec.json.encode(config.load_settings(path))]


# --- the commit log


class LoggedJob(msgspec.Struct):
    """A job in `log_read.json`: its stored record, and its state with the log replayed over it."""

    record: records.JobRecord
    chunks: dict[int, records.Chunk]
    replayed: msgspec.Raw
    done_bits: dict[int, str]
    hidden: list[bool]

    @property
    def all_chunks(self) -> dict[int, records.Chunk]:
        return {0: self.record.chunk, **self.chunks}


class LogFixture(msgspec.Struct):
    """The contents of `log_read.json`."""

    entries: list[api.Entry]
    view: Any
    jobs: dict[str, LoggedJob]


LOG = msgspec.json.decode((GOLDEN / "log_read.json").read_bytes(), type=LogFixture)


def reencoded_segment(value: bytes) -> bytes:
    """Decode a segment down to the single changes and encode it again."""
    segment = msgspec.json.decode(value, type=commit_log.Segment)
    commits = []
    for raw in segment.commits:
        commit = msgspec.json.decode(raw, type=commit_log.Commit)
        changes = [reencoded(bytes(change), commit_log.JobChange) for change in commit.changes]
        commits.append(commit_log.encode_commit(commit.position, changes))
    return bytes(commit_log.encode_segment(commits))


def log_contents_as_json(log_contents: commit_log.LogContents) -> Any:
    """Return what was read of a log as JSON, under the names of the fixture."""
    found = {
        "versions": log_contents.versions,
        "last": log_contents.newest_positions,
        "slots_of_changes": {
            job: [(logged.position, logged.slot) for logged in changes]
            for job, changes in log_contents.changes.items()
        },
        "broken_jobs": sorted(log_contents.unreadable_jobs),
        "broken_slots": sorted(log_contents.unreadable_job_slots),
        "unreadable": [(segment.slot, segment.version) for segment in log_contents.unreadable],
    }
    return as_json(found)


def test_log_read_with_damaged_segments_gives_the_same_contents() -> None:
    log_contents = commit_log.read_segments(LOG.entries)
    assert log_contents_as_json(log_contents) == LOG.view
    assert log_contents.unreadable_jobs
    assert len(log_contents.unreadable) == 2


def test_log_segments_that_can_be_read_are_written_back_as_the_same_bytes() -> None:
    log_contents = commit_log.read_segments(LOG.entries)
    bad = log_contents.unreadable_job_slots | {segment.slot for segment in log_contents.unreadable}
    good = [entry for entry in LOG.entries if int(entry.key.rsplit("/", 1)[1]) not in bad]
    assert len(good) == 3
    for entry in good:
        assert reencoded_segment(bytes(entry.value)) == bytes(entry.value)


@pytest.mark.parametrize("name", LOG.jobs)
def test_log_replayed_over_a_record_gives_the_same_chunks(name: str) -> None:
    job, log_contents = LOG.jobs[name], commit_log.read_segments(LOG.entries)
    replayed = commit_log.replay(job.all_chunks, log_contents.changes_of(name))
    assert msgspec.json.encode(replayed) == bytes(job.replayed)


@pytest.mark.parametrize("name", LOG.jobs)
def test_log_done_bits_of_a_job_are_the_same(name: str) -> None:
    job, log_contents = LOG.jobs[name], commit_log.read_segments(LOG.entries)
    stored = {number: chunk.completed_bits for number, chunk in job.all_chunks.items()}
    bits = commit_log.completed_by_chunk(stored, log_contents.changes_of(name))
    assert {number: f"{one:x}" for number, one in bits.items()} == job.done_bits


@pytest.mark.parametrize("name", LOG.jobs)
def test_log_damaged_segments_hide_the_same_jobs(name: str) -> None:
    log_contents = commit_log.read_segments(LOG.entries)
    assert [bool(log_contents.incomplete_reason(name, *case)) for case in HIDING_CASES] == LOG.jobs[
        name
    ].hidden


def test_log_written_with_the_same_changes_has_the_same_keys_and_bytes() -> None:
    """The log is written by two owners in turn: the second starts at the next slot of the ring."""
    stored: dict[str, api.Entry] = {}
    names = list(LOG.jobs)
    log: CommitLog | None = None
    for line in lines_of(GOLDEN / "log_written.jsonl"):
        token, raw_changes, key, value = msgspec.json.decode(
            line, type=tuple[int, list[msgspec.Raw], str, msgspec.Raw]
        )
        if log is None or log.token != token:
            log = adopted_log(token, stored, names)
        encoded = [bytes(raw) for raw in raw_changes]
        changes = [msgspec.json.decode(raw, type=commit_log.JobChange) for raw in encoded]
        commit = log.prepare(changes, encoded, [names.index(change.job) for change in changes])
        assert (commit.key, bytes(commit.value)) == (key, bytes(value))
        log.on_written(commit, commit.version + 1)
        stored[key] = api.Entry(key, commit.value, commit.version + 1)
    assert len(stored) == 3


def adopted_log(token: int, stored: dict[str, api.Entry], names: list[str]) -> CommitLog:
    """Return a new owner's log, none of whose changes are in the jobs' records yet."""
    log = CommitLog(SHARD, token, VALUE_BYTES)
    log_contents = commit_log.read_segments(stored.values())
    log.adopt(log_contents)
    for index, name in enumerate(names):
        log.adopt_job(index, name, {}, log_contents.changes_of(name))
    return log


@pytest.mark.parametrize("name", LOG.jobs)
def test_job_loaded_from_its_record_is_stored_as_the_same_chunks(name: str) -> None:
    stored, context = LOG.jobs[name], make_context(Clock())
    job = load_job(context, SHARD, stored.record, stored.chunks)
    for number, chunk in stored.all_chunks.items():
        assert encode_chunk(context, job, number, {}, {}, chunk.applied_position) == chunk


# --- messages between controllers


class PeerSample(msgspec.Struct):
    """A serialized message in hex, and its values by field number."""

    serialized: str
    holds: Any


class PeerFixture(msgspec.Struct):
    """A line of `peer_messages.jsonl`."""

    message: str
    fields: list[Any]
    samples: list[PeerSample]


PEER_FIXTURES = [
    msgspec.json.decode(line, type=PeerFixture) for line in lines_of(GOLDEN / "peer_messages.jsonl")
]
PEER_NAMES = {kind.DESCRIPTOR.full_name: name for name, kind in PEER_MESSAGES.items()}
each_peer_message = pytest.mark.parametrize("fixture", PEER_FIXTURES, ids=lambda f: f.message)


def field_row(field: Any) -> list[Any]:
    """Return a field's number, type, whether it is repeated, its message type and its oneof."""
    inner, oneof = field.message_type, field.containing_oneof
    return [
        field.number,
        field.type,
        field.is_repeated,
        PEER_NAMES[inner.full_name] if inner is not None else None,
        oneof.index if oneof is not None else None,
    ]


def value_by_number(value: Any) -> Any:
    if isinstance(value, Message):
        return message_by_number(value)
    return value.hex() if isinstance(value, bytes) else value


def message_by_number(message: Message) -> dict[str, Any]:
    """Return a message's values by field number. Fails if the message has unknown fields."""
    assert not len(UnknownFieldSet(message))
    return {
        str(field.number): [value_by_number(one) for one in value]
        if field.is_repeated
        else value_by_number(value)
        for field, value in message.ListFields()
    }


def test_peer_messages_all_have_fixtures() -> None:
    assert {fixture.message for fixture in PEER_FIXTURES} == PEER_MESSAGES.keys()
    assert len(PEER_NAMES) == len(peer_pb2.DESCRIPTOR.message_types_by_name)


@each_peer_message
def test_peer_message_fields_have_the_same_numbers_and_types(fixture: PeerFixture) -> None:
    fields = PEER_MESSAGES[fixture.message].DESCRIPTOR.fields
    assert sorted(field_row(field) for field in fields) == fixture.fields


@each_peer_message
def test_peer_message_parsed_and_serialized_is_the_same_bytes(fixture: PeerFixture) -> None:
    for sample in fixture.samples:
        data = bytes.fromhex(sample.serialized)
        message = PEER_MESSAGES[fixture.message].FromString(data)
        assert message_by_number(message) == sample.holds
        assert message.SerializeToString(deterministic=True) == data


@each_peer_message
def test_peer_message_samples_have_every_field(fixture: PeerFixture) -> None:
    numbers = {int(number) for sample in fixture.samples for number in sample.holds}
    assert numbers == {row[0] for row in fixture.fields}

"""The test doubles: they follow the protocol and refuse what it refuses."""

from typing import Any

import curio
import msgspec
import pytest

from standins import workload
from standins.agent import Agent, Identity
from standins.limits import RateLimiter, StateLimits
from standins.state import StateService
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request

JOB = workload.job_id(workload.ARRAY, 7, 10.0, 1)
TASK = f"{JOB}/0"

# --- simulated workers follow the protocol

START, STOP, REAP = api.START, api.STOP, api.REAP
COMMANDS: list[tuple[str, list[tuple[str, int]], list[tuple[int, str, str | None]]]] = [
    ("start", [(START, 1)], [(1, "fetching", None)]),
    ("repeated", [(START, 1), (START, 1)], [(1, "fetching", None)]),
    ("another attempt while it runs", [(START, 1), (START, 2)], [(1, "fetching", None)]),
    ("stopped", [(START, 1), (STOP, 1)], [(1, "exited", "halted")]),
    ("another attempt after", [(START, 1), (STOP, 1), (START, 2)], [(2, "fetching", None)]),
    ("the former attempt stopped", [(START, 1), (STOP, 0)], [(1, "fetching", None)]),
    ("reaped", [(START, 1), (STOP, 1), (REAP, 1)], []),
    ("not reaped while it runs", [(START, 1), (REAP, 1)], [(1, "fetching", None)]),
]


def agent(slots: int = 1) -> Agent:
    return Agent(Identity("vm-1", "127.0.0.1:1", "t", "a"), 0.0, lambda _, live: live < slots)


@pytest.mark.parametrize(
    ("commands", "left"), [c[1:] for c in COMMANDS], ids=[c[0] for c in COMMANDS]
)
def test_executed_commands_leave_the_expected_attempts(
    commands: list[tuple[str, int]], left: list[tuple[int, str, str | None]]
) -> None:
    worker = agent()
    worker.execute([api.Command(op, TASK, attempt) for op, attempt in commands])
    assert [(t.attempt, t.state, t.exit_cause) for t in worker.tasks.values()] == left


def test_a_start_on_a_full_machine_exits_with_the_cause_full() -> None:
    worker = agent()
    other = f"{JOB}/1"
    worker.execute([api.Command(START, TASK, 1), api.Command(START, other, 1)])
    assert worker.tasks[other].exit_cause == "full"


@pytest.mark.parametrize(
    ("token", "session", "accepted"), [(5, 1, True), (6, 1, True), (4, 1, False), (5, 2, False)]
)
def test_commands_and_replies_need_a_current_token_and_the_same_session(
    token: int, session: int, accepted: bool
) -> None:
    worker = agent()
    worker.token = 5
    start = [api.Command(START, TASK, 1)]
    assert (worker.handle_commands(api.Commands(token, session, start)) is not None) == accepted
    assert bool(worker.tasks) == accepted
    other_worker = agent()
    other_worker.token = 5
    assert (
        other_worker.handle_report_reply(api.ReportReply(token, start), session, 9.0) is not None
    ) == accepted
    assert other_worker.lease_renewed_at == (9.0 if accepted else 0.0)


def test_an_expired_lease_ends_the_session_and_all_tasks() -> None:
    worker = agent()
    worker.execute([api.Command(START, TASK, 1)])
    assert worker.expire_lease(10.0, 10.0) == []
    assert worker.session == 1
    assert worker.expire_lease(10.1, 10.0) == [TASK]
    assert worker.session == 2
    assert not worker.tasks
    sequence = worker.build_report().seq
    assert worker.build_report().seq == sequence + 1


# --- the state service refuses what the protocol refuses


def post(state: StateService, conditions: dict[str, int], changes: list[dict[str, Any]]) -> int:
    when = [{"k": key, "stamp": version} for key, version in conditions.items()]
    body = msgspec.json.encode({"when": when, "apply": changes})
    reply = curio.run(state.handle, Request("POST", api.TXN, body))
    return int(reply.status)


def puts(count: int, size: int = 1, prefix: str = "a/") -> list[dict[str, Any]]:
    return [{"set": f"{prefix}{i:05d}", "value": "x" * size} for i in range(count)]


@pytest.mark.parametrize(
    ("limits", "conditions", "changes", "status"),
    [
        (StateLimits(), 0, puts(50), 200),
        (StateLimits(txn_ops=12), 0, puts(12), 200),
        (StateLimits(txn_ops=12), 0, puts(13), 400),
        (StateLimits(txn_ops=12), 48, puts(1), 200),
        (StateLimits(txn_ops=12), 49, puts(1), 400),
        (StateLimits(value_kb=1), 0, puts(1, 1000), 200),
        (StateLimits(value_kb=1), 0, puts(1, 1100), 400),
        (StateLimits(), 0, puts(5, 14_000), 400),
        (StateLimits(write_rps=10), 0, puts(10), 200),
        (StateLimits(write_rps=10), 0, puts(11), 429),
    ],
)
def test_a_transaction_is_applied_only_within_the_limits(
    limits: StateLimits, conditions: int, changes: list[dict[str, Any]], status: int
) -> None:
    state = StateService(limits)
    assert post(state, {f"c/{i}": 0 for i in range(conditions)}, changes) == status
    assert bool(state.entries) == (status == 200)


def test_requests_over_the_rate_are_refused_and_counted() -> None:
    state = StateService(StateLimits(rps=3))
    found = [curio.run(state.handle, Request("GET", f"{api.KV}/a", b"")).status for _ in range(5)]
    assert found == [404, 404, 404, 429, 429]
    assert state.stats.over_rate == 2


def test_a_rate_limiter_allows_a_burst_of_its_seconds_worth() -> None:
    limiter = RateLimiter(5.0, 2.0)
    assert [limiter.take() for _ in range(11)] == [True] * 10 + [False]


def test_pages_of_a_list_are_limited_by_count_and_by_bytes() -> None:
    state = StateService(StateLimits())
    for first in range(0, 1500, 50):
        changes = [{"set": f"a/{first + i:05d}", "value": 1} for i in range(50)]
        assert post(state, {}, changes) == 200
    assert post(state, {}, puts(60, 1000, "b/")) == 200
    for number in range(11):
        large_puts = puts(60, 1000, f"b/{number:02d}")
        assert post(state, {}, large_puts) == 200

    def page(query: str) -> api.Entries:
        reply = curio.run(state.handle, Request("GET", f"{api.KV}?{query}", b""))
        return msgspec.json.decode(reply.body, type=api.Entries)

    first_page = page("prefix=a/")
    assert len(first_page.items) == 1000
    assert first_page.more
    rest = page(f"prefix=a/&after={first_page.items[-1].key}")
    assert len(rest.items) == 500
    assert not rest.more
    large = page("prefix=b/")
    assert large.more
    assert 400 < len(large.items) < 700


def test_a_transaction_with_a_failed_condition_changes_nothing() -> None:
    state = StateService(StateLimits())
    assert post(state, {"a/00000": 0}, puts(1)) == 200
    assert post(state, {"a/00000": 0}, puts(2)) == 409
    assert len(state.entries) == 1
    assert state.stats.refused == 1


def test_keys_are_deleted_with_their_lease_and_watches_report_it() -> None:
    state = StateService(StateLimits())

    async def expire_during_watch() -> tuple[int, list[str | None]]:
        lease_request = Request("POST", api.LEASES, msgspec.json.encode({"life_ms": 100}))
        lease = msgspec.json.decode((await state.handle(lease_request)).body)["permit"]
        changes = [{"set": "c/n", "value": 1, "permit": lease}]
        body = msgspec.json.encode({"when": [], "apply": changes})
        await state.handle(Request("POST", api.TXN, body))
        expiry = await curio.spawn(state.expire_leases, daemon=True)
        query = f"{api.WATCH}?prefix=c/&after={state.revision}&block_ms=3000"
        watched = msgspec.json.decode((await state.handle(Request("GET", query, b""))).body)
        await expiry.cancel()
        return len(state.entries), [event.get("delete") for event in watched["events"]]

    assert curio.run(expire_during_watch) == (0, ["c/n"])


# --- the workload


@pytest.mark.parametrize("kind", [workload.ARRAY, workload.SERVICE, workload.ONE_TASK])
def test_a_job_id_encodes_the_kind_team_and_run_time(kind: int) -> None:
    name = workload.job_id(kind, 339, 12.5, 42)
    assert api.JOB_ID_PATTERN.fullmatch(name)
    description = workload.parse_job_id(name)
    assert (description.kind, description.team, description.service) == (
        kind,
        339,
        kind == workload.SERVICE,
    )
    if not description.service:
        run_times_s = [workload.task_run_s(f"{name}/{i}") for i in range(200)]
        assert 12.5 * 0.7 <= min(run_times_s) < max(run_times_s) <= 12.5 * 1.3
        assert run_times_s == [workload.task_run_s(f"{name}/{i}") for i in range(200)]

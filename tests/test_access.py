"""Rights, signatures and nonces: pure decisions, each against a plain model or altered at will."""

from typing import Any

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.access import rights, signing
from starlingdeck.access.nonces import Answer, Nonces, owner
from starlingdeck.access.rights import ACTIONS, Queue
from starlingdeck.access.signing import Key, Refused
from starlingdeck.protocol.settings import Fault

RULES = """
role indexers = ana, index-bot  # who builds indexes
role notary = cid

allow indexers submit, cancel on arhiv-team, lan-team/scan
allow @everyone show on *
deny  @everyone cancel on arhiv-team/notary
allow notary * on arhiv-team/notary
deny bor show on lan-team
"""


@pytest.mark.parametrize(
    ("who", "action", "queue", "line"),
    [
        ("ana", "submit", Queue("arhiv-team", "index"), 5),
        ("ana", "submit", Queue("lan-team", "scan"), 5),
        ("ana", "submit", Queue("lan-team", "other"), 0),
        ("ana", "cancel", Queue("arhiv-team", "notary"), -7),
        ("cid", "cancel", Queue("arhiv-team", "notary"), 8),
        ("cid", "cancel", Queue("arhiv-team", "index"), 0),
        ("bor", "show", Queue("arhiv-team"), 6),
        ("bor", "show", Queue("lan-team", "scan"), -9),
        ("bor", "set-count", Queue(), 0),
        ("indexers", "submit", Queue("arhiv-team"), 5),
    ],
)
def test_the_last_rule_that_matches_decides(who: str, action: str, queue: Queue, line: int) -> None:
    decision = rights.parse(RULES, 4).decide(who, action, queue)
    assert (decision.allowed, decision.line, decision.rev) == (line > 0, abs(line), 4)


def test_every_fault_is_told_with_line_and_column() -> None:
    text = "allow ana show on *\nallow ana fly, show on x\npermit ana show on *\nrole a = b\n"
    text += "role a = c\nallow ana show on\nallow ana show on a/b/c\nallow ana show to b\n"
    with pytest.raises(Fault) as fault:
        rights.parse(text)
    places = [line.split(":")[0] for line in fault.value.lines]
    assert places == [
        "line 2, column 11",
        "line 3, column 1",
        "line 5, column 6",
        "line 6, column 18",
        "line 7, column 22",
        "line 8, column 16",
    ]


NAMES = st.sampled_from(["ana", "bor", "team", "on", "allow", "role"])
QUEUES = st.sampled_from(["*", "arhiv", "lan", "arhiv/index", "lan/scan"])
LINES = st.tuples(
    st.sampled_from(["allow", "deny"]),
    st.one_of(NAMES, st.just("@everyone")),
    st.lists(st.sampled_from(ACTIONS), min_size=1, max_size=3),
    st.lists(QUEUES, min_size=1, max_size=2),
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(LINES, max_size=6), NAMES, st.sampled_from(ACTIONS),
       st.sampled_from(["arhiv/index", "lan/scan", "lan/other"]))  # fmt: skip
def test_decisions_are_those_of_the_plain_model(
    lines: list[Any], who: str, action: str, queue: str
) -> None:
    text = "role team = ana\n"
    wanted = (False, 0)
    for number, (verdict, subject, actions, queues) in enumerate(lines, 2):
        text += f"{verdict} {subject} {', '.join(actions)} on {', '.join(queues)}\n"
        mine = subject in ("@everyone", who) or (subject, who) == ("team", "ana")
        if (
            mine
            and action in actions
            and any(q in ("*", queue, queue.split("/")[0]) for q in queues)
        ):
            wanted = (verdict == "allow", number)
    found = rights.parse(text).decide(who, action, Queue(*queue.split("/")))
    assert (found.allowed, found.line) == wanted


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.text(st.sampled_from("allow deny on*/,=@#\tx-é\x00\u2028"), max_size=40))
def test_whatever_is_written_is_rules_or_faults(text: str) -> None:
    try:
        rights.parse(text)
    except Fault as fault:
        assert all(line.startswith("line ") for line in fault.lines)


PRIVATE = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))
SECRET = b"s" * 32
KEYS = {
    "ed": Key("ed", "ana", public=PRIVATE.public_key().public_bytes_raw()),
    "mac": Key("mac", "bor", secret=SECRET),
    "late": Key("late", "ana", secret=SECRET, not_before_ms=2_000_000),
    "old": Key("old", "ana", secret=SECRET, not_after_ms=999_999),
    "gone": Key("gone", "ana", secret=SECRET, revoked=True),
    "empty": Key("empty", "ana"),
}
NOW, NONCE, SKEW = 1_000_000, "abcdefghijklmnop", 250


def ask(key: str, private: Any, at: int = NOW, **other: Any) -> signing.Signed:
    """Sign one request and show another, `other` saying how they differ."""
    header = signing.sign(key, private, "POST", "/v2/runs?x=1", at, NONCE, b"body")
    header = other.get("header", lambda h: h)(header)
    shown = (other.get("method", "POST"), other.get("target", "/v2/runs?x=1"))
    return signing.verify(header, KEYS, *shown, other.get("body", b"body"), NOW, SKEW)


@pytest.mark.parametrize(("key", "private"), [("ed", PRIVATE), ("mac", SECRET)])
def test_a_signature_holds_for_exactly_what_was_signed(key: str, private: Any) -> None:
    assert ask(key, private).principal == KEYS[key].principal
    header = signing.sign(key, private, "POST", "/v2/runs?x=1", NOW, NONCE, b"body")
    for i, letter in enumerate(header):
        other = header[:i] + ("A" if letter != "A" else "B") + header[i + 1 :]
        with pytest.raises(Refused):
            ask(key, private, header=lambda _, other=other: other)
    for changed in ({"method": "GET"}, {"target": "/v2/runs"}, {"body": b"bodY"}, {"body": b""}):
        with pytest.raises(Refused):
            ask(key, private, **changed)


@pytest.mark.parametrize(
    ("key", "private", "at"),
    [
        ("late", SECRET, NOW),
        ("old", SECRET, NOW),
        ("gone", SECRET, NOW),
        ("empty", PRIVATE, NOW),
        ("empty", b"", NOW),
        ("none", SECRET, NOW),
        ("mac", PRIVATE, NOW),
        ("ed", KEYS["ed"].public, NOW),
        ("mac", SECRET, NOW + SKEW + 1),
        ("mac", SECRET, NOW - signing.WINDOW_MS - SKEW - 1),
    ],
)
def test_what_was_not_signed_by_a_valid_key_in_time_is_refused(
    key: str, private: Any, at: int
) -> None:
    with pytest.raises(Refused):
        ask(key, private, at)


def test_the_edges_of_the_window_are_inside_and_no_secret_is_printed() -> None:
    assert ask("mac", SECRET, NOW + SKEW).time_ms == NOW + SKEW
    assert ask("mac", SECRET, NOW - signing.WINDOW_MS - SKEW)
    assert "sss" not in repr(KEYS["mac"]) and "sss" not in f"{KEYS}"
    with pytest.raises(Refused):
        signing.covered("a", "GET", "/x\n", NOW, NONCE, b"")


CLOCKS = st.lists(st.integers(-SKEW // 2, SKEW // 2), min_size=3, max_size=3)
STEPS = st.lists(
    st.tuples(st.sampled_from(["ask", "ask", "ask", "replay", "crash"]), st.integers(0, 2),
              st.sampled_from([0, 0, 50, 200, 1000, 29_900, 30_150]), st.integers(0, 9)),
    max_size=30,
)  # fmt: skip


@settings(derandomize=True, max_examples=600, deadline=None)
@given(CLOCKS, STEPS)
def test_no_replay_is_taken_whoever_held_the_shard(
    clocks: list[int], steps: list[tuple[str, int, int, int]]
) -> None:
    """True time, three holders whose clocks are off, and users whose clocks are off by more."""
    now, holder = 10_000_000, 0
    memory = Nonces(now - 100_000, signing.WINDOW_MS, SKEW)
    taken: list[tuple[int, str]] = []
    for step, (verb, who, passed, pick) in enumerate(steps):
        now += passed
        if verb == "crash":
            holder = who
            memory = Nonces(now + clocks[who], signing.WINDOW_MS, SKEW)
            continue
        time_ms, nonce = now + (pick - 4) * SKEW // 2, f"nonce-{step}"
        if verb == "replay" and taken:
            time_ms, nonce = taken[pick % len(taken)]
        verifier = now + clocks[who]
        if not -SKEW <= verifier - time_ms <= signing.WINDOW_MS + SKEW:
            continue
        answer = memory.take("k", nonce, time_ms, now + clocks[holder])
        if answer is Answer.NEW:
            assert (time_ms, nonce) not in taken
            taken.append((time_ms, nonce))
    assert len(memory.seen) == len(memory.ends) <= len(taken)


def test_a_full_memory_refuses_rather_than_forgets() -> None:
    memory = Nonces(0, 1000, 0, most=2)
    assert [memory.take("k", n, 500, 500) for n in "abca"] == [
        Answer.NEW,
        Answer.NEW,
        Answer.FULL,
        Answer.SEEN,
    ]
    assert memory.take("k", "c", 1501, 1501) is Answer.NEW  # what the window has passed is gone
    assert {owner("k", f"n{i}", 3) for i in range(20)} == {0, 1, 2}

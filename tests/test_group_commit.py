"""The model of the invariants and simulated concurrent failures, with the commit log enabled."""

from typing import Any

import pytest

from starlingdeck.api.stored_status import StoredStatusReader
from starlingdeck.jobs import commit_log
from starlingdeck.storage.commit_log import LOG_PREFIX
from tests.support import builders
from tests.support.reference_model import Broken, Model
from tests.support.simulated_cluster import Deck, play
from tests.test_concurrent_failures import (
    MEETINGS,
    WORLDS,
    check_meetings,
    live_meeting,
    of_shard,
    start_trouble,
)
from tests.test_read_consistency import ask_all, counts_while_writing, staggered

Patch = pytest.MonkeyPatch


@pytest.fixture(autouse=True)
def logged(monkeypatch: Patch) -> None:
    monkeypatch.setattr(builders, "tuning", builders.LOGGED)


def small_ring(monkeypatch: Patch) -> None:
    """So that slots are reused, and records rewritten for it, within a short simulation."""
    monkeypatch.setattr(commit_log, "MAX_SLOTS", 8)
    monkeypatch.setattr(commit_log, "CHECKPOINT_SLOTS", 3)
    monkeypatch.setattr(commit_log, "SLOTS_FOR_ENDS", 2)
    monkeypatch.setattr(commit_log, "FULL_SEGMENT_BYTES", 200)


@pytest.mark.parametrize("first", [100, 110])
def test_the_rules_hold_whatever_is_lost_or_late(monkeypatch: Patch, first: int) -> None:
    small_ring(monkeypatch)
    starts, segments = 0, 0
    for seed in range(first, first + 10):
        model = Model(seed, trouble=0.15)
        for _ in range(1500):
            model.step()
        starts += model.starts
        segments += sum(key.startswith(LOG_PREFIX) for key in model.state.keys)
    assert starts > 60
    assert segments > 60


@pytest.mark.parametrize("meeting", [name for n, name in enumerate(MEETINGS) if n % 4 == 1])
def test_meeting(monkeypatch: Patch, meeting: str) -> None:
    small_ring(monkeypatch)
    deck = Deck(7, **WORLDS.get(meeting, {}))
    deck.crowded = meeting.startswith("more work than room")
    play(monkeypatch, deck, live_meeting(deck, MEETINGS[meeting]))
    assert any(key.startswith(LOG_PREFIX) for key in deck.state.keys)


def test_no_rule_breaks_where_troubles_meet(monkeypatch: Patch) -> None:
    small_ring(monkeypatch)
    check_meetings(monkeypatch)


@pytest.mark.parametrize("trouble", ["lost", "slow"])
def test_no_count_falls_while_a_commit_is_under_way(monkeypatch: Patch, trouble: str) -> None:
    """Others answer from the record and the log while the owner's commit has no answer yet."""
    counts = counts_while_writing(monkeypatch, trouble)
    assert counts[0] < counts[-1]


def test_others_do_not_report_what_the_record_alone_says(monkeypatch: Patch) -> None:
    """Commits are ahead of the record: by that alone the count fell as soon as the owner was
    unreachable. The simulation detects it when the log is ignored."""

    async def nothing(*_: Any) -> list[Any]:
        return []

    deck = Deck(5)

    async def drive() -> None:
        name = of_shard(0)
        await staggered(deck, name)
        await deck.run(4.0)
        await ask_all(deck, name)
        assert deck.done[name] > 0
        start_trouble(deck, "apart", 0)
        await ask_all(deck, name)
        with monkeypatch.context() as patch:
            patch.setattr(StoredStatusReader, "_log_changes", nothing)
            with pytest.raises(Broken, match="went_back"):
                await ask_all(deck, name)
        deck.calm()

    play(monkeypatch, deck, drive())

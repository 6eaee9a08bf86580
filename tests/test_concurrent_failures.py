"""Two troubles at once: the table of meetings is in docs/design/meetings.md."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingdeck.cluster.sharding import shard_of_job, shard_of_machine
from starlingdeck.interning import task_key
from starlingdeck.jobs import job_shard
from starlingdeck.jobs.job import new_job
from starlingdeck.machines.commands import MAX_UNANSWERED_COMMANDS
from starlingdeck.machines.machine import DesiredTask, PendingLaunch
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import OutcomeUnknownError, put_change
from tests.support.builders import spec
from tests.support.simulated_cluster import CANCEL_S, FORGOTTEN_S, Deck, play


def of_shard(shard: int, number: int = 0) -> str:
    """A job's name that belongs to a shard of three."""
    names = (f"j-{i:06d}" for i in range(1000))
    return [n for n in names if shard_of_job(n, 3) == shard][number]


async def spread_job(deck: Deck, shard: int, lasts_s: float) -> str:
    """A job of a shard that runs on machines of all three."""
    await deck.run(4.0)
    name = of_shard(shard)
    await deck.beside(deck.submit, name, 12, lasts_s)
    await deck.run(8.0)
    assert {shard_of_machine(w, "a", deck.zones) for w, _ in deck.live(name)} == {0, 1, 2}
    return name


@pytest.mark.parametrize("gap_s", [0.2, 3.0, 8.0, 14.0])
@pytest.mark.parametrize("twist", ["alone", "reading", "crashed", "back"])
def test_a_refused_holder_then_an_outage_longer_than_a_cancellation(
    monkeypatch: pytest.MonkeyPatch, gap_s: float, twist: str
) -> None:
    """The state service refuses a job's holder alone, another controller confirms a cancellation,
    then it is out for all. The owners of machines renewed for a fixed time after their own last
    renewal, which may be long after the confirmation, while whoever took the shard over still
    read it, or had crashed: the list with the cancellation never came."""
    deck = Deck(int(gap_s * 10))

    async def drive() -> None:
        name = await spread_job(deck, 0, 500.0)
        deck.clients[0].cut = True
        for client in deck.clients:
            if twist in ("reading", "crashed"):
                client.blind.add("j/0/")
        await deck.beside(deck.cancel, name, (1, 2))
        while name not in deck.told:
            await deck.run(0.1)
        await deck.run(gap_s)
        deck.outage(True)
        if twist == "crashed":
            deck.crash(1, 6.0)
        await deck.run(12.0)
        deck.clients[0].cut = twist != "back"
        await deck.run(CANCEL_S + 8.0)
        assert not deck.live(name)
        deck.outage(False)
        for client in deck.clients:
            client.cut = False
            client.blind.clear()
        await deck.run(20.0)
        assert not deck.live(name)

    play(monkeypatch, deck, drive())


def start_trouble(deck: Deck, kind: str, number: int) -> None:
    """Each kind of the operators' page, on one controller or on some machines; twice: over."""
    client, others = deck.clients[number], [i for i in range(3) if i != number]
    some = [w for i, w in enumerate(deck.workers.values()) if i % 3 == number]
    if kind == "refuse":
        client.cut = not client.cut
    elif kind == "outage":
        deck.outage(not deck.state.down)
    elif kind == "apart":
        deck.apart ^= {frozenset((number, i)) for i in others}
    elif kind == "cut":
        client.cut = not client.cut
        deck.apart ^= {frozenset((number, i)) for i in others}
    elif kind == "crash" and number not in deck.down:
        deck.crash(number, deck.rng.choice([0.2, 6.0]))
    elif kind == "all crash":
        for i in range(3):
            if i not in deck.down:
                deck.crash(i, 0.2 if i == number else 6.0)
    elif kind == "deaf":
        for worker in some:
            worker.deaf = not worker.deaf
    elif kind == "off":
        deck.off ^= {(number, w.name) for w in deck.workers.values()}
    elif kind == "late writes":
        for each in deck.clients:
            each.late = 0.0 if each.late else 0.2
    elif kind == "late reports":
        deck.copied = 0.0 if deck.copied else 0.3
    elif kind == "held":
        deck.held = 0.0 if deck.held else 0.3
    elif kind == "lost":
        for each in deck.clients:
            each.lost = 0.0 if each.lost else 0.3
    elif kind == "slow":
        for each in deck.clients:
            each.slow_s = 0.0 if each.slow_s else 0.8
    elif kind == "reading":
        for each in deck.clients:
            each.blind ^= {f"j/{number}/"}
    elif kind == "next reports":
        deck.keeps = 0.0 if deck.keeps else 0.3
    elif kind == "mute":
        for worker in some:
            worker.mute = not worker.mute
    elif kind == "hang":
        for worker in some:
            worker.hung = not worker.hung
    elif kind == "zone":
        cut_zone(deck, deck.zones[number])
    elif kind == "reborn":
        for worker in some:
            worker.reborn(deck.clock.at)
    elif kind == "boot":
        deck.boot(number)
    elif kind == "all away":
        for i in range(3):
            if i not in deck.down:
                deck.crash(i, 14.0 + i)
    elif kind == "looks":
        deck.looks = 0.0 if deck.looks else 0.5
    elif kind == "lag":
        deck.lag_s = 0.0 if deck.lag_s else 1.0
    elif kind == "odd":
        deck.odd_asked = not deck.odd_asked
    elif kind == "cancel at end":
        deck.at_end = 0.0 if deck.at_end else 0.5
    elif kind in ("cancel", "cancel and hang"):
        job = next(
            (n.split("/")[0] for _, n, _ in deck.tasks() if n.split("/")[0] not in deck.asked), ""
        )
        if job and kind == "cancel and hang":
            for worker, _, _ in deck.tasks(job):
                worker.hung = True
        if job:
            deck.calls.append((job, number))
    elif kind == "go on":
        for worker in deck.workers.values():
            worker.hung = False


def cut_zone(deck: Deck, zone: str) -> None:
    """All that is in a zone reaches each other and nothing else; twice: over."""
    inside = [i for i, z in enumerate(deck.zones) if z == zone]
    for i in range(len(deck.zones)):
        deck.apart ^= {frozenset((i, j)) for j in inside if i not in inside}
        deck.off ^= {
            (i, w.name) for w in deck.workers.values() if (w.zone == zone) != (i in inside)
        }
    for i in inside:
        deck.clients[i].cut = not deck.clients[i].cut
    deck.shut ^= set(inside)


async def told_all(deck: Deck, names: list[str], within_s: float = 150.0) -> None:
    """All troubles are over: users ask on until each job has come to its end, and are answered."""
    deck.calm()
    over = deck.clock.at
    while any(n not in deck.told for n in names):
        assert deck.clock.at - over < within_s, [n for n in names if n not in deck.told]
        await deck.poll(names)
        await deck.run(2.0)
        for name in deck.known:
            quiet = deck.clock.at - max(over, deck.heard[name])
            assert quiet < FORGOTTEN_S, f"forgotten: {name}"


# When, in seconds, which trouble begins or ends, and where.
Script = list[tuple[float, str, int]]
MEETINGS: dict[str, Script] = {
    "a holder cut from state service and peers": [(0.0, "cut", 0), (25.0, "cut", 0)],
    "the same, back before its lease ends": [(0.0, "cut", 0), (1.5, "cut", 0), (3.0, "cut", 0)],
    "a holder ends while machines can't be reached": [
        (0.0, "off", 0), (0.0, "off", 1), (0.0, "off", 2), (0.5, "crash", 0),
        (7.0, "off", 0), (7.0, "off", 1), (7.0, "off", 2),
    ],
    "a holder ends while machines hear nothing": [
        (0.0, "deaf", 0), (0.0, "deaf", 1), (0.5, "crash", 0), (14.0, "deaf", 0), (14.0, "deaf", 1),
    ],
    "answers come late, then one is refused, then all": [
        (0.0, "late writes", 0), (6.0, "refuse", 0), (9.0, "outage", 0), (54.0, "outage", 0),
        (55.0, "late writes", 0),
    ],
    "commands held up in a cancellation and a takeover": [
        (0.0, "held", 0), (3.0, "crash", 0), (20.0, "held", 0),
    ],
    "commands held up in an outage": [(0.0, "held", 0), (2.0, "outage", 0), (22.0, "outage", 0)],
    "transactions carried out late in takeovers": [
        (0.0, "late writes", 0), (2.0, "cut", 0), (8.0, "cut", 0), (10.0, "cut", 1),
        (16.0, "cut", 1), (20.0, "late writes", 0),
    ],
    "old reports after a change of holder and session": [
        (0.0, "late reports", 0), (1.0, "crash", 0), (4.0, "off", 1), (18.0, "off", 1),
        (24.0, "crash", 1), (30.0, "late reports", 0),
    ],
    "all end, one is back at once": [
        (0.0, "late writes", 0), (0.5, "all crash", 1), (9.0, "all crash", 0),
        (12.0, "late writes", 0),
    ],
    "handed over and back within seconds": [
        (0.0, "refuse", 0), (2.8, "refuse", 0), (5.0, "refuse", 1), (7.8, "refuse", 1),
        (8.0, "refuse", 0), (10.8, "refuse", 0),
    ],
    "close questions": [(0.0, "looks", 0), (3.0, "cancel", 1), (30.0, "looks", 0)],
    "close questions while holders change": [
        (0.0, "looks", 0), (1.0, "refuse", 0), (2.0, "cancel", 0), (5.0, "refuse", 0),
        (6.0, "crash", 1), (7.0, "cancel", 1), (9.0, "cut", 2), (12.0, "cut", 2),
        (25.0, "looks", 0),
    ],
    "close questions, slowly answered": [
        (0.0, "looks", 0), (0.0, "slow", 0), (2.0, "apart", 0), (3.0, "cancel", 2),
        (5.0, "cancel", 0), (12.0, "apart", 0), (24.0, "slow", 0), (25.0, "looks", 0),
    ],
    "only answers lost, while others read": [
        (0.0, "lost", 0), (0.0, "looks", 0), (0.0, "apart", 0), (3.0, "cancel", 1),
        (6.0, "apart", 0), (7.0, "apart", 1), (9.0, "cancel", 0), (14.0, "apart", 1),
        (20.0, "lost", 0), (21.0, "looks", 0),
    ],
    "only answers lost, in takeovers": [
        (0.0, "lost", 0), (0.0, "looks", 0), (1.0, "refuse", 0), (4.0, "refuse", 0),
        (5.0, "crash", 1), (6.0, "cancel", 2), (14.0, "crash", 0), (26.0, "lost", 0),
        (26.0, "looks", 0),
    ],
    "at their limit, cancelled where machines are cut off, the holder ends": [
        (0.0, "off", 0), (0.0, "off", 1), (0.0, "off", 2), (0.2, "cancel", 1),
        (0.4, "cancel", 2), (1.0, "crash", 0), (3.0, "cancel", 1), (16.0, "off", 0),
        (16.0, "off", 1), (16.0, "off", 2),
    ],
    "at their limit, cancelled where machines hang, the holder ends": [
        (0.0, "cancel and hang", 1), (0.2, "cancel and hang", 2), (1.0, "crash", 0),
        (7.0, "go on", 0), (12.0, "cancel and hang", 0), (13.0, "crash", 1), (30.0, "go on", 0),
    ],
    "at their limit, passing it on while writes come late": [
        (0.0, "late writes", 0), (0.0, "cancel", 1), (2.0, "crash", 0), (4.0, "hang", 1),
        (6.0, "cancel", 2), (10.0, "crash", 1), (18.0, "go on", 0), (24.0, "late writes", 0),
    ],
    "at their limit, only answers lost": [
        (0.0, "lost", 0), (1.0, "cancel", 1), (2.0, "crash", 2), (8.0, "cancel", 0),
        (9.0, "refuse", 0), (14.0, "refuse", 0), (24.0, "lost", 0),
    ],
    "cancelled while work changes hands": [
        (0.0, "reading", 0), (0.0, "refuse", 0), (1.0, "cancel", 1), (2.6, "cancel", 2),
        (3.2, "cancel", 0), (4.5, "reading", 0), (4.6, "cancel", 1), (5.0, "refuse", 0),
        (5.2, "cancel", 0), (5.8, "cancel", 1), (6.6, "cancel", 2),
    ],
    "cancelled at the refusal, out a second later": [
        (0.0, "refuse", 0), (0.0, "cancel", 0), (0.0, "cancel", 1), (0.1, "cancel", 2),
        (1.0, "outage", 0), (14.0, "refuse", 0), (47.0, "outage", 0),
    ],
    "up at once while writes come late, the owner ends": [
        (0.0, "late writes", 0), (0.0, "boot", 0), (0.1, "boot", 1), (0.6, "crash", 0),
        (1.0, "boot", 0), (8.0, "boot", 2), (8.5, "crash", 2), (16.0, "late writes", 0),
    ],
    "up at once while writes are slow, the owner ends": [
        (0.0, "slow", 0), (0.0, "boot", 0), (0.4, "boot", 1), (0.8, "crash", 0),
        (9.0, "boot", 0), (9.6, "refuse", 0), (14.0, "refuse", 0), (16.0, "slow", 0),
    ],
    "an old report reaches all as a new owner begins": [
        (0.0, "next reports", 0), (4.0, "reborn", 1), (5.0, "off", 1), (6.0, "crash", 0),
        (17.0, "off", 1), (20.0, "crash", 1), (30.0, "next reports", 0),
    ],
    "owners change ten times, also inside an outage": [
        *((12.0 * i + 6.0 * j, "refuse", i % 3) for i in range(5) for j in (0, 0.6)),
        (21.0, "outage", 0), (27.0, "outage", 0), (62.0, "crash", 0), (70.0, "crash", 1),
        (78.0, "crash", 2), (86.0, "crash", 0), (94.0, "crash", 1),
    ],
    "all are away for longer than a lease": [(0.0, "cancel", 1), (0.5, "all away", 0)],
    "the end of a last task meets users": [
        (0.0, "cancel at end", 0), (0.0, "looks", 0), (40.0, "cancel at end", 0),
        (40.0, "looks", 0),
    ],
    "the end of a last task meets users, slowly answered": [
        (0.0, "cancel at end", 0), (0.0, "looks", 0), (0.0, "slow", 0), (0.0, "apart", 1),
        (30.0, "cancel at end", 0), (30.0, "looks", 0), (30.0, "slow", 0), (30.0, "apart", 1),
    ],
    "a zone is cut for longer than a lease": [
        (0.0, "cancel", 0), (0.5, "zone", 1), (1.0, "cancel", 0), (17.0, "zone", 1),
    ],
    "a zone is cut twice, jobs bound to it": [
        (0.0, "zone", 1), (4.0, "zone", 1), (8.0, "hang", 1), (20.0, "go on", 0),
        (22.0, "zone", 1), (40.0, "zone", 1),
    ],
    "jobs bound to a zone lose machines": [
        (0.0, "hang", 0), (1.0, "hang", 1), (9.0, "boot", 0), (9.0, "boot", 1),
        (24.0, "go on", 0), (25.0, "reborn", 2),
    ],
    "machines reach no controller, commands reach them": [
        (0.0, "mute", 0), (2.0, "crash", 0), (8.0, "mute", 0), (10.0, "mute", 1),
        (12.0, "cancel", 2), (26.0, "mute", 1),
    ],
    "machines reach no controller, commands come as their leases end": [
        (0.0, "lag", 0), (3.0, "mute", 0), (3.2, "mute", 1),
        *((11.0 + 0.2 * i, "cancel", i % 3) for i in range(12)), (29.0, "mute", 0),
        (30.0, "mute", 1),
    ],
    "cancelled, then the machine hangs and goes on": [
        (0.0, "held", 0), (0.0, "cancel and hang", 0), (0.2, "cancel and hang", 1),
        (8.0, "go on", 0), (10.0, "cancel and hang", 2), (24.0, "go on", 0), (24.0, "held", 0),
    ],
    "odd requests while holders change": [
        (0.0, "odd", 0), (1.0, "refuse", 0), (5.0, "refuse", 0), (6.0, "crash", 1),
        (9.0, "slow", 0), (16.0, "slow", 0), (17.0, "odd", 0),
    ],
    "more work than room, over slow links": [
        (0.0, "slow", 0), (0.0, "held", 0), (4.0, "cancel", 1), (30.0, "slow", 0),
        (30.0, "held", 0),
    ],
}  # fmt: skip
# What is other than in the rest: of the world, and of each job by its number.
WORLDS: dict[str, dict[str, Any]] = {
    meeting: {"limit": 8.0} for meeting in MEETINGS if meeting.startswith("at their limit")
} | {meeting: {"zones": ("a", "b", "a")} for meeting in MEETINGS if "a zone" in meeting}


def other_fields(deck: Deck, number: int) -> dict[str, Any]:
    """By turns jobs are bound to a zone, spread, or together; all are of a limited team."""
    if deck.limit:
        return {"crew": "blue"}
    if len(set(deck.zones)) > 1:
        return ({"roost": "b"}, {"spread": True}, {"same_place": True}, {})[number % 4]
    return {"rank": ("normal", "urgent", "idle")[number % 3]} if deck.crowded else {}


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("meeting", MEETINGS)
def test_meeting(monkeypatch: pytest.MonkeyPatch, meeting: str, seed: int) -> None:
    deck = Deck(seed, **WORLDS.get(meeting, {}))
    deck.crowded = meeting.startswith("more work than room")
    play(monkeypatch, deck, live_meeting(deck, MEETINGS[meeting]))


async def live_meeting(deck: Deck, script: Script) -> None:
    """Jobs of two and three tasks whose ends lie far apart, a third of them cancelled meanwhile
    through the other controllers; every controller is asked about all of them all the time."""
    names = [of_shard(shard, n) for n in range(6 if deck.crowded else 3) for shard in range(3)]
    await deck.run(4.0)
    for i, name in enumerate(names):
        deck.lasts[f"{name}/0"] = 4.0 + i
        other = other_fields(deck, i)
        await deck.beside(lambda n=name, c=2 + i % 2, o=other: deck.submit(n, c, 45.0, **o))
    await deck.run(5.0)
    script, began = sorted(script), deck.clock.at
    for step in range(int(script[-1][0]) + 2):
        for at, kind, number in [s for s in script if step <= s[0] < step + 1]:
            await deck.run(max(0.0, began + at - deck.clock.at))
            start_trouble(deck, kind, number)
        if step % 3 == 1 and step < 9:
            name = names[step // 3 * 3]
            await deck.beside(deck.cancel, name, (1, 2, 0))
        await deck.poll(names)
        await deck.run(max(0.0, began + step + 1 - deck.clock.at))
    await told_all(deck, names)


@pytest.mark.parametrize("off_s", [2.0, 16.0])
def test_long_tasks_outlive_their_holder_when_they_cannot_be_reached(
    monkeypatch: pytest.MonkeyPatch, off_s: float
) -> None:
    """Back within their lease they go on under the next holder, and nothing is run again; later,
    their lease is over, and all of it is."""
    deck = Deck(5)

    async def drive() -> None:
        name = await spread_job(deck, 0, 60.0)
        for number in range(3):
            start_trouble(deck, "off", number)
        await deck.run(0.3)
        deck.crash(0, 30.0)
        await deck.run(off_s)
        await told_all(deck, [name])
        again = [task for task, times in deck.begun.items() if times > 1]
        assert bool(again) == (off_s > 10.0)

    play(monkeypatch, deck, drive())


@pytest.mark.parametrize("sizes", [(2.0, 2.0, 2.0), (4.0, 2.0, 3.0)])
def test_the_rests_of_a_limit_come_together(
    monkeypatch: pytest.MonkeyPatch, sizes: tuple[float, ...]
) -> None:
    """Each shard's share of a limit held a rest in which none of its waiting tasks fitted; none
    passed its own on, for it lacked quota itself: all waited while the team was under its limit."""
    limit = sum(sizes) + 2.0
    deck = Deck(13, limit=limit)

    async def drive() -> tuple[float, float]:
        await deck.run(4.0)
        names = [of_shard(shard, n) for n in range(3) for shard in range(3)]
        for i, name in enumerate(names):
            other = {"crew": "blue", "cores": sizes[i % 3]}
            await deck.beside(lambda n=name, o=other: deck.submit(n, 1, 500.0, **o))
        await deck.run(60.0)
        return deck.used, min(sizes[i % 3] for i, n in enumerate(names) if not deck.live(n))

    used, waiting = play(monkeypatch, deck, drive())
    assert used + waiting > limit


def test_a_large_task_gathers_its_quota_beside_small_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Rests were passed on at once at first: as its shard's work ended piece by piece, each piece
    went to where small tasks waited, and the large one would have waited as long as they came."""
    deck = Deck(14, limit=12.0, workers=18)

    one: dict[str, Any] = {"crew": "blue", "cores": 1.0}

    async def drive() -> float:
        await deck.run(4.0)
        await deck.beside(lambda: deck.submit(of_shard(2), 4, 500.0, **one))
        for i in range(4):  # of the shard of the large one: their ends lie apart
            name, lasts_s = of_shard(0, i + 1), 12.0 * (i + 1)
            await deck.beside(lambda n=name, s=lasts_s: deck.submit(n, 1, s, **one))
        await deck.run(2.0)
        large, small = of_shard(0), of_shard(1)
        await deck.beside(lambda: deck.submit(small, 200, 8.0, **one))
        await deck.run(3.0)
        await deck.beside(lambda: deck.submit(large, 1, 30.0, crew="blue", cores=4.0))
        began = deck.clock.at
        while not deck.live(large) and deck.clock.at < began + 300.0:
            await deck.run(1.0)
        return deck.clock.at - began

    assert play(monkeypatch, deck, drive()) < 90.0


def test_a_mute_machine_is_not_called_over_in_the_session_that_a_call_has_just_shown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its reports reach nobody any more, and were slow before. Just as its lease ends, a stop by a
    call is answered from its next session: that one's lease was counted from the last report."""
    deck = Deck(12)

    async def drive() -> int:
        deck.lag_s = 1.0
        await deck.run(4.0)
        first, second = of_shard(0), of_shard(1)
        await deck.beside(deck.submit, first, 12, 500.0)
        await deck.run(6.0)
        await deck.beside(deck.submit, second, 12, 500.0)
        await deck.run(2.0)
        mute = [w for i, w in enumerate(deck.workers.values()) if i % 2]
        for worker in mute:
            worker.mute = True
        while not any(worker.session > 1 for worker in mute):
            await deck.run(0.1)
        await deck.beside(deck.cancel, first, (0,))
        await deck.run(1.0)
        for shard in range(3):  # room for what is freed
            deck.boot(shard)
        await deck.run(30.0)
        return len(deck.live(second))

    assert play(monkeypatch, deck, drive()) == 12


KINDS = (
    "refuse", "outage", "apart", "cut", "crash", "all crash", "deaf", "off", "late writes",
    "late reports", "held", "lost", "slow", "reading", "next reports", "mute", "hang", "zone",
    "reborn", "boot", "all away", "looks", "odd", "cancel at end", "cancel", "cancel and hang",
)  # fmt: skip
PLACES: list[dict[str, Any]] = [{}, {"limit": 8.0}, {"zones": ("a", "b", "a")}]
STEPS = st.tuples(
    st.sampled_from(KINDS), st.integers(0, 2), st.sampled_from([0.2, 1.0, 3.0, 8.0, 20.0])
)


async def live_through(deck: Deck, steps: list[tuple[str, int, float]]) -> None:
    """Jobs of two or three tasks, short and long, some cancelled, under troubles that meet; then
    every one is known, and ends."""
    names = [of_shard(shard, n) for n in range(3) for shard in range(3)]
    await deck.run(4.0)
    for i, name in enumerate(names):
        tasks, lasts_s, other = 2 + i % 2, (5.0, 25.0, 60.0)[i // 3], other_fields(deck, i)
        await deck.beside(lambda n=name, c=tasks, s=lasts_s, o=other: deck.submit(n, c, s, **o))
    await deck.run(3.0)
    for i, (kind, number, seconds) in enumerate(steps):
        start_trouble(deck, kind, number)
        if i % 2:
            job = names[(i * 4 + number) % len(names)]
            await deck.beside(deck.cancel, job, (number, 0, 1, 2))
        for _ in range(max(1, int(seconds / 2))):
            await deck.poll(names)
            await deck.run(min(seconds, 2.0))
    await told_all(deck, names, 240.0)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    place=st.sampled_from(PLACES),
    steps=st.lists(STEPS, min_size=3, max_size=8),
)
def check_meetings(
    monkeypatch: pytest.MonkeyPatch,
    seed: int,
    place: dict[str, Any],
    steps: list[tuple[str, int, float]],
) -> None:
    deck = Deck(seed, **place)
    play(monkeypatch, deck, live_through(deck, steps))


def test_no_rule_breaks_where_troubles_meet(monkeypatch: pytest.MonkeyPatch) -> None:
    check_meetings(monkeypatch)


# --- each link of the chain


def test_a_note_is_not_dropped_by_a_former_holder(monkeypatch: pytest.MonkeyPatch) -> None:
    """A former holder that hung while its shard was taken over acted on a note first and dropped
    it: the cancellation was confirmed while the present holder knew nothing of it."""
    deck = Deck(2)

    async def drive() -> bool:
        name = await spread_job(deck, 0, 100.0)
        former = deck.nodes[0]
        writer = former.writers[0]
        deck.clients[0].cut = True
        await deck.run(4.0)
        assert 0 in deck.nodes[1].writers
        deck.clients[0].cut = False
        key = records.mailbox_key(0, name)
        assert not deck.state.change([put_change(key, 1)], {})
        former.mailbox.entries.clear()
        await former.mailbox.handle_entry(writer, name, key, deck.state.epoch)
        return key in deck.state.keys

    assert play(monkeypatch, deck, drive())


def test_no_word_is_given_while_a_cancellation_may_be_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The holder's own cancellation got no answer, and was carried out: another controller read
    and told it while the holder's lists went on without it. It is settled before the next word.
    Others' cancellations may be under way all the time: each holds the word back no further."""
    deck = Deck(3)

    async def drive() -> None:
        name = await spread_job(deck, 0, 100.0)
        node, client = deck.nodes[0], deck.clients[0]
        jobs = node.writers[0].shard
        deck.asked.add(name)
        client.late = 1.0
        path = f"{api.JOBS}/{name}/{api.CANCEL}"
        sent = deck.clock.at
        assert await deck.ask(0, "POST", path) == 503
        words = deck.nodes[1].machines[1].watermarks
        for _ in range(16):
            # Carried out only after all this: within it, its fate would be known.
            deck.late = [(sent + 100.0, when, changes) for _, when, changes in deck.late]
            await deck.run(0.1)
        # Lists go on, and say nothing of what may be cancelled.
        assert sent - 1.5 < words[0] <= sent
        client.late = 0.0
        await deck.run(3.0)
        assert words[0] > sent + 1.0
        assert jobs.terminal_states[name] == api.CANCELLED
        assert not deck.live(name)
        other = new_job(node.context, spec(of_shard(0, 1)), 0, 0)
        other.outcome_unknown = True
        jobs.jobs[other.index] = other
        epoch = node.membership.owners[1].epoch
        for age_s in (0.0, 3.0):
            jobs.pending_cancellations = {other.index: deck.clock.at - age_s}
            echo_s = node.state_sync.desired_state_sync.watermark_ms(jobs, 1, epoch) / 1000
            assert deck.clock.at - age_s - 1.7 < echo_s <= deck.clock.at - age_s
        del jobs.jobs[other.index]

    play(monkeypatch, deck, drive())


def test_a_holder_tells_no_cancellation_that_its_lists_lack(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Unsure of a record it answered from the state service, where another controller had written a
    cancellation: its user was told, and its lists went on without."""
    deck = Deck(4)

    async def drive() -> None:
        name = await spread_job(deck, 0, 100.0)
        (job,) = deck.nodes[0].writers[0].shard.jobs.values()
        main = records.job_key(0, name)
        record = msgspec.json.decode(deck.state.keys[main][0], type=records.JobRecord)
        record.cancelled = True
        job.outcome_unknown = True
        assert not deck.state.change([put_change(main, record)], {})
        deck.asked.add(name)
        assert await deck.ask(0, "GET", f"{api.JOBS}/{name}") == 503
        await deck.nodes[0].writers[0].reload(name)
        assert await deck.ask(0, "GET", f"{api.JOBS}/{name}") == 200
        assert name in deck.told

    play(monkeypatch, deck, drive())


def test_no_start_is_sent_on_an_old_word(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that a list named came to its owner long after: its start went out on a word
    from before a cancellation, and its lease had just been renewed with nothing on it."""
    deck = Deck(6)

    async def drive() -> list[list[str]]:
        await deck.run(3.0)
        node = deck.nodes[0]
        machines = node.machines[0]
        index = node.context.machine_names.intern(next(iter(deck.workers)))
        machine = machines.machines[index]
        key = task_key(node.context.job_names.intern(of_shard(1)), 0)
        machine.pending_launches[key] = PendingLaunch(1, deck.clock.at)
        machines.desired_tasks.setdefault(1, {})[index] = {
            key: DesiredTask(1, machine.session, False, 0.0)
        }
        sent = []
        for age_s in (1.0, node.context.watermark_lifetime_s + 1.0):
            machines.watermarks[1] = deck.clock.at - age_s
            machine.unanswered_commands = 0
            direct = [c.op for c in machines.commands_for(machine, True).commands]
            machine.unanswered_commands = MAX_UNANSWERED_COMMANDS
            sent += [direct, [c.op for c in machines.piggybacked_starts(machine)]]
        return sent

    assert play(monkeypatch, deck, drive()) == [[api.START], [api.START], [], []]


def test_a_takeover_is_not_carried_out_after_another_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Late, it showed a time until all former holders are quiet that was reckoned before the hold
    in between: a lease that the latter had renewed would have been called over."""
    deck = Deck(7)

    async def drive() -> list[str]:
        await deck.run(3.0)
        sent: list[tuple[dict[str, int], list[api.Change]]] = []
        plain = deck.clients[2].transact

        async def keep(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]
            if any(c.put == records.shard_key(0) for c in changes):
                sent.append((dict(conditions), list(changes)))
                raise OutcomeUnknownError("no answer")
            return await plain(conditions, changes, urgent)

        deck.clients[2].transact = keep  # type: ignore[method-assign]
        # Both others are away for long enough that the third tries to take the shard.
        deck.clients[0].cut = deck.clients[1].cut = True
        await deck.run(4.0)
        deck.clients[1].cut = False
        deck.clients[2].cut = True
        await deck.run(4.0)
        assert 0 in deck.nodes[1].writers  # the hold in between, then given up
        deck.state.change([api.Change(delete=records.shard_key(0))], {})
        conditions, changes = sent[0]
        return deck.state.change(changes, conditions)

    assert play(monkeypatch, deck, drive())


def test_a_controller_whose_key_is_gone_announces_itself_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Announced with no answer, or by a former life's late transaction under a lease that ended
    after: it was never called living again, and its shard was not handed back to it."""
    deck = Deck(8)

    async def drive() -> list[bool]:
        found = []
        deck.clients[0].unanswered = True
        await deck.run(1.0)
        deck.clients[0].unanswered = False
        await deck.run(2.0)
        found.append(records.node_key(0) in deck.state.keys)
        deck.state.change([api.Change(delete=records.node_key(0))], {})
        await deck.run(1.0)
        return [*found, records.node_key(0) in deck.state.keys]

    assert play(monkeypatch, deck, drive()) == [True, True]


def test_only_a_sure_holder_gives_its_word(monkeypatch: pytest.MonkeyPatch) -> None:
    """A step that was sure of its lease at its beginning waited for the state service, or stood
    still, and said its word when another might hold the shard."""
    deck = Deck(9)

    async def drive() -> tuple[bool, bool]:
        await deck.run(3.0)
        node = deck.nodes[0]
        found = []
        for waited_s in (1.0, 2.0):
            deck.clock.at += waited_s
            before = dict(node.machines[0].watermarks)
            for link in deck.mail:
                deck.mail[link].clear()
            await node.state_sync.send_desired_state(deck.clock.at)
            said = any(e.HasField("desired_state") for sent in deck.mail.values() for e in sent)
            assert said == (node.machines[0].watermarks != before)
            found.append(said)
        return found[0], found[1]

    assert play(monkeypatch, deck, drive()) == (True, False)


def test_a_word_echoes_only_the_present_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """A time by the clock of a former holder of the machines, echoed to the next, could be later
    than its own: its word would never have grown old."""
    deck = Deck(10)

    async def drive() -> list[bool]:
        await deck.run(3.0)
        node = deck.nodes[0]
        jobs, epoch = node.writers[0].shard, node.membership.owners[1].epoch
        return [
            node.state_sync.desired_state_sync.watermark_ms(jobs, 1, g) > 0
            for g in (epoch, epoch + 1)
        ]

    assert play(monkeypatch, deck, drive()) == [True, False]


WRITES_A_SECOND = 30.0  # of all controllers together


def test_one_task_jobs_four_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    """A quarter of them cancelled, the usual work beside them, few changes a second: submissions
    are answered in time, nothing starves, and nothing is kept of what has ended."""
    monkeypatch.setattr(job_shard, "MAX_TERMINAL_JOBS", 20)
    deck = Deck(11)
    for client in deck.clients:
        client.budget = TokenBucket(WRITES_A_SECOND / 3, 1.0, deck.clock.now)
    small = [f"j-{900000 + i:06d}" for i in range(160)]
    usual = [of_shard(shard, n) for n in range(2) for shard in range(3)]
    waits: dict[str, float] = {}

    async def submit(name: str, tasks: int, lasts_s: float) -> None:
        began = deck.clock.at
        await deck.submit(name, tasks, lasts_s)
        waits[name] = deck.clock.at - began

    async def drive() -> None:
        await deck.run(4.0)
        for name in usual:
            await deck.beside(submit, name, 2, 30.0)
        changes, limit = deck.state.epoch, 0.0
        for i, name in enumerate(small):
            await deck.beside(submit, name, 1, 1.0)
            if i % 4 == 3:
                await deck.beside(deck.cancel, small[i - 3], (i % 3,))
            if i % 20 == 19:  # five seconds
                await deck.poll([*usual, *small[i - 19 : i + 1]])
                limit, changes = max(limit, deck.state.epoch - changes), deck.state.epoch
            await deck.run(0.25)
        # Transactions are fewer than changes: a job's end deletes one key and sets another.
        assert limit <= 5 * WRITES_A_SECOND * 4 / 3
        await told_all(deck, [*usual, *small], 60.0)
        await deck.run(4.0)

    play(monkeypatch, deck, drive())
    assert max(waits.values()) < 5.0
    done = sum(deck.told[name][0] == api.DONE for name in small)
    assert done >= len(small) * 0.7
    for node in deck.nodes:
        for writer in node.writers.values():
            shard = writer.shard
            kept = (
                shard.jobs,
                shard.dirty_jobs,
                shard.tasks_by_machine,
                shard.pending_cancellations,
                writer.batches.since,
            )
            assert not any(kept)
            assert len(shard.terminal_states) == len(shard.terminal_completed) <= 20
        for machines in node.machines.values():
            machines.prune()
            assert not machines.jobs
            assert not any(machines.desired_tasks.values())

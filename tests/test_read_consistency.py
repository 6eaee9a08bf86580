"""Users ask every controller within milliseconds: no answer is older than an earlier one.

The simulated cluster checks each answer against those given before its request began (`Deck.ask`).
"""

from typing import Any

import curio
import msgspec
import pytest

from starlingdeck.protocol import api
from starlingdeck.storage import records
from tests.support.builders import job_body
from tests.support.simulated_cluster import Deck, play
from tests.test_concurrent_failures import of_shard, start_trouble


async def ask_all(deck: Deck, name: str) -> None:
    for number in range(3):
        await deck.ask(number, "POST", api.JOBS, msgspec.json.encode(deck.jobs[name]))
        await deck.ask(number, "GET", f"{api.JOBS}/{name}")


async def staggered(deck: Deck, name: str, tasks: int = 6, **other: Any) -> None:
    """A job whose tasks end one by one."""
    await deck.run(4.0)
    for i in range(tasks):
        deck.lasts[f"{name}/{i}"] = 2.0 + 1.3 * i
    await deck.beside(lambda: deck.submit(name, tasks, 90.0, **other))
    await deck.run(2.0)


def counts_while_writing(monkeypatch: pytest.MonkeyPatch, trouble: str) -> list[int]:
    """How many of a job's tasks are reported done, while its owner's writes are answered late or
    not at all and everybody is asked; a count that falls breaks an invariant."""
    deck = Deck(3)
    counts = []

    async def drive() -> None:
        name = of_shard(0)
        await staggered(deck, name)
        start_trouble(deck, "apart", 0)
        deck.clients[0].lost = float(trouble == "lost")
        deck.clients[0].slow_s = 2.0
        for _ in range(80):
            await deck.beside(ask_all, deck, name)
            await deck.run(0.1)
            counts.append(deck.done.get(name, 0))
        deck.calm()

    play(monkeypatch, deck, drive())
    return counts


@pytest.mark.parametrize("trouble", ["lost", "slow"])
def test_no_count_falls_while_a_write_is_under_way(
    monkeypatch: pytest.MonkeyPatch, trouble: str
) -> None:
    """The owner's write of ended tasks was executed and its answer under way, or lost: others
    read and reported the count, then the owner reported the one before."""
    counts = counts_while_writing(monkeypatch, trouble)
    assert counts[0] < counts[-1]


def test_all_chunks_of_an_array_are_counted_without_its_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """By its record's first chunk alone an array's count fell once its owner was unreachable."""
    deck = Deck(4)
    tasks = records.TASKS_PER_CHUNK + 20

    async def drive() -> int:
        name = of_shard(0)
        await deck.run(4.0)
        for i in range(tasks):
            deck.lasts[f"{name}/{i}"] = 0.1 if i < tasks - 3 else 60.0
        await deck.beside(deck.submit, name, tasks, 0.1)
        while deck.done.get(name, 0) < tasks - 5:
            await deck.run(1.0)
            await ask_all(deck, name)
        before = deck.done[name]
        start_trouble(deck, "apart", 0)
        await ask_all(deck, name)
        return before

    assert play(monkeypatch, deck, drive()) > records.TASKS_PER_CHUNK


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_finished_jobs_count_stays_what_it_was(monkeypatch: pytest.MonkeyPatch, end: str) -> None:
    """A repeated submission to a new owner was answered that nothing of a finished job was done,
    and so was whoever asked about a cancelled one."""
    deck = Deck(5)

    async def drive() -> tuple[int, str]:
        name = of_shard(0)
        await staggered(deck, name, 3)
        while deck.done.get(name, 0) < 2:
            await deck.run(0.2)
            await ask_all(deck, name)
        if end == "cancelled":
            await deck.beside(deck.cancel, name, (1, 0, 2))
        while deck.live(name) or name not in deck.told:
            await deck.run(0.2)
            await ask_all(deck, name)
        for _ in range(2):
            deck.crash(0, 0.2)
            await deck.run(6.0)
            await ask_all(deck, name)
        # The owner has dropped it since, or is a new one: only the record has it.
        for node in deck.nodes:
            for writer in node.writers.values():
                writer.shard.terminal_states.clear()
        await ask_all(deck, name)
        return deck.done[name], deck.told[name][0]

    done, state = play(monkeypatch, deck, drive())
    assert (done, state) == ((3, "done") if end == "done" else (done, "cancelled"))
    assert done >= 2


def test_a_job_that_ended_while_its_acceptance_was_under_way_stays_so(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The record of a submission was there and its answer under way: another request had the
    owner read it, cancel it and end it. Then the answer came, and the job was waiting again."""
    deck = Deck(6)

    async def drive() -> list[str]:
        await deck.run(4.0)
        name, client = of_shard(0), deck.clients[0]
        plain = client.transact

        async def slow(conditions, changes, urgent=False):  # type: ignore[no-untyped-def]  # the signature of `transact`
            revision = await plain(conditions, changes, urgent)
            if records.final_key(0, name) in conditions:
                await curio.sleep(1.5)
            return revision

        client.transact = slow  # type: ignore[method-assign]  # a test double
        deck.asked.add(name)
        deck.jobs[name] = job_body(name)
        body = msgspec.json.encode(deck.jobs[name])
        await deck.beside(deck.ask, 0, "POST", api.JOBS, body)
        await deck.run(0.2)
        assert await deck.ask(0, "POST", f"{api.JOBS}/{name}/{api.CANCEL}") == 200
        told = []
        for _ in range(20):
            await deck.run(0.2)
            assert await deck.ask(0, "GET", f"{api.JOBS}/{name}") == 200
            told.append(deck.told[name][0])
        assert not deck.nodes[0].writers[0].shard.jobs
        return told

    assert set(play(monkeypatch, deck, drive())) == {"cancelled"}

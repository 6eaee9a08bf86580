"""Each check of the plain world fails on a service that is broken by hand."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from starlingdeck import context
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response
from tests.support.reference_model import Broken, PlainWorker
from tests.support.simulated_cluster import Deck, play
from tests.test_concurrent_failures import of_shard, told_all

Patch = pytest.MonkeyPatch
NAME = of_shard(0)


async def one_job(deck: Deck, tasks: int = 2, lasts_s: float = 8.0, **other: Any) -> None:
    await deck.run(4.0)
    await deck.beside(lambda: deck.submit(NAME, tasks, lasts_s, **other))
    await deck.run(4.0)


def answers(deck: Deck, code: int, **told: Any) -> None:
    """From now on one controller tells this of every job."""
    body = msgspec.json.encode({"uid": NAME, **told})

    async def serve(request: Request) -> Response:
        return Response(code if request.method == "POST" or code != 400 else 404, body)

    deck.nodes[1].serve = serve  # type: ignore[method-assign]


async def ask(deck: Deck, method: str = "GET") -> None:
    """Beside the story, as users do: a fault there has to end the play."""
    await deck.beside(deck.ask, 1, method, f"{api.JOBS}/{NAME}")
    await deck.run(0.2)


# What a controller tells of a job that is running and of which nothing is done.
LIES: list[tuple[int, dict[str, Any], str]] = [
    (404, {"error": "no such job"}, "forgotten: .* 404"),
    (200, {"status": "done", "done": 2}, "not_done"),
    (200, {"status": "running", "done": 1}, "not_done: .* told 1"),
    (200, {"status": "cancelled"}, "never cancelled"),
]


@pytest.mark.parametrize(("code", "told", "broken"), LIES)
def test_a_lie_is_found(monkeypatch: Patch, code: int, told: dict[str, Any], broken: str) -> None:
    deck = Deck(3)

    async def drive() -> None:
        await one_job(deck)
        answers(deck, code, **told)
        await ask(deck)

    with pytest.raises(Broken, match=broken):
        play(monkeypatch, deck, drive())


async def repeat_refused(deck: Deck, patch: Patch) -> None:
    await one_job(deck)
    answers(deck, 422, error="never")
    body = msgspec.json.encode(deck.jobs[NAME])
    await deck.beside(deck.ask, 1, "POST", api.JOBS, body)
    await deck.run(0.2)


async def count_falls(deck: Deck, patch: Patch) -> None:
    deck.lasts[f"{NAME}/0"] = 1.0
    await one_job(deck)
    await deck.ask(0, "GET", f"{api.JOBS}/{NAME}")
    answers(deck, 200, status="running", done=0)
    await ask(deck)


async def back_from_done(deck: Deck, patch: Patch) -> None:
    await one_job(deck, lasts_s=1.0)
    await told_all(deck, [NAME])
    answers(deck, 200, status="running")
    await ask(deck)


async def invented(deck: Deck, patch: Patch) -> None:
    await one_job(deck)
    answers(deck, 200, status="queued")
    await deck.beside(deck.ask, 1, "GET", f"{api.JOBS}/{of_shard(1)}")
    await deck.run(0.2)


async def accepted_oddly(deck: Deck, patch: Patch) -> None:
    await one_job(deck)
    answers(deck, 201, status="queued")
    await deck.beside(deck.ask_oddly, NAME)
    await deck.run(0.2)


async def refused_wrongly(deck: Deck, patch: Patch) -> None:
    """What can never run is malformed to this one."""
    await one_job(deck)
    answers(deck, 400, error="no")
    deck.known.clear()
    await deck.beside(deck.ask_oddly, NAME)
    await deck.run(0.2)


async def ran_twice(deck: Deck, patch: Patch) -> None:
    """Silence is taken for an end long before a lease is over."""
    patch.setattr(context.ControllerContext, "lease_expiry_s", property(lambda _: 0.5))
    await one_job(deck, 4, 60.0)
    deck.off |= {(i, machine) for machine, _ in deck.live(NAME) for i in range(3)}
    await deck.run(8.0)


async def quota(deck: Deck, patch: Patch) -> None:
    """The service knows another limit."""
    await deck.run(4.0)
    deck.limit = 4.0
    await deck.beside(lambda: deck.submit(NAME, 4, 30.0, crew="blue"))
    await deck.run(4.0)


async def wrong_place(deck: Deck, patch: Patch) -> None:
    """The service doesn't know that the job is bound to a zone."""
    await deck.run(4.0)
    await deck.beside(deck.submit, NAME, 8, 30.0)
    await deck.run(0.1)
    deck.jobs[NAME]["roost"] = "b"
    await deck.run(4.0)


async def together_or_spread(deck: Deck, patch: Patch) -> None:
    await deck.run(4.0)
    await deck.beside(deck.submit, NAME, 12, 30.0)
    await deck.run(0.1)
    deck.jobs[NAME].update(spread=True, chores=2)
    await deck.run(4.0)


async def ran_cancelled(deck: Deck, patch: Patch) -> None:
    """Nothing is ever told to stop."""
    plain = PlainWorker.execute

    def execute(worker: PlainWorker, command: api.Command) -> None:
        if command.op != api.STOP:
            plain(worker, command)

    patch.setattr(PlainWorker, "execute", execute)
    await one_job(deck, 2, 200.0)
    await deck.beside(deck.cancel, NAME, (0,))
    await deck.run(50.0)


async def began_cancelled(deck: Deck, patch: Patch) -> None:
    await one_job(deck, 2, 200.0)
    await deck.beside(deck.cancel, NAME, (0,))
    await deck.run(45.0)
    worker = next(iter(deck.workers.values()))
    worker.execute(api.Command(api.START, f"{NAME}/0", 9))
    await deck.run(0.2)


async def waits(deck: Deck, patch: Patch) -> None:
    """Nothing is planned any more."""
    await deck.run(4.0)

    async def plan() -> None:
        return None

    for node in deck.nodes:
        node.planner.run_cycle = plan  # type: ignore[method-assign, assignment]
    await deck.beside(deck.submit, NAME, 2, 5.0)
    await deck.run(1.0)
    deck.calm()
    await deck.run(95.0)


async def unanswered(deck: Deck, patch: Patch) -> None:
    await one_job(deck, lasts_s=500.0)
    for number in range(3):
        deck.shut.add(number)
    patch.setattr(deck, "calm", lambda: None)
    await told_all(deck, [NAME])


CHECKS: list[tuple[Callable[[Deck, Patch], Any], str]] = [
    (repeat_refused, "forgotten: .* 422"),
    (count_falls, "went_back: .* has 0"),
    (back_from_done, "went_back: .* is running"),
    (invented, "invented"),
    (accepted_oddly, "invented"),
    (refused_wrongly, "answered 400, not 422"),
    (ran_twice, "ran_twice"),
    (quota, "quota"),
    (wrong_place, "wrong_place"),
    (together_or_spread, "wrong_place"),
    (ran_cancelled, "ran_cancelled: .* s after"),
    (began_cancelled, "ran_cancelled: .* began"),
    (waits, "waits"),
    (unanswered, "forgotten"),
]


@pytest.mark.parametrize(("story", "broken"), CHECKS, ids=[c.__name__ for c, _ in CHECKS])
def test_a_broken_service_is_found(
    monkeypatch: Patch, story: Callable[[Deck, Patch], Any], broken: str
) -> None:
    zones = ("a", "b", "a") if "zone" in str(story.__doc__) or "spread" in story.__name__ else None
    deck = Deck(3, limit=24.0, zones=zones or ("a", "a", "a"))
    with pytest.raises((Broken, AssertionError), match=broken):
        play(monkeypatch, deck, story(deck, monkeypatch))

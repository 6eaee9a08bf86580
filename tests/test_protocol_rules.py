"""The rules, under random interleavings of crashes, cuts, late messages and lost answers."""

import pytest

from tests.support.reference_model import Model


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_the_rules_hold_whatever_is_lost_or_late(first: int) -> None:
    starts = 0
    for seed in range(first, first + 10):
        model = Model(seed, trouble=0.15)
        for _ in range(1500):
            model.step()
        starts += model.starts
    # Rules are easily kept where nothing runs.
    assert starts > 60


def test_without_trouble_every_job_ends() -> None:
    model = Model(7, trouble=0.0)
    for _ in range(400):
        model.step()
    model.settle()
    quiet = [
        "do_own",
        *["do_report"] * 4,
        "do_serve",
        "do_mail",
        "do_write",
        "do_place",
        "do_orders",
    ]
    for _ in range(9000):
        model.clock.at += 0.1
        for worker in model.workers.values():
            worker.expire(model.clock.at)
        for node in model.nodes:
            model.renew(node)
        getattr(model, model.rng.choice([*quiet, "do_work", "do_mail", "do_mail"]))()
        model.check_cancelled()
        model.check_told()
    assert model.ended() == set(model.accepted)
    assert model.accepted

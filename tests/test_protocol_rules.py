"""The invariants under random crashes, partitions, late messages and lost answers."""

import pytest

from tests.support.reference_model import ReferenceModel


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_invariants_hold_whatever_is_lost_or_late(first: int) -> None:
    starts = 0
    for seed in range(first, first + 10):
        model = ReferenceModel(seed, failure_rate=0.15)
        for _ in range(1500):
            model.step()
        starts += model.starts
    # Where no task starts, the invariants hold trivially.
    assert starts > 60


def test_without_failures_every_job_ends() -> None:
    model = ReferenceModel(7, failure_rate=0.0)
    for _ in range(400):
        model.step()
    model.stop_failures()
    steps = [
        "do_acquire_ownership",
        *["do_report"] * 4,
        "do_serve",
        "do_deliver",
        "do_write",
        "do_place",
        "do_commands",
    ]
    for _ in range(9000):
        model.clock.at += 0.1
        for worker in model.workers.values():
            worker.expire(model.clock.at)
        for controller in model.controllers:
            model.renew(controller)
        getattr(model, model.rng.choice([*steps, "do_work", "do_deliver", "do_deliver"]))()
        model.check_cancelled()
        model.check_job_states()
    assert model.terminal_jobs() == set(model.accepted)
    assert model.accepted

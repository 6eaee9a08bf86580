"""Preempts running tasks to free units, over a lowered ceiling or for work of higher priority."""

import logging
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from msgspec import Struct

from starlingdeck.counts.ledger import Ledger
from starlingdeck.counts.ledger_store import LedgerStore, TaskUnits
from starlingdeck.counts.waiting_queue import (
    GOSSIP_VALID_S,
    MS_PER_S,
    Waiter,
    WaitingQueue,
)
from starlingdeck.machines.machine import may_preempt
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

PREEMPTION_DELAY_S = 0.6  # after units are first required; every peer sends gossip meanwhile


class UnitUse(Struct, frozen=True):
    """A task that has units, as a candidate for preemption."""

    shard: int
    job: str
    task: int
    team: int
    guaranteed: bool
    rank: int
    started_ms: int  # 0 if not known
    units: int
    releasing: bool = False  # has been told to stop already


class PeerUses(NamedTuple):
    """The tasks with units at a peer's shards, as of its last gossip."""

    received_at: float
    uses: Sequence[tuple[int, UnitUse]]  # (resource, use)


class RequiredUnits(NamedTuple):
    """How many units preemption has to free, and for which waiter; None: for a lowered ceiling."""

    units: int
    waiter: Waiter | None


def choose_victims(
    uses: Iterable[UnitUse], units: int, waiter: Waiter | None = None
) -> list[UnitUse]:
    """Return the tasks to preempt so that `units` units become free.

    Tasks that are releasing already come first, then the lowest ranks, and within a rank the
    youngest. For a waiter only tasks that it may preempt or that are releasing are chosen, and
    none if they would not free enough.
    """
    victims = []
    for use in sorted(uses, key=lambda u: (not u.releasing, u.rank, -u.started_ms, u.job, u.task)):
        if units <= 0:
            break
        if use.releasing or waiter is None or may_preempt(waiter, use, False):
            units -= use.units
            victims.append(use)
    return victims if waiter is None or units <= 0 else []


def _use_of(found: TaskUnits, now: float, now_ms: int) -> UnitUse:
    job, placement = found.job, found.placement
    started_ms = 0
    # The start is not known of placements read from a record: those started long ago.
    if placement.state_since > 0:
        started_ms = int(now_ms - (now - placement.state_since) * MS_PER_S)
    return UnitUse(
        shard=job.shard,
        job=job.id,
        task=found.task,
        team=job.team,
        guaranteed=job.guaranteed,
        rank=job.spec.rank,
        started_ms=started_ms,
        units=found.units,
        releasing=placement.releasing,
    )


class UnitPreemption:
    """Chooses victims among all shards' tasks, and preempts those of this controller's shards.

    Each controller chooses independently, from its own tasks and its peers' gossip.
    """

    def __init__(self, store: LedgerStore, queue: WaitingQueue) -> None:
        self.context = store.context
        self.writers = store.writers
        self.store = store
        self.queue = queue
        self.required_since: dict[int, float] = {}  # resource -> since when units are required
        self.by_peer: dict[int, PeerUses] = {}

    def own_uses(self, resource: int) -> list[UnitUse]:
        """Return the uses by this controller's tasks, in the order in which they are preempted."""
        now, now_ms = self.context.now(), self.context.wall_clock_ms()
        tasks = self.store.tasks_with_units(resource)
        uses = [_use_of(found, now, now_ms) for found in tasks]
        return sorted(uses, key=lambda u: (not u.releasing, u.rank, -u.started_ms))

    def preempt(self) -> None:
        """Preempt this controller's tasks for units that have been required for long enough.

        After `PREEMPTION_DELAY_S` the gossip of all peers has arrived, and all choose the same
        victims.
        """
        now = self.context.now()
        required: dict[int, RequiredUnits] = {}
        for resource, ledger in self.store.ledgers.items():
            if (needed := self._required(resource, ledger)) is not None:
                required[resource] = needed
        self.required_since = {r: self.required_since.get(r, now) for r in required}
        for resource, needed in required.items():
            if now - self.required_since[resource] >= PREEMPTION_DELAY_S:
                self._preempt_for(resource, needed, now)

    def _required(self, resource: int, ledger: Ledger) -> RequiredUnits | None:
        """Return the units that preemption has to free; None if there are none."""
        excess = ledger.total - ledger.ceiling
        if ledger.preempt_excess and excess > 0:
            return RequiredUnits(excess, None)
        if not ledger.preempt or ledger.removed:
            return None
        waiting = sorted(self.queue.first_waiters(resource), key=lambda w: (w.guaranteed, w.rank))
        if waiting and excess + waiting[-1].units > 0:
            return RequiredUnits(excess + waiting[-1].units, waiting[-1])
        return None

    def _preempt_for(self, resource: int, required: RequiredUnits, now: float) -> None:
        uses = self.own_uses(resource)
        for peer in self.by_peer.values():
            if now - peer.received_at < GOSSIP_VALID_S:
                uses += [u for r, u in peer.uses if r == resource and u.shard not in self.writers]
        # A peer that can't be reached chooses independently. The units of tasks that are not known
        # here count as freed already, so that the sides of a partition don't both free as many.
        remaining = self.store.ledgers[resource].total - required.units
        known = sum(use.units for use in uses)
        for use in choose_victims(uses, known - remaining, required.waiter):
            if use.shard in self.writers and not use.releasing:
                self._preempt_task(use, resource)

    def _preempt_task(self, use: UnitUse, resource: int) -> None:
        shard = self.writers[use.shard].shard
        index = self.context.job_names.find(use.job)
        job = shard.jobs.get(index) if index is not None else None
        if job is None or use.task not in job.placements:
            return
        placement = job.placements[use.task]
        placement.releasing = True
        placement.grace_s = job.grace_s
        shard.republish_task(job, use.task)
        name, task = self.context.resource_names[resource], api.task_name(job.id, use.task)
        log.info("task releasing: task=%s reason=unit_preemption resource=%s", task, name)

"""Counted resources in the gossip between controllers: waiting work, and candidates to preempt."""

from itertools import islice

from starlingdeck.context import ControllerContext
from starlingdeck.counts.unit_preemption import PeerUses, UnitPreemption, UnitUse
from starlingdeck.counts.waiting_queue import PeerWaiters, Waiter, WaitingQueue
from starlingdeck.interning import InternTable
from starlingdeck.protocol import peer_pb2 as pb

MAX_ENTRIES = 200  # waiters sent per message, uses sent per resource, either received per message


def add_to_gossip(
    context: ControllerContext, queue: WaitingQueue, preemption: UnitPreemption, gossip: pb.Gossip
) -> None:
    """Add this controller's first waiters, and its tasks with units that preemption may free."""
    names = context.resource_names
    for (shard, resource), waiter in islice(queue.own.items(), MAX_ENTRIES):
        gossip.resource_waiters.add(
            resource=names[resource],
            shard=shard,
            job=waiter.job,
            team=waiter.team,
            guaranteed=waiter.guaranteed,
            rank=waiter.rank,
            submitted_ms=waiter.submitted_ms,
            units=waiter.units,
            claim=waiter.reserving,
        )
    for resource in preemption.required_since:
        for use in preemption.own_uses(resource)[:MAX_ENTRIES]:
            gossip.resource_uses.add(
                resource=names[resource],
                shard=use.shard,
                job=use.job,
                task=use.task,
                team=use.team,
                guaranteed=use.guaranteed,
                rank=use.rank,
                began_ms=use.started_ms,
                units=use.units,
                preemptible=use.releasing,
            )


def receive_gossip(
    context: ControllerContext,
    queue: WaitingQueue,
    preemption: UnitPreemption,
    sender: int,
    gossip: pb.Gossip,
) -> None:
    """Replace the waiters and uses known of a peer; skip resources that are unknown here."""
    now, names = context.now(), context.resource_names
    queue.by_peer[sender] = PeerWaiters(now, _waiters_by_resource(gossip, names))
    preemption.by_peer[sender] = PeerUses(now, _uses(gossip, names))


def _waiters_by_resource(gossip: pb.Gossip, names: InternTable) -> dict[int, list[Waiter]]:
    by_resource: dict[int, list[Waiter]] = {}
    for item in gossip.resource_waiters[:MAX_ENTRIES]:
        if (resource := names.find(item.resource)) is None:
            continue
        waiter = Waiter(
            shard=item.shard,
            job=item.job,
            team=item.team,
            guaranteed=item.guaranteed,
            rank=item.rank,
            submitted_ms=item.submitted_ms,
            units=item.units,
            reserving=item.claim,
        )
        by_resource.setdefault(resource, []).append(waiter)
    return by_resource


def _uses(gossip: pb.Gossip, names: InternTable) -> list[tuple[int, UnitUse]]:
    uses = []
    for item in gossip.resource_uses[:MAX_ENTRIES]:
        if (resource := names.find(item.resource)) is None:
            continue
        use = UnitUse(
            shard=item.shard,
            job=item.job,
            task=item.task,
            team=item.team,
            guaranteed=item.guaranteed,
            rank=item.rank,
            started_ms=item.began_ms,
            units=item.units,
            releasing=item.preemptible,
        )
        uses.append((resource, use))
    return uses

"""Tracks the unplaced demand of this controller and of its peers, as they published it."""

from collections.abc import Iterable

from msgspec import Struct

from starlingdeck.autoscaling.fleet import Demand
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.zone_rules import only_zone
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.decision import JobTaskCount

MAX_PUBLISHED_DEMANDS = 200  # maximum number of jobs whose demand is published after a cycle
DEMAND_EXPIRY_S = 5.0  # what a controller published longer ago than this is ignored


class _PublishedDemand(Struct):
    received_at: float
    demands: list[pb.Demand]


def demand_messages(context: ControllerContext, unplaced: list[JobTaskCount]) -> list[pb.Demand]:
    """Return messages with the demand of a cycle's unplaced tasks, one for each job."""
    return [
        pb.Demand(
            cpus=job.spec.cpus,
            gpus=job.spec.gpus,
            memory_gb=job.spec.memory_gb,
            count=count,
            types=job.spec.types or [],
            zone=only_zone(context, job),
            spot=job.spec.spot,
            rank=job.spec.rank,
            service=job.spec.service,
        )
        for job, count in unplaced[:MAX_PUBLISHED_DEMANDS]
    ]


class DemandTracker:
    """The newest unplaced demand of every controller."""

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self._by_node: dict[int, _PublishedDemand] = {}

    def publish(self, unplaced: list[JobTaskCount], at: float) -> None:
        """Record the unplaced tasks of this controller's cycle, which began at `at`."""
        self._by_node[self.context.node] = _PublishedDemand(
            at, demand_messages(self.context, unplaced)
        )

    def published(self) -> list[pb.Demand]:
        """Return the demand that this controller published last."""
        latest = self._by_node.get(self.context.node)
        return latest.demands if latest is not None else []

    def receive(self, node: int, demands: Iterable[pb.Demand]) -> None:
        """Record the demand that another controller published."""
        self._by_node[node] = _PublishedDemand(self.context.now(), list(demands))

    def recent(self) -> list[Demand]:
        """Return the demand of all controllers that published within `DEMAND_EXPIRY_S`."""
        now = self.context.now()
        return [
            Demand(
                (message.cpus, message.gpus, message.memory_gb),
                message.count,
                tuple(message.types),
                message.zone,
                message.spot,
                message.rank,
                message.service,
            )
            for published in self._by_node.values()
            if now - published.received_at < DEMAND_EXPIRY_S
            for message in published.demands
        ]

"""The gossip that controllers exchange: shard ownership, demand, quota needs, deleted machines."""

from msgspec import Struct

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.cluster.membership import Membership, ShardOwner
from starlingdeck.context import ControllerContext
from starlingdeck.controller.deleted_machines import DeletedMachines
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.guarantees import TeamJob
from starlingdeck.scheduling.overload import OverloadController
from starlingdeck.scheduling.planner import Planner


class GossipExchange(Struct, kw_only=True, eq=False, dict=True):
    """Builds this controller's gossip and applies that of its peers."""

    context: ControllerContext
    membership: Membership
    planner: Planner
    quota_transfer: QuotaTransfer
    admission: AdmissionController
    overload: OverloadController | None
    deleted_machines: DeletedMachines

    def build(self) -> pb.Gossip:
        """Build the gossip message that is sent to every peer."""
        gossip = pb.Gossip()
        for shard, owner in self.membership.owners.items():
            gossip.ownerships.add(
                shard=shard, node=owner.node, token=owner.token, epoch=owner.epoch
            )
        gossip.demands.extend(self.planner.demand.published())
        gossip.deleted_machines.extend(self.deleted_machines.announced())
        self._add_quota_needs(gossip)
        for job in self.planner.own_team_jobs():
            gossip.team_jobs.add(
                team=job.team,
                submitted_ms=job.submitted_ms,
                id=job.id,
                cpus=job.cpus,
                gpus=job.gpus,
                rank=job.rank,
            )
        if self.admission.durable is not None:
            self.admission.durable.add_to_gossip(gossip)
        if self.overload is not None:
            self.overload.add_to_gossip(gossip)
        return gossip

    def _add_quota_needs(self, gossip: pb.Gossip) -> None:
        for (team, shard), need in self.quota_transfer.quota_needs.items():
            task = self.quota_transfer.smallest_task(team, shard)
            gossip.quota_needs.add(
                team=team,
                shard=shard,
                cpus=need[0],
                gpus=need[1],
                task_cpus=task[0],
                task_gpus=task[1],
            )

    async def apply(self, sender: int, gossip: pb.Gossip) -> None:
        """Apply the gossip of a peer. `sender` is its index among the members."""
        for item in gossip.ownerships:
            owner = ShardOwner(item.node, item.token, item.epoch)
            await self.membership.observe_owner(item.shard, owner)
        self.planner.demand.receive(sender, gossip.demands)
        self.planner.team_jobs[sender] = [
            TeamJob(j.team, j.submitted_ms, j.id, j.cpus, j.gpus, j.rank) for j in gossip.team_jobs
        ]
        for need in gossip.quota_needs:
            task = (need.task_cpus, need.task_gpus)
            await self.quota_transfer.transfer_to(
                need.team, need.shard, (need.cpus, need.gpus), task
            )
        if self.admission.durable is not None:
            self.admission.durable.receive_gossip(sender, gossip)
        if self.overload is not None:
            self.overload.receive_gossip(gossip)
        self.deleted_machines.record_announced(gossip.deleted_machines)

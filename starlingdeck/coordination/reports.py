"""The workers' door: their reports, and where to send those that are not ours."""

import logging
from collections.abc import Mapping

import msgspec

from starlingdeck.coordination.machines import MachineShard
from starlingdeck.coordination.membership import Membership
from starlingdeck.coordination.peers import PeerDown, Peers
from starlingdeck.coordination.shards import machine_shard
from starlingdeck.coordination.users import fault
from starlingdeck.coordination.world import World
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.server import Response

log = logging.getLogger(__name__)

REPORT = "REPORT"
COME_BACK_S = 8.0  # a worker back from its holder within this has not reached it
STRAY_S = 15.0  # how long such a worker's reports are passed on before it is sent there again
PASS_ON_S = 1.5


class Reports:
    def __init__(
        self,
        world: World,
        membership: Membership,
        peers: Peers,
        machines: Mapping[int, MachineShard],
    ) -> None:
        self.world = world
        self.membership = membership
        self.peers = peers
        self.machines = machines
        self.redirected: dict[int, float] = {}
        self.strays: dict[int, float] = {}
        self.faces: dict[int, float] = {}
        self.news = False  # whether a report has shown something new

    async def take(self, body: bytes, passed_on: bool = False) -> Response:
        try:
            report = api.decode_report(body)
        except api.FieldFault as why:
            log.info("a report was refused: %s", why)
            return fault(400, str(why))
        shard = machine_shard(report.machine, report.zone, self.world.shard_zones)
        machines = self.machines.get(shard)
        if machines is None or report.token > machines.token:
            if passed_on:
                return Response(421, msgspec.json.encode(api.Redirect(None)))
            return await self._redirect(report, shard, body)
        if not self.membership.may_renew_workers():
            return fault(503, "cut off from the state service")
        if machines.passed_over(report):
            self.news = True
            return fault(503, "an old report")
        valid = self.membership.valid()
        fresh = self.world.machines.get(report.machine)
        seen = machines.machines.get(fresh) if fresh is not None else None
        newer = seen is None or (report.session, report.seq) > seen.mark()
        machine = machines.take_report(report, True)
        if machines.due or machines.changed:
            self.news = True
        commands = machines.commands_after(machine, valid) if newer else []
        if newer and valid:
            commands += machines.riding(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    def redirect(self, shard: int) -> str | None:
        """The node to report to; none while we can't reach the holder.

        A worker that is sent to a silent node waits 4 s for it and has 1 s more to wait
        for the next: twice that, and its lease is over.
        """
        holder = self.membership.holders.get(shard)
        if holder is None or holder.node == self.world.node or not self.peers.up(holder.node):
            return None
        return self.world.node_name(holder.node)

    async def _redirect(self, report: api.Report, shard: int, body: bytes) -> Response:
        """Send a worker to its holder, or pass its report on when it came back from there.

        A worker may be unable to reach a holder that we can reach; each try there costs it
        5 s of its lease, and it may have made one already. So its report is passed on
        first, and only its next one is sent away. Back again soon, it is heard through us
        for a while, and then sent there again, to see.
        """
        name = self.redirect(shard)
        now = self.world.now()
        machine = self.world.machines.put(report.machine)
        if name is None:
            return Response(421, msgspec.json.encode(api.Redirect(None)))
        holder = self.membership.holders[shard]
        back = now - self.redirected.get(machine, -1e9) < COME_BACK_S
        since = self.strays.get(machine, now)
        if machine in self.strays or back:
            send = now - since >= STRAY_S
            self.strays[machine] = since
        else:
            # A new face is heard once, so that it goes there with its whole lease.
            send = now - self.faces.get(machine, -1e9) < STRAY_S
            self.faces[machine] = now
        if send:
            self.strays.pop(machine, None)
            self.redirected[machine] = now
            return Response(421, msgspec.json.encode(api.Redirect(name)))
        ask = pb.Envelope(forward=pb.Forward(method=REPORT, body=body))
        try:
            reply = (await self.peers.call(holder.node, ask, PASS_ON_S)).forwarded
            return Response(reply.status, reply.body)
        except PeerDown as why:
            log.info("report of %s not passed on: %s", report.machine, why)
            return Response(421, msgspec.json.encode(api.Redirect(None)))

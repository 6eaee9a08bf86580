"""The workers' door: their reports, and where to send those that are not ours."""

import logging
import math
from collections.abc import Mapping

import curio
import msgspec
from msgspec import Struct

from starlingdeck.api.job_api import fault
from starlingdeck.cluster.membership import Holder, Membership
from starlingdeck.cluster.peers import PeerDown, Peers
from starlingdeck.cluster.sharding import machine_shard
from starlingdeck.context import World
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.server import Response

log = logging.getLogger(__name__)

REPORT = "REPORT"
SILENT_S = 5.0  # what a worker loses at each node that doesn't answer it
SLACK_S = 3.0
SETTLED_S = 10.0  # (start) how long after a new hold its workers still come from the former one
STRAY_S = 15.0  # how long a stray's reports are passed on before it may be sent there again
PASS_ON_S = 1.5
WORD_WAIT_S = 1.5  # (start) how long a report waits for a first word; its worker waits 4 s
WORD_LOOK_S = 0.1
NOBODY = -1


class Trial(Struct):
    """One stray that was sent to its holder, to see whether workers reach it again."""

    machine: int  # NOBODY: one came back, and nobody is sent until STRAY_S after
    at: float


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
        # A worker sent to a silent holder may try all other controllers before it is back.
        self.come_back_s = SILENT_S * (world.shards - 1) + SLACK_S
        self.trials: dict[int, Trial] = {}  # by holder
        self.since: dict[int, tuple[int, float]] = {}  # shard -> a hold, and when we heard of it
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
        machine = machines.take_report(report, True)
        if not await self._borne_out(shard, machines, machine):
            self.news = True
            return fault(503, "no word from a job's holder")
        valid = self.membership.valid()
        newer = machine.mark() == (report.session, report.seq)  # nothing has overtaken it
        if machines.due or machines.changed:
            self.news = True
        commands = machines.commands_after(machine, valid) if newer else []
        if newer and valid:
            commands += machines.riding(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    async def _borne_out(self, shard: int, machines: MachineShard, machine: Machine) -> bool:
        """Whether what runs on a machine may go on: all its jobs' holders have spoken lately.

        After a takeover their first lists are some tenths of a second away: sent on, the worker
        would lose a second and be sent back.
        """
        looks = int(WORD_WAIT_S / WORD_LOOK_S)
        while (age := machines.unsaid(machine)) > self.world.word_s:
            if age < math.inf or not looks:
                machines.unsaid_reports += 1
                return False
            looks -= 1
            await curio.sleep(WORD_LOOK_S)
        return self.machines.get(shard) is machines and self.membership.may_renew_workers()

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
        """Send a worker to its holder, or pass its report on when it can't reach that.

        A worker may be unable to reach a holder that we can reach; each try there costs it
        5 s of its lease, and it may have made one already. So its report is passed on
        first, and only its next one is sent away. Back again soon, or here though it was
        served there, it is heard through us for a while; then one of such strays is
        sent there again, to see. With another controller silent as well a worker was back later
        than it was expected: 96 of them were sent away each time, and lost three leases.
        """
        name = self.redirect(shard)
        now = self.world.now()
        machine = self.world.machines.put(report.machine)
        if name is None:
            return Response(421, msgspec.json.encode(api.Redirect(None)))
        holder = self.membership.holders[shard]
        if self._strays(report, machine, shard, holder, now):
            send = self._may_try(machine, holder.node, now)
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

    def _strays(
        self, report: api.Report, machine: int, shard: int, holder: Holder, now: float
    ) -> bool:
        """Whether a worker is here because its holder doesn't answer it."""
        hold = self.since.get(shard)
        if hold is None or hold[0] != holder.gen:
            hold = self.since[shard] = (holder.gen, now)
        trial = self.trials.get(holder.node)
        if now - self.redirected.pop(machine, -1e9) < self.come_back_s:
            if trial is None or trial.machine in (machine, NOBODY):
                self.trials[holder.node] = Trial(NOBODY, now)
            self.strays[machine] = now
        elif report.token >= holder.token and now - hold[1] > SETTLED_S:
            # Who has the token was served there; after a takeover the new holder shows it to all.
            self.strays.setdefault(machine, now)
        return machine in self.strays

    def _may_try(self, machine: int, node: int, now: float) -> bool:
        trial = self.trials.get(node)
        if now - self.strays[machine] < STRAY_S:
            return False
        if trial is None or (trial.machine == NOBODY and now - trial.at >= STRAY_S):
            self.trials[node] = Trial(machine, now)
            return True
        return trial.machine != NOBODY and now - trial.at >= self.come_back_s

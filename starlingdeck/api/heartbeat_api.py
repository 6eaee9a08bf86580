"""The workers' door: their reports, and where to send those that are not ours."""

import logging
import math
from collections.abc import Mapping

import curio
import msgspec
from msgspec import Struct

from starlingdeck.api.job_api import error_response
from starlingdeck.cluster.membership import Membership, ShardOwner
from starlingdeck.cluster.peers import Peers, PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.context import ControllerContext
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
MISROUTED_RETENTION_S = (
    15.0  # how long a stray's reports are passed on before it may be sent there again
)
PASS_ON_S = 1.5
WATERMARK_WAIT_S = 1.5  # (start) how long a report waits for a first word; its worker waits 4 s
WATERMARK_POLL_S = 0.1
NOBODY = -1


class Trial(Struct):
    """One stray that was sent to its holder, to see whether workers reach it again."""

    machine: int  # NOBODY: one came back, and nobody is sent until STRAY_S after
    at: float


class HeartbeatApi:
    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        peers: Peers,
        machines: Mapping[int, MachineShard],
    ) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        self.machines = machines
        # A worker sent to a silent holder may try all other controllers before it is back.
        self.come_back_s = SILENT_S * (context.shard_count - 1) + SLACK_S
        self.trials: dict[int, Trial] = {}  # by holder
        self.since: dict[int, tuple[int, float]] = {}  # shard -> a hold, and when we heard of it
        self.redirected: dict[int, float] = {}
        self.misrouted: dict[int, float] = {}
        self.sources: dict[int, float] = {}
        self.has_updates = False  # whether a report has shown something new

    async def handle(self, body: bytes, passed_on: bool = False) -> Response:
        try:
            report = api.decode_report(body)
        except api.ValidationError as error:
            log.info("a report was refused: %s", error)
            return error_response(400, str(error))
        shard = shard_of_machine(report.machine, report.zone, self.context.shard_zones)
        machines = self.machines.get(shard)
        if machines is None or report.token > machines.token:
            if passed_on:
                return Response(421, msgspec.json.encode(api.Redirect(None)))
            return await self._redirect(report, shard, body)
        if not self.membership.may_renew_worker_leases():
            return error_response(503, "cut off from the state service")
        if machines.is_stale_report(report):
            self.has_updates = True
            return error_response(503, "an old report")
        machine = machines.apply_report(report, True)
        if not await self._is_confirmed(shard, machines, machine):
            self.has_updates = True
            return error_response(503, "no word from a job's holder")
        valid = self.membership.lease_is_valid()
        newer = machine.position() == (report.session, report.seq)  # nothing has overtaken it
        if machines.to_reconcile or machines.changed:
            self.has_updates = True
        commands = machines.pending_commands(machine, valid) if newer else []
        if newer and valid:
            commands += machines.piggybacked_starts(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    async def _is_confirmed(self, shard: int, machines: MachineShard, machine: Machine) -> bool:
        """Whether what runs on a machine may go on: all its jobs' holders have spoken lately.

        After a takeover their first lists are some tenths of a second away: sent on, the worker
        would lose a second and be sent back.
        """
        looks = int(WATERMARK_WAIT_S / WATERMARK_POLL_S)
        while (age := machines.watermark_age_s(machine)) > self.context.watermark_lifetime_s:
            if age < math.inf or not looks:
                machines.unconfirmed_reports += 1
                return False
            looks -= 1
            await curio.sleep(WATERMARK_POLL_S)
        return self.machines.get(shard) is machines and self.membership.may_renew_worker_leases()

    def redirect(self, shard: int) -> str | None:
        """The node to report to; none while we can't reach the holder.

        A worker that is sent to a silent node waits 4 s for it and has 1 s more to wait
        for the next: twice that, and its lease is over.
        """
        owner = self.membership.owners.get(shard)
        if (
            owner is None
            or owner.node == self.context.node
            or not self.peers.is_reachable(owner.node)
        ):
            return None
        return self.context.node_name(owner.node)

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
        now = self.context.now()
        machine = self.context.machine_names.intern(report.machine)
        if name is None:
            return Response(421, msgspec.json.encode(api.Redirect(None)))
        owner = self.membership.owners[shard]
        if self._handle_misrouted(report, machine, shard, owner, now):
            send = self._may_try(machine, owner.node, now)
        else:
            # A new face is heard once, so that it goes there with its whole lease.
            send = now - self.sources.get(machine, -1e9) < MISROUTED_RETENTION_S
            self.sources[machine] = now
        if send:
            self.misrouted.pop(machine, None)
            self.redirected[machine] = now
            return Response(421, msgspec.json.encode(api.Redirect(name)))
        ask = pb.Envelope(forward_request=pb.ForwardRequest(method=REPORT, body=body))
        try:
            reply = (await self.peers.call(owner.node, ask, PASS_ON_S)).forward_reply
            return Response(reply.status, reply.body)
        except PeerUnavailableError as error:
            log.info("report of %s not passed on: %s", report.machine, error)
            return Response(421, msgspec.json.encode(api.Redirect(None)))

    def _handle_misrouted(
        self, report: api.Report, machine: int, shard: int, owner: ShardOwner, now: float
    ) -> bool:
        """Whether a worker is here because its holder doesn't answer it."""
        hold = self.since.get(shard)
        if hold is None or hold[0] != owner.epoch:
            hold = self.since[shard] = (owner.epoch, now)
        trial = self.trials.get(owner.node)
        if now - self.redirected.pop(machine, -1e9) < self.come_back_s:
            if trial is None or trial.machine in (machine, NOBODY):
                self.trials[owner.node] = Trial(NOBODY, now)
            self.misrouted[machine] = now
        elif report.token >= owner.token and now - hold[1] > SETTLED_S:
            # Who has the token was served there; after a takeover the new holder shows it to all.
            self.misrouted.setdefault(machine, now)
        return machine in self.misrouted

    def _may_try(self, machine: int, node: int, now: float) -> bool:
        trial = self.trials.get(node)
        if now - self.misrouted[machine] < MISROUTED_RETENTION_S:
            return False
        if trial is None or (trial.machine == NOBODY and now - trial.at >= MISROUTED_RETENTION_S):
            self.trials[node] = Trial(machine, now)
            return True
        return trial.machine != NOBODY and now - trial.at >= self.come_back_s

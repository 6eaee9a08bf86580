"""The workers' HTTP API: heartbeats (reports) of the machines owned here."""

import logging
import math
from collections.abc import Mapping

import curio
import msgspec

from starlingdeck.api.heartbeat_redirect import HeartbeatRedirector, redirect_response
from starlingdeck.api.responses import error_response
from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.context import ControllerContext
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.transport.server import Response

log = logging.getLogger(__name__)

WATERMARK_WAIT_S = 1.5  # (start) for a first cancellation watermark; the worker waits 4 s
WATERMARK_POLL_S = 0.1


class HeartbeatApi:
    """Applies heartbeats and renews leases; what is owned elsewhere goes to the redirector."""

    def __init__(
        self,
        context: ControllerContext,
        membership: Membership,
        peers: Peers,
        machines: Mapping[int, MachineShard],
    ) -> None:
        self.context = context
        self.membership = membership
        self.machines = machines
        self.redirector = HeartbeatRedirector(context, membership, peers)
        self.has_updates = False  # whether a heartbeat has shown anything new

    async def handle(self, body: bytes, forwarded: bool = False) -> Response:
        """Answer one heartbeat, from the worker itself or as forwarded by a peer."""
        try:
            report = api.decode_report(body)
        except api.ValidationError as error:
            log.info("heartbeat refused: error=%s", error)
            return error_response(400, str(error))
        shard = shard_of_machine(report.machine, report.zone, self.context.shard_zones)
        machines = self.machines.get(shard)
        if machines is None or report.token > machines.token:
            if forwarded:
                return redirect_response(None)
            return await self.redirector.redirect_or_forward(report, shard, body)
        if not self.membership.may_renew_worker_leases():
            return error_response(503, "cut off from the state service")
        if machines.is_stale_report(report):
            self.has_updates = True
            return error_response(503, "an old report")
        machine = machines.apply_report(report, True)
        if not await self._is_confirmed(shard, machines, machine):
            self.has_updates = True
            return error_response(503, "no word from a job's holder")
        return self._renew_lease(report, machines, machine)

    def _renew_lease(
        self, report: api.Report, machines: MachineShard, machine: Machine
    ) -> Response:
        """Renew the worker's lease, with the commands that are due for it."""
        valid = self.membership.lease_is_valid()
        newest = machine.position() == (report.session, report.seq)  # nothing has overtaken it
        if machines.to_reconcile or machines.changed:
            self.has_updates = True
        commands = machines.pending_commands(machine, valid) if newest else []
        if newest and valid:
            commands += machines.piggybacked_starts(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    async def _is_confirmed(self, shard: int, machines: MachineShard, machine: Machine) -> bool:
        """Whether what runs on a machine may go on: its jobs' owners have confirmed it lately.

        After a takeover their first desired states are some tenths of a second away: redirected,
        the worker would lose a second and be sent back.
        """
        polls = int(WATERMARK_WAIT_S / WATERMARK_POLL_S)
        while (age_s := machines.watermark_age_s(machine)) > self.context.watermark_lifetime_s:
            if age_s < math.inf or not polls:
                machines.unconfirmed_reports += 1
                return False
            polls -= 1
            await curio.sleep(WATERMARK_POLL_S)
        return self.machines.get(shard) is machines and self.membership.may_renew_worker_leases()

"""The workers' HTTP API: heartbeats, which are reports of what a machine runs."""

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

FIRST_WATERMARK_WAIT_S = 1.5  # a worker waits 4 s for the response to its heartbeat
WATERMARK_POLL_S = 0.1


class HeartbeatApi:
    """Applies heartbeats and renews the workers' leases.

    Heartbeats of machines that another controller owns are passed to the redirector.
    """

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
        # A heartbeat has made work for the reconciler; reset by HttpRouter.
        self.has_updates = False

    async def handle(self, body: bytes, forwarded: bool = False) -> Response:
        """Answer one heartbeat; one that a peer has forwarded is not forwarded again.

        Only a response with status 200 renews the worker's lease.
        """
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
        if not await self._await_confirmation(shard, machines, machine):
            self.has_updates = True
            return error_response(503, "no word from a job's holder")
        return self._renew_lease(report, machines, machine)

    def _renew_lease(
        self, report: api.Report, machines: MachineShard, machine: Machine
    ) -> Response:
        """Return the response that renews the worker's lease, with the commands that are due."""
        lease_valid = self.membership.lease_is_valid()
        is_newest = machine.position() == (report.session, report.seq)  # no later one was applied
        if machines.to_reconcile or machines.changed:
            self.has_updates = True
        commands = machines.pending_commands(machine, lease_valid) if is_newest else []
        if is_newest and lease_valid:
            commands += machines.piggybacked_starts(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    async def _await_confirmation(
        self, shard: int, machines: MachineShard, machine: Machine
    ) -> bool:
        """Return whether the owners of the jobs on a machine have confirmed its tasks recently.

        Waits up to FIRST_WATERMARK_WAIT_S for the first cancellation watermark of an owner. After
        a takeover it arrives with the owner's first desired state, within some tenths of a
        second. If the worker were redirected instead, it would lose a second and be sent back.
        """
        polls = int(FIRST_WATERMARK_WAIT_S / WATERMARK_POLL_S)
        while (age_s := machines.watermark_age_s(machine)) > self.context.watermark_lifetime_s:
            if age_s < math.inf or not polls:
                machines.unconfirmed_reports += 1
                return False
            polls -= 1
            await curio.sleep(WATERMARK_POLL_S)
        return self.machines.get(shard) is machines and self.membership.may_renew_worker_leases()

"""The workers' HTTP API: heartbeats (reports), and the redirection of misrouted ones."""

import logging
import math
from collections.abc import Mapping
from typing import NamedTuple

import curio
import msgspec
from msgspec import Struct

from starlingdeck.api.responses import error_response
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

REPORT = "REPORT"  # method of a forwarded heartbeat
RESPONSE_TIMEOUT_S = 5.0  # what a worker loses at each controller that doesn't answer it
RETURN_MARGIN_S = 3.0
OWNERSHIP_SETTLED_S = 10.0  # (start) until a new owner has announced its token to its workers
MISROUTED_RETENTION_S = 15.0  # heartbeats are forwarded this long before the owner is tried again
FORWARD_TIMEOUT_S = 1.5
WATERMARK_WAIT_S = 1.5  # (start) for a first cancellation watermark; the worker waits 4 s
WATERMARK_POLL_S = 0.1
NO_MACHINE = -1
NEVER = -1e9


class RedirectTrial(Struct):
    """One misrouted worker that was redirected, to see whether workers reach the owner again."""

    machine: int  # NO_MACHINE: one came back; none is sent until MISROUTED_RETENTION_S is over
    started_at: float


class ObservedOwnership(NamedTuple):
    """An ownership of a shard, and when this controller first knew of it."""

    epoch: int
    observed_at: float


class HeartbeatApi:
    """Applies the heartbeats of machines owned here; redirects or forwards all others."""

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
        # A worker redirected to a silent owner may try all other controllers before it is back.
        self.max_return_s = RESPONSE_TIMEOUT_S * (context.shard_count - 1) + RETURN_MARGIN_S
        self.trials: dict[int, RedirectTrial] = {}  # by the owner's node
        self.ownerships: dict[int, ObservedOwnership] = {}  # by shard
        # By machine, the time of:
        self.redirected: dict[int, float] = {}  # its last redirect
        self.misrouted: dict[int, float] = {}  # the first sign that it can't reach its owner
        self.sources: dict[int, float] = {}  # its last heartbeat forwarded as a newcomer's
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
                return _redirect_response(None)
            return await self._redirect_or_forward(report, shard, body)
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

    def owner_to_report_to(self, shard: int) -> str | None:
        """The name of the controller to report to; None while we can't reach the owner.

        A worker that is redirected to a silent controller waits 4 s for it and has 1 s more to
        wait for the next: twice that, and its lease is over.
        """
        owner = self.membership.owners.get(shard)
        if (
            owner is None
            or owner.node == self.context.node
            or not self.peers.is_reachable(owner.node)
        ):
            return None
        return self.context.node_name(owner.node)

    async def _redirect_or_forward(self, report: api.Report, shard: int, body: bytes) -> Response:
        """Redirect a worker to its owner, or forward its heartbeat when it can't reach the owner.

        A worker may be unable to reach an owner that we can reach; each try there costs it
        5 s of its lease, and it may have made one already. So its heartbeat is forwarded
        first, and only its next one is redirected. Back again soon, or here though it was
        served there, its heartbeats are forwarded for a while; then one of such workers is
        redirected again, as a trial. With another controller silent as well a worker was back
        later than expected: 96 of them were redirected each time, and lost three leases.
        """
        owner_name = self.owner_to_report_to(shard)
        now = self.context.now()
        machine = self.context.machine_names.intern(report.machine)
        if owner_name is None:
            return _redirect_response(None)
        owner = self.membership.owners[shard]
        if self._is_misrouted(report, machine, shard, owner, now):
            redirect = self._start_trial(machine, owner.node, now)
        else:
            # A newcomer's first heartbeat is forwarded, so that it leaves with its whole lease.
            redirect = now - self.sources.get(machine, NEVER) < MISROUTED_RETENTION_S
            self.sources[machine] = now
        if redirect:
            self.misrouted.pop(machine, None)
            self.redirected[machine] = now
            return _redirect_response(owner_name)
        return await self._forward(report, owner.node, body)

    async def _forward(self, report: api.Report, node: int, body: bytes) -> Response:
        envelope = pb.Envelope(forward_request=pb.ForwardRequest(method=REPORT, body=body))
        try:
            reply = (await self.peers.call(node, envelope, FORWARD_TIMEOUT_S)).forward_reply
            return Response(reply.status, reply.body)
        except PeerUnavailableError as error:
            log.info("heartbeat not forwarded: machine=%s error=%s", report.machine, error)
            return _redirect_response(None)

    def _is_misrouted(
        self, report: api.Report, machine: int, shard: int, owner: ShardOwner, now: float
    ) -> bool:
        """Whether a worker reports here because its owner doesn't answer it."""
        ownership = self.ownerships.get(shard)
        if ownership is None or ownership.epoch != owner.epoch:
            ownership = self.ownerships[shard] = ObservedOwnership(owner.epoch, now)
        trial = self.trials.get(owner.node)
        if now - self.redirected.pop(machine, NEVER) < self.max_return_s:
            if trial is None or trial.machine in (machine, NO_MACHINE):
                self.trials[owner.node] = RedirectTrial(NO_MACHINE, now)
            self.misrouted[machine] = now
        elif report.token >= owner.token and now - ownership.observed_at > OWNERSHIP_SETTLED_S:
            # Who has the token was served there: a new owner announces it to all its workers.
            self.misrouted.setdefault(machine, now)
        return machine in self.misrouted

    def _start_trial(self, machine: int, node: int, now: float) -> bool:
        """Whether a misrouted worker is redirected: as the trial, or after one that succeeded."""
        trial = self.trials.get(node)
        if now - self.misrouted[machine] < MISROUTED_RETENTION_S:
            return False
        if trial is None or (
            trial.machine == NO_MACHINE and now - trial.started_at >= MISROUTED_RETENTION_S
        ):
            self.trials[node] = RedirectTrial(machine, now)
            return True
        return trial.machine != NO_MACHINE and now - trial.started_at >= self.max_return_s


def _redirect_response(owner_name: str | None) -> Response:
    """Tell a worker where to report; without a name it tries the other controllers."""
    return Response(421, msgspec.json.encode(api.Redirect(owner_name)))

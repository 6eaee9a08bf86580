"""Heartbeats of machines owned elsewhere: redirect the worker, or forward its heartbeat."""

import logging
from typing import NamedTuple

import msgspec
from msgspec import Struct

from starlingdeck.cluster.membership import Membership, ShardOwner
from starlingdeck.cluster.peers import Peers, PeerUnavailableError
from starlingdeck.context import ControllerContext
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.server import Response

log = logging.getLogger(__name__)

REPORT_METHOD = "REPORT"  # `ForwardRequest.method` of a forwarded heartbeat
RESPONSE_TIMEOUT_S = 5.0  # what a worker loses at each controller that doesn't answer it
RETURN_MARGIN_S = 3.0
OWNERSHIP_SETTLED_S = 10.0  # (start) until a new owner has announced its token to its workers
MISROUTED_RETENTION_S = 15.0  # heartbeats are forwarded this long before the owner is tried again
FORWARD_TIMEOUT_S = 1.5
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


class HeartbeatRedirector:
    """Decides for each misrouted worker whether it is redirected to its owner."""

    def __init__(self, context: ControllerContext, membership: Membership, peers: Peers) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        # A worker redirected to a silent owner may try all other controllers before it is back.
        self.max_return_s = RESPONSE_TIMEOUT_S * (context.shard_count - 1) + RETURN_MARGIN_S
        self.trials: dict[int, RedirectTrial] = {}  # by the owner's node
        self.ownerships: dict[int, ObservedOwnership] = {}  # by shard
        # By machine, the time of:
        self.redirected: dict[int, float] = {}  # its last redirect
        self.misrouted: dict[int, float] = {}  # since when it seems unable to reach its owner
        self.newcomers: dict[int, float] = {}  # its last heartbeat while not counted as misrouted

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

    async def redirect_or_forward(self, report: api.Report, shard: int, body: bytes) -> Response:
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
            return redirect_response(None)
        owner = self.membership.owners[shard]
        if self._is_misrouted(report, machine, shard, owner, now):
            redirect = self._start_trial(machine, owner.node, now)
        else:
            # A newcomer's first heartbeat is forwarded, so that it leaves with its whole lease.
            redirect = now - self.newcomers.get(machine, NEVER) < MISROUTED_RETENTION_S
            self.newcomers[machine] = now
        if redirect:
            self.misrouted.pop(machine, None)
            self.redirected[machine] = now
            return redirect_response(owner_name)
        return await self._forward(report, owner.node, body)

    async def _forward(self, report: api.Report, node: int, body: bytes) -> Response:
        envelope = pb.Envelope(forward_request=pb.ForwardRequest(method=REPORT_METHOD, body=body))
        try:
            reply = (await self.peers.call(node, envelope, FORWARD_TIMEOUT_S)).forward_reply
            return Response(reply.status, reply.body)
        except PeerUnavailableError as error:
            log.info("heartbeat not forwarded: machine=%s error=%s", report.machine, error)
            return redirect_response(None)

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


def redirect_response(owner_name: str | None) -> Response:
    """Tell a worker where to report; without a name it tries the other controllers."""
    return Response(421, msgspec.json.encode(api.Redirect(owner_name)))

"""Handling of heartbeats of machines that another controller owns.

Each worker is redirected to the owner, or its heartbeat is forwarded there.
"""

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
# What a worker loses at a controller that does not answer: it waits 4 s for the response, and 1 s
# more before it tries the next controller.
SILENT_CONTROLLER_DELAY_S = 5.0
RETURN_MARGIN_S = 3.0
OWNERSHIP_SETTLED_S = 10.0  # until a new owner has announced its token to all its workers
MISROUTED_RETENTION_S = 15.0  # a misrouted worker is served by forwarding before a trial
FORWARD_TIMEOUT_S = 1.5
NO_MACHINE = -1
NEVER = -1e9  # earlier than any time of the steady clock


class RedirectTrial(Struct):
    """The redirect of one misrouted worker, which shows whether workers reach the owner again."""

    machine: int  # NO_MACHINE: a redirected worker came back
    started_at: float  # for NO_MACHINE: the time from which MISROUTED_RETENTION_S counts


class ObservedOwnership(NamedTuple):
    """The epoch of a shard's ownership, and when the redirector first saw it."""

    epoch: int
    observed_at: float


class HeartbeatRedirector:
    """Redirects workers to the owner of their machine, or forwards their heartbeats to it.

    A worker is counted as misrouted if it seems unable to reach an owner that this controller can
    reach.
    """

    def __init__(self, context: ControllerContext, membership: Membership, peers: Peers) -> None:
        self.context = context
        self.membership = membership
        self.peers = peers
        # A worker that is redirected to an owner that does not answer may try every other
        # controller before it reports here again.
        self.max_return_s = SILENT_CONTROLLER_DELAY_S * (context.shard_count - 1) + RETURN_MARGIN_S
        self.trials: dict[int, RedirectTrial] = {}  # owner's node -> its latest trial
        self.ownerships: dict[int, ObservedOwnership] = {}  # by shard
        # By machine, the time:
        self.redirected_at: dict[int, float] = {}  # of its last redirect
        self.misrouted_since: dict[int, float] = {}  # from which it counts as misrouted
        self.newcomers: dict[int, float] = {}  # of its last heartbeat while not misrouted

    def reachable_owner_name(self, shard: int) -> str | None:
        """Return the name of a shard's owner; None if unknown, unreachable or this controller.

        A worker that is redirected to a controller that does not answer loses
        SILENT_CONTROLLER_DELAY_S. If it loses that twice, its lease expires.
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
        """Redirect a worker to its owner, or forward its heartbeat if it can't reach the owner.

        If this controller can't reach the owner, the worker is told to try other controllers.

        A worker may be unable to reach an owner that this controller can reach. Each attempt
        costs it 5 s of its lease, and it may have made one already. So its first heartbeat is
        forwarded, and only the next one is redirected. A worker counts as misrouted if it is back
        soon after a redirect, or reports here although the owner has served it. Its heartbeats
        are forwarded for MISROUTED_RETENTION_S; then one of the owner's misrouted workers is
        redirected as a trial. The time within which a worker counts as back allows for other
        silent controllers: with one more of them, workers came back later than expected, 96 of
        them were redirected each time, and three leases were lost.
        """
        owner_name = self.reachable_owner_name(shard)
        now = self.context.now()
        machine = self.context.machine_names.intern(report.machine)
        if owner_name is None:
            return redirect_response(None)
        owner = self.membership.owners[shard]
        if self._detect_misrouted(report, machine, shard, owner, now):
            redirect = self._should_redirect_misrouted(machine, owner.node, now)
        else:
            # The first heartbeat is forwarded, which renews the lease, so that a worker has its
            # whole lease left when it is redirected.
            redirect = now - self.newcomers.get(machine, NEVER) < MISROUTED_RETENTION_S
            self.newcomers[machine] = now
        if redirect:
            self.misrouted_since.pop(machine, None)
            self.redirected_at[machine] = now
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

    def _detect_misrouted(
        self, report: api.Report, machine: int, shard: int, owner: ShardOwner, now: float
    ) -> bool:
        """Return whether a worker reports here because its owner does not answer it.

        A worker that is back within `max_return_s` of a redirect makes the owner's trial fail,
        unless another worker's trial is in progress.
        """
        ownership = self.ownerships.get(shard)
        if ownership is None or ownership.epoch != owner.epoch:
            ownership = self.ownerships[shard] = ObservedOwnership(owner.epoch, now)
        trial = self.trials.get(owner.node)
        if now - self.redirected_at.pop(machine, NEVER) < self.max_return_s:
            if trial is None or trial.machine in (machine, NO_MACHINE):
                self.trials[owner.node] = RedirectTrial(NO_MACHINE, now)
            self.misrouted_since[machine] = now
        elif report.token >= owner.token and now - ownership.observed_at > OWNERSHIP_SETTLED_S:
            # A worker that has the owner's token was served by the owner. Before
            # OWNERSHIP_SETTLED_S it may only have received the token: a new owner announces it to
            # all its workers.
            self.misrouted_since.setdefault(machine, now)
        return machine in self.misrouted_since

    def _should_redirect_misrouted(self, machine: int, node: int, now: float) -> bool:
        """Return whether to redirect a misrouted worker: as a new trial, or after a successful one.

        A trial has succeeded when its worker is not back within `max_return_s`.
        """
        trial = self.trials.get(node)
        if now - self.misrouted_since[machine] < MISROUTED_RETENTION_S:
            return False
        if trial is None or (
            trial.machine == NO_MACHINE and now - trial.started_at >= MISROUTED_RETENTION_S
        ):
            self.trials[node] = RedirectTrial(machine, now)
            return True
        return trial.machine != NO_MACHINE and now - trial.started_at >= self.max_return_s


def redirect_response(owner_name: str | None) -> Response:
    """Return the response that tells a worker where to report.

    Without a name the worker tries the other controllers.
    """
    return Response(421, msgspec.json.encode(api.Redirect(owner_name)))

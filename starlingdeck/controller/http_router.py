"""Routing of HTTP requests: worker heartbeats, health, counted resources, jobs."""

import logging

import curio
from msgspec import Struct

from starlingdeck.api.heartbeat_api import HeartbeatApi
from starlingdeck.api.job_api import JobApi
from starlingdeck.api.responses import error_response
from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

log = logging.getLogger(__name__)

SLOW_RESPONSE_S = 0.15  # slower responses to change requests are logged at level debug


def _is_under(request: Request, path: str) -> bool:
    return request.path == path or request.path.startswith(path + "/")


class HttpRouter(Struct, kw_only=True, eq=False, dict=True):
    """Serves the HTTP requests that arrive at the controller's public address."""

    context: ControllerContext
    membership: Membership
    peers: Peers
    admission: AdmissionController
    job_api: JobApi
    heartbeat_api: HeartbeatApi
    wake: curio.Event
    wake_requested: bool = False  # whether a request has changed what is to be scheduled

    def request_wake(self) -> None:
        """Have the reconciler and the planner woken once the current request is answered."""
        self.wake_requested = True

    async def serve(self, request: Request) -> Response:
        """Answer one request, then wake the reconciler and the planner if it changed anything."""
        durable = self.admission.durable
        if request.path == api.REPORT:
            if request.method != "POST":
                return error_response(405, "use POST")
            response = await self._serve_report(request)
        elif request.path == api.HEALTH:
            if request.method not in ("GET", "HEAD"):
                return error_response(405, "use GET")
            return self.health()
        elif durable is not None and _is_under(request, durable.path):
            return await durable.serve(request)
        else:
            response = await self._serve_job_request(request)
        if self.wake_requested or self.heartbeat_api.has_updates:
            self.wake_requested = self.heartbeat_api.has_updates = False
            await self.wake.set()
        return response

    async def _serve_report(self, request: Request) -> Response:
        started_at = self.context.now()
        response = await self.heartbeat_api.handle(request.body)
        self.context.latencies.record("answer report", self.context.now() - started_at)
        return response

    async def _serve_job_request(self, request: Request) -> Response:
        started_at = self.context.now()
        response = await self.job_api.handle(request)
        kind = "look" if request.method == "GET" else "change"
        took_s = self.context.now() - started_at
        self.context.latencies.record(f"answer {kind}", took_s)
        if kind == "change" and (took_s > SLOW_RESPONSE_S or response.status >= 400):
            log.debug(
                "slow or failed change request: status=%d seconds=%.3f body=%s",
                response.status,
                took_s,
                response.body,
            )
        return response

    def health(self) -> Response:
        """Return 200 if users and workers should use this controller, else 503.

        A controller that reaches neither the state service nor a peer has to refuse every user's
        request. It reports itself unhealthy although it may still renew workers' leases, so that
        users are sent to other controllers. It also does while it knows no machine types.
        """
        peer_reachable = any(
            self.peers.is_reachable(node)
            for node in range(self.context.shard_count)
            if node != self.context.node
        )
        connected = self.membership.lease_is_valid() or peer_reachable
        if self.context.machine_types and connected:
            return Response(200)
        return error_response(503, "not ready")

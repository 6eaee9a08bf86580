"""A controller: construction and wiring of its components, and the shards that it owns."""

import curio

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.api.heartbeat_api import HeartbeatApi
from starlingdeck.api.job_api import JobApi
from starlingdeck.api.job_request import JobApiServices
from starlingdeck.autoscaling.cloud_client import CloudClient
from starlingdeck.autoscaling.machine_types import refresh_machine_types
from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.controller.autoscaling_loop import AutoscalingLoop
from starlingdeck.controller.cluster_keys import ClusterKeyHandler
from starlingdeck.controller.deleted_machines import DeletedMachines
from starlingdeck.controller.gossip import GossipExchange
from starlingdeck.controller.http_router import HttpRouter
from starlingdeck.controller.machine_type_store import MachineTypeStore
from starlingdeck.controller.metrics_report import MetricsReporter
from starlingdeck.controller.peer_messages import PeerMessageHandler
from starlingdeck.controller.reconciler import Reconciler
from starlingdeck.controller.record_flusher import RecordFlusher
from starlingdeck.controller.shard_loader import ShardLoader
from starlingdeck.controller.supervision import Loop, supervise
from starlingdeck.controller.token_raiser import TokenRaiser
from starlingdeck.controller.worker_caller import WorkerCaller
from starlingdeck.jobs.admission import AdmissionController, DurablePlugin
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.mailbox import Mailbox
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import split_address
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.scheduling.dependencies import PlannerDependencies
from starlingdeck.scheduling.overload import OverloadController
from starlingdeck.scheduling.planner import Planner
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import RequestBudget, StateClient
from starlingdeck.sync.state_sync import OwnedShards, StateSync
from starlingdeck.transport.client import HttpClient
from starlingdeck.transport.frames import FrameServer
from starlingdeck.transport.server import HttpServer, Request, Response

MIN_OPEN_CONNECTIONS = 16
CLIENT_CONNECTION_DIVISOR = 4  # the HTTP client may open a quarter of the machine's connections
SERVER_CONNECTION_SHARE = 0.6  # share of the machine's connections for the HTTP server
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4
CLOUD_RATE_SHARE = 0.8  # share of the cloud's request rate limit that is used
CLOUD_BURST_S = 1.5
LINKS_PER_CONTROLLER = 4


def _is_worker_report(request: Request) -> bool:
    return request.path == api.REPORT


class Controller:
    """Builds the components of a controller and connects them.

    Where a component calls one that is built after it, it calls a method of this class, which
    looks the later component up at the time of the call.
    """

    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        self.wake = curio.Event()  # set when the reconciler and the planner have something to do
        self.flush = curio.Event()  # set when records are to be written
        self.writers: dict[int, RecordWriter] = {}  # key: owned shard
        self.machines: dict[int, MachineShard] = {}  # key: owned shard
        self._build_clients()
        self._build_cluster_parts()
        self._build_job_parts()
        self._build_scheduling_parts()
        self._build_fleet_parts()
        self._build_handlers()
        self._build_loops()

    def _build_clients(self) -> None:
        """Create the clients of the state service and the cloud, within their request limits."""
        context = self.context
        deployment, external = context.settings.settings, context.settings.external
        max_connections = deployment.machine_limits.max_connections
        max_open = max(MIN_OPEN_CONNECTIONS, max_connections // CLIENT_CONNECTION_DIVISOR)
        self.http = HttpClient(max_idle=MAX_IDLE_CONNECTIONS_PER_ADDRESS, max_open=max_open)
        self.request_budget = RequestBudget(
            deployment.state.rps, deployment.state.write_rps, context.shard_count, context.now
        )
        self.state = StateClient(self.http, external.state, self.request_budget, context.now)
        cloud_limiter = TokenBucket(
            deployment.cloud.rps * CLOUD_RATE_SHARE, CLOUD_BURST_S, context.now
        )
        self.cloud_client = CloudClient(self.http, external.cloud, cloud_limiter)

    def _build_cluster_parts(self) -> None:
        """Create the membership with its shard ownership, and the links to other controllers."""
        self.membership = Membership(self.context, self.state, self)
        self.peers = Peers(self.context, self.on_message, self.build_gossip, self.on_resync_request)

    def _build_job_parts(self) -> None:
        """Create job admission and the job API."""
        self.mailbox = Mailbox(self.context, self.membership, self.wake)
        self.quota_transfer = QuotaTransfer(
            self.context, self.state, self.membership, self.writers, self.wake
        )
        self.admission = AdmissionController([self.quota_transfer])
        services = JobApiServices(
            context=self.context,
            state=self.state,
            membership=self.membership,
            peers=self.peers,
            writers=self.writers,
            admission=self.admission,
            request_wake=self.request_wake,
        )
        self.job_api = JobApi(services)

    def _build_scheduling_parts(self) -> None:
        """Create state synchronisation and the scheduler that depends on it."""
        context = self.context
        self.candidates = CandidatePool(context, self.membership, self.peers)
        owned = OwnedShards(self.writers, self.machines)
        self.state_sync = StateSync(
            context, self.state, self.membership, self.peers, owned, self.candidates
        )
        settings = context.tuning.overload
        self.overload: OverloadController | None = None
        if settings is not None:
            self.overload = OverloadController(context, self.writers, self.machines, settings)
        self.planner = Planner(
            context,
            PlannerDependencies(
                membership=self.membership,
                peers=self.peers,
                writers=self.writers,
                candidates=self.candidates,
                admission=self.admission,
                reserve_local=self.on_reserve,
                overload=self.overload,
                wake=self.wake,
                flush=self.flush,
            ),
        )

    def _build_fleet_parts(self) -> None:
        """Create the heartbeat API, the caller of workers, machine type storage and autoscaling."""
        self.heartbeat_api = HeartbeatApi(self.context, self.membership, self.peers, self.machines)
        self.worker_caller = WorkerCaller(
            context=self.context, http=self.http, machines=self.machines, wake=self.wake
        )
        self.deleted_machines = DeletedMachines(self.context, self.machines)
        self.machine_type_store = MachineTypeStore(self.context, self.state, self.machines)
        self.autoscaling = AutoscalingLoop(
            context=self.context,
            membership=self.membership,
            cloud_client=self.cloud_client,
            candidates=self.candidates,
            planner=self.planner,
            deleted_machines=self.deleted_machines,
        )

    def _build_handlers(self) -> None:
        """Create the handlers of HTTP requests, peers' messages and changed cluster keys."""
        self.gossip = GossipExchange(
            context=self.context,
            membership=self.membership,
            planner=self.planner,
            quota_transfer=self.quota_transfer,
            admission=self.admission,
            overload=self.overload,
            deleted_machines=self.deleted_machines,
        )
        self.peer_messages = PeerMessageHandler(
            membership=self.membership,
            machines=self.machines,
            gossip=self.gossip,
            state_sync=self.state_sync,
            job_api=self.job_api,
            heartbeat_api=self.heartbeat_api,
            wake=self.wake,
            flush=self.flush,
        )
        self.cluster_keys = ClusterKeyHandler(
            writers=self.writers,
            mailbox=self.mailbox,
            quota_transfer=self.quota_transfer,
            admission=self.admission,
            candidates=self.candidates,
            state_sync=self.state_sync,
            on_message=self.on_message,
            wake=self.wake,
            flush=self.flush,
        )
        self.http_router = HttpRouter(
            context=self.context,
            membership=self.membership,
            peers=self.peers,
            admission=self.admission,
            job_api=self.job_api,
            heartbeat_api=self.heartbeat_api,
            wake=self.wake,
        )

    def _build_loops(self) -> None:
        """Create the background loops, the shard loader and the HTTP server."""
        self.shard_loader = ShardLoader(
            context=self.context,
            writers=self.writers,
            quota_transfer=self.quota_transfer,
            state_sync=self.state_sync,
            mailbox=self.mailbox,
            wake=self.wake,
        )
        self.reconciler = Reconciler(
            context=self.context,
            request_budget=self.request_budget,
            membership=self.membership,
            machines=self.machines,
            writers=self.writers,
            worker_caller=self.worker_caller,
            token_raiser=TokenRaiser(
                context=self.context, membership=self.membership, wake=self.wake
            ),
            state_sync=self.state_sync,
            build_gossip=self.build_gossip,
            wake=self.wake,
            flush=self.flush,
        )
        self.record_flusher = RecordFlusher(
            context=self.context,
            membership=self.membership,
            writers=self.writers,
            wake=self.wake,
            flush=self.flush,
        )
        self.http_server = self._http_server()
        self.metrics = MetricsReporter(
            context=self.context,
            http_server=self.http_server,
            writers=self.writers,
            machines=self.machines,
            admission=self.admission,
            answers=self.job_api.guard,
            overload=self.overload,
        )

    def register_plugin(self, plugin: DurablePlugin) -> None:
        """Add an admission plugin. Must be called before `run`."""
        self.admission.register(plugin)

    # --- running

    async def run(self) -> None:
        """Serve requests and run all loops until the process is killed."""
        await self.peers.run(self._frame_server())
        async with curio.TaskGroup() as group:
            for loop in self._loops():
                await group.spawn(supervise, loop, self.context.rng)

    def _loops(self) -> list[Loop]:
        loops: list[Loop] = [
            self.http_server.run,
            self.membership.renew_loop,
            self.membership.watch_loop,
            self.membership.ownership_loop,
            self.reconciler.run,
            self.planner.run,
            self.record_flusher.run,
            self.autoscaling.run,
            self.update_machine_types,
            self.metrics.run,
        ]
        if self.admission.durable is not None:
            loops.append(self.admission.durable.run)
        return loops

    def _http_server(self) -> HttpServer:
        settings = self.context.settings
        max_connections = settings.settings.machine_limits.max_connections
        return HttpServer(
            split_address(settings.public_addr),
            self.http_router.serve,
            int(max_connections * SERVER_CONNECTION_SHARE),
            self.context.tuning.stall_s,
            _is_worker_report,
        )

    def _frame_server(self) -> FrameServer:
        return FrameServer(
            split_address(self.context.settings.cluster_listen),
            self.peers.serve,
            LINKS_PER_CONTROLLER * self.context.shard_count,
        )

    async def update_machine_types(self) -> None:
        """Keep the machine types and their prices up to date with the cloud."""
        store = self.machine_type_store
        await refresh_machine_types(self.context, self.cloud_client, store.load, store.store)

    # --- owned shards

    async def on_shard_acquired(self, shard: int, token: int, epoch: int, wait_s: float) -> None:
        """Start serving a shard: create its components, load its records, announce its token.

        Former owners may renew workers' leases for another `wait_s` seconds.
        """
        jobs = JobShard(self.context, shard, token, epoch)
        writer = RecordWriter(self.context, self.state, jobs, self.admission.durable)
        self.writers[shard] = writer
        machines = MachineShard(self.context, shard, token, epoch, wait_s)
        self.machines[shard] = machines
        for name in self.deleted_machines:
            machines.mark_deleted(name)
        self.autoscaling.on_shard_acquired(shard, token)
        previous = self.state_sync.snapshots.pop(shard, None)
        await curio.spawn(self.shard_loader.load, writer, daemon=True)
        if previous is not None:
            await curio.spawn(
                self.worker_caller.announce_token_to_workers, machines, previous, daemon=True
            )

    async def on_shard_lost(self, shard: int) -> None:
        """Drop the components of a shard that this controller no longer owns."""
        self.writers.pop(shard, None)
        self.machines.pop(shard, None)
        self.autoscaling.on_shard_lost(shard)

    async def on_token_raised(self, shard: int, token: int) -> None:
        """Use the new token of a shard that this controller continues to own."""
        writer, machines = self.writers.get(shard), self.machines.get(shard)
        if writer is not None:
            # A write that conflicted with the rewritten key before the new token was known here
            # has marked the ownership as lost.
            writer.shard.token, writer.ownership_lost = token, False
        if machines is not None:
            machines.token = token
        await self.flush.set()  # a write that the rewritten key has refused is due again

    def may_hand_back(self, shard: int) -> bool:
        """Return whether a shard may be returned to its home controller, which is live again.

        This controller need not be able to reach the home controller: if it can't, it may be cut
        off from the shard's machines too.
        """
        writer = self.writers.get(shard)
        return self.membership.lease_is_valid() and writer is not None and writer.shard.loaded

    # --- entry points for components that are built before the one they call

    async def on_cluster_key(self, event: api.Event) -> None:
        """Handle a change of a cluster key that membership doesn't handle itself."""
        await self.cluster_keys.handle(event)

    async def on_message(self, envelope: pb.Envelope) -> pb.Envelope | None:
        """Handle a peer's message and return its reply, if it has one."""
        return await self.peer_messages.handle(envelope)

    def on_reserve(self, request: pb.ReserveRequest) -> pb.ReserveReply:
        """Reserve capacity on machines of an owned shard."""
        return self.peer_messages.reserve(request)

    def on_resync_request(self, node: int, shard: int) -> None:
        """Have the next snapshot of a shard sent in full to a peer."""
        self.state_sync.on_resync_request(node, shard)

    def build_gossip(self) -> pb.Gossip:
        """Return this controller's current gossip."""
        return self.gossip.build()

    def request_wake(self) -> None:
        """Have the reconciler and the planner woken once the current request is answered."""
        self.http_router.request_wake()

    async def serve(self, request: Request) -> Response:
        """Answer one HTTP request."""
        return await self.http_router.serve(request)

    async def reconcile(self) -> None:
        """Run one round of reconciliation over all owned shards."""
        await self.reconciler.reconcile()

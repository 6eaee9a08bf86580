"""One controller: its loops, and the wiring between its parts."""

import logging
from collections.abc import Callable

import curio
import msgspec

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.api.heartbeat_api import REPORT, HeartbeatApi
from starlingdeck.api.job_api import JobApi, error_response
from starlingdeck.autoscaling.autoscaler import Autoscaler
from starlingdeck.autoscaling.cloud_client import CloudClient, CloudError
from starlingdeck.autoscaling.machine_types import refresh_machine_types
from starlingdeck.cluster.membership import Membership, OwnershipHooks, ShardOwner
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import ControllerContext
from starlingdeck.controller.metrics_report import reachability_lines, starving_lines, waiting_tasks
from starlingdeck.jobs.admission import AdmissionController, DurablePlugin
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.mailbox import Mailbox
from starlingdeck.jobs.record_writer import IDLE_WAIT_S, RecordWriter
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import split_address
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.scheduling.dependencies import PlannerDependencies
from starlingdeck.scheduling.guarantees import TeamJob
from starlingdeck.scheduling.overload import OverloadController
from starlingdeck.scheduling.planner import Planner
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import (
    LeaseLostError,
    RequestBudget,
    StateClient,
    StateError,
    TransactionConflictError,
)
from starlingdeck.storage.state import put_change as put_key
from starlingdeck.sync.state_sync import StateSync
from starlingdeck.transport.client import ConnectionFailedError, HttpClient, NoResponseError
from starlingdeck.transport.frames import FrameServer
from starlingdeck.transport.server import HttpServer, Request, Response

log = logging.getLogger(__name__)

MAX_RECONCILE_INTERVAL_S = 0.1
MIN_RECONCILE_INTERVAL_S = 0.04  # what comes in meanwhile is worked off together
DELETED_ANNOUNCE_S = 60.0  # how long a deleted machine is told to peers, by each that hears of it
RESERVED_CONNECTIONS = 16  # that calls to workers leave to the state service and the cloud
METRICS_INTERVAL_S = 60.0
SLOW_RESPONSE_S = 0.15  # an answer to a change after this is told at log level debug


def _under(request: Request, path: str) -> bool:
    return request.path == path or request.path.startswith(path + "/")


class Controller:
    def __init__(self, context: ControllerContext) -> None:
        self.context = context
        s = context.settings
        limits = s.settings.machine_limits
        self.http = HttpClient(max_idle=4, max_open=max(16, limits.max_connections // 4))
        self.max_worker_calls = max(8, self.http.max_open - RESERVED_CONNECTIONS)
        self.worker_calls = 0  # workers that are being called
        budget = RequestBudget(
            s.settings.state.rps, s.settings.state.write_rps, context.shard_count, context.now
        )
        self.request_budget = budget
        self.state = StateClient(self.http, s.external.state, budget, context.now)
        cloud_share = TokenBucket(s.settings.cloud.rps * 0.8, 1.5, context.now)
        self.cloud_client = CloudClient(self.http, s.external.cloud, cloud_share)
        hooks = OwnershipHooks(
            self.on_shard_acquired,
            self.on_shard_lost,
            self.on_token_raised,
            self.on_cluster_key,
            self.may_hand_back,
        )
        self.membership = Membership(context, self.state, hooks)
        self.peers = Peers(context, self.on_message, self.build_gossip, self.on_resync_request)
        self.writers: dict[int, RecordWriter] = {}
        self.machines: dict[int, MachineShard] = {}
        self.wake = curio.Event()
        self.flush = curio.Event()
        self.mailbox = Mailbox(context, self.membership, self.wake)
        self.quota_transfer = QuotaTransfer(
            context, self.state, self.membership, self.writers, self.wake
        )
        self.admission = AdmissionController([self.quota_transfer])
        self.job_api = JobApi(
            context,
            self.state,
            self.membership,
            self.peers,
            self.writers,
            self.admission,
            self.request_wake,
        )
        self.heartbeat_api = HeartbeatApi(context, self.membership, self.peers, self.machines)
        self.candidates = CandidatePool(context, self.membership, self.peers)
        self.state_sync = StateSync(
            context,
            self.state,
            self.membership,
            self.peers,
            self.writers,
            self.machines,
            self.candidates,
        )
        wanted = context.tuning.overload
        self.overload = (
            OverloadController(context, self.writers, self.machines, wanted)
            if wanted is not None
            else None
        )
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
        self.stored_types: list[api.MachineType] = []
        self.deleted_machines: dict[str, float] = {}
        self.autoscaler: Autoscaler | None = None
        self.wake_requested = False

    def register_plugin(self, gate: DurablePlugin) -> None:
        """Put a further kind of limit in force, before the start."""
        self.admission.register(gate)

    # --- start

    async def run(self) -> None:
        s = self.context.settings
        limits = s.settings.machine_limits
        server = HttpServer(
            split_address(s.public_addr),
            self.serve,
            int(limits.max_connections * 0.6),
            self.context.tuning.stall_s,
        )
        frames = FrameServer(
            split_address(s.cluster_listen), self.peers.serve, 4 * self.context.shard_count
        )
        loops: list[Callable[..., object]] = [
            server.run,
            self.membership.renew_loop,
            self.membership.watch_loop,
            self.membership.ownership_loop,
            self.reconcile_loop,
            self.planner.run,
            self.write_loop,
            self.autoscaling_loop,
            self.types_loop,
            self.metrics_loop,
        ]
        if self.admission.durable is not None:
            loops.append(self.admission.durable.run)
        await self.peers.run(frames)
        async with curio.TaskGroup() as group:
            for loop in loops:
                await group.spawn(self._supervise, loop)

    async def types_loop(self) -> None:
        await refresh_machine_types(
            self.context, self.cloud_client, self.load_types, self.store_types
        )

    async def metrics_loop(self) -> None:
        while True:
            await curio.sleep(METRICS_INTERVAL_S)
            for line in (
                *self.context.latencies.lines(),
                *self.context.counters.lines(waiting_tasks(self.context, self.writers)),
            ):
                log.info("%s", line)
            if self.admission.durable is not None:
                for line in self.admission.durable.lines():
                    log.info("%s", line)
            if self.overload is not None:
                for line in self.overload.lines():
                    log.info("%s", line)
            for line in (
                *reachability_lines(self.machines),
                *starving_lines(self.context, self.writers, self.admission),
            ):
                log.info("%s", line)
            if self.context.profiler is not None:
                for line in self.context.profiler.lines():
                    log.debug("%s", line)

    async def load_types(self) -> list[api.MachineType]:
        """The machine types that a controller last read from the cloud."""
        try:
            entry = await self.state.get(records.TYPES, True)
            if entry is not None:
                return msgspec.json.decode(entry.value, type=list[api.MachineType])
        except (StateError, msgspec.DecodeError) as error:
            log.info("kept machine types not read: %s", error)
        return []

    async def store_types(self, types: list[api.MachineType]) -> None:
        """Keep them for controllers that start while the cloud can't be asked."""
        plain = [msgspec.structs.replace(t, price=0.0, spot_price=0.0) for t in types]
        if self.autoscaler is None or plain == self.stored_types:
            return
        if len(msgspec.json.encode(types)) > self.context.settings.settings.state.value_kb * 1000:
            log.error("too many machine types to keep")
            return
        try:
            await self.state.transact({}, [put_key(records.TYPES, types)])
            self.stored_types = plain
        except (StateError, TransactionConflictError) as error:
            log.info("machine types not kept: %s", error)

    async def _supervise(self, loop) -> None:  # type: ignore[no-untyped-def]
        """A loop that meets something unforeseen says so and goes on."""
        (await curio.current_task()).name = loop.__qualname__
        while True:
            try:
                await loop()
            except Exception:
                log.exception("%s stumbled", loop.__qualname__)
                await curio.sleep(0.5 + 0.5 * self.context.rng.random())

    def request_wake(self) -> None:
        self.wake_requested = True

    # --- holdings

    async def on_shard_acquired(self, shard: int, token: int, epoch: int, wait_s: float) -> None:
        jobs = JobShard(self.context, shard, token, epoch)
        self.writers[shard] = RecordWriter(self.context, self.state, jobs, self.admission.durable)
        machines = MachineShard(self.context, shard, token, epoch, wait_s)
        self.machines[shard] = machines
        for name in self.deleted_machines:
            machines.mark_deleted(name)
        if shard == 0:
            self.autoscaler = Autoscaler(
                self.context,
                self.cloud_client,
                token,
                self.candidates.candidates,
                self.planner.demand.recent,
                self.record_deleted,
            )
        old = self.state_sync.snapshots.pop(shard, None)
        await curio.spawn(self._load, self.writers[shard], daemon=True)
        if old is not None:
            await curio.spawn(self._announce_token_to_workers, machines, old, daemon=True)

    async def _load(self, writer: RecordWriter) -> None:
        shard = writer.shard.shard
        while self.writers.get(shard) is writer and not writer.shard.loaded:
            try:
                # The former holder may have passed on quota that our watch hasn't shown yet.
                for entry in (await self.state.read(records.QUOTA))[0]:
                    self.quota_transfer.on_key_changed(entry.key, entry.value, entry.version)
                notes = (await self.state.read(records.mailbox_key(shard, "")))[0]
                await writer.load()
                self.state_sync.reevaluate_all(writer.shard)
                await self.mailbox.drop_entries(writer, notes)
            except (StateError, msgspec.DecodeError) as error:
                log.info("shard %d not read: %s", shard, error)
                await curio.sleep(0.2 + 0.2 * self.context.rng.random())
        await self.wake.set()

    async def _announce_token_to_workers(self, machines: MachineShard, old: ShardSnapshot) -> None:
        """Show our token to the workers the last view named, and take their reports.

        Called all at once, those of a large fleet took every connection: most calls failed
        without being made, and so did those to the state service.
        """
        waiting = [entry for entry in old.machines.values() if not entry.lost]
        for _ in range(min(self.max_worker_calls, len(waiting))):
            await curio.spawn(self._announce_token, machines, waiting, daemon=True)

    async def _announce_token(self, machines: MachineShard, waiting: list[pb.MachineState]) -> None:
        """Work off what is waiting, together with others, while the shard is ours."""
        while waiting and self.machines.get(machines.shard) is machines:
            if self.worker_calls >= self.max_worker_calls:
                await curio.sleep(MAX_RECONCILE_INTERVAL_S)
                continue
            entry = waiting.pop()
            orders = api.Commands(machines.token, entry.session, [])
            self.worker_calls += 1
            await self._call(machines, None, entry.address, orders)

    async def on_shard_lost(self, shard: int) -> None:
        self.writers.pop(shard, None)
        self.machines.pop(shard, None)
        if shard == 0:
            self.autoscaler = None

    async def on_token_raised(self, shard: int, token: int) -> None:
        writer, machines = self.writers.get(shard), self.machines.get(shard)
        if writer is not None:
            # A write that met the raised key before we knew of it took the shard for lost.
            writer.shard.token, writer.ownership_lost = token, False
        if machines is not None:
            machines.token = token

    def may_hand_back(self, shard: int) -> bool:
        """Its own controller lives, by the state service; that we can't reach it is no reason
        to keep its shard: its machines may be cut off from us just as it is."""
        writer = self.writers.get(shard)
        return self.membership.lease_is_valid() and writer is not None and writer.shard.loaded

    async def on_cluster_key(self, event: api.Event) -> None:
        """Keys of the cluster that are neither nodes nor shards."""
        key = event.put or ""
        if key.startswith(records.MAILBOX):
            shard, _, name = key[len(records.MAILBOX) :].partition("/")
            writer = self.writers.get(int(shard))
            if writer is not None and writer.shard.loaded:
                await curio.spawn(
                    self.mailbox.handle_entry, writer, name, key, event.version, daemon=True
                )
        elif key.startswith(records.QUOTA):
            self.quota_transfer.on_key_changed(key, event.value, event.version)
        elif self.admission.durable is not None and key.startswith(self.admission.durable.prefix):
            self.admission.durable.on_key_changed(key, bytes(event.value), event.version)
            self.candidates.changed = True
            await self.wake.set()
            await self.flush.set()
        elif (
            key.startswith(records.RELAY)
            and event.put
            and await self.state_sync.receive_relay(key, event.value, self.on_message)
        ):
            await self.wake.set()

    # --- HTTP

    async def serve(self, request: Request) -> Response:
        if request.path == api.REPORT:
            if request.method != "POST":
                return error_response(405, "use POST")
            began = self.context.now()
            response = await self.heartbeat_api.handle(request.body)
            self.context.latencies.record("answer report", self.context.now() - began)
        elif request.path == api.HEALTH:
            if request.method not in ("GET", "HEAD"):
                return error_response(405, "use GET")
            return self.health()
        elif self.admission.durable is not None and _under(request, self.admission.durable.path):
            return await self.admission.durable.serve(request)
        else:
            began = self.context.now()
            response = await self.job_api.handle(request)
            kind = "look" if request.method == "GET" else "change"
            took_s = self.context.now() - began
            self.context.latencies.record(f"answer {kind}", took_s)
            if kind == "change" and (took_s > SLOW_RESPONSE_S or response.status >= 400):
                log.debug("answered %d after %.3f s: %s", response.status, took_s, response.body)
        if self.wake_requested or self.heartbeat_api.has_updates:
            self.wake_requested = self.heartbeat_api.has_updates = False
            await self.wake.set()
        return response

    def health(self) -> Response:
        """With neither the state service nor a peer every answer is a refusal: while the workers'
        leases are still renewed, users are better off elsewhere."""
        others = any(
            self.peers.is_reachable(n)
            for n in range(self.context.shard_count)
            if n != self.context.node
        )
        ready = bool(self.context.machine_types) and (self.membership.lease_is_valid() or others)
        return Response(200) if ready else error_response(503, "not ready")

    # --- the step loop: from what is to what is wanted

    async def reconcile_loop(self) -> None:
        while True:
            async with curio.ignore_after(MAX_RECONCILE_INTERVAL_S):
                await self.wake.wait()
            self.wake.clear()
            await self.reconcile()
            await curio.sleep(MIN_RECONCILE_INTERVAL_S)

    async def reconcile(self) -> None:
        valid = self.membership.lease_is_valid()
        now = self.context.now()
        if valid:
            self.request_budget.share_among(len(self.membership.live_nodes))
        for shard, machines in list(self.machines.items()):
            await self._call_workers(machines, valid)
            if valid and machines.needs_new_token():
                try:
                    await self.membership.raise_token(shard)
                except (StateError, TransactionConflictError, LeaseLostError) as error:
                    log.info("token not raised: %r", error)
        if await self.state_sync.publish_snapshots(valid, now):
            await self.flush.set()
        self.state_sync.drop_expired(now)
        if valid:
            # A former holder's list, the first to reach a new machine holder, started a task again
            # that was long cancelled there: only who surely holds the shard says what it wants.
            await self.state_sync.send_desired_state(now)
            for node, text in self.state_sync.relay_messages(now, self.build_gossip):
                await curio.spawn(self.state_sync.write_relay, node, text, daemon=True)
        if any(writer.shard.dirty_jobs for writer in self.writers.values()):
            await self.flush.set()

    async def _call_workers(self, machines: MachineShard, valid: bool) -> None:
        """Send what is due. What there is no connection for stays due: a call that can't be made
        would count as unanswered, and after two of them a machine gets no calls any more."""
        machines.expire_leases()
        machines.deschedule()
        for machine in machines.reconcile():
            if self.worker_calls >= self.max_worker_calls:
                continue
            orders = machines.commands_for(machine, valid)
            if orders.commands or machine.needs_probe or machine.unanswered_commands:
                machine.command_in_flight = True
                self.worker_calls += 1
                await curio.spawn(
                    self._call, machines, machine, machine.address, orders, daemon=True
                )

    async def _call(
        self, machines: MachineShard, machine: Machine | None, address: str, orders: api.Commands
    ) -> None:
        """A call that is counted until it has ended."""
        try:
            await self._send_commands(machines, machine, address, orders)
        finally:
            self.worker_calls -= 1

    async def _send_commands(
        self,
        machines: MachineShard,
        machine: Machine | None,
        address: str,
        orders: api.Commands,
    ) -> None:
        """Commands straight to a worker; the answer's body is its newest report."""
        asked = machine.position() if machine is not None else None
        try:
            body = msgspec.json.encode(orders)
            wait = self.context.tuning.reply_wait_s
            reply = await self.http.call(address, "POST", api.COMMANDS, body, wait)
            report = api.decode_report(reply.body)
            if machines.is_deleted(report.machine):
                return
            taken = machines.apply_report(report, False, asked)
            if reply.status == 409:
                machines.on_command_rejected(taken)
            elif reply.status != 200:
                raise NoResponseError(f"status {reply.status}")
            elif taken.pending_launches:
                taken.retry_at = self.context.now() + 0.3
        except (NoResponseError, api.ValidationError) as error:
            if machine is not None:
                machines.on_command_unanswered(
                    machine, orders, not isinstance(error, ConnectionFailedError)
                )
        finally:
            if machine is not None:
                machine.command_in_flight = False
        await self.wake.set()

    # --- messages

    async def on_message(self, envelope: pb.Envelope) -> pb.Envelope | None:
        kind = envelope.WhichOneof("body")
        if kind == "gossip":
            await self.on_gossip(envelope.sender, envelope.gossip)
        elif kind == "snapshot":
            judged = self.state_sync.apply_snapshot(envelope.snapshot)
            if judged is None:
                return pb.Envelope(resync_request=pb.ResyncRequest(shard=envelope.snapshot.shard))
            if judged:
                await self.flush.set()
            await self.wake.set()
        elif kind == "desired_state":
            self.state_sync.apply_desired_state(envelope.desired_state)
            await self.wake.set()
        elif kind == "reserve_request":
            return pb.Envelope(reserve_reply=self.on_reserve(envelope.reserve_request))
        elif kind == "forward_request" and envelope.forward_request.method == REPORT:
            response = await self.heartbeat_api.handle(envelope.forward_request.body, True)
            await self.wake.set()
            forwarded = pb.ForwardReply(status=response.status, body=response.body)
            return pb.Envelope(forward_reply=forwarded)
        elif kind == "forward_request":
            done = await self.job_api.handle_forwarded(envelope.forward_request)
            await self.wake.set()
            return pb.Envelope(forward_reply=done)
        return None

    def on_reserve(self, message: pb.ReserveRequest) -> pb.ReserveReply:
        machines = self.machines.get(message.to_shard)
        if machines is None or not self.membership.lease_is_valid():
            return pb.ReserveReply()
        return machines.reserve(message)

    def on_resync_request(self, node: int, shard: int) -> None:
        self.state_sync.on_resync_request(node, shard)

    def build_gossip(self) -> pb.Gossip:
        out = pb.Gossip()
        for shard, owner in self.membership.owners.items():
            out.ownerships.add(shard=shard, node=owner.node, token=owner.token, epoch=owner.epoch)
        out.demands.extend(self.planner.demand.published())
        now = self.context.now()
        out.deleted_machines.extend(
            n for n, at in self.deleted_machines.items() if now - at <= DELETED_ANNOUNCE_S
        )
        for (team, shard), want in self.quota_transfer.quota_needs.items():
            task = self.quota_transfer.smallest_task(team, shard)
            out.quota_needs.add(
                team=team,
                shard=shard,
                cpus=want[0],
                gpus=want[1],
                task_cpus=task[0],
                task_gpus=task[1],
            )
        for job in self.planner.own_team_jobs():
            out.team_jobs.add(
                team=job.team,
                submitted_ms=job.submitted_ms,
                id=job.id,
                cpus=job.cpus,
                gpus=job.gpus,
                rank=job.rank,
            )
        if self.admission.durable is not None:
            self.admission.durable.add_to_gossip(out)
        if self.overload is not None:
            self.overload.add_to_gossip(out)
        return out

    async def on_gossip(self, sender: int, gossip: pb.Gossip) -> None:
        for item in gossip.ownerships:
            owner = ShardOwner(item.node, item.token, item.epoch)
            await self.membership.observe_owner(item.shard, owner)
        self.planner.demand.receive(sender, gossip.demands)
        self.planner.team_jobs[sender] = [
            TeamJob(j.team, j.submitted_ms, j.id, j.cpus, j.gpus, j.rank) for j in gossip.team_jobs
        ]
        for need in gossip.quota_needs:
            task = (need.task_cpus, need.task_gpus)
            await self.quota_transfer.transfer_to(
                need.team, need.shard, (need.cpus, need.gpus), task
            )
        if self.admission.durable is not None:
            self.admission.durable.receive_gossip(sender, gossip)
        if self.overload is not None:
            self.overload.receive_gossip(gossip)
        fresh = [name for name in gossip.deleted_machines if name not in self.deleted_machines]
        if fresh:
            self.record_deleted(fresh)

    # --- durable changes

    async def write_loop(self) -> None:
        while True:
            idle_s = min((w.idle_wait_s for w in self.writers.values()), default=IDLE_WAIT_S)
            async with curio.ignore_after(idle_s):
                await self.flush.wait()
            self.flush.clear()
            for writer in list(self.writers.values()):
                try:
                    while self.membership.lease_is_valid() and await writer.flush():
                        await self.wake.set()
                except (StateError, LeaseLostError, msgspec.DecodeError) as error:
                    log.info("shard %d: not written: %r", writer.shard.shard, error)
                    await curio.sleep(0.1 + 0.2 * self.context.rng.random())
                if writer.ownership_lost:
                    self.membership.synced = False
                    await curio.sleep(0.1)

    # --- fleet

    def record_deleted(self, names: list[str]) -> None:
        """Known for longer than all controllers one after the other tell it: who had forgotten a
        name took it for news from one that still told it, and names were told for ever."""
        now = self.context.now()
        kept_s = DELETED_ANNOUNCE_S * (self.context.shard_count + 1)
        for name in names:
            self.deleted_machines[name] = now
            for machines in self.machines.values():
                machines.mark_deleted(name)
        for name in [n for n, at in self.deleted_machines.items() if now - at > kept_s]:
            del self.deleted_machines[name]

    async def autoscaling_loop(self) -> None:
        while True:
            await curio.sleep(0.5)
            if self.autoscaler is None or not self.membership.lease_is_valid():
                continue
            try:
                await self.autoscaler.step()
            except CloudError as error:
                log.info("cloud: %s", error or "no capacity")
                await curio.sleep(0.5 + 0.5 * self.context.rng.random())

"""One controller: its loops, and the wiring between its parts."""

import logging
from collections.abc import Callable

import curio
import msgspec

from starlingdeck.admission.quota_transfer import QuotaTransfer
from starlingdeck.api.heartbeat_api import REPORT, Reports
from starlingdeck.api.job_api import Users, fault
from starlingdeck.autoscaling.cloud import CloudClient, CloudError, Fleet, learn_types
from starlingdeck.cluster.membership import Holder, Hooks, Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.context import World
from starlingdeck.controller.metrics_report import hearing, largest, waiting
from starlingdeck.jobs.admission import Admission, Durable
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.mailbox import Inbox
from starlingdeck.jobs.record_writer import IDLE_S, Writer
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import Sight
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import split_address
from starlingdeck.scheduling.candidate_pool import Rooms
from starlingdeck.scheduling.overload import Overload
from starlingdeck.scheduling.planner import Planner
from starlingdeck.scheduling.scheduler import TeamJob
from starlingdeck.storage import records
from starlingdeck.storage.limiter import Limiter
from starlingdeck.storage.state import (
    Conflict,
    LeaseLost,
    StateClient,
    StateError,
    StateLimit,
)
from starlingdeck.storage.state import put as put_key
from starlingdeck.sync.state_sync import Exchange
from starlingdeck.transport.client import HttpClient, NoAnswer, NotSent
from starlingdeck.transport.frames import FrameServer
from starlingdeck.transport.server import HttpServer, Request, Response

log = logging.getLogger(__name__)

TICK_S = 0.1
STEP_EVERY_S = 0.04  # what comes in meanwhile is worked off together
DELETED_TOLD_S = 60.0  # how long a deleted machine is told to peers, by each that hears of it
SPARE_CONNECTIONS = 16  # that calls to workers leave to the state service and the cloud
METERS_EVERY_S = 60.0
SLOW_S = 0.15  # an answer to a change after this is told at log level debug


def _under(request: Request, path: str) -> bool:
    return request.path == path or request.path.startswith(path + "/")


class Node:
    def __init__(self, world: World) -> None:
        self.world = world
        s = world.settings
        limits = s.settings.machine_limits
        self.http = HttpClient(max_idle=4, max_open=max(16, limits.max_connections // 4))
        self.most_calls = max(8, self.http.max_open - SPARE_CONNECTIONS)
        self.calling = 0  # workers that are being called
        budget = StateLimit(
            s.settings.state.rps, s.settings.state.write_rps, world.shards, world.now
        )
        self.budget = budget
        self.state = StateClient(self.http, s.external.state, budget, world.now)
        cloud_share = Limiter(s.settings.cloud.rps * 0.8, 1.5, world.now)
        self.cloud = CloudClient(self.http, s.external.cloud, cloud_share)
        hooks = Hooks(self.gained, self.lost, self.raised, self.cluster_key, self.may_hand_back)
        self.membership = Membership(world, self.state, hooks)
        self.peers = Peers(world, self.on_message, self.hello, self.on_again)
        self.writers: dict[int, Writer] = {}
        self.machines: dict[int, MachineShard] = {}
        self.wake = curio.Event()
        self.flush = curio.Event()
        self.inbox = Inbox(world, self.membership, self.wake)
        self.transfers = QuotaTransfer(world, self.state, self.membership, self.writers, self.wake)
        self.admission = Admission([self.transfers])
        self.users = Users(
            world,
            self.state,
            self.membership,
            self.peers,
            self.writers,
            self.admission,
            self.kick_soon,
        )
        self.reports = Reports(world, self.membership, self.peers, self.machines)
        self.rooms = Rooms(world, self.membership, self.peers)
        self.exchange = Exchange(
            world,
            self.state,
            self.membership,
            self.peers,
            self.writers,
            self.machines,
            self.rooms,
        )
        wanted = world.tuning.overload
        self.overload = (
            Overload(world, self.writers, self.machines, wanted) if wanted is not None else None
        )
        self.planner = Planner(
            world,
            self.membership,
            self.peers,
            self.writers,
            self.rooms,
            self.admission,
            self.on_reserve,
            self.overload,
            self.wake,
            self.flush,
        )
        self.types_kept: list[api.MachineType] = []
        self.deleted: dict[str, float] = {}
        self.fleet: Fleet | None = None
        self.kicked = False

    def install(self, gate: Durable) -> None:
        """Put a further kind of limit in force, before the start."""
        self.admission.install(gate)

    # --- start

    async def run(self) -> None:
        s = self.world.settings
        limits = s.settings.machine_limits
        server = HttpServer(
            split_address(s.public_addr),
            self.serve,
            int(limits.max_connections * 0.6),
            self.world.tuning.stall_s,
        )
        frames = FrameServer(
            split_address(s.cluster_listen), self.peers.serve, 4 * self.world.shards
        )
        loops: list[Callable[..., object]] = [
            server.run,
            self.membership.renew_loop,
            self.membership.watch_loop,
            self.membership.own_loop,
            self.step_loop,
            self.planner.run,
            self.write_loop,
            self.fleet_loop,
            self.types_loop,
            self.meters_loop,
        ]
        if self.admission.durable is not None:
            loops.append(self.admission.durable.run)
        await self.peers.run(frames)
        async with curio.TaskGroup() as group:
            for loop in loops:
                await group.spawn(self._for_ever, loop)

    async def types_loop(self) -> None:
        await learn_types(self.world, self.cloud, self.kept_types, self.keep_types)

    async def meters_loop(self) -> None:
        while True:
            await curio.sleep(METERS_EVERY_S)
            for line in (
                *self.world.meters.lines(),
                *self.world.tally.lines(waiting(self.world, self.writers)),
            ):
                log.info("%s", line)
            if self.admission.durable is not None:
                for line in self.admission.durable.lines():
                    log.info("%s", line)
            if self.overload is not None:
                for line in self.overload.lines():
                    log.info("%s", line)
            for line in (
                *hearing(self.machines),
                *largest(self.world, self.writers, self.admission),
            ):
                log.info("%s", line)
            if self.world.slices is not None:
                for line in self.world.slices.lines():
                    log.debug("%s", line)

    async def kept_types(self) -> list[api.MachineType]:
        """The machine types that a controller last read from the cloud."""
        try:
            entry = await self.state.get(records.TYPES, True)
            if entry is not None:
                return msgspec.json.decode(entry.value, type=list[api.MachineType])
        except (StateError, msgspec.DecodeError) as why:
            log.info("kept machine types not read: %s", why)
        return []

    async def keep_types(self, types: list[api.MachineType]) -> None:
        """Keep them for controllers that start while the cloud can't be asked."""
        plain = [msgspec.structs.replace(t, price=0.0, spot_price=0.0) for t in types]
        if self.fleet is None or plain == self.types_kept:
            return
        if len(msgspec.json.encode(types)) > self.world.settings.settings.state.value_kb * 1000:
            log.error("too many machine types to keep")
            return
        try:
            await self.state.txn({}, [put_key(records.TYPES, types)])
            self.types_kept = plain
        except (StateError, Conflict) as why:
            log.info("machine types not kept: %s", why)

    async def _for_ever(self, loop) -> None:  # type: ignore[no-untyped-def]
        """A loop that meets something unforeseen says so and goes on."""
        (await curio.current_task()).name = loop.__qualname__
        while True:
            try:
                await loop()
            except Exception:
                log.exception("%s stumbled", loop.__qualname__)
                await curio.sleep(0.5 + 0.5 * self.world.rng.random())

    def kick_soon(self) -> None:
        self.kicked = True

    # --- holdings

    async def gained(self, shard: int, token: int, gen: int, wait_s: float) -> None:
        jobs = JobShard(self.world, shard, token, gen)
        self.writers[shard] = Writer(self.world, self.state, jobs, self.admission.durable)
        machines = MachineShard(self.world, shard, token, gen, wait_s)
        self.machines[shard] = machines
        for name in self.deleted:
            machines.mark_deleted(name)
        if shard == 0:
            self.fleet = Fleet(
                self.world,
                self.cloud,
                token,
                self.rooms.all,
                self.planner.all_demands,
                self.note_deleted,
            )
        old = self.exchange.sights.pop(shard, None)
        await curio.spawn(self._load, self.writers[shard], daemon=True)
        if old is not None:
            await curio.spawn(self._raise_at_workers, machines, old, daemon=True)

    async def _load(self, writer: Writer) -> None:
        shard = writer.shard.shard
        while self.writers.get(shard) is writer and not writer.shard.loaded:
            try:
                # The former holder may have passed on quota that our watch hasn't shown yet.
                for entry in (await self.state.read(records.QUOTA))[0]:
                    self.transfers.learn(entry.key, entry.value, entry.version)
                notes = (await self.state.read(records.inbox_key(shard, "")))[0]
                await writer.load()
                self.exchange.judge_all(writer.shard)
                await self.inbox.clear(writer, notes)
            except (StateError, msgspec.DecodeError) as why:
                log.info("shard %d not read: %s", shard, why)
                await curio.sleep(0.2 + 0.2 * self.world.rng.random())
        await self.wake.set()

    async def _raise_at_workers(self, machines: MachineShard, old: Sight) -> None:
        """Show our token to the workers the last view named, and take their reports.

        Called all at once, those of a large fleet took every connection: most calls failed
        without being made, and so did those to the state service.
        """
        waiting = [entry for entry in old.machines.values() if not entry.dead]
        for _ in range(min(self.most_calls, len(waiting))):
            await curio.spawn(self._show_tokens, machines, waiting, daemon=True)

    async def _show_tokens(self, machines: MachineShard, waiting: list[pb.Machine]) -> None:
        """Work off what is waiting, together with others, while the shard is ours."""
        while waiting and self.machines.get(machines.shard) is machines:
            if self.calling >= self.most_calls:
                await curio.sleep(TICK_S)
                continue
            entry = waiting.pop()
            orders = api.Commands(machines.token, entry.session, [])
            self.calling += 1
            await self._call(machines, None, entry.address, orders)

    async def lost(self, shard: int) -> None:
        self.writers.pop(shard, None)
        self.machines.pop(shard, None)
        if shard == 0:
            self.fleet = None

    async def raised(self, shard: int, token: int) -> None:
        writer, machines = self.writers.get(shard), self.machines.get(shard)
        if writer is not None:
            # A write that met the raised key before we knew of it took the shard for lost.
            writer.shard.token, writer.lost = token, False
        if machines is not None:
            machines.token = token

    def may_hand_back(self, shard: int) -> bool:
        """Its own controller lives, by the state service; that we can't reach it is no reason
        to keep its shard: its machines may be cut off from us just as it is."""
        writer = self.writers.get(shard)
        return self.membership.valid() and writer is not None and writer.shard.loaded

    async def cluster_key(self, event: api.Event) -> None:
        """Keys of the cluster that are neither nodes nor shards."""
        key = event.put or ""
        if key.startswith(records.INBOX):
            shard, _, name = key[len(records.INBOX) :].partition("/")
            writer = self.writers.get(int(shard))
            if writer is not None and writer.shard.loaded:
                await curio.spawn(self.inbox.act, writer, name, key, event.version, daemon=True)
        elif key.startswith(records.QUOTA):
            self.transfers.learn(key, event.value, event.version)
        elif self.admission.durable is not None and key.startswith(self.admission.durable.prefix):
            self.admission.durable.learn(key, bytes(event.value), event.version)
            self.rooms.news = True
            await self.wake.set()
            await self.flush.set()
        elif (
            key.startswith(records.RELAY)
            and event.put
            and await self.exchange.take_detour(key, event.value, self.on_message)
        ):
            await self.wake.set()

    # --- HTTP

    async def serve(self, request: Request) -> Response:
        if request.path == api.REPORT:
            if request.method != "POST":
                return fault(405, "use POST")
            began = self.world.now()
            response = await self.reports.take(request.body)
            self.world.meters.note("answer report", self.world.now() - began)
        elif request.path == api.HEALTH:
            if request.method not in ("GET", "HEAD"):
                return fault(405, "use GET")
            return self.health()
        elif self.admission.durable is not None and _under(request, self.admission.durable.path):
            return await self.admission.durable.serve(request)
        else:
            began = self.world.now()
            response = await self.users.handle(request)
            kind = "look" if request.method == "GET" else "change"
            took_s = self.world.now() - began
            self.world.meters.note(f"answer {kind}", took_s)
            if kind == "change" and (took_s > SLOW_S or response.status >= 400):
                log.debug("answered %d after %.3f s: %s", response.status, took_s, response.body)
        if self.kicked or self.reports.news:
            self.kicked = self.reports.news = False
            await self.wake.set()
        return response

    def health(self) -> Response:
        """With neither the state service nor a peer every answer is a refusal: while the workers'
        leases are still renewed, users are better off elsewhere."""
        others = any(self.peers.up(n) for n in range(self.world.shards) if n != self.world.node)
        ready = bool(self.world.types) and (self.membership.valid() or others)
        return Response(200) if ready else fault(503, "not ready")

    # --- the step loop: from what is to what is wanted

    async def step_loop(self) -> None:
        while True:
            async with curio.ignore_after(TICK_S):
                await self.wake.wait()
            self.wake.clear()
            await self.step()
            await curio.sleep(STEP_EVERY_S)

    async def step(self) -> None:
        valid = self.membership.valid()
        now = self.world.now()
        if valid:
            self.budget.share_among(len(self.membership.living))
        for shard, machines in list(self.machines.items()):
            await self._call_workers(machines, valid)
            if valid and machines.needs_new_token():
                try:
                    await self.membership.raise_token(shard)
                except (StateError, Conflict, LeaseLost) as why:
                    log.info("token not raised: %r", why)
        if await self.exchange.share(valid, now):
            await self.flush.set()
        self.exchange.drop_old(now)
        if valid:
            # A former holder's list, the first to reach a new machine holder, started a task again
            # that was long cancelled there: only who surely holds the shard says what it wants.
            await self.exchange.send_wants(now)
            for node, text in self.exchange.detour(now, self.hello):
                await curio.spawn(self.exchange.put_detour, node, text, daemon=True)
        if any(w.shard.dirty for w in self.writers.values()):
            await self.flush.set()

    async def _call_workers(self, machines: MachineShard, valid: bool) -> None:
        """Send what is due. What there is no connection for stays due: a call that can't be made
        would count as unanswered, and after two of them a machine gets no calls any more."""
        machines.check_silence()
        machines.shed()
        for machine in machines.reconcile():
            if self.calling >= self.most_calls:
                continue
            orders = machines.orders(machine, valid)
            if orders.commands or machine.doubted or machine.unheard_do:
                machine.busy = True
                self.calling += 1
                await curio.spawn(
                    self._call, machines, machine, machine.address, orders, daemon=True
                )

    async def _call(
        self, machines: MachineShard, machine: Machine | None, address: str, orders: api.Commands
    ) -> None:
        """A call that is counted until it has ended."""
        try:
            await self._do(machines, machine, address, orders)
        finally:
            self.calling -= 1

    async def _do(
        self,
        machines: MachineShard,
        machine: Machine | None,
        address: str,
        orders: api.Commands,
    ) -> None:
        """Commands straight to a worker; the answer's body is its newest report."""
        asked = machine.mark() if machine is not None else None
        try:
            body = msgspec.json.encode(orders)
            wait = self.world.tuning.reply_wait_s
            reply = await self.http.call(address, "POST", api.COMMANDS, body, wait)
            report = api.decode_report(reply.body)
            if machines.deleted(report.machine):
                return
            taken = machines.take_report(report, False, asked)
            if reply.status == 409:
                machines.refused_orders(taken)
            elif reply.status != 200:
                raise NoAnswer(f"status {reply.status}")
            elif taken.launches:
                taken.retry_at = self.world.now() + 0.3
        except (NoAnswer, api.FieldFault) as why:
            if machine is not None:
                machines.unanswered(machine, orders, not isinstance(why, NotSent))
        finally:
            if machine is not None:
                machine.busy = False
        await self.wake.set()

    # --- messages

    async def on_message(self, envelope: pb.Envelope) -> pb.Envelope | None:
        kind = envelope.WhichOneof("body")
        if kind == "hello":
            await self.on_hello(envelope.sender, envelope.hello)
        elif kind == "view":
            judged = self.exchange.take_view(envelope.view)
            if judged is None:
                return pb.Envelope(again=pb.Again(shard=envelope.view.shard))
            if judged:
                await self.flush.set()
            await self.wake.set()
        elif kind == "wants":
            self.exchange.take_wants(envelope.wants)
            await self.wake.set()
        elif kind == "reserve":
            return pb.Envelope(reserved=self.on_reserve(envelope.reserve))
        elif kind == "forward" and envelope.forward.method == REPORT:
            response = await self.reports.take(envelope.forward.body, True)
            await self.wake.set()
            forwarded = pb.Forwarded(status=response.status, body=response.body)
            return pb.Envelope(forwarded=forwarded)
        elif kind == "forward":
            done = await self.users.forwarded(envelope.forward)
            await self.wake.set()
            return pb.Envelope(forwarded=done)
        return None

    def on_reserve(self, msg: pb.Reserve) -> pb.Reserved:
        machines = self.machines.get(msg.to_shard)
        if machines is None or not self.membership.valid():
            return pb.Reserved()
        return machines.reserve(msg)

    def on_again(self, node: int, shard: int) -> None:
        self.exchange.again(node, shard)

    def hello(self) -> pb.Hello:
        out = pb.Hello()
        for shard, holder in self.membership.holders.items():
            out.holdings.add(shard=shard, node=holder.node, token=holder.token, gen=holder.gen)
        out.demands.extend(self.planner.demands.get(self.world.node, (0.0, []))[1])
        now = self.world.now()
        out.deleted.extend(n for n, at in self.deleted.items() if now - at <= DELETED_TOLD_S)
        for (team, shard), want in self.transfers.needs.items():
            task = self.transfers.least(team, shard)
            out.needs.add(
                team=team,
                shard=shard,
                cpus=want[0],
                gpus=want[1],
                task_cpus=task[0],
                task_gpus=task[1],
            )
        for job in self.planner.own_team_jobs():
            out.jobs.add(
                team=job.team,
                at_ms=job.at_ms,
                id=job.id,
                cpus=job.cpus,
                gpus=job.gpus,
                rank=job.rank,
            )
        if self.admission.durable is not None:
            self.admission.durable.greet(out)
        if self.overload is not None:
            self.overload.greet(out)
        return out

    async def on_hello(self, sender: int, hello: pb.Hello) -> None:
        for item in hello.holdings:
            holder = Holder(item.node, item.token, item.gen)
            await self.membership.seen_elsewhere(item.shard, holder)
        self.planner.demands[sender] = (self.world.now(), list(hello.demands))
        self.planner.team_jobs[sender] = [
            TeamJob(j.team, j.at_ms, j.id, j.cpus, j.gpus, j.rank) for j in hello.jobs
        ]
        for need in hello.needs:
            task = (need.task_cpus, need.task_gpus)
            await self.transfers.give(need.team, need.shard, (need.cpus, need.gpus), task)
        if self.admission.durable is not None:
            self.admission.durable.greeted(sender, hello)
        if self.overload is not None:
            self.overload.greeted(hello)
        fresh = [name for name in hello.deleted if name not in self.deleted]
        if fresh:
            self.note_deleted(fresh)

    # --- durable changes

    async def write_loop(self) -> None:
        while True:
            idle_s = min((w.idle_s for w in self.writers.values()), default=IDLE_S)
            async with curio.ignore_after(idle_s):
                await self.flush.wait()
            self.flush.clear()
            for writer in list(self.writers.values()):
                try:
                    while self.membership.valid() and await writer.flush():
                        await self.wake.set()
                except (StateError, LeaseLost, msgspec.DecodeError) as why:
                    log.info("shard %d: not written: %r", writer.shard.shard, why)
                    await curio.sleep(0.1 + 0.2 * self.world.rng.random())
                if writer.lost:
                    self.membership.synced = False
                    await curio.sleep(0.1)

    # --- fleet

    def note_deleted(self, names: list[str]) -> None:
        """Known for longer than all controllers one after the other tell it: who had forgotten a
        name took it for news from one that still told it, and names were told for ever."""
        now = self.world.now()
        kept_s = DELETED_TOLD_S * (self.world.shards + 1)
        for name in names:
            self.deleted[name] = now
            for machines in self.machines.values():
                machines.mark_deleted(name)
        for name in [n for n, at in self.deleted.items() if now - at > kept_s]:
            del self.deleted[name]

    async def fleet_loop(self) -> None:
        while True:
            await curio.sleep(0.5)
            if self.fleet is None or not self.membership.valid():
                continue
            try:
                await self.fleet.step()
            except CloudError as why:
                log.info("cloud: %s", why or "no capacity")
                await curio.sleep(0.5 + 0.5 * self.world.rng.random())

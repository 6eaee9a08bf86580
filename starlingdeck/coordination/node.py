"""One controller: its loops, and the wiring between its parts."""

import logging
from collections.abc import Callable

import curio
import msgspec

from starlingdeck.coordination import placement, scheduler
from starlingdeck.coordination.cloud import CloudClient, CloudError, Fleet, learn_types
from starlingdeck.coordination.fleet import Demand
from starlingdeck.coordination.jobs import Job, JobShard, Place, job_message
from starlingdeck.coordination.machines import Machine, MachineShard
from starlingdeck.coordination.membership import Holder, Hooks, Membership
from starlingdeck.coordination.peers import PeerDown, Peers, pack, unpack
from starlingdeck.coordination.placement import Room
from starlingdeck.coordination.quota import Pair, Quota
from starlingdeck.coordination.scheduler import Pick, TeamJob
from starlingdeck.coordination.shards import machine_shard
from starlingdeck.coordination.users import Users, fault
from starlingdeck.coordination.world import World, total_of
from starlingdeck.coordination.writer import Writer
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.settings import split_address
from starlingdeck.storage import records
from starlingdeck.storage.limiter import Limiter
from starlingdeck.storage.state import (
    Conflict,
    LeaseLost,
    StateClient,
    StateError,
    StateLimit,
    StateUnknown,
)
from starlingdeck.storage.state import drop as drop_key
from starlingdeck.storage.state import put as put_key
from starlingdeck.transport.client import HttpClient, NoAnswer, NotSent
from starlingdeck.transport.frames import FrameServer
from starlingdeck.transport.server import HttpServer, Request, Response

log = logging.getLogger(__name__)

TICK_S = 0.1
VIEW_EVERY_S = 0.05
REPEAT_S = 1.0
DETOUR_AFTER_S = 1.5
DETOUR_EVERY_S = 2.0
DELETED_KEPT_S = 60.0
REPORT = "REPORT"
COME_BACK_S = 8.0  # a worker back from its holder within this has not reached it
STRAY_S = 15.0  # how long such a worker's reports are passed on before it is sent there again
PASS_ON_S = 1.5


class Node:
    def __init__(self, world: World) -> None:
        self.world = world
        s = world.settings
        limits = s.settings.machine_limits
        self.http = HttpClient(max_idle=4, max_open=max(16, limits.max_connections // 4))
        budget = StateLimit(
            s.settings.state.rps, s.settings.state.write_rps, world.shards, world.now
        )
        self.state = StateClient(self.http, s.external.state, budget, world.now)
        cloud_share = Limiter(s.settings.cloud.rps * 0.6, 1.0, world.now)
        self.cloud = CloudClient(self.http, s.external.cloud, cloud_share)
        hooks = Hooks(self.gained, self.lost, self.raised, self.cluster_key, self.may_hand_back)
        self.membership = Membership(world, self.state, hooks)
        self.peers = Peers(world, self.on_message, self.hello)
        self.writers: dict[int, Writer] = {}
        self.machines: dict[int, MachineShard] = {}
        self.users = Users(
            world, self.state, self.membership, self.peers, self.writers, self.kick_soon
        )
        self.views: dict[int, pb.View] = {}
        self.view_at: dict[int, float] = {}
        self.demands: dict[int, tuple[float, list[pb.Demand]]] = {}
        self.team_jobs: dict[int, list[TeamJob]] = {}
        self.quota = Quota(world)
        self.types_kept: list[api.MachineType] = []
        self.redirected: dict[int, float] = {}
        self.strays: dict[int, float] = {}
        self.faces: dict[int, float] = {}
        self.needs: dict[tuple[int, int], Pair] = {}
        self.deleted: dict[str, float] = {}
        self.fleet: Fleet | None = None
        self.wake = curio.Event()
        self.flush = curio.Event()
        self.kicked = False
        self.sent_wants: dict[tuple[int, int], tuple[int, int, float]] = {}
        self.sent_view: dict[int, float] = {}
        self.detours: dict[int, float] = {}
        self.plan_at = 0.0
        self.room_news = True
        self.preempt_at: dict[int, float] = {}
        self.moves = Limiter(world.tuning.moves_per_s / world.shards, 1.0, world.now)
        self.taken: list[tuple[float, int, tuple[float, float, float]]] = []

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
            self.write_loop,
            self.fleet_loop,
            self.types_loop,
        ]
        await self.peers.run(frames)
        async with curio.TaskGroup() as group:
            for loop in loops:
                await group.spawn(self._for_ever, loop)

    async def types_loop(self) -> None:
        await learn_types(self.world, self.cloud, self.kept_types, self.keep_types)

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
        self.writers[shard] = Writer(self.world, self.state, jobs)
        machines = MachineShard(self.world, shard, token, gen, wait_s)
        self.machines[shard] = machines
        for name in self.deleted:
            machines.mark_deleted(name)
        if shard == 0:
            self.fleet = Fleet(
                self.world, self.cloud, token, self.rooms, self.all_demands, self.note_deleted
            )
        old = self.views.pop(shard, None)
        await curio.spawn(self._load, self.writers[shard], daemon=True)
        if old is not None:
            await curio.spawn(self._raise_at_workers, machines, old, daemon=True)

    async def _load(self, writer: Writer) -> None:
        shard = writer.shard.shard
        while self.writers.get(shard) is writer and not writer.shard.loaded:
            try:
                # The former holder may have passed on quota that our watch hasn't shown yet.
                for entry in (await self.state.read(records.QUOTA))[0]:
                    self._learn_quota(entry.key, entry.value, entry.version)
                await writer.load()
            except (StateError, msgspec.DecodeError) as why:
                log.info("shard %d not read: %s", shard, why)
                await curio.sleep(0.2 + 0.2 * self.world.rng.random())
        await self.wake.set()

    async def _raise_at_workers(self, machines: MachineShard, old: pb.View) -> None:
        """Show our token to the workers the last view named, and take their reports."""
        for entry in old.machines:
            if not entry.dead:
                orders = api.Commands(machines.token, entry.session, [])
                await curio.spawn(self._do, machines, None, entry.address, orders, daemon=True)

    async def lost(self, shard: int) -> None:
        self.writers.pop(shard, None)
        self.machines.pop(shard, None)
        if shard == 0:
            self.fleet = None

    async def raised(self, shard: int, token: int) -> None:
        writer, machines = self.writers.get(shard), self.machines.get(shard)
        if writer is not None:
            writer.shard.token = token
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
                await curio.spawn(self._inbox, writer, name, key, daemon=True)
        elif key.startswith(records.QUOTA):
            self._learn_quota(key, event.value, event.version)
        elif key.startswith(records.RELAY):
            sender, _, to = key[len(records.RELAY) :].partition("-")
            if int(to) == self.world.node and int(sender) != self.world.node:
                text = msgspec.json.decode(event.value, type=str)
                for envelope in unpack(text):
                    await self.on_message(envelope)
                await self.wake.set()

    async def _inbox(self, writer: Writer, name: str, key: str) -> None:
        """Another node created or cancelled one of our jobs."""
        try:
            async with writer.lock:
                await writer.reload(name)
            await self.state.txn({}, [drop_key(key)])
        except (StateError, Conflict, msgspec.DecodeError) as why:
            log.info("job %s: not read again: %s", name, why)
            self.membership.synced = False
        await self.wake.set()

    # --- HTTP

    async def serve(self, request: Request) -> Response:
        if request.path == api.REPORT:
            if request.method != "POST":
                return fault(405, "use POST")
            response = await self.on_report(request.body)
        elif request.path == api.HEALTH:
            if request.method not in ("GET", "HEAD"):
                return fault(405, "use GET")
            return self.health()
        else:
            response = await self.users.handle(request)
        if self.kicked:
            self.kicked = False
            await self.wake.set()
        return response

    def health(self) -> Response:
        others = any(self.peers.up(n) for n in range(self.world.shards) if n != self.world.node)
        ready = bool(self.world.types) and (self.membership.may_renew_workers() or others)
        return Response(200) if ready else fault(503, "not ready")

    async def on_report(self, body: bytes, passed_on: bool = False) -> Response:
        try:
            report = msgspec.json.decode(body, type=api.Report)
        except msgspec.DecodeError as why:
            return fault(400, str(why))
        shard = machine_shard(report.machine, report.zone, self.world.shard_zones)
        machines = self.machines.get(shard)
        if machines is None or report.token > machines.token:
            if passed_on:
                return Response(421, msgspec.json.encode(api.Redirect(None)))
            return await self._redirect(report, shard, body)
        if not self.membership.may_renew_workers():
            return fault(503, "cut off from the state service")
        valid = self.membership.valid()
        fresh = self.world.machines.get(report.machine)
        seen = machines.machines.get(fresh) if fresh is not None else None
        newer = seen is None or (report.session, report.seq) > (seen.session, seen.seq)
        machine = machines.take_report(report, True)
        if machines.changed:
            self.kicked = True
        commands = machines.commands_after(machine, valid) if newer else []
        if newer and valid:
            commands += machines.riding(machine)
        return Response(200, msgspec.json.encode(api.ReportReply(machines.token, commands)))

    def redirect(self, shard: int) -> str | None:
        """The node to report to; none while we can't reach the holder.

        A worker that is sent to a silent node waits 4 s for it and has 1 s more to wait
        for the next: twice that, and its lease is over.
        """
        holder = self.membership.holders.get(shard)
        if holder is None or holder.node == self.world.node or not self.peers.up(holder.node):
            return None
        return self.world.node_name(holder.node)

    async def _redirect(self, report: api.Report, shard: int, body: bytes) -> Response:
        """Send a worker to its holder, or pass its report on when it came back from there.

        A worker may be unable to reach a holder that we can reach; each try there costs it
        5 s of its lease, and it may have made one already. So its report is passed on
        first, and only its next one is sent away. Back again soon, it is heard through us
        for a while, and then sent there again, to see.
        """
        name = self.redirect(shard)
        now = self.world.now()
        machine = self.world.machines.put(report.machine)
        if name is None:
            return Response(421, msgspec.json.encode(api.Redirect(None)))
        holder = self.membership.holders[shard]
        back = now - self.redirected.get(machine, -1e9) < COME_BACK_S
        since = self.strays.get(machine, now)
        if machine in self.strays or back:
            send = now - since >= STRAY_S
            self.strays[machine] = since
        else:
            # A new face is heard once, so that it goes there with its whole lease.
            send = now - self.faces.get(machine, -1e9) < STRAY_S
            self.faces[machine] = now
        if send:
            self.strays.pop(machine, None)
            self.redirected[machine] = now
            return Response(421, msgspec.json.encode(api.Redirect(name)))
        ask = pb.Envelope(forward=pb.Forward(method=REPORT, body=body))
        try:
            reply = (await self.peers.call(holder.node, ask, PASS_ON_S)).forwarded
            return Response(reply.status, reply.body)
        except PeerDown as why:
            log.info("report of %s not passed on: %s", report.machine, why)
            return Response(421, msgspec.json.encode(api.Redirect(None)))

    # --- the step loop: from what is to what is wanted

    async def step_loop(self) -> None:
        while True:
            async with curio.ignore_after(TICK_S):
                await self.wake.wait()
            self.wake.clear()
            await self.step()

    async def step(self) -> None:
        valid = self.membership.valid()
        now = self.world.now()
        for shard, machines in list(self.machines.items()):
            machines.check_silence()
            machines.shed()
            for machine in machines.reconcile():
                machine.busy = True
                orders = machines.orders(machine, valid)
                if orders.commands:
                    await curio.spawn(
                        self._do, machines, machine, machine.address, orders, daemon=True
                    )
                else:
                    machine.busy = False
            since = now - self.sent_view.get(shard, 0.0)
            if (machines.changed and since >= VIEW_EVERY_S) or since >= REPEAT_S:
                self.sent_view[shard] = now
                await self._share(machines.view(valid))
            if valid and machines.needs_new_token():
                try:
                    await self.membership.raise_token(shard)
                except (StateError, Conflict, LeaseLost) as why:
                    log.info("token not raised: %r", why)
        for writer in list(self.writers.values()):
            await self._send_wants(writer.shard, now)
        if valid:
            await self._plan(now)
            await self._detour(now)
        if any(w.shard.dirty for w in self.writers.values()):
            await self.flush.set()

    async def _share(self, view: pb.View) -> None:
        await self.on_view(view)
        for node in range(self.world.shards):
            if node != self.world.node and node in self.peers.links:
                try:
                    await self.peers.send(node, pb.Envelope(view=view))
                except PeerDown as why:
                    log.debug("view not sent: %s", why)

    async def _send_wants(self, jobs: JobShard, now: float) -> None:
        if not jobs.loaded:
            return
        if jobs.wants_changed:
            jobs.wants_changed = False
            jobs.seq += 1
        for to, holder in self.membership.holders.items():
            last = self.sent_wants.get((jobs.shard, to))
            if last is not None and last[:2] == (holder.gen, jobs.seq):
                view = self.views.get(to)
                acked = view is not None and any(
                    a.shard == jobs.shard and a.token == jobs.base and a.seq >= jobs.seq
                    for a in view.acks
                )
                if acked or now - last[2] < REPEAT_S:
                    continue
            self.sent_wants[(jobs.shard, to)] = (holder.gen, jobs.seq, now)
            wants = jobs.wants(to, holder.gen, jobs.seq)
            if holder.node == self.world.node:
                self.on_wants(wants)
            else:
                try:
                    await self.peers.send(holder.node, pb.Envelope(wants=wants))
                except PeerDown as why:
                    log.debug("wants not sent: %s", why)

    async def _detour(self, now: float) -> None:
        """Peers that can't be reached directly get our messages through the state service."""
        for node in range(self.world.shards):
            if node == self.world.node or self.peers.up(node):
                continue
            if node not in self.membership.living or self.peers.down_for(node) < DETOUR_AFTER_S:
                continue
            if now - self.detours.get(node, -1e9) < DETOUR_EVERY_S:
                continue
            self.detours[node] = now
            batch = [pb.Envelope(sender=self.world.node, hello=self.hello())]
            batch += [pb.Envelope(view=self.views[s]) for s in self.machines if s in self.views]
            for writer in self.writers.values():
                jobs = writer.shard
                for to, holder in self.membership.holders.items():
                    if holder.node == node and jobs.loaded:
                        batch.append(pb.Envelope(wants=jobs.wants(to, holder.gen, jobs.seq)))
            text = pack(batch)
            if len(text) > self.world.settings.settings.state.value_kb * 1000:
                log.error("detour to %d too long: %d", node, len(text))
                continue
            await curio.spawn(self._put_detour, node, text, daemon=True)

    async def _put_detour(self, node: int, text: str) -> None:
        key = records.relay_key(self.world.node, node)
        try:
            await self.state.txn({}, [put_key(key, text, self.membership.lease)])
        except (StateError, Conflict, LeaseLost) as why:
            log.info("no detour to %d: %r", node, why)

    async def _do(
        self,
        machines: MachineShard,
        machine: Machine | None,
        address: str,
        orders: api.Commands,
    ) -> None:
        """Commands straight to a worker; the answer's body is its newest report."""
        try:
            body = msgspec.json.encode(orders)
            wait = self.world.tuning.reply_wait_s
            reply = await self.http.call(address, "POST", api.COMMANDS, body, wait)
            report = msgspec.json.decode(reply.body, type=api.Report)
            taken = machines.take_report(report, False)
            taken.unheard_do = 0
            if reply.status == 409:
                machines.refused_orders(taken, orders)
            elif reply.status != 200:
                raise NoAnswer(f"status {reply.status}")
            elif taken.launches:
                taken.retry_at = self.world.now() + 0.3
        except (NoAnswer, msgspec.DecodeError) as why:
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
            await self.on_view(envelope.view)
            await self.wake.set()
        elif kind == "wants":
            self.on_wants(envelope.wants)
            await self.wake.set()
        elif kind == "reserve":
            return pb.Envelope(reserved=self.on_reserve(envelope.reserve))
        elif kind == "forward" and envelope.forward.method == REPORT:
            response = await self.on_report(envelope.forward.body, True)
            await self.wake.set()
            forwarded = pb.Forwarded(status=response.status, body=response.body)
            return pb.Envelope(forwarded=forwarded)
        elif kind == "forward":
            done = await self.users.forwarded(envelope.forward)
            await self.wake.set()
            return pb.Envelope(forwarded=done)
        return None

    def on_wants(self, wants: pb.Wants) -> None:
        machines = self.machines.get(wants.to_shard)
        if machines is not None:
            machines.apply_wants(wants)

    def on_reserve(self, msg: pb.Reserve) -> pb.Reserved:
        machines = self.machines.get(msg.to_shard)
        if machines is None or not self.membership.valid():
            return pb.Reserved()
        return machines.reserve(msg)

    async def on_view(self, view: pb.View) -> None:
        old = self.views.get(view.shard)
        holder = self.membership.holders.get(view.shard)
        if old is not None and old.gen == view.gen and view.seq <= old.seq:
            return
        if holder is not None and holder.gen != view.gen:
            return
        self.views[view.shard] = view
        self.view_at[view.shard] = self.world.now()
        self.room_news = True
        for writer in self.writers.values():
            if writer.shard.loaded and writer.shard.apply_view(view):
                await self.flush.set()

    def hello(self) -> pb.Hello:
        out = pb.Hello()
        for shard, holder in self.membership.holders.items():
            out.holdings.add(shard=shard, node=holder.node, token=holder.token, gen=holder.gen)
        out.demands.extend(self.demands.get(self.world.node, (0.0, []))[1])
        out.deleted.extend(self.deleted)
        for (team, shard), want in self.needs.items():
            out.needs.add(team=team, shard=shard, cpus=want[0], gpus=want[1])
        for job in self.own_team_jobs():
            out.jobs.add(team=job.team, at_ms=job.at_ms, id=job.id, cpus=job.cpus, gpus=job.gpus)
        return out

    async def on_hello(self, sender: int, hello: pb.Hello) -> None:
        for item in hello.holdings:
            holder = Holder(item.node, item.token, item.gen)
            await self.membership.seen_elsewhere(item.shard, holder)
        self.demands[sender] = (self.world.now(), list(hello.demands))
        self.team_jobs[sender] = [
            TeamJob(j.team, j.at_ms, j.id, j.cpus, j.gpus) for j in hello.jobs
        ]
        for need in hello.needs:
            await self._give(need.team, need.shard, (need.cpus, need.gpus))
        fresh = [name for name in hello.deleted if name not in self.deleted]
        if fresh:
            self.note_deleted(fresh)

    # --- placement

    def own_team_jobs(self) -> list[TeamJob]:
        found = []
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                if not job.cancelled:
                    n = job.unfinished
                    found.append(
                        TeamJob(job.team, job.at_ms, job.id, n * job.spec.cpus, n * job.spec.gpus)
                    )
        return sorted(found, key=lambda j: j.at_ms)[:500]

    def rooms(self) -> list[Room]:
        """Every machine known, with its room by the newest views; old views don't count."""
        world, now = self.world, self.world.now()
        self.taken = [t for t in self.taken if t[0] > now]
        less: dict[int, list[float]] = {}
        for _, index, size in self.taken:
            old = less.setdefault(index, [0.0, 0.0, 0.0])
            less[index] = [a + b for a, b in zip(old, size, strict=True)]
        out = []
        for shard, view in list(self.views.items()):
            age = now - self.view_at[shard]
            if age > world.tuning.offline_drop_s:
                del self.views[shard]
                continue
            holder = self.membership.holders.get(shard)
            near = holder is not None and self.peers.up(holder.node)
            for m in view.machines:
                kind = world.types.get(world.type_names.put(m.type))
                if kind is None:
                    continue
                index = world.machines.put(m.id)
                gone = less.get(index, (0.0, 0.0, 0.0))
                free = [m.free_cpus - gone[0], m.free_gpus - gone[1], m.free_memory_gb - gone[2]]
                busy = any(t.state != api.EXITED for t in m.tasks)
                out.append(
                    Room(
                        index,
                        world.type_names.put(m.type),
                        world.zones.put(m.zone),
                        m.spot,
                        shard,
                        total_of(kind),
                        free,
                        m.drawable and near and age < world.tuning.expiry_s,
                        m.dead,
                        m.draining,
                        m.notice,
                        busy,
                        m.silent_s + age,
                        m.idle_s,
                        images=set(m.images),
                        present={
                            (j, t.task) for t in m.tasks if (j := world.jobs.get(t.job)) is not None
                        },
                    )
                )
        return out

    async def _plan(self, now: float) -> None:
        if not self.world.types or now < self.plan_at:
            return
        jobs = []
        shed = False
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                if not job.cancelled and not job.final and not job.stale:
                    if job.pending(1):
                        jobs.append(job)
                    shed |= any(p.shed and p.target is None for p in job.places.values())
        if not jobs and not shed:
            self.demands[self.world.node] = (now, [])
            self.needs = {}
            return
        self.plan_at = now + (0.05 if self.room_news else 0.25)
        self.room_news = False
        everyone = [j for found in self.team_jobs.values() for j in found] + self.own_team_jobs()
        inside = scheduler.guaranteed_jobs(self.world, everyone)
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                job.guaranteed = job.id in inside
        await self._note_needs(jobs)
        rooms = self.rooms()
        picks, waiting = scheduler.plan(self.world, jobs, rooms, self._spare, 100)
        self.demands[self.world.node] = (now, self._demand(waiting))
        picks += self._preempting(waiting, rooms, now)
        picks += self._moving(rooms, now)
        groups: dict[tuple[int, int, bool], list[Pick]] = {}
        for pick in picks:
            groups.setdefault((pick.room.shard, pick.job.index, pick.preempt), []).append(pick)
        for group in groups.values():
            if not group[0].preempt:
                for pick in group:
                    self.taken.append((now + 0.5, pick.room.index, pick.job.size))
            await curio.spawn(self._reserve, group, daemon=True)

    def _used(self, shard: int, team: int) -> Pair:
        """What a shard's attempts of a team may be using, counted until proven gone."""
        cpus = gpus = 0.0
        for job in self.writers[shard].shard.jobs.values():
            if job.team == team:
                cpus += job.used() * job.spec.cpus
                gpus += job.used() * job.spec.gpus
        return cpus, gpus

    def _spare(self, job: Job) -> int:
        """For how many more tasks of a job its shard has quota."""
        used = self._used(job.shard, job.team)
        share = self.quota.share(job.team, job.shard)
        spare = 1_000_000
        for size, have, gone in zip((job.spec.cpus, job.spec.gpus), share, used, strict=True):
            if size > 0:
                spare = min(spare, int((have - gone) / size + 1e-9))
        return max(0, spare)

    async def _note_needs(self, jobs: list[Job]) -> None:
        """Which shards of ours lack quota for what waits; the others may pass some on."""
        wants: dict[tuple[int, int], Pair] = {}
        for job in jobs:
            old = wants.get((job.team, job.shard), (0.0, 0.0))
            n = len(job.pending(1000))
            wants[(job.team, job.shard)] = (
                old[0] + n * job.spec.cpus,
                old[1] + n * job.spec.gpus,
            )
        self.needs = {}
        for (team, shard), want in wants.items():
            used, share = self._used(shard, team), self.quota.share(team, shard)
            short = tuple(w - (s - u) for w, s, u in zip(want, share, used, strict=True))
            if max(short) > 1e-6:
                need = (max(0.0, short[0]), max(0.0, short[1]))
                self.needs[(team, shard)] = need
                await self._give(team, shard, need)

    async def _give(self, team: int, taker: int, want: Pair) -> None:
        """Pass on quota that shards of ours don't use, keeping what their own jobs wait for."""
        if not self.membership.valid() or team >= len(self.world.settings.settings.teams):
            return
        for giver, writer in list(self.writers.items()):
            if not writer.shard.loaded or (team, giver) in self.needs:
                continue
            used = self._used(giver, team)
            after = self.quota.gift(team, giver, taker, want, used)
            if after is not None:
                await curio.spawn(self._write_gift, team, giver, writer.shard, after, daemon=True)
                return

    async def _write_gift(self, team: int, giver: int, shard: JobShard, after: list[Pair]) -> None:
        key = records.quota_key(team)
        conditions = {
            key: self.quota.versions.get(team, 0),
            records.shard_key(giver): shard.token,
        }
        try:
            version = await self.state.txn(conditions, [put_key(key, after)])
            self.quota.learn(team, after, version)
            log.info("team %d: shard %d passed on quota: %s", team, giver, after)
        except (StateError, Conflict) as why:
            log.info("team %d: quota not passed on: %r", team, why)
            # Until the key has been read again the gift counts as made.
            await self._reread_quota(key)
            if isinstance(why, StateUnknown):
                # It may still be executed: only a write after it, or its trace, ends that.
                await self._settle_gift(key, team)
        self.quota.settle(team, giver)
        await self.wake.set()

    async def _settle_gift(self, key: str, team: int) -> None:
        """Rewrite the key as it is, so that a gift still on its way finds its condition gone."""
        while True:
            try:
                version = self.quota.versions.get(team, 0)
                shares = self.quota.split(team)
                stamp = await self.state.txn({key: version}, [put_key(key, shares)])
                self.quota.learn(team, shares, stamp)
                return
            except Conflict:
                await self._reread_quota(key)
                return
            except StateError:
                await curio.sleep(0.5 + 0.5 * self.world.rng.random())

    def _learn_quota(self, key: str, value: msgspec.Raw, version: int) -> None:
        shares = msgspec.json.decode(value, type=list[Pair])
        self.quota.learn(int(key[len(records.QUOTA) :]), shares, version)

    async def _reread_quota(self, key: str) -> None:
        """Read a team's shares, however long that takes."""
        while True:
            try:
                entry = await self.state.get(key)
            except StateError:
                await curio.sleep(0.5 + 0.5 * self.world.rng.random())
                continue
            if entry is not None:
                self._learn_quota(key, entry.value, entry.version)
            return

    @staticmethod
    def _demand(waiting: list[tuple[Job, int]]) -> list[pb.Demand]:
        return [
            pb.Demand(
                cpus=job.spec.cpus,
                gpus=job.spec.gpus,
                memory_gb=job.spec.memory_gb,
                count=count,
                types=job.spec.types or [],
                zone=job.spec.zone or "",
                spot=job.spec.spot,
                rank=job.spec.rank,
                service=job.spec.service,
            )
            for job, count in waiting[:200]
        ]

    def _preempting(
        self, waiting: list[tuple[Job, int]], rooms: list[Room], now: float
    ) -> list[Pick]:
        """For work that may preempt: a few machines to ask for room by stopping lower work."""
        picks = []
        for job, _ in waiting:
            if not (job.spec.rank > 0 or job.guaranteed):
                continue
            if now < self.preempt_at.get(job.index, 0.0):
                continue
            self.preempt_at[job.index] = now + 0.5
            zone_ok = scheduler.zones_open(job, lambda j=job: scheduler.zone_use(j))  # type: ignore[misc]
            able = [
                r
                for r in rooms
                if r.drawable
                and scheduler.allowed(self.world, job, r)
                and zone_ok(r.zone)
                and all(s <= t for s, t in zip(job.size, r.total, strict=True))
            ]
            able.sort(key=lambda r: (job.spec.image not in r.images, self.world.rng.random()))
            tasks = [t for t in job.pending(3) if job.retry_at.get(t, 0.0) <= now]
            for room, task in zip(able, tasks, strict=False):
                job.asking[task] = room.zone
                picks.append(Pick(job, task, room, True))
        return picks

    def _moving(self, rooms: list[Room], now: float) -> list[Pick]:
        """Refit (DESIGN 4): a target for every shed task, as far as the cap on moves goes."""
        picks = []
        tuning = self.world.tuning
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                if job.cancelled or job.stale:
                    continue
                for task, place in job.places.items():
                    if not place.shed or place.target or task in job.ends or task in job.asking:
                        continue
                    if job.retry_at.get(task, 0.0) > now:
                        continue
                    zone_ok = scheduler.zones_open(
                        job,
                        lambda j=job, p=place: scheduler.zone_use(j, p),  # type: ignore[misc]
                    )
                    able = [
                        r
                        for r in rooms
                        if r.drawable
                        and r.index != place.machine
                        and zone_ok(r.zone)
                        and scheduler.allowed(self.world, job, r)
                        and r.fits(job.size)
                    ]
                    drawn = placement.choose_refit(
                        able,
                        job.size,
                        tuning.refit_machines,
                        tuning.refit_candidates,
                        self.world.rng,
                    )
                    if not drawn or self.moves.delay(1.0, True) > 0:
                        job.retry_at[task] = now + 0.3
                        continue
                    cached = [r for r in drawn if job.spec.image in r.images]
                    room = (cached or drawn)[0]
                    job.asking[task] = room.zone
                    room.free = [f - s for f, s in zip(room.free, job.size, strict=True)]
                    picks.append(Pick(job, task, room))
        return picks

    async def _reserve(self, group: list[Pick]) -> None:
        """Ask the machines' owner for room; what it gives goes into the job's record."""
        job, shard = group[0].job, group[0].room.shard
        holder = self.membership.holders.get(shard)
        given: dict[int, pb.Given] = {}
        hold_s = 0.0
        if holder is not None:
            ask = pb.Reserve(to_shard=shard, to_gen=holder.gen, job=job_message(job))
            ask.preempt = group[0].preempt
            ask.pressing = scheduler.pressing(self.world, job)
            if any(pick.task in job.places for pick in group):
                # A move's target waits until the source has saved and stopped.
                ask.hold_s = hold_s = self.world.tuning.reserve_s + job.spec.save_s
            rooms = {}
            for pick in group:
                rooms[pick.task] = pick.room
                ask.spots.add(
                    task=pick.task,
                    attempt=job.tries[pick.task] + 1,
                    machine=self.world.machines[pick.room.index],
                )
            try:
                if holder.node == self.world.node:
                    reply = self.on_reserve(ask)
                else:
                    envelope = pb.Envelope(reserve=ask)
                    wait = self.world.tuning.reply_wait_s
                    reply = (await self.peers.call(holder.node, envelope, wait)).reserved
                given = {g.task: g for g in reply.given}
            except PeerDown as why:
                log.info("no room asked of %s: %s", self.world.node_name(holder.node), why)
        now = self.world.now()
        for pick in group:
            job.asking.pop(pick.task, None)
            got = given.get(pick.task)
            if got is None or got.evicting or job.cancelled or job.final:
                if not pick.preempt:
                    job.retry_at[pick.task] = now + 0.1
                elif got is not None and got.evicting:
                    old = job.promised.get(pick.task, (pick.room.index, now + 2.0))
                    job.promised[pick.task] = old
                    job.retry_at[pick.task] = now + 0.15
                else:
                    job.promised.pop(pick.task, None)
                continue
            job.promised.pop(pick.task, None)
            target = Place(
                pick.room.index, got.session, got.attempt, shard, pick.room.zone, since=now
            )
            source = job.places.get(pick.task)
            if source is None:
                job.starts[pick.task] = target
            elif pick.task not in job.ends and hold_s:
                source.target, source.target_until = target, now + hold_s
                source.grace_s = job.spec.save_s + 1.0 if job.spec.checkpoint_s > 0 else 0.0
                moved = api.task_name(job.id, pick.task)
                log.info(
                    "task %s: moves from %s to %s",
                    moved,
                    self.world.machines[source.machine],
                    self.world.machines[target.machine],
                )
                self.writers[job.shard].shard.wants_changed = True
                await self.wake.set()
        writer = self.writers.get(job.shard)
        if job.starts and writer is not None and writer.shard.jobs.get(job.index) is job:
            writer.shard.dirty.add(job.index)
            await self.flush.set()

    # --- durable changes

    async def write_loop(self) -> None:
        while True:
            async with curio.ignore_after(0.25):
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

    def all_demands(self) -> list[Demand]:
        now = self.world.now()
        return [
            Demand(
                (d.cpus, d.gpus, d.memory_gb),
                d.count,
                tuple(d.types),
                d.zone,
                d.spot,
                d.rank,
                d.service,
            )
            for at, found in self.demands.values()
            if now - at < 5.0
            for d in found
        ]

    def note_deleted(self, names: list[str]) -> None:
        now = self.world.now()
        for name in names:
            self.deleted[name] = now
            for machines in self.machines.values():
                machines.mark_deleted(name)
        for name in [n for n, at in self.deleted.items() if now - at > DELETED_KEPT_S]:
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

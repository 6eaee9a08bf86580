"""A plain world of whole controllers for meetings of troubles: simulated time, seeded.

The controllers are real `Node`s with their membership; only sockets are replaced. The state service
ends leases by the clock, refuses one controller or all, and carries out late what got no answer;
workers report, move on and run their leases out by PROTOCOL. Every rule is checked at every tick.
"""

import random
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from starlingdeck.cluster.peers import PeerUnavailableError
from starlingdeck.cluster.sharding import shard_of_machine
from starlingdeck.controller.controller import Controller
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.storage.state import OutcomeUnknownError, StateError, TransactionConflictError
from starlingdeck.transport.client import ConnectionFailedError, NoResponseError, Reply
from starlingdeck.transport.server import Request, Response
from tests.support.builders import Clock, job_body, make_world
from tests.support.reference_model import Broken, PlainTask, PlainWorker, on_the_wire
from tests.test_membership import LeasedClient, LeasedState

TICK_S = 0.1
REPORT_S = 1.0
ANSWER_S = 4.0  # what a worker waits for an answer
MOVE_S = 1.0
POLL_S = 2.0
CANCEL_S = 40.0  # of tests.support.builders, as is the lease of 10 s
FORGOTTEN_S = 75.0
LOST_S = 2.0  # how long a controller waits for the answer to a transaction
WAITS_S = 90.0  # the longest that room may stand free beside a task that fits it
ENDED = (api.DONE, api.CANCELLED)
real_sleep = curio.sleep


class Client(LeasedClient):
    """One controller's calls. `budget`: of its changes, if it is to be kept within one;
    `late`: the share of transactions carried out late, unanswered; `lost`: the share carried out at
    once whose answer alone is lost; `slow_s`: how long answers are under way at the most; `blind`:
    prefixes that can't be read, as when answers come too slowly."""

    def __init__(self, state: LeasedState, deck: "Deck") -> None:
        super().__init__(state)
        self.deck = deck
        self.budget: TokenBucket | None = None
        self.late = self.lost = self.slow_s = 0.0
        self.blind: set[str] = set()

    async def _under_way(self) -> None:
        if self.slow_s:
            await curio.sleep(self.deck.rng.uniform(0.0, self.slow_s))

    def writable(self, urgent: bool) -> tuple[int, float]:
        return self.budget.available(urgent) if self.budget else (1000, 0.0)

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        if self.budget:
            await self.budget.take(len(changes), urgent)
        if self.deck.rng.random() < self.late and not (self.cut or self.state.down):
            delay = self.deck.rng.uniform(0.5, 12.0)
            self.deck.late.append((self.deck.clock.at + delay, dict(conditions), changes))
            raise OutcomeUnknownError("no answer")
        # What is written is what was sent: its writer may change it while the answer is under way.
        sent = [
            api.Change(c.put, msgspec.Raw(msgspec.json.encode(c.value)), c.lease, c.delete)
            for c in changes
        ]
        fault: TransactionConflictError | None = None
        revision = 0
        try:
            revision = await super().transact(conditions, sent, urgent)
        except TransactionConflictError as error:
            fault = error
        if self.deck.rng.random() < self.lost:
            await curio.sleep(LOST_S)
            raise OutcomeUnknownError("the answer is lost")
        await self._under_way()
        if fault is not None:
            raise fault
        return revision

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        self._call()
        found = self.state.keys.get(key)
        await self._under_way()
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        if any(prefix.startswith(b) for b in self.blind):
            raise StateError("too slow")
        found, epoch = await super().read(prefix)
        await self._under_way()
        return [e for e in found if e.key.startswith(prefix)], epoch

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        found = await super().watch(prefix, after, wait_s)
        found.events = [e for e in found.events if (e.put or e.delete or "").startswith(prefix)]
        return found


@dataclass
class Worker(PlainWorker):
    """Where it reports, and its report under way. `mute`: its reports reach nobody, commands
    reach it; `hung`: it does nothing and answers nothing, and what it is sent waits."""

    model: "Deck"  # type: ignore[assignment]
    node: int = 0
    due: float = 0.0
    ends: dict[str, float] = field(default_factory=dict)
    mute: bool = False
    hung: bool = False

    def work(self, now: float) -> None:
        """Tasks get their images and run as long as their jobs say."""
        if self.hung:
            return
        for name, task in self.tasks.items():
            if task.state == "fetching":
                task.state = "running"
                self.model.begins(self, name)
                self.ends[name] = now + self.model.run_s(name)
                if name in self.completed:
                    self.ends[name] = now
            elif task.state == "running" and self.ends[name] <= now:
                task.state, task.why = "exited", "done"
                self.completed.add(name)
                self.model.ended(name)


class Deck:
    """Controllers, workers, users, and the troubles between them."""

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        workers: int = 6,
        zones: tuple[str, ...] = ("a", "a", "a"),
        limit: float = 0.0,
    ) -> None:
        """`zones`: of the controllers, each with as many workers; `limit`: of team blue, cores."""
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.state = LeasedState(self.clock)
        self.late: list[tuple[float, dict[str, int], list[api.Change]]] = []
        self.copies: list[tuple[float, bytes]] = []  # of reports, and when they come once more
        self.kept: list[tuple[int, int, bytes]] = []  # copies for a shard's next holder, and hold
        self.orders: list[tuple[float, str, api.Commands]] = []  # held up
        self.copied = self.held = self.keeps = 0.0  # shares of reports and commands
        self.zones = zones
        self.limit = limit
        self.crowded = False  # jobs are of several ranks
        self.shut: set[int] = set()  # controllers that users can't reach
        self.at_end = 0.0  # share of the jobs called off as they end
        self.calls: list[tuple[str, int]] = []  # of users: a job called off, at a controller
        self.odd_asked = False  # users ask for what can't be, all the time
        self.lag_s = 0.0  # how long reports are under way at the most
        self.looks = 0.0  # share of the answers after which users ask everywhere at once
        self.faults: list[Exception] = []  # of what runs beside the story
        self.busy: set[tuple[Any, ...]] = set()  # controllers' loops that have not come round
        self.clients = [Client(self.state, self) for _ in range(nodes)]
        self.down: dict[int, float] = {}  # controller -> when it is back
        self.apart: set[frozenset[int]] = set()  # controllers that can't reach each other
        self.off: set[tuple[int, str]] = set()  # controller and worker that can't
        self.mail: dict[tuple[int, int], list[pb.Envelope]] = {
            (i, j): [] for i in range(nodes) for j in range(nodes) if i != j
        }
        self.mailing = 0
        self.nodes = [self.start(i) for i in range(nodes)]
        names = [f"vm-{i}" for i in range(10 * workers)]
        chosen = [  # as many of each shard
            [n for n in names if shard_of_machine(n, zone, zones) == shard][: workers // nodes]
            for shard, zone in enumerate(zones)
        ]
        self.workers = {
            name: Worker(name, zones[i], self, answered=self.clock.at, node=i)
            for i, part in enumerate(chosen)
            for name in part
        }
        self.lasts: dict[str, float] = {}  # job or task -> how long it runs
        self.finished: set[str] = set()
        self.begun: dict[str, int] = {}  # task -> how often
        self.known: set[str] = set()
        self.jobs: dict[str, dict[str, Any]] = {}  # as their users describe them
        self.told: dict[str, tuple[str, float]] = {}  # job -> its final state, and since when
        self.done: dict[str, int] = {}  # job -> the most of its tasks that were called done
        self.asked: set[str] = set()
        self.odd: set[str] = set()  # jobs that nobody may accept
        self.heard: dict[str, float] = {}  # job -> when a question about it was last answered
        self.calm_at = 1e18  # since when there is no trouble any more
        self.late_starts: dict[str, float] = {}  # task -> how long after it was called cancelled
        self.waits: dict[str, float] = {}  # task -> since when it waits beside room for it

    # --- controllers

    def start(self, number: int) -> Controller:
        context = make_world(self.clock, self.rng.getrandbits(32), self.zones, number)
        if self.limit:
            teams = context.settings.settings.teams
            teams[0] = msgspec.structs.replace(teams[0], cpus_max=self.limit)
        node = Controller(context)
        client: Any = self.clients[number]
        membership = node.membership
        for part in (
            node,
            node.job_api.services,
            membership,
            membership.lease,
            membership.ownership,
            node.quota_transfer,
            node.state_sync.relay,
        ):
            part.state = client

        def up(to: int) -> bool:
            return self.linked(number, to)

        async def call(to: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            if not self.linked(number, to) or self.nodes[number] is not node:
                raise PeerUnavailableError("apart")
            envelope.sender = number
            return await self.nodes[to].on_message(envelope) or pb.Envelope()

        async def post(to: int, envelope: pb.Envelope) -> None:
            if self.linked(number, to):
                self.mail[number, to].append(on_the_wire(envelope, number))

        async def http(
            address: str, method: str, path: str, body: bytes | None, timeout_s: float
        ) -> Reply:
            worker = self.workers[address.split(":")[1]]
            if (number, worker.name) in self.off or self.nodes[number] is not node:
                raise ConnectionFailedError("cut")
            if worker.deaf:
                raise NoResponseError("deaf")
            orders = msgspec.json.decode(body or b"", type=api.Commands)
            luck = self.rng.random()
            if luck < self.held / 2 or worker.hung:
                self.orders.append(
                    (self.clock.at + self.rng.uniform(1.0, 15.0), worker.name, orders)
                )
                raise NoResponseError("held up")
            status, report = worker.do(orders)
            if luck < self.held:
                raise NoResponseError("its answer is held up")
            return Reply(status, msgspec.json.encode(report), None)

        node.peers.call = call  # type: ignore[method-assign, assignment]
        node.peers.enqueue = post  # type: ignore[method-assign, assignment]
        node.peers.is_reachable = up  # type: ignore[method-assign, assignment]
        node.http.call = http  # type: ignore[method-assign]
        node.peers.started_at = self.clock.at
        return node

    def linked(self, one: int, other: int) -> bool:
        up = one not in self.down and other not in self.down
        return up and (one == other or frozenset((one, other)) not in self.apart)

    def crash(self, number: int, for_s: float) -> None:
        self.down[number] = self.clock.at + for_s
        old = self.nodes[number]
        old.membership.lease.lease_id = 0  # what it still does in tasks of its own is nobody's word
        old.writers.clear()
        old.machines.clear()

    def outage(self, down: bool) -> None:
        """After one every lease has its full time again."""
        self.state.expire()
        if self.state.down and not down:
            for lease in self.state.leases:
                self.state.leases[lease] = self.clock.at + self.state.ttl[lease]
        self.state.down = down

    def calm(self) -> None:
        """All troubles are over."""
        self.outage(False)
        for client in self.clients:
            client.cut, client.late, client.lost, client.slow_s = False, 0.0, 0.0, 0.0
            client.blind.clear()
        for worker in self.workers.values():
            worker.deaf = worker.mute = worker.hung = False
        self.apart.clear()
        self.off.clear()
        self.shut.clear()
        self.copied = self.held = self.keeps = self.looks = self.at_end = 0.0
        self.odd_asked, self.lag_s = False, 0.0
        self.calm_at = max([self.clock.at, *self.down.values()])

    async def beside(self, do: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Goes on beside the story. What it finds broken ends the play: a daemon's own fault
        ends that daemon only, and no check that users make could fail."""

        async def run() -> None:
            try:
                await do(*args)
            except Exception as error:
                self.faults.append(error)

        await curio.spawn(run, daemon=True)

    async def loop(self, key: tuple[Any, ...], *each: Callable[[], Awaitable[Any]]) -> None:
        """One of a controller's loops; while it waits for an answer the others go on."""
        if key in self.busy:
            return
        self.busy.add(key)

        async def round() -> None:
            try:
                for one in each:
                    await one()
            finally:
                self.busy.discard(key)

        await self.beside(round)

    async def serve(self, number: int, node: Controller) -> None:
        links = node.peers.links
        for other in range(len(self.nodes)):
            if other != number and self.linked(number, other):
                links.setdefault(other, object())  # type: ignore[arg-type]
                node.peers.last_heard_at[other] = self.clock.at
                self.mailing += 1
                if self.mailing % 5 == 0:
                    await node.peers.enqueue(other, pb.Envelope(gossip=node.build_gossip()))
            else:
                links.pop(other, None)
        for loop in (
            node.membership.renew,
            node.membership.watch,
            node.membership.reconcile_ownership,
        ):
            await self.loop((id(node), loop.__name__), loop)
        await self.loop((id(node), "step"), node.reconcile)
        await self.loop((id(node), "plan"), node.planner.run_cycle)
        await self.loop((id(node), "write"), lambda: self.write(node))

    async def write(self, node: Controller) -> None:
        for writer in list(node.writers.values()):
            try:
                while node.membership.lease_is_valid() and await writer.flush():
                    pass
            except (StateError, LookupError):
                pass
            if writer.ownership_lost:
                node.membership.synced = False

    async def deliver(self, link: tuple[int, int]) -> None:
        """What is under way from one controller to another, in its order."""
        sender, to = link
        while self.mail[link]:
            envelope = self.mail[link].pop(0)
            if self.linked(sender, to):
                again = await self.nodes[to].on_message(envelope)
                if again is not None and again.HasField("resync_request"):
                    self.nodes[sender].on_resync_request(to, again.resync_request.shard)

    # --- workers

    def launched(self, task: str) -> None:
        if task.split("/", maxsplit=1)[0] not in self.known:
            raise Broken(f"invented: {task}")

    def ended(self, task: str) -> None:
        """A task has completed; some users call their job off at the moment of its end."""
        self.finished.add(task)
        job = task.split("/", maxsplit=1)[0]
        whole = all(f"{job}/{i}" in self.finished for i in range(self.jobs[job]["chores"]))
        if whole and job in self.known and self.rng.random() < self.at_end:
            self.calls.append((job, self.rng.randrange(len(self.nodes))))

    def boot(self, shard: int) -> Worker:
        """A new machine of a shard, up at once."""
        zone, number = self.zones[shard], 100 + len(self.workers)
        while (
            shard_of_machine(f"vm-{number}", zone, self.zones) != shard
            or f"vm-{number}" in self.workers
        ):
            number += 1
        name = f"vm-{number}"
        self.workers[name] = Worker(
            name, zone, self, answered=self.clock.at, node=self.rng.randrange(len(self.nodes))
        )
        return self.workers[name]

    def run_s(self, task: str) -> float:
        return self.lasts.get(task) or self.lasts[task.split("/", maxsplit=1)[0]]

    def begins(self, worker: PlainWorker, name: str) -> None:
        self.begun[name] = self.begun.get(name, 0) + 1
        for other in self.workers.values():
            task = other.tasks.get(name)
            if other is not worker and task is not None and task.state == "running":
                raise Broken(f"ran_twice: {name} on {worker.name} and {other.name}")
        job = name.split("/", maxsplit=1)[0]
        state, at = self.told.get(job, ("", 0.0))
        if state == api.CANCELLED:
            self.late_starts[name] = self.clock.at - at
            if self.clock.at > at + CANCEL_S:
                raise Broken(f"ran_cancelled: {name} began {self.clock.at - at:.1f} s after")
        told = self.jobs[job]
        zones = [w.zone for w, n, t in self.tasks(job) if n != name and t.state == "running"]
        limit = (told["chores"] + 1) // 2
        if (
            told["roost"] not in (None, worker.zone)
            or (told["same_place"] and {*zones} - {worker.zone})
            or (told["spread"] and zones.count(worker.zone) >= limit)
        ):
            raise Broken(f"wrong_place: {name} in {worker.zone}, beside {zones}")

    def tasks(self, job: str = "") -> list[tuple["Worker", str, PlainTask]]:
        """All tasks that machines have and that haven't ended; of one job."""
        return [
            (worker, name, task)
            for worker in self.workers.values()
            for name, task in worker.tasks.items()
            if task.state != "exited" and (not job or name.split("/")[0] == job)
        ]

    async def report(self, worker: Worker) -> None:
        """One report, and what its answer makes the worker do."""
        sent, session, number = self.clock.at, worker.session, worker.node
        worker.due = sent + 1e9
        body = msgspec.json.encode(worker.report())
        if self.rng.random() < self.copied:
            self.copies.append((sent + self.rng.uniform(2.0, 25.0), body))
        if self.rng.random() < self.keeps:
            self.kept.append((*self.hold_of(worker), body))
        cut = worker.mute or number in self.down or (number, worker.name) in self.off
        reply: Response | None = None
        if not cut:
            node = self.nodes[number]
            if self.lag_s:
                await curio.sleep(self.lag_s * self.rng.uniform(0.8, 1.0))
            reply = await node.heartbeat_api.handle(body)
            if number in self.down or self.nodes[number] is not node:
                reply = None
        waited = self.clock.at - sent
        if reply is None or worker.deaf or worker.hung or waited > ANSWER_S:
            refused = number in self.down  # its machine answers, no process listens
            worker.due = sent + MOVE_S + (0.0 if refused else ANSWER_S)
            worker.node = (number + 1) % len(self.nodes)
        elif reply.status == 200:
            answer = msgspec.json.decode(reply.body, type=api.ReportReply)
            worker.answer(answer, session, sent)
            worker.due = sent + REPORT_S * self.rng.uniform(0.75, 1.25)
        else:
            told = msgspec.json.decode(reply.body, type=dict[str, Any])
            name = told.get("answer_to") if reply.status == 421 else None
            if name and name != f"n-{number}":
                worker.node, worker.due = int(name[2:]), self.clock.at + 0.2
            else:
                worker.node = (number + 1) % len(self.nodes)
                worker.due = self.clock.at + MOVE_S

    # --- users

    async def ask(self, number: int, method: str, path: str, body: bytes = b"") -> int:
        """One request; what is told is held against what was told before it began."""
        sent = self.clock.at
        name = path.split("/")[3] if path != api.JOBS else msgspec.json.decode(body)["uid"]
        known, final = name in self.known, self.told.get(name)
        done = self.done.get(name, 0)
        if number in self.down or number in self.shut:
            return 0
        reply = await self.nodes[number].serve(Request(method, path, body))
        if self.clock.at - sent > POLL_S or number in self.down or number in self.shut:
            return 0
        if known and reply.status in (404, 400, 422):
            raise Broken(f"forgotten: {name} answered {reply.status}")
        if reply.status not in (200, 201):
            return reply.status
        if name in self.odd or name not in self.jobs:
            raise Broken(f"invented: {name} answered {reply.status}")
        told = msgspec.json.decode(reply.body, type=api.JobStatus)
        if final and told.state != final[0]:
            raise Broken(f"went_back: {name} was {final[0]}, is {told.state}")
        if told.state == api.CANCELLED and name not in self.asked:
            raise Broken(f"went_back: {name} was never cancelled")
        if told.done is not None and told.done < done:
            raise Broken(f"went_back: {name} had {done} tasks done, has {told.done}")
        ended = sum(f"{name}/{i}" in self.finished for i in range(self.jobs[name]["chores"]))
        if told.state == api.DONE and ended < self.jobs[name]["chores"]:
            raise Broken(f"not_done: {name}")
        if (told.done or 0) > ended:
            raise Broken(f"not_done: {name} has {ended} tasks done, is told {told.done}")
        news = name not in self.known or (told.state in ENDED and name not in self.told)
        self.known.add(name)
        self.heard[name] = self.clock.at
        self.done[name] = max(told.done or 0, self.done.get(name, 0))
        if told.state in ENDED:
            self.told.setdefault(name, (told.state, sent))
        if news and self.rng.random() < self.looks:
            await self.beside(self.look_closely, name)
        return reply.status

    async def look_closely(self, name: str) -> None:
        """All controllers are asked within milliseconds, submissions repeated; some cancel."""
        body, path = msgspec.json.encode(self.jobs[name]), f"{api.JOBS}/{name}"
        if name not in self.told and self.rng.random() < 0.2:
            await self.beside(self.cancel, name, (self.rng.randrange(len(self.nodes)),))
        for _ in range(3):
            for number in self.rng.sample(range(len(self.nodes)), len(self.nodes)):
                await self.beside(self.ask, number, "GET", path)
                await self.beside(self.ask, number, "POST", api.JOBS, body)
            await real_sleep(0)

    async def submit(self, name: str, tasks: int, lasts_s: float, **other: Any) -> None:
        self.lasts[name] = lasts_s
        self.jobs[name] = job_body(name, chores=tasks, image_gb=0.1, **other)
        body = msgspec.json.encode(self.jobs[name])
        while name not in self.known:
            await self.ask(self.rng.randrange(len(self.nodes)), "POST", api.JOBS, body)
            await curio.sleep(0.5)

    async def ask_oddly(self, name: str) -> None:
        """Jobs that lack a field or fit nowhere, at every controller: refused, and never known."""
        for number in range(len(self.nodes)):
            short, vast = job_body(f"j-9{number}0000"), job_body(f"j-9{number}0001", cores=500.0)
            del short["kit"]
            self.odd.update((short["uid"], vast["uid"]))
            for body, status in ((short, 400), (vast, 422)):
                path = f"{api.JOBS}/{body['uid']}"
                found = await self.ask(number, "POST", api.JOBS, msgspec.json.encode(body))
                if found not in (status, 0, 503):
                    raise Broken(f"{body['uid']} answered {found}, not {status}")
                if await self.ask(number, "GET", path) not in (404, 0, 503):
                    raise Broken(f"invented: {body['uid']}")
            await self.ask(number, "POST", api.JOBS, msgspec.json.encode(self.jobs[name]))
            if self.told.get(name, ("",))[0] == api.DONE:
                await self.ask(number, "POST", f"{api.JOBS}/{name}/{api.CANCEL}")

    async def cancel(self, name: str, by: tuple[int, ...]) -> None:
        """Asked of these controllers in turn until one of them says so."""
        self.asked.add(name)
        path = f"{api.JOBS}/{name}/{api.CANCEL}"
        while name not in self.told:
            for number in by:
                if await self.ask(number, "POST", path) == 200:
                    return
            await curio.sleep(0.5)

    # --- time

    def check(self) -> None:
        if self.faults:
            raise self.faults[0]
        now, used = self.clock.at, 0.0
        for worker, name, task in self.tasks():
            job = name.split("/")[0]
            state, at = self.told.get(job, ("", 0.0))
            if state == api.CANCELLED and now > at + CANCEL_S:
                raise Broken(f"ran_cancelled: {name} on {worker.name}, {now - at:.1f} s after")
            if task.state == "running" and self.jobs[job]["crew"] == "blue":
                used += self.jobs[job]["cores"]
        self.used = used
        if self.limit and used > self.limit + 1e-6:
            raise Broken(f"quota: {used} of {self.limit} cores")
        if now > self.calm_at:
            self.check_waits(now)

    def check_waits(self, now: float) -> None:
        """No task waits beside room for it; room counts only while it stays."""
        room: dict[str, int] = {}
        for w in self.workers.values():
            room[w.zone] = (
                room.get(w.zone, 0) + w.slots - sum(1 for o, _, _ in self.tasks() if o is w)
            )
        for name, told in self.jobs.items():
            live = {n for _, n, _ in self.tasks(name)}
            over = name not in self.known or name in self.told or name in self.asked
            full = told["crew"] == "blue" and 0 < self.limit < self.used + told["cores"]
            zones = [told["roost"]] if told["roost"] else list(room)
            fits = not over and not full and all(room[z] > 0 for z in zones)
            for task in (f"{name}/{i}" for i in range(told["chores"])):
                if not fits or task in live or task in self.finished:
                    self.waits.pop(task, None)
                elif now - self.waits.setdefault(task, now) > WAITS_S:
                    raise Broken(f"waits: {task} beside room on {room}")

    async def run(self, seconds: float) -> None:
        end = self.clock.at + seconds
        while self.clock.at < end - 1e-9:
            self.clock.at += TICK_S
            now = self.clock.at
            self.state.expire()
            for one in [item for item in self.late if item[0] <= now and not self.state.down]:
                self.late.remove(one)
                if all(c.lease is None or c.lease in self.state.leases for c in one[2]):
                    self.state.change(one[2], one[1])
            for held in [item for item in self.orders if item[0] <= now]:
                self.orders.remove(held)
                self.workers[held[1]].do(held[2])
            for copy in [item for item in self.copies if item[0] <= now]:
                self.copies.remove(copy)
                await self.send_copy(copy[1])
            for kept in [k for k in self.kept if self.holds.get(k[0], k[1]) != k[1]]:
                self.kept.remove(kept)
                await self.send_copy(kept[2])
            for number, at in list(self.down.items()):
                if at <= now:
                    del self.down[number]
                    self.nodes[number] = self.start(number)
            for link in self.mail:
                await self.loop(("mail", link), lambda link=link: self.deliver(link))  # type: ignore[misc]
            for number, node in enumerate(self.nodes):
                if number not in self.down:
                    await self.serve(number, node)
            for worker in self.workers.values():
                worker.expire(now)  # by PROTOCOL a machine that hangs may go on within its lease
                if worker.hung:
                    continue
                worker.work(now)
                if worker.due <= now:
                    await self.beside(self.report, worker)
            for job, number in self.calls:
                await self.beside(self.cancel, job, (number, *range(len(self.nodes))))
            self.calls.clear()
            for _ in range(4):
                await real_sleep(0)
            self.check()

    @property
    def holds(self) -> dict[int, int]:
        """The hold of each shard of machines, by the state service."""
        found = {}
        for shard in range(len(self.nodes)):
            entry = self.state.keys.get(records.shard_key(shard))
            if entry is not None:
                found[shard] = msgspec.json.decode(entry[0], type=records.ShardValue).epoch
        return found

    def hold_of(self, worker: Worker) -> tuple[int, int]:
        shard = shard_of_machine(worker.name, worker.zone, self.zones)
        return shard, self.holds.get(shard, 0)

    async def send_copy(self, body: bytes) -> None:
        """An old report reaches every controller."""
        for number, node in enumerate(self.nodes):
            if number not in self.down:
                await self.beside(node.heartbeat_api.handle, body)

    async def poll(self, names: list[str]) -> None:
        """Users ask about their jobs, of any controller."""
        if self.odd_asked:
            await self.beside(self.ask_oddly, self.rng.choice(names))
        for name in names:
            number = self.rng.randrange(len(self.nodes))
            await self.beside(self.ask, number, "GET", f"{api.JOBS}/{name}")

    def live(self, job: str) -> list[tuple[str, PlainTask]]:
        return [(worker.name, task) for worker, _, task in self.tasks(job)]


def play(monkeypatch: Any, deck: Deck, drive: Coroutine[Any, Any, Any]) -> Any:
    """Runs a test's story; while a controller sleeps, the others go on. Who moves the clock may
    not wait for it: that is said, where it would last for ever."""

    async def sleep(seconds: float) -> None:
        until = deck.clock.at + seconds
        await real_sleep(0)
        still, seen = 0, deck.clock.at
        while deck.clock.at < until - 1e-9:
            still, seen = (still + 1, seen) if seen == deck.clock.at else (0, deck.clock.at)
            if still > 10_000:
                raise Broken(f"the clock stands still at {seen:.1f} s")
            await real_sleep(0)

    monkeypatch.setattr(curio, "sleep", sleep)
    return curio.run(drive)

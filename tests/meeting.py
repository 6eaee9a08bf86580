"""A plain world of whole controllers for meetings of troubles: simulated time, seeded.

The controllers are real `Node`s with their membership; only sockets are replaced. The state service
ends leases by the clock, refuses one controller or all, and carries out late what got no answer;
workers report, move on and run their leases out by PROTOCOL. Every rule is checked at every tick.
"""

import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import curio
import msgspec

from starlingdeck.coordination.node import Node
from starlingdeck.coordination.peers import PeerDown
from starlingdeck.coordination.shards import machine_shard
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage.state import StateError, StateUnknown
from starlingdeck.transport.client import NoAnswer, NotSent, Reply
from starlingdeck.transport.server import Request, Response
from tests.build import Clock, job_body, make_world
from tests.model import Broken, PlainTask, PlainWorker, on_the_wire
from tests.test_membership import LeasedClient, LeasedState

TICK_S = 0.1
REPORT_S = 1.0
ANSWER_S = 4.0  # what a worker waits for an answer
MOVE_S = 1.0
POLL_S = 2.0
CANCEL_S = 40.0  # of tests.build, as is the lease of 10 s
FORGOTTEN_S = 75.0
real_sleep = curio.sleep


class Client(LeasedClient):
    """One controller's calls. `late`: the share of transactions carried out late, unanswered;
    `blind`: prefixes that can't be read, as when answers come too slowly."""

    def __init__(self, state: LeasedState, deck: "Deck") -> None:
        super().__init__(state)
        self.deck = deck
        self.late = 0.0
        self.blind: set[str] = set()

    def writable(self, urgent: bool) -> tuple[int, float]:
        return 1000, 0.0

    async def txn(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        if self.deck.rng.random() < self.late and not (self.cut or self.state.down):
            delay = self.deck.rng.uniform(0.5, 12.0)
            self.deck.late.append((self.deck.clock.at + delay, dict(conditions), changes))
            raise StateUnknown("no answer")
        return await super().txn(conditions, changes, urgent)

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        self._call()
        found = self.state.keys.get(key)
        return api.Entry(key, msgspec.Raw(found[0]), found[1]) if found else None

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        if any(prefix.startswith(b) for b in self.blind):
            raise StateError("too slow")
        found, epoch = await super().read(prefix)
        return [e for e in found if e.key.startswith(prefix)], epoch

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        found = await super().watch(prefix, after, wait_s)
        found.events = [e for e in found.events if (e.put or e.delete or "").startswith(prefix)]
        return found


@dataclass
class Worker(PlainWorker):
    """Where it reports, and its report under way."""

    model: "Deck"  # type: ignore[assignment]
    node: int = 0
    due: float = 0.0
    ends: dict[str, float] = field(default_factory=dict)

    def work(self, now: float) -> None:
        """Tasks get their images and run as long as their jobs say."""
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
                self.model.finished.add(name)


class Deck:
    """Controllers, workers, users, and the troubles between them."""

    def __init__(self, seed: int, nodes: int = 3, workers: int = 6) -> None:
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.state = LeasedState(self.clock)
        self.late: list[tuple[float, dict[str, int], list[api.Change]]] = []
        self.copies: list[tuple[float, bytes]] = []  # of reports, and when they come once more
        self.orders: list[tuple[float, str, api.Commands]] = []  # held up
        self.copied = self.held = 0.0  # shares of reports and commands
        self.zones = ("a",) * nodes
        self.clients = [Client(self.state, self) for _ in range(nodes)]
        self.down: dict[int, float] = {}  # controller -> when it is back
        self.apart: set[frozenset[int]] = set()  # controllers that can't reach each other
        self.off: set[tuple[int, str]] = set()  # controller and worker that can't
        self.mail: list[tuple[int, int, pb.Envelope]] = []
        self.mailing = 0
        self.nodes = [self.start(i) for i in range(nodes)]
        names = [f"vm-{i}" for i in range(10 * workers)]
        chosen = [  # as many of each shard
            [n for n in names if machine_shard(n, "a", self.zones) == shard][: workers // nodes]
            for shard in range(nodes)
        ]
        self.workers = {
            name: Worker(name, "a", self, answered=self.clock.at, node=i)
            for i, part in enumerate(chosen)
            for name in part
        }
        self.lasts: dict[str, float] = {}  # job or task -> how long it runs
        self.finished: set[str] = set()
        self.begun: dict[str, int] = {}  # task -> how often
        self.known: set[str] = set()
        self.sizes: dict[str, int] = {}
        self.told: dict[str, tuple[str, float]] = {}  # job -> its final state, and since when
        self.asked: set[str] = set()
        self.heard: dict[str, float] = {}  # job -> when a question about it was last answered

    # --- controllers

    def start(self, number: int) -> Node:
        node = Node(make_world(self.clock, self.rng.getrandbits(32), self.zones, number))
        client: Any = self.clients[number]
        for part in (node, node.users, node.membership, node.gifts, node.exchange):
            part.state = client

        def up(to: int) -> bool:
            return self.linked(number, to)

        async def call(to: int, envelope: pb.Envelope, timeout_s: float) -> pb.Envelope:
            if not self.linked(number, to) or self.nodes[number] is not node:
                raise PeerDown("apart")
            envelope.sender = number
            return await self.nodes[to].on_message(envelope) or pb.Envelope()

        async def post(to: int, envelope: pb.Envelope) -> None:
            if self.linked(number, to):
                self.mail.append((number, to, on_the_wire(envelope, number)))

        async def http(
            address: str, method: str, path: str, body: bytes | None, timeout_s: float
        ) -> Reply:
            worker = self.workers[address.split(":")[1]]
            if (number, worker.name) in self.off or self.nodes[number] is not node:
                raise NotSent("cut")
            if worker.deaf:
                raise NoAnswer("deaf")
            orders = msgspec.json.decode(body or b"", type=api.Commands)
            luck = self.rng.random()
            if luck < self.held / 2:
                self.orders.append(
                    (self.clock.at + self.rng.uniform(1.0, 15.0), worker.name, orders)
                )
                raise NoAnswer("held up")
            status, report = worker.do(orders)
            if luck < self.held:
                raise NoAnswer("its answer is held up")
            return Reply(status, msgspec.json.encode(report), None)

        node.peers.call = call  # type: ignore[method-assign, assignment]
        node.peers.post = post  # type: ignore[method-assign, assignment]
        node.peers.up = up  # type: ignore[method-assign, assignment]
        node.http.call = http  # type: ignore[method-assign]
        node.peers.started = self.clock.at
        return node

    def linked(self, one: int, other: int) -> bool:
        up = one not in self.down and other not in self.down
        return up and (one == other or frozenset((one, other)) not in self.apart)

    def crash(self, number: int, for_s: float) -> None:
        self.down[number] = self.clock.at + for_s
        old = self.nodes[number]
        old.membership.lease = 0  # what it still does in tasks of its own is nobody's word
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
            client.cut, client.late = False, 0.0
            client.blind.clear()
        for worker in self.workers.values():
            worker.deaf = False
        self.apart.clear()
        self.off.clear()
        self.copied = self.held = 0.0

    async def serve(self, number: int, node: Node) -> None:
        links = node.peers.links
        for other in range(len(self.nodes)):
            if other != number and self.linked(number, other):
                links.setdefault(other, object())  # type: ignore[arg-type]
                node.peers.heard[other] = self.clock.at
                self.mailing += 1
                if self.mailing % 5 == 0:
                    await node.peers.post(other, pb.Envelope(hello=node.hello()))
            else:
                links.pop(other, None)
        for loop in (node.membership.renew, node.membership.watch, node.membership.own):
            await loop()
        await node.step()
        await node.planner.plan()
        for writer in list(node.writers.values()):
            try:
                while node.membership.valid() and await writer.flush():
                    pass
            except (StateError, LookupError):
                pass
            if writer.lost:
                node.membership.synced = False

    async def deliver(self) -> None:
        mail, self.mail = self.mail, []
        for sender, to, envelope in mail:
            if self.linked(sender, to):
                again = await self.nodes[to].on_message(envelope)
                if again is not None and again.HasField("again"):
                    self.nodes[sender].on_again(to, again.again.shard)

    # --- workers

    def launched(self, task: str) -> None:
        if task.split("/")[0] not in self.known:
            raise Broken(f"invented: {task}")

    def run_s(self, task: str) -> float:
        return self.lasts.get(task) or self.lasts[task.split("/")[0]]

    def begins(self, worker: PlainWorker, name: str) -> None:
        self.begun[name] = self.begun.get(name, 0) + 1
        for other in self.workers.values():
            task = other.tasks.get(name)
            if other is not worker and task is not None and task.state == "running":
                raise Broken(f"ran_twice: {name} on {worker.name} and {other.name}")

    async def report(self, worker: Worker) -> None:
        """One report, and what its answer makes the worker do."""
        sent, session, number = self.clock.at, worker.session, worker.node
        worker.due = sent + 1e9
        body = msgspec.json.encode(worker.report())
        if self.rng.random() < self.copied:
            self.copies.append((sent + self.rng.uniform(2.0, 25.0), body))
        cut = number in self.down or (number, worker.name) in self.off
        reply: Response | None = None
        if not cut:
            node = self.nodes[number]
            reply = await node.reports.take(body)
            if number in self.down or self.nodes[number] is not node:
                reply = None
        waited = self.clock.at - sent
        if reply is None or worker.deaf or waited > ANSWER_S:
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
        """One request; what is told is held against what was told before."""
        sent = self.clock.at
        if number in self.down:
            return 0
        reply = await self.nodes[number].serve(Request(method, path, body))
        if self.clock.at - sent > POLL_S or number in self.down:
            return 0
        name = path.split("/")[3] if path != api.JOBS else msgspec.json.decode(body)["uid"]
        if name in self.known and reply.status in (404, 400, 422):
            raise Broken(f"forgotten: {name} answered {reply.status}")
        if reply.status not in (200, 201):
            return reply.status
        told = msgspec.json.decode(reply.body, type=api.JobStatus)
        self.known.add(name)
        self.heard[name] = self.clock.at
        if name in self.told and told.state != self.told[name][0]:
            raise Broken(f"went_back: {name} was {self.told[name][0]}, is {told.state}")
        if told.state == api.CANCELLED and name not in self.asked:
            raise Broken(f"went_back: {name} was never cancelled")
        short = any(f"{name}/{i}" not in self.finished for i in range(self.sizes[name]))
        if told.state == api.DONE and short:
            raise Broken(f"not_done: {name}")
        if told.state in (api.DONE, api.CANCELLED):
            self.told.setdefault(name, (told.state, sent))
        return reply.status

    async def submit(self, name: str, tasks: int, lasts_s: float) -> None:
        self.lasts[name] = lasts_s
        self.sizes[name] = tasks
        body = msgspec.json.encode(job_body(name, chores=tasks, cores=2.0, image_gb=0.1))
        while name not in self.known:
            await self.ask(self.rng.randrange(len(self.nodes)), "POST", api.JOBS, body)
            await curio.sleep(0.5)

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
        now = self.clock.at
        for worker in self.workers.values():
            for name, task in worker.tasks.items():
                state, at = self.told.get(name.split("/")[0], ("", 0.0))
                if state == api.CANCELLED and task.state != "exited" and now > at + CANCEL_S:
                    raise Broken(f"ran_cancelled: {name} on {worker.name}, {now - at:.1f} s after")

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
                for number, node in enumerate(self.nodes):
                    if number not in self.down:
                        await curio.spawn(node.reports.take, copy[1], daemon=True)
            for number, at in list(self.down.items()):
                if at <= now:
                    del self.down[number]
                    self.nodes[number] = self.start(number)
            await self.deliver()
            for number, node in enumerate(self.nodes):
                if number not in self.down:
                    await self.serve(number, node)
            for worker in self.workers.values():
                worker.expire(now)
                worker.work(now)
                if worker.due <= now:
                    await curio.spawn(self.report, worker, daemon=True)
            for _ in range(4):
                await real_sleep(0)
            self.check()

    async def poll(self, names: list[str]) -> None:
        """Users ask about their jobs, of any controller."""
        for name in names:
            number = self.rng.randrange(len(self.nodes))
            await curio.spawn(self.ask, number, "GET", f"{api.JOBS}/{name}", daemon=True)

    def live(self, job: str) -> list[tuple[str, PlainTask]]:
        return [
            (worker.name, task)
            for worker in self.workers.values()
            for name, task in worker.tasks.items()
            if name.split("/")[0] == job and task.state != "exited"
        ]


def play(monkeypatch: Any, deck: Deck, drive: Coroutine[Any, Any, Any]) -> Any:
    """Runs a test's story; while a controller sleeps, the others go on."""

    async def sleep(seconds: float) -> None:
        until = deck.clock.at + seconds
        await real_sleep(0)
        while deck.clock.at < until - 1e-9:
            await real_sleep(0)

    monkeypatch.setattr(curio, "sleep", sleep)
    return curio.run(drive)

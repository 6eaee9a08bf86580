"""A worker whose tasks each hold a session to the engine for a while.

python -m standins.worker NAME ADDRESS TYPE ZONE CPUS MEMORY_GB
    --controllers NAME=ADDRESS,... --engine ADDRESS --session-s S --results FOLDER
    --report-s S --lease-s S [--task-cpus N]
A task that has completed leaves a file in the results' folder, outside the machine: started
again, it exits at once.
"""

import argparse
import random
import time
from dataclasses import dataclass
from pathlib import Path

import curio
import msgspec

from standins.serve import answer, serve
from starlingdeck.protocol import api
from starlingdeck.protocol.settings import split_address
from starlingdeck.transport.client import HttpClient, NoAnswer, Reply
from starlingdeck.transport.server import Request, Response


@dataclass
class Task:
    attempt: int
    state: str = "fetching"
    why: str | None = None
    run: curio.Task | None = None


class Worker:
    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.controllers = dict(part.split("=") for part in args.controllers.split(","))
        self.names = list(self.controllers)
        random.shuffle(self.names)
        self.session = 1
        self.seq = self.token = 0
        self.began = time.monotonic()
        self.answered = self.began  # when the last answered report was sent
        self.cut_until = 0.0
        self.tasks: dict[str, Task] = {}
        self.news = curio.Event()
        self.http = HttpClient()

    @property
    def cut(self) -> bool:
        return time.monotonic() < self.cut_until

    def report(self) -> api.Report:
        self.seq += 1
        a = self.args
        tasks = [api.ReportTask(n, t.attempt, t.state, t.why) for n, t in self.tasks.items()]
        return api.Report(
            a.name, a.address, a.type, a.zone, self.session, self.seq, self.token, tasks=tasks
        )

    async def handle(self, request: Request) -> Response:
        if request.path == "/cut":
            self.cut_until = time.monotonic() + msgspec.json.decode(request.body)["seconds"]
            return answer()
        while self.cut:
            await curio.sleep(0.1)  # packets are held back, not lost
        if request.path == api.WORKER_STATUS:
            return answer(self.report())
        orders = msgspec.json.decode(request.body, type=api.Commands)
        if orders.token < self.token or orders.session != self.session:
            return answer(self.report(), 409)
        self.token = orders.token
        await self.execute(orders.commands)
        return answer(self.report())

    async def execute(self, commands: list[api.Command]) -> None:
        for command in commands:
            task = self.tasks.get(command.task)
            same = task is not None and task.attempt == command.attempt
            if command.op == api.START and not same:
                if task is not None and task.state != "exited":
                    continue
                task = self.tasks[command.task] = Task(command.attempt)
                live = sum(t.state != "exited" for t in self.tasks.values())
                if live * self.args.task_cpus > self.args.cpus:
                    task.state, task.why = "exited", "full"
                else:
                    task.run = await curio.spawn(self.work, command.task, task, daemon=True)
            elif task is not None and same and command.op == api.STOP:
                await self.end(task, "halted")
            elif task is not None and same and command.op == api.FORGET and task.why:
                del self.tasks[command.task]
        if commands:
            await self.news.set()

    async def end(self, task: Task, why: str) -> None:
        if task.state != "exited":
            task.state, task.why = "exited", why
            if task.run is not None:
                await task.run.cancel()
            await self.news.set()

    async def work(self, name: str, task: Task) -> None:
        """Hold a session to the engine; say `done` when the work is complete."""
        result = Path(self.args.results) / name.replace("/", "_")
        why = "done"
        if not result.exists():
            try:
                sock = await curio.open_connection(*split_address(self.args.engine))
                async with sock:
                    await sock.sendall(f"{name} {task.attempt} {self.args.name}\n".encode())
                    task.state = "running"
                    await self.news.set()
                    await curio.sleep(self.args.session_s)
                    result.write_text(f"{task.attempt}")
                    await sock.sendall(b"done\n")
                    await sock.recv(1)  # the engine has closed the session
            except OSError:
                why = "error"
        task.run = None
        await self.end(task, why)

    async def reports(self) -> None:
        a = self.args
        last = 0.0
        while True:
            wait = random.uniform(0.75, 1.25) * a.report_s
            async with curio.ignore_after(wait):
                await self.news.wait()
            await curio.sleep(max(0.0, last + 0.5 - time.monotonic()))
            self.news.clear()
            last = time.monotonic()
            if self.cut:
                continue
            await self.tell(last)

    async def tell(self, sent: float) -> None:
        body, session = msgspec.json.encode(self.report()), self.session
        name = self.names[0]
        try:
            address = self.controllers[name]
            reply = await self.http.call(address, "POST", api.REPORT, body, 4.0)
        except NoAnswer:
            reply = Reply(0, b"", None)
        if self.cut:
            return
        if reply.status == 200:
            told = msgspec.json.decode(reply.body, type=api.ReportReply)
            if session == self.session and told.token >= self.token:
                self.token, self.answered = told.token, max(self.answered, sent)
                await self.execute(told.commands)
            return
        to = None
        if reply.status == 421:
            to = msgspec.json.decode(reply.body, type=api.Redirect).report_to
        if to in self.names and to != name:
            self.names.remove(to)
            self.names.insert(0, to)
        else:
            self.names.append(self.names.pop(0))
            await curio.sleep(1.0)
        await self.news.set()

    async def lease(self) -> None:
        while True:
            await curio.sleep(0.05)
            if time.monotonic() - self.answered > self.args.lease_s:
                for task in self.tasks.values():
                    await self.end(task, "halted")
                self.tasks.clear()
                self.session += 1
                self.answered = time.monotonic()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for name in ("name", "address", "type", "zone"):
        parser.add_argument(name)
    for name in ("cpus", "memory_gb"):
        parser.add_argument(name, type=float)
    for name in ("--controllers", "--engine", "--results"):
        parser.add_argument(name, required=True)
    for name in ("--session-s", "--report-s", "--lease-s"):
        parser.add_argument(name, type=float, required=True)
    parser.add_argument("--task-cpus", type=float, default=1.0)
    worker = Worker(parser.parse_args())
    serve(worker.args.address, worker.handle, worker.reports, worker.lease)

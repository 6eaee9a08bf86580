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
from pathlib import Path

import curio
import msgspec

from standins.agent import ANSWER_S, CHANGES_S, MOVE_S, Actions, Agent, Identity, next_controller
from standins.serve import answer, serve
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply
from starlingdeck.transport.server import Request, Response


class Worker:
    """One machine as a process of its own."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.controllers = dict(part.split("=") for part in args.controllers.split(","))
        self.names = list(self.controllers)
        random.shuffle(self.names)
        self.agent = Agent(
            Identity(args.name, args.address, args.type, args.zone), time.monotonic(), self.fits
        )
        self.cut_until = 0.0
        self.runs: dict[str, curio.Task] = {}
        self.news = curio.Event()
        self.http = HttpClient()

    def fits(self, _task: str, live: int) -> bool:
        """Whether one more task fits beside the live ones."""
        return bool((live + 1) * self.args.task_cpus <= self.args.cpus)

    @property
    def cut(self) -> bool:
        """Whether the machine is cut off."""
        return time.monotonic() < self.cut_until

    async def handle(self, request: Request) -> Response:
        """Handles a direct command, a status query or a request to be cut off."""
        if request.path == "/cut":
            self.cut_until = time.monotonic() + msgspec.json.decode(request.body)["seconds"]
            return answer()
        while self.cut:
            await curio.sleep(0.1)  # packets are held back, not lost
        if request.path == api.WORKER_STATUS:
            return answer(self.agent.report())
        actions = self.agent.command(msgspec.json.decode(request.body, type=api.Commands))
        if actions is None:
            return answer(self.agent.report(), 409)
        await self.act(actions)
        return answer(self.agent.report())

    async def act(self, actions: Actions) -> None:
        """Begins and stops the tasks that commands named."""
        for name in actions.begin:
            self.runs[name] = await curio.spawn(self.work, name, daemon=True)
        for name in actions.end:
            await self.stop(name)
        if actions.begin or actions.end:
            await self.news.set()

    async def stop(self, name: str) -> None:
        """Cancels a running task."""
        run = self.runs.pop(name, None)
        if run is not None:
            await run.cancel()

    async def work(self, name: str) -> None:
        """Hold a session to the engine; say `done` when the work is complete."""
        result = Path(self.args.results) / name.replace("/", "_")
        error = "done"
        if not result.exists():
            try:
                sock = await curio.open_connection(*split_address(self.args.engine))
                async with sock:
                    attempt = self.agent.tasks[name].attempt
                    await sock.sendall(f"{name} {attempt} {self.args.name}\n".encode())
                    self.agent.running(name)
                    await self.news.set()
                    await curio.sleep(self.args.session_s)
                    result.write_text(f"{attempt}")
                    await sock.sendall(b"done\n")
                    await sock.recv(1)  # the engine has closed the session
            except OSError:
                error = "error"
        self.runs.pop(name, None)
        self.agent.ended(name, error)
        await self.news.set()

    async def reports(self) -> None:
        """Sends heartbeats periodically and after every change."""
        a = self.args
        last = 0.0
        while True:
            wait = random.uniform(0.75, 1.25) * a.report_s
            async with curio.ignore_after(wait):
                await self.news.wait()
            await curio.sleep(max(0.0, last + CHANGES_S - time.monotonic()))
            self.news.clear()
            last = time.monotonic()
            if self.cut:
                continue
            await self.tell(last)

    async def tell(self, sent: float) -> None:
        """Sends one heartbeat and executes the commands of its answer."""
        body, session = msgspec.json.encode(self.agent.report()), self.agent.session
        name = self.names[0]
        try:
            address = self.controllers[name]
            reply = await self.http.call(address, "POST", api.REPORT, body, ANSWER_S)
        except NoResponseError:
            reply = Reply(0, b"", None)
        if self.cut:
            return
        if reply.status == 200:
            told = msgspec.json.decode(reply.body, type=api.ReportReply)
            actions = self.agent.answered_report(told, session, sent)
            if actions is not None:
                await self.act(actions)
            return
        to = None
        if reply.status == 421:
            to = msgspec.json.decode(reply.body, type=api.Redirect).report_to
        if next_controller(self.names, to):
            await curio.sleep(MOVE_S)
        await self.news.set()

    async def lease(self) -> None:
        """Stops all tasks when the lease expires."""
        while True:
            await curio.sleep(0.05)
            for name in self.agent.expire(time.monotonic(), self.args.lease_s):
                await self.stop(name)


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

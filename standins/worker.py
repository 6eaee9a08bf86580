"""Test double of a worker: each task keeps a session to the engine open for a while.

python -m standins.worker NAME ADDRESS TYPE ZONE CPUS MEMORY_GB
    --controllers NAME=ADDRESS,... --engine ADDRESS --session-s S --results FOLDER
    --report-s S --lease-s S [--task-cpus N]
A completed task leaves a file in the results folder, which stands for storage outside the machine.
If the task is started again, on any machine, it exits at once.
"""

import argparse
import random
import time
from pathlib import Path

import curio
import msgspec

from standins.agent import (
    CONTROLLER_RETRY_S,
    MIN_REPORT_INTERVAL_S,
    REPORT_TIMEOUT_S,
    Actions,
    Agent,
    Identity,
    advance_controller,
)
from standins.serve import json_response, serve
from starlingdeck.protocol import api
from starlingdeck.protocol.config import split_address
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply
from starlingdeck.transport.server import Request, Response


class Worker:
    """One machine as a process of its own."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.controllers = dict(part.split("=") for part in args.controllers.split(","))
        self.controller_order = list(self.controllers)
        random.shuffle(self.controller_order)
        self.agent = Agent(
            Identity(args.name, args.address, args.type, args.zone), time.monotonic(), self.fits
        )
        self.isolated_until = 0.0
        self.running_tasks: dict[str, curio.Task] = {}
        self.report_due = curio.Event()
        self.http = HttpClient()

    def fits(self, _task: str, live: int) -> bool:
        """Returns whether one more task fits beside `live` unfinished ones."""
        return bool((live + 1) * self.args.task_cpus <= self.args.cpus)

    @property
    def isolated(self) -> bool:
        """Whether the machine is isolated from the controllers."""
        return time.monotonic() < self.isolated_until

    async def handle(self, request: Request) -> Response:
        """Handles a direct command, a status query or a request to be isolated."""
        if request.path == "/cut":
            self.isolated_until = time.monotonic() + msgspec.json.decode(request.body)["seconds"]
            return json_response()
        while self.isolated:
            await curio.sleep(0.1)  # packets are delayed, not lost
        if request.path == api.WORKER_STATUS:
            return json_response(self.agent.build_report())
        actions = self.agent.handle_commands(msgspec.json.decode(request.body, type=api.Commands))
        if actions is None:
            return json_response(self.agent.build_report(), 409)
        await self.apply_actions(actions)
        return json_response(self.agent.build_report())

    async def apply_actions(self, actions: Actions) -> None:
        """Starts and stops the tasks that the commands named."""
        for name in actions.to_start:
            self.running_tasks[name] = await curio.spawn(self.run_task, name, daemon=True)
        for name in actions.to_stop:
            await self.stop_task(name)
        if actions.to_start or actions.to_stop:
            await self.report_due.set()

    async def stop_task(self, name: str) -> None:
        """Cancels a running task."""
        run = self.running_tasks.pop(name, None)
        if run is not None:
            await run.cancel()

    async def run_task(self, name: str) -> None:
        """Keeps a session to the engine open; sends `done` when the work is complete."""
        result = Path(self.args.results) / name.replace("/", "_")
        exit_cause = "done"
        if not result.exists():
            try:
                sock = await curio.open_connection(*split_address(self.args.engine))
                async with sock:
                    attempt = self.agent.tasks[name].attempt
                    await sock.sendall(f"{name} {attempt} {self.args.name}\n".encode())
                    self.agent.task_running(name)
                    await self.report_due.set()
                    await curio.sleep(self.args.session_s)
                    result.write_text(f"{attempt}")
                    await sock.sendall(b"done\n")
                    await sock.recv(1)  # returns when the engine has closed the session
            except OSError:
                exit_cause = "error"
        self.running_tasks.pop(name, None)
        self.agent.task_ended(name, exit_cause)
        await self.report_due.set()

    async def heartbeat_loop(self) -> None:
        """Sends heartbeats periodically and after every change."""
        last_sent_at = 0.0
        while True:
            wait = random.uniform(0.75, 1.25) * self.args.report_s
            async with curio.ignore_after(wait):
                await self.report_due.wait()
            await curio.sleep(max(0.0, last_sent_at + MIN_REPORT_INTERVAL_S - time.monotonic()))
            self.report_due.clear()
            last_sent_at = time.monotonic()
            if self.isolated:
                continue
            await self.send_heartbeat(last_sent_at)

    async def send_heartbeat(self, sent: float) -> None:
        """Sends one heartbeat and executes the commands of its answer."""
        body, session = msgspec.json.encode(self.agent.build_report()), self.agent.session
        name = self.controller_order[0]
        try:
            address = self.controllers[name]
            reply = await self.http.call(address, "POST", api.REPORT, body, REPORT_TIMEOUT_S)
        except NoResponseError:
            reply = Reply(0, b"", None)
        if self.isolated:
            return
        if reply.status == 200:
            decoded = msgspec.json.decode(reply.body, type=api.ReportReply)
            actions = self.agent.handle_report_reply(decoded, session, sent)
            if actions is not None:
                await self.apply_actions(actions)
            return
        named = None
        if reply.status == 421:
            named = msgspec.json.decode(reply.body, type=api.Redirect).report_to
        if advance_controller(self.controller_order, named):
            await curio.sleep(CONTROLLER_RETRY_S)
        await self.report_due.set()

    async def lease_loop(self) -> None:
        """Stops all tasks when the lease expires."""
        while True:
            await curio.sleep(0.05)
            for name in self.agent.expire_lease(time.monotonic(), self.args.lease_s):
                await self.stop_task(name)


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
    serve(worker.args.address, worker.handle, worker.heartbeat_loop, worker.lease_loop)

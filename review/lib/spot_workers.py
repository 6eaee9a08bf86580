"""Simulated workers of the project that save when they are stopped and get termination notices.

spot_workers.py CONFIG.json SAVE_S. A running task whose stop allows at least SAVE_S seconds saves
for that long and then exits. POST /notice at the control address with {"name": ..., "seconds": ...}
gives a machine a notice; when its time is over, the machine is gone.
"""

import sys
import time
from functools import partial
from pathlib import Path

import msgspec

from standins import simulated_workers
from standins.agent import RUNNING, Actions, Agent
from standins.events import EventKind
from standins.serve import json_response, serve
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

SAVE_S = float(sys.argv[2])
SAVING = "flushing"


class SavingAgent(Agent):
    """The worker's side of the protocol, with tasks that save before they exit."""

    worker: "SpotWorker"

    def execute(self, commands: list[api.Command]) -> Actions:
        """Execute commands in order; a stop that leaves enough time lets a running task save."""
        actions = Actions()
        for command in commands:
            if command.op == api.STOP and self._saves(command):
                continue
            executed = super().execute([command])
            actions.to_start += executed.to_start
            actions.to_stop += executed.to_stop
        return actions

    def _saves(self, command: api.Command) -> bool:
        """Return whether a stop makes a task save, or finds it saving with time left."""
        task = self.tasks.get(command.task)
        if task is None or task.attempt != command.attempt or (command.grace_s or 0.0) < SAVE_S:
            return False
        if task.state == RUNNING:
            task.state = SAVING
            self.worker.begin_save(command.task, command.attempt)
        return task.state == SAVING

    def build_report(self) -> api.Report:
        """Return the next report, with the termination notice if there is one."""
        report = super().build_report()
        if self.worker.taken_at:
            report.notice_s = max(0.0, self.worker.taken_at - time.monotonic())
        return report


class SpotWorker(simulated_workers.SimulatedWorker):
    """A machine that may be taken back."""

    taken_at = 0.0  # 0: no notice

    def __init__(
        self,
        host: simulated_workers.WorkerHost,
        request: simulated_workers.StartRequest,
        address: str,
    ) -> None:
        super().__init__(host, request, address)
        self.agent = SavingAgent(self.agent.identity, time.monotonic(), self.fits)
        self.agent.worker = self

    def begin_save(self, name: str, attempt: int) -> None:
        """Let a task exit once it has saved."""
        self.host.schedule(time.monotonic() + SAVE_S, partial(self.end_save, name, attempt))
        self.report_soon(time.monotonic())

    def end_save(self, name: str, attempt: int) -> None:
        """End a task that has saved, unless it was ended before."""
        task = self.agent.tasks.get(name)
        if task is not None and task.attempt == attempt and task.state == SAVING:
            self.agent.task_ended(name, "halted")
            self.host.record_event(EventKind.STOPPED, name, self)
            self.report_soon(time.monotonic())

    def give_notice(self, seconds: float) -> None:
        """Report a notice from now on; the machine is gone when its time is over."""
        self.taken_at = time.monotonic() + seconds
        self.host.schedule(self.taken_at, self.power_off)
        self.report_soon(time.monotonic())


class SpotHost(simulated_workers.WorkerHost):
    """A host whose machines may get notices."""

    async def handle(self, request: Request) -> Response:
        """Handle a control request."""
        if request.path != "/notice":
            return await super().handle(request)
        notice = msgspec.json.decode(request.body)
        self.machines[notice["name"]].give_notice(notice["seconds"])
        return json_response()


def main() -> None:
    """Run one host of workers."""
    simulated_workers.SimulatedWorker = SpotWorker
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=simulated_workers.HostConfig)
    host = SpotHost(config)
    serve(config.control, host.handle, host.tick_loop, host.send_events_loop)


if __name__ == "__main__":
    main()

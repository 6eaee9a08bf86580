"""Calls from the controller to workers: commands, probes and announcements of a new token."""

import logging

import curio
import msgspec
from msgspec import Struct

from starlingdeck.context import ControllerContext
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.transport.client import ConnectionFailedError, HttpClient, NoResponseError

log = logging.getLogger(__name__)

RESERVED_CONNECTIONS = 16  # connections of the HTTP client left to the state service and the cloud
MIN_CALLS_IN_FLIGHT = 8  # lower bound for the limit of calls in flight
CONNECTION_POLL_S = 0.1  # interval between checks whether another call may be made
LAUNCH_RETRY_S = 0.3  # delay before a start that the worker has not reported yet is sent again


class WorkerCaller(Struct, kw_only=True, eq=False, dict=True):
    """Calls workers, with a limited number of calls in flight.

    The limit leaves RESERVED_CONNECTIONS of the HTTP client's connections to others, but is at
    least MIN_CALLS_IN_FLIGHT.
    """

    context: ControllerContext
    http: HttpClient
    machines: dict[int, MachineShard]
    wake: curio.Event
    max_in_flight: int = 0  # set from the HTTP client's connection limit
    in_flight: int = 0

    def __post_init__(self) -> None:
        self.max_in_flight = max(MIN_CALLS_IN_FLIGHT, self.http.max_open - RESERVED_CONNECTIONS)

    async def send_due_commands(self, machines: MachineShard, lease_valid: bool) -> None:
        """Reconcile a shard and call the workers that have something to do.

        `lease_valid` is whether this controller's own lease is valid. Commands for which there is
        no connection stay due: a call that can't be made would count as unanswered, and after two
        unanswered calls a machine gets starts only with the responses to its reports.
        """
        machines.expire_leases()
        machines.deschedule()
        for machine in machines.reconcile():
            if self.in_flight >= self.max_in_flight:
                continue
            commands = machines.commands_for(machine, lease_valid)
            if commands.commands or machine.needs_probe or machine.unanswered_commands:
                machine.command_in_flight = True
                self.in_flight += 1
                await curio.spawn(
                    self._call, machines, machine, machine.address, commands, daemon=True
                )

    async def announce_token_to_workers(
        self, machines: MachineShard, previous: ShardSnapshot
    ) -> None:
        """Send a new owner's token to the machines of the last snapshot, and apply their reports.

        The calls in flight are limited. When all workers of a large fleet were called at once,
        they took every connection: most of the calls failed without being made, and so did
        requests to the state service.
        """
        waiting = [entry for entry in previous.machines.values() if not entry.lost]
        for _ in range(min(self.max_in_flight, len(waiting))):
            await curio.spawn(self._announce_token, machines, waiting, daemon=True)

    async def _announce_token(self, machines: MachineShard, waiting: list[pb.MachineState]) -> None:
        """Announce the token to machines taken from `waiting`, while the shard is owned here.

        Several tasks run this method concurrently and share the list, until it is empty.
        """
        while waiting and self.machines.get(machines.shard) is machines:
            if self.in_flight >= self.max_in_flight:
                await curio.sleep(CONNECTION_POLL_S)
                continue
            entry = waiting.pop()
            commands = api.Commands(machines.token, entry.session, [])
            self.in_flight += 1
            await self._call(machines, None, entry.address, commands)

    async def _call(
        self, machines: MachineShard, machine: Machine | None, address: str, commands: api.Commands
    ) -> None:
        """Make a call that was counted in `in_flight`, and decrease the count when it ends."""
        try:
            await self.send_commands(machines, machine, address, commands)
        finally:
            self.in_flight -= 1

    async def send_commands(
        self, machines: MachineShard, machine: Machine | None, address: str, commands: api.Commands
    ) -> None:
        """Send commands to a worker, and apply the report that its response contains.

        `machine` is None while a new owner has no report of the machine yet. A call without a
        valid response is recorded as unanswered.
        """
        position = machine.position() if machine is not None else None
        try:
            body = msgspec.json.encode(commands)
            timeout_s = self.context.tuning.reply_wait_s
            log.debug("commands sent: address=%s %s", address, commands)
            reply = await self.http.call(address, "POST", api.COMMANDS, body, timeout_s)
            report = api.decode_report(reply.body)
            if machines.is_deleted(report.machine):
                return
            reported = machines.apply_report(report, False, position)
            if reply.status == 409:
                machines.on_command_rejected(reported)
            elif reply.status != 200:
                raise NoResponseError(f"status {reply.status}")  # noqa: TRY301 -- as no reply
            elif reported.pending_launches:
                reported.retry_at = self.context.now() + LAUNCH_RETRY_S
        except (NoResponseError, api.ValidationError) as error:
            if machine is not None:
                machines.on_command_unanswered(
                    machine, commands, not isinstance(error, ConnectionFailedError)
                )
        finally:
            if machine is not None:
                machine.command_in_flight = False
        await self.wake.set()

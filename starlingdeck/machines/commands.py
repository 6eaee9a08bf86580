"""Builds the commands for a shard's workers and records how they were answered."""

import logging

from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.machine import DesiredTask, Machine, ObservedTask
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.start_fence import StartFence
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

# Consecutive unanswered commands after which starts are sent only in the answers to reports.
MAX_UNANSWERED_COMMANDS = 2
# Delay before the next command, for each consecutive command that the machine left unanswered.
UNANSWERED_BACKOFF_S = 0.5
MAX_UNANSWERED_BACKOFF_S = 3.0
REJECTED_BACKOFF_S = 0.3


class CommandBuilder:
    """Builds stop, reap and start commands for the machines of a shard."""

    def __init__(self, state: ShardState, desired: DesiredStateTracker, fence: StartFence) -> None:
        self.state = state
        self.desired = desired
        self.fence = fence

    def pending(self, machine: Machine, reaps: bool) -> list[api.Command]:
        """Return the stops and reaps that the newest report calls for, but no starts."""
        if machine.reconciled:
            return []
        commands: list[api.Command] = []
        reconciled = not machine.evictions
        for key, observed in machine.tasks.items():
            desired = self.desired.find(machine.index, key)
            if desired is not None and desired.attempt != observed.attempt:
                desired = None
            command = self._due_command(machine, key, observed, desired, reaps)
            if command is not None:
                commands.append(command)
                self._log_due(machine, command, key)
            settled = self._is_settled(machine, key, observed, desired)
            reconciled = reconciled and command is None and settled
        machine.reconciled = reconciled
        return commands

    def _due_command(
        self,
        machine: Machine,
        key: int,
        observed: ObservedTask,
        desired: DesiredTask | None,
        reaps: bool,
    ) -> api.Command | None:
        """Return the stop or reap of a reported attempt, if one is due.

        `desired` is None if the attempt is not desired there. Only an attempt that the job's record
        no longer has on this machine is reaped, and only when no start of it can act any more.
        """
        name, attempt = self.state.task_name(key), observed.attempt
        undesired = desired is None and self.desired.is_synced(key)
        if observed.state == api.TASK_EXITED:
            if reaps and undesired and self.fence.may_remove(machine, key, attempt):
                return api.Command(api.REAP, name, attempt)
            return None
        if desired is not None and desired.stop:
            return api.Command(api.STOP, name, attempt, desired.grace_s)
        if key in machine.evictions:
            if observed.state == api.TASK_SAVING:
                return None
            return api.Command(api.STOP, name, attempt, machine.evictions[key])
        return api.Command(api.STOP, name, attempt, 0.0) if undesired else None

    def _is_settled(
        self, machine: Machine, key: int, observed: ObservedTask, desired: DesiredTask | None
    ) -> bool:
        """Return whether an attempt needs no command until something changes."""
        if observed.state == api.TASK_EXITED:
            waits = machine.index in self.fence.removals_wait_on
            return waits and not self.fence.is_ruled_out(machine, key, observed.attempt)
        return desired is not None and not desired.stop

    def _log_due(self, machine: Machine, command: api.Command, key: int) -> None:
        if not log.isEnabledFor(logging.DEBUG):
            return
        desired = self.desired.find(machine.index, key)
        log.debug(
            "%s due: task=%s attempt=%d machine=%s token=%d machine_token=%d start_token=%d "
            "desired_attempt=%d",
            command.op,
            command.task,
            command.attempt,
            machine.name,
            self.state.token,
            machine.token,
            machine.start_tokens.get(key, {}).get(command.attempt, 0),
            desired.attempt if desired is not None else 0,
        )

    def piggybacked_starts(self, machine: Machine) -> list[api.Command]:
        """Return the starts to send in the answer to a report, counting them as delivered.

        Used for a worker that reports but doesn't answer commands. A worker executes the answers to
        its reports in order and drops late ones, so these starts can't be executed again later.
        """
        if (
            machine.unanswered_commands < MAX_UNANSWERED_COMMANDS
            or machine.new_incarnation_session
            or not machine.pending_launches
        ):
            return []
        commands: list[api.Command] = []
        for key, launch in machine.pending_launches.items():
            if not self._may_start(machine, key, launch.attempt):
                continue
            launch.deliveries += 1
            commands.append(api.Command(api.START, self.state.task_name(key), launch.attempt))
        if commands:
            machine.piggybacked_at = self.state.context.now()
        return commands

    def commands_for(self, machine: Machine, starts: bool) -> api.Commands:
        """Return what to send to a worker now. Starts count as delivered before they are sent."""
        token = self.state.token
        if machine.new_incarnation_session:
            return api.Commands(token, machine.new_incarnation_session, machine.orphan_stops)
        commands = [c for c in self.pending(machine, starts) if c.op != api.REAP]
        # An unanswered start raises the token of the whole shard. One machine that doesn't answer
        # must not cause that repeatedly.
        if starts and machine.unanswered_commands < MAX_UNANSWERED_COMMANDS:
            commands += self._direct_starts(machine)
        return api.Commands(token, machine.session - machine.prior_sessions, commands)

    def _direct_starts(self, machine: Machine) -> list[api.Command]:
        commands: list[api.Command] = []
        for key, launch in machine.pending_launches.items():
            if not self._may_start(machine, key, launch.attempt):
                continue
            name = self.state.task_name(key)
            old = machine.tasks.get(key)
            if old is not None and old.state == api.TASK_EXITED:
                commands.append(api.Command(api.REAP, name, old.attempt))
            self.fence.record_start(machine, key, launch.attempt)
            launch.deliveries += 1
            commands.append(api.Command(api.START, name, launch.attempt))
            if launch.deliveries == 1:
                log.info(
                    "task start sent: task=%s attempt=%d machine=%s token=%d session=%d",
                    name,
                    launch.attempt,
                    machine.name,
                    self.state.token,
                    machine.session,
                )
        return commands

    def _may_start(self, machine: Machine, key: int, attempt: int) -> bool:
        desired = self.desired.find(machine.index, key)
        return (
            desired is not None
            and not desired.stop
            and self.desired.is_confirmed(key)
            and self.fence.may_start(machine, key, attempt)
        )

    def on_unanswered(self, machine: Machine, sent: api.Commands, maybe_sent: bool) -> None:
        """Record that commands got no answer.

        If they may have been sent, the worker may execute them at any later time.
        """
        state = self.state
        starts = any(c.op == api.START for c in sent.commands)
        if maybe_sent and starts and sent.session == machine.session - machine.prior_sessions:
            machine.unconfirmed_token = max(machine.unconfirmed_token, sent.token)
            state.mark_changed(machine.index)
            log.info("start unanswered: machine=%s token=%d", machine.name, sent.token)
        machine.unanswered_commands += 1
        if machine.unanswered_commands == MAX_UNANSWERED_COMMANDS and not machine.lost:
            state.mark_unconfirmed(machine)
        backoff_s = UNANSWERED_BACKOFF_S * machine.unanswered_commands
        machine.retry_at = state.context.now() + min(backoff_s, MAX_UNANSWERED_BACKOFF_S)

    def on_rejected(self, machine: Machine) -> None:
        """Schedule a retry after the worker answered 409, which means it executed nothing."""
        machine.retry_at = self.state.context.now() + REJECTED_BACKOFF_S

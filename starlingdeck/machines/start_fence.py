"""Decides when every start command of an attempt is ruled out, so that the attempt may be removed.

A worker knows an attempt until it is told to reap it, starts the task's next attempt over it, or
begins a new session. Afterwards it executes any start of the attempt again that it still accepts.
A start that was answered may arrive once more, however late, so only a later token that the
worker has seen, or a later session, rules it out. A worker that executes a message has seen the
message's token, so a removal is safe in a message under a later token than the attempt's starts.
"""

from starlingdeck.machines.machine import Machine
from starlingdeck.machines.shard_state import ShardState

# Intervals between tokens that are raised only so that ended attempts can be removed.
REMOVAL_INTERVAL_LEASES = 1.0
CROWDED_REMOVAL_INTERVAL_LEASES = 0.5
CROWDED_ENDED_ATTEMPTS = 64  # ended attempts of a machine from which on the shorter interval holds
# Interval between tokens that are raised only because machines may have restarted.
RESTART_INTERVAL_S = 1.0


class StartFence:
    """The starts sent to the machines of a shard that a present token does not rule out.

    Starts sent by former owners of the shard are ruled out by any token of the present owner.
    Starts in answers to heartbeats are not kept: a worker drops late answers.
    """

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.raised_at = state.context.now()
        self.start_waits = False  # a start is held back until the token has risen
        self.removals_wait_on: set[int] = set()  # machines that keep ended attempts until then
        self.restart_suspected = False  # a machine gets no commands until the token has risen
        self.crowded = False  # some machine keeps many ended attempts
        self.raises = 0  # of the token, for any of these reasons

    def record_start(self, machine: Machine, key: int, attempt: int) -> None:
        """Record that a start is about to be sent directly to a machine."""
        machine.start_tokens.setdefault(key, {})[attempt] = self.state.token

    def is_ruled_out(self, machine: Machine, key: int, attempt: int) -> bool:
        """Return whether no start of an attempt is accepted after a message under our token."""
        return machine.start_tokens.get(key, {}).get(attempt, 0) < self.state.token

    def may_remove(self, machine: Machine, key: int, attempt: int) -> bool:
        """Return whether a message sent now may remove an ended attempt from a machine.

        If it may not, have the token raised in time.
        """
        if self.is_ruled_out(machine, key, attempt):
            return True
        self.removals_wait_on.add(machine.index)
        self.crowded |= machine.ended_tasks >= CROWDED_ENDED_ATTEMPTS
        return False

    def may_start(self, machine: Machine, key: int, attempt: int) -> bool:
        """Return whether a message sent now may start an attempt, in place of any earlier ones.

        If it may not, have the token raised at once.
        """
        attempts = machine.start_tokens.get(key, {})
        if all(other == attempt or self.is_ruled_out(machine, key, other) for other in attempts):
            return True
        self.start_waits = True
        return False

    def on_message(self, machine: Machine) -> None:
        """Forget the starts that the token in a machine's newest message rules out.

        Called when the machine's tasks or token have changed.
        """
        for key, attempts in list(machine.start_tokens.items()):
            kept = {attempt: t for attempt, t in attempts.items() if t >= machine.token}
            if not kept:
                del machine.start_tokens[key]
            elif len(kept) < len(attempts):
                machine.start_tokens[key] = kept
        vanished = [
            (key, attempt)
            for key, attempts in machine.start_tokens.items()
            for attempt in attempts
            if not _has_attempt(machine, key, attempt)
        ]
        if vanished != machine.vanished:
            # Followers must not take them for absent while their starts can act, nor longer.
            machine.vanished = vanished
            self.state.mark_changed(machine.index)
        if vanished:
            self.removals_wait_on.add(machine.index)

    def on_possible_restart(self, machine: Machine) -> None:
        """Hold back the commands to a machine that may have restarted, until the token has risen.

        A restarted machine has seen no token. If the first one that it sees is that of starts sent
        before, it executes copies of them.
        """
        attempts = machine.start_tokens.values()
        if any(t >= self.state.token for tokens in attempts for t in tokens.values()):
            machine.commands_held_at_token = self.state.token
            self.restart_suspected = True

    def holds_commands(self, machine: Machine) -> bool:
        """Return whether a machine gets no commands under the present token."""
        return machine.commands_held_at_token >= self.state.token

    def needs_new_token(self) -> bool:
        """Return whether the shard's token is to be raised to rule out starts."""
        since_s = self.state.context.now() - self.raised_at
        if self.start_waits or (self.restart_suspected and since_s >= RESTART_INTERVAL_S):
            return True
        leases = CROWDED_REMOVAL_INTERVAL_LEASES if self.crowded else REMOVAL_INTERVAL_LEASES
        return bool(self.removals_wait_on) and since_s >= leases * self.state.lease_s

    def on_token_raised(self) -> None:
        """Record that the token has risen, whatever for: all starts before are ruled out."""
        self.raises += self.start_waits or self.restart_suspected or bool(self.removals_wait_on)
        self.raised_at = self.state.context.now()
        for index in self.removals_wait_on & self.state.machines.keys():
            self.state.machines[index].reconciled = False
        self.removals_wait_on.clear()
        self.start_waits = self.restart_suspected = self.crowded = False


def _has_attempt(machine: Machine, key: int, attempt: int) -> bool:
    """Return whether a machine reports an attempt, or is about to be sent its start."""
    observed, launch = machine.tasks.get(key), machine.pending_launches.get(key)
    return (observed is not None and observed.attempt == attempt) or (
        launch is not None and launch.attempt == attempt
    )

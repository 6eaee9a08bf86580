"""Expires the leases of a shard's machines, and decides when to raise the shard's token."""

import logging

from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.start_fence import StartFence

log = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL_S = 0.2
# Minimum interval between tokens that are raised only to see which machines receive them.
TOKEN_RAISE_INTERVAL_S = 5.0
# A machine that has been silent for longer causes no new token, unless it has a new incarnation.
RECENT_MESSAGE_S = 3.0
FAULTY_DRAIN_DELAY_S = 10.0  # leaves time for other jobs to succeed on a faulty machine


class LeaseMonitor:
    """Tracks the time since the machines' last messages and lease renewals."""

    def __init__(self, state: ShardState, fence: StartFence) -> None:
        self.state = state
        self.fence = fence
        self.next_check_at = 0.0
        self.next_raise_at = 0.0

    def expire(self) -> None:
        """Mark the machines as lost whose sessions must all be over.

        Schedule these to be published, and also the machines that became schedulable or
        unschedulable and the faulty ones whose delay before draining is over.
        """
        state = self.state
        now = state.context.now()
        if now < self.next_check_at:
            return
        self.next_check_at = now + EXPIRY_CHECK_INTERVAL_S
        lease_expiry_s = state.context.lease_expiry_s
        for machine in state.machines.values():
            silent_s = now - machine.lease_granted_at
            # The former owner may still answer a machine that doesn't have our token: one of the
            # machine's reports came to us, our answer was lost, and it returned to that owner.
            only_we_renew = machine.token >= state.base_token or now > state.former_leases_end_at
            if not machine.lost and silent_s > lease_expiry_s and only_we_renew:
                machine.lost = True
                machine.pending_launches.clear()
                state.mark_changed(machine.index)
                log.info("machine lease expired: machine=%s silent_s=%.1f", machine.name, silent_s)
            elif machine.published_schedulable != state.is_schedulable(machine) or (
                machine.faulty_since is not None
                and 0
                < now - machine.faulty_since - FAULTY_DRAIN_DELAY_S
                < 2 * EXPIRY_CHECK_INTERVAL_S
            ):
                state.mark_changed(machine.index)

    def needs_new_token(self) -> bool:
        """Return whether the shard's token is to be raised.

        There are three reasons for a new token. An unanswered start must be fenced by one before
        its task can be declared gone. An answered start must be ruled out by one before its attempt
        can be removed from the machine (`StartFence`). And a machine that answers no commands
        proves that it receives the answers to its reports by reporting a later token.
        """
        if self.fence.needs_new_token():
            return True
        state = self.state
        now = state.context.now()
        live = [
            machine
            for machine in state.machines.values()
            if not machine.lost and now - machine.last_message_at < RECENT_MESSAGE_S
        ]
        if any(machine.unconfirmed_token >= state.token for machine in live) or any(
            machine.new_incarnation_session and machine.unconfirmed_token >= state.token
            for machine in state.machines.values()
        ):
            return True
        raise_for_proof = now >= self.next_raise_at and any(
            machine.unconfirmed_since is not None
            and machine.unanswered_commands
            and machine.token >= state.token
            for machine in live
        )
        if raise_for_proof:
            self.next_raise_at = now + TOKEN_RAISE_INTERVAL_S
        return raise_for_proof

    def unreachable_ages_s(self) -> list[float]:
        """Return for how many seconds each unreachable machine has been unreachable.

        A machine is unreachable when it reports but has not proved for longer than a lease that it
        receives our messages.
        """
        state = self.state
        now = state.context.now()
        ages = [
            machine.unconfirmed_s(now, state.lease_s)
            for machine in state.machines.values()
            if not machine.lost
        ]
        return [age for age in ages if age > state.lease_s]

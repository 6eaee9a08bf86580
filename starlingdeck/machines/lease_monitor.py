"""Expires the leases of a shard's machines, and asks for the tokens that fence starts."""

import logging

from starlingdeck.machines.shard_state import ShardState

log = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL_S = 0.2
TOKEN_RAISE_INTERVAL_S = 5.0  # between tokens raised only to see which machines receive them
RECENT_MESSAGE_S = 3.0  # a machine without a message for so long isn't waited for
FAULTY_DRAIN_DELAY_S = 10.0  # (start) a faulty machine is not returned sooner


class LeaseMonitor:
    """Watches the time since the machines' last messages."""

    def __init__(self, state: ShardState) -> None:
        self.state = state
        self.next_check_at = 0.0
        self.next_raise_at = 0.0

    def expire(self) -> None:
        """Mark machines as lost whose sessions must all be over; publish those that changed."""
        state = self.state
        now = state.context.now()
        if now < self.next_check_at:
            return
        self.next_check_at = now + EXPIRY_CHECK_INTERVAL_S
        lease_expiry_s = state.context.lease_expiry_s
        for machine in state.machines.values():
            silent_s = now - machine.lease_granted_at
            # One without our token may still be answered by the former owner: one of its reports
            # came to us, our answer got lost, and it went back there.
            ours_alone = machine.token >= state.base_token or now > state.former_leases_end_at
            if not machine.lost and silent_s > lease_expiry_s and ours_alone:
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
        """Whether the shard's token is to be raised.

        A start without an answer must be fenced before its task can be called gone; and a machine
        that answers no command proves by reporting a later token that it receives our answers.
        """
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
        unanswering = now >= self.next_raise_at and any(
            machine.unconfirmed_since is not None
            and machine.unanswered_commands
            and machine.token >= state.token
            for machine in live
        )
        if unanswering:
            self.next_raise_at = now + TOKEN_RAISE_INTERVAL_S
        return unanswering

    def unreachable_ages_s(self) -> list[float]:
        """For each machine that reports but seems to receive nothing for longer than a lease: for
        how long."""
        state = self.state
        now = state.context.now()
        ages = [
            machine.unconfirmed_s(now, state.lease_s)
            for machine in state.machines.values()
            if not machine.lost
        ]
        return [age for age in ages if age > state.lease_s]

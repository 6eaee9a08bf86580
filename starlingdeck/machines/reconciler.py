"""Compares desired and reported tasks of a shard's machines; decides launches and refusals."""

from starlingdeck.interning import split_key
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.fault_detection import FaultDetector
from starlingdeck.machines.machine import DesiredTask, Machine, ObservedTask, PendingLaunch
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.start_fence import StartFence
from starlingdeck.protocol import api

PIGGYBACK_TIMEOUT_S = 5.0  # a worker waits 4 s for the answer to its report
FULL_RECONCILE_INTERVAL_S = 2.0  # interval between runs over all machines, changed or not
PRUNE_INTERVAL_S = 60.0  # interval between removals of jobs that nothing here refers to
# Interval between probes of one machine after a message of another incarnation.
PROBE_INTERVAL_S = 0.5
MAX_PROBES = 32  # maximum number of commands in flight that only probe a machine


class Reconciler:
    """Compares the desired state with what the machines report; may be repeated at any time.

    Only machines that changed are reconciled. All are reconciled from time to time, so that a
    change that was not marked is handled late instead of never.
    """

    def __init__(
        self,
        state: ShardState,
        desired: DesiredStateTracker,
        faults: FaultDetector,
        fence: StartFence,
    ) -> None:
        self.state = state
        self.desired = desired
        self.faults = faults
        self.fence = fence
        self.to_recheck: set[int] = set()  # machines with something pending at the last run
        self.next_full_run_at = 0.0
        self.next_prune_at = state.context.now() + PRUNE_INTERVAL_S

    def run(self) -> list[Machine]:
        """Reconcile the machines due; return those to which something is to be sent."""
        state, context = self.state, self.state.context
        now = context.now()
        if now >= self.next_full_run_at:
            self.next_full_run_at = now + FULL_RECONCILE_INTERVAL_S
            state.to_reconcile.update(state.machines)
        if now >= self.next_prune_at:
            self.next_prune_at = now + PRUNE_INTERVAL_S
            self.prune()
        due, state.to_reconcile = state.to_reconcile | self.to_recheck, set()
        self.to_recheck = set()
        due_machines = [state.machines[i] for i in due if i in state.machines]
        # Unanswered probes would use up the connections that the state service needs.
        probes_left = MAX_PROBES - sum(m.command_in_flight and m.needs_probe for m in due_machines)
        to_send: list[Machine] = []
        for machine in due_machines:
            if not self._try_reconcile(machine, now):
                continue
            probes_left -= machine.needs_probe
            if not machine.needs_probe or probes_left >= 0:
                to_send.append(machine)
        self.desired.applied_seqs = dict(self.desired.received_seqs)
        return to_send

    def _try_reconcile(self, machine: Machine, now: float) -> bool:
        """Reconcile one machine; return whether something is to be sent to it now.

        A machine whose reconciling fails stays due, because its tasks must not be taken for absent.
        """
        context = self.state.context
        if context.is_quarantined("machine", machine.name):
            self.state.to_reconcile.add(machine.index)
            return False
        try:
            return self._reconcile(machine, now)
        except Exception as error:  # one machine must not stop the others
            context.quarantine_after_failure("machine", machine.name, error)
            self.state.to_reconcile.add(machine.index)
            return False

    def _reconcile(self, machine: Machine, now: float) -> bool:
        """Reconcile one machine; return whether something is to be sent to it now."""
        state = self.state
        for key in [k for k, r in machine.reservations.items() if r.expires_at < now]:
            del machine.reservations[key]
            state.schedule_publish(machine)
        if (machine.lost or machine.token >= state.base_token) and machine.adopt_session(
            self.desired.latest_session(machine.index)
        ):
            state.schedule_publish(machine)
        stops = not machine.lost and (self._compare(machine, now) | _has_evictions(machine))
        # A lost machine may have restarted and count its sessions from 1 again. Only the answer to
        # a command shows that.
        held = self.fence.holds_commands(machine)
        probe = machine.probe_needed and machine.probed_at <= now and not held
        if probe:
            machine.probed_at = now + PROBE_INTERVAL_S
        unconfirmed = machine.unconfirmed_since is not None and not machine.lost
        send = stops or bool(machine.pending_launches) or unconfirmed or probe
        if send or machine.probe_needed or machine.reservations:
            self.to_recheck.add(machine.index)
        may_send = not (held or machine.command_in_flight)
        return send and may_send and machine.retry_at <= now

    def _compare(self, machine: Machine, now: float) -> bool:
        """Compare the desired with the reported tasks; return whether any is to be stopped."""
        stops = False
        to_run: set[int] = set()
        for table in self.desired.desired_tasks.values():
            for key, desired in table.get(machine.index, {}).items():
                observed = machine.tasks.get(key)
                if not desired.stop:
                    to_run.add(key)
                    self._consider_launch(machine, key, desired, observed, now)
                elif observed is not None:
                    stops |= observed.state in (api.TASK_FETCHING, api.TASK_RUNNING)
                elif key not in machine.pending_launches:
                    machine.refused_attempts.add((key, desired.attempt))
        if machine.refused_attempts:
            machine.refused_attempts = {
                (key, attempt)
                for key, attempt in machine.refused_attempts
                if (wanted := self.desired.find(machine.index, key)) and wanted.attempt == attempt
            }
        self._drop_launches(machine, to_run)
        return stops

    def _consider_launch(
        self,
        machine: Machine,
        key: int,
        desired: DesiredTask,
        observed: ObservedTask | None,
        now: float,
    ) -> None:
        """Launch a desired task, or refuse it if there is no capacity."""
        if (
            observed is not None and observed.attempt == desired.attempt
        ) or desired.session != machine.session:
            return
        if key in machine.pending_launches or (key, desired.attempt) in machine.refused_attempts:
            return
        state = self.state
        reservation = machine.reservations.pop(key, None)
        info = state.jobs[split_key(key)[0]]
        if reservation is not None or state.has_capacity_for(machine, info):
            machine.pending_launches[key] = PendingLaunch(desired.attempt, now)
        else:
            # The attempt stays refused while it is desired, because the job shard may release the
            # placement once it learns of the refusal.
            machine.refused_attempts.add((key, desired.attempt))
        state.schedule_publish(machine)

    def _drop_launches(self, machine: Machine, to_run: set[int]) -> None:
        """Drop launches that are no longer desired, once their starts can no longer act."""
        for key, launch in list(machine.pending_launches.items()):
            if key in to_run:
                continue
            since_piggyback_s = self.state.context.now() - machine.piggybacked_at
            may_act = (
                machine.command_in_flight
                or machine.unconfirmed_token
                or since_piggyback_s < PIGGYBACK_TIMEOUT_S
            )
            if not launch.deliveries or not may_act:
                del machine.pending_launches[key]
                machine.refused_attempts.add((key, launch.attempt))
                self.state.schedule_publish(machine)

    def prune(self) -> None:
        """Forget the jobs that nothing here refers to, and the machines deleted long ago.

        A desired state or a reservation that names a job also describes it, so a forgotten job
        becomes known again.
        """
        keys = self.desired.task_keys()
        for machine in self.state.machines.values():
            keys.update(
                machine.tasks,
                machine.pending_launches,
                machine.reservations,
                machine.evictions,
                machine.descheduled,
            )
            keys.update(key for key, _ in machine.refused_attempts)
        live_jobs = {split_key(key)[0] for key in keys}
        self.state.retain_jobs(live_jobs)
        self.faults.failures.retain(live_jobs, self.state.machines)
        self.state.retain_deleted(self.desired.machines())


def _has_evictions(machine: Machine) -> bool:
    return any(
        key in machine.evictions and observed.state in (api.TASK_FETCHING, api.TASK_RUNNING)
        for key, observed in machine.tasks.items()
    )

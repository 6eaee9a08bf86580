"""Applies the reports of a shard's machines, and their answers to commands."""

import logging

from starlingdeck.interning import task_key
from starlingdeck.machines.fault_detection import FaultDetector
from starlingdeck.machines.machine import Machine, ObservedTask
from starlingdeck.machines.reachability import HeartbeatOrder
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.start_fence import StartFence
from starlingdeck.protocol import api

log = logging.getLogger(__name__)


class ReportIntake:
    """Updates the machines of a shard from their reports.

    Most reports repeat the previous one, so that case is handled with as little work as possible.
    """

    def __init__(self, state: ShardState, faults: FaultDetector, fence: StartFence) -> None:
        self.state = state
        self.faults = faults
        self.fence = fence
        self.stale_reports = 0

    def is_stale(self, report: api.Report) -> bool:
        """Return whether a report is a copy, of a former incarnation, or of a deleted machine.

        Such a report must not be answered with 200, which could be taken for a lease renewal.
        """
        state = self.state
        index = state.context.machine_names.find(report.machine)
        if index is None:
            return False
        machine = state.machines.get(index)
        if index not in state.deleted_machines and (
            machine is None
            or machine.classify(report.session, report.seq, report.token, True)
            is not HeartbeatOrder.STALE
        ):
            return False
        self.stale_reports += 1
        if machine is not None:
            machine.probe_needed = True
            if not report.token:
                self.fence.on_possible_restart(machine)
            state.schedule_reconcile(index)
        return True

    def apply(
        self, report: api.Report, renews: bool, sent_position: tuple[int, int] | None = None
    ) -> Machine:
        """Apply a report that isn't stale (`renews`), or the body of the answer to a command.

        `sent_position` is the machine's position known when the command was sent.
        """
        state = self.state
        index = state.context.machine_names.intern(report.machine)
        machine = state.machines.get(index)
        if machine is None:
            machine = self._register(index, report)
        elif machine.is_new_incarnation(sent_position, report.session, report.seq):
            return self._apply_new_incarnation(machine, report)
        order = machine.classify(report.session, report.seq, report.token, renews)
        if renews and order is not HeartbeatOrder.STALE:
            machine.lease_granted_at = machine.last_heartbeat_at = state.context.now()
            machine.last_heartbeat = (report.session, report.seq)
        if order is HeartbeatOrder.NEWER:
            self._apply_newer(machine, report, report.session + machine.prior_sessions, renews)
        if not renews and order is not HeartbeatOrder.STALE:
            machine.unanswered_commands, machine.probe_needed = 0, False
            state.mark_confirmed(machine)
        return machine

    def _register(self, index: int, report: api.Report) -> Machine:
        context = self.state.context
        now = context.now()
        machine = self.state.machines[index] = Machine(
            index=index,
            name=report.machine,
            address=report.addr,
            type=context.type_names.intern(report.type),
            zone=context.zone_names.intern(report.zone),
            spot=report.spot,
            token=report.token,
            last_message_at=now,
            lease_granted_at=now,
            last_heartbeat_at=now,
            # A worker that has seen no token is new: it had no sessions before.
            unconfirmed_since=now if report.token else None,
            empty_since=now,
        )
        log.info("machine registered: machine=%s session=%d", report.machine, report.session)
        return machine

    def _apply_new_incarnation(self, machine: Machine, report: api.Report) -> Machine:
        """Apply the answer of a machine that restarted within its lease.

        Its sessions count from 1 again. The restart ended the tasks of its former incarnation, but
        a start sent to that incarnation may still be executed. The new incarnation is adopted once
        that is impossible.
        """
        state = self.state
        machine.orphan_stops = [
            api.Command(api.STOP, t.task, t.attempt, 0.0)
            for t in report.tasks
            if api.TASK_STATE_CODES.get(t.state) != api.TASK_EXITED
        ]
        if (
            report.token > max(machine.token, machine.unconfirmed_token)
            and not machine.orphan_stops
        ):
            log.info("machine incarnation began: machine=%s", machine.name)
            session = machine.begin_incarnation(report.session)
            machine.last_reported_tasks, machine.seq = None, 0
            machine.lease_granted_at = state.context.now()
            self._apply_newer(machine, report, session, False)
            state.mark_confirmed(machine)
        else:
            # A start sent to the former incarnation can't be executed after the machine has
            # received a later token. A task that such a start began is stopped first.
            machine.new_incarnation_session, machine.probe_needed = report.session, True
            machine.unconfirmed_token = max(machine.unconfirmed_token, state.token)
            state.mark_changed(machine.index)
        return machine

    def _apply_newer(
        self, machine: Machine, report: api.Report, session: int, renews: bool
    ) -> None:
        state = self.state
        now = state.context.now()
        before = (machine.lost, machine.session, machine.termination_at is None)
        if session != machine.session:
            self._begin_session(machine, session, now)
        machine.session, machine.seq = session, report.seq
        machine.new_incarnation_session = 0  # its lease has ended, as a later session proves
        silent_s = now - machine.last_message_at
        if renews and silent_s > state.heartbeat_fresh_s:
            state.mark_unconfirmed(machine)
            if silent_s > state.lease_s:
                # While the machine was silent, it was published as unconfirmed for 0 s. From now
                # on the actual time is published.
                state.mark_changed(machine.index)
        elif (
            machine.unconfirmed_since is not None and report.token > machine.token and report.token
        ):
            state.mark_confirmed(machine)  # it has received the later token from us
        machine.last_message_at = now
        machine.lost = False
        had_our_token = machine.token >= state.base_token
        token_rose = report.token > machine.token
        machine.token = report.token
        if machine.unconfirmed_token and machine.token > machine.unconfirmed_token:
            machine.unconfirmed_token = 0
            state.mark_changed(machine.index)
        if report.notice_s is None:
            machine.termination_at = None
        elif machine.termination_at is None:
            self._record_termination_notice(machine, report.notice_s, now)
        changed = self._apply_tasks(machine, report, now)
        if changed or token_rose:
            self.fence.on_message(machine)
        changed |= before != (machine.lost, machine.session, machine.termination_at is None)
        changed |= had_our_token != (machine.token >= state.base_token)
        if changed:
            state.mark_changed(machine.index)

    def _begin_session(self, machine: Machine, session: int, now: float) -> None:
        # A new session proves that all earlier ones ended: nothing sent in them can act now.
        machine.pending_launches.clear()
        machine.refused_attempts.clear()
        machine.evictions.clear()
        machine.unconfirmed_token = 0
        machine.start_tokens.clear()
        machine.vanished.clear()
        # The lease counts from the beginning of the session, whose first message may be the answer
        # to a command. When it counted from the last report, a machine whose reports don't arrive
        # was taken for lost at once, and the tasks just started there ran twice.
        machine.lease_granted_at = now
        if machine.session:
            log.info("machine session began: machine=%s session=%d", machine.name, session)
            # The former session's lease ended: the machine didn't receive our answers, or we
            # didn't answer its reports.
            self.state.mark_unconfirmed(machine)

    def _record_termination_notice(self, machine: Machine, notice_s: float, now: float) -> None:
        machine.termination_at = now + max(0.0, notice_s)
        machine.draining = True
        self.state.termination_noticed.add(machine.index)
        log.info("machine termination noticed: machine=%s left_s=%.0f", machine.name, notice_s)

    def _apply_tasks(self, machine: Machine, report: api.Report, now: float) -> bool:
        """Apply the tasks of a report; return whether anything changed."""
        if machine.last_reported_tasks == report.tasks and not machine.pending_launches:
            if machine.reservations or any(
                observed.state != api.TASK_EXITED for observed in machine.tasks.values()
            ):
                machine.empty_since = now
            return False
        machine.last_reported_tasks = report.tasks
        reported, changed = self._observe_tasks(machine, report.tasks, now)
        live = any(observed.state != api.TASK_EXITED for observed in reported.values())
        if live or machine.pending_launches or machine.reservations:
            machine.empty_since = now
        changed |= len(reported) != len(machine.tasks)
        machine.tasks = reported
        machine.ended_tasks = sum(o.state == api.TASK_EXITED for o in reported.values())
        for key in [k for k in machine.evictions if k not in reported]:
            del machine.evictions[key]
        return changed

    def _observe_tasks(
        self, machine: Machine, items: list[api.ReportTask], now: float
    ) -> tuple[dict[int, ObservedTask], bool]:
        """Return the tasks of a report by key, and whether any of them changed."""
        job_names, jobs = self.state.context.job_names, self.state.jobs
        reported: dict[int, ObservedTask] = {}
        changed = False
        for item in items:
            job_name, number = api.parse_task(item.task)
            if number < 0:
                log.error(
                    "reported task ignored: machine=%s task=%r reason=invalid_name",
                    machine.name,
                    item.task,
                )
                continue
            state = api.TASK_STATE_CODES.get(item.state, api.TASK_RUNNING)
            job = job_names.intern(job_name)
            key = task_key(job, number)
            cause = api.CAUSE_CODES.get(item.cause or "", api.CAUSE_NONE)
            entry = ObservedTask(item.attempt, state, cause, bool(item.saved), now)
            old = machine.tasks.get(key)
            if old is not None and old.attempt == item.attempt and old.state == state:
                entry.state_since = old.state_since
            else:
                changed = True
                self.faults.observe(machine, job, key, entry)
            known = reported.get(key)
            # When a task is started again, both attempts may be listed; the live one counts.
            if known is None or known.state == api.TASK_EXITED:
                reported[key] = entry
            launch = machine.pending_launches.get(key)
            if launch is not None and launch.attempt == item.attempt:
                del machine.pending_launches[key]
                changed = True
            info = jobs.get(job)
            if info is not None and state in (api.TASK_RUNNING, api.TASK_SAVING):
                changed = changed or info.image not in machine.images
                machine.images[info.image] = now
        return reported, changed

"""A machine shard: its workers' reports, its commands to them, and its room.

The job shards say what they want here (`Wants`); reports say what is. `reconcile`
works out the difference, and may be repeated at any time. What is seen goes back to
the job shards as a `View`.

Both go as differences, and work here is done for the machines that changed: `due` are
those to be reconciled, `news` those to be shown. All are gone over once in a while, so
that a change that was never marked is late, not lost.
"""

import logging

from starlingdeck.context import fits
from starlingdeck.interning import split_key, task_key
from starlingdeck.machines.desired_state import PRUNE_INTERVAL_S
from starlingdeck.machines.machine import (
    DesiredTask,
    Machine,
    ObservedTask,
    PendingLaunch,
)
from starlingdeck.machines.reachability import HeartbeatOrder
from starlingdeck.machines.snapshot_publisher import FAULTY_DRAIN_DELAY_S, SnapshotPublisher
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

PIGGYBACK_TIMEOUT_S = 5.0  # a worker waits 4 s for the answer to its report
FULL_RECONCILE_INTERVAL_S = 2.0  # how often every machine is reconciled, changed or not
EXPIRY_CHECK_INTERVAL_S = 0.2  # how often silence is looked for
MAX_UNANSWERED_COMMANDS = (
    2  # calls in a row without an answer: starts ride on answers to reports, if at all
)
PROBE_INTERVAL_S = 0.5  # between calls that only ask a machine what a foreign message was
TOKEN_RAISE_INTERVAL_S = 5.0  # between tokens raised only to see who hears of them
MAX_PROBES = 32  # calls at once that only ask who is there


class MachineShard(SnapshotPublisher):
    """The machines of one shard, while this node holds it."""

    def is_stale_report(self, report: api.Report) -> bool:
        """Whether a report is a copy, of a former life, or of a machine that is gone. Not to be
        answered 200: nothing may take the answer for a renewal."""
        index = self.context.machine_names.find(report.machine)
        if index is None:
            return False
        machine = self.machines.get(index)
        if index not in self.deleted_machines and (
            machine is None
            or machine.classify(report.session, report.seq, report.token, True)
            is not HeartbeatOrder.STALE
        ):
            return False
        self.stale_reports += 1
        if machine is not None:
            machine.probe_needed = True
            self._schedule_reconcile(index)
        return True

    def apply_report(
        self, report: api.Report, renews: bool, asked: tuple[int, int] | None = None
    ) -> Machine:
        """Note a report that isn't `passed_over`, or the body of a command's answer, to which
        `asked` is what was known when it was called."""
        context, now = self.context, self.context.now()
        index = context.machine_names.intern(report.machine)
        machine = self.machines.get(index)
        if machine is None:
            machine = self.machines[index] = Machine(
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
                # A worker that has seen no token is new: it has no sessions behind it.
                unconfirmed_since=now if report.token else None,
                empty_since=now,
            )
            log.info("machine %s: first report, session %d", report.machine, report.session)
        elif machine.is_new_incarnation(asked, report.session, report.seq):
            return self._take_new_incarnation(machine, report)
        word = machine.classify(report.session, report.seq, report.token, renews)
        if renews and word is not HeartbeatOrder.STALE:
            machine.lease_granted_at = machine.last_heartbeat_at = now
            machine.last_heartbeat = (report.session, report.seq)
        if word is HeartbeatOrder.NEWER:
            self._take_newer(machine, report, report.session + machine.prior_sessions, renews)
        if not renews and word is not HeartbeatOrder.STALE:
            machine.unanswered_commands, machine.probe_needed = 0, False
            self._mark_confirmed(machine)
        return machine

    def _take_new_incarnation(self, machine: Machine, report: api.Report) -> Machine:
        """A machine was back within its lease, and counts from 1 again: all that ran there is
        over, once no start that was sent to its former life can act any more."""
        machine.orphan_stops = [
            api.Command(api.STOP, t.task, t.attempt, 0.0)
            for t in report.tasks
            if api.STATE_CODES.get(t.state) != api.EXITED
        ]
        if (
            report.token > max(machine.token, machine.unconfirmed_token)
            and not machine.orphan_stops
        ):
            log.info("machine %s: began a new life", machine.name)
            session = machine.begin_incarnation(report.session)
            machine.last_reported_tasks, machine.seq = None, 0
            machine.lease_granted_at = self.context.now()
            self._take_newer(machine, report, session, False)
            self._mark_confirmed(machine)
        else:
            # The next answer comes under a token that those starts don't have, and what one of them
            # has begun is stopped.
            machine.new_incarnation_session, machine.probe_needed = report.session, True
            machine.unconfirmed_token = max(machine.unconfirmed_token, self.token)
            self.mark_changed(machine.index)
        return machine

    def _take_newer(self, machine: Machine, report: api.Report, session: int, renews: bool) -> None:
        now, index = self.context.now(), machine.index
        before = (machine.lost, machine.session, machine.termination_at is None)
        if session != machine.session:
            # A new session is proof that all before it ended; nothing sent then can act now.
            machine.pending_launches.clear()
            machine.refused_attempts.clear()
            machine.evictions.clear()
            machine.unconfirmed_token = 0
            # Its lease counts from the beginning of the session, of which an answer to a call may
            # be the first word: counted from the last report, a machine whose reports reach nobody
            # was called over at once, and what had just been started there ran twice.
            machine.lease_granted_at = now
            if machine.session:
                log.info("machine %s: session %d began", machine.name, session)
                # Its lease ended although we answered its reports, or we did not.
                self._mark_unconfirmed(machine)
        machine.session, machine.seq = session, report.seq
        machine.new_incarnation_session = 0  # its lease ended, and a later session is proof enough
        if renews and now - machine.last_message_at > self.heartbeat_fresh_s:
            self._mark_unconfirmed(machine)
        elif (
            machine.unconfirmed_since is not None and report.token > machine.token and report.token
        ):
            self._mark_confirmed(machine)  # it has heard of it from us
        machine.last_message_at = now
        machine.lost = False
        was_fenced = machine.token >= self.base_token
        machine.token = report.token
        if machine.unconfirmed_token and machine.token > machine.unconfirmed_token:
            machine.unconfirmed_token = 0
            self.mark_changed(index)
        if report.notice_s is not None and machine.termination_at is None:
            machine.termination_at = now + max(0.0, report.notice_s)
            machine.draining = True
            self.termination_noticed.add(index)
            log.info("machine %s: taken in %.0f s", machine.name, report.notice_s)
        elif report.notice_s is None:
            machine.termination_at = None
        changed = self._take_tasks(machine, report, now)
        changed |= before != (machine.lost, machine.session, machine.termination_at is None)
        changed |= was_fenced != (machine.token >= self.base_token)
        if changed:
            self.mark_changed(index)

    def _mark_unconfirmed(self, machine: Machine) -> None:
        """It may not hear us: not drawn until it has answered a call or heard of a later token."""
        if machine.unconfirmed_since is None:
            machine.unconfirmed_since = self.context.now()
            self.mark_changed(machine.index)

    def _mark_confirmed(self, machine: Machine) -> None:
        if machine.unconfirmed_since is not None:
            machine.unconfirmed_since = None
            self.mark_changed(machine.index)

    def _take_tasks(self, machine: Machine, report: api.Report, now: float) -> bool:
        if machine.last_reported_tasks == report.tasks and not machine.pending_launches:
            # Most reports say what the last one said.
            if machine.reservations or any(
                observed.state != api.EXITED for observed in machine.tasks.values()
            ):
                machine.empty_since = now
            return False
        machine.last_reported_tasks = report.tasks
        context = self.context
        seen: dict[int, ObservedTask] = {}
        changed = False
        for item in report.tasks:
            job, number = api.parse_task(item.task)
            state = api.STATE_CODES.get(item.state, api.ON)
            if number < 0:
                log.error("machine %s reports a task called %r", machine.name, item.task)
                continue
            index = context.job_names.intern(job)
            key = task_key(index, number)
            error = api.CAUSE_CODES.get(item.why or "", api.W_NONE)
            old = machine.tasks.get(key)
            same = old is not None and old.attempt == item.attempt and old.state == state
            entry = ObservedTask(item.attempt, state, error, bool(item.saved), now)
            if same and old is not None:
                entry.state_since = old.state_since
            else:
                changed = True
                self._attribute_failure(machine, index, key, entry)
            kept = seen.get(key)
            # After a restart under a new attempt both may be listed; the live one counts.
            if kept is None or kept.state == api.EXITED:
                seen[key] = entry
            launch = machine.pending_launches.get(key)
            if launch is not None and launch.attempt == item.attempt:
                del machine.pending_launches[key]
                changed = True
            info = self.jobs.get(index)
            if info is not None and state in (api.ON, api.SAVING):
                changed = changed or info.image not in machine.images
                machine.images[info.image] = now
        if len(seen) != len(machine.tasks):
            changed = True
        live = any(observed.state != api.EXITED for observed in seen.values())
        if live or machine.pending_launches or machine.reservations:
            machine.empty_since = now
        machine.tasks = seen
        for key in [k for k in machine.evictions if k not in seen]:
            del machine.evictions[key]
        return changed

    def _attribute_failure(
        self, machine: Machine, job: int, key: int, observed: ObservedTask
    ) -> None:
        """Tell machines that fail every task from jobs that fail on every machine."""
        if observed.state != api.EXITED:
            return
        if observed.cause == api.W_DONE:
            self.failures.done(machine.index, job)
        elif observed.cause == api.W_ERROR:
            self.failures.error(machine.index, job, key << 32 | observed.attempt)
        if observed.cause == api.W_ERROR or machine.faulty_since:
            self._diagnose(machine)

    def pending_commands(self, machine: Machine, reaps: bool) -> list[api.Command]:
        """Stops and reaps that the newest report calls for. Launches go by `/do` only."""
        if machine.reconciled:
            return []
        context, out, quiet = self.context, [], True
        for key, observed in machine.tasks.items():
            job, number = split_key(key)
            name = api.task_name(context.job_names[job], number)
            desired = self.desired_task(machine.index, key)
            mine = desired is not None and desired.attempt == observed.attempt
            quiet = (
                quiet and mine and observed.state != api.EXITED and not (desired and desired.stop)
            )
            if observed.state == api.EXITED:
                # Reap only what the job's record no longer has here, and only when no
                # start of this attempt can still arrive.
                if reaps and not mine and self.is_synced(key) and self.is_fenced(machine):
                    out.append(api.Command(api.REAP, name, observed.attempt))
            elif mine and desired is not None and desired.stop:
                out.append(api.Command(api.STOP, name, observed.attempt, desired.grace_s))
            elif key in machine.evictions:
                if observed.state != api.SAVING:
                    out.append(
                        api.Command(api.STOP, name, observed.attempt, machine.evictions[key])
                    )
            elif not mine and self.is_synced(key):
                out.append(api.Command(api.STOP, name, observed.attempt, 0.0))
        machine.reconciled = quiet and not machine.evictions
        return out

    def piggybacked_starts(self, machine: Machine) -> list[api.Command]:
        """Starts for a worker that reports but can't be reached directly.

        They may ride on the answer to its report: a worker executes answers in order and
        drops late ones, and reaps go the same way, so none can follow its own reap.
        """
        if (
            machine.unanswered_commands < MAX_UNANSWERED_COMMANDS
            or machine.new_incarnation_session
            or not machine.pending_launches
        ):
            return []
        out = []
        for key, launch in machine.pending_launches.items():
            desired = self.desired_task(machine.index, key)
            if desired is not None and not desired.stop and self.is_confirmed(key):
                job, number = split_key(key)
                name = api.task_name(self.context.job_names[job], number)
                launch.deliveries += 1
                out.append(api.Command(api.START, name, launch.attempt))
        if out:
            machine.piggybacked_at = self.context.now()
        return out

    def expire_leases(self) -> None:
        """Mark machines whose every session until now must be over."""
        context, now = self.context, self.context.now()
        if now < self.look_at:
            return
        self.look_at = now + EXPIRY_CHECK_INTERVAL_S
        for machine in self.machines.values():
            silent = now - machine.lease_granted_at
            # One that hasn't heard of our token may go on being answered by the former holder:
            # one of its reports came to us, our answer got lost, and it went back there.
            alone = machine.token >= self.base_token or now > self.former_leases_end_at
            if not machine.lost and silent > context.lease_expiry_s and alone:
                machine.lost = True
                machine.pending_launches.clear()
                self.mark_changed(machine.index)
                log.info("machine %s: silent for %.1f s, its lease is over", machine.name, silent)
            elif machine.published_schedulable != self.is_schedulable(machine) or (
                machine.faulty_since is not None
                and 0
                < now - machine.faulty_since - FAULTY_DRAIN_DELAY_S
                < 2 * EXPIRY_CHECK_INTERVAL_S
            ):
                self.mark_changed(machine.index)

    def mark_deleted(self, name: str) -> None:
        """The cloud answered 200: the machine and everything on it are gone."""
        index = self.context.machine_names.intern(name)
        if index not in self.deleted_machines:
            self.deleted_machines[index] = self.context.now()
            if self.machines.pop(index, None) is not None:
                self.removed_machines.add(index)
            self.changed = True

    def is_deleted(self, name: str) -> bool:
        """Whether a machine is known to be gone: what comes of it is a late copy."""
        return self.context.machine_names.find(name) in self.deleted_machines

    def reconcile(self) -> list[Machine]:
        """Turn wants into launches or refusals; returns machines with something to send."""
        now = self.context.now()
        busy: list[Machine] = []
        if now >= self.sweep_at:
            self.sweep_at = now + FULL_RECONCILE_INTERVAL_S
            self.to_reconcile.update(self.machines)
        if now >= self.prune_at:
            self.prune_at = now + PRUNE_INTERVAL_S
            self.prune()
        due, self.to_reconcile = self.to_reconcile | self.kept, set()
        self.kept = set()
        found = [self.machines[i] for i in due if i in self.machines]
        # Calls that hang would take the sockets that the state service is called on.
        probes = MAX_PROBES - sum(m.command_in_flight and m.needs_probe for m in found)
        for machine in found:
            if self.context.is_quarantined("machine", machine.name):
                self.to_reconcile.add(machine.index)
                continue
            try:
                if not self._reconcile(machine, now):
                    continue
            except Exception as error:
                # Nothing there may be called absent: it stays due.
                self.context.quarantine_failed("machine", machine.name, error)
                self.to_reconcile.add(machine.index)
                continue
            probes -= machine.needs_probe
            if not machine.needs_probe or probes >= 0:
                busy.append(machine)
        self.applied_seqs = dict(self.received_seqs)
        return busy

    def _reconcile(self, machine: Machine, now: float) -> bool:
        for key in [k for k, h in machine.reservations.items() if h.expires_at < now]:
            del machine.reservations[key]
            self._schedule_publish(machine)
        if (machine.lost or machine.token >= self.base_token) and machine.catch_up(
            self._listed(machine)
        ):
            self._schedule_publish(machine)
        stops = not machine.lost and (
            self._compare(machine, now)
            | any(
                key in machine.evictions and observed.state in (api.FETCHING, api.ON)
                for key, observed in machine.tasks.items()
            )
        )
        # One that passes for dead may be back with low numbers: only an answer tells.
        asks = machine.probe_needed and machine.probed_at <= now
        if asks:
            machine.probed_at = now + PROBE_INTERVAL_S
        doubts = machine.unconfirmed_since is not None and not machine.lost
        ask = stops or bool(machine.pending_launches) or doubts or asks
        if ask or machine.probe_needed or machine.reservations:
            self.kept.add(machine.index)
        return ask and not machine.command_in_flight and machine.retry_at <= now

    def _compare(self, machine: Machine, now: float) -> bool:
        """What is wanted of a machine against what is there. True when something is to stop."""
        stops = False
        listed: set[int] = set()
        for table in self.desired_tasks.values():
            for key, desired in table.get(machine.index, {}).items():
                observed = machine.tasks.get(key)
                if not desired.stop:
                    listed.add(key)
                    self._consider(machine, key, desired, observed, now)
                elif observed is not None:
                    stops |= observed.state in (api.FETCHING, api.ON)
                elif key not in machine.pending_launches:
                    machine.refused_attempts.add((key, desired.attempt))
        if machine.refused_attempts:
            machine.refused_attempts = {
                (key, attempt)
                for key, attempt in machine.refused_attempts
                if (w := self.desired_task(machine.index, key)) and w.attempt == attempt
            }
        self._forget_launches(machine, listed)
        return stops

    def _listed(self, machine: Machine) -> int:
        """The latest session that lists name there."""
        tables = (table.get(machine.index, {}) for table in self.desired_tasks.values())
        return max((desired.session for here in tables for desired in here.values()), default=0)

    def _forget_launches(self, machine: Machine, listed: set[int]) -> None:
        """Drop starts that are not wanted any more, once they can't act any more."""
        for key, launch in list(machine.pending_launches.items()):
            if key in listed:
                continue
            riding = self.context.now() - machine.piggybacked_at < PIGGYBACK_TIMEOUT_S
            if not launch.deliveries or not (
                machine.command_in_flight or machine.unconfirmed_token or riding
            ):
                del machine.pending_launches[key]
                machine.refused_attempts.add((key, launch.attempt))
                self._schedule_publish(machine)

    def _consider(
        self,
        machine: Machine,
        key: int,
        desired: DesiredTask,
        observed: ObservedTask | None,
        now: float,
    ) -> None:
        if (
            observed is not None and observed.attempt == desired.attempt
        ) or desired.session != machine.session:
            return
        if key in machine.pending_launches or (key, desired.attempt) in machine.refused_attempts:
            return
        hold = machine.reservations.pop(key, None)
        free = self.available(machine)
        info = self.jobs[split_key(key)[0]]
        roomy = free is not None and fits(info.size, free)
        if hold is None and not roomy:
            # A refusal stands while the want does: the job shard may free the task on it.
            machine.refused_attempts.add((key, desired.attempt))
            self._schedule_publish(machine)
            return
        machine.pending_launches[key] = PendingLaunch(desired.attempt, now)
        self._schedule_publish(machine)

    def commands_for(self, machine: Machine, starts: bool) -> api.Commands:
        """What to send by `/do` now. Marks launches as sent, before they are."""
        context = self.context
        if machine.new_incarnation_session:
            return api.Commands(self.token, machine.new_incarnation_session, machine.orphan_stops)
        commands = [c for c in self.pending_commands(machine, starts) if c.op != api.REAP]
        # A start without an answer raises the token for all: not again and again for one machine.
        if starts and machine.unanswered_commands < MAX_UNANSWERED_COMMANDS:
            for key, launch in machine.pending_launches.items():
                desired = self.desired_task(machine.index, key)
                if desired is None or desired.stop or not self.is_confirmed(key):
                    continue
                job, number = split_key(key)
                name = api.task_name(context.job_names[job], number)
                old = machine.tasks.get(key)
                if old is not None and old.state == api.EXITED and self.is_fenced(machine):
                    commands.append(api.Command(api.REAP, name, old.attempt))
                launch.deliveries += 1
                commands.append(api.Command(api.START, name, launch.attempt))
                if launch.deliveries == 1:
                    log.info("task %s attempt %d: start on %s", name, launch.attempt, machine.name)
        return api.Commands(self.token, machine.session - machine.prior_sessions, commands)

    def on_command_unanswered(self, machine: Machine, orders: api.Commands, maybe: bool) -> None:
        """`/do` got no answer; if it was sent it may act at any later time."""
        starts = any(c.op == api.START for c in orders.commands)
        if maybe and starts and orders.session == machine.session - machine.prior_sessions:
            machine.unconfirmed_token = max(machine.unconfirmed_token, orders.token)
            self.mark_changed(machine.index)
            log.info("machine %s: a start got no answer, to be fenced", machine.name)
        machine.unanswered_commands += 1
        if machine.unanswered_commands == MAX_UNANSWERED_COMMANDS and not machine.lost:
            self._mark_unconfirmed(machine)
        machine.retry_at = self.context.now() + min(0.5 * machine.unanswered_commands, 3.0)

    def on_command_rejected(self, machine: Machine) -> None:
        """409: nothing was executed."""
        machine.retry_at = self.context.now() + 0.3

    def needs_new_token(self) -> bool:
        """A start without an answer must be fenced before its task can be called gone; and of
        machines that no call reaches, those that show a later token hear our answers."""
        now = self.context.now()
        live = [
            machine
            for machine in self.machines.values()
            if not machine.lost and now - machine.last_message_at < 3
        ]
        if any(machine.unconfirmed_token >= self.token for machine in live) or any(
            machine.new_incarnation_session and machine.unconfirmed_token >= self.token
            for machine in self.machines.values()
        ):
            return True
        seen = now >= self.raise_at and any(
            machine.unconfirmed_since is not None
            and machine.unanswered_commands
            and machine.token >= self.token
            for machine in live
        )
        if seen:
            self.raise_at = now + TOKEN_RAISE_INTERVAL_S
        return seen

    def unreachable_counts(self) -> list[float]:
        """For each machine that reports and shows no sign of hearing us: for how long."""
        now = self.context.now()
        ages = [
            machine.unconfirmed_s(now, self.lease_s)
            for machine in self.machines.values()
            if not machine.lost
        ]
        return [age for age in ages if age > self.lease_s]

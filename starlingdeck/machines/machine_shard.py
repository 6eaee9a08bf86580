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
from starlingdeck.machines.desired_state import PRUNE_S
from starlingdeck.machines.machine import (
    Launch,
    Machine,
    Seen,
    Want,
)
from starlingdeck.machines.reachability import Word
from starlingdeck.machines.snapshot_publisher import SICK_SURE_S, Views
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

RIDE_S = 5.0  # a worker waits 4 s for the answer to its report
SWEEP_S = 2.0  # how often every machine is reconciled, changed or not
LOOK_S = 0.2  # how often silence is looked for
UNCALLED = 2  # calls in a row without an answer: starts ride on answers to reports, if at all
ASK_S = 0.5  # between calls that only ask a machine what a foreign message was
RAISE_S = 5.0  # between tokens raised only to see who hears of them
MOST_PROBES = 32  # calls at once that only ask who is there


class MachineShard(Views):
    """The machines of one shard, while this node holds it."""

    def passed_over(self, report: api.Report) -> bool:
        """Whether a report is a copy, of a former life, or of a machine that is gone. Not to be
        answered 200: nothing may take the answer for a renewal."""
        index = self.world.machines.get(report.machine)
        if index is None:
            return False
        machine = self.machines.get(index)
        if index not in self.gone and (
            machine is None
            or machine.word(report.session, report.seq, report.token, True) is not Word.FOREIGN
        ):
            return False
        self.copies += 1
        if machine is not None:
            machine.ask = True
            self._compare_soon(index)
        return True

    def take_report(
        self, report: api.Report, renews: bool, asked: tuple[int, int] | None = None
    ) -> Machine:
        """Note a report that isn't `passed_over`, or the body of a command's answer, to which
        `asked` is what was known when it was called."""
        world, now = self.world, self.world.now()
        index = world.machines.put(report.machine)
        machine = self.machines.get(index)
        if machine is None:
            machine = self.machines[index] = Machine(
                index=index,
                name=report.machine,
                address=report.addr,
                type=world.type_names.put(report.type),
                zone=world.zones.put(report.zone),
                spot=report.spot,
                token=report.token,
                heard=now,
                answered=now,
                spoke=now,
                # A worker that has seen no token is new: it has no sessions behind it.
                back=now if report.token else None,
                empty_since=now,
            )
            log.info("machine %s: first report, session %d", report.machine, report.session)
        elif machine.counts_anew(asked, report.session, report.seq):
            return self._reborn(machine, report)
        word = machine.word(report.session, report.seq, report.token, renews)
        if renews and word is not Word.FOREIGN:
            machine.answered = machine.spoke = now
            machine.reported = (report.session, report.seq)
        if word is Word.NEWS:
            self._take_news(machine, report, report.session + machine.ended, renews)
        if not renews and word is not Word.FOREIGN:
            machine.unheard_do, machine.ask = 0, False
            self._proven(machine)
        return machine

    def _reborn(self, machine: Machine, report: api.Report) -> Machine:
        """A machine was back within its lease, and counts from 1 again: all that ran there is
        over, once no start that was sent to its former life can act any more."""
        machine.strays = [
            api.Command(api.STOP, t.task, t.attempt, 0.0)
            for t in report.tasks
            if api.STATE_CODES.get(t.state) != api.EXITED
        ]
        if report.token > max(machine.token, machine.doubt) and not machine.strays:
            log.info("machine %s: began a new life", machine.name)
            session = machine.begin_life(report.session)
            machine.shown, machine.seq = None, 0
            machine.answered = self.world.now()
            self._take_news(machine, report, session, False)
            self._proven(machine)
        else:
            # The next answer comes under a token that those starts don't have, and what one of them
            # has begun is stopped.
            machine.reborn, machine.ask = report.session, True
            machine.doubt = max(machine.doubt, self.token)
            self.touch(machine.index)
        return machine

    def _take_news(self, machine: Machine, report: api.Report, session: int, renews: bool) -> None:
        now, index = self.world.now(), machine.index
        before = (machine.dead, machine.session, machine.notice_until is None)
        if session != machine.session:
            # A new session is proof that all before it ended; nothing sent then can act now.
            machine.launches.clear()
            machine.refused.clear()
            machine.evict.clear()
            machine.doubt = 0
            # Its lease counts from the beginning of the session, of which an answer to a call may
            # be the first word: counted from the last report, a machine whose reports reach nobody
            # was called over at once, and what had just been started there ran twice.
            machine.answered = now
            if machine.session:
                log.info("machine %s: session %d began", machine.name, session)
                # Its lease ended although we answered its reports, or we did not.
                self._doubt(machine)
        machine.session, machine.seq = session, report.seq
        machine.reborn = 0  # its lease ended, and a later session is proof enough
        if renews and now - machine.heard > self.fresh_s:
            self._doubt(machine)
        elif machine.back is not None and report.token > machine.token and report.token:
            self._proven(machine)  # it has heard of it from us
        machine.heard = now
        machine.dead = False
        was_fenced = machine.token >= self.base
        machine.token = report.token
        if machine.doubt and machine.token > machine.doubt:
            machine.doubt = 0
            self.touch(index)
        if report.notice_s is not None and machine.notice_until is None:
            machine.notice_until = now + max(0.0, report.notice_s)
            machine.draining = True
            self.noticed.add(index)
            log.info("machine %s: taken in %.0f s", machine.name, report.notice_s)
        elif report.notice_s is None:
            machine.notice_until = None
        changed = self._take_tasks(machine, report, now)
        changed |= before != (machine.dead, machine.session, machine.notice_until is None)
        changed |= was_fenced != (machine.token >= self.base)
        if changed:
            self.touch(index)

    def _doubt(self, machine: Machine) -> None:
        """It may not hear us: not drawn until it has answered a call or heard of a later token."""
        if machine.back is None:
            machine.back = self.world.now()
            self.touch(machine.index)

    def _proven(self, machine: Machine) -> None:
        if machine.back is not None:
            machine.back = None
            self.touch(machine.index)

    def _take_tasks(self, machine: Machine, report: api.Report, now: float) -> bool:
        if machine.shown == report.tasks and not machine.launches:
            # Most reports say what the last one said.
            if machine.holds or any(s.state != api.EXITED for s in machine.tasks.values()):
                machine.empty_since = now
            return False
        machine.shown = report.tasks
        world = self.world
        seen: dict[int, Seen] = {}
        changed = False
        for item in report.tasks:
            job, number = api.parse_task(item.task)
            state = api.STATE_CODES.get(item.state, api.ON)
            if number < 0:
                log.error("machine %s reports a task called %r", machine.name, item.task)
                continue
            index = world.jobs.put(job)
            key = task_key(index, number)
            why = api.WHY_CODES.get(item.why or "", api.W_NONE)
            old = machine.tasks.get(key)
            same = old is not None and old.attempt == item.attempt and old.state == state
            entry = Seen(item.attempt, state, why, bool(item.saved), now)
            if same and old is not None:
                entry.since = old.since
            else:
                changed = True
                self._judge(machine, index, key, entry)
            kept = seen.get(key)
            # After a restart under a new attempt both may be listed; the live one counts.
            if kept is None or kept.state == api.EXITED:
                seen[key] = entry
            launch = machine.launches.get(key)
            if launch is not None and launch.attempt == item.attempt:
                del machine.launches[key]
                changed = True
            info = self.jobs.get(index)
            if info is not None and state in (api.ON, api.SAVING):
                changed = changed or info.image not in machine.images
                machine.images[info.image] = now
        if len(seen) != len(machine.tasks):
            changed = True
        live = any(s.state != api.EXITED for s in seen.values())
        if live or machine.launches or machine.holds:
            machine.empty_since = now
        machine.tasks = seen
        for key in [k for k in machine.evict if k not in seen]:
            del machine.evict[key]
        return changed

    def _judge(self, machine: Machine, job: int, key: int, seen: Seen) -> None:
        """Tell machines that fail every task from jobs that fail on every machine."""
        if seen.state != api.EXITED:
            return
        if seen.why == api.W_DONE:
            self.failures.done(machine.index, job)
        elif seen.why == api.W_ERROR:
            self.failures.error(machine.index, job, key << 32 | seen.attempt)
        if seen.why == api.W_ERROR or machine.sick:
            self._diagnose(machine)

    def commands_after(self, machine: Machine, reaps: bool) -> list[api.Command]:
        """Stops and reaps that the newest report calls for. Launches go by `/do` only."""
        if machine.quiet:
            return []
        world, out, quiet = self.world, [], True
        for key, seen in machine.tasks.items():
            job, number = split_key(key)
            name = api.task_name(world.jobs[job], number)
            want = self.want_of(machine.index, key)
            mine = want is not None and want.attempt == seen.attempt
            quiet = quiet and mine and seen.state != api.EXITED and not (want and want.stop)
            if seen.state == api.EXITED:
                # Reap only what the job's record no longer has here, and only when no
                # start of this attempt can still arrive.
                if reaps and not mine and self.synced(key) and self.fenced(machine):
                    out.append(api.Command(api.FORGET, name, seen.attempt))
            elif mine and want is not None and want.stop:
                out.append(api.Command(api.STOP, name, seen.attempt, want.grace_s))
            elif key in machine.evict:
                if seen.state != api.SAVING:
                    out.append(api.Command(api.STOP, name, seen.attempt, machine.evict[key]))
            elif not mine and self.synced(key):
                out.append(api.Command(api.STOP, name, seen.attempt, 0.0))
        machine.quiet = quiet and not machine.evict
        return out

    def riding(self, machine: Machine) -> list[api.Command]:
        """Starts for a worker that reports but can't be reached directly.

        They may ride on the answer to its report: a worker executes answers in order and
        drops late ones, and reaps go the same way, so none can follow its own reap.
        """
        if machine.unheard_do < UNCALLED or machine.reborn or not machine.launches:
            return []
        out = []
        for key, launch in machine.launches.items():
            want = self.want_of(machine.index, key)
            if want is not None and not want.stop and self.borne_out(key):
                job, number = split_key(key)
                name = api.task_name(self.world.jobs[job], number)
                launch.sent += 1
                out.append(api.Command(api.START, name, launch.attempt))
        if out:
            machine.rode = self.world.now()
        return out

    def check_silence(self) -> None:
        """Mark machines whose every session until now must be over."""
        world, now = self.world, self.world.now()
        if now < self.look_at:
            return
        self.look_at = now + LOOK_S
        for machine in self.machines.values():
            silent = now - machine.answered
            # One that hasn't heard of our token may go on being answered by the former holder:
            # one of its reports came to us, our answer got lost, and it went back there.
            alone = machine.token >= self.base or now > self.quiet_until
            if not machine.dead and silent > world.silence_s and alone:
                machine.dead = True
                machine.launches.clear()
                self.touch(machine.index)
                log.info("machine %s: silent for %.1f s, its lease is over", machine.name, silent)
            elif machine.drawn != self.drawable(machine) or (
                machine.sick is not None and 0 < now - machine.sick - SICK_SURE_S < 2 * LOOK_S
            ):
                self.touch(machine.index)

    def mark_deleted(self, name: str) -> None:
        """The cloud answered 200: the machine and everything on it are gone."""
        index = self.world.machines.put(name)
        if index not in self.gone:
            self.gone[index] = self.world.now()
            if self.machines.pop(index, None) is not None:
                self.removed.add(index)
            self.changed = True

    def deleted(self, name: str) -> bool:
        """Whether a machine is known to be gone: what comes of it is a late copy."""
        return self.world.machines.get(name) in self.gone

    def reconcile(self) -> list[Machine]:
        """Turn wants into launches or refusals; returns machines with something to send."""
        now = self.world.now()
        busy: list[Machine] = []
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_S
            self.due.update(self.machines)
        if now >= self.prune_at:
            self.prune_at = now + PRUNE_S
            self.prune()
        due, self.due = self.due | self.kept, set()
        self.kept = set()
        found = [self.machines[i] for i in due if i in self.machines]
        # Calls that hang would take the sockets that the state service is called on.
        probes = MOST_PROBES - sum(m.busy and m.doubted for m in found)
        for machine in found:
            if self.world.rests("machine", machine.name):
                self.due.add(machine.index)
                continue
            try:
                if not self._reconcile(machine, now):
                    continue
            except Exception as why:
                # Nothing there may be called absent: it stays due.
                self.world.set_aside("machine", machine.name, why)
                self.due.add(machine.index)
                continue
            probes -= machine.doubted
            if not machine.doubted or probes >= 0:
                busy.append(machine)
        self.settled = dict(self.acks)
        return busy

    def _reconcile(self, machine: Machine, now: float) -> bool:
        for key in [k for k, h in machine.holds.items() if h.until < now]:
            del machine.holds[key]
            self._show(machine)
        if (machine.dead or machine.token >= self.base) and machine.catch_up(self._listed(machine)):
            self._show(machine)
        stops = not machine.dead and (
            self._compare(machine, now)
            | any(
                key in machine.evict and s.state in (api.FETCHING, api.ON)
                for key, s in machine.tasks.items()
            )
        )
        # One that passes for dead may be back with low numbers: only an answer tells.
        asks = machine.ask and machine.ask_at <= now
        if asks:
            machine.ask_at = now + ASK_S
        doubts = machine.back is not None and not machine.dead
        ask = stops or bool(machine.launches) or doubts or asks
        if ask or machine.ask or machine.holds:
            self.kept.add(machine.index)
        return ask and not machine.busy and machine.retry_at <= now

    def _compare(self, machine: Machine, now: float) -> bool:
        """What is wanted of a machine against what is there. True when something is to stop."""
        stops = False
        listed: set[int] = set()
        for table in self.wants.values():
            for key, want in table.get(machine.index, {}).items():
                seen = machine.tasks.get(key)
                if not want.stop:
                    listed.add(key)
                    self._consider(machine, key, want, seen, now)
                elif seen is not None:
                    stops |= seen.state in (api.FETCHING, api.ON)
                elif key not in machine.launches:
                    machine.refused.add((key, want.attempt))
        if machine.refused:
            machine.refused = {
                (key, attempt)
                for key, attempt in machine.refused
                if (w := self.want_of(machine.index, key)) and w.attempt == attempt
            }
        self._forget_launches(machine, listed)
        return stops

    def _listed(self, machine: Machine) -> int:
        """The latest session that lists name there."""
        tables = (table.get(machine.index, {}) for table in self.wants.values())
        return max((want.session for here in tables for want in here.values()), default=0)

    def _forget_launches(self, machine: Machine, listed: set[int]) -> None:
        """Drop starts that are not wanted any more, once they can't act any more."""
        for key, launch in list(machine.launches.items()):
            if key in listed:
                continue
            riding = self.world.now() - machine.rode < RIDE_S
            if not launch.sent or not (machine.busy or machine.doubt or riding):
                del machine.launches[key]
                machine.refused.add((key, launch.attempt))
                self._show(machine)

    def _consider(
        self, machine: Machine, key: int, want: Want, seen: Seen | None, now: float
    ) -> None:
        if (seen is not None and seen.attempt == want.attempt) or want.session != machine.session:
            return
        if key in machine.launches or (key, want.attempt) in machine.refused:
            return
        hold = machine.holds.pop(key, None)
        free = self.free(machine)
        info = self.jobs[split_key(key)[0]]
        roomy = free is not None and fits(info.size, free)
        if hold is None and not roomy:
            # A refusal stands while the want does: the job shard may free the task on it.
            machine.refused.add((key, want.attempt))
            self._show(machine)
            return
        machine.launches[key] = Launch(want.attempt, now)
        self._show(machine)

    def orders(self, machine: Machine, starts: bool) -> api.Commands:
        """What to send by `/do` now. Marks launches as sent, before they are."""
        world = self.world
        if machine.reborn:
            return api.Commands(self.token, machine.reborn, machine.strays)
        commands = [c for c in self.commands_after(machine, starts) if c.op != api.FORGET]
        # A start without an answer raises the token for all: not again and again for one machine.
        if starts and machine.unheard_do < UNCALLED:
            for key, launch in machine.launches.items():
                want = self.want_of(machine.index, key)
                if want is None or want.stop or not self.borne_out(key):
                    continue
                job, number = split_key(key)
                name = api.task_name(world.jobs[job], number)
                old = machine.tasks.get(key)
                if old is not None and old.state == api.EXITED and self.fenced(machine):
                    commands.append(api.Command(api.FORGET, name, old.attempt))
                launch.sent += 1
                commands.append(api.Command(api.START, name, launch.attempt))
                if launch.sent == 1:
                    log.info("task %s attempt %d: start on %s", name, launch.attempt, machine.name)
        return api.Commands(self.token, machine.session - machine.ended, commands)

    def unanswered(self, machine: Machine, orders: api.Commands, maybe: bool) -> None:
        """`/do` got no answer; if it was sent it may act at any later time."""
        starts = any(c.op == api.START for c in orders.commands)
        if maybe and starts and orders.session == machine.session - machine.ended:
            machine.doubt = max(machine.doubt, orders.token)
            self.touch(machine.index)
            log.info("machine %s: a start got no answer, to be fenced", machine.name)
        machine.unheard_do += 1
        if machine.unheard_do == UNCALLED and not machine.dead:
            self._doubt(machine)
        machine.retry_at = self.world.now() + min(0.5 * machine.unheard_do, 3.0)

    def refused_orders(self, machine: Machine) -> None:
        """409: nothing was executed."""
        machine.retry_at = self.world.now() + 0.3

    def needs_new_token(self) -> bool:
        """A start without an answer must be fenced before its task can be called gone; and of
        machines that no call reaches, those that show a later token hear our answers."""
        now = self.world.now()
        live = [m for m in self.machines.values() if not m.dead and now - m.heard < 3]
        if any(m.doubt >= self.token for m in live) or any(
            m.reborn and m.doubt >= self.token for m in self.machines.values()
        ):
            return True
        seen = now >= self.raise_at and any(
            m.back is not None and m.unheard_do and m.token >= self.token for m in live
        )
        if seen:
            self.raise_at = now + RAISE_S
        return seen

    def deaf(self) -> list[float]:
        """For each machine that reports and shows no sign of hearing us: for how long."""
        now = self.world.now()
        ages = [m.deaf_s(now, self.lease_s) for m in self.machines.values() if not m.dead]
        return [age for age in ages if age > self.lease_s]

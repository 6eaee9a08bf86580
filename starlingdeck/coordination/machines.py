"""A machine shard: its workers' reports, its commands to them, and its room.

The job shards say what they want here (`Wants`); reports say what is. `reconcile`
works out the difference, and may be repeated at any time. What is seen goes back to
the job shards as a `View`.

Both go as differences, and work here is done for the machines that changed: `due` are
those to be reconciled, `news` those to be shown. All are gone over once in a while, so
that a change that was never marked is late, not lost.
"""

import logging
from collections.abc import Iterable
from typing import Protocol

from msgspec import Struct, field

from starlingdeck.coordination import shedding
from starlingdeck.coordination.blame import FEW_SICK, Blame
from starlingdeck.coordination.hearing import Hearing, Word
from starlingdeck.coordination.names import split_key, task_key
from starlingdeck.coordination.shards import job_shard
from starlingdeck.coordination.world import Size, World, fits, total_of
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)

EVICT_HOLD_S = 2.5  # how long room being made by stops waits for its task
RIDE_S = 5.0  # a worker waits 4 s for the answer to its report
SWEEP_S = 2.0  # how often every machine is reconciled, changed or not
LOOK_S = 0.2  # how often silence is looked for
UNCALLED = 2  # calls in a row without an answer: starts ride on answers to reports, if at all
ASK_S = 0.5  # between calls that only ask a machine what a foreign message was
RAISE_S = 5.0  # between tokens raised only to see who hears of them
MOST_PROBES = 32  # calls at once that only ask who is there
GONE_S = 600.0  # (start) for how long copies of a deleted machine's reports are told
SICK_SURE_S = 10.0  # (start) a sick machine is not returned sooner
PRUNE_S = 60.0  # how often what is known of jobs that left no trace here is forgotten


class Standing(Protocol):
    """What preemption asks of a job."""

    @property
    def team(self) -> int: ...
    @property
    def rank(self) -> int: ...
    @property
    def guaranteed(self) -> bool: ...


class JobInfo(Struct):
    """What a machine's owner must know of a job that runs there."""

    team: int
    rank: int
    size: Size
    image: str
    image_gb: float
    checkpoint_s: float
    save_s: float
    service: bool
    spot: bool
    guaranteed: bool
    estimate_s: float


class Seen(Struct):
    """A task as the newest report has it."""

    attempt: int
    state: int
    why: int
    saved: bool
    since: float


class Launch(Struct):
    """A start that no report has shown yet. `sent` counts tries to deliver it."""

    attempt: int
    asked: float
    sent: int = 0


class Want(Struct):
    attempt: int
    session: int
    stop: bool
    grace_s: float


class Hold(Struct):
    """Room kept for a task whose record is being written."""

    attempt: int
    until: float


class Machine(Hearing, kw_only=True):
    index: int
    name: str
    address: str
    type: int
    zone: int
    spot: bool
    notice_until: float | None = None
    tasks: dict[int, Seen] = field(default_factory=dict)
    launches: dict[int, Launch] = field(default_factory=dict)
    strays: list[api.Command] = field(default_factory=list)  # stops, for a life not yet begun
    holds: dict[int, Hold] = field(default_factory=dict)
    refused: set[tuple[int, int]] = field(default_factory=set)
    evict: dict[int, float] = field(default_factory=dict)
    shed: set[int] = field(default_factory=set)
    images: dict[str, float] = field(default_factory=dict)
    doubt: int = 0
    rode: float = -1e9  # when starts last went out in a report's answer
    dead: bool = False
    draining: bool = False
    sick: float | None = None  # since when; its work may still show that it isn't
    busy: bool = False
    retry_at: float = 0.0
    empty_since: float = 0.0
    drawn: bool = False  # whether it was drawable when last shown
    shown: list[api.ReportTask] | None = None  # what `tasks` was made of
    quiet: bool = False  # nothing to be stopped or reaped until a list or a report changes


class MachineShard:
    """The machines of one shard, while this node holds it."""

    def __init__(self, world: World, shard: int, token: int, gen: int, wait_s: float) -> None:
        self.world = world
        self.shard = shard
        self.token = token
        self.base = token
        self.gen = gen
        # Until then another node may have been renewing the leases of our silent workers.
        self.quiet_until = world.now() + wait_s + world.silence_s
        report_s = world.settings.settings.workers.report_s
        self.fresh_s = 2.5 * report_s + 0.5
        self.machines: dict[int, Machine] = {}
        self.jobs: dict[int, JobInfo] = {}
        self.wants: dict[int, dict[int, dict[int, Want]]] = {}
        self.kept_tasks: set[int] = set()  # not to be stopped for others
        self.acks: dict[int, tuple[int, int]] = {}
        # Lists whose every item has been reconciled: only these may be called applied, or an
        # item that was not looked at yet would pass for refused.
        self.settled: dict[int, tuple[int, int]] = {}
        self.due: set[int] = set()
        self.kept: set[int] = set()
        self.news: set[int] = set()
        self.removed: set[int] = set()
        self.noticed: set[int] = set()
        self.blind: set[int] = set()  # shown while a task there was of a job not known yet
        self.sweep_at = 0.0
        self.prune_at = world.now() + PRUNE_S
        self.look_at = 0.0
        self.shard_of: dict[int, int] = {}
        self.gone: dict[int, float] = {}  # machine -> since when; its copies come for a while
        self.copies = 0
        self.raise_at = 0.0
        self.blame = Blame(world.tuning.sick_errors)
        self.seq = 0
        self.changed = True

    def touch(self, index: int) -> None:
        """A machine changed: it is to be reconciled, and shown."""
        self._compare_soon(index)
        self.news.add(index)
        self.changed = True

    def _compare_soon(self, index: int) -> None:
        self.due.add(index)
        machine = self.machines.get(index)
        if machine is not None:
            machine.quiet = False

    # --- what job shards want

    def apply_wants(self, msg: pb.Wants) -> bool:
        """Take a job shard's list, or what changed of it. False when it is not for us, old,
        or doesn't follow the last one: then the whole is to be asked for."""
        # A list made for an earlier holder may come late: it could name finished tasks.
        mark, last = (msg.from_token, msg.seq), self.acks.get(msg.from_shard)
        if msg.to_gen != self.gen or (last is not None and mark < last):
            return False
        if mark == last:
            return True
        table = self.wants.get(msg.from_shard, {})
        if msg.whole:
            for index, keys in table.items():
                self._compare_soon(index)
                self.kept_tasks.difference_update(keys)
            table = self.wants[msg.from_shard] = {}
        elif last is None or last != (msg.from_token, msg.seq - 1):
            return False
        world = self.world
        indices = [self._learn(job) for job in msg.jobs]
        for gone in msg.gone:
            index = world.machines.put(gone.machine)
            here = table.get(index)
            if here is not None:
                key = task_key(world.jobs.put(gone.job), gone.task)
                here.pop(key, None)
                self.kept_tasks.discard(key)
                if not here:
                    del table[index]
            self._compare_soon(index)
        for item in msg.items:
            index = world.machines.put(item.machine)
            key = task_key(indices[item.job], item.task)
            table.setdefault(index, {})[key] = Want(
                item.attempt, item.session, item.stop, item.grace_s
            )
            (self.kept_tasks.add if item.kept else self.kept_tasks.discard)(key)
            self._compare_soon(index)
        self.acks[msg.from_shard] = mark
        self.changed = True
        return True

    def _learn(self, job: pb.Job) -> int:
        index = self.world.jobs.put(job.id)
        if index not in self.jobs and self.blind:
            blind, self.blind = self.blind, set()
            for machine in blind:
                self.touch(machine)
                if machine in self.machines:
                    self.machines[machine].shown = None
        self.jobs[index] = JobInfo(
            job.team,
            job.rank,
            (job.cpus, job.gpus, job.memory_gb),
            job.image,
            job.image_gb,
            job.checkpoint_s,
            job.save_s,
            job.service,
            job.spot,
            job.guaranteed,
            job.estimate_s,
        )
        if self.blame.learn(index, job.known):
            for ill in [m for m in self.machines.values() if m.sick is not None]:
                self._diagnose(ill)
        return index

    def home(self, key: int) -> int:
        """The shard of a task's job."""
        job = split_key(key)[0]
        shard = self.shard_of.get(job)
        if shard is None:
            shard = self.shard_of[job] = job_shard(self.world.jobs[job], self.world.shards)
        return shard

    def want_of(self, machine: int, key: int) -> Want | None:
        table = self.wants.get(self.home(key))
        here = table.get(machine) if table else None
        return here.get(key) if here else None

    def synced(self, key: int) -> bool:
        return self.home(key) in self.acks

    # --- reports

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
                # A worker that has seen no token is new: it has no sessions behind it.
                back=now if report.token else None,
                empty_since=now,
            )
            log.info("machine %s: first report, session %d", report.machine, report.session)
        elif machine.counts_anew(asked, report.session, report.seq):
            return self._reborn(machine, report)
        word = machine.word(report.session, report.seq, report.token, renews)
        if renews and word is not Word.FOREIGN:
            machine.answered = now
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
            self.blame.done(machine.index, job)
        elif seen.why == api.W_ERROR:
            self.blame.error(machine.index, job, key << 32 | seen.attempt)
        if seen.why == api.W_ERROR or machine.sick:
            self._diagnose(machine)

    def _diagnose(self, machine: Machine) -> None:
        """Sick by jobs of which little is known are few at a time: a flood of jobs that fail
        everywhere may not take all machines."""
        sick = self.blame.sick(machine.index)
        if sick and not machine.sick and not self.blame.surely(machine.index):
            others = sum(m.sick is not None for m in self.machines.values())
            sick = others < max(1, len(self.machines) * FEW_SICK)
        if sick is (machine.sick is not None):
            return
        machine.sick = self.world.now() if sick else None
        log.info("machine %s: %s", machine.name, "sick" if sick else "not sick after all")
        self.touch(machine.index)

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
            if want is not None and not want.stop:
                job, number = split_key(key)
                name = api.task_name(self.world.jobs[job], number)
                launch.sent += 1
                out.append(api.Command(api.START, name, launch.attempt))
        if out:
            machine.rode = self.world.now()
        return out

    # --- proof

    def fenced(self, machine: Machine) -> bool:
        """Nothing sent under an older token, or sent without an answer, can still act."""
        return machine.token >= self.base and machine.doubt == 0

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

    def unheard(self) -> Iterable[int]:
        """Machines that jobs name and that are proven gone without ever reporting here."""
        late = self.world.now() > self.quiet_until
        named = {m for table in self.wants.values() for m in table}
        return [m for m in named if m in self.gone or (late and m not in self.machines)]

    # --- room

    def _fetching(self, machine: Machine) -> set[str]:
        waiting = {k for k, s in machine.tasks.items() if s.state == api.FETCHING}
        waiting |= machine.launches.keys() | machine.holds.keys()
        infos = [self.jobs.get(split_key(key)[0]) for key in waiting]
        return {i.image for i in infos if i is not None and i.image not in machine.images}

    def _youngest(self, machine: Machine) -> list[float]:
        now, found = self.world.now(), [-1.0] * len(api.RANKS)
        for key, seen in machine.tasks.items():
            info = self.jobs.get(split_key(key)[0])
            if info is None or seen.state not in (api.FETCHING, api.ON) or key in machine.evict:
                continue
            if key in self.kept_tasks:
                continue
            ran = now - seen.since if seen.state == api.ON else 0.0
            if info.checkpoint_s > 0:
                ran = min(ran, info.checkpoint_s)
            rank = min(info.rank, len(found) - 1)
            if found[rank] < 0 or ran < found[rank]:
                found[rank] = ran
        return found

    def total(self, machine: Machine) -> Size | None:
        kind = self.world.types.get(machine.type)
        return None if kind is None else total_of(kind)

    def free(self, machine: Machine) -> list[float] | None:
        """Room by what the reports show and what was promised; None while it is not known."""
        total = self.total(machine)
        if total is None:
            return None
        left = list(total)
        held = {k for k, s in machine.tasks.items() if s.state != api.EXITED}
        held |= machine.launches.keys() | machine.holds.keys()
        for key in held:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return None
            for d in range(3):
                left[d] -= info.size[d]
        return left

    def drawable(self, machine: Machine) -> bool:
        """A machine back from a cut is first heard by reports that were held: work drawn to it
        in a session long over was placed, freed by the next report and placed again. So it
        must have answered a call first, or gone on reporting for a while."""
        return (
            not machine.dead
            and not machine.draining
            and machine.sick is None
            and machine.back is None
            and machine.token >= self.base
            and self.world.now() - machine.heard < self.fresh_s
        )

    def reserve(self, msg: pb.Reserve) -> pb.Reserved:
        """Keep room for tasks about to be recorded; says for which of them."""
        out = pb.Reserved()
        if msg.to_gen != self.gen:
            return out
        job = self._learn(msg.job)
        info = self.jobs[job]
        until = self.world.now() + (msg.hold_s or self.world.tuning.reserve_s)
        frees: dict[
            int, list[float] | None
        ] = {}  # reckoned once for all that is asked of a machine
        for spot in msg.spots:
            machine = self.machines.get(self.world.machines.put(spot.machine))
            if machine is None or not self.drawable(machine):
                continue
            key = task_key(job, spot.task)
            if key in machine.tasks or key in machine.launches:
                continue
            if machine.holds.pop(key, None) is not None:
                frees.pop(machine.index, None)
            if machine.index not in frees:
                frees[machine.index] = self.free(machine)
            free = frees[machine.index]
            if free is None:
                continue
            if fits(info.size, free):
                machine.holds[key] = Hold(spot.attempt, until)
                frees[machine.index] = [f - s for f, s in zip(free, info.size, strict=True)]
                out.given.add(task=spot.task, attempt=spot.attempt, session=machine.session)
            elif msg.preempt and self._evict_for(machine, info, free, msg):
                # The room is kept for who asked: else the stopped task itself comes back
                # into it first, and is stopped again.
                machine.holds[key] = Hold(spot.attempt, self.world.now() + EVICT_HOLD_S)
                frees.pop(machine.index)
                out.given.add(task=spot.task, attempt=spot.attempt, evicting=True)
            elif msg.gather and self._may_gather(machine, info, free):
                # Smaller work would take each bit that comes free before there is enough.
                machine.holds[key] = Hold(spot.attempt, self.world.now() + EVICT_HOLD_S)
                frees.pop(machine.index)
                out.given.add(task=spot.task, attempt=spot.attempt, evicting=True)
            self.touch(machine.index)
        return out

    def _may_gather(self, machine: Machine, info: JobInfo, free: list[float]) -> bool:
        """Whether what comes free may be kept for a task: for one at a time."""
        total = self.total(machine)
        return total is not None and fits(info.size, total) and min(free) >= -1e-9

    def _evict_for(
        self, machine: Machine, info: JobInfo, free: list[float], msg: pb.Reserve
    ) -> bool:
        """Stop lower work until the size fits. True when stops under way will make room.

        Where saving would outlast what the new work may wait, the old is stopped without:
        it goes back to its last checkpoint, which loses about as much as saving takes.
        """
        left = list(free)
        chosen: list[int] = []
        victims = []
        for key, seen in machine.tasks.items():
            other = self.jobs.get(split_key(key)[0])
            if seen.state == api.EXITED or other is None:
                continue
            if key in machine.evict or seen.state == api.SAVING:
                left = [a + b for a, b in zip(left, other.size, strict=True)]
            elif may_preempt(info, other, msg.pressing) and key not in self.kept_tasks:
                victims.append((other.guaranteed, other.rank, -seen.since, key, other))
        victims.sort(key=lambda v: v[:4])
        for _, _, _, key, other in victims:
            if fits(info.size, left):
                break
            chosen.append(key)
            left = [a + b for a, b in zip(left, other.size, strict=True)]
        if not fits(info.size, left):
            return False
        for key in chosen:
            other = self.jobs[split_key(key)[0]]
            saves = other.checkpoint_s > 0 and not 0 < msg.wait_s <= other.save_s
            machine.evict[key] = other.save_s + 1.0 if saves else 0.0
            job, number = split_key(key)
            log.info(
                "task %s: preempted on %s",
                api.task_name(self.world.jobs[job], number),
                machine.name,
            )
        return True

    # --- shedding (DESIGN 3)

    def shed(self) -> None:
        """Choose what every machine gives up: what breaks a constraint, then by tabu search.

        A spot notice breaks the constraint of all work that won't be over in time.
        """
        now = self.world.now()
        for index in self.due | self.noticed:
            machine = self.machines.get(index)
            if machine is None:
                self.noticed.discard(index)
                continue
            if not self.world.rests("machine", machine.name):
                try:
                    self._shed(machine, now)
                except Exception as why:
                    self.world.set_aside("machine", machine.name, why)

    def _shed(self, machine: Machine, now: float) -> None:
        chosen: set[int] = set()
        live = {k: s for k, s in machine.tasks.items() if s.state in (api.FETCHING, api.ON)}
        if machine.notice_until is not None and not machine.dead:
            left = machine.notice_until - now
            for key, seen in live.items():
                info = self.jobs.get(split_key(key)[0])
                if info is None:
                    continue
                over = info.estimate_s * 1.2 - (now - seen.since)
                if info.service or seen.state == api.FETCHING or over > left:
                    chosen.add(key)
                if info.checkpoint_s > 0 and left < info.save_s + 2.0 + 0.1 * left:
                    # Nobody took it in time: at least its progress is saved.
                    machine.evict.setdefault(key, info.save_s + 1.0)
                    self._compare_soon(machine.index)
        else:
            chosen = self._overfull(machine, live)
        if chosen != machine.shed:
            machine.shed = chosen
            self.touch(machine.index)

    def _overfull(self, machine: Machine, live: dict[int, Seen]) -> set[int]:
        """By what the report shows, not by what was promised."""
        total = self.total(machine)
        if total is None or machine.dead:
            return set()
        use = [0.0, 0.0, 0.0]
        for key in live:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return set()
            use = [a + b for a, b in zip(use, info.size, strict=True)]
        if fits(use, total):
            return set()
        world, now = self.world, self.world.now()
        kind = world.types[machine.type]
        loads = []
        for key, seen in live.items():
            info = self.jobs[split_key(key)[0]]
            fetch = info.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0
            ran = now - seen.since if seen.state == api.ON else 0.0
            cost = shedding.move_cost(ran, info.checkpoint_s > 0, info.checkpoint_s, fetch)
            loads.append(shedding.Load(key, info.size, cost))
        t = world.tuning
        picked = shedding.pick(
            total, loads, t.tabu_restarts, t.tabu_steps, t.tabu_patience, world.rng
        )
        return set(picked)

    # --- commands

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

    def prune(self) -> None:
        """Forget the jobs that no list names and no machine shows, and deleted machines that
        no list names: they would stay for as long as the shard is held. A list or a request
        for room that names a job says again what it is."""
        named = {m for table in self.wants.values() for m in table}
        keys = {k for table in self.wants.values() for here in table.values() for k in here}
        for m in self.machines.values():
            keys.update(m.tasks, m.launches, m.holds, m.evict, m.shed)
            keys.update(key for key, _ in m.refused)
        live = {split_key(key)[0] for key in keys}
        self.jobs = {j: info for j, info in self.jobs.items() if j in live}
        self.shard_of = {j: shard for j, shard in self.shard_of.items() if j in live}
        self.blame.keep(live, self.machines)
        kept = self.world.now() - GONE_S
        self.gone = {m: at for m, at in self.gone.items() if at > kept or m in named}

    def _show(self, machine: Machine) -> None:
        self.news.add(machine.index)
        self.changed = True

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
                if want is None or want.stop:
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
        now, lease_s = self.world.now(), self.world.settings.settings.workers.lease_s
        ages = [m.deaf_s(now, lease_s) for m in self.machines.values() if not m.dead]
        return [age for age in ages if age > lease_s]

    # --- the view

    def view(self, valid: bool) -> pb.View:
        """What has changed since the last view.

        A machine that is due again since its lists were reconciled is shown as not fenced, and
        once more later: left out, its last showing would stand beside the news that the lists
        are applied, and a start under way would pass for refused.
        """
        self.seq += 1
        shown, self.news = self.news, self.news & self.due
        removed, self.removed = self.removed, set()
        self.changed = bool(self.news)
        out = self._frame(valid)
        out.removed.extend(self.world.machines[m] for m in removed)
        self._entries(out, shown)
        return out

    def whole_view(self, valid: bool) -> pb.View:
        """Everything, for who has not followed; numbered like the last difference."""
        out = self._frame(valid)
        out.whole = True
        self._entries(out, self.machines)
        self.news |= self.due
        self.changed |= bool(self.due)
        return out

    def _frame(self, valid: bool) -> pb.View:
        out = pb.View(shard=self.shard, gen=self.gen, seq=self.seq, valid=valid)
        for shard, (token, seq) in self.settled.items():
            out.acks.add(shard=shard, token=token, seq=seq)
        out.dead.extend(self.world.machines[m] for m in self.unheard())
        return out

    def _entries(self, out: pb.View, shown: Iterable[int]) -> None:
        for index in shown:
            machine = self.machines.get(index)
            if machine is None:
                continue
            before = len(out.machines)
            try:
                self._entry(out, machine)
            except Exception as why:
                # Nothing may be concluded from what was shown of it before.
                self.world.set_aside("machine", machine.name, why)
                del out.machines[before:]
                out.machines.add(id=machine.name, session=machine.session)

    def _entry(self, out: pb.View, m: Machine) -> None:
        world = self.world
        free = self.free(m)
        m.drawn = self.drawable(m)
        entry = out.machines.add(
            id=m.name,
            address=m.address,
            type=world.type_names[m.type],
            zone=world.zones[m.zone],
            spot=m.spot,
            session=m.session,
            # Of a machine that is due nothing may be called absent yet.
            fenced=self.fenced(m) and m.index not in self.due,
            dead=m.dead,
            drawable=free is not None and m.drawn,
            images=list(m.images),
            # Returned when it is empty: not before others had the time to speak for it.
            draining=m.draining or (m.sick is not None and world.now() - m.sick > SICK_SURE_S),
            notice=m.notice_until is not None,
            silent_s=world.now() - m.heard,
            idle_s=world.now() - m.empty_since,
            deaf_s=m.deaf_s(world.now(), world.settings.settings.workers.lease_s),
        )
        entry.fetching.extend(self._fetching(m))
        entry.youngest_s.extend(self._youngest(m))
        if free is None:
            self.blind.add(m.index)
        else:
            entry.free_cpus, entry.free_gpus, entry.free_memory_gb = free
        for key, seen in m.tasks.items():
            job, number = split_key(key)
            entry.tasks.add(
                job=world.jobs[job],
                task=number,
                attempt=seen.attempt,
                state=seen.state,
                why=seen.why,
                saved=seen.saved,
                shed=key in m.shed,
            )
        for key, launch in m.launches.items():
            job, number = split_key(key)
            entry.tasks.add(
                job=world.jobs[job], task=number, attempt=launch.attempt, state=api.PENDING
            )


def may_preempt(new: Standing, old: Standing, pressing: bool) -> bool:
    """PROTOCOL, "Preemption": higher rank, or a guarantee against another team's surplus.

    Work of higher rank gives way to a guarantee only when that presses: at first there may
    be lower work to stop elsewhere, and a stopped service is missed at once.
    """
    if new.rank > old.rank:
        return new.team == old.team or new.guaranteed or not old.guaranteed
    if old.rank > new.rank and not pressing:
        return False
    return new.guaranteed and not old.guaranteed and new.team != old.team

"""Counts as a gate: which tasks may start, and the ledgers in the transactions that say so."""

import logging
from collections.abc import Iterator, Mapping, Sequence

import curio
from msgspec import Struct, field

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import MANY, World
from starlingdeck.counts import http_api as door
from starlingdeck.counts import ledger
from starlingdeck.counts.allocation import Taking
from starlingdeck.counts.ledger import Change, Ledger, Use, Waiter
from starlingdeck.counts.ledger_store import Books, told
from starlingdeck.jobs.admission import Wait
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import CountSettings
from starlingdeck.storage import records
from starlingdeck.storage.state import Conflict, StateClient, StateError, StateUnknown, put
from starlingdeck.transport.server import Request, Response

log = logging.getLogger(__name__)

TICK_S = 0.1
HEARD_S = 2.0  # a peer's greeting counts for this long
AGREE_S = 0.6  # before tasks are stopped: every peer has greeted meanwhile
MOST_GREETED = 200

Key = tuple[int, int]  # shard, count


class Plan(Struct):
    """What is left of the units while a plan picks, and who found none."""

    own: dict[Key, int] = field(default_factory=dict)  # held by the shard and not in use
    pool: dict[int, int] = field(default_factory=dict)  # held by none; under 0: over the ceiling
    kept: dict[int, int] = field(default_factory=dict)  # for tasks that need many
    planned: dict[Key, int] = field(default_factory=dict)  # starts and asked for, less ends
    heads: dict[Key, Waiter] = field(default_factory=dict)
    left: set[int] = field(default_factory=set)  # counts of which units were left to better work
    taken: set[Key] = field(default_factory=set)  # of which this plan has picked tasks


class Counts(Books):
    """This controller's part in all counts: who may start, who has to stop."""

    path = api.COUNTS

    def __init__(
        self,
        world: World,
        state: StateClient,
        membership: Membership,
        writers: Mapping[int, Writer],
        settings: CountSettings,
    ) -> None:
        super().__init__(world, state, writers)
        self.membership = membership
        self.settings = settings
        self.plan = Plan()
        self.heads: dict[Key, Waiter] = {}  # of the last whole plan
        self.short: dict[int, float] = {}  # job -> since when it finds too few units
        self.left: dict[int, float] = {}  # count -> since when units are left to better work
        self.rivals: dict[int, tuple[float, dict[int, list[Waiter]]]] = {}  # by peer and count
        self.uses: dict[int, tuple[float, list[tuple[int, Use]]]] = {}
        self.stopping: dict[int, float] = {}  # count -> since when tasks are to stop for it
        self.idle_at: dict[Key, float] = {}
        self.told: set[str] = set()

    # --- which tasks may start

    def due(self) -> bool:
        return self.fresh or any(w.shard.released for w in self.writers.values())

    def _seen(self) -> None:
        self.fresh = False
        for writer in self.writers.values():
            writer.shard.released = False

    async def note(self, jobs: Sequence[Job]) -> None:
        self._seen()
        waiting = {job.index for job in jobs}
        self.short = {job: at for job, at in self.short.items() if job in waiting}
        self.left = {c: at for c, at in self.left.items() if c in self.plan.left}
        self.heads, self.plan = self.plan.heads, Plan(planned=self.planned())

    def idle(self) -> None:
        self._seen()
        self.heads, self.plan = {}, Plan()

    def planned(self) -> dict[Key, int]:
        """Units that starts on their way will take, less those whose tasks have ended."""
        found: dict[Key, int] = {}
        for writer in self.writers.values():
            shard = writer.shard
            for job in shard.jobs.values():
                if not (job.needs and (job.starts or job.asking or job.ends)):
                    continue
                tasks = len(job.starts) + sum(t not in job.places for t in job.asking)
                tasks -= sum(t in job.places for t in job.ends)
                for count, units in job.needs:
                    key = (shard.shard, count)
                    found[key] = found.get(key, 0) + tasks * units
        return found

    def _open(self, shard: int, count: int, now: Ledger) -> None:
        """Reckon, once a plan, what a shard may take of a count."""
        plan, key = self.plan, (shard, count)
        pool = plan.pool.setdefault(count, now.ceiling - now.total)
        if key not in plan.own:
            used = self.writers[shard].shard.use.get(count, 0) + plan.planned.get(key, 0)
            own = now.held[shard] - used
            plan.own[key] = max(0, own)
            plan.pool[count] = pool + min(0, own)

    def spare(self, job: Job) -> int:
        if not job.needs:
            return MANY
        room = min(self._room(job, count) // units for count, units in job.needs)
        if room <= 0:
            self._fell_short(job)
        return max(0, room)

    def _room(self, job: Job, count: int) -> int:
        now = self.ledgers.get(count)
        if now is None or now.removed or job.shard not in self.writers:
            return 0
        self._open(job.shard, count, now)
        plan = self.plan
        room = plan.own[(job.shard, count)] + plan.pool[count] - plan.kept.get(count, 0)
        if room > 0 and (ahead := self._ahead(waiter(job, 0), count)):
            limit_s = max(
                self.settings.reserve_s if w.claim else self.settings.patience_s for w in ahead
            )
            since = self.left.setdefault(count, self.world.now())
            if self.world.now() - since < limit_s:
                plan.left.add(count)
                room -= sum(w.units for w in ahead)
        return room

    def _ahead(self, one: Waiter, count: int) -> list[Waiter]:
        """Who waits for a count at other shards and goes before `one`."""
        turn_ms = self.settings.turn_s * 1000
        return [
            w
            for w in self._others(count)
            if w.shard != one.shard and ledger.better(w, one, turn_ms)
        ]

    def _others(self, count: int) -> Iterator[Waiter]:
        now = self.world.now()
        for at, found in self.rivals.values():
            if now - at < HEARD_S:
                # A shard that changed hands may still be told of by its former holder.
                yield from (w for w in found.get(count, ()) if w.shard not in self.writers)
        for shard in self.writers:
            if (own := self.heads.get((shard, count))) is not None:
                yield own

    def _fell_short(self, job: Job) -> None:
        """A task that needs several units has those that come free kept for it, half of the time;
        in the other half smaller ones have their turn."""
        now, reserve_s, plan = self.world.now(), self.settings.reserve_s, self.plan
        began = self.short.setdefault(job.index, now)
        several = sum(units for _, units in job.needs) > 1
        claim = several and (now - began) % (2 * reserve_s) < reserve_s
        for count, units in job.needs:
            lacking = units if claim else units - self._room(job, count)
            if lacking > 0 and (job.shard, count) not in plan.heads:
                plan.heads[(job.shard, count)] = waiter(job, lacking, claim)
            if claim:
                plan.kept[count] = plan.kept.get(count, 0) + units

    def picked(self, job: Job, tasks: int) -> None:
        plan = self.plan
        if not (job.needs and tasks):
            return
        self.short.pop(job.index, None)
        for count, units in job.needs:
            key, take = (job.shard, count), units * tasks
            if key not in plan.own:
                continue
            own = min(take, plan.own[key])
            plan.own[key] -= own
            plan.taken.add(key)
            plan.pool[count] -= take - own
            self.left.pop(count, None)

    def waits(self, job: Job) -> list[Wait]:
        found = []
        for count, units in job.needs:
            name, now = self.world.counts[count], self.ledgers.get(count)
            if now is None or now.removed:
                what = "was removed" if now is not None else "is not known"
                found.append(Wait(f"count {name} {what}", "an operator's setting it"))
            elif units > now.ceiling:
                why = f"{units} of {name} needed, its ceiling is {now.ceiling}"
                found.append(Wait(why, "a higher ceiling"))
            elif self.in_doubt(job.shard, count):
                found.append(Wait(f"a write to the ledger of {name} is in doubt", "its answer"))
            elif ledger.cap(now, job.shard) - self._used(job.shard, count) < units:
                why = f"{now.total} of {now.ceiling} {name} held, {units} needed"
                found.append(Wait(why, "the proven end of a task that holds them"))
            elif self._ahead(waiter(job, 0), count):
                found.append(Wait(f"{name} is left to work that goes before", "its start"))
        return found

    def _used(self, shard: int, count: int) -> int:
        writer = self.writers.get(shard)
        return writer.shard.use.get(count, 0) if writer is not None else 0

    async def refuse(self, spec: api.JobSpec) -> str:
        counts = {name: units for name, units in (spec.counts or {}).items() if units}
        most = self.world.settings.settings.state.txn_ops - 2
        if len(counts) > most:
            return f"counts: at most {most} here, of one transaction"
        for name, units in counts.items():
            if not self._takes(name, units):
                # The watch may lag behind the operator who has just declared it.
                await self.reread(name)
            if not self._takes(name, units):
                known = self._known(name)
                if known is None or known.removed:
                    return f"counts.{name}: no such count"
                return f"counts.{name}: {units} is more than its ceiling, {known.ceiling}"
        return ""

    def _takes(self, name: str, units: int) -> bool:
        """Whether a count is known and a task could ever hold that many of it. A closed one is
        expected to be opened again."""
        now = self._known(name)
        return now is not None and not now.removed and (units <= now.ceiling or not now.ceiling)

    def _known(self, name: str) -> Ledger | None:
        """Users may ask for any name: none is kept that has no ledger."""
        count = self.world.counts.get(name)
        return self.ledgers.get(count) if count is not None else None

    # --- grant and release

    def open(self, shard: JobShard) -> Taking:
        return Taking(self, shard, self._in_want)

    def _in_want(self, shard: int, count: int) -> bool:
        """Whether tasks of a shard wait for units of a count, or the plan has picked some."""
        key = (shard, count)
        return key in self.heads or key in self.plan.heads or key in self.plan.taken

    async def release(self, writer: Writer) -> None:
        """Give back what a shard holds and has no use for."""
        shard, now = writer.shard, self.world.now()
        if not any(b.held[shard.shard] > shard.use.get(c, 0) for c, b in self.ledgers.items()):
            return
        async with writer.lock:
            planned = self.planned()
            back: dict[int, Ledger] = {}
            for count, old in self.ledgers.items():
                key, used = (shard.shard, count), shard.use.get(count, 0)
                if old.held[shard.shard] <= used or self.in_doubt(*key):
                    self.idle_at.pop(key, None)
                    continue
                wanted = used + max(0, planned.get(key, 0))
                since = self.idle_at.setdefault(key, now)
                if wanted >= old.held[shard.shard]:
                    self.idle_at[key] = now
                elif (
                    now - since > self.settings.idle_s
                    or old.removed
                    or old.total > old.ceiling
                    or self._wanted_elsewhere(key)
                ):
                    back[count] = ledger.hold(old, shard.shard, wanted)
            most = max(1, self.world.settings.settings.state.txn_ops // 2)
            for count in list(back)[most:]:
                del back[count]
            if back and not writer.lost:
                await self._write_back(shard, back)

    def _wanted_elsewhere(self, key: Key) -> bool:
        own = self.heads.get(key)
        others = [w for w in self._others(key[1]) if w.shard != key[0]]
        turn_ms = self.settings.turn_s * 1000
        return any(own is None or ledger.better(w, own, turn_ms) for w in others)

    async def _write_back(self, shard: JobShard, back: dict[int, Ledger]) -> None:
        stamps = {count: self.stamps[count] for count in back}
        conditions = {self.key(count): stamp for count, stamp in stamps.items()}
        conditions[records.shard_key(shard.shard)] = shard.token
        changes = [put(self.key(count), new) for count, new in back.items()]
        try:
            version = await self.state.txn(conditions, changes, True)
        except Conflict as fault:
            await self.reread_failed(fault.failed)
            return
        except StateUnknown:
            self.doubt(shard, stamps, [])
            raise
        for count, new in back.items():
            self.keep(count, new, version)
            self.idle_at.pop((shard.shard, count), None)
            self.freed_at.pop(count, None)
            log.info("count %s: shard %d gave back: %s", self.world.counts[count], shard.shard,
                     told(new))  # fmt: skip

    # --- between controllers

    def greet(self, hello: pb.Hello) -> None:
        for (shard, count), w in list(self.heads.items())[:MOST_GREETED]:
            hello.waits.add(
                count=self.world.counts[count], shard=shard, job=w.job, team=w.team,
                guaranteed=w.guaranteed, rank=w.rank, at_ms=w.at_ms, units=w.units, claim=w.claim,
            )  # fmt: skip
        for count in self.stopping:
            for use in self.own_uses(count)[:MOST_GREETED]:
                hello.uses.add(
                    count=self.world.counts[count], shard=use.shard, job=use.job, task=use.task,
                    team=use.team, guaranteed=use.guaranteed, rank=use.rank,
                    began_ms=use.began_ms, units=use.units, yields=use.yields,
                )  # fmt: skip

    def greeted(self, sender: int, hello: pb.Hello) -> None:
        now, names = self.world.now(), self.world.counts
        waits: dict[int, list[Waiter]] = {}
        for w in hello.waits[:MOST_GREETED]:
            if (count := names.get(w.count)) is not None:
                waits.setdefault(count, []).append(
                    Waiter(w.shard, w.job, w.team, w.guaranteed, w.rank, w.at_ms, w.units, w.claim)
                )
        self.rivals[sender] = (now, waits)
        self.uses[sender] = (
            now,
            [
                (
                    count,
                    Use(u.shard, u.job, u.task, u.team, u.guaranteed, u.rank, u.began_ms, u.units,
                        u.yields),
                )
                for u in hello.uses[:MOST_GREETED]
                if (count := names.get(u.count)) is not None
            ],
        )  # fmt: skip

    # --- stopping work for a unit

    def own_uses(self, count: int) -> list[Use]:
        """The tasks here that hold units of a count, those to be stopped first in front."""
        found = []
        now, wall_ms = self.world.now(), self.world.wall_ms()
        for job, task, place, units in self.holders(count):
            # `since` is not known of places read from a record: those began long ago.
            began_ms = int(wall_ms - (now - place.since) * 1000) if place.since > 0 else 0
            found.append(
                Use(job.shard, job.id, task, job.team, job.guaranteed, job.spec.rank, began_ms,
                    units, place.yields)
            )  # fmt: skip
        return sorted(found, key=lambda u: (not u.yields, u.rank, -u.began_ms))

    def stop_some(self) -> None:
        """Stop what is over a ceiling that was lowered so, or what higher work may stop."""
        now = self.world.now()
        due: dict[int, tuple[int, Waiter | None]] = {}
        for count, found in self.ledgers.items():
            over = found.total - found.ceiling
            if found.stop and over > 0:
                due[count] = (over, None)
            elif found.preempt and not found.removed:
                waiting = sorted(self._others(count), key=lambda w: (w.guaranteed, w.rank))
                if waiting and over + waiting[-1].units > 0:
                    due[count] = (over + waiting[-1].units, waiting[-1])
        self.stopping = {count: self.stopping.get(count, now) for count in due}
        for count, (excess, new) in due.items():
            if now - self.stopping[count] < AGREE_S:
                continue
            uses = self.own_uses(count)
            for at, told_uses in self.uses.values():
                if now - at < HEARD_S:
                    uses += [u for c, u in told_uses if c == count and u.shard not in self.writers]
            # A peer that isn't heard chooses for itself: what nobody heard of uses counts as
            # stopped already, so that both sides of a cut don't stop the same number.
            kept = self.ledgers[count].total - excess
            known = sum(use.units for use in uses)
            for use in ledger.victims(uses, known - kept, new):
                if use.shard in self.writers and not use.yields:
                    self._stop(use, count)

    def _stop(self, use: Use, count: int) -> None:
        shard = self.writers[use.shard].shard
        index = self.world.jobs.get(use.job)
        job = shard.jobs.get(index) if index is not None else None
        if job is None or use.task not in job.places:
            return
        place = job.places[use.task]
        place.yields = True
        place.grace_s = job.grace_s
        shard.relist(job, use.task)
        name = self.world.counts[count]
        log.info("task %s: to stop, for a unit of %s", api.task_name(job.id, use.task), name)

    # --- the loop

    async def run(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            if not (self.membership.valid() and self.membership.synced):
                continue
            try:
                await self.declare()
                for writer in list(self.writers.values()):
                    if writer.shard.loaded:
                        await self.release(writer)
            except StateError as why:
                log.info("counts: %s", why)
                await curio.sleep(0.2 + 0.3 * self.world.rng.random())
            self.stop_some()

    async def declare(self) -> None:
        """Make the counts that the operators' file names. Where one is there already, the state
        service's word holds and a difference is told once."""
        for name, wanted in self.settings.declare.items():
            if name in self.told:
                continue
            count = self.world.counts.put(name)
            if count not in self.ledgers:
                new = Ledger(wanted.ceiling, (0,) * self.world.shards, wanted.preempt)
                change = Change(1, self.world.wall_ms(), new.ceiling, new.preempt, by="declared")
                puts = [put(self.key(count), new), put(records.change_key(name, 1), change)]
                try:
                    version = await self.state.txn({self.key(count): 0}, puts)
                    self.keep(count, new, version)
                except Conflict:
                    await self.reread(name)
            found = self.ledgers[count]
            if (found.ceiling, found.preempt, found.removed) != (
                wanted.ceiling,
                wanted.preempt,
                False,
            ):
                log.info("count %s: declared with ceiling %d, but %s; that holds", name,
                         wanted.ceiling, told(found))  # fmt: skip
            self.told.add(name)

    def lines(self) -> list[str]:
        waiting: dict[int, int] = {}
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                for count, _ in job.needs:
                    waiting[count] = waiting.get(count, 0) + job.unfinished - len(job.places)
        busy = [c for c, found in self.ledgers.items() if found.total or waiting.get(c)]
        return [
            f"count {self.world.counts[c]}: {told(self.ledgers[c])}, {waiting.get(c, 0)} wait here"
            for c in busy[:MOST_GREETED]
        ]

    async def serve(self, request: Request) -> Response:
        return await door.handle(self, request)


def waiter(job: Job, units: int, claim: bool = False) -> Waiter:
    return Waiter(
        job.shard, job.id, job.team, job.guaranteed, job.spec.rank, job.at_ms, units, claim
    )

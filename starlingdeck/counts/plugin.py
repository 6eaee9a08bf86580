"""Counts as a gate: which tasks may start, and the ledgers in the transactions that say so."""

import logging
from collections.abc import Iterator, Mapping, Sequence

import curio
from msgspec import Struct, field

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import UNBOUNDED, ControllerContext
from starlingdeck.counts import http_api, ledger
from starlingdeck.counts.allocation import LedgerTransaction
from starlingdeck.counts.ledger import Change, Ledger, UnitUse, Waiter
from starlingdeck.counts.ledger_store import LedgerStore, announce
from starlingdeck.jobs.admission import WaitReason
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.protocol.config import CountSettings
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
    put_change,
)
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


class CountedResourcePlugin(LedgerStore):
    """This controller's part in all counts: who may start, who has to stop."""

    path = api.COUNTS

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        writers: Mapping[int, RecordWriter],
        settings: CountSettings,
    ) -> None:
        super().__init__(context, state, writers)
        self.membership = membership
        self.settings = settings
        self.plan = Plan()
        self.heads: dict[Key, Waiter] = {}  # of the last whole plan
        self.short: dict[int, float] = {}  # job -> since when it finds too few units
        self.left: dict[int, float] = {}  # count -> since when units are left to better work
        self.rivals: dict[int, tuple[float, dict[int, list[Waiter]]]] = {}  # by peer and count
        self.uses: dict[int, tuple[float, list[tuple[int, UnitUse]]]] = {}
        self.stopping: dict[int, float] = {}  # count -> since when tasks are to stop for it
        self.idle_at: dict[Key, float] = {}
        self.announced: set[str] = set()

    # --- which tasks may start

    def is_due(self) -> bool:
        return self.fresh or any(writer.shard.units_released for writer in self.writers.values())

    def _seen(self) -> None:
        self.fresh = False
        for writer in self.writers.values():
            writer.shard.units_released = False

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        self._seen()
        waiting = {job.index for job in jobs}
        self.short = {job: at for job, at in self.short.items() if job in waiting}
        self.left = {c: at for c, at in self.left.items() if c in self.plan.left}
        self.heads, self.plan = self.plan.heads, Plan(planned=self.planned())

    def on_idle(self) -> None:
        self._seen()
        self.heads, self.plan = {}, Plan()

    def planned(self) -> dict[Key, int]:
        """Units that starts on their way will take, less those whose tasks have ended."""
        found: dict[Key, int] = {}
        for writer in self.writers.values():
            shard = writer.shard
            for job in shard.jobs.values():
                if not (
                    job.resource_needs and (job.pending_starts or job.reserving or job.pending_ends)
                ):
                    continue
                tasks = len(job.pending_starts) + sum(
                    t not in job.placements for t in job.reserving
                )
                tasks -= sum(t in job.placements for t in job.pending_ends)
                for count, units in job.resource_needs:
                    key = (shard.shard, count)
                    found[key] = found.get(key, 0) + tasks * units
        return found

    def _open(self, shard: int, count: int, now: Ledger) -> None:
        """Reckon, once a plan, what a shard may take of a count."""
        plan, key = self.plan, (shard, count)
        pool = plan.pool.setdefault(count, now.ceiling - now.total)
        if key not in plan.own:
            used = self.writers[shard].shard.resource_use.get(count, 0) + plan.planned.get(key, 0)
            own = now.held[shard] - used
            plan.own[key] = max(0, own)
            plan.pool[count] = pool + min(0, own)

    def headroom(self, job: Job) -> int:
        if not job.resource_needs:
            return UNBOUNDED
        room = min(self._room(job, count) // units for count, units in job.resource_needs)
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
            since = self.left.setdefault(count, self.context.now())
            if self.context.now() - since < limit_s:
                plan.left.add(count)
                room -= sum(w.units for w in ahead)
        return room

    def _ahead(self, one: Waiter, count: int) -> list[Waiter]:
        """Who waits for a count at other shards and goes before `one`."""
        turn_ms = self.settings.turn_s * 1000
        return [
            w
            for w in self._others(count)
            if w.shard != one.shard and ledger.outranks(w, one, turn_ms)
        ]

    def _others(self, count: int) -> Iterator[Waiter]:
        now = self.context.now()
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
        now, reserve_s, plan = self.context.now(), self.settings.reserve_s, self.plan
        began = self.short.setdefault(job.index, now)
        several = sum(units for _, units in job.resource_needs) > 1
        claim = several and (now - began) % (2 * reserve_s) < reserve_s
        for count, units in job.resource_needs:
            lacking = units if claim else units - self._room(job, count)
            if lacking > 0 and (job.shard, count) not in plan.heads:
                plan.heads[(job.shard, count)] = waiter(job, lacking, claim)
            if claim:
                plan.kept[count] = plan.kept.get(count, 0) + units

    def on_requested(self, job: Job, tasks: int) -> None:
        plan = self.plan
        if not (job.resource_needs and tasks):
            return
        self.short.pop(job.index, None)
        for count, units in job.resource_needs:
            key, take = (job.shard, count), units * tasks
            if key not in plan.own:
                continue
            own = min(take, plan.own[key])
            plan.own[key] -= own
            plan.taken.add(key)
            plan.pool[count] -= take - own
            self.left.pop(count, None)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        found = []
        for count, units in job.resource_needs:
            name, now = self.context.resource_names[count], self.ledgers.get(count)
            if now is None or now.removed:
                what = "was removed" if now is not None else "is not known"
                found.append(WaitReason(f"count {name} {what}", "an operator's setting it"))
            elif units > now.ceiling:
                error = f"{units} of {name} needed, its ceiling is {now.ceiling}"
                found.append(WaitReason(error, "a higher ceiling"))
            elif self.is_uncertain(job.shard, count):
                found.append(
                    WaitReason(f"a write to the ledger of {name} is in doubt", "its answer")
                )
            elif ledger.cap(now, job.shard) - self._used(job.shard, count) < units:
                error = f"{now.total} of {now.ceiling} {name} held, {units} needed"
                found.append(WaitReason(error, "the proven end of a task that holds them"))
            elif self._ahead(waiter(job, 0), count):
                found.append(WaitReason(f"{name} is left to work that goes before", "its start"))
        return found

    def _used(self, shard: int, count: int) -> int:
        writer = self.writers.get(shard)
        return writer.shard.resource_use.get(count, 0) if writer is not None else 0

    async def rejection_reason(self, spec: api.JobSpec) -> str:
        counts = {name: units for name, units in (spec.counts or {}).items() if units}
        limit = self.context.settings.settings.state.txn_ops - 2
        if len(counts) > limit:
            return f"counts: at most {limit} here, of one transaction"
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
        count = self.context.resource_names.find(name)
        return self.ledgers.get(count) if count is not None else None

    # --- grant and release

    def begin_transaction(self, shard: JobShard) -> LedgerTransaction:
        return LedgerTransaction(self, shard, self._in_want)

    def _in_want(self, shard: int, count: int) -> bool:
        """Whether tasks of a shard wait for units of a count, or the plan has picked some."""
        key = (shard, count)
        return key in self.heads or key in self.plan.heads or key in self.plan.taken

    async def release(self, writer: RecordWriter) -> None:
        """Give back what a shard holds and has no use for."""
        shard, now = writer.shard, self.context.now()
        if not any(
            b.held[shard.shard] > shard.resource_use.get(c, 0) for c, b in self.ledgers.items()
        ):
            return
        async with writer.lock:
            planned = self.planned()
            back: dict[int, Ledger] = {}
            for count, old in self.ledgers.items():
                key, used = (shard.shard, count), shard.resource_use.get(count, 0)
                if old.held[shard.shard] <= used or self.is_uncertain(*key):
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
            limit = max(1, self.context.settings.settings.state.txn_ops // 2)
            for count in list(back)[limit:]:
                del back[count]
            if back and not writer.ownership_lost:
                await self._write_back(shard, back)

    def _wanted_elsewhere(self, key: Key) -> bool:
        own = self.heads.get(key)
        others = [w for w in self._others(key[1]) if w.shard != key[0]]
        turn_ms = self.settings.turn_s * 1000
        return any(own is None or ledger.outranks(w, own, turn_ms) for w in others)

    async def _write_back(self, shard: JobShard, back: dict[int, Ledger]) -> None:
        stamps = {count: self.stamps[count] for count in back}
        conditions = {self.key(count): stamp for count, stamp in stamps.items()}
        conditions[records.shard_key(shard.shard)] = shard.token
        changes = [put_change(self.key(count), new) for count, new in back.items()]
        try:
            version = await self.state.transact(conditions, changes, True)
        except TransactionConflictError as error:
            await self.reread_failed(error.failed)
            return
        except OutcomeUnknownError:
            self.mark_uncertain(shard, stamps, [])
            raise
        for count, new in back.items():
            self.store(count, new, version)
            self.idle_at.pop((shard.shard, count), None)
            self.freed_at.pop(count, None)
            log.info(
                "count %s: shard %d gave back: %s",
                self.context.resource_names[count],
                shard.shard,
                announce(new),
            )

    # --- between controllers

    def add_to_gossip(self, gossip: pb.Gossip) -> None:
        for (shard, count), w in list(self.heads.items())[:MOST_GREETED]:
            gossip.resource_waiters.add(
                resource=self.context.resource_names[count],
                shard=shard,
                job=w.job,
                team=w.team,
                guaranteed=w.guaranteed,
                rank=w.rank,
                submitted_ms=w.at_ms,
                units=w.units,
                claim=w.claim,
            )
        for count in self.stopping:
            for use in self.own_uses(count)[:MOST_GREETED]:
                gossip.resource_uses.add(
                    resource=self.context.resource_names[count],
                    shard=use.shard,
                    job=use.job,
                    task=use.task,
                    team=use.team,
                    guaranteed=use.guaranteed,
                    rank=use.rank,
                    began_ms=use.began_ms,
                    units=use.units,
                    preemptible=use.yields,
                )

    def receive_gossip(self, sender: int, gossip: pb.Gossip) -> None:
        now, names = self.context.now(), self.context.resource_names
        waits: dict[int, list[Waiter]] = {}
        for w in gossip.resource_waiters[:MOST_GREETED]:
            if (count := names.find(w.resource)) is not None:
                waits.setdefault(count, []).append(
                    Waiter(
                        w.shard,
                        w.job,
                        w.team,
                        w.guaranteed,
                        w.rank,
                        w.submitted_ms,
                        w.units,
                        w.claim,
                    )
                )
        self.rivals[sender] = (now, waits)
        self.uses[sender] = (
            now,
            [
                (
                    count,
                    UnitUse(
                        u.shard,
                        u.job,
                        u.task,
                        u.team,
                        u.guaranteed,
                        u.rank,
                        u.began_ms,
                        u.units,
                        u.preemptible,
                    ),
                )
                for u in gossip.resource_uses[:MOST_GREETED]
                if (count := names.find(u.resource)) is not None
            ],
        )

    # --- stopping work for a unit

    def own_uses(self, count: int) -> list[UnitUse]:
        """The tasks here that hold units of a count, those to be stopped first in front."""
        found = []
        now, now_ms = self.context.now(), self.context.wall_clock_ms()
        for job, task, placement, units in self.holders(count):
            # `since` is not known of places read from a record: those began long ago.
            began_ms = (
                int(now_ms - (now - placement.state_since) * 1000)
                if placement.state_since > 0
                else 0
            )
            found.append(
                UnitUse(
                    job.shard,
                    job.id,
                    task,
                    job.team,
                    job.guaranteed,
                    job.spec.rank,
                    began_ms,
                    units,
                    placement.releasing,
                )
            )
        return sorted(found, key=lambda u: (not u.yields, u.rank, -u.began_ms))

    def stop_some(self) -> None:
        """Stop what is over a ceiling that was lowered so, or what higher work may stop."""
        now = self.context.now()
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

    def _stop(self, use: UnitUse, count: int) -> None:
        shard = self.writers[use.shard].shard
        index = self.context.job_names.find(use.job)
        job = shard.jobs.get(index) if index is not None else None
        if job is None or use.task not in job.placements:
            return
        placement = job.placements[use.task]
        placement.releasing = True
        placement.grace_s = job.grace_s
        shard.republish_task(job, use.task)
        name = self.context.resource_names[count]
        log.info("task %s: to stop, for a unit of %s", api.task_name(job.id, use.task), name)

    # --- the loop

    async def run(self) -> None:
        while True:
            await curio.sleep(TICK_S)
            if not (self.membership.lease_is_valid() and self.membership.synced):
                continue
            try:
                await self.declare()
                for writer in list(self.writers.values()):
                    if writer.shard.loaded:
                        await self.release(writer)
            except StateError as error:
                log.info("counts: %s", error)
                await curio.sleep(0.2 + 0.3 * self.context.rng.random())
            self.stop_some()

    async def declare(self) -> None:
        """Make the counts that the operators' file names. Where one is there already, the state
        service's word holds and a difference is told once."""
        for name, wanted in self.settings.declare.items():
            if name in self.announced:
                continue
            count = self.context.resource_names.intern(name)
            if count not in self.ledgers:
                new = Ledger(wanted.ceiling, (0,) * self.context.shard_count, wanted.preempt)
                change = Change(
                    1, self.context.wall_clock_ms(), new.ceiling, new.preempt, by="declared"
                )
                puts = [
                    put_change(self.key(count), new),
                    put_change(records.count_change_key(name, 1), change),
                ]
                try:
                    version = await self.state.transact({self.key(count): 0}, puts)
                    self.store(count, new, version)
                except TransactionConflictError:
                    await self.reread(name)
            found = self.ledgers[count]
            if (found.ceiling, found.preempt, found.removed) != (
                wanted.ceiling,
                wanted.preempt,
                False,
            ):
                log.info(
                    "count %s: declared with ceiling %d, but %s; that holds",
                    name,
                    wanted.ceiling,
                    announce(found),
                )
            self.announced.add(name)

    def lines(self) -> list[str]:
        waiting: dict[int, int] = {}
        for writer in self.writers.values():
            for job in writer.shard.jobs.values():
                for count, _ in job.resource_needs:
                    waiting[count] = waiting.get(count, 0) + job.unfinished - len(job.placements)
        busy = [c for c, found in self.ledgers.items() if found.total or waiting.get(c)]
        return [
            f"count {self.context.resource_names[c]}: {announce(self.ledgers[c])},"
            f" {waiting.get(c, 0)} wait here"
            for c in busy[:MOST_GREETED]
        ]

    async def serve(self, request: Request) -> Response:
        return await http_api.handle(self, request)


def waiter(job: Job, units: int, claim: bool = False) -> Waiter:
    return Waiter(
        job.shard, job.id, job.team, job.guaranteed, job.spec.rank, job.submitted_ms, units, claim
    )

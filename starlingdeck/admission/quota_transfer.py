"""Quota as a gate: which shards lack it for what waits, and how others pass theirs on."""

import logging
from collections.abc import Mapping, Sequence

import curio
import msgspec

from starlingdeck.admission.quota import Pair, Quota
from starlingdeck.cluster.membership import Membership
from starlingdeck.context import UNBOUNDED, ControllerContext
from starlingdeck.jobs.admission import WaitReason
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateClient,
    StateError,
    TransactionConflictError,
)
from starlingdeck.storage.state import put_change as put_key

log = logging.getLogger(__name__)


class QuotaTransfer:
    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        membership: Membership,
        writers: Mapping[int, RecordWriter],
        wake: curio.Event,
    ) -> None:
        self.context = context
        self.state = state
        self.membership = membership
        self.writers = writers
        self.wake = wake
        self.quota = Quota(context)
        self.quota_needs: dict[tuple[int, int], Pair] = {}
        self.sizes: dict[tuple[int, int], set[Pair]] = {}  # of the tasks that wait there
        # What a hold's attempts of a team use: walked over once a plan, then added to as tasks are
        # picked. What comes free meanwhile is left for the next plan. By hold, so that a shard
        # taken over again in the middle of a plan is walked over anew.
        self.using: dict[tuple[int, int], Pair] = {}  # gen, team

    def limited(self, team: int) -> bool:
        """Whether a team has any limit to keep."""
        teams = self.context.settings.settings.teams
        return team < len(teams) and (teams[team].cpus_max > 0 or teams[team].gpus_max > 0)

    def used(self, shard: int, team: int) -> Pair:
        """What a shard's attempts of a team may be using, counted until proven gone."""
        cpus = gpus = 0.0
        for job in self.writers[shard].shard.jobs.values():
            if job.team == team:
                cpus += job.active_attempts() * job.spec.cpus
                gpus += job.active_attempts() * job.spec.gpus
        return cpus, gpus

    def headroom(self, job: Job) -> int:
        """For how many more tasks of a job its shard has quota."""
        if not self.limited(job.team):
            return UNBOUNDED
        hold = (self.writers[job.shard].shard.epoch, job.team)
        used = self.using.get(hold)
        if used is None:
            used = self.using[hold] = self.used(job.shard, job.team)
        share = self.quota.share(job.team, job.shard)
        spare = UNBOUNDED
        for size, have, gone in zip((job.spec.cpus, job.spec.gpus), share, used, strict=True):
            if size > 0:
                spare = min(spare, int((have - gone) / size + 1e-9))
        return max(0, spare)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        self.using = {}
        if self.headroom(job):
            return []
        used = f"the limit of team {job.spec.team!r} is used"
        return [WaitReason(used, "an end of its work, or a higher limit")]

    def on_requested(self, job: Job, tasks: int) -> None:
        writer = self.writers.get(job.shard)
        hold = (writer.shard.epoch, job.team) if writer is not None else (0, job.team)
        if hold in self.using:
            cpus, gpus = self.using[hold]
            self.using[hold] = (cpus + tasks * job.spec.cpus, gpus + tasks * job.spec.gpus)

    def on_idle(self) -> None:
        self.quota_needs, self.sizes = {}, {}

    def smallest_task(self, team: int, shard: int) -> Pair:
        """The smallest task that waits in a shard of ours for its team's quota; none: zeros."""
        return min(self.sizes.get((team, shard), ()), default=(0.0, 0.0))

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Which shards of ours lack quota for what waits; the others may pass some on."""
        wants: dict[tuple[int, int], Pair] = {}
        sizes: dict[tuple[int, int], set[Pair]] = {}
        for job in jobs:
            if not self.limited(job.team):
                continue
            old = wants.get((job.team, job.shard), (0.0, 0.0))
            n = len(job.pending(1000))
            if n:
                sizes.setdefault((job.team, job.shard), set()).add((job.spec.cpus, job.spec.gpus))
            wants[(job.team, job.shard)] = (
                old[0] + n * job.spec.cpus,
                old[1] + n * job.spec.gpus,
            )
        self.quota_needs, self.using, self.sizes = {}, {}, sizes
        for (team, shard), want in wants.items():
            used, share = self.used(shard, team), self.quota.share(team, shard)
            short = tuple(w - (s - u) for w, s, u in zip(want, share, used, strict=True))
            if max(short) > 1e-6:
                need = (max(0.0, short[0]), max(0.0, short[1]))
                self.quota_needs[(team, shard)] = need
                await self.transfer_to(team, shard, need, self.smallest_task(team, shard))

    def _kept(self, team: int, giver: int, taker: int, task: Pair) -> Pair | None:
        """How much of its share a shard that lacks quota itself keeps, if it is to pass on a rest;
        else None.

        Each shard kept a rest in which none of its tasks fitted, and all waited while their team
        was under its limit by more than one. The rests go to where the smallest task waits (of
        shards alike, the lowest): that starts if any can, and none comes back, as no transfer
        changes the order. The share stays at the largest waiting task's size that it holds: that
        much comes together as the shard's own work ends, and was given to small tasks bit by bit.
        """
        sizes = self.sizes.get((team, giver))
        if not sizes or not any(task) or (task, taker) >= (min(sizes), giver):
            return None
        used, share = self.used(giver, team), self.quota.share(team, giver)
        left = (share[0] - used[0] + 1e-9, share[1] - used[1] + 1e-9)
        if any(size[0] <= left[0] and size[1] <= left[1] for size in sizes):
            return None
        held = [s for s in sizes if s[0] <= share[0] + 1e-9 and s[1] <= share[1] + 1e-9]
        return max((s[0] for s in held), default=0.0), max((s[1] for s in held), default=0.0)

    async def transfer_to(self, team: int, taker: int, want: Pair, task: Pair) -> None:
        """Pass on quota that shards of ours don't use, keeping what their own jobs wait for and
        can use. `task`: the smallest that waits for it at the taker."""
        if not self.membership.lease_is_valid() or team >= len(
            self.context.settings.settings.teams
        ):
            return
        for giver, writer in list(self.writers.items()):
            if not writer.shard.loaded:
                continue
            used = self.used(giver, team)
            if (team, giver) in self.quota_needs:
                kept = self._kept(team, giver, taker, task)
                if kept is None:
                    continue
                used = (max(used[0], kept[0]), max(used[1], kept[1]))
            after = self.quota.transfer(team, giver, taker, want, used)
            if after is not None:
                await curio.spawn(
                    self._write_transfer, team, giver, writer.shard, after, daemon=True
                )
                return

    async def _write_transfer(
        self, team: int, giver: int, shard: JobShard, after: list[Pair]
    ) -> None:
        key = records.quota_key(team)
        conditions = {
            key: self.quota.versions.get(team, 0),
            records.shard_key(giver): shard.token,
        }
        try:
            version = await self.state.transact(conditions, [put_key(key, after)])
            self.quota.learn(team, after, version)
            log.info("team %d: shard %d passed on quota: %s", team, giver, after)
        except (StateError, TransactionConflictError) as error:
            log.info("team %d: quota not passed on: %r", team, error)
            # Until the key has been read again the transfer counts as made.
            await self._reread_quota(key)
            if isinstance(error, OutcomeUnknownError):
                # It may still be executed: only a write after it, or its trace, ends that.
                await self._settle_transfer(key, team)
        self.quota.settle(team, giver)
        await self.wake.set()

    async def _settle_transfer(self, key: str, team: int) -> None:
        """Rewrite the key as it is, so that a transfer on its way finds its condition gone."""
        while True:
            try:
                version = self.quota.versions.get(team, 0)
                shares = self.quota.split(team)
                stamp = await self.state.transact({key: version}, [put_key(key, shares)])
                self.quota.learn(team, shares, stamp)
                return
            except TransactionConflictError:
                await self._reread_quota(key)
                return
            except StateError:
                await curio.sleep(0.5 + 0.5 * self.context.rng.random())

    def on_key_changed(self, key: str, value: msgspec.Raw, version: int) -> None:
        shares = msgspec.json.decode(value, type=list[Pair])
        self.quota.learn(int(key[len(records.QUOTA) :]), shares, version)

    async def _reread_quota(self, key: str) -> None:
        """Read a team's shares, however long that takes."""
        while True:
            try:
                entry = await self.state.get(key)
            except StateError:
                await curio.sleep(0.5 + 0.5 * self.context.rng.random())
                continue
            if entry is not None:
                self.on_key_changed(key, entry.value, entry.version)
            return

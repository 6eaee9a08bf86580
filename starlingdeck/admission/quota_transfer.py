"""The admission plugin of team quota, and the transfers of quota between shards."""

import logging
from collections.abc import Mapping, Sequence

import curio
import msgspec

from starlingdeck.admission.quota import Quota, QuotaChange, ResourceAmount
from starlingdeck.admission.quota_demand import QuotaDemand, TeamShard
from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
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
    put_change,
)

log = logging.getLogger(__name__)

MIN_RETRY_S = 0.5  # wait before a failed request is repeated; a random part is added
MAX_RETRY_JITTER_S = 0.5


class QuotaTransfer:
    """Limits what each team runs at each shard, and moves unused quota to shards that lack it."""

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
        self.demand = QuotaDemand(context, self.quota, writers)

    # --- admission plugin

    async def begin_cycle(self, jobs: Sequence[Job]) -> None:
        """Find which shards lack quota for their waiting tasks, and start transfers to them."""
        for (team, shard), demand in self.demand.begin_cycle(jobs).items():
            shortage = self.demand.record_shortage(team, shard, demand)
            if shortage is not None:
                await self.transfer_to(team, shard, shortage, self.smallest_task(team, shard))

    def headroom(self, job: Job) -> int:
        """Return for how many more tasks of a job its shard has quota."""
        return self.demand.headroom(job)

    def on_requested(self, job: Job, tasks: int) -> None:
        """Count the quota of `tasks` more tasks of a job as used."""
        self.demand.add_requested(job, tasks)

    def wait_reasons(self, job: Job) -> list[WaitReason]:
        """Return why the job's next task must wait for quota; empty if it need not."""
        self.demand.drop_cached_use()
        if self.headroom(job):
            return []
        reason = f"the limit of team {job.spec.team!r} is used"
        return [WaitReason(reason, "an end of its work, or a higher limit")]

    def on_idle(self) -> None:
        """Clear the shortages: no task waits, so no shard lacks quota."""
        self.demand.clear()

    # --- transfers

    @property
    def quota_needs(self) -> Mapping[TeamShard, ResourceAmount]:
        """How much quota shards of this controller lack, for the gossip to its peers."""
        return self.demand.shortages

    def smallest_task(self, team: int, shard: int) -> ResourceAmount:
        """Return the smallest task that waits at a shard for its team's quota; zeros if none."""
        return self.demand.smallest_task(team, shard)

    async def transfer_to(
        self, team: int, receiver: int, need: tuple[float, float], task: tuple[float, float]
    ) -> None:
        """Give quota that a shard of this controller can spare to the shard `receiver`.

        The receiver may belong to any controller. `need` is what it lacks, `task` the smallest task
        that waits there. At most one transfer is begun per call; it is written in the background.
        """
        if not self.membership.lease_is_valid() or team >= len(
            self.context.settings.settings.teams
        ):
            return
        needed, smallest = ResourceAmount(*need), ResourceAmount(*task)
        for giver, writer in list(self.writers.items()):
            if not writer.shard.loaded:
                continue
            withheld = self.demand.withheld_from(team, giver, receiver, smallest)
            if withheld is None:
                continue
            change = self.quota.begin_transfer(team, giver, receiver, needed, withheld)
            if change is not None:
                await curio.spawn(
                    self._write_transfer, team, giver, writer.shard, change, daemon=True
                )
                return

    async def _write_transfer(
        self, team: int, giver: int, shard: JobShard, change: QuotaChange
    ) -> None:
        """Write a transfer, unless the shares that it was made from have changed since."""
        key = records.quota_key(team)
        conditions = {key: change.from_version, records.shard_key(giver): shard.token}
        try:
            version = await self.state.transact(conditions, [put_change(key, change.shares)])
            self.quota.record_shares(team, change.shares, version)
            shares = [tuple(share) for share in change.shares]
            log.info("quota transferred: team=%d giver=%d shares=%s", team, giver, shares)
        except (StateError, TransactionConflictError) as error:
            log.info("quota transfer failed: team=%d giver=%d error=%r", team, giver, error)
            # Until the key has been read again, the giver counts the transfer as made.
            await self._reread_quota(key)
            if isinstance(error, OutcomeUnknownError):
                # The write may still be executed. Only a newer version of the key, from this write
                # or a later one, rules that out.
                await self._invalidate_late_write(key, team)
        self.quota.end_transfer(team, giver)
        await self.wake.set()

    async def _invalidate_late_write(self, key: str, team: int) -> None:
        """Rewrite the key unchanged, so that a transfer that is still on its way is refused."""
        while True:
            try:
                version = self.quota.versions.get(team, 0)
                shares = self.quota.split(team)
                new_version = await self.state.transact({key: version}, [put_change(key, shares)])
            except TransactionConflictError:
                await self._reread_quota(key)
                return
            except StateError:
                await self._retry_wait()
            else:
                self.quota.record_shares(team, shares, new_version)
                return

    def on_key_changed(self, key: str, value: msgspec.Raw, version: int) -> None:
        """Record a team's shares from its key's value. Raises msgspec.DecodeError if invalid."""
        shares = msgspec.json.decode(value, type=list[ResourceAmount])
        self.quota.record_shares(int(key[len(records.QUOTA_PREFIX) :]), shares, version)

    async def _reread_quota(self, key: str) -> None:
        """Read a team's shares again, and retry until that succeeds."""
        while True:
            try:
                entry = await self.state.get(key)
            except StateError:
                await self._retry_wait()
                continue
            if entry is not None:
                self.on_key_changed(key, entry.value, entry.version)
            return

    async def _retry_wait(self) -> None:
        await curio.sleep(MIN_RETRY_S + MAX_RETRY_JITTER_S * self.context.rng.random())

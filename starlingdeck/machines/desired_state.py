"""What job shards want of a machine shard, and what it knows of their jobs."""

import logging
import math

from starlingdeck.cluster.sharding import job_shard
from starlingdeck.context import World
from starlingdeck.interning import split_key, task_key
from starlingdeck.machines.failure_attribution import FEW_SICK, FailureAttribution
from starlingdeck.machines.machine import (
    JobInfo,
    Machine,
    Want,
)
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)

MUTE_SHARE = 2 / 3  # (start) of a lease
GONE_S = 600.0  # (start) for how long copies of a deleted machine's reports are told
PRUNE_S = 60.0  # how often what is known of jobs that left no trace here is forgotten


class Lists:
    """The machines of one shard, and the lists of what is wanted there."""

    def __init__(self, world: World, shard: int, token: int, gen: int, wait_s: float) -> None:
        self.world = world
        self.shard = shard
        self.token = token
        self.base = token
        self.gen = gen
        # Until then another node may have been renewing the leases of our silent workers.
        self.quiet_until = world.now() + wait_s + world.silence_s
        workers = world.settings.settings.workers
        self.fresh_s = 2.5 * workers.report_s + 0.5
        self.lease_s = workers.lease_s
        # Without a report for so long a machine is drawn no more, however often calls are answered.
        self.mute_s = max(self.fresh_s, workers.lease_s * MUTE_SHARE)
        self.machines: dict[int, Machine] = {}
        self.jobs: dict[int, JobInfo] = {}
        self.wants: dict[int, dict[int, dict[int, Want]]] = {}
        self.kept_tasks: set[int] = set()  # not to be stopped for others
        self.acks: dict[int, tuple[int, int]] = {}
        # Of each shard of jobs: all that was cancelled before then is in its list here.
        self.words: dict[int, float] = {}
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
        self.unsaid_reports = 0  # refused because a job's holder has said nothing lately
        self.raise_at = 0.0
        self.failures = FailureAttribution(world.tuning.sick_errors)
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

    def _show(self, machine: Machine) -> None:
        self.news.add(machine.index)
        self.changed = True

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
        if msg.echo_ms:
            before = self.words.get(msg.from_shard, 0.0)
            self.words[msg.from_shard] = max(before, msg.echo_ms / 1000)
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
        if self.failures.learn(index, job.known):
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

    def unsaid(self, machine: Machine) -> float:
        """For how long the jobs' holders have said nothing that bears out what is there: the
        longest of them, infinite where one has said nothing yet.

        A cancellation is told once no job holder can be unaware of it; that this list's holder has
        it is not waited for. Its renewals may go on for as long as its own link to the state
        service lasts, while those who have the cancellation crash, read, or are cut off from it.
        """
        now = self.world.now()
        if len(self.words) == self.world.shards:
            oldest = now - min(self.words.values())
            if oldest <= self.world.word_s:
                return oldest
        live = {key for key, seen in machine.tasks.items() if seen.state != api.EXITED}
        homes = {self.home(key) for key in live | machine.launches.keys()}
        return max((now - self.words.get(home, -math.inf) for home in homes), default=0.0)

    def borne_out(self, key: int) -> bool:
        """Whether a task's start may still be sent on the last word of its job's holder."""
        word = self.words.get(self.home(key), -math.inf)
        return self.world.now() - word <= self.world.word_s

    def synced(self, key: int) -> bool:
        return self.home(key) in self.acks

    def _diagnose(self, machine: Machine) -> None:
        """Sick by jobs of which little is known are few at a time: a flood of jobs that fail
        everywhere may not take all machines."""
        sick = self.failures.sick(machine.index)
        if sick and not machine.sick and not self.failures.surely(machine.index):
            others = sum(m.sick is not None for m in self.machines.values())
            sick = others < max(1, len(self.machines) * FEW_SICK)
        if sick is (machine.sick is not None):
            return
        machine.sick = self.world.now() if sick else None
        log.info("machine %s: %s", machine.name, "sick" if sick else "not sick after all")
        self.touch(machine.index)

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
        self.failures.keep(live, self.machines)
        kept = self.world.now() - GONE_S
        self.gone = {m: at for m, at in self.gone.items() if at > kept or m in named}

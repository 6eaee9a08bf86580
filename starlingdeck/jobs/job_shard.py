"""A job shard: its jobs, what is durable of them, and what it wants of machines.

What is durable (`Job.state`, `tries`, `places`) changes only when the state service has
said so. What should change next is held beside it (`ends`, `starts`) until it is written.
"""

import logging
from collections.abc import Iterable

import msgspec

from starlingdeck.context import ControllerContext
from starlingdeck.interning import split_key, task_key
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.job import (
    DONE,
    PENDING,
    PLACED,
    Job,
    JobUpdate,
    Outbox,
    TaskPlacement,
    densest_chunks,
    encode_chunk,
    encode_placement,
)
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.metrics import counters
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import JobChange
from starlingdeck.storage.records import TASKS_PER_CHUNK, JobRecord
from starlingdeck.storage.state import delete_change, put_change

log = logging.getLogger(__name__)

MAX_TERMINAL_JOBS = 5000  # jobs that are over and answered without a question; the record knows all
OBSOLETE_KEY_RETENTION_S = (
    10.0  # (start) of ended arrays: a look that began before the end reads them still
)
RESERVED_VALUE_BYTES = 200  # of a value, left free by starts
PLACEMENT_BYTES = 45  # of one in a record, beside its names
MAX_CHUNK_OVERHEAD_BYTES = 3000  # bytes of a chunk beside placements and the job's description
PUBLISH_DELAY_S = 0.3  # (start) from a record's writing until its machine's owner has the list


class JobShard:
    """The jobs of one shard, while this node holds it."""

    def __init__(self, context: ControllerContext, shard: int, token: int, epoch: int) -> None:
        self.context = context
        self.shard = shard
        self.token = token
        self.base_token = token
        self.epoch = epoch
        self.jobs: dict[int, Job] = {}
        self.dirty_jobs: set[int] = set()
        self.terminal_states: dict[str, str] = {}
        self.terminal_completed: dict[str, int] = {}  # how many of its tasks completed
        self.loaded = False
        self.outboxes = [Outbox() for _ in range(context.shard_count)]
        self.tasks_by_machine: dict[
            int, set[int]
        ] = {}  # machine -> keys of the tasks recorded there
        self.descheduled: set[int] = set()  # keys of the tasks that their machine gives up
        self.resource_use: dict[int, int] = {}  # count -> units that the recorded attempts hold
        self.units_released = False  # since the last plan: units of counts came free
        self.pending_cancellations: dict[
            int, float
        ] = {}  # jobs: when a cancellation of unknown fate was sent
        self.replicas_waiting = False  # since the last plan: replicas came, or lost their place
        value_bytes = context.settings.settings.state.value_kb * 1000
        self.commit_log = CommitLog(shard, token, value_bytes)
        self.obsolete_keys: dict[
            str, float
        ] = {}  # keys of ended arrays -> from when to delete them

    # --- the jobs, and where their tasks are

    def adopt(self, job: Job) -> None:
        """Take a job as read from its record, in place of what was known of it."""
        self.remove(job.index)
        self.jobs[job.index] = job
        self.dirty_jobs.add(job.index)
        for task, placement in job.placements.items():
            self._add_placement(job, task, placement)

    def remove(self, index: int) -> None:
        job = self.jobs.pop(index, None)
        if job is not None:
            for task in list(job.placements):
                self._remove_placement(job, task)

    def schedule_key_deletion(self, keys: Iterable[str]) -> None:
        """Parts of the records of ended arrays: read by every takeover until they are deleted."""
        due = self.context.now() + OBSOLETE_KEY_RETENTION_S
        for key in keys:
            self.obsolete_keys.setdefault(key, due)

    def record_terminal_state(self, name: str, state: str, done: int) -> None:
        """A job is over. The oldest are forgotten here, whoever asks: of one-task jobs, four a
        second, a day's were kept, since only a question about an unknown job dropped any."""
        self.terminal_states[name], self.terminal_completed[name] = state, done
        while len(self.terminal_states) > MAX_TERMINAL_JOBS:
            oldest = next(iter(self.terminal_states))
            del self.terminal_states[oldest], self.terminal_completed[oldest]

    def _add_placement(self, job: Job, task: int, placement: TaskPlacement) -> None:
        key = task_key(job.index, task)
        self.tasks_by_machine.setdefault(placement.machine, set()).add(key)
        self.outboxes[placement.shard].changed.add(key)
        for count, units in job.resource_needs:
            self.resource_use[count] = self.resource_use.get(count, 0) + units

    def _remove_placement(self, job: Job, task: int) -> None:
        placement = job.placements.pop(task)
        key = task_key(job.index, task)
        found = self.tasks_by_machine.get(placement.machine)
        if found is not None:
            found.discard(key)
            if not found:
                del self.tasks_by_machine[placement.machine]
        self.descheduled.discard(key)
        outbox = self.outboxes[placement.shard]
        outbox.changed.discard(key)
        outbox.removed.add((key, placement.machine))
        for count, units in job.resource_needs:
            self.resource_use[count] -= units

    def republish_task(self, job: Job, task: int) -> None:
        """What is wanted of a recorded task has changed: it is to stop."""
        self.outboxes[job.placements[task].shard].changed.add(task_key(job.index, task))

    def set_guaranteed(self, job: Job, guaranteed: bool) -> None:
        if job.guaranteed != guaranteed:
            job.guaranteed = guaranteed
            self.republish_job(job)

    def republish_job(self, job: Job) -> None:
        """Machines' owners where it runs are to know what it is like now."""
        for shard in {placement.shard for placement in job.placements.values()}:
            self.outboxes[shard].changed_jobs.add(job.index)

    # --- what is seen

    def apply_snapshot(self, snapshot: ShardSnapshot, touched: set[int] | None) -> bool:
        """Judge the recorded attempts on the machines touched (None: on all), on those proven
        gone, and those whose list has just been applied; True if anything changed."""
        outbox = self.outboxes[snapshot.shard]
        token, seq = snapshot.applied_seqs.get(self.shard, (0, 0))
        # Only the holder our list was made for may say that something is absent.
        current = outbox.epoch == snapshot.epoch
        if current and token == self.base_token:
            outbox.acked_seq = max(outbox.acked_seq, seq)
        machines = (
            set(self.tasks_by_machine)
            if touched is None
            else touched & self.tasks_by_machine.keys()
        )
        machines |= snapshot.lost_machines & self.tasks_by_machine.keys()
        keys = {key for machine in machines for key in self.tasks_by_machine[machine]}
        if current and outbox.unacked and outbox.unacked[0][0] <= outbox.acked_seq:
            keys.update(key for listed, key in outbox.unacked if listed <= outbox.acked_seq)
            outbox.unacked = [item for item in outbox.unacked if item[0] > outbox.acked_seq]
        changed = False
        for key in keys:
            index, task = split_key(key)
            job = self.jobs.get(index)
            placement = job.placements.get(task) if job is not None else None
            if job is None or placement is None or placement.shard != snapshot.shard:
                continue
            try:
                changed |= self._evaluate_attempt(snapshot, outbox, current, job, task, placement)
            except Exception as error:
                self.context.quarantine_failed("job", job.id, error)
        return changed

    def _evaluate_attempt(
        self,
        snapshot: ShardSnapshot,
        outbox: Outbox,
        current: bool,
        job: Job,
        task: int,
        placement: TaskPlacement,
    ) -> bool:
        if task in job.pending_ends:
            return False
        now, changed = self.context.now(), False
        machine = snapshot.machines.get(placement.machine)
        proof, error = "", api.W_NONE
        if placement.machine in snapshot.lost_machines and current and snapshot.owner_valid:
            proof = "its machine is gone"
        elif machine is None:
            return False
        elif machine.session > placement.session:
            proof = "a newer session"
        elif (
            machine.lost
            and placement.session == machine.session
            and current
            and snapshot.owner_valid
        ):
            proof = "its machine's lease is over"
        elif (
            observed := snapshot.task(placement.machine, job.id, task, placement.attempt)
        ) is not None:
            placement.descheduled = observed.descheduled
            key = task_key(job.index, task)
            (self.descheduled.add if observed.descheduled else self.descheduled.discard)(key)
            if observed.state != placement.observed_state:
                # `since` is not known of places read from a record: those began long ago.
                if (
                    observed.state == api.ON
                    and placement.attempt == 1
                    and placement.state_since > 0
                ):
                    waited_s = (self.context.wall_clock_ms() - job.submitted_ms) / 1000
                    self.context.latencies.record(f"wait {job.spec.priority}", waited_s)
                placement.observed_state, placement.state_since = observed.state, now
                changed = True
            if observed.state == api.EXITED:
                error = observed.cause
                proof = f"exit {api.CAUSE_NAMES.get(error, 'unnamed')}"
        elif (
            current
            and snapshot.owner_valid
            and machine.fenced
            and machine.session == placement.session
            and placement.published_epoch == snapshot.epoch
            and 0 < placement.published_seq <= outbox.acked_seq
        ):
            proof = "not started"
        if proof:
            self._end_attempt(job, task, placement, error, proof)
        return changed or bool(proof)

    def _end_attempt(
        self, job: Job, task: int, placement: TaskPlacement, error: int, proof: str
    ) -> None:
        if job.spec.service:
            self.replicas_waiting = True
            error = api.W_ERROR if error == api.W_DONE else error
        job.pending_ends[task] = error
        if job.resource_needs:
            job.end_proofs = (job.end_proofs or {}) | {task: (proof, self.context.now())}
            self.units_released = True
        self.dirty_jobs.add(job.index)
        target = placement.target
        moves = target is not None and error != api.W_DONE and not job.cancelled
        if moves and target is not None and self.context.now() < target.reserved_until:
            # The source has confirmed the stop: the reserved target takes the task.
            job.pending_starts[task] = target
        log.info(
            "task %s attempt %d: freed from %s (%s)",
            api.task_name(job.id, task),
            placement.attempt,
            self.context.machine_names[placement.machine],
            proof,
        )
        if error == api.W_STOPPED and not (
            job.cancelled or target or placement.releasing or placement.descheduled
        ):
            self.context.counters.increment(job.spec.team, job.spec.cls, counters.PREEMPTED)
        now = self.context.now()
        if error == api.W_ERROR:
            known = job.failure_evidence
            job.failed_on.add(placement.machine)
            job.avoided_machines.setdefault(task, set()).add(placement.machine)
            suspect = len(job.failed_on) >= self.context.tuning.suspect_machines
            if suspect and now >= job.backoff_until:
                # It fails wherever it runs: probe seldom, so that it doesn't burn the fleet. Errors
                # that come together are one: by each of them it waited a minute at once.
                job.errors += 1
                job.backoff_until = now + min(60.0, 2.0 * 2 ** min(job.errors, 6))
            if known != job.failure_evidence:
                self.republish_job(job)
        elif error == api.W_DONE:
            job.errors = 0
            job.failed_on.clear()
        elif error in (api.W_BUSY, api.W_NO_ROOM, api.W_UNKNOWN):
            job.retry_at[task] = now + (1.0 if error != api.W_NO_ROOM else 0.2)

    # --- what is wanted

    def unresolved_cancellations(self) -> dict[int, float]:
        """Jobs that may be recorded, and so called, cancelled without this holder knowing, and
        since when."""
        self.pending_cancellations = {
            i: at
            for i, at in self.pending_cancellations.items()
            if (job := self.jobs.get(i)) is not None and job.outcome_unknown and not job.cancelled
        }
        return self.pending_cancellations

    def desired_state_message(
        self, to_shard: int, to_gen: int, whole: bool = False, echo_ms: int = 0
    ) -> pb.DesiredState:
        """What this shard wants of a machine shard: the difference to the last list, or all.

        To be made only while the shard surely is ours: its receiver takes it for the word that
        nothing else was cancelled up to the time that it echoes.
        """
        context, outbox = self.context, self.outboxes[to_shard]
        whole = whole or outbox.full or outbox.epoch != to_gen
        if outbox.epoch != to_gen:
            outbox.epoch, outbox.acked_seq, outbox.unacked = to_gen, 0, []
        outbox.seq += 1
        message = pb.DesiredState(
            from_shard=self.shard,
            from_token=self.base_token,
            to_shard=to_shard,
            to_epoch=to_gen,
            seq=outbox.seq,
            full=whole,
            watermark_ms=echo_ms,
        )
        numbers: dict[int, int] = {}
        if whole:
            keys = {
                task_key(job.index, task)
                for job in self.jobs.values()
                for task, place in job.placements.items()
                if place.shard == to_shard
            }
        else:
            keys = outbox.changed
            for key, machine in outbox.removed:
                index, task = split_key(key)
                message.removed.add(
                    job=context.job_names[index], task=task, machine=context.machine_names[machine]
                )
            for index in outbox.changed_jobs & self.jobs.keys():
                numbers[index] = len(message.jobs)
                message.jobs.append(job_message(self.jobs[index]))
        for key in keys:
            index, task = split_key(key)
            job = self.jobs[index]
            placement = job.placements[task]
            number = numbers.get(index)
            if number is None:
                number = numbers[index] = len(message.jobs)
                message.jobs.append(job_message(job))
            if placement.published_epoch != to_gen:
                placement.published_seq, placement.published_epoch = outbox.seq, to_gen
                outbox.unacked.append((outbox.seq, key))
            message.tasks.add(
                job=number,
                task=task,
                attempt=placement.attempt,
                machine=context.machine_names[placement.machine],
                session=placement.session,
                # One that is over and not yet recorded so stays listed, for nobody reaps it before;
                # a new holder knows nothing of its refusal, and would start it.
                stop=job.cancelled
                or placement.target is not None
                or placement.releasing
                or task in job.pending_ends,
                grace_s=0.0 if job.cancelled else placement.grace_s,
                protected=placement.protected,
            )
        outbox.full = False
        outbox.changed, outbox.removed, outbox.changed_jobs = set(), set(), set()
        outbox.sent_at = context.now()
        return message

    # --- making it durable

    def terminal_state_of(self, job: Job) -> str:
        """The state in which a job is over once its ends are written, or nothing."""
        ends = [t for t in job.pending_ends if t in job.placements]
        if job.cancelled:
            # Its user was told so: it stays cancelled even when every task completed.
            return "" if len(job.placements) > len(ends) else api.CANCELLED
        return api.DONE if self._completed_tasks(job) == job.spec.tasks else ""

    def _completed_tasks(self, job: Job) -> int:
        """How many tasks have completed, those that are yet to be written among them."""
        ended = (error for task, error in job.pending_ends.items() if task in job.placements)
        return job.completed + sum(error == api.W_DONE for error in ended)

    def draft_update(
        self, job: Job, most_chunks: int = 3, starting: bool = True
    ) -> JobUpdate | None:
        """The next write of a job's record, or None when nothing is to be written.

        `starting`: whether starts may be in it.
        """
        if job.terminal_state or job.stale:
            return None
        ends = {t: w for t, w in job.pending_ends.items() if t in job.placements}
        starts = self._startable(job) if starting else {}
        main = records.job_key(self.shard, job.id)
        holder = records.shard_key(self.shard)
        conditions = {holder: self.token, main: job.key_versions[0]}
        if final := self.terminal_state_of(job):
            key = records.final_key(self.shard, job.id)
            done = 0 if final == api.DONE else self._completed_tasks(job)
            value = records.FinalRecord(final, job.spec.tasks, done)
            return JobUpdate(
                job,
                conditions,
                [put_change(key, value), delete_change(main)],
                ends,
                {},
                final,
                False,
                [],
            )
        if not ends and not starts:
            return None
        limit = min(most_chunks, self.context.settings.settings.state.txn_ops)
        chunks = densest_chunks((*ends, *starts), limit)
        ends = {t: w for t, w in ends.items() if t // TASKS_PER_CHUNK in chunks}
        starts = {t: placement for t, placement in starts.items() if t // TASKS_PER_CHUNK in chunks}
        return self._rewrite(job, chunks, ends, starts)

    def _startable(self, job: Job) -> dict[int, TaskPlacement]:
        self._drop_late(job)
        if job.cancelled:
            return {}
        return {
            t: placement for t, placement in job.pending_starts.items() if t not in job.withheld
        }

    def _rewrite(
        self, job: Job, chunks: list[int], ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> JobUpdate:
        """These chunks of a job's record as they will be once `ends` and `starts` are true."""
        main = records.job_key(self.shard, job.id)
        conditions = {records.shard_key(self.shard): self.token, main: job.key_versions[0]}
        changes = []
        for number in chunks:
            chunk = encode_chunk(self.context, job, number, ends, starts, self.commit_log.durable)
            if number == 0:
                record = JobRecord(job.spec, job.submitted_ms, job.cancelled, chunk)
                changes.append(put_change(main, record))
            else:
                key = records.chunk_key(self.shard, job.id, number)
                conditions[key] = job.key_versions.get(number, 0)
                changes.append(put_change(key, chunk))
        return JobUpdate(job, conditions, changes, ends, starts, "", False, chunks)

    def draft_checkpoints(self, limit: int) -> list[JobUpdate]:
        """Up to `most` chunks of records rewritten, so that segments of the log come free."""
        chunks: dict[int, list[int]] = {}
        for index, number in self.commit_log.oldest_dirty(limit):
            chunks.setdefault(index, []).append(number)
        jobs = [self.jobs[index] for index in chunks if index in self.jobs]
        good = [
            job for job in jobs if not (job.stale or self.context.is_quarantined("job", job.id))
        ]
        return [self._rewrite(job, chunks[job.index], {}, {}) for job in good]

    def draft_log_change(
        self, job: Job, starting: bool, chunks: int, tasks: int
    ) -> tuple[JobUpdate, JobChange] | None:
        """A job's part of the next commit of the log, of at most so many chunks and tasks."""
        if job.terminal_state or job.stale:
            return None
        starts = self._startable(job) if starting else {}
        ends = {t: w for t, w in job.pending_ends.items() if t in job.placements}
        if not ends and not starts:
            return None
        chosen = set(densest_chunks((*ends, *starts), chunks))
        ends = {t: w for t, w in ends.items() if t // TASKS_PER_CHUNK in chosen}
        starts = {t: placement for t, placement in starts.items() if t // TASKS_PER_CHUNK in chosen}
        ends = dict(list(ends.items())[:tasks])
        starts = {
            t: placement for t, placement in starts.items() if t in ends or t not in job.placements
        }
        starts = dict(list(starts.items())[: tasks - len(ends)])
        self._keep_to_value(job, ends, starts)
        if not ends and not starts:
            return None
        done = [t for t, error in ends.items() if error == api.W_DONE]
        freed = [t for t, error in ends.items() if error != api.W_DONE]
        placed = [encode_placement(self.context, t, placement) for t, placement in starts.items()]
        change = JobChange(job.id, placed, done, freed)
        conditions = {records.job_key(self.shard, job.id): job.key_versions[0]}
        for number in change.chunks() - {0}:
            key = records.chunk_key(self.shard, job.id, number)
            conditions[key] = job.key_versions.get(number, 0)
        return JobUpdate(job, conditions, [], ends, starts, "", False, []), change

    def _keep_to_value(
        self, job: Job, ends: dict[int, int], starts: dict[int, TaskPlacement]
    ) -> None:
        """Leaves starts for later until the chunks' records fit a value each: a checkpoint and a
        cancellation have to rewrite them, whatever the log has room for."""
        limit = self.context.settings.settings.state.value_kb * 1000 - RESERVED_VALUE_BYTES
        for number in self._large_chunks(job, starts, limit):
            while mine := [task for task in starts if task // TASKS_PER_CHUNK == number]:
                (written,) = self._rewrite(job, [number], ends, starts).changes
                size = len(msgspec.json.encode(written))
                if size <= limit:
                    break
                if len(mine) == 1 and not job.placements:
                    raise ValueError(f"a record of {size} bytes, of {limit} allowed")
                for task in mine[len(mine) // 2 :]:
                    del starts[task]
                    del job.pending_starts[task]
                    job.retry_at[task] = self.context.now() + 1.0

    def _large_chunks(self, job: Job, starts: dict[int, TaskPlacement], limit: float) -> list[int]:
        """Chunks with starts that may not fit: by a quick bound, for encoding them costs more."""
        sizes = {task // TASKS_PER_CHUNK: MAX_CHUNK_OVERHEAD_BYTES for task in starts}
        if not sizes:
            return []
        if 0 in sizes:
            sizes[0] += len(msgspec.json.encode(job.spec))
        for task, placement in (*starts.items(), *job.placements.items()):
            number = task // TASKS_PER_CHUNK
            if number in sizes:
                names = len(self.context.machine_names[placement.machine]) + len(
                    self.context.zone_names[placement.zone]
                )
                sizes[number] += names + PLACEMENT_BYTES
        return [number for number, size in sizes.items() if size > limit]

    def _drop_late(self, job: Job) -> None:
        """Starts whose room is given to others before their list comes wait again, unwritten.

        While changes are few they were recorded all the same and refused by the machine's owner:
        a quarter of the starts of an array of 25,000 tasks, each of them two changes.
        """
        last = self.context.now() + PUBLISH_DELAY_S
        for task in [
            t for t, placement in job.pending_starts.items() if placement.reserved_until < last
        ]:
            del job.pending_starts[task]

    def draft_cancellation(self, job: Job) -> JobUpdate:
        """A cancellation, written before it is answered."""
        main = records.job_key(self.shard, job.id)
        conditions = {records.shard_key(self.shard): self.token, main: job.key_versions[0]}
        chunk = encode_chunk(self.context, job, 0, {}, {}, self.commit_log.durable)
        record = JobRecord(job.spec, job.submitted_ms, True, chunk)
        return JobUpdate(job, conditions, [put_change(main, record)], {}, {}, "", True, [0])

    def apply_update(self, update: JobUpdate, revision: int) -> None:
        """The draft is durable: make it true here."""
        job = update.job
        if update.terminal_state:
            self.remove(job.index)
            job.terminal_state = update.terminal_state
            event = counters.DONE if update.terminal_state == api.DONE else counters.CANCELLED
            self.context.counters.increment(job.spec.team, job.spec.cls, event)
            job.completed += sum(1 for why in update.pending_ends.values() if why == api.W_DONE)
            self.record_terminal_state(job.id, update.terminal_state, job.completed)
            self.dirty_jobs.discard(job.index)
            self.commit_log.forget(job.index, job.id, records.chunks_of(job.spec.tasks))
            parts = (n for n in job.key_versions if n)
            self.schedule_key_deletion(records.chunk_key(self.shard, job.id, n) for n in parts)
            log.info("job %s: %s", job.id, update.terminal_state)
            return
        for number in update.chunks:
            job.key_versions[number] = revision
            self.commit_log.covered((job.index, number), self.commit_log.durable)
        if update.chunks:
            self.commit_log.trim(job.index, job.id)
        if 0 in update.chunks:
            job.outcome_unknown = False  # what was sent before can't be executed any more
            job.uncertain_chunks.clear()
        job.uncertain_chunks.difference_update(update.chunks)
        if update.cancel:
            job.cancelled = True
            job.pending_starts.clear()
            self.dirty_jobs.add(job.index)
            for task in job.placements:
                self.republish_task(job, task)
            log.info("job %s: cancelled, %d tasks to stop", job.id, len(job.placements))
        for task, error in update.pending_ends.items():
            if task in job.placements:
                self._remove_placement(job, task)
            if job.pending_ends.get(task) == error:
                del job.pending_ends[task]
            if error == api.W_DONE:
                job.task_states[task] = DONE
                job.completed += 1
                if job.completed == 1:
                    self.republish_job(job)
            else:
                job.task_states[task] = PENDING
                job.first_pending = min(job.first_pending, task)
        if update.pending_starts:
            many = len(update.pending_starts)
            self.context.counters.increment(job.spec.team, job.spec.cls, counters.STARTED, many)
        for task, placement in update.pending_starts.items():
            if job.pending_starts.get(task) is placement:
                del job.pending_starts[task]
            job.placements[task] = placement
            job.task_states[task] = PLACED
            job.attempts[task] = placement.attempt
            self._add_placement(job, task, placement)
            log.info(
                "task %s attempt %d: placed on %s",
                api.task_name(job.id, task),
                placement.attempt,
                self.context.machine_names[placement.machine],
            )

    def status(self, job: Job) -> api.JobStatus:
        running = sum(
            1
            for placement in job.placements.values()
            if placement.observed_state in (api.ON, api.SAVING)
        )
        state = api.CANCELLED if job.cancelled else api.RUNNING if running else api.QUEUED
        return api.JobStatus(job.id, state, job.completed, running)


def job_message(job: Job) -> pb.Job:
    spec = job.spec
    return pb.Job(
        id=job.id,
        team=job.team,
        rank=spec.rank,
        cpus=spec.cpus,
        gpus=spec.gpus,
        memory_gb=spec.memory_gb,
        image=spec.image,
        image_gb=spec.image_gb,
        checkpoint_s=spec.checkpoint_s,
        save_s=spec.save_s,
        service=spec.service,
        estimate_s=spec.estimate_s,
        spot=spec.spot,
        guaranteed=job.guaranteed,
        failure_evidence=job.failure_evidence,
    )

"""A job shard: its jobs, what is durable of them, and what it wants of machines.

What is durable (`Job.state`, `tries`, `places`) changes only when the state service has
said so. What should change next is held beside it (`ends`, `starts`) until it is written.
"""

import logging
from collections.abc import Iterable

import msgspec

from starlingdeck.context import World
from starlingdeck.interning import split_key, task_key
from starlingdeck.jobs.commit_log import CommitLog
from starlingdeck.jobs.job import (
    DONE,
    PENDING,
    PLACED,
    Draft,
    Job,
    Out,
    Place,
    densest,
    encode_chunk,
    placement,
)
from starlingdeck.machines.shard_snapshot import Sight
from starlingdeck.metrics import counters as tally
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import JobChange
from starlingdeck.storage.records import CHUNK, JobRecord
from starlingdeck.storage.state import drop, put

log = logging.getLogger(__name__)

FINALS_KEPT = 5000  # jobs that are over and answered without a question; the record knows all
PARTS_KEPT_S = 10.0  # (start) of ended arrays: a look that began before the end reads them still
SPARE_BYTES = 200  # of a value, left free by starts
PLACEMENT_BYTES = 45  # of one in a record, beside its names
LARGEST_REST = 3000  # bytes of a chunk beside placements and the job's description
LISTED_S = 0.3  # (start) from a record's writing until its machine's owner has the list


class JobShard:
    """The jobs of one shard, while this node holds it."""

    def __init__(self, world: World, shard: int, token: int, gen: int) -> None:
        self.world = world
        self.shard = shard
        self.token = token
        self.base = token
        self.gen = gen
        self.jobs: dict[int, Job] = {}
        self.dirty: set[int] = set()
        self.finals: dict[str, str] = {}
        self.final_done: dict[str, int] = {}  # how many of its tasks completed
        self.loaded = False
        self.outs = [Out() for _ in range(world.shards)]
        self.here: dict[int, set[int]] = {}  # machine -> keys of the tasks recorded there
        self.shed: set[int] = set()  # keys of the tasks that their machine gives up
        self.use: dict[int, int] = {}  # count -> units that the recorded attempts hold
        self.released = False  # since the last plan: units of counts came free
        self.cancelling: dict[int, float] = {}  # jobs: when a cancellation of unknown fate was sent
        self.replicas = False  # since the last plan: replicas came, or lost their place
        value_bytes = world.settings.settings.state.value_kb * 1000
        self.log = CommitLog(shard, token, value_bytes)
        self.old_parts: dict[str, float] = {}  # keys of ended arrays -> from when to delete them

    # --- the jobs, and where their tasks are

    def adopt(self, job: Job) -> None:
        """Take a job as read from its record, in place of what was known of it."""
        self.forget(job.index)
        self.jobs[job.index] = job
        self.dirty.add(job.index)
        for task, place in job.places.items():
            self._settle(job, task, place)

    def forget(self, index: int) -> None:
        job = self.jobs.pop(index, None)
        if job is not None:
            for task in list(job.places):
                self._leave(job, task)

    def leave_parts(self, keys: Iterable[str]) -> None:
        """Parts of the records of ended arrays: read by every takeover until they are deleted."""
        due = self.world.now() + PARTS_KEPT_S
        for key in keys:
            self.old_parts.setdefault(key, due)

    def keep_final(self, name: str, state: str, done: int) -> None:
        """A job is over. The oldest are forgotten here, whoever asks: of one-task jobs, four a
        second, a day's were kept, since only a question about an unknown job dropped any."""
        self.finals[name], self.final_done[name] = state, done
        while len(self.finals) > FINALS_KEPT:
            oldest = next(iter(self.finals))
            del self.finals[oldest], self.final_done[oldest]

    def _settle(self, job: Job, task: int, place: Place) -> None:
        key = task_key(job.index, task)
        self.here.setdefault(place.machine, set()).add(key)
        self.outs[place.shard].changed.add(key)
        for count, units in job.needs:
            self.use[count] = self.use.get(count, 0) + units

    def _leave(self, job: Job, task: int) -> None:
        place = job.places.pop(task)
        key = task_key(job.index, task)
        found = self.here.get(place.machine)
        if found is not None:
            found.discard(key)
            if not found:
                del self.here[place.machine]
        self.shed.discard(key)
        out = self.outs[place.shard]
        out.changed.discard(key)
        out.gone.add((key, place.machine))
        for count, units in job.needs:
            self.use[count] -= units

    def relist(self, job: Job, task: int) -> None:
        """What is wanted of a recorded task has changed: it is to stop."""
        self.outs[job.places[task].shard].changed.add(task_key(job.index, task))

    def set_guaranteed(self, job: Job, guaranteed: bool) -> None:
        if job.guaranteed != guaranteed:
            job.guaranteed = guaranteed
            self.tell_of(job)

    def tell_of(self, job: Job) -> None:
        """Machines' owners where it runs are to know what it is like now."""
        for shard in {p.shard for p in job.places.values()}:
            self.outs[shard].jobs.add(job.index)

    # --- what is seen

    def apply_view(self, sight: Sight, touched: set[int] | None) -> bool:
        """Judge the recorded attempts on the machines touched (None: on all), on those proven
        gone, and those whose list has just been applied; True if anything changed."""
        out = self.outs[sight.shard]
        token, seq = sight.acks.get(self.shard, (0, 0))
        # Only the holder our list was made for may say that something is absent.
        current = out.gen == sight.gen
        if current and token == self.base:
            out.acked = max(out.acked, seq)
        machines = set(self.here) if touched is None else touched & self.here.keys()
        machines |= sight.dead & self.here.keys()
        keys = {key for machine in machines for key in self.here[machine]}
        if current and out.unacked and out.unacked[0][0] <= out.acked:
            keys.update(key for listed, key in out.unacked if listed <= out.acked)
            out.unacked = [item for item in out.unacked if item[0] > out.acked]
        changed = False
        for key in keys:
            index, task = split_key(key)
            job = self.jobs.get(index)
            place = job.places.get(task) if job is not None else None
            if job is None or place is None or place.shard != sight.shard:
                continue
            try:
                changed |= self._judge(sight, out, current, job, task, place)
            except Exception as why:
                self.world.set_aside("job", job.id, why)
        return changed

    def _judge(
        self, sight: Sight, out: Out, current: bool, job: Job, task: int, place: Place
    ) -> bool:
        if task in job.ends:
            return False
        now, changed = self.world.now(), False
        machine = sight.machines.get(place.machine)
        proof, why = "", api.W_NONE
        if place.machine in sight.dead and current and sight.valid:
            proof = "its machine is gone"
        elif machine is None:
            return False
        elif machine.session > place.session:
            proof = "a newer session"
        elif machine.dead and place.session == machine.session and current and sight.valid:
            proof = "its machine's lease is over"
        elif (item := sight.task(place.machine, job.id, task, place.attempt)) is not None:
            place.shed = item.shed
            key = task_key(job.index, task)
            (self.shed.add if item.shed else self.shed.discard)(key)
            if item.state != place.seen:
                # `since` is not known of places read from a record: those began long ago.
                if item.state == api.ON and place.attempt == 1 and place.since > 0:
                    waited_s = (self.world.wall_ms() - job.at_ms) / 1000
                    self.world.meters.note(f"wait {job.spec.priority}", waited_s)
                place.seen, place.since = item.state, now
                changed = True
            if item.state == api.EXITED:
                why = item.why
                proof = f"exit {api.WHY_NAMES.get(why, 'unnamed')}"
        elif (
            current
            and sight.valid
            and machine.fenced
            and machine.session == place.session
            and place.listed_gen == sight.gen
            and 0 < place.listed <= out.acked
        ):
            proof = "not started"
        if proof:
            self._end(job, task, place, why, proof)
        return changed or bool(proof)

    def _end(self, job: Job, task: int, place: Place, why: int, proof: str) -> None:
        if job.spec.service:
            self.replicas = True
            why = api.W_ERROR if why == api.W_DONE else why
        job.ends[task] = why
        if job.needs:
            job.proofs = (job.proofs or {}) | {task: (proof, self.world.now())}
            self.released = True
        self.dirty.add(job.index)
        target = place.target
        moves = target is not None and why != api.W_DONE and not job.cancelled
        if moves and target is not None and self.world.now() < target.until:
            # The source has confirmed the stop: the reserved target takes the task.
            job.starts[task] = target
        log.info(
            "task %s attempt %d: freed from %s (%s)",
            api.task_name(job.id, task),
            place.attempt,
            self.world.machines[place.machine],
            proof,
        )
        if why == api.W_STOPPED and not (job.cancelled or target or place.yields or place.shed):
            self.world.tally.note(job.spec.team, job.spec.cls, tally.STOPPED)
        now = self.world.now()
        if why == api.W_ERROR:
            known = job.known
            job.failed_on.add(place.machine)
            job.avoid.setdefault(task, set()).add(place.machine)
            suspect = len(job.failed_on) >= self.world.tuning.suspect_machines
            if suspect and now >= job.hold_until:
                # It fails wherever it runs: probe seldom, so that it doesn't burn the fleet. Errors
                # that come together are one: by each of them it waited a minute at once.
                job.errors += 1
                job.hold_until = now + min(60.0, 2.0 * 2 ** min(job.errors, 6))
            if known != job.known:
                self.tell_of(job)
        elif why == api.W_DONE:
            job.errors = 0
            job.failed_on.clear()
        elif why in (api.W_BUSY, api.W_NO_ROOM, api.W_UNKNOWN):
            job.retry_at[task] = now + (1.0 if why != api.W_NO_ROOM else 0.2)

    # --- what is wanted

    def unknown_cancels(self) -> dict[int, float]:
        """Jobs that may be recorded, and so called, cancelled without this holder knowing, and
        since when."""
        self.cancelling = {
            i: at
            for i, at in self.cancelling.items()
            if (job := self.jobs.get(i)) is not None and job.unsure and not job.cancelled
        }
        return self.cancelling

    def wants(self, to_shard: int, to_gen: int, whole: bool = False, echo_ms: int = 0) -> pb.Wants:
        """What this shard wants of a machine shard: the difference to the last list, or all.

        To be made only while the shard surely is ours: its receiver takes it for the word that
        nothing else was cancelled up to the time that it echoes.
        """
        world, out = self.world, self.outs[to_shard]
        whole = whole or out.whole or out.gen != to_gen
        if out.gen != to_gen:
            out.gen, out.acked, out.unacked = to_gen, 0, []
        out.seq += 1
        msg = pb.Wants(
            from_shard=self.shard,
            from_token=self.base,
            to_shard=to_shard,
            to_gen=to_gen,
            seq=out.seq,
            whole=whole,
            echo_ms=echo_ms,
        )
        numbers: dict[int, int] = {}
        if whole:
            keys = {
                task_key(job.index, task)
                for job in self.jobs.values()
                for task, place in job.places.items()
                if place.shard == to_shard
            }
        else:
            keys = out.changed
            for key, machine in out.gone:
                index, task = split_key(key)
                msg.gone.add(job=world.jobs[index], task=task, machine=world.machines[machine])
            for index in out.jobs & self.jobs.keys():
                numbers[index] = len(msg.jobs)
                msg.jobs.append(job_message(self.jobs[index]))
        for key in keys:
            index, task = split_key(key)
            job = self.jobs[index]
            place = job.places[task]
            number = numbers.get(index)
            if number is None:
                number = numbers[index] = len(msg.jobs)
                msg.jobs.append(job_message(job))
            if place.listed_gen != to_gen:
                place.listed, place.listed_gen = out.seq, to_gen
                out.unacked.append((out.seq, key))
            msg.items.add(
                job=number,
                task=task,
                attempt=place.attempt,
                machine=world.machines[place.machine],
                session=place.session,
                # One that is over and not yet recorded so stays listed, for nobody reaps it before;
                # a new holder knows nothing of its refusal, and would start it.
                stop=job.cancelled or place.target is not None or place.yields or task in job.ends,
                grace_s=0.0 if job.cancelled else place.grace_s,
                kept=place.kept,
            )
        out.whole = False
        out.changed, out.gone, out.jobs = set(), set(), set()
        out.sent_at = world.now()
        return msg

    # --- making it durable

    def final_of(self, job: Job) -> str:
        """The state in which a job is over once its ends are written, or nothing."""
        ends = [t for t in job.ends if t in job.places]
        if job.cancelled:
            # Its user was told so: it stays cancelled even when every task completed.
            return "" if len(job.places) > len(ends) else api.CANCELLED
        return api.DONE if self._finished(job) == job.spec.tasks else ""

    def _finished(self, job: Job) -> int:
        """How many tasks have completed, those that are yet to be written among them."""
        ended = (why for task, why in job.ends.items() if task in job.places)
        return job.finished + sum(why == api.W_DONE for why in ended)

    def draft(self, job: Job, most_chunks: int = 3, starting: bool = True) -> Draft | None:
        """The next write of a job's record, or None when nothing is to be written.

        `starting`: whether starts may be in it.
        """
        if job.final or job.stale:
            return None
        ends = {t: w for t, w in job.ends.items() if t in job.places}
        starts = self._startable(job) if starting else {}
        main = records.job_key(self.shard, job.id)
        holder = records.shard_key(self.shard)
        conditions = {holder: self.token, main: job.versions[0]}
        if final := self.final_of(job):
            key = records.final_key(self.shard, job.id)
            done = 0 if final == api.DONE else self._finished(job)
            value = records.FinalRecord(final, job.spec.tasks, done)
            return Draft(job, conditions, [put(key, value), drop(main)], ends, {}, final, False, [])
        if not ends and not starts:
            return None
        most = min(most_chunks, self.world.settings.settings.state.txn_ops)
        chunks = densest((*ends, *starts), most)
        ends = {t: w for t, w in ends.items() if t // CHUNK in chunks}
        starts = {t: p for t, p in starts.items() if t // CHUNK in chunks}
        return self._rewrite(job, chunks, ends, starts)

    def _startable(self, job: Job) -> dict[int, Place]:
        self._drop_late(job)
        if job.cancelled:
            return {}
        return {t: place for t, place in job.starts.items() if t not in job.withheld}

    def _rewrite(
        self, job: Job, chunks: list[int], ends: dict[int, int], starts: dict[int, Place]
    ) -> Draft:
        """These chunks of a job's record as they will be once `ends` and `starts` are true."""
        main = records.job_key(self.shard, job.id)
        conditions = {records.shard_key(self.shard): self.token, main: job.versions[0]}
        changes = []
        for number in chunks:
            chunk = encode_chunk(self.world, job, number, ends, starts, self.log.durable)
            if number == 0:
                record = JobRecord(job.spec, job.at_ms, job.cancelled, chunk)
                changes.append(put(main, record))
            else:
                key = records.chunk_key(self.shard, job.id, number)
                conditions[key] = job.versions.get(number, 0)
                changes.append(put(key, chunk))
        return Draft(job, conditions, changes, ends, starts, "", False, chunks)

    def draft_checkpoints(self, most: int) -> list[Draft]:
        """Up to `most` chunks of records rewritten, so that segments of the log come free."""
        chunks: dict[int, list[int]] = {}
        for index, number in self.log.oldest_dirty(most):
            chunks.setdefault(index, []).append(number)
        jobs = [self.jobs[index] for index in chunks if index in self.jobs]
        good = [job for job in jobs if not (job.stale or self.world.rests("job", job.id))]
        return [self._rewrite(job, chunks[job.index], {}, {}) for job in good]

    def draft_change(
        self, job: Job, starting: bool, chunks: int, tasks: int
    ) -> tuple[Draft, JobChange] | None:
        """A job's part of the next commit of the log, of at most so many chunks and tasks."""
        if job.final or job.stale:
            return None
        starts = self._startable(job) if starting else {}
        ends = {t: w for t, w in job.ends.items() if t in job.places}
        if not ends and not starts:
            return None
        chosen = set(densest((*ends, *starts), chunks))
        ends = {t: w for t, w in ends.items() if t // CHUNK in chosen}
        starts = {t: p for t, p in starts.items() if t // CHUNK in chosen}
        ends = dict(list(ends.items())[:tasks])
        starts = {t: p for t, p in starts.items() if t in ends or t not in job.places}
        starts = dict(list(starts.items())[: tasks - len(ends)])
        self._keep_to_value(job, ends, starts)
        if not ends and not starts:
            return None
        done = [t for t, why in ends.items() if why == api.W_DONE]
        freed = [t for t, why in ends.items() if why != api.W_DONE]
        placed = [placement(self.world, t, place) for t, place in starts.items()]
        change = JobChange(job.id, placed, done, freed)
        conditions = {records.job_key(self.shard, job.id): job.versions[0]}
        for number in change.chunks() - {0}:
            key = records.chunk_key(self.shard, job.id, number)
            conditions[key] = job.versions.get(number, 0)
        return Draft(job, conditions, [], ends, starts, "", False, []), change

    def _keep_to_value(self, job: Job, ends: dict[int, int], starts: dict[int, Place]) -> None:
        """Leaves starts for later until the chunks' records fit a value each: a checkpoint and a
        cancellation have to rewrite them, whatever the log has room for."""
        most = self.world.settings.settings.state.value_kb * 1000 - SPARE_BYTES
        for number in self._large_chunks(job, starts, most):
            while mine := [task for task in starts if task // CHUNK == number]:
                (written,) = self._rewrite(job, [number], ends, starts).changes
                size = len(msgspec.json.encode(written))
                if size <= most:
                    break
                if len(mine) == 1 and not job.places:
                    raise ValueError(f"a record of {size} bytes, of {most} allowed")
                for task in mine[len(mine) // 2 :]:
                    del starts[task]
                    del job.starts[task]
                    job.retry_at[task] = self.world.now() + 1.0

    def _large_chunks(self, job: Job, starts: dict[int, Place], most: float) -> list[int]:
        """Chunks with starts that may not fit: by a quick bound, for encoding them costs more."""
        sizes = {task // CHUNK: LARGEST_REST for task in starts}
        if not sizes:
            return []
        if 0 in sizes:
            sizes[0] += len(msgspec.json.encode(job.spec))
        for task, place in (*starts.items(), *job.places.items()):
            number = task // CHUNK
            if number in sizes:
                names = len(self.world.machines[place.machine]) + len(self.world.zones[place.zone])
                sizes[number] += names + PLACEMENT_BYTES
        return [number for number, size in sizes.items() if size > most]

    def _drop_late(self, job: Job) -> None:
        """Starts whose room is given to others before their list comes wait again, unwritten.

        While changes are few they were recorded all the same and refused by the machine's owner:
        a quarter of the starts of an array of 25,000 tasks, each of them two changes.
        """
        last = self.world.now() + LISTED_S
        for task in [t for t, place in job.starts.items() if place.until < last]:
            del job.starts[task]

    def draft_cancel(self, job: Job) -> Draft:
        """A cancellation, written before it is answered."""
        main = records.job_key(self.shard, job.id)
        conditions = {records.shard_key(self.shard): self.token, main: job.versions[0]}
        chunk = encode_chunk(self.world, job, 0, {}, {}, self.log.durable)
        record = JobRecord(job.spec, job.at_ms, True, chunk)
        return Draft(job, conditions, [put(main, record)], {}, {}, "", True, [0])

    def commit(self, draft: Draft, revision: int) -> None:
        """The draft is durable: make it true here."""
        job = draft.job
        if draft.final:
            self.forget(job.index)
            job.final = draft.final
            event = tally.DONE if draft.final == api.DONE else tally.CANCELLED
            self.world.tally.note(job.spec.team, job.spec.cls, event)
            job.finished += sum(1 for why in draft.ends.values() if why == api.W_DONE)
            self.keep_final(job.id, draft.final, job.finished)
            self.dirty.discard(job.index)
            self.log.forget(job.index, job.id, records.chunks_of(job.spec.tasks))
            parts = (n for n in job.versions if n)
            self.leave_parts(records.chunk_key(self.shard, job.id, n) for n in parts)
            log.info("job %s: %s", job.id, draft.final)
            return
        for number in draft.chunks:
            job.versions[number] = revision
            self.log.covered((job.index, number), self.log.durable)
        if draft.chunks:
            self.log.trim(job.index, job.id)
        if 0 in draft.chunks:
            job.unsure = False  # what was sent before can't be executed any more
            job.in_doubt.clear()
        job.in_doubt.difference_update(draft.chunks)
        if draft.cancel:
            job.cancelled = True
            job.starts.clear()
            self.dirty.add(job.index)
            for task in job.places:
                self.relist(job, task)
            log.info("job %s: cancelled, %d tasks to stop", job.id, len(job.places))
        for task, why in draft.ends.items():
            if task in job.places:
                self._leave(job, task)
            if job.ends.get(task) == why:
                del job.ends[task]
            if why == api.W_DONE:
                job.state[task] = DONE
                job.finished += 1
                if job.finished == 1:
                    self.tell_of(job)
            else:
                job.state[task] = PENDING
                job.first_pending = min(job.first_pending, task)
        if draft.starts:
            many = len(draft.starts)
            self.world.tally.note(job.spec.team, job.spec.cls, tally.STARTED, many)
        for task, place in draft.starts.items():
            if job.starts.get(task) is place:
                del job.starts[task]
            job.places[task] = place
            job.state[task] = PLACED
            job.tries[task] = place.attempt
            self._settle(job, task, place)
            log.info(
                "task %s attempt %d: placed on %s",
                api.task_name(job.id, task),
                place.attempt,
                self.world.machines[place.machine],
            )

    def status(self, job: Job) -> api.JobStatus:
        running = sum(1 for p in job.places.values() if p.seen in (api.ON, api.SAVING))
        state = api.CANCELLED if job.cancelled else api.RUNNING if running else api.QUEUED
        return api.JobStatus(job.id, state, job.finished, running)


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
        known=job.known,
    )

"""Reads a shard's jobs: all of them after a takeover, one when its record may have changed."""

import logging
from collections.abc import Awaitable, Callable

import msgspec

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.job import Job, load_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import LogContents, log_prefix, read_segments, replay
from starlingdeck.storage.records import Chunk, FinalRecord, JobRecord
from starlingdeck.storage.state import StateClient, StateError

log = logging.getLogger(__name__)

Parts = dict[int, tuple[int, Chunk]]  # number of a chunk -> version of its key, and what it holds


class Loader:
    """One per job shard. `settle` finds out what became of a commit whose answer was lost: what
    is read of a job before that may be older than what others read."""

    def __init__(
        self,
        context: ControllerContext,
        state: StateClient,
        shard: JobShard,
        settle: Callable[[], Awaitable[None]],
    ) -> None:
        self.context = context
        self.state = state
        self.shard = shard
        self.settle = settle
        self.hidden: dict[str, str] = {}  # job -> why not all that became of it can be known

    async def load(self) -> None:
        """Read the shard's unfinished jobs after taking it over."""
        shard = self.shard.shard
        mains, _ = await self.state.read(records.job_prefix(shard))
        parts, _ = await self.state.read(records.chunk_prefix(shard))
        segments, _ = await self.state.read(log_prefix(shard))
        view = read_segments(segments)
        for segment in view.unreadable:
            self.context.quarantine_failed("segment", str(segment.slot), ValueError(segment.error))
        self.shard.commit_log.adopt(view)
        self.shard.commit_log.pin(view.unreadable_job_slots)
        chunks, broken = self._chunks(parts)
        unfinished = {entry.key.rsplit("/", 1)[1] for entry in mains}
        self.shard.schedule_key_deletion(
            e.key for e in parts if e.key.split("/")[2] not in unfinished
        )
        for entry in mains:
            name = entry.key.rsplit("/", 1)[1]
            if name in broken:
                self.shard.commit_log.pin(logged.slot for logged in view.changes_of(name))
                continue
            try:
                self._take(entry, chunks.get(name, {}), view)
            except Exception as error:
                self.context.quarantine_failed("record", entry.key, error)
                self.shard.commit_log.pin(logged.slot for logged in view.changes_of(name))
        self.shard.loaded = True
        log.info("shard %d: %d unfinished jobs read", shard, len(mains))

    def _chunks(self, parts: list[api.Entry]) -> tuple[dict[str, Parts], set[str]]:
        """Further chunks by job, and jobs of which one can't be read: of those nothing may run,
        for what runs already isn't known."""
        chunks: dict[str, Parts] = {}
        broken: set[str] = set()
        for entry in parts:
            _, _, job, number = entry.key.split("/")
            try:
                value = msgspec.json.decode(entry.value, type=Chunk)
                chunks.setdefault(job, {})[int(number)] = (entry.version, value)
            except Exception as error:
                self.context.quarantine_failed("record", entry.key, error)
                broken.add(job)
        return chunks, broken

    def _take(self, entry: api.Entry, parts: Parts, view: LogContents) -> None:
        main = msgspec.json.decode(entry.value, type=JobRecord)
        name = main.spec.id
        many = records.chunks_of(main.spec.tasks)
        if hidden := view.incomplete_reason(name, entry.version, main.cancelled, many):
            self.hidden[name] = hidden
            raise ValueError(hidden)
        index = self.context.job_names.intern(name)
        stored = {0: main.chunk, **{n: chunk for n, (_, chunk) in parts.items()}}
        self.shard.commit_log.adopt_job(index, name, stored, view.changes_of(name))
        self._adopt(entry, main, parts)

    def _adopt(self, entry: api.Entry, main: JobRecord, parts: Parts) -> Job:
        """Take a job as its record and the log have it, in place of what was known of it."""
        stored = {0: main.chunk, **{n: chunk for n, (_, chunk) in parts.items()}}
        chunks = replay(stored, self.shard.commit_log.tail.get(main.spec.id, ()))
        main.chunk = chunks.pop(0)
        job = load_job(self.context, self.shard.shard, main, chunks)
        job.key_versions = {0: entry.version, **{n: v for n, (v, _) in parts.items()}}
        for number, chunk in stored.items():
            self.shard.commit_log.covered((job.index, number), chunk.applied_position)
        old = self.shard.jobs.get(job.index)
        if old is not None:
            _keep_seen(job, old, entry.version)
        self.shard.adopt(job)
        return job

    async def reload(self, name: str) -> Job | None:
        """Look again at a job whose record may have changed under us."""
        await self.settle()
        if name in self.hidden:
            raise StateError(self.hidden[name])
        shard = self.shard.shard
        index = self.context.job_names.find(name)
        before = self.shard.jobs.get(index) if index is not None else None
        entry = await self.state.get(records.job_key(shard, name), True)
        if entry is None:
            await self._reload_final(name, before)
            return None
        try:
            main = msgspec.json.decode(entry.value, type=JobRecord)
            found: list[api.Entry] = []
            if main.spec.tasks > records.TASKS_PER_CHUNK:
                found, _ = await self.state.read(records.chunk_key(shard, name, None))
            parts = {
                int(e.key.rsplit("/", 1)[1]): (e.version, msgspec.json.decode(e.value, type=Chunk))
                for e in found
            }
            return self._adopt(entry, main, parts)
        except (ValueError, LookupError, msgspec.DecodeError) as error:
            self.context.quarantine_failed("record", entry.key, error)
            raise StateError("the job's record can't be read") from error

    async def _reload_final(self, name: str, before: Job | None) -> None:
        final = await self.state.get(records.final_key(self.shard.shard, name), True)
        # Not one that was created while we looked.
        if before is not None and self.shard.jobs.get(before.index) is before:
            self.shard.remove(before.index)
            chunks = records.chunks_of(before.spec.tasks)
            self.shard.commit_log.forget(before.index, name, chunks)
        if final is not None:
            value = msgspec.json.decode(final.value, type=FinalRecord)
            self.shard.record_terminal_state(name, value.state, value.completed)

    async def reload_stale(self) -> None:
        for job in [j for j in self.shard.jobs.values() if j.stale]:
            await self.reload(job.id)


def _keep_seen(job: Job, old: Job, version: int) -> None:
    """Keep what was seen of attempts that are still recorded, and what is still in doubt."""
    for task, placement in job.placements.items():
        before = old.placements.get(task)
        if before is not None and before.attempt == placement.attempt:
            job.placements[task] = before
            if task in old.pending_ends:
                job.pending_ends[task] = old.pending_ends[task]
    job.failed_on, job.errors = old.failed_on, old.errors
    job.backoff_until, job.avoided_machines = old.backoff_until, old.avoided_machines
    job.guaranteed = old.guaranteed
    same = old.key_versions.get(0) == version
    job.outcome_unknown = old.outcome_unknown and same
    if same:
        parts = [
            n for n in old.uncertain_chunks if old.key_versions.get(n) == job.key_versions.get(n)
        ]
        job.uncertain_chunks = set(parts)

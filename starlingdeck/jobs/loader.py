"""Reads a shard's jobs: all of them after a takeover, or one whose record may have changed."""

import logging
from collections.abc import Awaitable, Callable

import msgspec
from msgspec import Struct, field

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.commit_log import ChunkId
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.job_records import load_job
from starlingdeck.jobs.job_shard import JobShard
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.commit_log import LogContents, log_prefix, read_segments, replay
from starlingdeck.storage.records import Chunk, FinalRecord, JobRecord
from starlingdeck.storage.state import StateClient, StateError

log = logging.getLogger(__name__)


class FurtherChunks(Struct):
    """The chunks of a job's record beyond the first, and the versions of their keys."""

    chunks: dict[int, Chunk] = field(default_factory=dict)
    versions: dict[int, int] = field(default_factory=dict)

    def add(self, entry: api.Entry) -> None:
        """Decode and add a chunk. Raises ValueError or DecodeError when it can't be read."""
        number = int(entry.key.rsplit("/", 1)[1])
        self.chunks[number] = msgspec.json.decode(entry.value, type=Chunk)
        self.versions[number] = entry.version


class Loader:
    """Reads the jobs of one job shard.

    `settle` resolves a commit of unknown outcome. It is called before a job is read again, because
    other controllers may already have read and reported that commit.
    """

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
        self.unreadable: dict[str, str] = {}  # job -> why its state can't be known completely

    async def load(self) -> None:
        """Read the shard's unfinished jobs after taking it over."""
        shard = self.shard.shard
        began_at = self.context.now()
        mains, revision = await self.state.read(records.job_prefix(shard))
        chunk_entries, _ = await self.state.read(records.chunk_prefix(shard))
        segments, _ = await self.state.read(log_prefix(shard))
        contents = read_segments(segments)
        for segment in contents.unreadable:
            self.context.quarantine_after_failure(
                "segment", str(segment.slot), ValueError(segment.error)
            )
        commit_log = self.shard.commit_log
        commit_log.adopt(contents)
        commit_log.pin(contents.unreadable_job_slots)
        chunks, unreadable = self._decode_chunks(chunk_entries)
        unfinished = {entry.key.rsplit("/", 1)[1] for entry in mains}
        self.shard.schedule_key_deletion(
            entry.key for entry in chunk_entries if entry.key.split("/")[2] not in unfinished
        )
        for entry in mains:
            name = entry.key.rsplit("/", 1)[1]
            if name in unreadable:
                commit_log.pin(logged.slot for logged in contents.changes_of(name))
                continue
            try:
                self._load_entry(entry, chunks.get(name, FurtherChunks()), contents)
            except Exception as error:  # one job's fault must not hold up the shard
                self.context.quarantine_after_failure("record", entry.key, error)
                commit_log.pin(logged.slot for logged in contents.changes_of(name))
        self.shard.loaded = True
        log.info(
            "shard jobs loaded: shard=%d unfinished_jobs=%d token=%d revision=%d seconds=%.3f",
            shard,
            len(mains),
            self.shard.token,
            revision,
            self.context.now() - began_at,
        )

    def _decode_chunks(self, entries: list[api.Entry]) -> tuple[dict[str, FurtherChunks], set[str]]:
        """Return the further chunks by job, and the jobs with a chunk that can't be read.

        No task of the latter may be started, because it isn't known which ones run already.
        """
        chunks: dict[str, FurtherChunks] = {}
        unreadable: set[str] = set()
        for entry in entries:
            _, _, job, _ = entry.key.split("/")
            try:
                chunks.setdefault(job, FurtherChunks()).add(entry)
            except Exception as error:  # one job's fault must not hold up the shard
                self.context.quarantine_after_failure("record", entry.key, error)
                unreadable.add(job)
        return chunks, unreadable

    def _load_entry(self, entry: api.Entry, further: FurtherChunks, contents: LogContents) -> None:
        """Load a job at a takeover from its record and its changes in the log.

        Raises an error when its state can't be known completely.
        """
        main = msgspec.json.decode(entry.value, type=JobRecord)
        name = main.spec.id
        chunk_count = records.max_chunk_count(main.spec.tasks)
        if reason := contents.incomplete_reason(name, entry.version, main.cancelled, chunk_count):
            self.unreadable[name] = reason
            raise ValueError(reason)
        index = self.context.job_names.intern(name)
        stored = {0: main.chunk, **further.chunks}
        self.shard.commit_log.adopt_job(index, name, stored, contents.changes_of(name))
        self._adopt(entry, main, further)

    def _adopt(self, entry: api.Entry, main: JobRecord, further: FurtherChunks) -> Job:
        """Build a job from its record and the log; it replaces the one in memory."""
        commit_log = self.shard.commit_log
        stored = {0: main.chunk, **further.chunks}
        chunks = replay(stored, commit_log.tail.get(main.spec.id, ()))
        main.chunk = chunks.pop(0)
        job = load_job(self.context, self.shard.shard, main, chunks)
        job.key_versions = {0: entry.version, **further.versions}
        for number, chunk in stored.items():
            commit_log.on_checkpointed(ChunkId(job.index, number), chunk.applied_position)
        old = self.shard.jobs.get(job.index)
        if old is not None:
            _keep_observed(job, old, entry.version)
        self.shard.adopt(job)
        log.debug(
            "job read: job=%s version=%d former_version=%d cancelled=%s completed=%d",
            job.id,
            entry.version,
            old.key_versions.get(0, 0) if old is not None else 0,
            job.cancelled,
            job.completed,
        )
        return job

    async def reload(self, name: str) -> Job | None:
        """Reread a job whose record may have changed; return None if it is over.

        Raises StateError when it can't be read.
        """
        await self.settle()
        if name in self.unreadable:
            raise StateError(self.unreadable[name])
        shard = self.shard.shard
        index = self.context.job_names.find(name)
        before = self.shard.jobs.get(index) if index is not None else None
        entry = await self.state.get(records.job_key(shard, name), True)
        if entry is None:
            await self._reload_final(name, before)
            return None
        try:
            main = msgspec.json.decode(entry.value, type=JobRecord)
            further = FurtherChunks()
            if main.spec.tasks > records.TASKS_PER_CHUNK:
                chunk_entries, _ = await self.state.read(records.chunk_key(shard, name, None))
                for chunk_entry in chunk_entries:
                    further.add(chunk_entry)
            return self._adopt(entry, main, further)
        except (ValueError, LookupError, msgspec.DecodeError) as error:
            self.context.quarantine_after_failure("record", entry.key, error)
            raise StateError("the job's record can't be read") from error

    async def _reload_final(self, name: str, before: Job | None) -> None:
        """Remove a job that has no unfinished record any more, and read its final one."""
        final = await self.state.get(records.final_key(self.shard.shard, name), True)
        # Keep a job that was created anew during the reads above.
        if before is not None and self.shard.jobs.get(before.index) is before:
            self.shard.remove(before.index)
            chunk_count = records.max_chunk_count(before.spec.tasks)
            self.shard.commit_log.remove_job(before.index, name, chunk_count)
        if final is not None:
            value = msgspec.json.decode(final.value, type=FinalRecord)
            self.shard.record_terminal_state(name, value.state, value.completed)

    async def reload_stale(self) -> None:
        """Reread all jobs that are marked as stale."""
        for job in [job for job in self.shard.jobs.values() if job.stale]:
            await self.reload(job.id)


def _keep_observed(job: Job, old: Job, version: int) -> None:
    """Copy observations of recorded attempts, failures and uncertain outcomes from `old` to `job`.

    `version` is that of the record from which `job` was read. The outcome of a write stays
    uncertain only while the keys that it changes have the same versions as in `old`.
    """
    for task, placement in job.placements.items():
        before = old.placements.get(task)
        if before is not None and before.attempt == placement.attempt:
            job.placements[task] = before
            if task in old.pending_ends:
                job.pending_ends[task] = old.pending_ends[task]
    job.failed_on, job.errors = old.failed_on, old.errors
    job.backoff_until, job.avoided_machines = old.backoff_until, old.avoided_machines
    job.former_machines = old.former_machines
    job.guaranteed = old.guaranteed
    unchanged = old.key_versions.get(0) == version
    job.outcome_unknown = old.outcome_unknown and unchanged
    if not unchanged:
        return
    job.uncertain_chunks = {
        number
        for number in old.uncertain_chunks
        if old.key_versions.get(number) == job.key_versions.get(number)
    }
    job.uncertain_starts = {
        task: placement
        for task, placement in old.uncertain_starts.items()
        if task not in job.placements
    }

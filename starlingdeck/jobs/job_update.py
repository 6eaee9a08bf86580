"""One job's part of a transaction or of a commit of the log."""

from typing import NamedTuple

from msgspec import Struct, field

from starlingdeck.jobs.job import Job, TaskPlacement
from starlingdeck.protocol import api
from starlingdeck.storage.commit_log import JobChange


class JobUpdate(Struct, kw_only=True):
    """One job's part of a transaction, and what to apply in memory once it is durable."""

    job: Job
    conditions: dict[str, int]  # key -> the version that it must have
    changes: list[api.Change] = field(default_factory=list)
    pending_ends: dict[int, int] = field(default_factory=dict)  # task -> cause of the end
    pending_starts: dict[int, TaskPlacement] = field(default_factory=dict)
    terminal_state: str = ""  # the state in which this update finishes the job, if it does
    cancel: bool = False
    chunks: list[int] = field(default_factory=list)  # chunks of the record that are rewritten


class LogUpdate(NamedTuple):
    """One job's part of a commit of the log: the update to apply and the change to store."""

    update: JobUpdate
    change: JobChange

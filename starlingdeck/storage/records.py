"""The records in the state service: their keys, and their stored form.

A field's stored name is its `name=` where the two differ; stored names never change.

c/n/NODE        a live controller, on its lease
c/h/SHARD       the last takeover; every takeover changes it, so that none can be executed late
c/s/SHARD       the owner of a shard, on the owner's lease; its version is the fencing token
c/i/SHARD/JOB   a notice to the owner that another controller changed this job
c/r/FROM-TO-N   relayed messages between controllers that can't reach each other, part N
j/SHARD/JOB     an unfinished job with its first tasks
t/SHARD/JOB/C   further tasks of a large job
f/SHARD/JOB     the terminal state of a job, kept for ever
w/SHARD/N       a segment of a shard's commit log (storage.commit_log)
c/q/TEAM        how a team's limit is split over the shards
c/u/COUNT       a counted resource's limit, and how many units each shard has
u/COUNT/N       the Nth change that an operator made to a counted resource
m/types         the machine types last read from the cloud
"""

from collections.abc import Sequence

import msgspec
from msgspec import field

from starlingdeck.protocol.api import DONE, JobSpec

TASKS_PER_CHUNK = 256
CLUSTER_PREFIX = "c/"
NODE_PREFIX = "c/n/"
SHARD_PREFIX = "c/s/"
TAKEOVER_PREFIX = "c/h/"
MAILBOX_PREFIX = "c/i/"
RELAY_PREFIX = "c/r/"
QUOTA_PREFIX = "c/q/"
COUNT_PREFIX = "c/u/"
MACHINE_TYPES_KEY = "m/types"


class Position(
    msgspec.Struct, array_like=True, frozen=True, order=True, forbid_unknown_fields=True
):
    """Where a commit stands in a shard's log. Positions are ordered as commits were made."""

    token: int  # under which the writer owned the shard
    number: int  # of the commit since that takeover


LOG_START = Position(0, 0)  # before every commit; that of a chunk no log was ever applied to


class PlacementRecord(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An active attempt of a task, as records and the commit log store it."""

    task: int
    attempt: int
    machine: str
    session: int
    zone: str


class NodeValue(msgspec.Struct):
    """A live controller. `incarnation` is drawn at its start."""

    node: int
    incarnation: int = field(name="boot")


class ShardValue(msgspec.Struct, omit_defaults=True):
    """The owner of a shard.

    `former_leases_end_ms`: the wall-clock time from which no former owner renews workers' leases.
    `logged`: records may be behind the shard's commit log.
    """

    node: int
    epoch: int = field(name="gen")
    former_leases_end_ms: int = field(default=0, name="quiet_ms")
    logged: bool = False


class RelayPart(msgspec.Struct):
    """A fragment of the relayed text numbered `sequence`, which has `part_count` fragments."""

    sequence: int = field(name="text")
    part_count: int = field(name="parts")
    fragment: str = field(name="piece")


class Chunk(msgspec.Struct, omit_defaults=True):
    """The states of TASKS_PER_CHUNK consecutive tasks of a job.

    `attempts`: how many each task has used, without trailing zeros. `completed_bits`: the
    completed tasks, as a hexadecimal bitmap. `applied_position`: the chunk has all that the
    shard's commit log says up to and including it.
    """

    attempts: list[int] = field(default_factory=list, name="tries")
    completed_bits: str = field(default="", name="done")
    placements: list[PlacementRecord] = field(default_factory=list, name="on")
    applied_position: Position = field(default=LOG_START, name="upto")


class JobRecord(msgspec.Struct, omit_defaults=True):
    """An unfinished job, with the chunk of its first tasks."""

    spec: JobSpec
    submitted_ms: int = field(name="at_ms")  # wall-clock time
    cancelled: bool = False
    chunk: Chunk = field(default_factory=Chunk)


class FinalRecord(msgspec.Struct, omit_defaults=True):
    """The terminal state of a job.

    `completed_before_end`: how many tasks had completed of a job that did not complete.
    """

    state: str
    tasks: int
    completed_before_end: int = field(default=0, name="done")

    @property
    def completed(self) -> int:
        """How many tasks completed."""
        return self.tasks if self.state == DONE else self.completed_before_end


class CompletedBits(msgspec.Struct):
    """The part of a Chunk that a status query reads."""

    completed_bits: str = field(default="", name="done")


def node_key(node: int) -> str:
    """The key of a controller."""
    return f"{NODE_PREFIX}{node}"


def shard_key(shard: int) -> str:
    """The key of a shard's owner."""
    return f"{SHARD_PREFIX}{shard}"


def takeover_key(shard: int) -> str:
    """The key of a shard's last takeover."""
    return f"{TAKEOVER_PREFIX}{shard}"


def job_key(shard: int, job: str) -> str:
    """The key of an unfinished job."""
    return f"j/{shard}/{job}"


def job_prefix(shard: int) -> str:
    """The prefix of the keys of a shard's unfinished jobs."""
    return f"j/{shard}/"


def chunk_prefix(shard: int) -> str:
    """The prefix of the keys of all further chunks of a shard's jobs."""
    return f"t/{shard}/"


def max_chunk_count(tasks: int) -> int:
    """The maximum number of chunks of a job with so many tasks."""
    return -(-tasks // TASKS_PER_CHUNK)


def chunk_key(shard: int, job: str, chunk: int | None) -> str:
    """The key of one further chunk of a job; without a number the prefix of all."""
    return f"t/{shard}/{job}/" + ("" if chunk is None else f"{chunk:04d}")


def final_key(shard: int, job: str) -> str:
    """The key of a job's terminal state."""
    return f"f/{shard}/{job}"


def mailbox_key(shard: int, job: str) -> str:
    """The key of a notice that a job was changed; without a job the prefix of a shard's."""
    return f"{MAILBOX_PREFIX}{shard}/{job}"


def relay_key(sender: int, to: int, part: int) -> str:
    """The key of a part of a relayed message."""
    return f"{RELAY_PREFIX}{sender}-{to}-{part}"


def parse_relay_key(key: str) -> tuple[int, int, int]:
    """Sender, receiver and number of a part. Raises ValueError for any other key."""
    sender, to, part = key[len(RELAY_PREFIX) :].split("-")
    return int(sender), int(to), int(part)


def quota_key(team: int) -> str:
    """The key of a team's split quota."""
    return f"{QUOTA_PREFIX}{team}"


def count_key(count: str) -> str:
    """The key of a counted resource."""
    return f"{COUNT_PREFIX}{count}"


def count_change_key(count: str, number: int) -> str:
    """The key of an operator's change to a counted resource; keys sort by number."""
    return f"u/{count}/{number:08d}"


def encode_completed(states: Sequence[int], first: int, completed: int) -> str:
    """A bitmap of the tasks of the chunk that starts at `first` whose state is `completed`."""
    bits = 0
    for i, state in enumerate(states[first : first + TASKS_PER_CHUNK]):
        if state == completed:
            bits |= 1 << i
    return f"{bits:x}" if bits else ""


def decode_completed(bitmap: str) -> list[int]:
    """The numbers, within their chunk, of the tasks of a bitmap. Raises ValueError."""
    bits = int(bitmap, 16) if bitmap else 0
    tasks = []
    task = 0
    while bits:
        if bits & 1:
            tasks.append(task)
        bits >>= 1
        task += 1
    return tasks


def encode_attempts(attempts: Sequence[int], first: int) -> list[int]:
    """The attempts of the chunk that starts at `first`, without trailing zeros."""
    stored = list(attempts[first : first + TASKS_PER_CHUNK])
    while stored and not stored[-1]:
        stored.pop()
    return stored

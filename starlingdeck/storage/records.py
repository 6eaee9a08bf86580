"""The keys and the stored format of the records in the state service.

A field that is stored under another name has it as its `name=`. Stored names never change.

c/n/NODE        a live controller; attached to its lease
c/h/SHARD       the last takeover; every takeover requires its version and changes it, so that a
                delayed takeover is never executed after a later one
c/s/SHARD       the owner of a shard; attached to the owner's lease; its version is the fencing
                token
c/i/SHARD/JOB   a notice to the shard's owner that another controller changed this job
c/r/FROM-TO-N   part N of the messages relayed between controllers that can't reach each other
j/SHARD/JOB     an unfinished job with its first tasks
t/SHARD/JOB/C   further tasks of a large job
f/SHARD/JOB     the terminal state of a job; never deleted
w/SHARD/N       a segment of a shard's commit log (storage.commit_log)
c/q/TEAM        a team's limit, split over the shards
c/u/COUNT       a counted resource's limit, and the number of units allocated to each shard
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
    """The position of a commit in a shard's log. Positions sort in the order of the commits."""

    token: int  # the fencing token under which the writer owned the shard
    number: int  # the commit's number under this token


LOG_START = Position(0, 0)  # before every commit; also of a chunk to which none was applied


class PlacementRecord(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An active attempt of a task, in the format of records and of the commit log."""

    task: int
    attempt: int
    machine: str
    session: int
    zone: str


class NodeValue(msgspec.Struct):
    """A live controller. `incarnation` is a random number drawn when its process starts."""

    node: int
    incarnation: int = field(name="boot")


class ShardValue(msgspec.Struct, omit_defaults=True):
    """The owner of a shard.

    `former_leases_end_ms`: the wall-clock time after which no former owner renews workers' leases.
    `logged`: the shard's commit log may have transitions that its records lack.
    """

    node: int
    epoch: int = field(name="gen")
    former_leases_end_ms: int = field(default=0, name="quiet_ms")
    logged: bool = False


class RelayPart(msgspec.Struct):
    """One of the `part_count` parts of a relayed text, which has the number `sequence`."""

    sequence: int = field(name="text")
    part_count: int = field(name="parts")
    fragment: str = field(name="piece")


class Chunk(msgspec.Struct, omit_defaults=True):
    """The states of TASKS_PER_CHUNK consecutive tasks of a job.

    `attempts`: the number of attempts that each task has used, without trailing zeros.
    `completed_bits`: the completed tasks, as a hexadecimal bitmap. `applied_position`: all commits
    of the shard's log up to and including this position are applied to the chunk.
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

    `completed_before_end`: the number of completed tasks of a job that did not complete.
    """

    state: str
    tasks: int
    completed_before_end: int = field(default=0, name="done")

    @property
    def completed(self) -> int:
        """Return the number of tasks that completed."""
        return self.tasks if self.state == DONE else self.completed_before_end


class CompletedBits(msgspec.Struct):
    """The field of a Chunk that a status query decodes from chunks after the first."""

    completed_bits: str = field(default="", name="done")


def node_key(node: int) -> str:
    """Return the key of a controller."""
    return f"{NODE_PREFIX}{node}"


def shard_key(shard: int) -> str:
    """Return the key of a shard's owner."""
    return f"{SHARD_PREFIX}{shard}"


def takeover_key(shard: int) -> str:
    """Return the key of a shard's last takeover."""
    return f"{TAKEOVER_PREFIX}{shard}"


def job_key(shard: int, job: str) -> str:
    """Return the key of an unfinished job."""
    return f"j/{shard}/{job}"


def job_prefix(shard: int) -> str:
    """Return the prefix of the keys of a shard's unfinished jobs."""
    return f"j/{shard}/"


def chunk_prefix(shard: int) -> str:
    """Return the prefix of the keys of all chunks but the first of a shard's jobs."""
    return f"t/{shard}/"


def max_chunk_count(tasks: int) -> int:
    """Return the maximum number of chunks of a job with this number of tasks."""
    return -(-tasks // TASKS_PER_CHUNK)


def chunk_key(shard: int, job: str, chunk: int | None) -> str:
    """Return the key of a chunk after a job's first; without a number the prefix of them all."""
    return f"t/{shard}/{job}/" + ("" if chunk is None else f"{chunk:04d}")


def final_key(shard: int, job: str) -> str:
    """Return the key of a job's terminal state."""
    return f"f/{shard}/{job}"


def mailbox_key(shard: int, job: str) -> str:
    """Return the key of a notice that a job was changed.

    With an empty `job` it is the prefix of all notices of the shard.
    """
    return f"{MAILBOX_PREFIX}{shard}/{job}"


def relay_key(sender: int, to: int, part: int) -> str:
    """Return the key of a part of a relayed text."""
    return f"{RELAY_PREFIX}{sender}-{to}-{part}"


def parse_relay_key(key: str) -> tuple[int, int, int]:
    """Return the sender, receiver and part number of a relay key.

    Raises ValueError for a malformed key.
    """
    sender, to, part = key[len(RELAY_PREFIX) :].split("-")
    return int(sender), int(to), int(part)


def quota_key(team: int) -> str:
    """Return the key of a team's split limit."""
    return f"{QUOTA_PREFIX}{team}"


def count_key(count: str) -> str:
    """Return the key of a counted resource."""
    return f"{COUNT_PREFIX}{count}"


def count_change_key(count: str, number: int) -> str:
    """Return the key of an operator's change to a counted resource. Keys sort by number."""
    return f"u/{count}/{number:08d}"


def encode_completed(states: Sequence[int], first: int, completed: int) -> str:
    """Return a hexadecimal bitmap of the tasks whose state is `completed`.

    It covers the chunk whose first task is `first`; empty when no task has completed.
    """
    bits = 0
    for i, state in enumerate(states[first : first + TASKS_PER_CHUNK]):
        if state == completed:
            bits |= 1 << i
    return f"{bits:x}" if bits else ""


def decode_completed(bitmap: str) -> list[int]:
    """Return the numbers, within their chunk, of the tasks in a bitmap.

    Raises ValueError when the bitmap is not a hexadecimal number.
    """
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
    """Return the attempts of the chunk whose first task is `first`, without trailing zeros."""
    stored = list(attempts[first : first + TASKS_PER_CHUNK])
    while stored and not stored[-1]:
        stored.pop()
    return stored

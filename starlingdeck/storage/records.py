"""Bookkeeping: what is kept in the state service, and under which keys.

c/n/NODE        a living controller, on its lease
c/h/SHARD       its last takeover; changed by each, so that none can be carried out late
c/s/SHARD       who holds a shard, on its holder's lease; the stamp is the token
c/i/SHARD/JOB   a note to the holder that another node changed this job
c/r/FROM-TO-N   messages between controllers that can't reach each other, part N
j/SHARD/JOB     an unfinished job with its first tasks
t/SHARD/JOB/C   further tasks of a large job
f/SHARD/JOB     the final state of a job, for ever
w/SHARD/N       a segment of a shard's commit log (storage.commit_log)
c/q/TEAM        how a team's limit is split over the shards
c/u/COUNT       a count's ceiling, and how many units each shard holds
u/COUNT/N       the Nth change that an operator made to a count
m/types         the machine types last seen
"""

from array import array

import msgspec

from starlingdeck.protocol.api import DONE, JobSpec

TASKS_PER_CHUNK = 256
CLUSTER = "c/"
NODES = "c/n/"
SHARDS = "c/s/"
TAKEOVERS = "c/h/"
MAILBOX = "c/i/"
RELAY = "c/r/"
QUOTA = "c/q/"
COUNTS = "c/u/"
TYPES = "m/types"


# Of a commit: the token under which its writer took the shard, and a number from then on.
Position = tuple[int, int]
LOG_START: Position = (0, 0)  # before every commit; what no log was written over
PlacementRecord = tuple[int, int, str, int, str]  # task, attempt, machine, session, zone


class NodeValue(msgspec.Struct):
    node: int
    boot: int


class ShardValue(msgspec.Struct, omit_defaults=True):
    """`quiet_ms`: the time of day from which no former holder renews workers' leases any more.
    `logged`: records may be behind the shard's commit log."""

    node: int
    gen: int
    quiet_ms: int = 0
    logged: bool = False


class RelayPart(msgspec.Struct):
    """A piece of the text numbered `text`, which has `parts` pieces."""

    text: int
    parts: int
    piece: str


class Chunk(msgspec.Struct, omit_defaults=True):
    """Tasks CHUNK*c … of a job: attempts used, which are done, where the others are.
    `upto`: it holds all that the shard's commit log says up to there."""

    tries: list[int] = []
    done: str = ""
    on: list[PlacementRecord] = []
    upto: Position = LOG_START


class JobRecord(msgspec.Struct, omit_defaults=True):
    spec: JobSpec
    at_ms: int
    cancelled: bool = False
    chunk: Chunk = msgspec.field(default_factory=Chunk)


class FinalRecord(msgspec.Struct, omit_defaults=True):
    """`done`: how many tasks of a cancelled job had completed."""

    state: str
    tasks: int
    done: int = 0

    @property
    def completed(self) -> int:
        return self.tasks if self.state == DONE else self.done


class DonePart(msgspec.Struct):
    """What a look reads of a Chunk."""

    done: str = ""


def node_key(node: int) -> str:
    return f"{NODES}{node}"


def shard_key(shard: int) -> str:
    return f"{SHARDS}{shard}"


def takeover_key(shard: int) -> str:
    return f"{TAKEOVERS}{shard}"


def job_key(shard: int, job: str) -> str:
    return f"j/{shard}/{job}"


def job_prefix(shard: int) -> str:
    return f"j/{shard}/"


def chunk_prefix(shard: int) -> str:
    return f"t/{shard}/"


def chunks_of(tasks: int) -> int:
    """How many chunks the record of a job of so many tasks has at the most."""
    return -(-tasks // TASKS_PER_CHUNK)


def chunk_key(shard: int, job: str, chunk: int | None) -> str:
    """Of one part; without a number, what the keys of all parts begin with."""
    return f"t/{shard}/{job}/" + ("" if chunk is None else f"{chunk:04d}")


def final_key(shard: int, job: str) -> str:
    return f"f/{shard}/{job}"


def mailbox_key(shard: int, job: str) -> str:
    return f"{MAILBOX}{shard}/{job}"


def relay_key(sender: int, to: int, part: int) -> str:
    return f"{RELAY}{sender}-{to}-{part}"


def parse_relay(key: str) -> tuple[int, int, int]:
    """Sender, receiver and number of a part; ValueError for anything else."""
    sender, to, part = key[len(RELAY) :].split("-")
    return int(sender), int(to), int(part)


def quota_key(team: int) -> str:
    return f"{QUOTA}{team}"


def count_key(count: str) -> str:
    return f"{COUNTS}{count}"


def change_key(count: str, number: int) -> str:
    """Of an operator's change; they sort by number."""
    return f"u/{count}/{number:08d}"


def pack_done(state: "array[int]", first: int, done: int) -> str:
    bits = 0
    for i, value in enumerate(state[first : first + TASKS_PER_CHUNK]):
        if value == done:
            bits |= 1 << i
    return f"{bits:x}" if bits else ""


def unpack_done(text: str) -> list[int]:
    bits, found, i = int(text, 16) if text else 0, [], 0
    while bits:
        if bits & 1:
            found.append(i)
        bits >>= 1
        i += 1
    return found


def pack_tries(tries: "array[int]", first: int) -> list[int]:
    part = list(tries[first : first + TASKS_PER_CHUNK])
    while part and not part[-1]:
        part.pop()
    return part

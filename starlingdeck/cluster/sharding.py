"""Which shard a job or a machine belongs to, and who should hold a shard."""

import zlib
from collections.abc import Sequence


def shard_of_job(job: str, shards: int) -> int:
    return zlib.crc32(job.encode()) % shards


def shard_of_machine(machine: str, zone: str, zones: Sequence[str]) -> int:
    """`zones[i]` is the zone of shard i's own controller.

    A machine goes to a controller of its zone if there is any, so that a cut
    between zones leaves the two together.
    """
    near = [i for i, z in enumerate(zones) if z == zone] or list(range(len(zones)))
    return near[zlib.crc32(machine.encode()) % len(near)]


def failover_candidates(shard: int, zones: Sequence[str], living: Sequence[int]) -> list[int]:
    """Living nodes in the order in which they should take the shard over."""
    n = len(zones)
    return sorted(living, key=lambda i: (i != shard, zones[i] != zones[shard], (i - shard) % n))

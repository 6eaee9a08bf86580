"""Assignment of jobs and machines to shards, and the takeover order of each shard's controllers."""

import zlib
from collections.abc import Sequence


def shard_of_job(job: str, shard_count: int) -> int:
    """Return the shard of a job, given its id."""
    return zlib.crc32(job.encode()) % shard_count


def shard_of_machine(machine: str, zone: str, zones: Sequence[str]) -> int:
    """Return the shard of a machine, where `zones[i]` is the zone of shard i's home controller.

    It is one with a home controller in the machine's zone if there is any, so that a partition
    between zones doesn't separate a machine from its controller.
    """
    same_zone = [shard for shard, home_zone in enumerate(zones) if home_zone == zone]
    shards = same_zone or list(range(len(zones)))
    return shards[zlib.crc32(machine.encode()) % len(shards)]


def failover_candidates(shard: int, zones: Sequence[str], live_nodes: Sequence[int]) -> list[int]:
    """Return the live controllers in the order in which they should take over a shard.

    The home controller comes first, then those of its zone, then the others.
    """
    count = len(zones)

    def preference(node: int) -> tuple[bool, bool, int]:
        return (node != shard, zones[node] != zones[shard], (node - shard) % count)

    return sorted(live_nodes, key=preference)

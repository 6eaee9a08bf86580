"""The shard of a job or a machine, and the order in which controllers take over a shard."""

import zlib
from collections.abc import Sequence


def shard_of_job(job: str, shards: int) -> int:
    """The shard of a job's id, of that many shards."""
    return zlib.crc32(job.encode()) % shards


def shard_of_machine(machine: str, zone: str, zones: Sequence[str]) -> int:
    """The shard of a machine, where `zones[i]` is the zone of shard i's home controller.

    A machine belongs to a controller of its zone if there is one, so that a partition between
    zones leaves the two together.
    """
    same_zone = [shard for shard, z in enumerate(zones) if z == zone]
    shards = same_zone or list(range(len(zones)))
    return shards[zlib.crc32(machine.encode()) % len(shards)]


def failover_candidates(shard: int, zones: Sequence[str], live_nodes: Sequence[int]) -> list[int]:
    """The live controllers in the order in which they should take over a shard.

    First its home controller, then those of its home's zone, then the others.
    """
    count = len(zones)

    def preference(node: int) -> tuple[bool, bool, int]:
        return (node != shard, zones[node] != zones[shard], (node - shard) % count)

    return sorted(live_nodes, key=preference)

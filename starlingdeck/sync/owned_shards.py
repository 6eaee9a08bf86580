"""The job and machine shards that this controller owns."""

from collections.abc import Mapping

from msgspec import Struct

from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard


class OwnedShards(Struct, frozen=True):
    """For each owned shard, the record writer with its job shard, and the machine shard.

    The controller adds and removes entries as it acquires and loses shards.
    """

    writers: Mapping[int, RecordWriter]
    machines: Mapping[int, MachineShard]

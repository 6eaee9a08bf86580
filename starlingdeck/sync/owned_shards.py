"""The parts of the shards that this controller owns."""

from collections.abc import Mapping

from msgspec import Struct

from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard


class OwnedShards(Struct, frozen=True):
    """By shard: the record writers, which have the jobs, and the machines.

    The controller adds and removes entries as it acquires and loses shards.
    """

    writers: Mapping[int, RecordWriter]
    machines: Mapping[int, MachineShard]

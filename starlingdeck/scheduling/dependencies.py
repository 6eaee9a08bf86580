"""The parts of a controller that its planner depends on."""

from collections.abc import Callable, Mapping

import curio
from msgspec import Struct

from starlingdeck.cluster.membership import Membership
from starlingdeck.cluster.peers import Peers
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.scheduling.candidate_pool import CandidatePool
from starlingdeck.scheduling.overload import OverloadController

ReserveHandler = Callable[[pb.ReserveRequest], pb.ReserveReply]


class PlannerDependencies(Struct, frozen=True):
    """The objects that a planner uses; the controller owns them."""

    membership: Membership
    peers: Peers
    writers: Mapping[int, RecordWriter]  # by job shard, for the shards owned here
    candidates: CandidatePool
    admission: AdmissionController
    reserve_local: ReserveHandler  # answers requests to the machine shards owned here
    overload: OverloadController | None
    wake: curio.Event  # set when a desired state has to be sent
    flush: curio.Event  # set when a job record has to be written

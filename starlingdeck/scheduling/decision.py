"""The records that the steps of a scheduling cycle pass on."""

from typing import NamedTuple

from msgspec import Struct

from starlingdeck.jobs.job import Job
from starlingdeck.machines.scoring import Candidate


class PlacementDecision(Struct):
    """A machine chosen for one task; its owner still has to grant the reservation."""

    job: Job
    task: int
    candidate: Candidate
    preempt: bool = False  # ask the machine to stop lower-ranked work for it
    accumulate: bool = False  # ask the machine to keep released resources until it fits
    protected: bool = False  # not to be preempted once it runs


class JobTaskCount(NamedTuple):
    """A number of a job's tasks that are alike: waiting, unplaced, or to be placed first."""

    job: Job
    tasks: int

"""The records that the steps of a scheduling cycle pass on."""

from msgspec import Struct

from starlingdeck.jobs.job import Job
from starlingdeck.machines.scoring import Candidate

# A job, and a number of its tasks: unplaced, or to be placed first. A plain tuple: in a backlog
# every cycle builds one for each waiting job, and a NamedTuple takes about ten times as long.
JobTaskCount = tuple[Job, int]


class PlacementDecision(Struct):
    """A machine chosen for one task; its owner still has to grant the reservation."""

    job: Job
    task: int
    candidate: Candidate
    preempt: bool = False  # ask the machine to stop lower-ranked work for it
    accumulate: bool = False  # ask the machine to keep released resources until it fits
    protected: bool = False  # not to be preempted once it runs

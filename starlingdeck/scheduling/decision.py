"""Records that the steps of a scheduling cycle pass to each other."""

from msgspec import Struct

from starlingdeck.jobs.job import Job
from starlingdeck.machines.scoring import Candidate

# A job and how many of its tasks are unplaced, or are to be placed first. A plain tuple because in
# a backlog every cycle builds one for each waiting job; a NamedTuple takes about ten times as long.
JobTaskCount = tuple[Job, int]


class PlacementDecision(Struct):
    """A machine chosen for one task; its owner still has to grant the reservation."""

    job: Job
    task: int
    candidate: Candidate
    preempt: bool = False  # ask the machine to stop lower-ranked work for the task
    accumulate: bool = False  # ask the machine to keep released resources until the task fits
    protected: bool = False  # the task must not be preempted once it runs

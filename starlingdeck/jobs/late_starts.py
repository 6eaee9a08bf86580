"""Detects attempts that run on a machine although the job's record says that they have ended."""

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING

from starlingdeck.jobs.job import Job
from starlingdeck.machines.shard_snapshot import ShardSnapshot
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

if TYPE_CHECKING:
    from starlingdeck.jobs.job_shard import JobShard

log = logging.getLogger(__name__)

LIVE_STATES = (api.TASK_FETCHING, api.TASK_RUNNING, api.TASK_SAVING)
MAX_REMEMBERED = 1000  # late starts that are logged only once

LateStart = tuple[str, int, int, int]  # job, task, attempt, machine


class LateStartDetector:
    """Counts and logs the late starts of one job shard. Their machines' owner stops them."""

    def __init__(self, shard: "JobShard") -> None:
        self.shard = shard
        self.count = 0
        self.logged: dict[LateStart, None] = {}

    def check(self, snapshot: ShardSnapshot, machines: Iterable[int]) -> None:
        """Look for late starts on these machines, if the snapshot is of their present owner.

        Machines that have not shown this owner's token are left out: what it has received of them
        may be a late copy of a report, with tasks that have ended since.
        """
        if self.shard.outboxes[snapshot.shard].epoch != snapshot.epoch:
            return
        for index in machines:
            machine = snapshot.machines.get(index)
            if machine is None or machine.lost or not machine.fenced:
                continue
            for observed in machine.tasks:
                if observed.state in LIVE_STATES and self._has_ended(observed):
                    self._record(observed, index)

    def _has_ended(self, observed: pb.ObservedTask) -> bool:
        """Return whether the attempt has ended by the record of its job, if it is of this shard."""
        job = self._find(observed)
        if job is None:
            return observed.job in self.shard.terminal_states
        placement = job.placements.get(observed.task)
        is_current = placement is not None and placement.attempt == observed.attempt
        return not is_current and observed.attempt <= job.attempts[observed.task]

    def _find(self, observed: pb.ObservedTask) -> Job | None:
        index = self.shard.context.job_names.find(observed.job)
        job = self.shard.jobs.get(index) if index is not None else None
        return job if job is not None and observed.task < job.spec.tasks else None

    def _record(self, observed: pb.ObservedTask, machine: int) -> None:
        late_start = (observed.job, observed.task, observed.attempt, machine)
        if late_start in self.logged:
            return
        self.logged[late_start] = None
        if len(self.logged) > MAX_REMEMBERED:
            del self.logged[next(iter(self.logged))]
        self.count += 1
        job = self._find(observed)
        placement = job.placements.get(observed.task) if job is not None else None
        names = self.shard.context.machine_names
        log.error(
            "attempt started late: task=%s attempt=%d machine=%s present_attempt=%d "
            "present_machine=%s",
            api.task_name(observed.job, observed.task),
            observed.attempt,
            names[machine],
            placement.attempt if placement is not None else 0,
            names[placement.machine] if placement is not None else "none",
        )

"""Evicts tasks of lower priority from a machine for a new one (PROTOCOL, "Preemption")."""

import logging
from typing import NamedTuple

from starlingdeck.context import fits
from starlingdeck.interning import split_key
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.machine import (
    SAVE_MARGIN_S,
    JobInfo,
    Machine,
    ObservedTask,
    may_preempt,
)
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)


class Victim(NamedTuple):
    """A task that may be preempted."""

    key: int
    observed: ObservedTask
    info: JobInfo

    def sort_key(self) -> tuple[bool, int, float, int]:
        """Return a sort key: work beyond a guarantee first, then by rank, then the newest first."""
        return (self.info.guaranteed, self.info.rank, -self.observed.state_since, self.key)


class Preemptor:
    """Chooses the tasks to evict and records them in `Machine.evictions`."""

    def __init__(self, state: ShardState, desired: DesiredStateTracker) -> None:
        self.state = state
        self.desired = desired

    def evict_for(
        self, machine: Machine, info: JobInfo, free: list[float], message: pb.ReserveRequest
    ) -> bool:
        """Evict tasks until a task of the job fits; return whether it will then fit.

        Evictions already under way count. If saving would take longer than the new task may wait,
        the old one is stopped without saving. It then restarts from its last checkpoint, which
        loses about as much time as saving takes.
        """
        left, victims = self._candidates(machine, info, free, message.quota_pressure)
        chosen: list[Victim] = []
        for victim in sorted(victims, key=Victim.sort_key):
            if fits(info.size, left):
                break
            chosen.append(victim)
            left = _add(left, victim.info)
        if not fits(info.size, left):
            return False
        for victim in chosen:
            self._evict(machine, victim, message.wait_s)
        return True

    def _candidates(
        self, machine: Machine, info: JobInfo, free: list[float], quota_pressure: bool
    ) -> tuple[list[float], list[Victim]]:
        """Return what is free after the evictions under way, and the tasks that may be evicted."""
        jobs, protected = self.state.jobs, self.desired.protected_tasks
        left = list(free)
        victims: list[Victim] = []
        for key, observed in machine.tasks.items():
            other = jobs.get(split_key(key)[0])
            if observed.state == api.TASK_EXITED or other is None:
                continue
            if key in machine.evictions or observed.state == api.TASK_SAVING:
                left = _add(left, other)
            elif may_preempt(info, other, quota_pressure) and key not in protected:
                victims.append(Victim(key, observed, other))
        return left, victims

    def _evict(self, machine: Machine, victim: Victim, wait_s: float) -> None:
        info = victim.info
        saves = info.checkpoint_s > 0 and not 0 < wait_s <= info.save_s
        machine.evictions[victim.key] = info.save_s + SAVE_MARGIN_S if saves else 0.0
        log.info(
            "task preempted: task=%s machine=%s", self.state.task_name(victim.key), machine.name
        )


def _add(left: list[float], info: JobInfo) -> list[float]:
    return [a + b for a, b in zip(left, info.size, strict=True)]

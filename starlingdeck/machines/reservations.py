"""Reserves capacity on a shard's machines for tasks whose placement is being recorded."""

from starlingdeck.context import fits
from starlingdeck.interning import task_key
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.machine import JobInfo, Machine, Reservation
from starlingdeck.machines.preemption import Preemptor
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.machines.start_fence import StartFence
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

EVICTION_RESERVATION_S = 2.5  # how long capacity that is being freed stays reserved
CAPACITY_TOLERANCE = 1e-9  # allows for rounding errors in sums of resources


class ReservationManager:
    """Answers the job shards' requests for capacity."""

    def __init__(self, state: ShardState, desired: DesiredStateTracker, fence: StartFence) -> None:
        self.state = state
        self.desired = desired
        self.fence = fence
        self.preemptor = Preemptor(state, desired)

    def reserve(self, message: pb.ReserveRequest) -> pb.ReserveReply:
        """Reserve capacity for the tasks of a request; the reply names those that got it."""
        state, context = self.state, self.state.context
        reply = pb.ReserveReply()
        if message.to_epoch != state.epoch:
            return reply
        job = self.desired.learn_job(message.job)
        info = state.jobs[job]
        expires_at = context.now() + (message.hold_s or context.tuning.reserve_s)
        # Machine -> available resources, computed once for all tasks of the request there.
        available: dict[int, list[float] | None] = {}
        for target in message.tasks:
            machine = state.machines.get(context.machine_names.intern(target.machine))
            if machine is None or not state.is_schedulable(machine):
                continue
            key = task_key(job, target.task)
            if not self._may_hold(machine, key):
                continue
            if machine.reservations.pop(key, None) is not None:
                available.pop(machine.index, None)
            if machine.index not in available:
                available[machine.index] = state.available(machine)
            free = available[machine.index]
            if free is None:
                continue
            if fits(info.size, free) and state.may_add_task(machine):
                machine.reservations[key] = Reservation(target.attempt, expires_at)
                # Have the token raised while the placement is written, if the start will need it.
                self.fence.may_start(machine, key, target.attempt)
                available[machine.index] = [f - s for f, s in zip(free, info.size, strict=True)]
                reply.granted.add(task=target.task, attempt=target.attempt, session=machine.session)
            elif self._will_have_capacity(machine, info, free, message):
                # Reserve the capacity although it isn't free yet. Otherwise the preempted task
                # would be placed here again, only to be preempted again, or smaller tasks would
                # take each part of the capacity that becomes free.
                machine.reservations[key] = Reservation(
                    target.attempt, context.now() + EVICTION_RESERVATION_S
                )
                available.pop(machine.index)
                reply.granted.add(task=target.task, attempt=target.attempt, evicting=True)
            state.mark_changed(machine.index)
        return reply

    def _may_hold(self, machine: Machine, key: int) -> bool:
        """Return whether a machine may get a task: it has none of its attempts, or one that ended.

        The end must be recorded: until then the ended attempt is still desired.
        """
        if key in machine.pending_launches:
            return False
        observed = machine.tasks.get(key)
        return observed is None or (
            observed.state == api.TASK_EXITED and self.desired.find(machine.index, key) is None
        )

    def _will_have_capacity(
        self, machine: Machine, info: JobInfo, free: list[float], message: pb.ReserveRequest
    ) -> bool:
        """Begin a preemption if requested; return whether it or accumulation will free capacity."""
        if message.preempt and self.preemptor.evict_for(machine, info, free, message):
            return True
        return message.accumulate and self._may_accumulate(machine, info, free)

    def _may_accumulate(self, machine: Machine, info: JobInfo, free: list[float]) -> bool:
        """Return whether the machine may accumulate released capacity for a task of the job.

        Capacity is accumulated for only one task of a machine at a time: its reservation makes
        `free` negative.
        """
        total = self.state.capacity(machine)
        return total is not None and fits(info.size, total) and min(free) >= -CAPACITY_TOLERANCE

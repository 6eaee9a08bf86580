"""A machine shard's room: what is free, kept, made by preemption, and given up (DESIGN 3)."""

import logging

from starlingdeck.context import Resources, fits, machine_capacity
from starlingdeck.interning import split_key, task_key
from starlingdeck.machines import descheduling
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.machine import (
    JobInfo,
    Machine,
    ObservedTask,
    Reservation,
    may_preempt,
)
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)

EVICTION_RESERVATION_S = 2.5  # how long room being made by stops waits for its task


class ReservationManager(DesiredStateTracker):
    """Reservations, preemption and shedding."""

    def is_fenced(self, machine: Machine) -> bool:
        """Nothing sent under an older token, or sent without an answer, can still act."""
        return machine.token >= self.base_token and machine.unconfirmed_token == 0

    def is_schedulable(self, machine: Machine) -> bool:
        """A machine back from a cut is first heard by reports that were held: work drawn to it
        in a session long over was placed, freed by the next report and placed again. So it
        must have answered a call first, or gone on reporting for a while."""
        return (
            not machine.lost
            and not machine.draining
            and machine.faulty_since is None
            and machine.unconfirmed_since is None
            and machine.token >= self.base_token
            and self.context.now() - machine.last_message_at < self.heartbeat_fresh_s
            # Calls may reach one whose reports don't come: what they start there renews nothing.
            and self.context.now() - machine.last_heartbeat_at < self.heartbeat_timeout_s
        )

    def capacity(self, machine: Machine) -> Resources | None:
        kind = self.context.machine_types.get(machine.type)
        return None if kind is None else machine_capacity(kind)

    def available(self, machine: Machine) -> list[float] | None:
        """Room by what the reports show and what was promised; None while it is not known."""
        total = self.capacity(machine)
        if total is None:
            return None
        left = list(total)
        held = {k for k, observed in machine.tasks.items() if observed.state != api.EXITED}
        held |= machine.pending_launches.keys() | machine.reservations.keys()
        for key in held:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return None
            for d in range(3):
                left[d] -= info.size[d]
        return left

    def _fetching(self, machine: Machine) -> set[str]:
        waiting = {k for k, observed in machine.tasks.items() if observed.state == api.FETCHING}
        waiting |= machine.pending_launches.keys() | machine.reservations.keys()
        infos = [self.jobs.get(split_key(key)[0]) for key in waiting]
        return {i.image for i in infos if i is not None and i.image not in machine.images}

    def _youngest(self, machine: Machine) -> list[float]:
        now, found = self.context.now(), [-1.0] * len(api.RANKS)
        for key, observed in machine.tasks.items():
            info = self.jobs.get(split_key(key)[0])
            if (
                info is None
                or observed.state not in (api.FETCHING, api.ON)
                or key in machine.evictions
            ):
                continue
            if key in self.protected_tasks:
                continue
            ran = now - observed.state_since if observed.state == api.ON else 0.0
            if info.checkpoint_s > 0:
                ran = min(ran, info.checkpoint_s)
            rank = min(info.rank, len(found) - 1)
            if found[rank] < 0 or ran < found[rank]:
                found[rank] = ran
        return found

    def reserve(self, message: pb.ReserveRequest) -> pb.ReserveReply:
        """Keep room for tasks about to be recorded; says for which of them."""
        out = pb.ReserveReply()
        if message.to_epoch != self.epoch:
            return out
        job = self._learn_job(message.job)
        info = self.jobs[job]
        until = self.context.now() + (message.hold_s or self.context.tuning.reserve_s)
        frees: dict[
            int, list[float] | None
        ] = {}  # reckoned once for all that is asked of a machine
        for spot in message.tasks:
            machine = self.machines.get(self.context.machine_names.intern(spot.machine))
            if machine is None or not self.is_schedulable(machine):
                continue
            key = task_key(job, spot.task)
            if key in machine.tasks or key in machine.pending_launches:
                continue
            if machine.reservations.pop(key, None) is not None:
                frees.pop(machine.index, None)
            if machine.index not in frees:
                frees[machine.index] = self.available(machine)
            free = frees[machine.index]
            if free is None:
                continue
            if fits(info.size, free):
                machine.reservations[key] = Reservation(spot.attempt, until)
                frees[machine.index] = [f - s for f, s in zip(free, info.size, strict=True)]
                out.granted.add(task=spot.task, attempt=spot.attempt, session=machine.session)
            elif message.preempt and self._evict_for(machine, info, free, message):
                # The room is kept for who asked: else the stopped task itself comes back
                # into it first, and is stopped again.
                machine.reservations[key] = Reservation(
                    spot.attempt, self.context.now() + EVICTION_RESERVATION_S
                )
                frees.pop(machine.index)
                out.granted.add(task=spot.task, attempt=spot.attempt, evicting=True)
            elif message.accumulate and self._may_accumulate(machine, info, free):
                # Smaller work would take each bit that comes free before there is enough.
                machine.reservations[key] = Reservation(
                    spot.attempt, self.context.now() + EVICTION_RESERVATION_S
                )
                frees.pop(machine.index)
                out.granted.add(task=spot.task, attempt=spot.attempt, evicting=True)
            self.mark_changed(machine.index)
        return out

    def _may_accumulate(self, machine: Machine, info: JobInfo, free: list[float]) -> bool:
        """Whether what comes free may be kept for a task: for one at a time."""
        total = self.capacity(machine)
        return total is not None and fits(info.size, total) and min(free) >= -1e-9

    def _evict_for(
        self, machine: Machine, info: JobInfo, free: list[float], message: pb.ReserveRequest
    ) -> bool:
        """Stop lower work until the size fits. True when stops under way will make room.

        Where saving would outlast what the new work may wait, the old is stopped without:
        it goes back to its last checkpoint, which loses about as much as saving takes.
        """
        left = list(free)
        chosen: list[int] = []
        victims = []
        for key, observed in machine.tasks.items():
            other = self.jobs.get(split_key(key)[0])
            if observed.state == api.EXITED or other is None:
                continue
            if key in machine.evictions or observed.state == api.SAVING:
                left = [a + b for a, b in zip(left, other.size, strict=True)]
            elif (
                may_preempt(info, other, message.quota_pressure) and key not in self.protected_tasks
            ):
                victims.append((other.guaranteed, other.rank, -observed.state_since, key, other))
        victims.sort(key=lambda v: v[:4])
        for _, _, _, key, other in victims:
            if fits(info.size, left):
                break
            chosen.append(key)
            left = [a + b for a, b in zip(left, other.size, strict=True)]
        if not fits(info.size, left):
            return False
        for key in chosen:
            other = self.jobs[split_key(key)[0]]
            saves = other.checkpoint_s > 0 and not 0 < message.wait_s <= other.save_s
            machine.evictions[key] = other.save_s + 1.0 if saves else 0.0
            job, number = split_key(key)
            log.info(
                "task %s: preempted on %s",
                api.task_name(self.context.job_names[job], number),
                machine.name,
            )
        return True

    def deschedule(self) -> None:
        """Choose what every machine gives up: what breaks a constraint, then by tabu search.

        A spot notice breaks the constraint of all work that won't be over in time.
        """
        now = self.context.now()
        for index in self.to_reconcile | self.termination_noticed:
            machine = self.machines.get(index)
            if machine is None:
                self.termination_noticed.discard(index)
                continue
            if not self.context.is_quarantined("machine", machine.name):
                try:
                    self._deschedule(machine, now)
                except Exception as error:
                    self.context.quarantine_failed("machine", machine.name, error)

    def _deschedule(self, machine: Machine, now: float) -> None:
        chosen: set[int] = set()
        live = {k: s for k, s in machine.tasks.items() if s.state in (api.FETCHING, api.ON)}
        if machine.termination_at is not None and not machine.lost:
            left = machine.termination_at - now
            for key, observed in live.items():
                info = self.jobs.get(split_key(key)[0])
                if info is None:
                    continue
                over = info.estimate_s * 1.2 - (now - observed.state_since)
                if info.service or observed.state == api.FETCHING or over > left:
                    chosen.add(key)
                if info.checkpoint_s > 0 and left < info.save_s + 2.0 + 0.1 * left:
                    # Nobody took it in time: at least its progress is saved.
                    machine.evictions.setdefault(key, info.save_s + 1.0)
                    self._schedule_reconcile(machine.index)
        else:
            chosen = self._overcommitted(machine, live)
        if chosen != machine.descheduled:
            machine.descheduled = chosen
            self.mark_changed(machine.index)

    def _overcommitted(self, machine: Machine, live: dict[int, ObservedTask]) -> set[int]:
        """By what the report shows, not by what was promised."""
        total = self.capacity(machine)
        if total is None or machine.lost:
            return set()
        use = [0.0, 0.0, 0.0]
        for key in live:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return set()
            use = [a + b for a, b in zip(use, info.size, strict=True)]
        if fits(use, total):
            return set()
        context, now = self.context, self.context.now()
        kind = context.machine_types[machine.type]
        loads = []
        for key, observed in live.items():
            info = self.jobs[split_key(key)[0]]
            fetch = info.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0
            ran = now - observed.state_since if observed.state == api.ON else 0.0
            cost = descheduling.move_cost(ran, info.checkpoint_s > 0, info.checkpoint_s, fetch)
            loads.append(descheduling.RunningTask(key, info.size, cost))
        t = context.tuning
        picked = descheduling.choose_tasks(
            total, loads, t.tabu_restarts, t.tabu_steps, t.tabu_patience, context.rng
        )
        return set(picked)

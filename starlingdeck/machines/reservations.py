"""A machine shard's room: what is free, kept, made by preemption, and given up (DESIGN 3)."""

import logging

from starlingdeck.context import Size, fits, total_of
from starlingdeck.interning import split_key, task_key
from starlingdeck.machines import descheduling as shedding
from starlingdeck.machines.desired_state import Lists
from starlingdeck.machines.machine import (
    Hold,
    JobInfo,
    Machine,
    Seen,
    may_preempt,
)
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

log = logging.getLogger(__name__)

EVICT_HOLD_S = 2.5  # how long room being made by stops waits for its task


class RoomKeeper(Lists):
    """Reservations, preemption and shedding."""

    def fenced(self, machine: Machine) -> bool:
        """Nothing sent under an older token, or sent without an answer, can still act."""
        return machine.token >= self.base and machine.doubt == 0

    def drawable(self, machine: Machine) -> bool:
        """A machine back from a cut is first heard by reports that were held: work drawn to it
        in a session long over was placed, freed by the next report and placed again. So it
        must have answered a call first, or gone on reporting for a while."""
        return (
            not machine.dead
            and not machine.draining
            and machine.sick is None
            and machine.back is None
            and machine.token >= self.base
            and self.world.now() - machine.heard < self.fresh_s
            # Calls may reach one whose reports don't come: what they start there renews nothing.
            and self.world.now() - machine.spoke < self.mute_s
        )

    def total(self, machine: Machine) -> Size | None:
        kind = self.world.types.get(machine.type)
        return None if kind is None else total_of(kind)

    def free(self, machine: Machine) -> list[float] | None:
        """Room by what the reports show and what was promised; None while it is not known."""
        total = self.total(machine)
        if total is None:
            return None
        left = list(total)
        held = {k for k, s in machine.tasks.items() if s.state != api.EXITED}
        held |= machine.launches.keys() | machine.holds.keys()
        for key in held:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return None
            for d in range(3):
                left[d] -= info.size[d]
        return left

    def _fetching(self, machine: Machine) -> set[str]:
        waiting = {k for k, s in machine.tasks.items() if s.state == api.FETCHING}
        waiting |= machine.launches.keys() | machine.holds.keys()
        infos = [self.jobs.get(split_key(key)[0]) for key in waiting]
        return {i.image for i in infos if i is not None and i.image not in machine.images}

    def _youngest(self, machine: Machine) -> list[float]:
        now, found = self.world.now(), [-1.0] * len(api.RANKS)
        for key, seen in machine.tasks.items():
            info = self.jobs.get(split_key(key)[0])
            if info is None or seen.state not in (api.FETCHING, api.ON) or key in machine.evict:
                continue
            if key in self.kept_tasks:
                continue
            ran = now - seen.since if seen.state == api.ON else 0.0
            if info.checkpoint_s > 0:
                ran = min(ran, info.checkpoint_s)
            rank = min(info.rank, len(found) - 1)
            if found[rank] < 0 or ran < found[rank]:
                found[rank] = ran
        return found

    def reserve(self, msg: pb.Reserve) -> pb.Reserved:
        """Keep room for tasks about to be recorded; says for which of them."""
        out = pb.Reserved()
        if msg.to_gen != self.gen:
            return out
        job = self._learn(msg.job)
        info = self.jobs[job]
        until = self.world.now() + (msg.hold_s or self.world.tuning.reserve_s)
        frees: dict[
            int, list[float] | None
        ] = {}  # reckoned once for all that is asked of a machine
        for spot in msg.spots:
            machine = self.machines.get(self.world.machines.put(spot.machine))
            if machine is None or not self.drawable(machine):
                continue
            key = task_key(job, spot.task)
            if key in machine.tasks or key in machine.launches:
                continue
            if machine.holds.pop(key, None) is not None:
                frees.pop(machine.index, None)
            if machine.index not in frees:
                frees[machine.index] = self.free(machine)
            free = frees[machine.index]
            if free is None:
                continue
            if fits(info.size, free):
                machine.holds[key] = Hold(spot.attempt, until)
                frees[machine.index] = [f - s for f, s in zip(free, info.size, strict=True)]
                out.given.add(task=spot.task, attempt=spot.attempt, session=machine.session)
            elif msg.preempt and self._evict_for(machine, info, free, msg):
                # The room is kept for who asked: else the stopped task itself comes back
                # into it first, and is stopped again.
                machine.holds[key] = Hold(spot.attempt, self.world.now() + EVICT_HOLD_S)
                frees.pop(machine.index)
                out.given.add(task=spot.task, attempt=spot.attempt, evicting=True)
            elif msg.gather and self._may_gather(machine, info, free):
                # Smaller work would take each bit that comes free before there is enough.
                machine.holds[key] = Hold(spot.attempt, self.world.now() + EVICT_HOLD_S)
                frees.pop(machine.index)
                out.given.add(task=spot.task, attempt=spot.attempt, evicting=True)
            self.touch(machine.index)
        return out

    def _may_gather(self, machine: Machine, info: JobInfo, free: list[float]) -> bool:
        """Whether what comes free may be kept for a task: for one at a time."""
        total = self.total(machine)
        return total is not None and fits(info.size, total) and min(free) >= -1e-9

    def _evict_for(
        self, machine: Machine, info: JobInfo, free: list[float], msg: pb.Reserve
    ) -> bool:
        """Stop lower work until the size fits. True when stops under way will make room.

        Where saving would outlast what the new work may wait, the old is stopped without:
        it goes back to its last checkpoint, which loses about as much as saving takes.
        """
        left = list(free)
        chosen: list[int] = []
        victims = []
        for key, seen in machine.tasks.items():
            other = self.jobs.get(split_key(key)[0])
            if seen.state == api.EXITED or other is None:
                continue
            if key in machine.evict or seen.state == api.SAVING:
                left = [a + b for a, b in zip(left, other.size, strict=True)]
            elif may_preempt(info, other, msg.pressing) and key not in self.kept_tasks:
                victims.append((other.guaranteed, other.rank, -seen.since, key, other))
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
            saves = other.checkpoint_s > 0 and not 0 < msg.wait_s <= other.save_s
            machine.evict[key] = other.save_s + 1.0 if saves else 0.0
            job, number = split_key(key)
            log.info(
                "task %s: preempted on %s",
                api.task_name(self.world.jobs[job], number),
                machine.name,
            )
        return True

    def shed(self) -> None:
        """Choose what every machine gives up: what breaks a constraint, then by tabu search.

        A spot notice breaks the constraint of all work that won't be over in time.
        """
        now = self.world.now()
        for index in self.due | self.noticed:
            machine = self.machines.get(index)
            if machine is None:
                self.noticed.discard(index)
                continue
            if not self.world.rests("machine", machine.name):
                try:
                    self._shed(machine, now)
                except Exception as why:
                    self.world.set_aside("machine", machine.name, why)

    def _shed(self, machine: Machine, now: float) -> None:
        chosen: set[int] = set()
        live = {k: s for k, s in machine.tasks.items() if s.state in (api.FETCHING, api.ON)}
        if machine.notice_until is not None and not machine.dead:
            left = machine.notice_until - now
            for key, seen in live.items():
                info = self.jobs.get(split_key(key)[0])
                if info is None:
                    continue
                over = info.estimate_s * 1.2 - (now - seen.since)
                if info.service or seen.state == api.FETCHING or over > left:
                    chosen.add(key)
                if info.checkpoint_s > 0 and left < info.save_s + 2.0 + 0.1 * left:
                    # Nobody took it in time: at least its progress is saved.
                    machine.evict.setdefault(key, info.save_s + 1.0)
                    self._compare_soon(machine.index)
        else:
            chosen = self._overfull(machine, live)
        if chosen != machine.shed:
            machine.shed = chosen
            self.touch(machine.index)

    def _overfull(self, machine: Machine, live: dict[int, Seen]) -> set[int]:
        """By what the report shows, not by what was promised."""
        total = self.total(machine)
        if total is None or machine.dead:
            return set()
        use = [0.0, 0.0, 0.0]
        for key in live:
            info = self.jobs.get(split_key(key)[0])
            if info is None:
                return set()
            use = [a + b for a, b in zip(use, info.size, strict=True)]
        if fits(use, total):
            return set()
        world, now = self.world, self.world.now()
        kind = world.types[machine.type]
        loads = []
        for key, seen in live.items():
            info = self.jobs[split_key(key)[0]]
            fetch = info.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0
            ran = now - seen.since if seen.state == api.ON else 0.0
            cost = shedding.move_cost(ran, info.checkpoint_s > 0, info.checkpoint_s, fetch)
            loads.append(shedding.Load(key, info.size, cost))
        t = world.tuning
        picked = shedding.pick(
            total, loads, t.tabu_restarts, t.tabu_steps, t.tabu_patience, world.rng
        )
        return set(picked)

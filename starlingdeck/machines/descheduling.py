"""Descheduling (DESIGN 3): chooses the tasks that are to leave a shard's machines."""

from starlingdeck.context import fits
from starlingdeck.interning import split_key
from starlingdeck.machines import tabu_search
from starlingdeck.machines.machine import SAVE_MARGIN_S, JobInfo, Machine, ObservedTask
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api
from starlingdeck.protocol.api import MachineType

ESTIMATE_MARGIN = 1.2  # a job's run time may exceed its estimate by a fifth
# Before a termination, the last save starts when the time left falls below the time to save plus
# both of these margins, a fixed one and a share of the time left.
LAST_SAVE_MARGIN_S = 2.0
LAST_SAVE_TIME_LEFT_SHARE = 0.1


class Descheduler:
    """Marks tasks as descheduled, so that their job shards place them elsewhere."""

    def __init__(self, state: ShardState) -> None:
        self.state = state

    def run(self) -> None:
        """Choose the tasks to deschedule on changed machines and those with a termination notice.

        A termination notice breaks a constraint of every task that won't end in time, so these
        are chosen. On the other machines a tabu search resolves overcommitment.
        """
        state, context = self.state, self.state.context
        now = context.now()
        for index in state.to_reconcile | state.termination_noticed:
            machine = state.machines.get(index)
            if machine is None:
                state.termination_noticed.discard(index)
                continue
            if not context.is_quarantined("machine", machine.name):
                try:
                    self._deschedule(machine, now)
                except Exception as error:  # one machine must not stop the others
                    context.quarantine_after_failure("machine", machine.name, error)

    def _deschedule(self, machine: Machine, now: float) -> None:
        live = {
            k: t
            for k, t in machine.tasks.items()
            if t.state in (api.TASK_FETCHING, api.TASK_RUNNING)
        }
        if machine.termination_at is not None and not machine.lost:
            chosen = self._ending_too_late(machine, live, machine.termination_at, now)
        else:
            chosen = self._overcommitted(machine, live)
        if chosen != machine.descheduled:
            machine.descheduled = chosen
            self.state.mark_changed(machine.index)

    def _ending_too_late(
        self, machine: Machine, live: dict[int, ObservedTask], termination_at: float, now: float
    ) -> set[int]:
        """Return the tasks that won't end before the machine is taken away.

        Those that must save now are also marked for eviction.
        """
        chosen: set[int] = set()
        time_left_s = termination_at - now
        for key, observed in live.items():
            info = self.state.jobs.get(split_key(key)[0])
            if info is None:
                continue
            remaining_s = info.estimate_s * ESTIMATE_MARGIN - (now - observed.state_since)
            if info.service or observed.state == api.TASK_FETCHING or remaining_s > time_left_s:
                chosen.add(key)
            last_save_s = info.save_s + LAST_SAVE_MARGIN_S + LAST_SAVE_TIME_LEFT_SHARE * time_left_s
            if info.checkpoint_s > 0 and time_left_s < last_save_s:
                # It was not placed elsewhere in time: evict it so that it saves its progress.
                machine.evictions.setdefault(key, info.save_s + SAVE_MARGIN_S)
                self.state.schedule_reconcile(machine.index)
        return chosen

    def _overcommitted(self, machine: Machine, live: dict[int, ObservedTask]) -> set[int]:
        """Return tasks whose removal makes the others fit on an overcommitted machine.

        Only tasks in its report count, not pending launches or reservations.
        """
        total = self.state.capacity(machine)
        if total is None or machine.lost:
            return set()
        infos: dict[int, JobInfo] = {}
        use = [0.0, 0.0, 0.0]
        for key in live:
            info = self.state.jobs.get(split_key(key)[0])
            if info is None:
                return set()
            infos[key] = info
            use = [a + b for a, b in zip(use, info.size, strict=True)]
        if fits(use, total):
            return set()
        context = self.state.context
        machine_type, now = context.machine_types[machine.type], context.now()
        tasks = [
            _running_task(key, observed, infos[key], machine_type, now)
            for key, observed in live.items()
        ]
        tuning = context.tuning
        return set(
            tabu_search.choose_tasks(
                total,
                tasks,
                tuning.tabu_restarts,
                tuning.tabu_steps,
                tuning.tabu_patience,
                context.rng,
            )
        )


def _running_task(
    key: int, observed: ObservedTask, info: JobInfo, machine_type: MachineType, now: float
) -> tabu_search.RunningTask:
    fetch_s = (
        info.image_gb / machine_type.fetch_gb_per_s if machine_type.fetch_gb_per_s > 0 else 0.0
    )
    ran_s = now - observed.state_since if observed.state == api.TASK_RUNNING else 0.0
    cost = tabu_search.move_cost(ran_s, info.checkpoint_s > 0, info.checkpoint_s, fetch_s)
    return tabu_search.RunningTask(key, info.size, cost)

"""Chooses the tasks that a shard's machines give up: descheduling (DESIGN 3)."""

from starlingdeck.context import fits
from starlingdeck.interning import split_key
from starlingdeck.machines import tabu_search
from starlingdeck.machines.machine import SAVE_MARGIN_S, JobInfo, Machine, ObservedTask
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api
from starlingdeck.protocol.api import MachineType

ESTIMATE_MARGIN = 1.2  # a job's run time may exceed its estimate by a fifth
LAST_SAVE_MARGIN_S = 2.0  # before a termination, beyond the time to save
LAST_SAVE_SHARE = 0.1  # of the time left, beyond the time to save


class Descheduler:
    """Marks tasks as descheduled; their job shards place them elsewhere."""

    def __init__(self, state: ShardState) -> None:
        self.state = state

    def run(self) -> None:
        """Choose for each changed machine: what breaks a constraint, then by tabu search.

        A termination notice breaks the constraint of all tasks that won't end in time.
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
                except Exception as error:  # the outermost edge for one machine: others go on
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
        """The tasks that won't end before the machine is taken away."""
        chosen: set[int] = set()
        left = termination_at - now
        for key, observed in live.items():
            info = self.state.jobs.get(split_key(key)[0])
            if info is None:
                continue
            remaining = info.estimate_s * ESTIMATE_MARGIN - (now - observed.state_since)
            if info.service or observed.state == api.TASK_FETCHING or remaining > left:
                chosen.add(key)
            last_save_s = info.save_s + LAST_SAVE_MARGIN_S + LAST_SAVE_SHARE * left
            if info.checkpoint_s > 0 and left < last_save_s:
                # Not placed elsewhere in time: at least its progress is saved.
                machine.evictions.setdefault(key, info.save_s + SAVE_MARGIN_S)
                self.state.schedule_reconcile(machine.index)
        return chosen

    def _overcommitted(self, machine: Machine, live: dict[int, ObservedTask]) -> set[int]:
        """The tasks that make an overcommitted machine fit, by what its report shows alone."""
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
        kind, now = context.machine_types[machine.type], context.now()
        tasks = [
            _running_task(key, observed, infos[key], kind, now) for key, observed in live.items()
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
    key: int, observed: ObservedTask, info: JobInfo, kind: MachineType, now: float
) -> tabu_search.RunningTask:
    fetch_s = info.image_gb / kind.fetch_gb_per_s if kind.fetch_gb_per_s > 0 else 0.0
    ran_s = now - observed.state_since if observed.state == api.TASK_RUNNING else 0.0
    cost = tabu_search.move_cost(ran_s, info.checkpoint_s > 0, info.checkpoint_s, fetch_s)
    return tabu_search.RunningTask(key, info.size, cost)

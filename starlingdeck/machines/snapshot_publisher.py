"""Builds the snapshots of a machine shard's state, either in full or of what has changed."""

from collections.abc import Iterable, Mapping

from starlingdeck.interning import split_key
from starlingdeck.machines.desired_state import DesiredStateTracker
from starlingdeck.machines.lease_monitor import FAULTY_DRAIN_DELAY_S
from starlingdeck.machines.machine import JobInfo, Machine
from starlingdeck.machines.shard_state import ShardState
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

NO_TASK_S = -1.0  # published for a rank without preemptible tasks


class SnapshotPublisher:
    """Builds the snapshot messages for the followers of a shard; `seq` numbers the updates."""

    def __init__(self, state: ShardState, desired: DesiredStateTracker) -> None:
        self.state = state
        self.desired = desired
        self.seq = 0

    def update(self, valid: bool) -> pb.Snapshot:
        """Return a snapshot of what has changed since the last one.

        A machine that is due to be reconciled again since the desired state was applied is shown as
        not fenced, and published again later. If it were left out, followers would read its last
        entry together with the acknowledgement of the desired state, and take a start under way for
        refused.
        """
        state = self.state
        self.seq += 1
        published, state.to_publish = state.to_publish, state.to_publish & state.to_reconcile
        removed, state.removed_machines = state.removed_machines, set()
        state.changed = bool(state.to_publish)
        message = self._header(valid)
        message.removed_machines.extend(state.context.machine_names[m] for m in removed)
        self._add_entries(message, published)
        return message

    def full(self, valid: bool) -> pb.Snapshot:
        """Return a snapshot of the whole shard for a new follower, numbered as the last update."""
        state = self.state
        message = self._header(valid)
        message.full = True
        self._add_entries(message, state.machines)
        state.to_publish |= state.to_reconcile
        state.changed |= bool(state.to_reconcile)
        return message

    def _header(self, valid: bool) -> pb.Snapshot:
        state, context = self.state, self.state.context
        message = pb.Snapshot(shard=state.shard, epoch=state.epoch, seq=self.seq, valid=valid)
        message.timestamp_ms = int(context.now() * 1000)
        for shard, (token, seq) in self.desired.applied_seqs.items():
            message.acks.add(shard=shard, token=token, seq=seq)
        message.lost_machines.extend(context.machine_names[m] for m in self._lost_machines())
        return message

    def _lost_machines(self) -> Iterable[int]:
        """Return the machines named by desired states on which no task can run any more.

        These are the deleted machines, and those that have not reported here although all leases
        renewed by a former owner have ended.
        """
        state = self.state
        expired = state.context.now() > state.former_leases_end_at
        return [
            m
            for m in self.desired.machines()
            if m in state.deleted_machines or (expired and m not in state.machines)
        ]

    def _add_entries(self, message: pb.Snapshot, indices: Iterable[int]) -> None:
        state = self.state
        for index in indices:
            machine = state.machines.get(index)
            if machine is None:
                continue
            before = len(message.machines)
            try:
                self._add_entry(message, machine)
            except Exception as error:  # one machine must not stop the others
                # Publish it as unfenced and without tasks, so that followers conclude nothing from
                # its last entry.
                state.context.quarantine_after_failure("machine", machine.name, error)
                del message.machines[before:]
                message.machines.add(id=machine.name, session=machine.session)

    def _add_entry(self, message: pb.Snapshot, machine: Machine) -> None:
        state, context = self.state, self.state.context
        now = context.now()
        free = state.available(machine)
        machine.published_schedulable = state.is_schedulable(machine)
        entry = message.machines.add(
            id=machine.name,
            address=machine.address,
            type=context.type_names[machine.type],
            zone=context.zone_names[machine.zone],
            spot=machine.spot,
            session=machine.session,
            # No task may be taken for absent on a machine that is due to be reconciled.
            fenced=state.is_fenced(machine) and machine.index not in state.to_reconcile,
            lost=machine.lost,
            schedulable=free is not None and machine.published_schedulable,
            images=list(machine.images),
            # A draining machine is returned to the cloud when it is empty. A faulty one is drained
            # only after other jobs have had the time to succeed on it.
            draining=machine.draining
            or (
                machine.faulty_since is not None
                and now - machine.faulty_since > FAULTY_DRAIN_DELAY_S
            ),
            termination_notice=machine.termination_at is not None,
            silent_s=now - machine.last_message_at,
            idle_s=now - machine.empty_since,
            unconfirmed_s=machine.unconfirmed_s(now, state.lease_s),
        )
        entry.fetching.extend(_fetching_images(machine, state.jobs))
        entry.youngest_s.extend(self._youngest_s_by_rank(machine))
        if free is None:
            state.awaiting_job_info.add(machine.index)
        else:
            entry.available_cpus, entry.available_gpus, entry.available_memory_gb = free
        for key, observed in machine.tasks.items():
            if observed.state == api.TASK_EXITED and self._end_is_recorded(machine, key):
                continue  # it only waits to be removed
            job, number = split_key(key)
            entry.tasks.add(
                job=context.job_names[job],
                task=number,
                attempt=observed.attempt,
                state=observed.state,
                cause=observed.cause,
                saved=observed.saved,
                descheduled=key in machine.descheduled,
            )
        pending = [(key, launch.attempt) for key, launch in machine.pending_launches.items()]
        for key, attempt in pending + machine.vanished:
            job, number = split_key(key)
            entry.tasks.add(
                job=context.job_names[job],
                task=number,
                attempt=attempt,
                state=api.TASK_PENDING,
            )

    def _end_is_recorded(self, machine: Machine, key: int) -> bool:
        """Return whether the owner of a task's job no longer desires any attempt on a machine."""
        return self.desired.is_synced(key) and self.desired.find(machine.index, key) is None

    def _youngest_s_by_rank(self, machine: Machine) -> list[float]:
        """Return, by rank, the least run time that preempting a task would lose, in seconds."""
        jobs, protected = self.state.jobs, self.desired.protected_tasks
        now = self.state.context.now()
        youngest = [NO_TASK_S] * len(api.RANKS)
        for key, observed in machine.tasks.items():
            info = jobs.get(split_key(key)[0])
            if (
                info is None
                or observed.state not in (api.TASK_FETCHING, api.TASK_RUNNING)
                or key in machine.evictions
                or key in protected
            ):
                continue
            ran_s = now - observed.state_since if observed.state == api.TASK_RUNNING else 0.0
            if info.checkpoint_s > 0:
                ran_s = min(ran_s, info.checkpoint_s)
            rank = min(info.rank, len(youngest) - 1)
            if youngest[rank] < 0 or ran_s < youngest[rank]:
                youngest[rank] = ran_s
        return youngest


def _fetching_images(machine: Machine, jobs: Mapping[int, JobInfo]) -> set[str]:
    """Return the images being fetched, or to be fetched for the tasks about to start."""
    waiting = {k for k, observed in machine.tasks.items() if observed.state == api.TASK_FETCHING}
    waiting |= machine.pending_launches.keys() | machine.reservations.keys()
    infos = [jobs.get(split_key(key)[0]) for key in waiting]
    return {i.image for i in infos if i is not None and i.image not in machine.images}

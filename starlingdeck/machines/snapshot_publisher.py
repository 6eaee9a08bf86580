"""What a machine shard shows: everything, or what has changed."""

from collections.abc import Iterable

from starlingdeck.interning import split_key
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.reservations import ReservationManager
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

FAULTY_DRAIN_DELAY_S = 10.0  # (start) a sick machine is not returned sooner


class SnapshotPublisher(ReservationManager):
    """Messages to who follows this shard."""

    def never_reported(self) -> Iterable[int]:
        """Machines that jobs name and that are proven gone without ever reporting here."""
        late = self.context.now() > self.former_leases_end_at
        named = {m for table in self.desired_tasks.values() for m in table}
        return [m for m in named if m in self.deleted_machines or (late and m not in self.machines)]

    def snapshot_update(self, valid: bool) -> pb.Snapshot:
        """What has changed since the last view.

        A machine that is due again since its lists were reconciled is shown as not fenced, and
        once more later: left out, its last showing would stand beside the news that the lists
        are applied, and a start under way would pass for refused.
        """
        self.seq += 1
        shown, self.to_publish = self.to_publish, self.to_publish & self.to_reconcile
        removed, self.removed_machines = self.removed_machines, set()
        self.changed = bool(self.to_publish)
        out = self._header(valid)
        out.removed_machines.extend(self.context.machine_names[m] for m in removed)
        self._entries(out, shown)
        return out

    def full_snapshot(self, valid: bool) -> pb.Snapshot:
        """Everything, for who has not followed; numbered like the last difference."""
        out = self._header(valid)
        out.full = True
        self._entries(out, self.machines)
        self.to_publish |= self.to_reconcile
        self.changed |= bool(self.to_reconcile)
        return out

    def _header(self, valid: bool) -> pb.Snapshot:
        out = pb.Snapshot(shard=self.shard, epoch=self.epoch, seq=self.seq, valid=valid)
        out.timestamp_ms = int(self.context.now() * 1000)
        for shard, (token, seq) in self.applied_seqs.items():
            out.acks.add(shard=shard, token=token, seq=seq)
        out.lost_machines.extend(self.context.machine_names[m] for m in self.never_reported())
        return out

    def _entries(self, out: pb.Snapshot, shown: Iterable[int]) -> None:
        for index in shown:
            machine = self.machines.get(index)
            if machine is None:
                continue
            before = len(out.machines)
            try:
                self._entry(out, machine)
            except Exception as error:
                # Nothing may be concluded from what was shown of it before.
                self.context.quarantine_failed("machine", machine.name, error)
                del out.machines[before:]
                out.machines.add(id=machine.name, session=machine.session)

    def _entry(self, out: pb.Snapshot, machine: Machine) -> None:
        context = self.context
        free = self.available(machine)
        machine.published_schedulable = self.is_schedulable(machine)
        entry = out.machines.add(
            id=machine.name,
            address=machine.address,
            type=context.type_names[machine.type],
            zone=context.zone_names[machine.zone],
            spot=machine.spot,
            session=machine.session,
            # Of a machine that is due nothing may be called absent yet.
            fenced=self.is_fenced(machine) and machine.index not in self.to_reconcile,
            lost=machine.lost,
            schedulable=free is not None and machine.published_schedulable,
            images=list(machine.images),
            # Returned when it is empty: not before others had the time to speak for it.
            draining=machine.draining
            or (
                machine.faulty_since is not None
                and context.now() - machine.faulty_since > FAULTY_DRAIN_DELAY_S
            ),
            termination_notice=machine.termination_at is not None,
            silent_s=context.now() - machine.last_message_at,
            idle_s=context.now() - machine.empty_since,
            unconfirmed_s=machine.unconfirmed_s(context.now(), self.lease_s),
        )
        entry.fetching.extend(self._fetching(machine))
        entry.youngest_s.extend(self._youngest(machine))
        if free is None:
            self.awaiting_job_info.add(machine.index)
        else:
            entry.available_cpus, entry.available_gpus, entry.available_memory_gb = free
        for key, observed in machine.tasks.items():
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
        for key, launch in machine.pending_launches.items():
            job, number = split_key(key)
            entry.tasks.add(
                job=context.job_names[job], task=number, attempt=launch.attempt, state=api.PENDING
            )

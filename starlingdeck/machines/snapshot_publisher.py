"""What a machine shard shows: everything, or what has changed."""

from collections.abc import Iterable

from starlingdeck.interning import split_key
from starlingdeck.machines.machine import Machine
from starlingdeck.machines.reservations import RoomKeeper
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb

SICK_SURE_S = 10.0  # (start) a sick machine is not returned sooner


class Views(RoomKeeper):
    """Messages to who follows this shard."""

    def unheard(self) -> Iterable[int]:
        """Machines that jobs name and that are proven gone without ever reporting here."""
        late = self.world.now() > self.quiet_until
        named = {m for table in self.wants.values() for m in table}
        return [m for m in named if m in self.gone or (late and m not in self.machines)]

    def view(self, valid: bool) -> pb.View:
        """What has changed since the last view.

        A machine that is due again since its lists were reconciled is shown as not fenced, and
        once more later: left out, its last showing would stand beside the news that the lists
        are applied, and a start under way would pass for refused.
        """
        self.seq += 1
        shown, self.news = self.news, self.news & self.due
        removed, self.removed = self.removed, set()
        self.changed = bool(self.news)
        out = self._frame(valid)
        out.removed.extend(self.world.machines[m] for m in removed)
        self._entries(out, shown)
        return out

    def whole_view(self, valid: bool) -> pb.View:
        """Everything, for who has not followed; numbered like the last difference."""
        out = self._frame(valid)
        out.whole = True
        self._entries(out, self.machines)
        self.news |= self.due
        self.changed |= bool(self.due)
        return out

    def _frame(self, valid: bool) -> pb.View:
        out = pb.View(shard=self.shard, gen=self.gen, seq=self.seq, valid=valid)
        out.stamp_ms = int(self.world.now() * 1000)
        for shard, (token, seq) in self.settled.items():
            out.acks.add(shard=shard, token=token, seq=seq)
        out.dead.extend(self.world.machines[m] for m in self.unheard())
        return out

    def _entries(self, out: pb.View, shown: Iterable[int]) -> None:
        for index in shown:
            machine = self.machines.get(index)
            if machine is None:
                continue
            before = len(out.machines)
            try:
                self._entry(out, machine)
            except Exception as why:
                # Nothing may be concluded from what was shown of it before.
                self.world.set_aside("machine", machine.name, why)
                del out.machines[before:]
                out.machines.add(id=machine.name, session=machine.session)

    def _entry(self, out: pb.View, m: Machine) -> None:
        world = self.world
        free = self.free(m)
        m.drawn = self.drawable(m)
        entry = out.machines.add(
            id=m.name,
            address=m.address,
            type=world.type_names[m.type],
            zone=world.zones[m.zone],
            spot=m.spot,
            session=m.session,
            # Of a machine that is due nothing may be called absent yet.
            fenced=self.fenced(m) and m.index not in self.due,
            dead=m.dead,
            drawable=free is not None and m.drawn,
            images=list(m.images),
            # Returned when it is empty: not before others had the time to speak for it.
            draining=m.draining or (m.sick is not None and world.now() - m.sick > SICK_SURE_S),
            notice=m.notice_until is not None,
            silent_s=world.now() - m.heard,
            idle_s=world.now() - m.empty_since,
            deaf_s=m.deaf_s(world.now(), self.lease_s),
        )
        entry.fetching.extend(self._fetching(m))
        entry.youngest_s.extend(self._youngest(m))
        if free is None:
            self.blind.add(m.index)
        else:
            entry.free_cpus, entry.free_gpus, entry.free_memory_gb = free
        for key, seen in m.tasks.items():
            job, number = split_key(key)
            entry.tasks.add(
                job=world.jobs[job],
                task=number,
                attempt=seen.attempt,
                state=seen.state,
                why=seen.why,
                saved=seen.saved,
                shed=key in m.shed,
            )
        for key, launch in m.launches.items():
            job, number = split_key(key)
            entry.tasks.add(
                job=world.jobs[job], task=number, attempt=launch.attempt, state=api.PENDING
            )

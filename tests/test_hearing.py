"""What machines and controllers hear of each other: copies, half-open links, new lives."""

from dataclasses import dataclass, field

from starlingdeck.coordination.jobs import Job, JobShard, Place, new_job
from starlingdeck.coordination.machines import MachineShard
from starlingdeck.coordination.shards import job_shard
from starlingdeck.coordination.sights import Sight, follow
from starlingdeck.coordination.world import World
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from tests.build import Clock, make_world, spec


@dataclass
class Pair:
    """A job shard, and the holder of the shard that vm-1 belongs to."""

    clock: Clock = field(default_factory=Clock)
    sights: dict[int, Sight] = field(default_factory=dict)
    token: int = 5
    seq: int = 0

    def __post_init__(self) -> None:
        self.world: World = make_world(self.clock)
        self.jobs = JobShard(self.world, job_shard("j-000001", 3), 3, 9)
        self.machines = self.held()

    def held(self, wait_s: float = 0.0) -> MachineShard:
        """By a new holder, who knows nothing of what the former one saw."""
        self.token += 1
        self.machines = MachineShard(self.world, 1, self.token, self.token, wait_s)
        return self.machines

    def report(
        self,
        *tasks: tuple[str, int, str],
        session: int = 1,
        seq: int = 0,
        token: int | None = None,
        called: bool = False,
    ) -> bool:
        """A worker's report, or the answer to a call; whether it was taken as news."""
        self.seq = seq or self.seq + 1
        body = [api.ReportTask(n, a, s, "halted" if s == "exited" else None) for n, a, s in tasks]
        seen = self.token if token is None else token
        report = api.Report("vm-1", "x", "small", "b", session, self.seq, seen, tasks=body)
        before = self.machines.machines.get(0)
        mark = (before.session, before.seq) if before is not None else None
        machine = self.machines.take_report(report, not called)
        return (machine.session, machine.seq) != mark

    def place(self, attempt: int = 1) -> Job:
        """A task recorded on vm-1."""
        index = self.world.machines.put("vm-1")
        job = new_job(self.world, spec("j-000001", chores=1), self.jobs.shard, 0)
        job.places[0] = Place(index, 1, attempt, 1, self.world.zones.put("b"))
        job.state[0] = 1
        self.jobs.adopt(job)
        return job

    def exchange(self) -> list[tuple[str, int]]:
        """Lists, reconciling and views once; the starts sent."""
        self.machines.apply_wants(self.jobs.wants(1, self.machines.gen, True))
        sent = []
        for machine in self.machines.reconcile():
            orders = self.machines.orders(machine, True)
            sent += [(c.task, c.attempt) for c in orders.commands if c.op == api.START]
        follow(self.world, self.sights, self.machines.whole_view(True))
        self.jobs.apply_view(self.sights[1], None)
        return sent


def test_what_one_holder_refused_is_not_started_by_the_next() -> None:
    """A refused start was freed and its end not yet recorded when its machine's owner crashed;
    the next one was told of the attempt again and started it, 12 times beside a second one."""
    pair = Pair()
    full = ("j-000009/0", 1, "running"), ("j-000009/1", 1, "running")
    pair.report(*full)
    pair.machines._learn(pb.Job(id="j-000009", cpus=2.0))
    job = pair.place()
    assert pair.exchange() == [] and job.ends  # no room: refused, and so freed
    pair.held()
    pair.report()
    assert pair.exchange() == [] and job.ends  # there is room now

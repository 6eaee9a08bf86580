"""Figures that the log gets once a minute."""

from collections.abc import Iterator, Mapping

from starlingdeck.context import World
from starlingdeck.jobs.admission import Admission
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import Writer
from starlingdeck.machines.machine_shard import MachineShard


def hearing(shards: Mapping[int, MachineShard]) -> Iterator[str]:
    for shard, machines in shards.items():
        deaf = machines.deaf()
        yield (
            f"machines of shard {shard}: {len(machines.machines)} known, {len(deaf)} hear "
            f"nothing, longest {max(deaf, default=0.0):.0f} s, "
            f"{machines.copies} copies passed over, {machines.unsaid_reports} reports not answered "
            "for want of a word"
        )


def largest(world: World, writers: Mapping[int, Writer], admission: Admission) -> Iterator[str]:
    """Of each class's largest tenth: what has waited longest to begin, and why it waits."""
    classes: dict[tuple[str, str], list[Job]] = {}
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            classes.setdefault((job.spec.team, job.spec.cls), []).append(job)
    wall_ms = world.wall_ms()
    for (team, cls), jobs in sorted(classes.items()):
        jobs.sort(key=lambda job: -job.spec.tasks * max(job.spec.cpus, 1e-9))
        largest = jobs[: max(1, len(jobs) // 10)]
        unbegun = [job for job in largest if not (job.finished or job.places)]
        oldest = min(unbegun, key=lambda job: job.at_ms, default=None)
        if oldest is not None:
            why = ", ".join(w.because for w in admission.waits(oldest))
            age_s = (wall_ms - oldest.at_ms) / 1000
            yield (
                f"{team}/{cls}: oldest unbegun of the largest {oldest.id}, {oldest.spec.tasks} "
                f"tasks, {age_s:.0f} s, {why or 'no machine has room'}"
            )


def waiting(world: World, writers: Mapping[int, Writer]) -> Iterator[tuple[str, str, int, float]]:
    """The tasks here that wait for a machine, job by job."""
    wall_ms = world.wall_ms()
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            if tasks := len(job.pending(job.spec.tasks)):
                age_s = (wall_ms - job.at_ms) / 1000
                yield job.spec.team, job.spec.cls, tasks, age_s

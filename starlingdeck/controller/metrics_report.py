"""Figures that the log gets once a minute."""

from collections.abc import Iterator, Mapping

from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.metrics.counters import WaitingTasks


def reachability_lines(shards: Mapping[int, MachineShard]) -> Iterator[str]:
    for shard, machines in shards.items():
        deaf = machines.unreachable_counts()
        yield (
            f"machines of shard {shard}: {len(machines.machines)} known, {len(deaf)} hear "
            f"nothing, longest {max(deaf, default=0.0):.0f} s, "
            f"{machines.stale_reports} copies passed over, "
            f"{machines.unconfirmed_reports} reports not answered "
            "for want of a word"
        )


def starving_lines(
    context: ControllerContext, writers: Mapping[int, RecordWriter], admission: AdmissionController
) -> Iterator[str]:
    """Of each class's largest tenth: what has waited longest to begin, and why it waits."""
    classes: dict[tuple[str, str], list[Job]] = {}
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            classes.setdefault((job.spec.team, job.spec.cls), []).append(job)
    now_ms = context.wall_clock_ms()
    for (team, cls), jobs in sorted(classes.items()):
        jobs.sort(key=lambda job: -job.spec.tasks * max(job.spec.cpus, 1e-9))
        largest = jobs[: max(1, len(jobs) // 10)]
        unbegun = [job for job in largest if not (job.completed or job.placements)]
        oldest = min(unbegun, key=lambda job: job.submitted_ms, default=None)
        if oldest is not None:
            error = ", ".join(w.reason for w in admission.wait_reasons(oldest))
            age_s = (now_ms - oldest.submitted_ms) / 1000
            yield (
                f"{team}/{cls}: oldest unbegun of the largest {oldest.id}, {oldest.spec.tasks} "
                f"tasks, {age_s:.0f} s, {error or 'no machine has room'}"
            )


def waiting_tasks(
    context: ControllerContext, writers: Mapping[int, RecordWriter]
) -> Iterator[WaitingTasks]:
    """The tasks here that wait for a machine, job by job."""
    now_ms = context.wall_clock_ms()
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            if tasks := len(job.pending(job.spec.tasks)):
                age_s = (now_ms - job.submitted_ms) / 1000
                yield WaitingTasks(job.spec.team, job.spec.cls, tasks, age_s)

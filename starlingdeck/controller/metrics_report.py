"""Metrics that a controller logs once a minute."""

import logging
from collections.abc import Iterator, Mapping

import curio
from msgspec import Struct

from starlingdeck.api.answer_guard import AnswerGuard
from starlingdeck.context import ControllerContext
from starlingdeck.jobs.admission import AdmissionController
from starlingdeck.jobs.job import Job
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.machines.machine_shard import MachineShard
from starlingdeck.metrics.counters import WaitingTasks
from starlingdeck.scheduling.overload import OverloadController
from starlingdeck.transport.server import HttpServer

log = logging.getLogger(__name__)

METRICS_INTERVAL_S = 60.0
LARGEST_JOBS_DIVISOR = 10  # the largest tenth of the jobs of each class is checked for starvation
MIN_CPUS = 1e-9  # makes jobs that request no CPUs comparable by their number of tasks


class MetricsReporter(Struct, kw_only=True, eq=False, dict=True):
    """Logs the metrics of all components of a controller, one per line."""

    context: ControllerContext
    http_server: HttpServer
    writers: Mapping[int, RecordWriter]
    machines: Mapping[int, MachineShard]
    admission: AdmissionController
    answers: AnswerGuard
    overload: OverloadController | None

    async def run(self) -> None:
        """Log the metrics every METRICS_INTERVAL_S, and the profile of tasks at level debug."""
        while True:
            await curio.sleep(METRICS_INTERVAL_S)
            for line in self.lines():
                log.info("%s", line)
            if self.context.profiler is not None:
                for line in self.context.profiler.lines():
                    log.debug("%s", line)

    def lines(self) -> Iterator[str]:
        """Yield the lines for the interval since the last call; reset latencies and counters."""
        yield from self.context.latencies.lines()
        yield from self.context.counters.lines(waiting_tasks(self.context, self.writers))
        if self.admission.durable is not None:
            yield from self.admission.durable.lines()
        if self.overload is not None:
            yield from self.overload.lines()
        yield connection_line(self.http_server)
        yield self.answers.line()
        yield from reachability_lines(self.machines)
        yield from late_start_lines(self.writers)
        yield from starvation_lines(self.context, self.writers, self.admission)


def connection_line(server: HttpServer) -> str:
    """Return the line with the HTTP server's open connections.

    Connections refused, evicted, or closed with the response because of the connection limit are
    counted since the process started.
    """
    connections = server.connections
    return (
        f"connections: open={connections.open} limit={connections.limit} "
        f"workers={connections.workers} refused={server.refused} evicted={server.evicted} "
        f"closed_after_response={server.closed_after_response}"
    )


def reachability_lines(shards: Mapping[int, MachineShard]) -> Iterator[str]:
    """Yield a line for each machine shard: unreachable machines, rejected reports, raised tokens.

    Unreachable machines send reports but seem to receive nothing from this controller.
    """
    for shard, machines in shards.items():
        unreachable_s = machines.unreachable_ages_s()
        yield (
            f"machine reachability: shard={shard} machines={len(machines.machines)} "
            f"unreachable={len(unreachable_s)} "
            f"longest_unreachable_s={max(unreachable_s, default=0.0):.0f} "
            f"stale_reports={machines.stale_reports} "
            f"unconfirmed_reports={machines.unconfirmed_reports} "
            f"tokens_raised_for_starts={machines.fence.raises}"
        )


def late_start_lines(writers: Mapping[int, RecordWriter]) -> Iterator[str]:
    """Yield a line for each job shard of which attempts were seen to run after their end."""
    for shard, writer in writers.items():
        if count := writer.shard.late_starts.count:
            yield f"attempts started late: shard={shard} count={count}"


def starvation_lines(
    context: ControllerContext, writers: Mapping[int, RecordWriter], admission: AdmissionController
) -> Iterator[str]:
    """Yield a line for each team and class that has a large job that has not started.

    It shows the oldest such job and why that job waits. Large jobs are the largest tenth by
    requested CPUs.
    """
    jobs_by_class: dict[tuple[str, str], list[Job]] = {}
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            jobs_by_class.setdefault((job.spec.team, job.spec.cls), []).append(job)
    now_ms = context.wall_clock_ms()
    for (team, cls), jobs in sorted(jobs_by_class.items()):
        jobs.sort(key=lambda job: -job.spec.tasks * max(job.spec.cpus, MIN_CPUS))
        largest = jobs[: max(1, len(jobs) // LARGEST_JOBS_DIVISOR)]
        unstarted = [job for job in largest if not (job.completed or job.placements)]
        oldest = min(unstarted, key=lambda job: job.submitted_ms, default=None)
        if oldest is not None:
            reason = ", ".join(waiting.reason for waiting in admission.wait_reasons(oldest))
            age_s = (now_ms - oldest.submitted_ms) / 1000
            yield (
                f"oldest unstarted large job: team={team} class={cls} job={oldest.id} "
                f"tasks={oldest.spec.tasks} age_s={age_s:.0f} "
                f"reason={reason or 'no machine has capacity'}"
            )


def waiting_tasks(
    context: ControllerContext, writers: Mapping[int, RecordWriter]
) -> Iterator[WaitingTasks]:
    """Yield the number of tasks waiting for a machine for each job of the owned shards."""
    now_ms = context.wall_clock_ms()
    for writer in writers.values():
        for job in writer.shard.jobs.values():
            if tasks := len(job.pending(job.spec.tasks)):
                age_s = (now_ms - job.submitted_ms) / 1000
                yield WaitingTasks(job.spec.team, job.spec.cls, tasks, age_s)

"""Measures a rung: the increase of its counters from the end of the warm-up to the end."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from standins.scale.checker import Checker
from standins.scale.faults import FaultInjector
from standins.scale.measure import Traffic, port_traffic, process_usage
from standins.scale.report import Row, Waits, limiting_components, percentile
from standins.scale.site import Site
from standins.scale.users import SUBMIT_TIMEOUT_S, WorkloadGenerator
from standins.simulated_workers import HostStats
from standins.state import StateStats
from starlingdeck.protocol.config import split_address


@dataclass
class CounterSnapshot:
    """All counters at one moment; `cpu`: seconds of processor time by process name."""

    at: float
    cpu: dict[str, float]
    state: StateStats
    hosts: list[HostStats]
    starts: int
    submissions: int
    polls: int
    traffic: dict[int, Traffic] | None


class RungMeasurement:
    """Reads the counters of a rung's processes, users and checker."""

    def __init__(
        self,
        site: Site,
        checker: Checker,
        users: WorkloadGenerator,
        fault_injector: FaultInjector,
    ) -> None:
        self.site = site
        self.checker = checker
        self.users = users
        self.fault_injector = fault_injector
        self.own_pid = int(Path("/proc/self").resolve().name)

    async def snapshot(self) -> CounterSnapshot:
        """Reads every counter once."""
        own = process_usage(self.own_pid)
        cpu = {name: self.site.cpu_s(name) for name in self.site.processes}
        cpu["users"] = own.cpu_s if own is not None else 0.0
        return CounterSnapshot(
            time.monotonic(),
            cpu,
            await self.site.state_stats(),
            await self.site.host_stats(),
            self.checker.starts,
            self.users.submissions,
            self.users.polls,
            port_traffic(self.site.ports()),
        )

    def row(self, first: CounterSnapshot, last: CounterSnapshot, run_started_at: float) -> Row:
        """Returns the rung's figures between two snapshots."""
        seconds = last.at - first.at
        workers = self.site.rung.workers

        def cores(name: str) -> float:
            return round((last.cpu[name] - first.cpu.get(name, 0.0)) / seconds, 4)

        def hosts_increase(counter: Callable[[HostStats], int]) -> float:
            return float(sum(map(counter, last.hosts)) - sum(map(counter, first.hosts)))

        def state_rate(counter: Callable[[StateStats], int]) -> float:
            return float(counter(last.state) - counter(first.state)) / seconds

        controller_numbers = range(self.site.rung.controllers)
        usages = [
            usage for i in controller_numbers if (usage := self.site.usage(f"n-{i}")) is not None
        ]
        row = Row(
            name=self.site.rung.name,
            workers=workers,
            controllers=self.site.rung.controllers,
            asked_starts=self.site.plan.requested_starts_per_s(self.site.rung),
            seconds=round(seconds, 2),
            starts=(last.starts - first.starts) / seconds,
            reports=hosts_increase(lambda stats: stats.reports) / seconds,
            submissions=(last.submissions - first.submissions) / seconds,
            polls=(last.polls - first.polls) / seconds,
            running=len(self.checker.running),
            controller_cores=[cores(f"n-{i}") for i in controller_numbers],
            controller_mb=max((usage.memory for usage in usages), default=0) / 2**20,
            controller_descriptors=max((usage.descriptors for usage in usages), default=0),
            state_cores=cores("state"),
            host_cores=[cores(f"host-{i}") for i in range(len(self.site.hosts))],
            users_cores=cores("users"),
            state_requests=state_rate(lambda stats: stats.requests),
            state_changes=state_rate(lambda stats: stats.changes),
            state_bytes=state_rate(lambda stats: stats.bytes),
            state_read_bytes=state_rate(lambda stats: stats.read_bytes),
            state_keys=last.state.keys,
            state_puts={
                kind: count - first.state.put.get(kind, 0) for kind, count in last.state.put.items()
            },
            over_rate=last.state.over_rate - first.state.over_rate,
            malformed=last.state.malformed,
            report_bytes=(
                hosts_increase(lambda stats: stats.report_bytes)
                + hosts_increase(lambda stats: stats.reply_bytes)
            )
            / seconds
            / workers,
            command_bytes=hosts_increase(lambda stats: stats.command_bytes) / seconds / workers,
            worker_bytes=self.bytes_at(self.site.public, first, last, workers),
            between_bytes=self.bytes_at(self.site.cluster, first, last, 1),
            unanswered_reports=hosts_increase(lambda stats: stats.unanswered) / seconds,
            submit_p95_s=percentile(self.users.accept_latencies, 0.95),
            waits=self.waits(run_started_at + self.site.plan.warmup_s / 2),
            late_ticks=hosts_increase(lambda stats: stats.late_ticks)
            / max(1.0, hosts_increase(lambda stats: stats.ticks)),
            # RungRunner.finish sets late_starts, unanswered_jobs and broken.
            late_starts=0,
            out_of_order=self.checker.out_of_order,
            unanswered_jobs=[],
            broken=[],
            recoveries=self.fault_injector.recoveries(run_started_at),
            limited_by=[],
        )
        row.limited_by = limiting_components(row, self.site.plan.limits.write_rps)
        return row

    def bytes_at(
        self, addresses: list[str], first: CounterSnapshot, last: CounterSnapshot, divisor: int
    ) -> float | None:
        """Returns the bytes a second at addresses, divided by `divisor`; None without `ss`.

        It is too low when connections close between the snapshots: their bytes no longer count.
        """
        if first.traffic is None or last.traffic is None:
            return None
        total = 0
        for address in addresses:
            port = split_address(address)[1]
            before, after = first.traffic[port], last.traffic[port]
            total += max(0, after.received - before.received) + max(0, after.sent - before.sent)
        return total / (last.at - first.at) / divisor

    def waits(self, since: float) -> dict[str, Waits]:
        """Returns figures of the tasks' waits by rank: seconds from acceptance to first start.

        Only jobs accepted since `since` and without a cancellation count. A task that has not
        started counts once it has waited for more than SUBMIT_TIMEOUT_S seconds.
        """
        found: dict[str, list[float]] = {}
        now = time.monotonic()
        for job in list(self.users.jobs.values()):
            if job.accepted_at < since or job.cancelling:
                continue
            for number in range(job.tasks):
                started_at = self.checker.first_start.get(f"{job.id}/{number}")
                waited = (started_at or now) - job.accepted_at
                if started_at is not None or waited > SUBMIT_TIMEOUT_S:
                    found.setdefault(job.rank, []).append(waited)
        return {
            rank: Waits(len(waited), percentile(waited, 0.5), percentile(waited, 0.99))
            for rank, waited in found.items()
        }

"""The kinds of failure that scenarios and random plays inject into the simulated cluster."""

from collections.abc import Callable

from tests.support.simulated_cluster import SimulatedCluster
from tests.support.simulated_worker import SimulatedWorker


def machines_of(cluster: SimulatedCluster, number: int) -> list[SimulatedWorker]:
    """Return the third of the machines that failures with this controller's number affect."""
    return [w for i, w in enumerate(cluster.workers.values()) if i % 3 == number]


def toggle(value: float, active: float) -> float:
    """Return `active` if the value is 0, else 0."""
    return 0.0 if value else active


def toggle_state_service(cluster: SimulatedCluster, number: int) -> None:
    client = cluster.clients[number]
    client.cut = not client.cut


def toggle_outage(cluster: SimulatedCluster, _number: int) -> None:
    cluster.set_outage(not cluster.state.down)


def toggle_partition(cluster: SimulatedCluster, number: int) -> None:
    others = [i for i in range(3) if i != number]
    cluster.partitions ^= {frozenset((number, i)) for i in others}


def toggle_isolation(cluster: SimulatedCluster, number: int) -> None:
    toggle_state_service(cluster, number)
    toggle_partition(cluster, number)


def crash_one(cluster: SimulatedCluster, number: int) -> None:
    if number not in cluster.down:
        cluster.crash(number, cluster.rng.choice([0.2, 6.0]))


def crash_all(cluster: SimulatedCluster, number: int) -> None:
    """Crash all controllers; this one restarts at once, the others later."""
    for i in range(3):
        if i not in cluster.down:
            cluster.crash(i, 0.2 if i == number else 6.0)


def crash_all_longer_than_a_lease(cluster: SimulatedCluster, _number: int) -> None:
    for i in range(3):
        if i not in cluster.down:
            cluster.crash(i, 14.0 + i)


def toggle_unreachable(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.unreachable = not worker.unreachable


def toggle_heartbeats_lost(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.heartbeats_lost = not worker.heartbeats_lost


def toggle_hung(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.hung = not worker.hung


def end_hangs(cluster: SimulatedCluster, _number: int) -> None:
    for worker in cluster.workers.values():
        worker.hung = False


def restart_machines(cluster: SimulatedCluster, number: int) -> None:
    for worker in machines_of(cluster, number):
        worker.restart(cluster.clock.at)


def add_machine(cluster: SimulatedCluster, number: int) -> None:
    cluster.boot_machine(number)


def toggle_worker_links(cluster: SimulatedCluster, number: int) -> None:
    cluster.blocked_worker_links ^= {(number, w.name) for w in cluster.workers.values()}


def toggle_late_transactions(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.late_share = toggle(client.late_share, 0.2)


def toggle_lost_answers(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.lost_answer_share = toggle(client.lost_answer_share, 0.3)


def toggle_slow_answers(cluster: SimulatedCluster, _number: int) -> None:
    for client in cluster.clients:
        client.max_latency_s = toggle(client.max_latency_s, 0.8)


def toggle_unreadable_jobs(cluster: SimulatedCluster, number: int) -> None:
    for client in cluster.clients:
        client.unreadable_prefixes ^= {f"j/{number}/"}


def toggle_duplicate_reports(cluster: SimulatedCluster, _number: int) -> None:
    cluster.duplicate_share = toggle(cluster.duplicate_share, 0.3)


def toggle_report_replays(cluster: SimulatedCluster, _number: int) -> None:
    cluster.replay_share = toggle(cluster.replay_share, 0.3)


def toggle_delayed_commands(cluster: SimulatedCluster, _number: int) -> None:
    cluster.delayed_command_share = toggle(cluster.delayed_command_share, 0.3)


def toggle_repeated_commands(cluster: SimulatedCluster, _number: int) -> None:
    cluster.repeated_command_share = toggle(cluster.repeated_command_share, 0.5)


def toggle_failing_tasks(cluster: SimulatedCluster, _number: int) -> None:
    cluster.task_failure_share = toggle(cluster.task_failure_share, 0.4)


def toggle_query_bursts(cluster: SimulatedCluster, _number: int) -> None:
    cluster.burst_query_share = toggle(cluster.burst_query_share, 0.5)


def toggle_report_latency(cluster: SimulatedCluster, _number: int) -> None:
    cluster.report_latency_s = toggle(cluster.report_latency_s, 1.0)


def toggle_invalid_requests(cluster: SimulatedCluster, _number: int) -> None:
    cluster.send_invalid = not cluster.send_invalid


def toggle_cancellation_at_end(cluster: SimulatedCluster, _number: int) -> None:
    cluster.cancel_at_end_share = toggle(cluster.cancel_at_end_share, 0.5)


def running_job(cluster: SimulatedCluster) -> str:
    """Return the first running job whose cancellation was not requested, or an empty string."""
    jobs = (name.split("/")[0] for _, name, _ in cluster.live_tasks())
    return next((job for job in jobs if job not in cluster.cancellation_requested), "")


def cancel_job(cluster: SimulatedCluster, number: int) -> None:
    job = running_job(cluster)
    if job:
        cluster.pending_cancellations.append((job, number))


def cancel_job_and_hang(cluster: SimulatedCluster, number: int) -> None:
    """Cancel a job while its machines hang."""
    job = running_job(cluster)
    if job:
        for worker, _, _ in cluster.live_tasks(job):
            worker.hung = True
        cluster.pending_cancellations.append((job, number))


def give_termination_notice(cluster: SimulatedCluster, number: int) -> None:
    """Give one machine a notice; those that have one already are replaced."""
    cluster.replace_noticed_machines()
    noticed = machines_of(cluster, number)[0]
    noticed.notice_s, noticed.next_report_at = 3.0, cluster.clock.at


def toggle_slow_peers(cluster: SimulatedCluster, _number: int) -> None:
    cluster.peer_latency_s = toggle(cluster.peer_latency_s, 1.4)


def toggle_zone(cluster: SimulatedCluster, number: int) -> None:
    cut_zone(cluster, cluster.zones[number])


# Kind of failure, as scenarios name it -> its function. Functions named "toggle" begin a failure,
# or end it if it is active.
FAILURES: dict[str, Callable[[SimulatedCluster, int], None]] = {
    "state service refused": toggle_state_service,
    "state service outage": toggle_outage,
    "controller partition": toggle_partition,
    "controller isolation": toggle_isolation,
    "crash": crash_one,
    "all crash": crash_all,
    "all crash longer than a lease": crash_all_longer_than_a_lease,
    "machines unreachable": toggle_unreachable,
    "heartbeats lost": toggle_heartbeats_lost,
    "hang": toggle_hung,
    "end hangs": end_hangs,
    "restart machines": restart_machines,
    "add machine": add_machine,
    "worker links blocked": toggle_worker_links,
    "late transactions": toggle_late_transactions,
    "transaction answers lost": toggle_lost_answers,
    "state service slow": toggle_slow_answers,
    "jobs unreadable": toggle_unreadable_jobs,
    "duplicate reports": toggle_duplicate_reports,
    "report replays": toggle_report_replays,
    "late commands": toggle_delayed_commands,
    "repeated commands": toggle_repeated_commands,
    "tasks fail": toggle_failing_tasks,
    "query bursts": toggle_query_bursts,
    "report latency": toggle_report_latency,
    "invalid requests": toggle_invalid_requests,
    "jobs cancelled at end": toggle_cancellation_at_end,
    "cancel": cancel_job,
    "cancel and hang": cancel_job_and_hang,
    "zone partition": toggle_zone,
    "termination notice": give_termination_notice,
    "peers slow": toggle_slow_peers,
}


def inject_failure(cluster: SimulatedCluster, kind: str, number: int) -> None:
    """Begin or end a failure of this kind, on one controller or its third of the machines."""
    FAILURES[kind](cluster, number)


def cut_zone(cluster: SimulatedCluster, zone: str) -> None:
    """Partition a zone from all else, or heal the partition."""
    inside = [i for i, z in enumerate(cluster.zones) if z == zone]
    for i in range(len(cluster.zones)):
        cluster.partitions ^= {frozenset((i, j)) for j in inside if i not in inside}
        cluster.blocked_worker_links ^= {
            (i, w.name) for w in cluster.workers.values() if (w.zone == zone) != (i in inside)
        }
    for i in inside:
        cluster.clients[i].cut = not cluster.clients[i].cut
    cluster.closed_to_users ^= set(inside)


# Kinds that random plays draw from.
FAILURE_KINDS = (
    "state service refused", "state service outage", "controller partition", "controller isolation",
    "crash", "all crash", "machines unreachable", "worker links blocked", "late transactions",
    "duplicate reports", "late commands", "transaction answers lost", "state service slow",
    "jobs unreadable", "report replays", "heartbeats lost", "hang", "zone partition",
    "restart machines", "add machine", "all crash longer than a lease", "query bursts",
    "invalid requests", "jobs cancelled at end", "cancel", "cancel and hang",
    "termination notice", "peers slow", "repeated commands", "tasks fail",
)  # fmt: skip

"""Tests of the scale run: checker, plans, measurements, users, and simulated workers."""

import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import curio
import msgspec
import pytest

from standins import workload
from standins.scale import report as reports
from standins.scale.checker import Checker
from standins.scale.faults import (
    FaultInjector,
    InjectedFault,
    Sample,
    longest_gap,
    measure_recovery,
)
from standins.scale.measure import Traffic
from standins.scale.measurement import CounterSnapshot, RungMeasurement
from standins.scale.plan import DEFAULT_PLAN, Fault, Plan, Rung, load_plan, plan_errors
from standins.scale.site import ROOT, Site
from standins.scale.users import WorkloadGenerator
from standins.simulated_workers import (
    HostConfig,
    HostStats,
    SimulatedWorker,
    StartRequest,
    WorkerHost,
)
from standins.state import StateStats
from starlingdeck.protocol import api
from starlingdeck.protocol.config import ConfigError
from starlingdeck.transport.client import Reply

JOB = workload.job_id(workload.ARRAY, 7, 10.0, 1)
TASK = f"{JOB}/0"

# --- the checker

EVENT_CASES: list[tuple[str, list[str], str]] = [
    ("one machine", ["1 on T vm-1", "2 done T vm-1"], ""),
    ("twice", ["1 on T vm-1", "2 on T vm-2"], "ran_twice"),
    ("received out of order", ["2 on T vm-2", "1 on T vm-1"], "ran_twice"),
    ("after its end", ["1 on T vm-1", "3 on T vm-2", "2 off T vm-1"], ""),
    ("its machine is gone", ["1 on T vm-1", "2 gone - vm-1", "3 on T vm-2"], ""),
    ("another machine is gone", ["1 on T vm-1", "2 gone - vm-3", "3 on T vm-2"], "ran_twice"),
    ("over the limit", ["1 on T vm-1", "2 on U vm-1", "3 on V vm-2"], "quota"),
    ("within the limit", ["1 on T vm-1", "2 on U vm-1", "3 off T vm-1", "4 on V vm-2"], ""),
]


def make_checker() -> Checker:
    return Checker(cancel_s=40.0, team_cpus_max=2.0)


@pytest.mark.parametrize(
    ("lines", "rule"), [case[1:] for case in EVENT_CASES], ids=[case[0] for case in EVENT_CASES]
)
def test_events_of_workers_that_break_a_rule_are_recorded_as_violations(
    lines: list[str], rule: str
) -> None:
    run_checker = make_checker()
    names = {"T": TASK, "U": f"{JOB}/1", "V": f"{JOB}/2", "-": "-"}
    for line in lines:
        at, kind, task, machine = line.split()
        run_checker.receive_event(f"{at} {kind} {names[task]} {machine}")
    run_checker.evaluate(100.0)
    assert [violation.rule for violation in run_checker.violations] == ([rule] if rule else [])
    if rule:
        text = str(run_checker.violations[0])
        assert JOB in text
        assert "vm-" in text


@pytest.mark.parametrize(
    ("gone_at", "starts_at", "rules", "late"),
    [
        (30.0, None, [], 0),
        (60.0, None, ["ran_cancelled"], 0),
        (5.0, 20.0, ["ran_cancelled"], 1),  # the second start runs past the deadline
        (5.0, 51.0, ["ran_cancelled"], 1),
    ],
)
def test_task_of_a_cancelled_job_that_runs_past_the_deadline_is_a_violation(
    gone_at: float, starts_at: float | None, rules: list[str], late: int
) -> None:
    run_checker = make_checker()
    run_checker.receive_event(f"1 on {TASK} vm-1")
    run_checker.report_cancelled(JOB, 10.0)
    run_checker.receive_event(f"{gone_at} off {TASK} vm-1")
    if starts_at is not None:
        run_checker.receive_event(f"{starts_at} on {TASK} vm-2")
    run_checker.evaluate(100.0)
    assert [violation.rule for violation in run_checker.violations] == rules
    assert len(run_checker.late_starts) == late


@pytest.mark.parametrize(("done_at", "rules"), [(9.0, []), (11.0, ["not_done"])])
def test_job_reported_done_before_its_tasks_completed_is_a_violation(
    done_at: float, rules: list[str]
) -> None:
    """The user's event may reach the checker before the worker's event of an earlier time."""
    run_checker = make_checker()
    run_checker.report_done(JOB, 1, 10.0)
    run_checker.receive_event(f"1 on {TASK} vm-1")
    run_checker.receive_event(f"{done_at} done {TASK} vm-1")
    run_checker.evaluate(100.0)
    assert [violation.rule for violation in run_checker.violations] == rules


def make_host(broken: bool = False) -> WorkerHost:
    config = HostConfig("", "", 20, 9000, {"n-0": "127.0.0.1:1"}, 1.0, 10.0, 0.1, 1, broken)
    worker_host = WorkerHost(config)
    for number in range(2):
        request = StartRequest(f"vm-{number}", "hollow", "a", False, 2)
        worker_host.machines[request.name] = SimulatedWorker(worker_host, request, "127.0.0.1:2")
    return worker_host


def run_all_timers(worker_host: WorkerHost) -> None:
    """Runs all timers, also those that are not due yet."""
    while worker_host.timers:
        worker_host.timers.sort()
        worker_host.timers.pop(0)[2]()


@pytest.mark.parametrize("broken", [False, True])
def test_host_that_reports_starts_on_two_machines_is_detected(broken: bool) -> None:
    """A start command passes through a simulated worker to the checker.

    The broken host shows that the checker detects a violation.
    """
    worker_host = make_host(broken)
    machine = worker_host.machines["vm-0"]
    commands = api.Commands(3, 1, [api.Command(api.START, TASK, 1)])
    actions = machine.agent.handle_commands(commands)
    assert actions is not None
    machine.apply_actions(actions)
    run_all_timers(worker_host)
    run_checker = make_checker()
    for line in worker_host.event_lines:
        run_checker.receive_event(line)
    run_checker.evaluate(1e12)
    assert [violation.rule for violation in run_checker.violations] == (
        ["ran_twice"] if broken else []
    )
    assert run_checker.starts == 1
    assert run_checker.finished == {TASK}


def test_restart_of_a_powered_off_machine_has_no_effect() -> None:
    """Guards against a restart after the cloud confirmed the machine's deletion.

    A task then ran on there that had rightly been started elsewhere.
    """
    worker_host = make_host()
    machine = worker_host.machines["vm-0"]
    machine.power_off()
    machine.restart()
    assert machine.powered_off
    assert [line.split()[1] for line in worker_host.event_lines] == ["gone"]


# --- plans

INVALID_PLANS: list[tuple[str, list[str]]] = [
    ("[[rungs]]\nworkers = 5\nworker = 3\n", ["rungs[0]: unknown key 'worker'"]),
    ("[[rungs]]\nworkers = 5\nstarts_per_s = -1.0\n", ["rungs[0].starts_per_s"]),
    ("speed = 3\nseconds = 0\n[[rungs]]\n", ["seconds", "unknown key 'speed'", "rungs[0].workers"]),
    ("rungs = []\n", ["rungs: at least one"]),
    ("warmup_s = 50.0\n[[rungs]]\nworkers = 5\n", ["warmup_s: less than seconds"]),
    ("[[rungs]]\nworkers = 5\n[[troubles]]\nat_s = 1.0\nkind = 'x'\n", ["troubles[0].kind"]),
    ("[users]\nteams = 2000\n[[rungs]]\nworkers = 5\n", ["users.teams: at most 999"]),
    ("[[rungs]]\nworkers = 90000\ncontrollers = 9\n", ["over half of", "sockets in a process"]),
    ("tuning = 'no such file'\n[[rungs]]\nworkers = 5\n", ["tuning: no such file"]),
    ("per_process = 1\n[[rungs]]\nworkers = 900\n", ["processes, over"]),
]


@pytest.mark.parametrize(("text", "errors"), INVALID_PLANS)
def test_load_plan_reports_every_error_of_an_invalid_plan(
    tmp_path: Path, text: str, errors: list[str]
) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as raised:
        load_plan(path)
    reported = "\n".join(raised.value.lines)
    assert all(error in reported for error in errors), reported


def test_default_plan_and_plans_in_deploy_are_valid() -> None:
    assert load_plan(None) is DEFAULT_PLAN
    plans = sorted(Path(__file__).parent.parent.joinpath("deploy", "scale").glob("*.toml"))
    assert plans
    for path in plans:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
        assert not plan_errors(plan, 24 * 1024.0, 20_000), path


# --- measurements


def test_recovery_is_measured_from_samples_of_running_tasks() -> None:
    starts = [0, 1, 2, 3, 3, 3, 3, 4, 5, 6]
    running = [10, 10, 10, 5, 5, 6, 8, 9, 10, 10]
    samples = [Sample(float(i), r, s) for i, (r, s) in enumerate(zip(running, starts, strict=True))]
    found = measure_recovery(Fault(3.0, "rack"), 3.0, 0.0, samples)
    assert (found.running_before, found.running_least, found.again_s, found.gap_s) == (10, 5, 5, 3)
    assert measure_recovery(Fault(8.5, "rack"), 8.5, 0.0, samples).again_s == 0.0
    assert longest_gap(samples, 5.0) == 2.0


def test_recovery_from_a_fault_uses_samples_up_to_the_next_fault() -> None:
    plan = Plan([Rung(5)])
    injector = FaultInjector(Site(plan, plan.rungs[0], Path("unused")), make_checker(), 1)
    assert injector.recoveries(0.0) == []
    running = [10, 10, 4, 10, 10, 0, 0, 10]
    injector.samples = [Sample(float(i), r, i) for i, r in enumerate(running)]
    injector.injected = [
        InjectedFault(Fault(2.0, "rack"), 2.0),
        InjectedFault(Fault(5.0, "state"), 5.0),
    ]
    found = injector.recoveries(0.0)
    assert [(recovery.running_least, recovery.again_s) for recovery in found] == [
        (4, 1.0),
        (0, 2.0),
    ]


def test_row_holds_the_increase_of_counters_between_two_snapshots(tmp_path: Path) -> None:
    plan = Plan([Rung(5, 1, name="small")])
    site = Site(plan, plan.rungs[0], tmp_path)
    run_checker = make_checker()
    users = WorkloadGenerator(plan.users, site.public, run_checker, 1)
    measurement = RungMeasurement(site, run_checker, users, FaultInjector(site, run_checker, 1))
    cpu = {"n-0": 1.0, "state": 0.0, "host-0": 0.0, "users": 0.0}
    ports = {port: Traffic(100, 100, 1) for port in site.ports()}
    first = CounterSnapshot(10.0, cpu, StateStats(put={"c": 1}), [HostStats()], 0, 0, 0, ports)
    state = StateStats(requests=40, changes=20, malformed=1, put={"c": 3, "w": 2})
    hosts = [HostStats(reports=30, report_bytes=500, reply_bytes=500, ticks=100, late_ticks=10)]
    later_ports = {port: Traffic(200, 300, 1) for port in ports}
    last = CounterSnapshot(20.0, cpu | {"n-0": 6.0}, state, hosts, 50, 10, 20, later_ports)
    found = measurement.row(first, last, 0.0)
    assert (found.starts, found.reports, found.submissions, found.polls) == (5.0, 3.0, 1.0, 2.0)
    assert found.controller_cores == [0.5]
    assert (found.state_requests, found.state_changes, found.malformed) == (4.0, 2.0, 1)
    assert found.state_puts == {"c": 2, "w": 2}
    assert (found.report_bytes, found.late_ticks) == (20.0, 0.1)
    assert (found.worker_bytes, found.between_bytes) == (6.0, 30.0)
    assert found.limited_by == ["hollow workers (generator)"]


def row(**other: Any) -> reports.Row:
    empty = {f.name: f.type for f in msgspec.structs.fields(reports.Row)}
    values: dict[str, Any] = {name: 0 for name in empty}
    values |= {"name": "r", "controller_cores": [0.1], "host_cores": [0.1], "state_puts": {}}
    values |= {"waits": {}, "broken": [], "recoveries": [], "limited_by": []}
    values |= {"unanswered_jobs": [], "starts": 10.0, "state_changes": 5.0}
    return reports.Row(**(values | other))


@pytest.mark.parametrize(
    ("fields", "limits"),
    [
        ({}, []),
        ({"controller_cores": [0.2, 0.95]}, ["controllers"]),
        ({"state_changes": 145.0}, ["changes of the state service"]),
        ({"late_ticks": 0.2}, ["hollow workers (generator)"]),
    ],
)
def test_limiting_components_names_components_at_their_limit(
    fields: dict[str, Any], limits: list[str]
) -> None:
    assert reports.limiting_components(row(**fields), 150.0) == limits


@pytest.mark.parametrize(
    ("fields", "failed"),
    [({}, False), ({"broken": ["x"]}, True), ({"unanswered_jobs": ["j"]}, True)],
)
def test_summary_says_no_rule_broken_only_if_the_rung_has_not_failed(
    fields: dict[str, Any], failed: bool
) -> None:
    text = "\n".join(reports.summary(row(**fields)))
    assert reports.failed(row(**fields)) == failed
    assert ("no rule broken" in text) != failed
    assert "0.50 changes" in text


# --- users


@pytest.mark.parametrize(
    ("statuses", "accepted", "rules"),
    [
        ([201], True, []),
        ([None, 503, 200], True, []),
        ([503, 422], False, ["refused for ever"]),
        ([None, 503], False, []),
    ],
)
def test_submission_is_repeated_until_accepted_refused_for_good_or_stopped(
    statuses: list[int | None],
    accepted: bool,
    rules: list[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("standins.scale.users.RETRY_S", 0.0)
    run_checker = make_checker()
    generator = WorkloadGenerator(Plan([Rung(5)]).users, ["127.0.0.1:1"], run_checker, 1)
    job = generator.random_job(workload.ARRAY)

    remaining = list(statuses)

    async def request(*_: object) -> Reply | None:
        status = remaining.pop(0)
        generator.stopped = not remaining
        return None if status is None else Reply(status, b"", None)

    monkeypatch.setattr(generator, "request", request)
    assert curio.run(generator.submit_until_accepted, job, b"{}") == accepted
    assert generator.submissions == len(statuses)
    assert (job.id in generator.unfinished) == accepted
    assert bool(job.accepted_at) == accepted
    assert [violation.rule for violation in run_checker.violations] == rules


# --- runs


def test_requested_starts_default_to_three_quarters_of_the_slots() -> None:
    plan = Plan([Rung(100), Rung(100, starts_per_s=7.0)])
    assert [plan.requested_starts_per_s(rung) for rung in plan.rungs] == [30.0, 7.0]


def bind_below(sock: socket.socket, limit: int) -> int:
    """Binds to the highest free port under `limit`; outgoing connections use ports above it."""
    for port in range(limit - 1, limit - 1000, -1):
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise OSError("no port is free")


def test_run_whose_ports_are_taken_is_refused_before_it_starts(tmp_path: Path) -> None:
    """Guards against an unclear error when two runs use the same ports.

    The second run reported only that its state service had ended by itself.
    """
    plan = tmp_path / "plan.toml"
    with socket.socket() as other:
        port = bind_below(other, 30_000)
        other.listen()
        first_port = port - 500  # `port` is then the peer port of the first controller
        plan.write_text(f"port = {first_port}\n[[rungs]]\nworkers = 1\ncontrollers = 1\n")
        done = subprocess.run(
            [sys.executable, "scripts/scale.py", str(plan)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert done.returncode == 2
    assert f"port {port}: taken" in done.stderr
    assert "ended by itself" not in done.stderr


@pytest.mark.parametrize(("line", "limit"), [("", 1000), ("max_connections = 2002", 2002)])
def test_max_connections_comes_from_the_plan_or_the_number_of_workers(
    tmp_path: Path, line: str, limit: int
) -> None:
    path = tmp_path / "plan.toml"
    path.write_text(f"[limits]\n{line}\n[[rungs]]\nworkers = 100\n")
    plan = load_plan(path)
    settings = Site(plan, plan.rungs[0], tmp_path).controller_settings(0)
    assert settings["settings"]["machine_limits"]["max_connections"] == limit

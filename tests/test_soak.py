"""The soak run detects what breaks a rule, and refuses a plan that can't be run."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from standins.scale.site import ROOT
from standins.soak.history import Exchange, HistoryChecker, RequestKind
from standins.soak.logs import ControllerLogs
from standins.soak.plan import FaultKind, SoakPlan, draw_faults, plan_errors
from starlingdeck.protocol import api
from tests.support.ports import free_soak_port

JOB = "j-1"
SUBMIT, STATUS, CANCEL = RequestKind.SUBMIT, RequestKind.STATUS, RequestKind.CANCEL
Step = tuple[RequestKind, float, float, int, str, int]
ACCEPTED: Step = (SUBMIT, 0, 1, 201, api.QUEUED, 0)
CANCELLED: Step = (CANCEL, 2, 3, 200, api.CANCELLED, 0)
DONE: Step = (STATUS, 2, 3, 200, api.DONE, 4)

# Name, exchanges (kind, sent, answered, status, state, completed), the rules that they break.
HISTORIES: list[tuple[str, list[Step], list[str]]] = [
    ("in order", [ACCEPTED, (STATUS, 1.5, 1.6, 200, api.RUNNING, 1), DONE], []),
    (
        "older after cancelled",
        [ACCEPTED, CANCELLED, (STATUS, 3.1, 3.2, 200, api.RUNNING, 0)],
        ["went_back"],
    ),
    (
        "accepted after cancelled",
        [ACCEPTED, CANCELLED, (SUBMIT, 3.1, 3.2, 201, api.QUEUED, 0)],
        ["went_back"],
    ),
    (
        "under way while cancelled",
        [ACCEPTED, CANCELLED, (STATUS, 2.9, 3.2, 200, api.RUNNING, 0)],
        [],
    ),
    ("older after done", [ACCEPTED, DONE, (STATUS, 3.1, 3.2, 200, api.QUEUED, 4)], ["went_back"]),
    (
        "done, then cancelled",
        [ACCEPTED, DONE, (CANCEL, 3.1, 3.2, 200, api.CANCELLED, 4)],
        ["went_back"],
    ),
    (
        "done and cancelled at one time",
        [ACCEPTED, (CANCEL, 1.9, 2.9, 200, api.CANCELLED, 4), DONE],
        ["went_back"],
    ),
    ("never cancelled", [ACCEPTED, (STATUS, 2, 3, 200, api.CANCELLED, 0)], ["went_back"]),
    ("forgotten", [ACCEPTED, (STATUS, 2, 3, 404, "", 0)], ["forgotten"]),
    ("refused once accepted", [ACCEPTED, (SUBMIT, 2, 3, 422, "", 0)], ["forgotten"]),
    ("not found before it is accepted", [(STATUS, 0, 0.5, 404, "", 0), ACCEPTED], []),
    ("asked while it is accepted", [ACCEPTED, (STATUS, 0.9, 1.1, 404, "", 0)], []),
    ("invented", [(STATUS, 0, 1, 200, api.QUEUED, 0)], ["invented"]),
    (
        "a lower count",
        [ACCEPTED, (STATUS, 1, 2, 200, api.RUNNING, 3), (STATUS, 2.1, 3, 200, api.RUNNING, 2)],
        ["count_went_back"],
    ),
    (
        "no answer or a refusal says nothing",
        [ACCEPTED, CANCELLED, (STATUS, 4, 5, 0, "", 0), (STATUS, 4, 5, 503, "", 0)],
        [],
    ),
]


@pytest.mark.parametrize(
    ("steps", "rules"), [h[1:] for h in HISTORIES], ids=[h[0] for h in HISTORIES]
)
def test_answers_that_break_a_rule_are_found(steps: list[Step], rules: list[str]) -> None:
    checker = HistoryChecker()
    for kind, sent, answered, status, state, completed in steps:
        checker.record_request(kind, JOB, sent)
        checker.record_exchange(Exchange(kind, JOB, 0, sent, answered, status, state, completed))
    assert [broken.rule for broken in checker.broken] == rules


def test_a_seed_draws_the_same_faults_and_several_overlap() -> None:
    plan = SoakPlan(seed=3, seconds=600.0)
    faults = draw_faults(plan)
    assert faults == draw_faults(plan)
    assert {fault.kind for fault in faults} == set(FaultKind)
    overlapping = [
        sum(other.at_s <= fault.at_s < other.at_s + other.for_s for other in faults)
        for fault in faults
    ]
    assert sum(overlapping) / len(overlapping) >= 2


@pytest.mark.parametrize(
    ("plan", "error"),
    [
        (SoakPlan(seed=-1), "seed: -1"),
        (SoakPlan(1, seconds=2.0), "seconds: 2.0"),
        (SoakPlan(1, controllers=1), "controllers: 1"),
        (SoakPlan(1, port=80), "port: 80"),
        (SoakPlan(1, workers=90_000), "over half of the memory"),
    ],
)
def test_an_impossible_plan_is_refused(plan: SoakPlan, error: str) -> None:
    assert any(error in line for line in plan_errors(plan))


def test_violations_in_a_growing_log_are_found_once(tmp_path: Path) -> None:
    path = tmp_path / "n-0.log"
    logs = ControllerLogs([path, tmp_path / "missing.log"])
    path.write_text("I x: shard acquired: shard=0\nE x: answer viol")
    logs.read_new_lines()
    assert (logs.acquisitions, logs.violations) == (1, [])
    with path.open("a") as log:
        log.write("ation: rule=went_back\n")
    logs.read_new_lines()
    logs.read_new_lines()
    assert logs.violations == ["E x: answer violation: rule=went_back"]


def run_script(*options: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "scripts/soak.py", *options]
    return subprocess.run(
        command, check=False, cwd=ROOT, capture_output=True, text=True, timeout=240
    )


def test_a_taken_port_and_an_impossible_size_end_with_status_2() -> None:
    with socket.socket() as taken:
        port = free_soak_port(0)
        taken.bind(("127.0.0.1", port))
        taken.listen()
        result = run_script("--seed", "1", "--port", str(port - 20))
    assert (result.returncode, f"port {port}: taken already" in result.stderr) == (2, True)
    result = run_script("--seed", "1", "--workers", "90000")
    assert result.returncode == 2
    assert "over half of the memory" in result.stderr


def test_a_seeded_run_under_faults_breaks_no_rule(tmp_path: Path) -> None:
    options = [
        "--seed",
        "7",
        "--seconds",
        "20",
        "--workers",
        "12",
        "--port",
        str(free_soak_port(1)),
    ]
    result = run_script(*options, "--keep", str(tmp_path / "logs"))
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.startswith("passed: seed=7")


def test_a_controller_that_does_not_wait_for_the_owner_is_caught(tmp_path: Path) -> None:
    """Without the owner's acknowledgement a confirmed cancellation is followed by older answers."""
    options = ["--seed", "2", "--seconds", "60", "--port", str(free_soak_port(2))]
    result = run_script(*options, "--without", "acknowledgement", "--keep", str(tmp_path / "logs"))
    assert result.returncode == 1, result.stdout + result.stderr
    assert "went_back" in result.stdout
    assert "command: scripts/soak.py --seed 2" in result.stdout
    assert (tmp_path / "logs" / "n-0.log").exists()


def test_a_controller_that_reaps_while_a_start_is_accepted_is_caught(tmp_path: Path) -> None:
    """An answered start that arrives once more starts an attempt that has ended."""
    options = ["--seed", "1", "--seconds", "60", "--port", str(free_soak_port(3))]
    result = run_script(*options, "--without", "start fence", "--keep", str(tmp_path / "logs"))
    assert result.returncode == 1, result.stdout + result.stderr
    assert "attempt started late" in result.stdout or "ran_twice" in result.stdout

"""scripts/costs.py: the report of controllers' run time, computed from their logs."""

import runpy
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "costs.py"

LOG = """\
    0.30 n-0 I starlingdeck.cluster.ownership: shard acquired: shard=0 token=4
    0.35 n-0 I starlingdeck.jobs.loader: shard jobs loaded: shard=0 unfinished_jobs=12
    1.00 n-0 I starlingdeck.machines: machine registered: machine=vm-1 session=1
    2.00 n-0 I starlingdeck.machines.report_intake: machine registered: machine=vm-2 session=1
   60.20 n-0 I starlingdeck.controller.controller: latency: operation=answer_change count=60 \
p50_ms=13 p90_ms=24 p99_ms=48 max_ms=48
   60.20 n-0 D starlingdeck.controller.controller: task run time: task=Planner.run runs=100 \
total_s=6.000 max_s=0.007
   60.21 n-1 I starlingdeck.controller: latency: operation=answer_change count=40 \
p50_ms=13 p90_ms=24 p99_ms=50 max_ms=51
   60.21 n-1 D starlingdeck.controller.controller: task run time: task=Planner.run runs=50 \
total_s=3.000 max_s=0.009
a line of something else
   70.00 n-0 I starlingdeck.autoscaling.autoscaler: machines released: machines=vm-1 vm-9
  120.20 n-0 D starlingdeck.controller: task run time: task=Node.step_loop runs=10 \
total_s=1.500 max_s=0.001
"""


def test_report_sums_run_times_of_all_controllers_per_minute() -> None:
    rows = list(runpy.run_path(str(SCRIPT))["report_lines"](LOG.splitlines()))
    assert rows[0] == "minute 1: 2 machines, 9.0 s, 0.075 of a core"
    assert " ".join(rows[1].split()) == "Planner.run 150 runs 9.00 s, longest 0.009 s"
    assert " ".join(rows[2].split()) == "answers to change 100, p99 50 ms at the slowest"
    assert rows[3] == "minute 2: 1 machines, 1.5 s, 0.025 of a core"
    assert rows[-1] == "at 0.3 s: 12 unfinished jobs read 0.050 s after a takeover"

"""The table of what a controller's time went to, from its log."""

import runpy
from pathlib import Path

SCRIPT = Path(__file__).resolve().parent.parent / "scripts" / "costs.py"

LOG = """\
    0.30 n-0 I starlingdeck.cluster.ownership: shard acquired: shard=0 token=4
    0.35 n-0 I starlingdeck.jobs.loader: shard jobs loaded: shard=0 unfinished_jobs=12
    1.00 n-0 I starlingdeck.machines: machine registered: machine=vm-1 session=1
    2.00 n-0 I starlingdeck.machines.report_intake: machine registered: machine=vm-2 session=1
   60.20 n-0 I starlingdeck.metrics.latency: answer change: 60, p50/p90/p99 13/24/48 ms, most 48
   60.20 n-0 D starlingdeck.metrics.latency: ran Planner.run: 100 times, 6.000 s, longest 0.007 s
   60.21 n-1 I starlingdeck.node: answer change: 40, p50/p90/p99 13/24/50 ms, most 51
   60.21 n-1 D starlingdeck.metrics.latency: ran Planner.run: 50 times, 3.000 s, longest 0.009 s
a line of something else
   70.00 n-0 I starlingdeck.autoscaling.autoscaler: returned to the cloud: vm-1 vm-9
  120.20 n-0 D starlingdeck.node: ran Node.step_loop: 10 times, 1.500 s, longest 0.001 s
"""


def test_costs_are_summed_over_controllers_and_minutes() -> None:
    rows = list(runpy.run_path(str(SCRIPT))["tables"](LOG.splitlines()))
    assert rows[0] == "minute 1: 2 machines, 9.0 s, 0.075 of a core"
    assert " ".join(rows[1].split()) == "Planner.run 150 runs 9.00 s, longest 0.009 s"
    assert " ".join(rows[2].split()) == "answers to change 100, p99 50 ms at the slowest"
    assert rows[3] == "minute 2: 1 machines, 1.5 s, 0.025 of a core"
    assert rows[-1] == "at 0.3 s: 12 unfinished jobs read 0.050 s after a takeover"

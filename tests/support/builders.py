"""Builders of contexts, settings and jobs for tests. They open no sockets; tests set the clock."""

import os
import random
from typing import Any

import msgspec

from starlingdeck.cluster.sharding import shard_of_job
from starlingdeck.context import ControllerContext
from starlingdeck.protocol.api import JobSpec, MachineType
from starlingdeck.protocol.config import GroupCommitSettings, Settings, Tuning

GROUP_COMMIT = Tuning(group_commit=GroupCommitSettings())
# `make_context` reads this at each call, so tests may replace it. The environment variable
# GROUP_COMMIT=1 runs the whole suite with the commit log.
tuning = GROUP_COMMIT if os.environ.get("GROUP_COMMIT") else Tuning()


class Clock:
    """A clock that tests advance, in seconds."""

    def __init__(self) -> None:
        self.at = 1000.0

    def now(self) -> float:
        """Return seconds, as a monotonic clock does."""
        return self.at

    def wall_ms(self) -> int:
        """Return milliseconds, as the wall clock does."""
        return int(self.at * 1000)


def settings_dict(zones: tuple[str, ...] = ("a", "b", "a")) -> dict[str, Any]:
    """Return the raw settings of a cluster with one controller for each zone."""
    peers = [
        {"host_name": f"n-{i}", "zone": z, "address": f"127.0.0.1:{9100 + i}"}
        for i, z in enumerate(zones)
    ]
    return {
        "host_name": "n-0",
        "zone": zones[0],
        "public_addr": "127.0.0.1:9000",
        "cluster_listen": "127.0.0.1:9100",
        "peers": peers[1:],
        "external": {"cloud": "127.0.0.1:9300", "state": "127.0.0.1:9400"},
        "settings": {
            "nodes": len(zones),
            "zones": sorted(set(zones)),
            "teams": [
                {"name": "blue", "cpus": 8.0, "cpus_max": 24.0},
                {"name": "red", "cpus": 0.0, "cpus_max": 0.0},
            ],
            "objectives": [{"kind": "finished", "class": "batch", "within_s": 100.0, "share": 0.9}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 200.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
            "cloud": {"rps": 3.0, "list_lag_s": 3.0},
            "machine_limits": {"cores": 0.5, "mem_mb": 128.0, "max_connections": 500},
            "skew_ms": 250.0,
        },
    }


def make_context(
    clock: Clock, seed: int = 1, zones: tuple[str, ...] = ("a", "b", "a"), node: int = 0
) -> ControllerContext:
    """Return the context of the controller in `zones[node]`, with two machine types."""
    raw = settings_dict(zones)
    settings = msgspec.convert(raw, Settings)
    if node:
        names = [("n-0", zones[0], raw["cluster_listen"])]
        names += [(p["host_name"], p["zone"], p["address"]) for p in raw["peers"]]
        own = names.pop(node)
        raw["host_name"], raw["zone"], raw["cluster_listen"] = own
        raw["peers"] = [{"host_name": n, "zone": z, "address": a} for n, z, a in names]
        settings = msgspec.convert(raw, Settings)
    context = ControllerContext(settings, tuning, clock.now, clock.wall_ms, random.Random(seed))
    context.update_machine_types(
        [MachineType("small", 4.0, 16.0, ["a", "b"]), MachineType("big", 16.0, 64.0, ["a", "b"])]
    )
    return context


def job_body(uid: str = "j-000001", **overrides: Any) -> dict[str, Any]:
    """Return the JSON body of a submission, with fields replaced by `overrides`."""
    body: dict[str, Any] = {
        "uid": uid,
        "flock": "batch",
        "crew": "red",
        "shape": "sweep",
        "rank": "normal",
        "chores": 3,
        "cores": 2.0,
        "accelerators": 0.0,
        "ram_gb": 4.0,
        "kit": "img",
        "image_gb": 1.0,
        "builds": None,
        "roost": None,
        "same_place": False,
        "spread": False,
        "loaners": False,
        "guess_s": 10.0,
        "mark_s": 0.0,
        "stash_s": 0.0,
        "due_s": None,
    }
    body.update(overrides)
    return body


def spec(uid: str = "j-000001", **overrides: Any) -> JobSpec:
    """Return the decoded description of a job, with fields replaced by `overrides`."""
    return msgspec.convert(job_body(uid, **overrides), JobSpec)


def job_of_shard(shard: int, number: int = 0) -> str:
    """Return the id of a job that belongs to the given one of three shards."""
    names = (f"j-{i:06d}" for i in range(1000))
    return [n for n in names if shard_of_job(n, 3) == shard][number]

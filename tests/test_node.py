"""A whole node, driven without network or clock."""

import msgspec

from starlingdeck.coordination.machines import MachineShard
from starlingdeck.coordination.membership import Holder
from starlingdeck.coordination.node import Node
from starlingdeck.protocol import api
from starlingdeck.transport.frames import FrameLink
from starlingdeck.transport.server import Request
from tests.build import Clock, make_world
from tests.model import at_once


def report(machine: str, zone: str, session: int = 1, seq: int = 1, token: int = 0) -> bytes:
    return msgspec.json.encode(
        api.Report(machine, "127.0.0.1:1", "small", zone, session, seq, token)
    )


def test_a_worker_is_not_sent_to_a_silent_holder() -> None:
    """A controller lost the network; its peers named it to its workers until its shard was
    taken over, each of them waited for it in vain, and 50 tasks died with their leases."""
    clock = Clock()
    node = Node(make_world(clock))
    node.membership.holders[1] = Holder(1, 5, 77)
    node.peers.links[1] = FrameLink(None)
    body = Request("POST", api.REPORT, report("vm-1", "b"))

    node.peers.heard[1] = clock.at
    known = at_once(node.serve(body))
    assert (known.status, msgspec.json.decode(known.body)) == (421, {"answer_to": "n-1"})

    clock.at += node.world.tuning.reply_wait_s + 0.1
    silent = at_once(node.serve(body))
    assert (silent.status, msgspec.json.decode(silent.body)) == (421, {})


def test_paths_methods_and_bodies_get_their_statuses() -> None:
    node = Node(make_world(Clock()))

    def status(method: str, path: str, body: bytes = b"") -> int:
        return int(at_once(node.serve(Request(method, path, body))).status)

    assert status("GET", "/nowhere") == 404
    assert status("GET", api.JOBS) == 405
    assert status("DELETE", api.JOBS + "/j-1") == 405
    assert status("GET", api.JOBS + "/j-1/" + api.CANCEL) == 405
    assert status("GET", api.JOBS + "/j-1/other") == 404
    assert status("POST", api.JOBS, b"{") == 400
    assert status("POST", api.REPORT, b"[]") == 400
    assert status("GET", api.HEALTH) == 503


def test_a_holder_that_was_cut_off_for_long_answers_no_worker() -> None:
    """It keeps leases alive for a bounded time only: its successor counts on that."""
    clock = Clock()
    node = Node(make_world(clock))
    node.membership.lease, node.membership.renewed = 1, clock.at
    machines = MachineShard(node.world, 1, 3, 9, 0.0)
    node.machines[1] = machines
    first = at_once(node.on_report(report("vm-1", "b")))
    assert first.status == 200
    clock.at += node.world.outage_s - 0.1
    kept = at_once(node.on_report(report("vm-1", "b", seq=2)))
    assert kept.status == 200 and not node.membership.valid()
    clock.at += 0.2
    assert at_once(node.on_report(report("vm-1", "b", seq=3))).status == 503
    s = node.world.settings.settings.workers
    assert node.world.outage_s + s.lease_s < s.cancel_s - 3

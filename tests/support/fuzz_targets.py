"""Fuzz target: the decoders of counted resources' records and messages.

The fuzzer and the test that replays its corpus call `decode`.
"""

import msgspec
from google.protobuf.message import DecodeError

from starlingdeck.counts.http_api import SetCountRequest
from starlingdeck.counts.ledger import grant, is_valid
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from tests.support.builders import Clock, job_body, make_context
from tests.support.counted_resources import make_plugin
from tests.support.reference_model import FakeStateClient, FakeStateService, run_without_waiting


def decode(data: bytes) -> str:
    """Pass the data to the decoder that its first byte names, and return the outcome in words.

    For errors that the decoders' callers expect, return the name of the class; raise others.
    """
    if not data:
        return "empty"
    kind, body = data[:1], data[1:]
    try:
        if kind == b"L":
            return decode_ledger(body)
        if kind == b"H":
            return decode_gossip(body)
        if kind == b"S":
            msgspec.json.decode(body, type=SetCountRequest)
            return "set"
        job = job_body(counts=msgspec.Raw(body or b"null"))
        spec = api.decode_job(msgspec.json.encode(job))
        return f"job {sorted((spec.counts or {}).values())}"
    except (ValueError, msgspec.DecodeError, DecodeError) as error:
        return type(error).__name__


def decode_ledger(data: bytes) -> str:
    """Deliver a ledger's record to a plugin, and check grants from the ledger that it stores."""
    plugin = make_plugin(
        make_context(Clock()), FakeStateClient(FakeStateService.__new__(FakeStateService), 0.0), {}
    )
    plugin.on_key_changed(records.count_key("engine"), data, 7)
    ledger = plugin.store.ledgers[0]
    assert is_valid(ledger, 3)
    for units in range(1, 5):
        granted = grant(ledger, 1, units)
        if granted is not None:
            assert granted.allocated[1] >= units
            assert granted.total <= ledger.ceiling
    return "ledger"


def decode_gossip(data: bytes) -> str:
    """Deliver gossip to a plugin, then run its cycle, and its preemption twice, a second apart."""
    plugin = make_plugin(
        make_context(Clock()), FakeStateClient(FakeStateService.__new__(FakeStateService), 0.0), {}
    )
    plugin.on_key_changed(
        records.count_key("engine"), b'{"ceiling":1,"held":[1,1,0],"stop":true}', 7
    )
    plugin.receive_gossip(1, pb.Gossip.FromString(data))
    run_without_waiting(plugin.begin_cycle([]))
    plugin.preemption.preempt()
    plugin.context.now = lambda: 1001.0
    plugin.preemption.preempt()
    waiters = plugin.queue.by_peer[1].by_resource
    return f"gossip {len(waiters)} {len(plugin.preemption.by_peer[1].uses)}"

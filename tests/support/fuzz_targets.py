"""The decoders of counted resources' records and messages, for the fuzzer and its corpus."""

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
    """Pass the data to the decoder that its first byte names, and describe the outcome.

    Errors other than those that callers expect are raised.
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
    """Deliver a ledger's value to a plugin, and check grants from what it keeps."""
    plugin = make_plugin(
        make_context(Clock()), FakeStateClient(FakeStateService.__new__(FakeStateService), 0.0), {}
    )
    plugin.on_key_changed(records.count_key("engine"), data, 7)
    found = plugin.store.ledgers[0]
    assert is_valid(found, 3)
    for after in range(1, 5):
        granted = grant(found, 1, after)
        if granted is not None:
            assert granted.allocated[1] >= after
            assert granted.total <= found.ceiling
    return "ledger"


def decode_gossip(data: bytes) -> str:
    """Deliver gossip to a plugin, and run its cycle and its preemption."""
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

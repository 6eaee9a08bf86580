"""What the fuzzer and the corpus feed to the decoders of counts' records and messages."""

import msgspec
from google.protobuf.message import DecodeError

from starlingdeck.counts import ledger
from starlingdeck.counts.http_api import SetCount
from starlingdeck.protocol import api
from starlingdeck.protocol import peer_pb2 as pb
from starlingdeck.storage import records
from tests.support.builders import Clock, job_body, make_world
from tests.support.counted_resources import gate_of
from tests.support.reference_model import PlainClient, PlainState, at_once


def one(data: bytes) -> str:
    """Feed it to the decoder that its first byte names; what became of it. Anything else than
    the faults that callers expect is raised."""
    if not data:
        return "empty"
    kind, rest = data[:1], data[1:]
    try:
        if kind == b"L":
            return ledger_of(rest)
        if kind == b"H":
            return hello_of(rest)
        if kind == b"S":
            msgspec.json.decode(rest, type=SetCount)
            return "set"
        body = msgspec.json.encode(job_body(counts=msgspec.Raw(rest or b"null")))
        spec = api.decode_job(body)
        return f"job {sorted((spec.counts or {}).values())}"
    except (ValueError, msgspec.DecodeError, DecodeError) as error:
        return type(error).__name__


def ledger_of(data: bytes) -> str:
    gate = gate_of(make_world(Clock()), PlainClient(PlainState.__new__(PlainState), 0.0), {})
    gate.on_key_changed(records.count_key("engine"), data, 7)
    found = gate.ledgers[0]
    assert ledger.is_valid(found, 3)
    for after in range(1, 5):
        granted = ledger.grant(found, 1, after)
        if granted is not None:
            assert granted.held[1] >= after and granted.total <= found.ceiling
    return "ledger"


def hello_of(data: bytes) -> str:
    gate = gate_of(make_world(Clock()), PlainClient(PlainState.__new__(PlainState), 0.0), {})
    gate.on_key_changed(records.count_key("engine"), b'{"ceiling":1,"held":[1,1,0],"stop":true}', 7)
    gate.receive_gossip(1, pb.Gossip.FromString(data))
    at_once(gate.begin_cycle([]))
    gate.stop_some()
    gate.context.now = lambda: 1001.0
    gate.stop_some()
    return f"hello {len(gate.rivals[1][1])} {len(gate.uses[1][1])}"

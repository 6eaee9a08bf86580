"""Encoding of several messages between controllers as one text, to relay them through the store.

Each message is preceded by its length in four bytes (big-endian) and encoded in protobuf. The
concatenation is compressed by zlib and encoded in base64.
"""

import base64
import binascii
import zlib
from collections.abc import Sequence
from typing import Final

from google.protobuf.message import DecodeError

from starlingdeck.protocol import peer_pb2 as pb

LENGTH_BYTES = 4
BYTE_ORDER: Final = "big"


def encode_batch(envelopes: Sequence[pb.Envelope]) -> str:
    """Encode messages as ASCII text."""
    batch = bytearray()
    for envelope in envelopes:
        payload = envelope.SerializeToString()
        batch += len(payload).to_bytes(LENGTH_BYTES, BYTE_ORDER)
        batch += payload
    return base64.b64encode(zlib.compress(bytes(batch))).decode("ascii")


def decode_batch(text: str) -> list[pb.Envelope]:
    """Decode the messages of a text. Raises ValueError when it is malformed."""
    try:
        return _split_batch(zlib.decompress(base64.b64decode(text)))
    except (zlib.error, binascii.Error, DecodeError) as error:
        raise ValueError(f"malformed message batch: {error}") from error


def _split_batch(batch: bytes) -> list[pb.Envelope]:
    envelopes = []
    start = 0
    while start < len(batch):
        payload_start = start + LENGTH_BYTES
        payload_end = payload_start + int.from_bytes(batch[start:payload_start], BYTE_ORDER)
        envelopes.append(pb.Envelope.FromString(batch[payload_start:payload_end]))
        start = payload_end
    return envelopes

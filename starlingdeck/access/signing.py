"""Signed requests: who asked for exactly this, and when.

The signature covers the key's id, method, path with query, time, nonce and the body's SHA-256.
Which algorithm it is belongs to the key. Times are milliseconds since the epoch.
"""

import base64
import binascii
import hashlib
import hmac
import re
from collections.abc import Mapping

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from msgspec import Struct

HEADER = "starlingdeck-signature"
MOST_HEADER = 512
WINDOW_MS = 30_000  # (start)
FIELD = re.compile(
    r"key=(?P<key>[A-Za-z0-9][A-Za-z0-9._-]{0,59}),time=(?P<time>[0-9]{1,15}),"
    r"nonce=(?P<nonce>[A-Za-z0-9_-]{16,64}),sig=(?P<sig>[A-Za-z0-9_-]{40,120})"
)


class Refused(Exception):
    """Not who it says, or not now. The text goes to the log; a stranger is told nothing of it."""


class Key(Struct, frozen=True):
    """One way to know a principal: an Ed25519 public key, or an HMAC-SHA-256 secret."""

    id: str
    principal: str
    public: bytes = b""
    secret: bytes = b""
    not_before_ms: int = 0
    not_after_ms: int = 1 << 62
    revoked: bool = False

    def __repr__(self) -> str:
        return f"Key({self.id} of {self.principal})"


class Signed(Struct, frozen=True):
    """A request whose signature holds; whether its nonce is new is another question."""

    principal: str
    key: str
    time_ms: int
    nonce: str


def covered(key: str, method: str, target: str, time_ms: int, nonce: str, body: bytes) -> bytes:
    """What is signed. No part can hold a line's end, so no two requests have the same."""
    for part in (key, method, target, nonce):
        if not part.isprintable() or " " in part:
            raise Refused("a part that can't be signed")
    digest = hashlib.sha256(body).hexdigest()
    return "\n".join((key, method, target, str(time_ms), nonce, digest)).encode()


def sign(
    key: str, private: Ed25519PrivateKey | bytes, method: str, target: str, time_ms: int,
    nonce: str, body: bytes,
) -> str:  # fmt: skip
    """The header's value; `private` is an Ed25519 key or an HMAC secret."""
    text = covered(key, method, target, time_ms, nonce, body)
    if not isinstance(private, bytes):
        raw = private.sign(text)
    else:
        raw = hmac.digest(private, text, "sha256")
    sig = base64.urlsafe_b64encode(raw).decode().rstrip("=")
    return f"key={key},time={time_ms},nonce={nonce},sig={sig}"


def verify(
    header: str, keys: Mapping[str, Key], method: str, target: str, body: bytes, now_ms: int,
    skew_ms: float, window_ms: int = WINDOW_MS,
) -> Signed:  # fmt: skip
    """Who signed a request; raises Refused. Two clocks differ by up to `skew_ms`."""
    found = FIELD.fullmatch(header) if len(header) <= MOST_HEADER else None
    if found is None:
        raise Refused("malformed signature")
    key, time_ms = keys.get(found["key"]), int(found["time"])
    if key is None:
        raise Refused("no such key")
    if key.revoked or not key.not_before_ms <= now_ms <= key.not_after_ms:
        raise Refused(f"key {key.id} is not valid now")
    # Nothing is signed in the future: a nonce's next owner must know what the last may have seen.
    if not -skew_ms <= now_ms - time_ms <= window_ms + skew_ms:
        raise Refused(f"signed {now_ms - time_ms} ms ago")
    text = covered(key.id, method, target, time_ms, found["nonce"], body)
    if not genuine(key, text, found["sig"]):
        raise Refused(f"the signature is not that of key {key.id}")
    return Signed(key.principal, key.id, time_ms, found["nonce"])


def genuine(key: Key, text: bytes, sig: str) -> bool:
    """HMACs are compared in constant time."""
    try:
        raw = base64.b64decode(sig + "=" * (-len(sig) % 4), altchars=b"-_", validate=True)
    except binascii.Error:
        return False
    if base64.urlsafe_b64encode(raw).decode().rstrip("=") != sig:
        return False  # other spellings of the same bytes
    if key.secret:
        return hmac.compare_digest(hmac.digest(key.secret, text, "sha256"), raw)
    try:
        Ed25519PublicKey.from_public_bytes(key.public).verify(raw, text)
    except (InvalidSignature, ValueError):
        return False
    return True

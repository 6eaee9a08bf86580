"""The state service's JSON messages: versioned keys, transactions, leases and watches."""

from typing import Any

import msgspec
from msgspec import field

KV = "/kv"
TXN = "/multi"
LEASES = "/leases"
RENEW = "renew"
WATCH = "/changes"


class Entry(msgspec.Struct):
    """A key with its value and version, and the lease whose end deletes it, if any."""

    key: str = field(name="k")
    value: msgspec.Raw
    version: int = field(name="stamp")
    lease: int | None = field(name="permit", default=None)


class Entries(msgspec.Struct):
    """A page of a prefix's keys at one revision; `more` tells whether another page follows."""

    items: list[Entry] = field(name="entries")
    revision: int = field(name="epoch")
    more: bool = field(name="truncated", default=False)


class Condition(msgspec.Struct):
    """The version that a key must have; 0: the key must not exist."""

    key: str = field(name="k")
    version: int = field(name="stamp")


class Change(msgspec.Struct, omit_defaults=True):
    """A put (with an optional lease) or a delete."""

    put: str | None = field(name="set", default=None)
    value: Any = None
    lease: int | None = field(name="permit", default=None)
    delete: str | None = None


class Transaction(msgspec.Struct):
    """Changes that are applied atomically if all conditions hold."""

    conditions: list[Condition] = field(name="when")
    changes: list[Change] = field(name="apply")


class TransactionResult(msgspec.Struct):
    """The revision at which a transaction's changes were applied."""

    revision: int = field(name="epoch")


class TransactionConflict(msgspec.Struct):
    """The keys whose conditions did not hold."""

    failed: list[str]


class LeaseRequest(msgspec.Struct):
    """A request for a lease that ends unless it is renewed within `ttl_ms`."""

    ttl_ms: int = field(name="life_ms")


class LeaseGrant(msgspec.Struct):
    """The number of a new lease."""

    lease: int = field(name="permit")


class Event(msgspec.Struct):
    """A key that was put, with its new value and version, or deleted."""

    version: int = field(name="stamp", default=0)
    put: str | None = field(name="set", default=None)
    value: msgspec.Raw = msgspec.Raw(b"null")
    delete: str | None = None


class Events(msgspec.Struct):
    """The events up to a revision, after which the next watch continues."""

    events: list[Event]
    revision: int = field(name="epoch")


def list_query(prefix: str, after: str | None, limit: int) -> str:
    """Return the path that lists a prefix's keys, those after the key `after` if it is given."""
    start_after = f"&after={after}" if after else ""
    return f"{KV}?prefix={prefix}&limit={limit}{start_after}"


def watch_query(prefix: str, after: int, wait_ms: int) -> str:
    """Return the path that waits for a prefix's events after the revision `after`."""
    return f"{WATCH}?prefix={prefix}&after={after}&block_ms={wait_ms}"

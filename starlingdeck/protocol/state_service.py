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
    """A key with its value and version, and the lease that it ends with."""

    key: str = field(name="k")
    value: msgspec.Raw
    version: int = field(name="stamp")
    lease: int | None = field(name="permit", default=None)


class Entries(msgspec.Struct):
    """Keys of a prefix at one revision; `more` if there are others after these."""

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
    """Changes that are made together if all conditions hold."""

    conditions: list[Condition] = field(name="when")
    changes: list[Change] = field(name="apply")


class TransactionResult(msgspec.Struct):
    """The revision that a transaction's changes were made at."""

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
    """The events up to a revision, which is where the next watch goes on."""

    events: list[Event]
    revision: int = field(name="epoch")


def list_query(prefix: str, after: str | None, limit: int) -> str:
    """The path that lists the keys of a prefix, from after a key on."""
    tail = f"&after={after}" if after else ""
    return f"{KV}?prefix={prefix}&limit={limit}{tail}"


def watch_query(prefix: str, after: int, wait_ms: int) -> str:
    """The path that waits for events of a prefix after a revision."""
    return f"{WATCH}?prefix={prefix}&after={after}&block_ms={wait_ms}"

"""Client of the state service: transactions, leases and watches, within a request budget."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from starlingdeck.protocol import api
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.transport.client import ConnectionFailedError, HttpClient, NoResponseError, Reply

T = TypeVar("T")

REQUEST_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 5.0
RENEW_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 1.5  # added to the requested wait to get the timeout of a watch
PAGE_ENTRIES = 500
BUDGET_SHARE = 0.9  # the part of the service's rate limits that all controllers share
BURST_S = 1.0


class StateError(Exception):
    """The request was not executed: it was refused, rate-limited, or could not be sent."""


class OutcomeUnknownError(StateError):
    """There was no usable response: the request may have been executed, or may be later."""


class TransactionConflictError(Exception):
    """A condition failed; nothing was changed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"changed meanwhile: {failed}")
        self.failed = failed


class LeaseLostError(Exception):
    """The lease has expired or was revoked."""


class RevisionTooOldError(Exception):
    """The service no longer has all events after a watch's revision: keys must be read again."""


def put_change(key: str, value: Any, lease: int | None = None) -> api.Change:
    """Return a change that writes a key, attached to a lease if one is given."""
    return api.Change(put=key, value=value, lease=lease)


def delete_change(key: str) -> api.Change:
    """Return a change that deletes a key."""
    return api.Change(delete=key)


class StateClient:
    """Sends requests to the state service, within the request budget.

    All requests raise StateError when they were not executed, and OutcomeUnknownError when they
    may have been. `urgent` requests may use the reserved part of the budget; lists, leases and
    watches always may.
    """

    def __init__(
        self, http: HttpClient, address: str, budget: "RequestBudget", now: Callable[[], float]
    ) -> None:
        self.http = http
        self.address = address
        self.budget = budget
        self.now = now
        self.timeout_s = REQUEST_TIMEOUT_S
        self.calls = 0  # requests sent since the start

    async def _call(
        self, method: str, path: str, body: Any, timeout_s: float | None = None
    ) -> Reply:
        data = None if body is None else msgspec.json.encode(body)
        self.calls += 1
        try:
            reply = await self.http.call(
                self.address, method, path, data, timeout_s or self.timeout_s
            )
        except ConnectionFailedError as error:
            raise StateError(str(error)) from error
        except NoResponseError as error:
            raise OutcomeUnknownError(str(error)) from error
        if reply.status in (429, 503):
            raise StateError(f"{reply.status}")
        return reply

    async def get(self, key: str, urgent: bool = False) -> api.Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        await self.budget.requests.take(1, urgent)
        reply = await self._call("GET", f"{api.KV}/{key}", None)
        if reply.status == 404:
            return None
        return _decode(reply, api.Entry)

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        """Return all entries under a prefix, and the first page's revision to watch from."""
        entries: list[api.Entry] = []
        revision, after = -1, None
        while True:
            await self.budget.requests.take(1, True)
            path = api.list_query(prefix, after, PAGE_ENTRIES)
            page = _decode(await self._call("GET", path, None, LIST_TIMEOUT_S), api.Entries)
            entries += page.items
            revision = page.revision if revision < 0 else revision
            if not page.more or not page.items:
                return entries, revision
            after = page.items[-1].key

    def available_writes(self, urgent: bool) -> tuple[int, float]:
        """Return how many changes the budget allows now, and the seconds until it allows one."""
        return self.budget.writes.available(urgent)

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        """Apply all changes atomically if each key of `conditions` has that version (0: absent).

        Returns the revision of the changes. Raises TransactionConflictError when a condition
        fails, and LeaseLostError when a lease named in a change has ended.
        """
        await self.budget.requests.take(1, urgent)
        await self.budget.writes.take(len(changes), urgent)
        required = [api.Condition(key, version) for key, version in conditions.items()]
        body = api.Transaction(required, changes)
        reply = await self._call("POST", api.TXN, body)
        if reply.status == 409:
            raise TransactionConflictError(_decode(reply, api.TransactionConflict, 409).failed)
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseLostError
        return _decode(reply, api.TransactionResult).revision

    async def lease(self, ttl_s: float) -> int:
        """Request a lease of `ttl_s` seconds and return its id."""
        await self.budget.requests.take(1, True)
        reply = await self._call("POST", api.LEASES, api.LeaseRequest(int(ttl_s * 1000)))
        return _decode(reply, api.LeaseGrant).lease

    async def renew(self, lease: int) -> None:
        """Renew a lease. Raises LeaseLostError when it has ended."""
        await self.budget.requests.take(1, True)
        reply = await self._call("POST", f"{api.LEASES}/{lease}/{api.RENEW}", None, RENEW_TIMEOUT_S)
        if reply.status == 404:
            raise LeaseLostError
        if reply.status != 200:
            raise OutcomeUnknownError(f"lease renewal: status {reply.status}, expected 200")

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        """Return the events under a prefix after a revision; wait up to `wait_s` for the first.

        Raises RevisionTooOldError when the service no longer has all of them.
        """
        await self.budget.requests.take(1, True)
        path = api.watch_query(prefix, after, int(wait_s * 1000))
        # A watch opened before a network partition still hangs after it ends: the timeout must
        # notice that soon.
        reply = await self._call("GET", path, None, wait_s + WATCH_MARGIN_S)
        if reply.status == 410:
            raise RevisionTooOldError
        return _decode(reply, api.Events)


class RequestBudget:
    """This controller's share of the state service's limits on requests and changes per second."""

    def __init__(self, rps: float, write_rps: float, nodes: int, now: Callable[[], float]) -> None:
        self.total_rps = rps * BUDGET_SHARE
        self.total_write_rps = write_rps * BUDGET_SHARE
        self.nodes = nodes
        self.requests = TokenBucket(self.total_rps / nodes, BURST_S, now)
        self.writes = TokenBucket(self.total_write_rps / nodes, BURST_S, now)

    def share_among(self, nodes: int) -> None:
        """Share the rates among the live controllers, which also do the work of failed ones."""
        if nodes != self.nodes and nodes > 0:
            self.nodes = nodes
            self.requests.set_rate(self.total_rps / nodes)
            self.writes.set_rate(self.total_write_rps / nodes)


def _decode(reply: Reply, expected: type[T], status: int = 200) -> T:
    """Decode the body of a response.

    Raises OutcomeUnknownError for an unexpected status or body, since neither says whether the
    request was executed.
    """
    if reply.status != status:
        raise OutcomeUnknownError(f"status {reply.status}, expected {status}")
    try:
        return msgspec.json.decode(reply.body, type=expected)
    except msgspec.DecodeError as error:
        raise OutcomeUnknownError(f"invalid response body: {error}") from error

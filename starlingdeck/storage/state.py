"""The state service's client: conditions, leases, watches, and honest failures."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from starlingdeck.protocol import api
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.transport.client import ConnectionFailedError, HttpClient, NoResponseError, Reply

T = TypeVar("T")


class StateError(Exception):
    """The call was not executed: refused, out of budget, or nobody there."""


class OutcomeUnknownError(StateError):
    """No usable answer: the call may have been executed, or may be executed later."""


class TransactionConflictError(Exception):
    """A condition did not hold; nothing was changed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"changed meanwhile: {failed}")
        self.failed = failed


class LeaseLostError(Exception):
    """The lease is over."""


class TooOld(Exception):
    """The watch's revision is forgotten; read the keys again."""


def put_change(key: str, value: Any, lease: int | None = None) -> api.Change:
    return api.Change(put=key, value=value, lease=lease)


def delete_change(key: str) -> api.Change:
    return api.Change(delete=key)


class StateClient:
    def __init__(
        self, http: HttpClient, address: str, limit: "RequestBudget", now: Callable[[], float]
    ) -> None:
        self.http = http
        self.address = address
        self.limit = limit
        self.now = now
        self.timeout_s = 2.0
        self.calls = 0

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
        await self.limit.reads.take(1, urgent)
        reply = await self._call("GET", f"{api.KV}/{key}", None)
        if reply.status == 404:
            return None
        return _decode(reply, api.Entry)

    async def read(self, prefix: str) -> tuple[list[api.Entry], int]:
        """All entries, and the revision of the first page (later changes come by watch)."""
        found: list[api.Entry] = []
        revision, after = -1, None
        while True:
            await self.limit.reads.take(1, True)
            page = _decode(
                await self._call("GET", api.list_query(prefix, after, 500), None, 5.0), api.Entries
            )
            found += page.items
            revision = page.revision if revision < 0 else revision
            if not page.more or not page.items:
                return found, revision
            after = page.items[-1].key

    def writable(self, urgent: bool) -> tuple[int, float]:
        """How many changes the budget has room for now, and how long until it has for one."""
        return self.limit.writes.free(urgent)

    async def transact(
        self, conditions: dict[str, int], changes: list[api.Change], urgent: bool = False
    ) -> int:
        await self.limit.reads.take(1, urgent)
        await self.limit.writes.take(len(changes), urgent)
        body = api.Transaction([api.Condition(k, v) for k, v in conditions.items()], changes)
        reply = await self._call("POST", api.TXN, body)
        if reply.status == 409:
            raise TransactionConflictError(_decode(reply, api.TransactionConflict, 409).failed)
        if reply.status == 400 and b"lease" in reply.body:
            raise LeaseLostError
        return _decode(reply, api.TransactionResult).revision

    async def lease(self, ttl_s: float) -> int:
        await self.limit.reads.take(1, True)
        reply = await self._call("POST", api.LEASES, api.LeaseRequest(int(ttl_s * 1000)))
        return _decode(reply, api.LeaseGrant).lease

    async def renew(self, lease: int) -> None:
        await self.limit.reads.take(1, True)
        reply = await self._call("POST", f"{api.LEASES}/{lease}/{api.RENEW}", None, 1.0)
        if reply.status == 404:
            raise LeaseLostError
        if reply.status != 200:
            raise OutcomeUnknownError(f"renewal answered {reply.status}")

    async def watch(self, prefix: str, after: int, wait_s: float) -> api.Events:
        await self.limit.reads.take(1, True)
        path = api.watch_query(prefix, after, int(wait_s * 1000))
        # A watch opened before a cut hangs after it: its end must be noticed soon.
        reply = await self._call("GET", path, None, wait_s + 1.5)
        if reply.status == 410:
            raise TooOld
        return _decode(reply, api.Events)


class RequestBudget:
    """This node's share of the state service's two budgets."""

    def __init__(self, rps: float, write_rps: float, nodes: int, now: Callable[[], float]) -> None:
        self.rates = (rps * 0.9, write_rps * 0.9)
        self.nodes = nodes
        self.reads = TokenBucket(self.rates[0] / nodes, 1.0, now)
        self.writes = TokenBucket(self.rates[1] / nodes, 1.0, now)

    def share_among(self, nodes: int) -> None:
        """The living share the budgets: whoever stands in for the dead has their work too."""
        if nodes != self.nodes and nodes > 0:
            self.nodes = nodes
            self.reads.set_rate(self.rates[0] / nodes)
            self.writes.set_rate(self.rates[1] / nodes)


def _decode(reply: Reply, kind: type[T], status: int = 200) -> T:
    # A nonsense answer says nothing of what was executed: the caller must look again.
    if reply.status != status:
        raise OutcomeUnknownError(f"answered {reply.status}")
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise OutcomeUnknownError(f"nonsense: {error}") from error

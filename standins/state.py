"""Test double of the state service: compare-and-swap, leases, watches, limits, outages.

python -m standins.state ADDRESS [--rps N] [--write-rps N] [--value-kb N] [--txn-ops N]
    [--latency-ms N]
Without options nothing is limited. POST /out with {"seconds": 5} starts an outage; GET /stats
returns counts of requests, changes and refusals.
"""

import argparse
import bisect
import time
from typing import NamedTuple

import curio
import msgspec

from standins.limits import RateLimiter, StateLimits
from standins.serve import error_response, json_response, query_parameters, serve
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

RETAINED_CHANGES = 10_000  # latest changes, kept for watches; a watch from an earlier one gets 410
MAX_PAGE_ITEMS = 1000
MAX_PAGE_BYTES = 512 * 1024  # keys and values together
MAX_TRANSACTION_BYTES = 64 * 1024
CONDITIONS_PER_CHANGE = 4  # a transaction may have this many times `txn_ops` conditions


class StateStats(msgspec.Struct):
    """Counters since the start of the service, except `keys`, the current number of keys.

    `bytes` counts the values written, `read_bytes` the keys and values that were listed. `writes`
    counts the transactions with changes, whether or not their conditions held.
    """

    requests: int = 0
    changes: int = 0
    writes: int = 0
    refused: int = 0  # transactions with a failed condition
    over_rate: int = 0  # answered 429
    malformed: int = 0  # transactions over a limit (answered 400); not those with an expired lease
    bytes: int = 0
    read_bytes: int = 0
    keys: int = 0
    put: dict[str, int] = {}  # number of values written, by the first part of the key


class Lease(NamedTuple):
    """A lease: when it expires (monotonic clock) and its length, in seconds."""

    expires_at: float
    ttl_s: float


class StateService:
    """The store, its leases and its HTTP interface."""

    def __init__(self, limits: StateLimits) -> None:
        self.limits = limits
        self.request_limiter = RateLimiter(limits.rps)
        self.change_limiter = RateLimiter(limits.write_rps)
        self.entries: dict[str, api.Entry] = {}
        self.sorted_keys: list[str] = []
        self.revision = 1
        self.change_log: list[api.Event] = []
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 0
        self.lease_by_key: dict[str, int] = {}
        self.outage_until = 0.0
        self.stats = StateStats()
        self.change_event = curio.Event()

    @property
    def in_outage(self) -> bool:
        """Whether an outage is in progress."""
        return time.monotonic() < self.outage_until

    async def handle(self, request: Request) -> Response:
        """Handle one request; outages and the rate limit affect all but /out and /stats."""
        path, post = request.path, request.method == "POST"
        if path == "/out" and post:
            self.begin_outage(msgspec.json.decode(request.body)["seconds"])
            return json_response()
        if path == "/stats":
            self.stats.keys = len(self.entries)
            return json_response(self.stats)
        if self.in_outage:
            return error_response(503, "out")
        self.stats.requests += 1
        if not self.request_limiter.take():
            self.stats.over_rate += 1
            return error_response(429, "too many requests")
        if self.limits.latency_ms:
            await curio.sleep(self.limits.latency_ms / 1000)
        return await self.route(request, path, post)

    async def route(self, request: Request, path: str, post: bool) -> Response:
        """Handle a request that neither an outage nor the rate limit has refused."""
        if path == api.TXN and post:
            return await self.execute_transaction(request.body)
        if path == api.KV:
            return self.list_page(query_parameters(request))
        if path.startswith(api.KV + "/"):
            entry = self.entries.get(path[len(api.KV) + 1 :])
            return json_response(entry) if entry else json_response({"epoch": self.revision}, 404)
        if path == api.WATCH:
            return await self.watch(query_parameters(request))
        if path == api.LEASES and post:
            return self.grant_lease(msgspec.json.decode(request.body, type=api.LeaseRequest))
        if path.startswith(api.LEASES + "/"):
            return self.renew_or_end_lease(int(path.split("/")[2]), post)
        return error_response(400, "no such path")

    def begin_outage(self, seconds: float) -> None:
        """Start an outage: for `seconds`, requests are answered with 503 and open watches wait."""
        self.outage_until = time.monotonic() + seconds
        # After an outage every lease has its full length again.
        self.leases = {
            lease_id: Lease(self.outage_until + lease.ttl_s, lease.ttl_s)
            for lease_id, lease in self.leases.items()
        }

    def grant_lease(self, request: api.LeaseRequest) -> Response:
        """Grant a lease."""
        ttl_s = request.ttl_ms / 1000
        self.last_lease_id += 1
        lease_id = self.last_lease_id
        self.leases[lease_id] = Lease(time.monotonic() + ttl_s, ttl_s)
        return json_response(api.LeaseGrant(lease_id))

    def renew_or_end_lease(self, lease_id: int, post: bool) -> Response:
        """Renew a lease for its full length or, if `post` is false, make it expire at once."""
        if lease_id not in self.leases:
            return error_response(404, "no such lease")
        ttl_s = self.leases[lease_id].ttl_s if post else 0.0
        self.leases[lease_id] = Lease(time.monotonic() + ttl_s, ttl_s)
        return json_response()

    def transaction_error(self, body: bytes, txn: api.Transaction) -> str:
        """Return a text on the limit that a transaction exceeds, or an empty string."""
        limits = self.limits
        if len(body) > MAX_TRANSACTION_BYTES:
            return "transaction too large"
        if limits.txn_ops and len(txn.changes) > limits.txn_ops:
            return "too many changes"
        if limits.txn_ops and len(txn.conditions) > CONDITIONS_PER_CHANGE * limits.txn_ops:
            return "too many conditions"
        if limits.value_kb:
            limit = limits.value_kb * 1024
            for change in txn.changes:
                if change.put is not None and len(msgspec.json.encode(change.value)) > limit:
                    return f"value of {change.put} too large"
        return ""

    async def execute_transaction(self, body: bytes) -> Response:
        """Execute a transaction if it is within the limits and all its conditions hold."""
        txn = msgspec.json.decode(body, type=api.Transaction)
        limit_error = self.transaction_error(body, txn)
        if limit_error:
            self.stats.malformed += 1
            return error_response(400, limit_error)
        if not self.change_limiter.take(len(txn.changes)):
            self.stats.over_rate += 1
            return error_response(429, "too many changes")
        if any(c.lease is not None and c.lease not in self.leases for c in txn.changes):
            return error_response(400, "no such lease")
        failed = [c.key for c in txn.conditions if self.key_version(c.key) != c.version]
        self.stats.writes += bool(txn.changes)
        self.stats.refused += bool(failed)
        if failed:
            return json_response({"failed": failed, "epoch": self.revision}, 409)
        if txn.changes:
            self.stats.changes += len(txn.changes)
            await self.apply_changes(txn.changes)
        return json_response(api.TransactionResult(self.revision))

    def key_version(self, key: str) -> int:
        """Return the revision of a key's last change; 0 if the key does not exist."""
        entry = self.entries.get(key)
        return entry.version if entry is not None else 0

    async def apply_changes(self, changes: list[api.Change]) -> None:
        """Apply changes under one new revision and wake the watches."""
        self.revision += 1
        for change in changes:
            if change.put is not None:
                self.put_key(change)
            elif change.delete is not None:
                self.delete_key(change.delete)
        del self.change_log[:-RETAINED_CHANGES]
        event, self.change_event = self.change_event, curio.Event()
        await event.set()

    def put_key(self, change: api.Change) -> None:
        """Set a key and its lease, and count the value as written."""
        key = change.put or ""
        value = msgspec.Raw(msgspec.json.encode(change.value))
        self.stats.bytes += len(bytes(value))
        kind = key.split("/")[0]
        self.stats.put[kind] = self.stats.put.get(kind, 0) + 1
        if key not in self.entries:
            bisect.insort(self.sorted_keys, key)
        self.entries[key] = api.Entry(key, value, self.revision, change.lease)
        self.lease_by_key.pop(key, None)
        if change.lease is not None:
            self.lease_by_key[key] = change.lease
        self.change_log.append(api.Event(self.revision, key, value))

    def delete_key(self, key: str) -> None:
        """Delete a key if it exists."""
        if self.entries.pop(key, None) is None:
            return
        del self.sorted_keys[bisect.bisect_left(self.sorted_keys, key)]
        self.lease_by_key.pop(key, None)
        self.change_log.append(api.Event(self.revision, delete=key))

    def list_page(self, parameters: dict[str, str]) -> Response:
        """Return one page of the keys with a prefix, in key order."""
        prefix, after = parameters.get("prefix", ""), parameters.get("after", "")
        limit = min(MAX_PAGE_ITEMS, int(parameters.get("limit", MAX_PAGE_ITEMS)))
        entries: list[api.Entry] = []
        size, more = 0, False
        first = max(
            bisect.bisect_left(self.sorted_keys, prefix),
            bisect.bisect_right(self.sorted_keys, after),
        )
        for key in self.sorted_keys[first:]:
            if not key.startswith(prefix):
                break
            size += len(bytes(self.entries[key].value)) + len(key)
            if len(entries) >= limit or (entries and size > MAX_PAGE_BYTES):
                more = True
                break
            entries.append(self.entries[key])
        self.stats.read_bytes += size
        return json_response(api.Entries(entries, self.revision, more))

    async def watch(self, parameters: dict[str, str]) -> Response:
        """Return the changes of keys with a prefix after a revision.

        Wait up to `block_ms` for a change, and also until the end of an outage. Answer 410 when
        changes after the revision are no longer retained.
        """
        prefix, after = parameters.get("prefix", ""), int(parameters.get("after", 0))
        deadline = time.monotonic() + int(parameters.get("block_ms", 0)) / 1000
        while True:
            if (
                self.change_log
                and after < self.change_log[0].version - 1
                and len(self.change_log) == RETAINED_CHANGES
            ):
                return error_response(410, "too old")
            first = bisect.bisect_right(self.change_log, after, key=lambda event: event.version)
            events = [
                event
                for event in self.change_log[first:]
                if (event.put or event.delete or "").startswith(prefix)
            ]
            remaining_s = deadline - time.monotonic()
            if not self.in_outage and (events or remaining_s <= 0):
                return json_response(api.Events(events, self.revision))
            if not events:
                after = max(after, self.revision)  # no change up to this revision matches
            async with curio.ignore_after(max(0.05, remaining_s)):
                await self.change_event.wait()

    async def expire_leases(self) -> None:
        """End expired leases and delete the keys attached to them."""
        while True:
            await curio.sleep(0.02)
            if self.in_outage:
                continue
            now = time.monotonic()
            expired = {
                lease_id for lease_id, lease in self.leases.items() if now > lease.expires_at
            }
            keys = [key for key, lease_id in self.lease_by_key.items() if lease_id in expired]
            for lease_id in expired:
                del self.leases[lease_id]
            if keys:
                await self.apply_changes([api.Change(delete=key) for key in keys])


def main() -> None:
    """Run the state service with the address and limits from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    for name in ("rps", "write-rps", "value-kb", "latency-ms"):
        parser.add_argument(f"--{name}", type=float, default=0.0)
    parser.add_argument("--txn-ops", type=int, default=0)
    options = vars(parser.parse_args())
    address = options.pop("address")
    service = StateService(StateLimits(**options))
    serve(address, service.handle, service.expire_leases)


if __name__ == "__main__":
    main()

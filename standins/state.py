"""A state service: compare-and-set transactions, leases, watches, limits, outages on request.

python -m standins.state ADDRESS [--rps N] [--write-rps N] [--value-kb N] [--txn-ops N]
Without options nothing is limited. POST /out with {"seconds": 5} starts an outage; GET /stats tells
what was asked for, what was changed, and what was refused.
"""

import argparse
import bisect
import time
from typing import Any

import curio
import msgspec

from standins.limits import Rate, StateLimits
from standins.serve import answer, error, query, serve
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

KEPT = 10_000  # changes that a watch may still ask for
MOST_ITEMS = 1000
MOST_PAGE = 512 * 1024  # bytes of a list
MOST_TXN = 64 * 1024  # bytes of a transaction
CONDITIONS = 4  # times the changes that a transaction may hold


class Stats(msgspec.Struct):
    """Counted since the start; `bytes` are those of the values written."""

    requests: int = 0
    changes: int = 0
    writes: int = 0
    refused: int = 0  # for a condition
    over_rate: int = 0  # 429
    malformed: int = 0  # 400, expired leases aside
    bytes: int = 0
    read_bytes: int = 0
    keys: int = 0
    put: dict[str, int] = {}  # by the first part of the key


class State:
    """The store, its leases and its HTTP interface."""

    def __init__(self, limits: StateLimits) -> None:
        self.limits = limits
        self.requests = Rate(limits.rps)
        self.changing = Rate(limits.write_rps)
        self.keys: dict[str, api.Entry] = {}
        self.names: list[str] = []  # of the keys, in order
        self.epoch = 1
        self.changes: list[api.Event] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end, length in seconds
        self.leased: dict[str, int] = {}  # key -> lease
        self.out_until = 0.0
        self.stats = Stats()
        self.changed = curio.Event()

    @property
    def out(self) -> bool:
        """Whether an outage is in progress."""
        return time.monotonic() < self.out_until

    async def handle(self, request: Request) -> Response:
        """Handles one request, within the limit of requests."""
        path, post = request.path, request.method == "POST"
        if path == "/out" and post:
            self.begin_outage(msgspec.json.decode(request.body)["seconds"])
            return answer()
        if path == "/stats":
            self.stats.keys = len(self.keys)
            return answer(self.stats)
        if self.out:
            return error(503, "out")
        self.stats.requests += 1
        if not self.requests.take():
            self.stats.over_rate += 1
            return error(429, "too many requests")
        if self.limits.latency_ms:
            await curio.sleep(self.limits.latency_ms / 1000)
        return await self.route(request, path, post)

    async def route(self, request: Request, path: str, post: bool) -> Response:
        """Handles a request that the limits and the outage let through."""
        if path == api.TXN and post:
            return await self.txn(request.body)
        if path == api.KV:
            return self.listed(query(request))
        if path.startswith(api.KV + "/"):
            found = self.keys.get(path[len(api.KV) + 1 :])
            return answer(found) if found else answer({"epoch": self.epoch}, 404)
        if path == api.WATCH:
            return await self.watch(query(request))
        if path == api.LEASES and post:
            return self.lease(msgspec.json.decode(request.body, type=api.LeaseRequest))
        if path.startswith(api.LEASES + "/"):
            return self.renew(int(path.split("/")[2]), post)
        return error(400, "no such path")

    def begin_outage(self, seconds: float) -> None:
        """Answers every request with 503 for `seconds`."""
        self.out_until = time.monotonic() + seconds
        # After an outage every lease has its full time again.
        self.leases = {k: (self.out_until + ttl, ttl) for k, (_, ttl) in self.leases.items()}

    def lease(self, asked: api.LeaseRequest) -> Response:
        """Grants a lease."""
        ttl = asked.ttl_ms / 1000
        lease = max(self.leases, default=0) + 1 + self.epoch
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return answer(api.LeaseGrant(lease))

    def renew(self, lease: int, post: bool) -> Response:
        """Renews a lease; with `post` false, ends it."""
        if lease not in self.leases:
            return error(404, "no such lease")
        ttl = self.leases[lease][1] if post else 0.0
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return answer()

    def malformed(self, body: bytes, txn: api.Transaction) -> str:
        """Which limit of the protocol a transaction breaks, or nothing."""
        limits = self.limits
        if len(body) > MOST_TXN:
            return "transaction too large"
        if limits.txn_ops and len(txn.changes) > limits.txn_ops:
            return "too many changes"
        if limits.txn_ops and len(txn.conditions) > CONDITIONS * limits.txn_ops:
            return "too many conditions"
        if limits.value_kb:
            limit = limits.value_kb * 1024
            for change in txn.changes:
                if change.put is not None and len(msgspec.json.encode(change.value)) > limit:
                    return f"value of {change.put} too large"
        return ""

    async def txn(self, body: bytes) -> Response:
        """Executes a transaction if all its conditions hold."""
        txn = msgspec.json.decode(body, type=api.Transaction)
        fault = self.malformed(body, txn)
        if fault:
            self.stats.malformed += 1
            return error(400, fault)
        if not self.changing.take(len(txn.changes)):
            self.stats.over_rate += 1
            return error(429, "too many changes")
        if any(c.lease is not None and c.lease not in self.leases for c in txn.changes):
            return error(400, "no such lease")
        failed = [c.key for c in txn.conditions if self.version(c.key) != c.version]
        self.stats.writes += bool(txn.changes)
        self.stats.refused += bool(failed)
        if failed:
            return answer({"failed": failed, "epoch": self.epoch}, 409)
        if txn.changes:
            self.stats.changes += len(txn.changes)
            await self.apply(txn.changes)
        return answer(api.TransactionResult(self.epoch))

    def version(self, key: str) -> int:
        """The revision of a key's last change; 0 when it does not exist."""
        found = self.keys.get(key)
        return found.version if found is not None else 0

    async def apply(self, changes: list[api.Change]) -> None:
        """Applies changes under one new revision and wakes the watches."""
        self.epoch += 1
        for change in changes:
            if change.put is not None:
                self.put(change)
            elif change.delete is not None:
                self.drop(change.delete)
        del self.changes[:-KEPT]
        event, self.changed = self.changed, curio.Event()
        await event.set()

    def put(self, change: api.Change) -> None:
        """Sets a key."""
        key = change.put or ""
        value = msgspec.Raw(msgspec.json.encode(change.value))
        self.stats.bytes += len(bytes(value))
        kind = key.split("/")[0]
        self.stats.put[kind] = self.stats.put.get(kind, 0) + 1
        if key not in self.keys:
            bisect.insort(self.names, key)
        self.keys[key] = api.Entry(key, value, self.epoch, change.lease)
        self.leased.pop(key, None)
        if change.lease is not None:
            self.leased[key] = change.lease
        self.changes.append(api.Event(self.epoch, key, value))

    def drop(self, key: str) -> None:
        """Deletes a key if it exists."""
        if self.keys.pop(key, None) is None:
            return
        del self.names[bisect.bisect_left(self.names, key)]
        self.leased.pop(key, None)
        self.changes.append(api.Event(self.epoch, delete=key))

    def listed(self, asked: dict[str, str]) -> Response:
        """One page of the keys with a prefix, in key order."""
        prefix, after = asked.get("prefix", ""), asked.get("after", "")
        limit = min(MOST_ITEMS, int(asked.get("limit", MOST_ITEMS)))
        found: list[api.Entry] = []
        size, more = 0, False
        first = max(bisect.bisect_left(self.names, prefix), bisect.bisect_right(self.names, after))
        for name in self.names[first:]:
            if not name.startswith(prefix):
                break
            size += len(bytes(self.keys[name].value)) + len(name)
            if len(found) >= limit or (found and size > MOST_PAGE):
                more = True
                break
            found.append(self.keys[name])
        self.stats.read_bytes += size
        return answer(api.Entries(found, self.epoch, more))

    async def watch(self, asked: dict[str, str]) -> Response:
        """Waits for changes of keys with a prefix after a revision."""
        prefix, after = asked.get("prefix", ""), int(asked.get("after", 0))
        until = time.monotonic() + int(asked.get("block_ms", 0)) / 1000
        while True:
            if self.changes and after < self.changes[0].version - 1 and len(self.changes) == KEPT:
                return error(410, "too old")
            first = bisect.bisect_right(self.changes, after, key=lambda e: e.version)
            found = [
                e for e in self.changes[first:] if (e.put or e.delete or "").startswith(prefix)
            ]
            left = until - time.monotonic()
            if not self.out and (found or left <= 0):
                return answer(api.Events(found, self.epoch))
            if not found:
                after = max(after, self.epoch)  # nothing up to here concerns this watch
            async with curio.ignore_after(max(0.05, left)):
                await self.changed.wait()

    async def lapse(self) -> None:
        """Leases end, and the keys that hang on them go."""
        while True:
            await curio.sleep(0.02)
            if self.out:
                continue
            now = time.monotonic()
            over = {k for k, (end, _) in self.leases.items() if now > end}
            gone: list[Any] = [k for k, lease in self.leased.items() if lease in over]
            for lease in over:
                del self.leases[lease]
            if gone:
                await self.apply([api.Change(delete=key) for key in gone])


def main() -> None:
    """Runs the state service of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    for name in ("rps", "write-rps", "value-kb", "latency-ms"):
        parser.add_argument(f"--{name}", type=float, default=0.0)
    parser.add_argument("--txn-ops", type=int, default=0)
    asked = vars(parser.parse_args())
    address = asked.pop("address")
    state = State(StateLimits(**asked))
    serve(address, state.handle, state.lapse)


if __name__ == "__main__":
    main()

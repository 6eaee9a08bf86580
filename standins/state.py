"""A state service: compare-and-set transactions, leases, watches, and outages on request.

python -m standins.state ADDRESS; POST /out with {"seconds": 5} starts an outage;
GET /stats tells of changes made, writes asked for, and those refused for a condition.
"""

import sys
import time
from typing import Any

import curio
import msgspec

from standins.serve import answer, error, query, serve
from starlingdeck.protocol import api
from starlingdeck.transport.server import Request, Response

KEPT = 10_000  # changes that a watch may still ask for
RAW = msgspec.json.encode


class State:
    def __init__(self) -> None:
        self.keys: dict[str, api.Entry] = {}
        self.epoch = 1
        self.changes: list[api.Event] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end, length in seconds
        self.out_until = 0.0
        self.written = self.writes = self.refused = 0
        self.changed = curio.Event()

    @property
    def out(self) -> bool:
        return time.monotonic() < self.out_until

    async def handle(self, request: Request) -> Response:
        path, post = request.path, request.method == "POST"
        if path == "/out" and post:
            seconds = msgspec.json.decode(request.body)["seconds"]
            self.out_until = time.monotonic() + seconds
            # After an outage every lease has its full time again.
            self.leases = {k: (self.out_until + ttl, ttl) for k, (_, ttl) in self.leases.items()}
            return answer()
        if path == "/stats":
            return answer({"changes": self.written, "writes": self.writes, "refused": self.refused})
        if self.out:
            return error(503, "out")
        if path == api.TXN and post:
            return await self.txn(msgspec.json.decode(request.body, type=api.Txn))
        if path == api.KV:
            return self.listed(query(request))
        if path.startswith(api.KV + "/"):
            found = self.keys.get(path[len(api.KV) + 1 :])
            return answer(found) if found else answer({"epoch": self.epoch}, 404)
        if path == api.WATCH:
            return await self.watch(query(request))
        if path == api.LEASES and post:
            ttl = msgspec.json.decode(request.body, type=api.LeaseAsk).ttl_ms / 1000
            lease = max(self.leases, default=0) + 1 + self.epoch
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return answer(api.LeaseGrant(lease))
        if path.startswith(api.LEASES + "/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return error(404, "no such lease")
            ttl = self.leases[lease][1] if request.method == "POST" else 0.0
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return answer()
        return error(400, "no such path")

    async def txn(self, body: api.Txn) -> Response:
        if any(c.lease is not None and c.lease not in self.leases for c in body.changes):
            return error(400, "no such lease")
        stamps = {c.key: self.keys[c.key].version if c.key in self.keys else 0
                  for c in body.conditions}  # fmt: skip
        failed = [c.key for c in body.conditions if stamps[c.key] != c.version]
        self.writes += bool(body.changes)
        self.refused += bool(failed)
        if failed:
            return answer({"failed": failed, "epoch": self.epoch}, 409)
        if body.changes:
            await self.apply(body.changes)
        return answer(api.TxnDone(self.epoch))

    async def apply(self, changes: list[api.Change]) -> None:
        self.epoch += 1
        self.written += len(changes)
        for change in changes:
            if change.put is not None:
                value = msgspec.Raw(RAW(change.value))
                self.keys[change.put] = api.Entry(change.put, value, self.epoch, change.lease)
                self.changes.append(api.Event(self.epoch, change.put, value))
            elif self.keys.pop(change.delete or "", None):
                self.changes.append(api.Event(self.epoch, delete=change.delete))
        del self.changes[:-KEPT]
        event, self.changed = self.changed, curio.Event()
        await event.set()

    def listed(self, asked: dict[str, str]) -> Response:
        limit = min(1000, int(asked.get("limit", 1000)))
        names = sorted(
            k for k in self.keys
            if k.startswith(asked.get("prefix", "")) and k > asked.get("after", "")
        )  # fmt: skip
        found = [self.keys[k] for k in names[:limit]]
        return answer(api.Entries(found, self.epoch, len(names) > limit))

    async def watch(self, asked: dict[str, str]) -> Response:
        prefix, after = asked.get("prefix", ""), int(asked.get("after", 0))
        until = time.monotonic() + int(asked.get("block_ms", 0)) / 1000
        while True:
            if self.changes and after < self.changes[0].version - 1 and len(self.changes) == KEPT:
                return error(410, "too old")
            found = [
                e for e in self.changes
                if e.version > after and (e.put or e.delete or "").startswith(prefix)
            ]  # fmt: skip
            left = until - time.monotonic()
            if not self.out and (found or left <= 0):
                return answer(api.Events(found, self.epoch))
            async with curio.ignore_after(max(0.05, left)):
                await self.changed.wait()

    async def lapse(self) -> None:
        """Leases end, and the keys that hang on them go."""
        while True:
            await curio.sleep(0.02)
            if self.out:
                continue
            over = {k for k, (end, _) in self.leases.items() if time.monotonic() > end}
            gone: list[Any] = [k for k, e in self.keys.items() if e.lease in over]
            for lease in over:
                del self.leases[lease]
            if gone:
                await self.apply([api.Change(delete=key) for key in gone])


if __name__ == "__main__":
    state = State()
    serve(sys.argv[1], state.handle, state.lapse)

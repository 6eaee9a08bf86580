"""A stand-in of the state service with one port for each controller."""

import asyncio
import bisect
import json
import time
from collections.abc import Callable
from typing import Any

from wire import Answer, Server

LEASE_TICK_S = 0.02
# A fault takes (method, path, body) and returns "", "503", "lose", "drop" or seconds to delay.
Fault = Callable[[str, str, bytes], str | float]


class StateService:
    """A consistent key-value store with leases and watches."""

    def __init__(self, nodes: int) -> None:
        self.entries: dict[str, tuple[Any, int, int | None]] = {}
        self.keys: list[str] = []
        self.epoch = 1
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.out_until = 0.0
        self.changed = asyncio.Event()
        self.faults: dict[int, Fault] = {}
        self.servers = [Server(self._handler(node)) for node in range(nodes)]
        self.on_set: Callable[[str, Any, int], None] = lambda *_: None

    async def start(self) -> None:
        """Serve all ports."""
        for server in self.servers:
            await server.start()
        self.task = asyncio.create_task(self._expire())

    def outage(self, seconds: float) -> None:
        """Begin an outage; every lease has its full time again afterwards."""
        self.out_until = time.monotonic() + seconds
        self.leases = {k: (self.out_until + t, t) for k, (_, t) in self.leases.items()}

    def is_out(self) -> bool:
        """Return whether an outage is in progress."""
        return time.monotonic() < self.out_until

    def _handler(self, node: int) -> Any:
        async def handle(method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
            fault = self.faults.get(node)
            effect = fault(method, path, body) if fault else ""
            if effect == "drop":
                return None
            if effect == "503" or self.is_out():
                return 503, {"error": "out"}
            if effect and effect != "lose":
                await asyncio.sleep(float(effect))
            answer = await self.route(method, path, query, body)
            return None if effect == "lose" else answer

        return handle

    async def route(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Execute a request."""
        if path == "/multi":
            return self.execute(json.loads(body))
        if path == "/kv":
            return self.page(query)
        if path.startswith("/kv/"):
            entry = self.entries.get(path[4:])
            if entry is None:
                return 404, {"epoch": self.epoch}
            return 200, self._entry(path[4:], entry)
        if path == "/changes":
            return await self.watch(query)
        if path == "/leases":
            life_s = json.loads(body)["life_ms"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + life_s, life_s)
            return 200, {"permit": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        life_s = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + (life_s if method == "POST" else 0), life_s)
        return 200, {}

    @staticmethod
    def _entry(key: str, entry: tuple[Any, int, int | None]) -> dict[str, Any]:
        return {"k": key, "value": entry[0], "stamp": entry[1], "permit": entry[2]}

    def execute(self, txn: dict[str, Any]) -> Answer:
        """Execute a transaction."""
        changes = txn.get("apply") or []
        if any(c.get("permit") is not None and c["permit"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        failed = [
            w["k"]
            for w in txn.get("when") or []
            if self.entries.get(w["k"], (None, 0, None))[1] != w["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.apply(changes)
        return 200, {"epoch": self.epoch}

    def apply(self, changes: list[dict[str, Any]]) -> None:
        """Apply changes under one new revision."""
        self.epoch += 1
        for change in changes:
            if change.get("set") is not None:
                key, value = change["set"], change.get("value")
                if key not in self.entries:
                    bisect.insort(self.keys, key)
                self.entries[key] = (value, self.epoch, change.get("permit"))
                self.log.append((self.epoch, {"set": key, "value": value, "stamp": self.epoch}))
                self.on_set(key, value, self.epoch)
            elif self.entries.pop(change["delete"], None) is not None:
                self.keys.remove(change["delete"])
                self.log.append((self.epoch, {"delete": change["delete"], "stamp": self.epoch}))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def page(self, query: dict[str, str]) -> Answer:
        """Return a page of a prefix's keys."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        limit = min(1000, int(query.get("limit", 1000)))
        keys = [k for k in self.keys if k.startswith(prefix) and k > after]
        entries = [self._entry(k, self.entries[k]) for k in keys[:limit]]
        return 200, {"entries": entries, "truncated": len(keys) > limit, "epoch": self.epoch}

    async def watch(self, query: dict[str, str]) -> Answer:
        """Wait for changes of a prefix's keys."""
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        deadline = time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            first = bisect.bisect_right(self.log, after, key=lambda item: item[0])
            events = [
                e for _, e in self.log[first:] if (e.get("set") or e["delete"]).startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if not self.is_out() and (events or left_s <= 0):
                return 200, {"epoch": self.epoch, "events": events}
            try:
                async with asyncio.timeout(max(0.05, left_s)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(LEASE_TICK_S)
            if self.is_out():
                continue
            now = time.monotonic()
            ended = {lease for lease, (at, _) in self.leases.items() if now > at}
            for lease in ended:
                del self.leases[lease]
            gone = [key for key, entry in self.entries.items() if entry[2] in ended]
            if gone:
                self.apply([{"delete": key} for key in gone])

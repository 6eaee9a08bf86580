"""A reference model of counted resources: the units in the records of all jobs, and the ledgers."""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

import msgspec

from starlingdeck.cluster.membership import Membership
from starlingdeck.context import ControllerContext
from starlingdeck.counts.ledger import Ledger
from starlingdeck.counts.plugin import CountedResourcePlugin
from starlingdeck.jobs.record_writer import RecordWriter
from starlingdeck.protocol import api
from starlingdeck.protocol.config import CountSettings
from starlingdeck.storage import records
from starlingdeck.storage.state import StateClient, put_change
from tests.support.reference_model import FakeStateClient, FakeStateService, InvariantViolationError


class CountedResourceState(FakeStateService):
    """A fake state service that checks, at every change, that no start exceeds a ceiling."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.used: Counter[str] = Counter()

    def apply(self, conditions: dict[str, int], changes: list[api.Change]) -> list[str]:
        """Apply a transaction; check the invariants if its conditions hold."""
        failed = super().apply(conditions, changes)
        if not failed:
            self.check()
        return failed

    def use(self) -> Counter[tuple[str, int]]:
        """Return the units in use by resource and shard, computed from the records alone."""
        found: Counter[tuple[str, int]] = Counter()
        specs = {}
        for key, (value, _) in self.keys.items():
            if key.startswith("j/"):
                main = msgspec.json.decode(value, type=records.JobRecord)
                specs[key[2:]] = main.spec.counts or {}
                for name, units in specs[key[2:]].items():
                    found[(name, int(key.split("/")[1]))] += units * len(main.chunk.placements)
        for key, (value, _) in self.keys.items():
            if key.startswith("t/"):
                chunk = msgspec.json.decode(value, type=records.Chunk)
                for name, units in specs.get(key[2:-5], {}).items():
                    found[(name, int(key.split("/")[1]))] += units * len(chunk.placements)
        return found

    def ledger(self, name: str) -> Ledger:
        """Return a resource's stored ledger."""
        return msgspec.json.decode(self.keys[records.count_key(name)][0], type=Ledger)

    def check(self) -> None:
        """Check each shard's use against its allocation, and each total against its ceiling."""
        total: Counter[str] = Counter()
        for (name, shard), units in self.use().items():
            if units and units > self.ledger(name).allocated[shard]:
                raise InvariantViolationError(
                    f"shard {shard} uses {units} of {name}: {self.ledger(name)}"
                )
            total[name] += units
        for name, units in total.items():
            if units > self.used[name] and units > self.ledger(name).ceiling:
                raise InvariantViolationError(
                    f"{name} is over its ceiling: {units} of {self.ledger(name)}"
                )
        self.used = total

    def set(self, name: str, ceiling: int, shards: int, **fields: Any) -> None:
        """Change a resource as an operator does."""
        key = records.count_key(name)
        old = self.ledger(name) if key in self.keys else Ledger(0, (0,) * shards, revision=0)
        fields = {"removed": False, **fields}
        new = msgspec.structs.replace(old, ceiling=ceiling, revision=old.revision + 1, **fields)
        assert not self.apply({}, [put_change(key, new)])


def make_plugin(
    context: ControllerContext,
    client: FakeStateClient,
    writers: dict[int, RecordWriter],
    **settings: Any,
) -> CountedResourcePlugin:
    """Return a plugin without membership, for one controller."""
    return CountedResourcePlugin(
        context,
        cast(StateClient, client),
        cast(Membership, None),
        writers,
        CountSettings(**settings),
    )


def deliver_changes(
    plugin: CountedResourcePlugin,
    state: FakeStateService,
    is_delivered: Callable[[], bool] = lambda: True,
) -> None:
    """Deliver the ledgers' changes to a plugin, as its controller's watch would."""
    for key, (value, version) in state.keys.items():
        if key.startswith(records.COUNT_PREFIX) and is_delivered():
            plugin.on_key_changed(key, value, version)

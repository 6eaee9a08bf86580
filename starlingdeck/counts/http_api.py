"""The HTTP handler of counted resources: operators list, show and change them (docs/counts.md)."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from starlingdeck.api.responses import error_response, json_response
from starlingdeck.counts.ledger import Ledger, LedgerChange
from starlingdeck.counts.ledger_store import LedgerStore, TaskUnits
from starlingdeck.protocol import api
from starlingdeck.storage import records
from starlingdeck.storage.state import (
    OutcomeUnknownError,
    StateError,
    TransactionConflictError,
    delete_change,
    put_change,
)
from starlingdeck.transport.server import Request, Response

HISTORY = "history"  # last path segment of the request for a resource's history
MAX_HISTORY_CHANGES = 50  # kept of each resource
MAX_WRITE_ATTEMPTS = 20  # to write a change while shards change the ledger
MAX_TASKS_SHOWN = 1000  # of one resource
REVISION_DIGITS = 8  # at the end of the key of a change


class SetCountRequest(Struct, omit_defaults=True):
    """An operator's change of a resource.

    `revision` is the one that the operator saw, 0 to create the resource.
    """

    ceiling: Annotated[int, Meta(ge=0, le=api.MAX_UNITS)]
    revision: Annotated[int, Meta(ge=0)] = field(name="rev")
    preempt: bool | None = None  # unchanged if not given
    removed: bool = False
    preempt_excess: bool = field(default=False, name="stop")
    author: Annotated[str, Meta(max_length=api.MAX_NAME_LENGTH)] = field(default="", name="by")


class TaskInfo(Struct):
    """A task that has units, and its last reported state."""

    task: str
    units: int
    machine: str
    attempt: int
    state: str
    releasing: bool = field(default=False, name="yields")


class CountInfo(Struct, omit_defaults=True):
    """A counted resource as it is shown to operators."""

    name: str
    ceiling: int
    allocated: tuple[int, ...] = field(name="held")
    version: int = field(name="stamp")
    preempt: bool = False
    removed: bool = False
    revision: int = field(default=1, name="rev")
    shards: list[int] = []  # whose tasks are shown
    tasks: list[TaskInfo] = field(default_factory=list, name="holders")


class StoredLedger(Struct):
    """A ledger as read from its key; None and version 0 if there is no such key."""

    ledger: Ledger | None
    version: int


STATE_NAMES = {code: name for name, code in api.TASK_STATE_CODES.items()}
STATE_NAMES |= {api.TASK_PENDING: "no report yet"}


class CountsApi:
    """Answers the requests under `api.COUNTS` from the state service."""

    def __init__(self, store: LedgerStore) -> None:
        self.store = store

    async def handle(self, request: Request) -> Response:
        """Route a request.

        Status 503 means that no change is known to have been made, 504 that one may have been.
        """
        name, _, subpath = request.path[len(api.COUNTS) + 1 :].partition("/")
        if name and not api.RESOURCE_NAME_PATTERN.fullmatch(name):
            return error_response(404, "no such count")
        if subpath not in ("", HISTORY):
            return error_response(404, "no such path")
        if request.method not in (("GET", "POST") if name and not subpath else ("GET",)):
            return error_response(405, "use GET")
        try:
            if request.method == "POST":
                return await self.change(name, request.body)
            if subpath:
                return await self.show_history(name)
            return await (self.show(name) if name else self.show_all())
        except StateError as error:
            return error_response(503, f"the state service can't be used now: {error}")
        except msgspec.DecodeError as error:
            return error_response(503, f"a record can't be read: {error}")

    async def _read(self, name: str) -> StoredLedger:
        entry = await self.store.state.get(records.count_key(name), True)
        if entry is None:
            return StoredLedger(None, 0)
        return StoredLedger(msgspec.json.decode(entry.value, type=Ledger), entry.version)

    async def show_all(self) -> Response:
        """Return all resources, without their tasks."""
        entries, _ = await self.store.state.read(records.COUNT_PREFIX)
        counts = []
        for entry in entries:
            ledger = msgspec.json.decode(entry.value, type=Ledger)
            counts.append(count_info(entry.key[len(records.COUNT_PREFIX) :], ledger, entry.version))
        return json_response(200, {"counts": counts})

    async def show(self, name: str) -> Response:
        """Return one resource, with the tasks of this controller's shards that have units of it."""
        stored = await self._read(name)
        if stored.ledger is None:
            return error_response(404, "no such count")
        info = count_info(name, stored.ledger, stored.version)
        info.shards = sorted(self.store.writers)
        resource = self.store.context.resource_names.intern(name)
        info.tasks = [self._task_info(found) for found in self.store.tasks_with_units(resource)]
        del info.tasks[MAX_TASKS_SHOWN:]
        return json_response(200, info)

    def _task_info(self, found: TaskUnits) -> TaskInfo:
        job, placement = found.job, found.placement
        if found.task in job.pending_ends:
            state = "ended, not written yet"
        else:
            state = STATE_NAMES[placement.observed_state]
        return TaskInfo(
            task=api.task_name(job.id, found.task),
            units=found.units,
            machine=self.store.context.machine_names[placement.machine],
            attempt=placement.attempt,
            state=state,
            releasing=placement.releasing,
        )

    async def show_history(self, name: str) -> Response:
        """Return the last changes of a resource: its declaration, and those by operators."""
        prefix = records.count_change_key(name, 0)[:-REVISION_DIGITS]
        entries, _ = await self.store.state.read(prefix)
        changes = [msgspec.json.decode(entry.value, type=LedgerChange) for entry in entries]
        if not changes:
            return error_response(404, "no such count")
        return json_response(200, {"changes": changes})

    async def change(self, name: str, body: bytes) -> Response:
        """Change a resource if it still has the revision that the operator saw.

        The response is sent only once the change is durable.
        """
        try:
            request = msgspec.json.decode(body, type=SetCountRequest)
        except msgspec.DecodeError as error:
            return error_response(400, str(error))
        store = self.store
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._read(name)
            old = stored.ledger or Ledger(0, (0,) * store.context.shard_count, revision=0)
            if request.revision != old.revision:
                return error_response(
                    409, f"count {name} has been changed by another operator: look again"
                )
            new = changed_ledger(old, request)
            changes = self._changes(name, new, request)
            conditions = {records.count_key(name): stored.version}
            try:
                version = await store.state.transact(conditions, changes, True)
            except TransactionConflictError:
                # A shard may have allocated or released units, which does not concern the operator.
                continue
            except OutcomeUnknownError:
                return error_response(504, "not known whether it was changed: look again")
            store.update(store.context.resource_names.intern(name), new, version)
            status = 201 if old.revision == 0 else 200
            return json_response(status, count_info(name, new, version))
        return error_response(503, "the count is too busy: ask again")

    def _changes(self, name: str, new: Ledger, request: SetCountRequest) -> list[api.Change]:
        """Return the writes of a change: ledger, history entry, and deletion of an old entry."""
        change = LedgerChange(
            revision=new.revision,
            at_ms=self.store.context.wall_clock_ms(),
            ceiling=new.ceiling,
            preempt=new.preempt,
            removed=new.removed,
            preempt_excess=new.preempt_excess,
            author=request.author,
        )
        changes = [
            put_change(records.count_key(name), new),
            put_change(records.count_change_key(name, new.revision), change),
        ]
        if new.revision > MAX_HISTORY_CHANGES:
            expired = records.count_change_key(name, new.revision - MAX_HISTORY_CHANGES)
            changes.append(delete_change(expired))
        return changes


def count_info(name: str, ledger: Ledger, version: int) -> CountInfo:
    """Return a resource as it is shown to operators, without its tasks."""
    return CountInfo(
        name=name,
        ceiling=ledger.ceiling,
        allocated=ledger.allocated,
        version=version,
        preempt=ledger.preempt,
        removed=ledger.removed,
        revision=ledger.revision,
    )


def changed_ledger(old: Ledger, request: SetCountRequest) -> Ledger:
    """Return the ledger after an operator's change."""
    return msgspec.structs.replace(
        old,
        ceiling=request.ceiling,
        preempt=old.preempt if request.preempt is None else request.preempt,
        removed=request.removed,
        preempt_excess=request.preempt_excess,
        revision=old.revision + 1,
    )

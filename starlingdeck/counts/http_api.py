"""The operators' requests: list, show, set and history of counts, beside the protocol's paths."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from starlingdeck.api.job_api import error_response, json_response
from starlingdeck.counts.ledger import Change, Ledger
from starlingdeck.counts.ledger_store import LedgerStore
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

HISTORY_KEPT = 50
HISTORY = "history"
TRIES = 20


class SetCount(Struct, omit_defaults=True):
    """A change. `rev` is the one that the operator saw, 0 for a count to be made."""

    ceiling: Annotated[int, Meta(ge=0, le=api.MAX_UNITS)]
    rev: Annotated[int, Meta(ge=0)]
    preempt: bool | None = None  # as it was, if not given
    removed: bool = False
    stop: bool = False
    by: Annotated[str, Meta(max_length=api.MAX_NAME_LENGTH)] = ""


class Holder(Struct):
    """A task that holds units, and what is known of it."""

    task: str
    units: int
    machine: str
    attempt: int
    state: str
    yields: bool = False


class CountInfo(Struct, omit_defaults=True):
    name: str
    ceiling: int
    held: tuple[int, ...]
    stamp: int
    preempt: bool = False
    removed: bool = False
    rev: int = 1
    shards: list[int] = []  # whose tasks `holders` names
    holders: list[Holder] = []


SEEN = {v: k for k, v in api.STATE_CODES.items()} | {api.PENDING: "no report yet"}


async def handle(counts: LedgerStore, request: Request) -> Response:
    """Routes a request under api.COUNTS. 503 means that nothing is known to have changed; after
    a change's 503 it must be looked whether it was made."""
    name, _, verb = request.path[len(api.COUNTS) + 1 :].partition("/")
    if name and not api.COUNT.fullmatch(name):
        return error_response(404, "no such count")
    if verb not in ("", HISTORY):
        return error_response(404, "no such path")
    if request.method not in (("GET", "POST") if name and not verb else ("GET",)):
        return error_response(405, "use GET")
    try:
        if request.method == "POST":
            return await change(counts, name, request.body)
        if verb:
            return await history(counts, name)
        return await (show(counts, name) if name else show_all(counts))
    except StateError as error:
        return error_response(503, f"the state service can't be used now: {error}")
    except msgspec.DecodeError as error:
        return error_response(503, f"a record can't be read: {error}")


async def _read(counts: LedgerStore, name: str) -> tuple[Ledger | None, int]:
    entry = await counts.state.get(records.count_key(name), True)
    if entry is None:
        return None, 0
    return msgspec.json.decode(entry.value, type=Ledger), entry.version


def info(name: str, found: Ledger, stamp: int) -> CountInfo:
    return CountInfo(
        name, found.ceiling, found.held, stamp, found.preempt, found.removed, found.rev
    )


async def show_all(counts: LedgerStore) -> Response:
    entries, _ = await counts.state.read(records.COUNTS)
    found = [
        info(e.key[len(records.COUNTS) :], msgspec.json.decode(e.value, type=Ledger), e.version)
        for e in entries
    ]
    return json_response(200, {"counts": found})


async def show(counts: LedgerStore, name: str) -> Response:
    """One count, with the tasks that hold it at this controller's shards."""
    found, stamp = await _read(counts, name)
    if found is None:
        return error_response(404, "no such count")
    told = info(name, found, stamp)
    told.shards = sorted(counts.writers)
    count = counts.context.resource_names.intern(name)
    for job, task, placement, units in counts.holders(count):
        state = (
            "ended, not written yet" if task in job.pending_ends else SEEN[placement.observed_state]
        )
        name_there = counts.context.machine_names[placement.machine]
        told.holders.append(
            Holder(
                api.task_name(job.id, task),
                units,
                name_there,
                placement.attempt,
                state,
                placement.releasing,
            )
        )
    del told.holders[1000:]
    return json_response(200, told)


async def history(counts: LedgerStore, name: str) -> Response:
    entries, _ = await counts.state.read(records.count_change_key(name, 0)[:-8])
    found = [msgspec.json.decode(e.value, type=Change) for e in entries]
    return json_response(200, {"changes": found}) if found else error_response(404, "no such count")


async def change(counts: LedgerStore, name: str, body: bytes) -> Response:
    """Set a count if it is still as the operator saw it; durable before it is answered."""
    try:
        wanted = msgspec.json.decode(body, type=SetCount)
    except msgspec.DecodeError as error:
        return error_response(400, str(error))
    for _ in range(TRIES):
        old, stamp = await _read(counts, name)
        if wanted.rev != (old.rev if old is not None else 0):
            return error_response(
                409, f"count {name} has been changed by another operator: look again"
            )
        old = old or Ledger(0, (0,) * counts.context.shard_count, rev=0)
        new, changes = changed(counts, name, old, wanted)
        try:
            version = await counts.state.transact({records.count_key(name): stamp}, changes, True)
        except TransactionConflictError:
            # Units were taken or came back meanwhile; that is nothing to the operator.
            continue
        except OutcomeUnknownError:
            return error_response(504, "not known whether it was changed: look again")
        counts.store(counts.context.resource_names.intern(name), new, version)
        return json_response(201 if old.rev == 0 else 200, info(name, new, version))
    return error_response(503, "the count is too busy: ask again")


def changed(
    counts: LedgerStore, name: str, old: Ledger, wanted: SetCount
) -> tuple[Ledger, list[api.Change]]:
    """The ledger as it is to be, and what is written for it."""
    new = msgspec.structs.replace(
        old,
        ceiling=wanted.ceiling,
        preempt=old.preempt if wanted.preempt is None else wanted.preempt,
        removed=wanted.removed,
        stop=wanted.stop,
        rev=old.rev + 1,
    )
    made = Change(
        new.rev,
        counts.context.wall_clock_ms(),
        new.ceiling,
        new.preempt,
        new.removed,
        new.stop,
        wanted.by,
    )
    changes = [
        put_change(records.count_key(name), new),
        put_change(records.count_change_key(name, new.rev), made),
    ]
    if new.rev > HISTORY_KEPT:
        changes.append(delete_change(records.count_change_key(name, new.rev - HISTORY_KEPT)))
    return new, changes

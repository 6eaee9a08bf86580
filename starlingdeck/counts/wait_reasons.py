"""Why a job waits for units of counted resources, or can never have them."""

from starlingdeck.counts.ledger import Ledger, max_units
from starlingdeck.counts.ledger_store import LedgerStore
from starlingdeck.counts.waiting_queue import WaitingQueue, waiter_of
from starlingdeck.jobs.admission import WaitReason
from starlingdeck.jobs.job import Job
from starlingdeck.protocol import api

OTHER_KEYS_PER_START = 2  # in its transaction besides the ledgers: job record and shard key


def wait_reasons(store: LedgerStore, queue: WaitingQueue, job: Job) -> list[WaitReason]:
    """Return every reason to wait, at most one per resource; empty if the next task may start."""
    reasons = (
        _wait_reason(store, queue, job, resource, units) for resource, units in job.resource_needs
    )
    return [reason for reason in reasons if reason is not None]


def _wait_reason(
    store: LedgerStore, queue: WaitingQueue, job: Job, resource: int, units: int
) -> WaitReason | None:
    name, ledger = store.context.resource_names[resource], store.ledgers.get(resource)
    if ledger is None:
        return WaitReason(f"count {name} is not known", "an operator's setting it")
    if ledger.removed:
        return WaitReason(f"count {name} was removed", "an operator's setting it")
    if units > ledger.ceiling:
        reason = f"{units} of {name} needed, its ceiling is {ledger.ceiling}"
        return WaitReason(reason, "a higher ceiling")
    if store.is_uncertain(job.shard, resource):
        return WaitReason(f"a write to the ledger of {name} is in doubt", "its answer")
    if max_units(ledger, job.shard) - store.used(job.shard, resource) < units:
        reason = f"{ledger.total} of {ledger.ceiling} {name} held, {units} needed"
        return WaitReason(reason, "the proven end of a task that holds them")
    if queue.ahead_of(waiter_of(job, 0), resource):
        return WaitReason(f"{name} is left to work that goes before", "its start")
    return None


async def rejection_reason(store: LedgerStore, spec: api.JobSpec) -> str:
    """Return why the tasks of a job can never have their units; empty if they can.

    Raises StateError if a ledger has to be read for this and can't be.
    """
    needs = {name: units for name, units in (spec.counts or {}).items() if units}
    limit = store.context.settings.settings.state.txn_ops - OTHER_KEYS_PER_START
    if len(needs) > limit:
        return f"counts: at most {limit} here, of one transaction"
    for name, units in needs.items():
        if not _may_suffice(store.find(name), units):
            # An operator may have changed it just now, and the watch may lag behind.
            await store.reread(name)
        ledger = store.find(name)
        if not _may_suffice(ledger, units):
            if ledger is None or ledger.removed:
                return f"counts.{name}: no such count"
            return f"counts.{name}: {units} is more than its ceiling, {ledger.ceiling}"
    return ""


def _may_suffice(ledger: Ledger | None, units: int) -> bool:
    """Return whether a task could ever have that many units.

    A closed resource (ceiling 0) is expected to be opened again.
    """
    if ledger is None or ledger.removed:
        return False
    return units <= ledger.ceiling or not ledger.ceiling

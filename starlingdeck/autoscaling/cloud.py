"""The cloud's client, and the loop that brings the rented fleet to the wanted one."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import curio
import msgspec

from starlingdeck.autoscaling import policy
from starlingdeck.autoscaling.policy import Demand, FleetState, ListedMachine, RentalRequest
from starlingdeck.context import ControllerContext
from starlingdeck.machines.reachability import releasable_count
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply

log = logging.getLogger(__name__)

T = TypeVar("T")

UNREACHABLE_RELEASE_S = 60.0  # (start) a machine that hears nothing may heal within this


class CloudError(Exception):
    """Refused, no answer, or nonsense: to be tried again."""


class NoCapacity(CloudError):
    """None available of this type, zone and kind."""


class CloudClient:
    def __init__(self, http: HttpClient, address: str, limiter: TokenBucket) -> None:
        self.http = http
        self.address = address
        self.limiter = limiter

    async def _call(self, method: str, path: str, body: Any, urgent: bool = False) -> Reply:
        await self.limiter.take(1.0, urgent)
        data = None if body is None else msgspec.json.encode(body)
        try:
            reply = await self.http.call(self.address, method, path, data, 5.0)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacity
        if reply.status != 200:
            raise CloudError(f"answered {reply.status}")
        return reply

    async def types(self) -> list[api.MachineType]:
        reply = await self._call("GET", api.MACHINE_TYPES, None, True)
        return _decode(reply, api.MachineTypes).types

    async def machines(self) -> list[api.MachineInfo]:
        found: list[api.MachineInfo] = []
        after = ""
        while True:
            tail = f"after={after}&" if after else ""
            reply = await self._call("GET", f"{api.MACHINES}?{tail}limit=500", None)
            page = _decode(reply, api.MachineList)
            found += page.machines
            if not page.more or not page.machines:
                return found
            after = page.machines[-1].id

    async def rent(self, ask: api.RentRequest) -> list[str]:
        reply = await self._call("POST", api.MACHINES, ask, True)
        return _decode(reply, api.MachineNames).machines

    async def delete(self, names: list[str]) -> None:
        await self._call("POST", api.MACHINES_DELETE, api.MachineNames(names), True)


def _decode(reply: Reply, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except msgspec.DecodeError as error:
        raise CloudError(f"nonsense: {error}") from error


class Autoscaler:
    """Runs at the holder of shard 0. What it remembers is only a help: the list and the
    reports are the truth, so a successor starts with nothing."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: CloudClient,
        token: int,
        candidates: Callable[[], list[Candidate]],
        demands: Callable[[], list[Demand]],
        deleted: Callable[[list[str]], None],
    ) -> None:
        self.context = context
        self.cloud = cloud
        self.token = token
        self.candidates = candidates
        self.demands = demands
        self.deleted = deleted
        self.state = FleetState()
        self.released: dict[str, float] = {}
        self.next_list = 0.0
        self.listed_once = False
        self.started = context.now()

    async def step(self) -> None:
        now = self.context.now()
        if now >= self.next_list:
            self.next_list = now + max(2.0, self.context.settings.settings.cloud.list_lag_s / 2)
            await self._list()
        await self._delete()
        await self._rent()

    async def _list(self) -> None:
        context, now = self.context, self.context.now()
        listed = await self.cloud.machines()
        self.listed_once = True
        for item in listed:
            old = self.state.listed.get(item.id)
            if old is None:
                self.state.listed[item.id] = ListedMachine(
                    item.id,
                    context.type_names.intern(item.type),
                    item.zone,
                    item.spot,
                    item.state,
                    now - item.age_s,
                    now,
                    booting=item.state == api.BOOTING,
                )
            else:
                old.state, old.last_seen = item.state, now
        # The list lags, and may be older than the one before: forget only what is long gone.
        lag = 2 * context.settings.settings.cloud.list_lag_s + 5
        for name in [n for n, m in self.state.listed.items() if now - m.last_seen > lag]:
            del self.state.listed[name]

    async def _delete(self) -> None:
        context, now = self.context, self.context.now()
        candidates = self.candidates()
        up = {
            context.machine_names[candidate.index] for candidate in candidates if not candidate.lost
        }
        names = [m.name for m in self.state.listed.values() if m.state == api.FAILED]
        names += policy.stuck(context, self.state, up, self.started, now)
        names += [
            context.machine_names[candidate.index]
            for candidate in candidates
            if candidate.lost and candidate.silent_s + now - candidate.observed_at > 30
        ]
        names += [
            context.machine_names[candidate.index]
            for candidate in candidates
            if candidate.draining
            and not candidate.lost
            and not candidate.termination_notice
            and not candidate.busy
        ]
        names += self._release_unreachable(candidates)
        names += self._release_idle(candidates)
        batch = [n for n in dict.fromkeys(names) if n not in self.released][:100]
        if not batch:
            return
        await self.cloud.delete(batch)
        log.info("returned to the cloud: %s", " ".join(batch))
        for name in batch:
            self.released[name] = now
            self.state.listed.pop(name, None)
        # A list that lags may still show them; ask again only if they stay.
        self.released = {n: at for n, at in self.released.items() if now - at < 60}
        self.deleted(batch)

    def _release_unreachable(self, candidates: list[Candidate]) -> list[str]:
        """Machines that report and hear nothing, and don't heal: all that runs there ends with
        each lease. When many are so at once, none."""
        now, lease_s = self.context.now(), self.context.settings.settings.workers.lease_s
        heard = [candidate for candidate in candidates if not candidate.lost]
        ages = {
            candidate.index: candidate.unconfirmed_s + now - candidate.observed_at
            for candidate in heard
            if candidate.unconfirmed_s > 0
        }
        deaf = sum(age > lease_s for age in ages.values())
        if not releasable_count(deaf, len(heard)):
            return []
        return [
            self.context.machine_names[i] for i, age in ages.items() if age > UNREACHABLE_RELEASE_S
        ]

    def _release_idle(self, candidates: list[Candidate]) -> list[str]:
        """Machines that nothing has used for long, beyond the spare share."""
        context = self.context
        if self.demands() or context.now() - self.started < context.tuning.idle_s:
            return []
        free = sum(max(0.0, r.available[0]) for r in candidates if r.schedulable)
        total = sum(r.capacity[0] for r in candidates if r.schedulable)
        keep = total * max(0.5, context.tuning.spare_share)
        out = []
        now = context.now()
        idle = [
            r
            for r in candidates
            if r.schedulable
            and not r.busy
            and r.idle_s + now - r.observed_at > context.tuning.idle_s
        ]
        for candidate in sorted(idle, key=lambda r: r.observed_at - r.idle_s):
            if free - candidate.capacity[0] < keep:
                break
            free -= candidate.capacity[0]
            out.append(context.machine_names[candidate.index])
        return out

    async def _rent(self) -> None:
        context, now = self.context, self.context.now()
        # After taking over, what was rented before must first show.
        settled = now - self.started > min(2.0, context.settings.settings.cloud.list_lag_s)
        if not self.listed_once or not context.machine_types or not settled:
            return
        candidates = self.candidates()
        up = {context.machine_names[candidate.index] for candidate in candidates}
        if not self.state.requests:
            new = policy.plan_rentals(
                context,
                self.state,
                self.demands(),
                [candidate for candidate in candidates if candidate.schedulable],
                policy.coming(context, self.state, up, now),
                [
                    candidate
                    for candidate in candidates
                    if candidate.draining and not candidate.lost
                ],
                now,
            )
            for ask in new:
                self.state.counter += 1
                ask.name = f"r-{self.token}-{self.state.counter}"
                self.state.requests.append(ask)
        for ask in list(self.state.requests):
            await self._request(ask)

    def _retry_s(self) -> float:
        """How long a kind that was out is not asked for again, at the most.

        Machines that were taken free their capacity within seconds. With waits of up to a
        minute, a wave of taken spot machines was made up for only after half a minute. All
        kinds together take a third of the calls.
        """
        kinds = sum(2 * len(kind.zones) for kind in self.context.machine_types.values())
        return max(4.0, 3.0 * kinds / self.context.settings.settings.cloud.rps)

    async def _request(self, ask: RentalRequest) -> None:
        context, now = self.context, self.context.now()
        kind = context.type_names[ask.type]
        key = (ask.type, ask.zone, ask.spot)
        try:
            # Until it is answered the same name is asked again: it may have been executed.
            names = await self.cloud.rent(
                api.RentRequest(ask.name, kind, ask.zone, ask.spot, ask.count)
            )
        except NoCapacity:
            self.state.requests.remove(ask)
            wait = min(self._retry_s(), self.state.backoff.get(key, 2.0) * 1.5)
            self.state.backoff[key] = wait
            self.state.no_capacity[key] = now + wait
            log.info("no capacity for %s in %s (spot %s)", kind, ask.zone, ask.spot)
            return
        self.state.requests.remove(ask)
        self.state.backoff.pop(key, None)
        if len(names) < ask.count:
            self.state.no_capacity[key] = now + self._retry_s() / 2
        for name in names:
            self.state.listed[name] = ListedMachine(
                name, ask.type, ask.zone, ask.spot, api.BOOTING, now, now + 60.0, booting=True
            )
        log.info("rented %d of %d %s in %s: %s", len(names), ask.count, kind, ask.zone, names)


async def learn_types(
    context: ControllerContext,
    cloud: CloudClient,
    kept: Callable[[], Awaitable[list[api.MachineType]]],
    keep: Callable[[list[api.MachineType]], Awaitable[None]],
) -> None:
    """Asks the cloud until the machine types are known, then now and then for the prices.

    Until then those that a controller last kept serve: controllers that restarted while
    the cloud was down could take no job, because they couldn't tell what can ever run.
    """
    while True:
        try:
            types = await cloud.types()
            context.update_machine_types(types)
            for _ in range(6):
                await keep(types)
                await curio.sleep(10.0)
        except CloudError as error:
            log.info("machine types not read: %s", error)
            if not context.machine_types:
                context.update_machine_types(await kept())
            await curio.sleep(0.7 + 0.6 * context.rng.random())

"""Adjusts the rented fleet to the demand, in periodic steps."""

import logging
from collections.abc import Callable

from starlingdeck.autoscaling import boots, releases, rentals
from starlingdeck.autoscaling.cloud_client import CloudClient, NoCapacityError
from starlingdeck.autoscaling.fleet import Demand, FleetState, ListedMachine, RentalRequest
from starlingdeck.context import ControllerContext
from starlingdeck.machines.scoring import Candidate
from starlingdeck.protocol import api

log = logging.getLogger(__name__)

MIN_LIST_INTERVAL_S = 2.0
LIST_RETENTION_MARGIN_S = 5  # added to two list lags: a machine unlisted for longer is forgotten
MAX_SETTLING_S = 2.0  # wait after a takeover for machines rented before it to be listed
MAX_MACHINES_PER_RELEASE = 100  # in one request
RELEASE_RETRY_S = 60  # after which a machine that is still listed is released again
UNLISTED_RENTAL_S = 60.0  # how long a new machine counts as listed, even if the list lacks it
INITIAL_BACKOFF_S = 2.0  # of a kind of machine without capacity, before the first increase
BACKOFF_FACTOR = 1.5
MIN_RETRY_S = 4.0
RETRY_SHARE_DIVISOR = 3.0  # at the longest wait, retries of all kinds take 1/3 of the requests


class Autoscaler:
    """Rents and releases machines; runs at the owner of shard 0.

    Its state only saves requests. The cloud's list and the machines' reports are authoritative,
    so a successor starts with an empty state.
    """

    def __init__(
        self,
        context: ControllerContext,
        cloud: CloudClient,
        token: int,
        candidates: Callable[[], list[Candidate]],
        demands: Callable[[], list[Demand]],
        on_released: Callable[[list[str]], None],
    ) -> None:
        self.context = context
        self.cloud = cloud
        self.token = token
        self.candidates = candidates
        self.demands = demands
        self.on_released = on_released
        self.state = FleetState()
        self.released: dict[str, float] = {}  # machine -> when its release was requested
        self.next_list_at = 0.0
        self.listed_once = False
        self.started = context.now()

    async def step(self) -> None:
        """Read the cloud's list when it is due, then release and rent machines.

        Raises CloudError when a request fails.
        """
        now = self.context.now()
        if now >= self.next_list_at:
            list_lag_s = self.context.settings.settings.cloud.list_lag_s
            self.next_list_at = now + max(MIN_LIST_INTERVAL_S, list_lag_s / 2)
            await self._update_list()
        await self._release()
        await self._rent()

    async def _update_list(self) -> None:
        context, now = self.context, self.context.now()
        machines = await self.cloud.machines()
        self.listed_once = True
        for machine in machines:
            known = self.state.listed.get(machine.id)
            if known is None:
                self.state.listed[machine.id] = ListedMachine(
                    machine.id,
                    context.type_names.intern(machine.type),
                    machine.zone,
                    machine.spot,
                    machine.state,
                    now - machine.age_s,
                    now,
                    booting=machine.state == api.BOOTING,
                )
            else:
                known.state, known.last_seen_at = machine.state, now
        # The list lags, and may be older than the previous one: a machine is forgotten only after
        # it has been missing for a while.
        retention_s = 2 * context.settings.settings.cloud.list_lag_s + LIST_RETENTION_MARGIN_S
        self.state.listed = {
            name: machine
            for name, machine in self.state.listed.items()
            if now - machine.last_seen_at <= retention_s
        }

    # --- releases

    async def _release(self) -> None:
        now = self.context.now()
        unreleased = [
            name for name in dict.fromkeys(self._releasable(now)) if name not in self.released
        ]
        names = unreleased[:MAX_MACHINES_PER_RELEASE]
        if not names:
            return
        await self.cloud.release(names)
        log.info("machines released: machines=%s", " ".join(names))
        for name in names:
            self.released[name] = now
            self.state.listed.pop(name, None)
        # The list lags and may still show them: they are released again only if they stay listed.
        self.released = {
            name: at for name, at in self.released.items() if now - at < RELEASE_RETRY_S
        }
        self.on_released(names)

    def _releasable(self, now: float) -> list[str]:
        """Return the names of machines to release, possibly with duplicates."""
        context, candidates = self.context, self.candidates()
        up = {
            context.machine_names[candidate.index] for candidate in candidates if not candidate.lost
        }
        names = [
            machine.name for machine in self.state.listed.values() if machine.state == api.FAILED
        ]
        names += boots.stuck_machines(context, self.state, up, self.started, now)
        names += releases.lost_machines(context, candidates, now)
        names += releases.drained_machines(context, candidates)
        names += releases.unreachable_machines(context, candidates, now)
        if not self.demands() and now - self.started >= context.tuning.idle_s:
            names += releases.idle_machines(context, candidates, now)
        return names

    # --- rentals

    async def _rent(self) -> None:
        context, now = self.context, self.context.now()
        settling_s = min(MAX_SETTLING_S, context.settings.settings.cloud.list_lag_s)
        settled = now - self.started > settling_s
        if not self.listed_once or not context.machine_types or not settled:
            return
        candidates = self.candidates()
        if not self.state.requests:
            self._plan_rentals(candidates, now)
        for request in list(self.state.requests):
            await self._request(request)

    def _plan_rentals(self, candidates: list[Candidate], now: float) -> None:
        context = self.context
        up = {context.machine_names[candidate.index] for candidate in candidates}
        fleet = rentals.FleetSnapshot(
            schedulable=[candidate for candidate in candidates if candidate.schedulable],
            pending=boots.pending_machines(context, self.state, up, now),
            draining=[
                candidate for candidate in candidates if candidate.draining and not candidate.lost
            ],
        )
        for request in rentals.plan_rentals(context, self.state, self.demands(), fleet, now):
            self.state.request_count += 1
            request.name = f"r-{self.token}-{self.state.request_count}"
            self.state.requests.append(request)

    def _max_retry_s(self) -> float:
        """Return the longest wait before a kind of machine without capacity is requested again.

        Reclaimed spot machines free their capacity within seconds. With waits of up to a minute,
        a wave of reclaimed machines was replaced only after half a minute.
        """
        kinds = sum(
            2 * len(machine_type.zones) for machine_type in self.context.machine_types.values()
        )
        return max(
            MIN_RETRY_S, RETRY_SHARE_DIVISOR * kinds / self.context.settings.settings.cloud.rps
        )

    async def _request(self, request: RentalRequest) -> None:
        """Send a rental request. Without an answer it is kept and sent again in the next step.

        It is then sent under the same name, since the cloud may have executed it already.
        """
        context, state, now = self.context, self.state, self.context.now()
        type_name, kind = context.type_names[request.type], request.kind
        try:
            names = await self.cloud.rent(
                api.RentRequest(request.name, type_name, request.zone, request.spot, request.count)
            )
        except NoCapacityError:
            state.requests.remove(request)
            backoff_s = min(
                self._max_retry_s(), state.backoff.get(kind, INITIAL_BACKOFF_S) * BACKOFF_FACTOR
            )
            state.backoff[kind] = backoff_s
            state.no_capacity[kind] = now + backoff_s
            log.info(
                "no capacity to rent: type=%s zone=%s spot=%s",
                type_name,
                request.zone,
                request.spot,
            )
            return
        state.requests.remove(request)
        state.backoff.pop(kind, None)
        if len(names) < request.count:
            state.no_capacity[kind] = now + self._max_retry_s() / 2
        for name in names:
            state.listed[name] = ListedMachine(
                name, *kind, api.BOOTING, now, now + UNLISTED_RENTAL_S, booting=True
            )
        log.info(
            "machines rented: type=%s zone=%s requested=%d machines=%s",
            type_name,
            request.zone,
            request.count,
            " ".join(names),
        )

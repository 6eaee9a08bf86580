"""Client of the cloud's HTTP API: machine types, machines, rentals and releases."""

from typing import TypeVar

import msgspec

from starlingdeck.protocol import api
from starlingdeck.storage.limiter import TokenBucket
from starlingdeck.transport.client import HttpClient, NoResponseError, Reply

REQUEST_TIMEOUT_S = 5.0
PAGE_LIMIT = 500  # machines in one page of the list
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
NO_CAPACITY = b"no capacity"

T = TypeVar("T")


class CloudError(Exception):
    """The cloud refused a request, did not answer, or sent a malformed answer.

    The request may be tried again.
    """


class NoCapacityError(CloudError):
    """The cloud has no machine of the requested type, zone and kind."""


class CloudClient:
    """Sends requests to the cloud, within the limit on requests per second."""

    def __init__(self, http: HttpClient, address: str, limiter: TokenBucket) -> None:
        self.http = http
        self.address = address
        self.limiter = limiter

    async def _request(
        self, method: str, path: str, body: msgspec.Struct | None = None, urgent: bool = False
    ) -> Reply:
        await self.limiter.take(1.0, urgent)
        data = None if body is None else msgspec.json.encode(body)
        try:
            reply = await self.http.call(self.address, method, path, data, REQUEST_TIMEOUT_S)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if reply.status == STATUS_UNAVAILABLE and NO_CAPACITY in reply.body:
            raise NoCapacityError
        if reply.status != STATUS_OK:
            raise CloudError(f"{method} {path}: expected status {STATUS_OK}, got {reply.status}")
        return reply

    async def machine_types(self) -> list[api.MachineType]:
        """Return the machine types on offer, with their prices."""
        reply = await self._request("GET", api.MACHINE_TYPES, urgent=True)
        return _decode(reply, api.MachineTypes).types

    async def machines(self) -> list[api.MachineInfo]:
        """Return the rented machines. The list lags behind rentals and releases."""
        machines: list[api.MachineInfo] = []
        after = ""
        while True:
            start = f"after={after}&" if after else ""
            reply = await self._request("GET", f"{api.MACHINES}?{start}limit={PAGE_LIMIT}")
            page = _decode(reply, api.MachineList)
            machines += page.machines
            if not page.more or not page.machines:
                return machines
            after = page.machines[-1].id

    async def rent(self, request: api.RentRequest) -> list[str]:
        """Rent machines and return the names of those granted, possibly fewer than requested.

        Idempotent by the request's name. Raises NoCapacityError when none are available.
        """
        reply = await self._request("POST", api.MACHINES, request, urgent=True)
        return _decode(reply, api.MachineNames).machines

    async def release(self, names: list[str]) -> None:
        """Release rented machines."""
        await self._request("POST", api.MACHINES_DELETE, api.MachineNames(names), urgent=True)


def _decode(reply: Reply, expected: type[T]) -> T:
    try:
        return msgspec.json.decode(reply.body, type=expected)
    except msgspec.DecodeError as error:
        raise CloudError(f"malformed {expected.__name__}: {error}") from error

"""Test double of the cloud whose machines are simulated workers in several host processes.

python -m standins.simulated_cloud CONFIG.json
"""

import sys
from pathlib import Path

import msgspec

from standins.cloud import Cloud
from standins.serve import serve
from standins.simulated_workers import StartRequest
from starlingdeck.protocol import api
from starlingdeck.transport.client import HttpClient

CALL_TIMEOUT_S = 20.0


class CloudConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the cloud's process."""

    address: str
    types: list[api.MachineType]
    hosts: list[str]  # control addresses of the simulated worker hosts
    rps: float
    list_lag_s: float
    capacity: int
    initial: int  # number of machines started with the cloud


class SimulatedWorkerLauncher:
    """Distributes machines over the host processes, round robin."""

    def __init__(self, hosts: list[str]) -> None:
        self.hosts = hosts
        self.started_count = 0
        self.host_by_machine: dict[str, str] = {}  # control address of each machine's host
        self.http = HttpClient()

    async def start(self, machine_type: api.MachineType, machine: api.MachineInfo) -> None:
        """Starts the machine in the next host process."""
        host = self.hosts[self.started_count % len(self.hosts)]
        self.started_count += 1
        self.host_by_machine[machine.id] = host
        request = StartRequest(
            machine.id, machine_type.name, machine.zone, machine.spot, int(machine_type.cpus)
        )
        reply = await self.http.call(
            host, "POST", "/start", msgspec.json.encode([request]), CALL_TIMEOUT_S
        )
        machine.addr = msgspec.json.decode(reply.body, type=list[str])[0]

    async def kill(self, name: str) -> None:
        """Kills the machine in its host process."""
        host = self.host_by_machine.get(name)
        if host is not None:
            await self.http.call(host, "POST", "/kill", msgspec.json.encode([name]), CALL_TIMEOUT_S)

    async def isolate(self, machine: api.MachineInfo, seconds: float) -> None:
        """Raises NotImplementedError: simulated workers can't be isolated."""
        raise NotImplementedError("simulated workers can be killed or restarted, not isolated")


def main() -> None:
    """Runs a cloud with the configuration file that the command line names."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=CloudConfig)
    launcher = SimulatedWorkerLauncher(config.hosts)
    cloud = Cloud(config.types, launcher, config.rps, config.list_lag_s, config.capacity)

    async def start_initial() -> None:
        machine_type = config.types[0]
        for number in range(config.initial):
            await cloud.start_machine(
                machine_type, machine_type.zones[number % len(machine_type.zones)], False
            )

    serve(config.address, cloud.handle, start_initial)


if __name__ == "__main__":
    main()

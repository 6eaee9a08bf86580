"""The project's cloud with simulated workers; it begins with given machines and has no others.

fleet_cloud.py CONFIG.json. The configuration has the fields `address`, `types`, `hosts`, `rps`,
`list_lag_s`, and `fleet`: a list of [type, zone, spot].
"""

import sys
from pathlib import Path

import msgspec

from standins.cloud import Cloud
from standins.serve import serve
from standins.simulated_cloud import SimulatedWorkerLauncher
from starlingdeck.protocol import api


def main() -> None:
    """Run the cloud."""
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes())
    types = msgspec.convert(config["types"], list[api.MachineType])
    launcher = SimulatedWorkerLauncher(config["hosts"])
    fleet = config["fleet"]
    cloud = Cloud(types, launcher, config["rps"], config["list_lag_s"], len(fleet))

    async def start_fleet() -> None:
        by_name = {machine_type.name: machine_type for machine_type in types}
        for type_name, zone, spot in fleet:
            await cloud.start_machine(by_name[type_name], zone, spot)

    serve(config["address"], cloud.handle, start_fleet)


if __name__ == "__main__":
    main()

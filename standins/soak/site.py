"""The processes of a soak run: those of a scale run, with a proxy on the links between them."""

import os
import signal
from pathlib import Path
from typing import Any

import msgspec

from standins.limits import StateLimits
from standins.scale.site import Site
from standins.simulated_workers import HostConfig
from standins.soak.plan import LinkMode, SoakPlan
from standins.soak.proxy import LinkCommand, LinkConfig, ProxyConfig
from standins.soak.state import StateFault
from starlingdeck.protocol.config import split_address

CONTROL_OFFSET = 3
STATE_PROXY_OFFSET = 40
WORKER_PROXY_OFFSET = 80
PEER_PROXY_OFFSET = 100  # and one port for each pair of controllers
WORKER_PORT_OFFSET, COMMAND_PROXY_OFFSET = 600, 601
STATE_OFFSET = 20  # the state service, then one port for each controller
COMMAND_LINK = "commands"
REPEATED_COMMAND_SHARE = 0.3  # of the answered commands
FAILING_MACHINE_SHARE = 0.25  # of the machines


def state_link(controller: int) -> str:
    """Return the name of a controller's link to the state service."""
    return f"state-{controller}"


def worker_link(controller: int) -> str:
    """Return the name of the workers' link to a controller."""
    return f"workers-{controller}"


def peer_link(sender: int, receiver: int) -> str:
    """Return the name of the link that one controller dials to another."""
    return f"peers-{sender}-{receiver}"


class SoakSite(Site):
    """Starts and ends the processes, and changes their links and the state service's faults.

    `broken_safeguard` names a safeguard that is taken out of the controllers, to see that the run
    catches it.
    """

    def __init__(self, plan: SoakPlan, folder: Path, broken_safeguard: str = "") -> None:
        scale_plan = plan.scale_plan()
        super().__init__(scale_plan, scale_plan.rungs[0], folder)
        self.seed = plan.seed
        self.broken_safeguard = broken_safeguard
        self.state = f"127.0.0.1:{plan.port + STATE_OFFSET}"
        self.control = f"127.0.0.1:{plan.port + CONTROL_OFFSET}"
        self.environment["LOG_LEVEL"] = os.environ.get("SOAK_LOG_LEVEL", "info")

    # --- links

    def _at(self, offset: int) -> str:
        return f"127.0.0.1:{self.plan.port + offset}"

    def _peer_proxy(self, sender: int, receiver: int) -> str:
        return self._at(PEER_PROXY_OFFSET + sender * self.rung.controllers + receiver)

    def links(self) -> list[LinkConfig]:
        """Return all links."""
        host, port = split_address(self.state)
        numbers = range(self.rung.controllers)
        links = [
            LinkConfig(
                COMMAND_LINK,
                f"0.0.0.0:{self.plan.port + COMMAND_PROXY_OFFSET}",
                f":{self.plan.port + WORKER_PORT_OFFSET}",
            )
        ]
        for i in numbers:
            state_target = f"{host}:{port + 1 + i}"
            links.append(LinkConfig(state_link(i), self._at(STATE_PROXY_OFFSET + i), state_target))
            links.append(LinkConfig(worker_link(i), self._worker_proxy(i), self.public[i]))
            links += [
                LinkConfig(peer_link(i, j), self._peer_proxy(i, j), self.cluster[j])
                for j in numbers
                if j != i
            ]
        return links

    def _worker_proxy(self, controller: int) -> str:
        return self._at(WORKER_PROXY_OFFSET + controller)

    # --- settings

    def taken_ports(self) -> list[int]:
        """Return the ports of the site that are in use already."""
        listeners = [link.listen for link in self.links()] + [self.control]
        return super().taken_ports() + self.ports_in_use(listeners)

    def controller_settings(self, number: int) -> dict[str, Any]:
        """Return the contents of one controller's settings file, with its proxied addresses."""
        settings = super().controller_settings(number)
        for peer in settings["peers"]:
            peer["address"] = self._peer_proxy(number, int(peer["host_name"].removeprefix("n-")))
        settings["external"]["state"] = self._at(STATE_PROXY_OFFSET + number)
        return settings

    def host_config(self, number: int) -> HostConfig:
        """Return the settings of one worker host process, with its proxied addresses."""
        return msgspec.structs.replace(
            super().host_config(number),
            controllers={f"n-{i}": self._worker_proxy(i) for i in range(self.rung.controllers)},
            advertised_port=self.plan.port + COMMAND_PROXY_OFFSET,
            repeated_command_share=REPEATED_COMMAND_SHARE,
            failing_machine_share=FAILING_MACHINE_SHARE,
        )

    # --- processes

    async def start_all(self) -> None:
        """Start the proxy and all other processes; wait until every controller is healthy."""
        path = self.write_json("proxy.json", ProxyConfig(self.control, self.links()))
        self.start("proxy", "-m", "standins.soak.proxy", path)
        await self.wait_ready(self.control, "/stats")
        await super().start_all()

    def start_state_service(self) -> None:
        """Start the state service that can fail towards single controllers."""
        limits = self.plan.limits
        encoded = msgspec.json.encode(
            StateLimits(limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops)
        ).decode()
        clients, seed = str(self.rung.controllers), str(self.seed)
        self.start("state", "-m", "standins.soak.state", self.state, clients, seed, encoded)

    def controller_command(self, number: int) -> list[str]:
        """Return the command that starts a controller, with a safeguard taken out if asked for."""
        command = super().controller_command(number)
        if self.broken_safeguard:
            module = "standins.soak.broken_controller"
            return ["-m", module, self.broken_safeguard, *command[1:]]
        return command

    def pause_controller(self, number: int) -> None:
        """Stop a controller's process until it is resumed."""
        self._signal_controller(number, signal.SIGSTOP)

    def resume_controller(self, number: int) -> None:
        """Let a paused controller go on."""
        self._signal_controller(number, signal.SIGCONT)

    def _signal_controller(self, number: int, signal_number: signal.Signals) -> None:
        process = self.processes[f"n-{number}"]
        if process.poll() is None:
            process.send_signal(signal_number)

    # --- faults

    async def set_links(self, names: list[str], mode: LinkMode, delay_s: float = 0.0) -> None:
        """Change the mode of links."""
        body = msgspec.json.encode(LinkCommand(names, mode, delay_s))
        await self.request(self.control, "POST", "/mode", body)

    async def begin_state_fault(self, fault: StateFault) -> None:
        """Begin a fault of the state service towards one controller."""
        await self.request(self.state, "POST", "/faults", msgspec.json.encode(fault))

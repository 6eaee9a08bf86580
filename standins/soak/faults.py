"""Injects the faults of a soak plan into a site."""

import time

import curio

from standins.soak.plan import LINK_KINDS, Fault, FaultKind, LinkMode
from standins.soak.site import COMMAND_LINK, SoakSite, peer_link, state_link, worker_link
from standins.soak.state import StateFault

STATE_FAULTS = {
    FaultKind.STATE_REFUSAL: "refuse",
    FaultKind.LOST_ANSWERS: "lose",
    FaultKind.LATE_WRITES: "late",
}


class FaultInjector:
    """Injects faults and keeps a log of them; `log` holds (time, text)."""

    def __init__(self, site: SoakSite) -> None:
        self.site = site
        self.log: list[tuple[float, str]] = []
        self.down: set[int] = set()  # controllers that are killed
        self.paused: dict[int, int] = {}  # controller -> number of faults that pause it
        self.link_faults: dict[str, list[Fault]] = {}  # link -> its faults, the newest last

    async def run(self, fault: Fault, started_at: float) -> None:
        """Inject one fault at its time, and end it."""
        await curio.sleep(max(0.0, started_at + fault.at_s - time.monotonic()))
        self._record(f"begins: {fault}")
        if fault.kind is FaultKind.KILL:
            await self._kill(fault)
        elif fault.kind is FaultKind.PAUSE:
            await self._pause(fault)
        elif fault.kind is FaultKind.STATE_OUTAGE:
            await self.site.begin_outage(fault.for_s)
            await curio.sleep(fault.for_s)
        elif fault.kind in LINK_KINDS:
            await self._change_links(fault)
        else:
            kind = STATE_FAULTS[fault.kind]
            await self.site.begin_state_fault(
                StateFault(fault.controller, kind, fault.for_s, fault.share)
            )
            await curio.sleep(fault.for_s)
        self._record(f"ended: {fault}")

    def _record(self, text: str) -> None:
        self.log.append((time.monotonic(), text))

    async def _kill(self, fault: Fault) -> None:
        if fault.controller in self.down:
            return
        self.down.add(fault.controller)
        self.site.kill_controller(fault.controller)
        await curio.sleep(fault.for_s)
        self.site.start_controller(fault.controller)
        self.down.discard(fault.controller)

    async def _pause(self, fault: Fault) -> None:
        number = fault.controller
        if number in self.down:
            return
        self.paused[number] = self.paused.get(number, 0) + 1
        self.site.pause_controller(number)
        await curio.sleep(fault.for_s)
        self.paused[number] -= 1
        if not self.paused[number]:
            self.site.resume_controller(number)

    async def _change_links(self, fault: Fault) -> None:
        names = self._link_names(fault)
        for name in names:
            self.link_faults.setdefault(name, []).append(fault)
        await self._apply(names)
        await curio.sleep(fault.for_s)
        for name in names:
            self.link_faults[name].remove(fault)
        await self._apply(names)

    async def _apply(self, names: list[str]) -> None:
        """Set each link to the mode of its newest fault."""
        for name in names:
            faults = self.link_faults[name]
            mode, delay_s = (faults[-1].mode, faults[-1].delay_s) if faults else (LinkMode.OPEN, 0)
            await self.site.set_links([name], mode, delay_s)

    def _link_names(self, fault: Fault) -> list[str]:
        number = fault.controller
        if fault.kind is FaultKind.STATE_LINK:
            return [state_link(number)]
        if fault.kind is FaultKind.WORKER_LINK:
            return [worker_link(number)]
        if fault.kind is FaultKind.COMMAND_LINK:
            return [COMMAND_LINK]
        others = [i for i in range(self.site.rung.controllers) if i != number]
        return [name for i in others for name in (peer_link(number, i), peer_link(i, number))]

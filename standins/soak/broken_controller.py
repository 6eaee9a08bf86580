"""A controller with one safeguard taken out, to see that a soak run catches it.

python -m standins.soak.broken_controller SAFEGUARD run --config FILE [...]
"""

import sys
from collections.abc import Callable

from starlingdeck.api.stored_status import Acknowledgement, StoredStatusReader
from starlingdeck.cli import start
from starlingdeck.cluster.state_lease import StateLease
from starlingdeck.machines.start_fence import StartFence


def _remove_acknowledgement() -> None:
    async def acknowledged(
        _self: StoredStatusReader, _shard: int, _name: str
    ) -> Acknowledgement | None:
        return Acknowledgement.MAILBOX_EMPTY

    StoredStatusReader.owner_acknowledged = acknowledged  # type: ignore[assignment, method-assign]


def _remove_lease_check() -> None:
    StateLease.is_valid = lambda self: self.lease_id > 0  # type: ignore[method-assign]


def _remove_start_fence() -> None:
    StartFence.is_ruled_out = lambda *_: True  # type: ignore[method-assign]


# Name of a safeguard -> takes it out.
SAFEGUARDS: dict[str, Callable[[], None]] = {
    "acknowledgement": _remove_acknowledgement,  # the owner knows of a cancellation by others
    "lease": _remove_lease_check,  # nobody answers from memory without a certainly valid lease
    "start fence": _remove_start_fence,  # no attempt is reaped while a start of it is accepted
}


def main() -> None:
    """Take the safeguard out that the first argument names, and run the controller."""
    SAFEGUARDS[sys.argv.pop(1)]()
    start()


if __name__ == "__main__":
    main()

"""Services under contract: in-process fakes, and clients of stand-ins."""

import asyncio
import enum

from limpetwalk.providers import memory
from limpetwalk.providers import settings
from limpetwalk_bench.providers import faults
from limpetwalk_bench.providers import standin

TIMEOUT = 1.0


class Fault(enum.Enum):
    """Faults of a service as its client meets them."""

    DOWN = "down"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    ERROR = "error after the effect"
    MALFORMED = "malformed answer"
    SLOW = "slow"


SWITCHES = {
    Fault.DOWN: {"down": True},
    Fault.REFUSED: {"refuse": 1.0},
    Fault.ANSWER_LOST: {"apply_then_drop": 1.0},
    Fault.ERROR: {"error": 1.0},
    Fault.MALFORMED: {"malformed": 1.0},
}


def switch_memory(held: memory.Faults, fault: Fault | None) -> None:
    """Switch a fault of an in-process fake on, or all off."""
    held.unavailable = fault is Fault.DOWN
    held.refuse_writes = 1 if fault is Fault.REFUSED else 0
    held.lose_answers = 1 if fault is Fault.ANSWER_LOST else 0


class Remote:
    """Stand-ins in this process, reached over HTTP."""

    def __init__(self) -> None:
        self.standins = standin.PlatformStandIns()
        self._held = asyncio.Event()
        self._served = asyncio.Event()

    async def start(self) -> None:
        """Start the stand-ins."""
        await self.standins.start()

    def settings(self) -> settings.PlatformSettings:
        """Return settings with short timeouts for the slow cases."""
        cfg = self.standins.settings()
        short = {"timeout": TIMEOUT}
        return cfg.model_copy(
            update={
                "table": cfg.table.model_copy(update=short),
                "objects": cfg.objects.model_copy(update=short),
                "instances": cfg.instances.model_copy(update=short),
            }
        )

    async def stop(self) -> None:
        """Stop the stand-ins."""
        self._held.set()
        await self.standins.stop()

    async def switch(
        self, name: faults.ServiceName, fault: Fault | None
    ) -> None:
        """Switch a fault on, or all off."""
        service = self.standins.services[name]
        switches = faults.Switches.model_validate(SWITCHES.get(fault, {}))
        service.before_effect = self._hold if fault is Fault.SLOW else None
        await self.standins.set_faults(name, switches)

    async def release(self) -> None:
        """Let a held request take effect and wait until it has."""
        self._held.set()
        await self._served.wait()

    async def _hold(self) -> None:
        await self._held.wait()
        # The effect follows without a pause, so it is there when a waiter
        # of the event runs.
        self._served.set()

"""Faults and stand-ins for the contract tests of the platform services."""

import asyncio
import enum

from limpetwalk.providers import memory
from limpetwalk.providers import settings
from limpetwalk_bench.providers import faults
from limpetwalk_bench.providers import standin

TIMEOUT = 1.0  # seconds


class Fault(enum.Enum):
    """Faults of a service as seen by its client."""

    DOWN = "down"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    ERROR = "error after the effect"
    MALFORMED = "malformed answer"
    SLOW = "slow"


FAULT_SETTINGS = {
    Fault.DOWN: {"down": True},
    Fault.REFUSED: {"refuse": 1.0},
    Fault.ANSWER_LOST: {"apply_then_drop": 1.0},
    Fault.ERROR: {"error": 1.0},
    Fault.MALFORMED: {"malformed": 1.0},
}


def set_memory_faults(
    active_faults: memory.Faults, fault: Fault | None
) -> None:
    """Enable one fault of an in-process fake, or disable all."""
    active_faults.unavailable = fault is Fault.DOWN
    active_faults.refuse_writes = 1 if fault is Fault.REFUSED else 0
    active_faults.lose_answers = 1 if fault is Fault.ANSWER_LOST else 0


class Remote:
    """Stand-ins that run in this process and are called over HTTP."""

    def __init__(self) -> None:
        self.standins = standin.PlatformStandIns()
        self._released = asyncio.Event()
        self._request_completed = asyncio.Event()

    async def start(self) -> None:
        """Start the stand-ins."""
        await self.standins.start()

    def settings(self) -> settings.PlatformSettings:
        """Return settings with short timeouts, for tests of slow services."""
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
        self._released.set()
        await self.standins.stop()

    async def set_fault(
        self, name: faults.ServiceName, fault: Fault | None
    ) -> None:
        """Enable one fault of a service, or disable all."""
        service = self.standins.services[name]
        active_faults = faults.Switches.model_validate(
            FAULT_SETTINGS.get(fault, {})
        )
        service.before_effect = self._block if fault is Fault.SLOW else None
        await self.standins.set_faults(name, active_faults)

    async def release(self) -> None:
        """Let a blocked request proceed, and wait for its effect."""
        self._released.set()
        await self._request_completed.wait()

    async def _block(self) -> None:
        await self._released.wait()
        # The effect follows without another await, so it has occurred when a
        # waiter of the event runs.
        self._request_completed.set()

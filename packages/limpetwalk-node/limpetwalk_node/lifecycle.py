"""Phase of the node's node_lifecycle and the requests that are in flight."""

import asyncio
import enum

from . import protocols


class Phase(enum.Enum):
    """Phase of a node.

    ``LEAVING`` still serves but tells the balancer that it is not ready;
    ``DRAINING`` refuses new work and finishes what is in flight.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"


class Lifecycle:
    """Holds the phase and counts requests in flight."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def is_ready(self, config: protocols.ConfigSource) -> bool:
        """Tell whether the balancer may send new work.

        :param config: configuration in force.
        """
        serving = self.phase is Phase.SERVING
        return serving and config.current() is not None and config.is_fresh()

    def begin_work(self) -> None:
        """Count a request in."""
        self.in_flight += 1
        self._idle.clear()

    def end_work(self) -> None:
        """Count a request out."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_idle(self, timeout: float) -> bool:
        """Wait until nothing is in flight.

        :param timeout: longest wait, in seconds.
        :returns: whether nothing is in flight.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

"""Lifecycle phase of the node and its count of work in flight."""

import asyncio
import enum

from . import protocols


class Phase(enum.Enum):
    """Phase of a node.

    A node in ``LEAVING`` still serves requests but reports to the load
    balancer that it is not ready. A node in ``DRAINING`` refuses new work
    and finishes the work in flight.
    """

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    DRAINING = "draining"


class Lifecycle:
    """Tracks the phase of the node and counts work in flight."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def is_ready(self, config: protocols.ConfigSource) -> bool:
        """Return whether the load balancer may send new work.

        :param config: configuration in force.
        """
        serving = self.phase is Phase.SERVING
        return serving and config.current() is not None and config.is_fresh()

    def begin_work(self) -> None:
        """Count the start of a request or a background write."""
        self.in_flight += 1
        self._idle.clear()

    def end_work(self) -> None:
        """Count the end of a request or a background write."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_idle(self, timeout: float) -> bool:
        """Wait until no work is in flight.

        :param timeout: maximum wait in seconds.
        :returns: True if no work is in flight, False after the timeout.
        """
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

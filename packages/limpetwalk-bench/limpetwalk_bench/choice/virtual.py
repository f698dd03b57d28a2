"""Event loop in virtual time, which advances only while every task waits.

The real dispatcher and the real batches of the engine stand-in run on it,
so minutes of load take seconds and all runs with the same seed are equal.
"""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

T = TypeVar("T")


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                "virtual time cannot advance: every task waits and no timer "
                "is set"
            )
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


class VirtualClock:
    """Clock that shows the time of a virtual event loop.

    :param loop: event loop in virtual time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)

"""Clocks, passed to constructors so that tests can control time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time, in seconds."""

    def monotonic(self) -> float:
        """Return a monotonic instant in seconds."""
        ...

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the machine."""

    def monotonic(self) -> float:
        """Return a monotonic instant in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class ManualClock:
    """Clock that moves only when a test advances it.

    :param start: first instant, in seconds.
    """

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the current instant of this clock, in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same instant as ``monotonic``, in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now += seconds

"""Detects that this process or its machine was suspended."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import time

from . import events
from . import logs

# Interval between two checks of the clock, seconds.
CHECK_INTERVAL = 0.25
# Gap between two checks from which the process counts as suspended, seconds.
# It is shorter than the time in which a change must be in force and longer
# than a garbage collection.
PAUSE_THRESHOLD = 1.0


class PauseDetector:
    """Notices suspensions by the gaps between its checks.

    CLOCK_MONOTONIC doesn't advance while a machine is suspended, so this uses
    CLOCK_BOOTTIME, which does.
    """

    def __init__(
        self, journal: logs.Journal, on_pause: Callable[[], Awaitable[None]]
    ) -> None:
        self._journal = journal
        self._on_pause = on_pause
        self._checked_at = _now()
        self._paused_from = -math.inf
        self._paused_until = -math.inf

    async def run(self) -> None:
        """Call the function after each suspension, until cancelled."""
        self._checked_at = _now()
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            if self._check():
                length = self._paused_until - self._paused_from
                self._journal.emit(events.ProcessPaused(round(length, 2)))
                await self._on_pause()
                self._checked_at = _now()

    def last_pause(self) -> float:
        """Return how long ago the suspension that has just ended began.

        What waited in that time, such as a signal, may be as old.

        :returns: time in seconds; 0 if none has just ended.
        """
        now = _now()
        if now - self._checked_at > PAUSE_THRESHOLD:
            return now - self._checked_at
        if now - self._paused_until < CHECK_INTERVAL:
            return now - self._paused_from
        return 0.0

    def _check(self) -> bool:
        """Return whether the process was suspended since the last check."""
        previous, self._checked_at = self._checked_at, _now()
        if self._checked_at - previous <= PAUSE_THRESHOLD:
            return False
        self._paused_from, self._paused_until = previous, self._checked_at
        return True


def _now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Detects that this process or its machine was suspended."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from . import events
from . import logs

# Interval between two checks of the clock, seconds.
CHECK_INTERVAL = 0.25
# Gap between two checks from which the process counts as suspended, seconds.
# It is shorter than the time in which a change must be in force and longer
# than a garbage collection.
PAUSE_THRESHOLD = 1.0


async def detect_pauses(
    journal: logs.Journal, on_pause: Callable[[], Awaitable[None]]
) -> None:
    """Call a function after each suspension, until cancelled.

    CLOCK_MONOTONIC doesn't advance while a machine is suspended, so this uses
    CLOCK_BOOTTIME, which does.
    """
    previous = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        await asyncio.sleep(CHECK_INTERVAL)
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if now - previous > PAUSE_THRESHOLD:
            journal.emit(events.ProcessPaused(round(now - previous, 2)))
            await on_pause()
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
        previous = now

"""Noticing that this process or its machine stood still."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from . import events
from . import logs

# Pause between two looks at the clock, seconds.
CHECK_INTERVAL = 0.25
# Gap beyond which the process is taken to have stood still, seconds: less
# than the time in which a change must be in force, more than a collection
# of garbage takes.
PAUSE_THRESHOLD = 1.0


async def detect_pauses(
    journal: logs.Journal, on_pause: Callable[[], Awaitable[None]]
) -> None:
    """Call back after each gap.

    The steady clock stands still while a machine is suspended, so the clock
    that counts that time too is looked at.
    """
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    while True:
        await asyncio.sleep(CHECK_INTERVAL)
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        if now - before > PAUSE_THRESHOLD:
            journal.emit(events.ProcessPaused(round(now - before, 2)))
            await on_pause()
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
        before = now

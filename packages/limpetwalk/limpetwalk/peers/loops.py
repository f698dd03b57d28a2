"""Periodic tasks that continue when one run raises an exception."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger


async def run_periodically(
    step: Callable[[], Awaitable[None]], interval: Callable[[], float]
) -> None:
    """Await a step repeatedly, until the task is cancelled.

    :param step: awaited in each run; an exception that it raises is logged
        and does not end the loop.
    :param interval: returns the delay after a run, in seconds.
    """
    while True:
        try:
            await step()
        except Exception as exc:
            logger.exception("run of a periodic task failed: {}", exc)
        await asyncio.sleep(interval())

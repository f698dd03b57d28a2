"""Loops that must go on whatever one round raises."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger


async def run_periodically(
    step: Callable[[], Awaitable[None]], interval: Callable[[], float]
) -> None:
    """Run a step again and again.

    :param step: one round; an exception that it did not handle is logged.
    :param interval: returns the wait after a round, in seconds.
    """
    while True:
        try:
            await step()
        except Exception as exc:
            logger.exception("a round of a loop failed: {}", exc)
        await asyncio.sleep(interval())

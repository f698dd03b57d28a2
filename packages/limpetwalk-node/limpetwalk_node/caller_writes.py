"""Callers that read slowly, or not at all."""

import asyncio
from collections.abc import Awaitable

from aiohttp import web

# A caller that takes nothing of what is sent for this long is given up.
WRITE_TIMEOUT = 30.0


async def await_write(req: web.BaseRequest, write: Awaitable[object]) -> None:
    """Wait until a caller has taken what is sent to it.

    :raises ConnectionResetError: when the caller left or reads nothing; the
        connection is dropped with what was not taken.
    """
    try:
        async with asyncio.timeout(WRITE_TIMEOUT):
            await write
    except TimeoutError:
        if req.transport is not None:
            req.transport.abort()
        raise ConnectionResetError("the caller reads nothing") from None

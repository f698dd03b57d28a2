"""Writes to callers, with a timeout for those that stop reading."""

import asyncio
from collections.abc import Awaitable

from aiohttp import web

# Seconds that a single write may wait for the caller to read.
WRITE_TIMEOUT = 30.0


async def await_write(req: web.BaseRequest, write: Awaitable[object]) -> None:
    """Wait until a write to a caller has finished.

    :param req: request of the caller.
    :param write: write of the response, or of a part of it.
    :raises ConnectionResetError: when the caller disconnected or did not
        read within the timeout; on a timeout the connection is aborted and
        its unsent data is dropped.
    """
    try:
        async with asyncio.timeout(WRITE_TIMEOUT):
            await write
    except TimeoutError:
        if req.transport is not None:
            req.transport.abort()
        raise ConnectionResetError(
            "the caller did not read the response in time"
        ) from None

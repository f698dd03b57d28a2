"""Reading of request bodies with bounds on size and time."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

from limpetwalk import refusals
from limpetwalk.gateway import memory_account

# Seconds without data after which a body counts as incomplete.
STALL_TIMEOUT = 15.0
# Seconds after which a request may be sent again for whose body there was no
# room.
MEMORY_RETRY_AFTER = 1.0


class IncomingBody:
    """Body of a request, which gives way to others until it is complete.

    :param memory: account of the bytes that the node holds.
    :param workspace: workspace of the caller.
    """

    def __init__(
        self, memory: memory_account.MemoryAccount, workspace: str
    ) -> None:
        self.held = memory.body(workspace, self._give_way)
        self._timeout: asyncio.Timeout | None = None

    async def read(self, req: web.BaseRequest, limit_bytes: int) -> bytes:
        """Return the complete body, see ``read_body``."""
        try:
            async with asyncio.timeout(None) as self._timeout:
                body = await read_body(req, limit_bytes, self.held)
        except TimeoutError as exc:
            raise _no_memory() from exc
        if self.held.gave_way:
            raise _no_memory()
        self.held.keep()
        return body

    def _give_way(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())


async def read_body(
    req: web.BaseRequest, limit_bytes: int, held: memory_account.HeldBytes
) -> bytes:
    """Return the complete body of a request.

    :param limit_bytes: maximum size of the body in bytes.
    :param held: what the request holds.
    :raises Refused: when the body is larger than the limit, incomplete,
        can't be decoded or has no room.
    """
    length = req.content_length
    if (length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    if length is not None and not held.try_add(length):
        raise _no_memory()
    data = bytearray()
    try:
        while True:
            async with asyncio.timeout(STALL_TIMEOUT):
                chunk = await req.content.readany()
            if not chunk:
                return bytes(data)
            data += chunk
            if len(data) > limit_bytes:
                raise _too_large(limit_bytes)
            held.record_progress(len(chunk))
            if length is None and not held.try_add(len(chunk)):
                raise _no_memory()
    except (TimeoutError, web_protocol.RequestPayloadError) as exc:
        raise _incomplete(exc) from exc


def _too_large(limit_bytes: int) -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.BODY_TOO_LARGE,
            refusals.RunState.NOT_RUN,
            413,
            f"The body is larger than {limit_bytes} bytes.",
        )
    )


def _no_memory() -> refusals.Refused:
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.MEMORY_USED,
            refusals.RunState.NOT_RUN,
            503,
            "This node has no room for the body.",
            retry_after=MEMORY_RETRY_AFTER,
        )
    )


def _incomplete(exc: Exception) -> refusals.Refused:
    stalled = isinstance(exc, TimeoutError)
    return refusals.Refused(
        refusals.Refusal(
            refusals.Reason.BODY_INCOMPLETE,
            refusals.RunState.NOT_RUN,
            408 if stalled else 400,
            "The body stopped half-way or could not be decoded.",
        )
    )

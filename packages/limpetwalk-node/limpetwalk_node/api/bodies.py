"""Reading of request bodies with bounds on size and time."""

import asyncio

from aiohttp import web
from aiohttp import web_protocol

from limpetwalk import refusals

# Seconds without data after which a body counts as incomplete.
STALL_TIMEOUT = 15.0


async def read_body(req: web.BaseRequest, limit_bytes: int) -> bytes:
    """Return the complete body of a request.

    :param limit_bytes: maximum size of the body in bytes.
    :raises Refused: when the body is larger than the limit, incomplete or
        can't be decoded.
    """
    if (req.content_length or 0) > limit_bytes:
        raise _too_large(limit_bytes)
    chunks: list[bytes] = []
    size = 0
    try:
        while True:
            async with asyncio.timeout(STALL_TIMEOUT):
                chunk = await req.content.readany()
            if not chunk:
                return b"".join(chunks)
            chunks.append(chunk)
            size += len(chunk)
            if size > limit_bytes:
                raise _too_large(limit_bytes)
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

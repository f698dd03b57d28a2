"""Responses to callers."""

import asyncio
from collections.abc import Mapping
import json
import weakref

from aiohttp import abc
from aiohttp import web
import multidict

from limpetwalk.gateway import memory_account
from limpetwalk.gateway import refusal

from . import outbound

# Headers that concern a single connection or that frame a body.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def forwarded_headers(
    headers: Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    """Return the headers of an answer that are forwarded to the caller."""
    connection_options = headers.get("Connection", "").lower().split(",")
    dropped = CONNECTION_HEADERS | {
        name.strip() for name in connection_options
    }
    return multidict.CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )


class _HeldResponse(web.Response):
    """Response whose body is held until the caller has read most of it."""

    held: memory_account.HeldBytes | None = None
    _transport: asyncio.Transport | None = None

    async def prepare(
        self, request: web.BaseRequest
    ) -> abc.AbstractStreamWriter | None:
        """Write the head alone, since aiohttp copies a body that follows."""
        self._transport = request.transport
        writer = await super().prepare(request)
        if writer is not None:
            writer.send_headers()
        return writer

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body and release it."""
        try:
            await super().write_eof(data)
        finally:
            self._release()

    def break_off(self) -> None:
        """Close the connection, so that others have room."""
        if self._transport is not None:
            self._transport.abort()

    def __del__(self) -> None:
        """Release the body of a response that was never written."""
        self._release()

    def _release(self) -> None:
        if self.held is not None:
            self.held.release()


def complete_response(
    answer: outbound.CompleteAnswer, memory: memory_account.MemoryAccount
) -> web.Response:
    """Return a response with the unchanged answer of a server.

    :param memory: account of the bytes that the node holds.
    """
    resp = _HeldResponse(
        status=answer.head.status,
        headers=forwarded_headers(answer.head.headers),
        body=answer.body,
    )
    breaker = weakref.WeakMethod(resp.break_off)

    def break_off() -> None:
        if (method := breaker()) is not None:
            method()

    resp.held = memory.answer(len(answer.body), break_off)
    return resp


def refusal_response(
    answer: refusal.Refusal, attempt_header: str, caller_attempt_id: str
) -> web.Response:
    """Return a response with a refusal of the gateway itself.

    :param attempt_header: name of the header with the caller's attempt id.
    :param caller_attempt_id: the caller's attempt id, or empty.
    """
    headers: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    if caller_attempt_id:
        headers[attempt_header] = caller_attempt_id
    if answer.retry_after is not None:
        headers["Retry-After"] = f"{answer.retry_after:.2f}"
    payload = json.dumps({"error": answer.reason.label})
    resp = web.Response(
        status=answer.reason.status,
        headers=headers,
        text=payload,
        content_type="application/json",
    )
    return resp

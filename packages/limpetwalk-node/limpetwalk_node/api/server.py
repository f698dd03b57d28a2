"""HTTP server that reports protocol errors as typed refusals."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from aiohttp import http_exceptions
from aiohttp import web

from limpetwalk import refusals

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
ErrorHandler = Callable[[refusals.Refusal], web.Response]

HEADER_LIMIT_BYTES = 8190
HEADERS_LIMIT = 100
# Bytes of a body that are read ahead; reading stops at twice as many.
READ_AHEAD_BYTES = 8 * 1024
# Seconds for which an idle connection is kept open.
KEEPALIVE_TIMEOUT = 75.0

# Requests are reported by metrics. aiohttp skips a disabled access log.
_NO_ACCESS_LOG = logging.getLogger("limpetwalk.access")
_NO_ACCESS_LOG.setLevel(logging.CRITICAL)


class _Connection(web.RequestHandler):
    """Connection of a caller.

    ``handle_error`` is aiohttp's hook for requests that its parser rejects.
    """

    on_error: ErrorHandler

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be parsed and close the connection."""
        resp = self.on_error(_refusal(status, exc))
        resp.force_close()
        return resp


class TypedErrorServer(web.Server):
    """Server that also answers unreadable requests with typed refusals.

    :param handler: handles each request.
    :param on_error: returns the response to a request that can't be parsed.
    """

    def __init__(self, handler: Handler, on_error: ErrorHandler) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._on_error = on_error

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        conn = _Connection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=_NO_ACCESS_LOG,
            keepalive_timeout=KEEPALIVE_TIMEOUT,
            read_bufsize=READ_AHEAD_BYTES,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
            max_headers=HEADERS_LIMIT,
        )
        conn.on_error = self._on_error
        return conn


def _refusal(status: int, exc: BaseException | None) -> refusals.Refusal:
    if status >= 500:
        reason, status = refusals.Reason.INTERNAL_ERROR, 500
        message = "The router failed on this request."
        return refusals.Refusal(
            reason, refusals.RunState.UNKNOWN, status, message
        )
    if isinstance(exc, http_exceptions.LineTooLong):
        reason, status = refusals.Reason.HEADERS_TOO_LARGE, 431
        message = f"A header is longer than {HEADER_LIMIT_BYTES} bytes."
    elif exc is not None and "many headers" in str(exc):
        reason, status = refusals.Reason.HEADERS_TOO_LARGE, 431
        message = f"The request has more than {HEADERS_LIMIT} headers."
    else:
        reason = refusals.Reason.MALFORMED_BODY
        message = "The request is not readable HTTP."
    return refusals.Refusal(reason, refusals.RunState.NOT_RUN, status, message)

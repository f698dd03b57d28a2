"""Connection of a caller, with limits on heads.

Serves callers that send a head without end or byte by byte. aiohttp limits
each line of a head, but neither the head nor the time that it takes. It reads
few further requests while one is answered.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import streams
from aiohttp import web

TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class HeadLimits:
    """Limits of the head of a request.

    :param size: maximum size, in bytes.
    :param seconds: longest time from its first byte to its end.
    """

    size: int
    seconds: float


class CallerConnection(web.RequestHandler):
    """Connection that closes when a head is too large or too slow.

    :param limits: limits of a head.
    :param on_limit: called with the name of a limit that was reached.
    """

    __slots__ = (
        "_head_limits",
        "_on_limit",
        "_head_size",
        "_head_tail",
        "_head_complete",
        "_timer",
        "_busy",
        "_body",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        limits: HeadLimits,
        on_limit: Callable[[str], None],
        **options: Any,
    ) -> None:
        super().__init__(server, **options)
        self._head_limits = limits
        self._on_limit = on_limit
        self._timer: asyncio.TimerHandle | None = None
        self._busy = False
        self._body: streams.StreamReader | None = None
        self._expect_head()

    @property
    def answering(self) -> bool:
        """Whether an answer has not been written completely."""
        transport = self.transport
        unsent = transport.get_write_buffer_size() if transport else 0
        return self._request_in_progress or unsent > 0

    @property
    def has_next(self) -> bool:
        """Whether a further request was read already."""
        return bool(self._messages)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a head.

        What is left of the body of a refused request isn't part of one.
        """
        in_body = self._body is not None and not self._body.is_eof()
        if not self._busy and not in_body and not self._head_complete:
            self._count_head(data)
        super().data_received(data)

    def begin_request(self, body: streams.StreamReader) -> None:
        """Record that a request is being answered.

        :param body: body of the request.
        """
        self._expect_head()
        self._busy = True
        self._body = body

    def end_request(self) -> None:
        """Record that a request was answered."""
        self._busy = False

    def _expect_head(self) -> None:
        self._cancel_timer()
        self._head_size = 0
        self._head_tail = b""
        self._head_complete = False

    def _count_head(self, data: bytes) -> None:
        joined = self._head_tail + data
        if END_OF_HEAD in joined:
            self._head_complete = True
            self._cancel_timer()
            return
        self._head_tail = joined[1 - len(END_OF_HEAD) :]
        self._head_size += len(data)
        if self._head_size > self._head_limits.size:
            self._close_with("head_size", TOO_LARGE_RESPONSE)
        elif self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._head_limits.seconds, self._give_up_slow_head
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def _give_up_slow_head(self) -> None:
        self._timer = None
        self._close_with("head_time", TIMEOUT_RESPONSE)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_with(self, limit: str, response: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._on_limit(limit)
        self._cancel_timer()
        transport.write(response)
        transport.close()

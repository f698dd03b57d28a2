"""Connection of a caller, with limits on what it holds.

Serves callers that send a head without end or byte by byte. aiohttp limits
each line of a head, but neither the head nor the time that it takes. Also
serves callers that send on while a request is answered: little of it is read.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import socket
from typing import Any

from aiohttp import streams
from aiohttp import web

from limpetwalk.gateway import connection_room

TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
END_OF_HEAD = b"\r\n\r\n"
# Receive buffer of the kernel for a connection, bytes. The event loop reads
# all of it at once.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Receive buffer of a connection that isn't read for now, bytes.
PAUSED_BUFFER_BYTES = 4 * 1024
# Bytes of a body that are read ahead; reading stops at twice as many, and at
# a sixteenth as many chunks. Small, so that tiny chunks of many callers, which
# take most time, don't keep the others from being served.
READ_AHEAD_BYTES = 8 * 1024
# Bytes behind a request after which no more are read until it is answered.
WAITING_BYTES = 16 * 1024
# Bytes above which writing waits until the caller has read.
WRITE_BUFFER_BYTES = 16 * 1024


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
    :param room: room for connections of callers.
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
        "_room",
        "_waiting_size",
        "_waiting_full",
    )

    def __init__(
        self,
        server: web.Server,
        *,
        limits: HeadLimits,
        on_limit: Callable[[str], None],
        room: connection_room.ConnectionRoom,
        **options: Any,
    ) -> None:
        super().__init__(server, read_bufsize=READ_AHEAD_BYTES, **options)
        self._head_limits = limits
        self._on_limit = on_limit
        self._room = room
        self._waiting_size = 0
        self._waiting_full = False
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the connection, if there is room for it."""
        super().connection_made(transport)
        assert self.transport is not None
        if not self._room.try_add(self):
            self._on_limit("connections")
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._set_receive_buffer(RECEIVE_BUFFER_BYTES)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a head, or those behind a request.

        What is left of the body of a refused request isn't part of either.
        """
        in_body = self._body is not None and not self._body.is_eof()
        if not in_body and self._busy:
            self._count_waiting(data)
        elif not in_body and not self._head_complete:
            self._count_head(data)
        super().data_received(data)

    def begin_request(self, body: streams.StreamReader) -> None:
        """Record that a request is being answered.

        :param body: body of the request.
        """
        self._expect_head()
        self._busy = True
        self._body = body
        self._room.record_busy(self)
        if not self.has_next:
            self._read_on()

    def end_request(self) -> None:
        """Record that a request was answered."""
        self._busy = False
        if not self.has_next:
            self._read_on()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write the answer; only then, the connection is idle."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self._room.record_idle(self)

    def give_way(self) -> None:
        """Close the connection to make room for another one.

        A caller that hasn't read its last answer by now loses the rest.
        """
        self._on_limit("gave_way")
        if self.transport is not None:
            self.transport.abort()

    def _count_waiting(self, data: bytes) -> None:
        self._waiting_size += len(data)
        if self._waiting_size > WAITING_BYTES and not self._waiting_full:
            self._on_limit("waiting")
            self._waiting_full = True
            self._room.record_flooded(self)
            self._pause_transport_reading()
            self._set_receive_buffer(PAUSED_BUFFER_BYTES)

    def _read_on(self) -> None:
        self._waiting_size = 0
        if self._waiting_full:
            self._waiting_full = False
            self._set_receive_buffer(RECEIVE_BUFFER_BYTES)
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless enough waits behind the request.

        aiohttp calls it also when it has read the body of a request.
        """
        if not self._waiting_full:
            super()._resume_transport_reading()

    def _set_receive_buffer(self, size: int) -> None:
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

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
        self._room.discard(self)
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

"""HTTP client for one request to one backend server.

aiohttp's client can't tell whether a byte of a request was sent, or whether
an answer that ends with its connection was reset, so this module uses h11.
Each request has a connection of its own, which costs a round trip. It can't be
affected by an earlier answer, an idle timeout or a broken network path.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import socket

import h11
import multidict

from limpetwalk.gateway import buffers

# Largest number of bytes per read.
READ_BYTES = 16 * 1024
# Receive buffer of the kernel for a connection, bytes. The event loop reads
# all of it at once, up to 256 KiB, whatever the limit of the reader is.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Status that h11 suggests when an element other than data is too large.
HEADERS_TOO_LARGE = 431

RawHeaders = Sequence[tuple[bytes, bytes]]


class ServerUnreachable(Exception):
    """No byte of the request was sent.

    :param refused: whether the server's host answered that nothing listens
        at the port.
    :param link_lost: whether this node is cut off from the servers, and no
        peer could tell whether this one is up.
    """

    def __init__(
        self, detail: str, refused: bool = False, link_lost: bool = False
    ) -> None:
        super().__init__(detail)
        self.refused = refused
        self.link_lost = link_lost


class IncompleteAnswer(Exception):
    """The answer is incomplete; the request may have run.

    :param limit: name of the limit that ended the exchange, or empty.
    """

    def __init__(self, detail: str, limit: str = "") -> None:
        super().__init__(detail)
        self.limit = limit


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: multidict.CIMultiDict[str]

    @property
    def is_success(self) -> bool:
        """Whether the request was answered as asked."""
        return 200 <= self.status < 300

    @property
    def media_type(self) -> str:
        """Media type of the body without parameters, or empty."""
        content_type = self.headers.get("Content-Type", "")
        return content_type.partition(";")[0].strip().lower()

    @property
    def marks_end(self) -> bool:
        """Whether the body has a length or chunks.

        Otherwise it ends with the connection.
        """
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
        )


class Exchange:
    """A request and its response on one connection.

    :param limits: limits of the response.
    :param on_close: called once when the exchange is closed.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: buffers.ResponseLimits = buffers.ResponseLimits(),
        on_close: Callable[[], None] | None = None,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._on_close = on_close
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=limits.head_bytes
        )

    def send(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete request without waiting; the transport buffers it.

        :param headers: headers without those that frame the body.
        :raises ServerUnreachable: when the request is not valid HTTP.
        """
        framed = [*headers, (b"Connection", b"close")]
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed.append((b"Content-Length", str(len(body)).encode()))
        try:
            head = self._conn.send(
                h11.Request(method=method, target=target, headers=framed)
            )
            if body:
                self._conn.send(h11.Data(data=body))
            self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            raise ServerUnreachable(
                f"request is not valid HTTP: {exc}"
            ) from exc
        # Framed by its length, the body is sent as it is. It isn't joined to
        # the head, which would copy it.
        self._writer.write(head)
        if body:
            self._writer.write(body)

    async def head(self) -> ResponseHead:
        """Return the status and headers of the response.

        :raises IncompleteAnswer: when the connection ends before them, or
            they exceed the limits.
        """
        for _ in range(self._limits.informational + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, _decode(event.headers))
            raise IncompleteAnswer(
                "connection closed before the response headers"
            )
        raise IncompleteAnswer(
            f"more than {self._limits.informational} informational responses",
            "informational",
        )

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :raises IncompleteAnswer: when the body is truncated.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise IncompleteAnswer("connection closed within the response body")

    async def body(self, budget: buffers.BufferBudget) -> bytes:
        """Return the complete body.

        :param budget: memory for the body until it is complete.
        :raises IncompleteAnswer: when the body is truncated or exceeds the
            limits.
        """
        with budget.open(self._limits.body_bytes, self.close) as buffer:
            try:
                await self._read_body(buffer)
            except buffers.LimitExceeded as exc:
                raise IncompleteAnswer(
                    f"response body: {exc}", f"body_{exc.limit}"
                ) from exc
            return bytes(buffer.view())

    async def _read_body(self, buffer: buffers.Buffer) -> None:
        try:
            while chunk := await self.chunk():
                buffer.append(chunk)
        finally:
            # An evicted buffer has closed the connection, which ends a body
            # without a length as if it were complete.
            buffer.check()

    def close(self) -> None:
        """Abort the connection, so that the server stops its work."""
        if self._on_close is not None:
            self._on_close()
            self._on_close = None
        transport = self._writer.transport
        if transport is not None:
            transport.abort()

    async def _next_event(self) -> object:
        try:
            while True:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._conn.receive_data(await self._reader.read(READ_BYTES))
        except h11.RemoteProtocolError as exc:
            too_long = exc.error_status_hint == HEADERS_TOO_LARGE
            raise IncompleteAnswer(
                f"response is not valid HTTP: {exc}",
                "head_size" if too_long else "",
            ) from exc
        except OSError as exc:
            raise IncompleteAnswer(
                f"reading the response failed: {exc!r}"
            ) from exc


async def open_connection(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to a server or to a peer that leads to one.

    :raises OSError: when the connection fails.
    """
    reader, writer = await asyncio.open_connection(
        host, port, limit=READ_BYTES
    )
    set_options(writer.get_extra_info("socket"))
    return reader, writer


def set_options(sock: socket.socket) -> None:
    """Set the options of a connection that carries requests to a server."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _decode(headers: RawHeaders) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )

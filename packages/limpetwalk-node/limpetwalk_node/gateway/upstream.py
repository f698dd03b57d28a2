"""One request to one backend server, on a connection of its own.

aiohttp's client can't tell whether a byte of a request was sent, or whether
an answer that ends with its connection was reset, so this side uses h11. A
new connection for each request leaves nothing that an earlier answer, an
idle time-out or a silent path could spoil; one costs a round trip.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import socket

import h11
import multidict

# Bytes read at once.
READ_BYTES = 64 * 1024
# Largest header of an answer, bytes.
MAX_HEADER_BYTES = 64 * 1024
# Time without an acknowledgement after which the kernel gives a connection
# up, milliseconds. Paths to servers answer within milliseconds.
TCP_USER_TIMEOUT_MS = 2000

RawHeaders = Sequence[tuple[bytes, bytes]]


class ServerUnreachable(Exception):
    """No byte of the request was sent."""


class IncompleteAnswer(Exception):
    """The answer is not whole; the request may have run."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: multidict.CIMultiDict[str]


class Exchange:
    """A request and its answer."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )

    @classmethod
    async def connect(cls, host: str, port: int, timeout: float) -> "Exchange":
        """Open a connection.

        :param timeout: longest time to wait, in seconds.
        :raises Unreached: when there is none.
        """
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(
                    host, port, limit=READ_BYTES
                )
        except (OSError, TimeoutError) as exc:
            raise ServerUnreachable(f"connect: {exc!r}") from exc
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        return cls(reader, writer)

    def send(
        self, method: str, target: str, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a whole request; what does not fit now follows later.

        :param headers: without those that frame the body.
        :raises Unreached: when it can't be put into HTTP.
        """
        framed = [*headers, (b"Connection", b"close")]
        if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            framed.append((b"Content-Length", str(len(body)).encode()))
        try:
            data = self._conn.send(
                h11.Request(method=method, target=target, headers=framed)
            )
            if body:
                data += self._conn.send(h11.Data(data=body)) or b""
            data += self._conn.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as exc:
            raise ServerUnreachable(f"request: {exc}") from exc
        self._writer.write(data)

    async def head(self) -> ResponseHead:
        """Return status and headers of the answer.

        :raises Broken: when none comes.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, _decode(event.headers))
            raise IncompleteAnswer("closed without an answer")

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :raises Broken: when the body is cut off.
        """
        event = await self._event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return b""
        raise IncompleteAnswer("closed within the answer")

    async def body(self) -> bytes:
        """Return the whole body.

        :raises Broken: when it is cut off.
        """
        chunks = []
        while chunk := await self.chunk():
            chunks.append(chunk)
        return b"".join(chunks)

    def close(self) -> None:
        """Break the connection off, which stops the server's work."""
        transport = self._writer.transport
        if transport is not None:
            transport.abort()

    async def _event(self) -> object:
        try:
            while True:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._conn.receive_data(await self._reader.read(READ_BYTES))
        except h11.RemoteProtocolError as exc:
            raise IncompleteAnswer(f"unreadable answer: {exc}") from exc
        except OSError as exc:
            raise IncompleteAnswer(f"connection: {exc!r}") from exc


def _decode(headers: RawHeaders) -> multidict.CIMultiDict[str]:
    return multidict.CIMultiDict(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in headers
    )

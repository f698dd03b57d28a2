"""Tests of exchanges with servers on connections of their own."""

import asyncio
import socket
import unittest

from limpetwalk_node.gateway import upstream

BODY = b"x" * 8_000_000
# Time for which the server reads nothing, seconds.
PAUSE = 3.0


class SlowServer(unittest.IsolatedAsyncioTestCase):
    """A sound server doesn't read a large body for a while."""

    async def test_server_that_stops_reading_is_waited_for(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.bind(("127.0.0.1", 0))
        listener = await asyncio.start_server(self._answer, sock=sock)
        self.addCleanup(listener.close)
        reader, writer = await upstream.open_connection(*sock.getsockname())
        exchange = upstream.Exchange(reader, writer)
        self.addCleanup(exchange.close)
        exchange.send("POST", "/x", [(b"Host", b"x")], BODY)
        async with asyncio.timeout(PAUSE + 10):
            head = await exchange.head()
        self.assertEqual(200, head.status)

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(PAUSE)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(len(BODY))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

"""Paths of nodes to servers that are cut."""

import asyncio
import contextlib
import socket
import unittest

from limpetwalk_bench.soak import fault_plan
from limpetwalk_bench.soak import node_link

HOST = "127.0.0.9"
# Time-outs for what is expected and for what must not happen, in seconds. The
# kernel repeats an attempt to connect after a second.
ARRIVAL_TIMEOUT = 5.0
ABSENCE_TIMEOUT = 0.2


class CutLink(unittest.IsolatedAsyncioTestCase):
    """A path of a node to an echo server."""

    async def asyncSetUp(self) -> None:
        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.CancelledError, OSError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.link = node_link.NodeLink(
            HOST, server.sockets[0].getsockname()[1]
        )
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.link.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(
        self,
        conn: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        data: bytes,
        timeout: float = ARRIVAL_TIMEOUT,
    ) -> bytes:
        reader, writer = conn
        writer.write(data)
        try:
            async with asyncio.timeout(timeout):
                return await reader.read(100)
        except TimeoutError:
            return b"nothing"

    async def test_connections_hang_and_go_on(self) -> None:
        conn = await self.open()
        self.assertEqual(b"a", await self.exchange(conn, b"a"))
        self.link.cut(fault_plan.LinkCut.HANG)
        self.assertEqual(
            b"nothing", await self.exchange(conn, b"b", ABSENCE_TIMEOUT)
        )
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(ABSENCE_TIMEOUT):
                await self.open()
        waiting = asyncio.create_task(self.open())
        await asyncio.sleep(ABSENCE_TIMEOUT)
        self.assertFalse(waiting.done())
        self.link.restore(fault_plan.LinkCut.HANG)
        self.assertEqual(b"bc", await self.read(conn, b"c", 2))
        async with asyncio.timeout(ARRIVAL_TIMEOUT):
            late = await waiting
        self.assertEqual(b"d", await self.exchange(late, b"d"))

    async def read(
        self,
        conn: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        data: bytes,
        size: int,
    ) -> bytes:
        conn[1].write(data)
        async with asyncio.timeout(ARRIVAL_TIMEOUT):
            return await conn[0].readexactly(size)

    async def test_open_connections_are_reset(self) -> None:
        conn = await self.open()
        await self.exchange(conn, b"a")
        self.link.cut(fault_plan.LinkCut.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.exchange(conn, b"b")
        with self.assertRaises(ConnectionRefusedError):
            await self.open()
        self.link.restore(fault_plan.LinkCut.RESET)
        self.assertEqual(b"c", await self.exchange(await self.open(), b"c"))

    async def test_open_connections_live_on(self) -> None:
        conn = await self.open()
        await self.exchange(conn, b"a")
        self.link.cut(fault_plan.LinkCut.REFUSE)
        self.assertEqual(b"b", await self.exchange(conn, b"b"))
        with self.assertRaises(ConnectionRefusedError):
            await self.open()
        self.link.restore(fault_plan.LinkCut.REFUSE)
        self.assertEqual(b"c", await self.exchange(await self.open(), b"c"))

    async def test_overlapping_cuts_end_with_the_last(self) -> None:
        for cut in fault_plan.LinkCut:
            self.link.cut(cut)
        for cut in fault_plan.LinkCut:
            with self.assertRaises((ConnectionRefusedError, TimeoutError)):
                async with asyncio.timeout(ABSENCE_TIMEOUT):
                    await self.open()
            self.link.restore(cut)
        self.assertEqual(b"a", await self.exchange(await self.open(), b"a"))

    async def test_listener_keeps_its_port(self) -> None:
        self.link.cut(fault_plan.LinkCut.REFUSE)
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((HOST, self.link.port))

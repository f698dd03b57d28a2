"""Link faults that a proxy injects."""

import asyncio
import contextlib
import unittest

from limpetwalk_bench.soak import fault_plan
from limpetwalk_bench.soak import proxy

# Time-outs for data that is expected and for data that must not arrive, in
# seconds.
ARRIVAL_TIMEOUT = 5.0
ABSENCE_TIMEOUT = 0.2


class LinkFaults(unittest.IsolatedAsyncioTestCase):
    """A proxy in front of an echo server."""

    async def asyncSetUp(self) -> None:
        self.server_received = bytearray()

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.CancelledError, OSError):
                while data := await reader.read(100):
                    self.server_received += data
                    writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.proxy = proxy.Proxy(server.sockets[0].getsockname()[1])
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def open(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.proxy.port
        )
        self.addCleanup(self.writer.close)

    async def exchange(
        self, data: bytes, timeout: float = ARRIVAL_TIMEOUT
    ) -> bytes:
        self.writer.write(data)
        try:
            async with asyncio.timeout(timeout):
                return await self.reader.read(100)
        except TimeoutError:
            return b"nothing"

    async def test_forwards_data_and_end_of_stream(self) -> None:
        await self.open()
        self.assertEqual(b"a", await self.exchange(b"a"))
        self.writer.write_eof()
        self.assertEqual(b"", await self.reader.read(100))

    async def test_resets_open_and_new_connections(self) -> None:
        await self.open()
        await self.exchange(b"a")
        self.proxy.add_fault(fault_plan.LinkFault.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.exchange(b"b")
        with self.assertRaises(ConnectionResetError):
            await self.open()
            await self.exchange(b"c")
        self.proxy.remove_fault(fault_plan.LinkFault.RESET)
        await self.open()
        self.assertEqual(b"d", await self.exchange(b"d"))

    async def test_drops_data_in_one_direction(self) -> None:
        for fault, expected in (
            (fault_plan.LinkFault.DROP_TO_SERVER, b""),
            (fault_plan.LinkFault.DROP_FROM_SERVER, b"x"),
        ):
            self.server_received.clear()
            await self.open()
            self.proxy.add_fault(fault)
            self.assertEqual(
                b"nothing", await self.exchange(b"x", ABSENCE_TIMEOUT)
            )
            self.assertEqual(expected, bytes(self.server_received))
            self.proxy.remove_fault(fault)
            self.writer.close()

    async def test_connection_that_lost_data_stays_blocked(self) -> None:
        await self.open()
        self.proxy.add_fault(fault_plan.LinkFault.DROP_BOTH)
        await self.exchange(b"a", ABSENCE_TIMEOUT)
        self.proxy.remove_fault(fault_plan.LinkFault.DROP_BOTH)
        self.assertEqual(
            b"nothing", await self.exchange(b"b", ABSENCE_TIMEOUT)
        )
        await self.open()
        self.assertEqual(b"c", await self.exchange(b"c"))

    async def test_delays_data(self) -> None:
        await self.open()
        self.proxy.add_fault(fault_plan.LinkFault.DELAY)
        started = asyncio.get_running_loop().time()
        self.assertEqual(b"a", await self.exchange(b"a"))
        elapsed = asyncio.get_running_loop().time() - started
        self.assertGreaterEqual(elapsed, proxy.DELAY)

    async def test_holds_data_without_loss(self) -> None:
        await self.open()
        await self.exchange(b"a")
        self.proxy.hold()
        self.proxy.hold()
        self.assertEqual(
            b"nothing", await self.exchange(b"b", ABSENCE_TIMEOUT)
        )
        self.proxy.release()
        self.assertEqual(
            b"nothing", await self.exchange(b"c", ABSENCE_TIMEOUT)
        )
        self.proxy.release()
        async with asyncio.timeout(ARRIVAL_TIMEOUT):
            self.assertEqual(b"bc", await self.reader.readexactly(2))

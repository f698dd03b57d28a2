"""Harm that a proxy does to connections."""

import asyncio
import contextlib
import unittest

from limpetwalk_bench.soak import plan
from limpetwalk_bench.soak import proxy

# Time for what comes at once on loopback, and for what never comes, seconds.
PATIENCE = 5.0
NEVER = 0.2


class Paths(unittest.IsolatedAsyncioTestCase):
    """A proxy before a listener that echoes."""

    async def asyncSetUp(self) -> None:
        self.taken = bytearray()

        async def echo(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.CancelledError, OSError):
                while data := await reader.read(100):
                    self.taken += data
                    writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.path = proxy.Proxy(server.sockets[0].getsockname()[1])
        await self.path.start()
        self.addAsyncCleanup(self.path.stop)

    async def open(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.path.port
        )
        self.addCleanup(self.writer.close)

    async def echoed(self, data: bytes, patience: float = PATIENCE) -> bytes:
        self.writer.write(data)
        try:
            async with asyncio.timeout(patience):
                return await self.reader.read(100)
        except TimeoutError:
            return b"nothing"

    async def test_passes_data_and_its_end(self) -> None:
        await self.open()
        self.assertEqual(b"a", await self.echoed(b"a"))
        self.writer.write_eof()
        self.assertEqual(b"", await self.reader.read(100))

    async def test_resets_open_and_new_connections(self) -> None:
        await self.open()
        await self.echoed(b"a")
        self.path.harm(plan.Harm.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.echoed(b"b")
        with self.assertRaises(ConnectionResetError):
            await self.open()
            await self.echoed(b"c")
        self.path.heal(plan.Harm.RESET)
        await self.open()
        self.assertEqual(b"d", await self.echoed(b"d"))

    async def test_cuts_one_way(self) -> None:
        for harm, reached in (
            (plan.Harm.CUT_THERE, b""),
            (plan.Harm.CUT_BACK, b"x"),
        ):
            self.taken.clear()
            await self.open()
            self.path.harm(harm)
            self.assertEqual(b"nothing", await self.echoed(b"x", NEVER))
            self.assertEqual(reached, bytes(self.taken))
            self.path.heal(harm)
            self.writer.close()

    async def test_silenced_connection_stays_silent(self) -> None:
        await self.open()
        self.path.harm(plan.Harm.SILENCE)
        await self.echoed(b"a", NEVER)
        self.path.heal(plan.Harm.SILENCE)
        self.assertEqual(b"nothing", await self.echoed(b"b", NEVER))
        await self.open()
        self.assertEqual(b"c", await self.echoed(b"c"))

    async def test_delays(self) -> None:
        await self.open()
        self.path.harm(plan.Harm.DELAY)
        began = asyncio.get_running_loop().time()
        self.assertEqual(b"a", await self.echoed(b"a"))
        took = asyncio.get_running_loop().time() - began
        self.assertGreaterEqual(took, proxy.DELAY)

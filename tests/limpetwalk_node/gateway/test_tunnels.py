"""Tests of connections that a node carries for other nodes."""

import asyncio
import contextlib
import random
import socket
import threading
import unittest
from unittest import mock

import uvloop

from limpetwalk import clock as clocks
from limpetwalk import metrics as metrics_
from limpetwalk.gateway import fleet
from limpetwalk.gateway import peer_groups
from limpetwalk.gateway import server_links
from limpetwalk_node.gateway import connector
from limpetwalk_node.gateway import tunnels
from limpetwalk_node.gateway import upstream

from ...limpetwalk.gateway import builders
from . import harness
from . import links

SECRET = "0123456789abcdef"


class Carrier:
    """Node that carries connections to one scripted server."""

    def __init__(self) -> None:
        self.clock = clocks.SystemClock()
        self.lines = harness.Lines()
        self.fleet = fleet.Fleet(self.clock)
        self.links = server_links.ServerLinks(self.clock, random.Random(1))
        self.received = b""
        self.ended = asyncio.Event()
        self.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.reset = False
        self.hold = asyncio.Event()
        self.hold.set()

    async def start(self) -> None:
        """Start the server and the carrier."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", links.free_port()
        )
        self.port = self.server.sockets[0].getsockname()[1]
        entry = builders.server("e-1", host="127.0.0.1", port=self.port)
        self.member = self.fleet.put(entry, builders.version(1))
        self.tunnels = tunnels.Tunnels(
            SECRET,
            self.fleet,
            self.links,
            harness.journal(self.lines),
            metrics_.Metrics(),
        )
        self.address = ("127.0.0.1", links.free_port())
        await self.tunnels.start(self.address)

    async def stop(self) -> None:
        """Stop both."""
        self.tunnels.close()
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            self.received += await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await self.hold.wait()
            if self.reset:
                # The answer arrives before the reset, which would discard it.
                await asyncio.sleep(0.05)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    tunnels.RESET_ON_CLOSE,
                )
                writer.transport.abort()
                return
            writer.close()
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended.set()

    async def ask(self, head: str) -> tuple[int, bytes]:
        """Send the head of a request; return status and answer."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(head.encode())
            async with asyncio.timeout(3):
                answer = await reader.read()
        finally:
            writer.close()
        status = int(answer.split()[1]) if answer else 0
        return status, answer

    def head(self, method: str = "CONNECT", **changes: str) -> str:
        """Return the head of a sound request, with changes."""
        parts = {
            "target": f"127.0.0.1:{self.port}",
            "secret": SECRET,
            "server": "e-1",
            **changes,
        }
        return (
            f"{method} {parts['target']} HTTP/1.1\r\n"
            f"Host: {parts['target']}\r\n"
            f"Proxy-Authorization: Bearer {parts['secret']}\r\n"
            f"Limpetwalk-Server: {parts['server']}\r\n\r\n"
        )


class Access(unittest.IsolatedAsyncioTestCase):
    """Only other nodes may use tunnels, and only to known servers."""

    async def asyncSetUp(self) -> None:
        self.carrier = Carrier()
        await self.carrier.start()
        self.addAsyncCleanup(self.carrier.stop)

    async def assert_declined(self, status: int, head: str) -> None:
        got, _ = await self.carrier.ask(head)
        self.assertEqual(status, got)
        self.assertEqual(b"", self.carrier.received)
        self.assertEqual(0, self.carrier.tunnels.open_count)

    async def test_request_without_the_secret_is_declined(self) -> None:
        head = self.carrier.head
        await self.assert_declined(407, head(secret="x"))
        await self.assert_declined(407, head(secret=""))
        await self.assert_declined(
            407, "GET / HTTP/1.1\r\nHost: a\r\nHop: 1\r\n\r\n"
        )

    async def test_other_methods_are_declined(self) -> None:
        await self.assert_declined(405, self.carrier.head("GET", target="/"))

    async def test_unknown_server_or_address_is_declined(self) -> None:
        head = self.carrier.head
        await self.assert_declined(403, head(server="e-2"))
        await self.assert_declined(403, head(target="127.0.0.1:9"))

    async def test_malformed_and_large_heads_are_declined(self) -> None:
        await self.assert_declined(400, "\x00\r\n\r\n")
        head = self.carrier.head(server="x" * 2 * tunnels.MAX_HEAD_BYTES)
        await self.assert_declined(400, head)

    async def test_slow_head_is_closed(self) -> None:
        with mock.patch.object(tunnels, "HEAD_TIMEOUT", 0.05):
            status, _ = await self.carrier.ask("CONNECT ")
        self.assertEqual(0, status)

    async def test_connections_without_a_request_are_bounded(self) -> None:
        with mock.patch.object(tunnels, "MAX_CONNECTIONS", 2):
            idle = [
                await asyncio.open_connection(*self.carrier.address)
                for _ in range(3)
            ]
            async with asyncio.timeout(tunnels.HEAD_TIMEOUT / 2):
                self.assertEqual(b"", await idle[2][0].read())
            self.assertEqual(0, self.carrier.tunnels.open_count)
            for _, writer in idle:
                writer.close()

    async def test_bytes_before_the_answer_are_not_passed_on(self) -> None:
        _, answer = await self.carrier.ask(
            self.carrier.head() + "GET / HTTP/1.1\r\n\r\n"
        )
        self.assertNotIn(b"ok", answer)
        self.assertEqual(b"", self.carrier.received)

    async def test_stopping_full_or_cut_off_node_takes_no_tunnels(
        self,
    ) -> None:
        with mock.patch.object(tunnels, "MAX_TUNNELS", 0):
            await self.assert_declined(503, self.carrier.head())
        self.carrier.links.record_lost("e-1")
        await self.assert_declined(503, self.carrier.head())
        self.carrier.links.record_connected("e-1")
        self.carrier.tunnels.closing = True
        await self.assert_declined(503, self.carrier.head())
        reasons = [
            line["reason"]
            for line in self.carrier.lines.events("tunnel.declined")
        ]
        self.assertEqual(["full", "link_lost", "stopping"], reasons)

    async def test_server_is_down_only_for_a_node_whose_links_work(
        self,
    ) -> None:
        self.carrier.server.close()
        await self.assert_declined(503, self.carrier.head())
        self.carrier.links.record_connected("e-2")
        await self.assert_declined(502, self.carrier.head())


class Tunnel:
    """A node, a carrier and a server, connected by a tunnel."""

    async def start(self) -> None:
        """Start everything."""
        self.carrier = Carrier()
        await self.carrier.start()
        clock = self.carrier.clock
        peer = peer_groups.Peer(self.carrier.address, "", SECRET)
        self.choice = server_links.PeerChoice(
            "node-1",
            lambda: "",
            lambda: {"node-2": peer},
            lambda: {"node-2"},
            clock,
            random.Random(1),
        )
        self.links = server_links.ServerLinks(clock, random.Random(1))
        # The node asks its peer first, and lets it alone try.
        for server_id in ("a", "b", "c"):
            self.links.record_failed(server_id)
            self.links.record_lost(server_id)
        self.links.prefers_peer("e-1")
        self.connector = connector.Connector(
            self.links,
            self.choice,
            harness.journal(harness.Lines()),
            metrics_.Metrics(),
        )

    async def open(self) -> upstream.Exchange:
        """Send a request through the tunnel."""
        assert self.carrier.member is not None
        exchange = await self.connector.connect(self.carrier.member, 0.3)
        assert self.carrier.tunnels.open_count == 1
        exchange.send("POST", "/", [(b"Host", b"a")], b"")
        return exchange

    async def until_closed(self) -> None:
        """Wait until the carrier and the server have no connection."""
        async with asyncio.timeout(1):
            await self.carrier.ended.wait()
            while self.carrier.tunnels.open_count:
                await asyncio.sleep(0.01)


class Bytes(unittest.TestCase):
    """What passes through a tunnel, on both event loops."""

    def run_on_both(self, check) -> None:  # type: ignore[no-untyped-def]
        async def run() -> None:
            tunnel = Tunnel()
            await tunnel.start()
            try:
                await check(tunnel)
                await tunnel.until_closed()
            finally:
                await tunnel.carrier.stop()

        for loop_factory in (asyncio.new_event_loop, uvloop.new_event_loop):
            with (
                self.subTest(loop_factory.__module__),
                asyncio.Runner(loop_factory=loop_factory) as runner,
            ):
                runner.run(run())

    def test_answer_comes_through(self) -> None:
        async def check(tunnel: Tunnel) -> None:
            exchange = await tunnel.open()
            self.assertEqual(200, (await exchange.head()).status)
            self.assertEqual(b"ok", await exchange.chunk())
            self.assertEqual(b"", await exchange.chunk())
            exchange.close()

        self.run_on_both(check)

    def test_server_ends_its_work_when_the_node_leaves(self) -> None:
        async def check(tunnel: Tunnel) -> None:
            tunnel.carrier.hold.clear()
            exchange = await tunnel.open()
            await exchange.head()
            exchange.close()
            tunnel.carrier.hold.set()

        self.run_on_both(check)

    def test_answer_that_breaks_off_does_not_look_complete(self) -> None:
        async def check(tunnel: Tunnel) -> None:
            tunnel.carrier.answer = b"HTTP/1.1 200 OK\r\n\r\nfirst part"
            tunnel.carrier.reset = True
            exchange = await tunnel.open()
            await exchange.head()
            self.assertEqual(b"first part", await exchange.chunk())
            with self.assertRaises(upstream.IncompleteAnswer):
                await exchange.chunk()
            exchange.close()

        self.run_on_both(check)

    def test_answer_of_a_carrier_that_ends_does_not_look_complete(
        self,
    ) -> None:
        async def check(tunnel: Tunnel) -> None:
            tunnel.carrier.answer = b"HTTP/1.1 200 OK\r\n\r\nfirst part"
            tunnel.carrier.hold.clear()
            exchange = await tunnel.open()
            await exchange.head()
            self.assertEqual(b"first part", await exchange.chunk())
            tunnel.carrier.tunnels.close()
            with self.assertRaises(upstream.IncompleteAnswer):
                await exchange.chunk()
            exchange.close()
            tunnel.carrier.hold.set()

        self.run_on_both(check)

    def test_server_that_closes_at_once_ends_the_exchange(self) -> None:
        async def check(tunnel: Tunnel) -> None:
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                sock.listen()
                threading.Thread(
                    target=_accept_and_close, args=(sock,), daemon=True
                ).start()
                entry = builders.server(
                    "e-1", host="127.0.0.1", port=sock.getsockname()[1]
                )
                carrier = tunnel.carrier
                carrier.member = carrier.fleet.put(entry, builders.version(2))
                for _ in range(30):
                    exchange = await tunnel.open()
                    async with asyncio.timeout(1):
                        with self.assertRaises(upstream.IncompleteAnswer):
                            await exchange.head()
                    exchange.close()
                    async with asyncio.timeout(1):
                        while carrier.tunnels.open_count:
                            await asyncio.sleep(0.001)
                sock.shutdown(socket.SHUT_RDWR)
            carrier.ended.set()

        self.run_on_both(check)


def _accept_and_close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while True:
            sock.accept()[0].close()

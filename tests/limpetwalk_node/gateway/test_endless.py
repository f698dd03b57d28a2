"""Tests of servers and callers that send without end."""

import asyncio
import collections
import pathlib
import tempfile
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from limpetwalk.gateway import buffers
from limpetwalk_bench.hub import raw_server
from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports
from limpetwalk_bench.soak import nodes
from limpetwalk_bench.soak import proxy
from limpetwalk_node.gateway import node

from . import harness

FILLER = b"x" * 16384
CHUNK = b"4000\r\n" + FILLER + b"\r\n"
ENDLESS_PLAIN = {
    "status line": lambda conn: (b"HTTP/1.1 200 " + FILLER, FILLER),
    "one header": lambda conn: (conn.head()[:-2] + b"Filler: ", FILLER),
    "many headers": lambda conn: (conn.head()[:-2], b"Filler: 1\r\n"),
    "informational responses": lambda conn: (
        b"",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
    ),
    "chunked body": lambda conn: (
        conn.head("Transfer-Encoding: chunked"),
        CHUNK,
    ),
    "chunk extension": lambda conn: (
        conn.head("Transfer-Encoding: chunked") + b"5;",
        FILLER,
    ),
    "trailers": lambda conn: (
        conn.head("Transfer-Encoding: chunked") + b"0\r\n",
        b"Filler: 1\r\n",
    ),
    "body with a length": lambda conn: (
        conn.head("Content-Length: 1000000000000"),
        FILLER,
    ),
    "body without a length": lambda conn: (
        conn.head("Connection: close"),
        FILLER,
    ),
}
ENDLESS_STREAMS = {
    "event": (b"id: 1\ndata: ", FILLER),
    "comments": (b"", b": keep-alive\n\n" * 100),
    "repeated events": (server.event(1), server.event(1) * 100),
    "lines of an event": (b"id: 1\n", b"data: x\n" * 100),
}


def endless(name: str) -> raw_server.Script:
    """Return a script that sends a part of an answer without end."""

    async def script(conn: raw_server.Connection) -> None:
        start, filler = ENDLESS_PLAIN[name](conn)
        await conn.send(start)
        await conn.send_without_end(filler)

    return script


class LimitsCase(harness.GatewayCase):
    """Gateway with limits that are reached soon."""

    services = {"p-1": site.PLAIN}

    def setUp(self) -> None:
        limits = buffers.ResponseLimits(
            body_bytes=buffers.MIB, event_bytes=64 * buffers.KIB
        )
        patch = mock.patch.object(node.Gateway, "limits", limits)
        patch.start()
        self.addCleanup(patch.stop)


class EndlessAnswers(LimitsCase):
    """A server sends until its caller closes the connection."""

    async def test_plain_answer_is_given_up_at_its_limit(self) -> None:
        await self.run_.extend_timeouts()
        for name in ENDLESS_PLAIN:
            with self.subTest(name):
                raw = await self._replace_plain_server(endless(name))
                async with self.run_.request("POST", "/once/x") as resp:
                    # The status would be 504 at the deadline.
                    self.assertEqual(502, resp.status)
                    self.assertNotIn("Server-Seal", resp.headers)
                await self.run_.until(lambda raw=raw: raw.closed == 1)
                self.assertEqual(1, raw.requests)

    async def test_idempotent_call_is_answered_by_another_server(self) -> None:
        raw = await self._replace_plain_server(endless("chunked body"))
        await self.run_.site.add_server("p-3", site.PLAIN)
        await self._until_known("p-3")
        for _ in range(6):
            async with self.run_.request("POST", "/again/x") as resp:
                self.assertEqual(200, resp.status)
        self.assertGreater(raw.requests, 0)

    async def test_limit_is_counted_and_logged_with_the_server(self) -> None:
        await self._replace_plain_server(endless("body with a length"))
        async with self.run_.request("POST", "/once/x"):
            pass
        ended = self.run_.lines.events("request.try_ended")[-1]
        self.assertIn("limit", ended["detail"])
        self.assertEqual("raw-1", ended["server"])
        counted = self.run_.metrics.value(
            "limpetwalk_answer_limits_total", {"limit": "body_size"}
        )
        self.assertEqual(1, counted)

    async def test_stream_is_resumed_at_another_server(self) -> None:
        for name, (start, filler) in ENDLESS_STREAMS.items():
            with self.subTest(name):
                await self._check_stream(start, filler)

    async def test_byte_now_and_then_is_no_progress(self) -> None:
        config = site.config_row(version=2)
        config["routes"][0].update(itl_slo_ms=500)
        await self.run_.site.store.put("op", "config", config)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 2)
        async with asyncio.timeout(1.8):
            await self._check_stream(server.event(1), b":", pause=0.1)

    async def _check_stream(
        self, start: bytes, filler: bytes, pause: float = 0.0
    ) -> None:
        """Check that the second server of two finishes a stream."""
        requests = 0

        async def first_endless(conn: raw_server.Connection) -> None:
            nonlocal requests
            requests += 1
            await conn.send(self._stream_head(conn))
            if requests == 1:
                await conn.send(start)
                await conn.send_without_end(filler, pause)
            last = int(conn.headers.get("last-event-id", "0"))
            for number in range(last + 1, 6):
                await conn.send(server.event(number))

        ids = [f"raw-{number}" for number in (1, 2)]
        for server_id in ids:
            await self.run_.site.add_raw_server(
                server_id, site.ENGINE, first_endless
            )
            await self._until_known(server_id)
        async with asyncio.timeout(3):
            async with self.run_.stream() as resp:
                body = await resp.read()
        self.assertEqual(
            b"".join(server.event(number) for number in range(1, 6)), body
        )
        self.assertEqual(2, requests)
        for server_id in ids:
            await self.run_.site.store.remove("servers", server_id)
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: not fleet.members(site.ENGINE))

    def _stream_head(self, conn: raw_server.Connection) -> bytes:
        return conn.head(
            "Content-Type: text/event-stream",
            "Confidence: 100",
            "Connection: close",
        )

    async def _replace_plain_server(
        self, script: raw_server.Script
    ) -> raw_server.RawServer:
        await self.run_.site.store.remove("servers", "p-1")
        await self.run_.site.store.remove("servers", "raw-1")
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: not fleet.members(site.PLAIN))
        raw = await self.run_.site.add_raw_server("raw-1", site.PLAIN, script)
        await self._until_known("raw-1")
        return raw

    async def _until_known(self, server_id: str) -> None:
        fleet = self.run_.gateway.cluster_state.fleet
        await self.run_.until(lambda: fleet.get(server_id) is not None)


class EndlessRequests(harness.GatewayCase):
    """A caller sends without end, or byte by byte."""

    services = {"p-1": site.PLAIN}
    head = b"GET /again/x HTTP/1.1\r\nHost: api.example\r\n"

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        config = site.config_row(version=2)
        config["limits"] = {
            "max_body_bytes": 100_000,
            "max_header_bytes": 4096,
            "header_timeout_ms": 300,
        }
        await self.run_.site.store.put("op", "config", config)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 2)

    async def test_head_without_end_is_refused(self) -> None:
        for filler in (b"Filler: 1\r\n" * 50, b"x" * 500):
            with self.subTest(filler[:6]):
                status = await self._send_until_closed(filler, 0.0)
                self.assertIn(status.split()[1], (b"431", b"400"))

    async def test_head_byte_by_byte_is_refused_in_time(self) -> None:
        async with asyncio.timeout(1.0):
            status = await self._send_until_closed(b"x", 0.02)
        self.assertEqual(b"HTTP/1.1 408", status)
        counted = self.run_.metrics.value(
            "limpetwalk_caller_limits_total", {"limit": "head_time"}
        )
        self.assertEqual(1, counted)

    async def test_head_and_body_in_one_packet_are_no_large_head(self) -> None:
        body = b"x" * 60_000
        async with self.run_.request("POST", "/once/x", data=body) as resp:
            self.assertEqual(200, resp.status)
            self.assertEqual(b"done " + body, await resp.read())

    async def test_requests_in_pieces_are_served_one_after_another(
        self,
    ) -> None:
        reader, writer = await self._connect()
        for _ in range(3):
            headers = site.request_headers("a-1", 2000)
            lines = [f"{name}: {value}" for name, value in headers.items()]
            text = "\r\n".join(["GET /again/x HTTP/1.1", *lines, "", ""])
            for start in range(0, len(text), 40):
                writer.write(text[start : start + 40].encode())
                await asyncio.sleep(0.005)
            response = await reader.readuntil(b"done ")
            self.assertTrue(response.startswith(b"HTTP/1.1 200"))
        writer.close()

    async def test_waiting_requests_are_not_read_without_end(self) -> None:
        release = asyncio.Event()

        async def wait(req: web.Request) -> None:
            await release.wait()

        self.server("p-1").behaviour = wait
        headers = site.request_headers("a-1", 2000)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        text = "\r\n".join(["GET /once/x HTTP/1.1", *lines, "", ""])
        reader, writer = await self._connect()
        block = text.encode() * 2000
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1.0):
                for _ in range(200):
                    writer.write(block)
                    await writer.drain()
        release.set()
        response = await reader.readuntil(b"done ")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"))
        writer.transport.abort()

    async def test_large_requests_behind_one_another_are_all_served(
        self,
    ) -> None:
        first = asyncio.Event()

        async def wait(req: web.Request) -> None:
            await first.wait()

        self.server("p-1").behaviour = wait
        headers = site.request_headers("a-1", 20_000)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        body = b"x" * 60_000
        framings = {
            f"Content-Length: {len(body)}": body,
            "Transfer-Encoding: chunked": b"".join(
                (b"ea60\r\n", body, b"\r\n0\r\n\r\n")
            ),
        }
        reader, writer = await self._connect()
        for framing, framed in (*framings.items(), *framings.items()):
            head = "\r\n".join(
                ["POST /once/x HTTP/1.1", *lines, framing, "", ""]
            )
            writer.write(head.encode() + framed)
        await self.run_.until(lambda: self.server("p-1").received)
        await asyncio.sleep(0.1)
        first.set()
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            for _ in range(4):
                response = await reader.readuntil(b"done ")
                self.assertTrue(response.startswith(b"HTTP/1.1 200"))
                self.assertEqual(body, await reader.readexactly(len(body)))
        writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, port = self.run_.gateway.addresses["callers"]
        return await asyncio.open_connection(host, port)

    async def _send_until_closed(self, data: bytes, pause: float) -> bytes:
        """Send a head without end, and return the start of the answer."""
        reader, writer = await self._connect()
        writer.write(self.head)
        answer = asyncio.create_task(reader.read(12))
        while not answer.done():
            writer.write(data)
            await asyncio.sleep(pause)
        writer.transport.abort()
        return await answer


class Memory(unittest.IsolatedAsyncioTestCase):
    """A node in a process of its own gets many endless answers at once."""

    exchanges = 200
    # Bound of the memory above idle that they may take.
    max_bytes = 40 * buffers.MIB

    async def asyncSetUp(self) -> None:
        self.site = site.Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start({})
        config = site.config_row(version=2)
        config["routes"][1].update(timeout_ms=20_000)
        await self.site.store.put("op", "config", config)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.node = nodes.Node(
            "node-1", ports.own_host(), pathlib.Path(folder)
        )

    async def test_memory_is_bounded(self) -> None:
        async def script(conn: raw_server.Connection) -> None:
            await conn.send(conn.head("Transfer-Encoding: chunked"))
            await conn.send_without_end(CHUNK)

        await self.site.add_raw_server("raw-1", site.PLAIN, script)
        store = proxy.Proxy(self.site.store_port)
        await store.start()
        self.addAsyncCleanup(store.stop)
        self.node.start(store)
        self.addAsyncCleanup(self.node.stop)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            async with asyncio.timeout(harness.WAIT_TIMEOUT):
                while not await self.node.is_ready(http):
                    await asyncio.sleep(0.1)
            idle = self.node.resident_bytes
            answers = asyncio.gather(
                *(self._request(http) for _ in range(self.exchanges))
            )
            peak = 0
            while not answers.done():
                peak = max(peak, self.node.resident_bytes)
                await asyncio.sleep(0.01)
        self.assertLess(peak - idle, self.max_bytes)
        statuses = collections.Counter(await answers)
        # Connections that take too long while all start are refused.
        self.assertEqual({502, 503}, set(statuses) | {502, 503})
        self.assertGreater(statuses[502], self.exchanges / 2)

    async def _request(self, http: aiohttp.ClientSession) -> int:
        url = f"http://{self.node.host}:{self.node.caller_port}/once/x"
        headers = site.request_headers("a-1", 20_000)
        async with http.post(url, headers=headers) as resp:
            return resp.status

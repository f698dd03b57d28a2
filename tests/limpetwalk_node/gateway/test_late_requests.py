"""Tests of requests that a node reads late in a planned stop."""

import asyncio
import collections
from dataclasses import dataclass
import itertools
import pathlib
import signal
import socket
import tempfile
import time
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports
from limpetwalk_bench.soak import nodes
from limpetwalk_bench.soak import proxy
from limpetwalk_node.gateway import node

from . import harness

GRACE = 6.0
CALLERS = 24
# Time after the signal at which callers stop to send, in seconds. The node
# ends soon after it; what crosses the closing of a connection is not judged.
LAST_SENT = 4.8
# Longest time after its last byte in which a request that no server got may
# end without an answer, in seconds.
CLOSE_SLACK = 0.2
KINDS = ("once", "again", "stream")


@dataclass
class Sent:
    """Request of a caller, and how it ended.

    :param sent: seconds from the signal to its sending.
    :param took: seconds from its sending to its end.
    """

    kind: str
    sent: float
    took: float
    end: str


class LateRequests(unittest.IsolatedAsyncioTestCase):
    """Callers send requests of a second or two through the grace period."""

    maxDiff = None

    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch.object(nodes, "GRACE", GRACE))
        self.site = site.Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start({"e-1": site.ENGINE, "p-1": site.PLAIN})
        self.site.servers["e-1"].event_interval = 0.25
        self.site.servers["p-1"].behaviour = self._work
        self.work = itertools.cycle((1.0, 1.7, 1.3))
        store = proxy.Proxy(self.site.store_port)
        await store.start()
        self.addAsyncCleanup(store.stop)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.node = nodes.Node(
            "node-1", ports.own_host(), pathlib.Path(folder)
        )
        self.node.start(store)
        self.addAsyncCleanup(self.node.stop)
        self.numbers = itertools.count()
        self.requests: dict[str, Sent] = {}
        self.signalled_at = 0.0

    async def _work(self, req: web.Request) -> None:
        await asyncio.sleep(next(self.work))

    async def test_no_late_request_is_cut(self) -> None:
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(harness.WAIT_TIMEOUT):
                while not await self.node.is_ready(http):
                    await asyncio.sleep(0.05)
        self.signalled_at = time.monotonic()
        callers = [
            asyncio.create_task(self._call(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(0.1)
        self.signalled_at = time.monotonic()
        self.node.signal(signal.SIGTERM)
        await asyncio.sleep(1.0)
        # Neither changes the time that the node has left.
        self.node.signal(signal.SIGHUP)
        self.node.signal(signal.SIGTERM)
        process = self.node._process
        assert process is not None
        try:
            async with asyncio.timeout(GRACE - 1.0):
                await process.wait()
        except TimeoutError:
            self.node.signal(signal.SIGKILL)
        await asyncio.gather(*callers)
        executed = {
            request.headers["Attempt-Id"]
            for server in self.site.servers.values()
            for request in server.executed
        }
        lost = {
            attempt: request
            for attempt, request in self.requests.items()
            if request.end == "cut"
            and (attempt in executed or request.took > CLOSE_SLACK)
        }
        self.assertEqual({}, lost)
        untrue = {
            attempt: request
            for attempt, request in self.requests.items()
            if request.end == "503" and attempt in executed
        }
        self.assertEqual({}, untrue)
        ends = collections.Counter(
            (request.kind, request.end)
            for request in self.requests.values()
            if request.sent > 0
        )
        for kind in KINDS:
            self.assertLess(3, ends[kind, "200"], ends)
            self.assertLess(3, ends[kind, "503"], ends)

    async def test_slow_reader_gets_the_whole_answer(self) -> None:
        body = b"x" * 4_000_000

        async def large(req: web.Request) -> web.Response:
            headers = self.site.servers["p-1"].answer_headers(req)
            return web.Response(body=body, headers=headers)

        self.site.servers["p-1"].behaviour = large
        async with aiohttp.ClientSession() as http:
            async with asyncio.timeout(harness.WAIT_TIMEOUT):
                while not await self.node.is_ready(http):
                    await asyncio.sleep(0.05)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.node.host, self.node.caller_port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=65_536)
        self.addCleanup(writer.close)
        headers = site.request_headers("a-1", 2500)
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines = ["GET /once/x HTTP/1.1", *lines, "", ""]
        writer.write("\r\n".join(lines).encode())
        self.node.signal(signal.SIGTERM)
        # By then the node has no request to answer any more.
        await asyncio.sleep(3.0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1_000_000)
        answer = await asyncio.wait_for(reader.read(), 5)
        self.assertEqual(len(body), answer.count(b"x"), answer[:200])

    async def _call(self, number: int) -> None:
        """Send requests on kept connections until the grace is almost over."""
        kind = KINDS[number % len(KINDS)]
        async with aiohttp.ClientSession() as http:
            while time.monotonic() - self.signalled_at < LAST_SENT:
                await self._send(http, kind)
                await asyncio.sleep(0.05)

    async def _send(self, http: aiohttp.ClientSession, kind: str) -> None:
        attempt = f"a-{next(self.numbers)}"
        headers = site.request_headers(attempt, 3000)
        if kind == "stream":
            headers.update(site.STREAM_HEADERS)
        url = f"http://{self.node.host}:{self.node.caller_port}/{kind}/x"
        started = time.monotonic()
        try:
            async with http.post(url, headers=headers) as resp:
                body = await resp.read()
            end = str(resp.status)
            if kind == "stream" and end == "200" and b"piece 5" not in body:
                end = "cut"
        except aiohttp.ClientConnectorError:
            return
        except (aiohttp.ClientError, OSError):
            end = "cut"
        self.requests[attempt] = Sent(
            kind,
            started - self.signalled_at,
            time.monotonic() - started,
            end,
        )


class LastAnswers(harness.GatewayCase):
    """What a stopping node sends at the end of its grace period."""

    async def stop_gateway(self) -> None:
        """Stop as the program does at a signal."""
        with mock.patch.object(node, "BALANCER_DELAY", 0.1):
            await self.run_.gateway.drain()
        await self.run_.gateway.stop()

    async def send(self, text: str) -> asyncio.StreamReader:
        host, port = self.run_.gateway.addresses["callers"]
        reader, writer = await asyncio.open_connection(host, port)
        self.addAsyncCleanup(writer.wait_closed)
        self.addCleanup(writer.close)
        writer.write(text.encode())
        return reader

    async def test_open_requests_are_answered_truthfully(self) -> None:
        async def never(req: web.Request) -> None:
            await asyncio.sleep(30)

        for server in self.run_.site.servers.values():
            server.behaviour = never
        readers = {}
        for path, length in (
            ("once", 2),
            ("again", 2),
            ("stream", 2),
            ("unread", 3),
        ):
            headers = site.request_headers(f"a-{path}", 60_000)
            if path == "stream":
                headers.update(site.STREAM_HEADERS)
            lines = [f"{name}: {value}" for name, value in headers.items()]
            route = "once" if path == "unread" else path
            lines = [
                f"POST /{route}/x HTTP/1.1",
                *lines,
                f"Content-Length: {length}",
                "",
                "ab",
            ]
            readers[path] = await self.send("\r\n".join(lines))
        await self.run_.until(
            lambda: (
                len(self.server("p-1").executed) == 2
                and self.server("e-1").executed
            )
        )
        await self.stop_gateway()
        answers = {
            path: await asyncio.wait_for(reader.read(), 1)
            for path, reader in readers.items()
        }
        statuses = {
            path: answer.split(b" ")[1] if answer else b"cut"
            for path, answer in answers.items()
        }
        # A request that may be repeated may have failed before.
        self.assertIn(statuses.pop("again"), (b"502", b"504"))
        self.assertIn(statuses.pop("stream"), (b"502", b"504"))
        self.assertEqual({"once": b"504", "unread": b"503"}, statuses)
        for answer in answers.values():
            self.assertIn(b"Connection: close", answer)

    async def test_request_after_the_drain_reaches_no_server(self) -> None:
        with mock.patch.object(node, "BALANCER_DELAY", 0.1):
            await self.run_.gateway.drain()
        for path in ("/once/x", "/again/x"):
            async with self.run_.request("POST", path) as resp:
                self.assertEqual(503, resp.status)
        self.assertEqual([], self.server("p-1").executed)

    async def test_request_sent_before_the_last_answer_is_answered(
        self,
    ) -> None:
        async def work(req: web.Request) -> None:
            await asyncio.sleep(0.3)

        self.server("p-1").behaviour = work
        self.run_.gateway.frontend.begin_stop(5.0)
        text = ""
        for number in range(2):
            headers = site.request_headers(f"a-{number}", 2000)
            lines = [f"{name}: {value}" for name, value in headers.items()]
            text += "\r\n".join(["GET /once/x HTTP/1.1", *lines, "", ""])
        reader = await self.send(text)
        answers = await asyncio.wait_for(reader.read(), 3)
        self.assertEqual(2, answers.count(b"HTTP/1.1 200 OK"), answers)
        self.assertEqual(1, answers.count(b"Connection: close"), answers)

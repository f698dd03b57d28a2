"""Tests of crowds of callers that don't keep to anything.

Each runs a node in a process of its own with lowered limits. Crowd, limits
and bounds are fixed: what they let through isn't theirs to decide.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import pathlib
import socket
import tempfile
import unittest

import aiohttp
from aiohttp import web

from limpetwalk.gateway import buffers
from limpetwalk_bench.hub import raw_server
from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports
from limpetwalk_bench.soak import nodes
from limpetwalk_bench.soak import proxy

from . import harness

# Limits of the process under test, as in its settings. Idle, it occupies
# about 75 MB and 15 descriptors.
MEMORY_MB = 150
MAX_FDS = 400
BODY_BYTES = 4 * buffers.MIB
HEADER_BYTES = 16 * 1024
# Size of a piece in which a caller sends.
PIECE = b"x" * 65536
# Time without any progress after which a caller's sending counts as blocked,
# seconds; no bound of the product.
BLOCKED_TIMEOUT = 1.5

Send = Callable[["Caller"], AsyncIterator[bytes]]


def head(path: str, attempt: str, *lines: str) -> bytes:
    """Return the head of a request.

    :param lines: additional header lines.
    """
    headers = site.request_headers(attempt, harness.LONG_TIMEOUT_MS)
    usual = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(
        [f"POST {path} HTTP/1.1", *usual, *lines, "", ""]
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


class Caller:
    """Caller that sends bytes, and then keeps its connection open.

    :param number: number of the caller in its crowd.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self._writer: asyncio.StreamWriter | None = None

    def head(self, path: str, *lines: str) -> bytes:
        """Return the head of one of its requests."""
        return head(path, f"crowd-{self.number}", *lines)

    async def send(self, address: tuple[str, int], send: Send) -> None:
        """Send until all is sent, nothing is taken or the node closes."""
        with contextlib.suppress(OSError, TimeoutError):
            # No answer is read: the receive buffer is small.
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, address)
            reader, self._writer = await asyncio.open_connection(
                sock=sock, limit=1024
            )
            async for data in send(self):
                self._writer.write(data)
                async with asyncio.timeout(BLOCKED_TIMEOUT):
                    await self._writer.drain()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Node in a process of its own, with a backend server."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start({"p-1": site.PLAIN})
        config = site.config_row(version=2)
        config["limits"] = {
            "max_body_bytes": BODY_BYTES,
            "max_header_bytes": HEADER_BYTES,
        }
        for route in config["routes"]:
            route["timeout_ms"] = harness.LONG_TIMEOUT_MS
        await self.site.store.put("op", "config", config)
        store = proxy.Proxy(self.site.store_port)
        await store.start()
        self.addAsyncCleanup(store.stop)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.node = nodes.Node(
            "node-1", ports.own_host(), pathlib.Path(folder)
        )
        self.node.start(
            store, limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        )
        self.addAsyncCleanup(self.node.stop)
        self.callers: list[Caller] = []
        self.addCleanup(self.close_callers)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            while not await self.node.is_ready(self.http):
                await asyncio.sleep(0.1)

    def close_callers(self) -> None:
        for caller in self.callers:
            caller.close()

    async def send_crowd(self, size: int, send: Send) -> None:
        """Let callers send at once, until none of them sends any more."""
        self.callers = [Caller(number) for number in range(size)]
        address = (self.node.host, self.node.caller_port)
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            await asyncio.gather(
                *(caller.send(address, send) for caller in self.callers)
            )

    async def check_node(self) -> None:
        """Check that the node is within its limits, and serves a caller."""
        self._check_limits()
        await self._check_ordinary_request()
        self._check_limits()
        self.assertEqual(1, self.node.start_count)

    def _check_limits(self) -> None:
        self.assertLessEqual(self.node.peak_bytes, MEMORY_MB * 1e6)
        self.assertLessEqual(self.node.open_descriptors, MAX_FDS)

    async def _check_ordinary_request(self) -> None:
        url = f"http://{self.node.host}:{self.node.caller_port}/again/x"
        headers = site.request_headers("a-1", harness.LONG_TIMEOUT_MS)
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            while True:
                try:
                    async with self.http.post(
                        url, headers=headers, data=PIECE
                    ) as resp:
                        body = await resp.read()
                except aiohttp.ClientError:
                    # A refused or closed connection promises nothing.
                    await asyncio.sleep(0.1)
                    continue
                if resp.status != 503:
                    break
                await asyncio.sleep(float(resp.headers["Retry-After"]))
        self.assertEqual(200, resp.status)
        self.assertEqual(b"done " + PIECE, body)


class Bodies(CrowdCase):
    """Many bodies at once, which stop just short of their end."""

    async def test_single_bodies_of_the_largest_size_are_served(self) -> None:
        url = f"http://{self.node.host}:{self.node.caller_port}/again/x"
        for number in range(3):
            headers = site.request_headers(
                f"a-{number}", harness.LONG_TIMEOUT_MS
            )
            # The answer is a little larger than the body.
            async with self.http.post(
                url, headers=headers, data=bytes(BODY_BYTES - 10)
            ) as resp:
                self.assertEqual(200, resp.status)
                self.assertEqual(BODY_BYTES - 5, len(await resp.read()))
        await self.check_node()

    async def test_announced_bodies_at_once(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            length = f"Content-Length: {BODY_BYTES}"
            yield caller.head("/again/x", length) + bytes(BODY_BYTES - 1)

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_announced_bodies_piece_by_piece(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", f"Content-Length: {BODY_BYTES}")
            for _ in range(BODY_BYTES // len(PIECE) - 1):
                yield PIECE
                await asyncio.sleep(0.01)
            yield PIECE[1:]

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_large_chunks(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            for _ in range(BODY_BYTES // len(PIECE)):
                yield chunk(PIECE)

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_one_chunk(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            yield chunk(bytes(BODY_BYTES))[:-3]

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_small_chunks(self) -> None:
        block = chunk(b"x") * 10_000

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            for _ in range(10):
                yield block

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_small_chunks_of_requests_without_a_key(self) -> None:
        block = chunk(b"x") * 10_000

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            full = caller.head("/again/x", "Transfer-Encoding: chunked")
            yield full.replace(site.API_KEY.encode(), b"other")
            for _ in range(10):
                yield block

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_chunk_extensions_without_end(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            yield b"5;"
            for _ in range(16):
                yield PIECE

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_trailers_without_end(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            yield chunk(b"x") + b"0\r\n"
            for _ in range(100):
                yield b"Filler: 1\r\n" * 1000

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_bodies_over_the_limit_that_are_announced(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Content-Length: 1000000000000")
            for _ in range(3 * BODY_BYTES // len(PIECE)):
                yield PIECE

        await self.send_crowd(100, send)
        await self.check_node()

    async def test_bodies_over_the_limit_that_are_just_sent(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Transfer-Encoding: chunked")
            for _ in range(3 * BODY_BYTES // len(PIECE)):
                yield chunk(PIECE)

        await self.send_crowd(100, send)
        await self.check_node()


class WaitingRequests(CrowdCase):
    """Requests behind one that is being answered."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.ended = asyncio.Event()
        self.addCleanup(self.ended.set)

        async def wait(req: web.Request) -> None:
            if req.headers["Attempt-Id"].startswith("crowd"):
                await self.ended.wait()

        self.site.servers["p-1"].behaviour = wait

    async def test_bodies_behind_a_request(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/once/x", "Content-Length: 0")
            await asyncio.sleep(0.5)
            yield caller.head("/once/x", f"Content-Length: {BODY_BYTES}")
            for _ in range(BODY_BYTES // len(PIECE) - 1):
                yield PIECE

        await self.send_crowd(180, send)
        await self.check_node()

    async def test_small_chunks_behind_a_request(self) -> None:
        block = chunk(b"x") * 10_000

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/once/x", "Content-Length: 0")
            await asyncio.sleep(0.5)
            yield caller.head("/once/x", "Transfer-Encoding: chunked")
            for _ in range(100):
                yield block

        await self.send_crowd(180, send)
        await self.check_node()

    async def test_heads_behind_a_request(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/once/x", "Content-Length: 0")
            await asyncio.sleep(0.5)
            filler = "Filler: " + "x" * (HEADER_BYTES - 400)
            for _ in range(100):
                yield caller.head("/once/x", filler, "Content-Length: 0")

        await self.send_crowd(180, send)
        await self.check_node()


class Connections(CrowdCase):
    """More connections than the node has descriptors for."""

    async def test_idle_connections(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield b""

        await self.send_crowd(2 * MAX_FDS, send)
        await self.check_node()

    async def test_kept_connections(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Content-Length: 0")

        await self.send_crowd(2 * MAX_FDS, send)
        await self.check_node()

    async def test_heads_that_stop_short_of_their_end(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            filler = "Filler: " + "x" * (HEADER_BYTES - 400)
            yield caller.head("/again/x", filler)[:-2]

        await self.send_crowd(2 * MAX_FDS, send)
        await self.check_node()

    async def test_small_bodies_that_stop_short_of_their_end(self) -> None:
        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/again/x", "Content-Length: 100") + bytes(99)

        await self.send_crowd(2 * MAX_FDS, send)
        await self.check_node()


class SlowReaders(CrowdCase):
    """Callers and backend servers that don't read what they are sent."""

    async def test_callers_that_read_no_answer(self) -> None:
        async def answer(req: web.Request) -> web.Response | None:
            if not req.headers["Attempt-Id"].startswith("crowd"):
                return None
            headers = self.site.servers["p-1"].answer_headers(req)
            return web.Response(body=bytes(BODY_BYTES - 1), headers=headers)

        self.site.servers["p-1"].behaviour = answer

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            # Not all at once: incomplete answers have a bound of their own.
            await asyncio.sleep(caller.number * 0.05)
            yield caller.head("/again/x", "Content-Length: 0")
            await asyncio.sleep(1)

        await self.send_crowd(60, send)
        await self.check_node()

    async def test_callers_that_read_no_stream(self) -> None:
        event = b"id: %d\ndata: " + PIECE[:60_000] + b"\n\n"

        async def script(conn: raw_server.Connection) -> None:
            await conn.send(
                conn.head(
                    "Content-Type: text/event-stream",
                    "Confidence: 100",
                    "Connection: close",
                )
            )
            for number in range(1, 200):
                await conn.send(event % number)

        await self.site.add_raw_server("raw-1", site.ENGINE, script)
        await asyncio.sleep(1)
        stream = [f"{name}: {v}" for name, v in site.STREAM_HEADERS.items()]

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            yield caller.head("/stream/x", *stream, "Content-Length: 0")
            await asyncio.sleep(2)

        await self.send_crowd(60, send)
        await self.check_node()

    async def test_backend_servers_that_read_no_body(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(harness.WAIT_TIMEOUT)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        await self.site.store.put(
            "servers", "slow-1", site.server_row("slow", port)
        )
        config = site.config_row(version=3)
        config["backends"].append(
            {"name": "slow", "cold_start_s": 0.0, "cold_per_s": 0.0}
        )
        config["routes"].append(
            site.route(
                "slow",
                "non_idempotent",
                "slow",
                timeout_ms=harness.LONG_TIMEOUT_MS,
            )
        )
        config["limits"]["max_body_bytes"] = BODY_BYTES
        await self.site.store.put("op", "config", config)
        await asyncio.sleep(1)

        async def send(caller: Caller) -> AsyncIterator[bytes]:
            length = f"Content-Length: {BODY_BYTES}"
            yield caller.head("/slow/x", length) + bytes(BODY_BYTES)

        await self.send_crowd(100, send)
        await self.check_node()

"""Tests of the callers' API: invalid input, limits and connections."""

import asyncio
import dataclasses
import json
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from limpetwalk import refusals
from limpetwalk.conf import snapshot
from limpetwalk.gateway import memory_account
from limpetwalk_node import lifecycle
from limpetwalk_node.api import bodies
from limpetwalk_node.api import server

from . import fakes

CHAT = "/v1/chat/completions"
REASONS = {reason.value for reason in refusals.Reason}
VALID_BODY = json.dumps(
    {"model": "strong", "messages": [{"role": "user", "content": "x"}]}
).encode()


def head(
    method="POST", path=CHAT, key=fakes.KEY, length=None, extra=b""
) -> bytes:
    """Return the request line and headers, ended by an empty line."""
    lines = [f"{method} {path} HTTP/1.1", "Host: node"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + b"\r\n" + extra + b"\r\n"


class CallerApiTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        await self.node.start()
        self.addAsyncCleanup(self.node.stop)

    async def send(self, data, path=CHAT, **headers):
        async with self.node.http.post(
            path, data=data, headers=headers
        ) as resp:
            return resp.status, await resp.json()

    async def send_raw(self, *chunks, end=False):
        """Send chunks on one connection and return its first response."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.node.port
        )
        try:
            for chunk in chunks:
                writer.write(chunk)
                await writer.drain()
            if end:
                writer.write_eof()
            async with asyncio.timeout(10):
                return await read_response(reader)
        finally:
            writer.close()

    async def assert_healthy(self):
        status, _ = await self.send(VALID_BODY)
        self.assertEqual(200, status)
        self.assertTrue(self.node.lifecycle.is_ready(self.node.config))
        self.assertEqual(0, self.node.lifecycle.in_flight)


async def read_response(reader):
    """Return status and JSON body of the next response, None at the end."""
    line = await reader.readline()
    if not line:
        return None
    length = 0
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    body = await reader.readexactly(length)
    return int(line.split()[1]), json.loads(body)


class BadBody(CallerApiTestCase):
    async def test_refused_bodies(self):
        message = [{"role": "user", "content": "x"}]
        cases = [
            (b"", "malformed_body"),
            (b"{", "malformed_body"),
            (b"\xff\xfe", "malformed_body"),
            (b"[]", "malformed_body"),
            (b"[" * 100_00, "malformed_body"),
            (b'{"a":' + b"9" * 5000 + b"}", "malformed_body"),
            (b'{"model": "strong"}', "malformed_body"),
            (b'{"model": 3, "messages": []}', "malformed_body"),
            (
                {"model": "strong", "messages": message, "n": 2},
                "malformed_body",
            ),
            (
                {"model": "strong", "messages": message, "max_tokens": 0},
                "malformed_body",
            ),
            ({"model": "none", "messages": message}, "unknown_model"),
            (b"x" * 100_001, "body_too_large"),
        ]
        for content, reason in cases:
            data = (
                content if isinstance(content, bytes) else json.dumps(content)
            )
            with self.subTest(body=str(content)[:60]):
                status, body = await self.send(data)
                self.assertEqual(reason, body["error"]["reason"])
                self.assertEqual("not_run", body["error"]["run"])
                self.assertIn(status, (400, 404, 413))
        self.assertEqual([], self.node.engines.work_items)
        await self.assert_healthy()

    async def test_all_findings_are_in_one_message(self):
        _, body = await self.send(b'{"model": 3, "messages": "x"}')
        self.assertIn("model:", body["error"]["message"])
        self.assertIn("messages:", body["error"]["message"])

    async def test_chunked_body_over_the_limit(self):
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        status, body = await self.send_raw(
            head(extra=b"Transfer-Encoding: chunked\r\n"), chunk, chunk
        )
        self.assertEqual(413, status)
        self.assertEqual("body_too_large", body["error"]["reason"])
        await self.assert_healthy()

    async def test_body_that_is_not_compressed_as_declared(self):
        _, body = await self.send_raw(
            head(length=4, extra=b"Content-Encoding: gzip\r\n"), b"abcd"
        )
        self.assertIn(
            body["error"]["reason"], ("body_incomplete", "malformed_body")
        )
        await self.assert_healthy()

    async def test_body_that_stalls(self):
        with mock.patch.object(bodies, "STALL_TIMEOUT", 0.05):
            status, body = await self.send_raw(head(length=500), b'{"model"')
        self.assertEqual(408, status)
        self.assertEqual("body_incomplete", body["error"]["reason"])
        await self.assert_healthy()

    async def test_body_that_stops_half_way(self):
        cases = [
            (head(length=500), b'{"model"'),
            (head(extra=b"Transfer-Encoding: chunked\r\n"), b"5\r\nab"),
        ]
        for start, part in cases:
            with self.subTest(start=start[-40:]):
                self.assertIsNone(await self.send_raw(start, part, end=True))
        self.assertTrue(await self.node.lifecycle.wait_idle(5))
        self.assertEqual([], self.node.engines.work_items)
        await self.assert_healthy()


class BadHead(CallerApiTestCase):
    async def test_header_over_the_limit(self):
        long = b"X-A: " + b"a" * (server.HEADER_LIMIT_BYTES + 1) + b"\r\n"
        many = b"X-A: a\r\n" * (server.HEADERS_LIMIT + 1)
        for extra in (long, many):
            with self.subTest(size=len(extra)):
                status, body = await self.send_raw(head(length=0, extra=extra))
                self.assertEqual(431, status)
                self.assertEqual("headers_too_large", body["error"]["reason"])
        self.assertEqual(2, self.node.refusal_count("headers_too_large"))
        await self.assert_healthy()

    async def test_data_that_is_not_http(self):
        for data in (b"\x16\x03\x01\x02\r\n\r\n", b"GET\r\n\r\n"):
            with self.subTest(data=data):
                status, body = await self.send_raw(data)
                self.assertEqual(400, status)
                self.assertIn(body["error"]["reason"], REASONS)
        await self.assert_healthy()

    async def test_key(self):
        cases = [(None, "missing_key"), ("wrong", "wrong_key")]
        for key, reason in cases:
            with self.subTest(key=key):
                status, body = await self.send_raw(
                    head(key=key, length=len(VALID_BODY)), VALID_BODY
                )
                self.assertEqual(401, status)
                self.assertEqual(reason, body["error"]["reason"])
                self.assertEqual(1, self.node.refusal_count(reason))

    async def test_idempotency_key_and_timeout(self):
        cases = [
            {"Idempotency-Key": ""},
            {"Idempotency-Key": "k" * 300},
            {"X-Request-Timeout": "soon"},
            {"X-Request-Timeout": "-1"},
            {"X-Request-Timeout": "nan"},
        ]
        for headers in cases:
            with self.subTest(headers=headers):
                status, body = await self.send(VALID_BODY, **headers)
                self.assertEqual(400, status)
                self.assertEqual("malformed_body", body["error"]["reason"])

    async def test_unknown_path(self):
        status, body = await self.send(b"", path="/v2/other")
        self.assertEqual(404, status)
        self.assertEqual("unknown_route", body["error"]["reason"])


class Limits(CallerApiTestCase):
    def limit(self, **changes):
        cfg = self.node.config.applied.snapshot
        workspace = cfg.workspaces["bercvar"]
        limited = {
            field: getattr(workspace, field)
            for field in snapshot.Workspace.__slots__
        } | changes
        self.node.config.change(
            workspaces={"bercvar": snapshot.Workspace(**limited)}
        )

    async def test_rate(self):
        self.limit(rate=0.001)
        self.assertEqual(200, (await self.send(VALID_BODY))[0])
        status, body = await self.send(VALID_BODY)
        self.assertEqual(429, status)
        self.assertEqual("rate_limited", body["error"]["reason"])
        self.assertGreater(body["error"]["retry_after"], 900)

    async def test_concurrency(self):
        self.limit(concurrency=1)
        self.node.engines.gate = asyncio.Event()
        first = asyncio.create_task(self.send(VALID_BODY))
        await self.node.engines.reached.wait()
        status, body = await self.send(VALID_BODY)
        self.node.engines.gate.set()
        self.assertEqual(429, status)
        self.assertEqual("concurrency_limited", body["error"]["reason"])
        self.assertEqual(200, (await first)[0])
        await self.assert_healthy()


class Phases(CallerApiTestCase):
    async def test_refusals_in_each_state_of_the_node(self):
        async def refusal_reason():
            return (await self.send(VALID_BODY))[1]["error"]["reason"]

        self.node.config.fresh = False
        self.assertEqual("configuration_stale", await refusal_reason())
        applied, self.node.config.applied = self.node.config.applied, None
        self.assertEqual("not_ready", await refusal_reason())
        self.node.config.applied = applied
        self.node.config.fresh = True
        self.node.is_full = True
        self.assertEqual("store_unavailable", await refusal_reason())
        self.node.lifecycle.phase = lifecycle.Phase.DRAINING
        self.assertEqual("shutting_down", await refusal_reason())

    async def test_draining_node_closes_connections(self):
        self.node.lifecycle.phase = lifecycle.Phase.DRAINING
        async with self.node.http.post(CHAT, data=VALID_BODY) as resp:
            self.assertEqual("close", resp.headers["Connection"])

    async def test_error_of_the_router_is_typed(self):
        self.node.engines.failure = ZeroDivisionError("fault")
        status, body = await self.send(VALID_BODY)
        self.assertEqual(500, status)
        self.assertEqual("internal_error", body["error"]["reason"])
        self.assertEqual("unknown", body["error"]["run"])


HEADER_NAMES = st.sampled_from(
    [
        "X-Session",
        "X-Request-Class",
        "X-Request-Timeout",
        "Idempotency-Key",
        "Content-Type",
        "Content-Encoding",
        "Expect",
        "Connection",
        "X-Other",
    ]
)
HEADER_VALUES = st.one_of(
    st.sampled_from(["gzip", "100-continue", "1", "keep-alive", "k1.a.b"]),
    st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=40),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "role", "content", "n"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
CHATS = st.fixed_dictionaries(
    {},
    optional={
        "model": st.sampled_from(["strong", "assistant", "x"]) | JSON,
        "messages": st.lists(
            st.fixed_dictionaries(
                {"role": st.just("user"), "content": st.text() | JSON}
            ),
            max_size=2,
        )
        | JSON,
        "stream": st.just(False) | JSON,
        "metadata": JSON,
        "stream_options": JSON,
        "max_tokens": JSON,
    },
)
BODIES = st.one_of(
    st.binary(max_size=200),
    (CHATS | JSON).map(lambda data: json.dumps(data).encode()),
)
PATHS = st.sampled_from(
    [CHAT, "/v1/sessions", "/v1/models", "/services/registry/filings/1"]
)


class Fuzz(unittest.TestCase):
    """Sends generated requests.

    Each response must be an answer or a typed refusal, and the node must
    stay ready.
    """

    def setUp(self):
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.case = CallerApiTestCase()
        self.node = self.case.node = self.run_until_complete(self.start_node())
        self.addCleanup(lambda: self.run_until_complete(self.node.stop()))

    def run_until_complete(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def start_node(self):
        node = fakes.FakeNode(None)
        await node.start()
        return node

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.sampled_from(["GET", "POST", "PUT"]),
        PATHS,
        BODIES,
        st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=3),
        st.lists(st.integers(1, 400), max_size=3),
    )
    def test_any_request(self, method, path, content, headers, cuts):
        self.run_until_complete(
            self.check(method, path, content, headers, cuts)
        )

    async def check(self, method, path, content, headers, cuts):
        extra = b"".join(
            f"{name}: {value}\r\n".encode("latin-1") for name, value in headers
        )
        data = head(method, path, length=len(content), extra=extra) + content
        offsets = [0, *sorted(cuts), len(data)]
        chunks = [
            data[start:end]
            for start, end in zip(offsets, offsets[1:], strict=False)
        ]
        response = await self.case.send_raw(*chunks)
        self.assertIsNotNone(response)
        status, body = response
        if status >= 400:
            self.assertIn(body["error"]["reason"], REASONS)
            self.assertNotEqual("internal_error", body["error"]["reason"])
        self.assertTrue(self.node.lifecycle.is_ready(self.node.config))


class BodiesTogether(CallerApiTestCase):
    """More bodies of legal size than the node may hold."""

    size = 90_000

    async def asyncSetUp(self):
        await super().asyncSetUp()
        applied = self.node.config.applied
        cfg = dataclasses.replace(
            applied.snapshot,
            tuning=snapshot.Tuning(
                body_limit_bytes=100_000, bodies_limit_bytes=400_000
            ),
        )
        self.node.config.applied = dataclasses.replace(applied, snapshot=cfg)

    async def stall(self, number, extra, *chunks):
        """Send bodies that stop short of their end."""
        length = None if extra else self.size
        readers = []
        for _ in range(number):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.node.port
            )
            self.addCleanup(writer.close)
            writer.write(head(length=length, extra=extra))
            writer.writelines(chunks)
            readers.append(reader)
        return readers

    async def test_bodies_without_room_are_refused(self):
        for extra, chunks in (
            (b"", (b"x" * (self.size - 1),)),
            (
                b"Transfer-Encoding: chunked\r\n",
                (b"15f8f\r\n", b"x" * (self.size - 1)),
            ),
        ):
            with self.subTest(extra=extra):
                await self._check_refused(extra, chunks)

    async def _check_refused(self, extra, chunks):
        readers = await self.stall(4, extra, *chunks)
        async with asyncio.timeout(10):
            answers = [asyncio.create_task(read_response(r)) for r in readers]
            done, _ = await asyncio.wait(
                answers, return_when=asyncio.FIRST_COMPLETED
            )
        for answer in done:
            status, body = answer.result()
            self.assertEqual(503, status)
            self.assertEqual("memory_used", body["error"]["reason"])
            self.assertEqual("not_run", body["error"]["run"])
        self.assertLess(len(done), 4)
        await asyncio.sleep(memory_account.STALL_TIME + 0.1)
        status, _ = await self.send(VALID_BODY + b" " * self.size)
        self.assertEqual(200, status)
        for answer in answers:
            answer.cancel()

    async def test_room_is_free_once_requests_have_ended(self):
        for _ in range(10):
            status, _ = await self.send(VALID_BODY + b" " * self.size)
            self.assertEqual(200, status)

"""Tests of sound servers that pause in the middle of an answer."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time
from typing import Any
from unittest import mock

from aiohttp import web

from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import streaming

from . import harness

ALL_EVENTS = b"".join(server.event(number) for number in range(1, 6))
# Longest gap between two events of the route, and a pause beyond it, seconds.
LARGEST_GAP = 0.2
PAUSE = 0.7
# Time for which a server may go on after another one took over, seconds.
MAX_OVERLAP = 0.4


class SilentServer(harness.GatewayCase):
    """A server falls silent in a stream that another one may resume."""

    services = {"e-1": site.ENGINE, "e-2": site.ENGINE, "p-1": site.PLAIN}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.enterContext(
            mock.patch.object(streaming, "MIN_SILENCE_TIMEOUT", 0.1)
        )
        await self.configure(version=2, attempts=3)
        self.asked: list[str] = []
        self.ended_at: dict[str, float] = {}

    async def configure(
        self, version: int, attempts: int, slo_ms: float = 200
    ) -> None:
        """Put a configuration into force.

        :param attempts: servers that the stream may be sent to.
        :param slo_ms: target latency of the stream's first event.
        """
        config = site.config_row(version=version)
        config["routes"][0].update(
            attempts=attempts, itl_slo_ms=LARGEST_GAP * 1000, slo_ms=slo_ms
        )
        await self.run_.site.store.put("op", "config", config)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == version)

    def serve(
        self,
        first: Callable[[web.Request], Awaitable[web.StreamResponse | None]],
        others: Callable[[web.Request], Awaitable[web.StreamResponse | None]],
    ) -> None:
        """Set what the first server that is asked does, and the others."""

        async def behave(req: web.Request) -> web.StreamResponse | None:
            server_id = req.headers["Target-Instance"]
            self.asked.append(server_id)
            try:
                return await (first if len(self.asked) == 1 else others)(req)
            finally:
                self.ended_at[server_id] = time.monotonic()

        for server_id in ("e-1", "e-2"):
            self.server(server_id).behaviour = behave

    @contextlib.asynccontextmanager
    async def answer(
        self, req: web.Request
    ) -> AsyncIterator[web.StreamResponse]:
        """Start a stream of events."""
        engine = self.server(req.headers["Target-Instance"])
        resp = web.StreamResponse(
            headers={
                **engine.answer_headers(req),
                "Confidence": "100",
                "Content-Type": "text/event-stream",
            }
        )
        await resp.prepare(req)
        yield resp
        await resp.write_eof()

    async def pause(self, req: web.Request) -> web.StreamResponse:
        """Send two events, pause, and send the others."""
        async with self.answer(req) as resp:
            await resp.write(server.event(1) + server.event(2))
            await asyncio.sleep(PAUSE)
            for number in range(3, 6):
                await resp.write(server.event(number))
        return resp

    async def hang(self, req: web.Request) -> web.StreamResponse:
        """Send two events and nothing more."""
        async with self.answer(req) as resp:
            await resp.write(server.event(1) + server.event(2))
            await asyncio.sleep(30)
        return resp

    async def reject(self, req: web.Request) -> web.StreamResponse:
        """Reject a request as a server without room does."""
        return web.Response(status=503, headers={"Not-Executed": "1"})

    async def wait(self, req: web.Request) -> web.StreamResponse:
        """Don't answer."""
        await asyncio.sleep(30)
        raise AssertionError

    async def rest(self, req: web.Request) -> None:
        """Answer as usual."""
        return None

    async def rest_late(self, req: web.Request) -> None:
        """Answer as usual, after the first server's silence counts."""
        await asyncio.sleep(PAUSE)

    async def read(self) -> bytes:
        """Return the stream that a caller gets."""
        async with self.run_.stream() as resp:
            self.assertEqual(200, resp.status)
            return await resp.read()

    async def test_stream_without_a_replacement_survives_a_pause(self) -> None:
        self.serve(self.pause, self.reject)
        self.assertEqual(ALL_EVENTS, await self.read())

    async def test_stream_goes_on_while_the_replacement_waits(self) -> None:
        self.serve(self.pause, self.wait)
        self.assertEqual(ALL_EVENTS, await self.read())
        self.assertEqual(2, len(self.asked))
        await self.run_.until(lambda: len(self.ended_at) == 2)

    async def test_silent_server_is_replaced_and_ended(self) -> None:
        self.serve(self.hang, self.rest)
        began = time.monotonic()
        self.assertEqual(ALL_EVENTS, await self.read())
        self.assertLess(time.monotonic() - began, 1.0)
        silent, replacement = self.asked
        await self.run_.until(lambda: len(self.ended_at) == 2)
        overlap = self.ended_at[silent] - self.ended_at[replacement]
        self.assertLess(overlap, MAX_OVERLAP)

    async def test_late_first_event_is_forwarded_after_refusals(self) -> None:
        async def late(req: web.Request) -> None:
            await asyncio.sleep(PAUSE)

        self.serve(late, self.reject)
        self.assertEqual(ALL_EVENTS, await self.read())

    async def test_comments_of_a_silent_server_add_no_lines(self) -> None:
        await self.configure(version=3, attempts=1)

        async def comment(req: web.Request) -> web.StreamResponse:
            async with self.answer(req) as resp:
                await resp.write(server.event(1))
                for _ in range(50):
                    await resp.write(b": wait\n\n")
                    await asyncio.sleep(PAUSE / 50)
                for number in range(2, 6):
                    await resp.write(server.event(number))
            return resp

        self.serve(comment, self.rest)
        self.assertEqual(ALL_EVENTS, await self.read())
        considered = self.run_.lines.events("request.silent")
        self.assertLessEqual(len(considered), PAUSE / LARGEST_GAP + 1)

    async def test_pause_counts_from_the_last_event(self) -> None:
        await self.configure(version=3, attempts=3, slo_ms=1500)
        self.serve(self.hang, self.rest)
        began = time.monotonic()
        self.assertEqual(ALL_EVENTS, await self.read())
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_replacement_that_ends_after_its_head_costs_no_answer(
        self,
    ) -> None:
        async def break_off(req: web.Request) -> web.StreamResponse:
            async with self.answer(req) as resp:
                await asyncio.sleep(0.1)
                assert req.transport is not None
                req.transport.abort()
            return resp

        await self.configure(version=3, attempts=2)
        self.serve(self.pause, break_off)
        self.assertEqual(ALL_EVENTS, await self.read())
        self.assertEqual(2, len(self.asked))

    async def test_error_of_a_search_costs_no_answer(self) -> None:
        dispatcher = self.run_.gateway.dispatcher
        start = dispatcher.start

        async def fail_second(*args: Any) -> Any:
            if self.asked:
                raise OverflowError("port must be 0-65535")
            return await start(*args)

        self.serve(self.pause, self.rest)
        with mock.patch.object(dispatcher, "start", fail_second):
            self.assertEqual(ALL_EVENTS, await self.read())
        errors = self.run_.lines.events("error.unexpected")
        self.assertTrue(errors)
        for error in errors:
            self.assertIn("OverflowError", error["error"])

    async def test_error_within_a_stream_closes_the_connection(self) -> None:
        self.serve(self.rest, self.rest)
        with mock.patch.object(
            streaming.Relay, "is_new", side_effect=[True, KeyError("id")]
        ):
            reader, writer = await asyncio.open_connection(
                *self.run_.gateway.addresses["callers"]
            )
            headers = {
                **site.request_headers("a-1", 2000),
                **site.STREAM_HEADERS,
            }
            head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            writer.write(f"GET /stream/x HTTP/1.1\r\n{head}\r\n".encode())
            async with asyncio.timeout(2.0):
                received = await reader.read()
            writer.close()
        self.assertEqual(1, received.count(b"HTTP/1.1"), received)
        self.assertNotIn(b"\r\n0\r\n", received)

    async def test_server_given_up_before_its_head_counts_as_failed(
        self,
    ) -> None:
        self.serve(self.wait, self.rest_late)
        self.assertEqual(ALL_EVENTS, await self.read())
        silent = self.asked[0]
        await self.run_.until(
            lambda: self.run_.lines.events("request.try_ended")
        )
        (ended,) = self.run_.lines.events("request.try_ended")
        self.assertEqual(
            (silent, "unknown"), (ended["server"], ended["outcome"])
        )
        member = self.run_.gateway.cluster_state.fleet.get(silent)
        self.assertEqual(1, member.health.failures_in_row)
        self.assertEqual(0, member.health.in_flight)

    async def test_replacement_that_is_not_needed_counts_as_no_failure(
        self,
    ) -> None:
        await self.configure(version=3, attempts=3, slo_ms=1500)
        self.serve(self.pause, self.wait)
        self.assertEqual(ALL_EVENTS, await self.read())
        unused = self.asked[1]
        await self.run_.until(lambda: unused in self.ended_at)
        member = self.run_.gateway.cluster_state.fleet.get(unused)
        self.assertEqual(0, member.health.failures_in_row)
        self.assertEqual(0, member.health.in_flight)

    async def test_requests_end_when_the_caller_leaves(self) -> None:
        self.serve(self.hang, self.wait)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.6):
                await self.read()
        self.assertEqual(2, len(self.asked))
        await self.run_.until(lambda: len(self.ended_at) == 2)


class SilentPlainServer(harness.GatewayCase):
    """A plain service answers late, while the others have no room."""

    services = {"e-1": site.ENGINE, "p-1": site.PLAIN, "p-2": site.PLAIN}

    async def test_late_answer_is_delivered_after_refusals(self) -> None:
        asked = []

        async def behave(req: web.Request) -> web.StreamResponse | None:
            asked.append(req)
            if len(asked) > 1:
                return web.Response(status=503, headers={"Not-Executed": "1"})
            await asyncio.sleep(1.2)
            return None

        for server_id in ("p-1", "p-2"):
            self.server(server_id).behaviour = behave
        async with self.run_.request("GET", "/again/x") as resp:
            self.assertEqual(200, resp.status)
        self.assertEqual(2, len(asked))

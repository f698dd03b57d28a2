"""Tests of streams through a complete gateway, and of its stop."""

import asyncio
import json
from unittest import mock

import aiohttp
from aiohttp import web

from limpetwalk_bench.hub import server
from limpetwalk_bench.hub import site
from limpetwalk_node.gateway import streaming

from . import harness


class Stream(harness.GatewayCase):
    """Streams of events through the gateway."""

    services = {"e-1": site.ENGINE, "e-2": site.ENGINE, "p-1": site.PLAIN}
    all_events = b"".join(server.event(number) for number in range(1, 6))

    async def test_events_are_forwarded_unchanged(self) -> None:
        async with self.run_.stream() as resp:
            self.assertEqual(200, resp.status)
            self.assertIn("Server-Seal", resp.headers)
            self.assertEqual(self.all_events, await resp.read())

    async def test_smallest_model_is_asked_first(self) -> None:
        async with self.run_.stream() as resp:
            await resp.read()
        executed_requests = (
            self.server("e-1").executed + self.server("e-2").executed
        )
        self.assertEqual(
            ["small"],
            [request.headers["Model"] for request in executed_requests],
        )

    async def test_answer_of_low_confidence_is_escalated_to_a_larger_model(
        self,
    ) -> None:
        for server_id in ("e-1", "e-2"):
            self.server(server_id).confidence = {"small": 10}
        async with self.run_.stream() as resp:
            self.assertEqual(self.all_events, await resp.read())
        executed_requests = (
            self.server("e-1").executed + self.server("e-2").executed
        )
        self.assertEqual(
            {"small", "large"},
            {request.headers["Model"] for request in executed_requests},
        )

    async def test_dropped_answer_counts_as_a_request_of_its_version(
        self,
    ) -> None:
        """A bad version's exposure counts all requests that reach it."""
        for server_id in ("e-1", "e-2"):
            self.server(server_id).confidence = {"small": 10}
        async with self.run_.stream() as resp:
            await resp.read()
        tallies = self.run_.gateway.dispatcher.version_tallies
        report = json.loads(tallies.report_json(site.ENGINE, "v2", ""))
        self.assertEqual(2, report["base"]["successes"])

    async def test_smaller_model_is_asked_again_when_no_larger_one_answers(
        self,
    ) -> None:
        async def reject_large(req: web.Request) -> web.StreamResponse | None:
            if req.headers["Model"] == "large":
                return web.Response(status=503, headers={"Not-Executed": "1"})
            return None

        for server_id in ("e-1", "e-2"):
            self.server(server_id).confidence = {"small": 10}
            self.server(server_id).behaviour = reject_large
        async with self.run_.stream() as resp:
            self.assertEqual(200, resp.status)
            self.assertEqual(self.all_events, await resp.read())

    async def test_broken_stream_is_resumed_at_another_server(
        self,
    ) -> None:
        async def cut(req: web.Request) -> web.StreamResponse | None:
            if "Last-Event-Id" in req.headers:
                return None
            engine = self.server(req.headers["Target-Instance"])
            resp = web.StreamResponse(
                headers={**engine.answer_headers(req), "Confidence": "100"}
            )
            await resp.prepare(req)
            await resp.write(server.event(1) + server.event(2) + b"id: 3\nda")
            await asyncio.sleep(0.05)
            assert req.transport is not None
            req.transport.abort()
            return resp

        for server_id in ("e-1", "e-2"):
            self.server(server_id).behaviour = cut
        async with self.run_.stream() as resp:
            self.assertEqual(self.all_events, await resp.read())
        executed_requests = (
            self.server("e-1").executed + self.server("e-2").executed
        )
        resumed = [
            request
            for request in executed_requests
            if "Last-Event-Id" in request.headers
        ]
        self.assertEqual(
            ["2"], [request.headers["Last-Event-Id"] for request in resumed]
        )

    async def test_stream_that_cannot_be_resumed_never_looks_complete(
        self,
    ) -> None:
        async def cut(req: web.Request) -> web.StreamResponse | None:
            if "Last-Event-Id" in req.headers:
                return web.Response(status=503, headers={"Not-Executed": "1"})
            engine = self.server(req.headers["Target-Instance"])
            resp = web.StreamResponse(
                headers={**engine.answer_headers(req), "Confidence": "100"}
            )
            await resp.prepare(req)
            await resp.write(server.event(1))
            await asyncio.sleep(0.05)
            assert req.transport is not None
            req.transport.abort()
            return resp

        for server_id in ("e-1", "e-2"):
            self.server(server_id).behaviour = cut
        async with self.run_.stream() as resp:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await resp.read()

    async def test_silence_does_not_end_the_last_attempt(self) -> None:
        async def pause(req: web.Request) -> web.StreamResponse | None:
            engine = self.server(req.headers["Target-Instance"])
            first = int(req.headers.get("Last-Event-Id", "0")) + 1
            resp = web.StreamResponse(
                headers={**engine.answer_headers(req), "Confidence": "100"}
            )
            await resp.prepare(req)
            await resp.write(server.event(first))
            # Longer than the largest gap between events of the route.
            await asyncio.sleep(0.5)
            for number in range(first + 1, 6):
                await resp.write(server.event(number))
            await resp.write_eof()
            return resp

        config = site.config_row(version=2)
        config["routes"][0].update(attempts=2, itl_slo_ms=200)
        await self.run_.site.store.put("op", "config", config)
        state = self.run_.gateway.cluster_state
        await self.run_.until(lambda: state.catalog.version == 2)
        for server_id in ("e-1", "e-2"):
            self.server(server_id).behaviour = pause
        with mock.patch.object(streaming, "MIN_SILENCE_TIMEOUT", 0.1):
            async with self.run_.stream() as resp:
                self.assertEqual(self.all_events, await resp.read())

    async def test_work_stops_when_the_caller_leaves(self) -> None:
        stopped = asyncio.Event()

        async def slow(req: web.Request) -> web.StreamResponse | None:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                stopped.set()
                raise
            return None

        for server_id in ("e-1", "e-2"):
            self.server(server_id).behaviour = slow
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                async with self.run_.stream():
                    pass
        async with asyncio.timeout(2):
            await stopped.wait()


class LimitedServer(harness.GatewayCase):
    """A server that names how many requests it takes."""

    services = {"e-1": site.ENGINE, "e-2": site.ENGINE}

    async def test_limited_server_gets_no_more_than_it_named(self) -> None:
        self.server("e-1").extra_headers = {"Server-Limit": "1.5"}
        statuses = []
        for number in range(40):
            async with self.run_.stream(Attempt_Id=f"a-{number}") as resp:
                await resp.read()
                statuses.append(resp.status)
        self.assertEqual({200}, set(statuses))
        # The first request was sent before any answer named the limit.
        times = [req.received_at for req in self.server("e-1").received[1:]]
        most = max(
            sum(1 for at in times if start <= at < start + 4.0)
            for start in times
        )
        self.assertLessEqual(most, 8)
        (limited,) = self.run_.lines.events("server.limited")
        self.assertEqual(("e-1", 1.5), (limited["server"], limited["per_s"]))


class BrittleServers(harness.GatewayCase):
    """Servers that fall over when they reject too many requests."""

    services = {"e-1": site.ENGINE, "e-2": site.ENGINE}

    async def call(self, number: int) -> int:
        """Send a request, and return the status of its answer."""
        await asyncio.sleep(0.04 * number)
        async with self.run_.stream(Attempt_Id=f"a-{number}") as resp:
            await resp.read()
            return resp.status

    async def test_brittle_servers_do_not_fall_over(self) -> None:
        servers = [self.server(server_id) for server_id in self.services]
        for brittle in servers:
            brittle.event_interval = 0.2
            brittle.brittleness = server.Brittleness(room=4, rejections=2)
        statuses = await asyncio.gather(*map(self.call, range(75)))
        falls = [b.brittleness.falls for b in servers if b.brittleness]
        self.assertEqual([[], []], falls)
        self.assertEqual({200, 503}, set(statuses))
        # Half of what both servers can answer in the three seconds.
        self.assertGreaterEqual(statuses.count(200), 12)


class Stopping(harness.GatewayCase):
    """The gateway is drained."""

    async def test_open_stream_is_finished_and_connections_close(
        self,
    ) -> None:
        self.server("e-1").event_interval = 0.1
        async with self.run_.stream() as resp:
            stop = asyncio.create_task(self.run_.gateway.drain())
            await asyncio.sleep(0.01)
            self.assertFalse(self.run_.gateway.readiness.ready)
            self.assertTrue((await resp.read()).endswith(server.event(5)))
        async with self.run_.request("POST", "/once/x") as resp:
            self.assertEqual("close", resp.headers["Connection"].lower())
        await stop

    async def test_late_stream_is_refused_with_retry_after(self) -> None:
        self.run_.gateway.frontend.closing = True
        self.run_.gateway.frontend.refusing_late = True
        async with self.run_.stream() as resp:
            self.assertEqual(503, resp.status)
            self.assertIn("Retry-After", resp.headers)
        self.assertEqual([], self.server("e-1").received)

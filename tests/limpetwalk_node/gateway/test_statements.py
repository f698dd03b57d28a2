"""Tests of servers that leave, or want nothing for a while."""

import asyncio
import time

from aiohttp import web

from limpetwalk_bench.hub import site

from . import harness

# Time after which a pause must be kept, and the largest number of requests
# that may arrive in it; bounds of the users' rule.
SLACK = 0.5
MAX_ARRIVALS = 2


class StatementCase(harness.GatewayCase):
    """Gateway with two plain servers."""

    services = {"p-1": site.PLAIN, "p-2": site.PLAIN}

    async def send(self, path: str = "/again/x") -> web.Response:
        async with self.run_.request("GET", path) as resp:
            await resp.read()
            return resp

    def arrivals(self, server_id: str, since: float) -> int:
        return sum(
            received.received_at >= since
            for received in self.server(server_id).received
        )


class LeavingServer(StatementCase):
    """A server says so in its answers, and its entry doesn't."""

    async def leave(self, server_id: str) -> None:
        """Send requests, of which some tell that a server leaves."""
        self.server(server_id).extra_headers["Server-Leaving"] = "1"
        for _ in range(20):
            self.assertEqual(200, (await self.send()).status)

    async def test_server_gets_no_request_after_it_has_said_so(self) -> None:
        await self.leave("p-1")
        since = time.monotonic()
        for _ in range(30):
            self.assertEqual(200, (await self.send()).status)
        self.assertEqual(0, self.arrivals("p-1", since))

    async def test_later_entry_of_the_same_start_changes_nothing(
        self,
    ) -> None:
        await self.leave("p-1")
        await self.put_entry("p-1", seq=9, slots=4)
        since = time.monotonic()
        for _ in range(30):
            await self.send()
        self.assertEqual(0, self.arrivals("p-1", since))

    async def put_entry(self, server_id: str, **changes: int) -> None:
        """Write an entry, and wait until the node has read it."""
        row = site.server_row(
            site.PLAIN, self.run_.site.ports[server_id], **changes
        )
        await self.run_.site.store.put("servers", server_id, row)
        state = self.run_.gateway.cluster_state

        def is_known() -> bool:
            member = state.fleet.get(server_id)
            return member is not None and member.entry.sequence == 9

        await self.run_.until(is_known)

    async def test_server_that_starts_again_gets_requests(self) -> None:
        await self.leave("p-1")
        self.server("p-1").extra_headers.clear()
        await self.put_entry("p-1", seq=9, born=2)
        since = time.monotonic()
        for _ in range(30):
            await self.send()
        self.assertGreater(self.arrivals("p-1", since), 0)

    async def test_no_server_is_asked_once_all_leave(self) -> None:
        await self.leave("p-1")
        self.server("p-2").extra_headers["Server-Leaving"] = "1"
        await self.send()
        began = time.monotonic()
        resp = await self.send()
        self.assertEqual(503, resp.status)
        self.assertLess(time.monotonic() - began, 0.3)


class PausedServer(StatementCase):
    """A server rejects a request, and wants nothing for a while."""

    def pause(self, server_id: str, seconds: str) -> None:
        async def reject(req: web.Request) -> web.Response:
            headers = self.server(server_id).answer_headers(req)
            headers.update({"Not-Executed": "1", "Retry-After": seconds})
            return web.Response(status=503, headers=headers)

        self.server(server_id).behaviour = reject

    async def test_server_gets_nothing_until_the_time_is_over(self) -> None:
        self.pause("p-1", "1.5")
        for _ in range(20):
            self.assertEqual(200, (await self.send()).status)
        since = time.monotonic()
        while time.monotonic() < since + 1.2:
            await asyncio.gather(*(self.send() for _ in range(4)))
            await asyncio.sleep(0.02)
        self.assertLessEqual(self.arrivals("p-1", since + SLACK), MAX_ARRIVALS)
        self.server("p-1").behaviour = None
        since = time.monotonic()
        async with asyncio.timeout(5):
            while not self.arrivals("p-1", since):
                await self.send()

    async def test_callers_are_refused_at_once_while_all_want_nothing(
        self,
    ) -> None:
        for server_id in self.services:
            self.pause(server_id, "30")
        await self.send()
        since = time.monotonic()
        for _ in range(20):
            began = time.monotonic()
            resp = await self.send()
            self.assertEqual(503, resp.status)
            self.assertLess(time.monotonic() - began, 0.3)
            self.assertGreater(float(resp.headers["Retry-After"]), 0.5)
        for server_id in self.services:
            self.assertEqual(0, self.arrivals(server_id, since))

    async def test_odd_times_change_nothing(self) -> None:
        for seconds in ("soon", "-1", "0", "nan", ""):
            self.pause("p-1", seconds)
            for _ in range(4):
                self.assertEqual(200, (await self.send()).status)
        self.assertEqual([], self.run_.lines.events("server.statement"))

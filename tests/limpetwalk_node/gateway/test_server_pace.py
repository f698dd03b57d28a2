"""Tests of the pace of servers that start, at a node."""

from aiohttp import web

from limpetwalk_bench.hub import site

from . import harness


class StartedServer(harness.GatewayCase):
    """One of two engines becomes cold while it serves."""

    services = {"e-1": site.ENGINE, "e-2": site.ENGINE}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        row = site.server_row(
            site.ENGINE, self.run_.site.ports["e-2"], cold_left_ms=400, seq=2
        )
        await self.run_.site.store.put("servers", "e-2", row)

        def is_cold() -> bool:
            member = self.run_.gateway.cluster_state.fleet.get("e-2")
            return member is not None and member.entry.cold_left > 0

        await self.run_.until(is_cold)
        # The other engine is loaded, so this one is preferred.
        self.run_.gateway.dispatcher.server_loads.start_request("e-1", 1.0)

    async def stream_until(self, state: str) -> list[str]:
        """Send requests until a state is reported; return all of them."""
        states: list[str] = []

        async def send() -> None:
            async with self.run_.stream() as resp:
                await resp.read()

        while state not in states:
            await send()
            states = [
                event["state"]
                for event in self.run_.lines.events("server.pace")
                if event["server"] == "e-2"
            ]
        return states

    async def test_it_grows_until_it_is_full(self) -> None:
        states = await self.stream_until("full")
        self.assertEqual(["cold", "growing", "full"], states)

    async def test_rejections_hold_it_back_and_other_nodes_hear_of_them(
        self,
    ) -> None:
        async def reject(req: web.Request) -> web.Response:
            headers = self.server("e-2").answer_headers(req)
            headers["Not-Executed"] = "1"
            return web.Response(status=503, headers=headers)

        self.server("e-2").behaviour = reject
        states = await self.stream_until("back")
        self.assertNotIn("full", states)
        loads = self.run_.gateway.dispatcher.server_loads
        self.assertGreater(loads.total_rejected("e-2"), 0)

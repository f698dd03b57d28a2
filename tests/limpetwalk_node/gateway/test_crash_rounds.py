"""Tests of one request that crashes servers at several nodes at once."""

import asyncio
import itertools
import time

from aiohttp import web

from limpetwalk_bench.hub import site

from . import links

# Time from the start of a run to the crash, and from a crash to the start of
# a new server in the same place, in seconds.
CRASH_DELAY = 0.1
DOWN_TIME = 0.4
# Time after the third crash from which requests count, and the largest number
# of them; bounds of the users' rule.
CONTACT_TIME = 3.0
MAX_LATE_ARRIVALS = 3
# Pause between two copies of the request in one round, in seconds.
COPY_INTERVAL = 0.04
BAD, GOOD = "/again/bad", "/again/good"


class RepeatedRequest(links.LinksCase):
    """Callers send the same request to three nodes, in rounds."""

    services = {"p-1": site.PLAIN, "p-2": site.PLAIN, "p-3": site.PLAIN}
    names = ("node-1", "node-2", "node-3")

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.numbers = itertools.count()
        self.down: set[str] = set()
        self.crashes: list[float] = []
        self.arrivals: list[float] = []
        self.replacements: list[asyncio.Task[None]] = []
        for server_id in self.services:
            self.let_crash(server_id)

    def let_crash(self, server_id: str) -> None:
        """Let the bad request crash a server."""

        async def crash(req: web.Request) -> None:
            if req.path != BAD:
                return
            self.arrivals.append(time.monotonic())
            await asyncio.sleep(CRASH_DELAY)
            if server_id not in self.down:
                self.down.add(server_id)
                self.crashes.append(time.monotonic())
                self.replacements.append(
                    asyncio.create_task(self.replace(server_id))
                )
                await self.site.crash_server(server_id)
            await asyncio.sleep(1)

        self.server(server_id).behaviour = crash

    async def replace(self, server_id: str) -> None:
        """Start a new server in the place of one that crashed."""
        await asyncio.sleep(DOWN_TIME)
        await self.site.store.remove("servers", server_id)
        new_id = f"{server_id}+"
        await self.site.add_server(new_id, site.PLAIN)
        self.let_crash(new_id)

    async def send(self, node: int, path: str = BAD) -> int:
        headers = {"Attempt-Id": f"a-{next(self.numbers)}"}
        async with self.nodes[node].request(
            "GET", path, headers=headers
        ) as resp:
            await resp.read()
            return resp.status

    async def send_round(self) -> None:
        """Send the request to all nodes, and wait for new servers."""
        copies = []
        for node in range(len(self.nodes)):
            copies.append(asyncio.create_task(self.send(node)))
            await asyncio.sleep(COPY_INTERVAL)
        await asyncio.gather(*copies)
        await asyncio.gather(*self.replacements)
        self.replacements.clear()
        await asyncio.sleep(0.2)

    async def test_request_that_crashes_all_servers_in_rounds_is_blocked(
        self,
    ) -> None:
        while len(self.crashes) < 3:
            await self.send_round()
        bound = self.crashes[2] + CONTACT_TIME
        await asyncio.sleep(bound - time.monotonic())
        for _ in range(4):
            await self.send_round()
        late = [at for at in self.arrivals if at > bound]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, self.crashes)
        for node in range(len(self.nodes)):
            self.assertEqual(502, await self.send(node))
            self.assertEqual(200, await self.send(node, GOOD))

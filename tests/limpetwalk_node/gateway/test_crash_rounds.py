"""Tests of one request that crashes servers at several nodes at once."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import os
import random
import time
from typing import Any

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
BAD, GOOD = "/again/bad", "/again/good"


class CrashCase(links.LinksCase):
    """Three nodes before three plain servers that one request crashes."""

    down_time = DOWN_TIME
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
            # A connection that was accepted in that moment is still open.
            if req.transport is not None:
                req.transport.abort()
            await asyncio.sleep(1)

        self.server(server_id).behaviour = crash

    async def replace(self, server_id: str) -> None:
        """Start a new server in the place of one that crashed."""
        await asyncio.sleep(self.down_time)
        await self.site.store.remove("servers", server_id)
        new_id = f"{server_id}+"
        await self.site.add_server(new_id, site.PLAIN)
        self.let_crash(new_id)

    async def send(
        self, node: int, path: str = BAD, attempt: str = "a"
    ) -> int:
        headers = {"Attempt-Id": f"{attempt}-{next(self.numbers)}"}
        async with self.nodes[node].request(
            "GET", path, headers=headers
        ) as resp:
            await resp.read()
            if path.startswith(BAD):
                self.assertNotEqual(200, resp.status)
            return resp.status


class RepeatedRequest(CrashCase):
    """Callers send the same request to all nodes, in rounds."""

    # Pause between two copies of the request in one round, in seconds.
    copy_interval = 0.04

    async def send_round(self) -> None:
        """Send the request to all nodes, and wait for new servers."""
        copies = []
        for node in range(len(self.nodes)):
            copies.append(asyncio.create_task(self.send(node)))
            await asyncio.sleep(self.copy_interval)
        await asyncio.gather(*copies)
        await asyncio.gather(*self.replacements)
        self.replacements.clear()
        await asyncio.sleep(0.2)

    async def test_request_that_crashes_all_servers_in_rounds_is_blocked(
        self,
    ) -> None:
        await self.check_rounds()

    async def test_request_that_crashes_all_servers_at_once_is_blocked(
        self,
    ) -> None:
        self.copy_interval = 0.01
        await self.check_rounds()

    async def check_rounds(self) -> None:
        """Check that few copies arrive later than the bound allows."""
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


class PowerLoss(CrashCase):
    """All servers go down at once, with a popular request at each of them."""

    async def test_popular_request_is_served_as_soon_as_servers_are_back(
        self,
    ) -> None:
        async def wait(req: web.Request) -> None:
            await asyncio.sleep(1)

        for _ in range(2):
            servers = [
                server_id
                for server_id in self.site.servers
                if server_id not in self.down
            ]
            for server_id in servers:
                self.server(server_id).behaviour = wait
            copies = [
                asyncio.create_task(self.send(node, GOOD))
                for node in range(len(self.nodes))
                for _ in range(4)
            ]
            await self.nodes[0].until(
                lambda servers=servers: all(
                    self.server(server_id).received for server_id in servers
                )
            )
            self.down.update(servers)
            for server_id in servers:
                await self.site.crash_server(server_id)
            await asyncio.gather(*copies)
            await asyncio.gather(*(self.replace(id_) for id_ in servers))
            await asyncio.sleep(0.2)
            for node in range(len(self.nodes)):
                self.assertEqual(200, await self.send(node, GOOD))
        for run in self.nodes:
            self.assertGreater(len(run.lines.events("request.suspected")), 0)
            self.assertEqual([], run.lines.events("request.blocked"))


class CrashSoak(CrashCase):
    """Callers send the same request at random instants."""

    down_time = 2.0
    # Requests a second that crash servers, and others, and time in which they
    # are sent, in seconds.
    bad_rate, good_rate = 4.0, 12.0
    length = float(os.environ.get("CRASH_SOAK_SECONDS", "8"))
    seeds = os.environ.get("CRASH_SOAK_SEEDS", "4")

    async def test_repeats_stay_in_their_bound_and_sound_requests_are_served(
        self,
    ) -> None:
        first, _, last = self.seeds.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, rng: random.Random) -> None:
        bad_path = f"{BAD}?{rng.random()}"
        self.crashes.clear()
        self.arrivals.clear()
        until = time.monotonic() + self.length

        async def send_bad(node: int) -> None:
            """Send the request as a caller that tries once more."""
            if await self.send(node, bad_path) == 502:
                await self.send(rng.randrange(len(self.nodes)), bad_path)

        async def send_good(node: int) -> None:
            await self.send(node, GOOD, "sound")

        async def send_all(
            rate: float, send: Callable[[int], Coroutine[Any, Any, None]]
        ) -> None:
            async with asyncio.TaskGroup() as group:
                while time.monotonic() < until:
                    await asyncio.sleep(rng.expovariate(rate))
                    group.create_task(send(rng.randrange(len(self.nodes))))

        await asyncio.gather(
            send_all(self.bad_rate, send_bad),
            send_all(self.good_rate, send_good),
        )
        await asyncio.gather(*self.replacements)
        self.replacements.clear()
        bound = self.crashes[2] + CONTACT_TIME
        late = [at for at in self.arrivals if at > bound]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, self.crashes)
        for run in self.nodes:
            for line in run.lines.events("request.blocked"):
                self.assertFalse(line["request"].startswith("sound"), line)
        for node in range(len(self.nodes)):
            self.assertEqual(502, await self.send(node, bad_path))
            self.assertEqual(200, await self.send(node, GOOD))

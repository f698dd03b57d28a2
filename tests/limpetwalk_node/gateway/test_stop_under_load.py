"""Tests of a planned stop while callers go on sending."""

import asyncio
import collections
from collections.abc import Iterable
import itertools
import pathlib
import signal
import tempfile
import time
import unittest

import aiohttp

from limpetwalk_bench.hub import site
from limpetwalk_bench.site import ports
from limpetwalk_bench.soak import checks
from limpetwalk_bench.soak import nodes
from limpetwalk_bench.soak import proxy

from . import harness

CALLERS = 30
# Number of answers after which the node is told to stop.
MIN_ANSWERED = 200
# Time after the signal in which callers may not know of it yet, seconds.
LATE_AFTER = 3.0
# Time for which a process is suspended, seconds: within its grace period.
SUSPENSION = 2.0


class StopUnderLoad(unittest.IsolatedAsyncioTestCase):
    """A node in a process of its own gets SIGTERM under load."""

    async def asyncSetUp(self) -> None:
        self.site = site.Site()
        self.addAsyncCleanup(self.site.stop)
        await self.site.start({"e-1": site.ENGINE, "p-1": site.PLAIN})
        self.site.servers["e-1"].event_interval = 0.05
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
        self.ends: dict[str, str] = {}
        self.stopping = False
        self.resumed = False
        self.sent_after: set[str] = set()

    async def test_request_after_a_suspension_is_not_cut_by_the_kill(
        self,
    ) -> None:
        callers = await self._start_callers()
        self.node.signal(signal.SIGSTOP)
        self.signalled_at = time.monotonic()
        stop = asyncio.create_task(self.node.terminate())
        await asyncio.sleep(SUSPENSION)
        self.node.signal(signal.SIGCONT)
        self.resumed = True
        await stop
        self.stopping = True
        await asyncio.gather(*callers)
        ends = self._ends_of(self.sent_after)
        self.assertEqual(set(), ends["cut"] & self._executed_in_time())
        self.assertEqual(set(), ends["refused"] & self._executed())
        self.assertTrue(ends["refused"])

    async def test_no_request_that_was_taken_is_cut(self) -> None:
        callers = await self._start_callers()
        self.stopping = True
        self.signalled_at = time.monotonic()
        self.node.signal(signal.SIGTERM)
        await asyncio.gather(*callers)
        ends = self._ends_of(self.ends)
        self.assertGreater(len(ends["answered"]), MIN_ANSWERED)
        self.assertEqual(set(), ends["cut"] & self._executed_in_time())
        self.assertEqual(set(), ends["refused"] & self._executed())
        self.assertEqual(
            {"answered", "refused", "unreached", "cut"},
            set(ends) | {"answered", "refused", "unreached", "cut"},
        )

    def _ends_of(
        self, attempts: Iterable[str]
    ) -> collections.defaultdict[str, set[str]]:
        """Return attempts by their ends."""
        ends = collections.defaultdict(set)
        for attempt in attempts:
            ends[self.ends[attempt]].add(attempt)
        return ends

    def _executed(self) -> set[str]:
        """Return the attempts that servers have executed."""
        return {
            request.headers["Attempt-Id"]
            for server in self.site.servers.values()
            for request in server.executed
        }

    def _executed_in_time(self) -> set[str]:
        """Return the executed attempts that a stop must not cut.

        It may cut those that were sent soon after the signal, if a server is
        still at work in the last part of the grace.
        """
        last_part = self.signalled_at + nodes.GRACE * checks.GRACE_SHARE
        return self._executed() - {
            request.headers["Attempt-Id"]
            for server in self.site.servers.values()
            for request in server.executed
            if request.ended_at > last_part
            and request.received_at <= self.signalled_at + LATE_AFTER
        }

    async def _start_callers(self) -> list["asyncio.Task[None]"]:
        """Wait for the node, and send requests until many were answered."""
        async with asyncio.timeout(harness.WAIT_TIMEOUT):
            async with aiohttp.ClientSession() as http:
                while not await self.node.is_ready(http):
                    await asyncio.sleep(0.05)
            callers = [
                asyncio.create_task(self._call(number))
                for number in range(CALLERS)
            ]
            while len(self._ends_of(self.ends)["answered"]) <= MIN_ANSWERED:
                await asyncio.sleep(0.05)
        return callers

    async def _call(self, number: int) -> None:
        """Send requests, until the node takes no more connections."""
        connector = aiohttp.TCPConnector(force_close=number % 2 == 0)
        async with aiohttp.ClientSession(connector=connector) as http:
            while True:
                attempt = f"a-{next(self.numbers)}"
                if self.resumed:
                    self.sent_after.add(attempt)
                self.ends[attempt] = end = await self._send(
                    http, attempt, number % 3 == 0
                )
                if end == "unreached" and self.stopping:
                    return
                await asyncio.sleep(0.002)

    async def _send(
        self, http: aiohttp.ClientSession, attempt: str, stream: bool
    ) -> str:
        headers = site.request_headers(attempt, 2000)
        path = "once/x"
        if stream:
            headers.update(site.STREAM_HEADERS)
            path = "stream/x"
        url = f"http://{self.node.host}:{self.node.caller_port}/{path}"
        try:
            async with http.post(url, headers=headers) as resp:
                body = await resp.read()
        except aiohttp.ClientConnectorError:
            return "unreached"
        except (aiohttp.ClientError, OSError):
            return "cut"
        if resp.status == 503:
            return "refused"
        whole = resp.status == 200 and (not stream or b"piece 5" in body)
        return "answered" if whole else f"status {resp.status}"

"""Tests of the operators' interface."""

import unittest

import aiohttp
from aiohttp import web

from limpetwalk_node import lifecycle

from . import fakes


class Interface(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = fakes.FakeNode(None)
        app = self.node.interfaces.operators.application()
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        port = runner.addresses[0][1]
        self.http = aiohttp.ClientSession(f"http://127.0.0.1:{port}")
        self.addAsyncCleanup(self.http.close)

    async def status(self, path):
        async with self.http.get(path) as resp:
            return resp.status

    async def test_readiness(self):
        phases = lifecycle.Phase
        for phase in phases:
            self.node.lifecycle.phase = phase
            with self.subTest(phase=phase):
                ready = 200 if phase is phases.SERVING else 503
                self.assertEqual(ready, await self.status("/ready"))
                self.assertEqual(200, await self.status("/live"))

    async def test_not_ready_without_a_confirmed_configuration(self):
        self.node.config.fresh = False
        self.assertEqual(503, await self.status("/ready"))
        self.node.config.fresh = True
        self.node.config.applied = None
        self.assertEqual(503, await self.status("/ready"))

    async def test_metrics_and_status(self):
        async with self.http.get("/metrics") as resp:
            self.assertIn("limpetwalk_refusals_total", await resp.text())
        async with self.http.get("/status") as resp:
            self.assertEqual({"name": "node-1"}, await resp.json())

    async def test_put_configuration(self):
        cases = [
            ("/config/2", b"{}", 200),
            ("/config/1", b"{}", 409),
            ("/config/2", b"{", 400),
            ("/config/x", b"{}", 404),
        ]
        for path, data, expected in cases:
            with self.subTest(path=path, data=data):
                async with self.http.put(path, data=data) as resp:
                    self.assertEqual(expected, resp.status)

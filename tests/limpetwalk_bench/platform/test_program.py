"""Tests of the stand-ins as a process, and of their control endpoint."""

import asyncio
import json
import signal
import sys
import unittest

import aiohttp

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import factory
from limpetwalk.providers import settings

START_TIMEOUT = 30.0
KEY = base.RowKey("p", "k")
INSTANCE = {
    "name": "e1",
    "kind": "entry",
    "address": "127.0.0.1:7001",
    "zone": "a",
}


class ProgramTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "limpetwalk_bench.providers",
            "--port=0",
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop)
        line = await asyncio.wait_for(
            self.process.stdout.readline(), START_TIMEOUT
        )
        ready = json.loads(line)
        self.assertTrue(ready["ready"])
        self.urls = {
            name: f"http://127.0.0.1:{port}"
            for name, port in ready["ports"].items()
        }
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    async def stop(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), START_TIMEOUT)
        self.assertEqual(0, code)

    async def post_control(self, body):
        url = self.urls["control"] + "/_control"
        async with self.http.post(url, json=body) as resp:
            return resp.status

    async def fetch_stats(self):
        async with self.http.get(self.urls["control"] + "/_stats") as resp:
            return await resp.json()

    async def open_platform(self):
        cfg = settings.PlatformSettings.model_validate(
            {
                "table": {"endpoint": self.urls["table"], "timeout": 5},
                "objects": {"endpoint": self.urls["objects"]},
                "instances": {"url": self.urls["instances"] + "/instances"},
                "ratings": {"url": self.urls["ratings"] + "/rate"},
            }
        )
        platform = await factory.open_platform(cfg)
        self.addAsyncCleanup(platform.close)
        return platform

    async def test_services_faults_and_counts(self):
        platform = await self.open_platform()
        self.assertIsNone(await platform.table.get(KEY))
        self.assertIsNone(await platform.objects.get("a"))
        self.assertEqual(200, await self.post_control({"add": [INSTANCE]}))
        instances = await platform.instances.fetch()
        self.assertEqual(["e1"], [instance.name for instance in instances])
        await self.post_control({"remove": ["e1"]})
        self.assertEqual([], await platform.instances.fetch())

        table_fault = {"service": "table", "faults": {"down": True}}
        await self.post_control(table_fault)
        with self.assertRaises(exceptions.StoreUnavailable):
            await platform.table.transact([base.Put(KEY, "{}", 0)], "w")
        table_fault["faults"]["down"] = False
        await self.post_control(table_fault)
        self.assertIsNone(await platform.table.get(KEY))
        counts = (await self.fetch_stats())["table"]
        self.assertEqual({"GetItem": 2}, counts)

    async def test_malformed_control_changes_nothing(self):
        for body in (
            {"service": "table", "faults": {"dwon": True}},
            {"service": "tables", "faults": {"down": True}},
            {"faults": {"down": True}},
            {"service": "table", "faults": {"refuse": 2.0}},
            {"lag": -1},
            [],
        ):
            with self.subTest(body=body):
                self.assertEqual(400, await self.post_control(body))

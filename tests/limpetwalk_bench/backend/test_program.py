"""Tests of the engine and service stand-ins as processes."""

import asyncio
import json
import signal
import sys
import unittest

import aiohttp

TIMEOUT_SECONDS = 30.0


class ProgramTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, module: str) -> dict[str, int]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            "--set",
            "name=first",
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.stop, process)
        assert process.stdout is not None
        line = await asyncio.wait_for(
            process.stdout.readline(), TIMEOUT_SECONDS
        )
        return json.loads(line)["ports"]

    async def stop(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(process.wait(), TIMEOUT_SECONDS)
        self.assertEqual(0, code)

    async def test_control_stays_up_through_crash_and_restart(self):
        for module in ("limpetwalk_bench.engine", "limpetwalk_bench.service"):
            with self.subTest(module):
                ports = await self.start(module)
                load = f"http://127.0.0.1:{ports['http']}/load"
                control = f"http://127.0.0.1:{ports['control']}/_control"
                async with aiohttp.ClientSession() as session:
                    before = await self.fetch_boot_id(session, load)
                    await self.send_fault(session, control, "crash")
                    with self.assertRaises(aiohttp.ClientConnectorError):
                        await self.fetch_boot_id(session, load)
                    await self.send_fault(session, control, "restart")
                    after = await self.fetch_boot_id(session, load)
                    status = await self.send_fault(
                        session, control, "unheard-of"
                    )
                self.assertNotEqual(before, after)
                self.assertEqual(400, status)

    async def fetch_boot_id(
        self, session: aiohttp.ClientSession, url: str
    ) -> str:
        async with session.get(url) as resp:
            return (await resp.json())["boot_id"]

    async def send_fault(
        self, session: aiohttp.ClientSession, url: str, fault: str
    ) -> int:
        async with session.post(url, json={"fault": fault}) as resp:
            return resp.status

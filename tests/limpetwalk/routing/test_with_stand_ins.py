"""Tests of dispatchers and clients against simulated engines over TCP."""

import asyncio
import random
import time
import unittest

from limpetwalk import clock as clocks
from limpetwalk import metrics
from limpetwalk import refusals
from limpetwalk.backends import base
from limpetwalk.backends import openai
from limpetwalk.conf import snapshot
from limpetwalk.routing import cold_permits
from limpetwalk.routing import dispatchers
from limpetwalk.routing import quarantine
from limpetwalk.routing import replicas
from limpetwalk.routing import work
from limpetwalk_bench.engine import app
from limpetwalk_bench.engine import settings
from tests.limpetwalk.backends import backend_fixtures

WARM = snapshot.WarmUp(100, 0.0)


class StandInTest(unittest.IsolatedAsyncioTestCase):
    async def engines(self, count: int, **cfg) -> list[app.EngineApp]:
        values = {"start_cold": False, "base_ms": 2.0, "slope_ms": 0.1} | cfg
        started = []
        for _ in range(count):
            engine = app.EngineApp(settings.EngineSettings(**values))
            await engine.start()
            self.addAsyncCleanup(engine.close)
            started.append(engine)
        return started

    def node(
        self,
        engines: list[app.EngineApp],
        limits: snapshot.WarmUp = WARM,
        nodes: int = 1,
        seed: int = 1,
    ) -> dispatchers.EngineDispatcher:
        servers = {
            f"e{number}": backend_fixtures.server(
                f"e{number}", engine.listener.port, warmup=limits
            )
            for number, engine in enumerate(engines)
        }
        state = snapshot.PlacementState.IN
        live = {"v1": snapshot.VersionState.LIVE}
        snap = snapshot.Snapshot(
            "digest",
            {"small": snapshot.Model("small", live, "v1", 1, 1)},
            servers,
            {},
            {},
            {},
            {},
            {"z1": snapshot.Zone("z1", "region", state)},
            (),
            snapshot.Tuning(retry_share=1.0),
        )
        applied = snapshot.AppliedSnapshot(1, snap)
        node = dispatchers.EngineDispatcher(
            lambda: applied,
            cold_permits.LocalPermits(lambda: nodes),
            quarantine.Quarantine(),
            clocks.SystemClock(),
            metrics.Metrics(),
            random.Random(seed),
        )
        self.addAsyncCleanup(node.close)
        return node

    async def ask(
        self, node: dispatchers.EngineDispatcher, prompt: str, tokens: int = 30
    ) -> str:
        item = work.EngineWork(
            f"r-{prompt}",
            backend_fixtures.VERSION,
            backend_fixtures.chat(prompt, tokens),
            1,
            time.monotonic() + 20.0,
        )
        events = [event async for event in node.complete(item)]
        assert isinstance(events[-1], base.Finished)
        deltas = [event for event in events if isinstance(event, base.Delta)]
        return "".join(delta.text for delta in deltas)

    async def test_streams_are_complete_despite_the_crash_of_a_server(self):
        engines = await self.engines(3)
        node = self.node(engines)
        prompts = [f"question {number}" for number in range(12)]
        expected = [await self.ask(node, prompt) for prompt in prompts]
        tasks = [asyncio.create_task(self.ask(node, text)) for text in prompts]
        async with asyncio.timeout(10):
            while not any(
                job.position > 2 for job in engines[0].engine.batch.running
            ):
                await asyncio.sleep(0)
        engines[0].engine.crash()
        self.assertEqual(expected, await asyncio.gather(*tasks))

    async def test_a_poison_request_crashes_two_servers_and_fails_alone(self):
        engines = await self.engines(5)
        node = self.node(engines)
        prompts = [f"question {number}" for number in range(10)]
        tasks = [asyncio.create_task(self.ask(node, text)) for text in prompts]
        for _ in range(3):
            with self.assertRaises(refusals.Refused) as caught:
                await self.ask(node, "[[crash]]")
        reason = caught.exception.refusal.reason
        self.assertIs(refusals.Reason.QUARANTINED, reason)
        crashes = sum(engine.engine.crashes for engine in engines)
        self.assertEqual(2, crashes)
        answers = await asyncio.gather(*tasks)
        self.assertTrue(all(answers))

    async def test_many_nodes_stay_within_a_cold_allowance(self):
        limits = snapshot.WarmUp(9, 60.0)
        engines = await self.engines(
            1, start_cold=True, cold_allowance=9, warm_after=60.0
        )
        nodes = [
            self.node(engines, limits, nodes=9, seed=seed) for seed in range(9)
        ]
        tasks = [
            asyncio.create_task(self.ask(node, f"question {number}", 5))
            for number, node in enumerate(nodes * 4)
        ]
        await asyncio.gather(*tasks)
        cold_start = engines[0].engine.cold_start
        self.assertEqual(0, cold_start.overloads)
        self.assertLessEqual(cold_start.peak_in_flight, 9)

    async def test_boot_ids_are_updated_from_load_reports(self):
        engines = await self.engines(2)
        node = self.node(engines)
        for replica in node.core.directory.current().by_name.values():
            report = await replica.client.fetch_load()
            replica.apply_load_report(report, time.monotonic())
            self.assertEqual(report.boot_id, replica.boot.boot_id)
            self.assertIsInstance(replica, replicas.Replica)
            self.assertIsInstance(replica.client, openai.OpenAIClient)

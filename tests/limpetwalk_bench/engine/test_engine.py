"""Tests of orders, prefix cache and batch of the engine stand-in."""

import asyncio
import random
import unittest

import aiohttp
from aiohttp import web

from limpetwalk import clock as clocks
from limpetwalk_bench.backend import listener
from limpetwalk_bench.backend import runs
from limpetwalk_bench.engine import app
from limpetwalk_bench.engine import batch
from limpetwalk_bench.engine import prefix_cache
from limpetwalk_bench.engine import settings


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **cfg) -> app.EngineApp:
        engine = app.EngineApp(
            settings.EngineSettings(load_seconds=0.0, **cfg)
        )
        self.ports = await engine.start()
        self.addAsyncCleanup(engine.close)
        return engine

    async def send_order(self, fencing: int, kind: str, target: str) -> int:
        body = {"fencing": fencing, "kind": kind, "target": target}
        url = f"http://127.0.0.1:{self.ports['http']}/orders"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=body) as resp:
                return resp.status

    async def test_old_fencing_is_refused_or_ignored_by_setting(self):
        for fencing, expected in ((True, 409), (False, 202)):
            with self.subTest(fencing):
                await self.start(fencing=fencing)
                status = await self.send_order(7, "set_role", "prefill")
                self.assertEqual(202, status)
                status = await self.send_order(6, "set_role", "decode")
                self.assertEqual(expected, status)

    async def test_malformed_order_is_rejected(self):
        await self.start()
        self.assertEqual(400, await self.send_order(1, "dance", "x"))
        self.assertEqual(400, await self.send_order(-1, "set_role", "x"))

    async def test_weights_are_fetched_again_when_the_store_is_busy(self):
        requested_paths = []

        async def weights(req: web.Request) -> web.Response:
            requested_paths.append(req.path)
            if len(requested_paths) == 1:
                return web.Response(status=429, headers={"Retry-After": "0"})
            return web.Response(body=b"weights")

        store_app = web.Application()
        store_app.router.add_get("/{name}", weights)
        store = listener.Listener(store_app, "127.0.0.1", 0)
        await store.start()
        self.addAsyncCleanup(store.close)
        engine = await self.start(weights_url=f"http://127.0.0.1:{store.port}")
        await self.send_order(1, "load_version", "small:v2")
        async with asyncio.timeout(5):
            while "small:v2" not in engine.engine.orders.serves:
                await asyncio.sleep(0)
        self.assertEqual(["/small:v2", "/small:v2"], requested_paths)


class PrefixCacheTest(unittest.TestCase):
    def cache(self, gap: float = 0.0) -> prefix_cache.PrefixCache:
        self.clock = clocks.ManualClock()
        return prefix_cache.PrefixCache(
            2, 4, 1.0, gap, self.clock, random.Random(1)
        )

    def test_shared_prefix_is_cached_up_to_the_first_difference(self):
        cache = self.cache()
        cache.store(cache.hashes("a b c d".split()))
        self.assertEqual(4, cache.cached_tokens(cache.hashes(list("abcde"))))
        self.assertEqual(2, cache.cached_tokens(cache.hashes(list("abxy"))))
        self.assertEqual(0, cache.cached_tokens(cache.hashes(list("xbcd"))))

    def test_least_recently_used_blocks_are_evicted_first(self):
        cache = self.cache()
        cache.store(cache.hashes(list("abcd")))
        cache.store(cache.hashes(list("wxyz")))
        cache.cached_tokens(cache.hashes(list("abcd")))
        cache.store(cache.hashes(list("mn")))
        self.assertEqual(4, cache.cached_tokens(cache.hashes(list("abcd"))))
        self.assertEqual(0, cache.cached_tokens(cache.hashes(list("wx"))))

    def test_events_are_late_and_some_are_lost(self):
        cache = self.cache(gap=0.5)
        for number in range(40):
            cache.store(cache.hashes([str(number), "x"]))
        self.assertEqual([], cache.events(0))
        self.clock.advance(1.0)
        sequence_numbers = [event["seq"] for event in cache.events(0)]
        self.assertEqual(sorted(sequence_numbers), sequence_numbers)
        self.assertLess(len(sequence_numbers), sequence_numbers[-1])


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_priority_precedes_order_of_arrival(self):
        cfg = settings.EngineSettings(max_batch=1, base_ms=1.0)
        clock = clocks.SystemClock()
        cache = prefix_cache.PrefixCache(16, 8, 0, 0, clock, random.Random(1))
        engine_batch = batch.Batch(cfg, cache, clock)
        jobs = [
            batch.Job(runs.Run(name, name, "v"), priority, ["x"], ["t"])
            for name, priority in (("late", 2), ("first", 0), ("then", 1))
        ]
        for job in jobs:
            engine_batch.submit(job)
        engine_batch.start()
        self.addAsyncCleanup(engine_batch.close)
        await asyncio.gather(*(job.token_queue.get() for job in jobs))
        finished_jobs = sorted(jobs, key=lambda job: job.run.finished or 0.0)
        names = [job.run.request_id for job in finished_jobs]
        self.assertEqual(["first", "then", "late"], names)

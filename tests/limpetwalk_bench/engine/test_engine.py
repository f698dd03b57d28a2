"""Tests of the engine stand-in beside its contract of answers."""

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

    async def order(self, fencing: int, kind: str, target: str) -> int:
        body = {"fencing": fencing, "kind": kind, "target": target}
        url = f"http://127.0.0.1:{self.ports['http']}/orders"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=body) as resp:
                return resp.status

    async def test_old_fencing_is_refused_or_ignored_by_setting(self):
        for fencing, expected in ((True, 409), (False, 202)):
            with self.subTest(fencing):
                await self.start(fencing=fencing)
                status = await self.order(7, "set_role", "prefill")
                self.assertEqual(202, status)
                status = await self.order(6, "set_role", "decode")
                self.assertEqual(expected, status)

    async def test_a_malformed_order_is_told(self):
        await self.start()
        self.assertEqual(400, await self.order(1, "dance", "x"))
        self.assertEqual(400, await self.order(-1, "set_role", "x"))

    async def test_weights_are_fetched_again_when_the_store_is_busy(self):
        asked = []

        async def weights(req: web.Request) -> web.Response:
            asked.append(req.path)
            if len(asked) == 1:
                return web.Response(status=429, headers={"Retry-After": "0"})
            return web.Response(body=b"weights")

        held = web.Application()
        held.router.add_get("/{name}", weights)
        store = listener.Listener(held, "127.0.0.1", 0)
        await store.start()
        self.addAsyncCleanup(store.close)
        engine = await self.start(weights_url=f"http://127.0.0.1:{store.port}")
        await self.order(1, "load_version", "small:v2")
        async with asyncio.timeout(5):
            while "small:v2" not in engine.engine.orders.serves:
                await asyncio.sleep(0)
        self.assertEqual(["/small:v2", "/small:v2"], asked)


class PrefixCacheTest(unittest.TestCase):
    def cache(self, gap: float = 0.0) -> prefix_cache.PrefixCache:
        self.clock = clocks.ManualClock()
        return prefix_cache.PrefixCache(
            2, 4, 1.0, gap, self.clock, random.Random(1)
        )

    def test_a_shared_head_is_cached_up_to_where_prompts_differ(self):
        cache = self.cache()
        cache.store(cache.hashes("a b c d".split()))
        self.assertEqual(4, cache.cached_tokens(cache.hashes(list("abcde"))))
        self.assertEqual(2, cache.cached_tokens(cache.hashes(list("abxy"))))
        self.assertEqual(0, cache.cached_tokens(cache.hashes(list("xbcd"))))

    def test_the_least_recently_used_blocks_go_first(self):
        cache = self.cache()
        cache.store(cache.hashes(list("abcd")))
        cache.store(cache.hashes(list("wxyz")))
        cache.cached_tokens(cache.hashes(list("abcd")))
        cache.store(cache.hashes(list("mn")))
        self.assertEqual(4, cache.cached_tokens(cache.hashes(list("abcd"))))
        self.assertEqual(0, cache.cached_tokens(cache.hashes(list("wx"))))

    def test_events_come_late_and_with_gaps(self):
        cache = self.cache(gap=0.5)
        for number in range(40):
            cache.store(cache.hashes([str(number), "x"]))
        self.assertEqual([], cache.events(0))
        self.clock.advance(1.0)
        seen = [event["seq"] for event in cache.events(0)]
        self.assertEqual(sorted(seen), seen)
        self.assertLess(len(seen), seen[-1])


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_priority_goes_before_order_of_arrival(self):
        cfg = settings.EngineSettings(max_batch=1, base_ms=1.0)
        clock = clocks.SystemClock()
        cache = prefix_cache.PrefixCache(16, 8, 0, 0, clock, random.Random(1))
        held = batch.Batch(cfg, cache, clock)
        jobs = [
            batch.Job(runs.Run(name, name, "v"), priority, ["x"], ["t"])
            for name, priority in (("late", 2), ("first", 0), ("then", 1))
        ]
        for job in jobs:
            held.submit(job)
        held.start()
        self.addAsyncCleanup(held.close)
        await asyncio.gather(*(job.token_queue.get() for job in jobs))
        ended = sorted(jobs, key=lambda job: job.run.finished or 0.0)
        names = [job.run.request_id for job in ended]
        self.assertEqual(["first", "then", "late"], names)

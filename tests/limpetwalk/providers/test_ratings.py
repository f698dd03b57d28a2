"""Contract tests of the rating service, for the fake and the client."""

import dataclasses
import unittest

from limpetwalk import exceptions
from limpetwalk.providers import base
from limpetwalk.providers import memory
from limpetwalk.providers import ratings
from limpetwalk_bench.engine import completions
from limpetwalk_bench.engine import settings as engine
from limpetwalk_bench.providers import faults
from limpetwalk_bench.providers import ratings as standin

from . import harness

Fault = harness.Fault
REQUEST = base.RatingRequest("r1", "quick", "small", "v1", "why?", "so")
TIMEOUT = 5.0  # seconds


class RatingContract:
    """Tests that every rating service passes."""

    service: base.RatingService
    faults: tuple[Fault, ...]

    async def set_fault(self, fault):
        raise NotImplementedError

    async def test_score_is_between_0_and_1_and_repeatable(self):
        score = await self.service.rate(REQUEST, TIMEOUT)
        self.assertTrue(0.0 <= score <= 1.0)
        self.assertEqual(score, await self.service.rate(REQUEST, TIMEOUT))

    async def test_rating_during_a_fault(self):
        for fault in self.faults:
            with self.subTest(fault=fault.value):
                await self.set_fault(fault)
                with self.assertRaises(exceptions.RatingUnavailable):
                    await self.service.rate(REQUEST, TIMEOUT)
                await self.set_fault(None)


class MemoryRatingsTest(RatingContract, unittest.IsolatedAsyncioTestCase):
    faults = (Fault.DOWN,)

    async def asyncSetUp(self):
        self.service = memory.MemoryRatings(lambda req: 0.5)

    async def set_fault(self, fault):
        self.service.unavailable = fault is not None


class HttpRatingsTest(RatingContract, unittest.IsolatedAsyncioTestCase):
    faults = tuple(
        fault
        for fault in Fault
        if fault not in (Fault.ANSWER_LOST, Fault.SLOW)
    )

    async def asyncSetUp(self):
        self.remote = harness.Remote()
        await self.remote.start()
        self.addAsyncCleanup(self.remote.stop)
        self.service = ratings.HttpRatingService(
            self.remote.settings().ratings
        )
        await self.service.open()
        self.addAsyncCleanup(self.service.close)

    async def set_fault(self, fault):
        await self.remote.set_fault(faults.ServiceName.RATINGS, fault)

    async def test_slow_rating_times_out(self):
        await self.set_fault(Fault.SLOW)
        with self.assertRaises(exceptions.RatingUnavailable):
            await self.service.rate(REQUEST, 0.1)


class RatingStandInTest(unittest.TestCase):
    def setUp(self):
        self.service = standin.RatingStandIn(None, seed=1)

    def score(self, **changes):
        question = {**dataclasses.asdict(REQUEST), **changes}
        return self.service.score(standin.Question.model_validate(question))

    def test_quality_in_the_answer_overrides_the_table(self):
        self.assertEqual(0.25, self.score(answer="x [q=0.25]"))

    def test_quality_in_an_engines_answer_is_the_score(self):
        cfg = engine.EngineSettings(quality={"small:v1": {"": 0.37}})
        body = {"messages": [{"role": "user", "content": "why?"}]}
        words = completions.tokens(cfg, "small:v1", body)
        expected = completions.quality(cfg, "small:v1", body)
        score = self.score(answer="".join(words))
        self.assertAlmostEqual(expected, score, places=2)

    def test_most_specific_quality_is_used(self):
        qualities = [
            standin.Quality(
                subject=subject, request_class=request_class, mean=mean
            )
            for subject, request_class, mean in (
                ("*", "*", 0.1),
                ("*", "quick", 0.2),
                ("small:v1", "*", 0.3),
                ("small:v1", "quick", 0.4),
            )
        ]
        for quality in qualities:
            quality.spread = 0.0
        for count in range(1, 5):
            self.service.update(qualities[:count])
            self.assertEqual(count / 10, self.score())

    def test_bias_changes_the_score_within_its_bounds(self):
        self.service.bias = 0.5
        self.assertEqual(0.75, self.score(answer="[q=0.25]"))
        self.assertEqual(1.0, self.score(answer="[q=0.75]"))

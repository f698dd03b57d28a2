"""Tests of the cascade policies."""

import random
import unittest

from limpetwalk import registry
from limpetwalk.backends import base as backends
from limpetwalk.conf import snapshot
from limpetwalk.routing import adaptive
from limpetwalk.routing import cascade

BEFORE = cascade.Rating.BEFORE_RELEASE
NONE = cascade.Rating.NONE


def question(*prices, request_class="quick"):
    options = tuple(
        cascade.Option(snapshot.ModelVersion(f"m{n}", "v1"), price, price)
        for n, price in enumerate(prices)
    )
    return cascade.Question("w", "c", request_class, 0.7, options)


class FixedPolicies(unittest.TestCase):
    def policy(self, name):
        return registry.get(registry.Kind.CASCADE_POLICY, name)(
            random.Random(1)
        )

    def test_starts(self):
        asked = question(1, 5, 9)
        cases = [
            ("always_cheap", cascade.Step(0, NONE)),
            ("always_strong", cascade.Step(2, NONE)),
            ("fixed", cascade.Step(0, BEFORE)),
        ]
        for name, step in cases:
            with self.subTest(policy=name):
                self.assertEqual(step, self.policy(name).start(asked))

    def test_one_option_is_never_rated(self):
        for name in ("always_cheap", "always_strong", "fixed", "adaptive"):
            with self.subTest(policy=name):
                step = self.policy(name).start(question(3))
                self.assertEqual(cascade.Step(0, NONE), step)

    def test_fixed_climbs_one_by_one(self):
        asked = question(1, 5, 9)
        policy = self.policy("fixed")
        self.assertEqual(cascade.Step(1, BEFORE), policy.escalate(asked, 0))
        self.assertEqual(cascade.Step(2, NONE), policy.escalate(asked, 1))

    def test_fixed_goes_to_the_strongest_without_ratings(self):
        step = self.policy("fixed").after_unrated(question(1, 5, 9), 0)
        self.assertEqual(cascade.Step(2, NONE), step)


class AdaptivePolicy(unittest.TestCase):
    def setUp(self):
        self.policy = adaptive.Adaptive(random.Random(7))

    def learn(self, asked, met, index=0):
        for outcome in met:
            self.policy.observe(asked, index, outcome)

    def share_of_starts(self, asked, index, count=300):
        starts = [self.policy.start(asked).index for _ in range(count)]
        return starts.count(index) / count

    def test_climbs_where_the_cheap_model_is_good(self):
        asked = question(1, 10)
        self.learn(asked, [True] * 100)
        self.assertGreater(self.share_of_starts(asked, 0), 0.99)

    def test_goes_straight_up_where_it_is_bad(self):
        asked = question(5, 10)
        self.learn(asked, [False] * 100)
        self.assertGreater(self.share_of_starts(asked, 1), 0.95)

    def test_price_decides_at_the_same_chance(self):
        cheap, dear = question(1, 10), question(9, 10, request_class="other")
        for asked in (cheap, dear):
            self.learn(asked, [True, False, False] * 30)
        self.assertGreater(self.share_of_starts(cheap, 0), 0.95)
        self.assertGreater(self.share_of_starts(dear, 1), 0.95)

    def test_follows_a_drift(self):
        asked = question(5, 10)
        self.learn(asked, [True] * 300)
        self.learn(asked, [False] * 150)
        self.assertGreater(self.share_of_starts(asked, 1), 0.9)

    def test_classes_are_learned_apart(self):
        self.learn(question(5, 10), [False] * 100)
        other = question(5, 10, request_class="other")
        self.assertGreater(self.share_of_starts(other, 0), 0.3)

    def test_proven_option_is_rated_by_samples(self):
        asked = question(1, 10)
        self.learn(asked, [True] * 200)
        steps = [self.policy.start(asked) for _ in range(500)]
        rated = [step.rating for step in steps].count(BEFORE) / 500
        self.assertAlmostEqual(adaptive.RATED_SAMPLE_SHARE, rated, delta=0.05)

    def test_unproven_option_is_always_rated(self):
        asked = question(1, 10)
        self.learn(asked, [True] * 10)
        ratings = {
            step.rating
            for step in (self.policy.start(asked) for _ in range(100))
            if step.index == 0
        }
        self.assertEqual({BEFORE}, ratings)

    def test_without_ratings_only_a_proven_answer_is_released(self):
        asked = question(1, 10)
        self.assertEqual(
            cascade.Step(1, NONE), self.policy.after_unrated(asked, 0)
        )
        self.learn(asked, [True] * 200)
        self.assertIsNone(self.policy.after_unrated(asked, 0))

    def test_climb_may_skip_an_option_that_is_of_no_use(self):
        asked = question(1, 8, 10)
        self.learn(asked, [False] * 100, index=1)
        steps = [self.policy.escalate(asked, 0).index for _ in range(200)]
        self.assertGreater(steps.count(2) / 200, 0.95)

    def test_tokens_are_learned(self):
        dear_output = cascade.Question(
            "w",
            "c",
            "long",
            0.7,
            tuple(
                cascade.Option(snapshot.ModelVersion(name, "v1"), *prices)
                for name, prices in (("a", (10, 1)), ("b", (11, 100)))
            ),
        )
        self.learn(dear_output, [False, True] * 50)
        for _ in range(200):
            self.policy.record_usage(dear_output, 0, backends.Usage(1000, 0))
        self.assertGreater(self.share_of_starts(dear_output, 1), 0.9)
        for _ in range(200):
            self.policy.record_usage(dear_output, 0, backends.Usage(10, 500))
        self.assertGreater(self.share_of_starts(dear_output, 0), 0.9)

    def test_memory_of_classes_is_bounded(self):
        for number in range(adaptive.MAX_CLASSES + 50):
            self.policy.start(question(1, 2, request_class=str(number)))
        self.assertEqual(
            adaptive.MAX_CLASSES, len(self.policy.known_classes())
        )

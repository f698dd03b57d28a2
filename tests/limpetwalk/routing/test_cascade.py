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


def make_question(*prices, request_class="quick"):
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

    def test_first_steps(self):
        question = make_question(1, 5, 9)
        cases = [
            ("always_cheap", cascade.Step(0, NONE)),
            ("always_strong", cascade.Step(2, NONE)),
            ("fixed", cascade.Step(0, BEFORE)),
        ]
        for name, step in cases:
            with self.subTest(policy=name):
                self.assertEqual(step, self.policy(name).start(question))

    def test_one_option_is_never_rated(self):
        for name in ("always_cheap", "always_strong", "fixed", "adaptive"):
            with self.subTest(policy=name):
                step = self.policy(name).start(make_question(3))
                self.assertEqual(cascade.Step(0, NONE), step)

    def test_fixed_escalates_one_option_at_a_time(self):
        question = make_question(1, 5, 9)
        policy = self.policy("fixed")
        self.assertEqual(cascade.Step(1, BEFORE), policy.escalate(question, 0))
        self.assertEqual(cascade.Step(2, NONE), policy.escalate(question, 1))

    def test_fixed_goes_to_the_strongest_without_ratings(self):
        step = self.policy("fixed").after_unrated(make_question(1, 5, 9), 0)
        self.assertEqual(cascade.Step(2, NONE), step)


class AdaptivePolicy(unittest.TestCase):
    def setUp(self):
        self.policy = adaptive.Adaptive(random.Random(7))

    def learn(self, question, outcomes, index=0):
        for outcome in outcomes:
            self.policy.observe(question, index, outcome)

    def share_of_starts(self, question, index, count=300):
        starts = [self.policy.start(question).index for _ in range(count)]
        return starts.count(index) / count

    def test_starts_cheap_where_the_cheap_model_is_good(self):
        question = make_question(1, 10)
        self.learn(question, [True] * 100)
        self.assertGreater(self.share_of_starts(question, 0), 0.99)

    def test_starts_strong_where_the_cheap_model_is_bad(self):
        question = make_question(5, 10)
        self.learn(question, [False] * 100)
        self.assertGreater(self.share_of_starts(question, 1), 0.95)

    def test_price_decides_at_the_same_probability(self):
        cheap, expensive = (
            make_question(1, 10),
            make_question(9, 10, request_class="other"),
        )
        for question in (cheap, expensive):
            self.learn(question, [True, False, False] * 30)
        self.assertGreater(self.share_of_starts(cheap, 0), 0.95)
        self.assertGreater(self.share_of_starts(expensive, 1), 0.95)

    def test_follows_drift(self):
        question = make_question(5, 10)
        self.learn(question, [True] * 300)
        self.learn(question, [False] * 150)
        self.assertGreater(self.share_of_starts(question, 1), 0.9)

    def test_classes_are_learned_separately(self):
        self.learn(make_question(5, 10), [False] * 100)
        other = make_question(5, 10, request_class="other")
        self.assertGreater(self.share_of_starts(other, 0), 0.3)

    def test_only_a_sample_of_a_trusted_option_is_rated(self):
        question = make_question(1, 10)
        self.learn(question, [True] * 200)
        steps = [self.policy.start(question) for _ in range(500)]
        rated_share = [step.rating for step in steps].count(BEFORE) / 500
        self.assertAlmostEqual(
            adaptive.RATED_SAMPLE_SHARE, rated_share, delta=0.05
        )

    def test_untrusted_option_is_always_rated(self):
        question = make_question(1, 10)
        self.learn(question, [True] * 10)
        ratings = {
            step.rating
            for step in (self.policy.start(question) for _ in range(100))
            if step.index == 0
        }
        self.assertEqual({BEFORE}, ratings)

    def test_without_ratings_only_a_trusted_answer_is_released(self):
        question = make_question(1, 10)
        self.assertEqual(
            cascade.Step(1, NONE), self.policy.after_unrated(question, 0)
        )
        self.learn(question, [True] * 200)
        self.assertIsNone(self.policy.after_unrated(question, 0))

    def test_escalation_may_skip_an_option_that_misses(self):
        question = make_question(1, 8, 10)
        self.learn(question, [False] * 100, index=1)
        steps = [self.policy.escalate(question, 0).index for _ in range(200)]
        self.assertGreater(steps.count(2) / 200, 0.95)

    def test_tokens_are_learned(self):
        expensive_output = cascade.Question(
            "w",
            "c",
            "long",
            0.7,
            tuple(
                cascade.Option(snapshot.ModelVersion(name, "v1"), *prices)
                for name, prices in (("a", (10, 1)), ("b", (11, 100)))
            ),
        )
        self.learn(expensive_output, [False, True] * 50)
        for _ in range(200):
            self.policy.record_usage(
                expensive_output, 0, backends.Usage(1000, 0)
            )
        self.assertGreater(self.share_of_starts(expensive_output, 1), 0.9)
        for _ in range(200):
            self.policy.record_usage(
                expensive_output, 0, backends.Usage(10, 500)
            )
        self.assertGreater(self.share_of_starts(expensive_output, 0), 0.9)

    def test_number_of_classes_is_bounded(self):
        for number in range(adaptive.MAX_CLASSES + 50):
            self.policy.start(make_question(1, 2, request_class=str(number)))
        self.assertEqual(
            adaptive.MAX_CLASSES, len(self.policy.known_classes())
        )

"""Selection of the model and escalation to a larger one."""

import random
import unittest

from limpetwalk.gateway import model_escalation

MODELS = ("small", "middle", "large")
# Share of requests that each model answers well, and its price, as in the
# users' engines.
STRENGTHS = {"small": 0.56, "middle": 0.65, "large": 1.0}
PRICES = {"small": 0.021, "middle": 0.16, "large": 0.31}


class Escalation(unittest.TestCase):
    """Escalation from one model to a larger one."""

    def test_next_model_by_confidence(self) -> None:
        for model, confidence, expected in (
            ("small", 100, None),
            ("small", model_escalation.SUFFICIENT_CONFIDENCE, None),
            ("small", model_escalation.SUFFICIENT_CONFIDENCE - 1, "middle"),
            ("small", 0, "large"),
            ("middle", 0, "large"),
            ("middle", model_escalation.SUFFICIENT_CONFIDENCE - 1, "large"),
            ("large", 0, None),
            ("small", None, None),
            ("unknown", 0, None),
        ):
            actual = model_escalation.next_model(MODELS, model, confidence)
            self.assertEqual(expected, actual, (model, confidence))

    def test_routes_with_at_most_one_model(self) -> None:
        self.assertEqual("", model_escalation.start_model(()))
        self.assertIsNone(model_escalation.next_model((), "any", 3))
        self.assertIsNone(model_escalation.next_model(("only",), "only", 3))

    def test_nearly_all_are_answered_well_at_half_the_price(self) -> None:
        """Simulate 4,000 requests of uniformly distributed difficulty."""
        rng = random.Random(5)
        good, price = 0, 0.0
        for _ in range(4000):
            difficulty = rng.random()
            model: str | None = model_escalation.start_model(MODELS)
            while model is not None:
                last = model
                price += PRICES[model]
                margin = 160 * (STRENGTHS[model] - difficulty) + rng.gauss(
                    0, 8
                )
                confidence = int(max(0, min(100, 50 + margin)))
                model = model_escalation.next_model(MODELS, model, confidence)
            good += STRENGTHS[last] >= difficulty
        self.assertGreater(good / 4000, 0.97)
        self.assertLess(price / 4000, 0.6 * PRICES["large"])

"""Which model answers."""

import random
import unittest

from limpetwalk.gateway import model_escalation

MODELS = ("small", "middle", "large")
# Share of requests that each answers well, and its price, as the users'
# engines have them.
STRENGTHS = {"small": 0.56, "middle": 0.65, "large": 1.0}
PRICES = {"small": 0.021, "middle": 0.16, "large": 0.31}


class Ladder(unittest.TestCase):
    """Steps from one model to a larger one."""

    def test_steps(self) -> None:
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
            found = model_escalation.next_model(MODELS, model, confidence)
            self.assertEqual(expected, found, (model, confidence))

    def test_routes_without_a_choice(self) -> None:
        self.assertEqual("", model_escalation.start_model(()))
        self.assertIsNone(model_escalation.next_model((), "any", 3))
        self.assertIsNone(model_escalation.next_model(("only",), "only", 3))

    def test_nearly_all_are_answered_well_at_half_the_price(self) -> None:
        """Plays 4,000 requests whose difficulty is spread evenly."""
        rng = random.Random(5)
        good, price = 0, 0.0
        for _ in range(4000):
            hard = rng.random()
            model: str | None = model_escalation.start_model(MODELS)
            while model is not None:
                last = model
                price += PRICES[model]
                ease = 160 * (STRENGTHS[model] - hard) + rng.gauss(0, 8)
                opinion = int(max(0, min(100, 50 + ease)))
                model = model_escalation.next_model(MODELS, model, opinion)
            good += STRENGTHS[last] >= hard
        self.assertGreater(good / 4000, 0.97)
        self.assertLess(price / 4000, 0.6 * PRICES["large"])

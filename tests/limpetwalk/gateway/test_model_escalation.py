"""Selection of the model and escalation to a larger one."""

from collections.abc import Callable
import random
import unittest

from limpetwalk.gateway import model_escalation

MODELS = ("small", "middle", "large")
# Share of requests that each model answers well, and its price, as in the
# users' engines.
STRENGTHS = {"small": 0.56, "middle": 0.65, "large": 1.0}
PRICES = {"small": 0.021, "middle": 0.16, "large": 0.31}
# Value of a good answer in time, in the unit of the prices.
VALUE = 2.0
LATE_VALUE = 0.1 * VALUE
POOR_VALUE = 0.05 * VALUE


def responses(*pairs: tuple[str, float]) -> list[model_escalation.Response]:
    """Return responses from models and their confidences."""
    return [model_escalation.Response(*pair) for pair in pairs]


class Choice(unittest.TestCase):
    """Choice of a larger model, by confidence and time."""

    def setUp(self) -> None:
        self.escalation = model_escalation.ModelEscalation()

    def choose(
        self,
        *pairs: tuple[str, float],
        middle: float = 0.2,
        large: float = 0.5,
        time_left: float = 3.0,
    ) -> str | None:
        """Return the choice with expected times of the larger models."""
        times = {"middle": middle, "large": large}
        given = responses(*pairs)
        candidates = [
            model_escalation.Candidate(model, times[model])
            for model in self.escalation.larger_models(MODELS, given)
        ]
        return self.escalation.choose(MODELS, given, candidates, time_left)

    def test_confident_response_is_kept(self) -> None:
        for confidence in (62, 80, 100):
            self.assertIsNone(self.choose(("small", confidence)))

    def test_near_miss_asks_the_next_model(self) -> None:
        for confidence in (46, 50, 54):
            self.assertEqual("middle", self.choose(("small", confidence)))

    def test_low_confidence_asks_the_largest_model(self) -> None:
        for confidence in (0, 10, 25):
            self.assertEqual("large", self.choose(("small", confidence)))
        self.assertEqual("large", self.choose(("small", 45), ("middle", 40)))

    def test_poor_response_is_not_kept_because_time_is_short(self) -> None:
        """A day of trouble had 65 such answers, with seconds to go."""
        for expected, time_left in ((2.25, 2.76), (1.22, 1.4), (1.08, 1.4)):
            self.assertEqual(
                "large",
                self.choose(
                    ("small", 5),
                    middle=expected,
                    large=expected,
                    time_left=time_left,
                ),
            )

    def test_doubtful_response_is_kept_when_a_better_one_comes_late(
        self,
    ) -> None:
        self.assertIsNone(
            self.choose(("small", 52), middle=3.0, large=4.0, time_left=1.0)
        )

    def test_nothing_is_asked_that_is_expected_late(self) -> None:
        """Late answers mean servers with more work than they can do."""
        self.assertIsNone(
            self.choose(("small", 0), middle=2.1, large=2.2, time_left=2.0)
        )

    def test_two_responses_that_agree_are_enough(self) -> None:
        self.assertEqual("large", self.choose(("middle", 50)))
        self.assertIsNone(self.choose(("small", 47), ("middle", 58)))

    def test_largest_model_and_unknown_models_are_kept(self) -> None:
        self.assertIsNone(self.choose(("large", 3)))
        self.assertEqual(
            (), self.escalation.larger_models(MODELS, responses(("x", 3)))
        )
        self.assertEqual((), self.escalation.larger_models(MODELS, []))

    def test_routes_with_at_most_one_model(self) -> None:
        self.assertEqual("", model_escalation.start_model(()))
        self.assertEqual(
            [],
            self.escalation.larger_models(("only",), responses(("only", 3))),
        )


class Learning(unittest.TestCase):
    """Differences between the confidences of models."""

    def test_middle_model_that_is_no_better_is_not_asked(self) -> None:
        escalation = model_escalation.ModelEscalation()
        given = responses(("small", 45))
        fast = [
            model_escalation.Candidate("middle", 0.2),
            model_escalation.Candidate("large", 0.2),
        ]
        self.assertEqual("middle", escalation.choose(MODELS, given, fast, 3.0))
        for _ in range(50):
            escalation.record(*responses(("small", 45), ("middle", 44)))
        self.assertEqual("large", escalation.choose(MODELS, given, fast, 3.0))

    def test_clipped_confidences_teach_nothing(self) -> None:
        escalation = model_escalation.ModelEscalation()
        before = escalation.poor_probability(
            MODELS, responses(("small", 45), ("middle", 50))
        )
        for pair in ((0, 30), (40, 100)):
            escalation.record(
                *responses(("small", pair[0]), ("middle", pair[1]))
            )
        after = escalation.poor_probability(
            MODELS, responses(("small", 45), ("middle", 50))
        )
        self.assertEqual(before, after)


class WhatCallersGet(unittest.TestCase):
    """Simulates requests of uniformly distributed difficulty."""

    requests = 4000

    def play(
        self,
        decide: Callable[..., str | None],
        slow: float,
        hardest: float = 1.0,
    ) -> tuple[float, float]:
        """Play requests.

        :param slow: factor on the times of the models.
        :returns: the share of good answers, and the mean value of an answer
            to its caller less its price.
        """
        rng = random.Random(5)
        good, value = 0, 0.0
        for _ in range(self.requests):
            difficulty = rng.uniform(0, hardest)
            elapsed, price = 0.0, 0.0
            model: str | None = "small"
            given: list[model_escalation.Response] = []
            while model is not None:
                last = model
                price += PRICES[model]
                pace = {"small": 0.1, "middle": 0.3, "large": 1.0}[model]
                elapsed += slow * pace * rng.lognormvariate(0, 0.4)
                margin = 160 * (STRENGTHS[model] - difficulty)
                confidence = 50 + margin + rng.gauss(0, 8)
                given.append(
                    model_escalation.Response(
                        model, int(max(0, min(100, confidence)))
                    )
                )
                times = {"middle": 0.3 * slow, "large": slow}
                model = decide(given, times, 2.0 - elapsed)
            is_good = STRENGTHS[last] >= difficulty
            good += is_good
            worth = VALUE if elapsed <= 2.0 else LATE_VALUE
            value += (worth if is_good else POOR_VALUE) - price
        return good / self.requests, value / self.requests

    def by_value(
        self,
    ) -> Callable[..., str | None]:
        """Return the decision of the product."""
        escalation = model_escalation.ModelEscalation()

        def decide(given, times, time_left):
            for earlier, later in zip(given, given[1:], strict=False):
                escalation.record(earlier, later)
            candidates = [
                model_escalation.Candidate(model, times[model])
                for model in escalation.larger_models(MODELS, given)
            ]
            return escalation.choose(MODELS, given, candidates, time_left)

        return decide

    @staticmethod
    def by_threshold(given, times, time_left) -> str | None:
        """Decide by the former rule: a threshold, and only in time."""
        model, confidence = given[-1].model, given[-1].confidence
        larger = MODELS[MODELS.index(model) + 1 :]
        if confidence >= 50 or not larger:
            return None
        chosen = larger[0] if confidence >= 36 else larger[-1]
        return chosen if 1.3 * times[chosen] < time_left else None

    def test_nearly_all_are_answered_well_at_half_the_price(self) -> None:
        good, value = self.play(self.by_value(), 0.3)
        self.assertGreater(good, 0.97)
        self.assertGreater(value, VALUE * good - 0.6 * PRICES["large"])

    def test_callers_get_more_than_from_a_threshold(self) -> None:
        for slow in (0.3, 1.0, 1.6):
            with self.subTest(slow):
                _, value = self.play(self.by_value(), slow)
                _, former = self.play(self.by_threshold, slow)
                self.assertGreater(value, former)

    def test_callers_lose_nothing_where_larger_models_are_always_late(
        self,
    ) -> None:
        _, value = self.play(self.by_value(), 2.2)
        _, former = self.play(self.by_threshold, 2.2)
        self.assertGreater(value, 0.99 * former)

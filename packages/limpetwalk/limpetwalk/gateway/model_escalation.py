"""Selects the model of a request and escalates to a larger one.

Serves mixed requests of which only some need a strong model: the smallest
model responds first. Its confidence in the response, which is known before any
of it is passed on, decides whether a larger model is asked, and which one. The
decision compares what the caller may expect: a response that is probably poor
is worth less than a good one that may be late, so low confidence escalates
when time is short, and a near miss only when there is ample time.
"""

from collections.abc import Sequence
from dataclasses import dataclass
import math

# Confidence at which a response is as often poor as good, 0 to 100.
EVEN_CONFIDENCE = 50.0
# Standard deviation of a confidence around what it estimates.
CONFIDENCE_DEVIATION = 8.0
# Differences of confidence between a model and the next larger one, and
# between a model and the largest, that are assumed until they are observed.
NEXT_SHIFT, LARGEST_SHIFT = 15.0, 60.0
# Weight of the assumed difference, in observed pairs.
PRIOR_PAIRS = 10.0
# Values of responses to the caller, as shares of that of a good one in time.
POOR_VALUE = 0.05
LATE_VALUE = 0.1
# Price of a response of the largest model, as a share of the same value: the
# operator's price, and the time that it takes from other requests.
LARGEST_PRICE = 0.2
# Share of poor responses of a middle model that its confidence reveals, so
# that the largest model is asked in turn.
REVEALED_SHARE = 0.7
# Standard deviation of the logarithm of the actual by the expected time to the
# first event.
TIME_DEVIATION = 0.3


@dataclass(frozen=True, slots=True)
class Response:
    """Response of a model, of which the caller has received nothing.

    :param confidence: the model's confidence, 0 to 100.
    """

    model: str
    confidence: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """Larger model that may be asked.

    :param first_event: expected time to its first event, in seconds.
    """

    model: str
    first_event: float


def start_model(models: Sequence[str]) -> str:
    """Return the model that responds first, or empty when there is none.

    :param models: models of the route, smallest first.
    """
    return models[0] if models else ""


class ModelEscalation:
    """Decides on escalations, and learns how models' confidences compare."""

    def __init__(self) -> None:
        self._shifts: dict[tuple[str, str], tuple[float, float]] = {}

    def record(self, earlier: Response, later: Response) -> None:
        """Record the confidences of two models in the same request."""
        if earlier.confidence <= 0 or later.confidence >= 100:
            # The true difference is larger than the one that is visible.
            return
        key = (earlier.model, later.model)
        total, count = self._shifts.get(key, (0.0, 0.0))
        difference = later.confidence - earlier.confidence
        self._shifts[key] = (total + difference, count + 1)

    def poor_probability(
        self, models: Sequence[str], responses: Sequence[Response]
    ) -> float:
        """Return the probability that the latest response is poor.

        :param models: models of the route, smallest first.
        :param responses: all responses to the request, in order.
        """
        return 1 - self._good_probability(
            models, responses[-1].model, responses
        )

    def larger_models(
        self, models: Sequence[str], responses: Sequence[Response]
    ) -> Sequence[str]:
        """Return the models that are worth asking if they answer in time."""
        if not responses or responses[-1].model not in models:
            return ()
        kept = _value(self.poor_probability(models, responses), 1.0)
        larger = models[models.index(responses[-1].model) + 1 :]
        return [
            model
            for model in larger
            if self._candidate_value(models, model, responses, 1.0) > kept
        ]

    def choose(
        self,
        models: Sequence[str],
        responses: Sequence[Response],
        candidates: Sequence[Candidate],
        time_left: float,
    ) -> str | None:
        """Return the model to ask, or None to keep the latest response.

        A model that is expected to be late isn't asked: that many are late
        shows that the servers have more work than they can do, and a larger
        model adds several times the work of the response that it replaces.

        :param candidates: larger models with their expected times.
        :param time_left: seconds until the target latency.
        """
        best_value = _value(self.poor_probability(models, responses), 1.0)
        best = None
        for candidate in candidates:
            if candidate.first_event >= time_left:
                continue
            in_time = _in_time_probability(candidate.first_event, time_left)
            value = self._candidate_value(
                models, candidate.model, responses, in_time
            )
            if value > best_value:
                best_value, best = value, candidate.model
        return best

    def _candidate_value(
        self,
        models: Sequence[str],
        model: str,
        responses: Sequence[Response],
        in_time: float,
    ) -> float:
        poor = 1 - self._good_probability(models, model, responses)
        price = LARGEST_PRICE * models.index(model) / (len(models) - 1)
        if model == models[-1]:
            return _value(poor, in_time) - price
        revealed = poor * REVEALED_SHARE
        return (
            _value(poor - revealed, in_time) - price - revealed * LARGEST_PRICE
        )

    def _good_probability(
        self, models: Sequence[str], model: str, responses: Sequence[Response]
    ) -> float:
        """Return the probability that a model's response is good.

        Each response estimates the confidence that the model would have.
        """
        if model == models[-1] and model != responses[-1].model:
            # Nothing better can be had than the largest model.
            return 1.0
        estimates = [
            response.confidence + self._shift(models, response.model, model)
            for response in responses
        ]
        mean = sum(estimates) / len(estimates)
        deviation = CONFIDENCE_DEVIATION / math.sqrt(len(estimates))
        return _normal(mean - EVEN_CONFIDENCE, deviation)

    def _shift(self, models: Sequence[str], first: str, second: str) -> float:
        if first == second:
            return 0.0
        prior = LARGEST_SHIFT if second == models[-1] else NEXT_SHIFT
        total, count = self._shifts.get((first, second), (0.0, 0.0))
        return (total + prior * PRIOR_PAIRS) / (count + PRIOR_PAIRS)


def _value(poor: float, in_time: float) -> float:
    """Return the expected value of a response to the caller.

    :param poor: probability that it is poor.
    :param in_time: probability that it comes within the target latency.
    """
    quality = 1 - poor * (1 - POOR_VALUE)
    return quality * (in_time + LATE_VALUE * (1 - in_time))


def _in_time_probability(expected: float, time_left: float) -> float:
    if time_left <= 0:
        return 0.0
    return _normal(math.log(time_left / max(expected, 1e-3)), TIME_DEVIATION)


def _normal(distance: float, deviation: float) -> float:
    """Return the probability that a normal variable is below a distance."""
    return 0.5 * (1 + math.erf(distance / deviation / math.sqrt(2)))

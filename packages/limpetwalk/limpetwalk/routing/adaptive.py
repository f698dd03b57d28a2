"""Cascade policy that learns which option each request class starts with.

For each workspace, cascade, class and model it keeps a Beta posterior of the
probability that an answer meets the target. The expected cost of starting at
an option is its own cost plus the probability of a miss times the cheapest
expected cost of the stronger options; a request starts where that is lowest.
Probabilities are sampled from the posterior (Thompson sampling), so a class
that starts at a stronger model still tries the cheaper one occasionally. Old
observations are discounted, so that the policy follows drift.
"""

import collections
from dataclasses import dataclass
import random

from .. import registry
from ..backends import base as backends
from . import cascade

PRIOR_MET = 1.0
PRIOR_MISSED = 1.0
# Factor by which each new observation discounts the earlier ones: an effective
# memory of 1 / (1 - 0.99) = 100 observations.
OBSERVATION_DECAY = 0.99
# Answers of an option are released unrated once the mean of its posterior
# reaches this probability with at least this weight of observations.
TRUSTED_PROBABILITY = 0.95
TRUSTED_WEIGHT = 40.0
# Share of the answers of a trusted option that are still rated.
RATED_SAMPLE_SHARE = 0.1
MAX_CLASSES = 10_000
DEFAULT_INPUT_TOKENS = 500.0
DEFAULT_OUTPUT_TOKENS = 200.0
TOKENS_DECAY = 0.95


@dataclass(slots=True)
class _Posterior:
    met_weight: float = 0.0
    missed_weight: float = 0.0

    @property
    def mean(self) -> float:
        weight = (
            self.met_weight + self.missed_weight + PRIOR_MET + PRIOR_MISSED
        )
        return (self.met_weight + PRIOR_MET) / weight

    def add(self, is_target_met: bool) -> None:
        self.met_weight = self.met_weight * OBSERVATION_DECAY + is_target_met
        self.missed_weight = self.missed_weight * OBSERVATION_DECAY + (
            not is_target_met
        )

    def is_trusted(self) -> bool:
        weight = self.met_weight + self.missed_weight
        return weight >= TRUSTED_WEIGHT and self.mean >= TRUSTED_PROBABILITY

    def sample(self, rng: random.Random) -> float:
        return rng.betavariate(
            self.met_weight + PRIOR_MET, self.missed_weight + PRIOR_MISSED
        )


class _ClassStatistics:
    def __init__(self) -> None:
        self.posteriors: dict[str, _Posterior] = {}
        self.input_tokens = DEFAULT_INPUT_TOKENS
        self.output_tokens = DEFAULT_OUTPUT_TOKENS

    def posterior(self, option: cascade.Option) -> _Posterior:
        return self.posteriors.setdefault(option.target.model, _Posterior())

    def cost(self, option: cascade.Option) -> float:
        return (
            self.input_tokens * option.input_price
            + self.output_tokens * option.output_price
        ) / 1000


@registry.register(registry.Kind.CASCADE_POLICY, "adaptive")
class Adaptive:
    """Starts each request class at the option of lowest expected cost.

    :param rng: random source for sampling from the posteriors.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._classes: collections.OrderedDict[
            tuple[str, str, str], _ClassStatistics
        ] = collections.OrderedDict()

    def start(self, question: cascade.Question) -> cascade.Step:
        """Return the option to start with at the lowest expected cost."""
        return self._step(question, self._cheapest_from(question, 0))

    def escalate(self, question: cascade.Question, index: int) -> cascade.Step:
        """Return the stronger option of lowest expected cost."""
        return self._step(question, self._cheapest_from(question, index + 1))

    def after_unrated(
        self, question: cascade.Question, index: int
    ) -> cascade.Step | None:
        """Release the answer of a trusted option, else use the strongest."""
        statistics = self._get_statistics(question)
        if statistics.posterior(question.options[index]).is_trusted():
            return None
        return cascade.Step(question.last, cascade.Rating.NONE)

    def observe(
        self, question: cascade.Question, index: int, is_target_met: bool
    ) -> None:
        """Add an observation to the posterior of the option's model."""
        self._get_statistics(question).posterior(question.options[index]).add(
            is_target_met
        )

    def record_usage(
        self, question: cascade.Question, index: int, usage: backends.Usage
    ) -> None:
        """Update the mean token counts of the class."""
        statistics = self._get_statistics(question)
        weight = 1 - TOKENS_DECAY
        statistics.input_tokens += weight * (
            usage.input_tokens - statistics.input_tokens
        )
        statistics.output_tokens += weight * (
            usage.output_tokens - statistics.output_tokens
        )

    def known_classes(self) -> list[tuple[str, str, str]]:
        """Return the (workspace, cascade, class) keys that have statistics."""
        return list(self._classes)

    def _get_statistics(self, question: cascade.Question) -> _ClassStatistics:
        key = (question.workspace, question.cascade, question.request_class)
        statistics = self._classes.get(key)
        if statistics is None:
            statistics = self._classes[key] = _ClassStatistics()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        else:
            self._classes.move_to_end(key)
        return statistics

    def _cheapest_from(self, question: cascade.Question, first: int) -> int:
        statistics = self._get_statistics(question)
        best = question.last
        best_cost = statistics.cost(question.options[best])
        for index in range(question.last - 1, first - 1, -1):
            option = question.options[index]
            miss_probability = 1 - statistics.posterior(option).sample(
                self._rng
            )
            cost = statistics.cost(option) + miss_probability * best_cost
            if cost < best_cost:
                best, best_cost = index, cost
        return best

    def _step(self, question: cascade.Question, index: int) -> cascade.Step:
        if index == question.last:
            return cascade.Step(index, cascade.Rating.NONE)
        statistics = self._get_statistics(question)
        if not statistics.posterior(question.options[index]).is_trusted():
            return cascade.Step(index, cascade.Rating.BEFORE_RELEASE)
        if self._rng.random() < RATED_SAMPLE_SHARE:
            return cascade.Step(index, cascade.Rating.BEFORE_RELEASE)
        return cascade.Step(index, cascade.Rating.NONE)

"""Cascade policy that learns where each class of request should start.

For each workspace, cascade, class and model it keeps a Beta posterior of
"the answer meets the target". The expected cost from an option on is its
own cost plus the chance of a miss times the cheapest way to go on; a request
starts where that is least. Chances are drawn from the posterior (Thompson
sampling), so a class that goes straight up still tries the cheaper model now
and then, and old observations fade, so that drift is followed.
"""

import collections
from dataclasses import dataclass
import random

from .. import registry
from ..backends import base as backends
from . import cascade

PRIOR_MET = 1.0
PRIOR_MISSED = 1.0
# Weight of each earlier observation at a new one: an effective memory of
# 1 / (1 - 0.99) = 100 observations.
OBSERVATION_DECAY = 0.99
# An answer is released unrated when, of draws from the posterior, all but
# this share would meet the target anyway.
TRUSTED_PROBABILITY = 0.95
TRUSTED_WEIGHT = 40.0
RATED_SAMPLE_SHARE = 0.1
MAX_CLASSES = 10_000
DEFAULT_INPUT_TOKENS = 500.0
DEFAULT_OUTPUT_TOKENS = 200.0
TOKENS_DECAY = 0.95


@dataclass(slots=True)
class _Chance:
    met: float = 0.0
    missed: float = 0.0

    @property
    def mean(self) -> float:
        weight = self.met + self.missed + PRIOR_MET + PRIOR_MISSED
        return (self.met + PRIOR_MET) / weight

    def add(self, met: bool) -> None:
        self.met = self.met * OBSERVATION_DECAY + met
        self.missed = self.missed * OBSERVATION_DECAY + (not met)

    def is_trusted(self) -> bool:
        weight = self.met + self.missed
        return weight >= TRUSTED_WEIGHT and self.mean >= TRUSTED_PROBABILITY

    def draw(self, rng: random.Random) -> float:
        return rng.betavariate(
            self.met + PRIOR_MET, self.missed + PRIOR_MISSED
        )


class _Class:
    def __init__(self) -> None:
        self.chances: dict[str, _Chance] = {}
        self.input_tokens = DEFAULT_INPUT_TOKENS
        self.output_tokens = DEFAULT_OUTPUT_TOKENS

    def chance(self, option: cascade.Option) -> _Chance:
        return self.chances.setdefault(option.target.model, _Chance())

    def cost(self, option: cascade.Option) -> float:
        return (
            self.input_tokens * option.input_price
            + self.output_tokens * option.output_price
        ) / 1000


@registry.register(registry.Kind.CASCADE_POLICY, "adaptive")
class Adaptive:
    """Starts each class of request where its expected cost is least.

    :param rng: source of the draws.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._classes: collections.OrderedDict[
            tuple[str, str, str], _Class
        ] = collections.OrderedDict()

    def start(self, question: cascade.Question) -> cascade.Step:
        """Return the option from which the expected cost is least."""
        return self._step(question, self._cheapest_from(question, 0))

    def escalate(self, question: cascade.Question, index: int) -> cascade.Step:
        """Return the stronger option from which the cost is least."""
        return self._step(question, self._cheapest_from(question, index + 1))

    def after_unrated(
        self, question: cascade.Question, index: int
    ) -> cascade.Step | None:
        """Release the answer of a proven option, else go to the strongest."""
        known = self._class(question)
        if known.chance(question.options[index]).is_trusted():
            return None
        return cascade.Step(question.last, cascade.Rating.NONE)

    def observe(
        self, question: cascade.Question, index: int, met: bool
    ) -> None:
        """Add an observation to the posterior."""
        self._class(question).chance(question.options[index]).add(met)

    def record_usage(
        self, question: cascade.Question, index: int, usage: backends.Usage
    ) -> None:
        """Add the tokens of an answer to the means of its class."""
        known = self._class(question)
        fresh = 1 - TOKENS_DECAY
        known.input_tokens += fresh * (usage.input_tokens - known.input_tokens)
        known.output_tokens += fresh * (
            usage.output_tokens - known.output_tokens
        )

    def known_classes(self) -> list[tuple[str, str, str]]:
        """Return workspace, cascade and class of all that is learned."""
        return list(self._classes)

    def _class(self, question: cascade.Question) -> _Class:
        key = (question.workspace, question.cascade, question.request_class)
        known = self._classes.get(key)
        if known is None:
            known = self._classes[key] = _Class()
            if len(self._classes) > MAX_CLASSES:
                self._classes.popitem(last=False)
        else:
            self._classes.move_to_end(key)
        return known

    def _cheapest_from(self, question: cascade.Question, first: int) -> int:
        known = self._class(question)
        best = question.last
        best_cost = known.cost(question.options[best])
        for index in range(question.last - 1, first - 1, -1):
            option = question.options[index]
            missed = 1 - known.chance(option).draw(self._rng)
            cost = known.cost(option) + missed * best_cost
            if cost < best_cost:
                best, best_cost = index, cost
        return best

    def _step(self, question: cascade.Question, index: int) -> cascade.Step:
        if index == question.last:
            return cascade.Step(index, cascade.Rating.NONE)
        known = self._class(question)
        if not known.chance(question.options[index]).is_trusted():
            return cascade.Step(index, cascade.Rating.BEFORE_RELEASE)
        if self._rng.random() < RATED_SAMPLE_SHARE:
            return cascade.Step(index, cascade.Rating.BEFORE_RELEASE)
        return cascade.Step(index, cascade.Rating.NONE)

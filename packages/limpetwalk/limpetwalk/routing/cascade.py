"""Interface of cascade policies, and those that do not learn.

A policy decides where a request starts, whether an answer is rated before
it is released, and where to climb when a rating misses the target.
"""

from collections.abc import Callable
from dataclasses import dataclass
import enum
import random
from typing import Protocol

from .. import registry
from ..backends import base as backends
from ..conf import snapshot


@dataclass(frozen=True, slots=True)
class Option:
    """Version that a request may run on.

    :param target: model and version.
    :param input_price: price in micro-units a 1,000 prompt tokens.
    :param output_price: price in micro-units a 1,000 generated tokens.
    """

    target: snapshot.ModelVersion
    input_price: int
    output_price: int


@dataclass(frozen=True, slots=True)
class Question:
    """What a policy knows of a request.

    :param workspace: workspace of the caller.
    :param cascade: cascade that was asked for.
    :param request_class: class that the caller gave the request.
    :param target: rating that the answer must reach, 0.0 to 1.0.
    :param options: versions from the cheapest to the strongest.
    """

    workspace: str
    cascade: str
    request_class: str
    target: float
    options: tuple[Option, ...]

    @property
    def last(self) -> int:
        """Index of the strongest option."""
        return len(self.options) - 1


class Rating(enum.Enum):
    """When an answer is rated."""

    NONE = "none"
    BEFORE_RELEASE = "before_release"
    AFTER_RELEASE = "after_release"


@dataclass(frozen=True, slots=True)
class Step:
    """One attempt of a cascade.

    :param index: index of the option that runs.
    :param rating: when its answer is rated.
    """

    index: int
    rating: Rating


class CascadePolicy(Protocol):
    """Policy of a cascade; plug-ins of kind CASCADE_POLICY.

    A plug-in is called with a ``random.Random`` and returns the policy. One
    policy object serves all cascades of a node that name it.
    """

    def start(self, question: Question) -> Step:
        """Return the first step."""
        ...

    def escalate(self, question: Question, index: int) -> Step:
        """Return the step after an option's answer missed the target."""
        ...

    def after_unrated(self, question: Question, index: int) -> Step | None:
        """Return the step after an answer that could not be rated.

        :returns: None to release the answer.
        """
        ...

    def observe(self, question: Question, index: int, met: bool) -> None:
        """Learn whether an option's answer met the target."""
        ...

    def record_usage(
        self, question: Question, index: int, usage: backends.Usage
    ) -> None:
        """Learn how many tokens an option's answer took."""
        ...


PolicyFactory = Callable[[random.Random], CascadePolicy]


class _Fixed:
    def __init__(self, rng: random.Random) -> None:
        pass

    def start(self, question: Question) -> Step:
        """Return the first step."""
        raise NotImplementedError

    def escalate(self, question: Question, index: int) -> Step:
        """Return the next stronger option."""
        return rated_step(question, min(index + 1, question.last))

    def after_unrated(self, question: Question, index: int) -> Step | None:
        """Go straight to the strongest option."""
        return Step(question.last, Rating.NONE)

    def observe(self, question: Question, index: int, met: bool) -> None:
        """Learn nothing."""

    def record_usage(
        self, question: Question, index: int, usage: backends.Usage
    ) -> None:
        """Learn nothing."""


@registry.register(registry.Kind.CASCADE_POLICY, "always_cheap")
class AlwaysCheap(_Fixed):
    """Answers with the cheapest option, unrated."""

    def start(self, question: Question) -> Step:
        """Return the cheapest option."""
        return Step(0, Rating.NONE)


@registry.register(registry.Kind.CASCADE_POLICY, "always_strong")
class AlwaysStrong(_Fixed):
    """Answers with the strongest option."""

    def start(self, question: Question) -> Step:
        """Return the strongest option."""
        return Step(question.last, Rating.NONE)


@registry.register(registry.Kind.CASCADE_POLICY, "fixed")
class FixedCascade(_Fixed):
    """Starts with the cheapest option and climbs one option at a time."""

    def start(self, question: Question) -> Step:
        """Return the cheapest option, rated before release."""
        return rated_step(question, 0)


def rated_step(question: Question, index: int) -> Step:
    """Return a step rated before release, unless nothing is stronger."""
    if index == question.last:
        return Step(index, Rating.NONE)
    return Step(index, Rating.BEFORE_RELEASE)

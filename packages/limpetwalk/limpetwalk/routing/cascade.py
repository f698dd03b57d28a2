"""Interface of cascade policies, and the policies that do not learn.

A policy decides which option a request starts with, whether an answer is
rated before it is released, and which option follows when a rating misses
the target.
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
    """Model version that a request may run on.

    :param target: model and version.
    :param input_price: price in micro-units per 1,000 prompt tokens.
    :param output_price: price in micro-units per 1,000 generated tokens.
    """

    target: snapshot.ModelVersion
    input_price: int
    output_price: int


@dataclass(frozen=True, slots=True)
class Question:
    """Properties of a request that a policy decides by.

    :param workspace: workspace of the caller.
    :param cascade: name of the requested cascade.
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
    """One step of a cascade.

    :param index: index of the option that answers.
    :param rating: when its answer is rated.
    """

    index: int
    rating: Rating


class CascadePolicy(Protocol):
    """Policy of a cascade; plug-ins of kind CASCADE_POLICY.

    A plug-in is called with a ``random.Random`` and returns a policy. One
    policy object serves all cascades of a node that are configured with it.
    """

    def start(self, question: Question) -> Step:
        """Return the first step."""
        ...

    def escalate(self, question: Question, index: int) -> Step:
        """Return the step that follows an answer that missed the target."""
        ...

    def after_unrated(self, question: Question, index: int) -> Step | None:
        """Return the step that follows an answer that could not be rated.

        :returns: the step, or None to release the answer.
        """
        ...

    def observe(
        self, question: Question, index: int, is_target_met: bool
    ) -> None:
        """Record whether an option's answer met the target."""
        ...

    def record_usage(
        self, question: Question, index: int, usage: backends.Usage
    ) -> None:
        """Record how many tokens an option's answer took."""
        ...


PolicyFactory = Callable[[random.Random], CascadePolicy]


class _StaticPolicy:
    def __init__(self, rng: random.Random) -> None:
        pass

    def start(self, question: Question) -> Step:
        """Return the first step."""
        raise NotImplementedError

    def escalate(self, question: Question, index: int) -> Step:
        """Return the next stronger option, rated unless it is the last."""
        return rated_step(question, min(index + 1, question.last))

    def after_unrated(self, question: Question, index: int) -> Step | None:
        """Return the strongest option, unrated."""
        return Step(question.last, Rating.NONE)

    def observe(
        self, question: Question, index: int, is_target_met: bool
    ) -> None:
        """Do nothing."""

    def record_usage(
        self, question: Question, index: int, usage: backends.Usage
    ) -> None:
        """Do nothing."""


@registry.register(registry.Kind.CASCADE_POLICY, "always_cheap")
class AlwaysCheap(_StaticPolicy):
    """Answers with the cheapest option, unrated."""

    def start(self, question: Question) -> Step:
        """Return the cheapest option, unrated."""
        return Step(0, Rating.NONE)


@registry.register(registry.Kind.CASCADE_POLICY, "always_strong")
class AlwaysStrong(_StaticPolicy):
    """Answers with the strongest option, unrated."""

    def start(self, question: Question) -> Step:
        """Return the strongest option, unrated."""
        return Step(question.last, Rating.NONE)


@registry.register(registry.Kind.CASCADE_POLICY, "fixed")
class FixedCascade(_StaticPolicy):
    """Starts with the cheapest option and escalates one option at a time."""

    def start(self, question: Question) -> Step:
        """Return the cheapest option, rated before release."""
        return rated_step(question, 0)


def rated_step(question: Question, index: int) -> Step:
    """Return a step, rated before release unless it is the strongest."""
    if index == question.last:
        return Step(index, Rating.NONE)
    return Step(index, Rating.BEFORE_RELEASE)

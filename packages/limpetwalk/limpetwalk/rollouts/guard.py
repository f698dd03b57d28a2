"""Always-valid sequential test of a candidate version against its base.

The test may be evaluated after every request: the probability that it ever
halts a good candidate is about ``alpha`` at most. Two e-processes run side by
side, one for the share of failures and one for the mean rating. The test halts
when the e-value of one reaches the inverse of its share of ``alpha`` (Ville's
inequality).

Source: Johari, Koomen, Pekelis, Walsh, "Always valid inference: continuous
monitoring of A/B tests", Operations Research 70 (2022), for the mixture of
the difference of means; Wald, "Sequential tests of statistical hypotheses",
Annals of Mathematical Statistics 16 (1945), for the likelihood ratios.
"""

from dataclasses import dataclass
import enum
import math
from typing import Protocol

from .. import registry
from . import evidence

# Probability that a good candidate is ever halted, at most.
ALPHA = 0.01
# Share of failures above the base's that a candidate is allowed.
FAILURE_MARGIN = 0.005
# Share of failures that is always assumed for the base, at least.
MIN_BASE_FAILURE_RATE = 0.01
# Ratings of each version before ratings are compared.
MIN_RATINGS = 30
# Standard deviations added to the base's observed share of failures.
BASE_DEVIATIONS = 2.0
# Shares of failures of a bad candidate that the test looks for.
ALTERNATIVE_FAILURE_RATES = (0.05, 0.15, 0.35, 0.8)
# Scale of the drop of the mean rating that the test looks for.
EXPECTED_RATING_DROP = 0.05
MIN_VARIANCE = 1e-4
# Keeps math.exp from overflowing.
MAX_EXPONENT = 700.0


class Cause(enum.Enum):
    """Why a guard halts a roll-out."""

    FAILURES = "failures"
    RATINGS = "ratings"


@dataclass(frozen=True, slots=True)
class Halt:
    """Verdict that a candidate is worse than its base.

    :param cause: evidence that the verdict is based on.
    :param e_value: e-value of the sequential test, or the difference that
        the window guard measured.
    :param requests: observed requests of the candidate.
    """

    cause: Cause
    e_value: float
    requests: int


class Guard(Protocol):
    """Decides whether a roll-out is halted; plug-ins of ROLLOUT_GUARD."""

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return a halt, or None to let the roll-out continue."""
        ...


def _upper_failure_rate(tally: evidence.Tally) -> float:
    # Upper bound of the base version's share of failures.
    n = tally.requests + 2
    rate = (tally.failures + 1) / n
    width = BASE_DEVIATIONS * math.sqrt(rate * (1 - rate) / n)
    return min(0.99, max(MIN_BASE_FAILURE_RATE, rate + width))


def failure_e_value(candidate: evidence.Tally, rate: float) -> float:
    """Return the e-value that failures are more frequent than a rate.

    It is the mean of the likelihood ratios of several higher rates, each a
    martingale when failures have the given rate.

    :param rate: share of failures under the null hypothesis.
    """
    rates = [p for p in ALTERNATIVE_FAILURE_RATES if p > rate] or [
        (1 + rate) / 2
    ]
    total = 0.0
    for p in rates:
        log_ratio = candidate.failures * math.log(p / rate)
        log_ratio += candidate.successes * math.log((1 - p) / (1 - rate))
        total += math.exp(min(log_ratio, MAX_EXPONENT))
    return total / len(rates)


def rating_e_value(base: evidence.Tally, candidate: evidence.Tally) -> float:
    """Return the e-value that the candidate's mean rating is lower.

    It is the likelihood ratio of the observed difference of the means, mixed
    over a half-normal prior of the true difference with the scale
    ``EXPECTED_RATING_DROP``. The variance is estimated, so the bound holds
    from ``MIN_RATINGS`` ratings on.
    """
    # The variance of a few ratings may be too low by chance, so the base's
    # variance is the least that is assumed for the candidate.
    rating_variance = max(candidate.variance, base.variance, MIN_VARIANCE)
    variance = rating_variance * (1 / base.rated + 1 / candidate.rated)
    drop = base.mean - candidate.mean
    prior = EXPECTED_RATING_DROP**2
    total = variance + prior
    exponent = drop**2 * prior / (2 * variance * total)
    one_sided = _normal_cdf(
        drop * math.sqrt(prior) / math.sqrt(variance * total)
    )
    return (
        2
        * math.sqrt(variance / total)
        * math.exp(min(exponent, MAX_EXPONENT))
        * one_sided
    )


def _normal_cdf(value: float) -> float:
    return 0.5 * math.erfc(-value / math.sqrt(2))


@registry.register(registry.Kind.ROLLOUT_GUARD, "sequential")
class SequentialGuard:
    """Always-valid sequential test of failures and ratings.

    :param alpha: probability that a good candidate is ever halted.
    """

    def __init__(self, alpha: float = ALPHA) -> None:
        self._threshold = 2.0 / alpha

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return a halt when one of the e-values reaches the threshold."""
        rate = min(0.99, _upper_failure_rate(base) + FAILURE_MARGIN)
        failures = failure_e_value(candidate, rate)
        if failures >= self._threshold:
            return Halt(Cause.FAILURES, failures, candidate.requests)
        if min(base.rated, candidate.rated) < MIN_RATINGS:
            return None
        ratings = rating_e_value(base, candidate)
        if ratings >= self._threshold:
            return Halt(Cause.RATINGS, ratings, candidate.requests)
        return None


@registry.register(registry.Kind.ROLLOUT_GUARD, "window")
class WindowGuard:
    """Fixed thresholds, the baseline that other guards are compared with.

    The sums since the start are checked once every ``window`` requests.

    :param window: requests of the candidate between two checks.
    :param failures: excess over the base's share of failures that halts.
    :param ratings: drop below the base's mean rating that halts.
    """

    def __init__(
        self,
        window: int = 100,
        failures: float = 0.05,
        ratings: float = 0.05,
    ) -> None:
        self._window = window
        self._failures = failures
        self._ratings = ratings

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return a halt when a check finds a difference that is too large."""
        n = candidate.requests
        if n == 0 or n % self._window or not base.requests:
            return None
        base_rate = base.failures / base.requests
        difference = candidate.failures / n - base_rate
        if difference > self._failures:
            return Halt(Cause.FAILURES, difference, n)
        if base.mean - candidate.mean > self._ratings:
            return Halt(Cause.RATINGS, base.mean - candidate.mean, n)
        return None


@registry.register(registry.Kind.ROLLOUT_GUARD, "none")
class NoGuard:
    """Guard that never halts a roll-out."""

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return None."""
        return None

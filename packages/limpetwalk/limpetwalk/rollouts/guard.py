"""Always-valid sequential test of a candidate version against its base.

The test may be looked at after every request: under a good candidate the
chance that it ever says halt is about ``alpha`` at most. It multiplies bets,
an e-process, and halts when one has grown by the inverse of its share of
``alpha`` (Ville's inequality). Two bets run side by side: on the share of
failures and on the mean rating.

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

ALPHA = 0.01
FAILURE_MARGIN = 0.005
FLOOR_FAILURES = 0.01
MIN_RATINGS = 30
BASE_WIDTHS = 2.0
FAILURE_RATES = (0.05, 0.15, 0.35, 0.8)
EXPECTED_DROP = 0.05
LEAST_VARIANCE = 1e-4
LARGEST_EXPONENT = 700.0


class Cause(enum.Enum):
    """Why a guard halts a roll-out."""

    FAILURES = "failures"
    RATINGS = "ratings"


@dataclass(frozen=True, slots=True)
class Halt:
    """Verdict that a candidate is worse than its base.

    :param cause: evidence that decided.
    :param e_value: growth of the bet.
    :param requests: requests of the candidate that were observed.
    """

    cause: Cause
    e_value: float
    requests: int


class Guard(Protocol):
    """Decides whether a roll-out is halted; plug-ins of ROLLOUT_GUARD."""

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return a halt, or None to let the roll-out go on."""
        ...


def _upper_rate(tally: evidence.Tally) -> float:
    # Share of failures that the base version is credited with at most.
    n = tally.requests + 2
    rate = (tally.failures + 1) / n
    width = BASE_WIDTHS * math.sqrt(rate * (1 - rate) / n)
    return min(0.99, max(FLOOR_FAILURES, rate + width))


def failure_e_value(candidate: evidence.Tally, rate: float) -> float:
    """Return the bet that failures are more frequent than a rate.

    It is the mean of the likelihood ratios of several higher rates, each a
    martingale when failures have the given rate.

    :param rate: share of failures under the null hypothesis.
    """
    rates = [p for p in FAILURE_RATES if p > rate] or [(1 + rate) / 2]
    total = 0.0
    for p in rates:
        log_ratio = candidate.failures * math.log(p / rate)
        log_ratio += candidate.successes * math.log((1 - p) / (1 - rate))
        total += math.exp(min(log_ratio, LARGEST_EXPONENT))
    return total / len(rates)


def rating_e_value(base: evidence.Tally, candidate: evidence.Tally) -> float:
    """Return the bet that the candidate's mean rating is the lower one.

    Likelihood ratio of the observed difference of the means, mixed over a
    half-normal prior of the true one with scale ``EXPECTED_DROP``. The
    variance is estimated, so the bound holds from ``MIN_RATINGS`` on.
    """
    # A few ratings may look too much alike, so the candidate's are taken to
    # spread at least as the base's.
    spread = max(candidate.variance, base.variance, LEAST_VARIANCE)
    variance = spread * (1 / base.rated + 1 / candidate.rated)
    drop = base.mean - candidate.mean
    prior = EXPECTED_DROP**2
    total = variance + prior
    exponent = drop**2 * prior / (2 * variance * total)
    one_sided = _normal_cdf(
        drop * math.sqrt(prior) / math.sqrt(variance * total)
    )
    return (
        2
        * math.sqrt(variance / total)
        * math.exp(min(exponent, LARGEST_EXPONENT))
        * one_sided
    )


def _normal_cdf(value: float) -> float:
    return 0.5 * math.erfc(-value / math.sqrt(2))


@registry.register(registry.Kind.ROLLOUT_GUARD, "sequential")
class SequentialGuard:
    """Always-valid test of failures and ratings.

    :param alpha: chance that a good candidate is ever halted.
    """

    def __init__(self, alpha: float = ALPHA) -> None:
        self._threshold = 2.0 / alpha

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return a halt when one of the two bets has grown enough."""
        rate = min(0.99, _upper_rate(base) + FAILURE_MARGIN)
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
    """Threshold on a fixed window, the baseline of the measurements.

    It looks once every ``window`` requests at the sums since the start.

    :param window: requests of the candidate before each look.
    :param failures: share of failures above the base's that halts.
    :param ratings: mean rating below the base's that halts.
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
        """Return a halt when a whole window shows a difference."""
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
    """Lets every roll-out go on."""

    def judge(
        self, base: evidence.Tally, candidate: evidence.Tally
    ) -> Halt | None:
        """Return None."""
        return None

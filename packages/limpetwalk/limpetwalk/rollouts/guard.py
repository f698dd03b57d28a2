"""Always-valid sequential test of a candidate version against its base.

The test may be looked at after every request: under a good candidate the
chance that it ever says halt is at most ``alpha``. It multiplies bets, an
e-process, and halts when one has grown by the inverse of its share of
``alpha`` (Ville's inequality). Two bets run side by side: on the share of
failures and on the mean rating.

Source: Howard, Ramdas, McAuliffe, Sekhon, "Time-uniform, nonparametric,
nonasymptotic confidence sequences", Annals of Statistics 49 (2021), for
bounds that hold at every time; Waudby-Smith and Ramdas, "Estimating means of
bounded random variables by betting", JRSS B 86 (2024), for the bets.
"""

from dataclasses import dataclass
import enum
import math
from typing import Protocol

from .. import registry
from . import evidence

ALPHA = 0.01
FAILURE_MARGIN = 0.01
RATING_MARGIN = 0.0
FLOOR_FAILURES = 0.01
MIN_BASE_RATINGS = 50
BASE_WIDTHS = 2.0
FAILURE_RATES = (0.02, 0.04, 0.07, 0.12, 0.2, 0.35, 0.6, 0.9)
RATING_BETS = (0.15, 0.3, 0.6, 1.0, 1.5, 2.2, 3.0)


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


def _lower_mean(tally: evidence.Tally) -> float:
    width = BASE_WIDTHS * math.sqrt(tally.variance / tally.rated)
    return max(0.0, tally.mean - width)


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
        total += math.exp(min(log_ratio, 700.0))
    return total / len(rates)


def rating_e_value(candidate: evidence.Tally, mean: float) -> float:
    """Return the bet that the mean rating is below a value.

    A bet of size b on one rating x grows by ``1 + b (mean - x)``. Only the
    sums of x and of its square are known, so the product is replaced by a
    lower bound: ``log(1 + z) >= z - c(a) z**2`` for ``z >= -a``, where
    ``c(a) = (-log(1 - a) - a) / a**2``.

    :param mean: mean rating under the null hypothesis, 0.0 to 1.0.
    """
    first = candidate.rated * mean - candidate.total
    second = (
        candidate.rated * mean**2
        - 2 * mean * candidate.total
        + candidate.squares
    )
    largest = 1.0 - mean
    grown = 0.0
    for bet in RATING_BETS:
        loss = min(0.9, max(1e-6, bet * largest))
        size = loss / largest if largest > 0 else bet
        bound = (-math.log(1 - loss) - loss) / loss**2
        log_growth = size * first - bound * size**2 * second
        grown += math.exp(min(log_growth, 700.0))
    return grown / len(RATING_BETS)


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
        if base.rated < MIN_BASE_RATINGS:
            return None
        mean = _lower_mean(base) - RATING_MARGIN
        ratings = rating_e_value(candidate, mean)
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

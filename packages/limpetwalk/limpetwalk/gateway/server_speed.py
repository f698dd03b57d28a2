"""Speeds of servers, learnt from the times of their answers by all nodes.

Serves services whose servers differ in speed, or of which some become slow for
a while. Each time is compared with the usual one of its kind at the same node,
so that neither the model nor the load of the whole service counts as the speed
of a server. A node sees a server too rarely to learn its speed alone, so the
nodes report decaying sums to each other, like their loads.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
import math

from .. import clock as clocks
from . import server_load

# Half-life of a sample's weight, in seconds.
HALF_LIFE = 2.0
# Standard deviation of a sample of weight 1: the logarithm of a time by the
# usual one. Times that vary more weigh less, by the square.
UNIT_DEVIATION = 0.5
# Largest weight of a sample.
MAX_SAMPLE_WEIGHT = 1.0
# Weight of the assumption that a server is as fast as the others.
PRIOR_WEIGHT = 1.0
# Largest factor by which a sample may differ from the usual time.
MAX_RATIO = 3.0
# Factor up to which servers count as equally fast, and the one from which the
# learnt factor holds in full.
EVEN_FACTOR = 1.25
UNEVEN_FACTOR = 1.5
# Samples of a kind that a node needs to compare another one with them, and the
# least weight of a new one in their mean.
MIN_SAMPLES = 3
MIN_SAMPLE_WEIGHT = 0.05
# Variance of a kind that is assumed at first, and the weight of the assumption
# in samples.
ASSUMED_VARIANCE = 1.0
VARIANCE_PRIOR = 2
# Kinds of times that are remembered.
MAX_KINDS = 5000
# Weight below which a server's sum is forgotten.
MIN_WEIGHT = 0.05
# Seconds after which a report no longer counts: several reporting intervals.
REPORT_LIFETIME = 3.0
# Time for which the sums over the other nodes are cached, in seconds: less
# than the interval between two reports of a node.
SUMS_LIFETIME = 0.25


@dataclass(frozen=True, slots=True)
class SpeedSum:
    """Decaying sum of the samples of a server.

    :param log_ratio: sum of the weighted logarithms of the times, each
        divided by the usual one.
    :param weight: sum of the weights.
    """

    log_ratio: float = 0.0
    weight: float = 0.0

    def aged(self, seconds: float) -> "SpeedSum":
        """Return the sum after some time without samples."""
        share = _remaining_share(seconds)
        return SpeedSum(self.log_ratio * share, self.weight * share)

    def plus(self, other: "SpeedSum") -> "SpeedSum":
        """Return the sum of the samples of both."""
        return SpeedSum(
            self.log_ratio + other.log_ratio, self.weight + other.weight
        )

    def time_factor(self) -> float:
        """Return the time that the server needs, against the usual one.

        :returns: 1 within ``EVEN_FACTOR``, or with few samples.
        """
        limit = math.log(MAX_RATIO)
        mean = self.log_ratio / (self.weight + PRIOR_WEIGHT)
        mean = min(limit, max(-limit, mean))
        even, uneven = math.log(EVEN_FACTOR), math.log(UNEVEN_FACTOR)
        share = (abs(mean) - even) / (uneven - even)
        return math.exp(mean * min(1.0, max(0.0, share)))


NO_SAMPLES = SpeedSum()
SpeedSums = Mapping[str, SpeedSum]


@dataclass(slots=True)
class _Usual:
    """Mean and variance of the logarithms of the times of one kind.

    :param count: number of times.
    """

    mean: float = 0.0
    variance: float = ASSUMED_VARIANCE
    count: int = 0

    def compare(self, value: float) -> SpeedSum:
        """Add a value; return the sample that it is."""
        self.count += 1
        share = max(1 / self.count, MIN_SAMPLE_WEIGHT)
        limit = math.log(MAX_RATIO)
        deviation = min(limit, max(-limit, value - self.mean))
        self.mean += (value - self.mean) * share
        if self.count <= MIN_SAMPLES:
            return NO_SAMPLES
        weight = min(MAX_SAMPLE_WEIGHT, UNIT_DEVIATION**2 / self.variance)
        share = max(1 / (self.count + VARIANCE_PRIOR), MIN_SAMPLE_WEIGHT)
        self.variance += (deviation**2 - self.variance) * share
        return SpeedSum(deviation * weight, weight)


@dataclass(slots=True)
class _Aging:
    """Sum with the instant to which it has decayed."""

    at: float
    value: SpeedSum = NO_SAMPLES

    def now(self, now: float) -> SpeedSum:
        """Return the sum at an instant."""
        return self.value.aged(now - self.at)


@dataclass(frozen=True, slots=True)
class _Report:
    received_at: float
    sender: str
    sequence: int
    sums: SpeedSums


class LearntSpeeds:
    """Speeds of servers from this node's answers and from others' reports.

    :param clock: source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._usual: dict[tuple[str, ...], _Usual] = {}
        self._own: dict[str, _Aging] = {}
        self._reports: dict[server_load.Source, _Report] = {}
        self._others: dict[str, SpeedSum] = {}
        self._summed_at = -math.inf

    def record(
        self,
        server_id: str,
        kind: tuple[str, ...],
        seconds: float,
        expected: float = 1.0,
    ) -> None:
        """Record a time that a server needed.

        :param kind: what was timed; only times of one kind are compared.
        :param expected: time that was expected of a server of usual speed, if
            that depends on more than the kind.
        """
        if seconds <= 0 or expected <= 0:
            return
        usual = self._usual.setdefault(kind, _Usual())
        if len(self._usual) > MAX_KINDS:
            del self._usual[next(iter(self._usual))]
        sample = usual.compare(math.log(seconds / expected))
        now = self._clock.monotonic()
        own = self._own.get(server_id, _Aging(now))
        self._own[server_id] = _Aging(now, own.now(now).plus(sample))

    def apply_report(
        self,
        source: server_load.Source,
        sender: str,
        sequence: int,
        sums: SpeedSums,
    ) -> None:
        """Apply a report; one that was overtaken by a later one is ignored.

        :param source: node or group that the report covers.
        :param sequence: number of the report, which grows with each report
            of the sender and may start lower after its restart.
        """
        now = self._clock.monotonic()
        previous = self._reports.get(source)
        if (
            previous is None
            or previous.sender != sender
            or now - previous.received_at > REPORT_LIFETIME
            or sequence > previous.sequence
        ):
            self._reports[source] = _Report(now, sender, sequence, sums)

    def own_sums(self) -> dict[str, SpeedSum]:
        """Return the sums of this node's answers."""
        now = self._clock.monotonic()
        self._own = {
            server_id: own
            for server_id, own in self._own.items()
            if own.now(now).weight >= MIN_WEIGHT
        }
        return {
            server_id: own.now(now) for server_id, own in self._own.items()
        }

    def group_sums(self) -> dict[str, SpeedSum]:
        """Return the sums of the answers of this node and its group."""
        nodes = [source for source in self._reports if not source.is_group]
        total = self._sum_reports(nodes)
        for server_id, own in self.own_sums().items():
            total[server_id] = total.get(server_id, NO_SAMPLES).plus(own)
        return total

    def time_factor(self, server_id: str) -> float:
        """Return the time that a server needs, against its service's mean."""
        now = self._clock.monotonic()
        if now - self._summed_at > SUMS_LIFETIME:
            self._drop_expired(now)
            self._others = self._sum_reports(self._reports)
            self._summed_at = now
        total = self._others.get(server_id, NO_SAMPLES)
        own = self._own.get(server_id)
        if own is not None:
            total = total.plus(own.now(now))
        return total.time_factor() if total.weight else 1.0

    def _drop_expired(self, now: float) -> None:
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now - report.received_at <= REPORT_LIFETIME
        }

    def _sum_reports(
        self, sources: Iterable[server_load.Source]
    ) -> dict[str, SpeedSum]:
        now = self._clock.monotonic()
        ratios: dict[str, float] = {}
        weights: dict[str, float] = {}
        for source in sources:
            report = self._reports[source]
            age = now - report.received_at
            if age > REPORT_LIFETIME:
                continue
            share = _remaining_share(age)
            for server_id, value in report.sums.items():
                ratios[server_id] = (
                    ratios.get(server_id, 0.0) + share * value.log_ratio
                )
                weights[server_id] = (
                    weights.get(server_id, 0.0) + share * value.weight
                )
        return {
            server_id: SpeedSum(ratio, weights[server_id])
            for server_id, ratio in ratios.items()
        }


def _remaining_share(seconds: float) -> float:
    """Return the share of a sample's weight that remains after some time."""
    return float(0.5 ** (seconds / HALF_LIFE))

"""Counters and latency histograms of a process.

Events are counted by counters; log lines are only for changes of state.
Latencies are recorded in HDR histograms and exposed as quantiles.
"""

from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (0.5, 0.9, 0.95, 0.99, 0.999)


class LatencyHistogram:
    """Histogram of latencies.

    :param name: name of the metric, without its unit.
    :param documentation: help text of the metric.
    """

    def __init__(self, name: str, documentation: str) -> None:
        self.name = name
        self.documentation = documentation
        self._hdr = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._sum_us = 0

    def record(self, seconds: float) -> None:
        """Record one latency, in seconds."""
        value_us = max(LOWEST_US, int(seconds * 1e6))
        self._sum_us += value_us
        self._hdr.record_value(value_us)

    def quantile(self, share: float) -> float:
        """Return a quantile of the latencies, in seconds.

        :param share: the quantile, from 0 to 1.
        """
        return self._hdr.get_value_at_percentile(share * 100) / 1e6

    @property
    def count(self) -> int:
        """Number of latencies recorded."""
        return self._hdr.get_total_count()

    @property
    def total(self) -> float:
        """Sum of the latencies, in seconds."""
        return self._sum_us / 1e6


class _LatencyCollector(registry.Collector):
    def __init__(self, latencies: dict[str, LatencyHistogram]) -> None:
        self._latencies = latencies

    def collect(self) -> Iterator[core.Metric]:
        for latency in self._latencies.values():
            name = f"{latency.name}_seconds"
            family = core.Metric(name, latency.documentation, "summary")
            for share in QUANTILES:
                family.add_sample(
                    name, {"quantile": str(share)}, latency.quantile(share)
                )
            family.add_sample(f"{name}_count", {}, latency.count)
            family.add_sample(f"{name}_sum", {}, latency.total)
            yield family


class Metrics:
    """Metrics of one process; modules get their metrics by name."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._latencies: dict[str, LatencyHistogram] = {}
        self._registry.register(_LatencyCollector(self._latencies))

    def counter(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Return the counter with a name; the first call creates it."""
        if name not in self._counters:
            self._counters[name] = prometheus_client.Counter(
                name, documentation, labels, registry=self._registry
            )
        return self._counters[name]

    def gauge(
        self, name: str, documentation: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Return the gauge with a name; the first call creates it."""
        if name not in self._gauges:
            self._gauges[name] = prometheus_client.Gauge(
                name, documentation, labels, registry=self._registry
            )
        return self._gauges[name]

    def latency(self, name: str, documentation: str) -> LatencyHistogram:
        """Return the latency histogram with a name; the first call adds it."""
        return self._latencies.setdefault(
            name, LatencyHistogram(name, documentation)
        )

    def value(self, name: str, labels: dict[str, str] | None = None) -> float:
        """Return the value of a sample, or 0.0 when it is absent."""
        sample = self._registry.get_sample_value(name, labels or {})
        return sample or 0.0

    def expose(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

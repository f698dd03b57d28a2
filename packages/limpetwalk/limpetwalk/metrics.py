"""Counters and latency histograms of a process.

Counters come first: log lines are kept for changes of state. Latencies go
into HDR histograms and are shown as quantiles at scrape time.
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
    """Latency histogram.

    :param name: name of the metric, without unit.
    :param text: what is measured.
    """

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.text = text
        self._hdr = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._sum_us = 0

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        value_us = max(LOWEST_US, int(seconds * 1e6))
        self._sum_us += value_us
        self._hdr.record_value(value_us)

    def quantile(self, share: float) -> float:
        """Return the latency in seconds below which a share lies."""
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
            family = core.Metric(name, latency.text, "summary")
            for share in QUANTILES:
                family.add_sample(
                    name, {"quantile": str(share)}, latency.quantile(share)
                )
            family.add_sample(f"{name}_count", {}, latency.count)
            family.add_sample(f"{name}_sum", {}, latency.total)
            yield family


class Metrics:
    """Metrics of one process; modules ask it for their counters by name."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._latencies: dict[str, LatencyHistogram] = {}
        self._registry.register(_LatencyCollector(self._latencies))

    def counter(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Return the counter of a name, made at the first call."""
        if name not in self._counters:
            self._counters[name] = prometheus_client.Counter(
                name, text, labels, registry=self._registry
            )
        return self._counters[name]

    def gauge(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Return the gauge of a name, made at the first call."""
        if name not in self._gauges:
            self._gauges[name] = prometheus_client.Gauge(
                name, text, labels, registry=self._registry
            )
        return self._gauges[name]

    def latency(self, name: str, text: str) -> LatencyHistogram:
        """Return the latency histogram of a name."""
        return self._latencies.setdefault(name, LatencyHistogram(name, text))

    def value(self, name: str, labels: dict[str, str] | None = None) -> float:
        """Return the value of a sample, 0.0 when it is absent."""
        found = self._registry.get_sample_value(name, labels or {})
        return found or 0.0

    def expose(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

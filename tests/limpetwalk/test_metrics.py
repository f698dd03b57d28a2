"""Tests of counters and histograms."""

import unittest

from limpetwalk import metrics


class MetricsTest(unittest.TestCase):
    def test_counter_is_made_once(self):
        registry = metrics.Metrics()
        registry.counter("refusals", "Refusals.", ("reason",)).labels(
            "x"
        ).inc()
        registry.counter("refusals", "Refusals.", ("reason",)).labels(
            "x"
        ).inc()
        self.assertEqual(2, registry.value("refusals_total", {"reason": "x"}))

    def test_latency_shows_its_quantiles(self):
        registry = metrics.Metrics()
        latency = registry.latency("wait", "Wait.")
        for milliseconds in range(1, 101):
            latency.record(milliseconds / 1000)
        self.assertAlmostEqual(0.05, latency.quantile(0.5), delta=0.001)
        exposed = registry.expose().decode()
        self.assertIn('wait_seconds{quantile="0.99"}', exposed)
        self.assertIn("wait_seconds_count 100.0", exposed)

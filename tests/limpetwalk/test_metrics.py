"""Tests of counters and histograms."""

import unittest

from limpetwalk import metrics


class MetricsTest(unittest.TestCase):
    def test_counter_is_made_once(self):
        held = metrics.Metrics()
        held.counter("refusals", "Refusals.", ("reason",)).labels("x").inc()
        held.counter("refusals", "Refusals.", ("reason",)).labels("x").inc()
        self.assertEqual(2, held.value("refusals_total", {"reason": "x"}))

    def test_latency_shows_its_quantiles(self):
        held = metrics.Metrics()
        latency = held.latency("wait", "Wait.")
        for milliseconds in range(1, 101):
            latency.record(milliseconds / 1000)
        self.assertAlmostEqual(0.05, latency.quantile(0.5), delta=0.001)
        text = held.expose().decode()
        self.assertIn('wait_seconds{quantile="0.99"}', text)
        self.assertIn("wait_seconds_count 100.0", text)

"""Limits that the nodes keep together without coordination."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import retry_budget
from limpetwalk.gateway import types

BOUNDS = types.Bounds()


class RetryBudgets(unittest.TestCase):
    """Retries while every request fails somewhere."""

    def test_sum_over_the_nodes_stays_within_the_bound(self) -> None:
        for count in (1, 9, 74):
            clock = clocks.ManualClock()
            nodes = [
                retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: count)
                for _ in range(count)
            ]
            requests, retries = 0, 0
            for _ in range(100):
                for node in nodes:
                    node.record_request()
                    requests += 1
                    retries += sum(node.try_take() for _ in range(3))
                clock.advance(0.09)
            allowed = BOUNDS.retry_share * requests + BOUNDS.retry_extra
            self.assertLessEqual(retries, allowed, count)
            self.assertGreater(retries, 0.7 * BOUNDS.retry_share * requests)

    def test_old_requests_no_longer_count(self) -> None:
        clock = clocks.ManualClock()
        budget = retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: 100)
        for _ in range(20):
            budget.record_request()
        before = budget.remaining()
        clock.advance(BOUNDS.retry_window + 0.1)
        self.assertLess(budget.remaining(), before)

    def test_rate_counts_retries_and_escalations(self) -> None:
        """The canary's share is planned by what servers get."""
        clock = clocks.ManualClock()
        budget = retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: 1)
        for count in range(50):
            budget.record_request()
            if count % 2:
                self.assertTrue(budget.try_take())
            clock.advance(0.1)
        self.assertAlmostEqual(15.0, budget.arrival_rate(), delta=0.1)

    def test_rate_is_right_before_the_window_is_full(self) -> None:
        """A roll-out may be ordered 2 s after the first request."""
        clock = clocks.ManualClock()
        budget = retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: 1)
        self.assertEqual(0.0, budget.arrival_rate())
        for count in range(300):
            budget.record_request()
            clock.advance(0.1)
            if count >= 20:
                self.assertAlmostEqual(10.0, budget.arrival_rate(), delta=0.6)

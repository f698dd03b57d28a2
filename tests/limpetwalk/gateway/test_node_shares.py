"""Counts that nodes keep together without talking."""

import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import cold_pacing
from limpetwalk.gateway import retry_budget
from limpetwalk.gateway import types

BOUNDS = types.Bounds()


class ColdPacing(unittest.TestCase):
    """Many nodes find the same cold server idle."""

    def most_in_a_second(self, count: int, rate: float) -> int:
        clock = clocks.ManualClock()
        names = frozenset(f"n{number}" for number in range(count))
        nodes = [
            cold_pacing.ColdServerPacer(
                name, lambda: names, lambda: BOUNDS, clock
            )
            for name in names
        ]
        sent: list[float] = []
        for _ in range(300):
            for node in nodes:
                if node.may_send("cold", rate):
                    node.record_sent("cold", rate)
                    sent.append(clock.monotonic())
            clock.advance(0.01)
        return max(
            sum(1 for at in sent if start <= at < start + 1.0)
            for start in sent
        )

    def test_all_nodes_together_stay_within_the_rate(self) -> None:
        for count in (1, 9, 74, 380):
            for rate in (2.0, 9.0, 40.0):
                allowed = rate * BOUNDS.cold_factor + BOUNDS.cold_extra
                most = self.most_in_a_second(count, rate)
                self.assertLessEqual(most, allowed, (count, rate))
                self.assertGreater(most, 0, (count, rate))


class RepeatBudgets(unittest.TestCase):
    """Every request fails somewhere."""

    def test_sum_over_the_nodes_stays_within_the_bound(self) -> None:
        for count in (1, 9, 74):
            clock = clocks.ManualClock()
            nodes = [
                retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: count)
                for _ in range(count)
            ]
            first, repeats = 0, 0
            for _ in range(100):
                for node in nodes:
                    node.record_request()
                    first += 1
                    repeats += sum(node.try_take() for _ in range(3))
                clock.advance(0.09)
            allowed = BOUNDS.retry_share * first + BOUNDS.retry_extra
            self.assertLessEqual(repeats, allowed, count)
            self.assertGreater(repeats, 0.7 * BOUNDS.retry_share * first)

    def test_old_requests_no_longer_count(self) -> None:
        clock = clocks.ManualClock()
        held = retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: 100)
        for _ in range(20):
            held.record_request()
        before = held.remaining()
        clock.advance(BOUNDS.retry_window + 0.1)
        self.assertLess(held.remaining(), before)

    def test_rate_is_told_from_the_start(self) -> None:
        """An order comes 2 s after the traffic, within the first window."""
        clock = clocks.ManualClock()
        held = retry_budget.RetryBudget(clock, lambda: BOUNDS, lambda: 1)
        self.assertEqual(0.0, held.request_rate())
        for count in range(300):
            held.record_request()
            clock.advance(0.1)
            if count >= 20:
                self.assertAlmostEqual(10.0, held.request_rate(), delta=0.6)

"""Tests of the time after which refused callers come back."""

import random
import unittest

from limpetwalk import clock as clocks
from limpetwalk.gateway import fleet
from limpetwalk.gateway import return_time

from . import builders


class AllServersDown(unittest.TestCase):
    """Servers crash one after the other and return some seconds later."""

    def setUp(self) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(1)
        self.fleet = fleet.Fleet(self.clock)
        for name in "abc":
            self.fleet.put(builders.server(name), builders.version(1))

    def crash(self, *names: str) -> None:
        for name in names:
            member = self.fleet.get(name)
            assert member is not None
            member.health.record(True, self.clock.monotonic(), unreached=True)

    def retry_after(self, time_left: float) -> float:
        return return_time.retry_after(
            self.fleet.usable("s"),
            time_left,
            self.clock.monotonic(),
            self.rng,
        )

    def test_callers_with_one_retry_meet_the_first_server_that_returns(
        self,
    ) -> None:
        self.crash("a")
        self.clock.advance(0.5)
        self.crash("b", "c")
        crashed_at = self.clock.monotonic() - 0.5
        returned_at = crashed_at + return_time.RESTART_TIME
        arrivals = []
        for _ in range(60):
            self.clock.advance(0.05)
            arrivals.append(self.clock.monotonic() + self.retry_after(25.0))
        self.assertTrue(all(at >= returned_at for at in arrivals))
        first_second = sum(at < returned_at + 1.0 for at in arrivals)
        self.assertLess(first_second, len(arrivals))

    def test_one_server_that_is_up_is_worth_a_soon_return(self) -> None:
        self.crash("a", "b", "c")
        member = self.fleet.get("b")
        assert member is not None
        member.health.record(False, self.clock.monotonic())
        self.assertEqual(1.0, self.retry_after(25.0))

    def test_callers_return_before_most_of_their_time_is_over(self) -> None:
        self.crash("a", "b", "c")
        self.assertLessEqual(self.retry_after(6.0), 2.0)
        self.assertGreaterEqual(self.retry_after(0.2), 0.06)
